//===- retrybudgettest.cpp - Tests of the bound on repeats ----------------===//

#include "harelink/Kernel/retrybudget.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, NoWindowHoldsMoreThanTheBound)
{
    // 40 requests a second, each of which would be repeated at once; one daemon of four.
    const RetryBudgetOptions options{0.2, 60, milliseconds(10'000)};
    RetryBudget budget(options);
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    const TimePoint start{std::chrono::hours(1)};
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += milliseconds(25)) {
        budget.recordRequest(now);
        requests.push_back(now);
        if (budget.allows(now, 4)) {
            budget.recordRetry(now);
            repeats.push_back(now);
        }
        for (auto *times : {&requests, &repeats}) {
            while (now - times->front() > options.window) {
                times->pop_front();
            }
        }
        const double bound = options.ratio * static_cast<double>(requests.size()) + 60.0 / 4;
        CHECK(static_cast<double>(repeats.size()) <= bound);
    }
    CHECK(!repeats.empty());
}

TEST(RetryBudget, WhatWasSpentComesBackWithTheWindow)
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

TEST(RetryBudget, MoreDaemonsHaveLessEach)
{
    RetryBudget budget({0, 8, milliseconds(1000)});
    CHECK(budget.allows(TimePoint{std::chrono::hours(1)}, 4));
    CHECK_FALSE(budget.allows(TimePoint{std::chrono::hours(1)}, 8));
}
