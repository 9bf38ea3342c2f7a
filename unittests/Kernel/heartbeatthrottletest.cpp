//===- heartbeatthrottletest.cpp - Tests of the load of relays ------------===//

#include "harelink/Kernel/heartbeatthrottle.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(HeartbeatThrottle)
{
    static constexpr milliseconds heartbeat{250};
    TimePoint now{std::chrono::hours(1)};
    HeartbeatThrottle throttle;

    /// Reports for \p period with each heartbeat whether the relay is overloaded.
    void run(bool isOverloaded, Duration period)
    {
        for (const TimePoint end = now + period; now < end; now += heartbeat) {
            throttle.update(isOverloaded, now);
        }
    }
};

TEST(HeartbeatThrottle, RequestsNothingWithoutOverload)
{
    run(false, std::chrono::seconds(60));
    LONGS_EQUAL(1, throttle.multiplier());
}

TEST(HeartbeatThrottle, RisesWhileTheOverloadLastsUpToTheMaximum)
{
    run(true, heartbeat);
    LONGS_EQUAL(2, throttle.multiplier());
    run(true, HeartbeatThrottle::riseInterval - heartbeat);
    LONGS_EQUAL(2, throttle.multiplier());
    run(true, heartbeat);
    LONGS_EQUAL(4, throttle.multiplier());
    run(true, std::chrono::seconds(60));
    LONGS_EQUAL(HeartbeatThrottle::maxMultiplier, throttle.multiplier());
}

TEST(HeartbeatThrottle, FallsStepByStepAfterCalmPeriods)
{
    run(true, HeartbeatThrottle::riseInterval * 2);
    run(false, HeartbeatThrottle::calmPeriod - heartbeat);
    run(true, heartbeat);
    run(false, HeartbeatThrottle::calmPeriod - heartbeat);
    LONGS_EQUAL(4, throttle.multiplier());
    run(false, heartbeat);
    LONGS_EQUAL(2, throttle.multiplier());
    run(false, HeartbeatThrottle::calmPeriod);
    LONGS_EQUAL(1, throttle.multiplier());
}
