//===- harelink/Kernel/piecerouter.h - Routing of pieces --------*- C++ -*-===//
///
/// \file
/// Sends the pieces of this daemon's requests to the batchers of their pools, and
/// resubmits them if no outcome arrives. Used on the control thread only.
///
/// Alternatives considered for who forms the calls:
/// - Each daemon on its own: one daemon has too few pieces to fill a call in time.
/// - One batcher per endpoint: daemons choose the endpoint by information up to 250 ms
///   old, and a piece waits at a busy endpoint while another one is free
///   (docs/DESIGN.md has the figures).
/// - One batcher per pool, selected by rendezvous hashing over the live high-capacity daemons:
///   each piece goes to the endpoint that is free first. This is implemented here; large
///   pools have one batcher per data centre. The loss of a batcher delays its pool by
///   batcherTimeout.
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

/// Orders to send to the batcher `host`, which may be this daemon.
struct OutgoingPieceOrders
{
    std::string host;
    PieceOrders orders;
};

/// Submits pieces to batchers, and tracks them until they complete.
class PieceRouter
{
public:
    /// \p clock and \p membership must outlive the router.
    PieceRouter(const Clock &clock, const Membership &membership, const RetryBudgetOptions &budget);

    /// Orders pieces of one request from \p pool.
    void submit(const std::string &pool, const std::vector<PieceOrder> &orders,
                const Snapshot &snapshot);
    /// Frees results that are no longer needed.
    void free(const std::vector<std::string> &handles, const Snapshot &snapshot);
    /// Cancels the pieces of \p request.
    void withdraw(const RequestId &request);
    /// Handles the outcomes of orders.
    void handle(const PieceOutcomes &outcomes, const Snapshot &snapshot);
    /// Records the reported load of a pool.
    static void handle(const PieceBacklog &backlog, const Snapshot &snapshot, TimePoint now);
    /// Resubmits the pieces that are overdue or whose batcher is unreachable.
    void tick(const Snapshot &snapshot);
    /// Returns when tick() is due next.
    [[nodiscard]] TimePoint nextTick() const;

    /// These return what has accumulated since they were last called.
    [[nodiscard]] std::vector<OutgoingPieceOrders> drainOrders()
    {
        return std::exchange(m_orders, {});
    }
    [[nodiscard]] std::vector<PieceOutcome> drainOutcomes()
    {
        return std::exchange(m_outcomes, {});
    }
    /// Withdrawals, by batcher.
    [[nodiscard]] std::map<std::string, PieceWithdrawal> drainWithdrawals()
    {
        return std::exchange(m_withdrawals, {});
    }
    /// Results to free, by batcher.
    [[nodiscard]] std::vector<std::pair<std::string, PieceFrees>> drainFrees()
    {
        return std::exchange(m_frees, {});
    }
    /// Total number of resubmitted pieces.
    [[nodiscard]] std::uint64_t resubmissions() const { return m_resubmissions; }

private:
    /// A piece whose outcome is not known yet.
    struct Pending
    {
        std::string pool;
        std::string partition; ///< Where it was ordered: the pool, or a partition of it.
        PieceOrder order;
        TimePoint objective;
        TimePoint deadline;
        std::string batcher;
        TimePoint sentAt;
        TimePoint checkAt;
        std::uint32_t attempts = 0;
        std::uint32_t handBacks = 0; ///< By batchers that had lost the path.
    };
    /// A result that belongs to a request of this daemon.
    struct Result
    {
        std::string partition; ///< As in Pending.
        TimePoint completedAt;
    };

    const std::string &batcherOf(const std::string &partition, const Snapshot &snapshot);
    [[nodiscard]] bool reaches(const std::string &host, const std::string &partition,
                               const Snapshot &snapshot) const;
    [[nodiscard]] std::vector<std::string> batcherCandidates(const std::string &partition,
                                                             const Snapshot &snapshot) const;
    [[nodiscard]] std::string findBatcher(const std::string &partition,
                                          const Snapshot &snapshot) const;
    void dispatch(std::vector<Pending> group, const Snapshot &snapshot);
    [[nodiscard]] bool mayResubmit(const Pending &pending, const Snapshot &snapshot);
    void resubmit(const PieceId &id, PieceFault fault, const Snapshot &snapshot);
    void reportFault(const PieceId &id, PieceFault fault);
    RetryBudget &budgetOf(const std::string &pool);
    void countRequest(const std::string &pool, const RequestId &request);
    void dropOldRecords();

    /// The cached batcher of a partition, with the version of the host lists it was selected from.
    struct Batcher
    {
        std::string host;
        TimePoint selectedAt;
        std::uint64_t listsVersion = 0;
    };

    const Clock &m_clock;
    const Membership &m_membership;
    RetryBudgetOptions m_budgetOptions;
    std::map<std::string, RetryBudget> m_budgets; ///< By pool.
    /// When each request ordered pieces from a pool for the first time.
    std::map<std::pair<RequestId, std::string>, TimePoint> m_countedRequests;
    std::map<PieceId, Pending> m_pending;
    std::map<std::string, Result> m_results; ///< By handle.
    std::vector<OutgoingPieceOrders> m_orders;
    std::vector<PieceOutcome> m_outcomes;
    std::map<std::string, PieceWithdrawal> m_withdrawals;
    std::vector<std::pair<std::string, PieceFrees>> m_frees;
    TimePoint m_nextSweep = TimePoint::min();
    std::uint64_t m_resubmissions = 0;
    std::map<std::string, Batcher> m_batchers; ///< By partition.
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEROUTER_H
