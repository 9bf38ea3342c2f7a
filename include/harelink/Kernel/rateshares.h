//===- harelink/Kernel/rateshares.h - Shares of a rate limit ----*- C++ -*-===//
///
/// \file
/// Computes how often one daemon may send to an endpoint that has announced a rate limit. The
/// daemons keep the limit without coordination: each computes its own share from the limit and
/// the number of known hosts, including unreachable ones.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RATESHARES_H
#define HARELINK_KERNEL_RATESHARES_H

#include "harelink/Kernel/endpointlimits.h"
#include "harelink/Kernel/snapshot.h"

#include <cstddef>
#include <optional>
#include <string>

namespace harelink {

/// The maximum number of requests that an endpoint gets from all daemons in any window: a multiple
/// of what its limit allows, plus a constant.
struct RateTolerance
{
    static constexpr std::chrono::seconds window{4};
    static constexpr double factor = 1.5;
    static constexpr double extra = 5;

    /// Returns the maximum number of requests in one window to an endpoint that accepts
    /// \p perSecond requests.
    [[nodiscard]] static double requests(double perSecond)
    {
        return perSecond * std::chrono::duration<double>(window).count() * factor + extra;
    }
};

/// One daemon's share of an endpoint's rate limit.
struct RateShare
{
    Duration interval{};   ///< Minimum time between two sends.
    Duration firstDelay{}; ///< Before the first send.
    Duration slotLength{}; ///< After which an unused send slot expires; zero for never.
};

/// Computes the shares of one daemon.
///
/// If the tolerance allows each host a request in each window, every host sends. Otherwise a
/// hash of the host's and the endpoint's name selects the few hosts that send once per window;
/// the others re-check at long intervals whether the limit is still in force, at times that the
/// hash spreads.
class RateShares
{
public:
    /// Creates the shares of a daemon that has just started: it knows too few hosts to get any.
    RateShares() = default;
    /// \param knownHosts Number of known hosts, including this one and unreachable ones.
    /// \param reachableHosts Number of hosts heard from recently, including this one.
    RateShares(std::string self, std::size_t knownHosts, std::size_t reachableHosts);

    /// Returns this daemon's share of the \p perSecond requests that \p endpoint accepts;
    /// std::nullopt if the daemon has just started.
    [[nodiscard]] std::optional<RateShare> shareOf(const std::string &endpoint,
                                                   double perSecond) const;
    /// Like shareOf(), for a pool with a batcher: one host sends for all hosts that can reach
    /// each other.
    [[nodiscard]] std::optional<RateShare> batcherShareOf(const std::string &endpoint,
                                                          double perSecond) const;

private:
    [[nodiscard]] RateShare computeShare(const std::string &endpoint, double perSecond,
                                         double senders) const;

    std::string m_self;
    double m_knownHosts = 0;
    double m_reachableHosts = 0;
};

/// Applies \p announcement to the endpoint named \p name of \p snapshot. If the share stays about
/// the same, the next send slot does not move.
void applyLimit(const Snapshot &snapshot, const std::string &name,
                const LimitAnnouncement &announcement, const RateShares &shares, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_RATESHARES_H
