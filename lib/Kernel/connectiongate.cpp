//===- connectiongate.cpp - New connections -------------------------------===//

#include "harelink/Kernel/connectiongate.h"

#include <algorithm>
#include <cmath>

namespace harelink {
namespace {

using Seconds = std::chrono::duration<double>;

/// Part of the link that requests may use; the rest is left to messages between daemons, which
/// must not wait behind callers.
constexpr double maxLinkUse = 0.75;
/// Mean delay of an event loop from which on the host is overloaded: a request waits for the loops
/// several times.
constexpr std::chrono::milliseconds maxLoopDelay{20};
/// The limit changes once in this time: what was read before still loads the host meanwhile.
constexpr std::chrono::milliseconds adjustInterval{500};
constexpr double decreaseFactor = 0.7;
constexpr double increaseFactor = 1.1;
/// The limit rises below this pressure.
constexpr double lowPressure = 0.7;
/// Minimum limit in requests per second, and relative to what a peer reads on average.
constexpr double minLimit = 2;
constexpr double minUnevenness = 2;
/// A host reports that it is not ready when more than its limit was offered for this time.
constexpr std::chrono::milliseconds maxExcessTime{500};
/// For how long it is not ready: a balancer may need two seconds to notice. The time doubles, up to
/// the maximum, if the host was not ready less than repeatPeriod before.
constexpr std::chrono::seconds minUnreadyTime{4};
constexpr std::chrono::seconds maxUnreadyTime{16};
constexpr std::chrono::seconds repeatPeriod{10};
/// A host stays ready unless this part of its peers is not overloaded. A balancer may use all hosts
/// when too few are ready.
constexpr double minFreePart = 0.75;
/// The unused limit of this time may be used in a burst.
constexpr std::chrono::milliseconds burstTime{200};
/// The limit ends when it was not reached for this time.
constexpr std::chrono::seconds releaseTime{2};
/// A connection is accepted at least this often: a host that takes none would have to report that
/// it is not ready.
constexpr std::chrono::milliseconds maxAdmitInterval{1000};
/// Averaging time of the measured rates.
constexpr std::chrono::milliseconds rateTime{500};

} // namespace

double PeerRoom::freePart() const
{
    if (peers <= 0 || serving <= 0) {
        return 0;
    }
    const double knownPart = std::min(1.0, static_cast<double>(serving) / peers);
    return knownPart * std::clamp(1 - static_cast<double>(crowded) / serving, 0.0, 1.0);
}

double PeerRoom::meanReads() const
{
    return serving <= 0 ? 0 : readsPerSecond / serving;
}

double ConnectionGate::pressureOf(const HostLoadSample &load) const
{
    const double delay = Seconds(load.maxDelay()) / Seconds(maxLoopDelay);
    const double link = m_linkBytesPerSecond ? load.linkUse(*m_linkBytesPerSecond) / maxLinkUse : 0;
    return std::max(delay, link);
}

void ConnectionGate::update(const HostLoadSample &load, const PeerRoom &room, TimePoint now)
{
    const double seconds = std::max(Seconds(load.period).count(), 0.001);
    const double weight = 1 - std::exp(-(Seconds(load.period) / Seconds(rateTime)));
    m_readPerSecond += (static_cast<double>(m_read) / seconds - m_readPerSecond) * weight;
    m_offeredPerSecond += (static_cast<double>(m_offered) / seconds - m_offeredPerSecond) * weight;
    m_read = 0;
    m_offered = 0;
    m_freePart = room.freePart();
    m_pressure = pressureOf(load);
    refill(now);
    m_lowestLimit = std::max(minLimit, room.meanReads() * minUnevenness);
    if (!m_limit && m_pressure > 1 && m_readPerSecond > m_lowestLimit) {
        m_limit = m_readPerSecond;
        m_tokens = 0;
        m_adjustedAt = TimePoint::min();
    }
    adjustLimit(now);
    releaseLimit(now);
    adjustReadiness(now);
}

void ConnectionGate::adjustLimit(TimePoint now)
{
    const bool isDue = m_adjustedAt == TimePoint::min() || now - m_adjustedAt >= adjustInterval;
    if (!m_limit || !isDue) {
        return;
    }
    m_adjustedAt = now;
    if (m_pressure > 1) {
        m_limit = std::min(*m_limit, m_readPerSecond) * decreaseFactor;
    } else if (m_pressure < lowPressure) {
        *m_limit *= increaseFactor;
    }
    m_limit = std::max(*m_limit, m_lowestLimit);
}

/// Ends the limit when callers offer less for a while.
void ConnectionGate::releaseLimit(TimePoint now)
{
    if (!m_limit || m_pressure > 1 || m_offeredPerSecond > *m_limit) {
        m_belowSince.reset();
        return;
    }
    m_belowSince = m_belowSince.value_or(now);
    if (now - *m_belowSince >= releaseTime) {
        m_limit.reset();
        m_belowSince.reset();
    }
}

void ConnectionGate::adjustReadiness(TimePoint now)
{
    const bool hasRoom = m_freePart >= minFreePart;
    if (m_unreadyUntil) {
        if (!hasRoom || now >= *m_unreadyUntil) {
            m_unreadyUntil.reset();
            m_readyAgainAt = now;
        }
        return;
    }
    if (!hasRoom || !m_limit || m_offeredPerSecond <= *m_limit) {
        m_excessSince.reset();
        return;
    }
    m_excessSince = m_excessSince.value_or(now);
    if (now - *m_excessSince < maxExcessTime) {
        return;
    }
    m_excessSince.reset();
    const bool isRepeated = m_readyAgainAt && now - *m_readyAgainAt < repeatPeriod;
    m_unreadyTime = isRepeated ? std::min<Duration>(m_unreadyTime * 2, maxUnreadyTime)
                               : Duration(minUnreadyTime);
    m_unreadyUntil = now + m_unreadyTime;
}

/// Adds the tokens of the time since the last call, up to those of a burst.
void ConnectionGate::refill(TimePoint now)
{
    if (m_limit) {
        const double most = std::max(1.0, *m_limit * Seconds(burstTime).count());
        const double since = Seconds(now - m_refilledAt).count();
        m_tokens = std::clamp(m_tokens + *m_limit * since, -most, most);
    }
    m_refilledAt = now;
}

bool ConnectionGate::admit(TimePoint now)
{
    ++m_offered;
    refill(now);
    const bool isOverLimit = m_limit && m_tokens < 1 && now - m_admittedAt < maxAdmitInterval;
    if (isOverLimit) {
        m_excess += m_freePart;
        if (m_excess >= 1) {
            m_excess -= 1;
            ++m_turnedAway;
            return false;
        }
    }
    ++m_read;
    m_tokens -= 1;
    m_admittedAt = now;
    return true;
}

void ConnectionGate::recordRequest(TimePoint now)
{
    ++m_offered;
    ++m_read;
    refill(now);
    m_tokens -= 1;
}

bool ConnectionGate::closesConnections(TimePoint now)
{
    refill(now);
    return m_limit && m_tokens < 1 && m_freePart > 0;
}

} // namespace harelink
