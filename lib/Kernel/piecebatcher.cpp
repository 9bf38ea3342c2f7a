//===- piecebatcher.cpp - Calls of many pieces ----------------------------===//

#include "harelink/Kernel/piecebatcher.h"

#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/routing.h"
#include "harelink/Support/error.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// After a refusal the endpoint is left alone for this long, twice as long each time: it
/// may be busy with calls of a batcher that is gone. At a constant 40 ms, 55 endpoints
/// refused 4,437 calls in the 3 s after all daemons had ended.
constexpr milliseconds refusalPause{40};
constexpr milliseconds longestRefusalPause{320};
/// An endpoint that cannot be reached is left alone for this long, twice as long each time.
constexpr milliseconds unreachablePause{250};
constexpr milliseconds longestUnreachablePause{4000};
/// After an endpoint had no room although there should be some, its room is taken to be
/// full for this long: another daemon that batched for it before may have used it.
constexpr milliseconds noRoomPause{150};
/// Refusals after which a piece goes back to its daemon.
constexpr std::uint32_t mostRefusals = 4;
/// The learnt slowness moves by this part of a difference.
constexpr double smoothing = 0.4;
/// The correction of forecasts moves by this part of a piece's difference: at 70 pieces a
/// second, most of the way in 0.7 s.
constexpr double correctionSmoothing = 0.02;
constexpr double leastCorrection = 0.7;
constexpr double mostCorrection = 4;
constexpr double leastSlowness = 0.5;
constexpr double mostSlowness = 20;
/// A call that failed counts as one that took so many times its time.
constexpr double failureSlowness = 4;
/// Results are freed together: a call for some is no dearer than one for one.
constexpr milliseconds freeInterval{30};
/// A pool that has become idle is told of for so long: daemons that heard it busy before
/// would go on to take it for busy. Eight heartbeats, one of which gets through.
constexpr milliseconds idleTelling{2000};

/// \p time doubled \p times times, up to \p longest.
milliseconds doubled(milliseconds time, std::uint32_t times, milliseconds longest)
{
    for (std::uint32_t i = 0; i < times && time < longest; ++i) {
        time *= 2;
    }
    return std::min(time, longest);
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
        noteIncarnation(host, orders.orders.front().id.request.incarnation);
    }
    Line &line = m_lines[orders.pool];
    line.lastBusy = now;
    Duration predicted{};
    if (const PoolEntry *pool = snapshot.poolOrPartition(orders.pool);
        pool != nullptr && !orders.orders.empty()) {
        recordBacklog(*pool, backlogOf(orders.pool, line, snapshot), now);
        predicted = predictCompletion(*pool, static_cast<std::uint32_t>(orders.orders.size()),
                                      orders.orders.front().priority, now);
    }
    for (const PieceOrder &order : orders.orders) {
        Item item;
        item.takenAt = now;
        item.predicted = predicted;
        item.host = host;
        item.order = order;
        item.wanted = now + order.untilObjective;
        item.due = now + order.untilDeadline;
        line.waiting.push_back(std::move(item));
    }
    pump(orders.pool, line, snapshot);
}

void PieceBatcher::withdraw(const std::string &host, const PieceWithdrawal &withdrawal)
{
    const auto isWithdrawn = [&](const Item &item) {
        return item.host == host
               && std::find(withdrawal.requests.begin(), withdrawal.requests.end(),
                            item.order.id.request)
                      != withdrawal.requests.end();
    };
    for (auto &[pool, line] : m_lines) {
        std::erase_if(line.waiting, isWithdrawn);
    }
}

bool PieceBatcher::isWanted(const Item &item) const
{
    const auto known = m_incarnations.find(item.host);
    return known != m_incarnations.end() && known->second == item.order.id.request.incarnation;
}

/// A daemon that orders as another incarnation has forgotten what it ordered before.
void PieceBatcher::noteIncarnation(const std::string &host, Incarnation incarnation)
{
    const auto [known, isNew] = m_incarnations.try_emplace(host, incarnation);
    if (!isNew && known->second != incarnation) {
        drop(host);
        known->second = incarnation;
    }
}

void PieceBatcher::removeHost(const std::string &host, const Snapshot &snapshot)
{
    if (m_incarnations.erase(host) == 0) {
        return;
    }
    drop(host);
    for (auto &[pool, line] : m_lines) {
        pump(pool, line, snapshot);
    }
}

/// Drops what \p host ordered, and frees the results that were made for it.
void PieceBatcher::drop(const std::string &host)
{
    for (auto &[pool, line] : m_lines) {
        std::erase_if(line.waiting, [&host](const Item &item) { return item.host == host; });
        freeSoon(line.room.dropOf(host));
    }
}

// Ends of calls ---------------------------------------------------------------

void PieceBatcher::settle(const std::string &pool, const Item &item, const std::string &endpoint,
                          const std::string &handle, PieceFault fault)
{
    m_outcomes[{item.host, pool}].push_back({item.order.id, endpoint, handle, fault});
}

void PieceBatcher::handle(const PieceCallEnded &event, const Snapshot &snapshot)
{
    for (auto &[pool, line] : m_lines) {
        for (auto &[endpoint, maker] : line.makers) {
            const auto flight = std::find_if(
                maker.flights.begin(), maker.flights.end(),
                [&event](const Flight &candidate) { return candidate.id == event.id; });
            if (flight == maker.flights.end()) {
                continue;
            }
            line.lastBusy = m_clock.now();
            Flight ended = std::move(*flight);
            maker.flights.erase(flight);
            end(pool, line, endpoint, std::move(ended), event, snapshot);
            pump(pool, line, snapshot);
            return;
        }
    }
}

void PieceBatcher::endpointEnded(const std::string &endpoint, const Snapshot &snapshot)
{
    std::vector<PieceCallEnded> failures;
    for (auto &[pool, line] : m_lines) {
        line.room.dropAt(endpoint);
        const auto maker = line.makers.find(endpoint);
        if (maker == line.makers.end()) {
            continue;
        }
        for (const Flight &flight : maker->second.flights) {
            PieceCallEnded failed;
            failed.id = flight.id;
            failed.status = makeError(absl::StatusCode::kUnavailable, "pieces", endpoint,
                                      "the endpoint has started again");
            failures.push_back(std::move(failed));
        }
    }
    for (const PieceCallEnded &failed : failures) {
        handle(failed, snapshot);
    }
}

void PieceBatcher::end(const std::string &pool, Line &line, const std::string &endpoint,
                       Flight flight, const PieceCallEnded &event, const Snapshot &snapshot)
{
    if (const PoolEntry *entry = snapshot.poolOrPartition(pool)) {
        learn(endpoint, line, flight, event, *entry);
        if (entry->spec.pieces) {
            keep(line, endpoint, flight, event, m_clock.now(), entry->spec.pieces->resultLife);
        }
    }
    const bool refused =
        event.evidence == SendEvidence::RefusedBeforeRun && !event.isEndpointReplaced;
    // Nothing was begun, so it costs nothing to send it to another endpoint from here.
    const bool untouched =
        !event.answered && (refused || event.evidence == SendEvidence::NothingSent);
    for (std::size_t i = 0; i < flight.items.size(); ++i) {
        Item &item = flight.items[i];
        const PieceFault fault = event.answered ? event.results[i].fault : PieceFault::Failed;
        if ((untouched || fault == PieceFault::NoRoom) && ++item.refusals < mostRefusals) {
            line.waiting.push_back(std::move(item));
            continue;
        }
        if (fault == PieceFault::None && event.answered) {
            learnWait(line, item);
        }
        const std::string handle = event.answered ? event.results[i].handle : std::string();
        settle(pool, item, endpoint, handle, refused ? PieceFault::Refused : fault);
    }
    if (event.isEndpointReplaced) {
        m_replaced.push_back(endpoint);
    }
}

/// Learns how far forecasts are off: of room that is short, and of whoever goes first,
/// they know nothing.
void PieceBatcher::learnWait(Line &line, const Item &item) const
{
    if (item.predicted <= Duration::zero()) {
        return;
    }
    const double ratio = std::chrono::duration<double>(m_clock.now() - item.takenAt)
                         / std::chrono::duration<double>(item.predicted);
    line.correction += (line.correction * ratio - line.correction) * correctionSmoothing;
    line.correction = std::clamp(line.correction, leastCorrection, mostCorrection);
}

/// Learns how slow the endpoint is, and of its health.
void PieceBatcher::learn(const std::string &endpoint, Line &line, const Flight &flight,
                         const PieceCallEnded &event, const PoolEntry &pool)
{
    const TimePoint now = m_clock.now();
    Maker &maker = line.makers.at(endpoint);
    // A call that waited behind another began when that one ended.
    const TimePoint begin = flight.expectedEnd - scaled(flight.declared, maker.slowness);
    const Duration taken = now - std::max(flight.sentAt, std::min(begin, now));
    double sample =
        flight.declared > Duration::zero()
            ? std::chrono::duration<double>(taken) / std::chrono::duration<double>(flight.declared)
            : 1;
    const bool failed = !event.answered && event.evidence != SendEvidence::RefusedBeforeRun;
    if (failed) {
        sample = std::max(sample, failureSlowness);
    }
    if (event.answered || failed) {
        maker.slowness += (sample - maker.slowness) * smoothing;
        maker.slowness = std::clamp(maker.slowness, leastSlowness, mostSlowness);
    } else {
        maker.blockedUntil = now + doubled(refusalPause, maker.refusals++, longestRefusalPause);
    }
    maker.refusals = event.answered ? 0 : maker.refusals;
    const bool unreachable = !event.answered && event.evidence == SendEvidence::NothingSent;
    if (unreachable) {
        maker.blockedUntil =
            now + doubled(unreachablePause, maker.unreachable, longestUnreachablePause);
    }
    maker.unreachable = unreachable ? maker.unreachable + 1 : 0;
    for (Flight &next : maker.flights) {
        next.expectedEnd = now + scaled(next.declared, maker.slowness);
    }
    const EndpointEntry *entry = pool.find(endpoint);
    if (entry == nullptr) {
        return;
    }
    entry->load->inFlight.fetch_sub(1, std::memory_order_relaxed);
    if (event.answered) {
        recordSuccess(*entry, taken, now);
    } else {
        recordFailure(pool, *entry, event.evidence, now);
    }
}

// Room ------------------------------------------------------------------------

/// Books the results of a call as kept at their endpoint.
void PieceBatcher::keep(Line &line, const std::string &endpoint, const Flight &flight,
                        const PieceCallEnded &event, TimePoint now, Duration life)
{
    for (std::size_t i = 0; i < flight.items.size() && i < event.results.size(); ++i) {
        if (event.results[i].fault == PieceFault::NoRoom) {
            line.room.recordBufferFull(endpoint, now + noRoomPause);
        }
        if (event.results[i].fault != PieceFault::None) {
            continue;
        }
        const Item &item = flight.items[i];
        if (!isWanted(item)) {
            freeSoon({event.results[i].handle});
            continue;
        }
        line.room.keep(event.results[i].handle,
                       {endpoint, item.order.resultBytes, now + life, item.host});
    }
}

void PieceBatcher::handle(const PieceFrees &frees, const Snapshot &snapshot)
{
    freeSoon(frees.handles);
    const auto found = m_lines.find(frees.pool);
    if (found == m_lines.end()) {
        return;
    }
    for (const std::string &handle : frees.handles) {
        found->second.room.drop(handle);
    }
    pump(frees.pool, found->second, snapshot);
}

void PieceBatcher::freeSoon(const std::vector<std::string> &handles)
{
    if (handles.empty()) {
        return;
    }
    m_freed.insert(m_freed.end(), handles.begin(), handles.end());
    if (m_freeAt == TimePoint::max()) {
        m_freeAt = m_clock.now() + freeInterval;
    }
}

std::vector<std::string> PieceBatcher::drainFreedResults()
{
    if (m_clock.now() < m_freeAt) {
        return {};
    }
    m_freeAt = TimePoint::max();
    return std::exchange(m_freed, {});
}

// Time and tellings -----------------------------------------------------------

void PieceBatcher::tick(const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    for (auto &[pool, line] : m_lines) {
        if (line.nextLook <= now) {
            pump(pool, line, snapshot);
        }
        std::erase_if(line.makers, [&snapshot](const auto &entry) {
            return entry.second.flights.empty() && snapshot.endpoint(entry.first) == nullptr;
        });
    }
}

TimePoint PieceBatcher::nextTick() const
{
    TimePoint next = m_freeAt;
    for (const auto &[pool, line] : m_lines) {
        next = std::min(next, line.nextLook);
    }
    return next;
}

PieceBacklog PieceBatcher::backlogOf(const std::string &pool, const Line &line,
                                     const Snapshot &snapshot) const
{
    const TimePoint now = m_clock.now();
    PieceBacklog backlog;
    backlog.pool = pool;
    for (const Item &item : line.waiting) {
        ++backlog.waiting[priorityClass(item.order.priority)];
    }
    const PoolEntry *entry = snapshot.poolOrPartition(pool);
    if (entry == nullptr) {
        return backlog;
    }
    std::vector<double> slowness;
    TimePoint first = TimePoint::max();
    for (const EndpointEntry &endpoint : entry->endpoints) {
        if (!isUsable(endpoint, now)) {
            continue;
        }
        const auto maker = line.makers.find(endpoint.spec.name);
        slowness.push_back(maker == line.makers.end() ? 1 : maker->second.slowness);
        first = std::min(first, freeAt(line, endpoint, now));
    }
    if (slowness.empty()) {
        return backlog;
    }
    const auto middle = slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
    std::nth_element(slowness.begin(), middle, slowness.end());
    backlog.slowness = *middle;
    backlog.correction = line.correction;
    backlog.endpoints = static_cast<std::uint32_t>(slowness.size());
    backlog.freeIn = first - now;
    return backlog;
}

bool PieceBatcher::isBusy(const Line &line)
{
    return !line.waiting.empty()
           || std::any_of(line.makers.begin(), line.makers.end(),
                          [](const auto &entry) { return !entry.second.flights.empty(); });
}

bool PieceBatcher::idle() const
{
    return std::none_of(m_lines.begin(), m_lines.end(),
                        [](const auto &entry) { return isBusy(entry.second); });
}

std::vector<PieceBacklog> PieceBatcher::backlogs(const Snapshot &snapshot) const
{
    std::vector<PieceBacklog> backlogs;
    for (const auto &[pool, line] : m_lines) {
        if (isBusy(line) || m_clock.now() - line.lastBusy <= idleTelling) {
            backlogs.push_back(backlogOf(pool, line, snapshot));
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
        send.outcomes.backlog = backlogOf(pool, m_lines[pool], snapshot);
        sends.push_back(std::move(send));
    }
    return sends;
}

} // namespace harelink
