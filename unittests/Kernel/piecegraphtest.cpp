//===- piecegraphtest.cpp - Tests of a request's pieces -------------------===//

#include "harelink/Kernel/piecegraph.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

const std::vector<PieceStageSpec> sequence = {{"a", {}, 1}, {"b", {0}, 1}, {"c", {1}, 1}};
const std::vector<PieceStageSpec> branches = {{"a", {}, 1}, {"a", {}, 1}, {"b", {1}, 1}};

void completeReady(PieceGraph &graph, const std::string &prefix)
{
    for (const PieceIndex index : graph.scheduleReady()) {
        graph.markCompleted(index,
                            prefix + std::to_string(index.stage) + std::to_string(index.piece));
    }
}

} // namespace

TEST_GROUP(PieceGraph){};

TEST(PieceGraph, AStageIsReadyWhenThoseBeforeItAreMade)
{
    PieceGraph graph(sequence, {2, 1, 1});
    const std::vector<PieceIndex> first = graph.scheduleReady();
    LONGS_EQUAL(2, first.size());
    LONGS_EQUAL(0, graph.scheduleReady().size());
    graph.markCompleted(first[0], "x");
    LONGS_EQUAL(0, graph.scheduleReady().size());
    graph.markCompleted(first[1], "y");
    LONGS_EQUAL(1, graph.scheduleReady().size());
    LONGS_EQUAL(2, graph.inputsOf(1).size());
}

TEST(PieceGraph, WhatOnlyTheRequestReadsWaitsUntilTheRestIsNearlyMade)
{
    // The first stage needs nothing, and no other reads it; three others form a chain.
    const std::vector<PieceStageSpec> stages = {
        {"a", {}, 1}, {"a", {}, 1}, {"b", {1}, 1}, {"c", {2}, 1}};
    const auto stagesTaken = [](PieceGraph &graph, int ofFirst) {
        using std::chrono::milliseconds;
        std::vector<std::uint32_t> taken;
        for (const PieceIndex index : graph.scheduleReady({milliseconds(ofFirst), milliseconds(300),
                                                           milliseconds(300), milliseconds(300)})) {
            taken.push_back(index.stage);
            graph.markCompleted(index, "r");
        }
        return taken;
    };
    PieceGraph quick(stages, {1, 1, 1, 1});
    CHECK(stagesTaken(quick, 250) == std::vector<std::uint32_t>{1});
    CHECK(stagesTaken(quick, 250) == std::vector<std::uint32_t>{2});
    CHECK((stagesTaken(quick, 250) == std::vector<std::uint32_t>{0, 3}));
    CHECK(quick.isComplete());
    // One that takes longer than what waits is begun earlier.
    PieceGraph slow(stages, {1, 1, 1, 1});
    CHECK(stagesTaken(slow, 400) == std::vector<std::uint32_t>{1});
    CHECK((stagesTaken(slow, 400) == std::vector<std::uint32_t>{0, 2}));
    // Where all others are left out it has nothing to wait for.
    PieceGraph alone(stages, {1, 0, 0, 0});
    CHECK(stagesTaken(alone, 250) == std::vector<std::uint32_t>{0});
}

TEST(PieceGraph, StagesThatDoNotDependRunAtOnceAndBothEndsAreResults)
{
    PieceGraph graph(branches, {1, 1, 1});
    LONGS_EQUAL(2, graph.scheduleReady().size());
    graph.markCompleted({0, 0}, "x");
    graph.markCompleted({1, 0}, "y");
    completeReady(graph, "z");
    CHECK(graph.isComplete());
    const std::vector<std::string> results = graph.finalResults();
    LONGS_EQUAL(2, results.size());
    STRCMP_EQUAL("x", results[0].c_str());
    STRCMP_EQUAL("z20", results[1].c_str());
}

TEST(PieceGraph, ResultsThatNobodyNeedsAnyMoreAreToldOnce)
{
    PieceGraph graph(sequence, {2, 1, 1});
    completeReady(graph, "r");
    LONGS_EQUAL(0, graph.releaseUnneeded().size());
    completeReady(graph, "r");
    LONGS_EQUAL(2, graph.releaseUnneeded().size());
    LONGS_EQUAL(0, graph.releaseUnneeded().size());
    completeReady(graph, "r");
    LONGS_EQUAL(2, graph.releaseAll().size());
    LONGS_EQUAL(0, graph.releaseAll().size());
}

TEST(PieceGraph, LostResultsAreMadeAgainWithAllThatTheyCameFrom)
{
    PieceGraph graph(sequence, {1, 1, 1});
    completeReady(graph, "r");
    completeReady(graph, "r");
    completeReady(graph, "r");
    CHECK(graph.isComplete());
    graph.recomputeFinalResults();
    CHECK_FALSE(graph.isComplete());
    completeReady(graph, "s");
    completeReady(graph, "s");
    completeReady(graph, "s");
    CHECK(graph.isComplete());
    STRCMP_EQUAL("s20", graph.finalResults()[0].c_str());
}
