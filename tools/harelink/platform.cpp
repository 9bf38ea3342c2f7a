//===- platform.cpp - Client of the platform's object API -----------------===//

#include "platform.h"

#include "harelink/Adapters/platformclient.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(platform, "127.0.0.1:7070", "IP address and port of the platform's object API.");

namespace harelink::cli {
namespace {

constexpr std::chrono::seconds callTimeout{5};

} // namespace

PlatformResult callPlatform(const PlatformCall &call)
{
    PlatformResult result = decodePlatformResult(
        call.id, callAndWait(encodePlatformCall(call, FLAGS_platform, callTimeout)));
    result.version.era = result.era.value_or(0);
    return result;
}

int report(const absl::Status &error)
{
    fmt::print(stderr, "harelink: {}\n", describeError(error));
    switch (error.code()) {
    case absl::StatusCode::kInvalidArgument:
        return ExitInvalid;
    case absl::StatusCode::kAborted:
        return ExitConflict;
    case absl::StatusCode::kNotFound:
        return ExitNotFound;
    case absl::StatusCode::kUnavailable:
        return ExitUnreachable;
    default:
        return ExitFailed;
    }
}

int reportUnreachable(const PlatformResult &result)
{
    const char *message = result.outcome == PlatformOutcome::Unanswered
                              ? "does not answer; a change may or may not have been made, "
                                "so check with 'harelink get' before retrying"
                              : "cannot be reached; nothing was changed";
    return report(
        makeError(absl::StatusCode::kUnavailable, "calling the platform", FLAGS_platform, message));
}

} // namespace harelink::cli
