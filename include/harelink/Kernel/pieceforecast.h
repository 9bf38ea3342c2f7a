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
/// Takes in what the batcher of \p pool told.
void noteBacklog(const PoolEntry &pool, const PieceBacklog &backlog, TimePoint now);
/// Takes in that \p pieces more are ordered there.
void noteOrdered(const PoolEntry &pool, std::uint32_t pieces, int priority);

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEFORECAST_H
