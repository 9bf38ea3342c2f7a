//===- harelink/Kernel/latency.h - Predicted times --------------*- C++ -*-===//
///
/// \file
/// A decayed quantile of the time that a pool needs for a call, scaled by the
/// size of the request.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_LATENCY_H
#define HARELINK_KERNEL_LATENCY_H

#include "harelink/Support/clock.h"

#include <cstddef>

namespace harelink {

/// What \p estimate is worth so long after its last sample: it halves with each second, after
/// the first.
[[nodiscard]] Duration decayedEstimate(Duration estimate, Duration sinceLastSample);

/// Follows one quantile of a stream of times without keeping them.
///
/// Each sample moves the estimate by a fixed share of itself, up when the
/// sample is above and down when it is below, in the proportion that makes the
/// wanted quantile its resting point. A tenfold slowdown is followed within
/// some thirty samples.
class QuantileEstimate
{
public:
    /// \param quantile in (0, 1).
    explicit QuantileEstimate(double quantile)
        : m_quantile(quantile)
    {
    }
    /// Takes in one sample.
    void add(Duration sample);
    /// The estimate; zero before the first sample.
    [[nodiscard]] Duration value() const;

private:
    double m_quantile;
    double m_seconds = 0;
};

/// Predicts the time of one call to one pool.
class LatencyModel
{
public:
    /// Takes in that a call of \p bytes took \p elapsed.
    void add(TimePoint now, std::size_t bytes, Duration elapsed);
    /// The time half the calls of \p bytes need; zero while nothing is known.
    ///
    /// Without new samples it fades: a pool that is taken to be too slow is sent
    /// nothing, and could otherwise never show that it is fast again.
    [[nodiscard]] Duration median(TimePoint now, std::size_t bytes) const;

private:
    TimePoint m_lastSample;
    QuantileEstimate m_normalised{0.5};
};

} // namespace harelink

#endif // HARELINK_KERNEL_LATENCY_H
