//===- storereturntest.cpp - Tests of a store that returns from a copy ----===//

#include "Kernel/controlfixture.h"
#include "store.h"

#include "harelink/Adapters/peerlink.h"
#include "harelink/Config/objectwriter.h"
#include "harelink/Kernel/controlmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

using namespace harelink;
using namespace harelink::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *hostKind = "harelink-hosts";
constexpr const char *quarantineKind = "harelink-quarantine";

/// The objects of a store. A copy of it is one that the store can return from.
struct Store
{
    std::uint64_t era = 1;
    std::uint64_t revision = 0;
    std::map<std::pair<std::string, std::string>, PlatformObject> objects;
    std::vector<PlatformObject> history;

    void write(const std::string &kind, const std::string &name, const std::string &value)
    {
        history.push_back({kind, name, ++revision, false, value});
        objects[{kind, name}] = history.back();
    }
    void remove(const std::string &kind, const std::string &name)
    {
        history.push_back({kind, name, ++revision, true, {}});
        objects.erase({kind, name});
    }
};

std::string manifest(int version, const std::string &key)
{
    const json value = {{"version", version},
                        {"routes", json::array()},
                        {"services", json::array()},
                        {"tenants", {{{"name", "t1"}, {"api-keys", {key}}}}}};
    return value.dump();
}

std::string server(const std::string &state)
{
    const json value = {{"service", "s"}, {"addr", "10.0.0.1:80"}, {"zone", "dc1"},
                        {"slots", 1},     {"state", state},        {"seq", 1}};
    return value.dump();
}

/// A control machine and the store that it calls.
template <GuardPolicy G = AllGuards>
struct Fixture
{
    Fixture()
    {
        ControlOptions options = controlOptions(dialect.objects());
        options.hostKind = hostKind;
        machine = std::make_unique<BasicControlMachine<G>>(clock, options);
    }

    void run(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(milliseconds(20));
            machine->tick();
            drain();
            for (const PlatformCall &call : std::exchange(calls, {})) {
                handleCall(call);
            }
            drain();
        }
    }
    void drain()
    {
        ControlOutput output = machine->drainOutput();
        calls.insert(calls.end(), output.calls.begin(), output.calls.end());
        returns += output.storeReturns.size();
        publications += output.configChanged ? 1 : 0;
    }
    void handleCall(const PlatformCall &call)
    {
        if (call.operation == PlatformOperation::Put) {
            handlePut(call);
        } else if (call.operation == PlatformOperation::Watch) {
            handleWatch(call);
        } else {
            const std::string kind =
                call.operation == PlatformOperation::Hosts ? hostKind : call.kind;
            json body = {{"items", json::array()}, {"store-revision", store.revision}};
            for (const auto &[key, object] : store.objects) {
                if (key.first == kind) {
                    body["items"].push_back(encode(object));
                }
            }
            answer(call, 200, body);
        }
    }
    void handleWatch(const PlatformCall &call)
    {
        json body = {{"events", json::array()}, {"store-revision", store.revision}};
        for (const PlatformObject &change : store.history) {
            if (change.kind == call.kind && change.version.revision > call.since.revision) {
                body["events"].push_back({{"object", encode(change)}, {"removed", change.deleted}});
            }
        }
        if (call.since.revision > store.revision || isHistoryGone) {
            answer(call, 410, json::object());
        } else if (!body["events"].empty() || endsWatches) {
            answer(call, 200, body);
        } else {
            calls.push_back(call);
        }
    }
    /// Encodes an object. A heartbeat changes that of a server without a new revision.
    json encode(const PlatformObject &object)
    {
        json spec = object.deleted ? json() : json::parse(object.value);
        if (object.kind == "servers" && spec.is_object()) {
            spec["seq"] = ++heartbeats;
        }
        return {{"meta", {{"name", object.name}, {"rev", object.version.revision}}},
                {"spec", spec}};
    }
    void answer(const PlatformCall &call, int status, const json &body)
    {
        HttpResult http;
        http.status = status;
        http.sent = true;
        http.body = body.dump();
        http.headers["store-era"] = std::to_string(store.era);
        machine->handle(dialect.decode(call, http));
    }
    void handlePut(const PlatformCall &call)
    {
        ++writes[call.kind];
        const auto found = store.objects.find({call.kind, call.name});
        const std::uint64_t current =
            found == store.objects.end() ? 0 : found->second.version.revision;
        if (current != call.ifVersion.revision) {
            answer(call, 409, encode(found->second));
            return;
        }
        store.write(call.kind, call.name, call.value);
        answer(call, 200, encode(store.objects.at({call.kind, call.name})));
    }
    void restore(const Store &copy)
    {
        restoreWithoutCut(copy);
        for (const PlatformCall &call : std::exchange(calls, {})) {
            PlatformResult unanswered;
            unanswered.id = call.id;
            machine->handle(unanswered);
        }
    }
    /// Lets the store return without cutting the watches that wait.
    void restoreWithoutCut(const Store &copy)
    {
        const std::uint64_t era = store.era + 1;
        store = copy;
        store.era = era;
    }
    [[nodiscard]] std::string key() const
    {
        for (const Resource &resource : machine->resources().resources) {
            if (const auto *account = std::get_if<ClientAccountSpec>(&resource.spec)) {
                return account->apiKeys.at(0);
            }
        }
        return {};
    }
    [[nodiscard]] const EndpointSpec *endpoint(const std::string &name) const
    {
        const ConfigEntry *entry = machine->config().endpoint(name);
        return entry == nullptr ? nullptr : entry->endpoint.get();
    }

    ManualClock clock;
    fleet::StoreDialect dialect;
    Store store;
    std::unique_ptr<BasicControlMachine<G>> machine;
    std::vector<PlatformCall> calls;
    std::map<std::string, int> writes; ///< By kind.
    std::size_t returns = 0;
    int publications = 0;
    int heartbeats = 0;
    bool endsWatches = false;   ///< Watches end at once.
    bool isHistoryGone = false; ///< Watches fail at once.
};

struct NoEras : AllGuards
{
    static constexpr bool ordersByEra = false;
};

struct NoRetention : AllGuards
{
    static constexpr bool retainsLostUpdates = false;
};

struct NoRewrites : AllGuards
{
    static constexpr bool rewritesLostObjects = false;
};

/// Lets the store return from a copy that holds an older manifest with the key "old".
template <GuardPolicy G>
void returnFromOlderManifest(Fixture<G> &fixture)
{
    fixture.store.write("config", "main", manifest(17, "old"));
    fixture.run(seconds(2));
    const Store copy = fixture.store;
    fixture.store.write("config", "main", manifest(26, "new"));
    fixture.run(seconds(2));
    STRCMP_EQUAL("new", fixture.key().c_str());
    fixture.restore(copy);
    fixture.run(seconds(4));
}

/// Writes a manifest and an object, and returns a copy of the store when both are in force.
template <GuardPolicy G>
Store copyWith(Fixture<G> &fixture, const std::string &kind, const std::string &name,
               const std::string &value)
{
    fixture.store.write("config", "main", manifest(1, "k"));
    fixture.store.write(kind, name, value);
    fixture.run(seconds(2));
    return fixture.store;
}

/// Lets an endpoint begin to leave, and the store return from a copy that holds it as ready.
template <GuardPolicy G>
bool isLeavingAfterReturn()
{
    Fixture<G> fixture;
    const Store copy = copyWith(fixture, "servers", "i-1", server("ready"));
    fixture.store.write("servers", "i-1", server("draining"));
    fixture.run(seconds(2));
    fixture.restore(copy);
    fixture.run(seconds(4));
    return fixture.endpoint("i-1")->leaving;
}

/// Returns whether an endpoint is known that the store, when it has returned, holds at the revision
/// at which the last watch ended.
template <GuardPolicy G>
bool knowsEndpointAtThePositionOfAWatch()
{
    Fixture<G> fixture;
    Store copy = copyWith(fixture, "servers", "i-1", server("ready"));
    fixture.store.write("servers", "i-1", server("draining"));
    fixture.run(seconds(2));
    copy.write("servers", "i-2", server("ready"));
    LONGS_EQUAL(fixture.store.revision, copy.revision);
    copy.write("servers", "i-3", server("ready"));
    fixture.restore(copy);
    fixture.run(seconds(2));
    CHECK(fixture.endpoint("i-3") != nullptr);
    return fixture.endpoint("i-2") != nullptr;
}

bool isDrained(const Fixture<> &fixture)
{
    const std::vector<Resource> resources = fixture.machine->resources().resources;
    return std::any_of(resources.begin(), resources.end(), [](const Resource &resource) {
        return std::holds_alternative<DataCentreDrainSpec>(resource.spec);
    });
}

std::string quarantine(const ManualClock &clock)
{
    QuarantineSpec spec;
    spec.digest = {1, 2};
    spec.pool = "s";
    spec.endpoints = {"i-1"};
    spec.since = clock.wallNow();
    spec.until = clock.wallNow() + std::chrono::hours(1);
    return quarantineDocument(spec).dump();
}

template <GuardPolicy G>
void returnWithoutQuarantine(Fixture<G> &fixture)
{
    fixture.store.write("config", "main", manifest(1, "k"));
    fixture.run(seconds(2));
    const Store copy = fixture.store;
    fixture.store.write(quarantineKind, toHex(Hash128{1, 2}), quarantine(fixture.clock));
    fixture.run(seconds(2));
    fixture.restore(copy);
    fixture.run(seconds(4));
}

template <GuardPolicy G>
std::string keyOfAHostThatStartsBesideAPeer()
{
    Fixture<G> fixture;
    fixture.store.era = 2;
    fixture.store.write("config", "main", manifest(17, "old"));
    Heartbeat heartbeat = std::get<Heartbeat>(heartbeatOf(2).content);
    heartbeat.storeEra = fixture.store.era;
    fixture.machine->handle(PeerMessage{"h2", 2, heartbeat});
    fixture.run(seconds(1));
    if (fixture.publications > 0) {
        return fixture.key();
    }
    Version retained(2, 1);
    retained = retained.retaining(Version(1, 53));
    fixture.machine->handle(PeerMessage{
        "h2", 2, ConfigPush({{"config", "main", retained, false, manifest(26, "new")}})});
    fixture.run(seconds(2));
    CHECK(fixture.publications > 0);
    return fixture.key();
}

/// Returns an account in harelink's own format; with a count if \p generation is not 0.
std::string account(int weight, std::uint64_t generation)
{
    json value = {{"kind", "ClientAccount"}, {"name", "lab"}, {"spec", {{"weight", weight}}}};
    if (generation != 0) {
        value[generationField] = generation;
    }
    return value.dump();
}

/// Returns the weight of the account in force.
double weightIn(const ConfigTable &table)
{
    return std::get<ClientAccountSpec>(table.resources().resources.at(0).spec).weight;
}

/// Returns the weight in force after a write of the weight 3 in an era that the daemon has learned
/// of at a later revision.
double weightAfterWriteOfAnEraLearnedLate(bool statesCount)
{
    ConfigTable table;
    (void)table.apply(
        {"ClientAccount", "lab", Version(1, 300), false, account(1, statesCount ? 10 : 0)});
    (void)table.setEra(2, 272);
    (void)table.apply(
        {"ClientAccount", "lab", Version(2, 271), false, account(3, statesCount ? 11 : 0)});
    return weightIn(table);
}

} // namespace

TEST_GROUP(StoreReturn){};

TEST(StoreReturn, ARevokedKeyStaysRevoked)
{
    Fixture<> fixture;
    returnFromOlderManifest(fixture);
    STRCMP_EQUAL("new", fixture.key().c_str());
    LONGS_EQUAL(1, fixture.returns);
    // The operator writes again, first what is still older.
    fixture.store.write("config", "main", manifest(19, "old"));
    fixture.run(seconds(1));
    STRCMP_EQUAL("new", fixture.key().c_str());
    fixture.store.write("config", "main", manifest(30, "newest"));
    fixture.run(seconds(1));
    STRCMP_EQUAL("newest", fixture.key().c_str());
}

TEST(StoreReturn, ControlWithoutRetentionUsesTheRevokedKeyAgain)
{
    Fixture<NoRetention> fixture;
    returnFromOlderManifest(fixture);
    STRCMP_EQUAL("old", fixture.key().c_str());
}

TEST(StoreReturn, AnEndpointThatHasLeftStaysAwayUntilItsObjectIsBelieved)
{
    Fixture<> fixture;
    const Store copy = copyWith(fixture, "servers", "i-1", server("ready"));
    fixture.store.remove("servers", "i-1");
    fixture.run(seconds(2));
    POINTERS_EQUAL(nullptr, fixture.endpoint("i-1"));
    fixture.restore(copy);
    fixture.run(seconds(8));
    POINTERS_EQUAL(nullptr, fixture.endpoint("i-1"));
    // A live endpoint keeps the object in the store.
    fixture.endsWatches = true;
    fixture.run(seconds(4));
    CHECK(fixture.endpoint("i-1") != nullptr);
}

TEST(StoreReturn, AnEndpointThatIsLeavingStaysSo)
{
    CHECK(isLeavingAfterReturn<AllGuards>());
}

TEST(StoreReturn, ControlWithoutRetentionALeavingEndpointIsReadyAgain)
{
    CHECK_FALSE(isLeavingAfterReturn<NoRetention>());
}

TEST(StoreReturn, AnEndpointOfTheCopyIsNotDeclaredAnew)
{
    Fixture<> fixture;
    const Store copy = copyWith(fixture, "servers", "i-1", server("ready"));
    fixture.machine->handleEndpointLeaving("i-1");
    LONGS_EQUAL(1, fixture.machine->leavingEndpoints().size());
    fixture.restore(copy);
    fixture.run(seconds(4));
    LONGS_EQUAL(1, fixture.machine->leavingEndpoints().size());
}

TEST(StoreReturn, AnEndpointThatTheCopyLacksIsRemovedOnlyAfterTheGracePeriod)
{
    Fixture<> fixture;
    const Store copy = copyWith(fixture, "servers", "i-2", server("ready"));
    fixture.store.write("servers", "i-1", server("ready"));
    fixture.run(seconds(2));
    fixture.restore(copy);
    fixture.run(seconds(2));
    CHECK(fixture.endpoint("i-1") != nullptr);
    fixture.run(seconds(2));
    POINTERS_EQUAL(nullptr, fixture.endpoint("i-1"));
}

TEST(StoreReturn, AnEndpointThatLeavesAtOnceIsBelieved)
{
    Fixture<> fixture;
    Store copy = copyWith(fixture, "servers", "i-1", server("ready"));
    for (int i = 0; i < 5; ++i) {
        fixture.store.write("servers", "i-2", server(i % 2 == 0 ? "ready" : "draining"));
    }
    fixture.run(seconds(2));
    copy.write("servers", "i-1", server("draining"));
    fixture.restore(copy);
    fixture.run(seconds(2));
    CHECK(fixture.endpoint("i-1")->leaving);
}

TEST(StoreReturn, ADrainThatHasEndedDoesNotComeBack)
{
    Fixture<> fixture;
    const Store copy = copyWith(fixture, "evacuations", "dc9", "{}");
    CHECK(isDrained(fixture));
    fixture.store.remove("evacuations", "dc9");
    fixture.run(seconds(2));
    fixture.restore(copy);
    fixture.run(seconds(4));
    CHECK_FALSE(isDrained(fixture));
}

TEST(StoreReturn, ADrainThatTheCopyLacksStaysUntilItWouldHaveBeenWrittenAgain)
{
    Fixture<> fixture;
    const Store copy = copyWith(fixture, "servers", "i-1", server("ready"));
    fixture.store.write("evacuations", "dc9", "{}");
    fixture.run(seconds(2));
    fixture.restore(copy);
    fixture.endsWatches = true;
    fixture.run(seconds(50));
    CHECK(isDrained(fixture));
    fixture.run(seconds(15));
    CHECK_FALSE(isDrained(fixture));
}

TEST(StoreReturn, AWatchThatTheStoreHasCountedPastMissesNothing)
{
    CHECK(knowsEndpointAtThePositionOfAWatch<AllGuards>());
}

TEST(StoreReturn, ControlWithoutErasAWatchMissesWhatTheStoreHasCountedPast)
{
    CHECK_FALSE(knowsEndpointAtThePositionOfAWatch<NoEras>());
}

TEST(StoreReturn, AnAnswerOfAnEarlierEraIsIgnored)
{
    Fixture<> fixture;
    returnFromOlderManifest(fixture);
    fixture.store.write("config", "main", manifest(30, "newest"));
    fixture.run(seconds(1));
    for (const PlatformCall &call : std::exchange(fixture.calls, {})) {
        PlatformResult late;
        late.id = call.id;
        late.outcome = PlatformOutcome::Ok;
        late.era = 1;
        late.version = 90;
        late.objects = {{"config", "main", 90, false, manifest(40, "lost")}};
        fixture.machine->handle(late);
    }
    STRCMP_EQUAL("newest", fixture.key().c_str());
    CHECK(fixture.machine->staleAnswers() > 0);
    fixture.run(seconds(1));
    STRCMP_EQUAL("newest", fixture.key().c_str());
}

TEST(StoreReturn, APeerOfAnEarlierEraChangesNothing)
{
    Fixture<> fixture;
    returnFromOlderManifest(fixture);
    fixture.store.write("config", "main", manifest(30, "newest"));
    fixture.run(seconds(1));
    fixture.machine->handle(PeerMessage{
        "h2", 2, ConfigPush({{"config", "main", Version(1, 99), false, manifest(26, "new")}})});
    STRCMP_EQUAL("newest", fixture.key().c_str());
}

TEST(StoreReturn, ASecondReturnKeepsTheManifestToo)
{
    Fixture<> fixture;
    returnFromOlderManifest(fixture);
    const Store copy = fixture.store;
    fixture.restore(copy);
    fixture.run(seconds(4));
    STRCMP_EQUAL("new", fixture.key().c_str());
    LONGS_EQUAL(2, fixture.returns);
}

TEST(StoreReturn, TheHostDeclaresItselfAgainOnce)
{
    Fixture<> fixture;
    fixture.store.write("config", "main", manifest(1, "k"));
    const Store copy = fixture.store;
    fixture.run(seconds(2));
    LONGS_EQUAL(1, fixture.writes[hostKind]);
    fixture.restore(copy);
    fixture.run(seconds(4));
    LONGS_EQUAL(2, fixture.writes[hostKind]);
    CHECK(fixture.store.objects.contains({hostKind, "h1"}));
}

TEST(StoreReturn, AQuarantineHoldsAndIsWrittenAgain)
{
    Fixture<> fixture;
    returnWithoutQuarantine(fixture);
    CHECK(fixture.store.objects.contains({quarantineKind, toHex(Hash128{1, 2})}));
    LONGS_EQUAL(1, fixture.writes[quarantineKind]);
}

TEST(StoreReturn, ControlWithoutRewritesLosesTheQuarantine)
{
    Fixture<NoRewrites> fixture;
    returnWithoutQuarantine(fixture);
    CHECK_FALSE(fixture.store.objects.contains({quarantineKind, toHex(Hash128{1, 2})}));
    LONGS_EQUAL(1, fixture.writes[hostKind]);
}

TEST(StoreReturn, AHostThatStartsThenUsesItsPeersNewerManifest)
{
    STRCMP_EQUAL("new", keyOfAHostThatStartsBesideAPeer<AllGuards>().c_str());
}

TEST(StoreReturn, ControlWithoutRetentionAHostThatStartsUsesTheCopy)
{
    STRCMP_EQUAL("old", keyOfAHostThatStartsBesideAPeer<NoRetention>().c_str());
}

TEST(StoreReturn, EqualRevisionsOfDifferentErasAreNotEqual)
{
    fleet::ManifestReader reader;
    ConfigTable first(reader);
    ConfigTable second(reader);
    (void)first.apply({"servers", "i-1", Version(1, 5), false, server("ready")});
    (void)second.apply({"servers", "i-1", Version(2, 5), false, server("draining")});
    CHECK(first.summary() != second.summary());
    CHECK(first.bucketHashes() != second.bucketHashes());
}

TEST(StoreReturn, MessagesBetweenDaemonsKeepEras)
{
    const Version version = Version(2, 20).retaining(Version(1, 53));
    ConfigDigest digest;
    digest.storeEra = 2;
    digest.lowestRevision = 21;
    digest.detailed = true;
    digest.entries.push_back({"config", "main", version});
    const auto read = decodePeerMessage(encodePeerMessage(PeerMessage{"h1", 1, digest}));
    const auto &decoded = std::get<ConfigDigest>(read->content);
    CHECK(decoded.entries.at(0).version == version);
    LONGS_EQUAL(2, decoded.storeEra);
    LONGS_EQUAL(21, decoded.lowestRevision);
    const auto push = decodePeerMessage(encodePeerMessage(
        PeerMessage{"h1", 1, ConfigPush({{"config", "main", version, false, "{}"}})}));
    CHECK(std::get<ConfigPush>(push->content).objects->at(0).version == version);
}

TEST(StoreReturn, AStoreThatNeverHasTheRevisionOfAWatchIsNotFlooded)
{
    ManualClock clock;
    ConfigTable table;
    ConfigWatcher watcher(clock, table);
    std::uint64_t nextId = 1;
    int callCount = 0;
    constexpr int elapsedSeconds = 5;
    constexpr int maxCallsPerSecond = 8;
    for (int i = 0; i < elapsedSeconds * 200; ++i) {
        clock.advance(milliseconds(5));
        std::vector<PlatformCall> calls;
        watcher.tick(calls, nextId);
        for (const PlatformCall &call : calls) {
            ++callCount;
            PlatformResult result;
            result.id = call.id;
            result.outcome = call.operation == PlatformOperation::List ? PlatformOutcome::Ok
                                                                       : PlatformOutcome::Gone;
            result.version = 7;
            watcher.handle(result);
        }
    }
    CHECK(callCount < elapsedSeconds * maxCallsPerSecond);
}

// Guards against operators' writes that all daemons take for an older copy, since they learned of
// the era late (KNOWN-RED.txt, restores-not-in-force-7).
TEST(StoreReturn, AWriteWithACountIsInForceInAnEraThatIsLearnedLate)
{
    DOUBLES_EQUAL(3, weightAfterWriteOfAnEraLearnedLate(true), 0);
}

TEST(StoreReturn, ControlWithoutACountAWriteOfSuchAnEraIsTakenForACopy)
{
    DOUBLES_EQUAL(1, weightAfterWriteOfAnEraLearnedLate(false), 0);
}

TEST(StoreReturn, ACopyWithALowerCountIsNotUsedWhateverItsRevision)
{
    ConfigTable table;
    (void)table.apply({"ClientAccount", "lab", Version(1, 300), false, account(2, 11)});
    (void)table.setEra(2, 10);
    (void)table.apply({"ClientAccount", "lab", Version(2, 269), false, account(1, 10)});
    DOUBLES_EQUAL(2, weightIn(table), 0);
    LONGS_EQUAL(1, table.drainRetained().size());
}

// Guards against a fleet of mixed objects: those written before counts were introduced.
TEST(StoreReturn, AnObjectWithoutACountIsComparedByRevision)
{
    ConfigTable table;
    (void)table.apply({"ClientAccount", "lab", Version(1, 300), false, account(2, 11)});
    (void)table.setEra(2, 100);
    (void)table.apply({"ClientAccount", "lab", Version(2, 90), false, account(1, 0)});
    DOUBLES_EQUAL(2, weightIn(table), 0);
    (void)table.apply({"ClientAccount", "lab", Version(2, 101), false, account(1, 0)});
    DOUBLES_EQUAL(1, weightIn(table), 0);
}

// Guards against a drain that stays for 60 s after its end, at hosts that list the store later.
TEST(StoreReturn, AHostThatListsLaterLearnsThatADrainHasEnded)
{
    const json drain = {
        {"kind", "DataCentreDrain"}, {"name", "dc1"}, {"spec", {{"dataCentre", "dc1"}}}};
    const std::string begun = withNextGeneration(drain, "", WallTime(seconds(10))).dump();
    const json end = withDrainEnd(drain, WallTime(seconds(20)));
    ConfigTable table;
    (void)table.apply({"DataCentreDrain", "dc1", Version(1, 300), false, begun});
    LONGS_EQUAL(1, table.resources().resources.size());
    (void)table.setEra(2, 272);
    const std::string ended = withNextGeneration(end, begun, WallTime(seconds(20))).dump();
    CHECK(table.applyListing({{"DataCentreDrain", "dc1", Version(2, 271), false, ended}},
                             Version(2, 272)));
    LONGS_EQUAL(0, table.resources().resources.size());
    // The store returns from a copy that still holds the drain.
    (void)table.setEra(3, 270);
    (void)table.apply({"DataCentreDrain", "dc1", Version(3, 260), false, begun});
    LONGS_EQUAL(0, table.resources().resources.size());
}

// Guards against an invalid count that makes an object unusable, or that nobody notices.
TEST(StoreReturn, AnInvalidCountIsReportedAndTheObjectIsUsed)
{
    ConfigTable table;
    CHECK(table.apply({"ClientAccount", "lab", Version(1, 3), false,
                       R"({"kind": "ClientAccount", "name": "lab", "generation": -4,
                           "spec": {"weight": 2}})"}));
    DOUBLES_EQUAL(2, weightIn(table), 0);
    const std::vector<ConfigFault> faults = table.drainFaults();
    LONGS_EQUAL(1, faults.size());
    STRCMP_EQUAL("ClientAccount", faults.front().kind.c_str());
    STRCMP_EQUAL("lab", faults.front().name.c_str());
    STRCMP_CONTAINS("generation: -4 is not", faults.front().fault.c_str());
    CHECK(faults.front().isUsed);
    LONGS_EQUAL(0, table.unreadableObjects());
}
