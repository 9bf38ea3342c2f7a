//===- overloadtest.cpp - Tests of overload handling ----------------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Fixture = MachineFixture<AllGuards>;

struct AdmitsEverything : AllGuards
{
    static constexpr bool admitsByPrediction = false;
};

struct BurstResult
{
    std::size_t refusedBeforeRun = 0;
    std::size_t ranIncomplete = 0;
    std::size_t completed = 0;
};

/// Sends a burst of thirty requests. The second stage, with one slot and 100 ms per call, can
/// serve about nine within the deadline of 1 s.
template <GuardPolicy G>
BurstResult runBurstBeforeSlowSecondStage()
{
    MachineFixture<G> fixture(1, 1);
    auto serve = [&fixture, served = std::size_t(0),
                  due = std::multimap<TimePoint, CallId>()]() mutable {
        for (;;) {
            for (; served < fixture.sends.size(); ++served) {
                const bool slow = fixture.sends[served].stage == "generate";
                due.emplace(fixture.clock.now() + milliseconds(slow ? 100 : 1),
                            fixture.sends[served].call);
            }
            if (due.empty()) {
                return;
            }
            const auto [time, call] = *due.begin();
            due.erase(due.begin());
            fixture.advance(time - fixture.clock.now());
            fixture.answer(call);
        }
    };
    fixture.arrive("answer");
    serve();
    for (int i = 0; i < 30; ++i) {
        fixture.arrive("answer");
    }
    serve();
    BurstResult result;
    for (const AnswerCaller &answer : fixture.answers) {
        const bool completed = answer.outcome == Outcome::Completed;
        const bool refusedBeforeRun = answer.outcome == Outcome::NotRun;
        result.completed += completed ? 1 : 0;
        result.refusedBeforeRun += refusedBeforeRun ? 1 : 0;
        result.ranIncomplete += !completed && !refusedBeforeRun ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_GROUP(Overload){};

TEST(Overload, BacksOffFromARefusingEndpointForAFractionOfACall)
{
    Fixture fixture(1, 4);
    fixture.arrive("answer");
    fixture.advance(milliseconds(40));
    fixture.answer(fixture.sends.at(0).call);
    fixture.arrive("answer");
    const std::size_t sends = fixture.sends.size();
    fixture.failCall(fixture.sends.back().call, SendEvidence::RefusedBeforeRun);
    CHECK_EQUAL(sends, fixture.sends.size());
    fixture.advance(milliseconds(9));
    CHECK_EQUAL(sends, fixture.sends.size());
    fixture.advance(milliseconds(2));
    CHECK_EQUAL(sends + 1, fixture.sends.size());
}

TEST(Overload, RefusalsDoNotCountAsAttempts)
{
    Fixture fixture(1, 4);
    fixture.arrive("answer");
    for (int i = 0; i < 40; ++i) {
        fixture.failCall(fixture.sends.back().call, SendEvidence::RefusedBeforeRun);
        fixture.advance(milliseconds(3));
    }
    CHECK_EQUAL(41u, fixture.sends.size());
    CHECK_EQUAL(0u, fixture.answers.size());
}

TEST(Overload, AdmissionPredictsQueuesOfLaterStages)
{
    const BurstResult result = runBurstBeforeSlowSecondStage<AllGuards>();
    CHECK(result.completed >= 9);
    CHECK(result.ranIncomplete <= 2);
    CHECK_EQUAL(31u, result.completed + result.refusedBeforeRun + result.ranIncomplete);
    const BurstResult control = runBurstBeforeSlowSecondStage<AdmitsEverything>();
    CHECK(control.ranIncomplete >= 10);
}

TEST(Overload, RequestWaitsForAnUnreachablePool)
{
    Fixture fixture(2, 4);
    fixture.arrive("answer");
    std::size_t failed = 0;
    const auto refuseConnections = [&](milliseconds time) {
        for (milliseconds passed{}; passed < time; passed += milliseconds(10)) {
            while (failed < fixture.sends.size()) {
                fixture.failCall(fixture.sends[failed++].call, SendEvidence::NothingSent);
            }
            fixture.advance(milliseconds(10));
        }
    };
    refuseConnections(milliseconds(600));
    CHECK_EQUAL(0u, fixture.answers.size());
    // Each endpoint is tried three times, then probed after 200 and 400 ms.
    CHECK(fixture.sends.size() <= 10);
    fixture.advance(milliseconds(300));
    CHECK(failed < fixture.sends.size());
    fixture.answer(fixture.sends.back().call);
    STRCMP_EQUAL("generate", fixture.sends.back().stage.c_str());
}

TEST(Overload, UnansweredCallsRaiseTheExpectedLatency)
{
    ManualClock clock;
    const auto snapshot = buildSnapshot(smallConfiguration(2, 4), 1, "dc1", nullptr);
    const EndpointEntry &endpoint = snapshot->pool("engines")->endpoints[0];
    recordSend(endpoint, clock.now());
    clock.advance(milliseconds(20));
    recordSuccess(endpoint, milliseconds(20), clock.now());
    CHECK(expectedLatency(endpoint, clock.now()) == milliseconds(20));
    clock.advance(milliseconds(500));
    CHECK(expectedLatency(endpoint, clock.now()) == milliseconds(500));
}

TEST(Overload, TimeoutsEjectAnEndpointOnlyIfMuchLongerThanTypical)
{
    ManualClock clock;
    const auto snapshot = buildSnapshot(smallConfiguration(2, 4), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("engines");
    const auto isUsableAfterThreeTimeouts = [&](const EndpointEntry &endpoint,
                                                milliseconds elapsed) {
        for (int i = 0; i < 3; ++i) {
            recordAbandonedCall(pool, endpoint, elapsed, milliseconds(100), clock.now());
        }
        return isUsable(endpoint, clock.now());
    };
    CHECK(isUsableAfterThreeTimeouts(pool.endpoints[0], milliseconds(150)));
    CHECK(!isUsableAfterThreeTimeouts(pool.endpoints[1], milliseconds(250)));
}

TEST(Overload, RefusesImmediatelyIfAPoolStaysUnreachable)
{
    Fixture fixture(2, 4);
    std::size_t failed = 0;
    // Forty requests per second for eight seconds; none can be served.
    std::vector<std::size_t> refusedBySecond(8);
    for (int round = 0; round < 320; ++round) {
        fixture.arrive("answer");
        const std::size_t before = fixture.answers.size();
        while (failed < fixture.sends.size()) {
            fixture.failCall(fixture.sends[failed++].call, SendEvidence::NothingSent);
        }
        fixture.advance(milliseconds(25));
        for (std::size_t i = before; i < fixture.answers.size(); ++i) {
            CHECK(fixture.answers[i].outcome == Outcome::NotRun);
        }
        const bool refusedImmediately =
            !fixture.answers.empty() && fixture.answers.back().elapsed == Duration{};
        refusedBySecond[static_cast<std::size_t>(round) / 40] += refusedImmediately ? 1 : 0;
    }
    CHECK_EQUAL(0u, refusedBySecond[3]);
    CHECK(refusedBySecond[7] >= 30);
}

TEST(Overload, RequestWithALoweredEstimateStillFailsInTime)
{
    Fixture fixture(1, 1);
    fixture.arrive("answer");
    for (const std::size_t stage : {0u, 1u}) {
        fixture.advance(milliseconds(200));
        fixture.answer(fixture.sends.at(stage).call);
    }
    // The only endpoint hangs; the estimates decay while the second request waits.
    fixture.advance(milliseconds(1000));
    fixture.arrive("answer");
    const RequestId waiting = fixture.arrive("answer");
    for (int round = 0; round < 100; ++round) {
        fixture.advance(milliseconds(10));
    }
    const auto found = std::find_if(fixture.answers.begin(), fixture.answers.end(),
                                    [&](const auto &answer) { return answer.id == waiting; });
    CHECK(found != fixture.answers.end());
    CHECK(found->reason == Reason::CannotFinish);
    CHECK(found->elapsed < milliseconds(990));
}
