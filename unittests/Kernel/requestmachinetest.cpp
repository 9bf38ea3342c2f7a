//===- requestmachinetest.cpp - Tests of a request's life -----------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"
#include "harelink/Support/error.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Bench = MachineFixture<AllGuards>;

struct AnyAnswerCounts : AllGuards
{
    static constexpr bool matchesAttempts = false;
};

struct RetriesEverything : AllGuards
{
    static constexpr bool retriesOnlyRepeatable = false;
};

struct NotRunWithoutEvidence : AllGuards
{
    static constexpr bool notRunNeedsEvidence = false;
};

void checkOutcome(Outcome expected, const AnswerCaller &answer)
{
    STRCMP_EQUAL(std::string(toText(expected)).c_str(),
                 std::string(toText(answer.outcome)).c_str());
}

/// A call is answered for an attempt that was given up: late news of a first
/// endpoint, after a second one has been asked.
template <GuardPolicy G>
std::string bodyAfterALateAnswer()
{
    MachineFixture<G> fixture;
    fixture.arrive("answer");
    const CallId first = fixture.sends.at(0).call;
    fixture.failCall(first, SendEvidence::Sent);
    const CallId second = fixture.sends.at(1).call;
    fixture.answer(first, "\"late\"");
    fixture.answer(second, "\"current\"");
    return fixture.sends.at(2).previous;
}

/// Sends of a request that may not be repeated, whose first send may have run.
template <GuardPolicy G>
std::size_t sendsAfterABrokenRecord()
{
    MachineFixture<G> fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.decide(id, ClaimVerdict::Granted);
    fixture.failCall(fixture.sends.at(0).call, SendEvidence::Sent);
    return fixture.sends.size();
}

template <GuardPolicy G>
Outcome outcomeOfABrokenRecord()
{
    MachineFixture<G> fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.decide(id, ClaimVerdict::Granted);
    fixture.failCall(fixture.sends.at(0).call, SendEvidence::Sent);
    return fixture.answers.at(0).outcome;
}

} // namespace

TEST_GROUP(RequestMachine){};

TEST(RequestMachine, TakesARequestThroughItsStages)
{
    Bench fixture;
    fixture.arrive("answer");
    STRCMP_EQUAL("encode", fixture.sends.at(0).stage.c_str());
    fixture.clock.advance(milliseconds(10));
    fixture.answer(fixture.sends[0].call, "\"e\"");
    STRCMP_EQUAL("generate", fixture.sends.at(1).stage.c_str());
    STRCMP_EQUAL("\"e\"", fixture.sends[1].previous.c_str());
    fixture.clock.advance(milliseconds(20));
    fixture.answer(fixture.sends[1].call, "\"g\"");
    checkOutcome(Outcome::Completed, fixture.answers.at(0));
    STRCMP_EQUAL("\"g\"", fixture.answers[0].body.c_str());
    DOUBLES_EQUAL(0.02, fixture.answers[0].costs.at(0).cost, 1e-9);
    DOUBLES_EQUAL(0.04, fixture.answers[0].costs.at(1).cost, 1e-9);
    CHECK_EQUAL(0u, fixture.machine.inProgress());
}

TEST(RequestMachine, RefusesWhatItDoesNotKnow)
{
    Bench fixture;
    fixture.arrive("nothing");
    fixture.arrive("answer", "nobody");
    fixture.arrive("record");
    CHECK(fixture.answers.at(0).reason == Reason::UnknownPipeline);
    CHECK(fixture.answers.at(1).reason == Reason::UnknownAccount);
    CHECK(fixture.answers.at(2).reason == Reason::KeyMissing);
    CHECK(fixture.sends.empty());
}

TEST(RequestMachine, ALateAnswerIsNotUsed)
{
    STRCMP_EQUAL("\"current\"", bodyAfterALateAnswer<AllGuards>().c_str());
}

TEST(RequestMachine, ControlWithoutMatchingALateAnswerIsUsed)
{
    STRCMP_EQUAL("\"late\"", bodyAfterALateAnswer<AnyAnswerCounts>().c_str());
}

TEST(RequestMachine, AnAnswerWithAnotherIdentityIsNotUsed)
{
    Bench fixture;
    fixture.arrive("answer");
    StageAnswered mixed;
    mixed.call = fixture.sends.at(0).call;
    mixed.echoed = mixed.call;
    mixed.echoed.request.sequence += 1;
    fixture.machine.handle(mixed, *fixture.snapshot);
    fixture.collect();
    CHECK_EQUAL(1u, fixture.machine.counters().mismatchedAnswers);
    // It is asked again: the pipeline may be repeated.
    CHECK_EQUAL(2u, fixture.sends.size());
}

TEST(RequestMachine, RetriesElsewhere)
{
    Bench fixture;
    fixture.arrive("answer");
    fixture.failCall(fixture.sends.at(0).call, SendEvidence::NothingSent);
    CHECK(fixture.sends.at(0).endpoint != fixture.sends.at(1).endpoint);
}

TEST(RequestMachine, SendsNothingBeforeTheClaimIsGranted)
{
    Bench fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    CHECK(fixture.sends.empty());
    CHECK_EQUAL(1u, fixture.claims.size());
    fixture.decide(id, ClaimVerdict::Granted);
    CHECK_EQUAL(1u, fixture.sends.size());
    fixture.answer(fixture.sends[0].call, "\"r\"");
    CHECK(fixture.finishes.at(0).outcome == ClaimOutcome::Done);
    STRCMP_EQUAL("\"r\"", fixture.finishes[0].answer.c_str());
}

TEST(RequestMachine, AGrantThatComesTooLateIsGivenBack)
{
    Bench fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.advance(milliseconds(1000));
    checkOutcome(Outcome::NotRun, fixture.answers.at(0));
    CHECK(fixture.finishes.at(0).outcome == ClaimOutcome::Released);
    fixture.decide(id, ClaimVerdict::Granted);
    CHECK(fixture.sends.empty());
    CHECK_EQUAL(2u, fixture.finishes.size());
    CHECK(fixture.finishes[1].outcome == ClaimOutcome::Released);
}

TEST(RequestMachine, WhatMayHaveRunIsNotSentAgain)
{
    CHECK_EQUAL(1u, sendsAfterABrokenRecord<AllGuards>());
}

TEST(RequestMachine, ControlWithoutTheRuleItIsSentAgain)
{
    CHECK_EQUAL(2u, sendsAfterABrokenRecord<RetriesEverything>());
}

TEST(RequestMachine, NotRunIsSaidOnlyOnEvidence)
{
    CHECK(outcomeOfABrokenRecord<AllGuards>() == Outcome::Unknown);
}

TEST(RequestMachine, ControlWithoutEvidenceNotRunIsSaidWrongly)
{
    CHECK(outcomeOfABrokenRecord<NotRunWithoutEvidence>() == Outcome::NotRun);
}

TEST(RequestMachine, ARecordThatWasNeverSentIsReleased)
{
    Bench fixture(1, 1);
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.decide(id, ClaimVerdict::Granted);
    std::size_t failed = 0;
    for (int i = 0; fixture.answers.empty() && i < 50; ++i) {
        while (failed < fixture.sends.size()) {
            fixture.failCall(fixture.sends[failed++].call, SendEvidence::NothingSent);
        }
        fixture.advance(milliseconds(50));
    }
    checkOutcome(Outcome::NotRun, fixture.answers.at(0));
    CHECK(fixture.finishes.at(0).outcome == ClaimOutcome::Released);
}

TEST(RequestMachine, AnswersAtTheDeadlineAndStopsTheCall)
{
    Bench fixture;
    fixture.arrive("answer");
    fixture.advance(milliseconds(997));
    CHECK(fixture.answers.empty());
    fixture.advance(milliseconds(2));
    checkOutcome(Outcome::Unknown, fixture.answers.at(0));
    CHECK_EQUAL(1u, fixture.cancels.size());
    CHECK(fixture.answers[0].elapsed <= fixture.answers[0].allowed);
}

TEST(RequestMachine, StagesThatRanAndNoMoreIsIncomplete)
{
    Bench fixture(1, 1);
    fixture.arrive("answer");
    fixture.arrive("answer");
    fixture.answer(fixture.sends.at(0).call);
    // The second one's first stage runs; the first one holds the only engine.
    fixture.answer(fixture.sends.at(2).call);
    fixture.advance(milliseconds(1000));
    CHECK_EQUAL(2u, fixture.answers.size());
    const bool firstIsUnknown = fixture.answers[0].outcome == Outcome::Unknown;
    checkOutcome(firstIsUnknown ? Outcome::RanIncomplete : Outcome::Unknown, fixture.answers[1]);
}

TEST(RequestMachine, RefusesAtOnceWhatCannotFinish)
{
    Bench fixture(1, 1);
    fixture.arrive("answer");
    fixture.clock.advance(milliseconds(600));
    fixture.answer(fixture.sends.at(0).call);
    fixture.clock.advance(milliseconds(350));
    fixture.answer(fixture.sends.at(1).call);
    fixture.arrive("answer");
    // Time runs 600 ms for the first stage and half of 350 ms more: 950 ms fit.
    checkOutcome(Outcome::Completed, fixture.answers.at(0));
    fixture.clock.advance(milliseconds(700));
    fixture.answer(fixture.sends.at(2).call);
    CHECK(fixture.answers.at(1).reason == Reason::CannotFinish);
    checkOutcome(Outcome::RanIncomplete, fixture.answers[1]);
    CHECK(fixture.answers[1].retryAfter > Duration::zero());
}

// What a process that was stopped finds when it wakes looks slow and is not.
TEST(RequestMachine, AnOwnPauseIsNotLearntAsSlowness)
{
    Bench fixture;
    fixture.arrive("answer");
    fixture.clock.advance(std::chrono::seconds(5));
    fixture.answer(fixture.sends.at(0).call);
    CHECK(fixture.answers.at(0).reason == Reason::CannotFinish);
    fixture.arrive("answer");
    CHECK_EQUAL(2u, fixture.sends.size());
}

TEST(RequestMachine, ABurstTakesTurnsByWeight)
{
    Bench fixture(1, 1);
    for (int i = 0; i < 40; ++i) {
        fixture.arrive("answer", "lab");
    }
    for (int i = 0; i < 40; ++i) {
        fixture.arrive("answer", "drivers");
    }
    // Encoders serve one call at a time, 10 ms each; drivers weigh three, lab one.
    int drivers = 0;
    int encoded = 0;
    for (std::size_t i = 0; i < fixture.sends.size() && encoded < 40; ++i) {
        fixture.clock.advance(milliseconds(10));
        if (fixture.sends[i].stage == "encode") {
            ++encoded;
            drivers += fixture.sends[i].call.request.sequence > 40 ? 1 : 0;
        }
        fixture.answer(fixture.sends[i].call);
    }
    CHECK_EQUAL(40, encoded);
    CHECK(drivers >= 27 && drivers <= 33);
}

TEST(RequestMachine, AStoppingDaemonFinishesWhatIsInFlight)
{
    Bench fixture;
    fixture.arrive("answer");
    fixture.machine.drain();
    fixture.arrive("answer");
    CHECK(fixture.answers.at(0).reason == Reason::Draining);
    fixture.answer(fixture.sends.at(0).call);
    fixture.answer(fixture.sends.at(1).call);
    checkOutcome(Outcome::Completed, fixture.answers.at(1));
}

TEST(RequestMachine, ALeavingEndpointGetsNoNewWork)
{
    Bench fixture;
    const PoolEntry &pool = *fixture.snapshot->pool("encoders");
    pool.endpoints[0].load->leaving = true;
    for (int i = 0; i < 4; ++i) {
        fixture.arrive("answer");
    }
    for (const SendStage &send : fixture.sends) {
        STRCMP_EQUAL("encoders-1", send.endpoint.c_str());
    }
}

TEST(RequestMachine, AnEndpointThatFailsIsEjectedAndComesBack)
{
    Bench fixture(2, 50);
    const PoolEntry &pool = *fixture.snapshot->pool("encoders");
    const std::string bad = pool.endpoints[0].spec.name;
    const auto sendsTo = [&fixture, &bad](std::size_t from) {
        std::size_t count = 0;
        for (std::size_t i = from; i < fixture.sends.size(); ++i) {
            count += fixture.sends[i].endpoint == bad ? 1 : 0;
        }
        return count;
    };
    for (std::size_t i = 0; i < 40; ++i) {
        fixture.arrive("answer");
        const SendStage send = fixture.sends.back();
        if (send.endpoint == bad) {
            fixture.failCall(send.call, SendEvidence::NothingSent);
        }
    }
    CHECK_EQUAL(3u, sendsTo(0));
    const std::size_t before = fixture.sends.size();
    fixture.advance(milliseconds(500));
    for (int i = 0; i < 40; ++i) {
        fixture.arrive("answer");
    }
    // One call probes it; the others wait for that one's answer.
    CHECK_EQUAL(1u, sendsTo(before));
}
