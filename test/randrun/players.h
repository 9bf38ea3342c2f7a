//===- players.h - Runs with and without each mechanism ---------*- C++ -*-===//
///
/// \file
/// One player for the product and one for each control, which lacks one
/// mechanism of harelink/Kernel/guards.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_RANDRUN_PLAYERS_H
#define HARELINK_TEST_RANDRUN_PLAYERS_H

#include "runresult.h"

#include <map>
#include <string>

namespace harelink::sim {

/// Plays one run.
using Player = RunResult (*)(const RunOptions &options);

/// All players by the mechanism that they lack; the product's has an empty name.
std::map<std::string, Player> &players();

/// Adds a player at start.
struct PlayerRegistration
{
    PlayerRegistration(const char *name, Player player) { players().emplace(name, player); }
};

} // namespace harelink::sim

#endif // HARELINK_TEST_RANDRUN_PLAYERS_H
