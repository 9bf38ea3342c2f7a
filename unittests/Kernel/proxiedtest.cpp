//===- proxiedtest.cpp - Tests of proxied requests ------------------------===//

#include "harelink/Kernel/framinghabit.h"

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

TEST_GROUP(Proxied){};

TEST(Proxied, LongestPathPrefixOfTheHostSelectsTheRoute)
{
    ProxiedFixture fixture;
    fixture.arrive("/read/deep/er", "");
    fixture.arrive("/read/er");
    LONGS_EQUAL(2, fixture.sends.size());
    STRCMP_EQUAL("", fixture.sends[0].account.c_str());
    STRCMP_EQUAL("drivers", fixture.sends[1].account.c_str());
}

TEST(Proxied, SendsNothingWithoutRouteOrKey)
{
    ProxiedFixture fixture;
    fixture.arrive("/nowhere/");
    fixture.arrive("/read/er", "key-3");
    CHECK(fixture.sends.empty());
    CHECK(fixture.answers[0].reason == Reason::UnknownPipeline);
    CHECK(fixture.answers[1].reason == Reason::UnknownAccount);
    CHECK(fixture.answers[1].outcome == Outcome::NotRun);
}

TEST(Proxied, ForwardsTheAnswerUnchanged)
{
    ProxiedFixture fixture;
    fixture.arrive("/record/1");
    fixture.answer(fixture.sends[0], 201);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
    LONGS_EQUAL(201, fixture.answers[0].proxied->status);
    STRCMP_EQUAL("body", fixture.answers[0].proxied->body.c_str());
}

TEST(Proxied, DoesNotRetryWhatMayHaveRunIfNotRepeatable)
{
    ProxiedFixture fixture;
    fixture.arrive("/record/1");
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(Proxied, RetriesARefusedSendAtAnotherEndpoint)
{
    ProxiedFixture fixture;
    fixture.arrive("/record/1");
    fixture.fail(fixture.sends[0], SendEvidence::RefusedBeforeRun);
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].endpoint != fixture.sends[1].endpoint);
    fixture.answer(fixture.sends[1]);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
}

TEST(Proxied, RepeatableRequestRunsAtNoMoreEndpointsThanAllowed)
{
    ProxiedFixture fixture;
    fixture.arrive("/read/1");
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    fixture.fail(fixture.sends[1], SendEvidence::Sent,
                 ProxiedAnswer{500, {}, "own failure", AnswerFraming::Length});
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
    LONGS_EQUAL(500, fixture.answers[0].proxied->status);
}

TEST(Proxied, RetriesStayWithinTheBudget)
{
    // The first send of each request is refused. The limit is 0.1 retries per request plus a
    // third of 200, of which three quarters are used.
    ProxiedFixture fixture;
    for (int i = 0; i < 300; ++i) {
        fixture.arrive("/read/1");
        const std::size_t first = fixture.sends.size() - 1;
        fixture.fail(fixture.sends[first], SendEvidence::RefusedBeforeRun);
        while (fixture.answers.size() <= static_cast<std::size_t>(i)) {
            fixture.answer(fixture.sends.back());
        }
        fixture.advance(milliseconds(10));
    }
    const std::size_t retries = fixture.sends.size() - 300;
    CHECK(retries > 0);
    CHECK(retries <= 300 * 0.1 + 200 / 3.0);
}

TEST(Proxied, RetriesThatAwaitPiecesStayWithinTheBudget)
{
    ProxiedFixture fixture(20);
    constexpr std::size_t streams = 100;
    for (std::size_t i = 0; i < streams; ++i) {
        fixture.arrive("/talk/pieces/1", "key-1", {1});
        fixture.pieceEnded(fixture.orders[i].orders[0].id, "a");
        fixture.event(fixture.sends[i], 1);
    }
    for (std::size_t i = 0; i < streams; ++i) {
        fixture.fail(fixture.sends[i], SendEvidence::Sent);
    }
    for (std::size_t i = streams; i < fixture.orders.size(); ++i) {
        fixture.pieceEnded(fixture.orders[i].orders[0].id, "b");
    }
    CHECK(fixture.sends.size() > streams);
    CHECK(static_cast<double>(fixture.sends.size() - streams) <= streams * 0.1 + 200 / 9.0);
}

TEST(Proxied, ResendsAfterLostResultsStayWithinTheBudget)
{
    ProxiedFixture fixture(20);
    constexpr std::size_t requests = 100;
    for (std::size_t i = 0; i < requests; ++i) {
        fixture.arrive("/talk/pieces/1", "key-1", {1});
        fixture.pieceEnded(fixture.orders.back().orders[0].id, "a");
        StageFailed event;
        event.call = fixture.sends.back().call;
        event.evidence = SendEvidence::RefusedBeforeRun;
        event.inputsGone = true;
        event.status = absl::UnavailableError("test");
        const std::size_t orders = fixture.orders.size();
        fixture.machine.handle(event, *fixture.snapshot);
        fixture.collect();
        if (fixture.orders.size() > orders) {
            fixture.pieceEnded(fixture.orders.back().orders[0].id, "b");
        }
        if (fixture.answers.size() <= i) {
            fixture.answer(fixture.sends.back());
        }
        fixture.advance(milliseconds(50));
    }
    CHECK(fixture.sends.size() > requests);
    CHECK(static_cast<double>(fixture.sends.size() - requests) <= requests * 0.1 + 200 / 9.0);
}

TEST(Proxied, DisconnectedCallerCancelsTheCall)
{
    ProxiedFixture fixture;
    const RequestId id = fixture.arrive("/record/1");
    fixture.machine.handle(CallerGone{id}, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(1, fixture.cancels.size());
    LONGS_EQUAL(0, fixture.machine.inProgress());
}

TEST(Proxied, ReportsAReplacedEndpoint)
{
    ProxiedFixture fixture;
    fixture.arrive("/record/1");
    StageFailed event;
    event.call = fixture.sends[0].call;
    event.evidence = SendEvidence::RefusedBeforeRun;
    event.isEndpointReplaced = true;
    fixture.machine.handle(event, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(1, fixture.replaced.size());
    CHECK(fixture.replaced[0].endpoint == fixture.sends[0].endpoint);
}

// Events ----------------------------------------------------------------------

TEST(Proxied, ForwardsEachEventOnceAndInOrder)
{
    ProxiedFixture fixture;
    fixture.arrive("/say/1");
    fixture.event(fixture.sends[0], 1);
    fixture.event(fixture.sends[0], 2);
    LONGS_EQUAL(2, fixture.events.size());
    CHECK(fixture.events[0].head.has_value());
    CHECK_FALSE(fixture.events[1].head.has_value());
    // A repeated event, like one after a gap, ends the stream.
    fixture.event(fixture.sends[0], 2);
    LONGS_EQUAL(2, fixture.events.size());
    LONGS_EQUAL(1, fixture.cancels.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(Proxied, ResumableStreamContinuesAfterItsLastEvent)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.event(fixture.sends[0], 2);
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(2, fixture.sends.size());
    LONGS_EQUAL(2, fixture.sends[1].resumeAfter.value());
    fixture.event(fixture.sends[1], 3);
    // The head is sent only once.
    CHECK_FALSE(fixture.events.back().head.has_value());
    fixture.answer(fixture.sends[1]);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
}

// The caller would take the end of its chunked answer for the end of the stream.
TEST(Proxied, StreamIsNotCompletedByAnAnswerThatDoesNotContinueIt)
{
    const std::vector<std::pair<AnswerKind, int>> answers = {
        {AnswerKind::Error, 404}, {AnswerKind::Error, 302}, {AnswerKind::Error, 304},
        {AnswerKind::Body, 200},  {AnswerKind::Body, 204},
    };
    for (const auto &[kind, status] : answers) {
        ProxiedFixture fixture;
        fixture.arrive("/talk/1");
        fixture.event(fixture.sends[0], 1);
        fixture.fail(fixture.sends[0], SendEvidence::Sent);
        fixture.answer(fixture.sends[1], kind, status);
        LONGS_EQUAL(1, fixture.answers.size());
        CHECK(fixture.answers[0].outcome == Outcome::Unknown);
        CHECK_FALSE(fixture.answers[0].proxied.has_value());
        LONGS_EQUAL(0, fixture.machine.inProgress());
    }
}

TEST(Proxied, StreamContinuesElsewhereAfterAnAnswerThatDoesNotContinueIt)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    // A refusal leaves one more run.
    fixture.fail(fixture.sends[0], SendEvidence::RefusedBeforeRun);
    fixture.answer(fixture.sends[1], 404);
    LONGS_EQUAL(3, fixture.sends.size());
    CHECK(fixture.sends[2].endpoint != fixture.sends[1].endpoint);
    LONGS_EQUAL(1, fixture.sends[2].resumeAfter.value());
    fixture.event(fixture.sends[2], 2);
    fixture.answer(fixture.sends[2]);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
}

// The next call would repeat events that the caller has.
TEST(Proxied, StreamWithAnEventOfUnknownPositionEndsWhenBroken)
{
    for (const bool isNumberedBefore : {true, false}) {
        ProxiedFixture fixture;
        fixture.arrive("/talk/1");
        if (isNumberedBefore) {
            fixture.event(fixture.sends[0], 1);
        }
        fixture.eventWithoutId(fixture.sends[0]);
        fixture.fail(fixture.sends[0], SendEvidence::Sent);
        LONGS_EQUAL(1, fixture.sends.size());
        CHECK(fixture.answers[0].outcome == Outcome::Unknown);
        CHECK(fixture.answers[0].reason == Reason::StageFailed);
    }
}

TEST(Proxied, ContinuationOfUnknownPositionIsNotForwarded)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    fixture.eventWithoutId(fixture.sends[1]);
    LONGS_EQUAL(1, fixture.events.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(Proxied, CommentsDoNotChangeThePositionOfAStream)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.eventWithoutId(fixture.sends[0], true);
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    fixture.eventWithoutId(fixture.sends[1], true);
    fixture.event(fixture.sends[1], 2);
    fixture.eventWithoutId(fixture.sends[1]);
    LONGS_EQUAL(5, fixture.events.size());
    fixture.answer(fixture.sends[1]);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
}

TEST(Proxied, StreamThatIsNotResumableEndsWhenBroken)
{
    ProxiedFixture fixture;
    fixture.arrive("/say/1");
    fixture.event(fixture.sends[0], 1);
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

// Answers without length or chunks ---------------------------------------------

// An endpoint that breaks off may close its connection in order, and the part that it sent got a
// length and looked complete.
TEST(Proxied, AnAnswerWithoutAMarkedEndIsConfirmedByAnotherRun)
{
    ProxiedFixture fixture;
    fixture.arrive("/read/1");
    fixture.answerUnframed(fixture.sends[0], "par");
    LONGS_EQUAL(0, fixture.answers.size());
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].endpoint != fixture.sends[1].endpoint);
    fixture.answer(fixture.sends[1]);
    LONGS_EQUAL(1, fixture.answers.size());
    STRCMP_EQUAL("body", fixture.answers[0].proxied->body.c_str());
    CHECK(fixture.answers[0].proxied->framing == AnswerFraming::Length);
    CHECK(fixture.broken.empty());
}

TEST(Proxied, AnAnswerWithoutAMarkedEndIsPassedOnAsItIsIfItCannotBeConfirmed)
{
    const auto check = [](const ProxiedFixture &fixture, std::size_t sends,
                          const std::string &body) {
        LONGS_EQUAL(sends, fixture.sends.size());
        LONGS_EQUAL(1, fixture.answers.size());
        CHECK(fixture.answers[0].outcome == Outcome::Completed);
        CHECK(fixture.answers[0].reason == Reason::None);
        LONGS_EQUAL(200, fixture.answers[0].proxied->status);
        STRCMP_EQUAL(body.c_str(), fixture.answers[0].proxied->body.c_str());
        CHECK(fixture.answers[0].proxied->framing == AnswerFraming::Connection);
        CHECK(fixture.broken.empty());
    };
    ProxiedFixture notRepeatable;
    notRepeatable.arrive("/record/1");
    notRepeatable.answerUnframed(notRepeatable.sends[0], "one");
    check(notRepeatable, 1, "one");

    ProxiedFixture never;
    never.arrive("/read/1");
    never.answerUnframed(never.sends[0], "one");
    never.answerUnframed(never.sends[1], "two");
    check(never, 2, "two");

    ProxiedFixture shorter;
    shorter.arrive("/read/1");
    shorter.answerUnframed(shorter.sends[0], "longer");
    shorter.answerUnframed(shorter.sends[1], "long");
    check(shorter, 2, "longer");

    ProxiedFixture failing;
    failing.arrive("/read/1");
    failing.answerUnframed(failing.sends[0], "one");
    failing.fail(failing.sends[1], SendEvidence::Sent,
                 ProxiedAnswer{500, {}, "", AnswerFraming::Length});
    check(failing, 2, "one");

    ProxiedFixture rejected;
    rejected.arrive("/read/1");
    rejected.answerUnframed(rejected.sends[0], "one");
    rejected.answerUnframed(rejected.sends[1], "no such thing", 404, AnswerKind::Error);
    check(rejected, 2, "one");

    ProxiedFixture late;
    late.arrive("/read/1");
    late.answerUnframed(late.sends[0], "one");
    late.advance(std::chrono::seconds(10));
    check(late, 2, "one");

    ProxiedFixture large;
    large.arrive("/read/1");
    large.answerUnframed(large.sends[0], std::string(100'000, 'x'));
    check(large, 1, std::string(100'000, 'x'));
}

TEST(Proxied, AFailureWithoutAMarkedEndIsNotRunAgain)
{
    ProxiedFixture fixture;
    fixture.arrive("/read/1");
    fixture.answerUnframed(fixture.sends[0], "no such thing", 404, AnswerKind::Error);
    LONGS_EQUAL(1, fixture.sends.size());
    LONGS_EQUAL(404, fixture.answers[0].proxied->status);
    CHECK(fixture.answers[0].proxied->framing == AnswerFraming::Connection);
}

// A stream that ended in order after some of its events got its last chunk.
TEST(Proxied, AStreamWithoutAMarkedEndIsResumedBehindItsLastEvent)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1, std::nullopt, AnswerFraming::Connection);
    fixture.endUnframed(fixture.sends[0]);
    LONGS_EQUAL(0, fixture.answers.size());
    LONGS_EQUAL(2, fixture.sends.size());
    LONGS_EQUAL(1, fixture.sends[1].resumeAfter.value());
    fixture.event(fixture.sends[1], 2, std::nullopt, AnswerFraming::Connection);
    fixture.answer(fixture.sends[1]);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
    CHECK(fixture.broken.empty());
}

// A reply in chunks can't leave its end open.
TEST(Proxied, AChunkedReplyIsAbortedIfTheEndOfItsStreamIsNotMarked)
{
    for (const AnswerFraming first : {AnswerFraming::Chunks, AnswerFraming::Connection}) {
        ProxiedFixture fixture;
        fixture.arrive("/talk/1");
        fixture.event(fixture.sends[0], 1, std::nullopt, first);
        fixture.fail(fixture.sends[0], SendEvidence::Sent);
        fixture.event(fixture.sends[1], 2, std::nullopt, AnswerFraming::Connection);
        fixture.endUnframed(fixture.sends[1]);
        LONGS_EQUAL(2, fixture.sends.size());
        LONGS_EQUAL(1, fixture.answers.size());
        CHECK(fixture.answers[0].outcome
              == (first == AnswerFraming::Chunks ? Outcome::Unknown : Outcome::Completed));
    }
}

// What failed after an end that was not marked is known to be a part.
TEST(Proxied, AStreamThatBreaksAfterItWasResumedIsNotPassedOnAsEnded)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1, std::nullopt, AnswerFraming::Connection);
    fixture.endUnframed(fixture.sends[0]);
    fixture.event(fixture.sends[1], 2, std::nullopt, AnswerFraming::Connection);
    fixture.fail(fixture.sends[1], SendEvidence::Sent);
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(Proxied, AStreamThatMayNotBeResumedEndsAsItsEndpointEndedIt)
{
    ProxiedFixture fixture;
    fixture.arrive("/say/1");
    fixture.event(fixture.sends[0], 1, std::nullopt, AnswerFraming::Connection);
    CHECK(fixture.events[0].head->framing == AnswerFraming::Connection);
    fixture.endUnframed(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
}

// Most callers take any close of a connection for the end of the answer.
TEST(Proxied, AnUnmarkedEndIsNoSuccessIfTheEndpointUsuallyMarksEnds)
{
    ProxiedFixture fixture(1);
    for (int i = 0; i < FramingHabit::minAnswers; ++i) {
        fixture.arrive("/record/1");
        fixture.answer(fixture.sends.back());
        CHECK(fixture.answers.back().outcome == Outcome::Completed);
    }
    fixture.arrive("/record/1");
    fixture.answerUnframed(fixture.sends.back(), "part");
    CHECK(fixture.answers.back().outcome == Outcome::Unknown);
    CHECK_FALSE(fixture.answers.back().proxied);
}

TEST(Proxied, AStreamWithAnUnmarkedEndIsAbortedIfTheEndpointUsuallyMarksEnds)
{
    ProxiedFixture fixture(1);
    for (std::uint64_t i = 0; i < FramingHabit::minAnswers; ++i) {
        fixture.arrive("/say/1");
        fixture.event(fixture.sends.back(), 1);
        fixture.answer(fixture.sends.back());
    }
    fixture.arrive("/say/1");
    fixture.event(fixture.sends.back(), 1, std::nullopt, AnswerFraming::Connection);
    CHECK(fixture.events.back().head->framing == AnswerFraming::Chunks);
    fixture.endUnframed(fixture.sends.back());
    CHECK(fixture.answers.back().outcome == Outcome::Unknown);
}

// Whole answers became failures after HEAD requests, errors, or answers of another route.
TEST(Proxied, AnswersThatSayNothingOfTheFramingOfOthersAreNoHabit)
{
    ProxiedFixture fixture(1);
    for (int i = 0; i < 2 * FramingHabit::minAnswers; ++i) {
        fixture.arrive("/record/1");
        StageAnswered empty;
        empty.call = empty.echoed = fixture.sends.back().call;
        empty.proxied = ProxiedAnswer{200, {}, "", AnswerFraming::Length};
        fixture.machine.handle(std::move(empty), *fixture.snapshot);
        fixture.collect();
        fixture.arrive("/record/1");
        fixture.answer(fixture.sends.back(), 404);
        fixture.arrive("/read/1");
        fixture.answer(fixture.sends.back());
    }
    fixture.arrive("/record/1");
    fixture.answerUnframed(fixture.sends.back(), "whole");
    CHECK(fixture.answers.back().outcome == Outcome::Completed);
}

TEST(Proxied, AnEndpointThatMarksNoMoreEndsLosesItsHabit)
{
    FramingHabit habit;
    for (int i = 0; i < FramingHabit::minAnswers; ++i) {
        CHECK_FALSE(habit.isMarking());
        habit.record(true);
    }
    for (int i = 0; i < FramingHabit::minAnswers; ++i) {
        CHECK(habit.isMarking());
        habit.record(false);
    }
    CHECK(habit.isOpen());
}

// Confirming the answers of endpoints that never mark an end used up the retries for failures.
TEST(Proxied, AnswersOfEndpointsThatNeverMarkTheirEndAreNotConfirmedAgainAndAgain)
{
    ProxiedFixture fixture;
    fixture.advance(std::chrono::seconds(20)); // No retries are allowed just after the start.
    for (std::size_t i = 1; i <= 300; ++i) {
        fixture.arrive("/read/1");
        while (fixture.answers.size() < i) {
            fixture.answerUnframed(fixture.sends.back(), "whole");
        }
        CHECK(fixture.answers.back().outcome == Outcome::Completed);
        CHECK(fixture.answers.back().proxied->framing == AnswerFraming::Connection);
        fixture.advance(milliseconds(10));
    }
    CHECK(fixture.sends.size() > 300);
    CHECK_TEXT(fixture.sends.size() <= 300 + 3 * 3, std::to_string(fixture.sends.size()).c_str());
    // What is known fades, and one answer in ten is no habit.
    fixture.advance(std::chrono::seconds(60));
    for (int i = 0; i < 30; ++i) {
        fixture.arrive("/read/1");
        fixture.answer(fixture.sends.back());
    }
    const std::size_t sends = fixture.sends.size();
    fixture.arrive("/read/1");
    fixture.answerUnframed(fixture.sends.back(), "part");
    LONGS_EQUAL(sends + 2, fixture.sends.size());
}

// Pieces ----------------------------------------------------------------------

TEST(Proxied, SendsTheRequestWithTheResultsOfItsPieces)
{
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {2, 1});
    CHECK(fixture.sends.empty());
    LONGS_EQUAL(1, fixture.orders.size());
    LONGS_EQUAL(2, fixture.orders[0].orders.size());
    STRCMP_EQUAL("piece-key", fixture.orders[0].orders[0].source->key.c_str());
    fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
    fixture.pieceEnded(fixture.orders[0].orders[1].id, "b");
    LONGS_EQUAL(2, fixture.orders.size());
    const PieceOrder &second = fixture.orders[1].orders[0];
    LONGS_EQUAL(2, second.source->inputs.size());
    STRCMP_EQUAL("", second.source->key.c_str());
    fixture.pieceEnded(second.id, "c");
    // The results that only the second stage needed are kept until the answer.
    LONGS_EQUAL(0, fixture.frees.size());
    LONGS_EQUAL(1, fixture.sends.size());
    LONGS_EQUAL(1, fixture.sends[0].inputs.size());
    STRCMP_EQUAL("c", fixture.sends[0].inputs[0].c_str());
    fixture.answer(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.frees.size());
    LONGS_EQUAL(3, fixture.frees[0].handles.size());
}

TEST(Proxied, SkipsAStageWithoutPieces)
{
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {0, 0});
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.sends[0].inputs.empty());
}

TEST(Proxied, RecomputesLostInputs)
{
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {2, 1});
    fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
    fixture.pieceEnded(fixture.orders[0].orders[1].id, "b");
    fixture.pieceEnded(fixture.orders[1].orders[0].id, "", PieceFault::InputGone);
    LONGS_EQUAL(3, fixture.orders.size());
    LONGS_EQUAL(2, fixture.orders[2].orders.size());
    CHECK(fixture.answers.empty());
}

TEST(Proxied, FailedPieceFailsTheRequestBeforeItRuns)
{
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {2, 1});
    fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
    fixture.pieceEnded(fixture.orders[0].orders[1].id, "", PieceFault::Failed);
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    LONGS_EQUAL(1, fixture.withdrawals.size());
    STRCMP_EQUAL("a", fixture.frees[0].handles[0].c_str());
}

TEST(Proxied, ReleasesALateResult)
{
    ProxiedFixture fixture;
    const RequestId id = fixture.arrive("/brief/1", "key-1", {1, 0});
    fixture.machine.handle(CallerGone{id}, *fixture.snapshot);
    fixture.collect();
    fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
    LONGS_EQUAL(1, fixture.frees.size());
    STRCMP_EQUAL("a", fixture.frees[0].handles[0].c_str());
}

TEST(Proxied, ReleasesResultsAtTheFirstEventEvenIfResumable)
{
    ProxiedFixture fixture;
    fixture.arrive("/talk/pieces/1", "key-1", {1});
    fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
    fixture.event(fixture.sends[0], 1);
    LONGS_EQUAL(1, fixture.frees.size());
    STRCMP_EQUAL("a", fixture.frees[0].handles[0].c_str());
    fixture.answer(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.frees.size());
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
}

TEST(Proxied, ResumedStreamRecomputesItsResults)
{
    // The stream breaks after the initial preparation deadline of its pieces.
    ProxiedFixture fixture;
    fixture.arrive("/talk/pieces/1", "key-1", {1});
    fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
    fixture.event(fixture.sends[0], 1);
    fixture.advance(milliseconds(2000));
    fixture.fail(fixture.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(1, fixture.sends.size());
    LONGS_EQUAL(2, fixture.orders.size());
    CHECK(fixture.orders[1].orders[0].untilDeadline > milliseconds(1000));
    fixture.advance(milliseconds(200));
    CHECK(fixture.answers.empty());
    fixture.pieceEnded(fixture.orders[1].orders[0].id, "b");
    LONGS_EQUAL(2, fixture.sends.size());
    STRCMP_EQUAL("b", fixture.sends[1].inputs[0].c_str());
    LONGS_EQUAL(1, fixture.sends[1].resumeAfter.value());
    fixture.event(fixture.sends[1], 2);
    fixture.answer(fixture.sends[1]);
    CHECK(fixture.answers[0].outcome == Outcome::Completed);
    LONGS_EQUAL(2, fixture.frees.size());
}

// Admission -------------------------------------------------------------------

TEST(Proxied, RefusesBeforeOrderingIfTheDeadlineCannotBeMet)
{
    ProxiedFixture fixture;
    fixture.snapshot->pool("pieces")->pieceLoad->waiting[0] = 200;
    fixture.arrive("/brief/1", "key-1", {2, 1});
    CHECK(fixture.orders.empty());
    CHECK(fixture.answers[0].reason == Reason::CannotFinish);
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    // The 200 pieces queued before it, in calls of four at one endpoint, take 9.5 s; the retry
    // delay is limited to 5 s.
    CHECK(fixture.answers[0].retryAfter == milliseconds(5000));
}

TEST(Proxied, FailsEarlyIfPiecesAreNotCompletedInTime)
{
    // Objective 1000 ms, deadline 4000 ms: its pieces are not completed, so the request fails long
    // before its deadline and its pieces are cancelled.
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {2, 1});
    fixture.advance(milliseconds(1400));
    CHECK(fixture.answers.empty());
    fixture.advance(milliseconds(200));
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    LONGS_EQUAL(1, fixture.withdrawals.size());
}

TEST(Proxied, AdmitsAFewLateRequestsAtTheLowestPriority)
{
    ProxiedFixture fixture;
    // A call takes 1.28 s; the objective is 1 s.
    fixture.snapshot->pool("pieces")->pieceLoad->slownessPercent = 800;
    for (int i = 0; i < 10; ++i) {
        fixture.arrive("/brief/1", "key-1", {1, 0});
    }
    CHECK(!fixture.orders.empty());
    CHECK(!fixture.answers.empty());
    for (const OrderPieces &order : fixture.orders) {
        LONGS_EQUAL(priorityClassCount - 1, priorityClass(order.orders[0].priority));
    }
}

TEST(Proxied, LateAdmissionsDoNotGrowWithTheNumberOfDaemons)
{
    // At 360 daemons, each admits a late request with a probability of one in ten.
    const auto admittedLate = [](int daemons) {
        int admitted = 0;
        for (int daemon = 0; daemon < 40; ++daemon) {
            ProxiedFixture fixture(3, daemons, static_cast<std::uint64_t>(daemon));
            fixture.snapshot->pool("pieces")->pieceLoad->slownessPercent = 800;
            fixture.arrive("/brief/1", "key-1", {1, 0});
            admitted += fixture.orders.empty() ? 0 : 1;
        }
        return admitted;
    };
    LONGS_EQUAL(40, admittedLate(9));
    const int admittedByMany = admittedLate(360);
    CHECK(admittedByMany > 0);
    CHECK(admittedByMany < 12);
}

TEST(Proxied, OverloadOfThisHostIsNotLearnedAsSlownessOfPools)
{
    // A request is predicted to take 0.5 s and takes 0.9 s, a hundred times; the objective is 1 s.
    const auto isAdmittedAfterSlowAnswers = [](bool isCrowded) {
        ProxiedFixture fixture;
        fixture.isCrowded = isCrowded;
        PieceLoad &load = *fixture.snapshot->pool("pieces")->pieceLoad;
        load.slownessPercent = 300;
        load.waiting[2] = 40; // Leaves no slots for late admissions.
        for (int i = 0; i < 100 && fixture.answers.size() == fixture.sends.size(); ++i) {
            fixture.arrive("/talk/pieces/1", "key-1", {1});
            fixture.advance(milliseconds(450));
            fixture.advance(milliseconds(450));
            fixture.pieceEnded(fixture.orders.back().orders[0].id, "a");
            fixture.event(fixture.sends.back(), 1);
            fixture.answer(fixture.sends.back());
        }
        fixture.isCrowded = false;
        fixture.advance(milliseconds(100));
        const std::size_t before = fixture.orders.size();
        fixture.arrive("/talk/pieces/1", "key-1", {1});
        return fixture.orders.size() > before;
    };
    CHECK(isAdmittedAfterSlowAnswers(true));
    CHECK_FALSE(isAdmittedAfterSlowAnswers(false));
}

TEST(Proxied, AdmitsNoLateRequestIfOthersWaitForItsSlots)
{
    // The next calls of two endpoints have space for eight pieces.
    const auto isAdmitted = [](int waiting) {
        ProxiedFixture fixture;
        fixture.snapshot->pool("pieces")->pieceLoad->slownessPercent = 800;
        fixture.snapshot->pool("pieces")->pieceLoad->waiting[2] = waiting;
        fixture.snapshot->pool("pieces")->pieceLoad->endpoints = 2;
        fixture.arrive("/brief/1", "key-1", {1, 0});
        return fixture.answers.empty();
    };
    CHECK(isAdmitted(3));
    CHECK_FALSE(isAdmitted(4));
    CHECK_FALSE(isAdmitted(40));
}

TEST(Proxied, RetriesRunAfterRequestsThatCanMeetTheirObjective)
{
    // The objective is 1 s. The last caller retries 1.2 s after its first attempt.
    ProxiedFixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(4000));
    }
    fixture.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(2800));
    LONGS_EQUAL(11, fixture.orders.size());
    LONGS_EQUAL(0, fixture.orders[9].orders[0].priority);
    LONGS_EQUAL(priorityClassCount - 1, priorityClass(fixture.orders[10].orders[0].priority));
    // If slots are scarce, it is refused immediately.
    fixture.snapshot->pool("pieces")->pieceLoad->waiting[0] = 4;
    fixture.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(2800));
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    fixture.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(4000));
    LONGS_EQUAL(12, fixture.orders.size());
}

TEST(Proxied, PromptsWithASharedPrefixUseOneEngine)
{
    ProxiedFixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.arrive("/say/1", "key-1", {}, 4000);
        fixture.event(fixture.sends.back(), 1);
        fixture.answer(fixture.sends.back());
    }
    for (const SendStage &send : fixture.sends) {
        CHECK(send.endpoint == fixture.sends[0].endpoint);
    }
}

TEST(Proxied, PromptAvoidsItsPreferredEndpointIfTooBusy)
{
    ProxiedFixture fixture;
    fixture.arrive("/say/1", "key-1", {}, 4000);
    const std::string preferred = fixture.sends[0].endpoint;
    fixture.snapshot->endpoint(preferred)->load->peerPrefillBacklog = 45'000;
    fixture.arrive("/say/1", "key-1", {}, 4000);
    CHECK(fixture.sends[1].endpoint != preferred);
}

// A retry that is paid with a loan may wait until after the loan's end. Sent then, it would exceed
// the whole, as the lender uses its share again.
TEST(Proxied, ARetryIsNotSentAfterTheEndOfItsLoan)
{
    for (const bool isEnded : {false, true}) {
        ProxiedFixture fixture(20, 100'000); // So many daemons that their shares are tiny.
        fixture.arrive("/talk/pieces/1", "key-1", {1});
        fixture.pieceEnded(fixture.orders[0].orders[0].id, "a");
        fixture.event(fixture.sends[0], 1);
        const TimePoint until = fixture.clock.now() + milliseconds(200);
        fixture.machine.handle(RetriesBorrowed{0, "h2", "engines", 1, until, {}},
                               *fixture.snapshot);
        fixture.fail(fixture.sends[0], SendEvidence::Sent);
        LONGS_EQUAL(2, fixture.orders.size());
        fixture.advance(milliseconds(isEnded ? 200 : 199));
        fixture.pieceEnded(fixture.orders[1].orders[0].id, "b");
        LONGS_EQUAL(isEnded ? 1 : 2, fixture.sends.size());
        LONGS_EQUAL(isEnded ? 1 : 0, fixture.answers.size());
    }
}

TEST(Proxied, LendsHalfOfWhatIsUnused)
{
    ProxiedFixture fixture; // One of nine daemons that share an allowance of 200.
    std::vector<RetriesLent> lent;
    for (const char *pool : {"engines", "engines", "unknown"}) {
        const BudgetLoanRequest request{pool, 8, std::chrono::microseconds(5)};
        fixture.machine.handle(LendRetries{"h2", request}, *fixture.snapshot);
        for (RetriesLent &loan : only<RetriesLent>(fixture.machine.drainActions())) {
            lent.push_back(std::move(loan));
        }
    }
    LONGS_EQUAL(2, lent.size());
    STRCMP_EQUAL("h2", lent[0].host.c_str());
    DOUBLES_EQUAL(8, lent[0].loan.retries, 1e-9);
    DOUBLES_EQUAL((200 * 0.75 / 9 - 8) / 2, lent[1].loan.retries, 0.001);
    CHECK(lent[1].loan.stamp == std::chrono::microseconds(5));
}
