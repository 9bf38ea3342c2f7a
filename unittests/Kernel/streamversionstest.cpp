//===- streamversionstest.cpp - Tests of streams and software versions ----===//
///
/// \file
/// Endpoints of several software versions serve in one pool. What two versions write does not fit
/// together, so a stream may be continued only at the version that sent its first event.
///
//===----------------------------------------------------------------------===//

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Versions = std::vector<std::optional<std::string>>;

/// Returns the configuration of proxied requests with one engine for each of \p versions.
std::unique_ptr<const Snapshot> snapshotWith(const Versions &versions)
{
    std::vector<Resource> resources = proxiedConfiguration(static_cast<int>(versions.size()));
    std::size_t engine = 0;
    for (Resource &resource : resources) {
        auto *endpoint = std::get_if<EndpointSpec>(&resource.spec);
        if (endpoint != nullptr && endpoint->pool == "engines") {
            endpoint->softwareVersion = versions[engine++];
        }
    }
    return buildSnapshot(resources, 2, "dc1", nullptr);
}

/// A fixture with engines of several versions.
struct VersionFixture : ProxiedFixture
{
    explicit VersionFixture(const Versions &versions, std::uint64_t seed = 1)
        : ProxiedFixture(static_cast<int>(versions.size()), 9, seed)
    {
        snapshot = snapshotWith(versions);
    }
    void breakCall(const SendStage &stage) { fail(stage, SendEvidence::Sent, std::nullopt, true); }
};

constexpr std::uint64_t seeds = 20;

} // namespace

TEST_GROUP(StreamVersions){};

TEST(StreamVersions, BrokenStreamContinuesAtTheVersionThatBeganIt)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VersionFixture fixture({"v1", "v1", "v2", "v2", "v3", "v3"}, seed);
        fixture.arrive("/talk/1");
        fixture.event(fixture.sends[0], 1);
        fixture.breakCall(fixture.sends[0]);
        LONGS_EQUAL(2, fixture.sends.size());
        CHECK(fixture.sends[0].softwareVersion == fixture.sends[1].softwareVersion);
        CHECK(fixture.sends[0].endpoint != fixture.sends[1].endpoint);
    }
}

TEST(StreamVersions, AttemptWithoutAnEventLeavesTheStreamFree)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/talk/1");
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].softwareVersion != fixture.sends[1].softwareVersion);
}

TEST(StreamVersions, StreamEndsAtOnceIfItsVersionTakesNoNewWork)
{
    VersionFixture fixture({"v1", "v2", "v3"});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    markLeaving(*fixture.snapshot, fixture.sends[0].endpoint);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(StreamVersions, VersionIsThatOfTheEndpointWhenTheCallWasSent)
{
    VersionFixture fixture({"v1", "v1", "v2", "v2"});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    const bool isFirst = fixture.sends[0].softwareVersion == "v1";
    // The endpoints of its version are replaced while the stream runs.
    fixture.snapshot =
        snapshotWith(isFirst ? Versions{"v3", "v3", "v2", "v2"} : Versions{"v1", "v1", "v3", "v3"});
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
}

TEST(StreamVersions, UnknownVersionEqualsNoOther)
{
    VersionFixture fixture({std::nullopt, std::nullopt, std::nullopt});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
}

TEST(StreamVersions, StreamThatWaitsForItsVersionHoldsUpNoOtherRequest)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.snapshot->endpoint(fixture.sends[0].endpoint)->load->concurrencyLimit.store(0);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    LONGS_EQUAL(1, fixture.machine.queued());
    fixture.arrive("/read/1");
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].endpoint != fixture.sends[1].endpoint);
    LONGS_EQUAL(1, fixture.machine.queued());
}

TEST(StreamVersions, OtherRequestsAreRetriedAtAnyVersion)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/read/1");
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].softwareVersion != fixture.sends[1].softwareVersion);
}
