//===- framingtest.cpp - Tests of endpoints that mark no ends -------------===//

#include "harelink/Kernel/framinghabit.h"

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

enum class Framing { Marked, Open, BrokenOff, Failing };

/// Plays the endpoints of a pool. An answer takes 100 ms, one that is broken off 10 ms.
struct FramingPlay : ProxiedFixture
{
    static constexpr milliseconds interval{10};
    static constexpr int stepsOfAnswer = 10;

    explicit FramingPlay(int engines)
        : ProxiedFixture(engines)
    {
        advance(std::chrono::seconds(20)); // No retries are allowed just after the start.
    }

    [[nodiscard]] Framing framingOf(const SendStage &stage) const
    {
        const auto found = framings.find(stage.endpoint);
        return found == framings.end() ? Framing::Marked : found->second;
    }

    /// Lets \p calls requests arrive, fewer at once than one endpoint has slots, and waits until
    /// they are answered.
    void serve(const std::string &path, std::size_t calls)
    {
        const std::size_t last = answers.size() + calls;
        for (std::size_t i = 0; answers.size() < last; ++i) {
            if (i < calls) {
                arrive(path);
            }
            step();
            step();
        }
    }

    void step()
    {
        for (; m_next < sends.size(); ++m_next) {
            const bool isShort = framingOf(sends[m_next]) == Framing::BrokenOff;
            m_ends.emplace(m_steps + (isShort ? 1 : stepsOfAnswer), m_next);
        }
        advance(interval);
        ++m_steps;
        while (!m_ends.empty() && m_ends.begin()->first <= m_steps) {
            const SendStage stage = sends[m_ends.begin()->second];
            m_ends.erase(m_ends.begin());
            end(stage);
        }
    }

    void end(const SendStage &stage)
    {
        switch (framingOf(stage)) {
        case Framing::Marked:
            answer(stage);
            break;
        case Framing::Open:
            answerUnframed(stage, "body");
            break;
        case Framing::BrokenOff:
            answerUnframed(stage, "bo");
            break;
        case Framing::Failing:
            answer(stage, 404);
            break;
        }
    }

    /// Returns how many of the answers from \p first on are parts.
    [[nodiscard]] std::size_t parts(std::size_t first = 0) const
    {
        return static_cast<std::size_t>(
            std::count_if(answers.begin() + static_cast<std::ptrdiff_t>(first), answers.end(),
                          [](const AnswerCaller &action) {
                              return action.proxied && action.proxied->body == "bo";
                          }));
    }
    [[nodiscard]] std::size_t sendsTo(const std::string &endpoint, std::size_t first = 0) const
    {
        return static_cast<std::size_t>(
            std::count_if(sends.begin() + static_cast<std::ptrdiff_t>(first), sends.end(),
                          [&](const SendStage &stage) { return stage.endpoint == endpoint; }));
    }
    [[nodiscard]] bool allCompleted() const
    {
        return std::all_of(answers.begin(), answers.end(), [](const AnswerCaller &action) {
            return action.outcome == Outcome::Completed;
        });
    }
    [[nodiscard]] bool isDoubted(const std::string &endpoint) const
    {
        return isDoubtful(*snapshot->pool("engines")->find(endpoint), clock.now());
    }

    std::map<std::string, Framing> framings; ///< By endpoint; Marked if absent.

private:
    std::size_t m_next = 0;
    int m_steps = 0;
    std::multimap<int, std::size_t> m_ends; ///< By step.
};

/// Returns the configuration with the engines from \p first on only.
std::vector<Resource> enginesFrom(int first, int engines)
{
    std::vector<Resource> resources = proxiedConfiguration(engines);
    std::erase_if(resources, [first](const Resource &resource) {
        const auto *endpoint = std::get_if<EndpointSpec>(&resource.spec);
        return endpoint != nullptr && endpoint->pool == "engines"
               && endpoint->name < fmt::format("engine-{}", first);
    });
    return resources;
}

} // namespace

TEST_GROUP(Framing){};

// It counted as healthy and fast, so that it got more than its share of calls.
TEST(Framing, AnEndpointThatBreaksOffEveryAnswerInOrderAttractsNoLoad)
{
    constexpr std::size_t calls = 1200;
    constexpr std::size_t endpoints = 5;
    for (const char *hole : {"engine-0", "engine-1"}) {
        FramingPlay play(endpoints);
        play.framings[hole] = Framing::BrokenOff;
        play.serve("/record/1", calls);
        CHECK(play.allCompleted());
        CHECK_TEXT(play.parts() <= calls / endpoints, std::to_string(play.parts()).c_str());
    }
}

// Two answers without a marked end were a habit, and no further one was confirmed.
TEST(Framing, RepeatableCallsAreServedWholeBesideAnEndpointThatAlwaysBreaksOff)
{
    constexpr std::size_t endpoints = 5;
    for (const std::size_t engines : {std::size_t{2}, endpoints}) {
        FramingPlay play(static_cast<int>(engines));
        play.framings["engine-0"] = Framing::BrokenOff;
        constexpr std::size_t callsUntilKnown = 50;
        play.serve("/read/1", callsUntilKnown);
        play.serve("/read/1", 1200);
        CHECK(play.allCompleted());
        LONGS_EQUAL(0, play.parts(callsUntilKnown));
    }
}

TEST(Framing, APoolKeepsTheCapacityOfEndpointsThatNeverMarkAnEnd)
{
    const auto sendsAtOnce = [](Framing framing) {
        FramingPlay play(5);
        play.framings["engine-0"] = play.framings["engine-1"] = framing;
        play.serve("/record/1", 100);
        const std::size_t before = play.sends.size();
        for (int i = 0; i < 200; ++i) {
            play.arrive("/record/1");
        }
        return play.sends.size() - before;
    };
    LONGS_EQUAL(sendsAtOnce(Framing::Marked), sendsAtOnce(Framing::Open));
}

TEST(Framing, AnEndpointWhoseUnmarkedAnswersAreShownToBeWholeGetsItsShare)
{
    constexpr std::size_t calls = 1200;
    constexpr std::size_t endpoints = 5;
    const auto sends = [](Framing framing) {
        FramingPlay play(endpoints);
        play.framings["engine-0"] = framing;
        play.serve("/read/1", calls);
        CHECK(play.allCompleted());
        CHECK_FALSE(play.isDoubted("engine-0"));
        const std::size_t retries = play.sends.size() - calls;
        CHECK_TEXT(retries <= calls / FramingHabit::trustedAnswers,
                   std::to_string(retries).c_str());
        return play.sendsTo("engine-0");
    };
    const std::size_t open = sends(Framing::Open);
    const std::size_t marked = sends(Framing::Marked);
    CHECK_TEXT(open >= marked / 2, fmt::format("{} of {}", open, marked).c_str());
}

TEST(Framing, AReleaseMayEndTheMarkingOfEnds)
{
    constexpr int old = 4;
    FramingPlay play(old);
    for (int i = old; i < 2 * old; ++i) {
        play.framings[fmt::format("engine-{}", i)] = Framing::Open;
    }
    play.serve("/record/1", 200);
    for (int release = 1; release <= old; ++release) {
        play.snapshot =
            buildSnapshot(enginesFrom(release, old + release), 1, "dc1", play.snapshot.get());
        play.serve("/record/1", 200);
    }
    CHECK(play.allCompleted());
    LONGS_EQUAL(1000, play.sends.size());
    play.advance(std::chrono::seconds(10));
    play.serve("/record/1", 100);
    for (int i = old; i < 2 * old; ++i) {
        CHECK_FALSE(play.isDoubted(fmt::format("engine-{}", i)));
    }
    // Nor is an answer of a pool in which none marks its ends confirmed for those that have left.
    const std::size_t before = play.sends.size();
    play.serve("/read/1", 300);
    CHECK(play.sends.size() <= before + 300 + std::size_t{2} * old);
}

// A habit was taken from HEAD requests, errors and answers of other routes.
TEST(Framing, OnlyAnswersWithABodyToRequestsOfTheSameRouteAreCompared)
{
    FramingPlay play(5);
    play.framings["engine-0"] = Framing::Open;
    play.serve("/read/1", 100);
    CHECK(play.sendsTo("engine-0") > 0);
    for (const char *engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
        play.framings[engine] = Framing::Failing;
    }
    for (int i = 0; i < 100; ++i) {
        play.serve("/record/1", 1);
        play.arrive("/record/1");
        if (play.sends.back().endpoint == "engine-0") {
            play.answerUnframed(play.sends.back(), "body");
            continue;
        }
        StageAnswered empty;
        empty.call = empty.echoed = play.sends.back().call;
        empty.proxied = ProxiedAnswer{200, {}, "", AnswerFraming::Length};
        play.machine.handle(std::move(empty), *play.snapshot);
        play.collect();
    }
    CHECK(play.allCompleted());
    CHECK_FALSE(play.isDoubted("engine-0"));
}

TEST(Framing, ALongerAnswerOfAnotherRunShowsThatTheFirstWasAPart)
{
    const auto run = [](const char *first, const char *second, bool isMarked) {
        FramingPlay play(2);
        play.arrive("/read/1");
        play.answerUnframed(play.sends[0], first);
        StageAnswered event;
        event.call = event.echoed = play.sends[1].call;
        event.proxied = ProxiedAnswer{
            200, {}, second, isMarked ? AnswerFraming::Chunks : AnswerFraming::Connection};
        play.machine.handle(std::move(event), *play.snapshot);
        play.collect();
        return std::pair(play.isDoubted(play.sends[0].endpoint),
                         play.isDoubted(play.sends[1].endpoint));
    };
    for (const bool isMarked : {true, false}) {
        CHECK(run("bo", "body", isMarked) == std::pair(true, false));
        CHECK(run("body", "body", isMarked) == std::pair(false, false));
        CHECK(run("body", "other one", isMarked) == std::pair(false, false));
    }
    CHECK(run("body", "bo", false) == std::pair(false, true));
    CHECK(run("body", "bo", true) == std::pair(false, false));
}

TEST(Framing, AnEventBehindTheEndOfAStreamShowsThatItWasBrokenOff)
{
    FramingPlay play(2);
    play.arrive("/talk/1");
    play.event(play.sends[0], 1, std::nullopt, AnswerFraming::Connection);
    play.endUnframed(play.sends[0]);
    play.event(play.sends[1], 2, std::nullopt, AnswerFraming::Connection);
    CHECK(play.isDoubted(play.sends[0].endpoint));
    CHECK_FALSE(play.isDoubted(play.sends[1].endpoint));

    FramingPlay whole(2);
    whole.arrive("/talk/1");
    whole.event(whole.sends[0], 1, std::nullopt, AnswerFraming::Connection);
    whole.endUnframed(whole.sends[0]);
    whole.answer(whole.sends[1]);
    CHECK_FALSE(whole.isDoubted(whole.sends[0].endpoint));
}

TEST(Framing, TrustEndsAfterSomeAnswersAndWithAPart)
{
    FramingHabit habit;
    habit.record(false);
    habit.recordComparison(true);
    for (int i = 0; i < FramingHabit::trustedAnswers; ++i) {
        CHECK(habit.isTrusted());
        habit.record(false);
    }
    CHECK_FALSE(habit.isTrusted());
    habit.recordComparison(true);
    habit.recordComparison(false);
    CHECK_FALSE(habit.isTrusted());
    CHECK(habit.brokeOff());
    habit.record(true);
    CHECK_FALSE(habit.brokeOff());
}
