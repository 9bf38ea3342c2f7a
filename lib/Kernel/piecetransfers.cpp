//===- piecetransfers.cpp - Cost of transfers between data centres ---------===//

#include "harelink/Kernel/pieces.h"

namespace harelink {
namespace {

/// What a megabyte of results that crosses data centres counts as, in time: users pay for
/// it, and a share of a request's worth weighs about as much as its share of its time.
constexpr std::chrono::microseconds crossingPerMegabyte{20'000};
constexpr double bytesPerMegabyte = 1e6;

} // namespace

PieceTransfers transfersOf(const PieceOrder &order, std::size_t count)
{
    return {order.inputBytes * count, order.inputsDataCentre, order.resultBytes * count,
            order.dataCentre};
}

Duration transferCost(const PieceTransfers &transfers, const std::string &dataCentre)
{
    std::uint64_t bytes = 0;
    if (!transfers.inputsDataCentre.empty() && transfers.inputsDataCentre != dataCentre) {
        bytes += transfers.inputBytes;
    }
    if (!transfers.resultsDataCentre.empty() && transfers.resultsDataCentre != dataCentre) {
        bytes += transfers.resultBytes;
    }
    return std::chrono::duration_cast<Duration>(crossingPerMegabyte
                                                * (static_cast<double>(bytes) / bytesPerMegabyte));
}

} // namespace harelink
