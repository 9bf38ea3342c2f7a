//===- proxiedtest.cpp - Tests of proxied requests ------------------------===//

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

TEST_GROUP(Proxied){};

TEST(Proxied, TheLongestPrefixOfTheHostGivesTheRoute)
{
    ProxiedFixture bench;
    bench.arrive("/read/deep/er", "");
    bench.arrive("/read/er");
    LONGS_EQUAL(2, bench.sends.size());
    STRCMP_EQUAL("", bench.sends[0].account.c_str());
    STRCMP_EQUAL("drivers", bench.sends[1].account.c_str());
}

TEST(Proxied, WithoutARouteOrAKeyNothingIsSent)
{
    ProxiedFixture bench;
    bench.arrive("/nowhere/");
    bench.arrive("/read/er", "key-3");
    CHECK(bench.sends.empty());
    CHECK(bench.answers[0].reason == Reason::UnknownPipeline);
    CHECK(bench.answers[1].reason == Reason::UnknownAccount);
    CHECK(bench.answers[1].outcome == Outcome::NotRun);
}

TEST(Proxied, TheAnswerGoesBackUnchanged)
{
    ProxiedFixture bench;
    bench.arrive("/record/1");
    bench.answer(bench.sends[0], 201);
    CHECK(bench.answers[0].outcome == Outcome::Completed);
    LONGS_EQUAL(201, bench.answers[0].proxied->status);
    STRCMP_EQUAL("body", bench.answers[0].proxied->body.c_str());
}

TEST(Proxied, WhatMayHaveRunIsNotSentAgainWhereItMayNotBeRepeated)
{
    ProxiedFixture bench;
    bench.arrive("/record/1");
    bench.fail(bench.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(1, bench.sends.size());
    CHECK(bench.answers[0].outcome == Outcome::Unknown);
}

TEST(Proxied, WhatSurelyDidNotRunIsSentElsewhere)
{
    ProxiedFixture bench;
    bench.arrive("/record/1");
    bench.fail(bench.sends[0], SendEvidence::RefusedBeforeRun);
    LONGS_EQUAL(2, bench.sends.size());
    CHECK(bench.sends[0].endpoint != bench.sends[1].endpoint);
    bench.answer(bench.sends[1]);
    CHECK(bench.answers[0].outcome == Outcome::Completed);
}

TEST(Proxied, ARepeatableRequestRunsOnNoMoreEndpointsThanItsRouteAllows)
{
    ProxiedFixture bench;
    bench.arrive("/read/1");
    bench.fail(bench.sends[0], SendEvidence::Sent);
    bench.fail(bench.sends[1], SendEvidence::Sent, ProxiedAnswer{500, {}, "own failure"});
    LONGS_EQUAL(2, bench.sends.size());
    CHECK(bench.answers[0].outcome == Outcome::Unknown);
    LONGS_EQUAL(500, bench.answers[0].proxied->status);
}

TEST(Proxied, RepeatsStayWithinTheBudget)
{
    // 60 requests of which every endpoint fails each: 60 x 0.1 + 200 / 3 repeats, of which
    // three quarters are used.
    ProxiedFixture bench;
    for (int i = 0; i < 300; ++i) {
        bench.arrive("/read/1");
        const std::size_t first = bench.sends.size() - 1;
        bench.fail(bench.sends[first], SendEvidence::RefusedBeforeRun);
        while (bench.answers.size() <= static_cast<std::size_t>(i)) {
            bench.answer(bench.sends.back());
        }
        bench.advance(milliseconds(10));
    }
    const std::size_t repeats = bench.sends.size() - 300;
    CHECK(repeats > 0);
    CHECK(repeats <= 300 * 0.1 + 200 / 3.0);
}

TEST(Proxied, ACallerThatLeavesEndsTheCall)
{
    ProxiedFixture bench;
    const RequestId id = bench.arrive("/record/1");
    bench.machine.handle(CallerGone{id}, *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(1, bench.cancels.size());
    LONGS_EQUAL(0, bench.machine.inProgress());
}

TEST(Proxied, AnAddressTakenOverIsTold)
{
    ProxiedFixture bench;
    bench.arrive("/record/1");
    StageFailed event;
    event.call = bench.sends[0].call;
    event.evidence = SendEvidence::RefusedBeforeRun;
    event.isEndpointReplaced = true;
    bench.machine.handle(event, *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(1, bench.replaced.size());
    CHECK(bench.replaced[0].endpoint == bench.sends[0].endpoint);
}

// Events ----------------------------------------------------------------------

TEST(Proxied, EachEventIsPassedOnOnceAndInOrder)
{
    ProxiedFixture bench;
    bench.arrive("/say/1");
    bench.event(bench.sends[0], 1);
    bench.event(bench.sends[0], 2);
    LONGS_EQUAL(2, bench.events.size());
    CHECK(bench.events[0].head.has_value());
    CHECK_FALSE(bench.events[1].head.has_value());
    // One that stands twice, or behind a gap, ends the stream.
    bench.event(bench.sends[0], 2);
    LONGS_EQUAL(2, bench.events.size());
    LONGS_EQUAL(1, bench.cancels.size());
    CHECK(bench.answers[0].outcome == Outcome::Unknown);
}

TEST(Proxied, ABrokenStreamGoesOnBehindItsLastEventWhereItMay)
{
    ProxiedFixture bench;
    bench.arrive("/talk/1");
    bench.event(bench.sends[0], 1);
    bench.event(bench.sends[0], 2);
    bench.fail(bench.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(2, bench.sends.size());
    LONGS_EQUAL(2, bench.sends[1].resumeAfter.value());
    bench.event(bench.sends[1], 3);
    // The caller keeps the head that it has.
    CHECK_FALSE(bench.events.back().head.has_value());
    bench.answer(bench.sends[1]);
    CHECK(bench.answers[0].outcome == Outcome::Completed);
}

TEST(Proxied, ABrokenStreamEndsWhereItMayNotGoOn)
{
    ProxiedFixture bench;
    bench.arrive("/say/1");
    bench.event(bench.sends[0], 1);
    bench.fail(bench.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(1, bench.sends.size());
    CHECK(bench.answers[0].outcome == Outcome::Unknown);
}

// Pieces ----------------------------------------------------------------------

TEST(Proxied, TheRequestIsSentWithTheResultsOfItsPieces)
{
    ProxiedFixture bench;
    bench.arrive("/brief/1", "key-1", {2, 1});
    CHECK(bench.sends.empty());
    LONGS_EQUAL(1, bench.orders.size());
    LONGS_EQUAL(2, bench.orders[0].orders.size());
    STRCMP_EQUAL("piece-key", bench.orders[0].orders[0].key.c_str());
    bench.pieceEnded(bench.orders[0].orders[0].id, "a");
    bench.pieceEnded(bench.orders[0].orders[1].id, "b");
    LONGS_EQUAL(2, bench.orders.size());
    const PieceOrder &second = bench.orders[1].orders[0];
    LONGS_EQUAL(2, second.inputs.size());
    STRCMP_EQUAL("", second.key.c_str());
    bench.pieceEnded(second.id, "c");
    // What only the second stage needed is freed.
    LONGS_EQUAL(0, bench.frees.size());
    LONGS_EQUAL(1, bench.sends.size());
    LONGS_EQUAL(1, bench.sends[0].inputs.size());
    STRCMP_EQUAL("c", bench.sends[0].inputs[0].c_str());
    bench.answer(bench.sends[0]);
    LONGS_EQUAL(1, bench.frees.size());
    LONGS_EQUAL(3, bench.frees[0].handles.size());
}

TEST(Proxied, AStageWithoutPiecesIsLeftOut)
{
    ProxiedFixture bench;
    bench.arrive("/brief/1", "key-1", {0, 0});
    LONGS_EQUAL(1, bench.sends.size());
    CHECK(bench.sends[0].inputs.empty());
}

TEST(Proxied, LostInputsAreMadeAgain)
{
    ProxiedFixture bench;
    bench.arrive("/brief/1", "key-1", {2, 1});
    bench.pieceEnded(bench.orders[0].orders[0].id, "a");
    bench.pieceEnded(bench.orders[0].orders[1].id, "b");
    bench.pieceEnded(bench.orders[1].orders[0].id, "", PieceFault::InputGone);
    LONGS_EQUAL(3, bench.orders.size());
    LONGS_EQUAL(2, bench.orders[2].orders.size());
    CHECK(bench.answers.empty());
}

TEST(Proxied, APieceThatCannotBeMadeEndsItsRequestUnrun)
{
    ProxiedFixture bench;
    bench.arrive("/brief/1", "key-1", {2, 1});
    bench.pieceEnded(bench.orders[0].orders[0].id, "a");
    bench.pieceEnded(bench.orders[0].orders[1].id, "", PieceFault::Failed);
    CHECK(bench.answers[0].outcome == Outcome::NotRun);
    LONGS_EQUAL(1, bench.withdrawals.size());
    STRCMP_EQUAL("a", bench.frees[0].handles[0].c_str());
}

TEST(Proxied, AResultThatComesTooLateIsFreed)
{
    ProxiedFixture bench;
    const RequestId id = bench.arrive("/brief/1", "key-1", {1, 0});
    bench.machine.handle(CallerGone{id}, *bench.snapshot);
    bench.collect();
    bench.pieceEnded(bench.orders[0].orders[0].id, "a");
    LONGS_EQUAL(1, bench.frees.size());
    STRCMP_EQUAL("a", bench.frees[0].handles[0].c_str());
}

TEST(Proxied, ResultsAreFreedAtTheFirstEventAlsoWhereTheStreamMayBeResumed)
{
    ProxiedFixture bench;
    bench.arrive("/talk/pieces/1", "key-1", {1});
    bench.pieceEnded(bench.orders[0].orders[0].id, "a");
    bench.event(bench.sends[0], 1);
    LONGS_EQUAL(1, bench.frees.size());
    STRCMP_EQUAL("a", bench.frees[0].handles[0].c_str());
    bench.answer(bench.sends[0]);
    LONGS_EQUAL(1, bench.frees.size());
    CHECK(bench.answers[0].outcome == Outcome::Completed);
}

TEST(Proxied, AStreamThatGoesOnElsewhereHasItsResultsMadeAgain)
{
    // Its stream breaks after the time within which its pieces had to be made at first.
    ProxiedFixture bench;
    bench.arrive("/talk/pieces/1", "key-1", {1});
    bench.pieceEnded(bench.orders[0].orders[0].id, "a");
    bench.event(bench.sends[0], 1);
    bench.advance(milliseconds(2000));
    bench.fail(bench.sends[0], SendEvidence::Sent);
    LONGS_EQUAL(1, bench.sends.size());
    LONGS_EQUAL(2, bench.orders.size());
    CHECK(bench.orders[1].orders[0].untilDeadline > milliseconds(1000));
    bench.advance(milliseconds(200));
    CHECK(bench.answers.empty());
    bench.pieceEnded(bench.orders[1].orders[0].id, "b");
    LONGS_EQUAL(2, bench.sends.size());
    STRCMP_EQUAL("b", bench.sends[1].inputs[0].c_str());
    LONGS_EQUAL(1, bench.sends[1].resumeAfter.value());
    bench.event(bench.sends[1], 2);
    bench.answer(bench.sends[1]);
    CHECK(bench.answers[0].outcome == Outcome::Completed);
    LONGS_EQUAL(2, bench.frees.size());
}

// Admission -------------------------------------------------------------------

TEST(Proxied, WhatCannotMakeItsDeadlineIsRefusedBeforeAnythingIsSpent)
{
    ProxiedFixture bench;
    bench.snapshot->pool("pieces")->pieceLoad->waiting[0] = 200;
    bench.arrive("/brief/1", "key-1", {2, 1});
    CHECK(bench.orders.empty());
    CHECK(bench.answers[0].reason == Reason::CannotFinish);
    CHECK(bench.answers[0].outcome == Outcome::NotRun);
    // 200 pieces wait before it, in calls of four at one endpoint: that takes 9.5 s, and
    // nobody is told to come back in more than five.
    CHECK(bench.answers[0].retryAfter == milliseconds(5000));
}

TEST(Proxied, WhatIsNotPreparedInTimeIsGivenUpEarly)
{
    // Objective 1000 ms, deadline 4000 ms: nothing came of its pieces, so it is refused
    // long before its deadline, and what was ordered is withdrawn.
    ProxiedFixture bench;
    bench.arrive("/brief/1", "key-1", {2, 1});
    bench.advance(milliseconds(1400));
    CHECK(bench.answers.empty());
    bench.advance(milliseconds(200));
    LONGS_EQUAL(1, bench.answers.size());
    CHECK(bench.answers[0].outcome == Outcome::NotRun);
    LONGS_EQUAL(1, bench.withdrawals.size());
}

TEST(Proxied, AFewThatWillBeLateAreTakenInBehindAllOthers)
{
    ProxiedFixture bench;
    // A call takes 1.28 s of an objective of 1 s.
    bench.snapshot->pool("pieces")->pieceLoad->slownessPercent = 800;
    for (int i = 0; i < 10; ++i) {
        bench.arrive("/brief/1", "key-1", {1, 0});
    }
    CHECK(!bench.orders.empty());
    CHECK(!bench.answers.empty());
    for (const OrderPieces &order : bench.orders) {
        LONGS_EQUAL(priorityClassCount - 1, priorityClass(order.orders[0].priority));
    }
}

TEST(Proxied, ManyDaemonsTakeNoMoreLateOnesInThanFew)
{
    // A tenth of the daemons take one in at a time, ten times as seldom.
    const auto admittedLate = [](int daemons) {
        int taken = 0;
        for (int daemon = 0; daemon < 40; ++daemon) {
            ProxiedFixture bench(3, daemons, static_cast<std::uint64_t>(daemon));
            bench.snapshot->pool("pieces")->pieceLoad->slownessPercent = 800;
            bench.arrive("/brief/1", "key-1", {1, 0});
            taken += bench.orders.empty() ? 0 : 1;
        }
        return taken;
    };
    LONGS_EQUAL(40, admittedLate(9));
    const int ofMany = admittedLate(360);
    CHECK(ofMany > 0);
    CHECK(ofMany < 12);
}

TEST(Proxied, NoneIsTakenInToBeLateWhereOthersWaitForItsPlaces)
{
    // Two endpoints take eight pieces with their next calls.
    const auto taken = [](int waiting) {
        ProxiedFixture bench;
        bench.snapshot->pool("pieces")->pieceLoad->slownessPercent = 800;
        bench.snapshot->pool("pieces")->pieceLoad->waiting[2] = waiting;
        bench.snapshot->pool("pieces")->pieceLoad->endpoints = 2;
        bench.arrive("/brief/1", "key-1", {1, 0});
        return bench.answers.empty();
    };
    CHECK(taken(3));
    CHECK_FALSE(taken(4));
    CHECK_FALSE(taken(40));
}

TEST(Proxied, WhoComesBackWaitsBehindThoseThatCanStillBeInTime)
{
    // Objective 1 s. The last caller comes back 1.2 s after its first try.
    ProxiedFixture bench;
    for (int i = 0; i < 10; ++i) {
        bench.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(4000));
    }
    bench.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(2800));
    LONGS_EQUAL(11, bench.orders.size());
    LONGS_EQUAL(0, bench.orders[9].orders[0].priority);
    LONGS_EQUAL(priorityClassCount - 1, priorityClass(bench.orders[10].orders[0].priority));
    // Where places are short, it is told so at once.
    bench.snapshot->pool("pieces")->pieceLoad->waiting[0] = 4;
    bench.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(2800));
    LONGS_EQUAL(1, bench.answers.size());
    CHECK(bench.answers[0].outcome == Outcome::NotRun);
    bench.arrive("/talk/pieces/1", "key-1", {1}, 0, milliseconds(4000));
    LONGS_EQUAL(12, bench.orders.size());
}

TEST(Proxied, PromptsOfOneBeginningGoToOneEngine)
{
    ProxiedFixture bench;
    for (int i = 0; i < 6; ++i) {
        bench.arrive("/say/1", "key-1", {}, 4000);
        bench.event(bench.sends.back(), 1);
        bench.answer(bench.sends.back());
    }
    for (const SendStage &send : bench.sends) {
        CHECK(send.endpoint == bench.sends[0].endpoint);
    }
}

TEST(Proxied, APromptLeavesItsHomeWhereThatIsBusyForTooLong)
{
    ProxiedFixture bench;
    bench.arrive("/say/1", "key-1", {}, 4000);
    const std::string home = bench.sends[0].endpoint;
    bench.snapshot->endpoint(home)->load->peerPrefillBacklog = 45'000;
    bench.arrive("/say/1", "key-1", {}, 4000);
    CHECK(bench.sends[1].endpoint != home);
}
