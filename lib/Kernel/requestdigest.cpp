//===- requestdigest.cpp - Request digests --------------------------------===//

#include "harelink/Kernel/requestdigest.h"

#include "harelink/Kernel/requestmachine.h"

#include <fmt/format.h>

namespace harelink {

Hash128 digestOf(const RequestArrived &request, const std::string &account)
{
    // Hashes the body separately to avoid copying it: it may be large.
    if (request.proxied) {
        const ProxiedRequest &proxied = *request.proxied;
        return hash128(fmt::format("{}\n{}\n{}\n{}\n{}", proxied.method, proxied.host,
                                   proxied.target, account, toHex(hash128(proxied.body))));
    }
    return hash128(
        fmt::format("{}\n{}\n{}", request.pipeline, account, toHex(hash128(request.body))));
}

std::vector<Hash128> promptPartDigests(const ProxiedRequest &request)
{
    std::vector<Hash128> digests;
    for (std::size_t i = 0; i + 1 < request.prompt.size() && i < maxPromptParts; ++i) {
        digests.push_back(hash128(fmt::format("prompt-part\n{}", request.prompt[i].id)));
    }
    return digests;
}

} // namespace harelink
