//===- harelink/Kernel/requestmachinestate.h - State ------------*- C++ -*-===//
///
/// \file
/// Per-request and per-pool state of BasicRequestMachine, and its constants.
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

/// A caller is answered this long before its deadline, so that the answer arrives in time.
inline constexpr std::chrono::milliseconds answerMargin{2};
/// Minimum time between two cold checks of a pool's endpoints by one worker.
inline constexpr std::chrono::milliseconds minColdCheckInterval{20};
/// Minimum time between two searches of one worker for candidates of a pool whose load is to be
/// probed: each costs another routing decision.
inline constexpr std::chrono::milliseconds minLoadProbeSearchInterval{100};
/// Interval at which queues are polled: another worker may have released an endpoint.
inline constexpr std::chrono::milliseconds queuePollInterval{5};
/// Minimum retry delay reported to a refused caller.
inline constexpr std::chrono::milliseconds minRetryAfter{100};
/// Maximum retry delay for a proxied request: forecasts beyond it are unreliable.
inline constexpr std::chrono::milliseconds maxRetryAfter{5000};
/// A caller returns within its remaining time divided by this: it needs the rest for the request.
inline constexpr int latestReturnDivisor = 3;
/// Maximum retry delay if rate limits are exhausted: another daemon may have a send slot sooner.
inline constexpr std::chrono::milliseconds maxRateLimitedRetryAfter{1000};
/// Retry tokens earned by each first send, and the maximum balance.
inline constexpr double retryTokensPerSend = 0.1;
inline constexpr double maxRetryTokens = 20;
/// Maximum number of sends of one request over all its stages, not counting those refused
/// before running.
inline constexpr std::uint32_t maxAttempts = 16;
/// Number of leading bytes of a request that are used as its prompt prefix.
inline constexpr std::size_t prefixBytes = 256;
/// Charge for a call to a pool without latency samples.
inline constexpr std::chrono::milliseconds defaultCharge{1};
/// Time after which a late claim grant is no longer released.
inline constexpr std::chrono::minutes lateGrantRetention{10};
/// A machine handles events more often than this unless its process is suspended.
inline constexpr std::chrono::milliseconds maxEventGap{750};

/// Maximum number of sends of one proxied request, including those refused before running:
/// each costs a connection and a share of the common retry budget.
inline constexpr std::uint32_t maxProxiedSends = 4;
/// Longer answers are not kept while the request is sent again to confirm their end.
inline constexpr std::size_t maxUnconfirmedBytes = 65'536;
/// Endpoints and routes whose framing is known; if exceeded, all are forgotten.
inline constexpr std::size_t maxFramingHabits = 8192;
/// Endpoints of a pool with which the framing of one is compared, and how many of them must differ
/// from it.
inline constexpr int maxFramingPeers = 64;
inline constexpr int minFramingPeers = 2;
/// After this number of failures to connect, another call of a request is made by a peer.
inline constexpr std::uint32_t maxConnectFailures = 2;
/// Minimum number of daemons assumed when the retry budget is divided.
inline constexpr int minDaemonCount = 3;
/// Initial estimate of the prompt tokens that a model engine prefills per second.
inline constexpr double defaultPrefillRate = 50'000;
/// Prompts with fewer tokens are not used to estimate that rate: a single engine step
/// takes as long.
inline constexpr std::uint64_t minPrefillSampleTokens = 4'000;
/// Smoothing factor of the estimated prefill rate and of the forecast bias.
inline constexpr double forecastSmoothing = 0.05;
inline constexpr double minForecastBias = 0.7;
inline constexpr double maxForecastBias = 2;
/// A prompt with fewer shared tokens has no preferred endpoint: prefilling them again costs
/// less than transferring piece results between data centres.
inline constexpr std::uint64_t minAffinityTokens = 1'500;
/// Time to the first event beside prefill: the engine's first step and the network hops.
inline constexpr std::chrono::milliseconds firstEventOverhead{25};
/// Factor applied to forecasts at admission, since half of them are too short.
inline constexpr double admissionMargin = 1.12;
/// Factor applied to the predicted wait for a call. Reports of queues are up to 250 ms old, and in
/// a burst a queue grows meanwhile; a pool is kept busy by a shorter queue than fits the objective.
inline constexpr double queueGrowthFactor = 2;
/// Maximum number of requests in progress, over all daemons together, that are admitted
/// although they are predicted to miss their objective. They use otherwise idle slots and must
/// be predicted to complete within the client timeout. Four at each of nine daemons served the
/// most requests; four at each of 86 would exceed the slots of all engines of a stage.
inline constexpr double maxLateAdmissions = 36;
/// A request is failed if its pieces are not completed within this multiple of its objective,
/// or within this fraction of the client timeout: it is late already and delays requests
/// that are not.
inline constexpr double maxPreparationObjectives = 1.5;
inline constexpr double preparationTimeoutShare = 0.7;
/// How often the lost results of one request are recomputed.
inline constexpr std::uint32_t maxRecomputations = 2;

/// Maximum number of digests whose completion is awaited; beyond it, all are dropped.
inline constexpr std::size_t maxSuspects = 4096;
/// A part of prompts is not suspected of a crash if a request with it completed within this
/// period. Longer, it would protect a part that has begun to crash endpoints.
inline constexpr std::chrono::milliseconds soundPartPeriod{10'000};
/// Maximum number of such parts, about 30 bytes each.
inline constexpr std::size_t maxSoundParts = 8192;
/// How long the origin of a stream is kept beyond its caller's deadline.
inline constexpr std::chrono::milliseconds takeUpMargin{1000};
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

/// Returns whether \p endpoint may start again under its identity. Others never reuse theirs.
inline bool mayStartAgain(const EndpointSpec &endpoint)
{
    return endpoint.startedAt != WallTime();
}

/// Returns whether the declared version of \p endpoint is that of the endpoint that runs now. Only
/// updates report that it has started again under its identity.
inline bool isVersionCurrent(const EndpointSpec &endpoint, bool receivesUpdates)
{
    return receivesUpdates || !mayStartAgain(endpoint);
}

} // namespace requestmachine

/// The predicted time of a request from its arrival to its answer or first event.
template <GuardPolicy G>
struct BasicRequestMachine<G>::Forecast
{
    Duration pieces{};     ///< Until all pieces are completed.
    Duration firstEvent{}; ///< From then on.
    double bias = 1;       ///< See forecastBias().

    [[nodiscard]] Duration total() const
    {
        return std::chrono::duration_cast<Duration>((pieces + firstEvent) * bias);
    }
};

/// The state of one request.
template <GuardPolicy G>
struct BasicRequestMachine<G>::Request
{
    enum class Phase { Locating, Claiming, Preparing, Queued, Running };

    RequestId id;
    std::string account;
    Hash128 digest; ///< See digestOf().
    PipelineSpec pipeline;
    std::string body;
    std::string idempotencyKey;
    std::string traceparent;
    Hash128 key;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint callerDeadline; ///< Not limited by the pipeline.
    Phase phase = Phase::Queued;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    /// The first stage counted in its pool's demand; all later stages are counted too.
    std::uint32_t demandFrom = 0;
    std::uint32_t refusals = 0; ///< Attempts that an endpoint refused before running them.
    bool holdsClaim = false;
    bool streams = false;
    std::uint64_t tokens = 0; ///< Tokens sent to the caller; their text is in \c text.
    std::string text;
    Duration timeToFirstChunk{};
    bool stageMayHaveRun = false; ///< A send of the current stage may have run.
    std::string previous;
    std::string endpoint; ///< Endpoint of the call in progress, or of the last failed call.
    std::optional<std::string> softwareVersion; ///< Of that endpoint; see EndpointSpec.
    bool endpointMayStartAgain = false;         ///< That endpoint may, under its identity.
    bool isRelayed = false;            ///< A peer makes the call in progress, or made the last one.
    std::uint32_t connectFailures = 0; ///< Calls for which no connection was established.
    TimePoint sentAt;
    Duration charged{};
    ScopedCount demand;   ///< Held while it is queued or in flight at a pool.
    ScopedCount inFlight; ///< Held while it is in flight.
    std::vector<StageCost> costs;

    std::shared_ptr<const ProxiedRequest> proxied; ///< Null for requests of the daemon's own API.
    int priority = 0;
    TimePoint objectiveAt; ///< Time by which its objective is met.
    Duration timeSpent{};  ///< Estimated time that its caller spent on earlier attempts.
    std::unique_ptr<PieceGraph> pieces;
    std::uint32_t recomputations = 0;
    TimePoint preparationDeadline;   ///< Fails at this time if its pieces are not completed.
    bool isAdmittedLate = false;     ///< Admitted although predicted to miss its objective.
    Duration prepared{};             ///< From the arrival until all pieces were completed.
    Forecast forecast;               ///< Made at admission.
    std::int64_t reservedTokens = 0; ///< Prompt tokens that its endpoint has to prefill.
    std::size_t tokensAhead = 0;     ///< Prompt tokens queued there before it.
    std::uint32_t loadClass = 0;     ///< Of its endpoint with it; see loadClassOf().
    bool headForwarded = false;      ///< The head of the stream was sent to the caller.
    /// Framing of the caller's reply, if its head was forwarded.
    AnswerFraming replyFraming = AnswerFraming::Connection;
    /// An answer that may be a part of the endpoint's, as only the end of its connection ended it.
    std::optional<ProxiedAnswer> unconfirmed;
    std::string unconfirmedBy; ///< Endpoint that sent it.
    /// ID of the last event that the caller has received.
    std::optional<std::uint64_t> lastEventId;
    bool isPlaced = false; ///< The current call has brought an event with an ID.
    /// The caller has events without an ID, so no other call can continue the stream.
    bool hasUnnumberedEvents = false;
    /// Where the stream began; set by its first event, or by the lookup of a stream that the
    /// caller takes up.
    std::optional<StreamOrigin> origin;
    std::uint32_t possibleRuns = 0;   ///< Sends that an endpoint may have started to run.
    std::uint32_t deliveredSends = 0; ///< Sends that reached an endpoint.
    /// A retry of the budget that is reserved for its next send.
    std::optional<RetryReservation> reservedRetry;

    [[nodiscard]] const StageSpec &stageSpec() const { return pipeline.stages[stage]; }
    [[nodiscard]] CallId call() const { return {id, stage, attempt}; }
    [[nodiscard]] std::size_t bytes() const { return body.size() + previous.size(); }
};

/// The state of one pool.
template <GuardPolicy G>
struct BasicRequestMachine<G>::PoolState
{
    FairQueue queue{PriorityOptions{G::guaranteesMinimum}};
    PoolDemand demand;
    SlotShares shares;
    LatencyModel latency;
    /// Estimated prefill rate of an engine.
    double tokensPerSecond = requestmachine::defaultPrefillRate;
    QueuePace pace;
    TimePoint nextColdCheck;       ///< Earliest time of the next cold check.
    TimePoint nextLoadProbeSearch; ///< Earliest time of the next search; see above.
};

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTMACHINESTATE_H
