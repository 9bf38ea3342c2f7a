//===- piecepacingtest.cpp - Tests of the spacing of calls ----------------===//

#include "harelink/Kernel/piecepacing.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t endpointCount = 5;
constexpr std::size_t batch = 66;

/// The times that pieces waited for their call, and the number of calls.
struct Outcome
{
    std::vector<Duration> waits;
    std::size_t calls = 0;

    [[nodiscard]] Duration percentile(double part) const
    {
        std::vector<Duration> sorted = waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * part)];
    }
};

/// Plays 20 s of requests with six pieces each, which arrive in clumps of three, at endpoints that
/// need 200 ms for a call and 2.6 ms for each of its pieces.
///
/// \param isSpaced whether earliestCallStart() decides; else each free endpoint is called at once.
Outcome play(Duration clumpInterval, bool isSpaced)
{
    std::mt19937 random(1);
    std::exponential_distribution<double> interval(1.0);
    Outcome outcome;
    std::vector<TimePoint> freeAt(endpointCount);
    std::vector<TimePoint> waiting;
    Utilization utilization;
    CallPacing pacing;
    const TimePoint end = TimePoint() + std::chrono::seconds(20);
    TimePoint nextClump;
    for (TimePoint now; now < end; now += milliseconds(1)) {
        while (nextClump <= now) {
            waiting.insert(waiting.end(), 18, now);
            nextClump += std::chrono::duration_cast<Duration>(clumpInterval * interval(random));
        }
        for (;;) {
            const auto isFree = [now](TimePoint at) { return at <= now; };
            const auto endpoint = std::find_if(freeAt.begin(), freeAt.end(), isFree);
            const auto busy =
                endpointCount
                - static_cast<std::size_t>(std::count_if(freeAt.begin(), freeAt.end(), isFree));
            utilization.record(static_cast<double>(busy) / endpointCount, now);
            const std::size_t count = std::min(waiting.size(), batch);
            pacing.callTime = milliseconds(200) + std::chrono::microseconds(2600) * count;
            pacing.endpoints = endpointCount;
            pacing.isFull = waiting.size() >= batch;
            pacing.utilization = utilization.value(now);
            if (count == 0 || endpoint == freeAt.end()
                || (isSpaced && earliestCallStart(pacing) > now)) {
                break;
            }
            for (std::size_t i = 0; i < count; ++i) {
                outcome.waits.push_back(now - waiting[i]);
            }
            waiting.erase(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count));
            *endpoint = now + pacing.callTime;
            pacing.lastCallAt = now;
            ++outcome.calls;
        }
    }
    return outcome;
}

} // namespace

TEST_GROUP(PiecePacing){};

// Guards against clumps that start small calls at all endpoints together, after which pieces wait
// for a whole call although calls have empty slots. The control is the same load unspaced.
TEST(PiecePacing, SpacedCallsServeClumpsSoonerWithFewerCalls)
{
    const Outcome spaced = play(milliseconds(50), true);
    const Outcome unspaced = play(milliseconds(50), false);
    CHECK(spaced.percentile(0.9) < unspaced.percentile(0.9));
    CHECK(spaced.calls < unspaced.calls);
}

// Guards against a delay of pieces that an idle pool could start at once.
TEST(PiecePacing, DoesNotDelayPiecesOfAPoolThatIsMostlyIdle)
{
    CallPacing pacing;
    pacing.lastCallAt = TimePoint(milliseconds(1000));
    pacing.callTime = milliseconds(240);
    pacing.endpoints = endpointCount;
    pacing.utilization = 0.5;
    CHECK(earliestCallStart(pacing) <= pacing.lastCallAt);
}

TEST(PiecePacing, DoesNotDelayAFullCall)
{
    CallPacing pacing;
    pacing.lastCallAt = TimePoint(milliseconds(1000));
    pacing.callTime = milliseconds(240);
    pacing.endpoints = endpointCount;
    pacing.utilization = 1;
    CHECK(earliestCallStart(pacing) == pacing.lastCallAt + milliseconds(48));
    pacing.isFull = true;
    CHECK(earliestCallStart(pacing) <= pacing.lastCallAt);
}

// Guards against spacing that has a piece miss its objective at an endpoint that is free.
TEST(PiecePacing, DoesNotDelayACallBeyondTheObjectiveOfItsPieces)
{
    CallPacing pacing;
    pacing.lastCallAt = TimePoint(milliseconds(1000));
    pacing.callTime = milliseconds(240);
    pacing.endpoints = endpointCount;
    pacing.utilization = 1;
    pacing.latest = TimePoint(milliseconds(1010));
    CHECK(earliestCallStart(pacing) == pacing.latest);
}

// Guards against an idle endpoint while pieces wait.
TEST(PiecePacing, DoesNotSpaceTheCallsOfFewEndpoints)
{
    CallPacing pacing;
    pacing.lastCallAt = TimePoint(milliseconds(1000));
    pacing.callTime = milliseconds(240);
    pacing.utilization = 1;
    for (const std::size_t endpoints : {0, 1, 3}) {
        pacing.endpoints = endpoints;
        CHECK(earliestCallStart(pacing) <= pacing.lastCallAt);
    }
}

TEST(PiecePacing, AveragesTheUtilization)
{
    Utilization utilization;
    const TimePoint begin(std::chrono::seconds(10));
    utilization.record(1, begin);
    utilization.record(1, begin + milliseconds(1));
    CHECK(utilization.value(begin + milliseconds(100)) < 0.5);
    CHECK(utilization.value(begin + milliseconds(3000)) > 0.9);
    utilization.record(0, begin + milliseconds(3000));
    CHECK(utilization.value(begin + milliseconds(10'000)) < 0.1);
}
