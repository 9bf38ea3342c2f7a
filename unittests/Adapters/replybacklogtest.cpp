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
