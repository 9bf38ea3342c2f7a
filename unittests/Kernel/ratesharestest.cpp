//===- ratesharestest.cpp - Tests of announced rate limits ----------------===//

#include "controlfixture.h"
#include "proxiedfixture.h"

#include "harelink/Kernel/rateshares.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> allEngines = {"engine-0", "engine-1", "engine-2"};

struct LimitFixture : ProxiedFixture
{
    void announce(const std::string &endpoint, std::optional<double> perSecond,
                  std::size_t hosts = 9)
    {
        applyLimit(*snapshot, endpoint, {perSecond, clock.now()}, {"h1", hosts, hosts},
                   clock.now());
    }
    void announceAll(std::optional<double> perSecond, std::size_t hosts = 9)
    {
        for (const std::string &endpoint : allEngines) {
            announce(endpoint, perSecond, hosts);
        }
    }
};

/// Hosts with one snapshot each of the same engine. While a host sends, it always has a request
/// for that engine.
class Fleet
{
public:
    /// \param partitions Number of network partitions of equal size.
    Fleet(std::size_t hosts, std::size_t partitions, bool isBatched, const std::string &endpoint)
        : m_hosts(hosts)
        , m_partitions(partitions)
        , m_endpoint(endpoint)
    {
        std::vector<Resource> resources;
        PoolSpec pool{"pool", "carried", 1};
        if (isBatched) {
            pool.pieces = PieceWorkSpec{};
        }
        resources.push_back(makeResource(pool));
        EndpointSpec spec;
        spec.name = endpoint;
        spec.pool = "pool";
        spec.address = "127.0.0.1:1";
        spec.slots = 64;
        resources.push_back(makeResource(spec));
        for (std::size_t i = 0; i < hosts; ++i) {
            m_snapshots.push_back(buildSnapshot(resources, 1, "dc1", nullptr));
        }
    }

    /// Applies the limit at \p host.
    void applyTo(std::size_t host, double perSecond, bool knowsAllHosts = true)
    {
        const std::size_t known = knowsAllHosts ? m_hosts : 1;
        const std::size_t reachable = std::max<std::size_t>(1, known / m_partitions);
        applyLimit(*m_snapshots[host], m_endpoint, {perSecond, m_now},
                   {fmt::format("h{}", host), known, reachable}, m_now);
    }
    /// Lets \p senders send in all their send slots for \p duration.
    void run(Duration duration, const std::vector<std::size_t> &senders)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += milliseconds(20)) {
            for (const std::size_t host : senders) {
                const EndpointEntry &entry = *m_snapshots[host]->endpoint(m_endpoint);
                if (claimSendSlot(entry, m_now)) {
                    recordSend(entry, m_now);
                    ++m_sent;
                    m_window.push_back(m_now);
                }
            }
            while (!m_window.empty() && m_now - m_window.front() >= RateTolerance::window) {
                m_window.pop_front();
            }
            m_maxInWindow = std::max(m_maxInWindow, m_window.size());
        }
    }
    void idle(Duration duration) { m_now += duration; }
    [[nodiscard]] double maxInWindow() const { return static_cast<double>(m_maxInWindow); }
    [[nodiscard]] double sent() const { return static_cast<double>(m_sent); }

private:
    std::size_t m_hosts;
    std::size_t m_partitions;
    std::string m_endpoint;
    std::vector<std::unique_ptr<const Snapshot>> m_snapshots;
    TimePoint m_now = TimePoint(seconds(1000));
    std::deque<TimePoint> m_window;
    std::size_t m_maxInWindow = 0;
    std::size_t m_sent = 0;
};

std::vector<std::size_t> allOf(std::size_t hosts)
{
    std::vector<std::size_t> all(hosts);
    for (std::size_t i = 0; i < hosts; ++i) {
        all[i] = i;
    }
    return all;
}

} // namespace

TEST_GROUP(RateShares){};

TEST(RateShares, AllHostsTogetherKeepTheLimitUnderLoadAndAfterAnIdlePeriod)
{
    for (const std::size_t hosts : {3U, 9U, 30U, 400U}) {
        for (const double rate : {0.0, 0.25, 1.0, 4.0, 20.0}) {
            const int endpoints = hosts > 100 ? 10 : 24;
            double sent = 0;
            for (int i = 0; i < endpoints; ++i) {
                Fleet fleet(hosts, 1, false, fmt::format("e{}", i));
                for (std::size_t host = 0; host < hosts; ++host) {
                    fleet.applyTo(host, rate);
                }
                fleet.run(seconds(20), allOf(hosts));
                fleet.idle(seconds(2000));
                fleet.run(seconds(20), allOf(hosts));
                CHECK(fleet.maxInWindow() <= RateTolerance::requests(rate));
                sent += fleet.sent();
            }
            const double used = sent / endpoints / 40;
            // Most of the rate is used if all hosts send, at least a quarter if some are selected.
            const bool allSend = static_cast<double>(hosts) <= RateTolerance::requests(rate);
            CHECK(used >= rate * (allSend ? 0.9 : 0.25));
        }
    }
}

/// Control: each host uses the whole limit.
TEST(RateShares, HostsThatDoNotShareTheLimitExceedIt)
{
    for (const std::size_t hosts : {9U, 400U}) {
        Fleet fleet(hosts, 1, false, "e");
        for (std::size_t host = 0; host < hosts; ++host) {
            fleet.applyTo(host, 1, false);
        }
        fleet.run(seconds(8), allOf(hosts));
        CHECK(fleet.maxInWindow() > RateTolerance::requests(1));
    }
}

TEST(RateShares, BatchersInDifferentNetworkPartitionsKeepTheLimitTogether)
{
    for (const std::size_t hosts : {9U, 400U}) {
        for (const std::size_t partitions : {std::size_t{1}, std::size_t{3}, hosts}) {
            for (const double rate : {0.25, 1.0, 4.0}) {
                Fleet fleet(hosts, partitions, true, "e");
                std::vector<std::size_t> batchers;
                for (std::size_t partition = 0; partition < partitions; ++partition) {
                    batchers.push_back(partition);
                    fleet.applyTo(partition, rate);
                }
                if (partitions == 1) {
                    batchers.push_back(1); // While another host takes over, both send.
                    fleet.applyTo(1, rate);
                }
                fleet.run(seconds(40), batchers);
                CHECK(fleet.maxInWindow() <= RateTolerance::requests(rate));
            }
        }
    }
}

TEST(RateShares, ADaemonThatHasJustStartedHasNoShare)
{
    CHECK(!RateShares().shareOf("e", 1));
    CHECK(!RateShares().batcherShareOf("e", 1));
}

TEST(RateShares, ARepeatedAnnouncementDoesNotDelayTheNextSend)
{
    LimitFixture fixture;
    fixture.announce("engine-0", 1);
    const EndpointEntry &entry = *fixture.snapshot->endpoint("engine-0");
    CHECK(claimSendSlot(entry, fixture.clock.now()));
    CHECK(!claimSendSlot(entry, fixture.clock.now()));
    for (int i = 0; i < 9; ++i) {
        fixture.clock.advance(seconds(1));
        fixture.announce("engine-0", 1, 9 + static_cast<std::size_t>(i % 2));
    }
    CHECK(claimSendSlot(entry, fixture.clock.now()));
}

TEST_GROUP(EndpointRateLimit){};

TEST(EndpointRateLimit, OtherEndpointsServeWhatTheLimitedOneDoesNotAccept)
{
    LimitFixture fixture;
    fixture.announce("engine-0", 1);
    for (int i = 0; i < 16; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(16, fixture.sends.size());
    const auto limited =
        std::count_if(fixture.sends.begin(), fixture.sends.end(),
                      [](const auto &send) { return send.endpoint == "engine-0"; });
    CHECK(limited <= 1);
}

TEST(EndpointRateLimit, IfAllAreLimitedRequestsWithoutASendSlotAreRefusedAtOnce)
{
    LimitFixture fixture;
    fixture.announceAll(1);
    for (int i = 0; i < 10; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(3, fixture.sends.size());
    LONGS_EQUAL(7, fixture.answers.size());
    for (const AnswerCaller &answer : fixture.answers) {
        CHECK(answer.outcome == Outcome::NotRun);
        CHECK(answer.reason == Reason::NoEndpoint);
        CHECK(answer.retryAfter > Duration::zero());
        CHECK(answer.retryAfter <= seconds(1));
    }
}

TEST(EndpointRateLimit, ARequestWaitsForASendSlotBeforeItsDeadline)
{
    LimitFixture fixture;
    fixture.announceAll(9); // One send slot per second.
    for (int i = 0; i < 3; ++i) {
        fixture.arrive("/read/1");
    }
    fixture.advance(milliseconds(600));
    LONGS_EQUAL(3, fixture.sends.size());
    for (int i = 0; i < 8; ++i) {
        fixture.arrive("/read/1");
    }
    const std::size_t refused = fixture.answers.size();
    fixture.advance(milliseconds(450));
    LONGS_EQUAL(6, fixture.sends.size());
    LONGS_EQUAL(5, refused);
    LONGS_EQUAL(refused, fixture.answers.size());
}

TEST(EndpointRateLimit, ALiftedLimitDelaysNoRequest)
{
    LimitFixture fixture;
    fixture.announceAll(1);
    fixture.announceAll(std::nullopt);
    for (int i = 0; i < 10; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(10, fixture.sends.size());
}

TEST(EndpointRateLimit, PeersReportLimitsAndTheirEnd)
{
    const TimePoint start = TimePoint(seconds(100));
    EndpointLimits first;
    EndpointLimits second;
    const auto exchange = [](EndpointLimits &from, EndpointLimits &to, TimePoint now) {
        bool hasChanged = false;
        for (const EndpointLimitReport &report : from.reports(now)) {
            hasChanged = to.recordReport(report, now) || hasChanged;
        }
        return hasChanged;
    };
    CHECK(first.record("e", {1.0, start}, start));
    CHECK(exchange(first, second, start + seconds(1)));
    CHECK(!exchange(second, first, start + seconds(1)));
    CHECK(second.record("e", {std::nullopt, start + seconds(2)}, start + seconds(2)));
    CHECK(exchange(second, first, start + seconds(3)));
    CHECK(first.inForce().empty());
}

TEST(EndpointRateLimit, AHostThatWasPartitionedWhenALimitWasLiftedLearnsOfIt)
{
    const TimePoint start = TimePoint(seconds(100));
    const TimePoint later = start + std::chrono::minutes(10);
    EndpointLimits partitioned;
    EndpointLimits other;
    partitioned.record("e", {1.0, start}, start);
    other.record("e", {1.0, start}, start);
    other.record("e", {std::nullopt, start + seconds(5)}, start + seconds(5));
    CHECK(other.reports(later).empty());
    EndpointLimits fresh;
    for (const EndpointLimitReport &report : partitioned.reports(later)) {
        CHECK(!other.recordReport(report, later));
        CHECK(
            !fresh.recordReport(report, later)); // Too old for a host that does not know the limit.
    }
    for (const EndpointLimitReport &report : other.reports(later)) {
        CHECK(partitioned.recordReport(report, later));
    }
    CHECK(partitioned.inForce().empty());
}
