//===- waiting.h - Wait for a rollout ---------------------------*- C++ -*-===//
///
/// \file
/// Waits until written objects are in force at every daemon.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TOOLS_HARELINK_WAITING_H
#define HARELINK_TOOLS_HARELINK_WAITING_H

#include "harelink/Kernel/platform.h"

#include <map>
#include <string>

namespace harelink::cli {

/// The minimum version that must be in force, by object ("Kind/name").
using WantedVersions = std::map<std::string, Version>;

/// Waits for at most --wait_seconds. On timeout, prints the daemons that lag behind and
/// the first object that each of them lacks. Returns the exit code.
int waitUntilInForce(const WantedVersions &wanted);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_WAITING_H
