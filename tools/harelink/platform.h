//===- platform.h - The platform as the command line sees it ----*- C++ -*-===//
///
/// \file
/// Single calls to the platform's object API, each waited for.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TOOLS_HARELINK_PLATFORM_H
#define HARELINK_TOOLS_HARELINK_PLATFORM_H

#include "harelink/Kernel/platform.h"

#include <absl/status/status.h>

#include <string>

namespace harelink::cli {

/// Exit codes of every command.
enum ExitCode {
    ExitDone = 0,
    ExitFailed = 1,      ///< The request, or the daemon, said no.
    ExitUsage = 2,       ///< The command line is wrong.
    ExitInvalid = 3,     ///< A file or resource does not validate.
    ExitConflict = 4,    ///< Somebody else changed the object meanwhile.
    ExitNotFound = 5,    ///< There is no such object.
    ExitUnreachable = 6, ///< The platform or daemon does not answer.
    ExitNotInForce = 7,  ///< Written, but not in force everywhere in time.
};

/// Makes one call to the platform at --platform.
PlatformResult callPlatform(const PlatformCall &call);
/// Prints \p error to standard error and gives its exit code.
int report(const absl::Status &error);
/// Prints that the platform did not answer and gives the exit code.
int reportUnreachable(const PlatformResult &result);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_PLATFORM_H
