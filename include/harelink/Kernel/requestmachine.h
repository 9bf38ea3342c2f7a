//===- harelink/Kernel/requestmachine.h - A request's life ------*- C++ -*-===//
///
/// \file
/// Takes requests through the stages of their pipelines. One machine belongs to
/// one worker thread and owns its requests for their whole life. Events go in,
/// actions come out; the machine reads no clock, socket or random device.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTMACHINE_H
#define HARELINK_KERNEL_REQUESTMACHINE_H

#include "harelink/Kernel/claims.h"
#include "harelink/Kernel/clienttimeoutmodel.h"
#include "harelink/Kernel/crashes.h"
#include "harelink/Kernel/endpointnotice.h"
#include "harelink/Kernel/fairqueue.h"
#include "harelink/Kernel/guards.h"
#include "harelink/Kernel/latency.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/pooldemand.h"
#include "harelink/Kernel/proxied.h"
#include "harelink/Kernel/requestdigest.h"
#include "harelink/Kernel/retrybudget.h"
#include "harelink/Kernel/routing.h"
#include "harelink/Kernel/slotshares.h"
#include "harelink/Kernel/snapshot.h"
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

/// Event: a caller's request came in.
struct RequestArrived
{
    RequestId id;
    std::string account;
    std::string pipeline;
    std::string body;
    std::string idempotencyKey;          ///< Empty where the caller gave none.
    std::optional<Duration> timeAllowed; ///< The pipeline's deadline where absent.
    std::string traceparent;             ///< W3C; empty where the caller gave none.
    bool streams = false;                ///< Wants the last stage's answer as it comes.
    /// Where it is to be passed on unchanged: its route then gives the pipeline, and its
    /// API key the account. Shared with the calls that carry it.
    std::shared_ptr<const ProxiedRequest> proxied;
};

/// Event: an endpoint answered a call.
struct StageAnswered
{
    CallId call;   ///< The call on whose connection the answer came.
    CallId echoed; ///< The identity that the answer itself carries.
    std::string body;
    Duration busy{};                      ///< The endpoint's own time; zero where it tells none.
    int reportedActive = -1;              ///< Its load report; negative where it sent none.
    std::optional<ProxiedAnswer> proxied; ///< The whole answer to a proxied request.
    std::optional<EndpointNotice> notice; ///< Absent where the protocol has none.
};

/// Event: an event of the answer to a proxied request that streams.
struct StageEvent
{
    CallId call;        ///< As in StageAnswered.
    CallId echoed;      ///< As in StageAnswered.
    ProxiedAnswer head; ///< Of the answer that it is part of.
    std::optional<std::uint64_t> eventId;
    std::string bytes;                    ///< The whole event, as it came.
    std::optional<EndpointNotice> notice; ///< As in StageAnswered.
};

/// Event: a piece was made, or not.
struct PieceEnded
{
    PieceOutcome outcome;
};

/// Event: a part of the answer to a call that streams.
struct StageChunk
{
    CallId call;                  ///< As in StageAnswered.
    CallId echoed;                ///< As in StageAnswered.
    std::uint64_t firstToken = 0; ///< Its place in the whole answer, over all attempts.
    std::uint64_t tokens = 1;
    std::string text;
};

/// Event: a call failed.
struct StageFailed
{
    CallId call;
    SendEvidence evidence = SendEvidence::Sent;
    absl::Status status;
    /// The endpoint's own answer, where it failed by one.
    std::optional<ProxiedAnswer> proxied;
    bool isEndpointReplaced = false;      ///< Another endpoint has taken over the address.
    bool inputsGone = false;              ///< Results that the request names are no longer kept.
    bool isBroken = false;                ///< The connection ended in the middle of the call.
    std::optional<EndpointNotice> notice; ///< Absent where nothing came from the endpoint.
};

/// Event: an endpoint's life is over, though it may go on under another name.
struct EndpointEnded
{
    std::string endpoint;
};

/// Event: the caller went away.
struct CallerGone
{
    RequestId id;
};

/// Action: send one stage to an endpoint.
struct SendStage
{
    CallId call;
    std::string endpoint;
    std::string endpointIdentity; ///< What the endpoint at the address must call itself.
    std::string address;
    std::string protocol;
    std::string stage;
    std::string request;  ///< The caller's body.
    std::string previous; ///< The answer of the stage before; empty at the first.
    std::string idempotencyKey;
    bool repeatable = true;            ///< False: not a byte of it may be sent a second time.
    bool refusesBeforeRunning = false; ///< The endpoint's 429 and 503 mean that nothing ran.
    std::string traceparent;
    Duration timeout{};
    bool streams = false;              ///< The answer is wanted as it comes, if that can be had.
    std::uint64_t tokensDelivered = 0; ///< Already passed on to the caller, from a stream that
    std::string textDelivered;         ///< broke: the answer is to go on right behind them.
    std::string account;
    int priority = 0; ///< 0 is the most urgent.
    std::shared_ptr<const ProxiedRequest> proxied;
    std::vector<std::string> inputs; ///< Results of the pieces.
    /// The event behind which a stream is to go on.
    std::optional<std::uint64_t> resumeAfter;
};

/// Action: have pieces of one request made at \p pool.
struct OrderPieces
{
    std::string pool;
    std::vector<PieceOrder> orders;
};

/// Action: the pieces of a request that are not made yet are no longer wanted.
struct WithdrawPieces
{
    RequestId id;
};

/// Action: these results are no longer needed.
struct FreeResults
{
    std::vector<std::string> handles;
};

/// Action: pass an event of a carried answer on to the caller.
struct StreamEvents
{
    RequestId id;
    std::optional<ProxiedAnswer> head; ///< With the first event only.
    std::string bytes;
};

/// Action: an endpoint is no longer where it was declared.
struct EndpointReplaced
{
    std::string endpoint;
};

/// Action: pass a part of the answer on to the caller.
struct StreamChunk
{
    RequestId id;
    std::uint64_t firstToken = 0;
    std::uint64_t tokens = 1;
    std::string text;
};

/// Action: stop a call; its answer is no longer wanted.
struct CancelStage
{
    CallId call;
};

/// Action: answer the caller. Comes exactly once for each RequestArrived.
struct AnswerCaller
{
    RequestId id;
    Hash128 digest; ///< As digestOf() gives it; zero where it was refused unread.
    std::string account;
    std::string pipeline;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::string body;      ///< The answer, where the outcome is Completed.
    absl::Status error;    ///< With the step and the peer, otherwise.
    bool replayed = false; ///< The stored answer of an earlier request.
    Duration retryAfter{}; ///< When to come back; zero where that is of no use.
    Duration elapsed{};
    Duration allowed{};
    Duration timeToFirstChunk{}; ///< From the arrival to the first part of a stream, or zero.
    std::uint64_t tokens = 0;    ///< Passed on in parts.
    std::vector<StageCost> costs;
    /// The endpoint's answer, also a failure of its own, where the request was carried.
    std::optional<ProxiedAnswer> proxied;
    std::string callerId; ///< Of a proxied request.
    std::string endpoint; ///< Where it was sent last.
    std::uint32_t sends = 0;
    Duration predicted{};      ///< At its admission, to the answer or its first event.
    bool admittedLate = false; ///< Was taken in although it would miss its objective.
    Duration prepared{};       ///< From the arrival until all pieces were made; zero without.
};

/// What a machine wants done.
using RequestAction =
    std::variant<SendStage, CancelStage, StreamChunk, AnswerCaller, ClaimRequest, ClaimFinish,
                 OrderPieces, WithdrawPieces, FreeResults, StreamEvents, EndpointReplaced,
                 EndpointNoticed, BrokenCallReport, RequestCleared, CheckColdState>;

/// Counts of what a machine did.
struct RequestCounters
{
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t staleAnswers = 0;      ///< For an attempt that is no longer current.
    std::uint64_t mismatchedAnswers = 0; ///< That carry another call's identity.
    std::uint64_t lateGrants = 0;        ///< For a request already given up on.
    std::uint64_t brokenCalls = 0;       ///< Whose connection ended in the middle.
    std::uint64_t resumedStreams = 0;    ///< Sent on behind what a broken stream had brought.
    std::array<std::uint64_t, reasonCount> reasons{};
};

/// How a machine limits itself.
struct RequestLimits
{
    std::size_t maxRequests = 10'000; ///< In progress; more are refused.
    int workers = 1;                  ///< Machines that share the endpoints.
    RetryBudgetOptions retries;       ///< Of proxied requests.
    /// How many daemons are alive, for shares that need no talk; null for this one alone.
    const std::atomic<int> *daemons = nullptr;
};

/// The machine. \p G is AllGuards in the product.
template <GuardPolicy G>
class BasicRequestMachine
{
public:
    /// \param clock outlives the machine.
    /// \param policy chooses endpoints.
    /// \param seed of the machine's random draws.
    BasicRequestMachine(const Clock &clock, std::unique_ptr<RoutingPolicy> policy,
                        std::uint64_t seed, RequestLimits limits);
    ~BasicRequestMachine();

    /// The events. \p snapshot is the configuration now in force.
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
    /// Time passed: gives up what is due and sends what can go.
    void tick(const Snapshot &snapshot);
    /// From now on refuses new requests; those in progress go on.
    void drain() { m_draining = true; }
    /// Answers all that is in progress, as honestly as can be, at once.
    void abandonAll(const Snapshot &snapshot);

    /// Takes the actions that came up since the last call.
    [[nodiscard]] std::vector<RequestAction> drainActions();
    /// When tick() is due at the latest; nothing while no request is there.
    [[nodiscard]] std::optional<TimePoint> nextTick() const;
    /// How many requests are in progress.
    [[nodiscard]] std::size_t inProgress() const { return m_requests.size(); }
    /// How many requests wait for an endpoint.
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] const RequestCounters &counters() const { return m_counters; }

private:
    struct Request;
    struct PoolState;
    /// The queue that a new request finds at a pool.
    struct QueueForecast
    {
        double ahead = 0;    ///< Requests that go before it.
        Duration interval{}; ///< Between two of them.
    };

    Request *find(const RequestId &id);
    PoolState &poolState(const std::string &pool);
    std::optional<AnswerCaller> rejectOnArrival(const RequestArrived &event, const Hash128 &digest,
                                                const Snapshot &snapshot) const;
    [[nodiscard]] Duration quarantineLeft(const Hash128 &digest, const Snapshot &snapshot) const;
    static RegionLimit regionsOf(const Request &request, const Snapshot &snapshot);
    bool rejectQuarantined(Request &request, const Snapshot &snapshot);
    void claim(Request &request);
    static void resolveRoute(RequestArrived &event, const Snapshot &snapshot);
    void applyRoute(Request &request, const Snapshot &snapshot);
    bool beginPieces(Request &request, const Snapshot &snapshot);
    void orderPieces(Request &request, const Snapshot &snapshot);
    [[nodiscard]] std::string preferredResultDataCentre(const Request &request,
                                                        const Snapshot &snapshot) const;
    Duration forecast(const Request &request, const Snapshot &snapshot);
    std::vector<Duration> stageTimes(const Request &request, const Snapshot &snapshot) const;
    Duration forecastPieces(const Request &request, const Snapshot &snapshot) const;
    Duration forecastFirstEvent(const Request &request, const Snapshot &snapshot);
    bool mayAdmitLate(const Request &request, const Snapshot &snapshot);
    bool admit(Request &request, const Snapshot &snapshot);
    void recordForecastError(const Request &request);
    void reservePromptTokens(Request &request, const PoolEntry &pool,
                             const EndpointEntry &endpoint);
    void releasePromptTokens(Request &request, const Snapshot &snapshot);
    static std::string dataCentreOf(const std::string &endpoint, const Snapshot &snapshot);
    PromptInfo promptInfo(const Request &request);
    void dropPieces(Request &request);
    void releaseResults(Request &request);
    void handleLostResults(Request &request, const Snapshot &snapshot);
    bool mayRetryProxied(const Request &request, SendEvidence evidence);
    RetryBudget &retryBudget(const std::string &pool);
    [[nodiscard]] int daemons() const;
    bool fitsDeadline(const Request &request, Duration needed);
    static FairQueue::Waiter queueKey(const Request &request);
    void enqueue(Request &request, const Snapshot &snapshot);
    void dispatch(const std::string &pool, const Snapshot &snapshot);
    static const EndpointEntry *endpointOf(const Request &request, const Snapshot &snapshot);
    static const EndpointEntry *preferredEndpoint(const Request &request, const PoolEntry &pool);
    void send(Request &request, const PoolEntry &pool, const EndpointEntry &endpoint,
              const Snapshot &snapshot);
    static std::shared_ptr<AccountLoad> accountLoad(const Request &request,
                                                    const Snapshot &snapshot);
    void charge(const Request &request, Duration amount, const Snapshot &snapshot);
    void reportBrokenCall(const Request &request);
    [[nodiscard]] const EndpointEntry *chooseEndpoint(RoutingQuery query, const Snapshot &snapshot);
    [[nodiscard]] bool awaitsColdCheck(const RoutingQuery &query);
    [[nodiscard]] TimePoint latestStart(const Request &request);
    [[nodiscard]] bool hasSendSlot(const Request &request, const Snapshot &snapshot,
                                   std::size_t ahead);
    [[nodiscard]] const StageSpec *stageWithoutSendSlot(const Request &request,
                                                        const Snapshot &snapshot);
    void failWithoutSendSlot(Request &request, const std::string &pool, const Snapshot &snapshot);
    void recordNotice(const Request &request, const std::optional<EndpointNotice> &notice,
                      const Snapshot &snapshot);
    void advance(Request &request, std::string &&stageAnswer, const Snapshot &snapshot);
    void complete(Request &request);
    void retryOrFail(Request &request, const StageFailed &event, const Snapshot &snapshot);
    bool mayRetry(const Request &request, SendEvidence evidence);
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
    Duration timeWithWaits(const Request &request, const Snapshot &snapshot);
    QueueForecast queueForecast(const Request &request, const StageSpec &stage,
                                const Snapshot &snapshot);
    Duration queueWait(const Request &request, const StageSpec &stage, const Snapshot &snapshot);
    std::string describeLateness(const Request &request, Duration needed, const Snapshot &snapshot);
    void recordStall(PoolState &state, const PoolEntry &pool);
    void countDemand(Request &request, std::uint32_t from);
    Duration retryAfter(const Request &request, const Snapshot &snapshot);
    void expire(Request &request, const Snapshot &snapshot);
    void schedule(const Request &request, TimePoint at);
    void detectSuspension();
    void recordTimedOutCall(const Request &request, const Snapshot &snapshot);
    void recordLatency(const Request &request, Duration elapsed);

    const Clock &m_clock;
    std::unique_ptr<RoutingPolicy> m_policy;
    Random m_random;
    RequestLimits m_limits;
    bool m_draining = false;
    TimePoint m_lastEventAt; ///< Of the last tick, answer or failure.
    TimePoint m_resumedAt;   ///< When this process last woke from a long pause.
    double m_retryTokens;
    std::map<std::string, RetryBudget> m_budgets;               ///< By pool.
    std::map<std::string, ClientTimeoutModel> m_clientTimeouts; ///< By pipeline.
    std::map<std::string, double> m_forecastBias; ///< By pipeline: real against predicted time.
    std::size_t m_lateAdmissions = 0;             ///< In progress that were taken in to be late.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Request>> m_requests;
    // Ordered, so that the same events always give the same actions.
    std::map<std::string, std::unique_ptr<PoolState>> m_pools;
    using Timer = std::pair<TimePoint, std::uint64_t>;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    absl::flat_hash_set<std::uint64_t> m_unawaitedClaims; // Answered while they waited.
    std::deque<std::pair<TimePoint, std::uint64_t>> m_unawaitedClaimOrder;
    absl::flat_hash_set<Hash128> m_suspects; ///< Requests whose good ends are to be told.
    std::vector<RequestAction> m_actions;
    RequestCounters m_counters;
};

/// The machine of the product.
using RequestMachine = BasicRequestMachine<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTMACHINE_H
