//===- statuscommand.cpp - What is in force where -------------------------===//

#include "commands.h"
#include "platform.h"

#include "harelink/Adapters/httpclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DECLARE_string(output);

namespace harelink::cli {
namespace {

constexpr std::chrono::seconds statusTimeout{2};

/// What the daemon at \p operators says of itself, or null.
nlohmann::json askDaemon(const std::string &operators)
{
    HttpCall call;
    call.url = fmt::format("http://{}/v1/status", operators);
    call.timeout = statusTimeout;
    return nlohmann::json::parse(callAndWait(call).body, nullptr, false);
}

/// How many objects of a status are not in force as seen.
int countFaults(const nlohmann::json &status)
{
    int faults = 0;
    for (const nlohmann::json &object : status.value("objects", nlohmann::json::object())) {
        faults += object.value("fault", "").empty() ? 0 : 1;
    }
    return faults;
}

void printRow(const std::string &host, const std::string &dataCentre, const nlohmann::json &status)
{
    if (!status.is_object()) {
        fmt::print("{:<16}{:<16}does not answer\n", host, dataCentre);
        return;
    }
    fmt::print("{:<16}{:<16}{:<8}{:>8}{:>8}{:>10}{:>7}\n", host, dataCentre,
               status.value("ready", false) ? "yes" : "no", status.value("configVersion", 0),
               countFaults(status), status.value("platformConnected", false) ? "yes" : "no",
               status.value("livePeers", nlohmann::json::array()).size());
}

} // namespace

int statusCommand(const Words &words)
{
    if (!words.empty()) {
        fmt::print(stderr, "harelink: usage: harelink status [--output json]\n");
        return ExitUsage;
    }
    PlatformCall call;
    call.operation = PlatformOperation::Hosts;
    const PlatformResult hosts = callPlatform(call);
    if (hosts.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(hosts);
    }
    nlohmann::json all = nlohmann::json::array();
    int code = ExitDone;
    if (FLAGS_output != "json") {
        fmt::print("{:<16}{:<16}{:<8}{:>8}{:>8}{:>10}{:>7}\n", "HOST", "DATA CENTRE", "READY",
                   "VERSION", "FAULTS", "PLATFORM", "PEERS");
    }
    for (const PlatformObject &host : hosts.objects) {
        const nlohmann::json listed = nlohmann::json::parse(host.value, nullptr, false);
        const std::string operators = listed.value("operators", "");
        if (operators.empty()) {
            continue;
        }
        const nlohmann::json status = askDaemon(operators);
        code = status.is_object() ? code : ExitUnreachable;
        if (FLAGS_output == "json") {
            all.push_back({{"host", host.name}, {"status", status}});
            continue;
        }
        printRow(host.name, listed.value("dataCentre", ""), status);
    }
    if (FLAGS_output == "json") {
        fmt::print("{}\n", all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    return code;
}

} // namespace harelink::cli
