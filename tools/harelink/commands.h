//===- commands.h - Subcommands of the command line -------------*- C++ -*-===//
///
/// \file
/// Each command gets its positional arguments (without its own name) and returns an
/// exit code.
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
/// Checks the resources of files, and compares them with a file or with the platform.
int checkCommand(const Words &words);
/// Lists the resources of a kind, or prints one.
int getCommand(const Words &words);
/// Prints one resource with its version on the platform.
int describeCommand(const Words &words);
/// Deletes one resource.
int deleteCommand(const Words &words);
/// Prints changes to resources as they happen.
int watchCommand(const Words &words);
/// Prints the status and the version in force of each daemon.
int statusCommand(const Words &words);
/// Requests a planned stop of a daemon.
int drainCommand(const Words &words);
/// Prints the log lines of several daemons that concern one request.
int explainCommand(const Words &words);
/// Prints a new key pair for the peer connections of daemons.
int keysCommand(const Words &words);
/// Sends one request to a daemon and prints the answer.
int callCommand(const Words &words);

} // namespace harelink::cli

#endif // HARELINK_TOOLS_HARELINK_COMMANDS_H
