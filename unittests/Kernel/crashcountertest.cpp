//===- crashcountertest.cpp - Tests of crash counting ---------------------===//

#include "harelink/Kernel/crashcounter.h"
#include "harelink/Kernel/crashconfirmer.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

const Hash128 crashingRequest = hash128("guilty");
const Hash128 unrelatedRequest = hash128("innocent");

struct CounterFixture
{
    /// Records that \p endpoint crashed during a call that was sent \p ago before now. Returns
    /// whether the crashes suffice for a quarantine.
    bool crash(const Hash128 &digest, const std::string &endpoint, Duration ago = milliseconds(100))
    {
        return !counter.recordCrash(digest, endpoint, clock.now() - ago, clock.now(), 3).empty();
    }

    ManualClock clock;
    CrashCounter counter{clock};
};

BrokenCall brokenCall(const Hash128 &digest, const std::string &address = "10.0.0.1:80")
{
    BrokenCall call;
    call.digest = digest;
    call.endpoint = "e1";
    call.address = address;
    return call;
}

} // namespace

TEST_GROUP(CrashCounter){};

TEST(CrashCounter, ReportsTheThirdConsecutiveCrash)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(crashingRequest, "e1"));
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(crashingRequest, "e2"));
    CHECK_FALSE(fixture.crash(unrelatedRequest, "e2"));
    fixture.clock.advance(milliseconds(500));
    CHECK_TRUE(fixture.crash(crashingRequest, "e3"));
}

// All endpoints of a pool crash at the same time while a request that is sent continuously
// runs on each of them.
TEST(CrashCounter, CountsSimultaneousCrashesOnce)
{
    CounterFixture fixture;
    for (int i = 0; i < 12; ++i) {
        CHECK_FALSE(fixture.crash(unrelatedRequest, fmt::format("e{}", i)));
        fixture.clock.advance(milliseconds(3));
    }
    fixture.clock.advance(milliseconds(3000));
    CHECK_FALSE(fixture.crash(unrelatedRequest, "e20"));
}

TEST(CrashCounter, ForgetsCrashesAfterASuccessfulCompletion)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(unrelatedRequest, "e1"));
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(unrelatedRequest, "e2"));
    fixture.counter.clear(unrelatedRequest);
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(unrelatedRequest, "e3"));
}

TEST(CrashCounter, IgnoresDuplicateReportsOfACrash)
{
    CounterFixture fixture;
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(fixture.crash(crashingRequest, "e1"));
        fixture.clock.advance(milliseconds(300));
    }
}

TEST(CrashCounter, CountsCrashesOfARestartedEndpoint)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(crashingRequest, "e1"));
    fixture.clock.advance(milliseconds(2500));
    CHECK_FALSE(fixture.crash(crashingRequest, "e1"));
    fixture.clock.advance(milliseconds(2500));
    CHECK_TRUE(fixture.crash(crashingRequest, "e1"));
}

TEST(CrashCounter, ForgetsCrashesAfterTheRetentionPeriod)
{
    CounterFixture fixture;
    for (int i = 0; i < 6; ++i) {
        CHECK_FALSE(fixture.crash(unrelatedRequest, fmt::format("e{}", i)));
        fixture.clock.advance(std::chrono::minutes(31));
    }
}

TEST(CrashCounter, EvictsTheLeastSuspiciousRequestsFirst)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(crashingRequest, "e1"));
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(crashingRequest, "e2"));
    for (int i = 0; i < 5000; ++i) {
        fixture.clock.advance(milliseconds(1));
        CHECK_FALSE(fixture.crash(hash128(fmt::format("{}", i)), "e3"));
    }
    CHECK(fixture.counter.size() <= 4096);
    CHECK_TRUE(fixture.crash(crashingRequest, "e4"));
}

TEST_GROUP(CrashConfirmer)
{
    /// Answers the probe in progress and returns the number of probes that follow at once.
    std::size_t answer(ProbeOutcome outcome)
    {
        confirmer.handle(EndpointProbeResult{"e1", outcome});
        return confirmer.drainProbes().size();
    }

    /// Advances the clock to the next probe that is due and returns the number of probes.
    std::size_t probeWhenDue()
    {
        clock.advance(confirmer.nextTick() - clock.now());
        confirmer.tick();
        return confirmer.drainProbes().size();
    }

    ManualClock clock;
    CrashConfirmer confirmer{clock};
};

TEST(CrashConfirmer, ConfirmsACrashOnlyIfTheConnectionIsRefused)
{
    confirmer.add(brokenCall(unrelatedRequest));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    LONGS_EQUAL(0, answer(ProbeOutcome::Accepted));
    LONGS_EQUAL(1, probeWhenDue());
    LONGS_EQUAL(0, answer(ProbeOutcome::Accepted));
    LONGS_EQUAL(1, probeWhenDue());
    LONGS_EQUAL(0, answer(ProbeOutcome::Accepted));
    CHECK(confirmer.nextTick() == TimePoint::max());
    LONGS_EQUAL(0, confirmer.drainConfirmed().size());
    confirmer.add(brokenCall(unrelatedRequest));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    LONGS_EQUAL(0, answer(ProbeOutcome::Unknown));
    CHECK(confirmer.nextTick() == TimePoint::max());
    LONGS_EQUAL(0, confirmer.drainConfirmed().size());
    confirmer.add(brokenCall(crashingRequest));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    LONGS_EQUAL(0, answer(ProbeOutcome::Refused));
    CHECK(confirmer.drainConfirmed().at(0).digest == crashingRequest);
}

TEST(CrashConfirmer, ConfirmsACrashOfAnEndpointThatAcceptsConnectionsWhileItExits)
{
    confirmer.add(brokenCall(crashingRequest));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    LONGS_EQUAL(0, answer(ProbeOutcome::Accepted));
    confirmer.tick();
    LONGS_EQUAL(0, confirmer.drainProbes().size());
    LONGS_EQUAL(1, probeWhenDue());
    LONGS_EQUAL(0, answer(ProbeOutcome::Refused));
    CHECK(confirmer.drainConfirmed().at(0).digest == crashingRequest);
}

// The probe may have reached the endpoint before it crashed.
TEST(CrashConfirmer, ProbesAgainForACallThatBreaksDuringAProbe)
{
    confirmer.add(brokenCall(unrelatedRequest));
    confirmer.add(brokenCall(crashingRequest));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    LONGS_EQUAL(0, answer(ProbeOutcome::Accepted));
    LONGS_EQUAL(1, probeWhenDue());
    LONGS_EQUAL(0, answer(ProbeOutcome::Accepted));
    LONGS_EQUAL(1, probeWhenDue());
    LONGS_EQUAL(1, answer(ProbeOutcome::Accepted));
    LONGS_EQUAL(0, answer(ProbeOutcome::Refused));
    const std::vector<BrokenCall> confirmed = confirmer.drainConfirmed();
    LONGS_EQUAL(1, confirmed.size());
    CHECK(confirmed.at(0).digest == crashingRequest);
}

TEST(CrashConfirmer, DoesNotProbeAnEndpointKnownToBeGone)
{
    confirmer.add(brokenCall(crashingRequest, ""));
    LONGS_EQUAL(0, confirmer.drainProbes().size());
    LONGS_EQUAL(1, confirmer.drainConfirmed().size());
}
