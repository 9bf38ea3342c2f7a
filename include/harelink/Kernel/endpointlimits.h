//===- harelink/Kernel/endpointlimits.h - Stated rate limits ----*- C++ -*-===//
///
/// \file
/// The rate limits that endpoints have stated, as far as this daemon knows.
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

/// What an endpoint last said of its rate limit.
struct LimitAnnouncement
{
    std::optional<double> perSecond; ///< Requests from all hosts; absent once it is lifted.
    TimePoint at;                    ///< Not later than the answer that says so was made.
};

/// Event: an endpoint has stated or lifted its limit. Output: its limit is another one now.
struct EndpointLimitAnnounced
{
    std::string endpoint;
    LimitAnnouncement announcement;
};

/// What a host tells its peers of a limit.
struct EndpointLimitReport
{
    std::string endpoint;
    std::optional<double> perSecond; ///< As in LimitAnnouncement.
    Duration age{};                  ///< Of the statement, as of the sending.
};

/// The newest statement of each endpoint that has stated a limit. The later one holds,
/// whatever the order in which they are recorded.
class EndpointLimits
{
public:
    /// Records a statement that \p endpoint has made to this host; whether its limit is
    /// another one now.
    bool record(const std::string &endpoint, const LimitAnnouncement &announcement, TimePoint now);
    /// Records what a peer tells; whether the limit is another one now.
    bool recordReport(const EndpointLimitReport &report, TimePoint now);
    /// What to tell peers: the limits in force, and those that were lifted a short time ago.
    /// Bounded; the newest statements go first.
    [[nodiscard]] std::vector<EndpointLimitReport> reports(TimePoint now) const;
    /// Forgets the endpoints for which \p isDeclared is false.
    template <typename IsDeclared>
    void keepOnly(const IsDeclared &isDeclared)
    {
        std::erase_if(m_entries,
                      [&isDeclared](const auto &entry) { return !isDeclared(entry.first); });
    }
    /// The limits in force.
    [[nodiscard]] std::vector<EndpointLimitAnnounced> inForce() const;

private:
    struct Entry
    {
        LimitAnnouncement announcement;
        TimePoint reportUntil; ///< Where the limit is lifted.
    };

    bool replace(Entry &entry, const LimitAnnouncement &announcement, TimePoint now);

    std::map<std::string, Entry> m_entries;
};

} // namespace harelink

#endif // HARELINK_KERNEL_ENDPOINTLIMITS_H
