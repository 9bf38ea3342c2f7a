//===- runresult.h - Options and result of a randomized run -----*- C++ -*-===//

#ifndef HARELINK_TEST_RANDRUN_RUNRESULT_H
#define HARELINK_TEST_RANDRUN_RUNRESULT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace harelink::sim {

/// The events of a run, besides requests, an operator's changes and faults.
enum class RunKind {
    Faults,
    /// Requests that crash the endpoints that run them and are retried at any host, and
    /// suspended hosts. A kind of its own, so that the other runs keep their fault frequency.
    CrashesAndSuspensions,
    /// Drains of one or all data centres, together with the other faults. A kind of its own
    /// for the same reason.
    Drains,
    /// Endpoints that announce rate limits in their answers.
    Limits,
    /// Endpoints that refuse requests and ask for a pause, and an endpoint whose answers
    /// announce that it is leaving.
    Pauses,
};

/// Options of a run.
struct RunOptions
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 0;
    RunKind kind = RunKind::Faults;
    int hosts = 0;               ///< 0 for the default of the run's kind.
    std::size_t traceLines = 60; ///< Trace lines kept for the report of a violation.
    bool restores = false;       ///< The store returns from older copies.
    bool brittle = false;        ///< Endpoints fail when they reject too many calls.
    bool partitions = false;     ///< Hosts lose the path to all endpoints.
    bool silences = false;       ///< Outages of the platform last seconds, without answers.
    bool versions = false;       ///< Callers take up streams; endpoints have several versions.
    bool releases = false;       ///< With versions: releases beside which hosts are killed.
    bool parts = false;          ///< Parts of prompts crash endpoints.
    bool retries = false;        ///< Many streams break, and many hosts are killed at once.
    bool uneven = false;         ///< Most streams, then all, begin at one host.
    bool crowds = false;         ///< Most connections go to a few hosts, then to others.
    int crowdedHosts = 1;        ///< How many of them.
    bool pages = false;          ///< Listings take several calls, between which objects change.
    bool readiness = false;      ///< The balancer takes out hosts that are not ready.
};

/// Result of a run.
struct RunResult
{
    std::uint64_t steps = 0;
    std::uint64_t traceHash = 0;
    int requests = 0;
    int faults = 0;
    std::map<std::string, int> outcomes;
    int streamsTakenUp = 0; ///< At undisturbed hosts, while their version was served.
    int streamsWentOn = 0;  ///< Of these.
    double budgetUse = 0;   ///< Repeats of the worst window, relative to the retry budget.
    double lentRetries = 0;
    double borrowedRetries = 0; ///< Of these, those that reached their borrowers in time.
    double servedRatio = 1;     ///< Of the worst crowd; see CrowdCallers.
    int turnedAway = 0;         ///< Connections of callers.
    std::vector<std::string> violations;
    std::vector<std::string> lastLines; ///< Last trace lines up to the first violation.
};

} // namespace harelink::sim

#endif // HARELINK_TEST_RANDRUN_RUNRESULT_H
