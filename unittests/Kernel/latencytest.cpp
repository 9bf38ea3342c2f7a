//===- latencytest.cpp - Tests of latency prediction ----------------------===//

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

TEST(Latency, TracksATenfoldSlowdown)
{
    for (int i = 0; i < 50; ++i) {
        model.add(clock.now(), 0, milliseconds(10));
    }
    for (int i = 0; i < 40; ++i) {
        model.add(clock.now(), 0, milliseconds(100));
    }
    DOUBLES_EQUAL(100, toMilliseconds(model.median(clock.now(), 0)), 20);
}

TEST(Latency, IncreasesWithTheRequestSize)
{
    model.add(clock.now(), 0, milliseconds(10));
    CHECK(model.median(clock.now(), 1'000'000) > model.median(clock.now(), 0) * 10);
}

// A pool that is assumed to be too slow gets no calls: if the estimate did not decay
// without samples, every request would be refused forever.
TEST(Latency, DecaysWithoutSamples)
{
    model.add(clock.now(), 0, seconds(2));
    clock.advance(seconds(1));
    DOUBLES_EQUAL(2000, toMilliseconds(model.median(clock.now(), 0)), 1);
    clock.advance(seconds(2));
    DOUBLES_EQUAL(500, toMilliseconds(model.median(clock.now(), 0)), 1);
}
