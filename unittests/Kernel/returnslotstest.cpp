//===- returnslotstest.cpp - Tests of the returns of callers --------------===//

#include "harelink/Kernel/returnslots.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstddef>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds earliest{100};
constexpr milliseconds latest{2000};

} // namespace

TEST_GROUP(ReturnSlots)
{
    ReturnSlots slots;
    TimePoint now = TimePoint(std::chrono::seconds(100));

    void admit(int count)
    {
        for (int i = 0; i < count; ++i) {
            slots.recordAdmission(now);
        }
    }
};

// Guards against returns that all meet the burst in which their callers were refused: with three
// refusals for each admission, no tenth of the time may get a third of the returns.
TEST(ReturnSlots, SpreadsTheReturnsOfABurst)
{
    std::array<int, 10> returns{};
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(25);
        if (i % 4 == 0) {
            slots.recordAdmission(now);
            continue;
        }
        const Duration delay = slots.assign(earliest, latest, now);
        CHECK(delay >= earliest && delay <= latest);
        if (i >= 20) {
            ++returns[std::min<std::size_t>(9, static_cast<std::size_t>(delay / (latest / 10)))];
            ++count;
        }
    }
    CHECK(*std::max_element(returns.begin(), returns.end()) * 3 < count);
}

// Guards against long delays for callers that are refused for a moment only.
TEST(ReturnSlots, DoesNotDelayReturnsWhileMostRequestsAreAdmitted)
{
    admit(10);
    for (int i = 0; i < 5; ++i) {
        CHECK(slots.assign(earliest, latest, now) == earliest);
    }
}

TEST(ReturnSlots, ForgetsABurst)
{
    for (int i = 0; i < 50; ++i) {
        (void)slots.assign(earliest, latest, now);
    }
    now += std::chrono::seconds(10);
    admit(3);
    CHECK(slots.assign(earliest, latest, now) == earliest);
}

TEST(ReturnSlots, AsksNobodyToReturnLaterThanIsOfUse)
{
    for (int i = 0; i < 1000; ++i) {
        CHECK(slots.assign(earliest, latest, now) <= latest);
    }
    CHECK(slots.assign(milliseconds(3000), latest, now) == milliseconds(3000));
}
