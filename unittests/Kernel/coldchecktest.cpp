//===- coldchecktest.cpp - Tests of status checks of cold endpoints -------===//

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

/// Returns the configuration of proxied requests with endpoints that accept \p rate requests per
/// second while cold and have a status path.
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

/// A daemon that receives no updates of endpoints.
struct CheckFixture : ProxiedFixture
{
    explicit CheckFixture(const std::string &statusPath = "/status")
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

/// Daemons without updates and one endpoint that becomes cold. Requests arrive evenly, round-robin
/// over the daemons; status checks take 2 ms.
class FleetWithoutUpdates
{
public:
    FleetWithoutUpdates(std::size_t hosts, double rate, bool checks)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            auto fixture = std::make_unique<ProxiedFixture>();
            fixture->snapshot = buildSnapshot(
                checkedConfiguration(1, rate, checks ? "/status" : ""), 1, "dc1", nullptr);
            const ColdShares shares(fmt::format("h{}", i), hosts);
            recordEndpointUpdatesUntil(*fixture->snapshot, TimePoint::min(), shares);
            m_shares.push_back(shares);
            m_hosts.push_back(std::move(fixture));
        }
    }
    /// Simulates \p perSecond requests for one second with a warm endpoint and two with a cold one.
    void run(double perSecond)
    {
        constexpr milliseconds warmTime{1000};
        constexpr milliseconds end{3000};
        double due = 0;
        for (milliseconds now{}; now < end; now += milliseconds(1)) {
            for (due += perSecond / 1000; due >= 1; --due) {
                m_hosts[m_next++ % m_hosts.size()]->arrive("/read/1");
            }
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                step(i, now, now < warmTime ? milliseconds(0) : end - now);
            }
        }
    }
    [[nodiscard]] std::size_t maxPerSecond() const { return m_maxPerSecond; }
    [[nodiscard]] std::size_t served() const { return m_served; }

private:
    void step(std::size_t host, milliseconds now, milliseconds coldFor)
    {
        ProxiedFixture &fixture = *m_hosts[host];
        fixture.advance(milliseconds(1));
        for (const SendStage &send : std::exchange(fixture.sends, {})) {
            ++m_served;
            fixture.answer(send);
            if (coldFor > milliseconds(0)) {
                m_arrivals.push_back(now);
            }
        }
        while (!m_arrivals.empty() && now - m_arrivals.front() >= seconds(1)) {
            m_arrivals.pop_front();
        }
        m_maxPerSecond = std::max(m_maxPerSecond, m_arrivals.size());
        for (const CheckColdState &check : std::exchange(fixture.coldChecks, {})) {
            m_checks[now + milliseconds(2)].push_back(
                {host, {check.endpoint, fixture.clock.now(), coldFor}});
        }
        answerChecks(now);
    }
    void answerChecks(milliseconds now)
    {
        while (!m_checks.empty() && m_checks.begin()->first <= now) {
            for (const auto &[host, state] : m_checks.begin()->second) {
                ProxiedFixture &fixture = *m_hosts[host];
                recordColdState(*fixture.snapshot, state, m_shares[host], fixture.clock.now());
            }
            m_checks.erase(m_checks.begin());
        }
    }

    std::vector<std::unique_ptr<ProxiedFixture>> m_hosts;
    std::vector<ColdShares> m_shares;
    std::map<milliseconds, std::vector<std::pair<std::size_t, ColdStateChecked>>> m_checks;
    std::deque<milliseconds> m_arrivals; ///< At the cold endpoint in the last second.
    std::size_t m_maxPerSecond = 0;
    std::size_t m_next = 0;
    std::size_t m_served = 0;
};

} // namespace

TEST_GROUP(ColdCheck){};

TEST(ColdCheck, ADaemonThatReceivesUpdatesSendsNoChecks)
{
    CheckFixture fixture;
    fixture.setReceivesUpdates(true);
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.coldChecks.size());
    LONGS_EQUAL(1, fixture.sends.size());
}

TEST(ColdCheck, ARequestIsSentOnceTheEndpointReportsThatItIsWarm)
{
    CheckFixture fixture;
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.sends.size());
    LONGS_EQUAL(1, fixture.coldChecks.size());
    fixture.answerCheck(fixture.coldChecks.at(0), Duration::zero());
    LONGS_EQUAL(1, fixture.sends.size());
    STRCMP_EQUAL(fixture.coldChecks.at(0).endpoint.c_str(), fixture.sends.at(0).endpoint.c_str());
}

TEST(ColdCheck, AReportIsValidFor100Milliseconds)
{
    CheckFixture fixture;
    fixture.arrive("/read/1");
    fixture.answerCheck(fixture.coldChecks.at(0), Duration::zero());
    fixture.arrive("/read/1");
    LONGS_EQUAL(1, fixture.coldChecks.size());
    LONGS_EQUAL(2, fixture.sends.size());
    fixture.advance(milliseconds(100));
    fixture.arrive("/read/1");
    LONGS_EQUAL(2, fixture.coldChecks.size());
    LONGS_EQUAL(2, fixture.sends.size());
}

TEST(ColdCheck, ARequestGoesToAnotherEndpointIfTheFirstIsCold)
{
    CheckFixture fixture;
    fixture.arrive("/read/1");
    fixture.answerCheck(fixture.coldChecks.at(0), seconds(2));
    fixture.advance(milliseconds(20));
    LONGS_EQUAL(2, fixture.coldChecks.size());
    CHECK(fixture.coldChecks.at(0).endpoint != fixture.coldChecks.at(1).endpoint);
    fixture.answerCheck(fixture.coldChecks.at(1), Duration::zero());
    LONGS_EQUAL(1, fixture.sends.size());
    STRCMP_EQUAL(fixture.coldChecks.at(1).endpoint.c_str(), fixture.sends.at(0).endpoint.c_str());
}

TEST(ColdCheck, AnEndpointThatDoesNotAnswerGetsNoRequests)
{
    CheckFixture fixture;
    fixture.arrive("/read/1");
    fixture.answerCheck(fixture.coldChecks.at(0), std::nullopt);
    fixture.advance(milliseconds(20));
    CHECK(fixture.coldChecks.size() >= 2);
    fixture.answerCheck(fixture.coldChecks.back(), Duration::zero());
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.coldChecks.front().endpoint != fixture.sends.at(0).endpoint);
}

TEST(ColdCheck, TheNumberOfChecksDoesNotGrowWithTheWaitingRequests)
{
    CheckFixture fixture;
    for (int i = 0; i < 30; ++i) {
        fixture.arrive("/read/1");
        fixture.advance(milliseconds(1));
    }
    CHECK(fixture.coldChecks.size() <= 2);
}

TEST(ColdCheck, EndpointsWithoutAStatusPathNeedNoCheck)
{
    CheckFixture fixture("");
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.coldChecks.size());
    LONGS_EQUAL(1, fixture.sends.size());
}

/// State that a daemon received before it was suspended may be out of date afterwards.
TEST(ColdCheck, AfterASuspensionThePlatformHasToAnswerAgain)
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
    clock.advance(seconds(10)); // All timers are overdue.
    CHECK(until < clock.now());
    control.tick();
    CHECK(control.endpointUpdatesUntil() < clock.now());
    answerCalls();
    control.tick();
    answerCalls();
    control.tick();
    CHECK(control.endpointUpdatesUntil() > clock.now());
}

/// No daemon is notified that the endpoint has become cold. It gets the requests that arrive while
/// the last reports are valid, plus each daemon's share of its cold rate.
TEST(ColdCheck, ManyDaemonsWithoutUpdatesStayWithinTheRateTogether)
{
    constexpr double rate = 9.1;
    constexpr double maxPerSecond = rate * 1.5 + 5;
    constexpr double load = 60;
    for (const std::size_t hosts : {9U, 100U, 400U}) {
        FleetWithoutUpdates fleet(hosts, rate, true);
        fleet.run(load);
        CHECK(static_cast<double>(fleet.maxPerSecond()) <= maxPerSecond);
        CHECK(static_cast<double>(fleet.served()) >= load * 0.9);
    }
    FleetWithoutUpdates control(9, rate, false);
    control.run(load);
    CHECK(static_cast<double>(control.maxPerSecond()) > maxPerSecond);
}
