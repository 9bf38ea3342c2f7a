//===- coldchecktest.cpp - Tests of daemons that ask whether endpoints are cold ===//

#include "controlfixture.h"
#include "proxiedfixture.h"

#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/controlmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The configuration of proxied requests, whose endpoints bear \p rate requests while they are
/// cold and can be asked.
std::vector<Resource> checkedConfiguration(int engines, double rate,
                                           const std::string &statusPath = "/status")
{
    std::vector<Resource> resources = proxiedConfiguration(engines);
    for (Resource &resource : resources) {
        if (auto *pool = std::get_if<PoolSpec>(&resource.spec); pool && pool->engine) {
            pool->coldRate = rate;
            pool->statusPath = statusPath;
        }
    }
    return resources;
}

/// A daemon that does not receive changes of endpoints.
struct CheckBench : ProxiedFixture
{
    explicit CheckBench(const std::string &statusPath = "/status")
    {
        snapshot = buildSnapshot(checkedConfiguration(3, 1, statusPath), 1, "dc1", nullptr);
        setReceivesUpdates(false);
    }
    void setReceivesUpdates(bool receives)
    {
        recordEndpointUpdatesUntil(*snapshot, receives ? TimePoint::max() : TimePoint::min(), {});
    }
    void answerCheck(const CheckColdState &check, std::optional<Duration> coldFor)
    {
        recordColdState(*snapshot, {check.endpoint, clock.now(), coldFor}, {}, clock.now());
        advance(milliseconds(5));
    }
};

/// Many daemons without updates, one endpoint that has turned cold, and requests that come
/// at \p perSecond, evenly, each to the next daemon; answers to checks take 2 ms.
class BlindFleet
{
public:
    BlindFleet(std::size_t hosts, double rate, bool asks)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            auto bench = std::make_unique<ProxiedFixture>();
            bench->snapshot = buildSnapshot(checkedConfiguration(1, rate, asks ? "/status" : ""), 1,
                                            "dc1", nullptr);
            const ColdShares shares(fmt::format("h{}", i), hosts);
            recordEndpointUpdatesUntil(*bench->snapshot, TimePoint::min(), shares);
            m_shares.push_back(shares);
            m_hosts.push_back(std::move(bench));
        }
    }
    /// Plays a second with the endpoint warm and two with it cold.
    void play(double perSecond)
    {
        constexpr milliseconds warmTime{1000};
        constexpr milliseconds end{3000};
        double due = 0;
        for (milliseconds now{}; now < end; now += milliseconds(1)) {
            for (due += perSecond / 1000; due >= 1; --due) {
                m_hosts[m_next++ % m_hosts.size()]->arrive("/read/1");
            }
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                turn(i, now, now < warmTime ? milliseconds(0) : end - now);
            }
        }
    }
    [[nodiscard]] std::size_t mostInASecond() const { return m_most; }
    [[nodiscard]] std::size_t served() const { return m_served; }

private:
    void turn(std::size_t host, milliseconds now, milliseconds coldFor)
    {
        ProxiedFixture &bench = *m_hosts[host];
        bench.advance(milliseconds(1));
        for (const SendStage &send : std::exchange(bench.sends, {})) {
            ++m_served;
            bench.answer(send);
            if (coldFor > milliseconds(0)) {
                m_arrivals.push_back(now);
            }
        }
        while (!m_arrivals.empty() && now - m_arrivals.front() >= seconds(1)) {
            m_arrivals.pop_front();
        }
        m_most = std::max(m_most, m_arrivals.size());
        for (const CheckColdState &check : std::exchange(bench.coldChecks, {})) {
            m_checks[now + milliseconds(2)].push_back(
                {host, {check.endpoint, bench.clock.now(), coldFor}});
        }
        answerChecks(now);
    }
    void answerChecks(milliseconds now)
    {
        while (!m_checks.empty() && m_checks.begin()->first <= now) {
            for (const auto &[host, state] : m_checks.begin()->second) {
                ProxiedFixture &bench = *m_hosts[host];
                recordColdState(*bench.snapshot, state, m_shares[host], bench.clock.now());
            }
            m_checks.erase(m_checks.begin());
        }
    }

    std::vector<std::unique_ptr<ProxiedFixture>> m_hosts;
    std::vector<ColdShares> m_shares;
    std::map<milliseconds, std::vector<std::pair<std::size_t, ColdStateChecked>>> m_checks;
    std::deque<milliseconds> m_arrivals; ///< At the cold endpoint, of a second.
    std::size_t m_most = 0;
    std::size_t m_next = 0;
    std::size_t m_served = 0;
};

} // namespace

TEST_GROUP(ColdCheck){};

TEST(ColdCheck, ADaemonThatReceivesUpdatesAsksNothing)
{
    CheckBench bench;
    bench.setReceivesUpdates(true);
    bench.arrive("/read/1");
    LONGS_EQUAL(0, bench.coldChecks.size());
    LONGS_EQUAL(1, bench.sends.size());
}

TEST(ColdCheck, ARequestGoesWhereTheEndpointSaysThatItIsWarm)
{
    CheckBench bench;
    bench.arrive("/read/1");
    LONGS_EQUAL(0, bench.sends.size());
    LONGS_EQUAL(1, bench.coldChecks.size());
    bench.answerCheck(bench.coldChecks.at(0), Duration::zero());
    LONGS_EQUAL(1, bench.sends.size());
    STRCMP_EQUAL(bench.coldChecks.at(0).endpoint.c_str(), bench.sends.at(0).endpoint.c_str());
}

TEST(ColdCheck, AnAnswerHoldsForATenthOfASecond)
{
    CheckBench bench;
    bench.arrive("/read/1");
    bench.answerCheck(bench.coldChecks.at(0), Duration::zero());
    bench.arrive("/read/1");
    LONGS_EQUAL(1, bench.coldChecks.size());
    LONGS_EQUAL(2, bench.sends.size());
    bench.advance(milliseconds(100));
    bench.arrive("/read/1");
    LONGS_EQUAL(2, bench.coldChecks.size());
    LONGS_EQUAL(2, bench.sends.size());
}

TEST(ColdCheck, ARequestGoesElsewhereWhereTheEndpointIsCold)
{
    CheckBench bench;
    bench.arrive("/read/1");
    bench.answerCheck(bench.coldChecks.at(0), seconds(2));
    bench.advance(milliseconds(20));
    LONGS_EQUAL(2, bench.coldChecks.size());
    CHECK(bench.coldChecks.at(0).endpoint != bench.coldChecks.at(1).endpoint);
    bench.answerCheck(bench.coldChecks.at(1), Duration::zero());
    LONGS_EQUAL(1, bench.sends.size());
    STRCMP_EQUAL(bench.coldChecks.at(1).endpoint.c_str(), bench.sends.at(0).endpoint.c_str());
}

TEST(ColdCheck, AnEndpointThatDoesNotAnswerIsLeftAlone)
{
    CheckBench bench;
    bench.arrive("/read/1");
    bench.answerCheck(bench.coldChecks.at(0), std::nullopt);
    bench.advance(milliseconds(20));
    CHECK(bench.coldChecks.size() >= 2);
    bench.answerCheck(bench.coldChecks.back(), Duration::zero());
    LONGS_EQUAL(1, bench.sends.size());
    CHECK(bench.coldChecks.front().endpoint != bench.sends.at(0).endpoint);
}

TEST(ColdCheck, QuestionsAreFewHoweverManyRequestsWait)
{
    CheckBench bench;
    for (int i = 0; i < 30; ++i) {
        bench.arrive("/read/1");
        bench.advance(milliseconds(1));
    }
    CHECK(bench.coldChecks.size() <= 2);
}

TEST(ColdCheck, EndpointsThatCannotBeAskedAreSentToAsBefore)
{
    CheckBench bench("");
    bench.arrive("/read/1");
    LONGS_EQUAL(0, bench.coldChecks.size());
    LONGS_EQUAL(1, bench.sends.size());
}

/// What a daemon was told before it stood still says nothing of what came after.
TEST(ColdCheck, AfterAStandstillThePlatformHasToAnswerAnew)
{
    ManualClock clock;
    ControlMachine control(clock, controlOptions());
    const auto answerCalls = [&control] {
        for (const PlatformCall &call : control.drainOutput().calls) {
            PlatformResult result;
            result.id = call.id;
            result.outcome = PlatformOutcome::Ok;
            control.handle(result);
        }
    };
    control.tick();
    CHECK(control.endpointUpdatesUntil() < clock.now());
    answerCalls();
    control.tick();
    const TimePoint until = control.endpointUpdatesUntil();
    CHECK(until > clock.now());
    clock.advance(seconds(10)); // Whatever was due came late.
    CHECK(until < clock.now());
    control.tick();
    CHECK(control.endpointUpdatesUntil() < clock.now());
    answerCalls();
    control.tick();
    answerCalls();
    control.tick();
    CHECK(control.endpointUpdatesUntil() > clock.now());
}

/// Nobody is told that the endpoint has turned cold. What it gets is what comes while the last
/// answers hold, and each daemon's part of what it bears.
TEST(ColdCheck, ManyDaemonsWithoutUpdatesKeepTheBoundTogether)
{
    constexpr double rate = 9.1;
    constexpr double mostInASecond = rate * 1.5 + 5;
    constexpr double load = 60;
    for (const std::size_t hosts : {9U, 100U, 400U}) {
        BlindFleet fleet(hosts, rate, true);
        fleet.play(load);
        CHECK(static_cast<double>(fleet.mostInASecond()) <= mostInASecond);
        CHECK(static_cast<double>(fleet.served()) >= load * 0.9);
    }
    BlindFleet control(9, rate, false);
    control.play(load);
    CHECK(static_cast<double>(control.mostInASecond()) > mostInASecond);
}
