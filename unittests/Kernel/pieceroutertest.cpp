//===- pieceroutertest.cpp - Tests of the routing of pieces ---------------===//

#include "piecefixture.h"

#include "harelink/Kernel/piecerouter.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    Fixture()
        : snapshot(buildSnapshot(pieceConfiguration(2, 4), 1, "dc1", nullptr))
    {
    }
    void receiveHeartbeat(const std::string &host)
    {
        PeerMessage message;
        message.host = host;
        message.incarnation = 5;
        Heartbeat heartbeat;
        heartbeat.dataCentre = "dc1";
        heartbeat.address = "127.0.0.1:2";
        message.content = heartbeat;
        membership.recordMessage(message);
    }
    void collect()
    {
        for (OutgoingPieceOrders &send : router.drainOrders()) {
            orders.push_back(std::move(send));
        }
        for (PieceOutcome &outcome : router.drainOutcomes()) {
            outcomes.push_back(std::move(outcome));
        }
    }
    void submit(std::uint64_t sequence)
    {
        router.submit("pieces", {pieceOrder(sequence)}, *snapshot);
        collect();
    }
    void receiveOutcome(const OutgoingPieceOrders &send, const std::string &handle,
                        PieceFault fault)
    {
        PieceOutcomes message;
        message.backlog.pool = send.orders.pool;
        message.outcomes.push_back({send.orders.orders[0].id, "maker-0", handle, fault});
        router.handle(message, *snapshot);
        collect();
    }
    void advance(Duration step)
    {
        clock.advance(step);
        router.tick(*snapshot);
        collect();
    }

    ManualClock clock;
    Membership membership{clock, "h1", "127.0.0.1:1", "dc1", 4};
    std::unique_ptr<const Snapshot> snapshot;
    PieceRouter router{clock, membership, {}};
    std::vector<OutgoingPieceOrders> orders;
    std::vector<PieceOutcome> outcomes;
};

} // namespace

TEST_GROUP(PieceRouter){};

TEST(PieceRouter, ReportsADuplicatePieceOnce)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.receiveOutcome(fixture.orders[0], "a", PieceFault::None);
    fixture.receiveOutcome(fixture.orders[0], "b", PieceFault::None);
    LONGS_EQUAL(1, fixture.outcomes.size());
    STRCMP_EQUAL("a", fixture.outcomes[0].handle.c_str());
    // No request owns the second result, so it is freed.
    const auto frees = fixture.router.drainFrees();
    LONGS_EQUAL(1, frees.size());
    STRCMP_EQUAL("b", frees[0].second.handles[0].c_str());
}

TEST(PieceRouter, ResubmitsAFailedPieceToAvoidTheEndpoint)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.receiveOutcome(fixture.orders[0], "", PieceFault::Failed);
    LONGS_EQUAL(2, fixture.orders.size());
    STRCMP_EQUAL("maker-0", fixture.orders[1].orders.orders[0].avoid.c_str());
}

TEST(PieceRouter, AcceptsALateOutcomeOfTheFirstOrder)
{
    Fixture fixture;
    fixture.submit(1);
    fixture.advance(milliseconds(2500));
    LONGS_EQUAL(2, fixture.orders.size());
    fixture.receiveOutcome(fixture.orders[0], "a", PieceFault::None);
    LONGS_EQUAL(1, fixture.outcomes.size());
}

TEST(PieceRouter, SkipsAnUnreachableBatcher)
{
    Fixture fixture;
    for (const char *host : {"h2", "h3", "h4", "h5", "h6", "h7"}) {
        fixture.receiveHeartbeat(host);
    }
    fixture.submit(1);
    CHECK(fixture.orders[0].host != "h1");
    // All peers are unreachable: the order is resubmitted to this daemon.
    fixture.advance(milliseconds(700));
    LONGS_EQUAL(2, fixture.orders.size());
    STRCMP_EQUAL("h1", fixture.orders[1].host.c_str());
}

TEST(PieceRouter, ConnectedDaemonsChooseTheSameBatcher)
{
    Fixture fixture;
    fixture.receiveHeartbeat("h2");
    fixture.submit(1);
    ManualClock clock;
    Membership membership(clock, "h2", "127.0.0.1:2", "dc1", 5);
    PeerMessage message;
    message.host = "h1";
    message.incarnation = 4;
    Heartbeat heartbeat;
    heartbeat.address = "127.0.0.1:1";
    message.content = heartbeat;
    membership.recordMessage(message);
    PieceRouter router(clock, membership, {});
    router.submit("pieces", {pieceOrder(2)}, *fixture.snapshot);
    CHECK(router.drainOrders()[0].host == fixture.orders[0].host);
}

TEST(PieceRouter, ARequestThatOrdersAgainEarnsNoFurtherRetries)
{
    // Four requests allow three retries; a request that orders four times counts once.
    for (const bool isOneRequest : {false, true}) {
        Fixture fixture;
        PieceRouter router(fixture.clock, fixture.membership, {1, 0, milliseconds(10'000)});
        int retries = 0;
        for (std::uint32_t i = 0; i < 4; ++i) {
            const PieceOrder order = isOneRequest ? pieceOrder(1, i) : pieceOrder(1 + i);
            router.submit("pieces", {order}, *fixture.snapshot);
            (void)router.drainOrders();
        }
        for (std::uint32_t i = 0; i < 4; ++i) {
            const PieceOrder order = isOneRequest ? pieceOrder(1, i) : pieceOrder(1 + i);
            PieceOutcomes message;
            message.outcomes.push_back({order.id, "maker-0", "", PieceFault::Failed});
            router.handle(message, *fixture.snapshot);
            retries += static_cast<int>(router.drainOrders().size());
        }
        LONGS_EQUAL(isOneRequest ? 0 : 3, retries);
    }
}

TEST(PieceRouter, KeepsWaitingIfResubmissionIsNotAllowed)
{
    // The retry budget is empty. The only order may just be slow, so no fault is reported.
    Fixture fixture;
    PieceRouter router(fixture.clock, fixture.membership, {0, 0, milliseconds(10'000)});
    router.submit("pieces", {pieceOrder(1)}, *fixture.snapshot);
    const OutgoingPieceOrders order = router.drainOrders()[0];
    fixture.clock.advance(milliseconds(2500));
    router.tick(*fixture.snapshot);
    CHECK(router.drainOrders().empty());
    CHECK(router.drainOutcomes().empty());
    PieceOutcomes message;
    message.outcomes.push_back({order.orders.orders[0].id, "maker-0", "a", PieceFault::None});
    router.handle(message, *fixture.snapshot);
    LONGS_EQUAL(1, router.drainOutcomes().size());
}

namespace {

/// A daemon that has just started and read the list of declared hosts.
struct StartingFixture : Fixture
{
    explicit StartingFixture(int declared)
    {
        std::vector<PlatformObject> hosts;
        for (int i = 0; i < declared; ++i) {
            const double capacity = i % 10 == 0 ? 0.5 : 0.12;
            hosts.push_back({"hosts", fmt::format("d{:03}", i), 1, false,
                             fmt::format(R"({{"peers": "127.0.0.1:2", "dataCentre": "dc1",)"
                                         R"( "capacity": {}}})",
                                         capacity)});
        }
        membership.setCapacity(0.12);
        membership.handleHostList(hosts);
    }
};

} // namespace

/// Guards against each daemon of a large cluster choosing itself as batcher when all start
/// together, before they have received heartbeats of each other.
TEST(PieceRouter, LargeStartingClusterChoosesAHighCapacityHost)
{
    StartingFixture fixture(100);
    fixture.submit(1);
    CHECK(fixture.orders[0].host.starts_with("d"));
    CHECK(fixture.orders[0].host.ends_with("0"));
    // A host that never sent a heartbeat is skipped after a short time.
    fixture.advance(milliseconds(800));
    fixture.submit(2);
    STRCMP_EQUAL("h1", fixture.orders.back().host.c_str());
}

TEST(PieceRouter, LargeClusterFollowsTheHostListOfARelay)
{
    StartingFixture fixture(100);
    fixture.submit(1);
    const std::string declared = fixture.orders[0].host;
    // The relay reports all hosts but that one as live.
    std::vector<HostReport> live;
    for (const auto &[name, peer] : fixture.membership.peers()) {
        if (name != declared) {
            live.push_back({name, "dc1", peer.address, 7, false, peer.capacity});
        }
    }
    fixture.membership.handleHostReports(live, {});
    fixture.submit(2);
    CHECK(fixture.orders.back().host != declared);
    CHECK(fixture.orders.back().host.ends_with("0"));
}

/// Control case: in a small cluster heartbeats arrive at once, and a declared host may be gone.
TEST(PieceRouter, SmallClusterChoosesOnlyKnownLiveHosts)
{
    StartingFixture fixture(9);
    fixture.submit(1);
    STRCMP_EQUAL("h1", fixture.orders[0].host.c_str());
}

TEST(PieceRouter, ABatcherWithoutAPathIsReplaced)
{
    Fixture fixture;
    for (const char *host : {"h2", "h3", "h4"}) {
        fixture.receiveHeartbeat(host);
    }
    fixture.submit(1);
    const std::string first = fixture.orders[0].host;
    if (first == "h1") {
        updateLostPools(*fixture.snapshot, true);
        const PoolEntry &pool = *fixture.snapshot->pool("pieces");
        for (const EndpointEntry &endpoint : pool.endpoints) {
            pool.path->recordUnreachable(endpoint.placementHash, pool.endpoints.size());
        }
    } else {
        fixture.membership.recordLostPool(first, "pieces");
    }
    fixture.submit(2);
    CHECK(fixture.orders[1].host != first);
    fixture.receiveOutcome(fixture.orders[0], "", PieceFault::Refused);
    LONGS_EQUAL(3, fixture.orders.size());
    CHECK(fixture.orders[2].host != first);
    LONGS_EQUAL(0, fixture.router.resubmissions());
}
