//===- regionlimittest.cpp - Tests of allowed regions ---------------------===//

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace harelink;
using namespace harelink::testing;

namespace {

using Names = std::vector<std::string>;

/// Returns the configuration of proxied requests with "dc1" in "north" and "dc2" in "south", and
/// with the allowed regions of route "read" and account "drivers".
std::vector<Resource> regionConfiguration(const Names &routeRegions, const Names &accountRegions)
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

/// Sends 20 requests. Returns the data centres that got some, and "refused" if any was refused at
/// once.
std::set<std::string> servingDataCentres(const Names &routeRegions, const Names &accountRegions,
                                         std::uint64_t tokens = 0)
{
    ProxiedFixture fixture;
    fixture.snapshot =
        buildSnapshot(regionConfiguration(routeRegions, accountRegions), 2, "dc1", nullptr);
    for (int i = 0; i < 20; ++i) {
        fixture.arrive("/read/1", "key-1", {}, tokens);
    }
    std::set<std::string> dataCentres;
    for (const SendStage &send : fixture.sends) {
        dataCentres.insert(fixture.snapshot->endpoint(send.endpoint)->spec->dataCentre);
    }
    for (const AnswerCaller &answer : fixture.answers) {
        CHECK(answer.outcome == Outcome::NotRun);
        dataCentres.insert("refused");
    }
    return dataCentres;
}

} // namespace

TEST_GROUP(RegionLimit){};

TEST(RegionLimit, AllDataCentresServeWithoutALimit)
{
    CHECK((servingDataCentres({}, {}) == std::set<std::string>{"dc1", "dc2"}));
}

TEST(RegionLimit, RouteAndAccountEachLimitTheRegions)
{
    CHECK((servingDataCentres({"south"}, {}) == std::set<std::string>{"dc2"}));
    CHECK((servingDataCentres({}, {"south"}) == std::set<std::string>{"dc2"}));
    CHECK((servingDataCentres({"south", "nowhere"}, {}) == std::set<std::string>{"dc2"}));
}

/// A prompt stays in the allowed regions even if its preferred endpoint is outside of them.
TEST(RegionLimit, ThePreferredEndpointOfAPromptIsNoException)
{
    const std::set<std::string> dataCentres = servingDataCentres({"south"}, {}, 8000);
    CHECK(dataCentres.contains("dc2"));
    CHECK(!dataCentres.contains(
        "dc1")); // Some are refused: a single endpoint would have to prefill all.
}

TEST(RegionLimit, LimitsOfRouteAndAccountBothApply)
{
    CHECK((servingDataCentres({"north", "south"}, {"south"}) == std::set<std::string>{"dc2"}));
}

TEST(RegionLimit, ARequestIsRefusedAtOnceIfNoRegionIsAllowed)
{
    CHECK((servingDataCentres({"north"}, {"south"}) == std::set<std::string>{"refused"}));
    CHECK((servingDataCentres({"nowhere"}, {}) == std::set<std::string>{"refused"}));
}
