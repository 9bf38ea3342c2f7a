//===- poolpathtest.cpp - Tests of the path to a pool ---------------------===//

#include "piecefixture.h"

#include "harelink/Kernel/piecerouter.h"
#include "harelink/Kernel/routing.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;

namespace {

struct Fixture
{
    explicit Fixture(bool hasRelay = true)
        : snapshot(buildSnapshot(pieceConfiguration(4, 4), 1, "dc1", nullptr))
    {
        lostPools(hasRelay);
    }
    std::vector<std::string> lostPools(bool hasRelay = true)
    {
        return updateLostPools(*snapshot, hasRelay);
    }
    [[nodiscard]] const PoolEntry &pool() const { return *snapshot->pool("pieces"); }
    void fail(std::size_t endpoint, SendEvidence evidence = SendEvidence::NothingSent)
    {
        recordFailure(pool(), pool().endpoints[endpoint], evidence, clock.now());
    }

    ManualClock clock;
    std::unique_ptr<const Snapshot> snapshot;
};

} // namespace

TEST_GROUP(PoolPath){};

TEST(PoolPath, AnEndpointThatIsDownIsNotALostPath)
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.fail(0);
    }
    CHECK_FALSE(fixture.pool().isPathLost());
    CHECK_FALSE(isUsable(fixture.pool().endpoints[0], fixture.clock.now()));
}

TEST(PoolPath, ALostPathBlamesNoEndpoint)
{
    Fixture fixture;
    for (int round = 0; round < 4; ++round) {
        for (std::size_t i = 0; i < 4; ++i) {
            fixture.fail(i);
        }
    }
    CHECK(fixture.pool().isPathLost());
    CHECK(fixture.lostPools() == std::vector<std::string>{"pieces"});
    for (const EndpointEntry &endpoint : fixture.pool().endpoints) {
        CHECK(isUsable(endpoint, fixture.clock.now()));
    }
}

TEST(PoolPath, AnswersBetweenFailuresKeepThePath)
{
    Fixture fixture;
    for (std::size_t i = 0; i < 12; ++i) {
        fixture.fail(i % 4);
        if (i % 2 == 1) {
            fixture.pool().path->recordReached();
        }
    }
    CHECK_FALSE(fixture.pool().isPathLost());
}

TEST(PoolPath, WithoutPeersFailuresAreThoseOfTheEndpoints)
{
    Fixture fixture(false);
    for (int round = 0; round < 4; ++round) {
        for (std::size_t i = 0; i < 4; ++i) {
            fixture.fail(i);
        }
    }
    CHECK_FALSE(fixture.pool().isPathLost());
    CHECK_FALSE(isUsable(fixture.pool().endpoints[0], fixture.clock.now()));
}

TEST(PoolPath, IsProbedAtIntervalsUntilItIsRestored)
{
    Fixture fixture;
    PoolPath &path = *fixture.pool().path;
    CHECK_FALSE(path.claimProbe(fixture.clock.now()));
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.fail(i);
    }
    CHECK(path.claimProbe(fixture.clock.now()));
    CHECK_FALSE(path.claimProbe(fixture.clock.now()));
    fixture.clock.advance(PoolPath::probeInterval);
    CHECK(path.claimProbe(fixture.clock.now()));
    path.recordReached();
    fixture.clock.advance(PoolPath::probeInterval);
    CHECK_FALSE(path.claimProbe(fixture.clock.now()));
}

TEST(PoolPath, IsKeptByTheNextSnapshot)
{
    Fixture fixture;
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.fail(i);
    }
    fixture.snapshot = buildSnapshot(pieceConfiguration(4, 4), 2, "dc1", fixture.snapshot.get());
    CHECK(fixture.pool().isPathLost());
}
