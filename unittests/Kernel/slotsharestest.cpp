//===- slotsharestest.cpp - Tests of shares among accounts and daemons ----===//

#include "kernelfixture.h"

#include "loadworld.h"

#include "harelink/Kernel/peerdemand.h"
#include "harelink/Kernel/slotshares.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two accounts, of weight 3 and 1, before two endpoints with four slots each:
/// twelve calls in flight, nine and three for them where both want more.
struct Division
{
    Division()
        : snapshot(buildSnapshot(smallConfiguration(2, 4), 1, "dc1", nullptr))
    {
    }
    AccountLoad &load(const std::string &account) const
    {
        return *snapshot->account(account)->loads.at("engines");
    }
    /// How many calls of \p account may be in flight here.
    int allowed(const std::string &account)
    {
        SlotShares shares;
        shares.update(*snapshot, *snapshot->pool("engines"), clock.now());
        AccountLoad &own = load(account);
        for (own.inFlight = 0; own.inFlight < 100; ++own.inFlight) {
            if (!shares.mayDispatch(*snapshot, account)) {
                return own.inFlight;
            }
        }
        return own.inFlight;
    }

    ManualClock clock;
    std::unique_ptr<const Snapshot> snapshot;
};

struct WithoutShares : AllGuards
{
    static constexpr bool ordersByUsage = false;
    static constexpr bool sharesSlots = false;
};

sim::LoadSetup threeDaemonsBeforeThreeEngines()
{
    sim::LoadSetup setup;
    setup.hosts = 3;
    setup.pools = {{"engines", 3, 4, milliseconds(100), 0}};
    PipelineSpec pipeline;
    pipeline.name = "answer";
    pipeline.stages = {{"generate", "engines"}};
    pipeline.deadline = milliseconds(500);
    setup.pipelines = {pipeline};
    setup.accounts = {{"small", 1, ""}, {"large", 1, ""}, {"spread", 1, ""}};
    return setup;
}

/// Attainment of an account that wants little, while another wants four times
/// what there is.
template <GuardPolicy G>
double attainmentBesideAFlood()
{
    sim::LoadWorld<G> world(threeDaemonsBeforeThreeEngines());
    world.add({"small", "answer", 36, seconds(0), seconds(6), -1, 1});
    world.add({"large", "answer", 480, seconds(1), seconds(6), -1, 1});
    world.run(seconds(8));
    return world.report().accounts().at("small").attainment();
}

/// Two accounts want more than there is, one through one daemon and one through
/// all: the engines' time of the first for that of the second.
double shareOfTheOneDaemonFlood(bool exchangesUse)
{
    sim::LoadSetup setup = threeDaemonsBeforeThreeEngines();
    setup.exchangesUse = exchangesUse;
    sim::LoadWorld<AllGuards> world(setup);
    world.add({"large", "answer", 240, seconds(0), seconds(8), 0, 1});
    world.add({"spread", "answer", 240, seconds(0), seconds(8), -1, 1});
    world.run(seconds(10));
    const auto &accounts = world.report().accounts();
    return accounts.at("large").seconds / accounts.at("spread").seconds;
}

} // namespace

TEST_GROUP(SlotShares){};

TEST(SlotShares, NobodyIsLimitedWhileAllDemandFits)
{
    Division division;
    division.load("drivers").demand = 8;
    division.load("lab").demand = 4;
    CHECK_EQUAL(100, division.allowed("drivers"));
    CHECK_EQUAL(100, division.allowed("lab"));
}

TEST(SlotShares, DemandAboveTheSlotsIsDividedByWeight)
{
    Division division;
    division.load("drivers").demand = 100;
    division.load("lab").demand = 100;
    CHECK_EQUAL(9, division.allowed("drivers"));
    CHECK_EQUAL(3, division.allowed("lab"));
}

TEST(SlotShares, WhatOneDoesNotWantGoesToTheOthers)
{
    Division division;
    division.load("drivers").demand = 2;
    division.load("lab").demand = 100;
    CHECK_EQUAL(100, division.allowed("drivers"));
    CHECK_EQUAL(10, division.allowed("lab"));
}

TEST(SlotShares, ADaemonTakesItsPartOfAnAccountsShare)
{
    Division division;
    division.load("drivers").demand = 20;
    division.load("drivers").peerDemand = 40;
    division.load("lab").demand = 100;
    CHECK_EQUAL(3, division.allowed("drivers"));
}

TEST(SlotShares, EveryAccountThatWaitsMaySendSomething)
{
    Division division;
    division.load("drivers").demand = 1;
    division.load("drivers").peerDemand = 5000;
    division.load("lab").demand = 1;
    CHECK_EQUAL(1, division.allowed("drivers"));
}

TEST(SlotShares, AFloodDoesNotCrowdOutOthers)
{
    CHECK(attainmentBesideAFlood<AllGuards>() > 0.95);
    // The control: what comes first goes first.
    CHECK(attainmentBesideAFlood<WithoutShares>() < 0.7);
}

TEST(SlotShares, ItDoesNotMatterThroughWhichDaemonsAnAccountComes)
{
    CHECK(shareOfTheOneDaemonFlood(true) > 0.75);
    // The control: daemons that do not hear of each other.
    CHECK(shareOfTheOneDaemonFlood(false) < 0.6);
}

TEST_GROUP(PeerDemand){};

TEST(PeerDemand, SumsWhatPeersToldAndForgetsTheSilent)
{
    ManualClock clock;
    PeerDemand demand(clock);
    demand.update("h2", {{"drivers", "engines", {}, 3}});
    clock.advance(milliseconds(800));
    demand.update("h3", {{"drivers", "engines", {}, 4}});
    const auto first = demand.changes();
    CHECK_EQUAL(1u, first.size());
    CHECK_EQUAL(7, first[0].calls);
    clock.advance(milliseconds(400));
    const auto second = demand.changes();
    CHECK_EQUAL(1u, second.size());
    CHECK_EQUAL(4, second[0].calls);
    clock.advance(milliseconds(2000));
    const auto third = demand.changes();
    CHECK_EQUAL(1u, third.size());
    CHECK_EQUAL(0, third[0].calls);
    clock.advance(milliseconds(100));
    CHECK_EQUAL(0u, demand.changes().size());
}

TEST(PeerDemand, ADemandThatEndedIsTold)
{
    ManualClock clock;
    PeerDemand demand(clock);
    demand.update("h2", {{"drivers", "engines", {}, 3}});
    CHECK_EQUAL(1u, demand.changes().size());
    demand.update("h2", {});
    clock.advance(milliseconds(100));
    const auto ended = demand.changes();
    CHECK_EQUAL(1u, ended.size());
    CHECK_EQUAL(0, ended[0].calls);
}
