//===- intakebudgettest.cpp - Tests of the memory of requests -------------===//

#include "harelink/Kernel/intakebudget.h"

#include "harelink/Support/random.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <vector>

using namespace harelink;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 16'777'216;
constexpr std::size_t largeBody = 4'000'000; // Three of them fit.
constexpr std::size_t smallBody = 50'000;

struct Budget
{
    /// Lets \p time pass in intervals.
    void advance(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += IntakeBudget::tickInterval) {
            now += IntakeBudget::tickInterval;
            budget.tick(now);
        }
    }
    IntakeId openWith(std::size_t bytes, IntakeDecision expected)
    {
        const IntakeId id = budget.open();
        CHECK(budget.reserve(id, bytes) == expected);
        return id;
    }

    IntakeBudget budget{limit};
    TimePoint now{1h};
};

} // namespace

TEST_GROUP(IntakeBudget){};

TEST(IntakeBudget, LargeRequestsWaitInOrderAndAreGrantedWhenOthersEnd)
{
    Budget test;
    std::vector<IntakeId> holders;
    holders.reserve(3);
    for (int i = 0; i < 3; ++i) {
        holders.push_back(test.openWith(largeBody, IntakeDecision::Granted));
    }
    const IntakeId first = test.openWith(largeBody, IntakeDecision::Waiting);
    // Would fit, but must not pass the one that waits.
    const IntakeId second = test.openWith(100'000, IntakeDecision::Waiting);
    test.budget.close(holders[0]);
    const IntakeChanges changes = test.budget.takeChanges();
    CHECK(changes.granted == (std::vector<IntakeId>{first, second}));
    CHECK(test.budget.used() == 3 * largeBody + 100'000);
}

TEST(IntakeBudget, LargeRequestsLeaveRoomForSmallOnes)
{
    Budget test;
    for (int i = 0; i < 3; ++i) {
        test.openWith(largeBody, IntakeDecision::Granted);
    }
    for (std::size_t i = 0; i < limit / 4 / smallBody; ++i) {
        test.openWith(smallBody, IntakeDecision::Granted);
    }
    CHECK(test.budget.used() <= limit);
}

TEST(IntakeBudget, SmallRequestsBeyondTheLimitAreRefused)
{
    Budget test;
    for (std::size_t i = 0; i < limit / smallBody; ++i) {
        test.openWith(smallBody, IntakeDecision::Granted);
    }
    test.openWith(smallBody, IntakeDecision::Refused);
    CHECK(test.budget.used() <= limit);
}

TEST(IntakeBudget, StalledRequestsAreDroppedForOthersTheLongestStalledFirst)
{
    Budget test;
    const IntakeId advancing = test.openWith(largeBody, IntakeDecision::Granted);
    const IntakeId stalled = test.openWith(largeBody, IntakeDecision::Granted);
    test.advance(300ms);
    const IntakeId stalledLater = test.openWith(largeBody, IntakeDecision::Granted);
    test.advance(1100ms);
    test.budget.recordReceived(advancing, IntakeBudget::minProgressBytes);
    test.openWith(largeBody, IntakeDecision::Granted);
    const IntakeChanges changes = test.budget.takeChanges();
    CHECK(changes.dropped == std::vector<IntakeId>{stalled});
    CHECK(test.budget.reserve(stalled, largeBody) == IntakeDecision::Refused);
    test.openWith(largeBody, IntakeDecision::Granted);
    CHECK(test.budget.takeChanges().dropped == std::vector<IntakeId>{stalledLater});
    test.openWith(largeBody, IntakeDecision::Waiting);
    CHECK(test.budget.takeChanges().dropped.empty());
}

TEST(IntakeBudget, StalledRequestsStayWhileNobodyNeedsTheirMemory)
{
    Budget test;
    test.openWith(largeBody, IntakeDecision::Granted);
    test.advance(60s);
    CHECK(test.budget.takeChanges().dropped.empty());
}

TEST(IntakeBudget, AFewBytesNowAndThenAreNoProgress)
{
    Budget test;
    std::vector<IntakeId> slow;
    slow.reserve(3);
    for (int i = 0; i < 3; ++i) {
        slow.push_back(test.openWith(largeBody, IntakeDecision::Granted));
    }
    for (int i = 0; i < 12; ++i) {
        test.advance(100ms);
        for (const IntakeId id : slow) {
            test.budget.recordReceived(id, 1);
        }
    }
    test.openWith(largeBody, IntakeDecision::Granted);
    LONGS_EQUAL(1, test.budget.takeChanges().dropped.size());
}

TEST(IntakeBudget, ARequestThatWaitsIsRefusedInTime)
{
    Budget test;
    std::vector<IntakeId> holders;
    holders.reserve(3);
    for (int i = 0; i < 3; ++i) {
        holders.push_back(test.openWith(largeBody, IntakeDecision::Granted));
    }
    const IntakeId waiting = test.openWith(largeBody, IntakeDecision::Waiting);
    for (int i = 0; i < 6; ++i) {
        test.advance(100ms);
        for (const IntakeId id : holders) {
            test.budget.recordReceived(id, IntakeBudget::minProgressBytes);
        }
    }
    CHECK(test.budget.takeChanges().refused == std::vector<IntakeId>{waiting});
    LONGS_EQUAL(0, test.budget.waiting());
}

TEST(IntakeBudget, TheTimeOfASuspensionDropsNobody)
{
    Budget test;
    for (int i = 0; i < 3; ++i) {
        test.openWith(largeBody, IntakeDecision::Granted);
    }
    test.advance(100ms);
    test.now += 1min;
    test.budget.tick(test.now);
    test.openWith(largeBody, IntakeDecision::Waiting);
    CHECK(test.budget.takeChanges().dropped.empty());
}

TEST(IntakeBudget, ACompleteRequestHoldsItsMemoryUntilItIsReleased)
{
    Budget test;
    const IntakeId id = test.openWith(largeBody, IntakeDecision::Granted);
    CHECK(test.budget.complete(id, largeBody - 1000));
    test.advance(10s);
    test.budget.close(id);
    CHECK(test.budget.used() == largeBody - 1000);
    test.budget.release(largeBody - 1000);
    CHECK(test.budget.used() == 0);
}

TEST(IntakeBudget, ACompleteRequestWithoutRoomIsRefused)
{
    Budget test;
    CHECK(test.budget.take(limit - limit / 4));
    CHECK_FALSE(test.budget.take(largeBody));
    const IntakeId id = test.budget.open();
    CHECK_FALSE(test.budget.complete(id, largeBody));
}

/// Most requests arrive whole in one read, so nothing is reserved for them before.
TEST(IntakeBudget, StalledRequestsGiveWayToACompleteOne)
{
    Budget test;
    for (std::size_t used = 0; used + smallBody <= limit; used += smallBody) {
        test.openWith(smallBody, IntakeDecision::Granted);
    }
    CHECK(test.budget.take(limit - test.budget.used()));
    const IntakeId early = test.budget.open();
    CHECK_FALSE(test.budget.complete(early, 100));
    test.advance(1100ms);
    const IntakeId id = test.budget.open();
    CHECK(test.budget.complete(id, 100));
    LONGS_EQUAL(1, test.budget.takeChanges().dropped.size());
}

TEST(IntakeBudget, IdleConnectionsGiveWayToNewOnesButNoRequestInProgress)
{
    Budget test;
    const IntakeId busy = test.budget.open();
    CHECK(test.budget.complete(busy, 100));
    test.advance(100ms);
    const IntakeId idle = test.budget.open();
    test.advance(100ms);
    const IntakeId unfinished = test.openWith(1000, IntakeDecision::Granted);
    test.advance(2s);
    test.budget.dropIdleConnections(1);
    CHECK(test.budget.takeChanges().dropped == std::vector<IntakeId>{unfinished});
    test.budget.dropIdleConnections(1);
    CHECK(test.budget.takeChanges().dropped == std::vector<IntakeId>{idle});
    test.budget.dropIdleConnections(1);
    CHECK(test.budget.takeChanges().dropped.empty());
    test.budget.recordAnswered(busy);
    test.budget.dropIdleConnections(1);
    CHECK(test.budget.takeChanges().dropped == std::vector<IntakeId>{busy});
}

/// Heads grow as they are read. If those that hold the budget waited for more, nothing would be
/// released until their wait ends.
TEST(IntakeBudget, WhatWaitsHoldsASmallPartOfTheBudget)
{
    constexpr std::size_t step = 226'000;
    Budget test;
    std::deque<IntakeId> growing;
    for (int i = 0; i < 20; ++i) {
        growing.push_back(test.budget.open());
    }
    std::map<IntakeId, std::size_t> held;
    std::map<IntakeId, std::size_t> waiting; // With what each of them holds.
    while (!growing.empty()) {
        const IntakeId id = growing.front();
        growing.pop_front();
        switch (test.budget.reserve(id, held[id] + step)) {
        case IntakeDecision::Granted:
            held[id] += step;
            growing.push_back(id);
            break;
        case IntakeDecision::Waiting:
            waiting[id] = held[id];
            break;
        case IntakeDecision::Refused:
            test.budget.close(id);
            break;
        }
        for (const IntakeId granted : test.budget.takeChanges().granted) {
            waiting.erase(granted);
            held[granted] += step;
            growing.push_back(granted);
        }
        const std::size_t sum =
            std::accumulate(waiting.begin(), waiting.end(), std::size_t{0},
                            [](std::size_t all, const auto &one) { return all + one.second; });
        CHECK(sum <= limit / 8);
    }
    LONGS_EQUAL(0, test.budget.used());
}

/// It would wait for those that wait for it.
TEST(IntakeBudget, ALargeRequestThatNeedsSlightlyMoreDoesNotQueue)
{
    Budget test;
    std::vector<IntakeId> holders;
    holders.reserve(3);
    for (int i = 0; i < 3; ++i) {
        holders.push_back(test.openWith(largeBody, IntakeDecision::Granted));
    }
    const IntakeId waiting = test.openWith(largeBody, IntakeDecision::Waiting);
    CHECK(test.budget.reserve(holders[0], largeBody + 14) == IntakeDecision::Granted);
    while (test.budget.take(IntakeBudget::smallBytes)) {
    }
    CHECK(test.budget.reserve(holders[1], largeBody + IntakeBudget::smallBytes)
          == IntakeDecision::Refused);
    LONGS_EQUAL(1, test.budget.waiting());
    test.budget.close(holders[0]);
    CHECK(test.budget.takeChanges().granted == std::vector<IntakeId>{waiting});
}

TEST(IntakeBudget, SeveralConnectionsAreDroppedAtOnceInTheOrderOfTheirStalls)
{
    Budget test;
    std::vector<IntakeId> unfinished;
    unfinished.reserve(3);
    for (int i = 0; i < 3; ++i) {
        unfinished.push_back(test.openWith(1000, IntakeDecision::Granted));
        test.advance(100ms);
    }
    // A request that has just begun is spared.
    test.budget.dropIdleConnections(2);
    CHECK(test.budget.takeChanges().dropped.empty());
    test.advance(2s);
    test.budget.dropIdleConnections(2);
    CHECK(test.budget.takeChanges().dropped
          == (std::vector<IntakeId>{unfinished[0], unfinished[1]}));
    test.budget.dropIdleConnections(2);
    CHECK(test.budget.takeChanges().dropped == std::vector<IntakeId>{unfinished[2]});
}

/// A dropped connection is closed a little later, and what arrives until then must not run.
TEST(IntakeBudget, ARequestOfADroppedConnectionIsRefused)
{
    Budget test;
    const IntakeId id = test.budget.open();
    test.budget.dropIdleConnections(1);
    CHECK(test.budget.takeChanges().dropped == std::vector<IntakeId>{id});
    CHECK_FALSE(test.budget.complete(id, 100));
}

/// Clients of all kinds, at random: the sum stays within the limit, every request is decided in
/// bounded time, and a large request of a client that sends is served afterwards.
TEST(IntakeBudget, RandomClientsNeitherExceedNorBlockTheBudget)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random random(seed);
        Budget test;
        std::map<IntakeId, Duration> waitingSince;
        std::vector<IntakeId> open;
        std::vector<std::size_t> complete;
        for (int step = 0; step < 2000; ++step) {
            const std::size_t bytes =
                random.below(2) == 0 ? 1 + random.below(60'000) : 1 + random.below(8'000'000);
            switch (random.below(5)) {
            case 0: {
                const IntakeId id = test.budget.open();
                open.push_back(id);
                if (test.budget.reserve(id, bytes) == IntakeDecision::Waiting) {
                    waitingSince[id] = test.now.time_since_epoch();
                }
                break;
            }
            case 1:
                if (!open.empty()) {
                    test.budget.recordReceived(open[random.below(open.size())], bytes);
                }
                break;
            case 2:
                if (!open.empty()) {
                    const std::size_t at = random.below(open.size());
                    if (!waitingSince.contains(open[at])
                        && test.budget.complete(open[at], std::min<std::size_t>(bytes, 50'000))) {
                        complete.push_back(std::min<std::size_t>(bytes, 50'000));
                    }
                }
                break;
            case 3:
                if (!complete.empty()) {
                    test.budget.release(complete.back());
                    complete.pop_back();
                }
                break;
            default:
                test.advance(100ms);
            }
            const IntakeChanges changes = test.budget.takeChanges();
            for (const auto *ids : {&changes.granted, &changes.refused, &changes.dropped}) {
                for (const IntakeId id : *ids) {
                    waitingSince.erase(id);
                }
            }
            for (const IntakeId id : changes.dropped) {
                test.budget.close(id);
                std::erase(open, id);
            }
            CHECK(test.budget.used() <= limit);
            for (const auto &[id, since] : waitingSince) {
                CHECK(test.now.time_since_epoch() - since
                      <= IntakeBudget::maxWait + IntakeBudget::tickInterval);
            }
        }
        for (const std::size_t bytes : complete) {
            test.budget.release(bytes);
        }
        test.advance(3s);
        (void)test.budget.takeChanges();
        test.openWith(8'000'000, IntakeDecision::Granted);
    }
}
