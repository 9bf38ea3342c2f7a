//===- statuscommand.cpp - The status command -----------------------------===//

#include "commands.h"
#include "daemons.h"
#include "platform.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DECLARE_string(output);

namespace harelink::cli {
namespace {

/// Returns the number of objects in \p status that have a fault.
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
    const absl::StatusOr<std::vector<ListedDaemon>> daemons = listDaemons();
    if (!daemons.ok()) {
        return report(daemons.status());
    }
    nlohmann::json all = nlohmann::json::array();
    int code = ExitDone;
    if (FLAGS_output != "json") {
        fmt::print("{:<16}{:<16}{:<8}{:>8}{:>8}{:>10}{:>7}\n", "HOST", "DATA CENTRE", "READY",
                   "VERSION", "FAULTS", "PLATFORM", "PEERS");
    }
    for (const ListedDaemon &daemon : *daemons) {
        const nlohmann::json status = fetchStatus(daemon);
        code = status.is_object() ? code : ExitUnreachable;
        if (FLAGS_output == "json") {
            all.push_back({{"host", daemon.host}, {"status", status}});
            continue;
        }
        printRow(daemon.host, daemon.dataCentre, status);
    }
    if (FLAGS_output == "json") {
        fmt::print("{}\n", all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
    }
    return code;
}

} // namespace harelink::cli
