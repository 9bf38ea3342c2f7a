//===- ratesharestest.cpp - Tests of endpoints that state rate limits -----===//

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

struct LimitBench : ProxiedFixture
{
    void state(const std::string &endpoint, std::optional<double> perSecond, std::size_t hosts = 9)
    {
        applyLimit(*snapshot, endpoint, {perSecond, clock.now()}, {"h1", hosts, hosts},
                   clock.now());
    }
    void stateAll(std::optional<double> perSecond, std::size_t hosts = 9)
    {
        for (const std::string &endpoint : allEngines) {
            state(endpoint, perSecond, hosts);
        }
    }
};

/// Hosts that each have a snapshot of their own with the same engine, and always a request
/// for it while they are busy.
class Fleet
{
public:
    /// \param splits of the hosts that cannot hear each other.
    Fleet(std::size_t hosts, std::size_t splits, bool isBatched, const std::string &endpoint)
        : m_hosts(hosts)
        , m_splits(splits)
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

    /// Host \p number hears of the limit.
    void tell(std::size_t number, double perSecond, bool keepsShare = true)
    {
        const std::size_t known = keepsShare ? m_hosts : 1;
        const std::size_t heard = std::max<std::size_t>(1, known / m_splits);
        applyLimit(*m_snapshots[number], m_endpoint, {perSecond, m_now},
                   {fmt::format("h{}", number), known, heard}, m_now);
    }
    /// All of \p senders send what they may for \p time.
    void run(Duration time, const std::vector<std::size_t> &senders)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += milliseconds(20)) {
            for (const std::size_t number : senders) {
                const EndpointEntry &entry = *m_snapshots[number]->endpoint(m_endpoint);
                if (claimSendSlot(entry, m_now)) {
                    recordSend(entry, m_now);
                    ++m_sent;
                    m_window.push_back(m_now);
                }
            }
            while (!m_window.empty() && m_now - m_window.front() >= RateTolerance::window) {
                m_window.pop_front();
            }
            m_most = std::max(m_most, m_window.size());
        }
    }
    void idle(Duration time) { m_now += time; }
    [[nodiscard]] double most() const { return static_cast<double>(m_most); }
    [[nodiscard]] double sent() const { return static_cast<double>(m_sent); }

private:
    std::size_t m_hosts;
    std::size_t m_splits;
    std::string m_endpoint;
    std::vector<std::unique_ptr<const Snapshot>> m_snapshots;
    TimePoint m_now = TimePoint(seconds(1000));
    std::deque<TimePoint> m_window;
    std::size_t m_most = 0;
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

TEST(RateShares, AllHostsTogetherKeepAnEndpointsLimitBusyAtOnceOrAfterAPause)
{
    for (const std::size_t hosts : {3U, 9U, 30U, 400U}) {
        for (const double rate : {0.0, 0.25, 1.0, 4.0, 20.0}) {
            const int endpoints = hosts > 100 ? 10 : 24;
            double sent = 0;
            for (int i = 0; i < endpoints; ++i) {
                Fleet fleet(hosts, 1, false, fmt::format("e{}", i));
                for (std::size_t host = 0; host < hosts; ++host) {
                    fleet.tell(host, rate);
                }
                fleet.run(seconds(20), allOf(hosts));
                fleet.idle(seconds(2000));
                fleet.run(seconds(20), allOf(hosts));
                CHECK(fleet.most() <= RateTolerance::requests(rate));
                sent += fleet.sent();
            }
            const double used = sent / endpoints / 40;
            // What it accepts is used: a quarter where hosts are drawn, else nearly all.
            const bool allSend = static_cast<double>(hosts) <= RateTolerance::requests(rate);
            CHECK(used >= rate * (allSend ? 0.9 : 0.25));
        }
    }
}

/// The control: each host takes the limit for its own.
TEST(RateShares, HostsThatTakeTheLimitForTheirOwnExceedIt)
{
    for (const std::size_t hosts : {9U, 400U}) {
        Fleet fleet(hosts, 1, false, "e");
        for (std::size_t host = 0; host < hosts; ++host) {
            fleet.tell(host, 1, false);
        }
        fleet.run(seconds(8), allOf(hosts));
        CHECK(fleet.most() > RateTolerance::requests(1));
    }
}

TEST(RateShares, BatchersOfHostsThatAreCutOffFromEachOtherKeepALimitTogether)
{
    for (const std::size_t hosts : {9U, 400U}) {
        for (const std::size_t splits : {std::size_t{1}, std::size_t{3}, hosts}) {
            for (const double rate : {0.25, 1.0, 4.0}) {
                Fleet fleet(hosts, splits, true, "e");
                std::vector<std::size_t> batchers;
                for (std::size_t part = 0; part < splits; ++part) {
                    batchers.push_back(part);
                    fleet.tell(part, rate);
                }
                if (splits == 1) {
                    batchers.push_back(1); // Another host takes over, and both send for a while.
                    fleet.tell(1, rate);
                }
                fleet.run(seconds(40), batchers);
                CHECK(fleet.most() <= RateTolerance::requests(rate));
            }
        }
    }
}

TEST(RateShares, ADaemonThatHasJustStartedHasNoShare)
{
    CHECK(!RateShares().shareOf("e", 1));
    CHECK(!RateShares().batcherShareOf("e", 1));
}

TEST(RateShares, ARepeatedStatementDoesNotPostponeTheNextSend)
{
    LimitBench bench;
    bench.state("engine-0", 1);
    const EndpointEntry &entry = *bench.snapshot->endpoint("engine-0");
    CHECK(claimSendSlot(entry, bench.clock.now()));
    CHECK(!claimSendSlot(entry, bench.clock.now()));
    for (int i = 0; i < 9; ++i) {
        bench.clock.advance(seconds(1));
        bench.state("engine-0", 1, 9 + static_cast<std::size_t>(i % 2));
    }
    CHECK(claimSendSlot(entry, bench.clock.now()));
}

TEST_GROUP(EndpointRateLimit){};

TEST(EndpointRateLimit, TheOthersServeWhatOneDoesNotAccept)
{
    LimitBench bench;
    bench.state("engine-0", 1);
    for (int i = 0; i < 16; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(16, bench.sends.size());
    const auto limited =
        std::count_if(bench.sends.begin(), bench.sends.end(),
                      [](const auto &send) { return send.endpoint == "engine-0"; });
    CHECK(limited <= 1);
}

TEST(EndpointRateLimit, WhereAllAreLimitedTheTurnsAreUsedAndTheRestIsRefusedAtOnce)
{
    LimitBench bench;
    bench.stateAll(1);
    for (int i = 0; i < 10; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(3, bench.sends.size());
    LONGS_EQUAL(7, bench.answers.size());
    for (const AnswerCaller &answer : bench.answers) {
        CHECK(answer.outcome == Outcome::NotRun);
        CHECK(answer.reason == Reason::NoEndpoint);
        CHECK(answer.retryAfter > Duration::zero());
        CHECK(answer.retryAfter <= seconds(1));
    }
}

TEST(EndpointRateLimit, ARequestWaitsForATurnThatComesInTime)
{
    LimitBench bench;
    bench.stateAll(9); // A turn in each second.
    for (int i = 0; i < 3; ++i) {
        bench.arrive("/read/1");
    }
    bench.advance(milliseconds(600));
    LONGS_EQUAL(3, bench.sends.size());
    for (int i = 0; i < 8; ++i) {
        bench.arrive("/read/1");
    }
    const std::size_t refused = bench.answers.size();
    bench.advance(milliseconds(450));
    LONGS_EQUAL(6, bench.sends.size());
    LONGS_EQUAL(5, refused);
    LONGS_EQUAL(refused, bench.answers.size());
}

TEST(EndpointRateLimit, ALiftedLimitHoldsNothingBack)
{
    LimitBench bench;
    bench.stateAll(1);
    bench.stateAll(std::nullopt);
    for (int i = 0; i < 10; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(10, bench.sends.size());
}

TEST(EndpointRateLimit, PeersTellOfLimitsAndOfTheirEnd)
{
    const TimePoint start = TimePoint(seconds(100));
    EndpointLimits first;
    EndpointLimits second;
    const auto exchange = [](EndpointLimits &from, EndpointLimits &to, TimePoint now) {
        bool isChange = false;
        for (const EndpointLimitReport &report : from.reports(now)) {
            isChange = to.recordReport(report, now) || isChange;
        }
        return isChange;
    };
    CHECK(first.record("e", {1.0, start}, start));
    CHECK(exchange(first, second, start + seconds(1)));
    CHECK(!exchange(second, first, start + seconds(1)));
    CHECK(second.record("e", {std::nullopt, start + seconds(2)}, start + seconds(2)));
    CHECK(exchange(second, first, start + seconds(3)));
    CHECK(first.inForce().empty());
}

TEST(EndpointRateLimit, AHostThatWasCutOffWhileALimitEndedHearsOfIt)
{
    const TimePoint start = TimePoint(seconds(100));
    const TimePoint later = start + std::chrono::minutes(10);
    EndpointLimits cutOff;
    EndpointLimits other;
    cutOff.record("e", {1.0, start}, start);
    other.record("e", {1.0, start}, start);
    other.record("e", {std::nullopt, start + seconds(5)}, start + seconds(5));
    CHECK(other.reports(later).empty());
    EndpointLimits fresh;
    for (const EndpointLimitReport &report : cutOff.reports(later)) {
        CHECK(!other.recordReport(report, later));
        CHECK(!fresh.recordReport(report, later)); // Too old for one that never heard of it.
    }
    for (const EndpointLimitReport &report : other.reports(later)) {
        CHECK(cutOff.recordReport(report, later));
    }
    CHECK(cutOff.inForce().empty());
}
