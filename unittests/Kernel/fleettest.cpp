//===- fleettest.cpp - Tests of hundreds of daemons -----------------------===//

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Fleet){};

/// What is asked for at each message must not cost what grows with the hosts.
TEST(Fleet, ListsOfHostsAreMadeAtChangesAndNotAtMessages)
{
    ControlFleet fleet({.hosts = 60, .dataCentres = 3, .endpoints = 10});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.takeTraffic();
    std::map<std::string, std::uint64_t> before;
    for (const std::string &host : fleet.hosts()) {
        before[host] = fleet.control(host).membership().listsVersion();
    }
    constexpr int secondsPlayed = 4;
    fleet.run(seconds(secondsPlayed));
    const FleetTraffic traffic = fleet.takeTraffic();
    CHECK(FleetTraffic::total(traffic.messages) > 60 * secondsPlayed);
    for (const std::string &host : fleet.hosts()) {
        const std::uint64_t made =
            fleet.control(host).membership().listsVersion() - before.at(host);
        // A relay hears of each other data centre apart.
        CHECK(made <= (fleet.isAble(host) ? 8 : 3) * secondsPlayed);
    }
}

/// A host that falls silent leaves the lists though no message says so.
TEST(Fleet, AHostThatFallsSilentLeavesTheLists)
{
    ControlFleet fleet({.hosts = 8, .dataCentres = 1});
    fleet.startAll();
    fleet.run(seconds(2));
    LONGS_EQUAL(7, fleet.fewestPeers());
    fleet.kill("h0007");
    fleet.run(milliseconds(1200));
    LONGS_EQUAL(6, fleet.fewestPeers());
    LONGS_EQUAL(7, fleet.control("h0000").membership().candidates().size());
}
