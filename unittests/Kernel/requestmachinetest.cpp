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
    MachineFixture<G> bench;
    bench.arrive("answer");
    const CallId first = bench.sends.at(0).call;
    bench.failCall(first, SendEvidence::Sent);
    const CallId second = bench.sends.at(1).call;
    bench.answer(first, "\"late\"");
    bench.answer(second, "\"current\"");
    return bench.sends.at(2).previous;
}

/// Sends of a request that may not be repeated, whose first send may have run.
template <GuardPolicy G>
std::size_t sendsAfterABrokenRecord()
{
    MachineFixture<G> bench;
    const RequestId id = bench.arrive("record", "drivers", "k1");
    bench.decide(id, ClaimVerdict::Granted);
    bench.failCall(bench.sends.at(0).call, SendEvidence::Sent);
    return bench.sends.size();
}

template <GuardPolicy G>
Outcome outcomeOfABrokenRecord()
{
    MachineFixture<G> bench;
    const RequestId id = bench.arrive("record", "drivers", "k1");
    bench.decide(id, ClaimVerdict::Granted);
    bench.failCall(bench.sends.at(0).call, SendEvidence::Sent);
    return bench.answers.at(0).outcome;
}

} // namespace

TEST_GROUP(RequestMachine){};

TEST(RequestMachine, TakesARequestThroughItsStages)
{
    Bench bench;
    bench.arrive("answer");
    STRCMP_EQUAL("encode", bench.sends.at(0).stage.c_str());
    bench.clock.advance(milliseconds(10));
    bench.answer(bench.sends[0].call, "\"e\"");
    STRCMP_EQUAL("generate", bench.sends.at(1).stage.c_str());
    STRCMP_EQUAL("\"e\"", bench.sends[1].previous.c_str());
    bench.clock.advance(milliseconds(20));
    bench.answer(bench.sends[1].call, "\"g\"");
    checkOutcome(Outcome::Completed, bench.answers.at(0));
    STRCMP_EQUAL("\"g\"", bench.answers[0].body.c_str());
    DOUBLES_EQUAL(0.02, bench.answers[0].costs.at(0).cost, 1e-9);
    DOUBLES_EQUAL(0.04, bench.answers[0].costs.at(1).cost, 1e-9);
    CHECK_EQUAL(0u, bench.machine.inProgress());
}

TEST(RequestMachine, RefusesWhatItDoesNotKnow)
{
    Bench bench;
    bench.arrive("nothing");
    bench.arrive("answer", "nobody");
    bench.arrive("record");
    CHECK(bench.answers.at(0).reason == Reason::UnknownPipeline);
    CHECK(bench.answers.at(1).reason == Reason::UnknownAccount);
    CHECK(bench.answers.at(2).reason == Reason::KeyMissing);
    CHECK(bench.sends.empty());
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
    Bench bench;
    bench.arrive("answer");
    StageAnswered mixed;
    mixed.call = bench.sends.at(0).call;
    mixed.echoed = mixed.call;
    mixed.echoed.request.sequence += 1;
    bench.machine.handle(mixed, *bench.snapshot);
    bench.collect();
    CHECK_EQUAL(1u, bench.machine.counters().mismatchedAnswers);
    // It is asked again: the pipeline may be repeated.
    CHECK_EQUAL(2u, bench.sends.size());
}

TEST(RequestMachine, RetriesElsewhere)
{
    Bench bench;
    bench.arrive("answer");
    bench.failCall(bench.sends.at(0).call, SendEvidence::NothingSent);
    CHECK(bench.sends.at(0).endpoint != bench.sends.at(1).endpoint);
}

TEST(RequestMachine, SendsNothingBeforeTheClaimIsGranted)
{
    Bench bench;
    const RequestId id = bench.arrive("record", "drivers", "k1");
    CHECK(bench.sends.empty());
    CHECK_EQUAL(1u, bench.claims.size());
    bench.decide(id, ClaimVerdict::Granted);
    CHECK_EQUAL(1u, bench.sends.size());
    bench.answer(bench.sends[0].call, "\"r\"");
    CHECK(bench.finishes.at(0).outcome == ClaimOutcome::Done);
    STRCMP_EQUAL("\"r\"", bench.finishes[0].answer.c_str());
}

TEST(RequestMachine, AGrantThatComesTooLateIsGivenBack)
{
    Bench bench;
    const RequestId id = bench.arrive("record", "drivers", "k1");
    bench.advance(milliseconds(1000));
    checkOutcome(Outcome::NotRun, bench.answers.at(0));
    CHECK(bench.finishes.at(0).outcome == ClaimOutcome::Released);
    bench.decide(id, ClaimVerdict::Granted);
    CHECK(bench.sends.empty());
    CHECK_EQUAL(2u, bench.finishes.size());
    CHECK(bench.finishes[1].outcome == ClaimOutcome::Released);
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
    Bench bench(1, 1);
    const RequestId id = bench.arrive("record", "drivers", "k1");
    bench.decide(id, ClaimVerdict::Granted);
    std::size_t failed = 0;
    for (int i = 0; bench.answers.empty() && i < 50; ++i) {
        while (failed < bench.sends.size()) {
            bench.failCall(bench.sends[failed++].call, SendEvidence::NothingSent);
        }
        bench.advance(milliseconds(50));
    }
    checkOutcome(Outcome::NotRun, bench.answers.at(0));
    CHECK(bench.finishes.at(0).outcome == ClaimOutcome::Released);
}

TEST(RequestMachine, AnswersAtTheDeadlineAndStopsTheCall)
{
    Bench bench;
    bench.arrive("answer");
    bench.advance(milliseconds(997));
    CHECK(bench.answers.empty());
    bench.advance(milliseconds(2));
    checkOutcome(Outcome::Unknown, bench.answers.at(0));
    CHECK_EQUAL(1u, bench.cancels.size());
    CHECK(bench.answers[0].elapsed <= bench.answers[0].allowed);
}

TEST(RequestMachine, StagesThatRanAndNoMoreIsIncomplete)
{
    Bench bench(1, 1);
    bench.arrive("answer");
    bench.arrive("answer");
    bench.answer(bench.sends.at(0).call);
    // The second one's first stage runs; the first one holds the only engine.
    bench.answer(bench.sends.at(2).call);
    bench.advance(milliseconds(1000));
    CHECK_EQUAL(2u, bench.answers.size());
    const bool firstIsUnknown = bench.answers[0].outcome == Outcome::Unknown;
    checkOutcome(firstIsUnknown ? Outcome::RanIncomplete : Outcome::Unknown, bench.answers[1]);
}

TEST(RequestMachine, RefusesAtOnceWhatCannotFinish)
{
    Bench bench(1, 1);
    bench.arrive("answer");
    bench.clock.advance(milliseconds(600));
    bench.answer(bench.sends.at(0).call);
    bench.clock.advance(milliseconds(350));
    bench.answer(bench.sends.at(1).call);
    bench.arrive("answer");
    // Time runs 600 ms for the first stage and half of 350 ms more: 950 ms fit.
    checkOutcome(Outcome::Completed, bench.answers.at(0));
    bench.clock.advance(milliseconds(700));
    bench.answer(bench.sends.at(2).call);
    CHECK(bench.answers.at(1).reason == Reason::CannotFinish);
    checkOutcome(Outcome::RanIncomplete, bench.answers[1]);
    CHECK(bench.answers[1].retryAfter > Duration::zero());
}

// What a process that was stopped finds when it wakes looks slow and is not.
TEST(RequestMachine, AnOwnPauseIsNotLearntAsSlowness)
{
    Bench bench;
    bench.arrive("answer");
    bench.clock.advance(std::chrono::seconds(5));
    bench.answer(bench.sends.at(0).call);
    CHECK(bench.answers.at(0).reason == Reason::CannotFinish);
    bench.arrive("answer");
    CHECK_EQUAL(2u, bench.sends.size());
}

TEST(RequestMachine, ABurstTakesTurnsByWeight)
{
    Bench bench(1, 1);
    for (int i = 0; i < 40; ++i) {
        bench.arrive("answer", "lab");
    }
    for (int i = 0; i < 40; ++i) {
        bench.arrive("answer", "drivers");
    }
    // Encoders serve one call at a time, 10 ms each; drivers weigh three, lab one.
    int drivers = 0;
    int encoded = 0;
    for (std::size_t i = 0; i < bench.sends.size() && encoded < 40; ++i) {
        bench.clock.advance(milliseconds(10));
        if (bench.sends[i].stage == "encode") {
            ++encoded;
            drivers += bench.sends[i].call.request.sequence > 40 ? 1 : 0;
        }
        bench.answer(bench.sends[i].call);
    }
    CHECK_EQUAL(40, encoded);
    CHECK(drivers >= 27 && drivers <= 33);
}

TEST(RequestMachine, AStoppingDaemonFinishesWhatIsInFlight)
{
    Bench bench;
    bench.arrive("answer");
    bench.machine.drain();
    bench.arrive("answer");
    CHECK(bench.answers.at(0).reason == Reason::Draining);
    bench.answer(bench.sends.at(0).call);
    bench.answer(bench.sends.at(1).call);
    checkOutcome(Outcome::Completed, bench.answers.at(1));
}

TEST(RequestMachine, ALeavingEndpointGetsNoNewWork)
{
    Bench bench;
    const PoolEntry &pool = *bench.snapshot->pool("encoders");
    pool.endpoints[0].load->leaving = true;
    for (int i = 0; i < 4; ++i) {
        bench.arrive("answer");
    }
    for (const SendStage &send : bench.sends) {
        STRCMP_EQUAL("encoders-1", send.endpoint.c_str());
    }
}

TEST(RequestMachine, AnEndpointThatFailsIsEjectedAndComesBack)
{
    Bench bench(2, 50);
    const PoolEntry &pool = *bench.snapshot->pool("encoders");
    const std::string bad = pool.endpoints[0].spec.name;
    const auto sendsTo = [&bench, &bad](std::size_t from) {
        std::size_t count = 0;
        for (std::size_t i = from; i < bench.sends.size(); ++i) {
            count += bench.sends[i].endpoint == bad ? 1 : 0;
        }
        return count;
    };
    for (std::size_t i = 0; i < 40; ++i) {
        bench.arrive("answer");
        const SendStage send = bench.sends.back();
        if (send.endpoint == bad) {
            bench.failCall(send.call, SendEvidence::NothingSent);
        }
    }
    CHECK_EQUAL(3u, sendsTo(0));
    const std::size_t before = bench.sends.size();
    bench.advance(milliseconds(500));
    for (int i = 0; i < 40; ++i) {
        bench.arrive("answer");
    }
    // One call probes it; the others wait for that one's answer.
    CHECK_EQUAL(1u, sendsTo(before));
}
