//===- retrybudgettest.cpp - Tests of the retry budget --------------------===//

#include "harelink/Kernel/retrybudget.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <vector>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, NoWindowExceedsTheLimit)
{
    // 40 requests per second, each of which is retried immediately, at one of four daemons.
    const RetryBudgetOptions options{0.2, 60, milliseconds(10'000)};
    RetryBudget budget(options);
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    const TimePoint start{std::chrono::hours(1)};
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += milliseconds(25)) {
        budget.recordRequest(now);
        requests.push_back(now);
        if (budget.allows(now, 4)) {
            budget.recordRetry(now);
            retries.push_back(now);
        }
        for (auto *times : {&requests, &retries}) {
            while (now - times->front() > options.window) {
                times->pop_front();
            }
        }
        const double bound = options.ratio * static_cast<double>(requests.size()) + 60.0 / 4;
        CHECK(static_cast<double>(retries.size()) <= bound);
    }
    CHECK(!retries.empty());
}

TEST(RetryBudget, RetriesExpireWithTheWindow)
{
    RetryBudget budget({0, 8, milliseconds(1000)});
    const TimePoint start{std::chrono::hours(1)};
    int first = 0;
    while (budget.allows(start, 1)) {
        budget.recordRetry(start);
        ++first;
    }
    LONGS_EQUAL(6, first);
    CHECK_FALSE(budget.allows(start + milliseconds(900), 1));
    CHECK(budget.allows(start + milliseconds(1200), 1));
}

TEST(RetryBudget, RestartedDaemonsExceedTheLimit)
{
    // Each of four daemons uses what it may, and is killed, three times in a window.
    const RetryBudgetOptions options{0, 40, milliseconds(10'000)};
    const TimePoint start{std::chrono::hours(1)};
    int retries = 0;
    for (int daemon = 0; daemon < 4; ++daemon) {
        for (int restart = 0; restart < 3; ++restart) {
            const TimePoint startedAt = start + std::chrono::seconds(3) * restart;
            RetryBudgetOptions own = options;
            own.startedAt = restart == 0 ? TimePoint::min() : startedAt;
            RetryBudget budget(own);
            while (budget.allows(startedAt, 4)) {
                budget.recordRetry(startedAt);
                ++retries;
            }
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= options.allowance);
}

TEST(RetryBudget, StartedDaemonGetsItsShareAfterAWindow)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0, 40, milliseconds(10'000), start});
    CHECK_FALSE(budget.allows(start + milliseconds(9999), 4));
    CHECK(budget.allows(start + milliseconds(10'000), 4));
}

TEST(RetryBudget, ReservedRetriesCount)
{
    RetryBudget budget({0, 8, milliseconds(1000)});
    const TimePoint start{std::chrono::hours(1)};
    int reserved = 0;
    while (budget.reserve(start, 1)) {
        ++reserved;
    }
    LONGS_EQUAL(6, reserved);
    CHECK_FALSE(budget.allows(start + milliseconds(1200), 1));
    budget.releaseReserved();
    CHECK(budget.allows(start + milliseconds(1200), 1));
}

TEST(RetryBudget, DaemonsShareTheAllowance)
{
    RetryBudget budget({0, 8, milliseconds(1000)});
    CHECK(budget.allows(TimePoint{std::chrono::hours(1)}, 4));
    CHECK_FALSE(budget.allows(TimePoint{std::chrono::hours(1)}, 8));
}

TEST(RetryBudget, LentRetriesAreNotUsedUntilTheirLoanHasEnded)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0, 8, milliseconds(1000), TimePoint::min(), milliseconds(300)});
    DOUBLES_EQUAL(3, budget.lendable(start, 1), 1e-9);
    budget.lend(3, start);
    DOUBLES_EQUAL(1.5, budget.lendable(start, 1), 1e-9);
    const TimePoint end = start + milliseconds(1300);
    for (const TimePoint now : {start, end - milliseconds(1)}) {
        int retries = 0;
        std::vector<RetryReservation> reservations;
        while (const auto reservation = budget.reserve(now, 1)) {
            reservations.push_back(*reservation);
            ++retries;
        }
        LONGS_EQUAL(3, retries);
        for (const RetryReservation &reservation : reservations) {
            budget.releaseReserved(reservation);
        }
    }
    DOUBLES_EQUAL(3, budget.lendable(end, 1), 1e-9);
}

TEST(RetryBudget, LendsOnlyWhatIsUnusedOfTheAllowance)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0.2, 8, milliseconds(1000), TimePoint::min(), milliseconds(300)});
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest(start);
    }
    DOUBLES_EQUAL(3, budget.lendable(start, 1), 1e-9); // Not of the 150 for its own requests.
    for (int i = 0; i < 154; ++i) {
        budget.recordRetry(start);
    }
    DOUBLES_EQUAL(1, budget.lendable(start, 1), 1e-9);
    RetryBudget started({0, 8, milliseconds(1000), start, milliseconds(300)});
    DOUBLES_EQUAL(0, started.lendable(start + milliseconds(1299), 1), 1e-9);
    DOUBLES_EQUAL(3, started.lendable(start + milliseconds(1300), 1), 1e-9);
}

TEST(RetryBudget, BorrowedRetriesAreUsedOnceAndUntilTheirEnd)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0, 0, milliseconds(1000), TimePoint::min(), milliseconds(300)});
    CHECK_FALSE(budget.reserve(start, 1).has_value());
    budget.borrow(0.75, start + milliseconds(300));
    CHECK_FALSE(budget.allows(start, 1));
    budget.borrow(1.5, start + milliseconds(200));
    const auto first = budget.reserve(start, 1);
    const auto second = budget.reserve(start, 1);
    CHECK(first.has_value() && second.has_value());
    CHECK(second->until == start + milliseconds(200));
    CHECK_FALSE(budget.reserve(start, 1).has_value());
    budget.recordRetry(start, *first);
    budget.releaseReserved(*second);
    CHECK(budget.allows(start, 1));
    CHECK_FALSE(budget.allows(start + milliseconds(200), 1));
}

// Borrowed retries count at their lender, so they must not use up the borrower's own share.
TEST(RetryBudget, BorrowedRetriesLeaveTheOwnShareUnused)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0, 8, milliseconds(1000), TimePoint::min(), milliseconds(300)});
    budget.borrow(2, start + milliseconds(300));
    int retries = 0;
    while (const auto reservation = budget.reserve(start, 1)) {
        budget.recordRetry(start, *reservation);
        ++retries;
    }
    LONGS_EQUAL(8, retries);
}

TEST(RetryBudget, RequestsLoansWhenNearlyUsedUpAndNotTooOften)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0, 8, milliseconds(1000), TimePoint::min(), milliseconds(300)});
    CHECK_FALSE(budget.claimLoanRequest(start, 1));
    for (int i = 0; i < 3; ++i) {
        budget.recordRetry(start);
    }
    CHECK(budget.claimLoanRequest(start, 1));
    CHECK_FALSE(budget.claimLoanRequest(start + milliseconds(199), 1));
    CHECK(budget.claimLoanRequest(start + milliseconds(200), 1));
    RetryBudget withoutLoans({0, 0, milliseconds(1000)});
    CHECK_FALSE(withoutLoans.claimLoanRequest(start, 1));
}

TEST(RetryBudget, KeepsWhatItUsesWhileItNeedsLoansItself)
{
    const TimePoint start{std::chrono::hours(1)};
    RetryBudget budget({0, 8, milliseconds(1000), TimePoint::min(), milliseconds(300)});
    for (int i = 0; i < 3; ++i) {
        budget.recordRetry(start);
    }
    CHECK(budget.lendable(start, 1) > 0);
    CHECK(budget.claimLoanRequest(start, 1));
    DOUBLES_EQUAL(0, budget.lendable(start + milliseconds(999), 1), 0);
    CHECK(budget.lendable(start + milliseconds(1000), 1) > 0);
}
