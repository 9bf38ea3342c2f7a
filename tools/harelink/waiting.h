//===- waiting.h - Waiting for daemons --------------------------*- C++ -*-===//
///
/// \file
/// Waits until what an operator wrote is in force at every daemon.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TOOLS_HARELINK_WAITING_H
#define HARELINK_TOOLS_HARELINK_WAITING_H

#include "harelink/Kernel/platform.h"

#include <map>
#include <string>

namespace harelink::cli {

/// Objects, as "Kind/name", with the least version that is to be in force.
using WantedVersions = std::map<std::string, Version>;

/// Waits for at most --wait_seconds; names the daemons that have not got there,
/// and what each of them lacks. Gives the exit code.
int waitUntilInForce(const WantedVersions &wanted);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_WAITING_H
