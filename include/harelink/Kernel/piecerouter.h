//===- harelink/Kernel/piecerouter.h - Where pieces are made ----*- C++ -*-===//
///
/// \file
/// Orders the pieces of this daemon's requests at the batchers of their pools, and
/// orders them again where nothing comes of it. Belongs to the control thread.
///
/// Options weighed for who forms the calls: each daemon alone (a daemon sees too few
/// pieces to fill a call in time); one batcher an endpoint (daemons choose the endpoint
/// by what they heard up to 250 ms ago, and a piece waits at a busy one while another
/// is free: docs/DESIGN.md has the figures); one batcher a pool, by rendezvous hashing
/// over the live able daemons, which gives a piece to whichever endpoint is free first. The
/// last is what stands here; a large pool has one in each data centre. Its loss holds a
/// pool up for batcherSilence.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEROUTER_H
#define HARELINK_KERNEL_PIECEROUTER_H

#include "harelink/Kernel/membership.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/retrybudget.h"
#include "harelink/Kernel/snapshot.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Orders for the batcher \p host, which may be this daemon itself.
struct OutgoingPieceOrders
{
    std::string host;
    PieceOrders orders;
};

/// The router.
class PieceRouter
{
public:
    /// \param clock and \p membership outlive the router.
    PieceRouter(const Clock &clock, const Membership &membership, const RetryBudgetOptions &budget);

    /// Orders pieces of one request at \p pool.
    void submit(const std::string &pool, const std::vector<PieceOrder> &orders,
                const Snapshot &snapshot);
    /// These results are no longer needed.
    void free(const std::vector<std::string> &handles, const Snapshot &snapshot);
    /// The pieces of \p request are no longer wanted.
    void withdraw(const RequestId &request);
    /// Takes in what became of orders.
    void handle(const PieceOutcomes &outcomes, const Snapshot &snapshot);
    /// Takes in how busy a pool is.
    static void handle(const PieceBacklog &backlog, const Snapshot &snapshot, TimePoint now);
    /// Orders again what has waited too long.
    void tick(const Snapshot &snapshot);
    [[nodiscard]] TimePoint nextTick() const;

    /// What came up since the last call.
    [[nodiscard]] std::vector<OutgoingPieceOrders> drainOrders()
    {
        return std::exchange(m_sends, {});
    }
    [[nodiscard]] std::vector<PieceOutcome> drainOutcomes() { return std::exchange(m_done, {}); }
    /// Withdrawals by host.
    [[nodiscard]] std::map<std::string, PieceWithdrawal> drainWithdrawals()
    {
        return std::exchange(m_withdrawals, {});
    }
    /// Results to be freed, by host.
    [[nodiscard]] std::vector<std::pair<std::string, PieceFrees>> drainFrees()
    {
        return std::exchange(m_frees, {});
    }
    /// How often a piece was ordered again.
    [[nodiscard]] std::uint64_t resubmissions() const { return m_reorders; }

private:
    struct Pending
    {
        std::string pool;
        std::string part; ///< Where it is ordered: the pool, or its part.
        PieceOrder order;
        TimePoint wanted;
        TimePoint due;
        std::string batcher;
        TimePoint orderedAt;
        TimePoint checkAt;
        std::uint32_t attempts = 0;
    };
    /// A result that some request of this daemon has.
    struct Result
    {
        std::string part; ///< As in Pending.
        TimePoint madeAt;
    };

    const std::string &batcherOf(const std::string &part, const Snapshot &snapshot);
    [[nodiscard]] std::string findBatcher(const std::string &part, const Snapshot &snapshot) const;
    void place(std::vector<Pending> group, const Snapshot &snapshot);
    [[nodiscard]] bool mayReorder(const Pending &pending, const Snapshot &snapshot);
    void reorder(const PieceId &id, PieceFault fault, const Snapshot &snapshot);
    void finish(const PieceId &id, PieceFault fault);
    RetryBudget &budgetOf(const std::string &pool);
    void forgetOldResults();

    /// The daemon that batches for a part, as of a moment and of the lists of hosts then.
    struct Batcher
    {
        std::string host;
        TimePoint foundAt;
        std::uint64_t listsVersion = 0;
    };

    const Clock &m_clock;
    const Membership &m_membership;
    RetryBudgetOptions m_budgetOptions;
    std::map<std::string, RetryBudget> m_budgets; ///< By pool.
    std::map<PieceId, Pending> m_pending;
    std::map<std::string, Result> m_results; ///< By handle.
    std::vector<OutgoingPieceOrders> m_sends;
    std::vector<PieceOutcome> m_done;
    std::map<std::string, PieceWithdrawal> m_withdrawals;
    std::vector<std::pair<std::string, PieceFrees>> m_frees;
    TimePoint m_nextSweep = TimePoint::min();
    std::uint64_t m_reorders = 0;
    std::map<std::string, Batcher> m_batchers; ///< By part.
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEROUTER_H
