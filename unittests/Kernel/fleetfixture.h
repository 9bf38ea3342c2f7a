//===- fleetfixture.h - Simulated fleet of control machines -----*- C++ -*-===//
///
/// \file
/// Control machines of many daemons whose messages arrive after one step of a virtual clock,
/// and a store with the hosts and the objects declared by operators and endpoints. Counts
/// messages, receivers and store calls.
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

/// The traffic of a fleet during a period.
struct FleetTraffic
{
    std::map<std::string, int> messages;                  ///< Sent, by host.
    std::map<std::string, std::size_t> bytes;             ///< Sent, by host.
    std::map<std::string, std::size_t> receivedBytes;     ///< By host.
    std::map<std::string, std::set<std::string>> targets; ///< Receivers, by sending host.
    std::map<std::string, std::size_t> kinds;             ///< Messages, by kind.
    std::map<std::string, std::size_t> kindBytes;         ///< Bytes, by kind of message.
    std::map<std::string, int> storeCalls;                ///< By operation and kind.
    std::map<std::string, std::set<std::string>> readers; ///< Hosts, by operation and kind.

    template <typename Counts>
    static std::size_t maxOf(const Counts &counts)
    {
        std::size_t highest = 0;
        for (const auto &[name, count] : counts) {
            highest = std::max(highest, static_cast<std::size_t>(count));
        }
        return highest;
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
    /// Returns the largest number of receivers of one host.
    [[nodiscard]] std::size_t maxTargets() const
    {
        std::size_t highest = 0;
        for (const auto &[name, others] : targets) {
            highest = std::max(highest, others.size());
        }
        return highest;
    }
};

/// A fleet of control machines. \p G is AllGuards, or lacks a mechanism in a control.
template <GuardPolicy G>
class BasicControlFleet
{
public:
    /// The size and layout of the fleet.
    struct Layout
    {
        int hosts = 0;
        int dataCentres = 5;
        int highCapacityHosts = 3; ///< Per data centre, with four times the others' capacity.
        int endpoints = 0;
        std::size_t maxMeshPeers = ControlOptions{}.maxMeshPeers;
        std::size_t watchers = 6;
    };

    explicit BasicControlFleet(const Layout &layout)
        : m_layout(layout)
    {
        for (int i = 0; i < layout.hosts; ++i) {
            ControlOptions options;
            options.host = fmt::format("h{:04}", i);
            options.peerAddress = options.host + ":1";
            options.dataCentre = fmt::format("dc{}", i % layout.dataCentres);
            options.incarnation = 100 + static_cast<Incarnation>(i);
            options.keepsClaims = false;
            options.capacity = i < layout.highCapacityHosts * layout.dataCentres ? 0.5 : 0.12;
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
        constexpr Incarnation incarnationStep = 100'000;
        m_options.at(host).incarnation += incarnationStep;
        m_hosts[host] = std::make_unique<BasicControlMachine<G>>(m_clock, m_options.at(host));
    }
    void endAll()
    {
        m_hosts.clear();
        m_openWatches.clear();
        m_inTransit.clear();
    }
    void kill(const std::string &host)
    {
        m_hosts.erase(host);
        std::erase_if(m_openWatches,
                      [&host](const OpenWatch &watch) { return watch.host == host; });
    }
    /// Suspends the process of \p host. Messages to it wait until it is resumed.
    void suspend(const std::string &host) { m_suspended.insert(host); }
    void resume(const std::string &host) { m_suspended.erase(host); }
    /// Sets whether the store refuses all calls.
    void setStoreUnavailable(bool isUnavailable) { m_isStoreUnavailable = isUnavailable; }

    /// Puts an object into the store, which answers the open watches of its kind.
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
            for (const Transit &message : std::exchange(m_inTransit, {})) {
                deliver(message);
            }
            answerWatches();
            for (auto &[name, host] : m_hosts) {
                if (!m_suspended.contains(name)) {
                    tick(name, *host);
                }
            }
        }
    }

    /// Returns and clears the traffic since the last call.
    [[nodiscard]] FleetTraffic drainTraffic() { return std::exchange(m_traffic, {}); }
    [[nodiscard]] std::vector<std::string> hosts() const
    {
        std::vector<std::string> names;
        for (const auto &[name, host] : m_hosts) {
            names.push_back(name);
        }
        return names;
    }
    [[nodiscard]] const BasicControlMachine<G> &control(const std::string &host) const
    {
        return *m_hosts.at(host);
    }
    [[nodiscard]] bool hasHighCapacity(const std::string &host) const
    {
        return m_options.at(host).capacity > 0.4;
    }
    /// Returns the number of hosts with the latest revision in force.
    [[nodiscard]] std::size_t upToDateHosts() const
    {
        std::size_t count = 0;
        for (const auto &[name, host] : m_hosts) {
            count += host->config().revision() == m_revision ? 1 : 0;
        }
        return count;
    }
    /// Returns the smallest number of live peers that a host knows.
    [[nodiscard]] std::size_t minLivePeers() const
    {
        std::size_t lowest = m_hosts.size();
        for (const auto &[name, host] : m_hosts) {
            lowest = std::min(lowest, host->membership().livePeers().size());
        }
        return lowest;
    }

    /// Breaks a call of \p host that was sent 100 ms ago, as if its endpoint had crashed.
    void breakCall(const std::string &host, const Hash128 &digest, const std::string &endpoint)
    {
        BrokenCall call;
        call.digest = digest;
        call.pool = "engines";
        call.endpoint = endpoint; // Not declared any more, so no probe is needed.
        call.brokeAt = m_clock.now();
        call.sentAt = call.brokeAt - std::chrono::milliseconds(100);
        m_hosts.at(host)->handle(call);
    }
    /// Begins a planned stop of \p host.
    void leave(const std::string &host) { m_hosts.at(host)->leave(); }
    /// Lets a stream begin at \p host.
    void beginStream(const std::string &host, const StreamBegan &event)
    {
        m_hosts.at(host)->handle(event);
    }
    /// Lets \p host look for the origin of \p stream.
    void locate(const std::string &host, const Hash128 &stream)
    {
        m_hosts.at(host)->handle(LocateStream{{1, ++m_lookupCount}, "caller", stream});
    }
    /// Returns and clears the lookups that have ended.
    [[nodiscard]] std::vector<StreamLookup> drainLookups() { return std::exchange(m_lookups, {}); }
    /// Returns the number of hosts with a quarantine of \p digest.
    [[nodiscard]] std::size_t hostsWithQuarantine(const Hash128 &digest) const
    {
        std::size_t count = 0;
        for (const auto &[name, host] : m_hosts) {
            const std::vector<Resource> resources = host->resources().resources;
            count += std::any_of(resources.begin(), resources.end(), [&](const Resource &one) {
                const auto *spec = std::get_if<QuarantineSpec>(&one.spec);
                return spec != nullptr && spec->digest == digest;
            });
        }
        return count;
    }

private:
    static constexpr const char *hostKind = "hosts";

    /// A watch without an answer yet.
    struct OpenWatch
    {
        std::string host;
        PlatformCall call;
        TimePoint until;
    };

    /// A message in transit, with its encoded size.
    struct Transit
    {
        PeerSend send;
        std::size_t bytes = 0;
    };

    void deliver(const Transit &message)
    {
        if (m_suspended.contains(message.send.host)) {
            m_inTransit.push_back(message);
            return;
        }
        const auto to = m_hosts.find(message.send.host);
        if (to != m_hosts.end()) {
            m_traffic.receivedBytes[message.send.host] += message.bytes;
            to->second->handle(message.send.message);
        }
    }
    void tick(const std::string &name, BasicControlMachine<G> &host)
    {
        host.tick();
        ControlOutput output = host.drainOutput();
        for (const PlatformCall &call : output.calls) {
            handleStoreCall(name, call, host);
        }
        for (PeerSend &send : output.sends) {
            const std::size_t bytes = encodePeerMessage(send.message).size();
            count(name, send, bytes);
            m_inTransit.push_back({std::move(send), bytes});
        }
        m_lookups.insert(m_lookups.end(), output.streamLookups.begin(), output.streamLookups.end());
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
            if (content.hasHosts) {
                return "host list";
            }
            return content.hasUsage ? "summary, whole" : "summary";
        } else if constexpr (std::same_as<Content, ConfigPush>) {
            return "push";
        } else if constexpr (std::same_as<Content, StreamRecords>) {
            return "origins of streams";
        } else if constexpr (std::same_as<Content,
                                          StreamQuery> || std::same_as<Content, StreamReply>) {
            return "lookups of streams";
        } else if constexpr (std::same_as<Content, CrashReports>) {
            return "crash reports";
        } else if constexpr (std::same_as<Content, ConfigDigest>) {
            return content.detailed ? "digest, detailed" : "digest";
        } else {
            return "other";
        }
    }

    // The store ---------------------------------------------------------------

    void handleStoreCall(const std::string &name, const PlatformCall &call,
                         BasicControlMachine<G> &host)
    {
        const std::string what = fmt::format("{} {}", toText(call.operation), call.kind);
        ++m_traffic.storeCalls[what];
        m_traffic.readers[what].insert(name);
        if (m_isStoreUnavailable) {
            PlatformResult refused;
            refused.id = call.id;
            refused.outcome = PlatformOutcome::Refused;
            host.handle(refused);
            return;
        }
        if (call.operation == PlatformOperation::Watch && updatesFor(call).objects.empty()) {
            m_openWatches.push_back({name, call, m_clock.now() + call.wait});
            return;
        }
        host.handle(answerFor(name, call));
    }
    void answerWatches()
    {
        std::vector<OpenWatch> waiting = std::exchange(m_openWatches, {});
        for (OpenWatch &watch : waiting) {
            const bool isDue =
                m_clock.now() >= watch.until || !updatesFor(watch.call).objects.empty();
            const auto host = m_hosts.find(watch.host);
            if (!isDue || m_suspended.contains(watch.host)) {
                m_openWatches.push_back(std::move(watch));
            } else if (host != m_hosts.end()) {
                host->second->handle(updatesFor(watch.call));
            }
        }
    }
    [[nodiscard]] static bool names(const PlatformCall &call, const std::string &kind)
    {
        return ("," + call.kind + ",").find("," + kind + ",") != std::string::npos;
    }
    [[nodiscard]] PlatformResult updatesFor(const PlatformCall &call) const
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
    PlatformResult answerFor(const std::string &name, const PlatformCall &call)
    {
        PlatformResult result;
        if (call.operation == PlatformOperation::Hosts) {
            for (const auto &[key, object] : m_declaredHosts) {
                result.objects.push_back(object);
            }
        } else if (call.operation == PlatformOperation::Put) {
            return call.kind == hostKind ? declareHost(name, call) : put(call);
        } else {
            PlatformCall all = call;
            all.since = call.operation == PlatformOperation::List ? 0 : call.since;
            result = updatesFor(all);
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
        PlatformObject &object = m_declaredHosts[name];
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
    std::map<std::string, std::unique_ptr<BasicControlMachine<G>>> m_hosts;
    std::set<std::string> m_suspended;
    std::vector<Transit> m_inTransit;
    std::vector<OpenWatch> m_openWatches;
    std::map<std::pair<std::string, std::string>, PlatformObject> m_objects;
    std::map<std::string, PlatformObject> m_declaredHosts; ///< By host.
    std::uint64_t m_revision = 0;
    std::uint64_t m_hostRevision = 0;
    bool m_isStoreUnavailable = false;
    FleetTraffic m_traffic;
    std::vector<StreamLookup> m_lookups;
    std::uint64_t m_lookupCount = 0;
};

/// The fleet of the product.
using ControlFleet = BasicControlFleet<AllGuards>;

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_FLEETFIXTURE_H
