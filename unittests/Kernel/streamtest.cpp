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
    StreamBench<G> bench;
    const CallId first = bench.sends.back().call;
    bench.piece(first, 0, "a");
    bench.piece(first, 1, "b");
    bench.failCall(first, SendEvidence::Sent);
    const CallId second = bench.sends.back().call;
    bench.piece(second, 2, "c");
    bench.piece(first, 2, "c");
    bench.piece(second, 3, "d");
    bench.answer(second, "\"abcd\"");
    return bench.streamed();
}

} // namespace

TEST_GROUP(Stream){};

TEST(Stream, OnlyTheLastStageStreams)
{
    const StreamBench<AllGuards> bench;
    CHECK(!bench.sends.at(0).streams);
    CHECK(bench.sends.at(1).streams);
}

TEST(Stream, ABrokenStreamGoesOnAtTheNextToken)
{
    StreamBench<AllGuards> bench;
    const CallId first = bench.sends.back().call;
    bench.piece(first, 0, "a");
    bench.piece(first, 1, "b");
    bench.failCall(first, SendEvidence::Sent);
    CHECK_EQUAL(2u, bench.sends.back().tokensDelivered);
    STRCMP_EQUAL("ab", bench.sends.back().textDelivered.c_str());
    CHECK_EQUAL(1u, bench.machine.counters().resumedStreams);
}

TEST(Stream, NoTokenIsPassedOnTwice)
{
    STRCMP_EQUAL("abcd", streamedAcrossABreak<AllGuards>().c_str());
    // The control: any part that comes in is passed on.
    STRCMP_EQUAL("abccd", streamedAcrossABreak<AnyAnswerCounts>().c_str());
}

TEST(Stream, ATokenThatWasLeftOutBreaksTheCall)
{
    StreamBench<AllGuards> bench;
    const CallId first = bench.sends.back().call;
    bench.piece(first, 0, "a");
    bench.piece(first, 2, "c");
    STRCMP_EQUAL("a", bench.streamed().c_str());
    CHECK(bench.cancels.at(0).call == first);
    CHECK_EQUAL(1u, bench.sends.back().tokensDelivered);
}

TEST(Stream, AStreamThatCannotGoOnEndsHonestly)
{
    StreamBench<AllGuards> bench;
    bench.piece(bench.sends.back().call, 0, "a");
    bench.advance(milliseconds(1000));
    CHECK_EQUAL(1u, bench.answers.size());
    CHECK(bench.answers[0].outcome == Outcome::Unknown);
    CHECK_EQUAL(1u, bench.answers[0].tokens);
}

TEST(Stream, ACallerThatWentAwayCostsNothingMore)
{
    StreamBench<AllGuards> bench;
    const CallId call = bench.sends.back().call;
    bench.piece(call, 0, "a");
    bench.machine.handle(CallerGone{call.request}, *bench.snapshot);
    bench.collect();
    CHECK(bench.cancels.at(0).call == call);
    CHECK(bench.answers.at(0).reason == Reason::CallerGone);
    CHECK_EQUAL(0u, bench.machine.inProgress());
}

TEST(Stream, ARecordGoesOnWithoutItsCaller)
{
    MachineFixture<AllGuards> bench;
    const RequestId id = bench.arrive("record", "drivers", "k1");
    bench.decide(id, ClaimVerdict::Granted);
    bench.machine.handle(CallerGone{id}, *bench.snapshot);
    bench.collect();
    CHECK_EQUAL(0u, bench.cancels.size());
    bench.answer(bench.sends.at(0).call);
    CHECK(bench.finishes.at(0).outcome == ClaimOutcome::Done);
}
