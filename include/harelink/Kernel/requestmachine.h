//===- harelink/Kernel/requestmachine.h - Request state machine -*- C++ -*-===//
///
/// \file
/// Executes requests through the stages of their pipelines. One machine belongs to one
/// worker thread and owns its requests from arrival to answer. It consumes events and
/// emits actions; it performs no I/O and uses only the clock and seed passed to it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTMACHINE_H
#define HARELINK_KERNEL_REQUESTMACHINE_H

#include "harelink/Kernel/budgetloans.h"
#include "harelink/Kernel/claims.h"
#include "harelink/Kernel/clienttimeoutmodel.h"
#include "harelink/Kernel/crashes.h"
#include "harelink/Kernel/endpointnotice.h"
#include "harelink/Kernel/endpointpace.h"
#include "harelink/Kernel/fadingratio.h"
#include "harelink/Kernel/fairqueue.h"
#include "harelink/Kernel/framinghabit.h"
#include "harelink/Kernel/guards.h"
#include "harelink/Kernel/latency.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/pooldemand.h"
#include "harelink/Kernel/proxied.h"
#include "harelink/Kernel/recentrefusals.h"
#include "harelink/Kernel/requestdigest.h"
#include "harelink/Kernel/retrybudget.h"
#include "harelink/Kernel/returnslots.h"
#include "harelink/Kernel/routing.h"
#include "harelink/Kernel/slotshares.h"
#include "harelink/Kernel/snapshot.h"
#include "harelink/Kernel/streams.h"
#include "harelink/Kernel/types.h"
#include "harelink/Support/random.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace harelink {

/// Event: a caller's request arrived.
struct RequestArrived
{
    RequestId id;
    std::string account;
    std::string pipeline;
    std::string body;
    std::string idempotencyKey;          ///< Empty if absent.
    std::optional<Duration> timeAllowed; ///< Defaults to the pipeline's deadline.
    std::string traceparent;             ///< W3C trace context; empty if absent.
    bool streams = false;                ///< Requests the last stage's answer as a stream.
    /// Set if the request is to be forwarded unchanged; then its route determines the pipeline
    /// and its API key the account. Shared with its calls.
    std::shared_ptr<const ProxiedRequest> proxied;
};

/// What the answer to a call is.
enum class AnswerKind {
    Body,   ///< A success with a body.
    Stream, ///< The regular end of a streamed success.
    Error,  ///< Anything but a success. Only proxied requests have it; other calls fail.
};

/// Event: an endpoint answered a call.
struct StageAnswered
{
    CallId call;   ///< The call on whose connection the answer was received.
    CallId echoed; ///< The call ID contained in the answer.
    AnswerKind kind = AnswerKind::Body;
    std::string body;
    Duration busy{}; ///< Service time reported by the endpoint; zero if absent.
    std::optional<ProxiedAnswer> proxied; ///< The complete answer to a proxied request.
    std::optional<EndpointNotice> notice; ///< std::nullopt if the protocol has none.
};

/// Event: the endpoint sent one event of a streamed answer to a proxied request.
struct StageEvent
{
    CallId call;        ///< As in StageAnswered.
    CallId echoed;      ///< As in StageAnswered.
    ProxiedAnswer head; ///< Head of the answer that the event belongs to.
    std::optional<std::uint64_t> eventId;
    bool isComment = false;               ///< It has neither an ID nor data.
    std::string bytes;                    ///< The complete event as received.
    std::optional<EndpointNotice> notice; ///< As in StageAnswered.
};

/// Event: a piece was computed or has failed.
struct PieceEnded
{
    PieceOutcome outcome;
};

/// Event: the endpoint sent a chunk of a streamed answer.
struct StageChunk
{
    CallId call;                  ///< As in StageAnswered.
    CallId echoed;                ///< As in StageAnswered.
    std::uint64_t firstToken = 0; ///< Offset in the complete answer, across all attempts.
    std::uint64_t tokens = 1;
    std::string text;
};

/// Event: a call failed.
struct StageFailed
{
    CallId call;
    SendEvidence evidence = SendEvidence::Sent;
    absl::Status status;
    /// The endpoint's own error answer, if it sent one.
    std::optional<ProxiedAnswer> proxied;
    bool isEndpointReplaced = false; ///< Another endpoint now uses the address.
    bool inputsGone = false;         ///< Piece results used by the request are no longer stored.
    bool isBroken = false;           ///< The connection was lost during the call.
    bool isRelayLost = false;        ///< The peer that made the call was lost, or its answer.
    std::optional<EndpointNotice> notice; ///< std::nullopt if the endpoint sent nothing.
};

/// Event: the caller disconnected, or is disconnected since it does not read.
struct CallerGone
{
    RequestId id;
    bool isTooSlow = false;
};

/// Action: send one stage of a request to an endpoint.
struct SendStage
{
    CallId call;
    std::string pool;
    bool isRelayed = false; ///< A peer shall make the call, since this daemon has no path.
    std::string endpoint;
    std::string endpointIdentity; ///< Identity that the endpoint at the address must report.
    std::optional<std::string> softwareVersion; ///< Of the endpoint; see EndpointSpec.
    std::string address;
    std::string protocol;
    std::string stage;
    std::string request;  ///< The caller's body.
    std::string previous; ///< The previous stage's answer; empty for the first stage.
    std::string idempotencyKey;
    bool repeatable = true;            ///< If false, no byte of the call may be sent twice.
    bool refusesBeforeRunning = false; ///< Status 429 and 503 mean that nothing ran.
    std::string traceparent;
    Duration timeout{};
    bool streams = false;              ///< Request a streamed answer if the protocol supports it.
    std::uint64_t tokensDelivered = 0; ///< Sent to the caller from a stream that broke; the
    std::string textDelivered;         ///< answer must continue directly after them.
    std::string account;
    int priority = 0; ///< 0 is the highest priority.
    std::shared_ptr<const ProxiedRequest> proxied;
    std::vector<std::string> inputs; ///< Handles of the piece results.
    /// ID of the event after which a stream resumes.
    std::optional<std::uint64_t> resumeAfter;
};

/// Action: order pieces of one request at \p pool.
struct OrderPieces
{
    std::string pool;
    std::vector<PieceOrder> orders;
};

/// Action: cancel the pieces of a request that are not completed.
struct WithdrawPieces
{
    RequestId id;
};

/// Action: release results that are no longer needed.
struct FreeResults
{
    std::vector<std::string> handles;
};

/// Action: forward an event of a proxied answer to the caller.
struct StreamEvents
{
    RequestId id;
    std::optional<ProxiedAnswer> head; ///< Set with the first event only.
    std::string bytes;
};

/// Action: report that another endpoint uses the declared address.
struct EndpointReplaced
{
    std::string endpoint;
};

/// Action: forward a chunk of the answer to the caller.
struct StreamChunk
{
    RequestId id;
    std::uint64_t firstToken = 0;
    std::uint64_t tokens = 1;
    std::string text;
};

/// Action: cancel a call.
struct CancelStage
{
    CallId call;
};

/// Action: answer the caller. Emitted exactly once for each RequestArrived.
struct AnswerCaller
{
    RequestId id;
    Hash128 digest; ///< See digestOf(); zero if the request was refused before it was parsed.
    std::string account;
    std::string pipeline;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::string body;      ///< The answer, if the outcome is Completed.
    absl::Status error;    ///< Otherwise, the error with its step and peer.
    bool replayed = false; ///< The answer is that of an earlier request with the same key.
    Duration retryAfter{}; ///< Delay before a retry; zero if a retry is pointless.
    Duration elapsed{};
    Duration allowed{};
    Duration timeToFirstChunk{}; ///< From the arrival to the first chunk of a stream; zero if none.
    std::uint64_t tokens = 0;    ///< Tokens or events sent as chunks.
    std::vector<StageCost> costs;
    /// The endpoint's answer to a proxied request, which may be an error of the endpoint.
    std::optional<ProxiedAnswer> proxied;
    std::string callerId; ///< Of a proxied request.
    std::string endpoint; ///< The endpoint of the last send.
    std::uint32_t sends = 0;
    Duration predicted{};          ///< Time to the answer or first event, predicted at admission.
    bool admittedLate = false;     ///< Admitted although it was predicted to miss its objective.
    std::size_t priorityClass = 0; ///< Of the route or account.
    Duration prepared{}; ///< From the arrival until all pieces were completed; zero if none.
};

/// An action requested by a machine.
using RequestAction =
    std::variant<SendStage, CancelStage, StreamChunk, AnswerCaller, ClaimRequest, ClaimFinish,
                 OrderPieces, WithdrawPieces, FreeResults, StreamEvents, EndpointReplaced,
                 EndpointNoticed, BrokenCallReport, RequestCleared, CheckColdState, ProbeLoad,
                 StreamBegan, LocateStream, EndpointPaceReport, RetriesWanted, RetriesLent>;

/// Counters of one machine.
struct RequestCounters
{
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesOverBudget = 0; ///< Not sent, since the retry budget was used up.
    std::uint64_t staleAnswers = 0;      ///< Answers to an attempt that is no longer current.
    std::uint64_t mismatchedAnswers = 0; ///< Answers that contain another call's ID.
    std::uint64_t doubtfulAnswers = 0;   ///< Answers that may be parts; see recordDoubt().
    std::uint64_t lateGrants = 0;        ///< Claims granted to a request that was already answered.
    std::uint64_t brokenCalls = 0;       ///< Calls whose connection was lost.
    std::uint64_t resumedStreams = 0;    ///< Resends that resume a broken stream.
    /// Requests sent before more urgent ones because of a guaranteed minimum.
    std::uint64_t dispatchesByMinimum = 0;
    /// Requests not admitted late, since more urgent ones had just been refused.
    std::uint64_t lateAdmissionsWithheld = 0;
    std::array<std::uint64_t, reasonCount> reasons{};
};

/// Limits and shares of one machine.
struct RequestLimits
{
    std::size_t maxRequests = 10'000; ///< Maximum in progress; further requests are refused.
    int workers = 1;            ///< Number of machines in this daemon that share the endpoints.
    RetryBudgetOptions retries; ///< For proxied requests.
    /// The number of live daemons, used to compute shares; null if this is the only daemon.
    const std::atomic<int> *daemons = nullptr;
    /// Whether this host is overloaded; null for never.
    const std::atomic<bool> *isCrowded = nullptr;
};

/// The request state machine. \p G is AllGuards in production.
template <GuardPolicy G>
class BasicRequestMachine
{
public:
    /// \param clock must outlive the machine.
    /// \param policy chooses endpoints.
    /// \param seed of the machine's random generator.
    BasicRequestMachine(const Clock &clock, std::unique_ptr<RoutingPolicy> policy,
                        std::uint64_t seed, RequestLimits limits);
    ~BasicRequestMachine();

    /// Handles an event. \p snapshot is the configuration in force.
    void handle(RequestArrived event, const Snapshot &snapshot);
    void handle(StageAnswered event, const Snapshot &snapshot);
    void handle(const StageChunk &event, const Snapshot &snapshot);
    void handle(const StageEvent &event, const Snapshot &snapshot);
    void handle(const PieceEnded &event, const Snapshot &snapshot);
    void handle(const StageFailed &event, const Snapshot &snapshot);
    void handle(const ClaimDecision &event, const Snapshot &snapshot);
    void handle(const CallerGone &event, const Snapshot &snapshot);
    void handle(const EndpointEnded &event, const Snapshot &snapshot);
    void handle(const RequestSuspected &event, const Snapshot &snapshot);
    void handle(const StreamLocated &event, const Snapshot &snapshot);
    void handle(const LendRetries &event, const Snapshot &snapshot);
    void handle(const RetriesBorrowed &event, const Snapshot &snapshot);
    /// Fails requests that are due and dispatches queued requests.
    void tick(const Snapshot &snapshot);
    /// Refuses new requests from now on; those in progress continue.
    void drain() { m_draining = true; }
    /// Answers all requests in progress immediately, with the outcome known so far.
    void abandonAll(const Snapshot &snapshot);

    /// Returns and clears the actions emitted since the last call.
    [[nodiscard]] std::vector<RequestAction> drainActions();
    /// Returns the time by which tick() must be called; std::nullopt if there are no requests.
    [[nodiscard]] std::optional<TimePoint> nextTick() const;
    /// Returns the number of requests in progress.
    [[nodiscard]] std::size_t inProgress() const { return m_requests.size(); }
    /// Returns the number of requests queued for an endpoint.
    [[nodiscard]] std::size_t queued() const;
    /// Returns the number of requests queued for an endpoint, by priority class.
    [[nodiscard]] std::array<std::size_t, priorityClassCount> queuedByClass() const;
    [[nodiscard]] const RequestCounters &counters() const { return m_counters; }

private:
    struct Request;
    struct PoolState;
    struct Forecast;
    struct FramingKey
    {
        std::string pool;
        std::string pipeline;
        std::string endpoint;
        auto operator<=>(const FramingKey &) const = default;
    };
    /// The queue that a new request would join at a pool.
    struct QueueForecast
    {
        double ahead = 0;    ///< Number of requests that are dispatched first.
        Duration interval{}; ///< Time between two dispatches.
    };

    Request *find(const RequestId &id);
    PoolState &poolState(const std::string &pool);
    std::optional<AnswerCaller> rejectOnArrival(const RequestArrived &event, const Hash128 &digest,
                                                const Snapshot &snapshot) const;
    [[nodiscard]] Duration quarantineLeft(const Hash128 &digest, const ProxiedRequest *proxied,
                                          const Snapshot &snapshot) const;
    void recordCompletion(const Request &request);
    void recordSoundParts(const ProxiedRequest &request);
    static EndpointFilter filterOf(const Request &request, const Snapshot &snapshot);
    static bool hasServingEndpoint(const Request &request, const Snapshot &snapshot);
    void failWithoutEndpoint(Request &request, const Snapshot &snapshot);
    void bindStream(Request &request);
    static Hash128 streamKeyOf(const Request &request, const std::string &callerId);
    static bool takesUpStream(const Request &request);
    void locateStream(Request &request, const Snapshot &snapshot);
    void failUnknownStream(Request &request, std::string_view message, const Snapshot &snapshot);
    void startRequest(Request &request, const Snapshot &snapshot);
    bool rejectQuarantined(Request &request, const Snapshot &snapshot);
    void claim(Request &request);
    static void resolveRoute(RequestArrived &event, const Snapshot &snapshot);
    void applyRoute(Request &request, const Snapshot &snapshot);
    bool beginPieces(Request &request, const Snapshot &snapshot);
    /// What the pieces of one stage read.
    struct StageInputs
    {
        SharedPieceSource source;
        std::string dataCentre;  ///< That holds most of the bytes.
        std::uint64_t bytes = 0; ///< Estimated.
    };
    static StageInputs inputsOf(const Request &request, std::uint32_t stage);
    void orderPieces(Request &request, const Snapshot &snapshot);
    [[nodiscard]] std::string preferredResultDataCentre(const Request &request,
                                                        const Snapshot &snapshot) const;
    [[nodiscard]] double forecastBias(const Request &request) const;
    Forecast forecast(const Request &request, const Snapshot &snapshot);
    std::vector<Duration> stageTimes(const Request &request, const Snapshot &snapshot) const;
    Duration forecastPieces(const Request &request, const Snapshot &snapshot) const;
    Duration forecastFirstEvent(const Request &request, const Snapshot &snapshot);
    bool mayAdmitLate(const Request &request, const Snapshot &snapshot);
    bool admit(Request &request, const Snapshot &snapshot);
    void recordForecastError(const Request &request);
    void samplePace(const Request &request);
    void reservePromptTokens(Request &request, const PoolEntry &pool,
                             const EndpointEntry &endpoint);
    void releasePromptTokens(Request &request, const Snapshot &snapshot);
    static std::string dataCentreOf(const std::string &endpoint, const Snapshot &snapshot);
    PromptInfo promptInfo(const Request &request);
    void cancelPieces(Request &request);
    void releaseResults(Request &request);
    void handleLostResults(Request &request, const Snapshot &snapshot);
    bool mayRetryProxied(Request &request, SendEvidence evidence);
    RetryBudget &retryBudget(const std::string &pool);
    [[nodiscard]] bool reserveRetry(Request &request);
    void releaseRetry(Request &request);
    [[nodiscard]] bool renewRetry(Request &request);
    void recordSentRetry(Request &request, const std::string &pool);
    void failWithoutRetry(Request &request, const Snapshot &snapshot);
    [[nodiscard]] int daemonCount() const;
    bool fitsDeadline(const Request &request, Duration needed);
    static FairQueue::Waiter queueKey(const Request &request);
    static int configuredPriority(const Request &request);
    void enqueue(Request &request, const Snapshot &snapshot);
    void dispatch(const std::string &name, const Snapshot &snapshot);
    static const EndpointEntry *endpointOf(const Request &request, const Snapshot &snapshot);
    static const EndpointEntry *preferredEndpoint(const Request &request, const PoolEntry &pool);
    void send(Request &request, const PoolEntry &pool, const EndpointEntry &endpoint,
              const Snapshot &snapshot);
    static std::shared_ptr<AccountLoad> accountLoad(const Request &request,
                                                    const Snapshot &snapshot);
    void charge(const Request &request, Duration amount, const Snapshot &snapshot);
    void reportBrokenCall(const Request &request);
    [[nodiscard]] const EndpointEntry *chooseEndpoint(RoutingQuery query, const Snapshot &snapshot);
    [[nodiscard]] const EndpointEntry *chooseWarmFirst(RoutingQuery &query);
    [[nodiscard]] bool awaitsColdCheck(const RoutingQuery &query);
    void probeStaleCandidates(const RoutingQuery &query, const EndpointEntry &chosen);
    [[nodiscard]] TimePoint latestStart(const Request &request);
    [[nodiscard]] bool hasSendSlot(const Request &request, const Snapshot &snapshot,
                                   std::size_t ahead);
    [[nodiscard]] const StageSpec *stageWithoutSendSlot(const Request &request,
                                                        const Snapshot &snapshot);
    void failWithoutSendSlot(Request &request, const std::string &pool, const Snapshot &snapshot);
    void recordFailedCall(const Request &request, const StageFailed &event,
                          const Snapshot &snapshot);
    void recordNotice(const Request &request, const std::optional<EndpointNotice> &notice,
                      const Snapshot &snapshot);
    void advance(Request &request, std::string &&stageAnswer, const Snapshot &snapshot);
    void complete(Request &request);
    void retryOrFail(Request &request, const StageFailed &event, const Snapshot &snapshot);
    bool sendAgain(Request &request, SendEvidence evidence, const Snapshot &snapshot);
    void completeProxied(Request &request, ProxiedAnswer &&endpointAnswer,
                         const Snapshot &snapshot);
    FramingHabit &framingHabit(const Request &request);
    FramingHabit &framingHabit(const Request &request, const std::string &endpoint);
    bool isBrokenOff(const Request &request, const ProxiedAnswer &endpointAnswer);
    [[nodiscard]] bool mayBePart(const Request &request, const ProxiedAnswer &endpointAnswer,
                                 const Snapshot &snapshot);
    [[nodiscard]] bool isFramingOutlier(const Request &request, const Snapshot &snapshot);
    void compareRuns(const Request &request, const ProxiedAnswer &endpointAnswer,
                     const Snapshot &snapshot);
    void recordComparison(const Request &request, const std::string &endpoint, bool isWhole,
                          const Snapshot &snapshot);
    Duration usualLatency(const Request &request);
    AnswerFraming replyFraming(const Request &request, AnswerFraming framing);
    void replaceByUnconfirmed(Request &request, AnswerCaller &action);
    bool mayRetry(Request &request, SendEvidence evidence);
    void fail(Request &request, Reason reason, absl::Status error, const Snapshot &snapshot);
    void recordUnawaitedClaim(const Request &request);
    void finishClaim(const Request &request, Outcome outcome, const std::string &answer);
    void answer(Request &request, AnswerCaller &&action);
    Request *findCurrent(const CallId &call);
    void rejectAnswer(const Request &request, std::string_view message, const Snapshot &snapshot);
    void withdraw(Request &request, const Snapshot &snapshot);
    void settleCall(Request &request, const Snapshot &snapshot);
    Outcome outcomeOfFailure(const Request &request) const;
    Duration remainingTime(const Request &request);
    Duration timeWithQueueing(const Request &request, const Snapshot &snapshot);
    QueueForecast queueForecast(const Request &request, const StageSpec &stage,
                                const Snapshot &snapshot);
    Duration queueWait(const Request &request, const StageSpec &stage, const Snapshot &snapshot);
    std::string describeLateness(const Request &request, Duration needed, const Snapshot &snapshot);
    void recordStall(PoolState &state, const PoolEntry &pool);
    void countDemand(Request &request, std::uint32_t from);
    Duration retryAfter(const Request &request, const Snapshot &snapshot);
    void refuseLate(Request &request, const Snapshot &snapshot);
    void handleTimeout(Request &request, const Snapshot &snapshot);
    void schedule(const Request &request, TimePoint at);
    void detectSuspension();
    void recordTimedOutCall(const Request &request, const Snapshot &snapshot);
    void recordLatency(const Request &request, Duration elapsed);

    const Clock &m_clock;
    std::unique_ptr<RoutingPolicy> m_policy;
    Random m_random;
    RequestLimits m_limits;
    bool m_draining = false;
    TimePoint m_lastEventAt; ///< Time of the last tick, answer or failure.
    TimePoint m_resumedAt;   ///< When this process last resumed after a suspension.
    double m_retryTokens;
    std::map<std::string, RetryBudget> m_budgets;               ///< By pool.
    std::map<std::string, ClientTimeoutModel> m_clientTimeouts; ///< By pipeline.
    /// By pipeline: ratio of real to predicted time.
    std::map<std::string, FadingRatio> m_forecastBias;
    std::map<FramingKey, FramingHabit> m_framingHabits;
    TimePoint m_crowdedAt = TimePoint::min();         ///< When the host was last overloaded.
    std::map<std::string, ReturnSlots> m_returnSlots; ///< By pipeline.
    std::size_t m_lateAdmissions = 0; ///< Requests in progress that were admitted late.
    RecentRefusals m_refusals;        ///< Of requests that were predicted to be late.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Request>> m_requests;
    // Ordered, so that the same events always produce the same actions.
    std::map<std::string, std::unique_ptr<PoolState>> m_pools;
    using Timer = std::pair<TimePoint, std::uint64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    // Requests answered while they waited for a claim.
    absl::flat_hash_set<std::uint64_t> m_unawaitedClaims;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_unawaitedClaimOrder;
    absl::flat_hash_set<Hash128>
        m_suspectDigests; ///< Digests whose next completion is to be reported.
    /// When a request with a part of prompts, by its digest, last completed.
    absl::flat_hash_map<Hash128, TimePoint> m_soundParts;
    std::vector<RequestAction> m_actions;
    RequestCounters m_counters;
};

/// The production request machine.
using RequestMachine = BasicRequestMachine<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTMACHINE_H
