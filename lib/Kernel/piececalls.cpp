//===- piececalls.cpp - Formation of calls to endpoints -------------------===//
///
/// \file
/// Decides when the batcher calls an endpoint, and with which pieces. The end of calls
/// is handled in piecebatcher.cpp.
///
//===----------------------------------------------------------------------===//

#include "harelink/Kernel/piecebatcher.h"

#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/piecepacing.h"
#include "harelink/Kernel/routing.h"

#include <algorithm>
#include <cassert>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// The next call is sent this long before the current one is expected to end, so that the
/// endpoint does not idle. Covers one network hop and the endpoint's own queue.
constexpr milliseconds sendAhead{15};
/// Calls in flight per endpoint: the current one and the next.
constexpr std::size_t maxActiveCalls = 2;

/// Returns the number of calls that \p endpoint may have in flight. A brittle one may let none
/// wait.
std::size_t activeCallLimit(const EndpointEntry &endpoint)
{
    const bool isBrittle = endpoint.load->brittleSlots.load(std::memory_order_relaxed) > 0;
    return isBrittle ? 1 : maxActiveCalls;
}
/// The timeout of a call is its expected duration times timeoutFactor, plus timeoutSlack.
constexpr double timeoutFactor = 2;
constexpr milliseconds timeoutSlack{600};
/// Length of the sources of the pieces of a call, except for the first piece: each states all of
/// its inputs, which may be thousands.
constexpr std::size_t maxCallSourceBytes = 524'288;
/// The interval between scans of a queue whose pieces no free endpoint may take. If many
/// pieces wait, it is also the minimum interval (see isScanThrottled()).
constexpr milliseconds rescanInterval{15};
/// If this number of batches waits, the pieces of one request may be split over several calls
/// rather than leave batch slots empty. This raises throughput at the cost of latency.
constexpr std::size_t groupSplitBatches = 2;
/// If this number of batches waits, the next call is full even if the scan is delayed.
constexpr std::size_t scanThrottleBatches = 4;
/// The number of batches whose order is adjusted for guaranteed minimums in one scan: few calls are
/// formed at once, and the rest of a long queue is sorted again by the next scan.
constexpr std::size_t plannedBatches = 4;
/// A group whose results take up to this part of an endpoint's buffer is not split for lack of
/// space. Up to as much of the buffer stays unused meanwhile: with a quarter, an endpoint that
/// buffers 12 results served fewer requests than with groups split.
constexpr double wholeGroupBufferFraction = 0.1;

/// Returns whether a group of pieces of \p bytes may be split for lack of buffer space. A smaller
/// group waits for space as a whole: its first results would occupy the buffer unused until the
/// rest is computed.
bool maySplitForBufferSpace(std::uint64_t bytes, const PieceWorkSpec &work)
{
    return static_cast<double>(bytes)
           > static_cast<double>(work.resultBufferBytes) * wholeGroupBufferFraction;
}

} // namespace

/// Returns when \p endpoint accepts its next call. Returns exactly \p now if nothing delays
/// it, so that a clock that advances between two readings cannot delay the call.
TimePoint PieceBatcher::nextCallAt(const PoolQueue &queue, const EndpointEntry &endpoint,
                                   TimePoint now)
{
    const TimePoint opens = availableAt(endpoint, now);
    const auto found = queue.endpointStates.find(endpoint.spec->name);
    if (found == queue.endpointStates.end()) {
        return opens;
    }
    const EndpointState &state = found->second;
    if (state.activeCalls.size() >= activeCallLimit(endpoint)) {
        return std::max(opens, state.activeCalls.back().expectedEnd);
    }
    if (state.activeCalls.empty()) {
        return std::max(opens, state.blockedUntil);
    }
    // An overdue call is expected to take the overdue time once more.
    const Duration overdueBy = now - state.activeCalls.front().expectedEnd;
    const TimePoint last =
        std::max<TimePoint>(state.activeCalls.back().expectedEnd, now + overdueBy);
    return std::max({opens, TimePoint(last - sendAhead), state.blockedUntil});
}

/// Returns the state of all usable endpoints, evaluated once per scan. Evaluating it for each
/// pair of 1,000 waiting pieces and 20 endpoints took tens of milliseconds on a small host.
PieceBatcher::Candidates PieceBatcher::candidatesFor(const PoolQueue &queue,
                                                     const PoolEntry &pool) const
{
    const TimePoint now = m_clock.now();
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    Candidates candidates;
    candidates.reserve(pool.endpoints.size());
    for (const EndpointEntry &endpoint : pool.endpoints) {
        if (isUsable(endpoint, now)) {
            candidates.push_back(candidateFor(endpoint, queue, work));
        }
    }
    return candidates;
}

PieceBatcher::Candidate PieceBatcher::candidateFor(const EndpointEntry &endpoint,
                                                   const PoolQueue &queue,
                                                   const PieceWorkSpec &work) const
{
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.nextCallAt = nextCallAt(queue, endpoint, m_clock.now());
    candidate.endsAt =
        candidate.nextCallAt + scaled(work.callTime, slownessOf(queue, endpoint, m_clock.now()));
    candidate.allocatedBytes = allocatedBytes(queue, endpoint.spec->name, work);
    return candidate;
}

/// Returns whether to postpone the scan of \p queue, because many pieces wait and the last scan
/// left them there less than rescanInterval ago. With a scan for each order, a group of 100
/// daemons that had all ended together spent its time on scans, and had not recovered after 30 s.
bool PieceBatcher::isScanThrottled(const PoolQueue &queue, const PieceWorkSpec &work) const
{
    return m_clock.now() < queue.noScanBefore
           && queue.waiting.size() > work.batch * scanThrottleBatches;
}

/// Returns the earliest start of the next call of \p queue; see earliestCallStart().
TimePoint PieceBatcher::nextCallStart(const PoolQueue &queue, const Candidates &candidates,
                                      const PieceWorkSpec &work) const
{
    const std::size_t waiting = queue.waiting.size();
    CallPacing pacing;
    pacing.lastCallAt = queue.lastCallAt;
    pacing.isFull = waiting >= work.batch;
    pacing.callTime = work.callTime + work.pieceTime * std::min<std::size_t>(waiting, work.batch);
    const TimePoint until = m_clock.now() + pacing.callTime;
    pacing.endpoints = static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(), [until](const Candidate &candidate) {
            return !candidate.isSkipped && candidate.nextCallAt <= until;
        }));
    pacing.utilization = queue.utilization.value(m_clock.now());
    for (const QueuedPiece &item : queue.waiting) {
        for (const TimePoint due : {item.objective, item.deadline}) {
            if (due >= until) {
                pacing.latest = std::min<TimePoint>(pacing.latest, due - pacing.callTime);
            }
        }
    }
    return earliestCallStart(pacing);
}

/// Records how many of the \p endpoints of a pool that accept calls are busy.
void PieceBatcher::recordUtilization(PoolQueue &queue, std::size_t endpoints, TimePoint now)
{
    const auto busy =
        std::count_if(queue.endpointStates.begin(), queue.endpointStates.end(),
                      [](const auto &entry) { return !entry.second.activeCalls.empty(); });
    queue.utilization.record(
        static_cast<double>(busy) / static_cast<double>(std::max<std::size_t>(1, endpoints)), now);
}

void PieceBatcher::formCalls(const std::string &poolName, PoolQueue &queue,
                             const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    queue.nextScan = TimePoint::max();
    queue.bufferUsage.expire(now);
    if (queue.waiting.empty()) {
        return;
    }
    const PoolEntry *pool = snapshot.poolOrPartition(poolName);
    const auto acceptsCalls = [now](const EndpointEntry &entry) { return isUsable(entry, now); };
    if (pool == nullptr || pool->isPathLost()
        || std::none_of(pool->endpoints.begin(), pool->endpoints.end(), acceptsCalls)) {
        for (const QueuedPiece &item : std::exchange(queue.waiting, {})) {
            addOutcome(poolName, item, {}, {}, PieceFault::Refused);
        }
        return;
    }
    const PieceWorkSpec work = pool->spec.pieces.value_or(PieceWorkSpec{});
    if (isScanThrottled(queue, work)) {
        queue.nextScan = queue.noScanBefore;
        return;
    }
    dropLate(queue, poolName, *pool);
    Candidates candidates = candidatesFor(queue, *pool);
    recordUtilization(queue, candidates.size(), now);
    if (bestAvailable(candidates) != nullptr) {
        sortByUrgency(queue, now, work);
    }
    TimePoint startsAt = now;
    bool hasSkipped = false; // Set if an available endpoint may take none of the pieces.
    while (!queue.waiting.empty()) {
        Candidate *candidate = bestAvailable(candidates);
        if (candidate == nullptr) {
            break;
        }
        startsAt = nextCallStart(queue, candidates, work);
        if (startsAt > now) {
            break;
        }
        if (formCall(*candidate, candidates, queue, *pool)) {
            *candidate = candidateFor(*candidate->endpoint, queue, work);
            recordUtilization(queue, candidates.size(), now);
        } else {
            candidate->isSkipped = true;
            hasSkipped = true;
        }
    }
    if (queue.waiting.empty()) {
        return;
    }
    queue.noScanBefore = now + rescanInterval;
    queue.nextScan = hasSkipped ? queue.noScanBefore : TimePoint::max();
    if (startsAt > now) {
        queue.nextScan = std::min(queue.nextScan, startsAt);
    }
    for (const Candidate &candidate : candidates) {
        if (candidate.nextCallAt > now) {
            queue.nextScan = std::min(queue.nextScan, candidate.nextCallAt);
        }
    }
}

/// Drops the pieces that would miss their deadline, so that they take no batch slots from others.
void PieceBatcher::dropLate(PoolQueue &queue, const std::string &poolName, const PoolEntry &pool)
{
    const TimePoint now = m_clock.now();
    TimePoint opens = TimePoint::max();
    for (const EndpointEntry &endpoint : pool.endpoints) {
        if (isUsable(endpoint, now)) {
            opens = std::min(opens, availableAt(endpoint, now));
        }
    }
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    const TimePoint earliest = opens + work.callTime;
    const auto isLate = [earliest](const QueuedPiece &item) { return item.deadline < earliest; };
    for (const QueuedPiece &item : queue.waiting) {
        if (isLate(item)) {
            updateCorrection(queue, item);
            addOutcome(poolName, item, {}, {}, PieceFault::Late);
        }
    }
    std::erase_if(queue.waiting, isLate);
}

WaitingPiece PieceBatcher::waitingPiece(const QueuedPiece &item)
{
    return {item.order.id.request, item.order.id.stage, item.order.priority, item.order.account,
            item.objective};
}

/// Sorts the queue; see PieceSequence.
void PieceBatcher::sortByUrgency(PoolQueue &queue, TimePoint now, const PieceWorkSpec &work)
{
    std::vector<WaitingPiece> pieces;
    pieces.reserve(queue.waiting.size());
    for (const QueuedPiece &item : queue.waiting) {
        pieces.push_back(waitingPiece(item));
    }
    std::vector<QueuedPiece> sorted;
    sorted.reserve(queue.waiting.size());
    for (const PlannedPiece &planned :
         queue.sequence.plan(pieces, now + work.callTime, work.batch * plannedBatches)) {
        sorted.push_back(std::move(queue.waiting[planned.index]));
        sorted.back().guarantee = planned.guarantee;
    }
    queue.waiting = std::move(sorted);
}

/// Records that \p items are sent; returns the number of those that a guaranteed minimum placed
/// before more urgent ones.
std::size_t PieceBatcher::recordSent(PieceSequence &sequence, const std::vector<QueuedPiece> &items)
{
    std::size_t byMinimum = 0;
    for (const QueuedPiece &item : items) {
        sequence.recordSent(waitingPiece(item), item.guarantee);
        byMinimum += item.guarantee != Guarantee::None ? 1 : 0;
    }
    m_piecesByMinimum += byMinimum;
    return byMinimum;
}

/// Returns the available endpoint that would complete a call first; nullptr if there is none, or
/// if a busy endpoint would complete it earlier.
PieceBatcher::Candidate *PieceBatcher::bestAvailable(Candidates &candidates) const
{
    Candidate *best = nullptr;
    for (Candidate &candidate : candidates) {
        if (!candidate.isSkipped && (best == nullptr || candidate.endsAt < best->endsAt)) {
            best = &candidate;
        }
    }
    return best != nullptr && best->nextCallAt <= m_clock.now() ? best : nullptr;
}

/// Returns the buffer space at \p endpoint that results use or calls in flight reserve.
std::uint64_t PieceBatcher::allocatedBytes(const PoolQueue &queue, const std::string &endpoint,
                                           const PieceWorkSpec &work) const
{
    if (queue.bufferUsage.isFull(endpoint, m_clock.now())) {
        return std::max(queue.bufferUsage.bytesAt(endpoint), work.resultBufferBytes);
    }
    std::uint64_t allocated = queue.bufferUsage.bytesAt(endpoint);
    const auto found = queue.endpointStates.find(endpoint);
    if (found == queue.endpointStates.end()) {
        return allocated;
    }
    for (const ActiveCall &activeCall : found->second.activeCalls) {
        for (const QueuedPiece &item : activeCall.items) {
            allocated += item.order.resultBytes;
        }
    }
    return allocated;
}

/// Returns whether \p count pieces like \p item should wait for the next call of an endpoint with
/// a lower transfer cost. Such an endpoint becomes available before the saved cost is used
/// up, and its next call has batch slots and buffer space left beside those already reserved.
/// If so, reserves them.
///
/// Without reservations, pieces waited for an endpoint whose next calls were already full, while
/// other endpoints got partly empty calls: with 68 pieces waiting at three endpoints, calls with
/// a batch size of 8 held 4.4 pieces.
bool PieceBatcher::defersToCloser(const QueuedPiece &item, std::size_t count, const Candidate &here,
                                  Candidates &candidates, const PieceWorkSpec &work) const
{
    const PieceTransfers transfers = transfersOf(item.order, count);
    const Duration costHere = transferCost(transfers, here.endpoint->spec->dataCentre);
    if (costHere == Duration::zero()) {
        return false;
    }
    const TimePoint now = m_clock.now();
    const std::uint64_t bytes = item.order.resultBytes * count;
    for (Candidate &other : candidates) {
        const EndpointSpec &spec = *other.endpoint->spec;
        const Duration saved = costHere - transferCost(transfers, spec.dataCentre);
        const bool isCloser = saved > Duration::zero() && spec.name != item.order.avoid
                              && other.nextCallAt < now + saved;
        if (!isCloser) {
            continue;
        }
        const std::uint64_t allocated = other.allocatedBytes + other.reservedBytes;
        const bool hasSpace =
            work.resultBufferBytes == 0 || allocated + bytes <= work.resultBufferBytes;
        if (other.reservedSlots + count <= work.batch && hasSpace) {
            other.reservedSlots += count;
            other.reservedBytes += bytes;
            return true;
        }
    }
    return false;
}

/// Selects pieces from the sorted queue. The pieces of one request go into one call if they
/// fit, so that none of them waits for another call.
PieceBatcher::BatchSelection PieceBatcher::selectBatch(const Candidate &candidate,
                                                       Candidates &candidates,
                                                       const PoolQueue &queue,
                                                       const PoolEntry &pool) const
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    const std::string &name = candidate.endpoint->spec->name;
    std::uint64_t allocated = candidate.allocatedBytes;
    for (Candidate &other : candidates) {
        other.reservedSlots = 0;
        other.reservedBytes = 0;
    }
    const bool splits = queue.waiting.size() >= work.batch * groupSplitBatches;
    const bool isOnlyEndpoint = pool.endpoints.size() == 1;
    BatchSelection selection;
    std::size_t begin = 0;
    while (begin < queue.waiting.size() && selection.indices.size() < work.batch) {
        const QueuedPiece &first = queue.waiting[begin];
        const std::size_t end = endOfGroup(queue.waiting, begin);
        const std::size_t group = end - begin;
        const std::size_t freeSlots = work.batch - selection.indices.size();
        const bool fits =
            group <= freeSlots || splits || (selection.indices.empty() && group > freeSlots);
        const bool isAvoided = first.order.avoid == name && !isOnlyEndpoint;
        if (fits && !isAvoided && !defersToCloser(first, group, candidate, candidates, work)) {
            const std::size_t last = std::min(end, begin + freeSlots);
            const std::uint64_t groupBytes = first.order.resultBytes * (last - begin);
            const bool waitsForSpace = work.resultBufferBytes > 0
                                       && allocated + groupBytes > work.resultBufferBytes
                                       && !maySplitForBufferSpace(groupBytes, work);
            selection.lackingBufferSpace += waitsForSpace ? last - begin : 0;
            for (std::size_t i = begin; i < last && !waitsForSpace; ++i) {
                const std::uint64_t bytes = queue.waiting[i].order.resultBytes;
                if (work.resultBufferBytes > 0 && allocated + bytes > work.resultBufferBytes) {
                    selection.lackingBufferSpace += last - i;
                    break;
                }
                const std::size_t sourceBytes = queue.waiting[i].order.source.bytes();
                if (!selection.indices.empty()
                    && selection.sourceBytes + sourceBytes > maxCallSourceBytes) {
                    break;
                }
                selection.sourceBytes += sourceBytes;
                allocated += bytes;
                selection.indices.push_back(i);
            }
        }
        begin = end;
    }
    selection.allocatedBytes = allocated;
    return selection;
}

/// Returns the end of the range from \p begin whose pieces belong to one stage of one request.
std::size_t PieceBatcher::endOfGroup(const std::vector<QueuedPiece> &waiting, std::size_t begin)
{
    const PieceId &first = waiting[begin].order.id;
    std::size_t end = begin + 1;
    while (end < waiting.size() && waiting[end].order.id.request == first.request
           && waiting[end].order.id.stage == first.stage) {
        ++end;
    }
    return end;
}

/// Forms a call; returns false if the endpoint may take none of the waiting pieces.
bool PieceBatcher::formCall(const Candidate &candidate, Candidates &candidates, PoolQueue &queue,
                            const PoolEntry &pool)
{
    const EndpointEntry &endpoint = *candidate.endpoint;
    const TimePoint now = m_clock.now();
    if (availableAt(endpoint, now) > now) {
        return false;
    }
    const BatchSelection selection = selectBatch(candidate, candidates, queue, pool);
    if (selection.indices.empty()) {
        return false;
    }
    queue.lastCallAt = now;
    std::vector<QueuedPiece> items;
    for (const std::size_t index : selection.indices) {
        items.push_back(std::move(queue.waiting[index]));
    }
    for (auto index = selection.indices.rbegin(); index != selection.indices.rend(); ++index) {
        queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(*index));
    }
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    PieceCallStats stats;
    stats.pool = pool.spec.name;
    stats.waiting = queue.waiting.size();
    stats.lackingBufferSpace = selection.lackingBufferSpace;
    stats.allocatedBytes = selection.allocatedBytes;
    stats.bufferBytes = work.resultBufferBytes;
    for (const QueuedPiece &item : items) {
        stats.longestWait = std::max<Duration>(stats.longestWait, m_clock.now() - item.receivedAt);
    }
    stats.byMinimum = recordSent(queue.sequence, items);
    send(endpoint, queue.endpointStates[endpoint.spec->name], std::move(items), work);
    m_calls.back().stats = std::move(stats);
    return true;
}

void PieceBatcher::send(const EndpointEntry &endpoint, EndpointState &state,
                        std::vector<QueuedPiece> items, const PieceWorkSpec &work)
{
    const TimePoint now = m_clock.now();
    ActiveCall activeCall;
    activeCall.id = m_nextCallId++;
    activeCall.sentAt = now;
    activeCall.declared = work.callTime + work.pieceTime * static_cast<int>(items.size());
    const TimePoint begin = state.activeCalls.empty() ? now : state.activeCalls.back().expectedEnd;
    activeCall.expectedEnd = std::max(begin, now) + scaled(activeCall.declared, state.slowness);

    PieceCall call;
    call.id = activeCall.id;
    call.endpoint = endpoint.spec->name;
    call.endpointIdentity = endpoint.spec->stableName();
    call.address = endpoint.spec->address;
    call.timeout =
        scaled(activeCall.expectedEnd - now + activeCall.declared, timeoutFactor) + timeoutSlack;
    for (QueuedPiece &item : items) {
        item.order.untilObjective = item.objective - now;
        item.order.untilDeadline = item.deadline - now;
        call.orders.push_back(item.order);
    }
    m_pieceCount += items.size();
    ++m_callCount;
    activeCall.items = std::move(items);
    state.activeCalls.push_back(std::move(activeCall));
    const bool hasSendSlot = claimSendSlot(endpoint, now);
    assert(hasSendSlot && "only the batcher sends to the endpoints of its pool");
    (void)hasSendSlot;
    recordSend(endpoint, now);
    m_calls.push_back(std::move(call));
}

} // namespace harelink
