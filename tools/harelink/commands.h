//===- commands.h - The commands of the command line ------------*- C++ -*-===//
///
/// \file
/// Each command takes its words (without its own name) and gives an exit code.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TOOLS_HARELINK_COMMANDS_H
#define HARELINK_TOOLS_HARELINK_COMMANDS_H

#include <string>
#include <vector>

namespace harelink::cli {

using Words = std::vector<std::string>;

/// Writes the resources of the file named by -f to the platform.
int applyCommand(const Words &words);
/// Lists the resources of a kind, or prints one.
int getCommand(const Words &words);
/// Prints one resource with what the platform knows of it.
int describeCommand(const Words &words);
/// Deletes one resource.
int deleteCommand(const Words &words);
/// Prints changes to resources as they happen.
int watchCommand(const Words &words);
/// Shows what each daemon has in force.
int statusCommand(const Words &words);
/// Tells a daemon to stop as planned.
int drainCommand(const Words &words);
/// Prints what the logs of several daemons say of one request.
int explainCommand(const Words &words);
/// Prints a new pair of keys for daemons.
int keysCommand(const Words &words);
/// Sends one request to a daemon and prints the answer.
int callCommand(const Words &words);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_COMMANDS_H
