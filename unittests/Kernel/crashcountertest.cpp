//===- crashcountertest.cpp - Tests of ends under requests ----------------===//

#include "harelink/Kernel/crashcounter.h"
#include "harelink/Kernel/crashconfirmer.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

const Hash128 guilty = hash128("guilty");
const Hash128 innocent = hash128("innocent");

struct CounterBench
{
    /// A call of \p digest that was sent \p ago before now broke as its endpoint ended.
    bool end(const Hash128 &digest, const std::string &endpoint, Duration ago = milliseconds(100))
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

TEST(CrashCounter, TheThirdEndOneAfterTheOtherTells)
{
    CounterBench bench;
    CHECK_FALSE(bench.end(guilty, "e1"));
    bench.clock.advance(milliseconds(500));
    CHECK_FALSE(bench.end(guilty, "e2"));
    CHECK_FALSE(bench.end(innocent, "e2"));
    bench.clock.advance(milliseconds(500));
    CHECK_TRUE(bench.end(guilty, "e3"));
}

// All endpoints of a pool end at once; a request that is asked for all the time stands at
// each of them.
TEST(CrashCounter, EndpointsThatEndTogetherAccuseNobody)
{
    CounterBench bench;
    for (int i = 0; i < 12; ++i) {
        CHECK_FALSE(bench.end(innocent, fmt::format("e{}", i)));
        bench.clock.advance(milliseconds(3));
    }
    bench.clock.advance(milliseconds(3000));
    CHECK_FALSE(bench.end(innocent, "e20"));
}

TEST(CrashCounter, AGoodEndClearsARequest)
{
    CounterBench bench;
    CHECK_FALSE(bench.end(innocent, "e1"));
    bench.clock.advance(milliseconds(500));
    CHECK_FALSE(bench.end(innocent, "e2"));
    bench.counter.clear(innocent);
    bench.clock.advance(milliseconds(500));
    CHECK_FALSE(bench.end(innocent, "e3"));
}

TEST(CrashCounter, AnEndThatIsToldAgainLaterCountsOnce)
{
    CounterBench bench;
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(bench.end(guilty, "e1"));
        bench.clock.advance(milliseconds(300));
    }
}

TEST(CrashCounter, AnEndpointThatIsBackUnderItsNameCountsAgain)
{
    CounterBench bench;
    CHECK_FALSE(bench.end(guilty, "e1"));
    bench.clock.advance(milliseconds(2500));
    CHECK_FALSE(bench.end(guilty, "e1"));
    bench.clock.advance(milliseconds(2500));
    CHECK_TRUE(bench.end(guilty, "e1"));
}

TEST(CrashCounter, WhatIsLongAgoIsNotHeldAgainstARequest)
{
    CounterBench bench;
    for (int i = 0; i < 6; ++i) {
        CHECK_FALSE(bench.end(innocent, fmt::format("e{}", i)));
        bench.clock.advance(std::chrono::minutes(31));
    }
}

TEST(CrashCounter, AmongThousandsOfSuspectsTheLikeliestStays)
{
    CounterBench bench;
    CHECK_FALSE(bench.end(guilty, "e1"));
    bench.clock.advance(milliseconds(500));
    CHECK_FALSE(bench.end(guilty, "e2"));
    for (int i = 0; i < 5000; ++i) {
        bench.clock.advance(milliseconds(1));
        CHECK_FALSE(bench.end(hash128(fmt::format("{}", i)), "e3"));
    }
    CHECK(bench.counter.size() <= 4096);
    CHECK_TRUE(bench.end(guilty, "e4"));
}

TEST_GROUP(CrashConfirmer){};

TEST(CrashConfirmer, OnlyWhereNobodyListensHasTheEndpointEnded)
{
    CrashConfirmer confirmer;
    confirmer.add(brokenCall(innocent));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Accepted});
    LONGS_EQUAL(0, confirmer.drainConfirmed().size());
    confirmer.add(brokenCall(innocent));
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Unknown});
    LONGS_EQUAL(0, confirmer.drainConfirmed().size());
    confirmer.add(brokenCall(guilty));
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Refused});
    CHECK(confirmer.drainConfirmed().at(0).digest == guilty);
}

// The probe may have met the endpoint before it ended.
TEST(CrashConfirmer, ACallThatBreaksDuringAProbeWaitsForTheNext)
{
    CrashConfirmer confirmer;
    confirmer.add(brokenCall(innocent));
    confirmer.add(brokenCall(guilty));
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Accepted});
    LONGS_EQUAL(1, confirmer.drainProbes().size());
    confirmer.handle(EndpointProbeResult{"e1", ProbeOutcome::Refused});
    const std::vector<BrokenCall> confirmed = confirmer.drainConfirmed();
    LONGS_EQUAL(1, confirmed.size());
    CHECK(confirmed.at(0).digest == guilty);
}

TEST(CrashConfirmer, ALifeThatIsKnownToBeOverIsNotAskedFor)
{
    CrashConfirmer confirmer;
    confirmer.add(brokenCall(guilty, ""));
    LONGS_EQUAL(0, confirmer.drainProbes().size());
    LONGS_EQUAL(1, confirmer.drainConfirmed().size());
}
