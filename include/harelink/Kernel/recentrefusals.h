//===- harelink/Kernel/recentrefusals.h - Refusals by class -----*- C++ -*-===//
///
/// \file
/// Remembers when requests of each priority class were last refused at admission. Requests
/// that are predicted to miss their objective are admitted late only into idle slots; while
/// more urgent requests are refused, there are none to give away.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RECENTREFUSALS_H
#define HARELINK_KERNEL_RECENTREFUSALS_H

#include "harelink/Kernel/pieces.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace harelink {

/// The times of the last refusals, by priority class.
class RecentRefusals
{
public:
    /// How long a refusal counts: a refused caller retries after 0.1 s at the earliest, and
    /// forecasts change within about a second.
    static constexpr std::chrono::milliseconds period{1000};

    /// Records the refusal of a request with \p priority.
    void record(int priority, TimePoint now) { m_refusedAt[priorityClass(priority)] = now; }
    /// Returns whether a request of a more urgent class than that of \p priority was refused
    /// within the period.
    [[nodiscard]] bool hasMoreUrgent(int priority, TimePoint now) const
    {
        return std::any_of(m_refusedAt.begin(), m_refusedAt.begin() + priorityClass(priority),
                           [now](const std::optional<TimePoint> &refusedAt) {
                               return refusedAt && now - *refusedAt < period;
                           });
    }

private:
    std::array<std::optional<TimePoint>, priorityClassCount> m_refusedAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_RECENTREFUSALS_H
