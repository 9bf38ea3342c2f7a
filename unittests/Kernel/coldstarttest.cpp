//===- coldstarttest.cpp - Tests of endpoints that are cold ---------------===//

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
/// What all daemons together may send to a cold endpoint in a second.
constexpr double mostInASecond = rate * 1.5 + 5;

/// The configuration of proxied requests, whose endpoints in \p cold say that they are cold for
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

struct ColdBench : ProxiedFixture
{
    ColdBench() { take(coldConfiguration(3, {}), {}); }
    void take(const std::vector<Resource> &resources, const ColdShares &shares)
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

TEST(ColdStart, NothingIsSentToOneThatIsColdWhileOthersServe)
{
    ColdBench bench;
    bench.take(coldConfiguration(3, {"engine-0", "engine-2"}), {"h1", 1});
    for (int i = 0; i < 8; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(8, bench.sends.size());
    for (const SendStage &send : bench.sends) {
        STRCMP_EQUAL("engine-1", send.endpoint.c_str());
    }
}

TEST(ColdStart, ItIsUsedAgainWhenItsTimeIsOver)
{
    ColdBench bench;
    bench.take(coldConfiguration(3, {"engine-0"}), {});
    CHECK(bench.isColdNow("engine-0"));
    // The same words again are no news: they are as old as they were.
    bench.advance(milliseconds(1500));
    bench.take(coldConfiguration(3, {"engine-0"}), {});
    bench.advance(milliseconds(600));
    CHECK(!bench.isColdNow("engine-0"));
}

TEST(ColdStart, ItMayTurnColdAgainAndSayThatItIsWarm)
{
    ColdBench bench;
    CHECK(!bench.isColdNow("engine-0"));
    bench.take(coldConfiguration(3, {"engine-0"}), {});
    CHECK(bench.isColdNow("engine-0"));
    bench.take(coldConfiguration(3, {}), {});
    CHECK(!bench.isColdNow("engine-0"));
}

TEST(ColdStart, ANewEndpointThatSaysNothingIsCold)
{
    ColdBench bench;
    std::vector<Resource> resources = coldConfiguration(4, {});
    endpointIn(resources, "engine-3").coldFor.reset();
    bench.take(resources, {});
    CHECK(bench.isColdNow("engine-3"));
    bench.advance(milliseconds(3001));
    CHECK(!bench.isColdNow("engine-3"));
}

/// What stands there when a daemon starts has likely been there for long.
TEST(ColdStart, ADaemonThatStartsTakesThoseThatSayNothingForWarm)
{
    std::vector<Resource> resources = coldConfiguration(3, {"engine-1"});
    endpointIn(resources, "engine-0").coldFor.reset();
    const Snapshot nothing;
    const auto snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    recordColdStarts(*snapshot, nothing, TimePoint(seconds(9)), {});
    CHECK(!isCold(*snapshot->endpoint("engine-0"), TimePoint(seconds(9))));
    CHECK(isCold(*snapshot->endpoint("engine-1"), TimePoint(seconds(9))));
}

TEST(ColdStart, EndpointsOfADataCentreThatIsTakenBackAreCold)
{
    ColdBench bench;
    bench.take(coldConfiguration(3, {}, {"dc2"}), {});
    bench.take(coldConfiguration(3, {}), {});
    CHECK(bench.isColdNow("engine-1"));
    CHECK(!bench.isColdNow("engine-0"));
    bench.advance(milliseconds(3001));
    CHECK(!bench.isColdNow("engine-1"));
}

TEST(ColdStart, WhereAllAreColdEachGetsOneRequestASecondFromThoseThatMaySend)
{
    ColdBench bench;
    bench.take(coldConfiguration(3, allEngines), {"h1", 4}); // Of four hosts each may.
    for (int i = 0; i < 10; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(3, bench.sends.size());
    for (const SendStage &send : bench.sends) {
        bench.answer(send);
    }
    LONGS_EQUAL(3, bench.sends.size());
    bench.advance(milliseconds(1100));
    bench.arrive("/read/1");
    CHECK(bench.sends.size() >= 4);
}

/// Callers never wait for an endpoint that cannot serve them in time.
TEST(ColdStart, WhereNoneMayBeSentToARequestIsRefusedAtOnce)
{
    ColdBench bench;
    bench.take(coldConfiguration(3, allEngines), {});
    bench.arrive("/read/1");
    LONGS_EQUAL(0, bench.sends.size());
    LONGS_EQUAL(1, bench.answers.size());
    CHECK(bench.answers.at(0).outcome == Outcome::NotRun);
}

/// All daemons together stay within the bound, whatever each knows of the others: also where
/// three data centres are cut from each other, since those behind a cut are counted on.
TEST(ColdStart, AllDaemonsTogetherSendNoMoreThanOneBears)
{
    constexpr int endpoints = 600;
    for (const std::size_t hosts : {3U, 9U, 89U, 300U, 400U}) {
        double sum = 0;
        for (int i = 0; i < endpoints; ++i) {
            double perSecond = 0;
            for (std::size_t host = 0; host < hosts; ++host) {
                const ColdShares shares(fmt::format("h{}", host), hosts);
                const auto interval = shares.intervalAt(fmt::format("e{}", i), rate);
                // Sends that leave an interval apart: so many may fall into one second.
                perSecond +=
                    interval ? std::ceil(std::chrono::duration<double>(seconds(1)) / *interval) : 0;
            }
            CHECK(perSecond <= mostInASecond);
            sum += perSecond;
        }
        // It is used, too: about half of what it bears.
        CHECK(sum / endpoints > rate / 4);
        // The control: each daemon for itself, as if it were alone.
        CHECK(hosts < 4 || static_cast<double>(hosts) * rate / 2 > mostInASecond);
    }
}

TEST(ColdStart, AnEndpointThatBearsNothingGetsNothing)
{
    const ColdShares shares("h1", 3);
    CHECK(!shares.intervalAt("e1", 0));
    CHECK(!shares.intervalAt("e1", -1));
    CHECK(!ColdShares().intervalAt("e1", rate));
}
