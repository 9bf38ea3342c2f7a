//===- fleettest.cpp - Tests with hundreds of daemons ---------------------===//

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Under a sanitizer a fleet takes about twenty times as long, and the faults that sanitizers
// detect do not depend on its size. The same checks run on a smaller fleet.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int smallFleetHosts = 60;
constexpr int largeFleetHosts = 150;
#else
constexpr int smallFleetHosts = 100;
constexpr int largeFleetHosts = 300;
#endif

} // namespace

TEST_GROUP(Fleet){};

/// The lists are read at each message, so rebuilding them each time would cost time that grows
/// with the number of hosts.
TEST(Fleet, HostListsAreRebuiltAtChangesAndNotAtMessages)
{
    ControlFleet fleet({.hosts = 60, .dataCentres = 3, .endpoints = 10});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.drainTraffic();
    std::map<std::string, std::uint64_t> before;
    for (const std::string &host : fleet.hosts()) {
        before[host] = fleet.control(host).membership().listsVersion();
    }
    constexpr int simulatedSeconds = 4;
    fleet.run(seconds(simulatedSeconds));
    const FleetTraffic traffic = fleet.drainTraffic();
    CHECK(FleetTraffic::total(traffic.messages) > std::size_t{60} * simulatedSeconds);
    for (const std::string &host : fleet.hosts()) {
        const std::uint64_t rebuilt =
            fleet.control(host).membership().listsVersion() - before.at(host);
        // A relay receives a separate report of each other data centre.
        const std::uint64_t maxRebuilds = fleet.hasHighCapacity(host) ? 8 : 3;
        CHECK(rebuilt <= maxRebuilds * simulatedSeconds);
    }
}

/// A dead host must be removed from the lists although no message announces it.
TEST(Fleet, DeadHostIsRemovedFromTheLists)
{
    ControlFleet fleet({.hosts = 8, .dataCentres = 1});
    fleet.startAll();
    fleet.run(seconds(2));
    LONGS_EQUAL(7, fleet.minLivePeers());
    fleet.kill("h0007");
    fleet.run(milliseconds(1200));
    LONGS_EQUAL(6, fleet.minLivePeers());
    LONGS_EQUAL(7, fleet.control("h0000").membership().candidates().size());
}

namespace {

/// The traffic per second of a fleet in steady state. The means are per daemon without high
/// capacity, the maxima over all daemons.
struct SteadyTraffic
{
    double meanMessages = 0;
    double meanBytes = 0;
    double meanReceivedBytes = 0;
    std::size_t maxMessages = 0; ///< Includes relays.
    std::size_t maxLinks = 0;
};

SteadyTraffic steadyTraffic(ControlFleet &fleet)
{
    (void)fleet.drainTraffic();
    constexpr int simulatedSeconds = 4;
    fleet.run(seconds(simulatedSeconds));
    FleetTraffic traffic = fleet.drainTraffic();
    SteadyTraffic result;
    double many = 0;
    for (const std::string &host : fleet.hosts()) {
        if (fleet.hasHighCapacity(host)) {
            continue;
        }
        many += 1;
        result.meanMessages += traffic.messages[host];
        result.meanBytes += static_cast<double>(traffic.bytes[host]);
        result.meanReceivedBytes += static_cast<double>(traffic.receivedBytes[host]);
    }
    result.meanMessages /= many * simulatedSeconds;
    result.meanBytes /= many * simulatedSeconds;
    result.meanReceivedBytes /= many * simulatedSeconds;
    result.maxMessages = FleetTraffic::maxOf(traffic.messages) / simulatedSeconds;
    result.maxLinks = traffic.maxTargets();
    return result;
}

} // namespace

/// The traffic of a daemon without high capacity must not depend on the number of hosts, and that
/// of a relay must grow more slowly than the hosts of its data centre.
TEST(Fleet, TrafficOfADaemonDoesNotGrowWithTheNumberOfHosts)
{
    ControlFleet small({.hosts = smallFleetHosts, .endpoints = 100});
    small.startAll();
    small.run(seconds(6));
    const SteadyTraffic few = steadyTraffic(small);
    ControlFleet large({.hosts = largeFleetHosts, .endpoints = 100});
    large.startAll();
    large.run(seconds(6));
    const SteadyTraffic many = steadyTraffic(large);
    LONGS_EQUAL(largeFleetHosts - 1, large.minLivePeers());
    CHECK(many.meanMessages <= few.meanMessages);
    CHECK(many.meanMessages < 5);
    CHECK(many.meanBytes < few.meanBytes * 1.1);
    CHECK(many.meanReceivedBytes < few.meanReceivedBytes * 1.1);
    CHECK(many.meanReceivedBytes < 1000);
    // With three times the hosts, the maximum grows by less than a factor of 2.5.
    CHECK(many.maxMessages < few.maxMessages * 5 / 2);
    // As a control, a full mesh.
    ControlFleet mesh({.hosts = smallFleetHosts, .endpoints = 100, .maxMeshPeers = 1000});
    mesh.startAll();
    mesh.run(seconds(3));
    CHECK(steadyTraffic(mesh).meanMessages > few.meanMessages * 20);
}

/// All daemons stop and start again together. They must discover each other and agree on the
/// configuration within the time that a change may take.
TEST(Fleet, DaemonsThatStartTogetherDiscoverEachOtherAndAgree)
{
    ControlFleet fleet({.hosts = largeFleetHosts, .endpoints = 100});
    fleet.startAll();
    fleet.run(seconds(4));
    LONGS_EQUAL(largeFleetHosts, fleet.upToDateHosts());
    LONGS_EQUAL(largeFleetHosts - 1, fleet.minLivePeers());
    fleet.endAll();
    fleet.run(seconds(1));
    fleet.startAll();
    (void)fleet.drainTraffic();
    fleet.run(seconds(4));
    const FleetTraffic start = fleet.drainTraffic();
    LONGS_EQUAL(largeFleetHosts, fleet.upToDateHosts());
    LONGS_EQUAL(largeFleetHosts - 1, fleet.minLivePeers());
    // The start takes no more messages than a few times as long in steady state.
    CHECK(FleetTraffic::total(start.messages) < std::size_t{largeFleetHosts} * 60);
    fleet.declare("ClientAccount", "drivers", R"({"weight": 2})");
    fleet.run(milliseconds(500));
    LONGS_EQUAL(largeFleetHosts, fleet.upToDateHosts());
}

/// Dead relays must be replaced: all daemons still know each other and apply a change.
TEST(Fleet, DataCentreContinuesWithoutItsRelays)
{
    ControlFleet fleet({.hosts = 150, .endpoints = 50});
    fleet.startAll();
    fleet.run(seconds(5));
    for (const char *host : {"h0000", "h0005", "h0010"}) {
        fleet.kill(host);
    }
    fleet.run(seconds(5));
    LONGS_EQUAL(146, fleet.minLivePeers());
    fleet.declare("ClientAccount", "drivers", R"({"weight": 3})");
    fleet.run(milliseconds(2500));
    LONGS_EQUAL(147, fleet.upToDateHosts());
}

/// After an outage of the store, only a few daemons of each data centre may call it.
TEST(Fleet, FewDaemonsCallAStoreAfterAnOutage)
{
    ControlFleet fleet({.hosts = 150, .endpoints = 50});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.drainTraffic();
    fleet.setStoreUnavailable(true);
    fleet.run(seconds(9));
    const FleetTraffic outage = fleet.drainTraffic();
    fleet.setStoreUnavailable(false);
    fleet.declare("ClientAccount", "drivers", R"({"weight": 4})");
    fleet.run(seconds(2));
    const FleetTraffic recovery = fleet.drainTraffic();
    LONGS_EQUAL(150, fleet.upToDateHosts());
    const std::size_t all = 150;
    CHECK(FleetTraffic::total(recovery.storeCalls) < all);
    for (const auto &[what, hosts] : recovery.readers) {
        CHECK_TEXT(hosts.size() < all / 2, what.c_str());
    }
    CHECK(FleetTraffic::total(outage.storeCalls) < all * 10);
}

/// Daemons that start together each declare themselves, read the host list and list the
/// objects. Only few watch.
TEST(Fleet, StartOfAllDaemonsTakesFewStoreCalls)
{
    ControlFleet fleet({.hosts = 150, .endpoints = 50});
    const std::size_t all = 150;
    for (int start = 0; start < 2; ++start) {
        fleet.startAll();
        fleet.run(seconds(5));
        const FleetTraffic traffic = fleet.drainTraffic();
        LONGS_EQUAL(all, fleet.upToDateHosts());
        LONGS_EQUAL(all - 1, fleet.minLivePeers());
        LONGS_EQUAL(all, traffic.storeCalls.at("put hosts"));
        CHECK(FleetTraffic::total(traffic.storeCalls) < all * 4);
        fleet.endAll();
    }
}

/// A request arrives at three hosts that exchange no messages directly, and crashes an endpoint
/// each time. After the third crash all daemons must have quarantined it, within 1 s here and
/// so well within the 3 s that connected daemons may take. Each crash is reported to two hosts,
/// regardless of the number of hosts.
TEST(Fleet, RequestThatCrashesEndpointsIsQuarantinedEverywhereAfterTheThirdCrash)
{
    constexpr std::size_t hosts = smallFleetHosts;
    const Hash128 digest = hash128("ends endpoints");
    ControlFleet fleet({.hosts = smallFleetHosts, .endpoints = 20});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.drainTraffic();
    for (const char *host : {"h0021", "h0042", "h0053"}) {
        LONGS_EQUAL(0, fleet.hostsWithQuarantine(digest));
        fleet.breakCall(host, digest, std::string("gone-") + host);
        fleet.run(milliseconds(400));
    }
    const FleetTraffic traffic = fleet.drainTraffic();
    CHECK(traffic.kinds.at("crash reports") <= 6);
    CHECK(traffic.storeCalls.at("put Quarantine") <= 3);
    fleet.run(milliseconds(600));
    LONGS_EQUAL(hosts, fleet.hostsWithQuarantine(digest));

    // The quarantine persists when all daemons restart.
    fleet.endAll();
    fleet.startAll();
    fleet.run(milliseconds(2500));
    LONGS_EQUAL(hosts, fleet.hostsWithQuarantine(digest));
}

TEST(Fleet, QuarantineDuringAnOutageOfTheStoreIsDeclaredAfterIt)
{
    constexpr std::size_t hosts = 30;
    const Hash128 digest = hash128("ends endpoints");
    ControlFleet fleet({.hosts = hosts, .dataCentres = 3, .endpoints = 20});
    fleet.startAll();
    fleet.run(seconds(6));
    fleet.setStoreUnavailable(true);
    for (const char *host : {"h0021", "h0012", "h0013"}) {
        fleet.run(milliseconds(400));
        fleet.breakCall(host, digest, std::string("gone-") + host);
    }
    fleet.run(seconds(3));
    CHECK(fleet.hostsWithQuarantine(digest) >= 1);
    CHECK(fleet.hostsWithQuarantine(digest) <= 3);
    fleet.setStoreUnavailable(false);
    fleet.run(seconds(3));
    LONGS_EQUAL(hosts, fleet.hostsWithQuarantine(digest));
}
