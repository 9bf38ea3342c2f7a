//===- peerrelaytest.cpp - Tests of heartbeats through relays -------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/controlmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <map>
#include <memory>
#include <set>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr Incarnation incarnationStep = 1000;
constexpr int dataCentreCount = 3;
constexpr milliseconds step{25};
/// Covers a heartbeat, a summary to the relays of other data centres, one to their daemons, and
/// the next summary with usage.
constexpr milliseconds propagationTime{2500};

/// Lets any summary replace what is known of all peers.
struct WithoutCompleteSummaries : AllGuards
{
    static constexpr bool keepsCompleteSummaries = false;
};

/// Control machines of several daemons. Messages arrive after one step of the clock.
template <GuardPolicy G>
class BasicRelayFixture
{
public:
    /// \param highCapacityHosts the number of hosts per data centre with four times the capacity
    ///     of the others.
    BasicRelayFixture(int hosts, std::size_t maxMeshPeers, int highCapacityHosts = 2)
    {
        for (int i = 0; i < hosts; ++i) {
            ControlOptions options;
            options.host = fmt::format("h{:02}", i);
            options.peerAddress = options.host + ":1";
            options.dataCentre = fmt::format("dc{}", i % dataCentreCount);
            options.incarnation = 100 + static_cast<Incarnation>(i);
            options.keepsClaims = false;
            options.capacity = i < highCapacityHosts * dataCentreCount ? 0.5 : 0.12;
            options.maxMeshPeers = maxMeshPeers;
            m_options[options.host] = options;
            start(options.host);
        }
    }

    void start(const std::string &host)
    {
        // Each start creates another incarnation.
        m_options.at(host).incarnation += incarnationStep;
        m_hosts[host] = std::make_unique<Machine>(m_clock, m_options.at(host));
    }
    void kill(const std::string &host) { m_hosts.erase(host); }
    /// Drops all messages between \p dataCentre and the others from now on.
    void cut(const std::string &dataCentre) { m_cut = dataCentre; }
    /// Omits \p hosts from the platform's host list.
    void unlist(std::set<std::string> hosts) { m_unlisted = std::move(hosts); }
    void setTokens(const std::string &host, std::int64_t tokens) { m_tokens[host] = tokens; }
    /// Has \p host report \p calls calls at the engine.
    void setCalls(const std::string &host, int calls) { m_calls[host] = calls; }
    /// Has \p host report that it reads \p perSecond requests, and whether it is overloaded.
    void setReads(const std::string &host, bool isCrowded, double perSecond)
    {
        m_hosts.at(host)->recordReads(true, isCrowded, perSecond);
    }
    /// Makes \p hosts, and no others, overloaded.
    void setOverloaded(std::vector<std::string> hosts)
    {
        m_overloaded = {hosts.begin(), hosts.end()};
    }
    /// Delivers \p summary to \p to as one of \p from.
    void deliverSummary(const std::string &from, const std::string &to, PeerSummary summary)
    {
        deliver({to,
                 m_options.at(to).peerAddress,
                 {from, m_options.at(from).incarnation, std::move(summary)}});
    }
    /// Has \p host report that it takes no requests.
    void setStarting(const std::string &host) { m_hosts.at(host)->recordReads(false, true, 1000); }
    [[nodiscard]] PeerRoom peerRoom(const std::string &host) const
    {
        return m_hosts.at(host)->peerRoom();
    }
    /// Has \p host report, or no longer report, samples of the engine's pace with each heartbeat.
    void setSamples(const std::string &host, const std::vector<EndpointPaceReport> &samples)
    {
        m_samples[host] = samples;
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(step);
            const std::vector<PeerSend> arriving = std::exchange(m_inTransit, {});
            for (const PeerSend &send : arriving) {
                deliver(send);
            }
            for (auto &[name, host] : m_hosts) {
                tick(name, *host);
            }
        }
    }

    /// Returns and clears the numbers of heartbeats received, by host.
    std::map<std::string, int> drainHeartbeats() { return std::exchange(m_heartbeats, {}); }
    /// Returns and clears the numbers of messages sent, by host.
    std::map<std::string, int> drainSent() { return std::exchange(m_sent, {}); }
    [[nodiscard]] std::size_t livePeers(const std::string &host) const
    {
        return m_hosts.at(host)->membership().livePeers().size();
    }
    [[nodiscard]] bool knows(const std::string &host, const std::string &other) const
    {
        const std::vector<std::string> live = m_hosts.at(host)->membership().livePeers();
        return std::find(live.begin(), live.end(), other) != live.end();
    }
    /// Returns the tokens that all other daemons have sent to the engine, as \p host knows it.
    [[nodiscard]] std::int64_t peerTokens(const std::string &host) const
    {
        const auto found = m_peerTokens.find(host);
        return found == m_peerTokens.end() ? 0 : found->second;
    }
    [[nodiscard]] int peerCalls(const std::string &host) const
    {
        const auto found = m_peerCalls.find(host);
        return found == m_peerCalls.end() ? 0 : found->second;
    }
    /// Returns the expected time of the samples that \p host reported, or received from others.
    [[nodiscard]] std::chrono::microseconds sampledTime(const std::string &host) const
    {
        return m_sampledTime.at(host);
    }
    [[nodiscard]] std::chrono::microseconds receivedTime(const std::string &host) const
    {
        const auto found = m_receivedTime.find(host);
        return found == m_receivedTime.end() ? std::chrono::microseconds() : found->second;
    }
    /// Returns the number of messages with invalid fields that all hosts received.
    [[nodiscard]] std::size_t faults() const { return m_faults; }
    [[nodiscard]] std::vector<std::string> hosts() const
    {
        std::vector<std::string> names;
        for (const auto &[name, host] : m_hosts) {
            names.push_back(name);
        }
        return names;
    }
    [[nodiscard]] const std::string &dataCentreOf(const std::string &host) const
    {
        return m_options.at(host).dataCentre;
    }
    [[nodiscard]] const std::set<std::string> &requestedRelays() const { return m_requestedRelays; }
    /// Returns the hosts that act as relays.
    [[nodiscard]] std::vector<std::string> relays() const
    {
        std::vector<std::string> names;
        for (const auto &[name, host] : m_hosts) {
            if (host->requestedMultiplier()) {
                names.push_back(name);
            }
        }
        return names;
    }

private:
    using Machine = BasicControlMachine<G>;

    [[nodiscard]] bool passes(const std::string &from, const std::string &to) const
    {
        return (dataCentreOf(from) == m_cut) == (dataCentreOf(to) == m_cut);
    }
    void deliver(const PeerSend &send)
    {
        const auto to = m_hosts.find(send.host);
        if (to != m_hosts.end() && passes(send.message.host, send.host)) {
            m_heartbeats[send.host] += std::holds_alternative<Heartbeat>(send.message.content);
            to->second->handle(send.message);
        }
    }
    void tick(const std::string &name, Machine &host)
    {
        host.recordOverload(m_overloaded.contains(name));
        if (host.heartbeatsDue()) {
            host.recordPrompts({{"engine", m_tokens[name], m_calls[name]}});
            host.recordPaces(m_samples[name]);
            for (const EndpointPaceReport &sample : m_samples[name]) {
                m_sampledTime[name] += sample.expected;
            }
        }
        host.tick();
        ControlOutput output = host.drainOutput();
        for (const PlatformCall &call : output.calls) {
            answer(call, host);
        }
        for (PeerSend &send : output.sends) {
            ++m_sent[name];
            const auto *heartbeat = std::get_if<Heartbeat>(&send.message.content);
            if (heartbeat != nullptr && heartbeat->requestsSummary) {
                m_requestedRelays.insert(send.host);
            }
            m_inTransit.push_back(std::move(send));
        }
        for (const PromptBacklog &prompt : output.prompts) {
            m_peerTokens[name] = prompt.tokens;
        }
        for (const auto &[engine, calls] : output.engineCalls) {
            m_peerCalls[name] = calls;
        }
        for (const EndpointPaceReport &report : output.paces) {
            m_receivedTime[name] += report.expected;
        }
        m_faults += output.paceFaults.size();
    }
    void answer(const PlatformCall &call, Machine &host)
    {
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Ok;
        if (call.operation == PlatformOperation::Hosts) {
            for (const auto &[name, options] : m_options) {
                if (m_unlisted.contains(name)) {
                    continue;
                }
                const nlohmann::json value = {{"peers", options.peerAddress},
                                              {"dataCentre", options.dataCentre},
                                              {"capacity", options.capacity},
                                              {"state", "serving"}};
                result.objects.push_back({"Host", name, 1, false, value.dump()});
            }
        }
        host.handle(result);
    }

    ManualClock m_clock;
    std::map<std::string, ControlOptions> m_options;
    std::map<std::string, std::unique_ptr<Machine>> m_hosts;
    std::vector<PeerSend> m_inTransit;
    std::map<std::string, int> m_sent;
    std::map<std::string, int> m_heartbeats;
    std::map<std::string, std::int64_t> m_tokens;
    std::map<std::string, std::int64_t> m_peerTokens;
    std::map<std::string, int> m_calls;
    std::map<std::string, int> m_peerCalls;
    std::map<std::string, std::vector<EndpointPaceReport>> m_samples;
    std::map<std::string, std::chrono::microseconds> m_sampledTime;
    std::map<std::string, std::chrono::microseconds> m_receivedTime;
    std::size_t m_faults = 0;
    std::set<std::string> m_overloaded;
    std::set<std::string> m_requestedRelays;
    std::string m_cut;
    std::set<std::string> m_unlisted;
};

using RelayFixture = BasicRelayFixture<AllGuards>;

int total(const std::map<std::string, int> &sent)
{
    int sum = 0;
    for (const auto &[host, count] : sent) {
        sum += count;
    }
    return sum;
}

/// Returns the number of messages that \p hosts daemons send per second in steady state.
int messagesPerSecond(int hosts, std::size_t maxMeshPeers)
{
    RelayFixture fixture(hosts, maxMeshPeers);
    fixture.run(propagationTime);
    (void)fixture.drainSent();
    fixture.run(std::chrono::seconds(1));
    return total(fixture.drainSent());
}

/// Returns the largest number of heartbeats that a daemon receives in the next second.
int maxHeartbeatsPerSecond(RelayFixture &fixture)
{
    (void)fixture.drainHeartbeats();
    fixture.run(std::chrono::seconds(1));
    int most = 0;
    for (const auto &[host, count] : fixture.drainHeartbeats()) {
        most = std::max(most, count);
    }
    return most;
}

/// Returns the same of \p hosts daemons in steady state.
int maxHeartbeatsPerSecond(int hosts, int highCapacityHosts)
{
    RelayFixture fixture(hosts, 16, highCapacityHosts);
    fixture.run(propagationTime);
    return maxHeartbeatsPerSecond(fixture);
}

/// Returns the smallest number of serving peers that a daemon knows while new relays are found for
/// those that are lost.
template <GuardPolicy G>
int minServingPeersAfterLossOfRelays()
{
    BasicRelayFixture<G> fixture(30, 16);
    for (const std::string &host : fixture.hosts()) {
        fixture.setReads(host, false, 10);
    }
    fixture.run(propagationTime);
    // The hosts with high capacity are the relays.
    for (const char *relay : {"h00", "h01", "h02", "h03", "h04", "h05"}) {
        fixture.kill(relay);
    }
    int least = std::numeric_limits<int>::max();
    for (Duration passed{}; passed < std::chrono::seconds(8); passed += milliseconds(100)) {
        fixture.run(milliseconds(100));
        for (const std::string &host : fixture.hosts()) {
            least = std::min(least, fixture.peerRoom(host).serving);
        }
    }
    return least;
}

} // namespace

TEST_GROUP(PeerRelay){};

TEST(PeerRelay, MessagesGrowLinearlyWithTheNumberOfDaemons)
{
    const int thirty = messagesPerSecond(30, 16);
    const int ninety = messagesPerSecond(90, 16);
    CHECK(ninety < thirty * 4);
    CHECK(ninety < 90 * 25);
    // As a control, a full mesh: twice the daemons send four times as many messages.
    const int mesh = messagesPerSecond(30, 1000);
    CHECK(mesh >= 30 * 29 * 4);
    CHECK(messagesPerSecond(60, 1000) > mesh * 7 / 2);
}

TEST(PeerRelay, HostsOfEqualCapacityDoNotOverloadTheirRelays)
{
    for (const int hosts : {90, 180}) {
        CHECK(maxHeartbeatsPerSecond(hosts, 0) <= maxHeartbeatsPerSecond(hosts, 2));
    }
}

TEST(PeerRelay, OverloadedRelaysReceiveFewerHeartbeatsAndStillKnowAllHosts)
{
    RelayFixture fixture(48, 16, 0);
    fixture.run(propagationTime);
    const int before = maxHeartbeatsPerSecond(fixture);
    fixture.setOverloaded(fixture.hosts());
    for (Duration passed{}; passed < std::chrono::seconds(8); passed += milliseconds(100)) {
        fixture.run(milliseconds(100));
        for (const std::string &host : fixture.hosts()) {
            LONGS_EQUAL(47, fixture.livePeers(host));
        }
    }
    CHECK(maxHeartbeatsPerSecond(fixture) * 2 <= before);
    fixture.setOverloaded({});
    fixture.run(HeartbeatThrottle::calmPeriod * 2 + propagationTime);
    LONGS_EQUAL(before, maxHeartbeatsPerSecond(fixture));
}

TEST(PeerRelay, RequestsOfARelayEndWithIt)
{
    RelayFixture fixture(48, 16, 0);
    fixture.run(propagationTime);
    const int before = maxHeartbeatsPerSecond(fixture);
    fixture.setOverloaded(fixture.hosts());
    fixture.run(propagationTime * 2);
    fixture.setOverloaded({});
    for (const std::string &relay : fixture.relays()) {
        fixture.kill(relay);
    }
    LONGS_EQUAL(42, fixture.hosts().size());
    fixture.run(std::chrono::seconds(8));
    // Each data centre has lost two hosts that sent four heartbeats a second.
    LONGS_EQUAL(before - 8, maxHeartbeatsPerSecond(fixture));
}

TEST(PeerRelay, EveryDaemonKnowsAllLiveHosts)
{
    RelayFixture fixture(60, 16);
    fixture.run(propagationTime);
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(59, fixture.livePeers(host));
    }
}

TEST(PeerRelay, SummariesExcludeTheReceiversOwnLoad)
{
    RelayFixture fixture(60, 16);
    std::int64_t all = 0;
    std::int64_t tokens = 1;
    for (const std::string &host : fixture.hosts()) {
        fixture.setTokens(host, tokens);
        all += tokens++;
    }
    fixture.run(propagationTime);
    tokens = 1;
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(all - tokens++, fixture.peerTokens(host));
    }
}

TEST(PeerRelay, PassesOnTheCallsAtEngines)
{
    for (const std::size_t maxMeshPeers : {std::size_t{16}, std::size_t{1000}}) {
        RelayFixture fixture(30, maxMeshPeers);
        int all = 0;
        int calls = 1;
        for (const std::string &host : fixture.hosts()) {
            fixture.setCalls(host, calls);
            all += calls++;
        }
        fixture.run(propagationTime);
        calls = 1;
        for (const std::string &host : fixture.hosts()) {
            LONGS_EQUAL(all - calls++, fixture.peerCalls(host));
        }
    }
}

TEST(PeerRelay, ReportsTheReadsOfAllPeersAndHowManyAreOverloaded)
{
    for (const std::size_t maxMeshPeers : {std::size_t{16}, std::size_t{1000}}) {
        RelayFixture fixture(30, maxMeshPeers);
        const int allReads = 30 * 31 / 2;
        int reads = 0;
        for (const std::string &host : fixture.hosts()) {
            fixture.setReads(host, reads < 3, reads + 1);
            ++reads;
        }
        fixture.run(propagationTime);
        reads = 0;
        for (const std::string &host : fixture.hosts()) {
            const PeerRoom room = fixture.peerRoom(host);
            LONGS_EQUAL(29, room.peers);
            LONGS_EQUAL(29, room.serving);
            LONGS_EQUAL(reads < 3 ? 2 : 3, room.crowded);
            ++reads;
            DOUBLES_EQUAL(allReads - reads, room.readsPerSecond, 0.001);
        }
        // A host that starts is known, but has no room.
        fixture.setStarting(fixture.hosts().back());
        fixture.run(propagationTime);
        const PeerRoom known = fixture.peerRoom(fixture.hosts().front());
        LONGS_EQUAL(29, known.peers);
        LONGS_EQUAL(28, known.serving);
        LONGS_EQUAL(2, known.crowded);
        DOUBLES_EQUAL(allReads - 1 - 30, known.readsPerSecond, 0.001);
        // Hosts that nobody hears of any more count no longer.
        fixture.cut("dc0");
        fixture.run(std::chrono::seconds(12));
        const PeerRoom room = fixture.peerRoom(fixture.hosts().front());
        CHECK(room.peers < 29 && room.readsPerSecond < allReads - 1);
    }
}

TEST(PeerRelay, HostsThatAreNoRelaysYetDoNotHideTheLoadOfTheOthers)
{
    CHECK(minServingPeersAfterLossOfRelays<AllGuards>() >= 12);
    CHECK(minServingPeersAfterLossOfRelays<WithoutCompleteSummaries>() < 12);
}

TEST(PeerRelay, ASummaryWithTooManyHostsDoesNotHideTheLoadOfTheOthers)
{
    RelayFixture fixture(30, 16);
    for (const std::string &host : fixture.hosts()) {
        fixture.setReads(host, false, 10);
    }
    fixture.run(propagationTime);
    PeerSummary invalid;
    invalid.servingHosts = std::numeric_limits<std::uint32_t>::max();
    invalid.crowdedHosts = invalid.servingHosts;
    fixture.deliverSummary("h02", "h29", invalid);
    LONGS_EQUAL(29, fixture.peerRoom("h29").peers);
    CHECK(fixture.peerRoom("h29").serving <= 29);
    fixture.run(propagationTime);
    DOUBLES_EQUAL(29 * 10, fixture.peerRoom("h29").readsPerSecond, 0.001);
}

/// Guards against samples that return to their sender, that are counted twice, or that are lost on
/// the way through relays.
TEST(PeerRelay, EachSampleOfAPaceArrivesOnceAndNotAtItsSender)
{
    using std::chrono::microseconds;
    for (const std::size_t maxMeshPeers : {std::size_t{16}, std::size_t{1000}}) {
        RelayFixture fixture(30, maxMeshPeers);
        fixture.run(propagationTime);
        const std::string sender = "h20";
        fixture.setSamples(sender, {{"engine", 1, milliseconds(100), milliseconds(150)}});
        fixture.run(std::chrono::seconds(10));
        fixture.setSamples(sender, {});
        fixture.run(propagationTime);
        const microseconds sampled = fixture.sampledTime(sender);
        CHECK(sampled > milliseconds(900));
        int complete = 0;
        for (const std::string &host : fixture.hosts()) {
            const microseconds received = fixture.receivedTime(host);
            CHECK(received <= sampled);
            complete += received == sampled ? 1 : 0;
            CHECK((received > microseconds()) == (host != sender));
        }
        // The second relay of the sender's data centre does not get every heartbeat.
        CHECK(complete >= 28);
    }
}

/// Guards against values of one faulty daemon that reach others, or the relay's sums.
TEST(PeerRelay, InvalidSamplesAreNotPassedOn)
{
    using std::chrono::microseconds;
    RelayFixture fixture(30, 16);
    fixture.run(propagationTime);
    constexpr microseconds most = microseconds::max();
    fixture.setSamples("h20", {{"engine", 0, microseconds(-1), microseconds(1)},
                               {"engine", 0, most, most},
                               {"engine", 4, microseconds(1), microseconds(1)}});
    fixture.setCalls("h20", std::numeric_limits<int>::min());
    fixture.run(std::chrono::seconds(5));
    CHECK(fixture.faults() > 0);
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(0, fixture.peerCalls(host));
    }
    int reached = 0;
    for (const std::string &host : fixture.hosts()) {
        reached += fixture.receivedTime(host) != microseconds() ? 1 : 0;
    }
    // The relays that get the sender's heartbeats leave them out by themselves.
    CHECK(reached <= 2);
}

TEST(PeerRelay, OnlyHighCapacityHostsAreRelays)
{
    RelayFixture fixture(60, 16);
    fixture.run(propagationTime);
    for (const std::string &host : fixture.requestedRelays()) {
        CHECK(host < "h06");
    }
}

TEST(PeerRelay, DeadRelayIsReplacedAndDeadHostRemoved)
{
    RelayFixture fixture(60, 16);
    fixture.run(propagationTime);
    // Kills all high-capacity hosts but two: one data centre has none left.
    for (const char *relay : {"h00", "h01", "h03", "h04"}) {
        fixture.kill(relay);
    }
    fixture.run(propagationTime + milliseconds(1500));
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(55, fixture.livePeers(host));
        CHECK(!fixture.knows(host, "h00"));
    }
}

TEST(PeerRelay, PartitionedDataCentreContinuesOnItsOwn)
{
    RelayFixture fixture(60, 16);
    for (const std::string &host : fixture.hosts()) {
        fixture.setTokens(host, 1);
    }
    fixture.run(propagationTime);
    fixture.cut("dc1");
    fixture.run(propagationTime + milliseconds(1500));
    for (const std::string &host : fixture.hosts()) {
        const bool isCut = fixture.dataCentreOf(host) == "dc1";
        LONGS_EQUAL(isCut ? 19 : 39, fixture.livePeers(host));
        LONGS_EQUAL(isCut ? 19 : 39, fixture.peerTokens(host));
    }
    fixture.cut("");
    fixture.run(propagationTime + milliseconds(3500));
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(59, fixture.livePeers(host));
    }
}

TEST(PeerRelay, RestartedHostIsKnownAgain)
{
    RelayFixture fixture(60, 16);
    fixture.run(propagationTime);
    fixture.kill("h01");
    fixture.run(propagationTime);
    CHECK(!fixture.knows("h59", "h01"));
    fixture.start("h01");
    fixture.run(propagationTime);
    CHECK(fixture.knows("h59", "h01"));
    for (const std::string &host : fixture.hosts()) {
        CHECK_TEXT(host == "h01" || fixture.knows("h01", host), host.c_str());
    }
}

TEST(PeerRelay, RelaysThatStartWithoutKnowingEachOtherDiscoverEachOther)
{
    RelayFixture fixture(60, 16);
    // Both high-capacity hosts of dc0 become relays before they are listed.
    fixture.unlist({"h00", "h03"});
    fixture.run(milliseconds(200));
    CHECK(!fixture.knows("h00", "h03"));
    fixture.unlist({});
    fixture.run(propagationTime + milliseconds(2000));
    CHECK(fixture.knows("h00", "h03"));
    CHECK(fixture.knows("h03", "h00"));
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(59, fixture.livePeers(host));
    }
}

TEST(PeerRelay, FewDaemonsFormAFullMesh)
{
    RelayFixture fixture(9, 16);
    fixture.run(milliseconds(600));
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(8, fixture.livePeers(host));
    }
    CHECK(fixture.requestedRelays().empty());
}

TEST(PeerRelay, DaemonsThatStartTogetherKnowEachOtherBeforeTheNextHeartbeat)
{
    RelayFixture fixture(6, 16);
    fixture.run(milliseconds(100));
    for (const std::string &host : fixture.hosts()) {
        LONGS_EQUAL(5, fixture.livePeers(host));
    }
    // A daemon that starts later also discovers all others at once.
    fixture.kill("h01");
    fixture.run(propagationTime);
    fixture.start("h01");
    fixture.run(milliseconds(100));
    LONGS_EQUAL(5, fixture.livePeers("h01"));
}
