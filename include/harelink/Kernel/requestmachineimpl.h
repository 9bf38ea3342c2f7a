//===- harelink/Kernel/requestmachineimpl.h - Definitions -------*- C++ -*-===//
///
/// \file
/// The definitions of BasicRequestMachine. Included only where the template is
/// instantiated: once in the product, and by tests that take a guard out.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTMACHINEIMPL_H
#define HARELINK_KERNEL_REQUESTMACHINEIMPL_H

#include "harelink/Kernel/requestmachine.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <cassert>

#include <fmt/format.h>

namespace harelink {

namespace requestmachine {

/// A caller is answered this long before its deadline, so that the answer is in time.
inline constexpr std::chrono::milliseconds answerMargin{2};
/// How soon a waiting queue is looked at again: another worker may have freed an endpoint.
inline constexpr std::chrono::milliseconds queuePollInterval{5};
/// The shortest time after which a refused caller is told to come back.
inline constexpr std::chrono::milliseconds leastRetryAfter{100};
/// Retries earned by each first send, and the most that can be saved up.
inline constexpr double retryTokensPerSend = 0.1;
inline constexpr double mostRetryTokens = 20;
/// Sends of one request over all its stages, those refused before running apart.
inline constexpr std::uint32_t mostAttempts = 16;
/// Bytes of a request that are taken for its prompt's prefix.
inline constexpr std::size_t prefixBytes = 256;
/// The charge for a call while nothing is known of its pool.
inline constexpr std::chrono::milliseconds unknownCharge{1};
/// How long a grant may be late and still be given back.
inline constexpr std::chrono::minutes lateGrantMemory{10};
/// A machine has a turn more often than this, unless its process stands still.
inline constexpr std::chrono::milliseconds longestTurnGap{750};
/// So long a pool of which nobody can be reached is taken to be restarting: its queue
/// is expected to move on as before. Later it is taken to stand still.
inline constexpr std::chrono::seconds restartAllowance{5};
/// Share by which one dispatch moves the smoothed interval between dispatches.
inline constexpr double intervalSmoothing = 0.2;

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
    enum class Phase { Claiming, Queued, Running };

    RequestId id;
    std::string account;
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
    Duration firstPiece{};
    bool sentUnsettled = false; ///< A send of the current stage may have run.
    std::string previous;
    std::string endpoint; ///< Of the call in progress, or of the last one that failed.
    TimePoint sentAt;
    Duration charged{};
    CountHold demand;   ///< While it waits or is in flight at a pool.
    CountHold inFlight; ///< While it is in flight.
    std::vector<StageCost> costs;

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
    Duration dispatchInterval{}; ///< Smoothed, while requests waited.
    TimePoint lastDispatch;
    std::optional<TimePoint> unreachableSince; ///< No endpoint answers a connection.
};

template <GuardPolicy G>
BasicRequestMachine<G>::BasicRequestMachine(const Clock &clock,
                                            std::unique_ptr<RoutingPolicy> policy,
                                            std::uint64_t seed, RequestLimits limits)
    : m_clock(clock)
    , m_policy(std::move(policy))
    , m_random(seed)
    , m_limits(limits)
    , m_lastTurn(clock.now())
    , m_resumedAt(clock.now())
    , m_retryTokens(requestmachine::mostRetryTokens)
{
    assert(m_policy != nullptr && "a machine needs a routing policy");
}

template <GuardPolicy G>
BasicRequestMachine<G>::~BasicRequestMachine() = default;

template <GuardPolicy G>
std::vector<RequestAction> BasicRequestMachine<G>::takeActions()
{
    return std::exchange(m_actions, {});
}

template <GuardPolicy G>
std::size_t BasicRequestMachine<G>::queued() const
{
    std::size_t count = 0;
    for (const auto &[name, pool] : m_pools) {
        count += pool->queue.size();
    }
    return count;
}

template <GuardPolicy G>
std::optional<TimePoint> BasicRequestMachine<G>::nextTick() const
{
    if (m_requests.empty()) {
        return std::nullopt;
    }
    TimePoint next = m_timers.empty() ? TimePoint::max() : m_timers.top().first;
    if (queued() > 0) {
        next = std::min(next, m_clock.now() + requestmachine::queuePollInterval);
    }
    return next;
}

template <GuardPolicy G>
auto BasicRequestMachine<G>::find(const RequestId &id) -> Request *
{
    const auto found = m_requests.find(id.sequence);
    if (found == m_requests.end() || found->second->id != id) {
        return nullptr;
    }
    return found->second.get();
}

template <GuardPolicy G>
auto BasicRequestMachine<G>::poolState(const std::string &pool) -> PoolState &
{
    std::unique_ptr<PoolState> &state = m_pools[pool];
    if (state == nullptr) {
        state = std::make_unique<PoolState>();
    }
    return *state;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::schedule(const Request &request, TimePoint at)
{
    m_timers.emplace(at, request.id.sequence);
}

// Arrival ---------------------------------------------------------------------

template <GuardPolicy G>
std::optional<AnswerCaller> BasicRequestMachine<G>::refuseAtOnce(const RequestArrived &event,
                                                                 const Snapshot &snapshot) const
{
    const auto refusal = [&event](Reason reason, absl::StatusCode code, std::string_view step,
                                  const std::string &peer, std::string_view message) {
        AnswerCaller answer;
        answer.id = event.id;
        answer.outcome = Outcome::NotRun;
        answer.reason = reason;
        answer.error = makeError(code, step, peer, message);
        return answer;
    };
    if (m_draining) {
        return refusal(Reason::Draining, absl::StatusCode::kUnavailable, "admission", "",
                       "this daemon is stopping");
    }
    if (!snapshot.ready) {
        return refusal(Reason::NotReady, absl::StatusCode::kUnavailable, "admission", "",
                       "no configuration has been seen yet");
    }
    const PipelineSpec *pipeline = snapshot.pipeline(event.pipeline);
    if (pipeline == nullptr) {
        return refusal(Reason::UnknownPipeline, absl::StatusCode::kNotFound, "admission", "",
                       "there is no such pipeline");
    }
    if (snapshot.account(event.account) == nullptr) {
        return refusal(Reason::UnknownAccount, absl::StatusCode::kPermissionDenied, "admission", "",
                       "there is no such client account");
    }
    if (event.body.size() > pipeline->largestBody) {
        return refusal(Reason::BodyTooLarge, absl::StatusCode::kInvalidArgument, "admission", "",
                       fmt::format("the body is larger than {} bytes", pipeline->largestBody));
    }
    if (!pipeline->repeatable && event.idempotencyKey.empty()) {
        return refusal(Reason::KeyMissing, absl::StatusCode::kInvalidArgument, "admission", "",
                       "this pipeline may not be repeated and needs an idempotency key");
    }
    if (m_requests.size() >= m_limits.mostRequests) {
        return refusal(Reason::TooManyRequests, absl::StatusCode::kResourceExhausted, "admission",
                       "", "as many requests as allowed are in progress");
    }
    return std::nullopt;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(RequestArrived event, const Snapshot &snapshot)
{
    if (std::optional<AnswerCaller> refusal = refuseAtOnce(event, snapshot)) {
        refusal->account = event.account;
        refusal->pipeline = event.pipeline;
        refusal->retryAfter = requestmachine::leastRetryAfter;
        ++m_counters.reasons[static_cast<std::size_t>(refusal->reason)];
        m_actions.emplace_back(*std::move(refusal));
        return;
    }
    const TimePoint now = m_clock.now();
    auto owned = std::make_unique<Request>();
    Request &request = *owned;
    request.id = event.id;
    request.pipeline = *snapshot.pipeline(event.pipeline);
    request.account = std::move(event.account);
    request.body = std::move(event.body);
    request.idempotencyKey = std::move(event.idempotencyKey);
    request.traceparent = std::move(event.traceparent);
    request.streams = event.streams;
    request.arrivedAt = now;
    request.deadline = now + event.timeAllowed.value_or(request.pipeline.deadline);
    const bool added = m_requests.emplace(event.id.sequence, std::move(owned)).second;
    assert(added && "a request arrives once");
    (void)added;

    request.demandFrom = static_cast<std::uint32_t>(request.pipeline.stages.size());
    if (!fitsDeadline(request, timeWithWaits(request, snapshot))) {
        fail(request, Reason::CannotFinish,
             makeError(absl::StatusCode::kDeadlineExceeded, "admission", "",
                       "the predicted time does not fit into the deadline"),
             snapshot);
        return;
    }
    countDemand(request, 0);
    schedule(request, request.deadline - requestmachine::answerMargin);
    if (!request.pipeline.repeatable && G::claimsBeforeSending) {
        claim(request);
        return;
    }
    enqueue(request, snapshot);
    dispatch(request.stageSpec().pool, snapshot);
}

// Claims ----------------------------------------------------------------------

template <GuardPolicy G>
void BasicRequestMachine<G>::claim(Request &request)
{
    request.phase = Request::Phase::Claiming;
    const std::string name =
        fmt::format("{}\n{}\n{}", request.account, request.pipeline.name, request.idempotencyKey);
    request.key = hash128(name);
    ClaimRequest action;
    action.claimant = request.id;
    action.key = request.key;
    action.digest = hash128(fmt::format("{}\n{}", request.pipeline.name, request.body));
    action.patience = request.deadline - m_clock.now();
    m_actions.emplace_back(std::move(action));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const ClaimDecision &event, const Snapshot &snapshot)
{
    Request *request = find(event.claimant);
    if (request == nullptr || request->phase != Request::Phase::Claiming) {
        // Only a request that was given up while it waited gives a grant back.
        // One that ran may see a copy of its grant, and must not release it.
        const bool givenUp = m_givenUpClaims.contains(event.claimant.sequence);
        if (event.verdict == ClaimVerdict::Granted && request == nullptr && givenUp) {
            ++m_counters.lateGrants;
            m_actions.emplace_back(
                ClaimFinish{event.claimant, event.key, ClaimEnd::Released, std::string()});
        }
        return;
    }
    switch (event.verdict) {
    case ClaimVerdict::Granted:
        request->holdsClaim = true;
        enqueue(*request, snapshot);
        dispatch(request->stageSpec().pool, snapshot);
        return;
    case ClaimVerdict::Stored: {
        AnswerCaller stored;
        stored.outcome = Outcome::Completed;
        stored.body = event.answer;
        stored.replayed = true;
        answer(*request, std::move(stored));
        return;
    }
    case ClaimVerdict::KeyReused:
        fail(*request, Reason::KeyReused,
             makeError(absl::StatusCode::kInvalidArgument, "claim", "platform",
                       "the idempotency key came before with another request"),
             snapshot);
        return;
    case ClaimVerdict::MayHaveRun: {
        AnswerCaller unknown;
        unknown.outcome = Outcome::Unknown;
        unknown.reason = Reason::MayHaveRun;
        unknown.error = makeError(absl::StatusCode::kAborted, "claim", "platform",
                                  "this key's request may have run and will not be run again");
        answer(*request, std::move(unknown));
        return;
    }
    case ClaimVerdict::Unavailable:
        // Nothing was written, but a copy of the claim may still be on its way.
        rememberGivenUp(*request);
        if (event.inDoubt) {
            finishClaim(*request, Outcome::NotRun, {});
        }
        fail(*request, Reason::ClaimUnavailable,
             makeError(absl::StatusCode::kUnavailable, "claim", "platform",
                       "the claim could not be written"),
             snapshot);
        return;
    }
}

/// A grant may still come for a request that is answered while it waits for one.
template <GuardPolicy G>
void BasicRequestMachine<G>::rememberGivenUp(const Request &request)
{
    if (request.phase == Request::Phase::Claiming
        && m_givenUpClaims.insert(request.id.sequence).second) {
        m_givenUpOrder.emplace_back(m_clock.now(), request.id.sequence);
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::finishClaim(const Request &request, Outcome outcome,
                                         const std::string &answer)
{
    // Whoever still waits for a grant may have got one: it must be given back.
    const bool mayHoldClaim = request.holdsClaim || request.phase == Request::Phase::Claiming;
    if (request.pipeline.repeatable || !mayHoldClaim) {
        return;
    }
    rememberGivenUp(request);
    ClaimFinish finish;
    finish.claimant = request.id;
    finish.key = request.key;
    finish.end = ClaimEnd::Abandoned;
    if (outcome == Outcome::Completed) {
        finish.end = ClaimEnd::Done;
        finish.answer = answer;
    } else if (outcome == Outcome::NotRun) {
        finish.end = ClaimEnd::Released;
    }
    m_actions.emplace_back(std::move(finish));
}

// Predicted times -------------------------------------------------------------

/// The time that the stages left need, without waiting.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::remainingTime(const Request &request)
{
    Duration total{};
    for (std::size_t i = request.stage; i < request.pipeline.stages.size(); ++i) {
        total += poolState(request.pipeline.stages[i].pool)
                     .latency.typical(m_clock.now(), request.bytes());
    }
    return total;
}

/// The time that all stages of a new request need, with the queues before them.
/// While the request is at one stage, the queues of the later ones move on.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::timeWithWaits(const Request &request, const Snapshot &snapshot)
{
    Duration total{};
    for (const StageSpec &stage : request.pipeline.stages) {
        const Duration call = poolState(stage.pool).latency.typical(m_clock.now(), request.bytes());
        total = std::max(total, queueWait(request, stage, snapshot)) + call;
    }
    return total;
}

/// Whether a request that still needs \p needed is predicted to be in time.
template <GuardPolicy G>
bool BasicRequestMachine<G>::fitsDeadline(const Request &request, Duration needed)
{
    return !G::admitsByPrediction || m_clock.now() + needed < request.deadline;
}

/// The time until all that now goes before \p request has been sent to a stage's
/// pool, from this worker.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::queueWait(const Request &request, const StageSpec &stage,
                                           const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.pool(stage.pool);
    const PoolState &state = poolState(stage.pool);
    if (pool == nullptr || state.demand.size() == 0) {
        return {};
    }
    // At best this worker has the whole pool; how fast its queue moved says more.
    const int slots = std::max(1, pool->totalSlots);
    const Duration atBest =
        state.latency.typical(m_clock.now(), request.bytes()) * m_limits.workers / slots;
    Duration interval = std::max(state.dispatchInterval, atBest);
    if (state.unreachableSince) {
        const Duration down = m_clock.now() - *state.unreachableSince;
        interval = down < requestmachine::restartAllowance ? interval : std::max(interval, down);
    } else if (state.queue.size() > 0) {
        interval = std::max(interval, m_clock.now() - state.lastDispatch);
    }
    const double ahead = state.demand.ahead(snapshot, request.account);
    return requestmachine::fromSeconds(ahead * requestmachine::seconds(interval));
}

/// Counts a request in the demand of its stages' pools from stage \p from on, and
/// no more in that of the stages before.
template <GuardPolicy G>
void BasicRequestMachine<G>::countDemand(Request &request, std::uint32_t from)
{
    const auto demand = [&](std::uint32_t stage) -> PoolDemand & {
        return poolState(request.pipeline.stages[stage].pool).demand;
    };
    while (request.demandFrom > from) {
        demand(--request.demandFrom).add(request.account);
    }
    while (request.demandFrom < from) {
        demand(request.demandFrom++).remove(request.account);
    }
}

template <GuardPolicy G>
Duration BasicRequestMachine<G>::retryAfter(const Request &request, const Snapshot &snapshot)
{
    Duration wait = requestmachine::leastRetryAfter;
    for (const StageSpec &stage : request.pipeline.stages) {
        wait = std::max(wait, queueWait(request, stage, snapshot));
    }
    return wait;
}

// Dispatch --------------------------------------------------------------------

template <GuardPolicy G>
FairQueue::Place BasicRequestMachine<G>::placeOf(const Request &request)
{
    if (!G::ordersByUse) {
        return {{}, request.arrivedAt, request.id.sequence};
    }
    return {request.account, request.deadline, request.id.sequence};
}

template <GuardPolicy G>
void BasicRequestMachine<G>::enqueue(Request &request, const Snapshot &snapshot)
{
    const std::string &pool = request.stageSpec().pool;
    request.phase = Request::Phase::Queued;
    countDemand(request, request.stage);
    PoolState &state = poolState(pool);
    if (state.queue.size() == 0) {
        state.lastDispatch = m_clock.now();
    }
    state.queue.push(placeOf(request));
    if (const std::shared_ptr<AccountLoad> load = accountLoad(request, snapshot)) {
        request.demand = CountHold({load, &load->demand});
    }
    // It is given up on as soon as it can no longer finish, not at its deadline.
    schedule(request, request.deadline - remainingTime(request));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::dispatch(const std::string &poolName, const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.pool(poolName);
    PoolState &state = poolState(poolName);
    const TimePoint now = m_clock.now();
    if (pool == nullptr) {
        state.shares = {}; // Nothing may hold back those who are to be told so.
    } else if (G::sharesSlots && state.queue.size() > 0) {
        state.shares.update(snapshot, *pool, now);
    }
    while (const std::optional<std::uint64_t> sequence =
               state.queue.pop(snapshot, poolName, state.shares, now)) {
        Request &request = *m_requests.at(*sequence);
        if (pool == nullptr || pool->endpoints.empty()) {
            fail(request, Reason::NoEndpoint,
                 makeError(absl::StatusCode::kUnavailable, "routing", poolName,
                           "the pool has no endpoint"),
                 snapshot);
            continue;
        }
        const EndpointEntry *avoid =
            request.endpoint.empty() ? nullptr : pool->find(request.endpoint);
        const EndpointEntry *endpoint =
            m_policy->choose({*pool, now, homeOf(request, *pool), avoid}, m_random);
        if (endpoint == nullptr) {
            state.queue.push(placeOf(request));
            if (state.shares.usableSlots() == 0 && !state.unreachableSince) {
                state.unreachableSince = now;
            }
            return;
        }
        // A probe says nothing of how fast the queue moves.
        if (!isOnProbation(*endpoint)) {
            const double before = requestmachine::seconds(state.dispatchInterval);
            const double gap = requestmachine::seconds(now - state.lastDispatch);
            state.dispatchInterval = requestmachine::fromSeconds(
                before + (gap - before) * requestmachine::intervalSmoothing);
            state.lastDispatch = now;
            state.unreachableSince.reset();
        }
        send(request, *pool, *endpoint, snapshot);
    }
}

/// The endpoint that is likely to have the request's prompt still at hand.
template <GuardPolicy G>
const EndpointEntry *BasicRequestMachine<G>::homeOf(const Request &request, const PoolEntry &pool)
{
    if (!pool.spec.keepsPrompts) {
        return nullptr;
    }
    const std::string prefix =
        request.account + request.body.substr(0, requestmachine::prefixBytes);
    return pool.homeOf(hash64(prefix));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::send(Request &request, const PoolEntry &pool,
                                  const EndpointEntry &endpoint, const Snapshot &snapshot)
{
    assert((request.pipeline.repeatable || request.holdsClaim || !G::claimsBeforeSending)
           && "a request that may not be repeated is sent under a claim only");
    const TimePoint now = m_clock.now();
    request.phase = Request::Phase::Running;
    countDemand(request, request.stage + 1);
    request.endpoint = endpoint.spec.name;
    request.sentAt = now;
    ++request.attempt;
    if (request.costs.size() <= request.stage) {
        request.costs.push_back({request.stageSpec().name, pool.spec.name, {}, {}, 0, 0});
        m_retryTokens = std::min(m_retryTokens + requestmachine::retryTokensPerSend,
                                 requestmachine::mostRetryTokens);
    }
    ++request.costs[request.stage].sends;
    ++m_counters.sends;
    noteSend(endpoint, now);
    if (const std::shared_ptr<AccountLoad> load = accountLoad(request, snapshot)) {
        request.inFlight = CountHold({load, &load->inFlight});
    }
    const Duration typical =
        poolState(pool.spec.name).latency.typical(m_clock.now(), request.bytes());
    request.charged = std::max<Duration>(typical, requestmachine::unknownCharge);
    charge(request, request.charged, snapshot);

    SendStage action;
    action.call = request.call();
    action.endpoint = endpoint.spec.name;
    action.address = endpoint.spec.address;
    action.protocol = pool.spec.protocol;
    action.stage = request.stageSpec().name;
    action.request = request.body;
    action.previous = request.previous;
    action.idempotencyKey = request.idempotencyKey;
    action.repeatable = request.pipeline.repeatable;
    action.refusesBeforeRunning = endpoint.spec.refusesBeforeRunning;
    action.traceparent = request.traceparent;
    action.timeout = request.deadline - now;
    action.streams = request.streams && request.stage + 1 == request.pipeline.stages.size();
    action.tokensBefore = request.tokens;
    action.textBefore = request.text;
    m_counters.resumedStreams += request.tokens > 0 ? 1 : 0;
    m_actions.emplace_back(std::move(action));
}

/// Books use of the stage's pool to the account. A call is charged when it is
/// sent, by estimate, so that a burst cannot outrun its own bill.
template <GuardPolicy G>
void BasicRequestMachine<G>::charge(const Request &request, Duration amount,
                                    const Snapshot &snapshot)
{
    if (const std::shared_ptr<AccountLoad> load = accountLoad(request, snapshot)) {
        load->use.add(m_clock.now(), amount);
    }
}

/// The account's load at the stage's pool; null for what is no longer declared.
template <GuardPolicy G>
std::shared_ptr<AccountLoad> BasicRequestMachine<G>::accountLoad(const Request &request,
                                                                 const Snapshot &snapshot)
{
    const AccountEntry *account = snapshot.account(request.account);
    if (account == nullptr) {
        return nullptr;
    }
    const auto found = account->loads.find(request.stageSpec().pool);
    return found == account->loads.end() ? nullptr : found->second;
}

/// Books the end of the call in progress: the endpoint's place and the use.
template <GuardPolicy G>
void BasicRequestMachine<G>::settleCall(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    StageCost &cost = request.costs[request.stage];
    cost.elapsed += now - request.sentAt;
    request.demand = {};
    request.inFlight = {};
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    if (pool == nullptr) {
        return;
    }
    if (const EndpointEntry *endpoint = pool->find(request.endpoint)) {
        const int before = endpoint->load->inFlight.fetch_sub(1, std::memory_order_relaxed);
        // An endpoint declared anew under the same name starts from zero.
        if (before <= 0) {
            endpoint->load->inFlight.store(0, std::memory_order_relaxed);
        }
    }
}

// Answers ---------------------------------------------------------------------

/// The request that now waits for an answer to \p call, or null.
template <GuardPolicy G>
auto BasicRequestMachine<G>::findCurrent(const CallId &call) -> Request *
{
    Request *request = find(call.request);
    const bool running = request != nullptr && request->phase == Request::Phase::Running;
    if (!running || (G::matchesAttempts && request->call() != call)) {
        ++m_counters.staleAnswers;
        return nullptr;
    }
    return request;
}

/// Takes an answer that is not the request's own for a failure of its call.
template <GuardPolicy G>
void BasicRequestMachine<G>::refuseAnswer(const Request &request, std::string_view message,
                                          const Snapshot &snapshot)
{
    ++m_counters.mismatchedAnswers;
    m_actions.emplace_back(CancelStage{request.call()});
    StageFailed failure;
    failure.call = request.call();
    failure.status = makeError(absl::StatusCode::kInternal, "stage " + request.stageSpec().name,
                               request.endpoint, message);
    handle(failure, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const StagePiece &event, const Snapshot &snapshot)
{
    noticePause();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    if (G::matchesAttempts && event.echoed != event.call) {
        refuseAnswer(*request, "the stream carries another call's identity", snapshot);
        return;
    }
    // A token is passed on once, and none before those that stand in front of it.
    if (G::matchesAttempts && event.firstToken != request->tokens) {
        refuseAnswer(*request, "the stream repeats or leaves out a token", snapshot);
        return;
    }
    if (const PoolEntry *pool = snapshot.pool(request->stageSpec().pool)) {
        if (const EndpointEntry *endpoint = pool->find(request->endpoint)) {
            noteProgress(*endpoint, m_clock.now());
        }
    }
    if (request->tokens == 0) {
        request->firstPiece = m_clock.now() - request->arrivedAt;
    }
    request->tokens += event.tokens;
    request->text += event.text;
    m_actions.emplace_back(StreamPiece{request->id, event.firstToken, event.tokens, event.text});
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(StageAnswered event, const Snapshot &snapshot)
{
    noticePause();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    if (G::matchesAttempts && event.echoed != event.call) {
        refuseAnswer(*request, "the answer carries another call's identity", snapshot);
        return;
    }
    const Duration elapsed = m_clock.now() - request->sentAt;
    const std::string poolName = request->stageSpec().pool;
    settleCall(*request, snapshot);
    learnLatency(*request, elapsed);
    if (const PoolEntry *pool = snapshot.pool(poolName)) {
        const Duration busy = event.busy == Duration{} ? elapsed : event.busy;
        StageCost &cost = request->costs[request->stage];
        cost.busy += busy;
        cost.cost += requestmachine::seconds(busy) * pool->spec.costPerSecond;
        if (const EndpointEntry *endpoint = pool->find(request->endpoint)) {
            noteSuccess(*endpoint, elapsed, m_clock.now());
            if (event.reportedActive >= 0) {
                endpoint->load->reportedActive.store(event.reportedActive,
                                                     std::memory_order_relaxed);
            }
        }
        charge(*request, busy - request->charged, snapshot);
    }
    advance(*request, std::move(event.body), snapshot);
    dispatch(poolName, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::advance(Request &request, std::string &&stageAnswer,
                                     const Snapshot &snapshot)
{
    request.previous = std::move(stageAnswer);
    request.sentUnsettled = false;
    request.phase = Request::Phase::Queued;
    request.endpoint.clear();
    ++request.stage;
    if (request.stage == request.pipeline.stages.size()) {
        complete(request);
        return;
    }
    if (!fitsDeadline(request, remainingTime(request))) {
        fail(request, Reason::CannotFinish,
             makeError(absl::StatusCode::kDeadlineExceeded, "stage " + request.stageSpec().name, "",
                       "the stages left do not fit into the deadline"),
             snapshot);
        return;
    }
    enqueue(request, snapshot);
    dispatch(request.stageSpec().pool, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::complete(Request &request)
{
    AnswerCaller action;
    action.outcome = Outcome::Completed;
    action.body = request.previous;
    answer(request, std::move(action));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const StageFailed &event, const Snapshot &snapshot)
{
    noticePause();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    const std::string poolName = request->stageSpec().pool;
    settleCall(*request, snapshot);
    charge(*request, m_clock.now() - request->sentAt - request->charged, snapshot);
    request->phase = Request::Phase::Queued;
    if (const PoolEntry *pool = snapshot.pool(poolName)) {
        if (const EndpointEntry *endpoint = pool->find(request->endpoint)) {
            noteFailure(*pool, *endpoint, event.evidence, m_clock.now());
        }
    }
    if (event.evidence == SendEvidence::Sent) {
        request->sentUnsettled = true;
    }
    if (event.evidence == SendEvidence::RefusedBeforeRun) {
        ++request->refusals;
    }
    retryOrFail(*request, event, snapshot);
    dispatch(poolName, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::retryOrFail(Request &request, const StageFailed &event,
                                         const Snapshot &snapshot)
{
    if (mayRetry(request, event.evidence)) {
        ++m_counters.retries;
        enqueue(request, snapshot);
        return;
    }
    fail(request, Reason::StageFailed, event.status, snapshot);
}

template <GuardPolicy G>
bool BasicRequestMachine<G>::mayRetry(const Request &request, SendEvidence evidence)
{
    const bool mayHaveRun = evidence == SendEvidence::Sent;
    if (mayHaveRun && !request.pipeline.repeatable && G::retriesOnlyRepeatable) {
        return false;
    }
    if (request.attempt - request.refusals >= requestmachine::mostAttempts) {
        return false;
    }
    if (!fitsDeadline(request, remainingTime(request))) {
        return false;
    }
    // These cost the endpoint nothing, and it is left alone for a while already.
    if (evidence != SendEvidence::Sent) {
        return true;
    }
    if (m_retryTokens < 1) {
        return false;
    }
    m_retryTokens -= 1;
    return true;
}

template <GuardPolicy G>
Outcome BasicRequestMachine<G>::outcomeOfFailure(const Request &request) const
{
    if (!G::notRunNeedsEvidence) {
        return Outcome::NotRun;
    }
    if (request.sentUnsettled || request.phase == Request::Phase::Running) {
        return Outcome::Unknown;
    }
    return request.stage > 0 ? Outcome::RanIncomplete : Outcome::NotRun;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::fail(Request &request, Reason reason, absl::Status error,
                                  const Snapshot &snapshot)
{
    AnswerCaller action;
    action.outcome = outcomeOfFailure(request);
    action.reason = reason;
    action.error = std::move(error);
    action.retryAfter = retryAfter(request, snapshot);
    answer(request, std::move(action));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::answer(Request &request, AnswerCaller &&action)
{
    action.id = request.id;
    action.account = request.account;
    action.pipeline = request.pipeline.name;
    action.elapsed = m_clock.now() - request.arrivedAt;
    action.allowed = request.deadline - request.arrivedAt;
    action.firstPiece = request.firstPiece;
    action.tokens = request.tokens;
    action.costs = std::move(request.costs);
    countDemand(request, static_cast<std::uint32_t>(request.pipeline.stages.size()));
    ++m_counters.reasons[static_cast<std::size_t>(action.reason)];
    if (!action.replayed && action.reason != Reason::MayHaveRun
        && action.reason != Reason::KeyReused && action.reason != Reason::ClaimUnavailable) {
        finishClaim(request, action.outcome, action.body);
    }
    m_actions.emplace_back(std::move(action));
    m_requests.erase(request.id.sequence);
}

/// Notices that the process itself stood still: what seems slow was not.
template <GuardPolicy G>
void BasicRequestMachine<G>::noticePause()
{
    const TimePoint now = m_clock.now();
    if (now - m_lastTurn > requestmachine::longestTurnGap) {
        m_resumedAt = now;
    }
    m_lastTurn = now;
}

/// Learns from a call, unless this process slept while it was in progress.
template <GuardPolicy G>
void BasicRequestMachine<G>::learnLatency(const Request &request, Duration elapsed)
{
    if (request.sentAt >= m_resumedAt) {
        poolState(request.stageSpec().pool).latency.add(m_clock.now(), request.bytes(), elapsed);
    }
}

/// Learns from a call that is given up on, as learnLatency() does.
template <GuardPolicy G>
void BasicRequestMachine<G>::learnFromGivenUp(const Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    const EndpointEntry *endpoint = pool == nullptr ? nullptr : pool->find(request.endpoint);
    if (endpoint != nullptr && request.sentAt >= m_resumedAt) {
        const Duration usual = poolState(pool->spec.name).latency.typical(now, request.bytes());
        noteGivenUp(*pool, *endpoint, now - request.sentAt, usual, now);
    }
    learnLatency(request, now - request.sentAt);
}

// Time ------------------------------------------------------------------------

template <GuardPolicy G>
void BasicRequestMachine<G>::tick(const Snapshot &snapshot)
{
    noticePause();
    const TimePoint now = m_clock.now();
    while (!m_timers.empty() && m_timers.top().first <= now) {
        const std::uint64_t sequence = m_timers.top().second;
        m_timers.pop();
        const auto found = m_requests.find(sequence);
        if (found != m_requests.end()) {
            expire(*found->second, snapshot);
        }
    }
    while (!m_givenUpOrder.empty()
           && m_givenUpOrder.front().first + requestmachine::lateGrantMemory < now) {
        m_givenUpClaims.erase(m_givenUpOrder.front().second);
        m_givenUpOrder.pop_front();
    }
    for (const auto &[name, pool] : m_pools) {
        if (pool->queue.size() > 0) {
            dispatch(name, snapshot);
        }
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::expire(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const bool due = now >= request.deadline - requestmachine::answerMargin;
    const bool queued = request.phase == Request::Phase::Queued;
    if (!due && (!queued || fitsDeadline(request, remainingTime(request)))) {
        return;
    }
    const std::string step = request.phase == Request::Phase::Claiming
                                 ? std::string("claim")
                                 : "stage " + request.stageSpec().name;
    if (request.phase == Request::Phase::Running) {
        // It says the endpoint is slow, and the slowness is what must be learnt.
        learnFromGivenUp(request, snapshot);
    }
    withdraw(request, snapshot);
    const std::string peer = queued ? std::string() : request.endpoint;
    fail(request, due ? Reason::DeadlineExceeded : Reason::CannotFinish,
         makeError(absl::StatusCode::kDeadlineExceeded, step, peer,
                   due ? "the deadline passed" : "the time left is too short"),
         snapshot);
}

/// Takes a request out of its queue, or stops its call.
template <GuardPolicy G>
void BasicRequestMachine<G>::withdraw(Request &request, const Snapshot &snapshot)
{
    if (request.phase == Request::Phase::Queued) {
        poolState(request.stageSpec().pool).queue.remove(placeOf(request));
    }
    if (request.phase == Request::Phase::Running) {
        m_actions.emplace_back(CancelStage{request.call()});
        settleCall(request, snapshot);
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const CallerGone &event, const Snapshot &snapshot)
{
    Request *request = find(event.id);
    // What may not be repeated goes on: its result is kept for a retry.
    if (request == nullptr || !request->pipeline.repeatable) {
        return;
    }
    withdraw(*request, snapshot);
    fail(*request, Reason::CallerGone,
         makeError(absl::StatusCode::kCancelled, "answering", "caller", "the caller went away"),
         snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::abandonAll(const Snapshot &snapshot)
{
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, request] : m_requests) {
        sequences.push_back(sequence);
    }
    std::sort(sequences.begin(), sequences.end());
    for (const std::uint64_t sequence : sequences) {
        Request &request = *m_requests.at(sequence);
        withdraw(request, snapshot);
        fail(request, Reason::Draining,
             makeError(absl::StatusCode::kUnavailable, "stop", "", "this daemon stops now"),
             snapshot);
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTMACHINEIMPL_H
