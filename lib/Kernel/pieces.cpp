//===- pieces.cpp - Batched pieces of work --------------------------------===//

#include "harelink/Kernel/pieces.h"

#include <array>
#include <numeric>
#include <utility>

namespace harelink {
namespace {

std::size_t textBytes(const PieceSource &source)
{
    return std::accumulate(
        source.inputs.begin(), source.inputs.end(), source.callerId.size() + source.key.size(),
        [](std::size_t sum, const std::string &input) { return sum + input.size(); });
}

} // namespace

SharedPieceSource::SharedPieceSource()
{
    static const auto empty = std::make_shared<const Measured>();
    m_shared = empty;
}

SharedPieceSource::SharedPieceSource(PieceSource source)
{
    const std::size_t bytes = textBytes(source);
    m_shared = std::make_shared<const Measured>(Measured{std::move(source), bytes});
}

std::string_view toText(PieceFault fault)
{
    static constexpr std::array<std::string_view, pieceFaultCount> names = {
        "none", "late", "input-gone", "no-room", "refused", "failed"};
    return names.at(static_cast<std::size_t>(fault));
}

void dropInvalidAccounts(PieceOrders &orders)
{
    for (PieceOrder &order : orders.orders) {
        if (order.account.size() > maxAccountLength) {
            order.account.clear();
        }
    }
}

} // namespace harelink
