//===- harelink/Kernel/slotshares.h - Slot shares of accounts ---*- C++ -*-===//
///
/// \file
/// Divides the slots of a pool among the client accounts with demand for them,
/// in proportion to their weights, and the share of an account among the
/// daemons, in proportion to their demand. A slot is a unit of an endpoint's
/// time, so equal slots have equal cost. Slots that an account does not need go
/// to the others (max-min fairness); no account is limited while all demand
/// fits.
///
/// Each daemon computes the shares from its own demand and from the demand last
/// reported by its peers, without coordination. If daemons are partitioned from
/// each other, each divides the whole pool, and endpoints bound the sum by
/// refusing calls.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_SLOTSHARES_H
#define HARELINK_KERNEL_SLOTSHARES_H

#include "harelink/Kernel/snapshot.h"

#include <string>

namespace harelink {

/// Divides the slots of one pool.
class SlotShares
{
public:
    /// Recomputes the shares if they are out of date.
    void update(const Snapshot &snapshot, const PoolEntry &pool, TimePoint now);
    /// Returns whether \p account may have one more call in flight from this daemon.
    [[nodiscard]] bool mayDispatch(const Snapshot &snapshot, const std::string &account) const;

    /// Returns the slots of usable endpoints that are not on probation, as of the last
    /// recomputation.
    [[nodiscard]] int usableSlots() const { return m_usableSlots; }

private:
    std::string m_pool;
    TimePoint m_updatedAt = TimePoint::min();
    double m_slotsPerWeight = 0; ///< Share of an account per unit of weight.
    int m_usableSlots = 0;
    bool m_isLimiting = false; ///< Whether demand exceeds the slots.
};

} // namespace harelink

#endif // HARELINK_KERNEL_SLOTSHARES_H
