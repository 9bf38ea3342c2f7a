//===- players.h - Registry of run functions --------------------*- C++ -*-===//
///
/// \file
/// Registers a run function (player) for the product, and one for each control, which
/// lacks one mechanism of harelink/Kernel/guards.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_RANDRUN_PLAYERS_H
#define HARELINK_TEST_RANDRUN_PLAYERS_H

#include "runresult.h"

#include <map>
#include <string>

namespace harelink::sim {

/// Executes one run.
using Player = RunResult (*)(const RunOptions &options);

/// Returns all players by the name of the mechanism that they lack; empty for the product.
std::map<std::string, Player> &players();

/// Registers a player during static initialization.
struct PlayerRegistration
{
    PlayerRegistration(const char *name, Player player) { players().emplace(name, player); }
};

} // namespace harelink::sim

#endif // HARELINK_TEST_RANDRUN_PLAYERS_H
