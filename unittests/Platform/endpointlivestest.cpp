//===- endpointlivestest.cpp - Endpoints that start again -----------------===//
///
/// \file
/// An endpoint that starts again under the identity that it had is another endpoint to all
/// that was kept of it.
///
//===----------------------------------------------------------------------===//

#include "../Kernel/proxiedfixture.h"
#include "manifest.h"

#include "harelink/Kernel/configmachineimpl.h"
#include "harelink/Kernel/piecebatcher.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

PlatformObject entry(Version version, std::int64_t born, int seq = 1)
{
    return {"servers", "i-1", version, false,
            fmt::format(R"({{"service":"engines","addr":"10.0.0.1:80","zone":"dc1","slots":8,)"
                        R"("state":"ready","seq":{},"born":{}}})",
                        seq, born)};
}

/// Lets an older life come back by a write that was done late; what the product must not do.
struct NoHighWater : AllGuards
{
    static constexpr bool dropsStaleUpdates = false;
};

template <typename Table>
std::string nameInForce(const Table &table)
{
    const std::vector<Resource> resources = table.resources();
    return resources.empty() ? std::string() : resources.front().name;
}

/// The same configuration with \p endpoint under the name of its next life.
std::vector<Resource> withNextLife(std::vector<Resource> resources, const std::string &endpoint)
{
    for (Resource &resource : resources) {
        auto *spec = std::get_if<EndpointSpec>(&resource.spec);
        if (spec != nullptr && spec->name == endpoint) {
            spec->identity = endpoint;
            spec->name = endpoint + "@2";
        }
    }
    return resources;
}

} // namespace

TEST_GROUP(EndpointLives)
{
    fleet::ManifestReader reader;
};

TEST(EndpointLives, EachLifeHasANameAndTheIdentityStays)
{
    const auto read = reader.read("servers", "i-1", entry(1, 1000).value);
    const auto &first = std::get<EndpointSpec>(read->front().spec);
    const auto readAgain = reader.read("servers", "i-1", entry(2, 2000).value);
    const auto &second = std::get<EndpointSpec>(readAgain->front().spec);
    CHECK(first.name != second.name);
    STRCMP_EQUAL("i-1", first.stableName().c_str());
    STRCMP_EQUAL("i-1", second.stableName().c_str());
    CHECK(first.startedAt < second.startedAt);
}

TEST(EndpointLives, ANewerLifeReplacesTheOneBeforeAndTellsSo)
{
    ConfigTable table(reader);
    CHECK(table.apply(entry(5, 1000, 9)));
    CHECK(table.drainEndedEndpoints().empty());
    // Counts start anew, so a lower one is no older news.
    CHECK(table.apply(entry(6, 2000, 1)));
    STRCMP_EQUAL("i-1@2000", nameInForce(table).c_str());
    const std::vector<std::string> ended = table.drainEndedEndpoints();
    LONGS_EQUAL(1, ended.size());
    STRCMP_EQUAL("i-1@1000", ended[0].c_str());
    CHECK(table.hasEnded("i-1@1000"));
    CHECK_FALSE(table.hasEnded("i-1@2000"));
}

TEST(EndpointLives, AWriteOfTheLifeBeforeThatIsDoneLateBringsNothingBack)
{
    ConfigTable table(reader);
    table.apply(entry(5, 2000));
    CHECK_FALSE(table.apply(entry(6, 1000)));
    STRCMP_EQUAL("i-1@2000", nameInForce(table).c_str());
    PlatformObject deletion = entry(7, 0);
    deletion.deleted = true;
    CHECK(table.apply(deletion));
    CHECK_FALSE(table.apply(entry(8, 1000)));
    STRCMP_EQUAL("", nameInForce(table).c_str());
    CHECK(table.apply(entry(9, 3000)));
    STRCMP_EQUAL("i-1@3000", nameInForce(table).c_str());
}

TEST(EndpointLives, ControlWithoutTheGuardBringsTheLifeBeforeBack)
{
    BasicConfigTable<NoHighWater> table(reader);
    table.apply(entry(5, 2000));
    table.apply(entry(6, 1000));
    STRCMP_EQUAL("i-1@1000", nameInForce(table).c_str());
}

TEST(EndpointLives, WhatWasLearntOfALifeIsNotKeptForTheNext)
{
    const std::vector<Resource> before = proxiedConfiguration();
    const auto first = buildSnapshot(before, 1, "dc1", nullptr);
    first->endpoint("engine-0")->load->failures = 7;
    first->endpoint("engine-0")->load->leaving = true;
    const auto second = buildSnapshot(withNextLife(before, "engine-0"), 2, "dc1", first.get());
    CHECK(second->endpoint("engine-0") == nullptr);
    LONGS_EQUAL(0, second->endpoint("engine-0@2")->load->failures.load());
    CHECK_FALSE(second->endpoint("engine-0@2")->load->leaving.load());
    // Prompts that have their home there keep it, and no other prompt moves.
    const PoolEntry &poolBefore = *first->pool("engines");
    const PoolEntry &poolAfter = *second->pool("engines");
    for (std::uint64_t prompt = 0; prompt < 1000; ++prompt) {
        const std::uint64_t hash = hash64("prompt", prompt);
        STRCMP_EQUAL(poolBefore.preferredEndpoint(hash)->spec.stableName().c_str(),
                     poolAfter.preferredEndpoint(hash)->spec.stableName().c_str());
    }
}

TEST(EndpointLives, CallsToALifeThatIsOverAreSettledAsForACrash)
{
    ProxiedFixture bench(1);
    bench.arrive("/record/1");
    bench.arrive("/read/1");
    LONGS_EQUAL(2, bench.sends.size());
    STRCMP_EQUAL("engine-0", bench.sends[0].endpointIdentity.c_str());
    bench.snapshot =
        buildSnapshot(withNextLife(proxiedConfiguration(1), "engine-0"), 2, "dc1", nullptr);
    bench.machine.handle(EndpointEnded{"engine-0"}, *bench.snapshot);
    bench.collect();
    LONGS_EQUAL(2, bench.cancels.size());
    // What may not be repeated is not sent again: it may have run.
    LONGS_EQUAL(1, bench.answers.size());
    CHECK(bench.answers[0].outcome == Outcome::Unknown);
    LONGS_EQUAL(3, bench.sends.size());
    STRCMP_EQUAL("engine-0@2", bench.sends[2].endpoint.c_str());
    STRCMP_EQUAL("engine-0", bench.sends[2].endpointIdentity.c_str());
    // An answer of the life before is nobody's.
    bench.answer(bench.sends[1]);
    LONGS_EQUAL(1, bench.answers.size());
    bench.answer(bench.sends[2]);
    LONGS_EQUAL(2, bench.answers.size());
    CHECK(bench.answers[1].outcome == Outcome::Completed);
}

TEST(EndpointLives, CallsOfPiecesFailAndTheRoomOfTheirResultsIsFree)
{
    const ManualClock clock;
    PieceBatcher batcher(clock);
    const auto snapshot = buildSnapshot(pieceConfiguration(1, 4), 1, "dc1", nullptr);
    PieceOrders orders;
    orders.pool = "pieces";
    orders.orders = {pieceOrder(1, 0), pieceOrder(1, 1)};
    batcher.handle("", orders, *snapshot);
    batcher.tick(*snapshot);
    LONGS_EQUAL(1, batcher.drainCalls().size());
    batcher.endpointEnded("maker-0", *snapshot);
    std::size_t failed = 0;
    for (const OutgoingPieceOutcomes &send : batcher.drainOutcomes(*snapshot)) {
        for (const PieceOutcome &outcome : send.outcomes.outcomes) {
            failed += outcome.fault == PieceFault::Failed ? 1 : 0;
        }
    }
    LONGS_EQUAL(2, failed);
    CHECK(batcher.idle());
}
