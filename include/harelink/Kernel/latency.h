//===- harelink/Kernel/latency.h - Latency prediction -----------*- C++ -*-===//
///
/// \file
/// Predicts the latency of calls to a pool from a decaying quantile, scaled by
/// the size of the request.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_LATENCY_H
#define HARELINK_KERNEL_LATENCY_H

#include "harelink/Support/clock.h"

#include <cstddef>

namespace harelink {

/// Returns \p estimate after decay for \p sinceLastSample: unchanged for the first second, then
/// halved with each second.
[[nodiscard]] Duration decayedEstimate(Duration estimate, Duration sinceLastSample);

/// Estimates one quantile of a stream of durations without storing them.
///
/// Each sample moves the estimate by a fixed fraction of itself: up if the
/// sample is above it, down if below, in the ratio for which the estimate
/// converges to the quantile. A tenfold slowdown is tracked within about 30
/// samples.
class QuantileEstimate
{
public:
    /// \param quantile Target quantile in (0, 1).
    explicit QuantileEstimate(double quantile)
        : m_quantile(quantile)
    {
    }
    /// Adds a sample.
    void add(Duration sample);
    /// Returns the estimate; zero before the first sample.
    [[nodiscard]] Duration value() const;

private:
    double m_quantile;
    double m_seconds = 0;
};

/// Predicts the latency of calls to one pool.
class LatencyModel
{
public:
    /// Records that a call of \p bytes took \p elapsed.
    void add(TimePoint now, std::size_t bytes, Duration elapsed);
    /// Returns the median latency of calls of \p bytes; zero before the first sample.
    ///
    /// The estimate decays without new samples: a pool that is assumed to be too slow gets no
    /// calls, and could otherwise never show that it has recovered.
    [[nodiscard]] Duration median(TimePoint now, std::size_t bytes) const;

private:
    TimePoint m_lastSample;
    QuantileEstimate m_normalised{0.5};
};

} // namespace harelink

#endif // HARELINK_KERNEL_LATENCY_H
