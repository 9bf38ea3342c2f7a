//===- harelink/Kernel/rateshares.h - Parts of a stated rate ----*- C++ -*-===//
///
/// \file
/// How often one daemon may send to an endpoint that has stated a rate limit. All daemons
/// together keep the limit without asking each other: each computes its own part from the
/// limit and the number of hosts it knows of, those out of reach included.
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

/// What an endpoint gets at most in any window, from all daemons: so many times what its
/// limit allows, and so many requests more.
struct RateTolerance
{
    static constexpr std::chrono::seconds window{4};
    static constexpr double factor = 1.5;
    static constexpr double extra = 5;

    /// In one window, of an endpoint that accepts \p perSecond requests.
    [[nodiscard]] static double requests(double perSecond)
    {
        return perSecond * std::chrono::duration<double>(window).count() * factor + extra;
    }
};

/// One daemon's part of an endpoint's rate.
struct RateShare
{
    Duration interval{};   ///< Least time between two of its sends.
    Duration firstDelay{}; ///< Before its first send.
    Duration slotLength{}; ///< After which a turn that was not used is lost; zero for never.
};

/// Computes the parts of one daemon.
///
/// Where the tolerance has a place for each host in each window, every host sends. Else a
/// hash of the host's and the endpoint's name draws the few that send once in a window; the
/// others ask now and then whether the limit still stands, at times that the hash spreads.
class RateShares
{
public:
    /// Of a daemon that has just started: it knows too few hosts and has no part.
    RateShares() = default;
    /// \param knownHosts this one among them, whether they can be reached or not.
    /// \param reachableHosts this one among them, that were heard lately.
    RateShares(std::string self, std::size_t knownHosts, std::size_t reachableHosts);

    /// The part of this daemon of the \p perSecond requests that \p endpoint accepts; nothing
    /// for a daemon that has no part yet.
    [[nodiscard]] std::optional<RateShare> shareOf(const std::string &endpoint,
                                                   double perSecond) const;
    /// The same at a pool to which, of the hosts that hear each other, one sends for all.
    [[nodiscard]] std::optional<RateShare> batcherShareOf(const std::string &endpoint,
                                                          double perSecond) const;

private:
    [[nodiscard]] RateShare computeShare(const std::string &endpoint, double perSecond,
                                         double senders) const;

    std::string m_self;
    double m_knownHosts = 0;
    double m_reachableHosts = 0;
};

/// Puts \p statement in force for the endpoint \p name of \p snapshot. A part that is about
/// the same as the one in force leaves the next send where it was.
void applyLimit(const Snapshot &snapshot, const std::string &name,
                const LimitAnnouncement &announcement, const RateShares &shares, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_RATESHARES_H
