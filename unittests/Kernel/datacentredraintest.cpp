//===- datacentredraintest.cpp - Tests of drained data centres ------------===//

#include "controlfixture.h"
#include "proxiedfixture.h"

#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Support/hash.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

Resource drainOf(const std::string &dataCentre)
{
    return makeResource(DataCentreDrainSpec{dataCentre, dataCentre});
}

std::unique_ptr<const Snapshot> snapshotOf(std::vector<Resource> resources,
                                           const std::vector<std::string> &drained,
                                           const Snapshot *before = nullptr)
{
    for (const std::string &dataCentre : drained) {
        resources.push_back(drainOf(dataCentre));
    }
    return buildSnapshot(resources, 1, "dc1", before);
}

/// Returns three data centres with three endpoints each, whose pool has cache affinity.
std::vector<Resource> threeDataCentres()
{
    std::vector<Resource> resources = {makeResource(PoolSpec{"engines", "model-engine", 1, true})};
    for (int i = 0; i < 9; ++i) {
        EndpointSpec endpoint;
        endpoint.name = fmt::format("engine-{}", i);
        endpoint.pool = "engines";
        endpoint.dataCentre = fmt::format("dc{}", i % 3 + 1);
        endpoint.slots = 4;
        resources.push_back(makeResource(endpoint));
    }
    return resources;
}

/// A control machine that receives drains, as the product's own objects, from a peer.
struct ControlFixture
{
    ControlFixture()
        : machine(clock, controlOptions())
    {
        machine.handle(heartbeatOf(2));
    }
    void push(Version version, bool deleted)
    {
        const ConfigPush push(
            {{"DataCentreDrain", "dc2", version, deleted,
              R"({"kind": "DataCentreDrain", "name": "dc2", "spec": {"dataCentre": "dc2"}})"}});
        machine.handle(PeerMessage{"h2", 2, push});
        (void)machine.drainOutput();
    }
    [[nodiscard]] bool isDrained() const
    {
        const std::vector<Resource> resources = machine.resources().resources;
        return std::any_of(resources.begin(), resources.end(), [](const Resource &resource) {
            return std::holds_alternative<DataCentreDrainSpec>(resource.spec);
        });
    }

    ManualClock clock;
    ControlMachine machine;
};

/// A reader whose routes, endpoints and drains are followed by separate watchers.
class ThreeGroupsReader final : public ObjectReader
{
public:
    [[nodiscard]] const std::vector<std::vector<std::string>> &kindGroups() const override
    {
        static const std::vector<std::vector<std::string>> groups = {
            {"routes"}, {"endpoints"}, {"drains"}};
        return groups;
    }
    [[nodiscard]] const std::string &endpointKind() const override { return kindGroups()[1][0]; }
    [[nodiscard]] const std::string &drainKind() const override { return kindGroups()[2][0]; }
    [[nodiscard]] const std::string &quarantineKind() const override
    {
        return defaultObjectReader().quarantineKind();
    }
    [[nodiscard]] bool endpointObjectsExpire() const override { return false; }
    [[nodiscard]] absl::StatusOr<std::vector<Resource>>
    read(const std::string &, const std::string &, const std::string &) const override
    {
        return std::vector<Resource>{};
    }
};

} // namespace

TEST_GROUP(DataCentreDrain){};

TEST(DataCentreDrain, NoRoutingPolicySelectsEndpointsOfADrainedDataCentre)
{
    const auto snapshot = snapshotOf(threeDataCentres(), {"dc1", "dc3"});
    Random random{1};
    PromptInfo prompt;
    prompt.tokens = 100;
    for (const char *name : {"power-of-two", "prompt-home", "round-robin", "least-in-flight"}) {
        const auto policy = Registry<RoutingPolicy>::instance().make(name);
        for (int i = 0; i < 200; ++i) {
            const PoolEntry &pool = *snapshot->pool("engines");
            const EndpointEntry *home = pool.preferredEndpoint(hash64("prefix", i));
            const EndpointEntry *chosen =
                policy->choose({pool, TimePoint(), home, pool.find("engine-0"), &prompt}, random);
            CHECK(chosen != nullptr);
            STRCMP_EQUAL("dc2", chosen->spec->dataCentre.c_str());
        }
    }
}

TEST(DataCentreDrain, OnlyPromptsOfTheDrainedDataCentreMoveAndAtOnce)
{
    const auto before = snapshotOf(threeDataCentres(), {});
    const auto after = snapshotOf(threeDataCentres(), {"dc2"}, before.get());
    for (std::uint64_t i = 0; i < 300; ++i) {
        const EndpointSpec &was =
            *before->pool("engines")->preferredEndpoint(hash64("prefix", i))->spec;
        const EndpointSpec &is =
            *after->pool("engines")->preferredEndpoint(hash64("prefix", i))->spec;
        CHECK(is.dataCentre != "dc2");
        if (was.dataCentre != "dc2") {
            STRCMP_EQUAL(was.name.c_str(), is.name.c_str());
        }
    }
    LONGS_EQUAL(24, after->pool("engines")->totalSlots);
}

/// Requests in flight continue in a drained data centre, so the counters of its endpoints must
/// be kept.
TEST(DataCentreDrain, EndpointsOfADrainedDataCentreStayKnown)
{
    const auto before = snapshotOf(threeDataCentres(), {});
    const auto after = snapshotOf(threeDataCentres(), {"dc2"}, before.get());
    POINTERS_EQUAL(before->endpoint("engine-1")->load.get(),
                   after->endpoint("engine-1")->load.get());
    CHECK(!isUsable(*after->endpoint("engine-1"), TimePoint()));
    const auto again = snapshotOf(threeDataCentres(), {}, after.get());
    CHECK(isUsable(*again->endpoint("engine-1"), TimePoint()));
}

TEST(DataCentreDrain, RefusesARequestAtOnceIfAllDataCentresAreDrained)
{
    ProxiedFixture fixture;
    fixture.snapshot = snapshotOf(proxiedConfiguration(), {"dc1", "dc2"}, fixture.snapshot.get());
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.sends.size());
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
}

/// A request that waits for an endpoint must not keep waiting when all data centres are drained.
TEST(DataCentreDrain, RefusesAQueuedRequestAtOnceIfAllDataCentresAreDrained)
{
    ProxiedFixture fixture;
    for (int i = 0; i < 3; ++i) {
        const EndpointEntry &engine = *fixture.snapshot->endpoint(fmt::format("engine-{}", i));
        engine.load->concurrencyLimit = 0; // All endpoints are full.
    }
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.answers.size());
    fixture.snapshot = snapshotOf(proxiedConfiguration(), {"dc1", "dc2"}, fixture.snapshot.get());
    fixture.advance(milliseconds(10));
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
    CHECK(fixture.answers.at(0).reason == Reason::NoEndpoint);
}

/// A drain must not cancel requests in flight.
TEST(DataCentreDrain, RequestsInFlightCompleteInADrainedDataCentre)
{
    ProxiedFixture fixture(1);
    fixture.arrive("/read/1");
    LONGS_EQUAL(1, fixture.sends.size());
    fixture.snapshot = snapshotOf(proxiedConfiguration(1), {"dc1"}, fixture.snapshot.get());
    fixture.advance(milliseconds(100));
    LONGS_EQUAL(0, fixture.cancels.size());
    fixture.answer(fixture.sends.at(0));
    CHECK(fixture.answers.at(0).outcome == Outcome::Completed);
    LONGS_EQUAL(0, fixture.snapshot->endpoint("engine-0")->load->inFlight);
}

TEST(DataCentreDrain, PiecesAreComputedInOtherDataCentres)
{
    std::vector<Resource> resources = pieceConfiguration(9, 4);
    for (std::size_t i = 1; i < resources.size(); ++i) {
        std::get<EndpointSpec>(resources[i].spec).dataCentre = fmt::format("dc{}", i % 3 + 1);
    }
    const auto snapshot = snapshotOf(resources, {"dc2"});
    std::set<std::string> chosen;
    for (std::uint64_t i = 0; i < 100; ++i) {
        PieceGroup group;
        group.transfers.resultsDataCentre = "dc2";
        group.transfers.resultBytes = 1000;
        group.selectionHash = PieceGroup::selectionHashOf({7, i}, 0);
        chosen.insert(
            choosePartition(*snapshot, *snapshot->pool("pieces"), group, TimePoint()).dataCentre);
    }
    CHECK(!chosen.contains("dc2"));
    CHECK(!chosen.contains(""));
}

TEST(DataCentreDrain, StaleUpdatesNeitherDrainNorRestore)
{
    ControlFixture fixture;
    fixture.push(5, false);
    CHECK(fixture.isDrained());
    fixture.push(4, true);
    CHECK(fixture.isDrained());
    fixture.push(7, true);
    CHECK(!fixture.isDrained());
    fixture.push(5, false);
    CHECK(!fixture.isDrained());
    fixture.push(8, false);
    CHECK(fixture.isDrained());
}

namespace {

/// A host that has just started, with a live peer in its data centre.
struct StartFixture
{
    StartFixture()
        : machine(clock, controlOptions(reader))
    {
        machine.handle(heartbeatOf(2));
        machine.tick();
        for (const PlatformCall &call : machine.drainOutput().calls) {
            const bool isListing = call.operation == PlatformOperation::List;
            calls[isListing ? call.kind : std::string(toText(call.operation))] = call.id;
        }
    }
    /// Handles the platform's answer to a call. Returns whether it puts a configuration in force.
    bool answer(const std::string &what, PlatformOutcome outcome)
    {
        PlatformResult result;
        result.id = calls.at(what);
        result.outcome = outcome;
        result.version = 3;
        machine.handle(result);
        return machine.drainOutput().configChanged;
    }
    /// Handles an update from a peer. Returns whether it puts a configuration in force.
    bool push(const std::string &kind, const std::string &name)
    {
        const ConfigPush push({{kind, name, ++version, false, "{}"}});
        machine.handle(PeerMessage{"h2", 2, push});
        return machine.drainOutput().configChanged;
    }

    ManualClock clock;
    ThreeGroupsReader reader;
    ControlMachine machine;
    std::map<std::string, std::uint64_t> calls; ///< Made at the start: by listed kind or operation.
    std::uint64_t version = 0;
};

} // namespace

/// Otherwise a host that has just started would send requests to a drained data centre.
TEST(DataCentreDrain, AStartWaitsForDrains)
{
    StartFixture fixture;
    CHECK(!fixture.answer("routes", PlatformOutcome::Ok));
    CHECK(!fixture.answer("endpoints", PlatformOutcome::Ok));
    CHECK(fixture.answer("drains", PlatformOutcome::Ok));
}

/// Guards against hosts that do not watch the platform and never become ready after a restart.
TEST(DataCentreDrain, AHostWithTheWholeConfigurationOfAPeerStarts)
{
    StartFixture fixture;
    CHECK(!fixture.push("routes", "main"));
    CHECK(!fixture.push("endpoints", "e1"));
    ConfigDigest digest;
    digest.watches = true;
    digest.summary = fixture.machine.config().summary();
    const auto startsWith = [&fixture](const ConfigDigest &digest) {
        fixture.machine.handle(PeerMessage{"h2", 2, digest});
        return fixture.machine.drainOutput().configChanged;
    };
    CHECK(!startsWith(digest));
    digest.complete = true;
    ConfigDigest other = digest;
    ++other.summary;
    CHECK(!startsWith(other));
    CHECK(startsWith(digest));
}

/// Guards against this failure: a host that started while the platform refused its calls used the
/// configuration of its peers. When the platform answered again, the host delayed all updates
/// because it had not read the drains, and applied a drain 12 s late.
TEST(DataCentreDrain, AHostThatCannotReadDrainsAppliesUpdatesOfItsPeers)
{
    StartFixture fixture;
    for (const char *kind : {"routes", "endpoints", "drains"}) {
        fixture.answer(kind, PlatformOutcome::Refused);
    }
    CHECK(!fixture.push("endpoints", "e1"));
    CHECK(fixture.push("routes", "main"));
    fixture.answer("hosts", PlatformOutcome::Ok); // The platform is available again.
    CHECK(fixture.push("drains", "dc2"));
    CHECK(fixture.push("endpoints", "e2"));
}
