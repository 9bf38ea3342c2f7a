//===- regionlimittest.cpp - Tests of the regions that may serve ----------===//

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace harelink;
using namespace harelink::testing;

namespace {

using Names = std::vector<std::string>;

/// The configuration of proxied requests, with "dc1" in "north" and "dc2" in "south"; route
/// "read" and account "drivers" name regions.
std::vector<Resource> limited(const Names &routeRegions, const Names &accountRegions)
{
    std::vector<Resource> resources = proxiedConfiguration();
    for (Resource &resource : resources) {
        if (auto *pipeline = std::get_if<PipelineSpec>(&resource.spec)) {
            pipeline->route->allowedRegions = routeRegions;
        }
        if (auto *account = std::get_if<ClientAccountSpec>(&resource.spec)) {
            account->allowedRegions = accountRegions;
        }
    }
    resources.push_back(makeResource(DataCentreSpec{"dc1", "north"}));
    resources.push_back(makeResource(DataCentreSpec{"dc2", "south"}));
    return resources;
}

/// Where 20 requests were sent: data centres, each once; "refused" for those that were, at once.
std::set<std::string> placesOf(const Names &routeRegions, const Names &accountRegions,
                               std::uint64_t tokens = 0)
{
    ProxiedFixture bench;
    bench.snapshot = buildSnapshot(limited(routeRegions, accountRegions), 2, "dc1", nullptr);
    for (int i = 0; i < 20; ++i) {
        bench.arrive("/read/1", "key-1", {}, tokens);
    }
    std::set<std::string> places;
    for (const SendStage &send : bench.sends) {
        places.insert(bench.snapshot->endpoint(send.endpoint)->spec.dataCentre);
    }
    for (const AnswerCaller &answer : bench.answers) {
        CHECK(answer.outcome == Outcome::NotRun);
        places.insert("refused");
    }
    return places;
}

} // namespace

TEST_GROUP(RegionLimit){};

TEST(RegionLimit, WithoutOneAllServe)
{
    CHECK((placesOf({}, {}) == std::set<std::string>{"dc1", "dc2"}));
}

TEST(RegionLimit, ARequestIsServedWhereItsRouteOrItsAccountAllows)
{
    CHECK((placesOf({"south"}, {}) == std::set<std::string>{"dc2"}));
    CHECK((placesOf({}, {"south"}) == std::set<std::string>{"dc2"}));
    CHECK((placesOf({"south", "nowhere"}, {}) == std::set<std::string>{"dc2"}));
}

/// Also where the home of its prompt stands elsewhere.
TEST(RegionLimit, APromptsHomeIsNoReasonToCross)
{
    const std::set<std::string> places = placesOf({"south"}, {}, 8000);
    CHECK(places.contains("dc2"));
    CHECK(!places.contains("dc1")); // Some are refused: there is one endpoint to read them all.
}

TEST(RegionLimit, BothBindWhereBothNameSome)
{
    CHECK((placesOf({"north", "south"}, {"south"}) == std::set<std::string>{"dc2"}));
}

TEST(RegionLimit, WhereNoneIsLeftARequestIsRefusedAtOnce)
{
    CHECK((placesOf({"north"}, {"south"}) == std::set<std::string>{"refused"}));
    CHECK((placesOf({"nowhere"}, {}) == std::set<std::string>{"refused"}));
}
