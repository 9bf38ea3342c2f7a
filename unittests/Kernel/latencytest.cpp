//===- latencytest.cpp - Tests of predicted times -------------------------===//

#include "harelink/Kernel/latency.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Latency)
{
    ManualClock clock;
    LatencyModel model;
};

TEST(Latency, FollowsATenfoldSlowdown)
{
    for (int i = 0; i < 50; ++i) {
        model.add(clock.now(), 0, milliseconds(10));
    }
    for (int i = 0; i < 40; ++i) {
        model.add(clock.now(), 0, milliseconds(100));
    }
    DOUBLES_EQUAL(100, toMilliseconds(model.median(clock.now(), 0)), 20);
}

TEST(Latency, GrowsWithTheSizeOfTheRequest)
{
    model.add(clock.now(), 0, milliseconds(10));
    CHECK(model.median(clock.now(), 1'000'000) > model.median(clock.now(), 0) * 10);
}

// A pool taken to be too slow is sent nothing, so the estimate must fade by
// itself, or every request would be refused for ever.
TEST(Latency, FadesWithoutSamples)
{
    model.add(clock.now(), 0, seconds(2));
    clock.advance(seconds(1));
    DOUBLES_EQUAL(2000, toMilliseconds(model.median(clock.now(), 0)), 1);
    clock.advance(seconds(2));
    DOUBLES_EQUAL(500, toMilliseconds(model.median(clock.now(), 0)), 1);
}
