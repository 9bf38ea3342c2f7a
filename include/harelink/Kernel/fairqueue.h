//===- harelink/Kernel/fairqueue.h - Weighted fair queue --------*- C++ -*-===//
///
/// \file
/// The queue of one pool on one worker: among accounts the one that used least
/// of the pool for its weight goes first, within an account the earliest
/// deadline.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_FAIRQUEUE_H
#define HARELINK_KERNEL_FAIRQUEUE_H

#include "harelink/Kernel/slotshares.h"
#include "harelink/Kernel/snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace harelink {

/// Orders requests, named by sequence number, for one pool.
class FairQueue
{
public:
    /// Where a request waits.
    struct Waiter
    {
        std::string account;
        TimePoint due; ///< The earliest of an account goes first.
        std::uint64_t sequence = 0;
    };

    /// Adds a request.
    void push(const Waiter &place);
    /// Takes out a request that is no longer wanted.
    void remove(const Waiter &place);
    /// Takes out the request that goes next, if one may.
    ///
    /// \param pool the pool's name, whose use meters of \p snapshot decide.
    /// \param shares says which accounts may send.
    std::optional<std::uint64_t> pop(const Snapshot &snapshot, const std::string &pool,
                                     const SlotShares &shares, TimePoint now);
    /// How many requests wait.
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    using Backlog = std::set<std::pair<TimePoint, std::uint64_t>>;

    std::map<std::string, Backlog> m_accounts; // Only those that wait.
    std::size_t m_size = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FAIRQUEUE_H
