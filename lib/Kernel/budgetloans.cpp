//===- budgetloans.cpp - Loans of retries ---------------------------------===//

#include "harelink/Kernel/budgetloans.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace harelink {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t peersPerRequest = 3;
constexpr milliseconds maxTerm{3000};
/// Limits of what is stored of messages. The names of pools are far shorter.
constexpr std::size_t maxPoolName = 256;
constexpr std::uint32_t maxRetriesRequested = 1000;
/// Maximum number of peers and pools whose newest request is known. Beyond it, all are forgotten;
/// then a duplicate request may be granted again, which withholds retries twice.
constexpr std::size_t maxSeen = 4096;
/// Maximum number of peers whose invalid fields are reported.
constexpr std::size_t maxReportedHosts = 1000;

} // namespace

milliseconds budgetloans::termFor(milliseconds window)
{
    return std::min(window, maxTerm);
}

double budgetloans::loanOf(double lendable, std::uint32_t requested)
{
    const double limited = std::min(lendable, static_cast<double>(requested));
    const double rounded = std::floor(limited / loanUnit) * loanUnit;
    return rounded >= minLoan ? rounded : 0;
}

BudgetLoans::BudgetLoans(const Clock &clock, milliseconds term, std::uint64_t seed)
    : m_clock(clock)
    , m_term(term)
    , m_random(seed)
{
}

std::vector<BudgetLoans::Send> BudgetLoans::request(const RetriesWanted &event,
                                                    std::vector<std::string> peers)
{
    dropOldRequests();
    const TimePoint now = m_clock.now();
    // Stamps are unique, so that a reply belongs to one request of one worker.
    m_lastStamp = std::max(std::chrono::duration_cast<microseconds>(now.time_since_epoch()),
                           m_lastStamp + microseconds(1));
    Pending pending{event.pool, event.worker, now, {}};
    std::vector<Send> sends;
    while (!peers.empty() && sends.size() < peersPerRequest) {
        std::swap(peers[m_random.below(peers.size())], peers.back());
        pending.hosts.push_back(peers.back());
        sends.push_back({peers.back(), {event.pool, budgetloans::retriesPerRequest, m_lastStamp}});
        peers.pop_back();
    }
    m_counters.requested += sends.size();
    if (!sends.empty()) {
        m_pending[m_lastStamp] = std::move(pending);
    }
    return sends;
}

void BudgetLoans::dropOldRequests()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_pending, [now](const auto &entry) {
        return now - entry.second.sentAt > budgetloans::replyTimeout;
    });
}

std::optional<LendRetries> BudgetLoans::handle(const std::string &host, Incarnation incarnation,
                                               const BudgetLoanRequest &request)
{
    if (request.pool.empty() || request.pool.size() > maxPoolName) {
        recordInvalid(host, "pool", request.pool.substr(0, maxPoolName));
        return std::nullopt;
    }
    if (request.retries == 0 || request.retries > maxRetriesRequested) {
        recordInvalid(host, "retries", fmt::format("{}", request.retries));
        return std::nullopt;
    }
    if (request.stamp < microseconds::zero()) {
        recordInvalid(host, "stamp_micros", fmt::format("{}", request.stamp.count()));
        return std::nullopt;
    }
    if (!isNewest(host, incarnation, request)) {
        return std::nullopt;
    }
    ++m_counters.received;
    return LendRetries{host, request};
}

/// Returns whether \p request is newer than the others of \p host for its pool, and remembers it.
bool BudgetLoans::isNewest(const std::string &host, Incarnation incarnation,
                           const BudgetLoanRequest &request)
{
    if (m_seen.size() >= maxSeen) {
        m_seen.clear();
    }
    Seen &seen = m_seen[{host, request.pool}];
    if (seen.incarnation == incarnation && request.stamp <= seen.stamp) {
        return false;
    }
    seen = {incarnation, request.stamp};
    return true;
}

std::optional<RetriesBorrowed> BudgetLoans::handle(const std::string &host, const BudgetLoan &loan)
{
    dropOldRequests();
    const auto found = m_pending.find(loan.stamp);
    if (found == m_pending.end() || found->second.pool != loan.pool
        || std::erase(found->second.hosts, host) == 0) {
        ++m_counters.late;
        return std::nullopt;
    }
    const bool isValid = loan.retries > 0 && loan.retries <= budgetloans::retriesPerRequest;
    if (!isValid) {
        recordInvalid(host, "retries", fmt::format("{}", loan.retries));
        return std::nullopt;
    }
    ++m_counters.taken;
    const Pending &pending = found->second;
    return RetriesBorrowed{pending.worker,
                           host,
                           loan.pool,
                           loan.retries,
                           pending.sentAt + m_term,
                           m_clock.now() - pending.sentAt};
}

void BudgetLoans::recordInvalid(const std::string &host, const char *field, std::string value)
{
    ++m_counters.invalid;
    if (m_reportedHosts.size() < maxReportedHosts && m_reportedHosts.insert(host).second) {
        m_invalidFields.push_back({host, field, std::move(value)});
    }
}

} // namespace harelink
