//===- harelink/Kernel/fairqueue.h - Weighted fair queue --------*- C++ -*-===//
///
/// \file
/// The queue of one pool on one worker. The account with the lowest recent usage
/// relative to its weight goes first; within an account, the request with the
/// earliest deadline.
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

/// Orders the requests for one pool; requests are identified by sequence number.
class FairQueue
{
public:
    /// A waiting request.
    struct Waiter
    {
        std::string account;
        TimePoint due; ///< The earliest one of an account goes first.
        std::uint64_t sequence = 0;
    };

    /// Adds a request.
    void push(const Waiter &waiter);
    /// Removes a request that no longer waits.
    void remove(const Waiter &waiter);
    /// Removes and returns the next request; std::nullopt if no account with waiting requests
    /// may send.
    ///
    /// \param pool Name of the pool whose usage meters in \p snapshot set the order.
    /// \param shares Decides which accounts may send.
    std::optional<std::uint64_t> pop(const Snapshot &snapshot, const std::string &pool,
                                     const SlotShares &shares, TimePoint now);
    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    using Backlog = std::set<std::pair<TimePoint, std::uint64_t>>;

    std::map<std::string, Backlog> m_accounts; // Only those with waiting requests.
    std::size_t m_size = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FAIRQUEUE_H
