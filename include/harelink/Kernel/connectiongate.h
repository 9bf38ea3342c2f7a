//===- harelink/Kernel/connectiongate.h - New connections -------*- C++ -*-===//
///
/// \file
/// Decides which new connections of callers a host turns away, before it reads their requests.
///
/// The load is a balancer that hands most new connections to one of many small hosts. What such a
/// host reads beyond its capacity waits for its processor or its link, is late at endpoints that
/// are idle, and is refused by forecasts. A connection that is closed unread costs little, and its
/// caller can safely try again at another host, even with a request that must not be repeated.
///
/// The host limits the rate of the requests that it reads while its link or its event loops are
/// overloaded, but never to less than twice what a peer reads on average: an overload of all hosts
/// is no reason to turn callers away, nor is other work of this one. Of the excess it turns away no
/// larger part than the part of its peers that are known to serve and not to be overloaded. A host
/// that knows no such peer turns nothing away.
///
/// A connection that is turned away may still cost the bytes that its caller sent at once. So a
/// host that has turned connections away for a while reports that it is not ready, while most peers
/// have room.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONNECTIONGATE_H
#define HARELINK_KERNEL_CONNECTIONGATE_H

#include "harelink/Kernel/hostload.h"
#include "harelink/Support/clock.h"

#include <cstdint>
#include <optional>

namespace harelink {

/// The peers that were heard of recently. What they report of their load may be missing, or counted
/// twice where another relay reports it.
struct PeerRoom
{
    int peers = 0;
    int serving = 0;           ///< That take requests, by their reports.
    int crowded = 0;           ///< Of the serving ones, overloaded ones.
    double readsPerSecond = 0; ///< Requests that all serving ones together read.

    /// Returns the part of the peers that serve and are not overloaded; 0 if no peer reports.
    [[nodiscard]] double freePart() const;
    /// Returns the mean of what a serving peer reads per second.
    [[nodiscard]] double meanReads() const;
};

/// Limits the rate of the requests that one host reads.
class ConnectionGate
{
public:
    /// \param linkBytesPerSecond bandwidth of the host's link in each direction, if known.
    explicit ConnectionGate(std::optional<double> linkBytesPerSecond)
        : m_linkBytesPerSecond(linkBytesPerSecond)
    {
    }

    /// Adjusts the limit to the load. Must be called about every 100 ms.
    void update(const HostLoadSample &load, const PeerRoom &room, TimePoint now);
    /// Returns whether a new connection is accepted; its first request is counted.
    [[nodiscard]] bool admit(TimePoint now);
    /// Records a further request on an open connection.
    void recordRequest(TimePoint now);
    /// Returns whether callers shall open other connections for their next requests, which may be
    /// turned away.
    [[nodiscard]] bool closesConnections(TimePoint now);

    /// Returns whether the host is overloaded, limits what it reads, or is not ready.
    [[nodiscard]] bool isCrowded() const
    {
        return m_pressure >= 1 || m_limit.has_value() || !isReady();
    }
    /// Returns whether the balancer shall send connections here.
    [[nodiscard]] bool isReady() const { return !m_unreadyUntil; }
    /// Returns the average of the requests that were read per second.
    [[nodiscard]] double readsPerSecond() const { return m_readPerSecond; }
    /// Returns the load relative to what the host bears.
    [[nodiscard]] double pressure() const { return m_pressure; }
    /// Returns the limit in requests per second; std::nullopt if there is none.
    [[nodiscard]] std::optional<double> limit() const { return m_limit; }
    [[nodiscard]] std::uint64_t turnedAway() const { return m_turnedAway; }

private:
    void refill(TimePoint now);
    [[nodiscard]] double pressureOf(const HostLoadSample &load) const;
    void adjustLimit(TimePoint now);
    void releaseLimit(TimePoint now);
    void adjustReadiness(TimePoint now);

    std::optional<double> m_linkBytesPerSecond;
    double m_pressure = 0;
    std::optional<double> m_limit;
    double m_lowestLimit = 0; ///< See PeerRoom::meanReads().
    TimePoint m_adjustedAt = TimePoint::min();
    double m_tokens = 0;           ///< Requests that may be read now; negative after an excess.
    double m_excess = 0;           ///< Part of a connection that may be turned away next.
    double m_freePart = 0;         ///< See PeerRoom::freePart().
    double m_readPerSecond = 0;    ///< Average.
    double m_offeredPerSecond = 0; ///< Same, with connections that were turned away.
    std::uint64_t m_read = 0;      ///< Since the last update.
    std::uint64_t m_offered = 0;   ///< Same.
    TimePoint m_refilledAt;
    TimePoint m_admittedAt;
    std::optional<TimePoint> m_belowSince; ///< Since when the offered rate is below the limit.
    std::uint64_t m_turnedAway = 0;
    std::optional<TimePoint> m_excessSince;  ///< Since when more is offered than the limit.
    std::optional<TimePoint> m_unreadyUntil; ///< Set while the host is not ready.
    std::optional<TimePoint> m_readyAgainAt; ///< When it last became ready again.
    Duration m_unreadyTime{};                ///< For which it was not ready then.
};

} // namespace harelink

#endif // HARELINK_KERNEL_CONNECTIONGATE_H
