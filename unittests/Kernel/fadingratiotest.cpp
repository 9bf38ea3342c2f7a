//===- fadingratiotest.cpp - Tests of learned ratios ----------------------===//

#include "piecefixture.h"

#include "harelink/Kernel/fadingratio.h"
#include "harelink/Kernel/pieceforecast.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

TEST_GROUP(FadingRatio){};

TEST(FadingRatio, ReturnsToOneWithoutSamples)
{
    ManualClock clock;
    FadingRatio ratio;
    DOUBLES_EQUAL(1, ratio.value(clock.now()), 0);
    for (int i = 0; i < 100; ++i) {
        ratio.add(9, 0.5, 0.5, 4, clock.now());
    }
    DOUBLES_EQUAL(4, ratio.value(clock.now()), 0);
    clock.advance(FadingRatio::gracePeriod);
    DOUBLES_EQUAL(4, ratio.value(clock.now()), 0);
    clock.advance(FadingRatio::halfLife);
    DOUBLES_EQUAL(2.5, ratio.value(clock.now()), 0.001);
    clock.advance(FadingRatio::halfLife * 10);
    DOUBLES_EQUAL(1, ratio.value(clock.now()), 0.01);
}

TEST(FadingRatio, AnOldReportOfABatcherDoesNotRefuseWork)
{
    ManualClock clock;
    const auto snapshot = buildSnapshot(pieceConfiguration(2, 4), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("pieces");
    const Duration unloaded = predictCompletion(pool, 1, 0, clock.now());
    PieceBacklog backlog;
    backlog.pool = "pieces";
    backlog.endpoints = 2;
    backlog.waiting[0] = 50;
    backlog.slowness = 4;
    backlog.correction = 4;
    recordBacklog(pool, backlog, clock.now());
    CHECK(predictCompletion(pool, 1, 0, clock.now()) > unloaded * 10);
    clock.advance(milliseconds(2400));
    CHECK(predictCompletion(pool, 1, 0, clock.now()) > unloaded * 10);
    clock.advance(milliseconds(200));
    CHECK(predictCompletion(pool, 1, 0, clock.now()) == unloaded);
}
