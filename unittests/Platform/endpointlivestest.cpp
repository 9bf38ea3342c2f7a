//===- endpointlivestest.cpp - Tests of endpoint restarts -----------------===//
///
/// \file
/// An endpoint that restarts under the same identity is a new incarnation: state that was
/// recorded of the previous one must not apply to it.
///
//===----------------------------------------------------------------------===//

#include "../Kernel/controlfixture.h"
#include "../Kernel/proxiedfixture.h"
#include "manifest.h"

#include "harelink/Kernel/configmachineimpl.h"
#include "harelink/Kernel/piecebatcher.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PlatformObject entry(Version version, std::int64_t born, int seq = 1,
                     const std::string &softwareVersion = "v1")
{
    return {"servers", "i-1", version, false,
            fmt::format(R"({{"service":"engines","addr":"10.0.0.1:80","zone":"dc1","slots":8,)"
                        R"("state":"ready","seq":{},"born":{},"version":"{}"}})",
                        seq, born, softwareVersion)};
}

/// A daemon, and a store with one endpoint.
struct RestartFixture
{
    void run(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(milliseconds(25));
            for (const Open &call : std::exchange(open, {})) {
                answer(call);
            }
            control.tick();
            collect();
        }
    }
    void collect()
    {
        ControlOutput output = control.drainOutput();
        ended.insert(ended.end(), output.endedEndpoints.begin(), output.endedEndpoints.end());
        lookups.insert(lookups.end(), output.streamLookups.begin(), output.streamLookups.end());
        for (const PlatformCall &call : output.calls) {
            open.push_back({call, clock.now()});
        }
    }
    /// Lets a stream begin at the endpoint, and a caller take it up.
    void takeUp()
    {
        control.handle(StreamBegan{
            hash128("stream"), {"engines", "v1"}, seconds(10), "i-1@1000", clock.now()});
        control.handle(LocateStream{{1, 1}, "caller", hash128("stream")});
        collect();
    }

    struct Open
    {
        PlatformCall call;
        TimePoint madeAt;
    };

    void answer(const Open &open)
    {
        const PlatformCall &call = open.call;
        const Duration callTimeout = call.wait + milliseconds(800);
        PlatformResult result;
        result.id = call.id;
        result.version = stored.version;
        const bool isListing = call.operation == PlatformOperation::List;
        const bool isNew = call.kind == stored.kind
                           && (isListing || call.since.revision < stored.version.revision);
        if (isNew) {
            result.objects.push_back(stored);
        }
        const bool mustWait = !isListing && !isNew && clock.now() < open.madeAt + call.wait;
        if (isCut ? clock.now() < open.madeAt + callTimeout : mustWait) {
            this->open.push_back(open);
            return;
        }
        result.outcome = isCut ? PlatformOutcome::Unanswered : PlatformOutcome::Ok;
        control.handle(result);
        collect();
    }

    ManualClock clock;
    fleet::ManifestReader reader;
    ControlMachine control{clock, controlOptions(reader)};
    PlatformObject stored = entry(1, 1000);
    bool isCut = false; ///< Calls get no answer.
    std::vector<Open> open;
    std::vector<EndpointEnded> ended;
    std::vector<StreamLookup> lookups;
};

/// Disables the guard, so that a delayed write restores an older incarnation.
struct AcceptsStaleUpdates : AllGuards
{
    static constexpr bool dropsStaleUpdates = false;
};

template <typename Table>
std::string currentName(const Table &table)
{
    const ActiveResources active = table.resources();
    return active.endpoints.empty() ? std::string() : active.endpoints.front()->name;
}

/// Returns the configuration with \p endpoint under the name of its next incarnation.
std::vector<Resource> withRestarted(std::vector<Resource> resources, const std::string &endpoint)
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

TEST_GROUP(EndpointRestarts)
{
    fleet::ManifestReader reader;
};

TEST(EndpointRestarts, IncarnationsHaveDifferentNamesAndOneIdentity)
{
    const auto read = reader.read("servers", "i-1", entry(1, 1000).value);
    const auto &first = std::get<EndpointSpec>(read->front().spec);
    const auto readRestarted = reader.read("servers", "i-1", entry(2, 2000).value);
    const auto &second = std::get<EndpointSpec>(readRestarted->front().spec);
    CHECK(first.name != second.name);
    STRCMP_EQUAL("i-1", first.stableName().c_str());
    STRCMP_EQUAL("i-1", second.stableName().c_str());
    CHECK(first.startedAt < second.startedAt);
}

TEST(EndpointRestarts, NewerIncarnationReplacesAndEndsTheOlder)
{
    ConfigTable table(reader);
    CHECK(table.apply(entry(5, 1000, 9)));
    CHECK(table.drainEndedEndpoints().empty());
    // Sequence numbers restart, so a lower one does not mean an older update.
    CHECK(table.apply(entry(6, 2000, 1)));
    STRCMP_EQUAL("i-1@2000", currentName(table).c_str());
    const std::vector<ReplacedEndpoint> ended = table.drainEndedEndpoints();
    LONGS_EQUAL(1, ended.size());
    STRCMP_EQUAL("i-1@1000", ended[0].name.c_str());
    CHECK(table.hasEnded("i-1@1000"));
    CHECK_FALSE(table.hasEnded("i-1@2000"));
}

TEST(EndpointRestarts, CallsOfTheLastSecondsMayHaveReachedAnotherVersion)
{
    RestartFixture fixture;
    fixture.run(seconds(20));
    fixture.stored = entry(2, 2000, 1, "v2");
    const TimePoint restartedAt = fixture.clock.now();
    fixture.run(seconds(1));
    LONGS_EQUAL(1, fixture.ended.size());
    STRCMP_EQUAL("i-1@1000", fixture.ended[0].endpoint.c_str());
    CHECK(fixture.ended[0].ranUntil < restartedAt);
    CHECK(fixture.ended[0].ranUntil > restartedAt - seconds(10));
}

TEST(EndpointRestarts, CallsDuringAGapOfUpdatesMayHaveReachedAnotherVersion)
{
    RestartFixture fixture;
    fixture.run(seconds(20));
    const TimePoint cutAt = fixture.clock.now();
    fixture.isCut = true;
    fixture.run(seconds(1));
    fixture.stored = entry(2, 2000, 1, "v2");
    fixture.run(seconds(30));
    fixture.isCut = false;
    fixture.run(seconds(3));
    LONGS_EQUAL(1, fixture.ended.size());
    CHECK(fixture.ended[0].ranUntil < cutAt);
}

TEST(EndpointRestarts, RestartAtTheSameVersionLeavesNoDoubt)
{
    RestartFixture fixture;
    fixture.run(seconds(20));
    fixture.stored = entry(2, 2000);
    fixture.run(seconds(1));
    LONGS_EQUAL(1, fixture.ended.size());
    CHECK(fixture.ended[0].ranUntil == TimePoint::max());
}

// The store knows of the restart before the watch that waits has returned it.
TEST(EndpointRestarts, StreamIsLocatedOnceItsEndpointIsConfirmed)
{
    RestartFixture fixture;
    fixture.run(seconds(20));
    fixture.takeUp();
    CHECK(fixture.lookups.empty());
    fixture.run(milliseconds(50));
    LONGS_EQUAL(1, fixture.lookups.size());
    CHECK(fixture.lookups[0].located.origin.has_value());
}

TEST(EndpointRestarts, StreamOfAnEndpointThatStartedAgainUnnoticedIsUnknown)
{
    for (const bool isCut : {true, false}) {
        RestartFixture fixture;
        fixture.run(seconds(20));
        fixture.isCut = isCut;
        fixture.stored = entry(2, 2000, 1, "v2");
        fixture.takeUp();
        CHECK(fixture.lookups.empty());
        fixture.run(StreamOrigins::lookupTimeout + milliseconds(50));
        LONGS_EQUAL(1, fixture.lookups.size());
        CHECK_FALSE(fixture.lookups[0].located.origin.has_value());
    }
}

TEST(EndpointRestarts, TakeUpsInQuickSuccessionShareCallsOfThePlatform)
{
    RestartFixture fixture;
    fixture.run(seconds(20));
    std::uint64_t calls = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.takeUp();
        fixture.clock.advance(milliseconds(10));
        for (const RestartFixture::Open &call : std::exchange(fixture.open, {})) {
            calls += call.call.wait == Duration::zero() ? 1 : 0;
            fixture.answer(call);
        }
        fixture.control.tick();
        fixture.collect();
    }
    CHECK(calls <= 6);
    CHECK(fixture.lookups.size() >= 70);
}

TEST(EndpointRestarts, DelayedWriteOfOlderIncarnationIsIgnored)
{
    ConfigTable table(reader);
    table.apply(entry(5, 2000));
    CHECK_FALSE(table.apply(entry(6, 1000)));
    STRCMP_EQUAL("i-1@2000", currentName(table).c_str());
    PlatformObject deletion = entry(7, 0);
    deletion.deleted = true;
    CHECK(table.apply(deletion));
    CHECK_FALSE(table.apply(entry(8, 1000)));
    STRCMP_EQUAL("", currentName(table).c_str());
    CHECK(table.apply(entry(9, 3000)));
    STRCMP_EQUAL("i-1@3000", currentName(table).c_str());
}

TEST(EndpointRestarts, ControlWithoutGuardOlderIncarnationReturns)
{
    BasicConfigTable<AcceptsStaleUpdates> table(reader);
    table.apply(entry(5, 2000));
    table.apply(entry(6, 1000));
    STRCMP_EQUAL("i-1@1000", currentName(table).c_str());
}

TEST(EndpointRestarts, EndpointStateIsResetOnRestart)
{
    const std::vector<Resource> initial = proxiedConfiguration();
    const auto first = buildSnapshot(initial, 1, "dc1", nullptr);
    first->endpoint("engine-0")->load->failures = 7;
    first->endpoint("engine-0")->load->leaving = true;
    const auto second = buildSnapshot(withRestarted(initial, "engine-0"), 2, "dc1", first.get());
    CHECK(second->endpoint("engine-0") == nullptr);
    LONGS_EQUAL(0, second->endpoint("engine-0@2")->load->failures.load());
    CHECK_FALSE(second->endpoint("engine-0@2")->load->leaving.load());
    // The preferred endpoint of no prompt changes.
    const PoolEntry &oldPool = *first->pool("engines");
    const PoolEntry &newPool = *second->pool("engines");
    for (std::uint64_t prompt = 0; prompt < 1000; ++prompt) {
        const std::uint64_t hash = hash64("prompt", prompt);
        STRCMP_EQUAL(oldPool.preferredEndpoint(hash)->spec->stableName().c_str(),
                     newPool.preferredEndpoint(hash)->spec->stableName().c_str());
    }
}

TEST(EndpointRestarts, CallsToEndedIncarnationAreHandledAsCrashed)
{
    ProxiedFixture fixture(1);
    fixture.arrive("/record/1");
    fixture.arrive("/read/1");
    LONGS_EQUAL(2, fixture.sends.size());
    STRCMP_EQUAL("engine-0", fixture.sends[0].endpointIdentity.c_str());
    fixture.snapshot =
        buildSnapshot(withRestarted(proxiedConfiguration(1), "engine-0"), 2, "dc1", nullptr);
    fixture.machine.handle(EndpointEnded{"engine-0"}, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(2, fixture.cancels.size());
    // The request that is not repeatable is not resent: it may have run.
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
    LONGS_EQUAL(3, fixture.sends.size());
    STRCMP_EQUAL("engine-0@2", fixture.sends[2].endpoint.c_str());
    STRCMP_EQUAL("engine-0", fixture.sends[2].endpointIdentity.c_str());
    // An answer of the previous incarnation is ignored.
    fixture.answer(fixture.sends[1]);
    LONGS_EQUAL(1, fixture.answers.size());
    fixture.answer(fixture.sends[2]);
    LONGS_EQUAL(2, fixture.answers.size());
    CHECK(fixture.answers[1].outcome == Outcome::Completed);
}

TEST(EndpointRestarts, PieceCallsFailAndFreeTheirResultBuffer)
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
