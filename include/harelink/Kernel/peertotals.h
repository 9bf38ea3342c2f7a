//===- harelink/Kernel/peertotals.h - Totals over peers ---------*- C++ -*-===//
///
/// \file
/// Sums values that other daemons report. The values of a daemon that stops
/// reporting expire.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PEERTOTALS_H
#define HARELINK_KERNEL_PEERTOTALS_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Totals over all peers, by \p Key.
template <typename Key>
class PeerTotals
{
public:
    using Values = std::map<Key, std::int64_t>;

    /// \param clock must outlive the totals.
    explicit PeerTotals(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Replaces the values of \p host.
    ///
    /// \param ttl the period for which they are valid: four heartbeats, or more if the host
    ///     reports less often.
    void update(const std::string &host, Values values, Duration ttl = defaultTtl)
    {
        std::erase_if(values, [](const auto &value) { return value.second == 0; });
        m_hosts[host] = {m_clock.now() + ttl, std::move(values)};
    }

    /// Returns the totals that have changed since the last call. Recomputes them at most once
    /// per scanInterval and returns nothing in between.
    [[nodiscard]] std::vector<std::pair<Key, std::int64_t>> changes()
    {
        std::vector<std::pair<Key, std::int64_t>> changed;
        const TimePoint now = m_clock.now();
        if (now < m_nextScan) {
            return changed;
        }
        m_nextScan = now + scanInterval;
        std::erase_if(m_hosts, [now](const auto &entry) { return now > entry.second.until; });
        Values totals;
        for (const auto &[host, reported] : m_hosts) {
            for (const auto &[key, value] : reported.values) {
                totals[key] += value;
            }
        }
        for (const auto &[key, value] : m_totals) {
            if (!totals.contains(key)) {
                changed.emplace_back(key, 0);
            }
        }
        for (const auto &[key, value] : totals) {
            const auto before = m_totals.find(key);
            if (before == m_totals.end() || before->second != value) {
                changed.emplace_back(key, value);
            }
        }
        m_totals = std::move(totals);
        return changed;
    }

private:
    /// Values are valid for four heartbeats by default.
    static constexpr std::chrono::milliseconds defaultTtl{1000};
    static constexpr std::chrono::milliseconds scanInterval{50};

    struct HostValues
    {
        TimePoint until;
        Values values;
    };

    const Clock &m_clock;
    TimePoint m_nextScan = TimePoint::min();
    std::map<std::string, HostValues> m_hosts;
    Values m_totals; ///< As last reported by changes(); without zeros.
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERTOTALS_H
