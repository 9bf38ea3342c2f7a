//===- harelink/Kernel/pieces.h - Work in pieces ----------------*- C++ -*-===//
///
/// \file
/// The pieces of work that some requests need before they can be sent, and what
/// daemons tell each other of them. An endpoint works on many pieces in one call,
/// so the pieces for a pool meet at one daemon, its batcher, which forms the calls;
/// the daemon that holds the request orders pieces there.
///
/// A piece may be made again, so every message may be lost, late or doubled.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECES_H
#define HARELINK_KERNEL_PIECES_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/hash.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace harelink {

/// One piece of one request.
struct PieceId
{
    RequestId request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    auto operator<=>(const PieceId &) const = default;
};

/// What is to be made.
struct PieceOrder
{
    PieceId id;
    std::string callerId;            ///< The caller's name for the request.
    Hash128 digest;                  ///< Of the request, as digestOf() gives it.
    std::string key;                 ///< What it is made from, where there are no inputs.
    std::vector<std::string> inputs; ///< Results of earlier pieces.
    int priority = 0;                ///< 0 is the most urgent.
    Duration untilObjective{};       ///< Until the request's objective, as of the sending.
    Duration untilDeadline{};        ///< Until it is of no use any more, as of the sending.
    std::uint64_t resultBytes = 0;   ///< About how large its result is.
    std::string dataCentre;          ///< Where the result will be needed; empty for anywhere.
    std::uint64_t inputBytes = 0;    ///< About how much it reads of earlier results.
    std::string inputsDataCentre;    ///< The data centre where most of that stands.
    std::string avoid;               ///< An endpoint that failed it.
};

/// What moves for pieces of one stage of one request. Each of them reads all its inputs:
/// sixteen pieces that read half a megabyte each move eight.
struct PieceTransfers
{
    std::uint64_t inputBytes = 0;  ///< Read by all of them.
    std::string inputsDataCentre;  ///< The data centre of these; empty for none.
    std::uint64_t resultBytes = 0; ///< Made by all of them.
    std::string resultsDataCentre; ///< The data centre that needs these; empty for any.
};

/// The flows of \p count pieces like \p order.
[[nodiscard]] PieceTransfers transfersOf(const PieceOrder &order, std::size_t count);
/// What the crossings count as, in time, if the pieces are made in \p dataCentre.
[[nodiscard]] Duration transferCost(const PieceTransfers &transfers, const std::string &dataCentre);

/// Why a piece was not made.
enum class PieceFault {
    None,
    Late,      ///< Its time was over before its turn.
    InputGone, ///< A result that it needs is no longer kept.
    NoRoom,    ///< The endpoint has no room for its result.
    Refused,   ///< The endpoint did not take the call, or gets no new work.
    Failed,    ///< The call failed, or the endpoint could not make it.
};
/// How many faults there are.
inline constexpr std::size_t pieceFaultCount = static_cast<std::size_t>(PieceFault::Failed) + 1;

/// A short name, as in "input-gone".
[[nodiscard]] std::string_view toText(PieceFault fault);

/// What became of a piece.
struct PieceOutcome
{
    PieceId id;
    std::string endpoint;
    std::string handle; ///< Names the result; empty with a fault.
    PieceFault fault = PieceFault::None;
};

/// Pieces wait in classes: those of priority 0, 1 and 2, and all that are less urgent.
inline constexpr std::size_t priorityClassCount = 4;
/// The class of \p priority.
[[nodiscard]] constexpr std::size_t priorityClass(int priority)
{
    const auto last = static_cast<int>(priorityClassCount) - 1;
    return static_cast<std::size_t>(priority < 0 ? 0 : (priority > last ? last : priority));
}

/// How busy the endpoints of a pool are, as its batcher sees it.
struct PieceBacklog
{
    std::string pool;
    Duration freeIn{};           ///< Until the first endpoint can take a call.
    std::uint32_t endpoints = 0; ///< That take calls.
    /// Pieces that are in no call yet, by class.
    std::array<std::uint32_t, priorityClassCount> waiting{};
    double slowness = 1;   ///< The time of calls against the declared one.
    double correction = 1; ///< The time until pieces were made against its forecast.
};

/// Message: make these at \p pool, or at that part of a divided one. From the daemon of the
/// requests to the batcher.
struct PieceOrders
{
    std::string pool;
    std::vector<PieceOrder> orders;
};

/// Message: what became of orders. From the batcher to the daemon of the requests.
struct PieceOutcomes
{
    std::vector<PieceOutcome> outcomes;
    PieceBacklog backlog; ///< Of their pool.
};

/// Message: these results of \p pool are no longer needed. To its batcher, which has
/// them freed and so knows how much room its endpoints have.
struct PieceFrees
{
    std::string pool;
    std::vector<std::string> handles;
};

/// Message: the pieces of these requests are no longer wanted.
struct PieceWithdrawal
{
    std::vector<RequestId> requests;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECES_H
