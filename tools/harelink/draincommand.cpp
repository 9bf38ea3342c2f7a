//===- draincommand.cpp - The drain command -------------------------------===//

#include "commands.h"
#include "daemons.h"
#include "platform.h"

#include "harelink/Support/clock.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <thread>

DECLARE_bool(wait);
DECLARE_int32(wait_seconds);

namespace harelink::cli {
namespace {

constexpr std::chrono::milliseconds pollInterval{100};

int waitUntilGone(const ListedDaemon &daemon)
{
    const SystemClock clock;
    const TimePoint limit = clock.now() + std::chrono::seconds(FLAGS_wait_seconds);
    while (!fetchStatus(daemon).is_null()) {
        if (clock.now() >= limit) {
            fmt::print(stderr, "harelink: {} still has requests in progress\n", daemon.host);
            return ExitFailed;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    fmt::print("{} has stopped\n", daemon.host);
    return ExitDone;
}

} // namespace

int drainCommand(const Words &words)
{
    if (words.size() != 1) {
        fmt::print(stderr, "harelink: usage: harelink drain HOST [--wait]\n");
        return ExitUsage;
    }
    const absl::StatusOr<std::vector<ListedDaemon>> daemons = listDaemons();
    if (!daemons.ok()) {
        return report(daemons.status());
    }
    const auto found =
        std::find_if(daemons->begin(), daemons->end(),
                     [&words](const ListedDaemon &daemon) { return daemon.host == words[0]; });
    if (found == daemons->end()) {
        return report(makeError(absl::StatusCode::kNotFound, "draining", words[0],
                                "the host list contains no daemon of this name"));
    }
    if (!requestDrain(*found)) {
        return report(
            makeError(absl::StatusCode::kUnavailable, "draining", words[0], "it does not answer"));
    }
    fmt::print("{} stops after its requests in progress\n", words[0]);
    return FLAGS_wait ? waitUntilGone(*found) : ExitDone;
}

} // namespace harelink::cli
