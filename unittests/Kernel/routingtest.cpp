//===- routingtest.cpp - Tests of endpoint selection ----------------------===//

#include "piecefixture.h"

#include "harelink/Kernel/routing.h"
#include "harelink/Support/hash.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t manyPrefixes = 600;

/// Returns a snapshot with a pool that caches prompts and has endpoints in two data centres.
std::unique_ptr<const Snapshot> promptPool(int endpoints, const std::string &dataCentre)
{
    std::vector<Resource> resources;
    resources.push_back(makeResource(PoolSpec{"engines", "model-engine", 1, true}));
    for (int i = 0; i < endpoints; ++i) {
        EndpointSpec endpoint;
        endpoint.name = fmt::format("engine-{}", i);
        endpoint.pool = "engines";
        endpoint.dataCentre = i % 2 == 0 ? "dc1" : "dc2";
        endpoint.slots = 4;
        resources.push_back(makeResource(endpoint));
    }
    return buildSnapshot(resources, 1, dataCentre, nullptr);
}

std::string preferredName(const Snapshot &snapshot, std::uint64_t prefix)
{
    return snapshot.pool("engines")->preferredEndpoint(hash64("prefix", prefix))->spec->name;
}

} // namespace

TEST_GROUP(Routing)
{
    ManualClock clock;
    Random random{1};
    std::unique_ptr<RoutingPolicy> policy =
        Registry<RoutingPolicy>::instance().make("power-of-two");

    /// Returns how often each endpoint is selected in 100 runs.
    std::map<std::string, int> choices(const Snapshot &snapshot, const EndpointEntry *preferred)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i) {
            const RoutingQuery query{*snapshot.pool("engines"), clock.now(), preferred, nullptr};
            ++counts[policy->choose(query, random)->spec->name];
        }
        return counts;
    }
};

TEST(Routing, DaemonsInAllDataCentresAgreeOnThePreferredEndpoint)
{
    const auto here = promptPool(6, "dc1");
    const auto there = promptPool(6, "dc2");
    std::map<std::string, int> counts;
    for (std::uint64_t prefix = 0; prefix < manyPrefixes; ++prefix) {
        STRCMP_EQUAL(preferredName(*here, prefix).c_str(), preferredName(*there, prefix).c_str());
        ++counts[preferredName(*here, prefix)];
    }
    CHECK_EQUAL(6u, counts.size());
}

TEST(Routing, ANewEndpointMovesFewPrompts)
{
    const auto before = promptPool(6, "dc1");
    const auto after = promptPool(7, "dc1");
    std::uint64_t moved = 0;
    for (std::uint64_t prefix = 0; prefix < manyPrefixes; ++prefix) {
        const std::string now = preferredName(*after, prefix);
        if (now != preferredName(*before, prefix)) {
            STRCMP_EQUAL("engine-6", now.c_str());
            ++moved;
        }
    }
    CHECK(moved > 0);
    CHECK(moved < manyPrefixes / 3);
}

TEST(Routing, APromptGoesToItsPreferredEndpointUnlessThatIsMuchBusier)
{
    const auto snapshot = promptPool(6, "dc1");
    const PoolEntry &pool = *snapshot->pool("engines");
    for (const EndpointEntry &endpoint : pool.endpoints) {
        endpoint.load->latencyMicros = 100'000;
    }
    const EndpointEntry *preferred = pool.find("engine-3");
    CHECK_EQUAL(100, choices(*snapshot, preferred)["engine-3"]);
    preferred->load->report.record({20, 0, std::nullopt, std::nullopt}, clock.now());
    CHECK_EQUAL(0, choices(*snapshot, preferred)["engine-3"]);
}

TEST(Routing, UsesAnotherDataCentreIfTheOwnOneIsSlow)
{
    const auto snapshot = promptPool(6, "dc1");
    const PoolEntry &pool = *snapshot->pool("engines");
    for (const EndpointEntry &endpoint : pool.endpoints) {
        endpoint.load->latencyMicros = 50'000;
    }
    for (const auto &[name, count] : choices(*snapshot, nullptr)) {
        STRCMP_EQUAL("dc1", pool.find(name)->spec->dataCentre.c_str());
    }
    for (std::size_t i = 0; i < pool.localCount; ++i) {
        pool.endpoints[i].load->latencyMicros = 500'000;
    }
    int remote = 0;
    for (const auto &[name, count] : choices(*snapshot, nullptr)) {
        remote += pool.find(name)->spec->dataCentre == "dc2" ? count : 0;
    }
    CHECK(remote > 50);
}

TEST(Routing, ABrittleEndpointIsRejectedBySoFewThatItDoesNotFail)
{
    ManualClock clock;
    const auto snapshot = buildSnapshot(pieceConfiguration(2, 4), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("pieces");
    const EndpointEntry &first = pool.endpoints[0];
    const EndpointEntry &second = pool.endpoints[1];
    first.load->concurrencyLimit = 64;
    constexpr int daemons = 8;
    constexpr double bearable = 4;
    recordRejectionLimit(pool, first, bearable, daemons);
    // Each of the daemons sends whenever it may and is rejected each time.
    int rejections = 0;
    constexpr int seconds = 20;
    for (int i = 0; i < seconds * 100; ++i) {
        if (isEligible(first, clock.now())) {
            recordFailure(pool, first, SendEvidence::RefusedBeforeRun, clock.now());
            ++rejections;
        }
        clock.advance(std::chrono::milliseconds(10));
    }
    CHECK(rejections * daemons <= bearable * seconds + daemons);
    // Endpoints of a pool are brittle together.
    recordSend(second, clock.now());
    CHECK_FALSE(isEligible(second, clock.now()));
    recordRejectionLimit(pool, second, std::nullopt, daemons);
    second.load->concurrencyLimit = 64;
    CHECK(isEligible(second, clock.now()));
}
