//===- piecefixture.h - Test pools of pieces --------------------*- C++ -*-===//

#ifndef HARELINK_UNITTESTS_KERNEL_PIECEFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_PIECEFIXTURE_H

#include "kernelfixture.h"

#include "harelink/Kernel/pieces.h"

namespace harelink::testing {

/// Returns endpoint "maker-NUMBER" of the pool "pieces", in "dc1".
inline Resource pieceEndpoint(int number)
{
    EndpointSpec endpoint;
    endpoint.name = fmt::format("maker-{}", number);
    endpoint.pool = "pieces";
    endpoint.address = "127.0.0.1:1";
    endpoint.dataCentre = "dc1";
    return makeResource(endpoint);
}

/// Returns a pool "pieces" of \p endpoints endpoints in "dc1" that accept \p batch pieces per
/// call. A call takes 150 ms plus 10 ms per piece.
inline std::vector<Resource> pieceConfiguration(int endpoints, std::uint32_t batch)
{
    PoolSpec pool;
    pool.name = "pieces";
    pool.protocol = "pieces";
    PieceWorkSpec work;
    work.batch = batch;
    work.queue = 2;
    work.callTime = std::chrono::milliseconds(150);
    work.pieceTime = std::chrono::milliseconds(10);
    pool.pieces = work;
    std::vector<Resource> resources = {makeResource(pool)};
    for (int i = 0; i < endpoints; ++i) {
        resources.push_back(pieceEndpoint(i));
    }
    return resources;
}

/// Returns an order for one piece of request \p sequence.
inline PieceOrder pieceOrder(std::uint64_t sequence, std::uint32_t piece = 0, int priority = 0)
{
    PieceOrder order;
    order.id = {{7, sequence}, 0, piece};
    order.source = SharedPieceSource({fmt::format("caller-{}", sequence), "key", {}});
    order.priority = priority;
    order.untilObjective = std::chrono::milliseconds(1000);
    order.untilDeadline = std::chrono::milliseconds(4000);
    return order;
}

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_PIECEFIXTURE_H
