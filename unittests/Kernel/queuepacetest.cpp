//===- queuepacetest.cpp - Tests of the dispatch rate of a queue ----------===//

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

/// Serves requests of pipeline "record"; their calls take callTime and their deadline is one
/// second.
struct PaceFixture : MachineFixture<AllGuards>
{
    explicit PaceFixture(int endpoints = 2, int slots = 4)
        : MachineFixture(endpoints, slots)
    {
        serve();
    }
    /// Returns the pool of the pipeline.
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
    /// Answers all calls one after the other, including those sent to the slots that become free.
    void serve(milliseconds duration = callTime)
    {
        for (; served < sends.size(); ++served) {
            advance(duration);
            answer(sends[served].call);
        }
    }
    /// Refuses all connections for \p period.
    void refuseConnections(milliseconds period)
    {
        for (milliseconds elapsed{}; elapsed < period; elapsed += milliseconds(10)) {
            while (served < sends.size()) {
                failCall(sends[served++].call, SendEvidence::NothingSent);
            }
            advance(milliseconds(10));
        }
    }
    /// Returns how many requests of a simultaneous burst are refused before they are claimed.
    std::size_t countRefusedOfBurst()
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

TEST(QueuePace, TracksTheIntervalBetweenDispatches)
{
    pace.recordWaiting(clock.now());
    for (int i = 0; i < 30; ++i) {
        clock.advance(milliseconds(50));
        pace.recordDispatch(clock.now());
    }
    DOUBLES_EQUAL(50, toMilliseconds(pace.interval(clock.now(), false)), 1);
}

TEST(QueuePace, IgnoresPeriodsWithoutAnAvailableEndpoint)
{
    pace.recordWaiting(clock.now());
    clock.advance(seconds(3));
    pace.recordUnavailable();
    clock.advance(milliseconds(5));
    pace.recordDispatch(clock.now());
    CHECK(pace.interval(clock.now(), false) == Duration::zero());
}

TEST(QueuePace, CountsTheWaitForAFreeSlotOnceAnEndpointIsAvailable)
{
    pace.recordWaiting(clock.now());
    pace.recordUnavailable();
    clock.advance(seconds(3));
    pace.recordFull(clock.now());
    clock.advance(milliseconds(50));
    pace.recordDispatch(clock.now());
    CHECK(pace.interval(clock.now(), false) == milliseconds(10));
}

TEST(QueuePace, WhileRequestsWaitTheIntervalIsAtLeastTheTimeSinceTheLastDispatch)
{
    pace.recordWaiting(clock.now());
    clock.advance(milliseconds(300));
    pace.recordUnavailable();
    CHECK(pace.interval(clock.now(), true) == milliseconds(300));
    CHECK(pace.interval(clock.now(), false) == Duration::zero());
}

TEST(QueuePace, AnUnreachablePoolIsStalledUntilAttemptsCease)
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
    // A later outage is counted separately.
    pace.recordUnreachable(clock.now());
    CHECK(pace.unreachableFor(clock.now()) == Duration::zero());
}

TEST_GROUP(QueueAfterOutage){};

TEST(QueueAfterOutage, ABurstIsAdmittedAfterAllEndpointsWereUnreachable)
{
    PaceFixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.arriveRecord();
    }
    fixture.refuseConnections(outage);
    fixture.serve();
    LONGS_EQUAL(0, fixture.countRefusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsAdmittedAfterALongOutageWithoutAttempts)
{
    PaceFixture fixture;
    for (int i = 0; i < 70; ++i) {
        fixture.arriveRecord();
        fixture.refuseConnections(milliseconds(100));
    }
    fixture.refuseConnections(milliseconds(3000));
    LONGS_EQUAL(0, fixture.countRefusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsAdmittedAfterAllEndpointsWerePaused)
{
    PaceFixture fixture;
    for (const EndpointEntry &endpoint : fixture.records().endpoints) {
        recordPause(endpoint, outage, fixture.clock.now());
    }
    fixture.arriveRecord();
    fixture.advance(outage);
    fixture.serve();
    LONGS_EQUAL(0, fixture.countRefusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsAdmittedAfterAllEndpointsWereCold)
{
    PaceFixture fixture;
    for (const EndpointEntry &endpoint : fixture.records().endpoints) {
        endpoint.load->coldUntil.store(steadyNanos(fixture.clock.now() + outage));
    }
    fixture.arriveRecord();
    for (milliseconds elapsed{}; elapsed < outage; elapsed += milliseconds(5)) {
        fixture.advance(milliseconds(5));
    }
    fixture.serve();
    LONGS_EQUAL(0, fixture.countRefusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsAdmittedAfterTheProcessWasSuspended)
{
    PaceFixture fixture(1, 1);
    fixture.arriveRecord();
    fixture.arriveRecord();
    fixture.clock.advance(outage);
    fixture.answer(fixture.sends.back().call);
    ++fixture.served;
    fixture.serve();
    LONGS_EQUAL(0, fixture.countRefusedOfBurst());
}

TEST(QueueAfterOutage, ABurstIsRefusedWhileTheQueueMovesSlowly)
{
    PaceFixture fixture(1, 1);
    for (int i = 0; i < 9; ++i) {
        fixture.arriveRecord();
    }
    fixture.serve(milliseconds(80));
    CHECK(fixture.countRefusedOfBurst() >= burstSize / 2);
}

TEST(QueueAfterOutage, PastSlownessExpires)
{
    PaceFixture fixture(1, 1);
    for (int i = 0; i < 9; ++i) {
        fixture.arriveRecord();
    }
    fixture.serve(milliseconds(80));
    fixture.advance(seconds(10));
    LONGS_EQUAL(0, fixture.countRefusedOfBurst());
}
