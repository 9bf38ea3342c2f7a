//===- harelink/Kernel/pieceorder.h - Order of waiting pieces ---*- C++ -*-===//
///
/// \file
/// Decides the order in which the waiting pieces of one pool go into calls: by priority class,
/// then by due time. Pieces that can no longer meet their objective come after those that can.
///
/// A burst of one route, three times its rate for seconds, fills all calls of a stage. So that
/// other routes and accounts are not starved, each class with waiting pieces is guaranteed a
/// tenth of the pieces sent, and each account a tenth or half of an equal share, whichever is
/// less. Neither has an effect while all waiting pieces are of one class: then the order is by due
/// time alone. Requests admitted late have no guarantee.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEORDER_H
#define HARELINK_KERNEL_PIECEORDER_H

#include "harelink/Kernel/guaranteedshare.h"
#include "harelink/Kernel/pieces.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// What the order of waiting pieces depends on.
struct WaitingPiece
{
    RequestId request;
    std::uint32_t stage = 0;
    int priority = 0;
    std::string_view account; ///< Refers to data of the caller.
    TimePoint objective;
};

/// A piece in the order of waiting pieces.
struct PlannedPiece
{
    std::size_t index = 0; ///< Into the waiting pieces.
    /// Because of which it precedes pieces that are more urgent, or due earlier.
    Guarantee guarantee = Guarantee::None;
};

/// Orders the waiting pieces of one pool, and records which were sent.
class PieceSequence
{
public:
    explicit PieceSequence(PriorityOptions options = {})
        : m_options(options)
    {
    }

    /// Returns the order of \p pieces. Pieces of one stage of one request stay together.
    ///
    /// \param earliest When a call sent now would end; pieces with an earlier objective are late.
    /// \param limit Number of pieces after which the order is no longer adjusted for the
    ///     guaranteed minimums; the next call of this function continues there.
    [[nodiscard]] std::vector<PlannedPiece> plan(const std::vector<WaitingPiece> &pieces,
                                                 TimePoint earliest, std::size_t limit);
    /// Records that \p piece was sent, which the last plan() contained with \p guarantee.
    void recordSent(const WaitingPiece &piece, Guarantee guarantee);

private:
    struct Run;
    class Planner;

    struct Account
    {
        GuaranteedShare share;
        bool isWaiting = false; ///< Whether the last plan contained pieces of it.
    };

    [[nodiscard]] std::int64_t accountShare() const;
    void recordWaiting(const std::vector<Run> &runs);

    PriorityOptions m_options;
    std::array<GuaranteedShare, priorityClassCount> m_classes;
    std::array<bool, priorityClassCount> m_isClassWaiting{};
    /// Those with pieces in the last plan, if it contained several classes, and some that were sent
    /// more than their share before.
    std::map<std::string, Account, std::less<>> m_accounts;
    std::size_t m_waitingAccounts = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEORDER_H
