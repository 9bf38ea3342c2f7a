//===- overloadtest.cpp - Tests of decisions under load -------------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Bench = MachineFixture<AllGuards>;

struct AdmitsEverything : AllGuards
{
    static constexpr bool admitsByPrediction = false;
};

struct BurstResult
{
    std::size_t refusedUnrun = 0;
    std::size_t ranForNothing = 0;
    std::size_t completed = 0;
};

/// Thirty requests at once, of which the second stage, with one slot and 100 ms a
/// call, can serve some nine within the deadline of 1 s.
template <GuardPolicy G>
BurstResult burstBeforeANarrowSecondStage()
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
        const bool refusedUnrun = answer.outcome == Outcome::NotRun;
        result.completed += completed ? 1 : 0;
        result.refusedUnrun += refusedUnrun ? 1 : 0;
        result.ranForNothing += !completed && !refusedUnrun ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_GROUP(Overload){};

TEST(Overload, AnEndpointThatRefusedIsLeftAloneForPartOfACall)
{
    Bench fixture(1, 4);
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

TEST(Overload, RefusalsDoNotUseUpARequestsSends)
{
    Bench fixture(1, 4);
    fixture.arrive("answer");
    for (int i = 0; i < 40; ++i) {
        fixture.failCall(fixture.sends.back().call, SendEvidence::RefusedBeforeRun);
        fixture.advance(milliseconds(3));
    }
    CHECK_EQUAL(41u, fixture.sends.size());
    CHECK_EQUAL(0u, fixture.answers.size());
}

TEST(Overload, AQueueBehindALaterStageIsForeseen)
{
    const BurstResult result = burstBeforeANarrowSecondStage<AllGuards>();
    CHECK(result.completed >= 9);
    CHECK(result.ranForNothing <= 2);
    CHECK_EQUAL(31u, result.completed + result.refusedUnrun + result.ranForNothing);
    const BurstResult control = burstBeforeANarrowSecondStage<AdmitsEverything>();
    CHECK(control.ranForNothing >= 10);
}

TEST(Overload, ARequestWaitsForAPoolThatCannotBeReached)
{
    Bench fixture(2, 4);
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
    // Each endpoint is asked three times, then after 200 and 400 ms.
    CHECK(fixture.sends.size() <= 10);
    fixture.advance(milliseconds(300));
    CHECK(failed < fixture.sends.size());
    fixture.answer(fixture.sends.back().call);
    STRCMP_EQUAL("generate", fixture.sends.back().stage.c_str());
}

TEST(Overload, CallsThatStaySilentMakeAnEndpointExpectedToBeSlow)
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

TEST(Overload, CallsGivenUpOnEjectAnEndpointOnlyIfTheyTookMuchLongerThanUsual)
{
    ManualClock clock;
    const auto snapshot = buildSnapshot(smallConfiguration(2, 4), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("engines");
    const auto giveUpThrice = [&](const EndpointEntry &endpoint, milliseconds elapsed) {
        for (int i = 0; i < 3; ++i) {
            recordAbandonedCall(pool, endpoint, elapsed, milliseconds(100), clock.now());
        }
        return isUsable(endpoint, clock.now());
    };
    CHECK(giveUpThrice(pool.endpoints[0], milliseconds(150)));
    CHECK(!giveUpThrice(pool.endpoints[1], milliseconds(250)));
}

TEST(Overload, APoolThatStaysUnreachableIsWaitedForOnlySoLong)
{
    Bench fixture(2, 4);
    std::size_t failed = 0;
    // Forty requests a second for eight seconds, of which none can be served.
    std::vector<std::size_t> refusedBySecond(8);
    for (int turn = 0; turn < 320; ++turn) {
        fixture.arrive("answer");
        const std::size_t before = fixture.answers.size();
        while (failed < fixture.sends.size()) {
            fixture.failCall(fixture.sends[failed++].call, SendEvidence::NothingSent);
        }
        fixture.advance(milliseconds(25));
        for (std::size_t i = before; i < fixture.answers.size(); ++i) {
            CHECK(fixture.answers[i].outcome == Outcome::NotRun);
        }
        const bool atOnce =
            !fixture.answers.empty() && fixture.answers.back().elapsed == Duration{};
        refusedBySecond[static_cast<std::size_t>(turn) / 40] += atOnce ? 1 : 0;
    }
    CHECK_EQUAL(0u, refusedBySecond[3]);
    CHECK(refusedBySecond[7] >= 30);
}

TEST(Overload, ARequestWhoseEstimateFellIsStillGivenUpInTime)
{
    Bench fixture(1, 1);
    fixture.arrive("answer");
    for (const std::size_t stage : {0u, 1u}) {
        fixture.advance(milliseconds(200));
        fixture.answer(fixture.sends.at(stage).call);
    }
    // The only endpoint hangs; while the second request waits, the estimates fade.
    fixture.advance(milliseconds(1000));
    fixture.arrive("answer");
    const RequestId waiting = fixture.arrive("answer");
    for (int turn = 0; turn < 100; ++turn) {
        fixture.advance(milliseconds(10));
    }
    const auto given = std::find_if(fixture.answers.begin(), fixture.answers.end(),
                                    [&](const auto &answer) { return answer.id == waiting; });
    CHECK(given != fixture.answers.end());
    CHECK(given->reason == Reason::CannotFinish);
    CHECK(given->elapsed < milliseconds(990));
}
