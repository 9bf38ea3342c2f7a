//===- daemons.cpp - Client of the daemons' operator API ------------------===//

#include "daemons.h"

#include "platform.h"

#include "harelink/Adapters/httpclient.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>

namespace harelink::cli {
namespace {

constexpr std::chrono::seconds answerTimeout{2};
constexpr int statusAccepted = 202;

HttpResult callDaemon(const ListedDaemon &daemon, const std::string &method,
                      const std::string &path)
{
    HttpCall call;
    call.method = method;
    call.url = fmt::format("http://{}{}", daemon.operators, path);
    call.timeout = answerTimeout;
    return callAndWait(call);
}

} // namespace

absl::StatusOr<std::vector<ListedDaemon>> listDaemons()
{
    PlatformCall call;
    call.operation = PlatformOperation::Hosts;
    const PlatformResult hosts = callPlatform(call);
    if (hosts.outcome != PlatformOutcome::Ok) {
        return makeError(absl::StatusCode::kUnavailable, "reading the host list", "platform",
                         "no answer");
    }
    std::vector<ListedDaemon> daemons;
    for (const PlatformObject &host : hosts.objects) {
        const nlohmann::json listed = nlohmann::json::parse(host.value, nullptr, false);
        // Hosts without an operator address run endpoints, not a daemon.
        if (listed.is_object() && !listed.value("operators", "").empty()) {
            daemons.push_back(
                {host.name, listed.value("dataCentre", ""), listed.value("operators", "")});
        }
    }
    return daemons;
}

nlohmann::json fetchStatus(const ListedDaemon &daemon)
{
    const HttpResult result = callDaemon(daemon, "GET", "/v1/status");
    nlohmann::json status = nlohmann::json::parse(result.body, nullptr, false);
    return status.is_object() ? status : nlohmann::json();
}

bool requestDrain(const ListedDaemon &daemon)
{
    return callDaemon(daemon, "POST", "/v1/drain").status == statusAccepted;
}

} // namespace harelink::cli
