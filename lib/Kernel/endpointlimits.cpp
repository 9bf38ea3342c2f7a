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

bool EndpointLimits::record(const std::string &endpoint, const LimitAnnouncement &announcement,
                            TimePoint now)
{
    const auto known = m_entries.find(endpoint);
    if (known != m_entries.end()) {
        return announcement.at >= known->second.announcement.at
               && replace(known->second, announcement, now);
    }
    if (!announcement.perSecond) {
        return false; // It never stated one.
    }
    m_entries.emplace(endpoint, Entry{announcement, now});
    return true;
}

bool EndpointLimits::recordReport(const EndpointLimitReport &report, TimePoint now)
{
    const LimitAnnouncement announcement{report.perSecond, now - report.age};
    const auto known = m_entries.find(report.endpoint);
    if (known == m_entries.end()) {
        return report.age <= longestReportAge && record(report.endpoint, announcement, now);
    }
    Entry &entry = known->second;
    if (announcement.at > entry.announcement.at + reportMargin) {
        return replace(entry, announcement, now);
    }
    if (!entry.announcement.perSecond && report.perSecond) {
        entry.reportUntil = now + liftedTelling;
    }
    return false;
}

bool EndpointLimits::replace(Entry &entry, const LimitAnnouncement &announcement, TimePoint now)
{
    const bool isChange = entry.announcement.perSecond != announcement.perSecond;
    entry.announcement = announcement;
    if (isChange && !announcement.perSecond) {
        entry.reportUntil = now + liftedTelling;
    }
    return isChange;
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
    if (reports.size() > mostReports) {
        std::nth_element(reports.begin(), reports.begin() + mostReports, reports.end(),
                         [](const auto &a, const auto &b) { return a.age < b.age; });
        reports.resize(mostReports);
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
