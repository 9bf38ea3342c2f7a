//===- waiting.cpp - Wait for a rollout -----------------------------------===//

#include "waiting.h"

#include "daemons.h"
#include "platform.h"

#include "harelink/Support/clock.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <thread>

DEFINE_int32(wait_seconds, 30, "apply --wait, drain --wait: the maximum wait in seconds.");

namespace harelink::cli {
namespace {

constexpr std::chrono::milliseconds pollInterval{200};

/// Describes the first object of \p wanted that is not in force according to \p status;
/// empty if all are.
std::string missingAt(const nlohmann::json &status, const WantedVersions &wanted)
{
    if (!status.is_object()) {
        return "does not answer";
    }
    const nlohmann::json objects = status.value("objects", nlohmann::json::object());
    for (const auto &[object, version] : wanted) {
        const nlohmann::json entry = objects.value(object, nlohmann::json::object());
        const Version inForce(entry.value("inForceEra", std::uint64_t{0}),
                              entry.value("inForce", std::uint64_t{0}));
        if (inForce >= version) {
            continue;
        }
        const std::string fault = entry.value("fault", "");
        return fmt::format("has {} at version {}, not {}{}{}", object, inForce, version,
                           fault.empty() ? "" : ": ", fault);
    }
    return {};
}

/// Returns the daemons that lag behind, with the description of missingAt().
std::map<std::string, std::string> findLaggingDaemons(const std::vector<ListedDaemon> &daemons,
                                                      const WantedVersions &wanted)
{
    std::map<std::string, std::string> missing;
    for (const ListedDaemon &daemon : daemons) {
        const std::string what = missingAt(fetchStatus(daemon), wanted);
        if (!what.empty()) {
            missing[daemon.host] = what;
        }
    }
    return missing;
}

} // namespace

int waitUntilInForce(const WantedVersions &wanted)
{
    const SystemClock clock;
    const TimePoint limit = clock.now() + std::chrono::seconds(FLAGS_wait_seconds);
    for (;;) {
        const absl::StatusOr<std::vector<ListedDaemon>> daemons = listDaemons();
        if (!daemons.ok()) {
            return report(daemons.status());
        }
        const std::map<std::string, std::string> missing = findLaggingDaemons(*daemons, wanted);
        if (missing.empty()) {
            fmt::print("in force at all {} daemons\n", daemons->size());
            return ExitDone;
        }
        if (clock.now() >= limit) {
            for (const auto &[host, what] : missing) {
                fmt::print(stderr, "harelink: {} {}\n", host, what);
            }
            return ExitNotInForce;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace harelink::cli
