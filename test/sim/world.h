//===- world.h - Daemon kernels among fakes ---------------------*- C++ -*-===//
///
/// \file
/// Several daemon kernels, each a request machine and a control machine, wired
/// to each other, to the platform and to endpoints over a network that loses,
/// delays, doubles and reorders.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_WORLD_H
#define HARELINK_TEST_SIM_WORLD_H

#include "checks.h"
#include "fakes.h"

#include "harelink/Kernel/controlmachineimpl.h"
#include "harelink/Kernel/registry.h"
#include "harelink/Kernel/requestmachineimpl.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

namespace harelink::sim {

/// How unreliable the world's network and endpoints are, as shares of messages.
struct WorldFaults
{
    double loseMessage = 0;
    double doubleMessage = 0;
    double lateMessage = 0;
    double brokenCall = 0; ///< A call's connection breaks after it ran.
    double lateAnswer = 0; ///< An answer comes once more, much later, on another call.
};

/// The world; \p G says which mechanisms the kernels have.
template <GuardPolicy G>
class World
{
public:
    World(std::uint64_t seed, int hosts, int dataCentres)
        : m_random(seed)
        , m_trace(m_queue)
        , m_platform(m_queue, m_random)
        , m_checks(m_queue, m_trace)
        , m_dataCentres(dataCentres)
        , m_maxMeshPeers(seed % 2 == 0 ? 0 : ControlOptions{}.maxMeshPeers)
    {
        declareResources();
        for (int i = 0; i < hosts; ++i) {
            const std::string name = fmt::format("h{}", i + 1);
            Host &host = m_hosts[name];
            host.name = name;
            host.dataCentre = fmt::format("dc{}", i % dataCentres + 1);
            m_platform.setHost(name, host.dataCentre, "live", true);
            startHost(name);
        }
    }

    // What a run or a scenario does to the world ------------------------------

    /// Runs for \p time; gives how many events ran.
    std::uint64_t run(Duration time) { return m_queue.runUntil(m_queue.now() + time); }

    /// Sends a request to \p hostName; false where nobody listens there.
    bool submit(const std::string &hostName, const std::string &pipeline, const std::string &body,
                const std::string &key, Duration allowed)
    {
        Host &host = m_hosts.at(hostName);
        if (!host.alive) {
            return false;
        }
        RequestArrived event;
        event.id = {host.incarnation, ++host.lastSequence};
        event.account = m_random.chance(0.5) ? "drivers" : "lab";
        // A key is of one account, so that its retries meet it again; what ends endpoints
        // comes again from one caller.
        event.account = key.empty() && !isCrashing(body) ? event.account : "drivers";
        event.pipeline = pipeline;
        event.body = body;
        event.idempotencyKey = key;
        event.timeAllowed = allowed;
        event.streams = key.empty() && m_random.chance(0.5);
        m_checks.submitted({event.id, hostName, pipeline, body, key, event.streams});
        onHost(hostName, host.incarnation, [this, event](Host &at) {
            m_checks.admitted(event.id, *event.timeAllowed);
            at.requests->handle(event, *at.snapshot);
        });
        return true;
    }

    void killHost(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        if (!host.alive) {
            return;
        }
        m_trace.add("kill " + name);
        m_checks.hostKilled(name, host.incarnation);
        stopHost(host);
    }

    void startHost(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        if (host.alive) {
            return;
        }
        m_trace.add("start " + name);
        m_checks.hostRestarted(name);
        host.alive = true;
        host.drainSent = false;
        host.draining = false;
        host.wasIdle = false;
        host.incarnation = m_random.bits();
        host.lastSequence = 0;
        host.disturbedAt = m_queue.now();
        ControlOptions options;
        options.host = name;
        options.peerAddress = name;
        options.dataCentre = host.dataCentre;
        options.incarnation = host.incarnation;
        options.maxMeshPeers = m_maxMeshPeers;
        host.clock = std::make_unique<HostClock>(m_queue.clock());
        host.control = std::make_unique<BasicControlMachine<G>>(*host.clock, options);
        host.requests = std::make_unique<BasicRequestMachine<G>>(
            *host.clock, Registry<RoutingPolicy>::instance().make("power-of-two"), host.incarnation,
            RequestLimits{});
        host.snapshot = std::make_unique<Snapshot>();
        scheduleTick(name, host.incarnation);
    }

    /// Stops the host's clock hands: what comes in waits until thaw().
    void freeze(const std::string &name)
    {
        m_trace.add("freeze " + name);
        m_hosts.at(name).frozen = true;
    }

    /// The same of the whole host: without the guard its clock stands still too.
    void suspend(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        if (!host.alive || host.frozen) {
            return;
        }
        m_trace.add("suspend " + name);
        host.frozen = true;
        host.isSuspended = true;
        host.clock->setSuspended(!G::countsSuspendedTime);
    }

    void thaw(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        if (!host.frozen) {
            return;
        }
        if (std::exchange(host.isSuspended, false)) {
            host.suspendedUntil = m_queue.now();
            host.clock->setSuspended(false);
        }
        m_trace.add("thaw " + name);
        host.frozen = false;
        std::vector<std::function<void()>> deferred = std::exchange(host.deferred, {});
        for (const auto &event : deferred) {
            event();
        }
    }

    /// Begins a planned stop; the host ends when it is idle. A frozen host takes
    /// the signal in when it thaws, after what came in before it.
    void drainHost(const std::string &name)
    {
        Host &target = m_hosts.at(name);
        if (!target.alive || target.drainSent) {
            return;
        }
        m_trace.add("drain " + name);
        target.drainSent = true;
        m_checks.hostDraining(name);
        onHost(name, target.incarnation, [this](Host &host) { beginDrain(host); });
    }

    void killEndpoint(const std::string &name)
    {
        m_trace.add("kill " + name);
        FakeEndpoint &endpoint = m_endpoints.at(name);
        endpoint.down = true;
        ++endpoint.generation;
    }
    /// The platform's host list says from now on that an endpoint is leaving.
    void markEndpointLeaving(const std::string &name)
    {
        FakeEndpoint &endpoint = m_endpoints.at(name);
        if (endpoint.leavingSince != TimePoint::max()) {
            return;
        }
        m_trace.add(name + " begins to leave");
        endpoint.leavingSince = m_queue.now();
        m_platform.setHost(name, endpoint.dataCentre, "leaving", false);
    }
    /// An operator changes an account's weight, over whatever is there.
    void changeWeight(const std::string &account, int weight)
    {
        standin::PlatformStore &store = m_platform.store();
        const auto current = store.get("ClientAccount", account);
        const nlohmann::json document = {
            {"kind", "ClientAccount"}, {"name", account}, {"spec", {{"weight", weight}}}};
        store.put("ClientAccount", account, current ? current->version : 0, document.dump());
    }
    /// An operator drains \p dataCentre, or takes it back; where it is so already, nothing.
    void setDrained(const std::string &dataCentre, bool isDrained)
    {
        constexpr const char *kind = "DataCentreDrain";
        standin::PlatformStore &store = m_platform.store();
        const auto current = store.get(kind, dataCentre);
        if (isDrained == current.has_value()) {
            return;
        }
        m_trace.add((isDrained ? "drain all endpoints of " : "take back ") + dataCentre);
        m_checks.dataCentreDrained(dataCentre, isDrained);
        if (isDrained) {
            declare(kind, dataCentre, {{"dataCentre", dataCentre}});
            return;
        }
        store.remove(kind, dataCentre, current->version);
        for (auto &[name, endpoint] : m_endpoints) {
            if (endpoint.dataCentre == dataCentre) {
                makeCold(name, endpoint);
            }
        }
    }
    /// Every living host has the platform's version of every object in force.
    [[nodiscard]] bool converged()
    {
        for (const PlatformObject &object :
             m_platform.store().list({"Pool", "Endpoint", "ClientAccount", "Pipeline"})) {
            for (const auto &[name, host] : m_hosts) {
                if (!host.alive) {
                    continue;
                }
                const auto &entries = host.control->config().entries();
                const auto found = entries.find({object.kind, object.name});
                if (found == entries.end() || found->second.inForce != object.version) {
                    return false;
                }
            }
        }
        return true;
    }
    /// The answers of an endpoint state \p limit from now on, or none.
    void setLimit(const std::string &name, std::optional<double> limit)
    {
        FakeEndpoint &endpoint = m_endpoints.at(name);
        m_trace.add(limit ? fmt::format("{} states a limit of {}/s", name, *limit)
                          : fmt::format("{} lifts its limit", name));
        endpoint.limitedSince = m_queue.now();
        endpoint.limit = limit;
        m_checks.limitChanged(name);
    }
    /// An endpoint refuses most requests from now on and asks for \p pause; zero for none.
    void setPause(const std::string &name, Duration pause)
    {
        m_trace.add(fmt::format("{} asks for pauses of {} ms", name, toMilliseconds(pause)));
        m_endpoints.at(name).pause = pause;
    }
    /// The answers of an endpoint say from now on that it is leaving.
    void announceLeaving(const std::string &name)
    {
        m_trace.add(name + " announces that it is leaving");
        m_endpoints.at(name).announcesLeaving = true;
    }
    void startEndpoint(const std::string &name) { m_endpoints.at(name).down = false; }

    void healAll()
    {
        m_trace.add("heal everything");
        m_cuts.healAll();
        m_platform.faults() = {};
        m_faults = {};
        for (auto &[name, endpoint] : m_endpoints) {
            endpoint.down = false;
            endpoint.slowFactor = 1;
            endpoint.limit.reset();
            endpoint.pause = {};
        }
        for (auto &[name, host] : m_hosts) {
            thaw(name);
            startHost(name);
        }
    }

    [[nodiscard]] bool isAlive(const std::string &host) const { return m_hosts.at(host).alive; }
    [[nodiscard]] EventQueue &queue() { return m_queue; }
    [[nodiscard]] Random &random() { return m_random; }
    [[nodiscard]] Trace &trace() { return m_trace; }
    [[nodiscard]] Checks &checks() { return m_checks; }
    [[nodiscard]] FakePlatform &platform() { return m_platform; }
    [[nodiscard]] Cuts &cuts() { return m_cuts; }
    [[nodiscard]] WorldFaults &faults() { return m_faults; }
    [[nodiscard]] std::map<std::string, FakeEndpoint> &endpoints() { return m_endpoints; }
    [[nodiscard]] std::vector<std::string> hostNames() const
    {
        std::vector<std::string> names;
        for (const auto &[name, host] : m_hosts) {
            names.push_back(name);
        }
        return names;
    }
    /// The control of a living host.
    [[nodiscard]] const BasicControlMachine<G> &control(const std::string &host) const
    {
        return *m_hosts.at(host).control;
    }

private:
    struct Host
    {
        std::string name;
        std::string dataCentre;
        bool alive = false;
        bool frozen = false;
        bool drainSent = false;
        bool draining = false;
        bool wasIdle = false;
        Incarnation incarnation = 0;
        std::uint64_t lastSequence = 0;
        bool isSuspended = false;
        std::optional<TimePoint> suspendedUntil;
        TimePoint frozenAt;    ///< When it last stood still.
        TimePoint disturbedAt; ///< When something last kept it from knowing what others know.
        std::unique_ptr<HostClock> clock;
        std::unique_ptr<BasicRequestMachine<G>> requests;
        std::unique_ptr<BasicControlMachine<G>> control;
        std::unique_ptr<const Snapshot> snapshot;
        std::vector<std::function<void()>> deferred;
    };

    static constexpr std::chrono::milliseconds tickInterval{5};
    /// Part of the requests that an endpoint refuses which asks for pauses.
    static constexpr double refusalProbability = 0.7;
    static constexpr std::chrono::milliseconds coldCheckTimeout{200};
    /// Letters of an answer that make a token.
    static constexpr std::size_t tokenLength = 4;

    static void stopHost(Host &host)
    {
        host.alive = false;
        host.frozen = false;
        host.isSuspended = false;
        host.deferred.clear();
        host.requests.reset();
        host.control.reset();
    }

    void declare(const std::string &kind, const std::string &name, const nlohmann::json &spec)
    {
        const nlohmann::json document = {{"kind", kind}, {"name", name}, {"spec", spec}};
        m_platform.store().put(kind, name, 0, document.dump());
    }

    /// The endpoint is cold from now on, and says so in its declaration. Each time by a
    /// millisecond more, for what says nothing new is no news.
    void makeCold(const std::string &name, FakeEndpoint &endpoint)
    {
        endpoint.coldUntil = m_queue.now() + coldTime;
        standin::PlatformStore &store = m_platform.store();
        const auto current = store.get("Endpoint", name);
        nlohmann::json document = nlohmann::json::parse(current->value);
        document["spec"]["coldMs"] = coldTime.count() + ++m_coldTransitions;
        store.put("Endpoint", name, current->version, document.dump());
    }

    void declareResources()
    {
        using nlohmann::json;
        for (const char *pool : {"encoders", "engines", "records"}) {
            declare("Pool", pool,
                    {{"protocol", "plain-service"},
                     {"coldMs", coldTime.count()},
                     {"coldRequestsPerSecond", coldRate},
                     {"statusPath", "/status"}});
            for (int i = 0; i < m_dataCentres * 2; ++i) {
                const std::string name = fmt::format("{}-{}", pool, i + 1);
                const std::string dataCentre = fmt::format("dc{}", i % m_dataCentres + 1);
                declare("Endpoint", name,
                        {{"pool", pool},
                         {"address", "127.0.0.1:1"},
                         {"dataCentre", dataCentre},
                         {"slots", 8}});
                m_endpoints[name].dataCentre = dataCentre;
            }
        }
        declare("ClientAccount", "drivers", {{"weight", 3}});
        declare("ClientAccount", "lab", {{"weight", 1}});
        declare("Pipeline", "answer",
                {{"stages", json::array({{{"name", "encode"}, {"pool", "encoders"}},
                                         {{"name", "generate"}, {"pool", "engines"}}})}});
        declare("Pipeline", "record",
                {{"stages", json::array({{{"name", "record"}, {"pool", "records"}}})},
                 {"repeatable", false}});
    }

    void beginDrain(Host &host)
    {
        host.draining = true;
        host.requests->drain();
        host.control->leave();
        if (!G::drainsBeforeExit) {
            host.requests->abandonAll(*host.snapshot);
            pump(host);
            killHost(host.name);
        }
    }

    // Events into a host ------------------------------------------------------

    /// Calls \p event on the host if that start of it still lives; when frozen, later.
    void onHost(const std::string &name, Incarnation incarnation,
                const std::function<void(Host &)> &event)
    {
        Host &host = m_hosts.at(name);
        if (!host.alive || host.incarnation != incarnation) {
            return;
        }
        if (host.frozen) {
            host.deferred.push_back([=, this] { onHost(name, incarnation, event); });
            return;
        }
        event(host);
        pump(host);
    }

    template <typename Event>
    void toRequests(const std::string &name, Incarnation incarnation, const Event &event)
    {
        onHost(name, incarnation,
               [event](Host &host) { host.requests->handle(event, *host.snapshot); });
    }

    template <typename Event>
    void toControl(const std::string &name, Incarnation incarnation, const Event &event)
    {
        onHost(name, incarnation, [event](Host &host) { host.control->handle(event); });
    }

    void scheduleTick(const std::string &name, Incarnation incarnation)
    {
        m_queue.after(tickInterval, [=, this] {
            onHost(name, incarnation, [this](Host &host) {
                if (host.control->heartbeatsDue()) {
                    applyCurrentLimits(host);
                }
                host.control->tick();
                recordEndpointUpdates(host);
                host.requests->tick(*host.snapshot);
            });
            Host &host = m_hosts.at(name);
            if (!host.alive || host.incarnation != incarnation) {
                return;
            }
            recordDisturbance(host);
            // As the daemon does, ask the control only after the workers, behind
            // what they handed over: here, one tick later.
            const bool idle =
                host.draining && host.requests->inProgress() == 0 && host.control->idle();
            const bool stays = std::exchange(host.wasIdle, idle) && idle;
            if (stays && !host.frozen) {
                stopHost(host);
                return;
            }
            scheduleTick(name, incarnation);
        });
    }

    // Actions out of a host ---------------------------------------------------

    void pump(Host &host)
    {
        if (!host.alive) {
            return;
        }
        for (RequestAction &action : host.requests->drainActions()) {
            std::visit([&](const auto &what) { perform(host, what); }, action);
        }
        ControlOutput output = host.control->drainOutput();
        for (const PlatformCall &call : output.calls) {
            perform(host, call);
        }
        for (const PeerSend &send : output.sends) {
            perform(host, send);
        }
        for (const ClaimDecision &decision : output.decisions) {
            m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
                toRequests(name, start, decision);
            });
        }
        if (output.configChanged) {
            publish(host);
        }
        for (const std::string &endpoint : output.leavingEndpoints) {
            markLeaving(*host.snapshot, endpoint);
        }
        for (const EndpointLimitAnnounced &change : output.limits) {
            applyLimitUpdate(host, change);
        }
        for (const EndpointProbe &probe : output.probes) {
            perform(host, probe);
        }
        for (const RequestSuspected &suspect : output.suspects) {
            m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
                toRequests(name, start, suspect);
            });
        }
        for (const QuarantineDecision &decision : output.quarantines) {
            m_trace.add(fmt::format("{} quarantines {}", host.name, toHex(decision.digest)));
        }
    }

    void applyLimitUpdate(Host &host, const EndpointLimitAnnounced &limit)
    {
        if (G::enforcesRateLimits) {
            applyLimit(*host.snapshot, limit.endpoint, limit.announcement,
                       host.control->rateShares(), host.clock->now());
        }
    }

    void applyCurrentLimits(Host &host)
    {
        for (const EndpointLimitAnnounced &limit : host.control->limits().inForce()) {
            applyLimitUpdate(host, limit);
        }
    }

    /// The way between a worker's and the control's thread.
    Duration handoverDelay() { return std::chrono::microseconds(10 + m_random.below(100)); }
    Duration networkDelay() { return std::chrono::microseconds(200 + m_random.below(800)); }

    void publish(Host &host)
    {
        std::unique_ptr<const Snapshot> next =
            buildSnapshot(host.control->resources(), host.control->config().revision(),
                          host.dataCentre, host.snapshot.get());
        if (G::avoidsCold) {
            recordColdStarts(*next, *host.snapshot, host.clock->now(), host.control->coldShares());
            if (!receivesEndpointUpdates(*next, host.clock->now())) {
                recordColdShares(*next, host.control->coldShares());
            }
        }
        host.snapshot = std::move(next);
        applyCurrentLimits(host);
        for (const std::string &endpoint : host.control->leavingEndpoints()) {
            markLeaving(*host.snapshot, endpoint);
        }
        for (const auto &[key, entry] : host.control->config().entries()) {
            m_checks.versionInForce(host.name, key.first + "/" + key.second, entry.inForce);
        }
    }

    void perform(Host &, const AnswerCaller &action) { m_checks.answered(action); }
    void perform(Host &, const CancelStage &) {}
    void perform(Host &, const StreamChunk &action) { m_checks.streamed(action); }
    /// Only proxied requests bring the other actions, and none is sent here.
    template <typename Action>
    void perform(Host &, const Action &)
    {
        assert(false && "an action that only carried requests bring");
    }

    void perform(Host &host, const ClaimRequest &action)
    {
        m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
            toControl(name, start, action);
        });
    }

    void perform(Host &host, const EndpointNoticed &action)
    {
        if (action.notice.requestsPerSecond) {
            m_checks.limitReported(action.endpoint, host.incarnation);
        }
        if (action.notice.isLeaving) {
            host.control->handleEndpointLeaving(action.endpoint);
            m_checks.departureReported(action.endpoint, host.incarnation);
        }
        m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
            toControl(name, start,
                      EndpointLimitAnnounced{action.endpoint,
                                             {action.notice.requestsPerSecond, action.sentAt}});
        });
    }

    void perform(Host &host, const CheckColdState &action)
    {
        const std::string name = host.name;
        const Incarnation start = host.incarnation;
        const ColdStateChecked silent{action.endpoint, m_queue.now(), std::nullopt};
        const FakeEndpoint &endpoint = m_endpoints.at(action.endpoint);
        if (endpoint.down || m_cuts.isCut(host.dataCentre, endpoint.dataCentre)) {
            m_queue.after(coldCheckTimeout, [=, this] { handleColdState(name, start, silent); });
            return;
        }
        m_queue.after(networkDelay(), [=, this] {
            ColdStateChecked state = silent;
            state.coldFor = std::max<Duration>(
                m_endpoints.at(state.endpoint).coldUntil - m_queue.now(), Duration::zero());
            m_queue.after(networkDelay(), [=, this] { handleColdState(name, start, state); });
        });
    }

    void handleColdState(const std::string &name, Incarnation start, const ColdStateChecked &state)
    {
        onHost(name, start, [=, this](Host &host) {
            recordColdState(*host.snapshot, state, host.control->coldShares(), host.clock->now());
        });
    }

    /// What the daemon does at each of its control's turns.
    void recordEndpointUpdates(Host &host)
    {
        recordEndpointUpdatesUntil(*host.snapshot, host.control->endpointUpdatesUntil(),
                                   host.control->coldShares());
    }

    void perform(Host &host, const BrokenCallReport &action)
    {
        m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
            toControl(name, start, action.broken);
        });
    }

    void perform(Host &host, const RequestCleared &action)
    {
        m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
            toControl(name, start, action);
        });
    }

    void perform(Host &host, const EndpointProbe &probe)
    {
        const FakeEndpoint &endpoint = m_endpoints.at(probe.endpoint);
        EndpointProbeResult event{probe.endpoint, ProbeOutcome::Accepted};
        if (m_cuts.isCut(host.dataCentre, endpoint.dataCentre)) {
            event.outcome = ProbeOutcome::Unknown;
        } else if (endpoint.down) {
            event.outcome = ProbeOutcome::Refused;
        }
        m_queue.after(networkDelay(), [=, this, name = host.name, start = host.incarnation] {
            toControl(name, start, event);
        });
    }

    void perform(Host &host, const ClaimFinish &action)
    {
        m_queue.after(handoverDelay(), [=, this, name = host.name, start = host.incarnation] {
            toControl(name, start, action);
        });
    }

    void perform(Host &host, const PlatformCall &call)
    {
        const std::string name = host.name;
        const Incarnation start = host.incarnation;
        if (m_cuts.isCut(host.dataCentre, "platform")) {
            m_queue.after(std::chrono::milliseconds(300), [=, this] {
                PlatformResult silent;
                silent.id = call.id;
                toControl(name, start, silent);
            });
            return;
        }
        m_platform.handle(
            call, [=, this](const PlatformResult &result) { toControl(name, start, result); });
    }

    void perform(Host &host, const PeerSend &send)
    {
        const Host &to = m_hosts.at(send.host);
        if (m_cuts.isCut(host.dataCentre, to.dataCentre) || m_random.chance(m_faults.loseMessage)) {
            return;
        }
        const int copies = m_random.chance(m_faults.doubleMessage) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            Duration delay = networkDelay();
            if (m_random.chance(m_faults.lateMessage)) {
                delay += std::chrono::milliseconds(m_random.below(1500));
            }
            m_queue.after(delay, [this, name = send.host, message = send.message] {
                toControl(name, m_hosts.at(name).incarnation, message);
            });
        }
    }

    void perform(Host &host, const SendStage &stage)
    {
        m_checks.sent(stage);
        const FakeEndpoint &endpoint = m_endpoints.at(stage.endpoint);
        const std::string name = host.name;
        const Incarnation start = host.incarnation;
        if (endpoint.down) {
            m_queue.after(networkDelay(),
                          [=, this] { failStage(name, start, stage, SendEvidence::NothingSent); });
            return;
        }
        if (m_cuts.isCut(host.dataCentre, endpoint.dataCentre)) {
            // The connection is never made; the daemon gives up by its deadline.
            return;
        }
        m_queue.after(networkDelay(), [=, this] { arrive(name, start, stage); });
    }

    void failStage(const std::string &name, Incarnation start, const SendStage &stage,
                   SendEvidence evidence)
    {
        StageFailed event;
        event.call = stage.call;
        event.evidence = evidence;
        event.isBroken = evidence == SendEvidence::Sent;
        event.status = absl::UnavailableError("the connection broke");
        toRequests(name, start, event);
    }

    void arrive(const std::string &name, Incarnation start, const SendStage &stage)
    {
        FakeEndpoint &endpoint = m_endpoints.at(stage.endpoint);
        if (endpoint.down) {
            failStage(name, start, stage, SendEvidence::Sent);
            return;
        }
        const bool excused = wasRecentlyFrozen(m_hosts.at(name));
        m_checks.arrivedAtPausing(stage, excused);
        if (endpoint.pause > Duration::zero() && m_random.chance(refusalProbability)) {
            refuse(name, start, stage);
            return;
        }
        m_checks.arrivedAtEndpoint(stage.endpoint, endpoint, stage,
                                   recentlyResumed(m_hosts.at(name)));
        traceColdRequest(m_hosts.at(name), stage.endpoint);
        m_checks.arrivedAtDataCentre(endpoint, stage, isStable(m_hosts.at(name)));
        if (endpoint.limit) {
            m_checks.arrivedAtLimited(endpoint, stage, wasRecentlyFrozen(m_hosts.at(name)));
        }
        m_checks.ranAtEndpoint(stage);
        if (isCrashing(stage.request)) {
            m_checks.crashingArrived(stage.request, isStable(m_hosts.at(name)));
            crashSoon(name, start, stage);
            return;
        }
        const double millis = (3 + 20 * m_random.unit()) * endpoint.slowFactor;
        const auto time =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
        const std::uint64_t generation = endpoint.generation;
        const bool breaks = m_random.chance(m_faults.brokenCall);
        if (stage.streams) {
            const auto breakAt = breaks ? stage.tokensDelivered + m_random.below(4) : UINT64_MAX;
            streamNext({name, start, stage, generation, time / 4, breakAt}, stage.tokensDelivered);
            return;
        }
        m_queue.after(time + networkDelay(), [=, this] {
            const bool died = m_endpoints.at(stage.endpoint).generation != generation;
            StageAnswered event;
            event.call = stage.call;
            event.echoed = stage.call;
            event.body = answerTo(stage);
            event.notice = noticeOf(stage.endpoint);
            if (died || breaks) {
                failStage(name, start, stage, SendEvidence::Sent);
                deliverLate(name, start, event);
                return;
            }
            toRequests(name, start, event);
        });
    }

    /// Traces what \p host believes of an endpoint that is cold and gets a request from it.
    void traceColdRequest(const Host &host, const std::string &name)
    {
        if (m_queue.now() >= m_endpoints.at(name).coldUntil || !host.alive) {
            return;
        }
        const EndpointEntry *entry = host.snapshot->endpoint(name);
        const bool knows = entry != nullptr && isCold(*entry, m_queue.now());
        const char *access = host.control->connected() ? "reaches" : "does not reach";
        m_trace.add(fmt::format("{} is cold and gets a request of {}, which {} and {} the platform "
                                "(in touch: {})",
                                name, host.name, knows ? "knows it" : "takes it for warm", access,
                                isStable(host)));
    }

    /// What the answers of the endpoint called \p name say of it now.
    [[nodiscard]] EndpointNotice noticeOf(const std::string &name) const
    {
        EndpointNotice notice;
        notice.requestsPerSecond = m_endpoints.at(name).limit;
        notice.isLeaving = m_endpoints.at(name).announcesLeaving;
        return notice;
    }

    /// The endpoint does not run \p stage and asks for a pause.
    void refuse(const std::string &name, Incarnation start, const SendStage &stage)
    {
        StageFailed event;
        event.call = stage.call;
        event.evidence = SendEvidence::RefusedBeforeRun;
        event.status = absl::UnavailableError("refused");
        event.notice = noticeOf(stage.endpoint);
        event.notice->pause = m_endpoints.at(stage.endpoint).pause;
        m_checks.pauseRequested(stage, event.notice->pause);
        m_queue.after(networkDelay(), [=, this] { toRequests(name, start, event); });
    }

    /// The endpoint that has begun to run \p stage ends, and is back some seconds later.
    void crashSoon(const std::string &name, Incarnation start, const SendStage &stage)
    {
        const Duration run = std::chrono::milliseconds(20 + m_random.below(130));
        const Duration away = std::chrono::milliseconds(2000 + m_random.below(2000));
        const std::uint64_t generation = m_endpoints.at(stage.endpoint).generation;
        m_queue.after(run, [=, this] {
            FakeEndpoint &endpoint = m_endpoints.at(stage.endpoint);
            if (endpoint.generation == generation) {
                m_checks.crashed(stage.request);
                killEndpoint(stage.endpoint);
                m_queue.after(away, [this, name = stage.endpoint] { startEndpoint(name); });
            }
            failStage(name, start, stage, SendEvidence::Sent);
        });
    }

    /// Whether \p host lived, was not frozen and reached a well platform for so long that
    /// it has to know what the others know.
    [[nodiscard]] bool isStable(const Host &host) const
    {
        return m_queue.now() - host.disturbedAt >= stabilizationTime;
    }

    /// Whether \p host was suspended and woke a moment ago: it may not have heard yet what
    /// was said meanwhile. Seen: one that was suspended for 1.9 s, frozen before that with
    /// the platform slow between, and sent to a leaving endpoint 0.9 ms after it woke.
    [[nodiscard]] bool recentlyResumed(const Host &host) const
    {
        return host.suspendedUntil && m_queue.now() - *host.suspendedUntil < stabilizationTime;
    }

    /// Whether \p host stood still a moment ago: what it sent then may arrive with the rest.
    [[nodiscard]] bool wasRecentlyFrozen(const Host &host) const
    {
        return m_queue.now() - host.frozenAt < stabilizationTime;
    }

    void recordDisturbance(Host &host)
    {
        if (host.frozen) {
            host.frozenAt = m_queue.now();
        }
        const FakePlatform::Faults &faults = m_platform.faults();
        const bool isWell = !faults.outage && faults.slow == Duration::zero()
                            && faults.loseAnswers == 0 && faults.applyLate == 0;
        if (host.frozen || host.draining || !isWell || m_cuts.isCut(host.dataCentre, "platform")) {
            host.disturbedAt = m_queue.now();
        }
    }

    /// A call whose answer comes in parts.
    struct Stream
    {
        std::string host;
        Incarnation start = 0;
        SendStage stage;
        std::uint64_t generation = 0;
        Duration pause{};
        std::uint64_t breakAt = 0; ///< The token before which the connection breaks.
    };

    void streamNext(const Stream &stream, std::uint64_t token)
    {
        m_queue.after(stream.pause, [=, this] {
            const std::string whole = answerTo(stream.stage);
            const std::size_t at = token * tokenLength;
            const bool died = m_endpoints.at(stream.stage.endpoint).generation != stream.generation;
            StageChunk piece;
            piece.call = stream.stage.call;
            piece.echoed = stream.stage.call;
            piece.firstToken = token;
            if (died || token == stream.breakAt) {
                failStage(stream.host, stream.start, stream.stage, SendEvidence::Sent);
                piece.text = at < whole.size() ? whole.substr(at, tokenLength) : std::string();
                deliverLate(stream.host, stream.start, piece);
                return;
            }
            if (at >= whole.size()) {
                StageAnswered event;
                event.call = stream.stage.call;
                event.echoed = stream.stage.call;
                event.body = whole;
                event.notice = noticeOf(stream.stage.endpoint);
                toRequests(stream.host, stream.start, event);
                return;
            }
            piece.text = whole.substr(at, tokenLength);
            toRequests(stream.host, stream.start, piece);
            streamNext(stream, token + 1);
        });
    }

    /// The answer of a call that was given up on still arrives, on the call that
    /// is now current for the request, or long after.
    template <typename Event>
    void deliverLate(const std::string &name, Incarnation start, Event event)
    {
        if (!m_random.chance(m_faults.lateAnswer)) {
            return;
        }
        if (m_random.chance(0.5)) {
            event.call.attempt += 1;
        }
        m_queue.after(std::chrono::milliseconds(m_random.below(60)),
                      [=, this] { toRequests(name, start, event); });
    }

    EventQueue m_queue;
    Random m_random;
    Trace m_trace;
    FakePlatform m_platform;
    Checks m_checks;
    Cuts m_cuts;
    WorldFaults m_faults;
    std::size_t m_maxMeshPeers; ///< With every other seed, heartbeats go through relays.
    int m_dataCentres;
    std::int64_t m_coldTransitions = 0; ///< Endpoints that have turned cold so far.
    std::map<std::string, Host> m_hosts;
    std::map<std::string, FakeEndpoint> m_endpoints;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_WORLD_H
