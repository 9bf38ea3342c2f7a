//===- piecebatchertest.cpp - Tests of calls of many pieces ---------------===//

#include "piecefixture.h"

#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/piecerouter.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct Bench
{
    explicit Bench(std::uint32_t batch = 4, int endpoints = 1)
        : snapshot(buildSnapshot(pieceConfiguration(endpoints, batch), 1, "dc1", nullptr))
    {
    }
    void order(std::uint64_t sequence, const std::string &host = "", int priority = 0)
    {
        batcher.handle(host, {"pieces", {pieceOrder(sequence, 0, priority)}}, *snapshot);
        collect();
    }
    void advance(Duration step)
    {
        clock.advance(step);
        batcher.tick(*snapshot);
        collect();
    }
    void answer(const PieceCall &call)
    {
        PieceCallEnded ended;
        ended.id = call.id;
        ended.answered = true;
        for (const PieceOrder &order : call.orders) {
            ended.results.push_back({"handle-" + order.callerId, PieceFault::None});
        }
        batcher.handle(ended, *snapshot);
        collect();
    }
    void fail(const PieceCall &call, SendEvidence evidence)
    {
        PieceCallEnded ended;
        ended.id = call.id;
        ended.evidence = evidence;
        batcher.handle(ended, *snapshot);
        collect();
    }
    void collect()
    {
        for (PieceCall &call : batcher.drainCalls()) {
            calls.push_back(std::move(call));
        }
        for (OutgoingPieceOutcomes &send : batcher.drainOutcomes(*snapshot)) {
            for (PieceOutcome &outcome : send.outcomes.outcomes) {
                outcomes.emplace_back(send.host, std::move(outcome));
            }
        }
    }

    ManualClock clock;
    std::unique_ptr<const Snapshot> snapshot;
    PieceBatcher batcher{clock};
    std::vector<PieceCall> calls;
    std::size_t answered = 0; ///< Of the calls, by a test that answers all.
    std::vector<std::pair<std::string, PieceOutcome>> outcomes;
};

} // namespace

TEST_GROUP(PieceBatcher){};

TEST(PieceBatcher, AnIdleEndpointIsCalledAtOnce)
{
    Bench bench;
    bench.order(1);
    LONGS_EQUAL(1, bench.calls.size());
    LONGS_EQUAL(1, bench.calls[0].orders.size());
}

TEST(PieceBatcher, WhatComesDuringACallSharesTheNextOne)
{
    Bench bench;
    bench.order(1);
    bench.order(2, "h2");
    bench.order(3, "h3");
    LONGS_EQUAL(1, bench.calls.size());
    bench.advance(milliseconds(150));
    LONGS_EQUAL(2, bench.calls.size());
    LONGS_EQUAL(2, bench.calls[1].orders.size());
}

TEST(PieceBatcher, EachPieceGoesBackToItsOwnDaemon)
{
    Bench bench;
    bench.order(1);
    bench.order(2, "h2");
    bench.order(3, "h3");
    bench.answer(bench.calls[0]);
    bench.answer(bench.calls[1]);
    LONGS_EQUAL(3, bench.outcomes.size());
    for (const auto &[host, outcome] : bench.outcomes) {
        const std::uint64_t sequence = outcome.id.request.sequence;
        STRCMP_EQUAL(fmt::format("handle-caller-{}", sequence).c_str(), outcome.handle.c_str());
        STRCMP_EQUAL(sequence == 1 ? "" : fmt::format("h{}", sequence).c_str(), host.c_str());
    }
}

TEST(PieceBatcher, ACallHoldsNoMoreThanTheBatchAndTheMostUrgentGoFirst)
{
    Bench bench(2);
    bench.order(1);
    bench.order(2, "", 2);
    bench.order(3, "", 1);
    bench.order(4, "", 0);
    bench.answer(bench.calls[0]);
    LONGS_EQUAL(2, bench.calls[1].orders.size());
    STRCMP_EQUAL("caller-4", bench.calls[1].orders[0].callerId.c_str());
    STRCMP_EQUAL("caller-3", bench.calls[1].orders[1].callerId.c_str());
}

TEST(PieceBatcher, ARefusedCallIsTriedAgainAndThenGivenBack)
{
    Bench bench;
    bench.order(1);
    bench.fail(bench.calls[0], SendEvidence::RefusedBeforeRun);
    CHECK(bench.outcomes.empty());
    // The pause doubles: 40, 80 and 160 ms.
    for (std::size_t i = 1; i <= 3; ++i) {
        bench.advance(milliseconds(20 << i) - milliseconds(10));
        LONGS_EQUAL(i, bench.calls.size());
        bench.advance(milliseconds(20));
        LONGS_EQUAL(i + 1, bench.calls.size());
        bench.fail(bench.calls[i], SendEvidence::RefusedBeforeRun);
    }
    LONGS_EQUAL(1, bench.outcomes.size());
    CHECK(bench.outcomes[0].second.fault == PieceFault::Refused);
}

TEST(PieceBatcher, ALeavingEndpointGetsNoCall)
{
    Bench bench;
    markLeaving(*bench.snapshot, "maker-0");
    bench.order(1);
    CHECK(bench.calls.empty());
    LONGS_EQUAL(1, bench.outcomes.size());
    CHECK(bench.outcomes[0].second.fault == PieceFault::Refused);
}

TEST(PieceBatcher, WhatIsWithdrawnIsNotCalled)
{
    Bench bench;
    bench.order(1);
    bench.order(2, "h2");
    bench.batcher.withdraw("h2", {{{7, 2}}});
    bench.answer(bench.calls[0]);
    LONGS_EQUAL(1, bench.calls.size());
}

TEST(PieceBatcher, WhatWouldBeLateTakesNoPlace)
{
    Bench bench;
    bench.order(1);
    PieceOrder hasty = pieceOrder(2);
    hasty.untilDeadline = milliseconds(100);
    bench.batcher.handle("", {"pieces", {hasty}}, *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(1, bench.outcomes.size());
    CHECK(bench.outcomes[0].second.fault == PieceFault::Late);
}

TEST(PieceBatcher, APieceGoesToWhicheverEndpointIsFree)
{
    Bench bench(4, 2);
    bench.order(1);
    bench.order(2);
    LONGS_EQUAL(2, bench.calls.size());
    CHECK(bench.calls[0].endpoint != bench.calls[1].endpoint);
    bench.order(3);
    LONGS_EQUAL(2, bench.calls.size());
    bench.answer(bench.calls[1]);
    LONGS_EQUAL(3, bench.calls.size());
    CHECK(bench.calls[2].endpoint == bench.calls[1].endpoint);
}

TEST(PieceBatcher, ThePiecesOfARequestShareACallWhereTheyFit)
{
    Bench bench(4);
    bench.order(1);
    for (std::uint64_t request = 2; request <= 3; ++request) {
        PieceOrders orders{"pieces", {}};
        for (std::uint32_t piece = 0; piece < 3; ++piece) {
            orders.orders.push_back(pieceOrder(request, piece));
        }
        bench.batcher.handle("", orders, *bench.snapshot);
    }
    bench.collect();
    bench.answer(bench.calls[0]);
    // Four places would hold a piece of the third request, which could do nothing with it.
    LONGS_EQUAL(3, bench.calls[1].orders.size());
}

TEST(PieceBatcher, NoCallIsFormedWhoseResultsFindNoRoom)
{
    Bench bench(4);
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    std::get<PoolSpec>(resources[0].spec).pieces->roomBytes = 1000;
    std::get<PoolSpec>(resources[0].spec).pieces->resultLife = milliseconds(4000);
    bench.snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    PieceOrder large = pieceOrder(1);
    large.resultBytes = 800;
    bench.batcher.handle("", {"pieces", {large}}, *bench.snapshot);
    bench.collect();
    bench.answer(bench.calls[0]);
    large = pieceOrder(2);
    large.resultBytes = 800;
    bench.batcher.handle("", {"pieces", {large}}, *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(1, bench.calls.size());
    bench.batcher.handle({"pieces", {"handle-caller-1"}}, *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(2, bench.calls.size());
    bench.advance(milliseconds(40));
    LONGS_EQUAL(1, bench.batcher.drainFreedResults().size());
}

TEST(PieceBatcher, WhatTheFirstEndpointCouldNotBeginGoesToAnother)
{
    Bench bench(4, 2);
    bench.order(1);
    bench.fail(bench.calls[0], SendEvidence::NothingSent);
    LONGS_EQUAL(2, bench.calls.size());
    CHECK(bench.calls[0].endpoint != bench.calls[1].endpoint);
    CHECK(bench.outcomes.empty());
}

TEST(PieceBatcher, APieceWithoutRoomWaitsForSome)
{
    Bench bench;
    bench.order(1);
    PieceCallEnded ended;
    ended.id = bench.calls[0].id;
    ended.answered = true;
    ended.results.push_back({"", PieceFault::NoRoom});
    bench.batcher.handle(ended, *bench.snapshot);
    bench.collect();
    CHECK(bench.outcomes.empty());
    bench.advance(milliseconds(200));
    LONGS_EQUAL(2, bench.calls.size());
}

TEST(PieceBatcher, ADaemonIsIdleWhenNoCallIsInFlight)
{
    Bench bench;
    CHECK(bench.batcher.idle());
    bench.order(1);
    CHECK_FALSE(bench.batcher.idle());
    bench.answer(bench.calls[0]);
    CHECK(bench.batcher.idle());
}

TEST(PieceBatcher, AnEndpointThatFailedAPieceDoesNotGetItAgain)
{
    Bench bench(4, 2);
    PieceOrder order = pieceOrder(1);
    order.avoid = "maker-0";
    bench.batcher.handle("", {"pieces", {order}}, *bench.snapshot);
    bench.collect();
    STRCMP_EQUAL("maker-1", bench.calls[0].endpoint.c_str());
}

namespace {

/// Moves on with every reading, as a real clock does.
class RestlessClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        m_now += std::chrono::nanoseconds(160);
        return m_now;
    }
    [[nodiscard]] WallTime wallNow() const override { return {}; }

private:
    mutable TimePoint m_now{std::chrono::hours(1)};
};

} // namespace

TEST(PieceBatcher, AClockThatMovesBetweenTwoReadingsHoldsNoCallBack)
{
    const RestlessClock clock;
    const std::unique_ptr<const Snapshot> snapshot =
        buildSnapshot(pieceConfiguration(1, 4), 1, "dc1", nullptr);
    PieceBatcher batcher(clock);
    batcher.handle("", {"pieces", {pieceOrder(1)}}, *snapshot);
    LONGS_EQUAL(1, batcher.drainCalls().size());
}

TEST(PieceBatcher, AnEndpointThatGoesOnRefusingIsAskedLessAndLess)
{
    // Another batcher, which is gone by now, has filled its queue.
    Bench bench;
    bench.order(1);
    for (int i = 0; i < 200; ++i) {
        if (i % 20 == 0) {
            bench.order(static_cast<std::uint64_t>(i) + 2);
        }
        while (bench.answered < bench.calls.size()) {
            bench.fail(bench.calls[bench.answered++], SendEvidence::RefusedBeforeRun);
        }
        bench.advance(milliseconds(10));
    }
    // Two seconds: at a constant pause of 40 ms there would be fifty.
    CHECK(bench.calls.size() < 15);
    CHECK(bench.calls.size() > 5);
}

TEST(PieceBatcher, ForecastsAreCorrectedByWhatCameOfThem)
{
    // Room for one result: a piece waits until the one before it is freed, and neither the
    // queue nor the endpoint's speed shows that.
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    auto &pool = std::get<PoolSpec>(resources[0].spec);
    pool.pieces->roomBytes = 100;
    pool.pieces->resultLife = std::chrono::seconds(10);
    Bench bench;
    bench.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    const auto predicted = [&bench] {
        return predictCompletion(*bench.snapshot->pool("pieces"), 1, 0, bench.clock.now());
    };
    const Duration before = predicted();
    for (std::uint64_t i = 1; i <= 100; ++i) {
        PieceOrder order = pieceOrder(i);
        order.resultBytes = 100;
        bench.batcher.handle("", {"pieces", {order}}, *bench.snapshot);
        bench.collect();
        bench.advance(milliseconds(400));
        const std::string earlier = fmt::format("handle-caller-{}", i - 1);
        bench.batcher.handle(PieceFrees{"pieces", {earlier}}, *bench.snapshot);
        bench.collect();
        LONGS_EQUAL(i, bench.calls.size());
        bench.advance(milliseconds(160));
        bench.answer(bench.calls.back());
    }
    const std::vector<PieceBacklog> told = bench.batcher.backlogs(*bench.snapshot);
    DOUBLES_EQUAL(1, told.at(0).slowness, 0.1);
    PieceRouter::handle(told.at(0), *bench.snapshot, bench.clock.now());
    CHECK(predicted() > before * 2);
    CHECK(predicted() < before * 5);
}

TEST(PieceBatcher, PiecesWaitForTheDataCentreOfWhatTheyRead)
{
    std::vector<Resource> resources = pieceConfiguration(2, 16);
    std::get<EndpointSpec>(resources[2].spec).dataCentre = "dc2";
    Bench bench;
    bench.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    const auto orderGroup = [&bench](std::uint64_t sequence) {
        PieceOrders orders{"pieces", {}};
        for (std::uint32_t piece = 0; piece < 16; ++piece) {
            PieceOrder order = pieceOrder(sequence, piece);
            order.inputBytes = 480'000;
            order.inputsDataCentre = "dc2";
            // The small results are needed elsewhere.
            order.dataCentre = "dc1";
            order.resultBytes = 6'000;
            orders.orders.push_back(order);
        }
        bench.batcher.handle("", orders, *bench.snapshot);
        bench.collect();
    };
    for (std::uint64_t i = 1; i <= 3; ++i) {
        orderGroup(i);
    }
    // 7.7 MB count as 154 ms, a call takes 310 ms: the second group would wait for longer
    // than that, and the endpoint of the other data centre is free.
    LONGS_EQUAL(2, bench.calls.size());
    STRCMP_EQUAL("maker-1", bench.calls[0].endpoint.c_str());
    STRCMP_EQUAL("maker-0", bench.calls[1].endpoint.c_str());
    // When it is nearly free, the third one waits for it.
    bench.advance(milliseconds(296));
    LONGS_EQUAL(3, bench.calls.size());
    STRCMP_EQUAL("maker-1", bench.calls[2].endpoint.c_str());
}

TEST(PieceBatcher, WhatTheNextCallOfANearerEndpointCannotTakeGoesElsewhere)
{
    std::vector<Resource> resources = pieceConfiguration(2, 4);
    std::get<EndpointSpec>(resources[2].spec).dataCentre = "dc2";
    Bench bench;
    bench.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    PieceOrders orders{"pieces", {}};
    for (std::uint64_t i = 1; i <= 12; ++i) {
        PieceOrder order = pieceOrder(i);
        // 16 MB count as 320 ms: worth to wait for a call of 190 ms.
        order.inputBytes = 16'000'000;
        order.inputsDataCentre = "dc2";
        orders.orders.push_back(order);
    }
    bench.batcher.handle("", orders, *bench.snapshot);
    bench.collect();
    // Four are left to the nearer endpoint, and the others do not leave the second idle.
    LONGS_EQUAL(2, bench.calls.size());
    STRCMP_EQUAL("maker-0", bench.calls[0].endpoint.c_str());
    LONGS_EQUAL(4, bench.calls[0].orders.size());
    LONGS_EQUAL(5, bench.calls[0].orders[0].id.request.sequence);
    STRCMP_EQUAL("maker-1", bench.calls[1].endpoint.c_str());
    LONGS_EQUAL(4, bench.calls[1].orders.size());
    LONGS_EQUAL(1, bench.calls[1].orders[0].id.request.sequence);
    // The last four wait for the nearer one, which is free again sooner than they are worth.
    bench.advance(milliseconds(176));
    LONGS_EQUAL(3, bench.calls.size());
    STRCMP_EQUAL("maker-1", bench.calls[2].endpoint.c_str());
}

TEST(PieceBatcher, TheRoomOfADaemonThatIsGoneIsGivenBack)
{
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    std::get<PoolSpec>(resources[0].spec).pieces->roomBytes = 2000;
    std::get<PoolSpec>(resources[0].spec).pieces->resultLife = std::chrono::seconds(4);
    Bench bench;
    bench.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    const auto order = [&bench](const std::string &host, std::uint64_t sequence,
                                Incarnation incarnation) {
        PieceOrder piece = pieceOrder(sequence);
        piece.id.request.incarnation = incarnation;
        piece.resultBytes = 1000;
        bench.batcher.handle(host, {"pieces", {piece}}, *bench.snapshot);
        bench.collect();
    };
    order("h1", 1, 7);
    order("h1", 2, 7);
    bench.answer(bench.calls[0]);
    bench.advance(milliseconds(200));
    bench.answer(bench.calls.at(1));
    // Both results of h1 stand: there is no room for another.
    order("h2", 3, 8);
    bench.advance(milliseconds(300));
    LONGS_EQUAL(2, bench.calls.size());
    bench.batcher.removeHost("h1", *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(3, bench.calls.size());
    bench.advance(milliseconds(50));
    LONGS_EQUAL(2, bench.batcher.drainFreedResults().size());
    // h2 ends and starts anew while its call is at work: its result is freed as it comes.
    order("h2", 4, 9);
    bench.answer(bench.calls[2]);
    bench.advance(milliseconds(50));
    const std::vector<std::string> freed = bench.batcher.drainFreedResults();
    LONGS_EQUAL(1, freed.size());
    STRCMP_EQUAL("handle-caller-3", freed[0].c_str());
}

/// A call that takes longer than it should may never be answered, or its endpoint is slow: the
/// next pieces go where calls end.
TEST(PieceBatcher, AnEndpointWhoseCallIsOverdueIsNotTakenForFree)
{
    Bench bench(4, 2);
    bench.order(1);
    bench.order(2);
    LONGS_EQUAL(2, bench.calls.size());
    const PieceCall overdue = bench.calls[0];
    CHECK(overdue.endpoint != bench.calls[1].endpoint);
    // 160 ms each; the first goes on.
    bench.advance(milliseconds(200));
    bench.answer(bench.calls[1]);
    bench.order(3);
    LONGS_EQUAL(3, bench.calls.size());
    CHECK(bench.calls[2].endpoint != overdue.endpoint);
    bench.advance(milliseconds(100));
    // Now only the overdue one has no call behind its first.
    bench.order(4);
    LONGS_EQUAL(3, bench.calls.size());
    bench.advance(milliseconds(100));
    bench.answer(bench.calls[2]);
    LONGS_EQUAL(4, bench.calls.size());
    CHECK(bench.calls[3].endpoint != overdue.endpoint);
    // Once it answers it is called as before.
    bench.answer(overdue);
    bench.order(5);
    LONGS_EQUAL(5, bench.calls.size());
    STRCMP_EQUAL(overdue.endpoint.c_str(), bench.calls[4].endpoint.c_str());
}
