//===- loadreport.cpp - Results of a load simulation ----------------------===//

#include "loadreport.h"

#include <algorithm>
#include <cassert>

namespace harelink::sim {
namespace {

Duration quantileOf(std::vector<Duration> times, double quantile)
{
    if (times.empty()) {
        return {};
    }
    std::sort(times.begin(), times.end());
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
    return times[index];
}

double secondsAt(const std::vector<double> &seconds, std::uint32_t stage)
{
    return stage < seconds.size() ? seconds[stage] : 0;
}

} // namespace

void LoadReport::submitted(const RequestArrived &event)
{
    Record &record = m_records[event.id];
    record.account = event.account;
    record.arrivedAt = m_queue.now();
    ++m_accounts[event.account].sent;
}

void LoadReport::answered(const AnswerCaller &action)
{
    Record &record = m_records.at(action.id);
    assert(!record.answered && "a caller must be answered exactly once");
    record.answered = true;
    if (!record.counted) {
        return;
    }
    AccountResult &account = m_accounts[record.account];
    const Duration elapsed = m_queue.now() - record.arrivedAt;
    switch (action.outcome) {
    case Outcome::Completed:
        record.attained = elapsed <= action.allowed;
        account.attained += record.attained ? 1 : 0;
        m_completions.push_back(elapsed);
        return;
    case Outcome::NotRun:
        ++account.notRun;
        m_refusals.push_back(elapsed);
        return;
    case Outcome::RanIncomplete:
    case Outcome::Unknown:
        ++account.ran;
        return;
    }
}

void LoadReport::used(const CallId &call, Duration busy)
{
    Record &record = m_records.at(call.request);
    if (record.secondsByStage.size() <= call.stage) {
        record.secondsByStage.resize(call.stage + 1);
    }
    const double seconds = std::chrono::duration<double>(busy).count();
    record.secondsByStage[call.stage] += seconds;
    if (record.counted) {
        m_accounts[record.account].seconds += seconds;
    }
}

void LoadReport::restart()
{
    for (auto &[id, record] : m_records) {
        record.counted = false;
    }
    m_accounts.clear();
    m_refusals.clear();
    m_completions.clear();
}

AccountResult LoadReport::total() const
{
    AccountResult sum;
    for (const auto &[name, account] : m_accounts) {
        sum.sent += account.sent;
        sum.attained += account.attained;
        sum.notRun += account.notRun;
        sum.ran += account.ran;
        sum.seconds += account.seconds;
    }
    return sum;
}

double LoadReport::secondsOf(std::uint32_t stage) const
{
    double sum = 0;
    for (const auto &[id, record] : m_records) {
        sum += record.counted ? secondsAt(record.secondsByStage, stage) : 0;
    }
    return sum;
}

double LoadReport::wastedOf(std::uint32_t stage) const
{
    double sum = 0;
    for (const auto &[id, record] : m_records) {
        sum += record.counted && !record.attained ? secondsAt(record.secondsByStage, stage) : 0;
    }
    return sum;
}

Duration LoadReport::timeToRefuse(double quantile) const
{
    return quantileOf(m_refusals, quantile);
}

Duration LoadReport::timeToComplete(double quantile) const
{
    return quantileOf(m_completions, quantile);
}

double jainIndex(const std::vector<double> &shares)
{
    double sum = 0;
    double squares = 0;
    for (const double share : shares) {
        sum += share;
        squares += share * share;
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(shares.size()) * squares);
}

} // namespace harelink::sim
