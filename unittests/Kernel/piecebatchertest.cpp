//===- piecebatchertest.cpp - Tests of the batching of pieces -------------===//

#include "piecefixture.h"

#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Kernel/piecerouter.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    explicit Fixture(std::uint32_t batch = 4, int endpoints = 1)
        : snapshot(buildSnapshot(pieceConfiguration(endpoints, batch), 1, "dc1", nullptr))
    {
    }
    void submit(std::uint64_t sequence, const std::string &host = "", int priority = 0)
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
            ended.results.push_back({"handle-" + order.source->callerId, PieceFault::None});
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
    std::size_t answered = 0; ///< Number of calls that a test has answered.
    std::vector<std::pair<std::string, PieceOutcome>> outcomes;
};

} // namespace

TEST_GROUP(PieceBatcher){};

TEST(PieceBatcher, CallsAnIdleEndpointAtOnce)
{
    Fixture fixture;
    fixture.submit(1);
    LONGS_EQUAL(1, fixture.calls.size());
    LONGS_EQUAL(1, fixture.calls[0].orders.size());
}

TEST(PieceBatcher, BatchesPiecesThatArriveDuringACall)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.submit(2, "h2");
    fixture.submit(3, "h3");
    LONGS_EQUAL(1, fixture.calls.size());
    fixture.advance(milliseconds(150));
    LONGS_EQUAL(2, fixture.calls.size());
    LONGS_EQUAL(2, fixture.calls[1].orders.size());
}

TEST(PieceBatcher, ReturnsEachOutcomeToItsOwnDaemon)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.submit(2, "h2");
    fixture.submit(3, "h3");
    fixture.answer(fixture.calls[0]);
    fixture.answer(fixture.calls[1]);
    LONGS_EQUAL(3, fixture.outcomes.size());
    for (const auto &[host, outcome] : fixture.outcomes) {
        const std::uint64_t sequence = outcome.id.request.sequence;
        STRCMP_EQUAL(fmt::format("handle-caller-{}", sequence).c_str(), outcome.handle.c_str());
        STRCMP_EQUAL(sequence == 1 ? "" : fmt::format("h{}", sequence).c_str(), host.c_str());
    }
}

/// A call states the inputs of each of its pieces, so a batch of them may take many megabytes.
TEST(PieceBatcher, LimitsTheInputsOfACall)
{
    Fixture fixture(8);
    const SharedPieceSource source({"caller", "", {std::string(200'000, 'h')}});
    const SharedPieceSource large({"caller", "", {std::string(2'000'000, 'h')}});
    PieceOrders orders{"pieces", {}};
    for (std::uint32_t piece = 0; piece < 7; ++piece) {
        orders.orders.push_back(pieceOrder(1, piece));
        orders.orders.back().source = piece < 6 ? source : large;
    }
    fixture.batcher.handle("", orders, *fixture.snapshot);
    fixture.collect();
    std::size_t pieces = 0;
    for (std::size_t i = 0; i < fixture.calls.size(); ++i) {
        const PieceCall call = fixture.calls[i];
        pieces += call.orders.size();
        LONGS_EQUAL(call.orders[0].source.isSame(large) ? 1 : 2, call.orders.size());
        fixture.answer(call);
    }
    LONGS_EQUAL(7, pieces);
}

TEST(PieceBatcher, LimitsCallsToTheBatchSizeMostUrgentFirst)
{
    Fixture fixture(2);
    fixture.submit(1);
    fixture.submit(2, "", 2);
    fixture.submit(3, "", 1);
    fixture.submit(4, "", 0);
    fixture.answer(fixture.calls[0]);
    LONGS_EQUAL(2, fixture.calls[1].orders.size());
    STRCMP_EQUAL("caller-4", fixture.calls[1].orders[0].source->callerId.c_str());
    STRCMP_EQUAL("caller-3", fixture.calls[1].orders[1].source->callerId.c_str());
}

TEST(PieceBatcher, RetriesARefusedCallAndThenReportsIt)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.fail(fixture.calls[0], SendEvidence::RefusedBeforeRun);
    CHECK(fixture.outcomes.empty());
    // The backoff doubles: 40, 80 and 160 ms.
    for (std::size_t i = 1; i <= 3; ++i) {
        fixture.advance(milliseconds(20 << i) - milliseconds(10));
        LONGS_EQUAL(i, fixture.calls.size());
        fixture.advance(milliseconds(20));
        LONGS_EQUAL(i + 1, fixture.calls.size());
        fixture.fail(fixture.calls[i], SendEvidence::RefusedBeforeRun);
    }
    LONGS_EQUAL(1, fixture.outcomes.size());
    CHECK(fixture.outcomes[0].second.fault == PieceFault::Refused);
}

TEST(PieceBatcher, DoesNotCallALeavingEndpoint)
{
    Fixture fixture;
    markLeaving(*fixture.snapshot, "maker-0");
    fixture.submit(1);
    CHECK(fixture.calls.empty());
    LONGS_EQUAL(1, fixture.outcomes.size());
    CHECK(fixture.outcomes[0].second.fault == PieceFault::Refused);
}

TEST(PieceBatcher, DoesNotCallForWithdrawnPieces)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.submit(2, "h2");
    fixture.batcher.withdraw("h2", {{{7, 2}}});
    fixture.answer(fixture.calls[0]);
    LONGS_EQUAL(1, fixture.calls.size());
}

TEST(PieceBatcher, DropsPiecesThatWouldBeLate)
{
    Fixture fixture;
    fixture.submit(1);
    PieceOrder urgent = pieceOrder(2);
    urgent.untilDeadline = milliseconds(100);
    fixture.batcher.handle("", {"pieces", {urgent}}, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(1, fixture.outcomes.size());
    CHECK(fixture.outcomes[0].second.fault == PieceFault::Late);
}

TEST(PieceBatcher, SendsAPieceToAnyFreeEndpoint)
{
    Fixture fixture(4, 2);
    fixture.submit(1);
    fixture.submit(2);
    LONGS_EQUAL(2, fixture.calls.size());
    CHECK(fixture.calls[0].endpoint != fixture.calls[1].endpoint);
    fixture.submit(3);
    LONGS_EQUAL(2, fixture.calls.size());
    fixture.answer(fixture.calls[1]);
    LONGS_EQUAL(3, fixture.calls.size());
    CHECK(fixture.calls[2].endpoint == fixture.calls[1].endpoint);
}

TEST(PieceBatcher, KeepsPiecesOfARequestInOneCallIfTheyFit)
{
    Fixture fixture(4);
    fixture.submit(1);
    for (std::uint64_t request = 2; request <= 3; ++request) {
        PieceOrders orders{"pieces", {}};
        for (std::uint32_t piece = 0; piece < 3; ++piece) {
            orders.orders.push_back(pieceOrder(request, piece));
        }
        fixture.batcher.handle("", orders, *fixture.snapshot);
    }
    fixture.collect();
    fixture.answer(fixture.calls[0]);
    // One of the 4 batch slots stays empty: a single piece of the third request would not help it.
    LONGS_EQUAL(3, fixture.calls[1].orders.size());
}

TEST(PieceBatcher, FormsNoCallWithoutBufferSpaceForItsResults)
{
    Fixture fixture(4);
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    std::get<PoolSpec>(resources[0].spec).pieces->resultBufferBytes = 1000;
    std::get<PoolSpec>(resources[0].spec).pieces->resultTtl = milliseconds(4000);
    fixture.snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    PieceOrder large = pieceOrder(1);
    large.resultBytes = 800;
    fixture.batcher.handle("", {"pieces", {large}}, *fixture.snapshot);
    fixture.collect();
    fixture.answer(fixture.calls[0]);
    large = pieceOrder(2);
    large.resultBytes = 800;
    fixture.batcher.handle("", {"pieces", {large}}, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(1, fixture.calls.size());
    fixture.batcher.handle({"pieces", {"handle-caller-1"}}, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(2, fixture.calls.size());
    fixture.advance(milliseconds(40));
    LONGS_EQUAL(1, fixture.batcher.drainFreedResults().size());
}

// The first results of a group that is split for lack of buffer space occupy the buffer unused
// until the rest is computed, so that later stages get less work than the buffer allows.
TEST(PieceBatcher, AGroupWaitsForBufferSpaceAsAWhole)
{
    Fixture fixture(4);
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    std::get<PoolSpec>(resources[0].spec).pieces->resultBufferBytes = 1000;
    std::get<PoolSpec>(resources[0].spec).pieces->resultTtl = milliseconds(4000);
    fixture.snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    const auto submit = [&fixture](std::uint64_t request, std::uint32_t pieces,
                                   std::uint64_t bytes) {
        PieceOrders orders{"pieces", {}};
        for (std::uint32_t piece = 0; piece < pieces; ++piece) {
            orders.orders.push_back(pieceOrder(request, piece));
            orders.orders.back().resultBytes = bytes;
        }
        fixture.batcher.handle("", orders, *fixture.snapshot);
        fixture.collect();
    };
    submit(1, 1, 950);
    submit(2, 2, 50);
    submit(3, 1, 40);
    fixture.answer(fixture.calls[0]);
    LONGS_EQUAL(2, fixture.calls.size());
    LONGS_EQUAL(1, fixture.calls[1].orders.size());
    LONGS_EQUAL(3, fixture.calls[1].orders[0].id.request.sequence);
    fixture.batcher.handle({"pieces", {"handle-caller-1"}}, *fixture.snapshot);
    fixture.collect();
    fixture.answer(fixture.calls[1]);
    LONGS_EQUAL(3, fixture.calls.size());
    LONGS_EQUAL(2, fixture.calls[2].orders.size());
}

// A group that needs a large part of the buffer would wait for longer than it takes to compute it.
TEST(PieceBatcher, ALargeGroupIsSplitForLackOfBufferSpace)
{
    Fixture fixture(4);
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    std::get<PoolSpec>(resources[0].spec).pieces->resultBufferBytes = 1000;
    std::get<PoolSpec>(resources[0].spec).pieces->resultTtl = milliseconds(4000);
    fixture.snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    PieceOrders orders{"pieces", {pieceOrder(1, 0), pieceOrder(1, 1), pieceOrder(1, 2)}};
    for (PieceOrder &order : orders.orders) {
        order.resultBytes = 400;
    }
    fixture.batcher.handle("", orders, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(1, fixture.calls.size());
    LONGS_EQUAL(2, fixture.calls[0].orders.size());
}

TEST(PieceBatcher, SendsAPieceThatWasNotStartedToAnotherEndpoint)
{
    Fixture fixture(4, 2);
    fixture.submit(1);
    fixture.fail(fixture.calls[0], SendEvidence::NothingSent);
    LONGS_EQUAL(2, fixture.calls.size());
    CHECK(fixture.calls[0].endpoint != fixture.calls[1].endpoint);
    CHECK(fixture.outcomes.empty());
}

TEST(PieceBatcher, RetriesAPieceAfterLackOfBufferSpace)
{
    Fixture fixture;
    fixture.submit(1);
    PieceCallEnded ended;
    ended.id = fixture.calls[0].id;
    ended.answered = true;
    ended.results.push_back({"", PieceFault::NoRoom});
    fixture.batcher.handle(ended, *fixture.snapshot);
    fixture.collect();
    CHECK(fixture.outcomes.empty());
    fixture.advance(milliseconds(200));
    LONGS_EQUAL(2, fixture.calls.size());
}

TEST(PieceBatcher, IsIdleWhenNoCallIsInFlight)
{
    Fixture fixture;
    CHECK(fixture.batcher.idle());
    fixture.submit(1);
    CHECK_FALSE(fixture.batcher.idle());
    fixture.answer(fixture.calls[0]);
    CHECK(fixture.batcher.idle());
}

TEST(PieceBatcher, AvoidsTheEndpointThatFailedAPiece)
{
    Fixture fixture(4, 2);
    PieceOrder order = pieceOrder(1);
    order.avoid = "maker-0";
    fixture.batcher.handle("", {"pieces", {order}}, *fixture.snapshot);
    fixture.collect();
    STRCMP_EQUAL("maker-1", fixture.calls[0].endpoint.c_str());
}

namespace {

/// Advances with each reading, as a real clock does.
class AdvancingClock final : public Clock
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

TEST(PieceBatcher, SendsAtOnceIfTheClockAdvancesBetweenReadings)
{
    const AdvancingClock clock;
    const std::unique_ptr<const Snapshot> snapshot =
        buildSnapshot(pieceConfiguration(1, 4), 1, "dc1", nullptr);
    PieceBatcher batcher(clock);
    batcher.handle("", {"pieces", {pieceOrder(1)}}, *snapshot);
    LONGS_EQUAL(1, batcher.drainCalls().size());
}

TEST(PieceBatcher, BacksOffFromAnEndpointThatKeepsRefusing)
{
    // A previous batcher, which is lost, has filled the queue of the endpoint.
    Fixture fixture;
    fixture.submit(1);
    for (int i = 0; i < 200; ++i) {
        if (i % 20 == 0) {
            fixture.submit(static_cast<std::uint64_t>(i) + 2);
        }
        while (fixture.answered < fixture.calls.size()) {
            fixture.fail(fixture.calls[fixture.answered++], SendEvidence::RefusedBeforeRun);
        }
        fixture.advance(milliseconds(10));
    }
    // In 2 s, a constant backoff of 40 ms would give 50 calls.
    CHECK(fixture.calls.size() < 15);
    CHECK(fixture.calls.size() > 5);
}

namespace {

/// Returns the prediction for a piece, relative to the first one, after pieces that waited for
/// buffer space: there is space for one result, so each piece waits until the previous result is
/// freed. Neither queue length nor slowness of the endpoint reflects that.
double predictionAfterWaits(bool isOverloaded)
{
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    auto &pool = std::get<PoolSpec>(resources[0].spec);
    pool.pieces->resultBufferBytes = 100;
    pool.pieces->resultTtl = std::chrono::seconds(10);
    Fixture fixture;
    fixture.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    const auto predicted = [&fixture] {
        return predictCompletion(*fixture.snapshot->pool("pieces"), 1, 0, fixture.clock.now());
    };
    const Duration before = predicted();
    for (std::uint64_t i = 1; i <= 100; ++i) {
        PieceOrder order = pieceOrder(i);
        order.resultBytes = 100;
        fixture.batcher.handle("", {"pieces", {order}}, *fixture.snapshot);
        fixture.collect();
        if (isOverloaded) {
            fixture.batcher.recordOverload();
        }
        fixture.advance(milliseconds(400));
        const std::string earlier = fmt::format("handle-caller-{}", i - 1);
        fixture.batcher.handle(PieceFrees{"pieces", {earlier}}, *fixture.snapshot);
        fixture.collect();
        LONGS_EQUAL(i, fixture.calls.size());
        fixture.advance(milliseconds(160));
        fixture.answer(fixture.calls.back());
    }
    const std::vector<PieceBacklog> backlogs = fixture.batcher.backlogs(*fixture.snapshot);
    DOUBLES_EQUAL(1, backlogs.at(0).slowness, 0.1);
    PieceRouter::handle(backlogs.at(0), *fixture.snapshot, fixture.clock.now());
    return std::chrono::duration<double>(predicted()) / std::chrono::duration<double>(before);
}

} // namespace

TEST(PieceBatcher, CorrectsForecastsByMeasuredTimes)
{
    const double ratio = predictionAfterWaits(false);
    CHECK(ratio > 2);
    CHECK(ratio < 5);
}

TEST(PieceBatcher, OverloadOfThisHostIsNotLearnedAsSlownessOfPools)
{
    DOUBLES_EQUAL(1, predictionAfterWaits(true), 0.1);
}

TEST(PieceBatcher, WaitsForAnEndpointInTheDataCentreOfTheInputs)
{
    std::vector<Resource> resources = pieceConfiguration(2, 16);
    std::get<EndpointSpec>(resources[2].spec).dataCentre = "dc2";
    Fixture fixture;
    fixture.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    const auto orderGroup = [&fixture](std::uint64_t sequence) {
        PieceOrders orders{"pieces", {}};
        for (std::uint32_t piece = 0; piece < 16; ++piece) {
            PieceOrder order = pieceOrder(sequence, piece);
            order.inputBytes = 480'000;
            order.inputsDataCentre = "dc2";
            // The results, which are small, are needed in another data centre.
            order.dataCentre = "dc1";
            order.resultBytes = 6'000;
            orders.orders.push_back(order);
        }
        fixture.batcher.handle("", orders, *fixture.snapshot);
        fixture.collect();
    };
    for (std::uint64_t i = 1; i <= 3; ++i) {
        orderGroup(i);
    }
    // 7.7 MB count as 154 ms, and a call takes 310 ms: the second group would wait longer than
    // that, so it goes to the free endpoint in the other data centre.
    LONGS_EQUAL(2, fixture.calls.size());
    STRCMP_EQUAL("maker-1", fixture.calls[0].endpoint.c_str());
    STRCMP_EQUAL("maker-0", fixture.calls[1].endpoint.c_str());
    // The third group waits, since the closer endpoint is nearly free by then.
    fixture.advance(milliseconds(296));
    LONGS_EQUAL(3, fixture.calls.size());
    STRCMP_EQUAL("maker-1", fixture.calls[2].endpoint.c_str());
}

TEST(PieceBatcher, SendsPiecesElsewhereIfTheNextCallOfACloserEndpointIsFull)
{
    std::vector<Resource> resources = pieceConfiguration(2, 4);
    std::get<EndpointSpec>(resources[2].spec).dataCentre = "dc2";
    Fixture fixture;
    fixture.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    PieceOrders orders{"pieces", {}};
    for (std::uint64_t i = 1; i <= 12; ++i) {
        PieceOrder order = pieceOrder(i);
        // 16 MB count as 320 ms, more than the wait for a call of 190 ms.
        order.inputBytes = 16'000'000;
        order.inputsDataCentre = "dc2";
        orders.orders.push_back(order);
    }
    fixture.batcher.handle("", orders, *fixture.snapshot);
    fixture.collect();
    // Four pieces are reserved for the closer endpoint; others use the second one.
    LONGS_EQUAL(2, fixture.calls.size());
    STRCMP_EQUAL("maker-0", fixture.calls[0].endpoint.c_str());
    LONGS_EQUAL(4, fixture.calls[0].orders.size());
    LONGS_EQUAL(5, fixture.calls[0].orders[0].id.request.sequence);
    STRCMP_EQUAL("maker-1", fixture.calls[1].endpoint.c_str());
    LONGS_EQUAL(4, fixture.calls[1].orders.size());
    LONGS_EQUAL(1, fixture.calls[1].orders[0].id.request.sequence);
    // The last four wait for the closer endpoint, which is free before the saved cost is used up.
    fixture.advance(milliseconds(176));
    LONGS_EQUAL(3, fixture.calls.size());
    STRCMP_EQUAL("maker-1", fixture.calls[2].endpoint.c_str());
}

TEST(PieceBatcher, FreesTheResultsOfALostDaemon)
{
    std::vector<Resource> resources = pieceConfiguration(1, 4);
    std::get<PoolSpec>(resources[0].spec).pieces->resultBufferBytes = 2000;
    std::get<PoolSpec>(resources[0].spec).pieces->resultTtl = std::chrono::seconds(4);
    Fixture fixture;
    fixture.snapshot = buildSnapshot(resources, 2, "dc1", nullptr);
    const auto order = [&fixture](const std::string &host, std::uint64_t sequence,
                                  Incarnation incarnation) {
        PieceOrder piece = pieceOrder(sequence);
        piece.id.request.incarnation = incarnation;
        piece.resultBytes = 1000;
        fixture.batcher.handle(host, {"pieces", {piece}}, *fixture.snapshot);
        fixture.collect();
    };
    order("h1", 1, 7);
    order("h1", 2, 7);
    fixture.answer(fixture.calls[0]);
    fixture.advance(milliseconds(200));
    fixture.answer(fixture.calls.at(1));
    // Both results of h1 are stored, so there is no buffer space for another one.
    order("h2", 3, 8);
    fixture.advance(milliseconds(300));
    LONGS_EQUAL(2, fixture.calls.size());
    fixture.batcher.removeHost("h1", *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(3, fixture.calls.size());
    fixture.advance(milliseconds(50));
    LONGS_EQUAL(2, fixture.batcher.drainFreedResults().size());
    // h2 restarts while its call is in flight: the result is freed on arrival.
    order("h2", 4, 9);
    fixture.answer(fixture.calls[2]);
    fixture.advance(milliseconds(50));
    const std::vector<std::string> freed = fixture.batcher.drainFreedResults();
    LONGS_EQUAL(1, freed.size());
    STRCMP_EQUAL("handle-caller-3", freed[0].c_str());
}

/// An overdue call may never be answered, or its endpoint is slow. Guards against sending further
/// pieces there instead of to endpoints whose calls end.
TEST(PieceBatcher, RegardsAnEndpointWithAnOverdueCallAsBusy)
{
    Fixture fixture(4, 2);
    fixture.submit(1);
    fixture.submit(2);
    LONGS_EQUAL(2, fixture.calls.size());
    const PieceCall overdue = fixture.calls[0];
    CHECK(overdue.endpoint != fixture.calls[1].endpoint);
    // Each call takes 160 ms; the first one does not end.
    fixture.advance(milliseconds(200));
    fixture.answer(fixture.calls[1]);
    fixture.submit(3);
    LONGS_EQUAL(3, fixture.calls.size());
    CHECK(fixture.calls[2].endpoint != overdue.endpoint);
    fixture.advance(milliseconds(100));
    // Now only the overdue endpoint has no second call.
    fixture.submit(4);
    LONGS_EQUAL(3, fixture.calls.size());
    fixture.advance(milliseconds(100));
    fixture.answer(fixture.calls[2]);
    LONGS_EQUAL(4, fixture.calls.size());
    CHECK(fixture.calls[3].endpoint != overdue.endpoint);
    // After its answer the endpoint is called again.
    fixture.answer(overdue);
    fixture.submit(5);
    LONGS_EQUAL(5, fixture.calls.size());
    STRCMP_EQUAL(overdue.endpoint.c_str(), fixture.calls[4].endpoint.c_str());
}

// Guards against sums of upcoming pieces that wrap, and against names of pools that do not exist.
TEST(PieceBatcher, BoundsTheUpcomingPiecesThatItReports)
{
    Fixture fixture;
    std::vector<PieceOrder> orders;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        orders.push_back(pieceOrder(i));
        orders.back().upcoming = {{"pieces", maxReportedPieces, 10}, {"unknown", 1, 1}};
    }
    fixture.batcher.handle("", {"pieces", orders}, *fixture.snapshot);
    const PieceBacklog backlog = fixture.batcher.backlogs(*fixture.snapshot).at(0);
    LONGS_EQUAL(1, backlog.upcoming.size());
    LONGS_EQUAL(maxReportedPieces, backlog.upcoming[0].pieces[0]);
    LONGS_EQUAL(30, backlog.upcoming[0].resultBytes[0]);
}
