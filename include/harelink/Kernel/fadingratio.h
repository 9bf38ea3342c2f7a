//===- harelink/Kernel/fadingratio.h - Learned ratio ------------*- C++ -*-===//
///
/// \file
/// A learned ratio of measured to predicted values that returns to 1 without new samples: what
/// was learned in an outage must not refuse the work that would correct it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_FADINGRATIO_H
#define HARELINK_KERNEL_FADINGRATIO_H

#include "harelink/Support/clock.h"

#include <algorithm>
#include <cmath>

namespace harelink {

/// A moving average of samples around 1 that fades.
class FadingRatio
{
public:
    /// The ratio fades from this time after the last sample on: at low rates too, samples of work
    /// under way are closer.
    static constexpr std::chrono::seconds gracePeriod{2};
    /// Half of the difference to 1 is forgotten in this period.
    static constexpr std::chrono::seconds halfLife{5};

    /// Returns the ratio at \p now.
    [[nodiscard]] double value(TimePoint now) const
    {
        const double lives =
            std::chrono::duration<double>(now - m_sampledAt - gracePeriod) / halfLife;
        return 1 + (m_value - 1) * std::exp2(-std::max(0.0, lives));
    }
    /// Moves the ratio towards \p sample by \p weight, and limits it to \p min and \p max.
    void add(double sample, double weight, double min, double max, TimePoint now)
    {
        const double before = value(now);
        m_value = std::clamp(before + (sample - before) * weight, min, max);
        m_sampledAt = now;
    }

private:
    double m_value = 1;
    TimePoint m_sampledAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FADINGRATIO_H
