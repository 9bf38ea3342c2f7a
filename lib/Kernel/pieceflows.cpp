//===- pieceflows.cpp - What moves for pieces -----------------------------===//

#include "harelink/Kernel/pieces.h"

namespace harelink {
namespace {

/// What a megabyte of results that crosses data centres counts as, in time: users pay for
/// it, and a share of a request's worth weighs about as much as its share of its time.
constexpr std::chrono::microseconds crossingPerMegabyte{20'000};
constexpr double bytesPerMegabyte = 1e6;

} // namespace

PieceFlows flowsOf(const PieceOrder &order, std::size_t count)
{
    return {order.inputBytes * count, order.inputsAt, order.resultBytes * count, order.dataCentre};
}

Duration crossingCost(const PieceFlows &flows, const std::string &dataCentre)
{
    std::uint64_t bytes = 0;
    if (!flows.inputsAt.empty() && flows.inputsAt != dataCentre) {
        bytes += flows.inputBytes;
    }
    if (!flows.resultsTo.empty() && flows.resultsTo != dataCentre) {
        bytes += flows.resultBytes;
    }
    return std::chrono::duration_cast<Duration>(crossingPerMegabyte
                                                * (static_cast<double>(bytes) / bytesPerMegabyte));
}

} // namespace harelink
