//===- piecepartstest.cpp - Tests of large pools' parts -------------------===//

#include "piecefixture.h"

#include "harelink/Kernel/pieceforecast.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

/// A pool of \p endpoints endpoints, spread over three data centres.
std::unique_ptr<const Snapshot> spread(int endpoints)
{
    std::vector<Resource> resources = pieceConfiguration(endpoints, 4);
    for (std::size_t i = 1; i < resources.size(); ++i) {
        std::get<EndpointSpec>(resources[i].spec).dataCentre = fmt::format("dc{}", i % 3 + 1);
    }
    return buildSnapshot(resources, 1, "dc1", nullptr);
}

struct Bench
{
    explicit Bench(int endpoints = 9)
        : snapshot(spread(endpoints))
    {
    }
    [[nodiscard]] const PoolEntry &pool() const { return *snapshot->pool("pieces"); }
    void setWaiting(const std::string &dataCentre, int pieces) const
    {
        snapshot->poolOrPartition("pieces/" + dataCentre)->pieceLoad->waiting[0] = pieces;
    }
    /// How many of 300 groups go to each data centre.
    [[nodiscard]] std::map<std::string, int> choices(const std::string &wanted) const
    {
        std::map<std::string, int> counts;
        for (std::uint64_t i = 0; i < 300; ++i) {
            PieceGroup group;
            group.transfers.resultsDataCentre = wanted;
            group.transfers.resultBytes = 1000;
            group.selectionHash = PieceGroup::selectionHashOf({7, i}, 0);
            ++counts[choosePartition(*snapshot, pool(), group, now).dataCentre];
        }
        return counts;
    }

    TimePoint now;
    std::unique_ptr<const Snapshot> snapshot;
};

} // namespace

TEST_GROUP(PiecePartitions){};

TEST(PiecePartitions, ALargePoolHasOneForEachDataCentre)
{
    const Bench bench;
    LONGS_EQUAL(3, bench.pool().partitions.size());
    for (const std::string &name : bench.pool().partitions) {
        LONGS_EQUAL(3, bench.snapshot->poolOrPartition(name)->endpoints.size());
    }
    CHECK(Bench(5).pool().partitions.empty());
}

TEST(PiecePartitions, PiecesAreMadeWhereTheirResultsAreNeeded)
{
    const Bench bench;
    LONGS_EQUAL(300, bench.choices("dc2")["dc2"]);
    // A little more to do there is no reason to leave.
    bench.setWaiting("dc2", 6);
    LONGS_EQUAL(300, bench.choices("dc2")["dc2"]);
}

TEST(PiecePartitions, WhatIsTooBusyIsLeftForAllOthersAlike)
{
    const Bench bench;
    bench.setWaiting("dc2", 60);
    const std::map<std::string, int> counts = bench.choices("dc2");
    CHECK(!counts.contains("dc2"));
    // Were all to take the best one by the same old news, it would be the next to be full.
    CHECK(counts.at("dc1") > 100);
    CHECK(counts.at("dc3") > 100);
}

TEST(PiecePartitions, APartThatFailedOrHasNoEndpointIsPassedOver)
{
    const Bench bench;
    PieceGroup group;
    group.transfers.resultsDataCentre = "dc2";
    group.transfers.resultBytes = 1000;
    group.avoid = "pieces/dc2";
    CHECK(choosePartition(*bench.snapshot, bench.pool(), group, bench.now).dataCentre != "dc2");
    group.avoid.clear();
    for (const EndpointEntry &endpoint : bench.snapshot->poolOrPartition("pieces/dc2")->endpoints) {
        markLeaving(*bench.snapshot, endpoint.spec.name);
    }
    CHECK(choosePartition(*bench.snapshot, bench.pool(), group, bench.now).dataCentre != "dc2");
}

TEST(PiecePartitions, InputsThatEachPieceReadsWeighMoreThanTheResults)
{
    const Bench bench;
    PieceOrder order = pieceOrder(1);
    order.resultBytes = 6'000;
    order.dataCentre = "dc1";
    order.inputBytes = 480'000;
    order.inputsDataCentre = "dc3";
    PieceGroup group;
    group.count = 16;
    group.transfers = transfersOf(order, 16);
    STRCMP_EQUAL(
        "dc3", choosePartition(*bench.snapshot, bench.pool(), group, bench.now).dataCentre.c_str());
    CHECK(transferCost(group.transfers, "dc1") > transferCost(group.transfers, "dc3") * 50);
}
