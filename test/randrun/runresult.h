//===- runresult.h - What a randomised run came to --------------*- C++ -*-===//

#ifndef HARELINK_TEST_RANDRUN_RUNRESULT_H
#define HARELINK_TEST_RANDRUN_RUNRESULT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace harelink::sim {

/// What a run plays besides requests, an operator's changes and faults.
enum class RunKind {
    Faults,
    /// Requests that end the endpoints that run them and come again at any host, and hosts
    /// that are suspended. Apart, so that the faults of the other runs are drawn as often as
    /// they were.
    CrashesAndSuspensions,
    /// Data centres that operators drain and take back, one or all of them, among the other
    /// faults; apart for the same reason.
    Drains,
    /// Endpoints that state rate limits in their answers.
    Limits,
    /// Endpoints that refuse requests and ask for a pause, and one that announces in its
    /// answers that it is leaving.
    Pauses,
};

/// What a run is to be.
struct RunOptions
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 0;
    RunKind kind = RunKind::Faults;
    int hosts = 0;               ///< 0 for as many as its kind has.
    std::size_t traceLines = 60; ///< Kept for a violation.
};

/// What a run came to.
struct RunResult
{
    std::uint64_t steps = 0;
    std::uint64_t traceHash = 0;
    int requests = 0;
    int faults = 0;
    std::map<std::string, int> outcomes;
    std::vector<std::string> violations;
    std::vector<std::string> lastLines; ///< Of the trace up to the first violation.
};

} // namespace harelink::sim

#endif // HARELINK_TEST_RANDRUN_RUNRESULT_H
