//===- harelink/Kernel/requestproxiedimpl.h - Proxied requests --*- C++ -*-===//
///
/// \file
/// What is special to a request that is passed on unchanged: its route, the
/// pieces that it needs first, the events of its answer, and its retries.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTPROXIEDIMPL_H
#define HARELINK_KERNEL_REQUESTPROXIEDIMPL_H

#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace harelink {

/// Finds the pipeline by the route and the account by its key.
template <GuardPolicy G>
void BasicRequestMachine<G>::resolveRoute(RequestArrived &event, const Snapshot &snapshot)
{
    if (!event.proxied) {
        return;
    }
    if (const PipelineSpec *pipeline = snapshot.route(event.proxied->host, event.proxied->path)) {
        event.pipeline = pipeline->name;
        if (pipeline->route->isPublic) {
            return;
        }
    }
    const auto account = snapshot.accountsByKey.find(event.proxied->apiKey);
    if (account != snapshot.accountsByKey.end()) {
        event.account = account->second;
    }
}

/// Draws the pool by the weights of the route, and takes over its limits.
template <GuardPolicy G>
void BasicRequestMachine<G>::applyRoute(Request &request, const Snapshot &snapshot)
{
    const RouteSpec &route = *request.pipeline.route;
    const TimePoint now = request.arrivedAt;
    double weights = 0;
    for (const WeightedPool &share : route.split) {
        weights += share.weight;
    }
    double remainingWeight = m_random.unit() * weights;
    std::string pool = route.split.back().pool;
    for (const WeightedPool &share : route.split) {
        remainingWeight -= share.weight;
        if (remainingWeight < 0) {
            pool = share.pool;
            break;
        }
    }
    request.pipeline.stages = {{"serve", pool}};
    request.timeSpent = m_clientTimeouts[request.pipeline.name].record(request.deadline - now);
    request.deadline = std::min<TimePoint>(request.deadline, now + request.pipeline.deadline);
    request.objectiveAt =
        std::min<TimePoint>(request.deadline, now + route.objective - request.timeSpent);
    Duration patience = request.deadline - now;
    if (route.patience > Duration::zero()) {
        patience = std::min<Duration>(patience, route.patience);
    }
    const auto preparing = std::min<std::chrono::duration<double>>(
        patience * requestmachine::preparationTimeoutShare,
        route.objective * requestmachine::maxPreparationObjectives);
    request.preparationDeadline = now + std::chrono::duration_cast<Duration>(preparing);
    request.streams = route.streams;
    request.lastEventId = request.proxied->lastEventSeen;
    const AccountEntry *account = snapshot.account(request.account);
    const bool ofAccount = account != nullptr && account->spec.priority;
    request.priority = ofAccount ? *account->spec.priority : route.priority;
    retryBudget(pool).recordRequest(now);
}

// Admission -------------------------------------------------------------------

/// What the request's prompt asks of a model engine.
template <GuardPolicy G>
PromptInfo BasicRequestMachine<G>::promptInfo(const Request &request)
{
    PromptInfo need;
    if (!request.proxied) {
        return need;
    }
    need.tokens = request.proxied->promptTokens;
    need.cachedTokens = request.proxied->sharedTokens();
    need.tokensPerSecond = poolState(request.stageSpec().pool).tokensPerSecond;
    if (request.pieces) {
        std::tie(need.dataCentre, need.inputBytes) = request.pieces->mainResultDataCentre();
    }
    need.slack = request.objectiveAt - m_clock.now() - requestmachine::firstEventOverhead;
    return need;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::reservePromptTokens(Request &request, const PoolEntry &pool,
                                                 const EndpointEntry &endpoint)
{
    if (!pool.spec.engine || !request.proxied) {
        return;
    }
    const bool isPreferred = preferredEndpoint(request, pool) == &endpoint;
    request.reservedTokens =
        static_cast<std::int64_t>(uncachedTokens(promptInfo(request), isPreferred));
    request.tokensAhead = static_cast<std::size_t>(std::max<std::int64_t>(
        0,
        endpoint.load->prefillBacklog.fetch_add(request.reservedTokens, std::memory_order_relaxed)
            + endpoint.load->peerPrefillBacklog.load(std::memory_order_relaxed)));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::releasePromptTokens(Request &request, const Snapshot &snapshot)
{
    const std::int64_t tokens = std::exchange(request.reservedTokens, 0);
    if (tokens == 0) {
        return;
    }
    if (const EndpointEntry *endpoint = endpointOf(request, snapshot)) {
        endpoint->load->prefillBacklog.fetch_sub(tokens, std::memory_order_relaxed);
    }
}

/// The time that the pieces of each stage would take if they were ordered now. The queue
/// of a later stage is taken to be then as long as it is now: what leaves it until then is
/// replaced, as long as the load stays the same.
template <GuardPolicy G>
std::vector<Duration> BasicRequestMachine<G>::stageTimes(const Request &request,
                                                         const Snapshot &snapshot) const
{
    const std::vector<PieceStageSpec> &stages = request.pipeline.route->pieceStages;
    const std::vector<std::uint32_t> &counts = request.proxied->pieceCounts;
    const std::string wantedAt = preferredResultDataCentre(request, snapshot);
    std::vector<Duration> times(stages.size(), Duration::zero());
    for (std::size_t i = 0; i < stages.size(); ++i) {
        const std::uint32_t count = i < counts.size() ? counts[i] : 0;
        const PoolEntry *pool = snapshot.pool(stages[i].pool);
        if (count == 0 || pool == nullptr) {
            continue;
        }
        PieceGroup group;
        group.count = count;
        group.priority = request.priority;
        group.transfers.resultsDataCentre = wantedAt;
        group.selectionHash =
            PieceGroup::selectionHashOf(request.id, static_cast<std::uint32_t>(i));
        const PoolEntry &part = choosePartition(snapshot, *pool, group, m_clock.now());
        times[i] = predictCompletion(part, count, request.priority, m_clock.now());
    }
    return times;
}

/// The time until the pieces of a new request would all be made.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::forecastPieces(const Request &request,
                                                const Snapshot &snapshot) const
{
    const std::vector<PieceStageSpec> &stages = request.pipeline.route->pieceStages;
    const std::vector<Duration> times = stageTimes(request, snapshot);
    std::vector<Duration> doneAt(stages.size(), Duration::zero());
    Duration last{};
    for (std::size_t i = 0; i < stages.size(); ++i) {
        Duration begin{};
        for (const std::uint32_t before : stages[i].after) {
            begin = std::max(begin, doneAt[before]);
        }
        doneAt[i] = begin + times[i];
        last = std::max(last, doneAt[i]);
    }
    return last;
}

/// The time from the sending of the request itself to its answer or its first event.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::forecastFirstEvent(const Request &request,
                                                    const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    if (pool == nullptr) {
        return Duration::zero();
    }
    if (!pool->spec.engine) {
        return poolState(pool->spec.name).latency.median(m_clock.now(), request.bytes());
    }
    const PromptInfo prompt = promptInfo(request);
    const EndpointEntry *home = preferredEndpoint(request, *pool);
    const TimePoint now = m_clock.now();
    const Duration never = Duration::max() / 4;
    Duration best = never;
    Duration bestCold = never;
    const RegionLimit regions = regionsOf(request, snapshot);
    for (const EndpointEntry &endpoint : pool->endpoints) {
        if (!isUsable(endpoint, now) || !regions.allows(endpoint.region)) {
            continue;
        }
        const bool isEndpointCold = isCold(endpoint, now);
        Duration &candidate = isEndpointCold ? bestCold : best;
        if (!isEndpointCold || maySendWhileCold(endpoint, now)) {
            candidate = std::min(candidate, availableAt(endpoint, now) - now
                                                + prefillTime(endpoint, prompt, &endpoint == home));
        }
    }
    return (best < never ? best : bestCold) + requestmachine::firstEventOverhead;
}

template <GuardPolicy G>
Duration BasicRequestMachine<G>::forecast(const Request &request, const Snapshot &snapshot)
{
    const Duration pieces = forecastPieces(request, snapshot);
    const Duration first = forecastFirstEvent(request, snapshot);
    const auto bias = m_forecastBias.find(request.pipeline.name);
    const double factor = bias == m_forecastBias.end() ? 1 : bias->second;
    return std::chrono::duration_cast<Duration>((pieces + first) * factor);
}

/// Whether this daemon may take \p request in to be late: the stages that it needs have
/// places to spare, and not too many are in already. Where its part of all daemons' is less
/// than one, it takes one so much less often.
template <GuardPolicy G>
bool BasicRequestMachine<G>::mayAdmitLate(const Request &request, const Snapshot &snapshot)
{
    const std::vector<PieceStageSpec> &stages = request.pipeline.route->pieceStages;
    const std::vector<std::uint32_t> &counts = request.proxied->pieceCounts;
    for (std::size_t i = 0; i < std::min(stages.size(), counts.size()); ++i) {
        const PoolEntry *pool = snapshot.pool(stages[i].pool);
        if (counts[i] > 0 && pool != nullptr && !hasSpareBatchSlots(*pool)) {
            return false;
        }
    }
    const double part = requestmachine::maxLateAdmissions / daemons();
    if (part >= 1) {
        return static_cast<double>(m_lateAdmissions + 1) <= part;
    }
    return m_lateAdmissions == 0 && m_random.unit() < part;
}

/// Whether the request is taken in: in time for its objective, or late in places that
/// nobody else wants. The rest is refused before anything is spent on it.
template <GuardPolicy G>
bool BasicRequestMachine<G>::admit(Request &request, const Snapshot &snapshot)
{
    if (!G::admitsByPrediction) {
        return true;
    }
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    const bool isForecast = pool != nullptr && pool->spec.engine;
    if (!isForecast) {
        return true;
    }
    request.predicted = forecast(request, snapshot);
    const TimePoint now = request.arrivedAt;
    const auto cautious =
        std::chrono::duration_cast<Duration>(request.predicted * requestmachine::admissionMargin);
    if (now + cautious <= request.objectiveAt) {
        return true;
    }
    const Duration left = request.preparationDeadline - now;
    if (request.predicted > left || !mayAdmitLate(request, snapshot)) {
        return false;
    }
    ++m_lateAdmissions;
    request.isAdmittedLate = true;
    request.priority += requestmachine::latePriorityPenalty;
    request.objectiveAt = request.preparationDeadline;
    return true;
}

/// Compares the forecast with what came of it.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordForecastError(const Request &request)
{
    if (request.predicted <= Duration::zero() || request.isAdmittedLate
        || request.arrivedAt < m_resumedAt) {
        return;
    }
    double &bias = m_forecastBias.try_emplace(request.pipeline.name, 1.0).first->second;
    const double real = requestmachine::seconds(m_clock.now() - request.arrivedAt);
    const double sample = bias * real / requestmachine::seconds(request.predicted);
    bias += (sample - bias) * requestmachine::forecastSmoothing;
    bias = std::clamp(bias, requestmachine::minForecastBias, requestmachine::maxForecastBias);

    const double reading = requestmachine::seconds(m_clock.now() - request.sentAt
                                                   - requestmachine::firstEventOverhead);
    const double tokens =
        static_cast<double>(request.reservedTokens) + static_cast<double>(request.tokensAhead);
    const bool isUsableSample =
        static_cast<std::uint64_t>(request.reservedTokens) >= requestmachine::minPrefillSampleTokens
        && request.tokensAhead == 0 && reading > 0;
    if (isUsableSample) {
        double &rate = poolState(request.stageSpec().pool).tokensPerSecond;
        rate += (tokens / reading - rate) * requestmachine::forecastSmoothing;
    }
}

// Pieces ----------------------------------------------------------------------

/// Orders the first pieces; false where the request needs none.
template <GuardPolicy G>
bool BasicRequestMachine<G>::beginPieces(Request &request, const Snapshot &snapshot)
{
    if (!request.proxied || request.pipeline.route->pieceStages.empty()) {
        return false;
    }
    request.pieces = std::make_unique<PieceGraph>(request.pipeline.route->pieceStages,
                                                  request.proxied->pieceCounts);
    if (request.pieces->isComplete()) {
        return false;
    }
    request.phase = Request::Phase::Preparing;
    schedule(request, request.preparationDeadline);
    orderPieces(request, snapshot);
    return true;
}

/// The data centre where the results of pieces are needed: that of the prompt's home; of
/// the results that are there; or, with neither, the own one.
template <GuardPolicy G>
std::string BasicRequestMachine<G>::preferredResultDataCentre(const Request &request,
                                                              const Snapshot &snapshot) const
{
    const PoolEntry *serving = snapshot.pool(request.stageSpec().pool);
    const EndpointEntry *home = serving == nullptr ? nullptr : preferredEndpoint(request, *serving);
    if (home != nullptr) {
        return home->spec.dataCentre;
    }
    const std::string resultDataCentre =
        request.pieces ? request.pieces->mainResultDataCentre().first : "";
    return resultDataCentre.empty() ? snapshot.dataCentre : resultDataCentre;
}

/// Orders all pieces that can be made now.
template <GuardPolicy G>
void BasicRequestMachine<G>::orderPieces(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const std::string dataCentre = preferredResultDataCentre(request, snapshot);
    std::map<std::uint32_t, OrderPieces> byStage;
    for (const PieceIndex place : request.pieces->scheduleReady(stageTimes(request, snapshot))) {
        PieceOrder order;
        order.id = {request.id, place.stage, place.piece};
        order.callerId = request.proxied->callerId;
        order.digest = request.digest;
        order.inputs = request.pieces->inputsOf(place.stage);
        if (order.inputs.empty()) {
            order.key = request.proxied->pieceKey;
        }
        std::tie(order.inputsDataCentre, order.inputBytes) =
            request.pieces->mainInputDataCentre(place.stage);
        order.priority = request.priority;
        order.untilObjective = request.objectiveAt - now;
        order.untilDeadline = request.preparationDeadline - now;
        order.dataCentre = dataCentre;
        order.resultBytes = request.pipeline.route->pieceStages[place.stage].resultBytes;
        OrderPieces &action = byStage[place.stage];
        action.pool = request.pieces->poolOf(place.stage);
        action.orders.push_back(std::move(order));
    }
    for (auto &[stage, action] : byStage) {
        m_actions.emplace_back(std::move(action));
    }
    std::vector<std::string> unneeded = request.pieces->releaseUnneeded();
    if (!unneeded.empty()) {
        m_actions.emplace_back(FreeResults{std::move(unneeded)});
    }
}

/// Where the endpoint called \p name stands; empty for one that is no longer declared.
template <GuardPolicy G>
std::string BasicRequestMachine<G>::dataCentreOf(const std::string &name, const Snapshot &snapshot)
{
    const EndpointEntry *entry = snapshot.endpoint(name);
    return entry == nullptr ? std::string() : entry->spec.dataCentre;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const PieceEnded &event, const Snapshot &snapshot)
{
    const PieceOutcome &outcome = event.outcome;
    Request *request = find(outcome.id.request);
    const bool isAwaited = request != nullptr && request->phase == Request::Phase::Preparing;
    if (!isAwaited) {
        ++m_counters.staleAnswers;
        if (!outcome.handle.empty()) {
            m_actions.emplace_back(FreeResults{{outcome.handle}});
        }
        return;
    }
    if (rejectQuarantined(*request, snapshot)) {
        if (!outcome.handle.empty()) {
            m_actions.emplace_back(FreeResults{{outcome.handle}});
        }
        return;
    }
    const PieceIndex place{outcome.id.stage, outcome.id.piece};
    switch (outcome.fault) {
    case PieceFault::None:
        if (!request->pieces->markCompleted(place, outcome.handle,
                                            dataCentreOf(outcome.endpoint, snapshot))) {
            m_actions.emplace_back(FreeResults{{outcome.handle}});
            return;
        }
        break;
    case PieceFault::InputGone:
        if (request->recomputations < requestmachine::maxRecomputations) {
            ++request->recomputations;
            request->pieces->reschedule(place);
            request->pieces->recomputeInputs(place.stage);
            break;
        }
        [[fallthrough]];
    case PieceFault::Late:
    case PieceFault::NoRoom:
    case PieceFault::Refused:
    case PieceFault::Failed:
        fail(*request,
             outcome.fault == PieceFault::Late ? Reason::CannotFinish : Reason::StageFailed,
             makeError(absl::StatusCode::kUnavailable, "pieces", outcome.endpoint,
                       toText(outcome.fault)),
             snapshot);
        return;
    }
    if (!request->pieces->isComplete()) {
        orderPieces(*request, snapshot);
        return;
    }
    if (!fitsDeadline(*request, remainingTime(*request))) {
        fail(*request, Reason::CannotFinish,
             makeError(absl::StatusCode::kDeadlineExceeded, "pieces", "",
                       "the time left is too short"),
             snapshot);
        return;
    }
    request->prepared = m_clock.now() - request->arrivedAt;
    enqueue(*request, snapshot);
    dispatch(request->stageSpec().pool, snapshot);
}

/// Gives up what is ordered and frees what is made.
template <GuardPolicy G>
void BasicRequestMachine<G>::dropPieces(Request &request)
{
    if (!request.pieces) {
        return;
    }
    if (!request.pieces->isComplete()) {
        m_actions.emplace_back(WithdrawPieces{request.id});
    }
    releaseResults(request);
    request.pieces.reset();
}

/// Frees what is made.
template <GuardPolicy G>
void BasicRequestMachine<G>::releaseResults(Request &request)
{
    std::vector<std::string> handles = request.pieces->releaseAll();
    if (!handles.empty()) {
        m_actions.emplace_back(FreeResults{std::move(handles)});
    }
}

/// The results that the request needs are gone or were freed: they are made again.
template <GuardPolicy G>
void BasicRequestMachine<G>::handleLostResults(Request &request, const Snapshot &snapshot)
{
    if (request.recomputations >= requestmachine::maxRecomputations) {
        fail(request, Reason::StageFailed,
             makeError(absl::StatusCode::kUnavailable, "pieces", request.endpoint,
                       "the results were lost again"),
             snapshot);
        return;
    }
    ++request.recomputations;
    request.pieces->recomputeFinalResults();
    request.phase = Request::Phase::Preparing;
    if (request.headForwarded) {
        // Its objective was met or missed with the first event; what is left is its end.
        request.preparationDeadline = request.deadline;
    }
    orderPieces(request, snapshot);
}

// Events ----------------------------------------------------------------------

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const StageEvent &event, const Snapshot &snapshot)
{
    detectSuspension();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    if (G::matchesAttempts && event.echoed != event.call) {
        rejectAnswer(*request, "the stream carries another request's identity", snapshot);
        return;
    }
    // An event is passed on once, and none before those that stand in front of it.
    if (G::matchesAttempts && event.eventId && request->lastEventId
        && *event.eventId != *request->lastEventId + 1) {
        rejectAnswer(*request, "the stream repeats or leaves out an event", snapshot);
        return;
    }
    if (const EndpointEntry *endpoint = endpointOf(*request, snapshot)) {
        recordProgress(*endpoint, m_clock.now());
    }
    if (!request->headForwarded) {
        recordNotice(*request, event.notice, snapshot);
    }
    if (request->timeToFirstChunk == Duration{}) {
        request->timeToFirstChunk = m_clock.now() - request->arrivedAt;
        recordForecastError(*request);
        releasePromptTokens(*request, snapshot);
    }
    StreamEvents action;
    action.id = request->id;
    action.bytes = event.bytes;
    if (!request->headForwarded) {
        request->headForwarded = true;
        action.head = event.head;
        // They were read before the first event. Kept for the case that the stream breaks
        // and goes on elsewhere, results of 1.5 MB held all room of a stage for as long as
        // answers lasted: freed here, requests served at four endpoints with room for 48
        // rose by a fifth. A stream that does break has them made again.
        if (request->pieces) {
            releaseResults(*request);
        }
    }
    if (event.eventId) {
        request->lastEventId = event.eventId;
    }
    ++request->tokens;
    m_actions.emplace_back(std::move(action));
}

// Retries ---------------------------------------------------------------------

template <GuardPolicy G>
RetryBudget &BasicRequestMachine<G>::retryBudget(const std::string &pool)
{
    return m_budgets.try_emplace(pool, m_limits.retries).first->second;
}

template <GuardPolicy G>
int BasicRequestMachine<G>::daemons() const
{
    const int known =
        m_limits.daemons == nullptr ? 1 : m_limits.daemons->load(std::memory_order_relaxed);
    return std::max(known, requestmachine::minDaemonCount) * m_limits.workers;
}

template <GuardPolicy G>
bool BasicRequestMachine<G>::mayRetryProxied(const Request &request, SendEvidence evidence)
{
    const bool mayHaveRun = evidence == SendEvidence::Sent;
    if (mayHaveRun && !request.pipeline.repeatable && G::retriesOnlyRepeatable) {
        return false;
    }
    const std::uint32_t maxRuns = request.pipeline.route->mostEndpoints;
    if (mayHaveRun && request.possibleRuns >= maxRuns) {
        return false;
    }
    if (request.attempt >= requestmachine::maxProxiedSends) {
        return false;
    }
    if (!fitsDeadline(request, remainingTime(request))) {
        return false;
    }
    if (request.deliveredSends == 0) {
        return true;
    }
    return retryBudget(request.stageSpec().pool).allows(m_clock.now(), daemons());
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTPROXIEDIMPL_H
