//===- pieceroutertest.cpp - Tests of where pieces are made ---------------===//

#include "piecefixture.h"

#include "harelink/Kernel/piecerouter.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct Bench
{
    Bench()
        : snapshot(buildSnapshot(pieceConfiguration(2, 4), 1, "dc1", nullptr))
    {
    }
    void hear(const std::string &host)
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
    void order(std::uint64_t sequence)
    {
        router.submit("pieces", {pieceOrder(sequence)}, *snapshot);
        collect();
    }
    void settle(const OutgoingPieceOrders &send, const std::string &handle, PieceFault fault)
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

TEST(PieceRouter, AMadePieceIsToldOnceHoweverOftenItIsMade)
{
    Bench bench;
    bench.order(1);
    bench.settle(bench.orders[0], "a", PieceFault::None);
    bench.settle(bench.orders[0], "b", PieceFault::None);
    LONGS_EQUAL(1, bench.outcomes.size());
    STRCMP_EQUAL("a", bench.outcomes[0].handle.c_str());
    // The second result is nobody's and is freed.
    const auto frees = bench.router.drainFrees();
    LONGS_EQUAL(1, frees.size());
    STRCMP_EQUAL("b", frees[0].second.handles[0].c_str());
}

TEST(PieceRouter, AFailedPieceIsOrderedElsewhere)
{
    Bench bench;
    bench.order(1);
    bench.settle(bench.orders[0], "", PieceFault::Failed);
    LONGS_EQUAL(2, bench.orders.size());
    STRCMP_EQUAL("maker-0", bench.orders[1].orders.orders[0].avoid.c_str());
}

TEST(PieceRouter, ALateAnswerOfTheFirstOrderStillServes)
{
    Bench bench;
    bench.order(1);
    bench.advance(milliseconds(2500));
    LONGS_EQUAL(2, bench.orders.size());
    bench.settle(bench.orders[0], "a", PieceFault::None);
    LONGS_EQUAL(1, bench.outcomes.size());
}

TEST(PieceRouter, ABatcherThatFellSilentIsPassedOver)
{
    Bench bench;
    for (const char *host : {"h2", "h3", "h4", "h5", "h6", "h7"}) {
        bench.hear(host);
    }
    bench.order(1);
    CHECK(bench.orders[0].host != "h1");
    // Nobody is heard any more: what was ordered there is ordered again, here.
    bench.advance(milliseconds(700));
    LONGS_EQUAL(2, bench.orders.size());
    STRCMP_EQUAL("h1", bench.orders[1].host.c_str());
}

TEST(PieceRouter, AllDaemonsThatHearEachOtherChooseTheSameBatcher)
{
    Bench bench;
    bench.hear("h2");
    bench.order(1);
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
    router.submit("pieces", {pieceOrder(2)}, *bench.snapshot);
    CHECK(router.drainOrders()[0].host == bench.orders[0].host);
}

TEST(PieceRouter, WhatMayNotBeOrderedAgainIsWaitedFor)
{
    // No repeat is allowed: the one order under way is all there is, and may only be slow.
    Bench bench;
    PieceRouter router(bench.clock, bench.membership, {0, 0, milliseconds(10'000)});
    router.submit("pieces", {pieceOrder(1)}, *bench.snapshot);
    const OutgoingPieceOrders order = router.drainOrders()[0];
    bench.clock.advance(milliseconds(2500));
    router.tick(*bench.snapshot);
    CHECK(router.drainOrders().empty());
    CHECK(router.drainOutcomes().empty());
    PieceOutcomes message;
    message.outcomes.push_back({order.orders.orders[0].id, "maker-0", "a", PieceFault::None});
    router.handle(message, *bench.snapshot);
    LONGS_EQUAL(1, router.drainOutcomes().size());
}

namespace {

/// A daemon of hundreds that has just started, and read who is declared.
struct StartingBench : Bench
{
    explicit StartingBench(int declared)
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

/// Hundreds that start together choose one batcher before they have heard of each other, and
/// not each itself.
TEST(PieceRouter, AmongManyThatStartAnAbleDeclaredHostBatches)
{
    StartingBench bench(100);
    bench.order(1);
    CHECK(bench.orders[0].host.starts_with("d"));
    CHECK(bench.orders[0].host.ends_with("0"));
    // One that was never heard of is passed over soon.
    bench.advance(milliseconds(800));
    bench.order(2);
    STRCMP_EQUAL("h1", bench.orders.back().host.c_str());
}

TEST(PieceRouter, AmongManyARelaysListSaysWhoBatches)
{
    StartingBench bench(100);
    bench.order(1);
    const std::string declared = bench.orders[0].host;
    // All but that one live.
    std::vector<HostReport> live;
    for (const auto &[name, peer] : bench.membership.peers()) {
        if (name != declared) {
            live.push_back({name, "dc1", peer.address, 7, false, peer.capacity});
        }
    }
    bench.membership.handleHostReports(live, {});
    bench.order(2);
    CHECK(bench.orders.back().host != declared);
    CHECK(bench.orders.back().host.ends_with("0"));
}

/// The control: few greet each other at once, and one that is declared may be long gone.
TEST(PieceRouter, AmongFewOnlyThoseHeardOfBatch)
{
    StartingBench bench(9);
    bench.order(1);
    STRCMP_EQUAL("h1", bench.orders[0].host.c_str());
}
