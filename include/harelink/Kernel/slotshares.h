//===- harelink/Kernel/slotshares.h - Slots of a pool by account *- C++ -*-===//
///
/// \file
/// Divides the slots of a pool among the client accounts that want them, in
/// proportion to their weights, and an account's part among the daemons, in
/// proportion to what waits at each. A slot is an endpoint's time, so equal
/// slots are equal cost. What an account does not want goes to the others
/// (max-min fairness); while all demand fits, nobody is limited.
///
/// Each daemon computes this for itself from its own demand and from what the
/// others last told of theirs; nothing is agreed. Where daemons are cut off
/// from each other, each divides the whole pool, and the endpoints' refusals
/// keep the sum in bounds.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_SLOTSHARES_H
#define HARELINK_KERNEL_SLOTSHARES_H

#include "harelink/Kernel/snapshot.h"

#include <string>

namespace harelink {

/// The division of one pool.
class SlotShares
{
public:
    /// Divides anew, if the last division is old enough.
    void update(const Snapshot &snapshot, const PoolEntry &pool, TimePoint now);
    /// Whether \p account may have one more call in flight from this daemon.
    [[nodiscard]] bool mayDispatch(const Snapshot &snapshot, const std::string &account) const;

    /// The slots of endpoints that are neither leaving, ejected nor on probation, as
    /// last seen.
    [[nodiscard]] int usableSlots() const { return m_usableSlots; }

private:
    std::string m_pool;
    TimePoint m_updatedAt = TimePoint::min();
    double m_level = 0; ///< Slots for a unit of weight.
    int m_usableSlots = 0;
    bool m_limits = false; ///< The demand is above the slots.
};

} // namespace harelink

#endif // HARELINK_KERNEL_SLOTSHARES_H
