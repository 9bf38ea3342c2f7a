//===- peerrelaytest.cpp - Tests of heartbeats through relays -------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/controlmachine.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr Incarnation startDistance = 1000;
constexpr int dataCentreCount = 3;
constexpr milliseconds step{25};
/// A heartbeat, a summary to the other data centres' relays, one to their daemons, and the
/// next whole one.
constexpr milliseconds spreadTime{2500};

/// Daemons' controls that hear each other after one step.
class Fleet
{
public:
    /// \param able hosts of each data centre have four times the others' capacity.
    Fleet(int hosts, std::size_t maxMeshPeers, int able = 2)
    {
        for (int i = 0; i < hosts; ++i) {
            ControlOptions options;
            options.host = fmt::format("h{:02}", i);
            options.peerAddress = options.host + ":1";
            options.dataCentre = fmt::format("dc{}", i % dataCentreCount);
            options.incarnation = 100 + static_cast<Incarnation>(i);
            options.keepsClaims = false;
            options.capacity = i < able * dataCentreCount ? 0.5 : 0.12;
            options.maxMeshPeers = maxMeshPeers;
            m_options[options.host] = options;
            start(options.host);
        }
    }

    void start(const std::string &host)
    {
        // Each start is another incarnation.
        m_options.at(host).incarnation += startDistance;
        m_hosts[host] = std::make_unique<ControlMachine>(m_clock, m_options.at(host));
    }
    void kill(const std::string &host) { m_hosts.erase(host); }
    /// Nothing passes between \p dataCentre and the others from now on.
    void cut(const std::string &dataCentre) { m_cut = dataCentre; }
    /// The platform's list of hosts lacks \p hosts.
    void unlist(std::set<std::string> hosts) { m_unlisted = std::move(hosts); }
    void sendsTokens(const std::string &host, std::int64_t tokens) { m_tokens[host] = tokens; }

    void run(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(step);
            const std::vector<PeerSend> arrived = std::exchange(m_onTheWay, {});
            for (const PeerSend &send : arrived) {
                deliver(send);
            }
            for (auto &[name, host] : m_hosts) {
                turn(name, *host);
            }
        }
    }

    /// Messages that \p host sent, or all where it is empty, since the last call.
    std::map<std::string, int> takeSent() { return std::exchange(m_sent, {}); }
    [[nodiscard]] std::size_t livePeers(const std::string &host) const
    {
        return m_hosts.at(host)->membership().livePeers().size();
    }
    [[nodiscard]] bool knows(const std::string &host, const std::string &other) const
    {
        const std::vector<std::string> live = m_hosts.at(host)->membership().livePeers();
        return std::find(live.begin(), live.end(), other) != live.end();
    }
    /// The tokens that all others have sent to the engine, as \p host knows it.
    [[nodiscard]] std::int64_t tokensOfPeers(const std::string &host) const
    {
        const auto found = m_tokensOfPeers.find(host);
        return found == m_tokensOfPeers.end() ? 0 : found->second;
    }
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
    [[nodiscard]] const std::set<std::string> &asked() const { return m_asked; }

private:
    [[nodiscard]] bool passes(const std::string &from, const std::string &to) const
    {
        return (dataCentreOf(from) == m_cut) == (dataCentreOf(to) == m_cut);
    }
    void deliver(const PeerSend &send)
    {
        const auto to = m_hosts.find(send.host);
        if (to != m_hosts.end() && passes(send.message.host, send.host)) {
            to->second->handle(send.message);
        }
    }
    void turn(const std::string &name, ControlMachine &host)
    {
        if (host.heartbeatsDue()) {
            host.recordPrompts({{"engine", m_tokens[name]}});
        }
        host.tick();
        ControlOutput output = host.drainOutput();
        for (const PlatformCall &call : output.calls) {
            answer(call, host);
        }
        for (PeerSend &send : output.sends) {
            ++m_sent[name];
            const auto *heartbeat = std::get_if<Heartbeat>(&send.message.content);
            if (heartbeat != nullptr && heartbeat->wantsSummary) {
                m_asked.insert(send.host);
            }
            m_onTheWay.push_back(std::move(send));
        }
        for (const PromptBacklog &prompt : output.prompts) {
            m_tokensOfPeers[name] = prompt.tokens;
        }
    }
    void answer(const PlatformCall &call, ControlMachine &host)
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
    std::map<std::string, std::unique_ptr<ControlMachine>> m_hosts;
    std::vector<PeerSend> m_onTheWay;
    std::map<std::string, int> m_sent;
    std::map<std::string, std::int64_t> m_tokens;
    std::map<std::string, std::int64_t> m_tokensOfPeers;
    std::set<std::string> m_asked;
    std::string m_cut;
    std::set<std::string> m_unlisted;
};

int total(const std::map<std::string, int> &sent)
{
    int sum = 0;
    for (const auto &[host, count] : sent) {
        sum += count;
    }
    return sum;
}

/// Messages of all of \p hosts daemons in one settled second.
int messagesASecond(int hosts, std::size_t maxMeshPeers)
{
    Fleet fleet(hosts, maxMeshPeers);
    fleet.run(spreadTime);
    (void)fleet.takeSent();
    fleet.run(std::chrono::seconds(1));
    return total(fleet.takeSent());
}

} // namespace

TEST_GROUP(PeerRelay){};

TEST(PeerRelay, MessagesGrowWithTheDaemonsAndNotWithTheirSquare)
{
    const int thirty = messagesASecond(30, 16);
    const int ninety = messagesASecond(90, 16);
    CHECK(ninety < thirty * 4);
    CHECK(ninety < 90 * 25);
    // The control: all tell all, so twice the daemons send four times as much.
    const int mesh = messagesASecond(30, 1000);
    CHECK(mesh >= 30 * 29 * 4);
    CHECK(messagesASecond(60, 1000) > mesh * 7 / 2);
}

TEST(PeerRelay, EveryDaemonKnowsAllThatLive)
{
    Fleet fleet(60, 16);
    fleet.run(spreadTime);
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(59, fleet.livePeers(host));
    }
}

TEST(PeerRelay, FiguresAreSummedUpWithoutOnesOwn)
{
    Fleet fleet(60, 16);
    std::int64_t all = 0;
    std::int64_t tokens = 1;
    for (const std::string &host : fleet.hosts()) {
        fleet.sendsTokens(host, tokens);
        all += tokens++;
    }
    fleet.run(spreadTime);
    tokens = 1;
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(all - tokens++, fleet.tokensOfPeers(host));
    }
}

TEST(PeerRelay, OnlyAbleHostsAreAsked)
{
    Fleet fleet(60, 16);
    fleet.run(spreadTime);
    for (const std::string &host : fleet.asked()) {
        CHECK(host < "h06");
    }
}

TEST(PeerRelay, ADeadRelayIsReplacedAndADeadHostForgotten)
{
    Fleet fleet(60, 16);
    fleet.run(spreadTime);
    // All able ones but two: one data centre is left without any.
    for (const char *relay : {"h00", "h01", "h03", "h04"}) {
        fleet.kill(relay);
    }
    fleet.run(spreadTime + milliseconds(1500));
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(55, fleet.livePeers(host));
        CHECK(!fleet.knows(host, "h00"));
    }
}

TEST(PeerRelay, ADataCentreThatIsCutOffGoesOnForItself)
{
    Fleet fleet(60, 16);
    for (const std::string &host : fleet.hosts()) {
        fleet.sendsTokens(host, 1);
    }
    fleet.run(spreadTime);
    fleet.cut("dc1");
    fleet.run(spreadTime + milliseconds(1500));
    for (const std::string &host : fleet.hosts()) {
        const bool isCut = fleet.dataCentreOf(host) == "dc1";
        LONGS_EQUAL(isCut ? 19 : 39, fleet.livePeers(host));
        LONGS_EQUAL(isCut ? 19 : 39, fleet.tokensOfPeers(host));
    }
    fleet.cut("");
    fleet.run(spreadTime + milliseconds(3500));
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(59, fleet.livePeers(host));
    }
}

TEST(PeerRelay, AHostThatStartsAnewIsKnownAgain)
{
    Fleet fleet(60, 16);
    fleet.run(spreadTime);
    fleet.kill("h01");
    fleet.run(spreadTime);
    CHECK(!fleet.knows("h59", "h01"));
    fleet.start("h01");
    fleet.run(spreadTime);
    CHECK(fleet.knows("h59", "h01"));
    for (const std::string &host : fleet.hosts()) {
        CHECK_TEXT(host == "h01" || fleet.knows("h01", host), host.c_str());
    }
}

TEST(PeerRelay, RelaysThatStartedWithoutKnowingEachOtherMeet)
{
    Fleet fleet(60, 16);
    // Both able hosts of dc0 are relays to those that they know before they are listed.
    fleet.unlist({"h00", "h03"});
    fleet.run(milliseconds(200));
    CHECK(!fleet.knows("h00", "h03"));
    fleet.unlist({});
    fleet.run(spreadTime + milliseconds(2000));
    CHECK(fleet.knows("h00", "h03"));
    CHECK(fleet.knows("h03", "h00"));
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(59, fleet.livePeers(host));
    }
}

TEST(PeerRelay, FewDaemonsTellEachOtherDirectly)
{
    Fleet fleet(9, 16);
    fleet.run(milliseconds(600));
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(8, fleet.livePeers(host));
    }
    CHECK(fleet.asked().empty());
}

TEST(PeerRelay, DaemonsThatStartAtOnceKnowEachOtherBeforeTheirNextHeartbeat)
{
    Fleet fleet(6, 16);
    fleet.run(milliseconds(100));
    for (const std::string &host : fleet.hosts()) {
        LONGS_EQUAL(5, fleet.livePeers(host));
    }
    // One that starts later hears of all others at once, too.
    fleet.kill("h01");
    fleet.run(spreadTime);
    fleet.start("h01");
    fleet.run(milliseconds(100));
    LONGS_EQUAL(5, fleet.livePeers("h01"));
}
