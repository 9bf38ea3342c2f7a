//===- harelink/Kernel/pieces.h - Batched pieces of work --------*- C++ -*-===//
///
/// \file
/// The pieces of work that some requests need before they can be sent, and the
/// messages that daemons exchange about them. An endpoint processes many pieces in
/// one call, so all pieces of a pool go to one daemon, the pool's batcher, which
/// forms the calls; the daemon that holds the request sends its orders there.
///
/// Computing a piece is idempotent, so messages may be lost, delayed or duplicated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECES_H
#define HARELINK_KERNEL_PIECES_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/hash.h"

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace harelink {

/// Identifies one piece of one request.
struct PieceId
{
    RequestId request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    auto operator<=>(const PieceId &) const = default;
};

/// Pieces of a later stage that a request needs once its current stage is complete.
struct UpcomingPieces
{
    std::string pool;
    std::uint32_t pieces = 0;
    std::uint64_t resultBytes = 0; ///< Of all of them.
};

/// Limits of what a daemon believes of the pieces of others, so that sums cannot overflow.
inline constexpr std::size_t maxUpcomingPools = 16;
inline constexpr std::uint64_t maxReportedBytes = std::uint64_t{1} << 40;
inline constexpr std::uint32_t maxReportedPieces = 100'000;

/// What the pieces of one stage of a request are computed from.
struct PieceSource
{
    std::string callerId;            ///< The request ID that the caller chose.
    std::string key;                 ///< Used if there are no inputs.
    std::vector<std::string> inputs; ///< Handles of the results of earlier pieces.
    bool operator==(const PieceSource &) const = default;
};

/// A source that the orders of a stage share: each of its pieces reads the results of all pieces
/// before it, so copies would take memory by the product of both numbers. Never null.
class SharedPieceSource
{
public:
    SharedPieceSource();
    explicit SharedPieceSource(PieceSource source);
    [[nodiscard]] const PieceSource &operator*() const { return m_shared->source; }
    [[nodiscard]] const PieceSource *operator->() const { return &m_shared->source; }
    /// Returns the length of all texts.
    [[nodiscard]] std::size_t bytes() const { return m_shared->bytes; }
    /// Returns whether both share one source.
    [[nodiscard]] bool isSame(const SharedPieceSource &other) const
    {
        return m_shared == other.m_shared;
    }

private:
    struct Measured
    {
        PieceSource source;
        std::size_t bytes = 0;
    };

    std::shared_ptr<const Measured> m_shared;
};

/// An order to compute a piece.
struct PieceOrder
{
    PieceId id;
    SharedPieceSource source;
    Hash128 digest;                ///< Of the request, from digestOf().
    int priority = 0;              ///< 0 is the most urgent.
    Duration untilObjective{};     ///< Time left to the request's objective when sent.
    Duration untilDeadline{};      ///< Time left until the result is useless, when sent.
    std::uint64_t resultBytes = 0; ///< Estimated size of the result.
    std::string dataCentre;        ///< Where the result is needed; empty for anywhere.
    std::uint64_t inputBytes = 0;  ///< Estimated bytes read from earlier results.
    std::string inputsDataCentre;  ///< The data centre that holds most input bytes.
    std::string avoid;             ///< An endpoint that failed this piece.
    /// What the request orders after this stage; only in the first order of a stage.
    std::vector<UpcomingPieces> upcoming;
    std::string account; ///< Of the request; empty from daemons that do not report it.
};

/// Maximum length of PieceOrder::account. Names of declared accounts have up to 63 characters.
inline constexpr std::size_t maxAccountLength = 128;

/// The bytes transferred for the pieces of one stage of one request. Each piece reads all
/// of its inputs: 16 pieces that read 0.5 MB each transfer 8 MB.
struct PieceTransfers
{
    std::uint64_t inputBytes = 0;  ///< Total read by all pieces.
    std::string inputsDataCentre;  ///< Where the inputs are; empty if there are none.
    std::uint64_t resultBytes = 0; ///< Total size of all results.
    std::string resultsDataCentre; ///< Where the results are needed; empty for anywhere.
};

/// Returns the transfers of \p count pieces like \p order.
[[nodiscard]] PieceTransfers transfersOf(const PieceOrder &order, std::size_t count);
/// Returns the cost, expressed as time, of the transfers between data centres if the
/// pieces are computed in \p dataCentre.
[[nodiscard]] Duration transferCost(const PieceTransfers &transfers, const std::string &dataCentre);

/// Why a piece was not computed.
enum class PieceFault {
    None,
    Late,      ///< Its deadline passed before it was sent.
    InputGone, ///< An input result is no longer stored.
    NoRoom,    ///< The endpoint has no buffer space for its result.
    Refused,   ///< The endpoint refused the call, or accepts no new work.
    Failed,    ///< The call failed, or the endpoint could not compute the piece.
};
/// The number of PieceFault values.
inline constexpr std::size_t pieceFaultCount = static_cast<std::size_t>(PieceFault::Failed) + 1;

/// Returns a short name such as "input-gone".
[[nodiscard]] std::string_view toText(PieceFault fault);

/// The result of an order.
struct PieceOutcome
{
    PieceId id;
    std::string endpoint;
    std::string handle; ///< Handle of the result; empty on a fault.
    PieceFault fault = PieceFault::None;
};

/// Added to the priority value of a request that is predicted to miss its objective. More than
/// any configured priority.
inline constexpr int latePriorityPenalty = 100;

/// Waiting pieces are counted in classes: priorities 0, 1 and 2, and all lower priorities.
inline constexpr std::size_t priorityClassCount = 4;
/// Returns the class of \p priority.
[[nodiscard]] constexpr std::size_t priorityClass(int priority)
{
    const auto last = static_cast<int>(priorityClassCount) - 1;
    return static_cast<std::size_t>(priority < 0 ? 0 : (priority > last ? last : priority));
}

/// Pieces that requests which are now at one pool will order from another one.
struct UpcomingBacklog
{
    std::string pool;
    std::array<std::uint32_t, priorityClassCount> pieces{};
    std::array<std::uint64_t, priorityClassCount> resultBytes{};
};

/// The load of a pool, as its batcher sees it.
struct PieceBacklog
{
    std::string pool;
    Duration freeIn{};           ///< Time until the first endpoint accepts a call.
    std::uint32_t endpoints = 0; ///< Number of endpoints that accept calls.
    /// Pieces that are not part of a call yet, by class.
    std::array<std::uint32_t, priorityClassCount> waiting{};
    bool isPathLost = false;         ///< The batcher has no path to the endpoints.
    std::uint64_t bufferedBytes = 0; ///< Used by results, or reserved for calls in flight.
    /// Result bytes of the waiting pieces, by class.
    std::array<std::uint64_t, priorityClassCount> waitingBytes{};
    Duration holdTime{}; ///< Recent time for which a result is buffered; zero if unknown.
    /// Pieces of other pools that the requests served here will order, by class.
    std::vector<UpcomingBacklog> upcoming;
    double slowness = 1;   ///< Ratio of measured to declared call time, median of the endpoints.
    double correction = 1; ///< Ratio of measured to predicted completion time.
};

/// Message: compute these pieces in \p pool, which may be a partition of a divided pool. Sent
/// by the daemon of the requests to the batcher.
struct PieceOrders
{
    std::string pool;
    std::vector<PieceOrder> orders;
};

/// Clears the accounts in \p orders that are longer than maxAccountLength.
void dropInvalidAccounts(PieceOrders &orders);

/// Message: results of orders. Sent by the batcher to the daemon of the requests.
struct PieceOutcomes
{
    std::vector<PieceOutcome> outcomes;
    PieceBacklog backlog; ///< Of the pool of the pieces.
};

/// Message: these results of \p pool are no longer needed. Sent to the pool's batcher, which
/// frees them and thereby tracks the buffer space of the endpoints.
struct PieceFrees
{
    std::string pool;
    std::vector<std::string> handles;
};

/// Message: cancels the pieces of these requests.
struct PieceWithdrawal
{
    std::vector<RequestId> requests;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECES_H
