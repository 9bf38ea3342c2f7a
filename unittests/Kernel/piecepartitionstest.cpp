//===- piecepartitionstest.cpp - Tests of pool partitions -----------------===//

#include "piecefixture.h"

#include "harelink/Kernel/pieceforecast.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

/// Returns a pool of \p endpoints endpoints in three data centres.
std::unique_ptr<const Snapshot> spreadSnapshot(int endpoints)
{
    std::vector<Resource> resources = pieceConfiguration(endpoints, 4);
    for (std::size_t i = 1; i < resources.size(); ++i) {
        std::get<EndpointSpec>(resources[i].spec).dataCentre = fmt::format("dc{}", i % 3 + 1);
    }
    return buildSnapshot(resources, 1, "dc1", nullptr);
}

struct Fixture
{
    explicit Fixture(int endpoints = 9)
        : snapshot(spreadSnapshot(endpoints))
    {
    }
    [[nodiscard]] const PoolEntry &pool() const { return *snapshot->pool("pieces"); }
    void setWaiting(const std::string &dataCentre, int pieces) const
    {
        snapshot->poolOrPartition("pieces/" + dataCentre)->pieceLoad->waiting[0] = pieces;
    }
    /// Returns the number of groups, of 300, that go to each data centre.
    [[nodiscard]] std::map<std::string, int>
    countChoices(const std::string &resultsDataCentre) const
    {
        std::map<std::string, int> counts;
        for (std::uint64_t i = 0; i < 300; ++i) {
            PieceGroup group;
            group.transfers.resultsDataCentre = resultsDataCentre;
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

TEST(PiecePartitions, LargePoolHasOnePartitionPerDataCentre)
{
    const Fixture fixture;
    LONGS_EQUAL(3, fixture.pool().partitions.size());
    for (const std::string &name : fixture.pool().partitions) {
        LONGS_EQUAL(3, fixture.snapshot->poolOrPartition(name)->endpoints.size());
    }
    CHECK(Fixture(5).pool().partitions.empty());
}

TEST(PiecePartitions, ComputesPiecesWhereTheResultsAreNeeded)
{
    const Fixture fixture;
    LONGS_EQUAL(300, fixture.countChoices("dc2")["dc2"]);
    // A small backlog there is no sufficient reason to use another data centre.
    fixture.setWaiting("dc2", 6);
    LONGS_EQUAL(300, fixture.countChoices("dc2")["dc2"]);
}

TEST(PiecePartitions, SpreadsPiecesOfABusyPartitionOverTheOthers)
{
    const Fixture fixture;
    fixture.setWaiting("dc2", 60);
    const std::map<std::string, int> counts = fixture.countChoices("dc2");
    CHECK(!counts.contains("dc2"));
    // If all daemons chose the best partition by the same stale forecast, it would be overloaded
    // next.
    CHECK(counts.at("dc1") > 100);
    CHECK(counts.at("dc3") > 100);
}

TEST(PiecePartitions, SkipsAPartitionThatFailedOrHasNoUsableEndpoint)
{
    const Fixture fixture;
    PieceGroup group;
    group.transfers.resultsDataCentre = "dc2";
    group.transfers.resultBytes = 1000;
    group.avoid = "pieces/dc2";
    CHECK(choosePartition(*fixture.snapshot, fixture.pool(), group, fixture.now).dataCentre
          != "dc2");
    group.avoid.clear();
    for (const EndpointEntry &endpoint :
         fixture.snapshot->poolOrPartition("pieces/dc2")->endpoints) {
        markLeaving(*fixture.snapshot, endpoint.spec->name);
    }
    CHECK(choosePartition(*fixture.snapshot, fixture.pool(), group, fixture.now).dataCentre
          != "dc2");
}

TEST(PiecePartitions, CountsInputBytesForEachPiece)
{
    const Fixture fixture;
    PieceOrder order = pieceOrder(1);
    order.resultBytes = 6'000;
    order.dataCentre = "dc1";
    order.inputBytes = 480'000;
    order.inputsDataCentre = "dc3";
    PieceGroup group;
    group.count = 16;
    group.transfers = transfersOf(order, 16);
    STRCMP_EQUAL(
        "dc3",
        choosePartition(*fixture.snapshot, fixture.pool(), group, fixture.now).dataCentre.c_str());
    CHECK(transferCost(group.transfers, "dc1") > transferCost(group.transfers, "dc3") * 50);
}
