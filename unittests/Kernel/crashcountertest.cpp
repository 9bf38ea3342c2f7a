//===- crashcountertest.cpp - Tests of crash counting ---------------------===//

#include "harelink/Kernel/crashcounter.h"
#include "harelink/Kernel/crashconfirmer.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

const Hash128 crashing = hash128("guilty");
const Hash128 unrelated = hash128("innocent");

struct CounterFixture
{
    /// Records that \p endpoint crashed during a call that was sent \p ago before now. Returns
    /// whether the crashes suffice for a quarantine.
    bool crash(const Hash128 &digest, const std::string &endpoint, Duration ago = milliseconds(100))
    {
        return !counter.recordCrash(digest, endpoint, clock.now() - ago, clock.now()).empty();
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
    CHECK_FALSE(fixture.crash(crashing, "e1"));
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(crashing, "e2"));
    CHECK_FALSE(fixture.crash(unrelated, "e2"));
    fixture.clock.advance(milliseconds(500));
    CHECK_TRUE(fixture.crash(crashing, "e3"));
}

// All endpoints of a pool crash at the same time while a request that is sent continuously
// runs on each of them.
TEST(CrashCounter, CountsSimultaneousCrashesOnce)
{
    CounterFixture fixture;
    for (int i = 0; i < 12; ++i) {
        CHECK_FALSE(fixture.crash(unrelated, fmt::format("e{}", i)));
        fixture.clock.advance(milliseconds(3));
    }
    fixture.clock.advance(milliseconds(3000));
    CHECK_FALSE(fixture.crash(unrelated, "e20"));
}

TEST(CrashCounter, ForgetsCrashesAfterASuccessfulCompletion)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(unrelated, "e1"));
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(unrelated, "e2"));
    fixture.counter.clear(unrelated);
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(unrelated, "e3"));
}

TEST(CrashCounter, IgnoresDuplicateReportsOfACrash)
{
    CounterFixture fixture;
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(fixture.crash(crashing, "e1"));
        fixture.clock.advance(milliseconds(300));
    }
}

TEST(CrashCounter, CountsCrashesOfARestartedEndpoint)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(crashing, "e1"));
    fixture.clock.advance(milliseconds(2500));
    CHECK_FALSE(fixture.crash(crashing, "e1"));
    fixture.clock.advance(milliseconds(2500));
    CHECK_TRUE(fixture.crash(crashing, "e1"));
}

TEST(CrashCounter, ForgetsCrashesAfterTheRetentionPeriod)
{
    CounterFixture fixture;
    for (int i = 0; i < 6; ++i) {
        CHECK_FALSE(fixture.crash(unrelated, fmt::format("e{}", i)));
        fixture.clock.advance(std::chrono::minutes(31));
    }
}

TEST(CrashCounter, EvictsTheLeastSuspiciousRequestsFirst)
{
    CounterFixture fixture;
    CHECK_FALSE(fixture.crash(crashing, "e1"));
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.crash(crashing, "e2"));
    for (int i = 0; i < 5000; ++i) {
        fixture.clock.advance(milliseconds(1));
        CHECK_FALSE(fixture.crash(hash128(fmt::format("{}", i)), "e3"));
    }
    CHECK(fixture.counter.size() <= 4096);
    CHECK_TRUE(fixture.crash(crashing, "e4"));
}

TEST_GROUP(CrashConfirmer){};

TEST(CrashConfirmer, ConfirmsACrashOnlyIfTheConnectionIsRefused)
{
    CrashConfirmer confirmer;
    confirmer.add(brokenCall(unrelated));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Accepted});
    LONGS_EQUAL(0, confirmer.drainConfirmed().size());
    confirmer.add(brokenCall(unrelated));
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Unknown});
    LONGS_EQUAL(0, confirmer.drainConfirmed().size());
    confirmer.add(brokenCall(crashing));
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Refused});
    CHECK(confirmer.drainConfirmed().at(0).digest == crashing);
}

// The probe may have reached the endpoint before it crashed.
TEST(CrashConfirmer, ProbesAgainForACallThatBreaksDuringAProbe)
{
    CrashConfirmer confirmer;
    confirmer.add(brokenCall(unrelated));
    confirmer.add(brokenCall(crashing));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Accepted});
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Refused});
    const std::vector<BrokenCall> confirmed = confirmer.drainConfirmed();
    LONGS_EQUAL(1, confirmed.size());
    CHECK(confirmed.at(0).digest == crashing);
}

TEST(CrashConfirmer, DoesNotProbeAnEndpointKnownToBeGone)
{
    CrashConfirmer confirmer;
    confirmer.add(brokenCall(crashing, ""));
    LONGS_EQUAL(0, confirmer.drainProbes().size());
    LONGS_EQUAL(1, confirmer.drainConfirmed().size());
}
