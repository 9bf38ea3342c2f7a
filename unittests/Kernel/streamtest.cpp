//===- streamtest.cpp - Tests of answers that come in parts ---------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/requestmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct AnyAnswerCounts : AllGuards
{
    static constexpr bool matchesAttempts = false;
};

/// A request whose last stage streams.
template <GuardPolicy G>
struct StreamBench : MachineFixture<G>
{
    StreamBench()
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
    void piece(const CallId &call, std::uint64_t token, const std::string &text)
    {
        this->machine.handle(StageChunk{call, call, token, 1, text}, *this->snapshot);
        this->collect();
    }
    [[nodiscard]] std::string streamed() const
    {
        std::string text;
        for (const StreamChunk &part : this->pieces) {
            text += part.text;
        }
        return text;
    }
};

/// What a caller gets when a stream breaks behind its second token, goes on
/// elsewhere, and the third token of the first call comes late.
template <GuardPolicy G>
std::string streamedAcrossABreak()
{
    StreamBench<G> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.piece(first, 0, "a");
    fixture.piece(first, 1, "b");
    fixture.failCall(first, SendEvidence::Sent);
    const CallId second = fixture.sends.back().call;
    fixture.piece(second, 2, "c");
    fixture.piece(first, 2, "c");
    fixture.piece(second, 3, "d");
    fixture.answer(second, "\"abcd\"");
    return fixture.streamed();
}

} // namespace

TEST_GROUP(Stream){};

TEST(Stream, OnlyTheLastStageStreams)
{
    const StreamBench<AllGuards> fixture;
    CHECK(!fixture.sends.at(0).streams);
    CHECK(fixture.sends.at(1).streams);
}

TEST(Stream, ABrokenStreamGoesOnAtTheNextToken)
{
    StreamBench<AllGuards> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.piece(first, 0, "a");
    fixture.piece(first, 1, "b");
    fixture.failCall(first, SendEvidence::Sent);
    CHECK_EQUAL(2u, fixture.sends.back().tokensDelivered);
    STRCMP_EQUAL("ab", fixture.sends.back().textDelivered.c_str());
    CHECK_EQUAL(1u, fixture.machine.counters().resumedStreams);
}

TEST(Stream, NoTokenIsPassedOnTwice)
{
    STRCMP_EQUAL("abcd", streamedAcrossABreak<AllGuards>().c_str());
    // The control: any part that comes in is passed on.
    STRCMP_EQUAL("abccd", streamedAcrossABreak<AnyAnswerCounts>().c_str());
}

TEST(Stream, ATokenThatWasLeftOutBreaksTheCall)
{
    StreamBench<AllGuards> fixture;
    const CallId first = fixture.sends.back().call;
    fixture.piece(first, 0, "a");
    fixture.piece(first, 2, "c");
    STRCMP_EQUAL("a", fixture.streamed().c_str());
    CHECK(fixture.cancels.at(0).call == first);
    CHECK_EQUAL(1u, fixture.sends.back().tokensDelivered);
}

TEST(Stream, AStreamThatCannotGoOnEndsHonestly)
{
    StreamBench<AllGuards> fixture;
    fixture.piece(fixture.sends.back().call, 0, "a");
    fixture.advance(milliseconds(1000));
    CHECK_EQUAL(1u, fixture.answers.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
    CHECK_EQUAL(1u, fixture.answers[0].tokens);
}

TEST(Stream, ACallerThatWentAwayCostsNothingMore)
{
    StreamBench<AllGuards> fixture;
    const CallId call = fixture.sends.back().call;
    fixture.piece(call, 0, "a");
    fixture.machine.handle(CallerGone{call.request}, *fixture.snapshot);
    fixture.collect();
    CHECK(fixture.cancels.at(0).call == call);
    CHECK(fixture.answers.at(0).reason == Reason::CallerGone);
    CHECK_EQUAL(0u, fixture.machine.inProgress());
}

TEST(Stream, ARecordGoesOnWithoutItsCaller)
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
