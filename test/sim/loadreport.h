//===- loadreport.h - Results of a load simulation --------------*- C++ -*-===//
///
/// \file
/// Counts request outcomes by account, and the endpoint time used by stage.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_LOADREPORT_H
#define HARELINK_TEST_SIM_LOADREPORT_H

#include "fakes.h"

#include <map>
#include <string>
#include <vector>

namespace harelink::sim {

/// Outcomes of one account's requests.
struct AccountResult
{
    int sent = 0;
    int attained = 0;   ///< Completed within the deadline.
    int notRun = 0;     ///< Refused, and nothing ran.
    int ran = 0;        ///< Incomplete or unknown: endpoint time was used without an answer.
    double seconds = 0; ///< Endpoint time used.
    [[nodiscard]] double attainment() const
    {
        return sent == 0 ? 1 : static_cast<double>(attained) / sent;
    }
};

/// Collects the results of a load simulation.
class LoadReport
{
public:
    explicit LoadReport(const EventQueue &queue)
        : m_queue(queue)
    {
    }

    void submitted(const RequestArrived &event);
    void answered(const AnswerCaller &action);
    /// Records that a call held an endpoint's slot for \p busy.
    void used(const CallId &call, Duration busy);

    /// Resets all counts. Requests in progress are still tracked, but not counted.
    void restart();

    [[nodiscard]] const std::map<std::string, AccountResult> &accounts() const
    {
        return m_accounts;
    }
    [[nodiscard]] AccountResult total() const;
    /// Returns the endpoint time, in seconds, used for \p stage: of all requests, and of
    /// requests that missed their objective.
    [[nodiscard]] double secondsOf(std::uint32_t stage) const;
    [[nodiscard]] double wastedOf(std::uint32_t stage) const;
    /// Returns the \p quantile of the time from arrival to a "not run" answer.
    [[nodiscard]] Duration timeToRefuse(double quantile) const;
    /// Returns the \p quantile of the time from arrival to a completed answer.
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

/// Returns Jain's fairness index of \p shares: 1 if all are equal, 1/n if one has all.
[[nodiscard]] double jainIndex(const std::vector<double> &shares);

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_LOADREPORT_H
