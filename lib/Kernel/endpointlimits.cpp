//===- endpointlimits.cpp - Announced rate limits -------------------------===//

#include "harelink/Kernel/endpointlimits.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// How long peers are informed that a limit was lifted; restarted if a peer reports an older
/// limit.
constexpr milliseconds liftedReportPeriod{10'000};
/// Maximum age of the announcement in a peer's report of an unknown limit; older ones are ignored.
constexpr milliseconds maxReportAge{10'000};
/// Network delay makes a report look newer than the announcement that it repeats, by up to this.
constexpr milliseconds reportDelayMargin{200};
/// Maximum number of reports in a heartbeat.
constexpr std::size_t maxReports = 64;

} // namespace

bool EndpointLimits::record(const std::string &endpoint, const LimitAnnouncement &announcement,
                            TimePoint now)
{
    const auto known = m_entries.find(endpoint);
    if (known != m_entries.end()) {
        return announcement.at >= known->second.announcement.at
               && replace(known->second, announcement, now);
    }
    if (!announcement.perSecond) {
        return false; // It never announced one.
    }
    m_entries.emplace(endpoint, Entry{announcement, now});
    return true;
}

bool EndpointLimits::recordReport(const EndpointLimitReport &report, TimePoint now)
{
    const LimitAnnouncement announcement{report.perSecond, now - report.age};
    const auto known = m_entries.find(report.endpoint);
    if (known == m_entries.end()) {
        return report.age <= maxReportAge && record(report.endpoint, announcement, now);
    }
    Entry &entry = known->second;
    if (announcement.at > entry.announcement.at + reportDelayMargin) {
        return replace(entry, announcement, now);
    }
    if (!entry.announcement.perSecond && report.perSecond) {
        entry.reportUntil = now + liftedReportPeriod;
    }
    return false;
}

bool EndpointLimits::replace(Entry &entry, const LimitAnnouncement &announcement, TimePoint now)
{
    const bool hasChanged = entry.announcement.perSecond != announcement.perSecond;
    entry.announcement = announcement;
    if (hasChanged && !announcement.perSecond) {
        entry.reportUntil = now + liftedReportPeriod;
    }
    return hasChanged;
}

std::vector<EndpointLimitReport> EndpointLimits::reports(TimePoint now) const
{
    std::vector<EndpointLimitReport> reports;
    for (const auto &[endpoint, entry] : m_entries) {
        if (entry.announcement.perSecond || now < entry.reportUntil) {
            reports.push_back({endpoint, entry.announcement.perSecond,
                               std::max<Duration>(now - entry.announcement.at, Duration::zero())});
        }
    }
    if (reports.size() > maxReports) {
        std::nth_element(reports.begin(), reports.begin() + maxReports, reports.end(),
                         [](const auto &a, const auto &b) { return a.age < b.age; });
        reports.resize(maxReports);
    }
    return reports;
}

std::vector<EndpointLimitAnnounced> EndpointLimits::inForce() const
{
    std::vector<EndpointLimitAnnounced> limits;
    for (const auto &[endpoint, entry] : m_entries) {
        if (entry.announcement.perSecond) {
            limits.push_back({endpoint, entry.announcement});
        }
    }
    return limits;
}

} // namespace harelink
