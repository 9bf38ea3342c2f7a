//===- harelink/Kernel/pieceforecast.h - Completion forecasts ---*- C++ -*-===//
///
/// \file
/// Predicts when pieces would complete, from the backlog that the batcher of their pool
/// reported and from this daemon's orders since then. Used for admission and for
/// the choice of a data centre.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEFORECAST_H
#define HARELINK_KERNEL_PIECEFORECAST_H

#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/snapshot.h"

#include <cstdint>

namespace harelink {

/// Pieces that will be ordered from a pool before those that a forecast is made for.
struct UpcomingDemand
{
    double pieces = 0;
    double resultBytes = 0;
    bool isKnown = false; ///< Some batcher reports it.
};

/// The pieces that a forecast is made for.
struct PieceDemand
{
    std::uint32_t pieces = 1;
    int priority = 0;
    std::uint64_t resultBytes = 0; ///< Of all of them; 0 if they need no buffer space.
    Duration startsIn{};           ///< Until they are ordered.
    UpcomingDemand upcoming;       ///< Ordered before them by requests that are at other pools.
    double waitFactor = 1;         ///< Multiplies the time that they wait for a call.
};

/// Returns the predicted time from the order of \p demand to its completion at \p pool. Waiting
/// pieces of less urgent classes are not counted.
///
/// The queue is assumed to shrink at the rate of full calls until the pieces are ordered, and the
/// buffers to be freed at the rate that their hold time allows.
[[nodiscard]] Duration predictCompletion(const PoolEntry &pool, const PieceDemand &demand,
                                         TimePoint now);
/// Same, for pieces without results that are ordered now.
[[nodiscard]] Duration predictCompletion(const PoolEntry &pool, std::uint32_t pieces, int priority,
                                         TimePoint now);
/// Returns the pieces, of \p priority or more urgent, that requests which are now at other pools
/// will order from \p partition of \p pool; its part by its number of endpoints.
[[nodiscard]] UpcomingDemand upcomingDemand(const PoolEntry &pool, const PoolEntry &partition,
                                            int priority, TimePoint now);
/// Returns whether \p pool has spare batch slots: the waiting pieces of all priorities take
/// less than spareFraction of the next call of each endpoint.
///
/// Limits best-effort admission during bursts that fill a stage: requests admitted late
/// would take buffer space and batch slots from requests that can still be in time, and
/// hold results while they wait behind them. Over three sites with three seeds of five days
/// each, this condition raised the worth by 0.018, 0.023 and 0.008 (from 0.554 to 0.572,
/// 0.357 to 0.380 and 0.471 to 0.479).
[[nodiscard]] bool hasSpareBatchSlots(const PoolEntry &pool);
/// The pieces of one stage of one request, and the criteria for where to compute them.
struct PieceGroup
{
    std::uint32_t count = 1;
    int priority = 0;
    PieceTransfers transfers;
    std::string avoid; ///< The partition of the pool that failed these pieces, if any.
    std::uint64_t selectionHash = 0; ///< Selects the partition to compare the nearest one with.

    /// Returns the hash for \p stage of \p request, which is the same for all forecasts and
    /// for the order.
    [[nodiscard]] static std::uint64_t selectionHashOf(const RequestId &request,
                                                       std::uint32_t stage);
};

/// Returns the partition of \p pool that should compute \p group, or the pool itself if it is not
/// divided. This is the partition with the lowest transfer cost, unless one other partition,
/// selected by the group's hash, is predicted to complete the group clearly sooner with the
/// transfer cost included.
///
/// Only one other partition is considered because forecasts are up to 0.5 s old and the same at
/// all daemons. When each daemon chose the best partition, all chose the same one: 72% of the
/// groups changed their data centre, and pieces waited for 1 s in pools at 70% of their capacity.
[[nodiscard]] const PoolEntry &choosePartition(const Snapshot &snapshot, const PoolEntry &pool,
                                               const PieceGroup &group, TimePoint now);
/// Records the upcoming pieces that \p backlog reports for the pools of \p snapshot.
void recordUpcoming(const Snapshot &snapshot, const PieceBacklog &backlog, TimePoint now);
/// Records the backlog that the batcher of \p pool reported.
void recordBacklog(const PoolEntry &pool, const PieceBacklog &backlog, TimePoint now);
/// Records that \p pieces more pieces, with results of \p resultBytes, were ordered from \p pool.
void recordOrdered(const PoolEntry &pool, std::uint32_t pieces, int priority,
                   std::uint64_t resultBytes);

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEFORECAST_H
