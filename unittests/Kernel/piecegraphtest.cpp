//===- piecegraphtest.cpp - Tests of piece dependencies -------------------===//

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

TEST(PieceGraph, AStageIsReadyWhenItsInputsAreCompleted)
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

TEST(PieceGraph, DefersAFinalStageUntilTheOthersAreNearlyCompleted)
{
    // The first stage has no inputs, and no other stage reads it; the other three form a chain.
    const std::vector<PieceStageSpec> stages = {
        {"a", {}, 1}, {"a", {}, 1}, {"b", {1}, 1}, {"c", {2}, 1}};
    const auto scheduledStages = [](PieceGraph &graph, int firstStageMs) {
        using std::chrono::milliseconds;
        std::vector<std::uint32_t> scheduled;
        for (const PieceIndex index :
             graph.scheduleReady({milliseconds(firstStageMs), milliseconds(300), milliseconds(300),
                                  milliseconds(300)})) {
            scheduled.push_back(index.stage);
            graph.markCompleted(index, "r");
        }
        return scheduled;
    };
    PieceGraph quick(stages, {1, 1, 1, 1});
    CHECK(scheduledStages(quick, 250) == std::vector<std::uint32_t>{1});
    CHECK(scheduledStages(quick, 250) == std::vector<std::uint32_t>{2});
    CHECK((scheduledStages(quick, 250) == std::vector<std::uint32_t>{0, 3}));
    CHECK(quick.isComplete());
    // A final stage that takes longer than the waiting chain starts earlier.
    PieceGraph slow(stages, {1, 1, 1, 1});
    CHECK(scheduledStages(slow, 400) == std::vector<std::uint32_t>{1});
    CHECK((scheduledStages(slow, 400) == std::vector<std::uint32_t>{0, 2}));
    // If all other stages are empty, it does not wait.
    PieceGraph alone(stages, {1, 0, 0, 0});
    CHECK(scheduledStages(alone, 250) == std::vector<std::uint32_t>{0});
}

TEST(PieceGraph, RunsIndependentStagesTogetherAndReturnsBothResults)
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

TEST(PieceGraph, ReleasesUnneededResultsOnce)
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

TEST(PieceGraph, RecomputesLostResultsWithAllTheirInputs)
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

// Guards against forecasts that miss, or count twice, what a request orders later.
TEST(PieceGraph, ListsThePiecesOfLaterStagesOnce)
{
    PieceGraph graph(sequence, {2, 3, 4});
    const std::vector<UpcomingPieces> upcoming = graph.takeUpcoming(0);
    LONGS_EQUAL(2, upcoming.size());
    STRCMP_EQUAL("b", upcoming[0].pool.c_str());
    LONGS_EQUAL(3, upcoming[0].pieces);
    LONGS_EQUAL(4, upcoming[1].resultBytes);
    LONGS_EQUAL(0, graph.takeUpcoming(0).size());
    LONGS_EQUAL(1, graph.takeUpcoming(1).size());
    LONGS_EQUAL(0, graph.takeUpcoming(2).size());
}

TEST(PieceGraph, CountsAStageThatWaitsForTwoOthersOnce)
{
    PieceGraph graph({{"a", {}, 1}, {"b", {}, 1}, {"c", {0, 1}, 1}}, {1, 1, 5});
    LONGS_EQUAL(0, graph.takeUpcoming(0).size());
    LONGS_EQUAL(5, graph.takeUpcoming(1).at(0).pieces);
}

// A stage may depend on one with a higher index.
TEST(PieceGraph, StagesMayBeListedInAnyOrder)
{
    using std::chrono::milliseconds;
    // A chain "a", "b", "c", and "f", which has no inputs and is read by no other stage.
    const std::vector<PieceStageSpec> stages = {
        {"c", {2}, 1}, {"f", {}, 1}, {"b", {3}, 1}, {"a", {}, 1}};
    PieceGraph graph(stages, {1, 1, 2, 1});
    const std::vector<UpcomingPieces> upcoming = graph.takeUpcoming(3);
    LONGS_EQUAL(2, upcoming.size());
    STRCMP_EQUAL("b", upcoming[0].pool.c_str());
    LONGS_EQUAL(2, upcoming[0].pieces);
    STRCMP_EQUAL("c", upcoming[1].pool.c_str());
    const auto scheduled = [&graph] {
        std::vector<std::uint32_t> scheduled;
        for (const PieceIndex index : graph.scheduleReady(
                 {milliseconds(300), milliseconds(500), milliseconds(300), milliseconds(300)})) {
            scheduled.push_back(index.stage);
            graph.markCompleted(index, "r" + std::to_string(index.stage));
        }
        return scheduled;
    };
    CHECK(scheduled() == std::vector<std::uint32_t>{3});
    CHECK((scheduled() == std::vector<std::uint32_t>{1, 2, 2}));
    CHECK(scheduled() == std::vector<std::uint32_t>{0});
    CHECK(graph.isComplete());
    CHECK((graph.finalResults() == std::vector<std::string>{"r0", "r1"}));
}

TEST(PieceGraph, CountsAStageThatWaitsForTwoOthersInAnyOrderOnce)
{
    PieceGraph graph({{"c", {1, 2}, 1}, {"b", {2}, 1}, {"a", {}, 1}}, {5, 1, 1});
    LONGS_EQUAL(2, graph.takeUpcoming(2).size());
    LONGS_EQUAL(5, graph.takeUpcoming(1).at(0).pieces);
}

TEST(PieceGraph, ResultsOfPiecesThatDoNotExistAreIgnored)
{
    PieceGraph graph(sequence, {2, 1, 1});
    for (const PieceIndex index : {PieceIndex{3, 0}, PieceIndex{0, 2}, PieceIndex{0xffffffff, 0}}) {
        CHECK_FALSE(graph.markCompleted(index, "x"));
        graph.reschedule(index);
    }
    graph.recomputeInputs(3);
    LONGS_EQUAL(2, graph.scheduleReady().size());
}
