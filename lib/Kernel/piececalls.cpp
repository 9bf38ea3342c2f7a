//===- piececalls.cpp - Forming calls of many pieces ----------------------===//
///
/// \file
/// When the batcher calls an endpoint and with which pieces. What comes of calls is in
/// piecebatcher.cpp.
///
//===----------------------------------------------------------------------===//

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
/// A call is given up after so many times what it should take, and this much.
constexpr double timeoutFactor = 2;
constexpr milliseconds timeoutSlack{600};
/// Where pieces wait that no free endpoint may take, they are looked at again after this; not
/// sooner where many wait.
constexpr milliseconds lookInterval{15};
/// From so many batches waiting on, the pieces of one request are spread over several
/// calls rather than leave places empty: more is served then, each somewhat later.
constexpr std::size_t splittingBatches = 2;
/// With so many batches waiting, the next call is full whether or not it is looked for at once.
constexpr std::size_t manyBatches = 4;

} // namespace

/// When the endpoint can take its next call; \p now where nothing holds it back, so that
/// two readings of the clock can never keep it waiting.
TimePoint PieceBatcher::freeAt(const Line &line, const EndpointEntry &endpoint, TimePoint now)
{
    const TimePoint opens = availableAt(endpoint, now);
    const auto found = line.makers.find(endpoint.spec.name);
    if (found == line.makers.end()) {
        return opens;
    }
    const Maker &maker = found->second;
    if (maker.flights.size() >= mostFlights) {
        return std::max(opens, maker.flights.back().expectedEnd);
    }
    if (maker.flights.empty()) {
        return std::max(opens, maker.blockedUntil);
    }
    // What has taken so much longer than it should is expected to take that long again.
    const Duration overdue = now - maker.flights.front().expectedEnd;
    const TimePoint last = std::max<TimePoint>(maker.flights.back().expectedEnd, now + overdue);
    return std::max({opens, TimePoint(last - lead), maker.blockedUntil});
}

/// What the choice of calls looks at, read once for each look: with a thousand pieces before
/// twenty endpoints, reading it for each pair took tens of milliseconds of a small host.
PieceBatcher::Sites PieceBatcher::sitesOf(const Line &line, const PoolEntry &pool) const
{
    const TimePoint now = m_clock.now();
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    Sites sites;
    sites.reserve(pool.endpoints.size());
    for (const EndpointEntry &endpoint : pool.endpoints) {
        if (isUsable(endpoint, now)) {
            sites.push_back(siteOf(endpoint, line, work));
        }
    }
    return sites;
}

PieceBatcher::Site PieceBatcher::siteOf(const EndpointEntry &endpoint, const Line &line,
                                        const PieceWorkSpec &work) const
{
    const auto maker = line.makers.find(endpoint.spec.name);
    Site site;
    site.endpoint = &endpoint;
    site.freeAt = freeAt(line, endpoint, m_clock.now());
    site.endAt = site.freeAt
                 + scaled(work.callTime, maker == line.makers.end() ? 1 : maker->second.slowness);
    site.allocatedBytes = allocatedBytes(line, endpoint.spec.name, work);
    return site;
}

/// Whether a look at the line is to wait: many pieces wait, and the last look left them there a
/// moment ago. Looking at each order, daemons of a hundred that had all ended together spent
/// their time on looks, and were not back 30 s later.
bool PieceBatcher::looksTooOften(const Line &line, const PieceWorkSpec &work) const
{
    return m_clock.now() < line.looksAgainAt && line.waiting.size() > work.batch * manyBatches;
}

void PieceBatcher::pump(const std::string &poolName, Line &line, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    line.nextLook = TimePoint::max();
    line.room.expire(now);
    if (line.waiting.empty()) {
        return;
    }
    const PoolEntry *pool = snapshot.poolOrPartition(poolName);
    const auto acceptsCalls = [now](const EndpointEntry &entry) { return isUsable(entry, now); };
    if (pool == nullptr
        || std::none_of(pool->endpoints.begin(), pool->endpoints.end(), acceptsCalls)) {
        for (const Item &item : std::exchange(line.waiting, {})) {
            settle(poolName, item, {}, {}, PieceFault::Refused);
        }
        return;
    }
    const PieceWorkSpec work = pool->spec.pieces.value_or(PieceWorkSpec{});
    if (looksTooOften(line, work)) {
        line.nextLook = line.looksAgainAt;
        return;
    }
    dropLate(line, poolName, *pool);
    Sites sites = sitesOf(line, *pool);
    if (nextFree(sites) != nullptr) {
        sortByUrgency(line, now, work);
    }
    bool hasPassed = false; // One that is free, but with nothing to do.
    while (!line.waiting.empty()) {
        Site *site = nextFree(sites);
        if (site == nullptr) {
            break;
        }
        if (form(*site, sites, line, *pool)) {
            *site = siteOf(*site->endpoint, line, work);
        } else {
            site->isPassed = true;
            hasPassed = true;
        }
    }
    if (line.waiting.empty()) {
        return;
    }
    line.looksAgainAt = now + lookInterval;
    line.nextLook = hasPassed ? line.looksAgainAt : TimePoint::max();
    for (const Site &site : sites) {
        if (site.freeAt > now) {
            line.nextLook = std::min(line.nextLook, site.freeAt);
        }
    }
}

/// A piece that would be too late takes no place from one that is not.
void PieceBatcher::dropLate(Line &line, const std::string &poolName, const PoolEntry &pool)
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
    const auto isLate = [earliest](const Item &item) { return item.due < earliest; };
    for (const Item &item : line.waiting) {
        if (isLate(item)) {
            learnWait(line, item);
            settle(poolName, item, {}, {}, PieceFault::Late);
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
PieceBatcher::Site *PieceBatcher::nextFree(Sites &sites) const
{
    Site *best = nullptr;
    for (Site &site : sites) {
        if (!site.isPassed && (best == nullptr || site.endAt < best->endAt)) {
            best = &site;
        }
    }
    return best != nullptr && best->freeAt <= m_clock.now() ? best : nullptr;
}

/// The room at \p endpoint that is taken, or promised to calls in flight.
std::uint64_t PieceBatcher::allocatedBytes(const Line &line, const std::string &endpoint,
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
bool PieceBatcher::waitsForNearer(const Item &item, std::size_t count, const Site &here,
                                  Sites &sites, const PieceWorkSpec &work) const
{
    const PieceTransfers transfers = transfersOf(item.order, count);
    const Duration costHere = transferCost(transfers, here.endpoint->spec.dataCentre);
    if (costHere == Duration::zero()) {
        return false;
    }
    const TimePoint now = m_clock.now();
    const std::uint64_t bytes = item.order.resultBytes * count;
    for (Site &other : sites) {
        const EndpointSpec &spec = other.endpoint->spec;
        const Duration saved = costHere - transferCost(transfers, spec.dataCentre);
        const bool isNearer =
            saved > Duration::zero() && spec.name != item.order.avoid && other.freeAt < now + saved;
        if (!isNearer) {
            continue;
        }
        const std::uint64_t booked = other.allocatedBytes + other.promisedBytes;
        const bool hasRoom = work.roomBytes == 0 || booked + bytes <= work.roomBytes;
        if (other.promisedPlaces + count <= work.batch && hasRoom) {
            other.promisedPlaces += count;
            other.promisedBytes += bytes;
            return true;
        }
    }
    return false;
}

/// Chooses from the queue, the most urgent first. The pieces of one request go into one
/// call where they fit, so that none of them waits for another call.
PieceBatcher::Choice PieceBatcher::choose(const Site &site, Sites &sites, const Line &line,
                                          const PoolEntry &pool) const
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    const std::string &name = site.endpoint->spec.name;
    std::uint64_t taken = site.allocatedBytes;
    for (Site &other : sites) {
        other.promisedPlaces = 0;
        other.promisedBytes = 0;
    }
    const bool splits = line.waiting.size() >= work.batch * splittingBatches;
    const bool isOnlyOne = pool.endpoints.size() == 1;
    Choice choice;
    std::size_t begin = 0;
    while (begin < line.waiting.size() && choice.places.size() < work.batch) {
        const Item &first = line.waiting[begin];
        const std::size_t end = endOfGroup(line.waiting, begin);
        const std::size_t group = end - begin;
        const std::size_t places = work.batch - choice.places.size();
        const bool fits = group <= places || splits || (choice.places.empty() && group > places);
        const bool isAvoided = first.order.avoid == name && !isOnlyOne;
        if (fits && !isAvoided && !waitsForNearer(first, group, site, sites, work)) {
            for (std::size_t i = begin; i < std::min(end, begin + places); ++i) {
                const std::uint64_t bytes = line.waiting[i].order.resultBytes;
                if (work.roomBytes > 0 && taken + bytes > work.roomBytes) {
                    choice.lackingBufferSpace += std::min(end, begin + places) - i;
                    break;
                }
                taken += bytes;
                choice.places.push_back(i);
            }
        }
        begin = end;
    }
    choice.allocatedBytes = taken;
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
bool PieceBatcher::form(const Site &site, Sites &sites, Line &line, const PoolEntry &pool)
{
    const EndpointEntry &endpoint = *site.endpoint;
    const TimePoint now = m_clock.now();
    if (availableAt(endpoint, now) > now) {
        return false;
    }
    const Choice choice = choose(site, sites, line, pool);
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
    PieceCallStats stats;
    stats.pool = pool.spec.name;
    stats.waiting = line.waiting.size();
    stats.lackingBufferSpace = choice.lackingBufferSpace;
    stats.allocatedBytes = choice.allocatedBytes;
    stats.roomBytes = work.roomBytes;
    for (const Item &item : items) {
        stats.longestWait = std::max<Duration>(stats.longestWait, m_clock.now() - item.takenAt);
    }
    send(endpoint, line.makers[endpoint.spec.name], std::move(items), work);
    m_calls.back().stats = std::move(stats);
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
    call.endpointIdentity = endpoint.spec.lastingName();
    call.address = endpoint.spec.address;
    call.timeout = scaled(flight.expectedEnd - now + flight.declared, timeoutFactor) + timeoutSlack;
    for (Item &item : items) {
        item.order.untilObjective = item.wanted - now;
        item.order.untilDeadline = item.due - now;
        call.orders.push_back(item.order);
    }
    m_pieceCount += items.size();
    ++m_callCount;
    flight.items = std::move(items);
    maker.flights.push_back(std::move(flight));
    const bool hasTurn = claimSendSlot(endpoint, now);
    assert(hasTurn && "only the batcher sends to the endpoints of its pool");
    (void)hasTurn;
    recordSend(endpoint, now);
    m_calls.push_back(std::move(call));
}

} // namespace harelink
