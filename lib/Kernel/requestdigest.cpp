//===- requestdigest.cpp - What a request asks ----------------------------===//

#include "harelink/Kernel/requestdigest.h"

#include "harelink/Kernel/requestmachine.h"

#include <fmt/format.h>

namespace harelink {

Hash128 digestOf(const RequestArrived &request, const std::string &account)
{
    // The body is hashed first and by itself: it may be large, and is not copied.
    if (request.carried) {
        const CarriedRequest &carried = *request.carried;
        return hash128(fmt::format("{}\n{}\n{}\n{}\n{}", carried.method, carried.host,
                                   carried.target, account, toHex(hash128(carried.body))));
    }
    return hash128(
        fmt::format("{}\n{}\n{}", request.pipeline, account, toHex(hash128(request.body))));
}

} // namespace harelink
