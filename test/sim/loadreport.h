//===- loadreport.h - What became of a load ---------------------*- C++ -*-===//
///
/// \file
/// Counts what requests came to, by account, and where endpoints' time went.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_LOADREPORT_H
#define HARELINK_TEST_SIM_LOADREPORT_H

#include "fakes.h"

#include <map>
#include <string>
#include <vector>

namespace harelink::sim {

/// What one account's requests came to.
struct AccountResult
{
    int sent = 0;
    int attained = 0;   ///< Completed within the deadline.
    int notRun = 0;     ///< Refused, and nothing ran.
    int ran = 0;        ///< Incomplete or unknown: something ran for nothing.
    double seconds = 0; ///< Of endpoints' time.
    [[nodiscard]] double attainment() const
    {
        return sent == 0 ? 1 : static_cast<double>(attained) / sent;
    }
};

/// Counts a load.
class LoadReport
{
public:
    explicit LoadReport(const EventQueue &queue)
        : m_queue(queue)
    {
    }

    void submitted(const RequestArrived &event);
    void answered(const AnswerCaller &action);
    /// An endpoint's slot was held for \p busy on a call.
    void used(const CallId &call, Duration busy);

    /// Forgets what was counted, not the requests in progress.
    void restart();

    [[nodiscard]] const std::map<std::string, AccountResult> &accounts() const
    {
        return m_accounts;
    }
    [[nodiscard]] AccountResult total() const;
    /// Endpoints' seconds by stage index: all, and those of requests that did not attain.
    [[nodiscard]] double secondsOf(std::uint32_t stage) const;
    [[nodiscard]] double wastedOf(std::uint32_t stage) const;
    /// The time from arrival to a "not run", at \p quantile.
    [[nodiscard]] Duration timeToRefuse(double quantile) const;
    /// The time from arrival to a whole answer, at \p quantile.
    [[nodiscard]] Duration timeToComplete(double quantile) const;

private:
    struct Record
    {
        std::string account;
        TimePoint arrivedAt;
        std::vector<double> secondsByStage;
        bool answered = false;
        bool attained = false;
        bool counted = true; ///< Arrived since the last restart().
    };

    const EventQueue &m_queue;
    std::map<RequestId, Record> m_records;
    std::map<std::string, AccountResult> m_accounts;
    std::vector<Duration> m_refusals;
    std::vector<Duration> m_completions;
};

/// Jain's index of \p shares: 1 where all are equal, 1/n where one has all.
[[nodiscard]] double jainIndex(const std::vector<double> &shares);

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_LOADREPORT_H
