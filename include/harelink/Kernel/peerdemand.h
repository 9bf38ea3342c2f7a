//===- harelink/Kernel/peerdemand.h - What waits at the peers ---*- C++ -*-===//
///
/// \file
/// Sums up what the other daemons last told of their accounts' demand for each
/// pool. What a silent daemon told is forgotten.
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

/// The demand of all peers together: calls in flight and waiting.
struct DemandTotal
{
    std::string account;
    std::string pool;
    int calls = 0;
};

/// The sums.
class PeerDemand
{
public:
    /// \param clock outlives this.
    explicit PeerDemand(const Clock &clock)
        : m_totals(clock)
    {
    }

    /// Takes in what \p host told; it replaces what that host told before.
    void update(const std::string &host, const std::vector<UsageReport> &reports);
    /// The same for what a relay told, which comes less often.
    void updateFromSummary(const std::string &host, const std::vector<UsageReport> &reports);
    /// The sums that have changed since the last call; looks not too often.
    [[nodiscard]] std::vector<DemandTotal> changes();

private:
    using Key = std::pair<std::string, std::string>; // Account and pool.

    static PeerTotals<Key>::Values callsOf(const std::vector<UsageReport> &reports);

    PeerTotals<Key> m_totals;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERDEMAND_H
