//===- membershiptest.cpp - Tests of the membership view ------------------===//

#include "harelink/Kernel/membership.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <map>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(Membership)
{
    ManualClock clock;
    Membership membership{clock, "h1", "h1:1", "dc1", 1};
};

TEST(Membership, TheMultiplierThatARelayRequestsExpires)
{
    membership.recordRequestedMultiplier(4);
    clock.advance(Membership::reportTtl - milliseconds(1));
    LONGS_EQUAL(4, membership.heartbeatMultiplier());
    clock.advance(milliseconds(1));
    LONGS_EQUAL(1, membership.heartbeatMultiplier());
}

TEST(Membership, InvalidMultipliersCountAsTheNextLowerOne)
{
    const std::map<std::uint32_t, std::uint32_t> expected = {{0, 1}, {1, 1}, {2, 2},         {3, 2},
                                                             {4, 4}, {5, 4}, {UINT32_MAX, 4}};
    for (const auto &[requested, used] : expected) {
        membership.recordRequestedMultiplier(requested);
        LONGS_EQUAL(used, membership.heartbeatMultiplier());
    }
}
