//===- main.cpp - Command line of the randomized runs ---------------------===//
///
/// \file
/// harelink-randrun --seed N --steps M [--seeds K] [--crashes | --drains | --limits | --pauses]
///                  [--restores] [--silences] [--partitions] [--brittle] [--versions [--releases]]
///                  [--parts] [--retries [--uneven]] [--crowds [--crowded_hosts C] [--readiness]]
///                  [--pages] [--hosts H] [--lines L] [--without MECHANISM]
///
/// Executes K runs of M steps each, with the seeds from N on, and prints "violations: V".
/// On a violation, also prints the seed and the last lines of its trace. With --without
/// the run is a control: the kernel lacks one mechanism, and the exit code is 0 only if
/// some run violates an invariant.
///
//===----------------------------------------------------------------------===//

#include "players.h"

#include <algorithm>

#include <gflags/gflags.h>

#include <fmt/format.h>

DEFINE_uint64(seed, 1, "The first seed.");
DEFINE_uint64(seeds, 1, "Number of seeds to run.");
DEFINE_uint64(steps, 20'000, "Number of events of each run.");
DEFINE_bool(crashes, false, "Run requests that crash endpoints, and suspend hosts.");
DEFINE_bool(drains, false, "Drain data centres and end the drains.");
DEFINE_bool(limits, false, "Run endpoints that announce rate limits.");
DEFINE_bool(pauses, false,
            "Run endpoints that ask for pauses, and one that announces its departure.");
DEFINE_bool(restores, false, "In addition, let the store return from older copies.");
DEFINE_bool(silences, false,
            "Let outages of the platform last for seconds, in which calls get no answer; other "
            "faults are rarer.");
DEFINE_bool(brittle, false, "Run endpoints that fail when they reject too many calls.");
DEFINE_bool(partitions, false, "Cut hosts from all endpoints for seconds.");
DEFINE_bool(versions, false,
            "Run callers that take up broken streams at other hosts, and endpoints of several "
            "software versions.");
DEFINE_bool(releases, false,
            "With --versions: replace all endpoints by ones of a new version, while all hosts are "
            "killed at once or single hosts are out of step.");
DEFINE_bool(parts, false,
            "Run requests with parts in their prompts that crash endpoints, no two requests alike, "
            "beside streams that share all other parts.");
DEFINE_bool(retries, false,
            "Break many streams while hosts are killed together, and compare the repeats of all "
            "hosts with the retry budget.");
DEFINE_bool(uneven, false,
            "With --retries: let most streams, then all, begin at one host, which borrows retries "
            "of the others.");
DEFINE_bool(
    crowds, false,
    "Direct most new connections of a data centre, then of all, to a few hosts, then to others.");
DEFINE_int32(crowded_hosts, 1, "With --crowds: the number of these hosts.");
DEFINE_bool(pages, false, "Let listings take several calls, between which objects change.");
DEFINE_bool(readiness, false, "With --crowds: the balancer takes out hosts that are not ready.");
DEFINE_int32(hosts, 0, "Number of hosts; 0 for the default of the run's kind.");
DEFINE_uint64(lines, 60, "Number of trace lines to print on a violation.");
DEFINE_string(without, "", "The mechanism to disable; empty for none.");

std::map<std::string, harelink::sim::Player> &harelink::sim::players()
{
    static std::map<std::string, Player> all;
    return all;
}

namespace {

using namespace harelink;
using namespace harelink::sim;

RunKind kindOfRun()
{
    if (FLAGS_drains) {
        return RunKind::Drains;
    }
    if (FLAGS_limits) {
        return RunKind::Limits;
    }
    if (FLAGS_pauses) {
        return RunKind::Pauses;
    }
    return FLAGS_crashes ? RunKind::CrashesAndSuspensions : RunKind::Faults;
}

void printViolation(std::uint64_t seed, const RunResult &result)
{
    fmt::print("seed {}: {}\n", seed, result.violations.front());
    if (FLAGS_without.empty()) {
        for (const std::string &line : result.lastLines) {
            fmt::print("    {}\n", line);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto player = players().find(FLAGS_without);
    if (player == players().end()) {
        fmt::print(stderr, "randrun: there is no mechanism '{}'\n", FLAGS_without);
        return 2;
    }
    const RunKind kind = kindOfRun();
    std::size_t violations = 0;
    std::uint64_t steps = 0;
    std::uint64_t traceHash = 0;
    int requests = 0;
    int faults = 0;
    int streamsTakenUp = 0;
    int streamsWentOn = 0;
    double budgetUse = 0;
    double lentRetries = 0;
    double borrowedRetries = 0;
    double servedRatio = 1;
    int turnedAway = 0;
    std::map<std::string, int> outcomes;
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        const RunResult result = player->second(
            {FLAGS_seed + i, FLAGS_steps, kind, FLAGS_hosts, FLAGS_lines, FLAGS_restores,
             FLAGS_brittle, FLAGS_partitions, FLAGS_silences, FLAGS_versions,
             FLAGS_versions && FLAGS_releases, FLAGS_parts, FLAGS_retries, FLAGS_uneven,
             FLAGS_crowds, std::max(1, FLAGS_crowded_hosts), FLAGS_pages, FLAGS_readiness});
        if (!result.violations.empty()) {
            if (violations == 0) {
                printViolation(FLAGS_seed + i, result);
            }
            violations += result.violations.size();
        }
        steps += result.steps;
        traceHash ^= result.traceHash;
        requests += result.requests;
        faults += result.faults;
        streamsTakenUp += result.streamsTakenUp;
        streamsWentOn += result.streamsWentOn;
        budgetUse = std::max(budgetUse, result.budgetUse);
        lentRetries += result.lentRetries;
        borrowedRetries += result.borrowedRetries;
        servedRatio = std::min(servedRatio, result.servedRatio);
        turnedAway += result.turnedAway;
        for (const auto &[outcome, count] : result.outcomes) {
            outcomes[outcome] += count;
        }
    }
    fmt::print("seeds {} from {}, steps {}, requests {}, faults {}, trace {:016x}\n", FLAGS_seeds,
               FLAGS_seed, steps, requests, faults, traceHash);
    for (const auto &[outcome, count] : outcomes) {
        fmt::print("  {} {}\n", outcome, count);
    }
    if (FLAGS_versions) {
        fmt::print("  streams taken up {}, of these went on {}\n", streamsTakenUp, streamsWentOn);
    }
    if (FLAGS_retries) {
        fmt::print("  largest use of the retry budget {:.2f}\n", budgetUse);
        fmt::print("  retries lent {:.1f}, of these borrowed in time {:.1f}\n", lentRetries,
                   borrowedRetries);
    }
    if (FLAGS_crowds) {
        fmt::print("  served of what crowded hosts read, at least {:.2f} of the share before; {} "
                   "connections turned away\n",
                   servedRatio, turnedAway);
    }
    if (FLAGS_uneven && borrowedRetries == 0) {
        // Without loans, the run would show nothing about them.
        fmt::print("no retries were borrowed\n");
        ++violations;
    }
    fmt::print("violations: {}\n", violations);
    const bool control = !FLAGS_without.empty();
    return (violations > 0) == control ? 0 : 1;
}
