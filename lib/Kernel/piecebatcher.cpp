//===- piecebatcher.cpp - Calls of many pieces ----------------------------===//

#include "harelink/Kernel/piecebatcher.h"

#include "harelink/Kernel/routing.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// The next call is sent this long before the current one is expected to end: a hop
/// and the endpoint's own queue, so that the endpoint never idles.
constexpr milliseconds lead{25};
/// Calls in flight at one endpoint: the current one and the next.
constexpr std::size_t mostFlights = 2;
/// After a refusal the endpoint is left alone for this long.
constexpr milliseconds refusalPause{40};
/// Refusals after which a piece goes back to its daemon, to be made elsewhere.
constexpr std::uint32_t mostRefusals = 2;
/// A call is given up after so many times what it should take, and this much.
constexpr double timeoutFactor = 4;
constexpr milliseconds timeoutSlack{600};
/// The learnt slowness moves by this part of a difference.
constexpr double smoothing = 0.4;
constexpr double leastSlowness = 0.5;
constexpr double mostSlowness = 20;
/// A call that failed counts as one that took so many times its time.
constexpr double failureSlowness = 4;

/// Where the room of an endpoint is full, it is looked at again after this long; results
/// that are freed bring it forward.
constexpr milliseconds roomPause{20};
/// Results are freed together: a call for some is no dearer than one for one.
constexpr milliseconds freeInterval{30};

} // namespace

PieceBatcher::PieceBatcher(const Clock &clock)
    : m_clock(clock)
{
}

void PieceBatcher::take(const std::string &host, const PieceOrders &orders,
                        const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    Line &line = m_lines[orders.endpoint];
    for (const PieceOrder &order : orders.orders) {
        Item item;
        item.host = host;
        item.order = order;
        item.wanted = now + order.wantedIn;
        item.due = now + order.dueIn;
        line.waiting.push_back(std::move(item));
    }
    pump(orders.endpoint, line, snapshot);
}

void PieceBatcher::withdraw(const std::string &host, const PieceWithdrawal &withdrawal)
{
    const auto isWithdrawn = [&](const Item &item) {
        return item.host == host
               && std::find(withdrawal.requests.begin(), withdrawal.requests.end(),
                            item.order.id.request)
                      != withdrawal.requests.end();
    };
    for (auto &[endpoint, line] : m_lines) {
        std::erase_if(line.waiting, isWithdrawn);
    }
}

/// When the next call may be formed; \p now where nothing holds it back, so that two
/// readings of the clock can never keep it waiting.
TimePoint PieceBatcher::nextCallAt(const Line &line, TimePoint now)
{
    if (line.waiting.empty() || line.flights.size() >= mostFlights) {
        return TimePoint::max();
    }
    const TimePoint free = line.flights.empty() ? now : line.flights.back().expectedEnd - lead;
    return std::max({free, line.blockedUntil, now});
}

void PieceBatcher::pump(const std::string &endpoint, Line &line, const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.poolOfEndpoint(endpoint);
    const EndpointEntry *entry = pool == nullptr ? nullptr : pool->find(endpoint);
    const bool mayBeCalled = entry != nullptr && isUsable(*entry, m_clock.now());
    if (!mayBeCalled) {
        giveBack(endpoint, line, PieceFault::Refused);
        return;
    }
    const PieceWorkSpec work = pool->spec.pieces.value_or(PieceWorkSpec{});
    line.pool = pool->spec.name;
    dropLate(endpoint, line, work);
    const TimePoint now = m_clock.now();
    while (nextCallAt(line, now) <= now && form(*entry, line, work)) {
    }
}

/// How many of the waiting pieces, from the front, go into the next call: a batch of them,
/// and none whose result would find no room.
std::size_t PieceBatcher::fitting(Line &line, const PieceWorkSpec &work) const
{
    const TimePoint now = m_clock.now();
    std::erase_if(line.kept, [&line, now](const auto &entry) {
        const bool ended = entry.second.until <= now;
        line.keptBytes -= ended ? entry.second.bytes : 0;
        return ended;
    });
    std::uint64_t taken = line.keptBytes;
    for (const Flight &flight : line.flights) {
        for (const Item &item : flight.items) {
            taken += item.order.resultBytes;
        }
    }
    const std::size_t most = std::min<std::size_t>(line.waiting.size(), work.batch);
    std::size_t count = 0;
    while (count < most) {
        taken += line.waiting[count].order.resultBytes;
        if (work.roomBytes > 0 && taken > work.roomBytes) {
            break;
        }
        ++count;
    }
    return count;
}

/// A piece that would be too late takes no place from one that is not.
void PieceBatcher::dropLate(const std::string &endpoint, Line &line, const PieceWorkSpec &work)
{
    const TimePoint earliest = m_clock.now() + work.callTime;
    const auto isLate = [earliest](const Item &item) { return item.due < earliest; };
    for (const Item &item : line.waiting) {
        if (isLate(item)) {
            settle(endpoint, item, {}, PieceFault::Late);
        }
    }
    std::erase_if(line.waiting, isLate);
}

/// Forms a call; false where there is no room for the result of even one piece.
bool PieceBatcher::form(const EndpointEntry &endpoint, Line &line, const PieceWorkSpec &work)
{
    const TimePoint now = m_clock.now();
    // What would miss its objective anyway lets those go first that can still make it.
    const TimePoint earliest = now + work.callTime;
    const auto rank = [earliest](const Item &item) {
        return std::tuple(item.wanted < earliest, item.order.priority, item.wanted);
    };
    std::stable_sort(line.waiting.begin(), line.waiting.end(),
                     [&rank](const Item &a, const Item &b) { return rank(a) < rank(b); });
    const std::size_t count = fitting(line, work);
    if (count == 0) {
        line.blockedUntil = now + roomPause;
        return false;
    }
    Flight flight;
    flight.id = m_nextCallId++;
    flight.sentAt = now;
    flight.declared = work.callTime + work.pieceTime * static_cast<int>(count);
    const auto expected = std::chrono::duration_cast<Duration>(flight.declared * line.slowness);
    const TimePoint begin = line.flights.empty() ? now : line.flights.back().expectedEnd;
    flight.expectedEnd = std::max(begin, now) + expected;

    PieceCall call;
    call.id = flight.id;
    call.endpoint = endpoint.spec.name;
    call.address = endpoint.spec.address;
    const auto patience = std::chrono::duration_cast<Duration>(
        (flight.expectedEnd - now + flight.declared) * timeoutFactor / 2);
    call.timeout = patience + timeoutSlack;
    for (std::size_t i = 0; i < count; ++i) {
        Item &item = line.waiting[i];
        item.order.wantedIn = item.wanted - now;
        item.order.dueIn = item.due - now;
        call.orders.push_back(item.order);
        flight.items.push_back(std::move(item));
    }
    line.waiting.erase(line.waiting.begin(),
                       line.waiting.begin() + static_cast<std::ptrdiff_t>(count));
    line.flights.push_back(std::move(flight));
    noteSend(endpoint, now);
    ++m_callCount;
    m_pieceCount += count;
    m_calls.push_back(std::move(call));
    return true;
}

/// Books the results of a call as kept at their endpoint.
void PieceBatcher::keep(Line &line, const Flight &flight, const PieceCallEnded &event,
                        const Snapshot &snapshot) const
{
    const PoolEntry *pool = snapshot.pool(line.pool);
    if (pool == nullptr || !pool->spec.pieces) {
        return;
    }
    const TimePoint until = m_clock.now() + pool->spec.pieces->resultLife;
    for (std::size_t i = 0; i < flight.items.size() && i < event.results.size(); ++i) {
        if (event.results[i].fault == PieceFault::None) {
            const std::uint64_t bytes = flight.items[i].order.resultBytes;
            line.kept[event.results[i].handle] = {bytes, until};
            line.keptBytes += bytes;
        }
    }
}

void PieceBatcher::drop(Line &line, const std::string &handle)
{
    const auto kept = line.kept.find(handle);
    if (kept != line.kept.end()) {
        line.keptBytes -= kept->second.bytes;
        line.kept.erase(kept);
    }
}

void PieceBatcher::take(const PieceFrees &frees, const Snapshot &snapshot)
{
    m_freed.insert(m_freed.end(), frees.handles.begin(), frees.handles.end());
    if (m_freeAt == TimePoint::max()) {
        m_freeAt = m_clock.now() + freeInterval;
    }
    const auto found = m_lines.find(frees.endpoint);
    if (found == m_lines.end()) {
        return;
    }
    for (const std::string &handle : frees.handles) {
        drop(found->second, handle);
    }
    pump(frees.endpoint, found->second, snapshot);
}

std::vector<std::string> PieceBatcher::takeFreed()
{
    if (m_clock.now() < m_freeAt) {
        return {};
    }
    m_freeAt = TimePoint::max();
    return std::exchange(m_freed, {});
}

void PieceBatcher::giveBack(const std::string &endpoint, Line &line, PieceFault fault)
{
    for (const Item &item : line.waiting) {
        settle(endpoint, item, {}, fault);
    }
    line.waiting.clear();
}

void PieceBatcher::settle(const std::string &endpoint, const Item &item, const std::string &handle,
                          PieceFault fault)
{
    m_outcomes[{item.host, endpoint}].push_back({item.order.id, endpoint, handle, fault});
}

void PieceBatcher::handle(const PieceCallEnded &event, const Snapshot &snapshot)
{
    for (auto &[endpoint, line] : m_lines) {
        const auto flight =
            std::find_if(line.flights.begin(), line.flights.end(),
                         [&event](const Flight &candidate) { return candidate.id == event.id; });
        if (flight == line.flights.end()) {
            continue;
        }
        Flight ended = std::move(*flight);
        line.flights.erase(flight);
        learn(endpoint, line, ended, event, snapshot);
        keep(line, ended, event, snapshot);
        for (std::size_t i = 0; i < ended.items.size(); ++i) {
            Item &item = ended.items[i];
            if (event.answered) {
                settle(endpoint, item, event.results[i].handle, event.results[i].fault);
                continue;
            }
            const bool refused =
                event.evidence == SendEvidence::RefusedBeforeRun && !event.isOtherEndpoint;
            if (refused && ++item.refusals < mostRefusals) {
                line.waiting.push_back(std::move(item));
                continue;
            }
            settle(endpoint, item, {}, refused ? PieceFault::Refused : PieceFault::Failed);
        }
        if (event.isOtherEndpoint) {
            m_replaced.push_back(endpoint);
        }
        pump(endpoint, line, snapshot);
        return;
    }
}

/// Learns how slow the endpoint is, and of its health.
void PieceBatcher::learn(const std::string &endpoint, Line &line, const Flight &flight,
                         const PieceCallEnded &event, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const PoolEntry *pool = snapshot.pool(line.pool);
    const EndpointEntry *entry = pool == nullptr ? nullptr : pool->find(endpoint);
    // A call that waited behind another began when that one ended.
    const TimePoint begin =
        flight.expectedEnd - std::chrono::duration_cast<Duration>(flight.declared * line.slowness);
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
        line.slowness += (sample - line.slowness) * smoothing;
        line.slowness = std::clamp(line.slowness, leastSlowness, mostSlowness);
    } else {
        line.blockedUntil = now + refusalPause;
    }
    for (Flight &next : line.flights) {
        next.expectedEnd =
            now + std::chrono::duration_cast<Duration>(next.declared * line.slowness);
    }
    if (entry == nullptr) {
        return;
    }
    entry->load->inFlight.fetch_sub(1, std::memory_order_relaxed);
    if (event.answered) {
        noteSuccess(*entry, taken, now);
    } else {
        noteFailure(*pool, *entry, event.evidence, now);
    }
}

void PieceBatcher::tick(const Snapshot &snapshot)
{
    for (auto at = m_lines.begin(); at != m_lines.end();) {
        auto &[endpoint, line] = *at;
        pump(endpoint, line, snapshot);
        const bool isIdle = line.waiting.empty() && line.flights.empty();
        const bool isGone = isIdle && snapshot.endpoint(endpoint) == nullptr;
        at = isGone ? m_lines.erase(at) : std::next(at);
    }
}

TimePoint PieceBatcher::nextTick() const
{
    TimePoint next = m_freeAt;
    for (const auto &[endpoint, line] : m_lines) {
        next = std::min(next, nextCallAt(line, m_clock.now()));
    }
    return next;
}

PieceBacklog PieceBatcher::backlogOf(const std::string &endpoint, const Line &line) const
{
    PieceBacklog backlog;
    backlog.endpoint = endpoint;
    if (!line.flights.empty()) {
        backlog.busy =
            std::max<Duration>(line.flights.back().expectedEnd - m_clock.now(), Duration::zero());
    }
    for (const Item &item : line.waiting) {
        ++backlog.waiting[urgencyClass(item.order.priority)];
    }
    backlog.slowness = line.slowness;
    return backlog;
}

std::vector<PieceBacklog> PieceBatcher::backlogs() const
{
    std::vector<PieceBacklog> backlogs;
    for (const auto &[endpoint, line] : m_lines) {
        backlogs.push_back(backlogOf(endpoint, line));
    }
    return backlogs;
}

std::vector<PieceOutcomesTo> PieceBatcher::takeOutcomes()
{
    std::vector<PieceOutcomesTo> sends;
    for (auto &[where, outcomes] : std::exchange(m_outcomes, {})) {
        const auto &[host, endpoint] = where;
        PieceOutcomesTo send;
        send.host = host;
        send.outcomes.outcomes = std::move(outcomes);
        const auto line = m_lines.find(endpoint);
        if (line != m_lines.end()) {
            send.outcomes.backlog = backlogOf(endpoint, line->second);
        }
        sends.push_back(std::move(send));
    }
    return sends;
}

} // namespace harelink
