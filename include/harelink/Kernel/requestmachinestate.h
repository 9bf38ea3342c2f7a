//===- harelink/Kernel/requestmachinestate.h - State ------------*- C++ -*-===//
///
/// \file
/// What BasicRequestMachine keeps of a request and of a pool, and its constants.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTMACHINESTATE_H
#define HARELINK_KERNEL_REQUESTMACHINESTATE_H

#include "harelink/Kernel/piecegraph.h"
#include "harelink/Kernel/queuepace.h"
#include "harelink/Kernel/requestmachine.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

namespace requestmachine {

/// A caller is answered this long before its deadline, so that the answer is in time.
inline constexpr std::chrono::milliseconds answerMargin{2};
/// Least time between two status checks of a pool's endpoints by one worker.
inline constexpr std::chrono::milliseconds minColdCheckInterval{20};
/// How soon a waiting queue is looked at again: another worker may have freed an endpoint.
inline constexpr std::chrono::milliseconds queuePollInterval{5};
/// The shortest time after which a refused caller is told to come back.
inline constexpr std::chrono::milliseconds minRetryAfter{100};
/// The longest for a proxied request: what a forecast says of later is worth nothing.
inline constexpr std::chrono::milliseconds maxRetryAfter{5000};
/// The longest where rate limits are used up: another daemon may have a turn sooner.
inline constexpr std::chrono::milliseconds maxRateLimitedRetryAfter{1000};
/// Retries earned by each first send, and the most that can be saved up.
inline constexpr double retryTokensPerSend = 0.1;
inline constexpr double maxRetryTokens = 20;
/// Sends of one request over all its stages, those refused before running apart.
inline constexpr std::uint32_t maxAttempts = 16;
/// Bytes of a request that are taken for its prompt's prefix.
inline constexpr std::size_t prefixBytes = 256;
/// The charge for a call while nothing is known of its pool.
inline constexpr std::chrono::milliseconds defaultCharge{1};
/// How long a grant may be late and still be given back.
inline constexpr std::chrono::minutes lateGrantRetention{10};
/// A machine has a turn more often than this, unless its process stands still.
inline constexpr std::chrono::milliseconds maxEventGap{750};

/// Sends of one proxied request, those refused before running among them: each costs a
/// connection and a part of the budget that all daemons share.
inline constexpr std::uint32_t maxProxiedSends = 4;
/// Daemons that the retry budget is divided among while fewer are known.
inline constexpr int minDaemonCount = 3;
/// Tokens of prompts that a model engine reads in a second, until it is learnt.
inline constexpr double defaultPrefillRate = 50'000;
/// Prompts of fewer tokens say little of that rate: a step of the engine takes as long.
inline constexpr std::uint64_t minPrefillSampleTokens = 4'000;
/// Share by which one sample moves the learnt rate, or the learnt error of forecasts.
inline constexpr double forecastSmoothing = 0.05;
inline constexpr double minForecastBias = 0.7;
inline constexpr double maxForecastBias = 2;
/// A prompt with fewer shared tokens has no home: to read them again costs users less than
/// results of pieces that cross data centres.
inline constexpr std::uint64_t minAffinityTokens = 1'500;
/// What a model engine needs besides reading: its first step and the hops.
inline constexpr std::chrono::milliseconds firstEventOverhead{25};
/// A forecast is taken to be this many times as long: half of them are too short.
inline constexpr double admissionMargin = 1.12;
/// Requests that are taken in although they will miss their objective: so many at once at
/// all daemons together, and only where they are predicted to be done within their caller's
/// patience. They fill places that nobody else wants. Four at each of nine daemons served
/// most; four at each of 86 would be more than all engines of a stage have places for.
inline constexpr double maxLateAdmissions = 36;
/// A request whose pieces are not made in so many times its objective, or in this part of
/// its caller's patience, is given up: it is late already, and holds up those that are not.
inline constexpr double maxPreparationObjectives = 1.5;
inline constexpr double preparationTimeoutShare = 0.7;
/// Added to the priority of a request that will miss its objective.
inline constexpr int latePriorityPenalty = 100;
/// How often lost results of one request are made again.
inline constexpr std::uint32_t maxRecomputations = 2;

/// Requests whose good ends are waited for; all are forgotten where they would be more.
inline constexpr std::size_t maxSuspects = 4096;
inline constexpr std::string_view quarantineMessage =
    "endpoints have ended under such requests, which are not run any more";

inline double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

inline Duration fromSeconds(double time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

} // namespace requestmachine

/// What the machine keeps of a request.
template <GuardPolicy G>
struct BasicRequestMachine<G>::Request
{
    enum class Phase { Claiming, Preparing, Queued, Running };

    RequestId id;
    std::string account;
    Hash128 digest; ///< As digestOf() gives it.
    PipelineSpec pipeline;
    std::string body;
    std::string idempotencyKey;
    std::string traceparent;
    Hash128 key;
    TimePoint arrivedAt;
    TimePoint deadline;
    Phase phase = Phase::Queued;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    /// The first stage that is counted in its pool's demand, as are all after it.
    std::uint32_t demandFrom = 0;
    std::uint32_t refusals = 0; ///< Attempts that an endpoint refused before running them.
    bool holdsClaim = false;
    bool streams = false;
    std::uint64_t tokens = 0; ///< Passed on to the caller, with their text.
    std::string text;
    Duration timeToFirstChunk{};
    bool stageMayHaveRun = false; ///< A send of the current stage may have run.
    std::string previous;
    std::string endpoint; ///< Of the call in progress, or of the last one that failed.
    TimePoint sentAt;
    Duration charged{};
    ScopedCount demand;   ///< While it waits or is in flight at a pool.
    ScopedCount inFlight; ///< While it is in flight.
    std::vector<StageCost> costs;

    std::shared_ptr<const ProxiedRequest> proxied; ///< Null for the product's own requests.
    int priority = 0;
    TimePoint objectiveAt; ///< Its objective, as a time.
    Duration timeSpent{};  ///< By its caller on earlier tries, as far as can be told.
    std::unique_ptr<PieceGraph> pieces;
    std::uint32_t recomputations = 0;
    TimePoint preparationDeadline;   ///< When it is given up if its pieces are not made.
    bool isAdmittedLate = false;     ///< Was taken in although it will miss its objective.
    Duration prepared{};             ///< From the arrival until all pieces were made.
    Duration predicted{};            ///< From the arrival to the answer or its first event.
    std::int64_t reservedTokens = 0; ///< That its endpoint has to read for it.
    std::size_t tokensAhead = 0;     ///< That were to be read there before it.
    bool headForwarded = false;      ///< The caller has got the beginning of a stream.
    std::optional<std::uint64_t> lastEventId; ///< Passed on, or seen by the caller before.
    std::uint32_t possibleRuns = 0;           ///< Sends that an endpoint may have begun to work on.
    std::uint32_t deliveredSends = 0;         ///< Sends that reached an endpoint.

    [[nodiscard]] const StageSpec &stageSpec() const { return pipeline.stages[stage]; }
    [[nodiscard]] CallId call() const { return {id, stage, attempt}; }
    [[nodiscard]] std::size_t bytes() const { return body.size() + previous.size(); }
};

/// What the machine keeps of a pool.
template <GuardPolicy G>
struct BasicRequestMachine<G>::PoolState
{
    FairQueue queue;
    PoolDemand demand;
    SlotShares shares;
    LatencyModel latency;
    double tokensPerSecond = requestmachine::defaultPrefillRate; ///< That an engine reads.
    QueuePace pace;
    TimePoint nextColdCheck; ///< When a status check may next be made.
};

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTMACHINESTATE_H
