//===- streamtest.cpp - Tests of streamed answers -------------------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct AcceptsStaleAnswers : AllGuards
{
    static constexpr bool matchesAttempts = false;
};

/// A request whose last stage streams.
template <GuardPolicy G>
struct StreamFixture : MachineFixture<G>
{
    StreamFixture()
    {
        RequestArrived event;
        event.id = {9, 1};
        event.account = "drivers";
        event.pipeline = "answer";
        event.body = "{}";
        event.streams = true;
        this->machine.handle(std::move(event), *this->snapshot);
        this->collect();
        this->answer(this->sends.at(0).call);
    }
    void sendChunk(const CallId &call, std::uint64_t token, const std::string &text)
    {
        this->machine.handle(StageChunk{call, call, token, 1, text}, *this->snapshot);
        this->collect();
    }
    [[nodiscard]] std::string streamed() const
    {
        std::string text;
        for (const StreamChunk &chunk : this->chunks) {
            text += chunk.text;
        }
        return text;
    }
};

/// Returns the text that a caller receives when a stream breaks after its second token and
/// resumes at another endpoint, while the third token of the first call arrives late.
template <GuardPolicy G>
std::string streamedAcrossConnectionLoss()
{
    StreamFixture<G> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.sendChunk(first, 0, "a");
    fixture.sendChunk(first, 1, "b");
    fixture.failCall(first, SendEvidence::Sent);
    const CallId second = fixture.sends.back().call;
    fixture.sendChunk(second, 2, "c");
    fixture.sendChunk(first, 2, "c");
    fixture.sendChunk(second, 3, "d");
    fixture.answer(second, "\"abcd\"", AnswerKind::Stream);
    return fixture.streamed();
}

} // namespace

TEST_GROUP(Stream){};

TEST(Stream, OnlyTheLastStageStreams)
{
    const StreamFixture<AllGuards> fixture;
    CHECK(!fixture.sends.at(0).streams);
    CHECK(fixture.sends.at(1).streams);
}

TEST(Stream, BrokenStreamResumesAtTheNextToken)
{
    StreamFixture<AllGuards> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.sendChunk(first, 0, "a");
    fixture.sendChunk(first, 1, "b");
    fixture.failCall(first, SendEvidence::Sent);
    CHECK_EQUAL(2u, fixture.sends.back().tokensDelivered);
    STRCMP_EQUAL("ab", fixture.sends.back().textDelivered.c_str());
    CHECK_EQUAL(1u, fixture.machine.counters().resumedStreams);
}

TEST(Stream, ForwardsNoTokenTwice)
{
    STRCMP_EQUAL("abcd", streamedAcrossConnectionLoss<AllGuards>().c_str());
    // Control: without the guard, any chunk is forwarded.
    STRCMP_EQUAL("abccd", streamedAcrossConnectionLoss<AcceptsStaleAnswers>().c_str());
}

TEST(Stream, MissingTokenFailsTheCall)
{
    StreamFixture<AllGuards> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.sendChunk(first, 0, "a");
    fixture.sendChunk(first, 2, "c");
    STRCMP_EQUAL("a", fixture.streamed().c_str());
    CHECK(fixture.cancels.at(0).call == first);
    CHECK_EQUAL(1u, fixture.sends.back().tokensDelivered);
}

TEST(Stream, WholeAnswerToAResumedCallEndsNoStream)
{
    StreamFixture<AllGuards> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.sendChunk(first, 0, "a");
    fixture.failCall(first, SendEvidence::Sent);
    const CallId second = fixture.sends.back().call;
    fixture.answer(second, "\"abcd\"");
    CHECK(fixture.answers.empty());
    const CallId third = fixture.sends.back().call;
    CHECK(third != second);
    fixture.sendChunk(third, 1, "b");
    fixture.answer(third, "\"ab\"", AnswerKind::Stream);
    CHECK(fixture.answers.at(0).outcome == Outcome::Completed);
}

TEST(Stream, InterruptedStreamEndsWithUnknownOutcome)
{
    StreamFixture<AllGuards> fixture;
    fixture.sendChunk(fixture.sends.back().call, 0, "a");
    fixture.advance(milliseconds(1000));
    CHECK_EQUAL(1u, fixture.answers.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
    CHECK_EQUAL(1u, fixture.answers[0].tokens);
}

TEST(Stream, DisconnectedCallerCancelsTheCall)
{
    StreamFixture<AllGuards> fixture;
    const CallId call = fixture.sends.back().call;
    fixture.sendChunk(call, 0, "a");
    fixture.machine.handle(CallerGone{call.request}, *fixture.snapshot);
    fixture.collect();
    CHECK(fixture.cancels.at(0).call == call);
    CHECK(fixture.answers.at(0).reason == Reason::CallerGone);
    CHECK_EQUAL(0u, fixture.machine.inProgress());
}

// Such a request ends like that of a caller that left, but under a reason of its own: operators
// look for the caller's link, not for its client timeout.
TEST(Stream, CallerThatDoesNotReadCancelsTheCall)
{
    StreamFixture<AllGuards> fixture;
    const CallId call = fixture.sends.back().call;
    fixture.sendChunk(call, 0, "a");
    fixture.machine.handle(CallerGone{call.request, true}, *fixture.snapshot);
    fixture.collect();
    CHECK(fixture.cancels.at(0).call == call);
    CHECK(fixture.answers.at(0).reason == Reason::CallerTooSlow);
    CHECK(fixture.answers.at(0).outcome == Outcome::Unknown);
    STRCMP_EQUAL("caller-too-slow", std::string(toText(Reason::CallerTooSlow)).c_str());
    CHECK_EQUAL(0u, fixture.machine.inProgress());
}

TEST(Stream, RequestThatIsNotRepeatableContinuesWithoutItsCaller)
{
    MachineFixture<AllGuards> fixture;
    const RequestId id = fixture.arrive("record", "drivers", "k1");
    fixture.decide(id, ClaimVerdict::Granted);
    fixture.machine.handle(CallerGone{id}, *fixture.snapshot);
    fixture.collect();
    CHECK_EQUAL(0u, fixture.cancels.size());
    fixture.answer(fixture.sends.at(0).call);
    CHECK(fixture.finishes.at(0).outcome == ClaimOutcome::Done);
}
