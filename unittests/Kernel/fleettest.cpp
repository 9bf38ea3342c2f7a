//===- fleettest.cpp - Tests of hundreds of daemons -----------------------===//

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Under a sanitizer a fleet takes some twenty times as long, and what that looks for does not
// hang on the size: the same checks run on a smaller one.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int fewHosts = 60;
constexpr int manyHosts = 150;
#else
constexpr int fewHosts = 100;
constexpr int manyHosts = 300;
#endif

} // namespace

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
    CHECK(FleetTraffic::total(traffic.messages) > std::size_t{60} * secondsPlayed);
    for (const std::string &host : fleet.hosts()) {
        const std::uint64_t made =
            fleet.control(host).membership().listsVersion() - before.at(host);
        // A relay hears of each other data centre apart.
        const std::uint64_t most = fleet.isAble(host) ? 8 : 3;
        CHECK(made <= most * secondsPlayed);
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

namespace {

/// What one daemon of a fleet sends in a settled second, of those that are many, and of those
/// that are able.
struct SettledSecond
{
    double messagesOfMany = 0; ///< Mean.
    double bytesOfMany = 0;
    double bytesHeardByMany = 0;
    std::size_t mostMessages = 0; ///< Of any, relays among them.
    std::size_t mostLinks = 0;
};

SettledSecond settledSecond(ControlFleet &fleet)
{
    (void)fleet.takeTraffic();
    constexpr int secondsPlayed = 4;
    fleet.run(seconds(secondsPlayed));
    FleetTraffic traffic = fleet.takeTraffic();
    SettledSecond result;
    double many = 0;
    for (const std::string &host : fleet.hosts()) {
        if (fleet.isAble(host)) {
            continue;
        }
        many += 1;
        result.messagesOfMany += traffic.messages[host];
        result.bytesOfMany += static_cast<double>(traffic.bytes[host]);
        result.bytesHeardByMany += static_cast<double>(traffic.heardBytes[host]);
    }
    result.messagesOfMany /= many * secondsPlayed;
    result.bytesOfMany /= many * secondsPlayed;
    result.bytesHeardByMany /= many * secondsPlayed;
    result.mostMessages = FleetTraffic::most(traffic.messages) / secondsPlayed;
    result.mostLinks = traffic.mostTargets();
    return result;
}

} // namespace

/// What one of the many daemons sends and hears is the same among many as among few, and what
/// a relay does grows with its data centre's hosts at a slower pace.
TEST(Fleet, WhatADaemonTellsDoesNotGrowWithTheHosts)
{
    ControlFleet small({.hosts = fewHosts, .endpoints = 100});
    small.startAll();
    small.run(seconds(6));
    const SettledSecond few = settledSecond(small);
    ControlFleet large({.hosts = manyHosts, .endpoints = 100});
    large.startAll();
    large.run(seconds(6));
    const SettledSecond many = settledSecond(large);
    LONGS_EQUAL(manyHosts - 1, large.fewestPeers());
    CHECK(many.messagesOfMany <= few.messagesOfMany);
    CHECK(many.messagesOfMany < 5);
    CHECK(many.bytesOfMany < few.bytesOfMany * 1.1);
    CHECK(many.bytesHeardByMany < few.bytesHeardByMany * 1.1);
    CHECK(many.bytesHeardByMany < 1000);
    // Three times the hosts, two thirds of their messages each.
    CHECK(many.mostMessages < few.mostMessages * 5 / 2);
    // The control: all tell all.
    ControlFleet mesh({.hosts = fewHosts, .endpoints = 100, .maxMeshPeers = 1000});
    mesh.startAll();
    mesh.run(seconds(3));
    CHECK(settledSecond(mesh).messagesOfMany > few.messagesOfMany * 20);
}

/// All end and start again, and the store is away: they know each other and the same
/// configuration within the time that a change may take.
TEST(Fleet, AllThatStartAtOnceMeetAndAgree)
{
    ControlFleet fleet({.hosts = manyHosts, .endpoints = 100});
    fleet.startAll();
    fleet.run(seconds(4));
    LONGS_EQUAL(manyHosts, fleet.upToDate());
    LONGS_EQUAL(manyHosts - 1, fleet.fewestPeers());
    fleet.endAll();
    fleet.run(seconds(1));
    fleet.startAll();
    (void)fleet.takeTraffic();
    fleet.run(seconds(4));
    const FleetTraffic start = fleet.takeTraffic();
    LONGS_EQUAL(manyHosts, fleet.upToDate());
    LONGS_EQUAL(manyHosts - 1, fleet.fewestPeers());
    // A start of all: not more than a settled daemon sends in a few times as long.
    CHECK(FleetTraffic::total(start.messages) < std::size_t{manyHosts} * 60);
    fleet.declare("ClientAccount", "drivers", R"({"weight": 2})");
    fleet.run(milliseconds(500));
    LONGS_EQUAL(manyHosts, fleet.upToDate());
}

/// A relay that dies is replaced: a change is in force everywhere, and all know of all.
TEST(Fleet, WithoutItsRelaysADataCentreGoesOn)
{
    ControlFleet fleet({.hosts = 150, .endpoints = 50});
    fleet.startAll();
    fleet.run(seconds(5));
    for (const char *able : {"h0000", "h0005", "h0010"}) {
        fleet.kill(able);
    }
    fleet.run(seconds(5));
    LONGS_EQUAL(146, fleet.fewestPeers());
    fleet.declare("ClientAccount", "drivers", R"({"weight": 3})");
    fleet.run(milliseconds(2500));
    LONGS_EQUAL(147, fleet.upToDate());
}

/// Once the store is back, not all ask it at once: a few of each data centre do.
TEST(Fleet, AStoreThatReturnsIsNotAskedByAll)
{
    ControlFleet fleet({.hosts = 150, .endpoints = 50});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.takeTraffic();
    fleet.setStoreAway(true);
    fleet.run(seconds(9));
    const FleetTraffic away = fleet.takeTraffic();
    fleet.setStoreAway(false);
    fleet.declare("ClientAccount", "drivers", R"({"weight": 4})");
    fleet.run(seconds(2));
    const FleetTraffic back = fleet.takeTraffic();
    LONGS_EQUAL(150, fleet.upToDate());
    const std::size_t all = 150;
    CHECK(FleetTraffic::total(back.storeCalls) < all);
    for (const auto &[what, hosts] : back.readers) {
        CHECK_TEXT(hosts.size() < all / 2, what.c_str());
    }
    CHECK(FleetTraffic::total(away.storeCalls) < all * 10);
}

/// What each of those that start together asks of the store: to be declared, for the hosts,
/// and for what is declared. Few watch.
TEST(Fleet, AStartOfAllAsksLittleOfTheStore)
{
    ControlFleet fleet({.hosts = 150, .endpoints = 50});
    const std::size_t all = 150;
    for (int start = 0; start < 2; ++start) {
        fleet.startAll();
        fleet.run(seconds(5));
        const FleetTraffic traffic = fleet.takeTraffic();
        LONGS_EQUAL(all, fleet.upToDate());
        LONGS_EQUAL(all - 1, fleet.fewestPeers());
        LONGS_EQUAL(all, traffic.storeCalls.at("put hosts"));
        CHECK(FleetTraffic::total(traffic.storeCalls) < all * 4);
        fleet.endAll();
    }
}

/// A request comes again at a host that none of the others hears of itself, and ends an endpoint
/// each time. With three ends behind it all know it, well within the 3 s in which daemons that
/// are in touch have to; it is told to two hosts each time, however many there are.
TEST(Fleet, WhatEndsEndpointsIsKnownEverywhereAfterTheThirdEnd)
{
    constexpr std::size_t hosts = fewHosts;
    const Hash128 digest = hash128("ends endpoints");
    ControlFleet fleet({.hosts = fewHosts, .endpoints = 20});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.takeTraffic();
    for (const char *host : {"h0021", "h0042", "h0053"}) {
        LONGS_EQUAL(0, fleet.keptFrom(digest));
        fleet.endUnder(host, digest, std::string("gone-") + host);
        fleet.run(milliseconds(400));
    }
    const FleetTraffic traffic = fleet.takeTraffic();
    CHECK(traffic.kinds.at("crash reports") <= 6);
    CHECK(traffic.storeCalls.at("put Quarantine") <= 3);
    fleet.run(milliseconds(600));
    LONGS_EQUAL(hosts, fleet.keptFrom(digest));

    // It outlives the end of all daemons.
    fleet.endAll();
    fleet.startAll();
    fleet.run(milliseconds(2500));
    LONGS_EQUAL(hosts, fleet.keptFrom(digest));
}

TEST(Fleet, WhatEndsEndpointsWhileTheStoreIsAwayIsDeclaredWhenItIsBack)
{
    constexpr std::size_t hosts = 30;
    const Hash128 digest = hash128("ends endpoints");
    ControlFleet fleet({.hosts = hosts, .dataCentres = 3, .endpoints = 20});
    fleet.startAll();
    fleet.run(seconds(6));
    fleet.setStoreAway(true);
    for (const char *host : {"h0021", "h0012", "h0013"}) {
        fleet.run(milliseconds(400));
        fleet.endUnder(host, digest, std::string("gone-") + host);
    }
    fleet.run(seconds(3));
    CHECK(fleet.keptFrom(digest) >= 1);
    CHECK(fleet.keptFrom(digest) <= 3);
    fleet.setStoreAway(false);
    fleet.run(seconds(3));
    LONGS_EQUAL(hosts, fleet.keptFrom(digest));
}
