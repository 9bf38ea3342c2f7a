//===- replybacklogtest.cpp - Tests of unsent reply data ------------------===//

#include "harelink/Adapters/replybacklog.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds stallLimit{5};

struct Fixture
{
    ManualClock clock;
    BufferBudget budget{1'048'576};
    ReplyBacklog backlog{clock, budget, "r1", stallLimit};
};

} // namespace

TEST_GROUP(ReplyBacklog){};

TEST(ReplyBacklog, ACallerThatReadsNothingStalls)
{
    Fixture fixture;
    fixture.clock.advance(60s);
    fixture.backlog.add(1'000);
    fixture.clock.advance(stallLimit - 1ms);
    CHECK_FALSE(fixture.backlog.isStalled());
    fixture.clock.advance(1ms);
    CHECK(fixture.backlog.isStalled());
}

// A suspended daemon sends nothing, so that no caller can be blamed for it.
TEST(ReplyBacklog, TheTimeOfASuspensionIsNoStall)
{
    Fixture fixture;
    fixture.backlog.add(1'000);
    fixture.clock.advance(1s);
    fixture.clock.advance(20s);
    fixture.backlog.excludeTime(20s);
    CHECK_FALSE(fixture.backlog.isStalled());
    fixture.clock.advance(stallLimit - 1s);
    CHECK(fixture.backlog.isStalled());
}

TEST_GROUP(SuspensionMeter)
{
    SuspensionMeter meter{1s};
    Duration record(Duration delay)
    {
        return meter.recordDelay(delay);
    }
};

TEST(SuspensionMeter, ASuspensionIsTheTimeByWhichACheckIsLate)
{
    CHECK(record(1s) == 0s);
    CHECK(record(0s) == 0s);
    CHECK(record(7s) == 7s);
    CHECK(record(0s) == 0s);
}

// A process may be suspended several times before one check is on time.
TEST(SuspensionMeter, RepeatedSuspensionsAreEachLeftOut)
{
    for (int i = 0; i < 3; ++i) {
        CHECK(record(7s) == 7s);
    }
}

TEST(SuspensionMeter, ASuspensionOfALoopThatIsAlwaysLateIsLeftOut)
{
    for (int i = 0; i < 10; ++i) {
        (void)record(2s);
    }
    CHECK(record(9s) == 7s);
}

// Otherwise, callers that read nothing hold buffers for several times the limit.
TEST(ReplyBacklog, AStallIsNotProlongedByChecksThatAreLateEachTime)
{
    constexpr auto interval = 250ms;
    constexpr auto delay = 2s;
    Fixture fixture;
    SuspensionMeter meter{1s};
    // The loop was late before the caller stopped reading, too.
    for (int i = 0; i < 10; ++i) {
        (void)meter.recordDelay(delay);
    }
    fixture.backlog.add(1'000);
    const TimePoint stalledAt = fixture.clock.now() + stallLimit + interval + delay;
    while (fixture.clock.now() < stalledAt) {
        fixture.clock.advance(interval + delay);
        fixture.backlog.excludeTime(meter.recordDelay(delay));
    }
    CHECK(fixture.backlog.isStalled());
}
