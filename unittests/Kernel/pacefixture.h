//===- pacefixture.h - Daemons that share uneven engines --------*- C++ -*-===//

#ifndef HARELINK_UNITTESTS_KERNEL_PACEFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_PACEFIXTURE_H

#include "kernelfixture.h"

#include "harelink/Kernel/endpointpace.h"
#include "harelink/Kernel/reportedload.h"
#include "harelink/Kernel/routing.h"
#include "harelink/Support/random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace harelink::testing {

inline std::string engineName(std::size_t engine)
{
    return fmt::format("engine-{:05}", engine);
}

/// Returns a pool of model engines.
inline std::vector<Resource> engineConfiguration(std::size_t engines, int slots)
{
    std::vector<Resource> resources;
    PoolSpec pool{"engines", "carried", 1};
    pool.engine = ModelEngineSpec{1'000'000};
    resources.push_back(makeResource(pool));
    for (std::size_t i = 0; i < engines; ++i) {
        EndpointSpec endpoint;
        endpoint.name = engineName(i);
        endpoint.pool = "engines";
        endpoint.address = "127.0.0.1:1";
        endpoint.dataCentre = "dc1";
        endpoint.slots = slots;
        resources.push_back(makeResource(endpoint));
    }
    return resources;
}

/// What the daemons of a PaceFleet know of the pace of engines.
enum class PaceKnowledge {
    OneRate,     ///< The rate of the pool only.
    Learned,     ///< What EndpointPaces learns.
    Unexchanged, ///< What EndpointPaces learns from the samples of the same daemon only.
    True,        ///< The factors that the engines have at that time.
};

/// The parameters of a PaceFleet.
struct PaceFleetOptions
{
    std::size_t daemons = 66;
    std::size_t engines = 72;
    int slots = 24;
    double requestsPerSecond = 386;
    std::chrono::seconds length{30};
    /// Whether each prompt has a preferred engine, which has half of it cached. Else no engine has
    /// any part cached.
    bool hasPreferred = false;
    PaceKnowledge knowledge = PaceKnowledge::Learned;
    /// Whether first events carry the number of calls that the engine runs.
    bool reportsLoad = false;
    /// Returns by what factor a prefill takes longer at an engine that runs so many calls.
    std::function<double(std::size_t engine, int calls, Duration sinceStart)> factor;
    /// This daemon exchanges nothing with its peers after cutAt.
    std::size_t cutDaemon = static_cast<std::size_t>(-1);
    Duration cutAt{};
    /// The last daemon starts at this time.
    Duration lastStartsAt{};
};

/// One request as it went.
struct PacedRequest
{
    Duration sentAt{}; ///< Since the start.
    std::size_t daemon = 0;
    std::size_t engine = 0;
    double firstEventSeconds = 0;
};

/// The mean and the 90th percentile of the time to the first event, in seconds.
struct PaceTimes
{
    double mean = 0;
    double p90 = 0;
    std::size_t requests = 0;
};

/// Daemons that send requests to the same engines, on a virtual clock. An engine prefills one
/// prompt after the other, and runs a call for some seconds more. Daemons hear of the backlogs,
/// calls and samples of the others one exchange later: each 250 ms up to 16 daemons, else each
/// second, as through relays.
class PaceFleet
{
public:
    explicit PaceFleet(PaceFleetOptions options)
        : m_options(std::move(options))
        , m_engines(m_options.engines)
    {
        for (std::size_t i = 0; i < m_options.daemons; ++i) {
            m_daemons.emplace_back();
            Daemon &daemon = m_daemons.back();
            daemon.snapshot = buildSnapshot(engineConfiguration(m_options.engines, m_options.slots),
                                            1, "dc1", nullptr);
            daemon.policy = Registry<RoutingPolicy>::instance().make("prompt-home");
            for (std::size_t engine = 0; engine < m_options.engines; ++engine) {
                daemon.entries.push_back(daemon.pool().find(engineName(engine)));
            }
        }
    }

    void run()
    {
        const TimePoint end = m_start + m_options.length;
        TimePoint nextArrival = m_start;
        TimePoint nextExchange = m_start + exchangeInterval();
        while (nextArrival < end) {
            const TimePoint nextEvent = m_events.empty() ? TimePoint::max() : m_events.top().at;
            m_clock.advanceTo(std::min({nextArrival, nextExchange, nextEvent}));
            if (m_clock.now() == nextEvent) {
                const Event event = m_events.top();
                m_events.pop();
                handle(event);
            } else if (m_clock.now() == nextExchange) {
                exchange();
                nextExchange += exchangeInterval();
            } else {
                arrive();
                nextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                    -std::log(1 - m_random.unit()) / m_options.requestsPerSecond));
            }
        }
    }

    /// Returns the times of the requests that were sent in [\p from, \p to) since the start and
    /// satisfy \p isMeant.
    template <typename IsMeant>
    [[nodiscard]] PaceTimes times(Duration from, Duration to, const IsMeant &isMeant) const
    {
        std::vector<double> seconds;
        PaceTimes times;
        for (const PacedRequest &request : m_requests) {
            if (request.sentAt >= from && request.sentAt < to && isMeant(request)) {
                seconds.push_back(request.firstEventSeconds);
                times.mean += request.firstEventSeconds;
            }
        }
        times.requests = seconds.size();
        if (!seconds.empty()) {
            std::sort(seconds.begin(), seconds.end());
            times.mean /= static_cast<double>(seconds.size());
            times.p90 = seconds[seconds.size() * 9 / 10];
        }
        return times;
    }
    [[nodiscard]] PaceTimes times(Duration from, Duration to) const
    {
        return times(from, to, [](const PacedRequest &) { return true; });
    }
    [[nodiscard]] const EndpointLoad &load(std::size_t daemon, std::size_t engine) const
    {
        return *m_daemons[daemon].entries[engine]->load;
    }
    [[nodiscard]] const EndpointPaces &paces(std::size_t daemon) const
    {
        return m_daemons[daemon].paces;
    }
    /// Returns the endpoints that were found to be slow, and no longer, at \p daemon.
    [[nodiscard]] const std::vector<SlownessChange> &changes(std::size_t daemon) const
    {
        return m_daemons[daemon].changes;
    }

private:
    struct Daemon
    {
        [[nodiscard]] const PoolEntry &pool() const { return *snapshot->pool("engines"); }

        std::unique_ptr<const Snapshot> snapshot;
        std::unique_ptr<RoutingPolicy> policy;
        EndpointPaces paces;
        std::vector<const EndpointEntry *> entries;
        std::vector<EndpointPaceReport> increments; ///< Of the previous exchange.
        std::vector<std::int64_t> reportedTokens;
        std::vector<int> reportedCalls;
        std::vector<SlownessChange> changes;
    };
    struct Engine
    {
        TimePoint freeAt;
        int calls = 0;
    };
    struct Event
    {
        TimePoint at;
        bool isFirstEvent = false;
        std::size_t request = 0;
        std::int64_t tokens = 0;
        Duration expected{};
        std::size_t loadClass = 0;

        bool operator<(const Event &other) const { return at > other.at; }
    };

    static constexpr double tokensPerSecond = 50'000;
    static constexpr std::chrono::milliseconds overhead{25};
    static constexpr std::chrono::milliseconds callTime{2200};
    static constexpr std::size_t maxMeshDaemons = 16;
    static constexpr std::int64_t minTokens = 2000;
    static constexpr std::uint64_t tokenRange = 6500;

    [[nodiscard]] Duration exchangeInterval() const
    {
        return std::chrono::milliseconds(m_options.daemons > maxMeshDaemons ? 1000 : 250);
    }
    [[nodiscard]] Duration sinceStart() const { return m_clock.now() - m_start; }
    [[nodiscard]] bool learns() const
    {
        return m_options.knowledge == PaceKnowledge::Learned
               || m_options.knowledge == PaceKnowledge::Unexchanged;
    }
    [[nodiscard]] bool isConnected(std::size_t daemon) const
    {
        const bool hasStarted =
            daemon + 1 < m_options.daemons || sinceStart() >= m_options.lastStartsAt;
        return hasStarted && (daemon != m_options.cutDaemon || sinceStart() < m_options.cutAt);
    }

    static Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    void arrive()
    {
        std::size_t index = m_random.below(m_options.daemons);
        if (sinceStart() < m_options.lastStartsAt && index + 1 == m_options.daemons) {
            index = 0;
        }
        Daemon &daemon = m_daemons[index];
        const auto tokens = minTokens + static_cast<std::int64_t>(m_random.below(tokenRange));
        PromptInfo prompt;
        prompt.tokens = static_cast<std::uint64_t>(tokens);
        prompt.tokensPerSecond = tokensPerSecond;
        prompt.slack = std::chrono::seconds(1);
        const EndpointEntry *preferred =
            m_options.hasPreferred ? daemon.entries[m_random.below(m_options.engines)] : nullptr;
        prompt.cachedTokens = preferred != nullptr ? prompt.tokens / 2 : 0;
        RoutingQuery query{daemon.pool(), m_clock.now(), preferred};
        query.prompt = &prompt;
        const EndpointEntry *entry = daemon.policy->choose(query, m_policyRandom);
        if (entry == nullptr) {
            return;
        }
        const auto engineIndex =
            static_cast<std::size_t>(std::find(daemon.entries.begin(), daemon.entries.end(), entry)
                                     - daemon.entries.begin());
        send(index, engineIndex,
             static_cast<std::int64_t>(uncachedTokens(prompt, entry == preferred)));
    }

    void send(std::size_t daemonIndex, std::size_t engineIndex, std::int64_t tokens)
    {
        const EndpointEntry &entry = *m_daemons[daemonIndex].entries[engineIndex];
        Engine &engine = m_engines[engineIndex];
        const TimePoint now = m_clock.now();
        recordSend(entry, now);
        const std::int64_t ahead =
            entry.load->prefillBacklog.fetch_add(tokens) + entry.load->peerPrefillBacklog.load();
        ++engine.calls;
        const double factor = m_options.factor(engineIndex, engine.calls, sinceStart());
        engine.freeAt = std::max(engine.freeAt, now)
                        + fromSeconds(static_cast<double>(tokens) / tokensPerSecond * factor);
        const TimePoint firstEventAt = engine.freeAt + overhead;
        m_requests.push_back({sinceStart(), daemonIndex, engineIndex,
                              std::chrono::duration<double>(firstEventAt - now).count()});
        const double expected = static_cast<double>(tokens + std::max<std::int64_t>(0, ahead));
        m_events.push({firstEventAt, true, m_requests.size() - 1, tokens,
                       fromSeconds(expected / tokensPerSecond) + overhead,
                       currentLoadClass(entry, now)});
    }

    void handle(const Event &event)
    {
        const PacedRequest &request = m_requests[event.request];
        Daemon &daemon = m_daemons[request.daemon];
        EndpointLoad &load = *daemon.entries[request.engine]->load;
        if (!event.isFirstEvent) {
            load.inFlight.fetch_sub(1);
            --m_engines[request.engine].calls;
            return;
        }
        load.prefillBacklog.fetch_sub(event.tokens);
        m_events.push({event.at + callTime, false, event.request, 0, {}, 0});
        if (m_options.reportsLoad) {
            const auto running = static_cast<std::uint32_t>(m_engines[request.engine].calls);
            recordLoadReport(daemon.pool(), *daemon.entries[request.engine],
                             {running, 0, std::nullopt, std::nullopt}, event.at);
        }
        if (learns()) {
            using std::chrono::microseconds;
            daemon.paces.record(
                {engineName(request.engine), static_cast<std::uint32_t>(event.loadClass),
                 std::chrono::duration_cast<microseconds>(event.expected),
                 std::chrono::duration_cast<microseconds>(fromSeconds(request.firstEventSeconds))},
                *daemon.snapshot);
        }
    }

    /// Delivers what daemons reported at the previous exchange, and has them report anew.
    void exchange()
    {
        exchangeLoad();
        if (m_options.knowledge == PaceKnowledge::Learned) {
            exchangePaces();
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            Daemon &daemon = m_daemons[i];
            if (learns()) {
                for (SlownessChange &change : daemon.paces.apply(*daemon.snapshot, m_clock.now())) {
                    daemon.changes.push_back(std::move(change));
                }
            }
        }
        if (m_options.knowledge == PaceKnowledge::True) {
            writeTruePaces();
        }
    }

    void exchangeLoad()
    {
        std::vector<std::int64_t> tokens(m_options.engines, 0);
        std::vector<int> calls(m_options.engines, 0);
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            Daemon &daemon = m_daemons[i];
            for (std::size_t engine = 0; isConnected(i) && engine < daemon.reportedCalls.size();
                 ++engine) {
                tokens[engine] += daemon.reportedTokens[engine];
                calls[engine] += daemon.reportedCalls[engine];
            }
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            Daemon &daemon = m_daemons[i];
            const bool hadReported = !daemon.reportedCalls.empty();
            daemon.reportedTokens.resize(m_options.engines);
            daemon.reportedCalls.resize(m_options.engines);
            for (std::size_t engine = 0; engine < m_options.engines; ++engine) {
                EndpointLoad &load = *daemon.entries[engine]->load;
                const std::int64_t ownTokens = hadReported ? daemon.reportedTokens[engine] : 0;
                const int ownCalls = hadReported ? daemon.reportedCalls[engine] : 0;
                load.peerPrefillBacklog = isConnected(i) ? tokens[engine] - ownTokens : 0;
                load.peerCalls = isConnected(i) ? calls[engine] - ownCalls : 0;
                daemon.reportedTokens[engine] = load.prefillBacklog;
                daemon.reportedCalls[engine] = load.inFlight;
            }
        }
    }

    void exchangePaces()
    {
        PaceIncrements all;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            for (const EndpointPaceReport &report : m_daemons[i].increments) {
                if (isConnected(i)) {
                    all.add(report);
                }
            }
        }
        const std::vector<std::string> batch = all.batchAfter(m_lastPace);
        m_lastPace = batch.empty() ? std::string() : batch.back();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            Daemon &daemon = m_daemons[i];
            PaceIncrements own;
            for (const EndpointPaceReport &report : daemon.increments) {
                own.add(report);
            }
            std::vector<EndpointPaceReport> reports;
            if (isConnected(i)) {
                all.report(batch, own, reports);
            }
            daemon.paces.recordPeers(reports, *daemon.snapshot);
            daemon.increments = daemon.paces.drainIncrements();
        }
    }

    void writeTruePaces()
    {
        std::vector<std::array<double, loadClassCount>> paces(m_options.engines);
        double mean = 0;
        for (std::size_t engine = 0; engine < m_options.engines; ++engine) {
            for (std::size_t i = 0; i < loadClassCount; ++i) {
                // The number of calls in the middle of the load class.
                const int calls = m_options.slots * static_cast<int>(2 * i + 1)
                                  / static_cast<int>(2 * loadClassCount);
                paces[engine][i] = m_options.factor(engine, calls, sinceStart());
                mean += paces[engine][i];
            }
        }
        mean /= static_cast<double>(m_options.engines * loadClassCount);
        for (Daemon &daemon : m_daemons) {
            for (std::size_t engine = 0; engine < m_options.engines; ++engine) {
                EndpointLoad &load = *daemon.entries[engine]->load;
                for (std::size_t i = 0; i < loadClassCount; ++i) {
                    load.pacePercent[i] =
                        static_cast<int>(std::lround(paces[engine][i] / mean * 100));
                }
                load.knee = static_cast<int>(kneeOf(paces[engine]));
            }
        }
    }

    PaceFleetOptions m_options;
    ManualClock m_clock;
    Random m_random{1};       ///< Of the requests, which are the same whatever is known.
    Random m_policyRandom{2}; ///< Of the choices.
    TimePoint m_start = m_clock.now();
    std::vector<Daemon> m_daemons;
    std::vector<Engine> m_engines;
    std::priority_queue<Event> m_events;
    std::vector<PacedRequest> m_requests;
    std::string m_lastPace;
};

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_PACEFIXTURE_H
