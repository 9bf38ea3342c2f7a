//===- harelink/Kernel/piecegraph.h - A request's pieces --------*- C++ -*-===//
///
/// \file
/// Which pieces of a request are made, which can be made now, and which results
/// each of them needs.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEGRAPH_H
#define HARELINK_KERNEL_PIECEGRAPH_H

#include "harelink/Config/resources.h"
#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// A piece within its request.
struct PieceIndex
{
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
};

/// The pieces of one request. A stage with no pieces is left out: whatever comes
/// after it does not wait for it.
class PieceGraph
{
public:
    /// \param counts of pieces by stage; stages beyond its end have none.
    PieceGraph(const std::vector<PieceStageSpec> &stages, const std::vector<std::uint32_t> &counts);

    /// The pieces that are to be made now and were not given out before.
    ///
    /// A stage that needs no inputs and whose results only the request itself reads is held
    /// back as long as stages remain that wait for their inputs and take as long: its
    /// results would take room at their endpoints until these are made.
    /// \param times from the order of a stage until it is made, by stage; a stage without
    ///        one takes no time.
    std::vector<PieceIndex> scheduleReady(const std::vector<Duration> &times = {});
    /// A piece was made in \p dataCentre; false where it was made already.
    bool markCompleted(PieceIndex place, const std::string &handle,
                       const std::string &dataCentre = {});
    /// A piece that was given out is to be given out again.
    void reschedule(PieceIndex place);
    /// The results that \p stage needs are no longer kept: they are made again.
    void recomputeInputs(std::uint32_t stage);
    /// The results that the request itself needs are no longer kept.
    void recomputeFinalResults();

    /// Whether every piece is made.
    [[nodiscard]] bool isComplete() const;
    /// The results that each piece of \p stage needs, in order.
    [[nodiscard]] std::vector<std::string> inputsOf(std::uint32_t stage) const;
    /// The results that the request itself needs: of stages that none comes after.
    [[nodiscard]] std::vector<std::string> finalResults() const;
    /// The data centre where most bytes stand that each piece of \p stage reads, and how
    /// many; empty without any.
    [[nodiscard]] std::pair<std::string, std::uint64_t>
    mainInputDataCentre(std::uint32_t stage) const;
    /// The same of the results that the request itself needs, as far as they are made.
    [[nodiscard]] std::pair<std::string, std::uint64_t> mainResultDataCentre() const;
    /// The results of which nobody has need any more and that were not told before.
    std::vector<std::string> releaseUnneeded();
    /// All results that are kept somewhere for this request; they are forgotten.
    std::vector<std::string> releaseAll();
    /// Whether the results that the request itself needs were taken by releaseAll().
    [[nodiscard]] bool finalResultsReleased() const;
    /// The pool that makes the pieces of \p stage.
    [[nodiscard]] const std::string &poolOf(std::uint32_t stage) const;

private:
    enum class State { Waiting, GivenOut, Made };
    struct Piece
    {
        State state = State::Waiting;
        std::string handle;
        std::string dataCentre; ///< Where it was made.
    };
    struct Stage
    {
        PieceStageSpec spec;
        std::vector<Piece> pieces;
        bool isFinal = true; ///< No stage with pieces comes after it.
        bool released = false;
    };

    using BytesByDataCentre = std::map<std::string, std::uint64_t>;

    static void addBytes(const Stage &stage, BytesByDataCentre &bytes);
    static std::pair<std::string, std::uint64_t> most(const BytesByDataCentre &bytes);
    [[nodiscard]] bool isMade(std::uint32_t stage) const;
    [[nodiscard]] bool hasInputs(std::uint32_t stage) const;
    [[nodiscard]] bool mayBeHeldBack(std::uint32_t stage) const;
    [[nodiscard]] Duration longestWaitingChain(const std::vector<Duration> &times) const;
    void remake(std::uint32_t stage);

    std::vector<Stage> m_stages;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEGRAPH_H
