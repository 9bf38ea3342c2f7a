//===- endpointlimitstest.cpp - Tests of announced rate limits ------------===//

#include "harelink/Kernel/endpointlimits.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::seconds;

namespace {

constexpr TimePoint start = TimePoint(seconds(100));

} // namespace

TEST_GROUP(EndpointLimits){};

TEST(EndpointLimits, TheLatestAnnouncementWinsRegardlessOfArrivalOrder)
{
    EndpointLimits limits;
    CHECK(limits.record("e1", {2.0, start + seconds(2)}, start));
    CHECK(!limits.record("e1", {std::nullopt, start}, start));
    CHECK(!limits.record("e1", {2.0, start + seconds(3)}, start));
    CHECK(limits.record("e1", {1.0, start + seconds(4)}, start));
    CHECK(limits.record("e1", {std::nullopt, start + seconds(5)}, start));
    CHECK(!limits.record("e1", {1.0, start + seconds(4)}, start));
    CHECK(limits.inForce().empty());
}

TEST(EndpointLimits, EndpointsWithoutAnAnnouncedLimitAreNotStored)
{
    EndpointLimits limits;
    CHECK(!limits.record("e1", {std::nullopt, start}, start));
    CHECK(limits.reports(start).empty());
}
