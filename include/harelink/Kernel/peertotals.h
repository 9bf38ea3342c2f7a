//===- harelink/Kernel/peertotals.h - Sums of what peers told ---*- C++ -*-===//
///
/// \file
/// Sums up figures that the other daemons last told of. What a silent daemon told
/// is forgotten.
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

/// The sums, by \p Key.
template <typename Key>
class PeerTotals
{
public:
    using Values = std::map<Key, std::int64_t>;

    /// \param clock outlives this.
    explicit PeerTotals(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Takes in what \p host told; it replaces what that host told before.
    ///
    /// \param life how long it counts: four heartbeats, or more where it comes less often.
    void update(const std::string &host, Values figures, Duration life = tellingLife)
    {
        std::erase_if(figures, [](const auto &figure) { return figure.second == 0; });
        m_hosts[host] = {m_clock.now() + life, std::move(figures)};
    }

    /// The sums that have changed since the last call; looks not too often.
    [[nodiscard]] std::vector<std::pair<Key, std::int64_t>> changes()
    {
        std::vector<std::pair<Key, std::int64_t>> changed;
        const TimePoint now = m_clock.now();
        if (now < m_nextLook) {
            return changed;
        }
        m_nextLook = now + lookInterval;
        std::erase_if(m_hosts, [now](const auto &entry) { return now > entry.second.until; });
        Values totals;
        for (const auto &[host, told] : m_hosts) {
            for (const auto &[key, figure] : told.figures) {
                totals[key] += figure;
            }
        }
        for (const auto &[key, figure] : m_totals) {
            if (!totals.contains(key)) {
                changed.emplace_back(key, 0);
            }
        }
        for (const auto &[key, figure] : totals) {
            const auto before = m_totals.find(key);
            if (before == m_totals.end() || before->second != figure) {
                changed.emplace_back(key, figure);
            }
        }
        m_totals = std::move(totals);
        return changed;
    }

private:
    /// What a daemon told counts this long: four heartbeats.
    static constexpr std::chrono::milliseconds tellingLife{1000};
    static constexpr std::chrono::milliseconds lookInterval{50};

    struct Told
    {
        TimePoint until;
        Values figures;
    };

    const Clock &m_clock;
    TimePoint m_nextLook = TimePoint::min();
    std::map<std::string, Told> m_hosts;
    Values m_totals; // As given out; without zeros.
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERTOTALS_H
