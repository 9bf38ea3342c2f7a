//===- slotsharestest.cpp - Tests of slot shares --------------------------===//

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

/// Two accounts with weights 3 and 1, and two endpoints with four slots each: twelve calls may be
/// in flight, nine and three of the accounts if both need more.
struct SharesFixture
{
    SharesFixture()
        : snapshot(buildSnapshot(smallConfiguration(2, 4), 1, "dc1", nullptr))
    {
    }
    AccountLoad &load(const std::string &account) const
    {
        return *snapshot->account(account)->loads.at("engines");
    }
    /// Returns how many calls of \p account may be in flight from this daemon.
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

sim::LoadSetup threeDaemonsAndThreeEngines()
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

/// Returns the attainment of an account with low demand while another one demands four times the
/// capacity.
template <GuardPolicy G>
double attainmentUnderOverload()
{
    sim::LoadWorld<G> world(threeDaemonsAndThreeEngines());
    world.add({"small", "answer", 36, seconds(0), seconds(6), -1, 1});
    world.add({"large", "answer", 480, seconds(1), seconds(6), -1, 1});
    world.run(seconds(8));
    return world.report().accounts().at("small").attainment();
}

/// Two accounts demand more than the capacity, one through a single daemon and one through all.
/// Returns the ratio of the first account's engine time to the second's.
double singleDaemonShare(bool exchangesUse)
{
    sim::LoadSetup setup = threeDaemonsAndThreeEngines();
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

TEST(SlotShares, NoAccountIsLimitedWhileAllDemandFits)
{
    SharesFixture fixture;
    fixture.load("drivers").demand = 8;
    fixture.load("lab").demand = 4;
    CHECK_EQUAL(100, fixture.allowed("drivers"));
    CHECK_EQUAL(100, fixture.allowed("lab"));
}

TEST(SlotShares, SlotsAreDividedByWeightIfDemandExceedsThem)
{
    SharesFixture fixture;
    fixture.load("drivers").demand = 100;
    fixture.load("lab").demand = 100;
    CHECK_EQUAL(9, fixture.allowed("drivers"));
    CHECK_EQUAL(3, fixture.allowed("lab"));
}

TEST(SlotShares, UnusedShareGoesToTheOtherAccounts)
{
    SharesFixture fixture;
    fixture.load("drivers").demand = 2;
    fixture.load("lab").demand = 100;
    CHECK_EQUAL(100, fixture.allowed("drivers"));
    CHECK_EQUAL(10, fixture.allowed("lab"));
}

TEST(SlotShares, ADaemonGetsAShareInProportionToItsDemand)
{
    SharesFixture fixture;
    fixture.load("drivers").demand = 20;
    fixture.load("drivers").peerDemand = 40;
    fixture.load("lab").demand = 100;
    CHECK_EQUAL(3, fixture.allowed("drivers"));
}

TEST(SlotShares, EveryAccountWithDemandMayHaveOneCall)
{
    SharesFixture fixture;
    fixture.load("drivers").demand = 1;
    fixture.load("drivers").peerDemand = 5000;
    fixture.load("lab").demand = 1;
    CHECK_EQUAL(1, fixture.allowed("drivers"));
}

TEST(SlotShares, OneAccountsOverloadDoesNotStarveOthers)
{
    CHECK(attainmentUnderOverload<AllGuards>() > 0.95);
    // Control: first come, first served.
    CHECK(attainmentUnderOverload<WithoutShares>() < 0.7);
}

TEST(SlotShares, SharesDoNotDependOnTheNumberOfDaemonsAnAccountUses)
{
    CHECK(singleDaemonShare(true) > 0.75);
    // Control: daemons do not exchange usage.
    CHECK(singleDaemonShare(false) < 0.6);
}

TEST_GROUP(PeerDemand){};

TEST(PeerDemand, SumsReportsOfPeersAndExpiresThoseOfLostPeers)
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

TEST(PeerDemand, TheEndOfDemandIsReported)
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
