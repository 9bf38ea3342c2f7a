//===- harelink/Kernel/requestproxiedimpl.h - Proxied requests --*- C++ -*-===//
///
/// \file
/// The parts specific to proxied requests: routes, pieces computed beforehand, events of
/// streamed answers, and retries.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTPROXIEDIMPL_H
#define HARELINK_KERNEL_REQUESTPROXIEDIMPL_H

#include "harelink/Config/stageorder.h"
#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/endpointpace.h"
#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace harelink {

/// Determines the pipeline from the route and the account from the API key.
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

/// Selects a pool at random by the weights of the route, and applies the limits of the route.
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
    if (takesUpStream(request)) {
        // Its first event has met the objective already.
        request.timeSpent = Duration::zero();
    }
    request.deadline = std::min<TimePoint>(request.deadline, now + request.pipeline.deadline);
    request.objectiveAt =
        std::min<TimePoint>(request.deadline, now + route.objective - request.timeSpent);
    Duration clientTimeout = request.deadline - now;
    if (route.clientTimeout > Duration::zero()) {
        clientTimeout = std::min<Duration>(clientTimeout, route.clientTimeout);
    }
    const auto preparationTime = std::min<std::chrono::duration<double>>(
        clientTimeout * requestmachine::preparationTimeoutShare,
        route.objective * requestmachine::maxPreparationObjectives);
    request.preparationDeadline = now + std::chrono::duration_cast<Duration>(preparationTime);
    request.streams = route.streams;
    request.lastEventId = request.proxied->lastEventSeen;
    const AccountEntry *account = snapshot.account(request.account);
    const bool hasAccountPriority = account != nullptr && account->spec.priority;
    request.priority = hasAccountPriority ? *account->spec.priority : route.priority;
    retryBudget(pool).recordRequest(now);
}

// Admission -------------------------------------------------------------------

/// Returns what routing and forecasts need to know of the request's prompt.
template <GuardPolicy G>
PromptInfo BasicRequestMachine<G>::promptInfo(const Request &request)
{
    PromptInfo info;
    if (!request.proxied) {
        return info;
    }
    info.tokens = request.proxied->promptTokens;
    info.cachedTokens = request.proxied->sharedTokens();
    info.tokensPerSecond = poolState(request.stageSpec().pool).tokensPerSecond;
    if (request.pieces) {
        std::tie(info.dataCentre, info.inputBytes) = request.pieces->mainResultDataCentre();
    }
    info.slack = request.objectiveAt - m_clock.now() - requestmachine::firstEventOverhead;
    return info;
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
    request.loadClass = static_cast<std::uint32_t>(currentLoadClass(endpoint, m_clock.now()));
}

/// Reports how long the first event took, relative to the expected time. Calls that a peer made or
/// that a suspension of this process met say nothing of the endpoint.
template <GuardPolicy G>
void BasicRequestMachine<G>::samplePace(const Request &request)
{
    using std::chrono::microseconds;
    const std::int64_t tokens =
        request.reservedTokens + static_cast<std::int64_t>(request.tokensAhead);
    if (request.reservedTokens <= 0 || request.isRelayed || request.sentAt < m_resumedAt
        || request.sentAt < m_crowdedAt) {
        return;
    }
    const double rate = std::max(1.0, poolState(request.stageSpec().pool).tokensPerSecond);
    const Duration expected = requestmachine::fromSeconds(static_cast<double>(tokens) / rate)
                              + requestmachine::firstEventOverhead;
    m_actions.emplace_back(EndpointPaceReport{
        request.endpoint, request.loadClass, std::chrono::duration_cast<microseconds>(expected),
        std::chrono::duration_cast<microseconds>(m_clock.now() - request.sentAt)});
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

/// Returns the predicted time from the order of the pieces of each stage to their completion.
///
/// A stage is ordered when those before it are complete. Requests that were admitted before will
/// have ordered theirs by then, and the pools will have worked off a part of what waits now.
template <GuardPolicy G>
std::vector<Duration> BasicRequestMachine<G>::stageTimes(const Request &request,
                                                         const Snapshot &snapshot) const
{
    const TimePoint now = m_clock.now();
    const std::vector<PieceStageSpec> &stages = request.pipeline.route->pieceStages;
    const std::vector<std::uint32_t> &counts = request.proxied->pieceCounts;
    const std::string resultsDataCentre = preferredResultDataCentre(request, snapshot);
    std::vector<Duration> times(stages.size(), Duration::zero());
    std::vector<Duration> completedAt(stages.size(), Duration::zero());
    for (const std::uint32_t i : dependencyOrder(stages)) {
        const std::uint32_t count = i < counts.size() ? counts[i] : 0;
        PieceDemand demand;
        for (const std::uint32_t before : stages[i].after) {
            demand.startsIn = std::max(demand.startsIn, completedAt[before]);
        }
        completedAt[i] = demand.startsIn;
        const PoolEntry *pool = snapshot.pool(stages[i].pool);
        if (count == 0 || pool == nullptr) {
            continue;
        }
        PieceGroup group;
        group.count = count;
        group.priority = request.priority;
        group.transfers.resultsDataCentre = resultsDataCentre;
        group.selectionHash = PieceGroup::selectionHashOf(request.id, i);
        const PoolEntry &partition = choosePartition(snapshot, *pool, group, now);
        demand.pieces = count;
        demand.priority = request.priority;
        demand.waitFactor = requestmachine::queueGrowthFactor;
        demand.resultBytes = count * stages[i].resultBytes;
        if (demand.startsIn > Duration::zero()) {
            demand.upcoming = upcomingDemand(*pool, partition, request.priority, now);
        }
        times[i] = predictCompletion(partition, demand, now);
        completedAt[i] += times[i];
    }
    return times;
}

/// Returns the predicted time until all pieces of a new request are completed.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::forecastPieces(const Request &request,
                                                const Snapshot &snapshot) const
{
    const std::vector<PieceStageSpec> &stages = request.pipeline.route->pieceStages;
    const std::vector<Duration> times = stageTimes(request, snapshot);
    std::vector<Duration> completedAt(stages.size(), Duration::zero());
    Duration allCompletedAt{};
    for (const std::uint32_t i : dependencyOrder(stages)) {
        Duration startAt{};
        for (const std::uint32_t before : stages[i].after) {
            startAt = std::max(startAt, completedAt[before]);
        }
        completedAt[i] = startAt + times[i];
        allCompletedAt = std::max(allCompletedAt, completedAt[i]);
    }
    return allCompletedAt;
}

/// Returns the predicted time from the send of the request itself to its answer or first event.
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
    const EndpointEntry *preferred = preferredEndpoint(request, *pool);
    const TimePoint now = m_clock.now();
    const Duration never = Duration::max() / 4;
    Duration best = never;
    Duration bestCold = never;
    const EndpointFilter filter = filterOf(request, snapshot);
    for (const EndpointEntry &endpoint : pool->endpoints) {
        if (!isUsable(endpoint, now) || !filter.allows(endpoint)) {
            continue;
        }
        const bool isEndpointCold = isCold(endpoint, now);
        Duration &candidate = isEndpointCold ? bestCold : best;
        if (!isEndpointCold || maySendWhileCold(endpoint, now)) {
            candidate = std::min(candidate,
                                 availableAt(endpoint, now) - now
                                     + prefillTime(endpoint, prompt, &endpoint == preferred, now));
        }
    }
    return (best < never ? best : bestCold) + requestmachine::firstEventOverhead;
}

/// Returns the factor by which forecasts of the pipeline of \p request were too short recently.
template <GuardPolicy G>
double BasicRequestMachine<G>::forecastBias(const Request &request) const
{
    const auto bias = m_forecastBias.find(request.pipeline.name);
    return bias == m_forecastBias.end() ? 1 : bias->second.value(m_clock.now());
}

template <GuardPolicy G>
typename BasicRequestMachine<G>::Forecast BasicRequestMachine<G>::forecast(const Request &request,
                                                                           const Snapshot &snapshot)
{
    return {forecastPieces(request, snapshot), forecastFirstEvent(request, snapshot),
            forecastBias(request)};
}

/// Returns whether this daemon may admit \p request late: the stages that it needs have idle
/// slots, and the limit of late requests is not reached. If this daemon's share of that limit
/// is below one, it admits one with that probability. No class is admitted late while more
/// urgent requests are refused: the idle slots are theirs.
template <GuardPolicy G>
bool BasicRequestMachine<G>::mayAdmitLate(const Request &request, const Snapshot &snapshot)
{
    if (G::ordersByPriority && m_refusals.hasMoreUrgent(request.priority, m_clock.now())) {
        ++m_counters.lateAdmissionsWithheld;
        return false;
    }
    const std::vector<PieceStageSpec> &stages = request.pipeline.route->pieceStages;
    const std::vector<std::uint32_t> &counts = request.proxied->pieceCounts;
    for (std::size_t i = 0; i < std::min(stages.size(), counts.size()); ++i) {
        const PoolEntry *pool = snapshot.pool(stages[i].pool);
        if (counts[i] > 0 && pool != nullptr && !hasSpareBatchSlots(*pool)) {
            return false;
        }
    }
    const double share = requestmachine::maxLateAdmissions / daemonCount();
    if (share >= 1) {
        return static_cast<double>(m_lateAdmissions + 1) <= share;
    }
    return m_lateAdmissions == 0 && m_random.unit() < share;
}

/// Returns whether the request is admitted: either in time for its objective, or late in
/// otherwise idle slots. Other requests are refused before any work is spent on them.
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
    request.forecast = forecast(request, snapshot);
    const Duration predicted = request.forecast.total();
    const TimePoint now = request.arrivedAt;
    // A caller that was refused before, and returned when it was asked to, is not refused again for
    // the error of the forecast.
    const bool isReturn = request.timeSpent >= requestmachine::minRetryAfter;
    const double margin = isReturn ? 1 : requestmachine::admissionMargin;
    if (now + std::chrono::duration_cast<Duration>(predicted * margin) <= request.objectiveAt) {
        m_returnSlots[request.pipeline.name].recordAdmission(now);
        return true;
    }
    const Duration left = request.preparationDeadline - now;
    if (predicted > left || !mayAdmitLate(request, snapshot)) {
        return false;
    }
    ++m_lateAdmissions;
    m_returnSlots[request.pipeline.name].recordAdmission(now);
    request.isAdmittedLate = true;
    request.priority += latePriorityPenalty;
    request.objectiveAt = request.preparationDeadline;
    return true;
}

/// Updates the forecast bias and the prefill rate from a request that got its first event.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordForecastError(const Request &request)
{
    const Duration predicted = request.forecast.total();
    if (predicted <= Duration::zero() || request.isAdmittedLate || request.arrivedAt < m_resumedAt
        || request.arrivedAt < m_crowdedAt) {
        return;
    }
    const TimePoint now = m_clock.now();
    FadingRatio &bias = m_forecastBias[request.pipeline.name];
    const double actualSeconds = requestmachine::seconds(now - request.arrivedAt);
    const double sample = bias.value(now) * actualSeconds / requestmachine::seconds(predicted);
    bias.add(sample, requestmachine::forecastSmoothing, requestmachine::minForecastBias,
             requestmachine::maxForecastBias, now);

    const double prefillSeconds = requestmachine::seconds(m_clock.now() - request.sentAt
                                                          - requestmachine::firstEventOverhead);
    const double tokens =
        static_cast<double>(request.reservedTokens) + static_cast<double>(request.tokensAhead);
    const bool isUsableSample =
        static_cast<std::uint64_t>(request.reservedTokens) >= requestmachine::minPrefillSampleTokens
        && request.tokensAhead == 0 && prefillSeconds > 0;
    if (isUsableSample) {
        double &rate = poolState(request.stageSpec().pool).tokensPerSecond;
        rate += (tokens / prefillSeconds - rate) * requestmachine::forecastSmoothing;
    }
}

// Pieces ----------------------------------------------------------------------

/// Orders the first pieces; returns false if the request needs none.
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

/// Returns the data centre that should hold the results of pieces: that of the preferred
/// endpoint, else that of most results that exist already, else this daemon's own.
template <GuardPolicy G>
std::string BasicRequestMachine<G>::preferredResultDataCentre(const Request &request,
                                                              const Snapshot &snapshot) const
{
    const PoolEntry *serving = snapshot.pool(request.stageSpec().pool);
    const EndpointEntry *preferred =
        serving == nullptr ? nullptr : preferredEndpoint(request, *serving);
    if (preferred != nullptr) {
        return preferred->spec->dataCentre;
    }
    const std::string resultDataCentre =
        request.pieces ? request.pieces->mainResultDataCentre().first : "";
    return resultDataCentre.empty() ? snapshot.dataCentre : resultDataCentre;
}

/// Returns what all pieces of \p stage are computed from.
template <GuardPolicy G>
typename BasicRequestMachine<G>::StageInputs
BasicRequestMachine<G>::inputsOf(const Request &request, std::uint32_t stage)
{
    PieceSource source;
    source.callerId = request.proxied->callerId;
    source.inputs = request.pieces->inputsOf(stage);
    if (source.inputs.empty()) {
        source.key = request.proxied->pieceKey;
    }
    StageInputs inputs;
    inputs.source = SharedPieceSource(std::move(source));
    std::tie(inputs.dataCentre, inputs.bytes) = request.pieces->mainInputDataCentre(stage);
    return inputs;
}

/// Orders all pieces that can be computed now.
template <GuardPolicy G>
void BasicRequestMachine<G>::orderPieces(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const std::string dataCentre = preferredResultDataCentre(request, snapshot);
    std::map<std::uint32_t, OrderPieces> byStage;
    std::map<std::uint32_t, StageInputs> inputs;
    for (const PieceIndex index : request.pieces->scheduleReady(stageTimes(request, snapshot))) {
        PieceOrder order;
        order.id = {request.id, index.stage, index.piece};
        const auto [found, isNew] = inputs.try_emplace(index.stage);
        if (isNew) {
            found->second = inputsOf(request, index.stage);
        }
        order.source = found->second.source;
        order.digest = request.digest;
        order.inputsDataCentre = found->second.dataCentre;
        order.inputBytes = found->second.bytes;
        order.priority = request.priority;
        order.account = request.account;
        order.untilObjective = request.objectiveAt - now;
        order.untilDeadline = request.preparationDeadline - now;
        order.dataCentre = dataCentre;
        order.resultBytes = request.pipeline.route->pieceStages[index.stage].resultBytes;
        OrderPieces &action = byStage[index.stage];
        action.pool = request.pieces->poolOf(index.stage);
        if (action.orders.empty()) {
            order.upcoming = request.pieces->takeUpcoming(index.stage);
        }
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

/// Returns the data centre of the endpoint \p name; empty if it is no longer declared.
template <GuardPolicy G>
std::string BasicRequestMachine<G>::dataCentreOf(const std::string &name, const Snapshot &snapshot)
{
    const EndpointEntry *entry = snapshot.endpoint(name);
    return entry == nullptr ? std::string() : entry->spec->dataCentre;
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
    const PieceIndex index{outcome.id.stage, outcome.id.piece};
    switch (outcome.fault) {
    case PieceFault::None:
        if (!request->pieces->markCompleted(index, outcome.handle,
                                            dataCentreOf(outcome.endpoint, snapshot))) {
            m_actions.emplace_back(FreeResults{{outcome.handle}});
            return;
        }
        break;
    case PieceFault::InputGone:
        if (request->recomputations < requestmachine::maxRecomputations) {
            ++request->recomputations;
            request->pieces->reschedule(index);
            request->pieces->recomputeInputs(index.stage);
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

/// Cancels the ordered pieces and releases their results.
template <GuardPolicy G>
void BasicRequestMachine<G>::cancelPieces(Request &request)
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

/// Releases all results.
template <GuardPolicy G>
void BasicRequestMachine<G>::releaseResults(Request &request)
{
    std::vector<std::string> handles = request.pieces->releaseAll();
    if (!handles.empty()) {
        m_actions.emplace_back(FreeResults{std::move(handles)});
    }
}

/// Recomputes results that the request needs and that were lost or released.
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
    if (request.deliveredSends > 0 && !reserveRetry(request)) {
        fail(request, Reason::StageFailed,
             makeError(absl::StatusCode::kResourceExhausted, "pieces", request.endpoint,
                       "the results were lost and the retry budget is used up"),
             snapshot);
        return;
    }
    ++request.recomputations;
    request.pieces->recomputeFinalResults();
    request.phase = Request::Phase::Preparing;
    if (request.headForwarded) {
        // The objective applied to the first event; only the deadline remains.
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
    // Each event is forwarded once and in order.
    if (G::matchesAttempts && event.eventId && request->lastEventId
        && *event.eventId != *request->lastEventId + 1) {
        rejectAnswer(*request, "the stream repeats or leaves out an event", snapshot);
        return;
    }
    const bool isUnnumbered = !event.eventId && !event.isComment;
    if (G::matchesAttempts && isUnnumbered && request->lastEventId && !request->isPlaced) {
        rejectAnswer(*request, "the stream does not state where it continues", snapshot);
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
        samplePace(*request);
        recordForecastError(*request);
        releasePromptTokens(*request, snapshot);
    }
    StreamEvents action;
    action.id = request->id;
    action.bytes = event.bytes;
    if (!request->headForwarded) {
        request->headForwarded = true;
        request->replyFraming = replyFraming(*request, event.head.framing);
        bindStream(*request);
        action.head = event.head;
        action.head->framing = request->replyFraming;
        // The engine has read the results before the first event. Keeping them until the end,
        // in case the stream breaks, let results of 1.5 MB fill the result buffers of a stage;
        // releasing them here raised the requests served at four endpoints with space for 48
        // results by a fifth. A stream that breaks has its results recomputed.
        if (request->pieces) {
            releaseResults(*request);
        }
    }
    if (event.eventId) {
        request->lastEventId = event.eventId;
        request->isPlaced = true;
    }
    request->hasUnnumberedEvents = request->hasUnnumberedEvents || isUnnumbered;
    if (request->unconfirmed && !event.isComment) {
        recordComparison(*request, request->unconfirmedBy, false, snapshot);
    }
    request->unconfirmed.reset();
    ++request->tokens;
    m_actions.emplace_back(std::move(action));
}

// Answers ---------------------------------------------------------------------

/// Returns how the endpoint of \p request ends its answers to the pipeline's requests.
template <GuardPolicy G>
FramingHabit &BasicRequestMachine<G>::framingHabit(const Request &request)
{
    return framingHabit(request, request.endpoint);
}

/// \overload
template <GuardPolicy G>
FramingHabit &BasicRequestMachine<G>::framingHabit(const Request &request,
                                                   const std::string &endpoint)
{
    if (m_framingHabits.size() >= requestmachine::maxFramingHabits) {
        m_framingHabits.clear();
    }
    return m_framingHabits[{request.stageSpec().pool, request.pipeline.name, endpoint}];
}

/// Records the framing of a success. Returns whether it was most likely broken off: it has no
/// marked end, and others of the endpoint have one. Callers take any close for the end.
template <GuardPolicy G>
bool BasicRequestMachine<G>::isBrokenOff(const Request &request,
                                         const ProxiedAnswer &endpointAnswer)
{
    // Answers to HEAD and those without content have a certain end, whatever the endpoint does.
    const bool hasBody = request.headForwarded || !endpointAnswer.body.empty();
    const bool isMarked = endpointAnswer.framing != AnswerFraming::Connection;
    if (endpointAnswer.status < 200 || endpointAnswer.status >= 300 || (isMarked && !hasBody)) {
        return false;
    }
    FramingHabit &habit = framingHabit(request);
    const bool wasMarking = habit.isMarking();
    habit.record(isMarked);
    return wasMarking && !isMarked;
}

/// Returns whether \p endpointAnswer is a success that may be a part of the endpoint's, by what is
/// known of that endpoint.
template <GuardPolicy G>
bool BasicRequestMachine<G>::mayBePart(const Request &request, const ProxiedAnswer &endpointAnswer,
                                       const Snapshot &snapshot)
{
    return endpointAnswer.framing == AnswerFraming::Connection && endpointAnswer.status >= 200
           && endpointAnswer.status < 300 && isFramingOutlier(request, snapshot);
}

/// Returns whether the endpoint of \p request breaks off answers without a marked end, or marks
/// none unlike most others of its pool. An endpoint whose answers another run showed to be whole
/// is none.
template <GuardPolicy G>
bool BasicRequestMachine<G>::isFramingOutlier(const Request &request, const Snapshot &snapshot)
{
    const FramingHabit &habit = framingHabit(request);
    if (habit.brokeOff()) {
        return true;
    }
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    if (pool == nullptr || !habit.isOpen() || habit.isTrusted()) {
        return false;
    }
    const FramingKey own{request.stageSpec().pool, request.pipeline.name, request.endpoint};
    int compared = 0;
    int knownPeers = 0;
    int markingPeers = 0;
    auto peer = m_framingHabits.upper_bound(own);
    while (compared < requestmachine::maxFramingPeers) {
        const bool isOfPool = peer != m_framingHabits.end() && peer->first.pool == own.pool
                              && peer->first.pipeline == own.pipeline;
        if (!isOfPool) {
            peer = m_framingHabits.lower_bound({own.pool, own.pipeline, ""});
        }
        if (peer->first == own) {
            break;
        }
        if (pool->find(peer->first.endpoint) == nullptr) {
            peer = m_framingHabits.erase(peer);
            continue;
        }
        knownPeers += peer->second.isKnown() ? 1 : 0;
        markingPeers += peer->second.markedLast() ? 1 : 0;
        ++compared;
        ++peer;
    }
    return markingPeers >= requestmachine::minFramingPeers && 2 * markingPeers > knownPeers;
}

/// Compares an answer that could not be confirmed with \p endpointAnswer, which another run of the
/// request brought. Of two that begin alike, the shorter one without a marked end is a part, and a
/// stream that has only an end left was whole.
template <GuardPolicy G>
void BasicRequestMachine<G>::compareRuns(const Request &request,
                                         const ProxiedAnswer &endpointAnswer,
                                         const Snapshot &snapshot)
{
    const bool isMarked = endpointAnswer.framing != AnswerFraming::Connection;
    const std::string &first = request.unconfirmed->body;
    const std::string &second = endpointAnswer.body;
    if (isMarked && (request.headForwarded || first == second)) {
        recordComparison(request, request.unconfirmedBy, true, snapshot);
    } else if (first.size() < second.size() && second.starts_with(first)) {
        recordComparison(request, request.unconfirmedBy, false, snapshot);
    } else if (!isMarked && second.size() < first.size() && first.starts_with(second)) {
        recordComparison(request, request.endpoint, false, snapshot);
    }
}

/// Records that another run of \p request showed an answer of \p endpointName without a marked end
/// to be whole, or a part. Even if answers differ between runs, that endpoint is only chosen last.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordComparison(const Request &request,
                                              const std::string &endpointName, bool isWhole,
                                              const Snapshot &snapshot)
{
    const std::string &poolName = request.stageSpec().pool;
    framingHabit(request, endpointName).recordComparison(isWhole);
    const PoolEntry *pool = snapshot.pool(poolName);
    const EndpointEntry *endpoint = pool == nullptr ? nullptr : pool->find(endpointName);
    if (endpoint == nullptr) {
        return;
    }
    if (isWhole) {
        recordTrust(*endpoint);
    } else {
        recordDoubt(*endpoint, usualLatency(request), m_clock.now());
    }
}

/// Returns the typical time of a call to the pool of \p request.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::usualLatency(const Request &request)
{
    return poolState(request.stageSpec().pool).latency.median(m_clock.now(), request.bytes());
}

/// Returns the framing of the reply to \p request whose endpoint streams with \p framing. If the
/// endpoint usually marks the ends of its streams, the reply can be aborted visibly.
template <GuardPolicy G>
AnswerFraming BasicRequestMachine<G>::replyFraming(const Request &request, AnswerFraming framing)
{
    return framing == AnswerFraming::Connection && framingHabit(request).isMarking()
               ? AnswerFraming::Chunks
               : framing;
}

/// Completes \p request with \p endpointAnswer, or sends it once more if nothing proves that the
/// answer is whole: an endpoint that breaks off may close its connection in order as well. Another
/// run at endpoints that never mark an end would confirm nothing, unless others of the pool do.
template <GuardPolicy G>
void BasicRequestMachine<G>::completeProxied(Request &request, ProxiedAnswer &&endpointAnswer,
                                             const Snapshot &snapshot)
{
    const bool isSuccess = endpointAnswer.status >= 200 && endpointAnswer.status < 300;
    if (request.unconfirmed && isSuccess) {
        compareRuns(request, endpointAnswer, snapshot);
    }
    const bool isMarked = endpointAnswer.framing != AnswerFraming::Connection;
    if (isSuccess ? isMarked : !request.unconfirmed) {
        AnswerCaller action;
        action.outcome = Outcome::Completed;
        action.proxied = std::move(endpointAnswer);
        answer(request, std::move(action));
        return;
    }
    const EndpointEntry *endpoint = endpointOf(request, snapshot);
    const bool isDoubted = endpoint != nullptr && isDoubtful(*endpoint, m_clock.now());
    const bool isConfirmable = (isDoubted || !framingHabit(request).isOpen())
                               && !request.unconfirmed
                               && endpointAnswer.body.size() <= requestmachine::maxUnconfirmedBytes;
    // Of two parts of an answer, the longer one has more of it; an error confirms nothing.
    const bool isLongest =
        !request.unconfirmed || endpointAnswer.body.size() >= request.unconfirmed->body.size();
    if (isSuccess && isLongest) {
        request.unconfirmed = std::move(endpointAnswer);
        request.unconfirmedBy = request.endpoint;
    }
    request.phase = Request::Phase::Queued;
    request.stageMayHaveRun = true;
    ++request.possibleRuns;
    ++request.deliveredSends;
    if (isConfirmable && sendAgain(request, SendEvidence::Sent, snapshot)) {
        return;
    }
    fail(request, Reason::StageFailed,
         makeError(absl::StatusCode::kDataLoss, "stage " + request.stageSpec().name,
                   request.endpoint, "nothing tells whether the answer is whole"),
         snapshot);
}

/// Replaces a failure by the answer that could not be confirmed. Its end stays as open to the
/// caller as the endpoint left it, which a reply in chunks can't.
template <GuardPolicy G>
void BasicRequestMachine<G>::replaceByUnconfirmed(Request &request, AnswerCaller &action)
{
    const bool leavesEndOpen =
        !request.headForwarded || request.replyFraming == AnswerFraming::Connection;
    if (!request.unconfirmed || !leavesEndOpen || action.outcome == Outcome::Completed) {
        return;
    }
    action.outcome = Outcome::Completed;
    action.reason = Reason::None;
    action.error = absl::OkStatus();
    action.retryAfter = Duration::zero();
    action.proxied = std::move(request.unconfirmed);
}

// Retries ---------------------------------------------------------------------

template <GuardPolicy G>
RetryBudget &BasicRequestMachine<G>::retryBudget(const std::string &pool)
{
    return m_budgets.try_emplace(pool, m_limits.retries).first->second;
}

template <GuardPolicy G>
int BasicRequestMachine<G>::daemonCount() const
{
    const int known =
        m_limits.daemons == nullptr ? 1 : m_limits.daemons->load(std::memory_order_relaxed);
    return std::max(known, requestmachine::minDaemonCount) * m_limits.workers;
}

template <GuardPolicy G>
bool BasicRequestMachine<G>::mayRetryProxied(Request &request, SendEvidence evidence)
{
    const bool mayHaveRun = evidence == SendEvidence::Sent;
    if (mayHaveRun && !request.pipeline.repeatable && G::retriesOnlyRepeatable) {
        return false;
    }
    const std::uint32_t maxRuns = request.pipeline.route->maxEndpoints;
    if (mayHaveRun && request.possibleRuns >= maxRuns) {
        return false;
    }
    if (request.attempt >= requestmachine::maxProxiedSends) {
        return false;
    }
    if (!fitsDeadline(request, remainingTime(request))) {
        return false;
    }
    return request.deliveredSends == 0 || reserveRetry(request);
}

/// Reserves the next send of \p request in the retry budget. It may take place much later, after
/// other retries were decided on: the request may wait for an endpoint, or for its pieces.
template <GuardPolicy G>
bool BasicRequestMachine<G>::reserveRetry(Request &request)
{
    if (!G::limitsRetries || request.reservedRetry) {
        return true;
    }
    const std::string &pool = request.stageSpec().pool;
    RetryBudget &budget = retryBudget(pool);
    request.reservedRetry = budget.reserve(m_clock.now(), daemonCount());
    if (budget.claimLoanRequest(m_clock.now(), daemonCount())) {
        m_actions.emplace_back(RetriesWanted{pool, 0});
    }
    m_counters.retriesOverBudget += request.reservedRetry ? 0 : 1;
    return request.reservedRetry.has_value();
}

template <GuardPolicy G>
void BasicRequestMachine<G>::releaseRetry(Request &request)
{
    if (const auto reserved = std::exchange(request.reservedRetry, std::nullopt)) {
        retryBudget(request.stageSpec().pool).releaseReserved(*reserved);
    }
}

/// Returns whether the retry that \p request is about to send may be sent. A reservation that was
/// paid with a loan is made anew if the loan has ended while the request waited.
template <GuardPolicy G>
bool BasicRequestMachine<G>::renewRetry(Request &request)
{
    if (!request.reservedRetry || m_clock.now() < request.reservedRetry->until) {
        return true;
    }
    releaseRetry(request);
    return reserveRetry(request);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::failWithoutRetry(Request &request, const Snapshot &snapshot)
{
    fail(request, Reason::StageFailed,
         makeError(absl::StatusCode::kResourceExhausted, "routing", request.endpoint,
                   "the loan for the retry has ended and the retry budget is used up"),
         snapshot);
}

/// Records the send of \p request to \p pool, if it is a retry.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordSentRetry(Request &request, const std::string &pool)
{
    if (!request.proxied || request.deliveredSends == 0) {
        releaseRetry(request);
        return;
    }
    const TimePoint now = m_clock.now();
    if (const auto reserved = std::exchange(request.reservedRetry, std::nullopt)) {
        retryBudget(pool).recordRetry(now, *reserved);
    } else {
        retryBudget(pool).recordRetry(now);
    }
}

// Loans of retries ------------------------------------------------------------

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const LendRetries &event, const Snapshot &snapshot)
{
    const BudgetLoanRequest &request = event.request;
    if (snapshot.pool(request.pool) == nullptr) {
        return;
    }
    RetryBudget &budget = retryBudget(request.pool);
    const TimePoint now = m_clock.now();
    const double retries =
        budgetloans::loanOf(budget.lendable(now, daemonCount()), request.retries);
    if (retries <= 0) {
        return;
    }
    if (G::withholdsLentRetries) {
        budget.lend(retries, now);
    }
    m_actions.emplace_back(RetriesLent{event.host, {request.pool, retries, request.stamp}});
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const RetriesBorrowed &event, const Snapshot &snapshot)
{
    if (snapshot.pool(event.pool) != nullptr) {
        retryBudget(event.pool).borrow(event.retries, event.until);
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTPROXIEDIMPL_H
