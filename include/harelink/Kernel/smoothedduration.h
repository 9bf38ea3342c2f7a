//===- harelink/Kernel/smoothedduration.h - Moving average ------*- C++ -*-===//
///
/// \file
/// A moving average of durations.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_SMOOTHEDDURATION_H
#define HARELINK_KERNEL_SMOOTHEDDURATION_H

#include "harelink/Support/clock.h"

namespace harelink {

/// An average over about the last 50 samples; the first one counts whole.
class SmoothedDuration
{
public:
    void add(Duration sample)
    {
        m_value = m_value == Duration::zero() ? sample : m_value + (sample - m_value) / weight;
    }
    /// Returns the average; zero without samples.
    [[nodiscard]] Duration value() const { return m_value; }

private:
    static constexpr int weight = 50;

    Duration m_value{};
};

} // namespace harelink

#endif // HARELINK_KERNEL_SMOOTHEDDURATION_H
