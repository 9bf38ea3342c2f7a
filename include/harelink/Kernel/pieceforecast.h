//===- harelink/Kernel/pieceforecast.h - When pieces are made ---*- C++ -*-===//
///
/// \file
/// Predicts when pieces would be made, from what the batchers told of their endpoints
/// and from own orders since. The router chooses by it and admission counts with it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEFORECAST_H
#define HARELINK_KERNEL_PIECEFORECAST_H

#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/snapshot.h"
#include "harelink/Support/random.h"

#include <cstdint>
#include <set>
#include <string>

namespace harelink {

/// The time until \p pieces more pieces of \p priority would be made at \p endpoint of
/// \p pool. What is less urgent does not stand in their way.
[[nodiscard]] Duration predictPieces(const PoolEntry &pool, const EndpointEntry &endpoint,
                                     std::uint32_t pieces, int priority, TimePoint now);

/// Takes in what a batcher told of \p endpoint.
void noteBacklog(const EndpointEntry &endpoint, const PieceBacklog &backlog, TimePoint now);
/// Takes in that \p pieces more are ordered there.
void noteOrdered(const EndpointEntry &endpoint, std::uint32_t pieces, int priority);

/// What to look for in an endpoint for some pieces of one request.
struct PieceWish
{
    std::uint32_t pieces = 1;
    int priority = 0;
    std::uint64_t resultBytes = 0; ///< Of each.
    std::string dataCentre;        ///< Where the results will be needed; empty for anywhere.
    std::set<std::string> avoid;   ///< Endpoints that failed the request.
};

/// An endpoint and the time until the pieces would be made there.
struct PieceForecast
{
    const EndpointEntry *endpoint = nullptr; ///< Null where none may be sent work.
    Duration time{};
};

/// The endpoint of \p pool that suits \p wish best.
///
/// \param random draws among nearly equal ones; null for the very best.
[[nodiscard]] PieceForecast choosePieceEndpoint(const PoolEntry &pool, const PieceWish &wish,
                                                TimePoint now, Random *random);

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEFORECAST_H
