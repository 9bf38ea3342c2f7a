//===- largefleettest.cpp - Costs that grow with the fleet ----------------===//
///
/// \file
/// What a daemon does for the fleet must not grow with the number of hosts and endpoints more
/// than its configuration does. Controls lack the mechanism that bounds it.
///
//===----------------------------------------------------------------------===//

#include "fleetfixture.h"

#include "harelink/Kernel/controlmachineimpl.h"
#include "harelink/Kernel/hostlistlog.h"
#include "harelink/Kernel/hostlistpoller.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ListsEverywhere : AllGuards
{
    static constexpr bool listsAtFewHosts = false;
};

struct ComparesAllVersions : AllGuards
{
    static constexpr bool comparesByBucket = false;
};

struct PublishesEachChange : AllGuards
{
    static constexpr bool joinsEndpointChanges = false;
};

// Under a sanitizer a fleet takes about twenty times as long; the same checks run on smaller ones.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int startingHosts = 90;
constexpr int fewHosts = 30;
#else
constexpr int startingHosts = 150;
constexpr int fewHosts = 60;
#endif
constexpr int manyHosts = 3 * fewHosts;

/// Returns the number of hosts that list the objects when all daemons start again.
template <GuardPolicy G>
std::size_t listingHosts()
{
    BasicControlFleet<G> fleet({.hosts = startingHosts, .dataCentres = 3, .endpoints = 50});
    fleet.startAll();
    fleet.run(seconds(5));
    fleet.endAll();
    fleet.run(seconds(1));
    fleet.startAll();
    (void)fleet.drainTraffic();
    fleet.run(seconds(3));
    LONGS_EQUAL(startingHosts, fleet.upToDateHosts());
    std::size_t listing = 0;
    for (const auto &[call, readers] : fleet.drainTraffic().readers) {
        listing = std::max(listing, call.starts_with("list") ? readers.size() : 0);
    }
    return listing;
}

/// Two daemons of a large fleet that report their hashes to each other, as heartbeats do.
template <GuardPolicy G>
class GossipPair
{
public:
    explicit GossipPair(int objects)
    {
        for (Side *side : {&m_first, &m_second}) {
            for (int i = 0; i < objects; ++i) {
                (void)side->table.apply(endpoint(i, static_cast<std::uint64_t>(i) + 1));
            }
            side->table.discardUpdates();
            side->gossip.setRelayed(true);
            side->gossip.setListed(true);
        }
        m_first.membership.recordMessage(heartbeat("b"));
        m_second.membership.recordMessage(heartbeat("a"));
    }
    static PlatformObject endpoint(int index, Version version)
    {
        return {"Endpoint", fmt::format("e{}", index), version, false,
                fmt::format(R"({{"kind": "Endpoint", "name": "e{}", "spec": {{"pool": "engines",
                                "address": "10.0.{}.{}:80", "dataCentre": "dc1"}}}})",
                            index, index / 200, index % 200 + 1)};
    }
    BasicConfigTable<G> &first() { return m_first.table; }
    BasicConfigTable<G> &second() { return m_second.table; }
    /// Lets both report their hashes for a while. Returns the bytes that they send each other.
    std::size_t exchangedBytes(Duration time)
    {
        std::size_t bytes = 0;
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(milliseconds(100));
            reportHash(m_first, "a", m_second);
            reportHash(m_second, "b", m_first);
            for (int hop = 0; hop < 4; ++hop) {
                bytes += deliver(m_first, "a", m_second) + deliver(m_second, "b", m_first);
            }
        }
        return bytes;
    }

private:
    struct Side
    {
        Side(const Clock &clock, const std::string &name)
            : membership(clock, name, name + ":1", "dc1", 1)
            , gossip(clock, membership, table, 2)
        {
        }
        Membership membership;
        BasicConfigTable<G> table;
        BasicConfigGossip<G> gossip;
    };

    static PeerMessage heartbeat(const std::string &host)
    {
        Heartbeat heartbeat;
        heartbeat.dataCentre = "dc1";
        heartbeat.address = host + ":1";
        return {host, 1, heartbeat};
    }
    static void reportHash(Side &from, const std::string &name, Side &to)
    {
        ConfigDigest digest;
        digest.summary = from.table.summary();
        to.gossip.handle(name, digest);
        from.gossip.tick();
    }
    static std::size_t deliver(Side &from, const std::string &name, Side &to)
    {
        std::size_t bytes = 0;
        for (const PeerSend &send : from.gossip.drainSends()) {
            bytes += encodePeerMessage(send.message).size();
            if (const auto *push = std::get_if<ConfigPush>(&send.message.content)) {
                (void)to.gossip.handle(*push);
            } else {
                to.gossip.handle(name, std::get<ConfigDigest>(send.message.content));
            }
        }
        return bytes;
    }

    ManualClock m_clock;
    Side m_first{m_clock, "a"};
    Side m_second{m_clock, "b"};
};

constexpr int comparedObjects = 5000;

/// Returns the bytes by which two daemons that differ in one object find and transfer it.
template <GuardPolicy G>
std::size_t bytesToAgree()
{
    GossipPair<G> pair(comparedObjects);
    (void)pair.first().apply(GossipPair<G>::endpoint(7, 100'000));
    const std::size_t bytes = pair.exchangedBytes(seconds(3));
    CHECK(pair.first().summary() == pair.second().summary());
    return bytes;
}

constexpr int changingEndpoints = 1000;

/// Returns the number of configurations that a daemon publishes in a second in which 200
/// endpoints change one after the other. Also checks what must not wait for other changes.
template <GuardPolicy G>
int publicationsOfChanges()
{
    ManualClock clock;
    ControlOptions options;
    options.host = "h1";
    options.keepsClaims = false;
    options.capacity = 0.12;
    BasicControlMachine<G> machine(clock, options);
    std::vector<PlatformObject> objects;
    objects.reserve(changingEndpoints + 1);
    for (int i = 0; i < changingEndpoints; ++i) {
        objects.push_back(GossipPair<G>::endpoint(i, static_cast<std::uint64_t>(i) + 1));
    }
    objects.push_back({"Pool", "engines", 2000, false,
                       R"({"kind": "Pool", "name": "engines",
                           "spec": {"protocol": "plain-service"}})"});
    machine.tick();
    for (const PlatformCall &call : machine.drainOutput().calls) {
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Ok;
        if (call.operation == PlatformOperation::List) {
            result.objects = objects;
        }
        machine.handle(result);
    }
    CHECK(machine.drainOutput().configChanged);
    int publications = 0;
    for (int i = 0; i < 200; ++i) {
        clock.advance(milliseconds(5));
        machine.handle(PeerMessage{
            "h2", 2,
            ConfigPush({GossipPair<G>::endpoint(i, static_cast<std::uint64_t>(i) + 3000)})});
        publications += machine.drainOutput().configChanged ? 1 : 0;
    }
    // A declaration, such as one that revokes a key, does not wait; nor does the last change stay.
    machine.handle(PeerMessage{
        "h2", 2,
        ConfigPush({{"ClientAccount", "drivers", 4000, false,
                     R"({"kind": "ClientAccount", "name": "drivers", "spec": {"weight": 2}})"}})});
    CHECK(machine.drainOutput().configChanged);
    machine.handle(PeerMessage{"h2", 2, ConfigPush({GossipPair<G>::endpoint(0, 5000)})});
    bool isPublished = false;
    for (int i = 0; i < 10; ++i) {
        clock.advance(milliseconds(10));
        machine.tick();
        isPublished = machine.drainOutput().configChanged || isPublished;
    }
    CHECK(isPublished);
    return publications;
}

HostReport reportOf(int index, Incarnation incarnation = 1)
{
    return {fmt::format("h{:03}", index),
            "dc1",
            fmt::format("10.0.0.{}:1", index),
            incarnation,
            false,
            0.12};
}

std::vector<HostReport> reportsOf(int hosts)
{
    std::vector<HostReport> reports;
    reports.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
        reports.push_back(reportOf(i));
    }
    return reports;
}

/// Returns the bytes that hosts without high capacity receive on average in the three seconds
/// after one host ended, beyond those of three other seconds.
double bytesAfterTheEndOfAHost(int hosts)
{
    ControlFleet fleet({.hosts = hosts, .dataCentres = 3, .endpoints = 20});
    fleet.startAll();
    fleet.run(seconds(6));
    const auto meanBytes = [&fleet] {
        (void)fleet.drainTraffic();
        fleet.run(seconds(3));
        FleetTraffic traffic = fleet.drainTraffic();
        double bytes = 0;
        double count = 0;
        for (const std::string &host : fleet.hosts()) {
            if (!fleet.hasHighCapacity(host)) {
                bytes += static_cast<double>(traffic.receivedBytes[host]);
                count += 1;
            }
        }
        return bytes / count;
    };
    const double steady = meanBytes();
    fleet.kill(fmt::format("h{:04}", hosts - 1));
    return meanBytes() - steady;
}

constexpr std::size_t pushedHosts = 60;

/// Returns the pushes by which a change of \p kind reaches all hosts of a fleet with 300 endpoints.
template <GuardPolicy G>
std::size_t pushesOfAChange(const std::string &kind, const std::string &name,
                            const std::string &spec)
{
    BasicControlFleet<G> fleet({.hosts = pushedHosts, .dataCentres = 3, .endpoints = 300});
    fleet.startAll();
    fleet.run(seconds(6));
    (void)fleet.drainTraffic();
    fleet.declare(kind, name, spec);
    fleet.run(milliseconds(400));
    LONGS_EQUAL(pushedHosts, fleet.upToDateHosts());
    return fleet.drainTraffic().kinds["push"];
}

} // namespace

TEST_GROUP(LargeFleet){};

TEST(LargeFleet, EachChangeOfAnEndpointIsPushedToAHostOnce)
{
    const std::string endpoint =
        R"({"pool": "engines", "address": "10.9.0.1:80", "dataCentre": "dc0", "slots": 8})";
    CHECK(pushesOfAChange<AllGuards>("Endpoint", "e1", endpoint) <= pushedHosts);
    CHECK(pushesOfAChange<ComparesAllVersions>("Endpoint", "e1", endpoint) > pushedHosts);
    // Both pushers of a data centre announce what operators declare.
    CHECK(pushesOfAChange<AllGuards>("ClientAccount", "drivers", R"({"weight": 2})") > pushedHosts);
}

TEST(LargeFleet, FewHostsListTheObjectsAfterAStart)
{
    // Two groups of six watchers in each of three data centres.
    constexpr std::size_t maxListing = 36;
    CHECK(listingHosts<AllGuards>() <= maxListing);
    LONGS_EQUAL(startingHosts, listingHosts<ListsEverywhere>());
}

TEST(LargeFleet, DaemonsThatDifferInOneObjectExchangeFewBytes)
{
    // The hashes of all buckets, and the versions and objects of one.
    CHECK(bytesToAgree<AllGuards>() < 20'000);
    CHECK(bytesToAgree<ComparesAllVersions>() > 100'000);
}

/// A peer that reports one of this daemon's earlier hashes lags behind, so nothing is requested
/// from it. Where objects change all the time, hashes differ all the time.
TEST(LargeFleet, APeerThatLagsBehindIsNotAsked)
{
    GossipPair<AllGuards> pair(comparedObjects);
    std::size_t bytes = 0;
    for (int i = 0; i < 40; ++i) {
        // The second daemon receives each change 100 ms after the first one.
        (void)pair.first().apply(GossipPair<AllGuards>::endpoint(i, 100'000 + i));
        bytes += pair.exchangedBytes(milliseconds(100));
        (void)pair.second().apply(GossipPair<AllGuards>::endpoint(i, 100'000 + i));
    }
    LONGS_EQUAL(0, bytes);
}

TEST(LargeFleet, ChangesOfEndpointsAreJoined)
{
    CHECK(publicationsOfChanges<AllGuards>() <= 20);
    LONGS_EQUAL(200, publicationsOfChanges<PublishesEachChange>());
}

TEST(LargeFleet, TheEndOfAHostCostsAHostNoMoreInALargerFleet)
{
    constexpr double listBytesPerHost = 55;
    const double few = bytesAfterTheEndOfAHost(fewHosts);
    const double many = bytesAfterTheEndOfAHost(manyHosts);
    CHECK(many < few + 100);
    CHECK(many < listBytesPerHost * manyHosts / 10);
}

/// While no host changes, no list may be sent again, to relays neither.
TEST(LargeFleet, NoHostListIsSentWhileNoHostChanges)
{
    ControlFleet fleet({.hosts = manyHosts, .dataCentres = 3, .endpoints = 20});
    fleet.startAll();
    fleet.run(seconds(8));
    (void)fleet.drainTraffic();
    fleet.run(seconds(3));
    LONGS_EQUAL(0, fleet.drainTraffic().kinds["host list"]);
}

TEST(LargeFleet, HostListLogReturnsWhatHasChangedSinceAList)
{
    HostListLog log;
    log.record(reportsOf(10), 1);
    std::vector<HostReport> hosts = reportsOf(11);
    hosts.erase(hosts.begin());
    hosts[1].leaving = true;
    log.record(hosts, 2);
    const std::optional<HostListChanges> changes = log.changesSince(1);
    CHECK(changes.has_value());
    LONGS_EQUAL(2, changes->hosts.size());
    STRCMP_EQUAL("h002", changes->hosts[0].host.c_str());
    STRCMP_EQUAL("h010", changes->hosts[1].host.c_str());
    LONGS_EQUAL(1, changes->removedHosts.size());
    STRCMP_EQUAL("h000", changes->removedHosts[0].c_str());
    CHECK(log.changesSince(2)->hosts.empty());
    CHECK(!log.changesSince(3).has_value());
    // A host that comes back is no longer removed.
    hosts.push_back(reportOf(0, 2));
    log.record(hosts, 4);
    LONGS_EQUAL(0, log.changesSince(1)->removedHosts.size());
}

/// A list that is forgotten, or that shares little with the current one, is sent whole.
TEST(LargeFleet, HostListLogForgetsOldLists)
{
    HostListLog log;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        std::vector<HostReport> hosts = reportsOf(10);
        hosts[0].incarnation = i;
        log.record(hosts, i);
    }
    CHECK(!log.changesSince(1).has_value());
    LONGS_EQUAL(1, log.changesSince(90)->hosts.size());
    std::vector<HostReport> restarted = reportsOf(10);
    for (HostReport &report : restarted) {
        report.incarnation = 1000;
    }
    log.record(restarted, 101);
    CHECK(!log.changesSince(100).has_value());
}

TEST(LargeFleet, HostListPollerJoinsThePagesOfAList)
{
    ManualClock clock;
    const Membership membership(clock, "h1", "h1:1", "dc1", 1);
    const PeerRelay relay(clock, membership, 16);
    HostListPoller poller(clock, membership, relay, false);
    std::uint64_t nextCallId = 1;
    std::vector<PlatformCall> calls;
    const auto answer = [&](const std::vector<std::string> &names, bool more) {
        poller.tick(calls, nextCallId);
        PlatformResult result;
        result.id = calls.back().id;
        result.outcome = PlatformOutcome::Ok;
        result.more = more;
        for (const std::string &name : names) {
            result.objects.push_back({"hosts", name, 1, false, "{}"});
        }
        return poller.handle(result);
    };
    CHECK(!answer({"h1", "h2"}, true).has_value());
    CHECK(!poller.hasRead());
    const std::optional<std::vector<PlatformObject>> list = answer({"h3"}, false);
    LONGS_EQUAL(2, calls.size());
    STRCMP_EQUAL("", calls[0].name.c_str());
    STRCMP_EQUAL("h2", calls[1].name.c_str());
    CHECK(list.has_value());
    LONGS_EQUAL(3, list->size());
}

// A list was taken for complete at a page without a readable host, and the hosts after it for gone.
TEST(LargeFleet, HostListPollerEndsNoListAtAPageWithoutReadableHosts)
{
    ManualClock clock;
    const Membership membership(clock, "h1", "h1:1", "dc1", 1);
    const PeerRelay relay(clock, membership, 16);
    HostListPoller poller(clock, membership, relay, false);
    std::uint64_t nextCallId = 1;
    std::vector<PlatformCall> calls;
    const auto answer = [&](std::vector<PlatformObject> hosts, bool more) {
        clock.advanceTo(poller.nextTick());
        poller.tick(calls, nextCallId);
        PlatformResult result;
        result.id = calls.back().id;
        result.outcome = PlatformOutcome::Ok;
        result.more = more;
        result.objects = std::move(hosts);
        return poller.handle(result);
    };
    CHECK(!answer({{"hosts", "h1", 1, false, "{}"}}, true).has_value());
    CHECK(!answer({}, true).has_value());
    CHECK(!poller.hasRead());
    CHECK(poller.nextTick() > clock.now());
    CHECK(answer({{"hosts", "h1", 1, false, "{}"}}, false).has_value());
    STRCMP_EQUAL("", calls.back().name.c_str());
}
