//===- requestmachinetest.cpp - Tests of the request machine --------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"
#include "harelink/Support/error.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Fixture = MachineFixture<AllGuards>;

struct AcceptsStaleAnswers : AllGuards
{
    static constexpr bool matchesAttempts = false;
};

struct RetriesAllPipelines : AllGuards
{
    static constexpr bool retriesOnlyRepeatable = false;
};

struct ReportsNotRunWithoutEvidence : AllGuards
{
    static constexpr bool notRunNeedsEvidence = false;
};

void checkOutcome(Outcome expected, const AnswerCaller &answer)
{
    STRCMP_EQUAL(std::string(toText(expected)).c_str(),
                 std::string(toText(answer.outcome)).c_str());
}

/// The first endpoint answers after its attempt has failed and a second endpoint was called.
/// Returns the answer that the next stage receives.
template <GuardPolicy G>
std::string previousAfterStaleAnswer()
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

/// Returns the number of sends of a request that is not repeatable and whose first send may
/// have run.
template <GuardPolicy G>
std::size_t sendsAfterConnectionLoss()
{
    MachineFixture<G> fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.decide(id, ClaimVerdict::Granted);
    fixture.failCall(fixture.sends.at(0).call, SendEvidence::Sent);
    return fixture.sends.size();
}

template <GuardPolicy G>
Outcome outcomeAfterConnectionLoss()
{
    MachineFixture<G> fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.decide(id, ClaimVerdict::Granted);
    fixture.failCall(fixture.sends.at(0).call, SendEvidence::Sent);
    return fixture.answers.at(0).outcome;
}

} // namespace

TEST_GROUP(RequestMachine){};

TEST(RequestMachine, RunsARequestThroughItsStages)
{
    Fixture fixture;
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

TEST(RequestMachine, RefusesUnknownPipelinesAccountsAndMissingKeys)
{
    Fixture fixture;
    fixture.arrive("nothing");
    fixture.arrive("answer", "nobody");
    fixture.arrive("record");
    CHECK(fixture.answers.at(0).reason == Reason::UnknownPipeline);
    CHECK(fixture.answers.at(1).reason == Reason::UnknownAccount);
    CHECK(fixture.answers.at(2).reason == Reason::KeyMissing);
    CHECK(fixture.sends.empty());
}

TEST(RequestMachine, IgnoresAStaleAnswer)
{
    STRCMP_EQUAL("\"current\"", previousAfterStaleAnswer<AllGuards>().c_str());
}

TEST(RequestMachine, ControlWithoutMatchingUsesAStaleAnswer)
{
    STRCMP_EQUAL("\"late\"", previousAfterStaleAnswer<AcceptsStaleAnswers>().c_str());
}

TEST(RequestMachine, RejectsAnAnswerWithAnotherIdentity)
{
    Fixture fixture;
    fixture.arrive("answer");
    StageAnswered mismatched;
    mismatched.call = fixture.sends.at(0).call;
    mismatched.echoed = mismatched.call;
    mismatched.echoed.request.sequence += 1;
    fixture.machine.handle(mismatched, *fixture.snapshot);
    fixture.collect();
    CHECK_EQUAL(1u, fixture.machine.counters().mismatchedAnswers);
    // The call is retried, since the pipeline is repeatable.
    CHECK_EQUAL(2u, fixture.sends.size());
}

TEST(RequestMachine, RetriesAtAnotherEndpoint)
{
    Fixture fixture;
    fixture.arrive("answer");
    fixture.failCall(fixture.sends.at(0).call, SendEvidence::NothingSent);
    CHECK(fixture.sends.at(0).endpoint != fixture.sends.at(1).endpoint);
}

TEST(RequestMachine, SendsNothingBeforeTheClaimIsGranted)
{
    Fixture fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    CHECK(fixture.sends.empty());
    CHECK_EQUAL(1u, fixture.claims.size());
    fixture.decide(id, ClaimVerdict::Granted);
    CHECK_EQUAL(1u, fixture.sends.size());
    fixture.answer(fixture.sends[0].call, "\"r\"");
    CHECK(fixture.finishes.at(0).outcome == ClaimOutcome::Done);
    STRCMP_EQUAL("\"r\"", fixture.finishes[0].answer.c_str());
}

TEST(RequestMachine, ReleasesALateGrant)
{
    Fixture fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.advance(milliseconds(1000));
    checkOutcome(Outcome::NotRun, fixture.answers.at(0));
    CHECK(fixture.finishes.at(0).outcome == ClaimOutcome::Released);
    fixture.decide(id, ClaimVerdict::Granted);
    CHECK(fixture.sends.empty());
    CHECK_EQUAL(2u, fixture.finishes.size());
    CHECK(fixture.finishes[1].outcome == ClaimOutcome::Released);
}

TEST(RequestMachine, DoesNotRetryWhatMayHaveRun)
{
    CHECK_EQUAL(1u, sendsAfterConnectionLoss<AllGuards>());
}

TEST(RequestMachine, ControlWithoutTheGuardRetriesWhatMayHaveRun)
{
    CHECK_EQUAL(2u, sendsAfterConnectionLoss<RetriesAllPipelines>());
}

TEST(RequestMachine, ReportsNotRunOnlyOnEvidence)
{
    CHECK(outcomeAfterConnectionLoss<AllGuards>() == Outcome::Unknown);
}

TEST(RequestMachine, ControlWithoutEvidenceReportsNotRunWrongly)
{
    CHECK(outcomeAfterConnectionLoss<ReportsNotRunWithoutEvidence>() == Outcome::NotRun);
}

TEST(RequestMachine, ReleasesTheClaimOfARequestThatWasNeverSent)
{
    Fixture fixture(1, 1);
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

TEST(RequestMachine, AnswersAtTheDeadlineAndCancelsTheCall)
{
    Fixture fixture;
    fixture.arrive("answer");
    fixture.advance(milliseconds(997));
    CHECK(fixture.answers.empty());
    fixture.advance(milliseconds(2));
    checkOutcome(Outcome::Unknown, fixture.answers.at(0));
    CHECK_EQUAL(1u, fixture.cancels.size());
    CHECK(fixture.answers[0].elapsed <= fixture.answers[0].allowed);
}

TEST(RequestMachine, ReportsIncompleteIfOnlySomeStagesRan)
{
    Fixture fixture(1, 1);
    fixture.arrive("answer");
    fixture.arrive("answer");
    fixture.answer(fixture.sends.at(0).call);
    // The second request's first stage runs while the first request holds the only engine.
    fixture.answer(fixture.sends.at(2).call);
    fixture.advance(milliseconds(1000));
    CHECK_EQUAL(2u, fixture.answers.size());
    const bool firstIsUnknown = fixture.answers[0].outcome == Outcome::Unknown;
    checkOutcome(firstIsUnknown ? Outcome::RanIncomplete : Outcome::Unknown, fixture.answers[1]);
}

TEST(RequestMachine, FailsEarlyIfTheDeadlineCannotBeMet)
{
    Fixture fixture(1, 1);
    fixture.arrive("answer");
    fixture.clock.advance(milliseconds(600));
    fixture.answer(fixture.sends.at(0).call);
    fixture.clock.advance(milliseconds(350));
    fixture.answer(fixture.sends.at(1).call);
    fixture.arrive("answer");
    // The first request took 600 ms and 350 ms; 950 ms fit the deadline.
    checkOutcome(Outcome::Completed, fixture.answers.at(0));
    fixture.clock.advance(milliseconds(700));
    fixture.answer(fixture.sends.at(2).call);
    CHECK(fixture.answers.at(1).reason == Reason::CannotFinish);
    checkOutcome(Outcome::RanIncomplete, fixture.answers[1]);
    CHECK(fixture.answers[1].retryAfter > Duration::zero());
}

// After a suspension of the process, elapsed times do not indicate slow endpoints.
TEST(RequestMachine, SuspensionIsNotRecordedAsLatency)
{
    Fixture fixture;
    fixture.arrive("answer");
    fixture.clock.advance(std::chrono::seconds(5));
    fixture.answer(fixture.sends.at(0).call);
    CHECK(fixture.answers.at(0).reason == Reason::CannotFinish);
    fixture.arrive("answer");
    CHECK_EQUAL(2u, fixture.sends.size());
}

TEST(RequestMachine, SharesABurstByWeight)
{
    Fixture fixture(1, 1);
    for (int i = 0; i < 40; ++i) {
        fixture.arrive("answer", "lab");
    }
    for (int i = 0; i < 40; ++i) {
        fixture.arrive("answer", "drivers");
    }
    // Encoders serve one call at a time, 10 ms each; drivers have weight three, lab has one.
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

TEST(RequestMachine, DrainingCompletesRequestsInFlight)
{
    Fixture fixture;
    fixture.arrive("answer");
    fixture.machine.drain();
    fixture.arrive("answer");
    CHECK(fixture.answers.at(0).reason == Reason::Draining);
    fixture.answer(fixture.sends.at(0).call);
    fixture.answer(fixture.sends.at(1).call);
    checkOutcome(Outcome::Completed, fixture.answers.at(1));
}

TEST(RequestMachine, SendsNoNewWorkToALeavingEndpoint)
{
    Fixture fixture;
    const PoolEntry &pool = *fixture.snapshot->pool("encoders");
    pool.endpoints[0].load->leaving = true;
    for (int i = 0; i < 4; ++i) {
        fixture.arrive("answer");
    }
    for (const SendStage &send : fixture.sends) {
        STRCMP_EQUAL("encoders-1", send.endpoint.c_str());
    }
}

// The pool's name was read within the request that had just been answered and destroyed.
TEST(RequestMachine, ARequestThatEndsAsItArrivesEndsBeforeThoseThatWait)
{
    Fixture fixture(1, 1);
    while (fixture.machine.queued() < 3) {
        fixture.arrive("answer", "lab");
    }
    fixture.snapshot->pool("encoders")->endpoints[0].load->leaving = true;
    const RequestId id = fixture.arrive("answer", "drivers");
    LONGS_EQUAL(0, fixture.machine.queued());
    LONGS_EQUAL(4, fixture.answers.size());
    CHECK(fixture.answers.at(0).id == id);
}

TEST(RequestMachine, EjectsAFailingEndpointAndProbesIt)
{
    Fixture fixture(2, 50);
    const PoolEntry &pool = *fixture.snapshot->pool("encoders");
    const std::string failingEndpoint = pool.endpoints[0].spec->name;
    const auto sendsTo = [&fixture, &failingEndpoint](std::size_t from) {
        std::size_t count = 0;
        for (std::size_t i = from; i < fixture.sends.size(); ++i) {
            count += fixture.sends[i].endpoint == failingEndpoint ? 1 : 0;
        }
        return count;
    };
    for (std::size_t i = 0; i < 40; ++i) {
        fixture.arrive("answer");
        const SendStage send = fixture.sends.back();
        if (send.endpoint == failingEndpoint) {
            fixture.failCall(send.call, SendEvidence::NothingSent);
        }
    }
    CHECK_EQUAL(3u, sendsTo(0));
    const std::size_t before = fixture.sends.size();
    fixture.advance(milliseconds(500));
    for (int i = 0; i < 40; ++i) {
        fixture.arrive("answer");
    }
    // One call probes the endpoint; the others wait for its answer.
    CHECK_EQUAL(1u, sendsTo(before));
}
