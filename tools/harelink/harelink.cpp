//===- harelink.cpp - Command line client ---------------------------------===//
///
/// \file
/// Writes resources to the platform, monitors the rollout, and sends single requests.
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

/// A command and its help text.
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
     "Validates all resources of the file, then writes each if it is still unchanged.\n"
     "      With --wait, returns when they are in force at every daemon.",
     applyCommand},
    {"check", "check FILE... [--against FILE | --server ADDRESS]",
     "Checks the files, which together are the complete configuration, and writes nothing:\n"
     "      errors, entries without effect, contradicting limits, and the differences from a\n"
     "      file or from the platform's objects. Returns 1 if there are errors.",
     checkCommand},
    {"get", "get [KIND [NAME]] [--output json]", "Lists resources, or prints one with its version.",
     getCommand},
    {"describe", "describe KIND NAME", "Prints one resource.", describeCommand},
    {"delete", "delete KIND NAME", "Deletes a resource if it is still unchanged.", deleteCommand},
    {"watch", "watch [KIND] [--changes N]", "Prints changes to resources as they happen.",
     watchCommand},
    {"call", "call PIPELINE --account NAME [--body JSON] [--key KEY] [--daemon ADDRESS] [--stream]",
     "Sends one request; the answer goes to standard output.", callCommand},
    {"status", "status [--output json]",
     "Prints for each listed daemon: ready, version in force, faults, platform, peers.",
     statusCommand},
    {"drain", "drain HOST [--wait [--wait_seconds N]]",
     "Stops a daemon after its requests in progress; with --wait, waits for its exit.",
     drainCommand},
    {"explain", "explain ID LOGFILE...",
     "Prints the lines of the daemons' logs that concern one request, by time. Lines that\n"
     "      name it are marked; the others show state changes of those daemons meanwhile.",
     explainCommand},
    {"keys", "keys [--output json]",
     "Creates the key pair that the daemons of a fleet share: their peerKeys.", keysCommand},
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

/// Returns whether \p word is a flag that exists, with its value in the same word.
bool isCompleteFlag(const std::string &word)
{
    const std::size_t begin = word.find_first_not_of('-');
    const std::size_t equals = word.find('=');
    const std::string name = word.substr(begin, equals - begin);
    gflags::CommandLineFlagInfo flag;
    if (gflags::GetCommandLineFlagInfo(name.c_str(), &flag)) {
        return equals != std::string::npos || flag.type == "bool";
    }
    return name.starts_with("no") && equals == std::string::npos
           && gflags::GetCommandLineFlagInfo(name.c_str() + 2, &flag) && flag.type == "bool";
}

/// Returns whether \p word names a flag whose value is the next word.
bool needsNextWord(const std::string &word)
{
    gflags::CommandLineFlagInfo flag;
    const std::size_t begin = word.find_first_not_of('-');
    return gflags::GetCommandLineFlagInfo(word.c_str() + begin, &flag) && flag.type != "bool";
}

/// Returns the first flag in \p words that does not exist or lacks its value; empty if there is
/// none. The flag library would exit with code 1, which means that a request was refused.
std::string findWrongFlag(const Words &words)
{
    for (std::size_t i = 0; i < words.size(); ++i) {
        const std::string &word = words[i];
        if (word == "--") {
            return {};
        }
        if (!word.starts_with('-') || word.find_first_not_of('-') == std::string::npos
            || isCompleteFlag(word)) {
            continue;
        }
        if (!needsNextWord(word) || ++i == words.size()) {
            return word;
        }
    }
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    Words arguments(argv + 1, argv + argc);
    const bool wantsHelp = std::any_of(arguments.begin(), arguments.end(), isHelp);
    if (arguments.empty() || isHelp(arguments[0])) {
        printHelp();
        return arguments.empty() ? ExitUsage : ExitDone;
    }
    const Command *command = findCommand(arguments[0]);
    if (command == nullptr) {
        fmt::print(stderr, "harelink: unknown command '{}'; see 'harelink --help'\n", arguments[0]);
        return ExitUsage;
    }
    if (wantsHelp) {
        fmt::print("usage: harelink {}\n{}\n", command->usage, command->help);
        return ExitDone;
    }
    const std::string wrongFlag = findWrongFlag(arguments);
    if (!wrongFlag.empty()) {
        fmt::print(stderr, "harelink: unknown flag or missing value: '{}'; see 'harelink --help'\n",
                   wrongFlag);
        return ExitUsage;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return command->run(Words(argv + 2, argv + argc));
}
