//===- configexchangetest.cpp - Tests of the paged comparison -------------===//

#include "harelink/Kernel/configexchangeimpl.h"
#include "harelink/Kernel/configmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

PlatformObject objectOf(int index, Version version)
{
    // A long name, so that many pages are needed.
    return {"Pool", fmt::format("{:0>200}", index), version, false, "{}"};
}

/// A daemon with its table, which knows the other one.
struct Side
{
    Side(const Clock &clock, const std::string &name, const std::string &other)
        : membership(clock, name, name + ":1", "dc1", 1)
        , exchange(clock, membership, table)
    {
        Heartbeat heartbeat;
        heartbeat.dataCentre = "dc1";
        heartbeat.address = other + ":1";
        membership.recordMessage({other, 1, heartbeat});
    }
    /// Handles a message of \p host.
    void handle(const std::string &host, const PeerMessage &message, bool isComplete)
    {
        if (const auto *push = std::get_if<ConfigPush>(&message.content)) {
            for (const PlatformObject &object : *push->objects) {
                (void)table.apply(object);
            }
            return;
        }
        exchange.handle(host, std::get<ConfigDigest>(message.content), isComplete);
    }

    Membership membership;
    ConfigTable table;
    BasicConfigExchange<AllGuards> exchange;
};

constexpr int objectCount = 3000;

struct Fixture
{
    Fixture()
    {
        for (int i = 0; i < objectCount; ++i) {
            (void)second.table.apply(objectOf(i, static_cast<std::uint64_t>(i) + 1));
        }
    }
    /// Delivers all messages until the first daemon has completed its fetch, or none is left.
    /// Returns the number of pages.
    int fetch()
    {
        int pages = 0;
        while (!first.exchange.hasCompleted()) {
            const std::vector<PeerSend> requests = first.exchange.drainSends();
            if (requests.empty()) {
                break;
            }
            for (const PeerSend &send : requests) {
                second.handle("a", send.message, true);
            }
            ++pages;
            for (const PeerSend &send : second.exchange.drainSends()) {
                first.handle("b", send.message, false);
            }
        }
        return pages;
    }

    ManualClock clock;
    Side first{clock, "a", "b"};
    Side second{clock, "b", "a"};
};

} // namespace

TEST_GROUP(ConfigExchange){};

TEST(ConfigExchange, AFetchTransfersAllObjectsInPages)
{
    Fixture fixture;
    CHECK(fixture.first.exchange.start("b", true));
    CHECK(fixture.fetch() > 1);
    CHECK(fixture.first.exchange.hasCompleted());
    LONGS_EQUAL(objectCount, fixture.first.table.entries().size());
}

/// Updates that are pushed during a fetch fill buckets in part. A daemon that took them for whole
/// would put a part of a configuration in force.
TEST(ConfigExchange, AFetchIsCompleteAlthoughPushesHaveFilledBucketsInPart)
{
    Fixture fixture;
    for (int i = 0; i < objectCount; i += 3) {
        (void)fixture.first.table.apply(objectOf(i, static_cast<std::uint64_t>(i) + 1));
    }
    CHECK(fixture.first.exchange.start("b", true));
    (void)fixture.fetch();
    CHECK(fixture.first.exchange.hasCompleted());
    LONGS_EQUAL(objectCount, fixture.first.table.entries().size());
}

/// After a start of all daemons the first one that is asked may not run yet.
TEST(ConfigExchange, AHostThatDoesNotReplyIsSoonGivenUp)
{
    Fixture fixture;
    CHECK(fixture.first.exchange.start("b", true));
    fixture.clock.advance(milliseconds(500));
    fixture.first.exchange.tick();
    CHECK(!fixture.first.exchange.isPending());
}

TEST(ConfigExchange, AHostThatRepliesGetsMoreTimeForAPage)
{
    Fixture fixture;
    CHECK(fixture.first.exchange.start("b", true));
    for (const PeerSend &send : fixture.first.exchange.drainSends()) {
        fixture.second.handle("a", send.message, true);
    }
    for (const PeerSend &send : fixture.second.exchange.drainSends()) {
        fixture.first.handle("b", send.message, false);
    }
    // The next page may take longer on a slow link.
    fixture.clock.advance(milliseconds(1000));
    fixture.first.exchange.tick();
    CHECK(fixture.first.exchange.isPending());
}
