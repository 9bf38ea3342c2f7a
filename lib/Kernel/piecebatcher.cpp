//===- piecebatcher.cpp - Batching of pieces ------------------------------===//

#include "harelink/Kernel/piecebatcher.h"

#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/routing.h"
#include "harelink/Support/error.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// The backoff after a refused call, doubled for each consecutive refusal: the endpoint may
/// still process calls of a previous batcher. With a constant backoff of 40 ms, 55 endpoints
/// refused 4,437 calls in the 3 s after all daemons had ended.
constexpr milliseconds refusalBackoff{40};
constexpr milliseconds maxRefusalBackoff{320};
/// The backoff after a failed connection attempt, doubled for each consecutive failure.
constexpr milliseconds unreachableBackoff{250};
constexpr milliseconds maxUnreachableBackoff{4000};
/// An endpoint that reports no buffer space although some should be left is treated as full for
/// this period: a previous batcher of its pool may have used the space.
constexpr milliseconds bufferFullPeriod{150};
/// Refusals after which a piece is reported to its daemon as refused.
constexpr std::uint32_t maxRefusals = 4;
/// Weight of a new sample in the moving average of an endpoint's slowness.
constexpr double slownessSmoothing = 0.4;
/// Weight of one piece in the moving average of the forecast correction: at 70 pieces per
/// second, the average covers most of a change within 0.7 s.
constexpr double correctionSmoothing = 0.02;
constexpr double minCorrection = 0.7;
constexpr double maxCorrection = 4;
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20;
/// A failed call counts as one that took this multiple of its declared time.
constexpr double failureSlowness = 4;
/// Results are freed in batches, since one call for several costs no more than for one.
constexpr milliseconds freeInterval{30};
/// The backlog of a pool that has become idle is reported for this period, so that daemons which
/// received a busy backlog learn of the change. Covers eight heartbeats, in case some are lost.
constexpr milliseconds idleReportPeriod{2000};

/// Returns \p time doubled \p times times, at most \p maxTime.
milliseconds backoff(milliseconds time, std::uint32_t times, milliseconds maxTime)
{
    for (std::uint32_t i = 0; i < times && time < maxTime; ++i) {
        time *= 2;
    }
    return std::min(time, maxTime);
}

} // namespace

PieceBatcher::PieceBatcher(const Clock &clock)
    : m_clock(clock)
{
}

void PieceBatcher::handle(const std::string &host, const PieceOrders &orders,
                          const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    if (!orders.orders.empty()) {
        updateIncarnation(host, orders.orders.front().id.request.incarnation);
    }
    PoolQueue &queue = m_queues[orders.pool];
    forgetIfIdle(queue);
    queue.lastActive = now;
    Duration predicted{};
    if (const PoolEntry *pool = snapshot.poolOrPartition(orders.pool);
        pool != nullptr && !orders.orders.empty()) {
        const PieceBacklog backlog = backlogOf(orders.pool, queue, snapshot);
        recordBacklog(*pool, backlog, now);
        recordUpcoming(snapshot, backlog, now);
        predicted = predictCompletion(*pool, static_cast<std::uint32_t>(orders.orders.size()),
                                      orders.orders.front().priority, now);
    }
    for (const PieceOrder &order : orders.orders) {
        QueuedPiece item;
        item.receivedAt = now;
        item.predicted = predicted;
        item.host = host;
        item.order = order;
        item.objective = now + order.untilObjective;
        item.deadline = now + order.untilDeadline;
        queue.waiting.push_back(std::move(item));
    }
    formCalls(orders.pool, queue, snapshot);
}

/// Forgets what was learned of the endpoints of a pool that had no work since.
void PieceBatcher::forgetIfIdle(PoolQueue &queue) const
{
    if (isBusy(queue) || m_clock.now() - queue.lastActive <= idleReportPeriod) {
        return;
    }
    queue.endpointStates.clear();
    queue.holdTime = {};
    queue.utilization = {};
}

void PieceBatcher::withdraw(const std::string &host, const PieceWithdrawal &withdrawal)
{
    const auto isWithdrawn = [&](const QueuedPiece &item) {
        return item.host == host
               && std::find(withdrawal.requests.begin(), withdrawal.requests.end(),
                            item.order.id.request)
                      != withdrawal.requests.end();
    };
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue.waiting, isWithdrawn);
    }
}

bool PieceBatcher::isFromCurrentIncarnation(const QueuedPiece &item) const
{
    const auto known = m_incarnations.find(item.host);
    return known != m_incarnations.end() && known->second == item.order.id.request.incarnation;
}

/// Drops the earlier orders of \p host if it has restarted, since they are lost to it.
void PieceBatcher::updateIncarnation(const std::string &host, Incarnation incarnation)
{
    const auto [known, isNew] = m_incarnations.try_emplace(host, incarnation);
    if (!isNew && known->second != incarnation) {
        dropOrdersOf(host);
        known->second = incarnation;
    }
}

void PieceBatcher::removeHost(const std::string &host, const Snapshot &snapshot)
{
    if (m_incarnations.erase(host) == 0) {
        return;
    }
    dropOrdersOf(host);
    for (auto &[pool, queue] : m_queues) {
        formCalls(pool, queue, snapshot);
    }
}

/// Drops the orders of \p host, and frees the results that were computed for it.
void PieceBatcher::dropOrdersOf(const std::string &host)
{
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue.waiting,
                      [&host](const QueuedPiece &item) { return item.host == host; });
        queueFrees(queue.bufferUsage.removeOrderedBy(host));
    }
}

// End of calls ----------------------------------------------------------------

void PieceBatcher::addOutcome(const std::string &pool, const QueuedPiece &item,
                              const std::string &endpoint, const std::string &handle,
                              PieceFault fault)
{
    m_outcomes[{item.host, pool}].push_back({item.order.id, endpoint, handle, fault});
}

void PieceBatcher::handle(const PieceCallEnded &event, const Snapshot &snapshot)
{
    for (auto &[pool, queue] : m_queues) {
        for (auto &[endpoint, state] : queue.endpointStates) {
            const auto activeCall = std::find_if(
                state.activeCalls.begin(), state.activeCalls.end(),
                [&event](const ActiveCall &candidate) { return candidate.id == event.id; });
            if (activeCall == state.activeCalls.end()) {
                continue;
            }
            queue.lastActive = m_clock.now();
            ActiveCall ended = std::move(*activeCall);
            state.activeCalls.erase(activeCall);
            if (const PoolEntry *entry = snapshot.poolOrPartition(pool)) {
                const TimePoint now = m_clock.now();
                const auto usable = std::count_if(
                    entry->endpoints.begin(), entry->endpoints.end(),
                    [now](const EndpointEntry &other) { return isUsable(other, now); });
                recordUtilization(queue, static_cast<std::size_t>(usable), now);
            }
            finishCall(pool, queue, endpoint, std::move(ended), event, snapshot);
            formCalls(pool, queue, snapshot);
            return;
        }
    }
}

void PieceBatcher::endpointEnded(const std::string &endpoint, const Snapshot &snapshot)
{
    std::vector<PieceCallEnded> failures;
    for (auto &[pool, queue] : m_queues) {
        queue.bufferUsage.removeEndpoint(endpoint);
        const auto state = queue.endpointStates.find(endpoint);
        if (state == queue.endpointStates.end()) {
            continue;
        }
        for (const ActiveCall &activeCall : state->second.activeCalls) {
            PieceCallEnded failed;
            failed.id = activeCall.id;
            failed.status = makeError(absl::StatusCode::kUnavailable, "pieces", endpoint,
                                      "the endpoint has started again");
            failures.push_back(std::move(failed));
        }
    }
    for (const PieceCallEnded &failed : failures) {
        handle(failed, snapshot);
    }
}

void PieceBatcher::finishCall(const std::string &pool, PoolQueue &queue,
                              const std::string &endpoint, ActiveCall activeCall,
                              const PieceCallEnded &event, const Snapshot &snapshot)
{
    if (const PoolEntry *entry = snapshot.poolOrPartition(pool)) {
        recordCallEnd(endpoint, queue, activeCall, event, *entry);
        if (entry->spec.pieces) {
            addResults(queue, endpoint, activeCall, event, m_clock.now(),
                       entry->spec.pieces->resultTtl);
        }
    }
    const bool refused =
        event.evidence == SendEvidence::RefusedBeforeRun && !event.isEndpointReplaced;
    // No work was started, so the pieces can be sent to another endpoint at no cost.
    const bool notStarted =
        !event.answered && (refused || event.evidence == SendEvidence::NothingSent);
    for (std::size_t i = 0; i < activeCall.items.size(); ++i) {
        QueuedPiece &item = activeCall.items[i];
        const PieceFault fault = event.answered ? event.results[i].fault : PieceFault::Failed;
        if ((notStarted || fault == PieceFault::NoRoom) && ++item.refusals < maxRefusals) {
            queue.waiting.push_back(std::move(item));
            continue;
        }
        if (fault == PieceFault::None && event.answered) {
            updateCorrection(queue, item);
        }
        const std::string handle = event.answered ? event.results[i].handle : std::string();
        addOutcome(pool, item, endpoint, handle, refused ? PieceFault::Refused : fault);
    }
    if (event.isEndpointReplaced) {
        m_replacedEndpoints.push_back(endpoint);
    }
}

/// Updates the correction of forecasts without upcoming pieces, which do not account for lack of
/// buffer space and for pieces that overtake.
void PieceBatcher::updateCorrection(PoolQueue &queue, const QueuedPiece &item) const
{
    // A piece that was not started at first has waited for an endpoint that could not be reached,
    // or was full, which is no error of the forecast.
    if (item.predicted <= Duration::zero() || item.refusals > 0) {
        return;
    }
    const double ratio = std::chrono::duration<double>(m_clock.now() - item.receivedAt)
                         / std::chrono::duration<double>(item.predicted);
    // A delay of this host lengthens the measured time, so a shorter one is a sample nevertheless.
    if (ratio > 1 && item.receivedAt <= m_overloadedAt) {
        return;
    }
    const TimePoint now = m_clock.now();
    queue.correction.add(queue.correction.value(now) * ratio, correctionSmoothing, minCorrection,
                         maxCorrection, now);
}

/// Updates slowness, backoff, load and health of \p endpoint.
void PieceBatcher::recordCallEnd(const std::string &endpoint, PoolQueue &queue,
                                 const ActiveCall &activeCall, const PieceCallEnded &event,
                                 const PoolEntry &pool)
{
    const TimePoint now = m_clock.now();
    EndpointState &state = queue.endpointStates.at(endpoint);
    // A call that waited behind another one started when that one ended.
    const TimePoint begin = activeCall.expectedEnd - scaled(activeCall.declared, state.slowness);
    const Duration elapsed = now - std::max(activeCall.sentAt, std::min(begin, now));
    double sample = activeCall.declared > Duration::zero()
                        ? std::chrono::duration<double>(elapsed)
                              / std::chrono::duration<double>(activeCall.declared)
                        : 1;
    const bool failed = !event.answered && event.evidence != SendEvidence::RefusedBeforeRun;
    if (failed) {
        sample = std::max(sample, failureSlowness);
    }
    const bool unreachable = !event.answered && event.evidence == SendEvidence::NothingSent;
    if (unreachable) {
        // Tells nothing of the time that calls take.
    } else if (event.answered || failed) {
        state.slowness += (sample - state.slowness) * slownessSmoothing;
        state.slowness = std::clamp(state.slowness, minSlowness, maxSlowness);
        if (const EndpointEntry *measured = pool.find(endpoint)) {
            state.reportedPace +=
                (reportedPace(*measured, now) - state.reportedPace) * slownessSmoothing;
        }
    } else {
        state.blockedUntil = now + backoff(refusalBackoff, state.refusals++, maxRefusalBackoff);
        if (const EndpointEntry *rejecting = pool.find(endpoint)) {
            const Duration pause = std::chrono::nanoseconds(
                rejecting->load->rejectionPause.load(std::memory_order_relaxed));
            state.blockedUntil = std::max<TimePoint>(state.blockedUntil, now + pause);
        }
    }
    state.refusals = event.answered ? 0 : state.refusals;
    if (unreachable) {
        state.blockedUntil =
            now + backoff(unreachableBackoff, state.unreachable, maxUnreachableBackoff);
    }
    state.unreachable = unreachable ? state.unreachable + 1 : 0;
    for (ActiveCall &next : state.activeCalls) {
        next.expectedEnd = now + scaled(next.declared, state.slowness);
    }
    const EndpointEntry *entry = pool.find(endpoint);
    if (entry == nullptr) {
        return;
    }
    entry->load->inFlight.fetch_sub(1, std::memory_order_relaxed);
    const bool isReached = event.answered || event.evidence == SendEvidence::RefusedBeforeRun;
    if (isReached && pool.path != nullptr) {
        pool.path->recordReached();
    }
    if (event.answered) {
        recordSuccess(*entry, elapsed, now);
    } else {
        recordFailure(pool, *entry, event.evidence, now);
    }
}

/// Returns how long calls to \p endpoint are expected to take relative to the declared time: its
/// slowness, corrected by how its reported pace differs from that at which it was measured.
double PieceBatcher::slownessOf(const PoolQueue &queue, const EndpointEntry &endpoint,
                                TimePoint now)
{
    const auto found = queue.endpointStates.find(endpoint.spec->name);
    const double pace = reportedPace(endpoint, now);
    const double slowness = found == queue.endpointStates.end()
                                ? pace
                                : found->second.slowness * pace / found->second.reportedPace;
    return std::clamp(slowness, minSlowness, maxSlowness);
}

// Buffer space ----------------------------------------------------------------

/// Accounts the results of a call to the buffer of their endpoint.
void PieceBatcher::addResults(PoolQueue &queue, const std::string &endpoint,
                              const ActiveCall &activeCall, const PieceCallEnded &event,
                              TimePoint now, Duration lifetime)
{
    for (std::size_t i = 0; i < activeCall.items.size() && i < event.results.size(); ++i) {
        if (event.results[i].fault == PieceFault::NoRoom) {
            queue.bufferUsage.recordBufferFull(endpoint, now + bufferFullPeriod);
        }
        if (event.results[i].fault != PieceFault::None) {
            continue;
        }
        const QueuedPiece &item = activeCall.items[i];
        if (!isFromCurrentIncarnation(item)) {
            queueFrees({event.results[i].handle});
            continue;
        }
        queue.bufferUsage.add(
            event.results[i].handle,
            {endpoint, item.order.resultBytes, activeCall.sentAt, now + lifetime, item.host});
    }
}

void PieceBatcher::handle(const PieceFrees &frees, const Snapshot &snapshot)
{
    queueFrees(frees.handles);
    const auto found = m_queues.find(frees.pool);
    if (found == m_queues.end()) {
        return;
    }
    PoolQueue &queue = found->second;
    for (const std::string &handle : frees.handles) {
        if (const std::optional<BufferedResult> freed = queue.bufferUsage.remove(handle)) {
            queue.holdTime.add(m_clock.now() - freed->allocatedAt);
        }
    }
    formCalls(frees.pool, queue, snapshot);
}

void PieceBatcher::queueFrees(const std::vector<std::string> &handles)
{
    if (handles.empty()) {
        return;
    }
    m_pendingFrees.insert(m_pendingFrees.end(), handles.begin(), handles.end());
    if (m_flushFreesAt == TimePoint::max()) {
        m_flushFreesAt = m_clock.now() + freeInterval;
    }
}

std::vector<std::string> PieceBatcher::drainFreedResults()
{
    if (m_clock.now() < m_flushFreesAt) {
        return {};
    }
    m_flushFreesAt = TimePoint::max();
    return std::exchange(m_pendingFrees, {});
}

// Timers and reports ----------------------------------------------------------

void PieceBatcher::tick(const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    for (auto &[pool, queue] : m_queues) {
        if (queue.nextScan <= now) {
            formCalls(pool, queue, snapshot);
        }
        std::erase_if(queue.endpointStates, [&snapshot](const auto &entry) {
            return entry.second.activeCalls.empty() && snapshot.endpoint(entry.first) == nullptr;
        });
    }
}

TimePoint PieceBatcher::nextTick() const
{
    TimePoint next = m_flushFreesAt;
    for (const auto &[pool, queue] : m_queues) {
        next = std::min(next, queue.nextScan);
    }
    return next;
}

/// Adds the pieces that the request of \p order will order from other pools.
void PieceBatcher::addUpcoming(const PieceOrder &order, const Snapshot &snapshot,
                               PieceBacklog &backlog)
{
    for (const UpcomingPieces &upcoming : order.upcoming) {
        auto entry = std::find_if(
            backlog.upcoming.begin(), backlog.upcoming.end(),
            [&upcoming](const UpcomingBacklog &known) { return known.pool == upcoming.pool; });
        if (entry == backlog.upcoming.end()) {
            if (snapshot.pool(upcoming.pool) == nullptr
                || backlog.upcoming.size() == maxUpcomingPools) {
                continue;
            }
            entry = backlog.upcoming.insert(entry, UpcomingBacklog{upcoming.pool, {}, {}});
        }
        std::uint32_t &pieces = entry->pieces[priorityClass(order.priority)];
        pieces = std::min(pieces + upcoming.pieces, maxReportedPieces);
        entry->resultBytes[priorityClass(order.priority)] += upcoming.resultBytes;
    }
}

/// Adds what waits here, and what it leads to at other pools.
void PieceBatcher::reportWaiting(const PoolQueue &queue, const Snapshot &snapshot,
                                 PieceBacklog &backlog)
{
    for (const QueuedPiece &item : queue.waiting) {
        const std::size_t itemClass = priorityClass(item.order.priority);
        ++backlog.waiting[itemClass];
        backlog.waitingBytes[itemClass] += item.order.resultBytes;
        addUpcoming(item.order, snapshot, backlog);
    }
    for (const auto &[name, state] : queue.endpointStates) {
        for (const ActiveCall &activeCall : state.activeCalls) {
            for (const QueuedPiece &item : activeCall.items) {
                addUpcoming(item.order, snapshot, backlog);
            }
        }
    }
}

/// Adds the use of the result buffers of the endpoints that accept calls.
void PieceBatcher::reportBuffers(const PoolQueue &queue, const PoolEntry &pool,
                                 PieceBacklog &backlog) const
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    if (work.resultBufferBytes == 0) {
        return;
    }
    for (const EndpointEntry &endpoint : pool.endpoints) {
        if (isUsable(endpoint, m_clock.now())) {
            backlog.bufferedBytes += allocatedBytes(queue, endpoint.spec->name, work);
        }
    }
    backlog.holdTime = queue.holdTime.value();
}

PieceBacklog PieceBatcher::backlogOf(const std::string &pool, const PoolQueue &queue,
                                     const Snapshot &snapshot) const
{
    const TimePoint now = m_clock.now();
    PieceBacklog backlog;
    backlog.pool = pool;
    reportWaiting(queue, snapshot, backlog);
    const PoolEntry *entry = snapshot.poolOrPartition(pool);
    if (entry == nullptr) {
        return backlog;
    }
    backlog.isPathLost = entry->isPathLost();
    std::vector<double> slowness;
    TimePoint first = TimePoint::max();
    for (const EndpointEntry &endpoint : entry->endpoints) {
        if (!isUsable(endpoint, now)) {
            continue;
        }
        const auto state = queue.endpointStates.find(endpoint.spec->name);
        slowness.push_back(state == queue.endpointStates.end() ? 1 : state->second.slowness);
        first = std::min(first, nextCallAt(queue, endpoint, now));
    }
    if (slowness.empty()) {
        return backlog;
    }
    const auto middle = slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
    std::nth_element(slowness.begin(), middle, slowness.end());
    backlog.slowness = *middle;
    backlog.correction = queue.correction.value(now);
    backlog.endpoints = static_cast<std::uint32_t>(slowness.size());
    CallPacing pacing;
    pacing.lastCallAt = queue.lastCallAt;
    pacing.callTime = entry->spec.pieces.value_or(PieceWorkSpec{}).callTime;
    pacing.endpoints = slowness.size();
    pacing.utilization = queue.utilization.value(now);
    pacing.isFull = queue.waiting.size() >= entry->spec.pieces.value_or(PieceWorkSpec{}).batch;
    backlog.freeIn = std::max(first, earliestCallStart(pacing)) - now;
    reportBuffers(queue, *entry, backlog);
    return backlog;
}

std::array<std::size_t, priorityClassCount> PieceBatcher::waitingByClass() const
{
    std::array<std::size_t, priorityClassCount> counts{};
    for (const auto &[pool, queue] : m_queues) {
        for (const QueuedPiece &item : queue.waiting) {
            ++counts[priorityClass(item.order.priority)];
        }
    }
    return counts;
}

bool PieceBatcher::isBusy(const PoolQueue &queue)
{
    return !queue.waiting.empty()
           || std::any_of(queue.endpointStates.begin(), queue.endpointStates.end(),
                          [](const auto &entry) { return !entry.second.activeCalls.empty(); });
}

bool PieceBatcher::idle() const
{
    return std::none_of(m_queues.begin(), m_queues.end(),
                        [](const auto &entry) { return isBusy(entry.second); });
}

std::vector<PieceBacklog> PieceBatcher::backlogs(const Snapshot &snapshot) const
{
    std::vector<PieceBacklog> backlogs;
    for (const auto &[pool, queue] : m_queues) {
        if (isBusy(queue) || m_clock.now() - queue.lastActive <= idleReportPeriod) {
            backlogs.push_back(backlogOf(pool, queue, snapshot));
        }
    }
    return backlogs;
}

std::vector<OutgoingPieceOutcomes> PieceBatcher::drainOutcomes(const Snapshot &snapshot)
{
    std::vector<OutgoingPieceOutcomes> sends;
    for (auto &[where, outcomes] : std::exchange(m_outcomes, {})) {
        const auto &[host, pool] = where;
        OutgoingPieceOutcomes send;
        send.host = host;
        send.outcomes.outcomes = std::move(outcomes);
        send.outcomes.backlog = backlogOf(pool, m_queues[pool], snapshot);
        sends.push_back(std::move(send));
    }
    return sends;
}

} // namespace harelink
