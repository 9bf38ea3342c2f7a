//===- fleetfixture.h - Many daemons' controls on one clock -----*- C++ -*-===//
///
/// \file
/// Controls of many daemons that hear each other after one step of a virtual clock, and a
/// store that lists them, and holds what an operator and the endpoints declared. Counts what
/// they send, to how many others, and what they ask of the store.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_UNITTESTS_KERNEL_FLEETFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_FLEETFIXTURE_H

#include "harelink/Adapters/peerlink.h"
#include "harelink/Kernel/controlmachine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace harelink::testing {

/// What the daemons of a fleet did in a span of time.
struct FleetTraffic
{
    std::map<std::string, int> messages;                  ///< Sent, by host.
    std::map<std::string, std::size_t> bytes;             ///< Sent, by host.
    std::map<std::string, std::size_t> heardBytes;        ///< By host.
    std::map<std::string, std::set<std::string>> targets; ///< By host that sent.
    std::map<std::string, std::size_t> kinds;             ///< Messages by kind.
    std::map<std::string, std::size_t> kindBytes;         ///< Their bytes.
    std::map<std::string, int> storeCalls;                ///< By operation and kind.
    std::map<std::string, std::set<std::string>> readers; ///< Hosts, by operation and kind.

    template <typename Counts>
    static std::size_t most(const Counts &counts)
    {
        std::size_t most = 0;
        for (const auto &[name, count] : counts) {
            most = std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }
    template <typename Counts>
    static std::size_t total(const Counts &counts)
    {
        std::size_t sum = 0;
        for (const auto &[name, count] : counts) {
            sum += static_cast<std::size_t>(count);
        }
        return sum;
    }
    /// The most others that one host sent something to.
    [[nodiscard]] std::size_t mostTargets() const
    {
        std::size_t most = 0;
        for (const auto &[name, others] : targets) {
            most = std::max(most, others.size());
        }
        return most;
    }
};

/// The fleet.
class ControlFleet
{
public:
    /// How the fleet is laid out.
    struct Layout
    {
        int hosts = 0;
        int dataCentres = 5;
        int able = 3; ///< Of each data centre, with four times the others' capacity.
        int endpoints = 0;
        std::size_t maxMeshPeers = ControlOptions{}.maxMeshPeers;
        std::size_t watchers = 6;
    };

    explicit ControlFleet(const Layout &layout)
        : m_layout(layout)
    {
        for (int i = 0; i < layout.hosts; ++i) {
            ControlOptions options;
            options.host = fmt::format("h{:04}", i);
            options.peerAddress = options.host + ":1";
            options.dataCentre = fmt::format("dc{}", i % layout.dataCentres);
            options.incarnation = 100 + static_cast<Incarnation>(i);
            options.keepsClaims = false;
            options.capacity = i < layout.able * layout.dataCentres ? 0.5 : 0.12;
            options.maxMeshPeers = layout.maxMeshPeers;
            options.watchersPerDataCentre = layout.watchers;
            options.hostKind = hostKind;
            m_options[options.host] = options;
        }
        declare("ClientAccount", "drivers", R"({"weight": 1})");
        declare("Pool", "engines", R"({"protocol": "plain-service"})");
        for (int i = 0; i < layout.endpoints; ++i) {
            declare("Endpoint", fmt::format("e{}", i),
                    fmt::format(R"({{"pool": "engines", "address": "10.0.{}.{}:80",
                                     "dataCentre": "dc{}", "slots": 8}})",
                                i / 200, i % 200 + 1, i % layout.dataCentres));
        }
    }

    /// Starts all hosts at once.
    void startAll()
    {
        for (auto &[host, options] : m_options) {
            start(host);
        }
    }
    void start(const std::string &host)
    {
        constexpr Incarnation startDistance = 100'000;
        m_options.at(host).incarnation += startDistance;
        m_hosts[host] = std::make_unique<ControlMachine>(m_clock, m_options.at(host));
    }
    void endAll()
    {
        m_hosts.clear();
        m_held.clear();
        m_onTheWay.clear();
    }
    void kill(const std::string &host)
    {
        m_hosts.erase(host);
        std::erase_if(m_held, [&host](const Held &held) { return held.host == host; });
    }
    /// The store answers nobody, or all again.
    void setStoreAway(bool isAway) { m_isStoreAway = isAway; }

    /// Puts an object into the store; the watches that wait hear of it.
    void declare(const std::string &kind, const std::string &name, const std::string &spec)
    {
        PlatformObject &object = m_objects[{kind, name}];
        object = {kind, name, ++m_revision, false,
                  fmt::format(R"({{"kind": "{}", "name": "{}", "spec": {}}})", kind, name, spec)};
    }

    void run(Duration time)
    {
        constexpr std::chrono::milliseconds step{25};
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(step);
            for (const OnTheWay &message : std::exchange(m_onTheWay, {})) {
                deliver(message);
            }
            answerWatches();
            for (auto &[name, host] : m_hosts) {
                turn(name, *host);
            }
        }
    }

    /// What was sent and asked since the last call.
    [[nodiscard]] FleetTraffic takeTraffic() { return std::exchange(m_traffic, {}); }
    [[nodiscard]] std::vector<std::string> hosts() const
    {
        std::vector<std::string> names;
        for (const auto &[name, host] : m_hosts) {
            names.push_back(name);
        }
        return names;
    }
    [[nodiscard]] const ControlMachine &control(const std::string &host) const
    {
        return *m_hosts.at(host);
    }
    [[nodiscard]] bool isAble(const std::string &host) const
    {
        return m_options.at(host).capacity > 0.4;
    }
    /// How many hosts have all that is declared in force.
    [[nodiscard]] std::size_t upToDate() const
    {
        std::size_t count = 0;
        for (const auto &[name, host] : m_hosts) {
            count += host->config().revision() == m_revision ? 1 : 0;
        }
        return count;
    }
    /// The fewest live peers that a host knows.
    [[nodiscard]] std::size_t fewestPeers() const
    {
        std::size_t fewest = m_hosts.size();
        for (const auto &[name, host] : m_hosts) {
            fewest = std::min(fewest, host->membership().livePeers().size());
        }
        return fewest;
    }

    /// An endpoint ends under a request at \p host, which had sent it 100 ms ago.
    void endUnder(const std::string &host, const Hash128 &digest, const std::string &endpoint)
    {
        BrokenCall call;
        call.digest = digest;
        call.pool = "engines";
        call.endpoint = endpoint; // Not declared any more: nobody has to be asked.
        call.brokeAt = m_clock.now();
        call.sentAt = call.brokeAt - std::chrono::milliseconds(100);
        m_hosts.at(host)->handle(call);
    }
    /// How many hosts run requests with \p digest no more.
    [[nodiscard]] std::size_t keptFrom(const Hash128 &digest) const
    {
        std::size_t count = 0;
        for (const auto &[name, host] : m_hosts) {
            const std::vector<Resource> resources = host->resources();
            count += std::any_of(resources.begin(), resources.end(), [&](const Resource &one) {
                const auto *spec = std::get_if<QuarantineSpec>(&one.spec);
                return spec != nullptr && spec->digest == digest;
            });
        }
        return count;
    }

private:
    static constexpr const char *hostKind = "hosts";

    /// A watch that waits.
    struct Held
    {
        std::string host;
        PlatformCall call;
        TimePoint until;
    };

    /// A message, and its bytes on the wire.
    struct OnTheWay
    {
        PeerSend send;
        std::size_t bytes = 0;
    };

    void deliver(const OnTheWay &message)
    {
        const auto to = m_hosts.find(message.send.host);
        if (to != m_hosts.end()) {
            m_traffic.heardBytes[message.send.host] += message.bytes;
            to->second->handle(message.send.message);
        }
    }
    void turn(const std::string &name, ControlMachine &host)
    {
        host.tick();
        ControlOutput output = host.drainOutput();
        for (const PlatformCall &call : output.calls) {
            take(name, call, host);
        }
        for (PeerSend &send : output.sends) {
            const std::size_t bytes = encodePeerMessage(send.message).size();
            count(name, send, bytes);
            m_onTheWay.push_back({std::move(send), bytes});
        }
    }
    void count(const std::string &name, const PeerSend &send, std::size_t size)
    {
        const std::string kind =
            std::visit([](const auto &content) { return kindOf(content); }, send.message.content);
        ++m_traffic.messages[name];
        ++m_traffic.kinds[kind];
        m_traffic.kindBytes[kind] += size;
        m_traffic.bytes[name] += size;
        m_traffic.targets[name].insert(send.host);
    }
    template <typename Content>
    static std::string kindOf(const Content &content)
    {
        if constexpr (std::same_as<Content, Heartbeat>) {
            return "heartbeat";
        } else if constexpr (std::same_as<Content, PeerSummary>) {
            return content.hasUsage ? "summary, whole" : "summary";
        } else if constexpr (std::same_as<Content, ConfigPush>) {
            return "push";
        } else if constexpr (std::same_as<Content, CrashReports>) {
            return "crash reports";
        } else if constexpr (std::same_as<Content, ConfigDigest>) {
            return content.detailed ? "digest, detailed" : "digest";
        } else {
            return "other";
        }
    }

    // The store ---------------------------------------------------------------

    void take(const std::string &name, const PlatformCall &call, ControlMachine &host)
    {
        const std::string what = fmt::format("{} {}", toText(call.operation), call.kind);
        ++m_traffic.storeCalls[what];
        m_traffic.readers[what].insert(name);
        if (m_isStoreAway) {
            PlatformResult refused;
            refused.id = call.id;
            refused.outcome = PlatformOutcome::Refused;
            host.handle(refused);
            return;
        }
        if (call.operation == PlatformOperation::Watch && newsOf(call).objects.empty()) {
            m_held.push_back({name, call, m_clock.now() + call.wait});
            return;
        }
        host.handle(answerTo(name, call));
    }
    void answerWatches()
    {
        std::vector<Held> waiting = std::exchange(m_held, {});
        for (Held &held : waiting) {
            const bool isDue = m_clock.now() >= held.until || !newsOf(held.call).objects.empty();
            const auto host = m_hosts.find(held.host);
            if (!isDue) {
                m_held.push_back(std::move(held));
            } else if (host != m_hosts.end()) {
                host->second->handle(newsOf(held.call));
            }
        }
    }
    [[nodiscard]] static bool names(const PlatformCall &call, const std::string &kind)
    {
        return ("," + call.kind + ",").find("," + kind + ",") != std::string::npos;
    }
    [[nodiscard]] PlatformResult newsOf(const PlatformCall &call) const
    {
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Ok;
        result.version = m_revision;
        for (const auto &[key, object] : m_objects) {
            if (names(call, key.first) && object.version > call.since) {
                result.objects.push_back(object);
            }
        }
        return result;
    }
    PlatformResult answerTo(const std::string &name, const PlatformCall &call)
    {
        PlatformResult result;
        if (call.operation == PlatformOperation::Hosts) {
            for (const auto &[key, object] : m_declared) {
                result.objects.push_back(object);
            }
        } else if (call.operation == PlatformOperation::Put) {
            return call.kind == hostKind ? declareHost(name, call) : put(call);
        } else {
            PlatformCall all = call;
            all.since = call.operation == PlatformOperation::List ? 0 : call.since;
            result = newsOf(all);
        }
        result.id = call.id;
        result.outcome = PlatformOutcome::Ok;
        return result;
    }

    PlatformResult put(const PlatformCall &call)
    {
        PlatformObject &object = m_objects[{call.kind, call.name}];
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Conflict;
        if (object.version == call.ifVersion) {
            object = {call.kind, call.name, ++m_revision, false, call.value};
            result.outcome = PlatformOutcome::Ok;
        }
        result.version = object.version;
        return result;
    }

    PlatformResult declareHost(const std::string &name, const PlatformCall &call)
    {
        PlatformObject &object = m_declared[name];
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Conflict;
        if (object.version == call.ifVersion) {
            object = {call.kind, name, ++m_hostRevision, false, call.value};
            result.outcome = PlatformOutcome::Ok;
        }
        result.version = object.version;
        result.value = object.value;
        return result;
    }

    Layout m_layout;
    ManualClock m_clock;
    std::map<std::string, ControlOptions> m_options;
    std::map<std::string, std::unique_ptr<ControlMachine>> m_hosts;
    std::vector<OnTheWay> m_onTheWay;
    std::vector<Held> m_held;
    std::map<std::pair<std::string, std::string>, PlatformObject> m_objects;
    std::map<std::string, PlatformObject> m_declared; ///< Hosts, as they declared themselves.
    Version m_revision = 0;
    Version m_hostRevision = 0;
    bool m_isStoreAway = false;
    FleetTraffic m_traffic;
};

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_FLEETFIXTURE_H
