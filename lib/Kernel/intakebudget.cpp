//===- intakebudget.cpp - Memory of requests ------------------------------===//

#include "harelink/Kernel/intakebudget.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <tuple>
#include <utility>

namespace harelink {
namespace {

/// What a connection that waits may hold unread in its socket.
constexpr std::size_t unreadBytes = 65'536;
/// Part of the budget that may wait unread in sockets besides it.
constexpr std::size_t unreadShare = 4;
/// Part of the budget that requests may hold while they wait: it is released only when their wait
/// ends.
constexpr std::size_t waitingShare = 8;

} // namespace

IntakeBudget::IntakeBudget(std::size_t limit)
    : m_limit(limit)
    , m_maxWaiting(limit / unreadShare / unreadBytes)
{
}

IntakeId IntakeBudget::open()
{
    const IntakeId id = m_nextId++;
    m_connections[id].progressAt = m_time;
    return id;
}

void IntakeBudget::close(IntakeId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    setHeld(found->second, 0);
    m_connections.erase(found);
    std::erase(m_waiting, id);
    grantWaiting();
}

/// Returns whether a request that holds \p held may hold \p bytes instead.
bool IntakeBudget::fits(std::size_t held, std::size_t bytes) const
{
    const std::size_t large = m_large - (isLarge(held) ? held : 0) + bytes;
    return m_used - held + bytes <= m_limit && (!isLarge(bytes) || large <= maxLarge());
}

bool IntakeBudget::isStalled(const Connection &connection) const
{
    return m_time - connection.progressAt >= stallLimit;
}

void IntakeBudget::add(std::size_t bytes)
{
    m_used += bytes;
    m_large += isLarge(bytes) ? bytes : 0;
}

void IntakeBudget::remove(std::size_t bytes)
{
    assert(m_used >= bytes && "only what was reserved may be released");
    m_used -= bytes;
    m_large -= isLarge(bytes) ? bytes : 0;
}

void IntakeBudget::setHeld(Connection &connection, std::size_t bytes)
{
    remove(connection.held);
    add(bytes);
    connection.held = bytes;
}

void IntakeBudget::drop(IntakeId id, Connection &connection)
{
    connection.isDropped = true;
    setHeld(connection, 0);
    std::erase(m_waiting, id);
    m_changes.dropped.push_back(id);
}

/// Drops stalled unfinished requests, the longest stalled first, until a request that holds \p held
/// may hold \p bytes. Drops none if that isn't enough.
void IntakeBudget::dropStalled(std::size_t held, std::size_t bytes)
{
    // More requests stall only as time passes.
    std::optional<Duration> &failedAt = isLarge(bytes) ? m_largeFailedAt : m_smallFailedAt;
    if (failedAt == m_time) {
        return;
    }
    std::vector<std::pair<Duration, IntakeId>> stalled;
    std::size_t used = m_used - held + bytes;
    std::size_t large = m_large - (isLarge(held) ? held : 0) + (isLarge(bytes) ? bytes : 0);
    for (const auto &[id, connection] : m_connections) {
        if (connection.held > 0 && connection.wanted == 0 && isStalled(connection)) {
            stalled.emplace_back(connection.progressAt, id);
            used -= connection.held;
            large -= isLarge(connection.held) ? connection.held : 0;
        }
    }
    if (used > m_limit || large > maxLarge()) {
        failedAt = m_time;
        return;
    }
    std::sort(stalled.begin(), stalled.end());
    for (const auto &[since, id] : stalled) {
        if (fits(held, bytes)) {
            break;
        }
        ++m_counters.droppedStalled;
        drop(id, m_connections.at(id));
    }
}

/// Returns what the requests that wait hold.
std::size_t IntakeBudget::heldByWaiting() const
{
    return std::accumulate(
        m_waiting.begin(), m_waiting.end(), std::size_t{0},
        [this](std::size_t sum, IntakeId id) { return sum + m_connections.at(id).held; });
}

IntakeDecision IntakeBudget::reserve(IntakeId id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.isDropped) {
        return IntakeDecision::Refused;
    }
    Connection &connection = found->second;
    if (bytes <= connection.held) {
        return IntakeDecision::Granted;
    }
    // A large request must not pass those that wait. One that holds its memory may need slightly
    // more for the head of a chunk; it must not wait, as others wait for what it holds.
    const bool isGrowing = isLarge(connection.held) && !isLarge(bytes - connection.held);
    const bool mayWait = isLarge(bytes) && !isGrowing;
    const bool mustQueue = mayWait && !m_waiting.empty();
    if (!mustQueue && !fits(connection.held, bytes)) {
        // The request itself makes progress, so it isn't among those that are dropped.
        connection.progressAt = m_time;
        dropStalled(connection.held, bytes);
    }
    if (!mustQueue && fits(connection.held, bytes)) {
        setHeld(connection, bytes);
        return IntakeDecision::Granted;
    }
    const bool holdsMuch = heldByWaiting() + connection.held > m_limit / waitingShare;
    if (!mayWait || holdsMuch || m_waiting.size() >= m_maxWaiting || bytes > maxLarge()) {
        ++m_counters.refused;
        return IntakeDecision::Refused;
    }
    ++m_counters.waited;
    connection.wanted = bytes;
    connection.waitsSince = m_time;
    m_waiting.push_back(id);
    return IntakeDecision::Waiting;
}

void IntakeBudget::recordReceived(IntakeId id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    Connection &connection = found->second;
    connection.received += bytes;
    if (connection.held == 0 || connection.received >= minProgressBytes) {
        connection.received = 0;
        connection.progressAt = m_time;
    }
}

bool IntakeBudget::complete(IntakeId id, std::size_t bytes)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return false;
    }
    Connection &connection = found->second;
    ++connection.inProgress;
    connection.progressAt = m_time;
    if (bytes > connection.held && !fits(connection.held, bytes)) {
        dropStalled(connection.held, bytes);
    }
    // A dropped connection is closed, so its request must not run.
    const bool isGranted =
        !connection.isDropped && (bytes <= connection.held || fits(connection.held, bytes));
    setHeld(connection, 0);
    if (isGranted) {
        add(bytes);
    } else {
        ++m_counters.refused;
    }
    grantWaiting();
    return isGranted;
}

void IntakeBudget::abandon(IntakeId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        ++found->second.inProgress;
        setHeld(found->second, 0);
        grantWaiting();
    }
}

void IntakeBudget::recordAnswered(IntakeId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        --found->second.inProgress;
        found->second.progressAt = m_time;
    }
}

bool IntakeBudget::take(std::size_t bytes)
{
    if (!fits(0, bytes)) {
        dropStalled(0, bytes);
    }
    if (!fits(0, bytes)) {
        ++m_counters.refused;
        return false;
    }
    add(bytes);
    return true;
}

void IntakeBudget::release(std::size_t bytes)
{
    remove(bytes);
    grantWaiting();
}

/// Grants reservations in the order of their arrival, dropping stalled requests for them.
void IntakeBudget::grantWaiting()
{
    while (!m_waiting.empty()) {
        const IntakeId id = m_waiting.front();
        Connection &connection = m_connections.at(id);
        if (!fits(connection.held, connection.wanted)) {
            dropStalled(connection.held, connection.wanted);
        }
        if (!fits(connection.held, connection.wanted)) {
            return;
        }
        m_waiting.pop_front();
        setHeld(connection, std::exchange(connection.wanted, 0));
        connection.progressAt = m_time;
        m_changes.granted.push_back(id);
    }
}

void IntakeBudget::dropIdleConnections(std::size_t count)
{
    struct Idle
    {
        bool isUnfinished = false;
        Duration progressAt{};
        IntakeId id = 0;
    };
    std::vector<Idle> idle;
    for (const auto &[id, connection] : m_connections) {
        const bool isIdle = connection.inProgress == 0 && connection.wanted == 0
                            && (connection.held == 0 || isStalled(connection));
        if (isIdle && !connection.isDropped) {
            idle.push_back({connection.held > 0, connection.progressAt, id});
        }
    }
    const auto rank = [](const Idle &connection) {
        return std::tuple(!connection.isUnfinished, connection.progressAt, connection.id);
    };
    const std::size_t dropped = std::min(count, idle.size());
    std::partial_sort(
        idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(dropped), idle.end(),
        [&rank](const Idle &one, const Idle &other) { return rank(one) < rank(other); });
    for (std::size_t i = 0; i < dropped; ++i) {
        ++m_counters.droppedForConnections;
        drop(idle[i].id, m_connections.at(idle[i].id));
    }
}

void IntakeBudget::tick(TimePoint now)
{
    if (m_tickedAt != TimePoint{}) {
        m_time += std::min<Duration>(now - m_tickedAt, 2 * tickInterval);
    }
    m_tickedAt = now;
    grantWaiting();
    while (!m_waiting.empty()) {
        const IntakeId id = m_waiting.front();
        Connection &connection = m_connections.at(id);
        if (m_time - connection.waitsSince < maxWait) {
            return;
        }
        connection.wanted = 0;
        ++m_counters.refused;
        m_waiting.pop_front();
        m_changes.refused.push_back(id);
    }
}

IntakeChanges IntakeBudget::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace harelink
