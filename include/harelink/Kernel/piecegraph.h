//===- harelink/Kernel/piecegraph.h - Piece dependencies --------*- C++ -*-===//
///
/// \file
/// Tracks the pieces of a request: which are completed, which are ready to be
/// computed, and which results each of them reads.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEGRAPH_H
#define HARELINK_KERNEL_PIECEGRAPH_H

#include "harelink/Config/resources.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Position of a piece within its request.
struct PieceIndex
{
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
};

/// The dependency graph of the pieces of one request. Stages without pieces are skipped:
/// later stages do not wait for them.
class PieceGraph
{
public:
    /// \param counts number of pieces by stage; stages beyond its end have none.
    PieceGraph(const std::vector<PieceStageSpec> &stages, const std::vector<std::uint32_t> &counts);

    /// Returns the pieces that are ready to be computed, and marks them as scheduled.
    ///
    /// A stage that has no inputs and whose results only the request itself reads is deferred
    /// while other stages still wait for inputs and take at least as long: its results
    /// would occupy buffer space at their endpoints until those stages complete.
    /// \param times from ordering a stage until it completes, by stage; a stage without an
    ///        entry takes no time.
    std::vector<PieceIndex> scheduleReady(const std::vector<Duration> &times = {});
    /// Marks a piece as completed in \p dataCentre; returns false if it already was.
    bool markCompleted(PieceIndex index, const std::string &handle,
                       const std::string &dataCentre = {});
    /// Makes a scheduled piece ready again.
    void reschedule(PieceIndex index);
    /// Recomputes the inputs of \p stage, which are no longer stored.
    void recomputeInputs(std::uint32_t stage);
    /// Recomputes the results that the request itself reads, which are no longer stored.
    void recomputeFinalResults();

    /// Returns whether all pieces are completed.
    [[nodiscard]] bool isComplete() const;
    /// Returns the results that each piece of \p stage reads, in order.
    [[nodiscard]] std::vector<std::string> inputsOf(std::uint32_t stage) const;
    /// Returns the results that the request itself reads: those of the last stages.
    [[nodiscard]] std::vector<std::string> finalResults() const;
    /// Returns the pieces of the stages that wait, directly or not, for \p stage; each time but the
    /// first nothing. A stage that waits for several others is counted for the last one.
    [[nodiscard]] std::vector<UpcomingPieces> takeUpcoming(std::uint32_t stage);
    /// Returns the data centre that holds most of the bytes that each piece of \p stage
    /// reads, and their number; an empty name and 0 if there are none.
    [[nodiscard]] std::pair<std::string, std::uint64_t>
    mainInputDataCentre(std::uint32_t stage) const;
    /// Same as mainInputDataCentre(), for the completed results that the request itself reads.
    [[nodiscard]] std::pair<std::string, std::uint64_t> mainResultDataCentre() const;
    /// Releases the results that no remaining stage reads; returns those not released before.
    std::vector<std::string> releaseUnneeded();
    /// Releases and returns all results that endpoints still store for this request.
    std::vector<std::string> releaseAll();
    /// Returns whether releaseAll() released the results that the request itself reads.
    [[nodiscard]] bool finalResultsReleased() const;
    /// Returns the pool that computes the pieces of \p stage.
    [[nodiscard]] const std::string &poolOf(std::uint32_t stage) const;

private:
    enum class State { Waiting, Scheduled, Completed };
    struct Piece
    {
        State state = State::Waiting;
        std::string handle;
        std::string dataCentre; ///< Where it was computed.
    };
    struct Stage
    {
        PieceStageSpec spec;
        std::vector<Piece> pieces;
        bool isFinal = true; ///< No stage with pieces reads its results.
        bool released = false;
        bool isUpcomingTaken = false; ///< See takeUpcoming().
    };

    [[nodiscard]] Piece *find(PieceIndex index);

    using BytesByDataCentre = std::map<std::string, std::uint64_t>;

    static void addCompletedBytes(const Stage &stage, BytesByDataCentre &bytes);
    static std::pair<std::string, std::uint64_t> largest(const BytesByDataCentre &bytes);
    [[nodiscard]] bool isStageCompleted(std::uint32_t stage) const;
    [[nodiscard]] bool hasInputs(std::uint32_t stage) const;
    [[nodiscard]] bool canBeDeferred(std::uint32_t stage) const;
    [[nodiscard]] Duration longestPendingChain(const std::vector<Duration> &times) const;
    void recompute(std::uint32_t stage);

    std::vector<Stage> m_stages;
    std::vector<std::uint32_t> m_order; ///< See dependencyOrder().
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEGRAPH_H
