//===- harelink/Kernel/pieceforecast.h - When pieces are made ---*- C++ -*-===//
///
/// \file
/// Predicts when pieces would be made, from what the batcher told of their pool and
/// from own orders since. Admission counts with it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEFORECAST_H
#define HARELINK_KERNEL_PIECEFORECAST_H

#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/snapshot.h"

#include <cstdint>

namespace harelink {

/// The time until \p pieces more pieces of \p priority would be made by \p pool. What is
/// less urgent does not stand in their way.
[[nodiscard]] Duration predictPieces(const PoolEntry &pool, std::uint32_t pieces, int priority,
                                     TimePoint now);
/// What results of \p bytes that cross data centres count as, in time.
[[nodiscard]] Duration crossingCost(std::uint64_t bytes);

/// Pieces of one stage of one request, as far as their place goes.
struct PieceGroup
{
    std::uint32_t count = 1;
    int priority = 0;
    std::uint64_t resultBytes = 0; ///< Of all together.
    std::string dataCentre;        ///< Where the results are needed; empty for anywhere.
    std::string avoid;             ///< The part of the pool that failed them, if any.
};

/// The part of \p pool that is predicted to have made \p group soonest, a crossing between
/// data centres counted as time; the pool itself where it is not divided.
[[nodiscard]] const PoolEntry &choosePart(const Snapshot &snapshot, const PoolEntry &pool,
                                          const PieceGroup &group, TimePoint now);
/// Takes in what the batcher of \p pool told.
void noteBacklog(const PoolEntry &pool, const PieceBacklog &backlog, TimePoint now);
/// Takes in that \p pieces more are ordered there.
void noteOrdered(const PoolEntry &pool, std::uint32_t pieces, int priority);

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEFORECAST_H
