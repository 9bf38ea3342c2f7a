//===- piecegraph.cpp - Piece dependencies --------------------------------===//

#include "harelink/Kernel/piecegraph.h"

#include "harelink/Config/stageorder.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace harelink {

PieceGraph::PieceGraph(const std::vector<PieceStageSpec> &stages,
                       const std::vector<std::uint32_t> &counts)
    : m_order(dependencyOrder(stages))
{
    for (std::size_t i = 0; i < stages.size(); ++i) {
        Stage stage;
        stage.spec = stages[i];
        stage.pieces.resize(i < counts.size() ? counts[i] : 0);
        m_stages.push_back(std::move(stage));
    }
    assert(m_order.size() == m_stages.size() && "stages must not depend on each other");
    for (const Stage &stage : m_stages) {
        if (stage.pieces.empty()) {
            continue;
        }
        for (const std::uint32_t before : stage.spec.after) {
            m_stages[before].isFinal = false;
        }
    }
}

/// Returns whether all results that the pieces of \p stage read are completed.
bool PieceGraph::hasInputs(std::uint32_t stage) const
{
    const std::vector<std::uint32_t> &after = m_stages[stage].spec.after;
    return std::all_of(after.begin(), after.end(),
                       [this](std::uint32_t before) { return isStageCompleted(before); });
}

bool PieceGraph::canBeDeferred(std::uint32_t stage) const
{
    return m_stages[stage].isFinal && m_stages[stage].spec.after.empty();
}

/// Returns the total time of the longest chain of stages that starts at a stage with missing
/// inputs.
Duration PieceGraph::longestPendingChain(const std::vector<Duration> &times) const
{
    std::vector<Duration> chains(m_stages.size(), Duration::zero());
    Duration longest{};
    // In reverse order, the chains of all stages that depend on a stage are known.
    for (auto next = m_order.rbegin(); next != m_order.rend(); ++next) {
        const std::uint32_t i = *next;
        const Stage &stage = m_stages[i];
        const bool isEmpty = stage.pieces.empty();
        if (!isEmpty) {
            chains[i] += i < times.size() ? times[i] : Duration::zero();
        }
        for (const std::uint32_t before : stage.spec.after) {
            chains[before] = std::max(chains[before], chains[i]);
        }
        if (!isEmpty && !hasInputs(i)) {
            longest = std::max(longest, chains[i]);
        }
    }
    return longest;
}

std::vector<UpcomingPieces> PieceGraph::takeUpcoming(std::uint32_t stage)
{
    std::vector<UpcomingPieces> upcoming;
    if (std::exchange(m_stages[stage].isUpcomingTaken, true)) {
        return upcoming;
    }
    std::vector<bool> follows(m_stages.size(), false);
    std::vector<std::size_t> positions(m_stages.size());
    for (std::size_t position = 0; position < m_order.size(); ++position) {
        positions[m_order[position]] = position;
    }
    for (const std::uint32_t i : m_order) {
        const Stage &later = m_stages[i];
        const auto last = std::max_element(
            later.spec.after.begin(), later.spec.after.end(),
            [&](std::uint32_t a, std::uint32_t b) { return positions[a] < positions[b]; });
        if (i == stage) {
            follows[i] = true;
            continue;
        }
        follows[i] = last != later.spec.after.end() && follows[*last];
        const auto waiting = static_cast<std::uint32_t>(
            std::count_if(later.pieces.begin(), later.pieces.end(),
                          [](const Piece &piece) { return piece.state == State::Waiting; }));
        if (follows[i] && waiting > 0) {
            upcoming.push_back({later.spec.pool, waiting, waiting * later.spec.resultBytes});
        }
    }
    return upcoming;
}

std::vector<PieceIndex> PieceGraph::scheduleReady(const std::vector<Duration> &times)
{
    const Duration pendingTime = longestPendingChain(times);
    std::vector<PieceIndex> ready;
    for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
        Stage &stage = m_stages[i];
        const Duration duration = i < times.size() ? times[i] : Duration::zero();
        const bool isDeferred =
            canBeDeferred(i) && pendingTime > Duration::zero() && duration <= pendingTime;
        const bool isReady = hasInputs(i) && !isDeferred;
        for (std::uint32_t p = 0; isReady && p < stage.pieces.size(); ++p) {
            if (stage.pieces[p].state == State::Waiting) {
                stage.pieces[p].state = State::Scheduled;
                ready.push_back({i, p});
            }
        }
    }
    return ready;
}

/// Returns the piece at \p index, which a peer may have stated; nullptr if there is none.
PieceGraph::Piece *PieceGraph::find(PieceIndex index)
{
    const bool exists =
        index.stage < m_stages.size() && index.piece < m_stages[index.stage].pieces.size();
    return exists ? &m_stages[index.stage].pieces[index.piece] : nullptr;
}

bool PieceGraph::markCompleted(PieceIndex index, const std::string &handle,
                               const std::string &dataCentre)
{
    Piece *piece = find(index);
    if (piece == nullptr || piece->state == State::Completed) {
        return false;
    }
    piece->state = State::Completed;
    piece->handle = handle;
    piece->dataCentre = dataCentre;
    return true;
}

void PieceGraph::reschedule(PieceIndex index)
{
    Piece *piece = find(index);
    if (piece != nullptr && piece->state == State::Scheduled) {
        piece->state = State::Waiting;
    }
}

void PieceGraph::recompute(std::uint32_t stage)
{
    m_stages[stage].released = false;
    for (Piece &piece : m_stages[stage].pieces) {
        piece = {};
    }
    // The inputs may be lost as well, and are lost if they were freed.
    for (const std::uint32_t before : m_stages[stage].spec.after) {
        recompute(before);
    }
}

void PieceGraph::recomputeInputs(std::uint32_t stage)
{
    if (stage >= m_stages.size()) {
        return;
    }
    for (const std::uint32_t before : m_stages[stage].spec.after) {
        recompute(before);
    }
}

void PieceGraph::recomputeFinalResults()
{
    for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].isFinal) {
            recompute(i);
        }
    }
}

bool PieceGraph::isStageCompleted(std::uint32_t stage) const
{
    const std::vector<Piece> &pieces = m_stages[stage].pieces;
    return std::all_of(pieces.begin(), pieces.end(),
                       [](const Piece &piece) { return piece.state == State::Completed; });
}

bool PieceGraph::isComplete() const
{
    for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
        if (!isStageCompleted(i)) {
            return false;
        }
    }
    return true;
}

std::vector<std::string> PieceGraph::inputsOf(std::uint32_t stage) const
{
    std::vector<std::string> handles;
    for (const std::uint32_t before : m_stages.at(stage).spec.after) {
        for (const Piece &piece : m_stages[before].pieces) {
            handles.push_back(piece.handle);
        }
    }
    return handles;
}

std::vector<std::string> PieceGraph::finalResults() const
{
    std::vector<std::string> handles;
    for (const Stage &stage : m_stages) {
        for (const Piece &piece : stage.pieces) {
            if (stage.isFinal) {
                handles.push_back(piece.handle);
            }
        }
    }
    return handles;
}

void PieceGraph::addCompletedBytes(const Stage &stage, BytesByDataCentre &bytes)
{
    for (const Piece &piece : stage.pieces) {
        if (piece.state == State::Completed && !piece.dataCentre.empty()) {
            bytes[piece.dataCentre] += stage.spec.resultBytes;
        }
    }
}

std::pair<std::string, std::uint64_t> PieceGraph::largest(const BytesByDataCentre &bytes)
{
    std::pair<std::string, std::uint64_t> largest;
    for (const auto &[dataCentre, count] : bytes) {
        if (count > largest.second) {
            largest = {dataCentre, count};
        }
    }
    return largest;
}

std::pair<std::string, std::uint64_t> PieceGraph::mainInputDataCentre(std::uint32_t stage) const
{
    BytesByDataCentre bytes;
    for (const std::uint32_t before : m_stages.at(stage).spec.after) {
        addCompletedBytes(m_stages[before], bytes);
    }
    return largest(bytes);
}

std::pair<std::string, std::uint64_t> PieceGraph::mainResultDataCentre() const
{
    BytesByDataCentre bytes;
    for (const Stage &stage : m_stages) {
        if (stage.isFinal) {
            addCompletedBytes(stage, bytes);
        }
    }
    return largest(bytes);
}

std::vector<std::string> PieceGraph::releaseUnneeded()
{
    std::vector<std::string> handles;
    for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
        Stage &stage = m_stages[i];
        if (stage.isFinal || stage.released || stage.pieces.empty() || !isStageCompleted(i)) {
            continue;
        }
        const auto needs = [this, i](std::uint32_t other) {
            const std::vector<std::uint32_t> &after = m_stages[other].spec.after;
            return !isStageCompleted(other)
                   && std::find(after.begin(), after.end(), i) != after.end();
        };
        bool needed = false;
        for (std::uint32_t other = 0; other < m_stages.size(); ++other) {
            needed = needed || needs(other);
        }
        if (needed) {
            continue;
        }
        stage.released = true;
        for (const Piece &piece : stage.pieces) {
            handles.push_back(piece.handle);
        }
    }
    return handles;
}

std::vector<std::string> PieceGraph::releaseAll()
{
    std::vector<std::string> handles;
    for (Stage &stage : m_stages) {
        for (Piece &piece : stage.pieces) {
            if (piece.state == State::Completed && !stage.released) {
                handles.push_back(std::exchange(piece.handle, {}));
            }
        }
        stage.released = true;
    }
    return handles;
}

bool PieceGraph::finalResultsReleased() const
{
    return std::any_of(m_stages.begin(), m_stages.end(), [](const Stage &stage) {
        return stage.isFinal && stage.released && !stage.pieces.empty();
    });
}

const std::string &PieceGraph::poolOf(std::uint32_t stage) const
{
    return m_stages.at(stage).spec.pool;
}

} // namespace harelink
