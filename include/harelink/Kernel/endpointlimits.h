//===- harelink/Kernel/endpointlimits.h - Announced rate limits -*- C++ -*-===//
///
/// \file
/// Tracks the rate limits that endpoints have announced to this daemon or its peers.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_ENDPOINTLIMITS_H
#define HARELINK_KERNEL_ENDPOINTLIMITS_H

#include "harelink/Support/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// The last announcement of an endpoint's rate limit.
struct LimitAnnouncement
{
    std::optional<double> perSecond; ///< Requests from all hosts; std::nullopt if lifted.
    TimePoint at;                    ///< Not later than the answer that contains it.
};

/// As an event: an endpoint has announced or lifted its limit. As an output: its limit has
/// changed.
struct EndpointLimitAnnounced
{
    std::string endpoint;
    LimitAnnouncement announcement;
};

/// A limit as reported to peers.
struct EndpointLimitReport
{
    std::string endpoint;
    std::optional<double> perSecond; ///< As in LimitAnnouncement.
    Duration age{};                  ///< Of the announcement when the report is sent.
};

/// Stores the newest announcement of each endpoint that has announced a limit. The later of two
/// announcements wins, regardless of the order in which they are recorded.
class EndpointLimits
{
public:
    /// Records an announcement of \p endpoint to this host. Returns whether its limit has
    /// changed.
    bool record(const std::string &endpoint, const LimitAnnouncement &announcement, TimePoint now);
    /// Records a report of a peer. Returns whether the limit has changed.
    bool recordReport(const EndpointLimitReport &report, TimePoint now);
    /// Returns the reports for peers: the limits in force, and those that were lifted recently.
    /// If there are too many, only the newest announcements are returned.
    [[nodiscard]] std::vector<EndpointLimitReport> reports(TimePoint now) const;
    /// Removes the endpoints for which \p isDeclared returns false.
    template <typename IsDeclared>
    void keepOnly(const IsDeclared &isDeclared)
    {
        std::erase_if(m_entries,
                      [&isDeclared](const auto &entry) { return !isDeclared(entry.first); });
    }
    /// Returns the limits in force.
    [[nodiscard]] std::vector<EndpointLimitAnnounced> inForce() const;

private:
    struct Entry
    {
        LimitAnnouncement announcement;
        TimePoint reportUntil; ///< If the limit is lifted: end of reports to peers.
    };

    bool replace(Entry &entry, const LimitAnnouncement &announcement, TimePoint now);

    std::map<std::string, Entry> m_entries;
};

} // namespace harelink

#endif // HARELINK_KERNEL_ENDPOINTLIMITS_H
