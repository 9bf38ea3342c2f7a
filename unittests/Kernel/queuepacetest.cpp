//===- queuepacetest.cpp - Tests of how fast a queue is expected to move --===//

#include "kernelfixture.h"

#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/queuepace.h"
#include "harelink/Kernel/requestmachineimpl.h"
#include "harelink/Kernel/routing.h"

#include <CppUTest/TestHarness.h>

#include <variant>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds outage{800};
constexpr milliseconds callTime{5};
constexpr std::size_t burstSize = 40;

/// Records, whose calls take callTime; their requests have a second.
struct PaceBench : MachineFixture<AllGuards>
{
    explicit PaceBench(int endpoints = 2, int slots = 4)
        : MachineFixture(endpoints, slots)
    {
        serve();
    }
    /// The whole pool of records.
    [[nodiscard]] const PoolEntry &records() const { return *snapshot->pool("records"); }
    RequestId arriveRecord()
    {
        const RequestId id = arrive("record", "drivers", fmt::format("k{}", ++lastKey));
        grant();
        return id;
    }
    void grant()
    {
        for (; granted < claims.size(); ++granted) {
            decide(claims[granted].claimant, ClaimVerdict::Granted);
        }
    }
    /// Answers all calls, one after the other, and those that they make room for.
    void serve(milliseconds each = callTime)
    {
        for (; served < sends.size(); ++served) {
            advance(each);
            answer(sends[served].call);
        }
    }
    /// All connections are refused for \p time.
    void refuseConnections(milliseconds time)
    {
        for (milliseconds passed{}; passed < time; passed += milliseconds(10)) {
            while (served < sends.size()) {
                failCall(sends[served++].call, SendEvidence::NothingSent);
            }
            advance(milliseconds(10));
        }
    }
    /// How many of a burst of requests that come at once are refused before they are claimed.
    std::size_t refusedOfBurst()
    {
        const std::size_t before = answers.size();
        for (std::size_t i = 0; i < burstSize; ++i) {
            arrive("record", "drivers", fmt::format("k{}", ++lastKey));
        }
        return answers.size() - before;
    }

    std::size_t lastKey = 0;
    std::size_t granted = 0;
    std::size_t served = 0;
};

} // namespace

TEST_GROUP(QueuePace)
{
    ManualClock clock;
    QueuePace pace;
};

TEST(QueuePace, FollowsTheTimeBetweenDispatches)
{
    pace.recordWaiting(clock.now());
    for (int i = 0; i < 30; ++i) {
        clock.advance(milliseconds(50));
        pace.recordDispatch(clock.now());
    }
    DOUBLES_EQUAL(50, toMilliseconds(pace.interval(clock.now(), false)), 1);
}

TEST(QueuePace, LeavesOutTheTimeInWhichNoEndpointIsOpen)
{
    pace.recordWaiting(clock.now());
    clock.advance(seconds(3));
    pace.recordUnavailable();
    clock.advance(milliseconds(5));
    pace.recordDispatch(clock.now());
    CHECK(pace.interval(clock.now(), false) == Duration::zero());
}

TEST(QueuePace, CountsTheWaitForRoomOnceAnEndpointIsOpenAgain)
{
    pace.recordWaiting(clock.now());
    pace.recordUnavailable();
    clock.advance(seconds(3));
    pace.recordFull(clock.now());
    clock.advance(milliseconds(50));
    pace.recordDispatch(clock.now());
    CHECK(pace.interval(clock.now(), false) == milliseconds(10));
}

TEST(QueuePace, WhileRequestsWaitItIsNoFasterThanTheQueueStands)
{
    pace.recordWaiting(clock.now());
    clock.advance(milliseconds(300));
    pace.recordUnavailable();
    CHECK(pace.interval(clock.now(), true) == milliseconds(300));
    CHECK(pace.interval(clock.now(), false) == Duration::zero());
}

TEST(QueuePace, APoolThatStaysUnreachableStandsStillUntilNobodyTriesAnyMore)
{
    pace.recordWaiting(clock.now());
    for (int i = 0; i < 60; ++i) {
        pace.recordUnreachable(clock.now());
        clock.advance(milliseconds(100));
    }
    CHECK(pace.unreachableFor(clock.now()) == Duration(seconds(6)));
    CHECK(pace.interval(clock.now(), true) == seconds(6));
    clock.advance(seconds(1));
    CHECK(!pace.unreachableFor(clock.now()));
    CHECK(pace.interval(clock.now(), false) == Duration::zero());
    // A later outage is one of its own.
    pace.recordUnreachable(clock.now());
    CHECK(pace.unreachableFor(clock.now()) == Duration::zero());
}

TEST_GROUP(QueueAfterOutage){};

TEST(QueueAfterOutage, ABurstIsTakenInAfterAllEndpointsWereUnreachable)
{
    PaceBench bench;
    for (int i = 0; i < 3; ++i) {
        bench.arriveRecord();
    }
    bench.refuseConnections(outage);
    bench.serve();
    LONGS_EQUAL(0, bench.refusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsTakenInAfterALongOutageThatNobodySawEnd)
{
    PaceBench bench;
    for (int i = 0; i < 70; ++i) {
        bench.arriveRecord();
        bench.refuseConnections(milliseconds(100));
    }
    bench.refuseConnections(milliseconds(3000));
    LONGS_EQUAL(0, bench.refusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsTakenInAfterAllEndpointsHadAskedForAPause)
{
    PaceBench bench;
    for (const EndpointEntry &endpoint : bench.records().endpoints) {
        recordPause(endpoint, outage, bench.clock.now());
    }
    bench.arriveRecord();
    bench.advance(outage);
    bench.serve();
    LONGS_EQUAL(0, bench.refusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsTakenInAfterAllEndpointsWereCold)
{
    PaceBench bench;
    for (const EndpointEntry &endpoint : bench.records().endpoints) {
        endpoint.load->coldUntil.store(steadyNanos(bench.clock.now() + outage));
    }
    bench.arriveRecord();
    for (milliseconds passed{}; passed < outage; passed += milliseconds(5)) {
        bench.advance(milliseconds(5));
    }
    bench.serve();
    LONGS_EQUAL(0, bench.refusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsTakenInAfterThisProcessStoodStill)
{
    PaceBench bench(1, 1);
    bench.arriveRecord();
    bench.arriveRecord();
    bench.clock.advance(outage);
    bench.answer(bench.sends.back().call);
    ++bench.served;
    bench.serve();
    LONGS_EQUAL(0, bench.refusedOfBurst());
}

TEST(QueueAfterOutage, AQueueThatMovesSlowlyIsStillExpectedTo)
{
    PaceBench bench(1, 1);
    for (int i = 0; i < 9; ++i) {
        bench.arriveRecord();
    }
    bench.serve(milliseconds(80));
    CHECK(bench.refusedOfBurst() >= burstSize / 2);
}

TEST(QueueAfterOutage, SlownessOfLongAgoIsForgotten)
{
    PaceBench bench(1, 1);
    for (int i = 0; i < 9; ++i) {
        bench.arriveRecord();
    }
    bench.serve(milliseconds(80));
    bench.advance(seconds(10));
    LONGS_EQUAL(0, bench.refusedOfBurst());
}
