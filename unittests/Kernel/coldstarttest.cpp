//===- coldstarttest.cpp - Tests of cold endpoints ------------------------===//

#include "proxiedfixture.h"

#include "harelink/Kernel/coldstart.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double rate = 9.1;
/// Maximum number of requests that all daemons together may send to a cold endpoint in a second.
constexpr double maxPerSecond = rate * 1.5 + 5;

/// Returns the configuration of proxied requests with the endpoints in \p cold declared cold for
/// two seconds.
std::vector<Resource> coldConfiguration(int engines, const std::vector<std::string> &cold,
                                        const std::vector<std::string> &drained = {})
{
    std::vector<Resource> resources = proxiedConfiguration(engines);
    for (Resource &resource : resources) {
        if (auto *pool = std::get_if<PoolSpec>(&resource.spec); pool && pool->engine) {
            pool->coldRate = rate;
            pool->coldTime = milliseconds(3000);
        }
        auto *endpoint = std::get_if<EndpointSpec>(&resource.spec);
        if (endpoint != nullptr && endpoint->pool == "engines") {
            const bool isCold = std::find(cold.begin(), cold.end(), endpoint->name) != cold.end();
            endpoint->coldFor = milliseconds(isCold ? 2000 : 0);
        }
    }
    for (const std::string &dataCentre : drained) {
        resources.push_back(makeResource(DataCentreDrainSpec{dataCentre, dataCentre}));
    }
    return resources;
}

EndpointSpec &endpointIn(std::vector<Resource> &resources, const std::string &name)
{
    for (Resource &resource : resources) {
        auto *endpoint = std::get_if<EndpointSpec>(&resource.spec);
        if (endpoint != nullptr && endpoint->name == name) {
            return *endpoint;
        }
    }
    FAIL("no endpoint of this name");
    return std::get<EndpointSpec>(resources.front().spec);
}

struct ColdFixture : ProxiedFixture
{
    ColdFixture() { apply(coldConfiguration(3, {}), {}); }
    void apply(const std::vector<Resource> &resources, const ColdShares &shares)
    {
        std::unique_ptr<const Snapshot> next = buildSnapshot(resources, 2, "dc1", snapshot.get());
        recordColdStarts(*next, *snapshot, clock.now(), shares);
        snapshot = std::move(next);
    }
    [[nodiscard]] bool isColdNow(const std::string &name) const
    {
        return isCold(*snapshot->endpoint(name), clock.now());
    }
};

const std::vector<std::string> allEngines = {"engine-0", "engine-1", "engine-2"};

} // namespace

TEST_GROUP(ColdStart){};

TEST(ColdStart, AColdEndpointGetsNoRequestsWhileOthersServe)
{
    ColdFixture fixture;
    fixture.apply(coldConfiguration(3, {"engine-0", "engine-2"}), {"h1", 1});
    for (int i = 0; i < 8; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(8, fixture.sends.size());
    for (const SendStage &send : fixture.sends) {
        STRCMP_EQUAL("engine-1", send.endpoint.c_str());
    }
}

TEST(ColdStart, AnEndpointIsUsedAgainAfterItsColdTime)
{
    ColdFixture fixture;
    fixture.apply(coldConfiguration(3, {"engine-0"}), {});
    CHECK(fixture.isColdNow("engine-0"));
    // A repeated declaration does not restart the cold time.
    fixture.advance(milliseconds(1500));
    fixture.apply(coldConfiguration(3, {"engine-0"}), {});
    fixture.advance(milliseconds(600));
    CHECK(!fixture.isColdNow("engine-0"));
}

TEST(ColdStart, AnEndpointMayBecomeColdAgainAndThenWarm)
{
    ColdFixture fixture;
    CHECK(!fixture.isColdNow("engine-0"));
    fixture.apply(coldConfiguration(3, {"engine-0"}), {});
    CHECK(fixture.isColdNow("engine-0"));
    fixture.apply(coldConfiguration(3, {}), {});
    CHECK(!fixture.isColdNow("engine-0"));
}

TEST(ColdStart, ANewEndpointWithoutADeclaredStateIsCold)
{
    ColdFixture fixture;
    std::vector<Resource> resources = coldConfiguration(4, {});
    endpointIn(resources, "engine-3").coldFor.reset();
    fixture.apply(resources, {});
    CHECK(fixture.isColdNow("engine-3"));
    fixture.advance(milliseconds(3001));
    CHECK(!fixture.isColdNow("engine-3"));
}

/// Endpoints that exist when a daemon starts have probably been running for a long time.
TEST(ColdStart, AStartingDaemonAssumesEndpointsWithoutADeclaredStateToBeWarm)
{
    std::vector<Resource> resources = coldConfiguration(3, {"engine-1"});
    endpointIn(resources, "engine-0").coldFor.reset();
    const Snapshot emptySnapshot;
    const auto snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    recordColdStarts(*snapshot, emptySnapshot, TimePoint(seconds(9)), {});
    CHECK(!isCold(*snapshot->endpoint("engine-0"), TimePoint(seconds(9))));
    CHECK(isCold(*snapshot->endpoint("engine-1"), TimePoint(seconds(9))));
}

TEST(ColdStart, EndpointsAreColdAfterTheDrainOfTheirDataCentreEnds)
{
    ColdFixture fixture;
    fixture.apply(coldConfiguration(3, {}, {"dc2"}), {});
    fixture.apply(coldConfiguration(3, {}), {});
    CHECK(fixture.isColdNow("engine-1"));
    CHECK(!fixture.isColdNow("engine-0"));
    fixture.advance(milliseconds(3001));
    CHECK(!fixture.isColdNow("engine-1"));
}

TEST(ColdStart, IfAllAreColdSelectedDaemonsSendEachOneRequestPerSecond)
{
    ColdFixture fixture;
    fixture.apply(coldConfiguration(3, allEngines), {"h1", 4}); // With four hosts, each may send.
    for (int i = 0; i < 10; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(3, fixture.sends.size());
    for (const SendStage &send : fixture.sends) {
        fixture.answer(send);
    }
    LONGS_EQUAL(3, fixture.sends.size());
    fixture.advance(milliseconds(1100));
    fixture.arrive("/read/1");
    CHECK(fixture.sends.size() >= 4);
}

/// Callers do not wait for an endpoint that cannot serve them in time.
TEST(ColdStart, ARequestIsRefusedAtOnceIfNoEndpointMayBeSentTo)
{
    ColdFixture fixture;
    fixture.apply(coldConfiguration(3, allEngines), {});
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.sends.size());
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
}

/// The bound holds for all daemons together, regardless of which hosts know each other. It holds
/// under a network partition between three data centres too, since hosts behind it still count.
TEST(ColdStart, AllDaemonsTogetherStayWithinTheRateOfAnEndpoint)
{
    constexpr int endpoints = 600;
    for (const std::size_t hosts : {3U, 9U, 89U, 300U, 400U}) {
        double sum = 0;
        for (int i = 0; i < endpoints; ++i) {
            double perSecond = 0;
            for (std::size_t host = 0; host < hosts; ++host) {
                const ColdShares shares(fmt::format("h{}", host), hosts);
                const auto interval = shares.intervalAt(fmt::format("e{}", i), rate);
                // The maximum number of sends at this interval that fall into one second.
                perSecond +=
                    interval ? std::ceil(std::chrono::duration<double>(seconds(1)) / *interval) : 0;
            }
            CHECK(perSecond <= maxPerSecond);
            sum += perSecond;
        }
        // About half of the rate is used.
        CHECK(sum / endpoints > rate / 4);
        // Control: each daemon sends as if it were the only one.
        CHECK(hosts < 4 || static_cast<double>(hosts) * rate / 2 > maxPerSecond);
    }
}

TEST(ColdStart, AnEndpointWithNoRateGetsNoRequests)
{
    const ColdShares shares("h1", 3);
    CHECK(!shares.intervalAt("e1", 0));
    CHECK(!shares.intervalAt("e1", -1));
    CHECK(!ColdShares().intervalAt("e1", rate));
}
