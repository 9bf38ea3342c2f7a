//===- routingpolicies.cpp - Routing plug-ins -----------------------------===//
///
/// \file
/// "power-of-two" is the product's choice; "round-robin" and "least-in-flight"
/// are the baselines that it is measured against.
///
//===----------------------------------------------------------------------===//

#include "harelink/Kernel/registry.h"
#include "harelink/Kernel/routing.h"

#include <algorithm>

namespace harelink {
namespace {

/// Random draws from the own data centre, and as many from all.
constexpr int drawsEach = 2;
/// Share of a call's time that a cached prefix is taken to save.
constexpr double prefixSaving = 0.5;
/// What a call to another data centre costs, as time.
constexpr double crossingMicros = 1000;

/// The time until a new call to \p entry would be answered, in microseconds.
double predictedMicros(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const int own = load.inFlight.load(std::memory_order_relaxed);
    const int active = std::max(own, load.reportedActive.load(std::memory_order_relaxed));
    const double latency =
        std::chrono::duration<double, std::micro>(expectedLatency(entry, now)).count();
    const double queueing = static_cast<double>(active) / entry.spec.slots;
    return (latency + 1) * (1 + queueing);
}

/// The first eligible endpoint in [begin, end), searching from a random place.
const EndpointEntry *firstEligible(const RoutingQuery &query, std::size_t begin, std::size_t end,
                                   Random &random)
{
    const std::size_t count = end - begin;
    if (count == 0) {
        return nullptr;
    }
    const std::size_t start = random.below(count);
    for (std::size_t i = 0; i < count; ++i) {
        const EndpointEntry &entry = query.pool.endpoints[begin + (start + i) % count];
        if (&entry != query.avoid && isEligible(entry, query)) {
            return &entry;
        }
    }
    return nullptr;
}

/// The endpoint that \p query avoids, if it is all that is left.
const EndpointEntry *lastResort(const RoutingQuery &query)
{
    const bool usable = query.avoid != nullptr && isEligible(*query.avoid, query);
    return usable ? query.avoid : nullptr;
}

/// Takes the best of a few random endpoints, some of them from the own data centre,
/// and of the one where the prompt's prefix is kept. A crossing between data centres
/// and a kept prefix count as time.
class PowerOfTwo final : public RoutingPolicy
{
public:
    const EndpointEntry *choose(const RoutingQuery &query, Random &random) override
    {
        const std::size_t local = query.pool.localCount;
        const std::size_t all = query.pool.endpoints.size();
        Best best(query);
        if (query.preferred != nullptr && query.preferred != query.avoid
            && isEligible(*query.preferred, query)) {
            best.consider(query.preferred);
        }
        for (int i = 0; i < drawsEach; ++i) {
            best.consider(draw(query, local, random));
            best.consider(draw(query, all, random));
        }
        if (best.entry() == nullptr) {
            best.consider(firstEligible(query, 0, local, random));
            best.consider(firstEligible(query, local, all, random));
        }
        return best.entry() != nullptr ? best.entry() : lastResort(query);
    }

private:
    /// The best of the endpoints that were considered.
    class Best
    {
    public:
        explicit Best(const RoutingQuery &query)
            : m_query(query)
        {
        }
        void consider(const EndpointEntry *entry)
        {
            if (entry == nullptr) {
                return;
            }
            const double time = timeOf(*entry);
            if (m_entry == nullptr || time < m_time) {
                m_entry = entry;
                m_time = time;
            }
        }
        [[nodiscard]] const EndpointEntry *entry() const { return m_entry; }

    private:
        [[nodiscard]] double timeOf(const EndpointEntry &entry) const
        {
            const double time = predictedMicros(entry, m_query.now);
            const auto index = static_cast<std::size_t>(&entry - m_query.pool.endpoints.data());
            const double crossing = index < m_query.pool.localCount ? 0 : crossingMicros;
            return crossing + (&entry == m_query.preferred ? time * (1 - prefixSaving) : time);
        }

        const RoutingQuery &m_query;
        const EndpointEntry *m_entry = nullptr;
        double m_time = 0;
    };

    /// A random one of the first \p count endpoints, if it is eligible.
    static const EndpointEntry *draw(const RoutingQuery &query, std::size_t count, Random &random)
    {
        if (count == 0) {
            return nullptr;
        }
        const EndpointEntry &entry = query.pool.endpoints[random.below(count)];
        return &entry != query.avoid && isEligible(entry, query) ? &entry : nullptr;
    }
};

/// Sends a prompt to the one engine that has likely read its shared parts before, unless
/// that would miss its objective and another would not. Whatever is no prompt goes by
/// PowerOfTwo.
///
/// One home for all data centres: three homes, one in each, would read each shared part
/// three times, which users pay for, and spread too few prompts over too many caches.
class PromptHome final : public RoutingPolicy
{
public:
    const EndpointEntry *choose(const RoutingQuery &query, Random &random) override
    {
        if (query.prompt == nullptr) {
            return m_others.choose(query, random);
        }
        const PromptInfo &prompt = *query.prompt;
        const bool homeCan = query.preferred != nullptr && query.preferred != query.avoid
                             && isEligible(*query.preferred, query);
        if (homeCan && prefillTime(*query.preferred, prompt, true) < prompt.slack * homePatience) {
            return query.preferred;
        }
        const EndpointEntry *best = homeCan ? query.preferred : nullptr;
        Duration bestTime = homeCan ? prefillTime(*query.preferred, prompt, true) : Duration::max();
        for (const EndpointEntry &entry : query.pool.endpoints) {
            if (&entry == query.preferred || &entry == query.avoid || !isEligible(entry, query)) {
                continue;
            }
            const bool crosses =
                !prompt.dataCentre.empty() && prompt.dataCentre != entry.spec.dataCentre;
            const double megabytes = static_cast<double>(prompt.inputBytes) / bytesPerMegabyte;
            const Duration time = prefillTime(entry, prompt, false)
                                  + std::chrono::duration_cast<Duration>(spread * random.unit())
                                  + std::chrono::duration_cast<Duration>(
                                      crossingPerMegabyte * (crosses ? megabytes : 0));
            if (time < bestTime) {
                best = &entry;
                bestTime = time;
            }
        }
        return best != nullptr ? best : lastResort(query);
    }

private:
    /// The part of the time until the objective that waiting at the home may take.
    static constexpr double homePatience = 0.7;
    /// Daemons with the same view must not all choose the same engine.
    static constexpr std::chrono::milliseconds spread{20};
    /// What a megabyte of inputs from another data centre counts as, in time; as where
    /// their pieces are placed.
    static constexpr std::chrono::microseconds crossingPerMegabyte{33'000};
    static constexpr double bytesPerMegabyte = 1e6;

    PowerOfTwo m_others;
};

/// Baseline: each endpoint in turn.
class RoundRobin final : public RoutingPolicy
{
public:
    const EndpointEntry *choose(const RoutingQuery &query, Random &) override
    {
        const std::size_t count = query.pool.endpoints.size();
        for (std::size_t i = 0; i < count; ++i) {
            const EndpointEntry &entry = query.pool.endpoints[m_next++ % count];
            if (&entry != query.avoid && isEligible(entry, query)) {
                return &entry;
            }
        }
        return lastResort(query);
    }

private:
    std::size_t m_next = 0;
};

/// Baseline: the endpoint with the fewest own calls in progress.
class LeastInFlight final : public RoutingPolicy
{
public:
    const EndpointEntry *choose(const RoutingQuery &query, Random &random) override
    {
        const std::size_t count = query.pool.endpoints.size();
        const EndpointEntry *best = nullptr;
        const std::size_t start = count == 0 ? 0 : random.below(count);
        for (std::size_t i = 0; i < count; ++i) {
            const EndpointEntry &entry = query.pool.endpoints[(start + i) % count];
            if (&entry == query.avoid || !isEligible(entry, query)) {
                continue;
            }
            if (best == nullptr || entry.load->inFlight < best->load->inFlight) {
                best = &entry;
            }
        }
        return best != nullptr ? best : lastResort(query);
    }
};

const Registration<RoutingPolicy, PowerOfTwo> powerOfTwo("power-of-two");
const Registration<RoutingPolicy, PromptHome> promptHome("prompt-home");
const Registration<RoutingPolicy, RoundRobin> roundRobin("round-robin");
const Registration<RoutingPolicy, LeastInFlight> leastInFlight("least-in-flight");

} // namespace
} // namespace harelink
