//===- harelink/Kernel/peerdemand.h - Demand at the peers -------*- C++ -*-===//
///
/// \file
/// Sums the demand of client accounts for pools as reported by other daemons. The
/// demand of a daemon that stops reporting expires.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PEERDEMAND_H
#define HARELINK_KERNEL_PEERDEMAND_H

#include "harelink/Kernel/peers.h"
#include "harelink/Kernel/peertotals.h"

#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The total demand at all peers: calls in flight or queued.
struct DemandTotal
{
    std::string account;
    std::string pool;
    int calls = 0;
};

/// Totals of demand by client account and pool.
class PeerDemand
{
public:
    /// \param clock must outlive the totals.
    explicit PeerDemand(const Clock &clock)
        : m_totals(clock)
    {
    }

    /// Replaces the demand at \p host.
    void update(const std::string &host, const std::vector<UsageReport> &reports);
    /// Replaces the demand that a relay reports as \p host, which is updated less often.
    void updateFromSummary(const std::string &host, const std::vector<UsageReport> &reports);
    /// Returns the totals that have changed since the last call; see PeerTotals::changes().
    [[nodiscard]] std::vector<DemandTotal> changes();

private:
    using Key = std::pair<std::string, std::string>; // Account and pool.

    static PeerTotals<Key>::Values callsOf(const std::vector<UsageReport> &reports);

    PeerTotals<Key> m_totals;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERDEMAND_H
