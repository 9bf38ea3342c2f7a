//===- harelink/Kernel/requestdispatchimpl.h - Dispatch ---------*- C++ -*-===//
///
/// \file
/// Dispatches queued requests and accounts for each call.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTDISPATCHIMPL_H
#define HARELINK_KERNEL_REQUESTDISPATCHIMPL_H

#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/reportedload.h"
#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace harelink {

template <GuardPolicy G>
FairQueue::Waiter BasicRequestMachine<G>::queueKey(const Request &request)
{
    if (!G::ordersByUsage) {
        return {{}, request.arrivedAt, request.id.sequence, 0};
    }
    const TimePoint due = request.proxied ? request.objectiveAt : request.deadline;
    return {request.account, due, request.id.sequence,
            G::ordersByPriority ? configuredPriority(request) : 0};
}

/// Returns the priority of the route or account. The penalty of a late admission applies to pieces
/// only: an engine that is free anyway serves late requests by their due time.
template <GuardPolicy G>
int BasicRequestMachine<G>::configuredPriority(const Request &request)
{
    return request.isAdmittedLate ? request.priority - latePriorityPenalty : request.priority;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::enqueue(Request &request, const Snapshot &snapshot)
{
    const std::string &pool = request.stageSpec().pool;
    request.phase = Request::Phase::Queued;
    countDemand(request, request.stage);
    PoolState &state = poolState(pool);
    if (state.queue.size() == 0) {
        state.pace.recordWaiting(m_clock.now());
    }
    state.queue.push(queueKey(request));
    if (const std::shared_ptr<AccountLoad> load = accountLoad(request, snapshot)) {
        request.demand = ScopedCount({load, &load->demand});
    }
    // Fails as soon as it can no longer complete in time, not only at its deadline.
    schedule(request, request.deadline - remainingTime(request));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::dispatch(const std::string &name, const Snapshot &snapshot)
{
    // A copy, since the name may be within a request that ends here.
    const std::string poolName = name; // NOLINT(performance-unnecessary-copy-initialization)
    const PoolEntry *pool = snapshot.pool(poolName);
    PoolState &state = poolState(poolName);
    const TimePoint now = m_clock.now();
    if (pool == nullptr) {
        state.shares = {}; // No slot share may delay requests that must fail now.
    } else if (G::sharesSlots && state.queue.size() > 0) {
        state.shares.update(snapshot, *pool, now);
    }
    // Requests that wait for a send slot at endpoints under rate limits or pauses.
    std::vector<FairQueue::Waiter> waitingForSlot;
    // Streams that wait for the few endpoints of their version must not hold up other requests.
    std::vector<FairQueue::Waiter> waitingForVersion;
    while (const std::optional<FairQueue::Selection> selection =
               state.queue.pop(snapshot, poolName, state.shares, now)) {
        Request &request = *m_requests.at(selection->sequence);
        if (rejectQuarantined(request, snapshot)) {
            continue;
        }
        const EndpointFilter filter = filterOf(request, snapshot);
        if (pool == nullptr || !pool->hasServingEndpoint(filter)) {
            failWithoutEndpoint(request, snapshot);
            continue;
        }
        if (!renewRetry(request)) {
            failWithoutRetry(request, snapshot);
            continue;
        }
        const EndpointEntry *avoid =
            request.endpoint.empty() ? nullptr : pool->find(request.endpoint);
        const PromptInfo prompt = promptInfo(request);
        const PromptInfo *enginePrompt = pool->spec.engine && prompt.tokens > 0 ? &prompt : nullptr;
        const EndpointEntry *endpoint = chooseEndpoint(
            {*pool, now, preferredEndpoint(request, *pool), avoid, enginePrompt, &filter},
            snapshot);
        if (endpoint == nullptr && unavailableUntil(*pool, filter, now)) {
            if (hasSendSlot(request, snapshot, waitingForSlot.size())) {
                waitingForSlot.push_back(queueKey(request));
            } else {
                failWithoutSendSlot(request, poolName, snapshot);
            }
            continue;
        }
        if (endpoint == nullptr && filter.origin != nullptr) {
            waitingForVersion.push_back(queueKey(request));
            continue;
        }
        if (endpoint == nullptr) {
            state.queue.push(queueKey(request));
            break;
        }
        if (filter.origin != nullptr
            && !requestmachine::isVersionCurrent(*endpoint->spec,
                                                 receivesEndpointUpdates(snapshot, now))) {
            fail(request, Reason::StreamVersionGone,
                 makeError(absl::StatusCode::kUnavailable, "routing", poolName,
                           "this host gets no updates of endpoints, whose versions may be others"),
                 snapshot);
            continue;
        }
        // A probe does not indicate the pace of the queue.
        if (!isOnProbation(*endpoint)) {
            state.pace.recordDispatch(now);
        }
        state.queue.recordDispatch(queueKey(request), selection->guarantee);
        m_counters.dispatchesByMinimum += selection->guarantee != Guarantee::None ? 1 : 0;
        send(request, *pool, *endpoint, snapshot);
    }
    for (const std::vector<FairQueue::Waiter> *waiters : {&waitingForSlot, &waitingForVersion}) {
        for (const FairQueue::Waiter &waiter : *waiters) {
            state.queue.push(waiter);
        }
    }
    state.queue.endRound();
    if (pool != nullptr && state.queue.size() > 0) {
        recordStall(state, *pool);
    }
}

/// Records in the pace of a non-empty queue whether its requests wait for a free slot or for
/// an available endpoint.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordStall(PoolState &state, const PoolEntry &pool)
{
    const TimePoint now = m_clock.now();
    if (state.shares.usableSlots() == 0) {
        state.pace.recordUnreachable(now);
        return;
    }
    const bool hasAvailableEndpoint =
        std::any_of(pool.endpoints.begin(), pool.endpoints.end(),
                    [now](const EndpointEntry &endpoint) { return acceptsCalls(endpoint, now); });
    if (hasAvailableEndpoint) {
        state.pace.recordFull(now);
    } else {
        state.pace.recordUnavailable();
    }
}

/// Chooses an endpoint and claims one of this daemon's send slots at it; null if there is none.
template <GuardPolicy G>
const EndpointEntry *BasicRequestMachine<G>::chooseEndpoint(RoutingQuery query,
                                                            const Snapshot &snapshot)
{
    query.requiresWarm = G::checksColdState && query.pool.spec.coldRate > 0
                         && !query.pool.spec.statusPath.empty()
                         && !receivesEndpointUpdates(snapshot, query.now);
    if (query.requiresWarm && awaitsColdCheck(query)) {
        return nullptr;
    }
    const auto hasDoubtful = [&query] {
        const auto &endpoints = query.pool.endpoints;
        return std::any_of(
            endpoints.begin(), endpoints.end(),
            [&query](const EndpointEntry &entry) { return isDoubtful(entry, query.now); });
    };
    const EndpointEntry *endpoint = nullptr;
    do {
        endpoint = chooseWarmFirst(query);
        if (endpoint == nullptr && !query.allowsDoubtful && hasDoubtful()) {
            query.coldOnly = false;
            query.allowsDoubtful = true;
            endpoint = chooseWarmFirst(query);
        }
        // Another worker may have claimed the slot first; then the endpoint is unavailable.
    } while (endpoint != nullptr && !claimSendSlot(*endpoint, query.now));
    if (endpoint != nullptr && mayProbeLoad(query.pool, query.now)) {
        probeStaleCandidates(query, *endpoint);
    }
    return endpoint;
}

/// Chooses a cold endpoint only if no warm one is eligible, and sets this in \p query.
template <GuardPolicy G>
const EndpointEntry *BasicRequestMachine<G>::chooseWarmFirst(RoutingQuery &query)
{
    const EndpointEntry *endpoint = m_policy->choose(query, m_random);
    if (endpoint == nullptr && !query.coldOnly && query.pool.spec.coldRate > 0) {
        query.coldOnly = true;
        endpoint = m_policy->choose(query, m_random);
    }
    return endpoint;
}

/// Probes the load of the endpoint that would be chosen next, or else that of \p chosen, if the
/// reports of both are too old. The request itself does not wait: the result is for those that
/// follow. \p chosen comes second, since its answer to the request contains a report.
template <GuardPolicy G>
void BasicRequestMachine<G>::probeStaleCandidates(const RoutingQuery &query,
                                                  const EndpointEntry &chosen)
{
    PoolState &state = poolState(query.pool.spec.name);
    if (query.now < state.nextLoadProbeSearch || !chosen.load->report.isStale(query.now)) {
        return;
    }
    state.nextLoadProbeSearch = query.now + requestmachine::minLoadProbeSearchInterval;
    RoutingQuery without = query;
    without.avoid = &chosen;
    const EndpointEntry *next = m_policy->choose(without, m_random);
    if (next != nullptr && !next->load->report.isStale(query.now)) {
        return;
    }
    for (const EndpointEntry *candidate : {next, &chosen}) {
        if (candidate != nullptr && claimLoadProbe(query.pool, *candidate, query.now)) {
            m_actions.emplace_back(ProbeLoad{candidate->spec->name, candidate->spec->address,
                                             query.pool.spec.statusPath});
            return;
        }
    }
}

/// Returns whether a request must wait for a cold check. A check is started if the request
/// would go to an endpoint that may be cold: its preferred endpoint, or any endpoint if none
/// is known to be warm.
template <GuardPolicy G>
bool BasicRequestMachine<G>::awaitsColdCheck(const RoutingQuery &query)
{
    RoutingQuery unchecked = query;
    unchecked.requiresWarm = false;
    const EndpointEntry *endpoint = query.preferred;
    const bool isPreferredEligible = endpoint != nullptr && isEligible(*endpoint, unchecked);
    if (isPreferredEligible && isEligible(*endpoint, query)) {
        return false;
    }
    if (!isPreferredEligible) {
        if (m_policy->choose(query, m_random) != nullptr) {
            return false;
        }
        endpoint = m_policy->choose(unchecked, m_random);
    }
    if (endpoint == nullptr) {
        return false;
    }
    PoolState &state = poolState(query.pool.spec.name);
    if (query.now >= state.nextColdCheck && claimColdCheck(*endpoint, query.now)) {
        state.nextColdCheck = query.now + requestmachine::minColdCheckInterval;
        m_actions.emplace_back(CheckColdState{endpoint->spec->name, endpoint->spec->address,
                                              query.pool.spec.statusPath});
    }
    return true;
}

/// Returns the latest send time for which \p request waits for a send slot here. Proxied
/// requests may be sent sooner by another daemon.
template <GuardPolicy G>
TimePoint BasicRequestMachine<G>::latestStart(const Request &request)
{
    const TimePoint latest = request.deadline - remainingTime(request);
    return request.proxied ? std::min(latest, request.objectiveAt) : latest;
}

/// Returns whether the pool of \p request has a send slot for it in time, after \p ahead other
/// requests that wait for rate limits there.
template <GuardPolicy G>
bool BasicRequestMachine<G>::hasSendSlot(const Request &request, const Snapshot &snapshot,
                                         std::size_t ahead)
{
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    const TimePoint now = m_clock.now();
    const EndpointFilter filter = filterOf(request, snapshot);
    return pool == nullptr || !unavailableUntil(*pool, filter, now)
           || sendSlotsUntil(*pool, filter, now, latestStart(request)) > ahead;
}

/// Returns the first stage of a new request whose pool has no send slot in time; null if none.
template <GuardPolicy G>
const StageSpec *BasicRequestMachine<G>::stageWithoutSendSlot(const Request &request,
                                                              const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const EndpointFilter filter = filterOf(request, snapshot);
    for (const StageSpec &stage : request.pipeline.stages) {
        const PoolEntry *pool = snapshot.pool(stage.pool);
        const bool isClosed = pool != nullptr && unavailableUntil(*pool, filter, now);
        if (isClosed
            && sendSlotsUntil(*pool, filter, now, latestStart(request))
                   <= poolState(stage.pool).demand.size()) {
            return &stage;
        }
    }
    return nullptr;
}

/// Returns whether any endpoint may get \p request, now or later.
template <GuardPolicy G>
bool BasicRequestMachine<G>::hasServingEndpoint(const Request &request, const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    return pool != nullptr && pool->hasServingEndpoint(filterOf(request, snapshot));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::failWithoutEndpoint(Request &request, const Snapshot &snapshot)
{
    const std::string &pool = request.stageSpec().pool;
    if (request.origin) {
        AnswerCaller action;
        action.outcome = outcomeOfFailure(request);
        action.reason = Reason::StreamVersionGone;
        action.error =
            makeError(absl::StatusCode::kUnavailable, "routing", pool,
                      fmt::format("no endpoint of software version {}, at which the stream began, "
                                  "takes new work",
                                  request.origin->softwareVersion.value_or("unknown")));
        // Another host may know of one.
        if (request.origin->softwareVersion && !receivesEndpointUpdates(snapshot, m_clock.now())) {
            action.retryAfter = retryAfter(request, snapshot);
        }
        answer(request, std::move(action));
        return;
    }
    fail(request, Reason::NoEndpoint,
         makeError(absl::StatusCode::kUnavailable, "routing", pool,
                   "the pool has no endpoint that takes new work"),
         snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::failWithoutSendSlot(Request &request, const std::string &pool,
                                                 const Snapshot &snapshot)
{
    fail(request, Reason::NoEndpoint,
         makeError(absl::StatusCode::kResourceExhausted, "routing", pool,
                   "all endpoints have reached their rate limits or asked for a pause"),
         snapshot);
}

/// Returns the endpoints that may serve \p request; refers to data of the request and of the
/// snapshot.
template <GuardPolicy G>
EndpointFilter BasicRequestMachine<G>::filterOf(const Request &request, const Snapshot &snapshot)
{
    static const std::vector<std::string> anywhere;
    const AccountEntry *account = snapshot.account(request.account);
    return {request.pipeline.route ? request.pipeline.route->allowedRegions : anywhere,
            account != nullptr ? account->spec.allowedRegions : anywhere,
            G::keepsStreamVersion && request.origin ? &*request.origin : nullptr};
}

/// Fails \p request if it was quarantined after its admission, since it crashes endpoints.
/// Checked before each send and not only at admission: daemons hold copies of such a request
/// in queues, while its pieces are computed, and for retries.
template <GuardPolicy G>
bool BasicRequestMachine<G>::rejectQuarantined(Request &request, const Snapshot &snapshot)
{
    const Duration left = quarantineLeft(request.digest, request.proxied.get(), snapshot);
    if (left == Duration::zero()) {
        return false;
    }
    AnswerCaller action;
    action.outcome = outcomeOfFailure(request);
    action.reason = Reason::Quarantined;
    action.error = makeError(absl::StatusCode::kFailedPrecondition, "quarantine", request.endpoint,
                             requestmachine::quarantineMessage);
    action.retryAfter = left;
    answer(request, std::move(action));
    return true;
}

/// Returns the endpoint of the call in progress; null if it is no longer declared.
template <GuardPolicy G>
const EndpointEntry *BasicRequestMachine<G>::endpointOf(const Request &request,
                                                        const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    return pool == nullptr ? nullptr : pool->find(request.endpoint);
}

/// Returns the endpoint that probably has the request's prompt prefix cached; null if none.
template <GuardPolicy G>
const EndpointEntry *BasicRequestMachine<G>::preferredEndpoint(const Request &request,
                                                               const PoolEntry &pool)
{
    if (!pool.spec.hasPromptCache) {
        return nullptr;
    }
    if (request.proxied) {
        // The last segment is specific to this request; the one before it ends the longest
        // prefix shared with other requests.
        const std::vector<PromptSegment> &parts = request.proxied->prompt;
        const bool hasAffinity =
            parts.size() >= 2
            && request.proxied->sharedTokens() >= requestmachine::minAffinityTokens;
        if (!hasAffinity) {
            return nullptr;
        }
        return pool.preferredEndpoint(hash64(parts[parts.size() - 2].id));
    }
    const std::string prefix =
        request.account + request.body.substr(0, requestmachine::prefixBytes);
    return pool.preferredEndpoint(hash64(prefix));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::send(Request &request, const PoolEntry &pool,
                                  const EndpointEntry &endpoint, const Snapshot &snapshot)
{
    assert((request.pipeline.repeatable || request.holdsClaim || request.proxied
            || !G::claimsBeforeSending)
           && "a request that is not repeatable must hold a claim when it is sent");
    const TimePoint now = m_clock.now();
    request.phase = Request::Phase::Running;
    countDemand(request, request.stage + 1);
    request.endpoint = endpoint.spec->name;
    request.endpointMayStartAgain = requestmachine::mayStartAgain(*endpoint.spec);
    request.softwareVersion.reset();
    if (requestmachine::isVersionCurrent(*endpoint.spec, receivesEndpointUpdates(snapshot, now))) {
        request.softwareVersion = endpoint.spec->softwareVersion;
    }
    request.isRelayed = G::relaysCalls && pool.path != nullptr
                        && (pool.isPathLost()
                            || (pool.path->hasRelay()
                                && request.connectFailures >= requestmachine::maxConnectFailures));
    request.sentAt = now;
    request.isPlaced = false;
    ++request.attempt;
    if (request.costs.size() <= request.stage) {
        request.costs.push_back({request.stageSpec().name, pool.spec.name, {}, {}, 0, 0});
        m_retryTokens = std::min(m_retryTokens + requestmachine::retryTokensPerSend,
                                 requestmachine::maxRetryTokens);
    }
    ++request.costs[request.stage].sends;
    ++m_counters.sends;
    recordSend(endpoint, now);
    reservePromptTokens(request, pool, endpoint);
    if (const std::shared_ptr<AccountLoad> load = accountLoad(request, snapshot)) {
        request.inFlight = ScopedCount({load, &load->inFlight});
    }
    const Duration typical =
        poolState(pool.spec.name).latency.median(m_clock.now(), request.bytes());
    request.charged = std::max<Duration>(typical, requestmachine::defaultCharge);
    charge(request, request.charged, snapshot);

    SendStage action;
    action.call = request.call();
    action.pool = pool.spec.name;
    action.isRelayed = request.isRelayed;
    action.endpoint = endpoint.spec->name;
    action.endpointIdentity = endpoint.spec->stableName();
    action.softwareVersion = request.softwareVersion;
    action.address = endpoint.spec->address;
    action.protocol = pool.spec.protocol;
    action.stage = request.stageSpec().name;
    action.request = request.body;
    action.previous = request.previous;
    action.idempotencyKey = request.idempotencyKey;
    action.repeatable = request.pipeline.repeatable;
    action.refusesBeforeRunning = endpoint.spec->refusesBeforeRunning;
    action.traceparent = request.traceparent;
    action.timeout = request.deadline - now;
    action.streams = request.streams && request.stage + 1 == request.pipeline.stages.size();
    action.tokensDelivered = request.tokens;
    action.textDelivered = request.text;
    action.account = request.account;
    action.priority = request.priority;
    action.proxied = request.proxied;
    if (request.pieces) {
        action.inputs = request.pieces->finalResults();
    }
    if (request.headForwarded) {
        action.resumeAfter = request.lastEventId;
    }
    recordSentRetry(request, pool.spec.name);
    m_counters.resumedStreams += request.tokens > 0 || request.headForwarded ? 1 : 0;
    m_actions.emplace_back(std::move(action));
}

/// Charges usage of the stage's pool to the account. A call is charged an estimate when it is
/// sent, so that a burst cannot precede its charges.
template <GuardPolicy G>
void BasicRequestMachine<G>::charge(const Request &request, Duration amount,
                                    const Snapshot &snapshot)
{
    if (const std::shared_ptr<AccountLoad> load = accountLoad(request, snapshot)) {
        load->usageMeter.add(m_clock.now(), amount);
    }
}

/// Returns the account's load at the stage's pool; null if either is no longer declared.
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

/// Ends the accounting of the call in progress: releases the endpoint's slot and records the
/// elapsed time.
template <GuardPolicy G>
void BasicRequestMachine<G>::settleCall(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    StageCost &cost = request.costs[request.stage];
    cost.elapsed += now - request.sentAt;
    request.demand = {};
    request.inFlight = {};
    releasePromptTokens(request, snapshot);
    if (const EndpointEntry *endpoint = endpointOf(request, snapshot)) {
        const int before = endpoint->load->inFlight.fetch_sub(1, std::memory_order_relaxed);
        // An endpoint that was redeclared under the same name starts from zero.
        if (before <= 0) {
            endpoint->load->inFlight.store(0, std::memory_order_relaxed);
        }
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTDISPATCHIMPL_H
