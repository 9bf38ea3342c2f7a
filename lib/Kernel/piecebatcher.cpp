//===- piecebatcher.cpp - Calls of many pieces ----------------------------===//

#include "harelink/Kernel/piecebatcher.h"

#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/routing.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// The next call is sent this long before the current one is expected to end: a hop
/// and the endpoint's own queue, so that the endpoint never idles.
constexpr milliseconds lead{15};
/// Calls in flight at one endpoint: the current one and the next.
constexpr std::size_t mostFlights = 2;
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
/// A call is given up after so many times what it should take, and this much.
constexpr double timeoutFactor = 2;
constexpr milliseconds timeoutSlack{600};
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
/// Where pieces wait that no free endpoint may take, they are looked at again after this.
constexpr milliseconds lookInterval{15};
/// Results are freed together: a call for some is no dearer than one for one.
constexpr milliseconds freeInterval{30};
/// From so many batches waiting on, the pieces of one request are spread over several
/// calls rather than leave places empty: more is served then, each somewhat later.
constexpr std::size_t splittingBatches = 2;
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

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

} // namespace

PieceBatcher::PieceBatcher(const Clock &clock)
    : m_clock(clock)
{
}

void PieceBatcher::take(const std::string &host, const PieceOrders &orders,
                        const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    if (!orders.orders.empty()) {
        noteIncarnation(host, orders.orders.front().id.request.incarnation);
    }
    Line &line = m_lines[orders.pool];
    line.lastBusy = now;
    Duration predicted{};
    if (const PoolEntry *pool = snapshot.poolOrPart(orders.pool);
        pool != nullptr && !orders.orders.empty()) {
        noteBacklog(*pool, backlogOf(orders.pool, line, snapshot), now);
        predicted = predictPieces(*pool, static_cast<std::uint32_t>(orders.orders.size()),
                                  orders.orders.front().priority, now);
    }
    for (const PieceOrder &order : orders.orders) {
        Item item;
        item.takenAt = now;
        item.predicted = predicted;
        item.host = host;
        item.order = order;
        item.wanted = now + order.wantedIn;
        item.due = now + order.dueIn;
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

void PieceBatcher::forget(const std::string &host, const Snapshot &snapshot)
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

// Forming calls ---------------------------------------------------------------

/// When the endpoint can take its next call; \p now where nothing holds it back, so that
/// two readings of the clock can never keep it waiting.
TimePoint PieceBatcher::freeAt(const Line &line, const EndpointEntry &endpoint, TimePoint now)
{
    const auto found = line.makers.find(endpoint.spec.name);
    if (found == line.makers.end()) {
        return now;
    }
    const Maker &maker = found->second;
    if (maker.flights.size() >= mostFlights) {
        return std::max(now, maker.flights.back().expectedEnd);
    }
    const TimePoint free =
        maker.flights.empty() ? now : TimePoint(maker.flights.back().expectedEnd - lead);
    return std::max({now, free, maker.blockedUntil});
}

void PieceBatcher::pump(const std::string &poolName, Line &line, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    line.nextLook = TimePoint::max();
    line.room.expire(now);
    if (line.waiting.empty()) {
        return;
    }
    const PoolEntry *pool = snapshot.poolOrPart(poolName);
    const auto takesCalls = [now](const EndpointEntry &entry) { return isUsable(entry, now); };
    if (pool == nullptr
        || std::none_of(pool->endpoints.begin(), pool->endpoints.end(), takesCalls)) {
        for (const Item &item : std::exchange(line.waiting, {})) {
            settle(poolName, item, {}, {}, PieceFault::Refused);
        }
        return;
    }
    const PieceWorkSpec work = pool->spec.pieces.value_or(PieceWorkSpec{});
    dropLate(line, poolName, work);
    sortByUrgency(line, now, work);
    std::vector<std::string> passed; // Free, but with nothing to do.
    while (!line.waiting.empty()) {
        const EndpointEntry *endpoint = nextFree(line, *pool, passed);
        if (endpoint == nullptr) {
            break;
        }
        if (!form(*endpoint, line, *pool)) {
            passed.push_back(endpoint->spec.name);
        }
    }
    if (line.waiting.empty()) {
        return;
    }
    line.nextLook = passed.empty() ? TimePoint::max() : TimePoint(now + lookInterval);
    for (const EndpointEntry &endpoint : pool->endpoints) {
        const TimePoint free = freeAt(line, endpoint, now);
        if (takesCalls(endpoint) && free > now) {
            line.nextLook = std::min(line.nextLook, free);
        }
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

/// A piece that would be too late takes no place from one that is not.
void PieceBatcher::dropLate(Line &line, const std::string &pool, const PieceWorkSpec &work)
{
    const TimePoint earliest = m_clock.now() + work.callTime;
    const auto isLate = [earliest](const Item &item) { return item.due < earliest; };
    for (const Item &item : line.waiting) {
        if (isLate(item)) {
            learnWait(line, item);
            settle(pool, item, {}, {}, PieceFault::Late);
        }
    }
    std::erase_if(line.waiting, isLate);
}

/// What would miss its objective anyway lets those go first that can still make it.
void PieceBatcher::sortByUrgency(Line &line, TimePoint now, const PieceWorkSpec &work)
{
    const TimePoint earliest = now + work.callTime;
    const auto rank = [earliest](const Item &item) {
        return std::tuple(item.wanted < earliest, item.order.priority, item.wanted,
                          item.order.id.request, item.order.id.stage);
    };
    std::stable_sort(line.waiting.begin(), line.waiting.end(),
                     [&rank](const Item &a, const Item &b) { return rank(a) < rank(b); });
}

/// The endpoint that is free now and would end a call soonest; null where none is, or
/// where to wait for one that is busy now would be quicker.
const EndpointEntry *PieceBatcher::nextFree(const Line &line, const PoolEntry &pool,
                                            const std::vector<std::string> &passed) const
{
    const TimePoint now = m_clock.now();
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    const EndpointEntry *best = nullptr;
    TimePoint bestEnd = TimePoint::max();
    bool bestIsFree = false;
    for (const EndpointEntry &endpoint : pool.endpoints) {
        const bool isPassed =
            std::find(passed.begin(), passed.end(), endpoint.spec.name) != passed.end();
        if (isPassed || !isUsable(endpoint, now)) {
            continue;
        }
        const auto maker = line.makers.find(endpoint.spec.name);
        const double slowness = maker == line.makers.end() ? 1 : maker->second.slowness;
        const TimePoint free = freeAt(line, endpoint, now);
        const TimePoint end = free + scaled(work.callTime, slowness);
        if (best == nullptr || end < bestEnd) {
            best = &endpoint;
            bestEnd = end;
            bestIsFree = free <= now;
        }
    }
    return bestIsFree ? best : nullptr;
}

/// The room at \p endpoint that is taken, or promised to calls in flight.
std::uint64_t PieceBatcher::bookedBytes(const Line &line, const std::string &endpoint,
                                        const PieceWorkSpec &work) const
{
    if (line.room.isFull(endpoint, m_clock.now())) {
        return std::max(line.room.bytesAt(endpoint), work.roomBytes);
    }
    std::uint64_t booked = line.room.bytesAt(endpoint);
    const auto found = line.makers.find(endpoint);
    if (found == line.makers.end()) {
        return booked;
    }
    for (const Flight &flight : found->second.flights) {
        for (const Item &item : flight.items) {
            booked += item.order.resultBytes;
        }
    }
    return booked;
}

/// Whether \p count pieces like \p item wait for the next call of an endpoint with fewer
/// crossings: one that is free sooner than these are worth, and has places and room left
/// behind what waits for it already. The places are then promised.
///
/// Without that count, pieces waited for an endpoint whose next calls were full while those
/// of others left empty: with 68 pieces waiting at three endpoints, calls of eight took 4.4.
bool PieceBatcher::waitsForNearer(const Item &item, std::size_t count,
                                  const EndpointEntry &endpoint, const Line &line,
                                  const PoolEntry &pool, Promises &promises) const
{
    const PieceFlows flows = flowsOf(item.order, count);
    const Duration here = crossingCost(flows, endpoint.spec.dataCentre);
    if (here == Duration::zero()) {
        return false;
    }
    const TimePoint now = m_clock.now();
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    const std::uint64_t bytes = item.order.resultBytes * count;
    for (const EndpointEntry &other : pool.endpoints) {
        const Duration saved = here - crossingCost(flows, other.spec.dataCentre);
        const bool isNearer = saved > Duration::zero() && isUsable(other, now)
                              && other.spec.name != item.order.avoid
                              && freeAt(line, other, now) < now + saved;
        if (!isNearer) {
            continue;
        }
        Promise &promise = promises[other.spec.name];
        const std::uint64_t booked = bookedBytes(line, other.spec.name, work) + promise.bytes;
        const bool hasRoom = work.roomBytes == 0 || booked + bytes <= work.roomBytes;
        if (promise.places + count <= work.batch && hasRoom) {
            promise.places += count;
            promise.bytes += bytes;
            return true;
        }
    }
    return false;
}

/// Chooses from the queue, the most urgent first. The pieces of one request go into one
/// call where they fit, so that none of them waits for another call.
PieceBatcher::Choice PieceBatcher::choose(const EndpointEntry &endpoint, const Line &line,
                                          const PoolEntry &pool) const
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    std::uint64_t taken = bookedBytes(line, endpoint.spec.name, work);
    const bool splits = line.waiting.size() >= work.batch * splittingBatches;
    const bool isOnlyOne = pool.endpoints.size() == 1;
    Choice choice;
    Promises promises;
    std::size_t begin = 0;
    while (begin < line.waiting.size() && choice.places.size() < work.batch) {
        const Item &first = line.waiting[begin];
        const std::size_t end = endOfGroup(line.waiting, begin);
        const std::size_t group = end - begin;
        const std::size_t places = work.batch - choice.places.size();
        const bool fits = group <= places || splits || (choice.places.empty() && group > places);
        const bool isAvoided = first.order.avoid == endpoint.spec.name && !isOnlyOne;
        if (fits && !isAvoided && !waitsForNearer(first, group, endpoint, line, pool, promises)) {
            for (std::size_t i = begin; i < std::min(end, begin + places); ++i) {
                const std::uint64_t bytes = line.waiting[i].order.resultBytes;
                if (work.roomBytes > 0 && taken + bytes > work.roomBytes) {
                    choice.lackingRoom += std::min(end, begin + places) - i;
                    break;
                }
                taken += bytes;
                choice.places.push_back(i);
            }
        }
        begin = end;
    }
    choice.bookedBytes = taken;
    return choice;
}

/// The end of the pieces from \p begin on that belong to one stage of one request.
std::size_t PieceBatcher::endOfGroup(const std::vector<Item> &waiting, std::size_t begin)
{
    const PieceId &first = waiting[begin].order.id;
    std::size_t end = begin + 1;
    while (end < waiting.size() && waiting[end].order.id.request == first.request
           && waiting[end].order.id.stage == first.stage) {
        ++end;
    }
    return end;
}

/// Forms a call; false where there is nothing that this endpoint may take.
bool PieceBatcher::form(const EndpointEntry &endpoint, Line &line, const PoolEntry &pool)
{
    const Choice choice = choose(endpoint, line, pool);
    if (choice.places.empty()) {
        return false;
    }
    std::vector<Item> items;
    for (const std::size_t place : choice.places) {
        items.push_back(std::move(line.waiting[place]));
    }
    for (auto place = choice.places.rbegin(); place != choice.places.rend(); ++place) {
        line.waiting.erase(line.waiting.begin() + static_cast<std::ptrdiff_t>(*place));
    }
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    PieceCallBasis basis;
    basis.pool = pool.spec.name;
    basis.waiting = line.waiting.size();
    basis.lackingRoom = choice.lackingRoom;
    basis.bookedBytes = choice.bookedBytes;
    basis.roomBytes = work.roomBytes;
    for (const Item &item : items) {
        basis.longestWait = std::max<Duration>(basis.longestWait, m_clock.now() - item.takenAt);
    }
    send(endpoint, line.makers[endpoint.spec.name], std::move(items), work);
    m_calls.back().basis = std::move(basis);
    return true;
}

void PieceBatcher::send(const EndpointEntry &endpoint, Maker &maker, std::vector<Item> items,
                        const PieceWorkSpec &work)
{
    const TimePoint now = m_clock.now();
    Flight flight;
    flight.id = m_nextCallId++;
    flight.sentAt = now;
    flight.declared = work.callTime + work.pieceTime * static_cast<int>(items.size());
    const TimePoint begin = maker.flights.empty() ? now : maker.flights.back().expectedEnd;
    flight.expectedEnd = std::max(begin, now) + scaled(flight.declared, maker.slowness);

    PieceCall call;
    call.id = flight.id;
    call.endpoint = endpoint.spec.name;
    call.address = endpoint.spec.address;
    call.timeout = scaled(flight.expectedEnd - now + flight.declared, timeoutFactor) + timeoutSlack;
    for (Item &item : items) {
        item.order.wantedIn = item.wanted - now;
        item.order.dueIn = item.due - now;
        call.orders.push_back(item.order);
    }
    m_pieceCount += items.size();
    ++m_callCount;
    flight.items = std::move(items);
    maker.flights.push_back(std::move(flight));
    noteSend(endpoint, now);
    m_calls.push_back(std::move(call));
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

void PieceBatcher::end(const std::string &pool, Line &line, const std::string &endpoint,
                       Flight flight, const PieceCallEnded &event, const Snapshot &snapshot)
{
    if (const PoolEntry *entry = snapshot.poolOrPart(pool)) {
        learn(endpoint, line, flight, event, *entry);
        if (entry->spec.pieces) {
            keep(line, endpoint, flight, event, m_clock.now(), entry->spec.pieces->resultLife);
        }
    }
    const bool refused = event.evidence == SendEvidence::RefusedBeforeRun && !event.isOtherEndpoint;
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
    if (event.isOtherEndpoint) {
        m_replaced.push_back(endpoint);
    }
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
        noteSuccess(*entry, taken, now);
    } else {
        noteFailure(pool, *entry, event.evidence, now);
    }
}

// Room ------------------------------------------------------------------------

/// Books the results of a call as kept at their endpoint.
void PieceBatcher::keep(Line &line, const std::string &endpoint, const Flight &flight,
                        const PieceCallEnded &event, TimePoint now, Duration life)
{
    for (std::size_t i = 0; i < flight.items.size() && i < event.results.size(); ++i) {
        if (event.results[i].fault == PieceFault::NoRoom) {
            line.room.noteFull(endpoint, now + noRoomPause);
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

void PieceBatcher::take(const PieceFrees &frees, const Snapshot &snapshot)
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

std::vector<std::string> PieceBatcher::takeFreed()
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
        ++backlog.waiting[urgencyClass(item.order.priority)];
    }
    const PoolEntry *entry = snapshot.poolOrPart(pool);
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

std::vector<PieceOutcomesTo> PieceBatcher::takeOutcomes(const Snapshot &snapshot)
{
    std::vector<PieceOutcomesTo> sends;
    for (auto &[where, outcomes] : std::exchange(m_outcomes, {})) {
        const auto &[host, pool] = where;
        PieceOutcomesTo send;
        send.host = host;
        send.outcomes.outcomes = std::move(outcomes);
        send.outcomes.backlog = backlogOf(pool, m_lines[pool], snapshot);
        sends.push_back(std::move(send));
    }
    return sends;
}

} // namespace harelink
