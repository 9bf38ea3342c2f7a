//===- configwatchertest.cpp - Tests of the configuration watcher ---------===//

#include "endpointreader.h"

#include "harelink/Kernel/configmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    /// Answers the call that is due. Returns whether the configuration in force changed.
    bool answer(PlatformOutcome outcome, std::vector<PlatformObject> objects = {},
                Version version = 0, bool more = false)
    {
        clock.advance(milliseconds(2100)); // Longer than any back-off.
        std::vector<PlatformCall> calls;
        watcher.tick(calls, nextId);
        CHECK(!calls.empty());
        last = calls.empty() ? PlatformCall{} : calls[0];
        PlatformResult result;
        result.id = last.id;
        result.outcome = outcome;
        result.objects = std::move(objects);
        result.version = version;
        result.more = more;
        return watcher.handle(result);
    }
    /// Makes the next call as soon as the watcher wants to, and answers it after \p time. Returns
    /// whether the configuration in force changed.
    bool answerAfter(Duration time, PlatformOutcome outcome,
                     std::vector<PlatformObject> objects = {}, Version version = 0)
    {
        std::vector<PlatformCall> calls;
        while (calls.empty()) {
            clock.advance(std::max<Duration>(watcher.nextTick() - clock.now(), milliseconds(1)));
            watcher.applyDelayedUpdates();
            watcher.tick(calls, nextId);
        }
        last = calls[0];
        clock.advance(time);
        PlatformResult result;
        result.id = last.id;
        result.outcome = outcome;
        result.objects = std::move(objects);
        result.version = version;
        return watcher.handle(result);
    }
    [[nodiscard]] std::size_t endpoints() const { return table.resources().size(); }

    static PlatformObject object(const std::string &name, Version version, bool deleted = false)
    {
        return {"servers", name, version, deleted, "{}"};
    }

    ManualClock clock;
    EndpointReader reader{true};
    ConfigTable table{reader};
    ConfigWatcher watcher{clock, table, {"servers"}};
    std::uint64_t nextId = 1;
    PlatformCall last;
};

} // namespace

TEST_GROUP(ConfigWatcher){};

TEST(ConfigWatcher, AppliesADeletionAtOnceWhileThePlatformIsAvailable)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5), Fixture::object("i-2", 6)}, 7);
    LONGS_EQUAL(2, fixture.endpoints());
    CHECK(fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 8, true)}, 8));
    LONGS_EQUAL(1, fixture.endpoints());
}

TEST(ConfigWatcher, DelaysDeletionOfAnEndpointThatLapsedInAnOutage)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5), Fixture::object("i-2", 6)}, 7);
    fixture.answer(PlatformOutcome::Unanswered);
    fixture.answer(PlatformOutcome::Ok,
                   {Fixture::object("i-1", 9, true), Fixture::object("i-2", 10, true)}, 10);
    LONGS_EQUAL(2, fixture.endpoints());
    // One endpoint declares itself again; the other one is deleted.
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-2", 11)}, 11);
    fixture.clock.advance(milliseconds(300));
    CHECK(fixture.watcher.applyDelayedUpdates());
    LONGS_EQUAL(1, fixture.endpoints());
    CHECK(fixture.table.endpoint("i-2")->endpoint != nullptr);
}

TEST(ConfigWatcher, DelaysDeletionByACallThatHungDuringTheOutage)
{
    // The call after the failure is answered much later, when the platform is available again.
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    fixture.answer(PlatformOutcome::Refused);
    fixture.clock.advance(milliseconds(4000));
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 9, true)}, 9);
    LONGS_EQUAL(1, fixture.endpoints());
    fixture.clock.advance(milliseconds(2200));
    CHECK_FALSE(fixture.watcher.applyDelayedUpdates());
    fixture.clock.advance(milliseconds(200));
    CHECK(fixture.watcher.applyDelayedUpdates());
    LONGS_EQUAL(0, fixture.endpoints());
}

TEST(ConfigWatcher, DelaysDeletionAfterAFailureOfAnotherCall)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    fixture.watcher.recordPlatformAnswer(PlatformOutcome::Refused, fixture.clock.now());
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 9, true)}, 9);
    LONGS_EQUAL(1, fixture.endpoints());
}

// Endpoints that had left got requests until they ended, as each cut watch delayed their removal.
TEST(ConfigWatcher, AWatchThatIsCutDelaysNoDeletion)
{
    Fixture fixture;
    fixture.answerAfter({}, PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    for (int i = 0; i < 3; ++i) {
        fixture.answerAfter(milliseconds(1600), PlatformOutcome::Unanswered);
        CHECK(fixture.last.wait > Duration::zero());
        fixture.answerAfter(milliseconds(4), PlatformOutcome::Ok, {}, 7);
    }
    fixture.answerAfter(milliseconds(1600), PlatformOutcome::Unanswered);
    CHECK(fixture.answerAfter(milliseconds(4), PlatformOutcome::Ok,
                              {Fixture::object("i-1", 8, true)}, 8));
    LONGS_EQUAL(0, fixture.endpoints());
}

TEST(ConfigWatcher, AWatchThatGoesSilentDelaysNoDeletion)
{
    Fixture fixture;
    fixture.answerAfter({}, PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    fixture.answerAfter(milliseconds(2800), PlatformOutcome::Unanswered);
    CHECK(fixture.answerAfter(milliseconds(4), PlatformOutcome::Ok,
                              {Fixture::object("i-1", 8, true)}, 8));
    LONGS_EQUAL(0, fixture.endpoints());
}

TEST(ConfigWatcher, DelaysDeletionAfterAnOutageThatBeganWhileAWatchWaited)
{
    for (const milliseconds time : {milliseconds(1600), milliseconds(2800)}) {
        Fixture fixture;
        fixture.answerAfter({}, PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
        fixture.answerAfter(time, PlatformOutcome::Unanswered);
        for (int i = 0; i < 2; ++i) {
            fixture.answerAfter(milliseconds(800), PlatformOutcome::Unanswered);
        }
        fixture.answerAfter(milliseconds(4), PlatformOutcome::Ok, {Fixture::object("i-1", 8, true)},
                            8);
        LONGS_EQUAL(1, fixture.endpoints());
        const std::vector<HeldDeletion> held = fixture.watcher.drainHeldDeletions();
        LONGS_EQUAL(1, held.size());
        STRCMP_EQUAL("i-1", held[0].name.c_str());
    }
}

// The watches of a daemon that were replaced end later than those that replaced them.
TEST(ConfigWatcher, CallsThatNobodyRepeatsAreNoEvidenceOfAnOutage)
{
    Fixture fixture;
    fixture.answerAfter({}, PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    fixture.clock.advance(milliseconds(200));
    std::vector<PlatformCall> calls;
    fixture.watcher.tick(calls, fixture.nextId);
    CHECK(calls.at(0).wait > Duration::zero());
    fixture.watcher.recordPlatformAnswer(PlatformOutcome::Unanswered, std::nullopt);
    fixture.clock.advance(milliseconds(1600));
    PlatformResult cut;
    cut.id = calls[0].id;
    fixture.watcher.handle(cut);
    CHECK(fixture.answerAfter(milliseconds(4), PlatformOutcome::Ok,
                              {Fixture::object("i-1", 8, true)}, 8));
    LONGS_EQUAL(0, fixture.endpoints());
}

// A later outage must not keep an endpoint in force that has left.
TEST(ConfigWatcher, ADelayEndsAlthoughThePlatformFailsAgain)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    fixture.answer(PlatformOutcome::Refused);
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 8, true)}, 8);
    const TimePoint returnedAt = fixture.clock.now();
    while (fixture.clock.now() - returnedAt < milliseconds(1000)) {
        fixture.answerAfter(milliseconds(50), PlatformOutcome::Refused);
    }
    fixture.answerAfter(milliseconds(4), PlatformOutcome::Ok, {Fixture::object("i-1", 8, true)}, 8);
    LONGS_EQUAL(1, fixture.endpoints());
    CHECK(fixture.clock.now() - returnedAt < milliseconds(2300));
    fixture.clock.advanceTo(returnedAt + milliseconds(2300));
    fixture.watcher.applyDelayedUpdates();
    LONGS_EQUAL(0, fixture.endpoints());
}

TEST(ConfigWatcher, AppliesAListingInPagesAsAWhole)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7, true);
    LONGS_EQUAL(0, fixture.endpoints());
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-2", 6)}, 7);
    STRCMP_EQUAL("i-1", fixture.last.name.c_str());
    LONGS_EQUAL(2, fixture.endpoints());
}

TEST(ConfigWatcher, ListsAgainWhenThePlatformLosesItsHistory)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", 5)}, 7);
    fixture.answer(PlatformOutcome::Gone);
    fixture.answer(PlatformOutcome::Ok, {}, 9);
    CHECK(fixture.last.operation == PlatformOperation::List);
    LONGS_EQUAL(0, fixture.endpoints());
}

TEST(ConfigWatcher, AWatchIsNotHeldOpenWhileThePlatformGivesNoAnswers)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {}, 7);
    fixture.answer(PlatformOutcome::Unanswered);
    fixture.answer(PlatformOutcome::Unanswered);
    CHECK(fixture.last.operation == PlatformOperation::Watch);
    CHECK(fixture.last.wait == Duration::zero());
    fixture.answer(PlatformOutcome::Ok, {}, 7);
    CHECK(fixture.last.wait == Duration::zero());
    fixture.answer(PlatformOutcome::Ok, {}, 7);
    CHECK(fixture.last.wait > Duration::zero());
}

TEST(ConfigWatcher, AWatchThatBeganBeforeAnOutageIsRepeatedAfterIt)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {}, 7);
    fixture.clock.advance(milliseconds(2100));
    std::vector<PlatformCall> calls;
    fixture.watcher.tick(calls, fixture.nextId);
    LONGS_EQUAL(1, calls.size());
    // Another watcher finds that the platform gave no answer, and then that it does again.
    fixture.clock.advance(milliseconds(500));
    fixture.watcher.recordPlatformAnswer(PlatformOutcome::Unanswered, fixture.clock.now());
    fixture.watcher.tick(calls, fixture.nextId);
    LONGS_EQUAL(1, calls.size());
    fixture.watcher.recordPlatformAnswer(PlatformOutcome::Ok, fixture.clock.now());
    CHECK_FALSE(fixture.watcher.owns(calls[0].id));
    fixture.watcher.tick(calls, fixture.nextId);
    LONGS_EQUAL(2, calls.size());
    CHECK(calls[1].operation == PlatformOperation::Watch);
}

TEST(ConfigWatcher, DoesNotWaitForTheCallInProgressWhenTheStoreHasReturned)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {}, 7);
    fixture.clock.advance(milliseconds(2100));
    std::vector<PlatformCall> calls;
    fixture.watcher.tick(calls, fixture.nextId);
    fixture.watcher.restart();
    CHECK_FALSE(fixture.watcher.owns(calls.at(0).id));
    fixture.watcher.tick(calls, fixture.nextId);
    CHECK(calls.at(1).operation == PlatformOperation::List);
}

TEST(ConfigWatcher, BelievesAnOlderCopyOnlyAfterAnAnswerThatWouldHaveReportedALaterWrite)
{
    Fixture fixture;
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", Version(1, 5))}, Version(1, 7));
    fixture.watcher.restart();
    fixture.answer(PlatformOutcome::Ok, {Fixture::object("i-1", Version(2, 3))}, Version(2, 4),
                   true);
    CHECK_FALSE(fixture.watcher.answeredSince(fixture.clock.now()));
    const TimePoint firstPageMadeAt = fixture.clock.now();
    fixture.answer(PlatformOutcome::Ok, {}, Version(2, 4));
    CHECK_TRUE(fixture.watcher.answeredSince(firstPageMadeAt));
    CHECK_FALSE(fixture.watcher.answeredSince(fixture.clock.now()));
    fixture.answer(PlatformOutcome::Gone);
    CHECK_FALSE(fixture.watcher.answeredSince(fixture.clock.now()));
}
