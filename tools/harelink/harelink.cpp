//===- harelink.cpp - The command line ------------------------------------===//
///
/// \file
/// Writes desired state to the platform, follows it, and sends single requests.
///
//===----------------------------------------------------------------------===//

#include "commands.h"
#include "platform.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

namespace {

using namespace harelink::cli;

constexpr const char *version = "0.1.0";

/// One command and what its help says.
struct Command
{
    const char *name;
    const char *usage;
    const char *help;
    int (*run)(const Words &);
};

int versionCommand(const Words &)
{
    fmt::print("harelink {}\n", version);
    return ExitDone;
}

constexpr Command commands[] = {
    {"apply", "apply -f FILE [--wait [--wait_seconds N]]",
     "Checks all resources of the file, then writes each over the version it found.\n"
     "      With --wait, returns when they are in force at every daemon.",
     applyCommand},
    {"get", "get [KIND [NAME]] [--output json]", "Lists resources, or prints one with its version.",
     getCommand},
    {"describe", "describe KIND NAME", "Prints one resource.", describeCommand},
    {"delete", "delete KIND NAME", "Deletes the version of a resource that it found.",
     deleteCommand},
    {"watch", "watch [KIND] [--changes N]", "Prints changes as they happen.", watchCommand},
    {"call", "call PIPELINE --account NAME [--body JSON] [--key KEY] [--daemon ADDRESS] [--stream]",
     "Sends one request; the answer goes to standard output.", callCommand},
    {"status", "status [--output json]",
     "Shows each listed daemon: ready, version in force, faults, platform, peers.", statusCommand},
    {"drain", "drain HOST [--wait [--wait_seconds N]]",
     "Lets a daemon finish what is in progress and stop; with --wait, until it has.", drainCommand},
    {"explain", "explain ID LOGFILE...",
     "Gathers from the daemons' logs what concerns one request, by time. Its own lines are\n"
     "      marked; between them stand what those daemons came to believe meanwhile.",
     explainCommand},
    {"keys", "keys [--output json]",
     "Makes a pair of keys under which the daemons of a fleet talk: their peerKeys.", keysCommand},
    {"version", "version", "Prints the version.", versionCommand},
};

void printHelp()
{
    fmt::print("usage: harelink COMMAND [--platform ADDRESS]\n\n");
    for (const Command &command : commands) {
        fmt::print("  harelink {}\n      {}\n", command.usage, command.help);
    }
    fmt::print("\nexit codes: 0 done, 1 refused, 2 usage, 3 invalid resource, 4 conflict,\n"
               "            5 not found, 6 not reachable, 7 not in force everywhere\n");
}

const Command *findCommand(const std::string &name)
{
    const auto *found = std::find_if(std::begin(commands), std::end(commands),
                                     [&name](const Command &c) { return name == c.name; });
    return found == std::end(commands) ? nullptr : found;
}

bool isHelp(const std::string &word)
{
    return word == "--help" || word == "-h" || word == "help";
}

} // namespace

int main(int argc, char **argv)
{
    Words all(argv + 1, argv + argc);
    const bool wantsHelp = std::any_of(all.begin(), all.end(), isHelp);
    if (all.empty() || isHelp(all[0])) {
        printHelp();
        return all.empty() ? ExitUsage : ExitDone;
    }
    const Command *command = findCommand(all[0]);
    if (command == nullptr) {
        fmt::print(stderr, "harelink: '{}' is no command; see 'harelink --help'\n", all[0]);
        return ExitUsage;
    }
    if (wantsHelp) {
        fmt::print("usage: harelink {}\n{}\n", command->usage, command->help);
        return ExitDone;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return command->run(Words(argv + 2, argv + argc));
}
