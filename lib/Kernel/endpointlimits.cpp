//===- endpointlimits.cpp - Stated rate limits ----------------------------===//

#include "harelink/Kernel/endpointlimits.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// How long peers are told that a limit is lifted; the same after a peer told an older one.
constexpr milliseconds liftedTelling{10'000};
/// A limit that nobody has stated for longer is not taken over from a peer.
constexpr milliseconds longestReportAge{10'000};
/// A report is newer by its way through the network than the statement that it repeats.
constexpr milliseconds reportMargin{200};
/// Reports in one heartbeat.
constexpr std::size_t mostReports = 64;

} // namespace

bool EndpointLimits::record(const std::string &endpoint, const LimitStatement &statement,
                            TimePoint now)
{
    const auto known = m_entries.find(endpoint);
    if (known != m_entries.end()) {
        return statement.at >= known->second.statement.at && replace(known->second, statement, now);
    }
    if (!statement.perSecond) {
        return false; // It never stated one.
    }
    m_entries.emplace(endpoint, Entry{statement, now});
    return true;
}

bool EndpointLimits::recordReport(const EndpointLimitReport &report, TimePoint now)
{
    const LimitStatement statement{report.perSecond, now - report.age};
    const auto known = m_entries.find(report.endpoint);
    if (known == m_entries.end()) {
        return report.age <= longestReportAge && record(report.endpoint, statement, now);
    }
    Entry &entry = known->second;
    if (statement.at > entry.statement.at + reportMargin) {
        return replace(entry, statement, now);
    }
    if (!entry.statement.perSecond && report.perSecond) {
        entry.tellUntil = now + liftedTelling;
    }
    return false;
}

bool EndpointLimits::replace(Entry &entry, const LimitStatement &statement, TimePoint now)
{
    const bool isChange = entry.statement.perSecond != statement.perSecond;
    entry.statement = statement;
    if (isChange && !statement.perSecond) {
        entry.tellUntil = now + liftedTelling;
    }
    return isChange;
}

std::vector<EndpointLimitReport> EndpointLimits::reports(TimePoint now) const
{
    std::vector<EndpointLimitReport> reports;
    for (const auto &[endpoint, entry] : m_entries) {
        if (entry.statement.perSecond || now < entry.tellUntil) {
            reports.push_back({endpoint, entry.statement.perSecond,
                               std::max<Duration>(now - entry.statement.at, Duration::zero())});
        }
    }
    if (reports.size() > mostReports) {
        std::nth_element(reports.begin(), reports.begin() + mostReports, reports.end(),
                         [](const auto &a, const auto &b) { return a.age < b.age; });
        reports.resize(mostReports);
    }
    return reports;
}

std::vector<EndpointLimitStated> EndpointLimits::inForce() const
{
    std::vector<EndpointLimitStated> limits;
    for (const auto &[endpoint, entry] : m_entries) {
        if (entry.statement.perSecond) {
            limits.push_back({endpoint, entry.statement});
        }
    }
    return limits;
}

} // namespace harelink
