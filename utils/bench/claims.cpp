//===- claims.cpp - Benchmark of platform calls per claim -----------------===//
///
/// \file
/// Simulates claims at several rates with four daemons on a virtual clock, and counts
/// the platform calls per claim, including its finish. The baseline, one object per key,
/// takes one create and one update per claim. Both figures include the repetition of
/// lost calls.
///
//===----------------------------------------------------------------------===//

#include "world.h"

namespace {

using namespace harelink;
using namespace harelink::sim;

constexpr std::chrono::seconds warmUp{3};
constexpr std::chrono::seconds measured{5};
constexpr double baselineCalls = 2;

void measure(int perSecond, double lost, int racers)
{
    World<AllGuards> world(1, 4, 2);
    world.run(warmUp);
    world.platform().faults().loseAnswers = lost;
    const std::uint64_t before = world.platform().calls();
    const std::uint64_t writesBefore = world.platform().writes();
    const int keys = perSecond * static_cast<int>(measured.count());
    for (int i = 0; i < keys; ++i) {
        world.run(std::chrono::nanoseconds(1'000'000'000 / perSecond));
        const std::string key = fmt::format("k{}", i);
        for (int racer = 0; racer < racers; ++racer) {
            world.submit(fmt::format("h{}", (i + racer) % 4 + 1), "record", key, key,
                         std::chrono::seconds(4));
        }
    }
    world.platform().faults().loseAnswers = 0;
    world.run(std::chrono::seconds(5));
    const auto &outcomes = world.checks().outcomes();
    const auto completed = outcomes.find("completed");
    const double calls = static_cast<double>(world.platform().calls() - before) / keys;
    const double writes = static_cast<double>(world.platform().writes() - writesBefore) / keys;
    fmt::print("{:>6}/s  lost {:>3.0f}%  racers {}  completed {:>6}  calls/claim {:>6.3f}  "
               "writes/claim {:>6.3f}  against {:.1f}  violations {}\n",
               perSecond, lost * 100, racers, completed == outcomes.end() ? 0 : completed->second,
               calls, writes, baselineCalls / (1 - lost), world.checks().violations().size());
}

} // namespace

int main()
{
    for (const int perSecond : {10, 100, 1000}) {
        for (const double lost : {0.0, 0.1}) {
            for (const int racers : {1, 2}) {
                measure(perSecond, lost, racers);
            }
        }
    }
    return 0;
}
