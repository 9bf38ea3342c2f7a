//===- harelink/Kernel/fairqueue.h - Weighted fair queue --------*- C++ -*-===//
///
/// \file
/// The queue of one pool on one worker. Requests of more urgent priority classes go first.
/// Within a class, the account with the lowest recent usage relative to its weight goes
/// first; within an account, the request with the earliest due time.
///
/// Bursts of urgent requests, three times the rate of a route for seconds, must not starve the
/// others: each class with waiting requests has a guaranteed tenth of the dispatches, and an
/// account with waiting requests that has used less than half of its fair share goes first.
/// Both have no effect while all waiting requests are of one class. What is owed to a class is
/// cancelled when its last request leaves, so that a class that expired in the queue does not
/// displace urgent requests later.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_FAIRQUEUE_H
#define HARELINK_KERNEL_FAIRQUEUE_H

#include "harelink/Kernel/guaranteedshare.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/slotshares.h"
#include "harelink/Kernel/snapshot.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Orders the requests for one pool; requests are identified by sequence number.
class FairQueue
{
public:
    /// A waiting request.
    struct Waiter
    {
        std::string account;
        TimePoint due; ///< The earliest one of an account and class goes first.
        std::uint64_t sequence = 0;
        int priority = 0; ///< 0 is the most urgent.
    };
    /// The request that goes next.
    struct Selection
    {
        std::uint64_t sequence = 0;
        /// Because of which it precedes more urgent requests.
        Guarantee guarantee = Guarantee::None;
    };

    explicit FairQueue(PriorityOptions options = {})
        : m_options(options)
    {
    }

    /// Adds a request.
    void push(const Waiter &waiter);
    /// Removes a request that no longer waits.
    void remove(const Waiter &waiter);
    /// Removes and returns the next request; std::nullopt if no account with waiting requests
    /// may send. It may be added again if it cannot be sent.
    ///
    /// \param pool Name of the pool whose usage meters in \p snapshot set the order.
    /// \param shares Decides which accounts may send.
    std::optional<Selection> pop(const Snapshot &snapshot, const std::string &pool,
                                 const SlotShares &shares, TimePoint now);
    /// Records that \p waiter was sent after pop() returned it with \p guarantee. Only requests
    /// that are sent count for the guaranteed minimums: a full pool is polled often, and the
    /// requests returned then are added again.
    void recordDispatch(const Waiter &waiter, Guarantee guarantee);
    /// Records that each request that pop() returned so far was sent, was added again, or failed:
    /// nothing is owed any more to a class without waiting requests.
    void endRound();
    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// Returns the number of waiting requests by class.
    [[nodiscard]] const std::array<std::size_t, priorityClassCount> &sizeByClass() const
    {
        return m_sizeByClass;
    }

private:
    using Backlog = std::set<std::pair<TimePoint, std::uint64_t>>;
    using Backlogs = std::array<Backlog, priorityClassCount>;
    /// An account that may send.
    struct Candidate
    {
        const std::string *account = nullptr;
        const Backlogs *backlogs = nullptr;
        double usage = 0;
    };
    /// The account and class of the request that goes next.
    struct Choice
    {
        const Candidate *candidate = nullptr;
        std::size_t priorityClass = 0;
        Guarantee guarantee = Guarantee::None;
    };

    [[nodiscard]] std::vector<Candidate> candidates(const Snapshot &snapshot,
                                                    const std::string &pool,
                                                    const SlotShares &shares, TimePoint now) const;
    [[nodiscard]] std::optional<Choice> chooseByMinimum(const std::vector<Candidate> &candidates,
                                                        std::size_t topClass) const;
    void cancelIfEmpty(std::size_t priorityClass);
    void erase(const std::string &account, std::size_t priorityClass,
               const Backlog::value_type &entry);

    PriorityOptions m_options;
    std::map<std::string, Backlogs> m_accounts; // Only those with waiting requests.
    std::array<std::size_t, priorityClassCount> m_sizeByClass{};
    std::array<GuaranteedShare, priorityClassCount> m_classShares;
    std::size_t m_size = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FAIRQUEUE_H
