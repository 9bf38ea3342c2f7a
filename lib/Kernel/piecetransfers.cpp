//===- piecetransfers.cpp - Cost of data transfers ------------------------===//

#include "harelink/Kernel/pieces.h"

namespace harelink {
namespace {

/// The time that the transfer of 1 MB between data centres counts as. Users pay for transfers,
/// and a fraction of a request's worth weighs about as much as that fraction of its time.
constexpr std::chrono::microseconds transferTimePerMegabyte{20'000};
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
    return std::chrono::duration_cast<Duration>(transferTimePerMegabyte
                                                * (static_cast<double>(bytes) / bytesPerMegabyte));
}

} // namespace harelink
