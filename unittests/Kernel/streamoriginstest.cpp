//===- streamoriginstest.cpp - Tests of the origins of streams ------------===//

#include "fleetfixture.h"

#include "harelink/Kernel/controlmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const StreamOrigin origin{"engines", "v1"};

StreamRecord record(const std::string &name, const StreamOrigin &from = origin,
                    Duration ttl = seconds(10))
{
    return {hash128(name), from, ttl, "", {}};
}

/// Returns the record of a stream that began at \p endpoint.
StreamRecord recordOf(const std::string &name, const std::string &endpoint, Duration age)
{
    return {hash128(name), origin, seconds(10), endpoint, age};
}

/// The guards of a control whose hosts do not report where streams began.
struct SharesNoOrigins : AllGuards
{
    static constexpr bool sharesStreamOrigins = false;
};

/// A fleet that has been running for some seconds.
template <GuardPolicy G>
struct StartedFleet : BasicControlFleet<G>
{
    StartedFleet(int hosts, int dataCentres)
        : BasicControlFleet<G>({.hosts = hosts, .dataCentres = dataCentres, .endpoints = 4})
    {
        this->startAll();
        this->run(seconds(5));
    }
};

/// Begins \p count streams, at each host in turn.
template <typename Fleet>
void beginStreams(Fleet &fleet, int count)
{
    const std::vector<std::string> hosts = fleet.hosts();
    for (int i = 0; i < count; ++i) {
        fleet.beginStream(hosts[static_cast<std::size_t>(i) % hosts.size()],
                          {hash128(fmt::format("stream-{}", i)), origin, seconds(10), "", {}});
    }
    fleet.run(milliseconds(100));
}

/// Returns how many of \p count streams \p host can locate.
template <typename Fleet>
int locateStreams(Fleet &fleet, const std::string &host, int count)
{
    for (int i = 0; i < count; ++i) {
        fleet.locate(host, hash128(fmt::format("stream-{}", i)));
    }
    fleet.run(StreamOrigins::startLookupTimeout + milliseconds(200));
    int known = 0;
    const std::vector<StreamLookup> lookups = fleet.drainLookups();
    LONGS_EQUAL(count, lookups.size());
    for (const StreamLookup &lookup : lookups) {
        known += lookup.located.origin == origin ? 1 : 0;
    }
    return known;
}

} // namespace

TEST_GROUP(StreamOrigins){};

TEST(StreamOrigins, EachHostLocatesTheStreamsOfAllOthers)
{
    constexpr int streams = 40;
    for (const int hosts : {2, 8, 40}) {
        StartedFleet<AllGuards> fleet(hosts, 3);
        beginStreams(fleet, streams);
        LONGS_EQUAL(streams, locateStreams(fleet, fleet.hosts().back(), streams));
    }
}

TEST(StreamOrigins, HostThatHasJustStartedLocatesStreams)
{
    constexpr int streams = 40;
    StartedFleet<AllGuards> fleet(8, 3);
    beginStreams(fleet, streams);
    fleet.kill("h0003");
    fleet.start("h0003");
    LONGS_EQUAL(streams, locateStreams(fleet, "h0003", streams));
}

TEST(StreamOrigins, StreamsOfAKilledDataCentreAreLocatedInOthers)
{
    constexpr int streams = 40;
    StartedFleet<AllGuards> fleet(9, 3);
    beginStreams(fleet, streams);
    for (const char *host : {"h0000", "h0003", "h0006"}) {
        fleet.kill(host);
    }
    LONGS_EQUAL(streams, locateStreams(fleet, "h0001", streams));
}

TEST(StreamOrigins, StreamsAreKnownAfterAllHostsWereRestartedInTurn)
{
    constexpr int streams = 40;
    StartedFleet<AllGuards> fleet(8, 3);
    beginStreams(fleet, streams);
    for (const std::string &host : fleet.hosts()) {
        fleet.leave(host);
        fleet.run(milliseconds(300));
        fleet.kill(host);
        fleet.start(host);
        fleet.run(milliseconds(700));
    }
    LONGS_EQUAL(streams, locateStreams(fleet, "h0000", streams));
}

// Its peers seem silent until their heartbeats are read.
TEST(StreamOrigins, HostThatWasSuspendedReportsTheStreamsThatBeginAtOnce)
{
    constexpr int streams = 40;
    StartedFleet<AllGuards> fleet(8, 3);
    fleet.beginStream("h0003", {hash128("earlier"), origin, seconds(10), "", {}});
    fleet.suspend("h0003");
    fleet.run(seconds(5));
    fleet.resume("h0003");
    for (int i = 0; i < streams; ++i) {
        fleet.beginStream("h0003",
                          {hash128(fmt::format("stream-{}", i)), origin, seconds(10), "", {}});
    }
    fleet.run(milliseconds(100));
    fleet.kill("h0003");
    LONGS_EQUAL(streams, locateStreams(fleet, "h0001", streams));
}

TEST(StreamOrigins, WithoutReportsOnlyTheHostOfAStreamKnowsIt)
{
    constexpr int streams = 40;
    StartedFleet<SharesNoOrigins> fleet(8, 3);
    beginStreams(fleet, streams);
    fleet.kill("h0003");
    fleet.start("h0003");
    CHECK(locateStreams(fleet, "h0003", streams) < streams);
}

TEST(StreamOrigins, LookupOfAnUnknownStreamEndsInTime)
{
    StartedFleet<AllGuards> fleet(8, 3);
    fleet.locate("h0001", hash128("unknown"));
    // A round trip suffices if all hosts reply.
    fleet.run(milliseconds(150));
    LONGS_EQUAL(1, fleet.drainLookups().size());
    fleet.kill("h0004");
    fleet.locate("h0001", hash128("unknown"));
    fleet.run(StreamOrigins::lookupTimeout + milliseconds(200));
    const std::vector<StreamLookup> lookups = fleet.drainLookups();
    LONGS_EQUAL(1, lookups.size());
    CHECK_FALSE(lookups[0].located.origin.has_value());
}

/// A host of a large fleet must not open connections to all others.
TEST(StreamOrigins, ReportsGoToFewHostsOfALargeFleet)
{
    constexpr int hosts = 100;
    constexpr int streams = 400;
    StartedFleet<AllGuards> fleet(hosts, 5);
    (void)fleet.drainTraffic();
    for (int i = 0; i < streams; ++i) {
        fleet.beginStream("h0050",
                          {hash128(fmt::format("stream-{}", i)), origin, seconds(10), "", {}});
    }
    fleet.run(milliseconds(25));
    const FleetTraffic traffic = fleet.drainTraffic();
    CHECK(traffic.messages.at("h0050") <= streams * 4 + 10);
    CHECK(traffic.targets.at("h0050").size() <= std::size_t{5} * 4 + 10);
}

TEST(StreamOrigins, TableDropsWhatIsOldest)
{
    ManualClock clock;
    StreamTable table(clock, 2);
    table.add(record("a"));
    table.add(record("b"));
    table.add(record("c"));
    LONGS_EQUAL(2, table.size());
    CHECK_FALSE(table.find(hash128("a")).has_value());
    CHECK(table.find(hash128("c"))->origin == origin);
}

TEST(StreamOrigins, RecordsExpire)
{
    ManualClock clock;
    StreamTable table(clock, 10);
    table.add(record("a", origin, seconds(1)));
    clock.advance(seconds(1));
    CHECK_FALSE(table.find(hash128("a")).has_value());
    table.add(record("b"));
    LONGS_EQUAL(1, table.size());
}

TEST(StreamOrigins, TwoStreamsUnderOneKeyAreBothUnknown)
{
    ManualClock clock;
    StreamTable table(clock, 10);
    table.add(record("a"));
    table.add(record("a"));
    CHECK(table.find(hash128("a")).has_value());
    table.add(record("a", {"engines", "v2"}));
    CHECK_FALSE(table.find(hash128("a")).has_value());
}

// Before its update arrives, calls reach the successor by the declaration of the former instance.
TEST(StreamOrigins, StreamThatTheSuccessorOfItsEndpointMayHaveBegunIsUnknown)
{
    ManualClock clock;
    clock.advance(seconds(100));
    StreamTable table(clock, 10);
    table.add(recordOf("before", "e@1", seconds(4)));
    table.add(recordOf("after", "e@1", seconds(2)));
    table.add(recordOf("other", "f@1", seconds(2)));
    table.add(EndpointEnded{"e@1", clock.now() - seconds(3)});
    CHECK(table.find(hash128("before"))->age == seconds(4));
    CHECK_FALSE(table.find(hash128("after")).has_value());
    CHECK(table.find(hash128("other")).has_value());
    // A record that arrives late, and one of a call that was sent after the update.
    table.add(recordOf("late", "e@1", seconds(2)));
    clock.advance(seconds(1));
    table.add(recordOf("later", "e@1", seconds(0)));
    CHECK_FALSE(table.find(hash128("late")).has_value());
    CHECK_FALSE(table.find(hash128("later")).has_value());
    LONGS_EQUAL(2, table.records().size());
}

TEST(StreamOrigins, EndpointThatKeepsItsVersionLeavesNoDoubt)
{
    ManualClock clock;
    StreamTable table(clock, 10);
    table.add(recordOf("a", "e@1", seconds(0)));
    table.add(EndpointEnded{"e@1", TimePoint::max()});
    CHECK(table.find(hash128("a")).has_value());
}
