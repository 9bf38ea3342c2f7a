//===- configgossiptest.cpp - Tests of the configuration gossip -----------===//

#include "harelink/Kernel/configgossipimpl.h"
#include "harelink/Kernel/configmachineimpl.h"

#include "kernelfixture.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <memory>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t watcherCount = 6;

/// The gossip of ten daemons of one data centre, which all receive each other's heartbeats.
class GossipFixture
{
public:
    GossipFixture()
    {
        for (int i = 0; i < 10; ++i) {
            m_names.push_back(fmt::format("h{}", i));
        }
        for (const std::string &name : m_names) {
            m_hosts.push_back(std::make_unique<Host>(m_clock, name));
        }
        for (const auto &host : m_hosts) {
            // All daemons have the same first object.
            (void)host->table.apply({"Pool", "first", 1, false, "{}"});
            (void)host->table.drainUpdates();
            host->gossip.setConnected(true);
        }
        run(milliseconds(1500));
    }

    /// Applies an update from the platform at all watchers except those in \p cut.
    void applyUpdate(Version version, const std::set<std::string> &cut)
    {
        for (const auto &host : m_hosts) {
            if (host->gossip.shouldWatch() && !cut.contains(host->name)) {
                (void)host->table.apply({"Pool", "first", version, false, "{}"});
                host->gossip.pushUpdates();
            }
        }
    }
    void run(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(milliseconds(10));
            exchangeHeartbeats();
            for (const auto &host : m_hosts) {
                host->gossip.tick();
            }
            deliver();
        }
    }
    /// Returns the daemons that watch; those that push come first.
    [[nodiscard]] std::vector<std::string> watchers() const
    {
        std::vector<std::string> names;
        for (const auto &host : m_hosts) {
            if (host->gossip.shouldWatch()) {
                names.push_back(host->name);
            }
        }
        std::sort(names.begin(), names.end(), [](const auto &a, const auto &b) {
            return hash64("watch/" + a) > hash64("watch/" + b);
        });
        return names;
    }
    [[nodiscard]] int hostsWithVersion(Version version) const
    {
        int count = 0;
        for (const auto &host : m_hosts) {
            count += host->table.entries().begin()->second.seenVersion == version ? 1 : 0;
        }
        return count;
    }
    [[nodiscard]] int pushes() const { return m_pushes; }

private:
    struct Host
    {
        Host(const Clock &clock, const std::string &hostName)
            : name(hostName)
            , membership(clock, hostName, hostName + ":1", "dc1", 1)
            , gossip(clock, membership, table, watcherCount)
        {
        }
        std::string name;
        Membership membership;
        ConfigTable table;
        BasicConfigGossip<AllGuards> gossip;
    };

    void exchangeHeartbeats()
    {
        for (const auto &from : m_hosts) {
            Heartbeat heartbeat;
            heartbeat.dataCentre = "dc1";
            heartbeat.address = from->name + ":1";
            for (const auto &to : m_hosts) {
                to->membership.recordMessage({from->name, 1, heartbeat});
            }
        }
    }
    void deliver()
    {
        for (bool more = true; more;) {
            more = false;
            for (const auto &from : m_hosts) {
                for (const PeerSend &send : from->gossip.drainSends()) {
                    more = true;
                    handle(from->name, send);
                }
            }
        }
    }
    void handle(const std::string &from, const PeerSend &send)
    {
        for (const auto &to : m_hosts) {
            if (to->name != send.host) {
                continue;
            }
            if (const auto *push = std::get_if<ConfigPush>(&send.message.content)) {
                ++m_pushes;
                (void)to->gossip.handle(*push);
            } else if (const auto *digest = std::get_if<ConfigDigest>(&send.message.content)) {
                to->gossip.handle(from, *digest);
            }
        }
    }

    ManualClock m_clock;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<Host>> m_hosts;
    int m_pushes = 0;
};

} // namespace

TEST_GROUP(ConfigGossip){};

TEST(ConfigGossip, FewDaemonsWatchAndTwoPush)
{
    GossipFixture fixture;
    LONGS_EQUAL(watcherCount, fixture.watchers().size());
    const int before = fixture.pushes();
    fixture.applyUpdate(7, {});
    fixture.run(milliseconds(20));
    LONGS_EQUAL(10, fixture.hostsWithVersion(7));
    fixture.run(milliseconds(2000));
    LONGS_EQUAL(2 * 9, fixture.pushes() - before);
}

TEST(ConfigGossip, OtherWatchersCompensateForPushersThatMissAnUpdate)
{
    GossipFixture fixture;
    const std::vector<std::string> watchers = fixture.watchers();
    // The pushers still consider themselves connected, and agree with all daemons that miss it.
    fixture.applyUpdate(7, {watchers[0], watchers[1]});
    fixture.run(milliseconds(700));
    LONGS_EQUAL(10, fixture.hostsWithVersion(7));
}

TEST(ConfigGossip, OneWatcherThatReceivesAnUpdateIsEnough)
{
    GossipFixture fixture;
    const std::vector<std::string> watchers = fixture.watchers();
    fixture.applyUpdate(7, {watchers.begin(), watchers.end() - 1});
    fixture.run(milliseconds(700));
    LONGS_EQUAL(10, fixture.hostsWithVersion(7));
}
