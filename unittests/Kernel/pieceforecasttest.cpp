//===- pieceforecasttest.cpp - Tests of completion forecasts --------------===//

#include "piecefixture.h"

#include "harelink/Kernel/pieceforecast.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t resultBytes = 100;

/// Returns four endpoints with a batch of 10 and space for 20 results each. A full call takes
/// 250 ms, so that all together complete 160 pieces per second.
std::vector<Resource> configuration()
{
    std::vector<Resource> resources = pieceConfiguration(4, 10);
    std::get<PoolSpec>(resources[0].spec).pieces->resultBufferBytes = 20 * resultBytes;
    return resources;
}

} // namespace

TEST_GROUP(PieceForecast)
{
    ManualClock clock;
    std::shared_ptr<const Snapshot> snapshot = buildSnapshot(configuration(), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("pieces");
    PieceBacklog backlog;

    void setup() override
    {
        backlog.pool = "pieces";
        backlog.endpoints = 4;
    }
    Duration predict(Duration startsIn, bool countsUpcoming = true) const
    {
        PieceDemand demand;
        demand.resultBytes = resultBytes;
        demand.startsIn = startsIn;
        if (countsUpcoming) {
            demand.upcoming = upcomingDemand(pool, pool, 0, clock.now());
        }
        return predictCompletion(pool, demand, clock.now());
    }
    void reportUpcoming(std::uint32_t pieces, std::uint64_t bytes, const char *source = "earlier")
    {
        PieceBacklog report;
        report.pool = source;
        report.upcoming.push_back({"pieces", {pieces}, {bytes}});
        recordUpcoming(*snapshot, report, clock.now());
    }
};

// Guards against admitting a whole burst because later stages look idle until it reaches them.
TEST(PieceForecast, CountsPiecesThatEarlierRequestsWillOrder)
{
    const Duration idle = predict(milliseconds(100));
    reportUpcoming(160, 0);
    CHECK(predict(milliseconds(100)) > idle + milliseconds(500));
    CHECK(predict(milliseconds(100), false) == idle);
}

// Guards against refusing requests for a queue that is gone when they reach it.
TEST(PieceForecast, DoesNotCountWhatIsCompletedUntilThePiecesAreOrdered)
{
    backlog.waiting[0] = 80;
    recordBacklog(pool, backlog, clock.now());
    // Where nobody reports what will be ordered until then, the queue keeps its length.
    CHECK(predict(milliseconds(5000)) == predict(milliseconds(0)));
    reportUpcoming(0, 0);
    CHECK(predict(milliseconds(0)) > milliseconds(600));
    CHECK(predict(milliseconds(600)) < predict(milliseconds(0)));
    CHECK(predict(milliseconds(600)) == predict(milliseconds(5000)));
}

// Guards against forecasts by the pace of calls alone while results fill the buffers.
TEST(PieceForecast, CountsTheWaitForBufferSpace)
{
    reportUpcoming(0, 0);
    backlog.holdTime = milliseconds(800);
    backlog.bufferedBytes = 80 * resultBytes;
    recordBacklog(pool, backlog, clock.now());
    const Duration full = predict(milliseconds(0));
    backlog.waitingBytes[0] = 80 * resultBytes;
    recordBacklog(pool, backlog, clock.now());
    CHECK(predict(milliseconds(0)) > full + milliseconds(700));
    // A less urgent class does not precede.
    backlog.waitingBytes = {0, 80 * resultBytes, 0, 0};
    recordBacklog(pool, backlog, clock.now());
    CHECK(predict(milliseconds(0)) == full);
}

// Guards against a batcher that moved or died and whose last report refuses work for good.
TEST(PieceForecast, ForgetsUpcomingPiecesThatAreNotReportedAnyMore)
{
    reportUpcoming(160, 16'000);
    CHECK(upcomingDemand(pool, pool, 0, clock.now()).pieces > 159);
    reportUpcoming(10, 1000, "another");
    CHECK(upcomingDemand(pool, pool, 0, clock.now()).pieces > 169);
    PieceBacklog report;
    report.pool = "earlier";
    recordUpcoming(*snapshot, report, clock.now());
    DOUBLES_EQUAL(10, upcomingDemand(pool, pool, 0, clock.now()).pieces, 0.01);
    clock.advance(milliseconds(2600));
    DOUBLES_EQUAL(0, upcomingDemand(pool, pool, 0, clock.now()).pieces, 0);
}

// Guards against a table that peers can fill: sources beyond its size are not counted.
TEST(PieceForecast, BoundsTheSourcesOfUpcomingPieces)
{
    for (int i = 0; i < 1000; ++i) {
        reportUpcoming(1, 0, fmt::format("source-{}", i).c_str());
    }
    CHECK(upcomingDemand(pool, pool, 0, clock.now()).pieces < 100);
}
