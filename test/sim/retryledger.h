//===- retryledger.h - Repeats over all hosts -------------------*- C++ -*-===//
///
/// \file
/// Compares the repeats that arrive at the endpoints of a pool, from all hosts together, with
/// the retry budget of the pool.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_RETRYLEDGER_H
#define HARELINK_TEST_SIM_RETRYLEDGER_H

#include "harelink/Kernel/retrybudget.h"
#include "harelink/Kernel/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink::sim {

/// The repeats to a pool in a window, and what the budget allows.
struct RetryUse
{
    std::string pool;
    TimePoint begin;
    std::size_t repeats = 0;
    std::size_t requests = 0;
    double allowed = 0;
    /// Returns the part of the budget that is used; above 1, it is exceeded.
    [[nodiscard]] double use() const { return static_cast<double>(repeats) / allowed; }
};

/// The requests for some pools, and their arrivals at endpoints.
class RetryLedger
{
public:
    /// A caller has sent a request for \p pool.
    void requestSent(const std::string &pool, TimePoint now);
    /// A call of \p request has arrived at an endpoint of \p pool, which may reject it.
    void arrived(const std::string &pool, const RequestId &request, TimePoint now);
    /// Returns the window, of any position, with the largest use of the budget; std::nullopt if
    /// there were no repeats. The requests of a window are those in it, in the window before it
    /// or in the one half a window before it, whichever are most.
    [[nodiscard]] std::optional<RetryUse> worstWindow(const RetryBudgetOptions &budget) const;

private:
    struct Pool
    {
        std::vector<TimePoint> requests;
        std::vector<TimePoint> repeats;
        std::map<RequestId, int> arrivals;
    };

    std::map<std::string, Pool> m_pools;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_RETRYLEDGER_H
