//===- policies.cpp - Benchmark of policies against baselines -------------===//
///
/// \file
/// Runs the same load and faults with the product's policies and with simpler ones, on a
/// virtual clock with fixed seeds: admission, shares of accounts, and routing. Nine
/// daemons in three data centres serve 33 endpoints.
///
//===----------------------------------------------------------------------===//

#include "loadworld.h"

#include <gflags/gflags.h>

#include <array>

DEFINE_int32(seeds, 3, "Number of runs per row; the output shows their mean.");
DEFINE_string(only, "", "admission, shares or routing; all if empty.");

namespace {

using namespace harelink;
using namespace harelink::sim;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests per second that the engines, the bottleneck pool, can serve: 18 x 4 slots / 120 ms.
constexpr double capacity = 600;
/// Fixed limit of requests per daemon that matches the product's concurrency at that rate.
constexpr std::size_t fixedLimit = 24;

/// Returns the mean results of \p run over the seeds.
template <typename Run>
auto meansOf(const Run &run)
{
    auto sums = run(1);
    for (int seed = 2; seed <= FLAGS_seeds; ++seed) {
        const auto more = run(seed);
        for (std::size_t i = 0; i < sums.size(); ++i) {
            sums[i] += more[i];
        }
    }
    for (double &sum : sums) {
        sum /= FLAGS_seeds;
    }
    return sums;
}

struct NoAdmission : AllGuards
{
    static constexpr bool admitsByPrediction = false;
};

struct FirstComeFirstServed : AllGuards
{
    static constexpr bool ordersByUsage = false;
    static constexpr bool sharesSlots = false;
};

struct OrdersByUsageOnly : AllGuards
{
    static constexpr bool sharesSlots = false;
};

LoadSetup standardSetup(int seed)
{
    LoadSetup setup;
    setup.seed = static_cast<std::uint64_t>(seed);
    setup.pools = {{"encoders", 5, 8, milliseconds(15), 0},
                   {"retrievers", 5, 8, milliseconds(10), 0},
                   {"rerankers", 5, 8, milliseconds(12), 0},
                   {"engines", 18, 4, milliseconds(120), 0}};
    PipelineSpec pipeline;
    pipeline.name = "answer";
    pipeline.stages = {{"encode", "encoders"},
                       {"retrieve", "retrievers"},
                       {"rerank", "rerankers"},
                       {"generate", "engines"}};
    pipeline.deadline = milliseconds(1000);
    setup.pipelines = {pipeline};
    for (const char *account : {"a", "b", "c", "d", "e"}) {
        setup.accounts.push_back({account, 1, ""});
    }
    return setup;
}

/// Adds a load of \p perSecond requests per second, evenly spread over the five accounts.
template <typename World>
void addEvenLoad(World &world, double perSecond, Duration from, Duration until, int prompts = 1)
{
    for (const char *account : {"a", "b", "c", "d", "e"}) {
        world.add({account, "answer", perSecond / 5, from, until, -1, prompts});
    }
}

// Admission -------------------------------------------------------------------

enum class Disturbance { None, Burst, SlowStage, DeadStage, LongDeadStage };

template <typename World>
void addDisturbance(World &world, Disturbance disturbance)
{
    switch (disturbance) {
    case Disturbance::None:
        return;
    case Disturbance::Burst:
        addEvenLoad(world, 3 * capacity, seconds(5), seconds(6));
        return;
    case Disturbance::SlowStage:
        world.changeAt(seconds(5), "rerankers", 5, [](auto &at) { at.setSlowFactor(10); });
        world.changeAt(seconds(8), "rerankers", 5, [](auto &at) { at.setSlowFactor(1); });
        return;
    case Disturbance::DeadStage:
    case Disturbance::LongDeadStage:
        const seconds end(disturbance == Disturbance::DeadStage ? 7 : 12);
        world.changeAt(seconds(5), "rerankers", 5, [](auto &at) { at.kill(); });
        world.changeAt(end, "rerankers", 5, [](auto &at) { at.start(); });
        return;
    }
}

template <GuardPolicy G>
std::array<double, 10> runAdmission(Disturbance disturbance, std::size_t limit, int seed)
{
    LoadSetup setup = standardSetup(seed);
    setup.limits.maxRequests = limit;
    LoadWorld<G> world(setup);
    const double base = disturbance == Disturbance::SlowStage ? 0.9 : 0.6;
    addEvenLoad(world, base * capacity, seconds(0), seconds(12));
    addDisturbance(world, disturbance);
    world.run(seconds(4));
    world.report().restart();
    world.run(seconds(12));
    const LoadReport &report = world.report();
    const AccountResult total = report.total();
    return {100 * total.attainment(),
            total.attained / 8.0,
            1.0 * total.notRun,
            1.0 * total.ran,
            report.wastedOf(0),
            report.wastedOf(1),
            report.wastedOf(2),
            report.wastedOf(3),
            toMilliseconds(report.timeToRefuse(0.5)),
            toMilliseconds(report.timeToRefuse(0.99))};
}

template <GuardPolicy G>
void admission(const char *policy, Disturbance disturbance, std::size_t limit)
{
    const auto row = meansOf([&](int seed) { return runAdmission<G>(disturbance, limit, seed); });
    fmt::print("  {:<13} attained {:>6.2f}%  goodput {:>6.1f}/s  not run {:>6.1f}  ran for nothing "
               "{:>6.1f}  wasted s {:>5.1f} {:>5.1f} {:>5.1f} {:>5.1f}  refused after p50 {:>6.1f} "
               "p99 {:>6.1f} ms\n",
               policy, row[0], row[1], row[2], row[3], row[4], row[5], row[6], row[7], row[8],
               row[9]);
}

void compareAdmission()
{
    const std::pair<const char *, Disturbance> disturbances[] = {
        {"steady, 60% of capacity", Disturbance::None},
        {"a burst of three times the capacity on top for 1 s", Disturbance::Burst},
        {"90%, rerank tenfold slow for 3 s", Disturbance::SlowStage},
        {"rerank down for 2 s", Disturbance::DeadStage},
        {"rerank down for 7 s", Disturbance::LongDeadStage}};
    for (const auto &[name, disturbance] : disturbances) {
        fmt::print("admission: {}\n", name);
        const std::size_t unlimited = RequestLimits{}.maxRequests;
        admission<AllGuards>("harelink", disturbance, unlimited);
        admission<NoAdmission>("queue only", disturbance, unlimited);
        admission<NoAdmission>("fixed limit", disturbance, fixedLimit);
    }
}

// Shares ----------------------------------------------------------------------

enum class Flood { OneDaemon, Everywhere, TwoAccounts };

template <GuardPolicy G>
std::array<double, 4> runShares(Flood flood, bool exchanges, int seed)
{
    LoadSetup setup = standardSetup(seed);
    setup.exchangesUse = exchanges;
    LoadWorld<G> world(setup);
    const Duration end = seconds(14);
    for (const char *victim : {"b", "c", "d"}) {
        world.add({victim, "answer", 0.15 * capacity, seconds(0), end, -1, 1});
    }
    const int host = flood == Flood::Everywhere ? -1 : 0;
    world.add({"a", "answer", 2 * capacity, seconds(4), end, host, 1});
    if (flood == Flood::TwoAccounts) {
        world.add({"e", "answer", capacity, seconds(4), end, -1, 1});
    }
    world.run(seconds(6));
    world.report().restart();
    world.run(seconds(8));
    const auto &accounts = world.report().accounts();
    double victimsSent = 0;
    double victimsAttained = 0;
    for (const char *victim : {"b", "c", "d"}) {
        victimsSent += accounts.at(victim).sent;
        victimsAttained += accounts.at(victim).attained;
    }
    // Accounts with more demand than their share should receive equal shares.
    std::vector<double> backlogged = {accounts.at("a").seconds};
    if (flood == Flood::TwoAccounts) {
        backlogged.push_back(accounts.at("e").seconds);
    }
    const double engineSeconds = 18 * 4 * 8;
    return {100 * victimsAttained / victimsSent, accounts.at("a").attained / 8.0,
            jainIndex(backlogged), 100 * world.report().secondsOf(3) / engineSeconds};
}

template <GuardPolicy G>
void shares(const char *policy, Flood flood, bool exchanges)
{
    const auto row = meansOf([&](int seed) { return runShares<G>(flood, exchanges, seed); });
    fmt::print("  {:<23} victims attained {:>6.2f}%  flooder completed {:>6.1f}/s  Jain {:.3f}  "
               "engines used {:>5.1f}%\n",
               policy, row[0], row[1], row[2], row[3]);
}

void compareShares()
{
    const std::pair<const char *, Flood> floods[] = {
        {"one account floods one daemon with twice the capacity, three use 15% each",
         Flood::OneDaemon},
        {"the same, through all daemons", Flood::Everywhere},
        {"one floods one daemon (200%), another all daemons (100%), three use 15% each",
         Flood::TwoAccounts}};
    for (const auto &[name, flood] : floods) {
        fmt::print("shares: {}\n", name);
        shares<AllGuards>("harelink", flood, true);
        shares<AllGuards>("daemons do not exchange", flood, false);
        shares<OrdersByUsageOnly>("by use, no slots", flood, true);
        shares<FirstComeFirstServed>("first come first served", flood, false);
    }
}

// Routing ---------------------------------------------------------------------

enum class Fault { None, Prompts, HalfSlow, HalfFailing, OneDead, OneSlow, OneLeaving };

template <typename World>
void addFault(World &world, Fault fault)
{
    const Duration begin = seconds(5);
    switch (fault) {
    case Fault::None:
    case Fault::Prompts:
        return;
    case Fault::HalfSlow:
        world.changeAt(begin, "engines", 9, [](auto &at) { at.setSlowFactor(4); });
        return;
    case Fault::HalfFailing:
        world.changeAt(begin, "engines", 9, [](auto &at) { at.setFailing(0.5); });
        return;
    case Fault::OneDead:
        world.changeAt(begin, "engines", 1, [](auto &at) { at.kill(); });
        return;
    case Fault::OneSlow:
        world.changeAt(begin, "engines", 1, [](auto &at) { at.setSlowFactor(10); });
        return;
    case Fault::OneLeaving:
        world.leaveAt(begin, "engines-0");
        return;
    }
}

std::array<double, 7> runRouting(const std::string &policy, Fault fault, int seed)
{
    LoadSetup setup = standardSetup(seed);
    setup.routing = policy;
    setup.pools.back().cachedPrompts = fault == Fault::Prompts ? 12 : 0;
    LoadWorld<AllGuards> world(setup);
    const double base = fault == Fault::HalfSlow ? 0.5 : 0.6;
    addEvenLoad(world, base * capacity, seconds(0), seconds(12), fault == Fault::Prompts ? 150 : 1);
    addFault(world, fault);
    world.run(seconds(4));
    world.report().restart();
    const std::uint64_t sendsBefore = world.sends();
    world.run(seconds(1));
    const std::uint64_t callsBefore = world.endpoint("engines-0").calls();
    world.run(seconds(11));
    const LoadReport &report = world.report();
    const AccountResult total = report.total();
    double calls = 0;
    double hits = 0;
    for (int i = 0; i < 18; ++i) {
        const LoadEndpoint &engine = world.endpoint(fmt::format("engines-{}", i));
        calls += static_cast<double>(engine.calls());
        hits += static_cast<double>(engine.promptHits());
    }
    return {100 * total.attainment(),
            toMilliseconds(report.timeToComplete(0.5)),
            toMilliseconds(report.timeToComplete(0.99)),
            report.secondsOf(3) / total.sent,
            static_cast<double>(world.sends() - sendsBefore) / (4.0 * total.sent),
            100 * hits / calls,
            static_cast<double>(world.endpoint("engines-0").calls() - callsBefore)};
}

void routing(const std::string &policy, Fault fault)
{
    const auto row = meansOf([&](int seed) { return runRouting(policy, fault, seed); });
    fmt::print("  {:<16} attained {:>6.2f}%  p50 {:>6.1f} p99 {:>6.1f} ms  engine s a request "
               "{:.4f}  sends a stage {:.3f}  prompt hits {:>5.1f}%  calls to engines-0 after the "
               "fault {:>6.1f}\n",
               policy, row[0], row[1], row[2], row[3], row[4], row[5], row[6]);
}

void compareRouting()
{
    const std::pair<const char *, Fault> faults[] = {
        {"steady, 60% of capacity", Fault::None},
        {"150 prompts, 12 kept by an engine", Fault::Prompts},
        {"half of the engines fourfold slow", Fault::HalfSlow},
        {"half of the engines fail half of their calls", Fault::HalfFailing},
        {"one engine dead", Fault::OneDead},
        {"one engine tenfold slow", Fault::OneSlow},
        {"one engine leaving", Fault::OneLeaving}};
    for (const auto &[name, fault] : faults) {
        fmt::print("routing: {}\n", name);
        for (const char *policy : {"power-of-two", "least-in-flight", "round-robin"}) {
            routing(policy, fault);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_only.empty() || FLAGS_only == "admission") {
        compareAdmission();
    }
    if (FLAGS_only.empty() || FLAGS_only == "shares") {
        compareShares();
    }
    if (FLAGS_only.empty() || FLAGS_only == "routing") {
        compareRouting();
    }
    return 0;
}
