//===- harelink/Kernel/piecepacing.h - Spacing of calls ---------*- C++ -*-===//
///
/// \file
/// Decides when the next call of a pool that works in pieces may start.
///
/// The load is a steady stream of pieces below the capacity of the pool, in which requests
/// arrive in clumps. If each piece is sent as soon as an endpoint is free, a clump starts small
/// calls at all endpoints within milliseconds. These end together, so that the pieces that
/// arrive meanwhile wait for up to a whole call, although calls have empty slots. With calls
/// that start evenly spaced, a piece waits for at most one interval, and calls hold more pieces.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEPACING_H
#define HARELINK_KERNEL_PIECEPACING_H

#include "harelink/Support/clock.h"

#include <cstddef>

namespace harelink {

/// The part of a pool's endpoints that are busy, averaged over about the last second.
class Utilization
{
public:
    /// Records that \p share of the endpoints are busy from \p now on.
    void record(double share, TimePoint now);
    [[nodiscard]] double value(TimePoint now) const;

private:
    double m_average = 0; ///< At m_recordedAt.
    double m_share = 0;   ///< Since m_recordedAt.
    TimePoint m_recordedAt;
};

/// The state of a pool when one of its endpoints could be called.
struct CallPacing
{
    TimePoint lastCallAt;      ///< Start of the last call of the pool.
    Duration callTime{};       ///< Expected duration of the next call.
    std::size_t endpoints = 1; ///< That accept a call now or within callTime.
    bool isFull = false;       ///< The waiting pieces fill a whole call.
    /// The latest start with which the waiting pieces meet their objectives and deadlines.
    TimePoint latest = TimePoint::max();
    double utilization = 0; ///< See Utilization.
};

/// Returns the earliest start of the next call.
///
/// A full call need not wait: delaying it would lower the throughput. Nor does a call while half of
/// the endpoints are idle on average: others remain free for the pieces that arrive next.
[[nodiscard]] TimePoint earliestCallStart(const CallPacing &pacing);

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEPACING_H
