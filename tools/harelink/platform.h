//===- platform.h - Client of the platform's object API ---------*- C++ -*-===//
///
/// \file
/// Blocking calls to the platform's object API, and the exit codes of all commands.
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
    ExitFailed = 1,      ///< The request failed or was refused.
    ExitUsage = 2,       ///< The command line is wrong.
    ExitInvalid = 3,     ///< A file or resource does not validate.
    ExitConflict = 4,    ///< The object was changed concurrently.
    ExitNotFound = 5,    ///< The object does not exist.
    ExitUnreachable = 6, ///< The platform or daemon does not answer.
    ExitNotInForce = 7,  ///< Written, but not in force everywhere in time.
};

/// Calls the platform at --platform and waits for the result.
PlatformResult callPlatform(const PlatformCall &call);
/// Prints \p error to standard error and returns its exit code.
int report(const absl::Status &error);
/// Prints that the platform did not answer and returns the exit code.
int reportUnreachable(const PlatformResult &result);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_PLATFORM_H
