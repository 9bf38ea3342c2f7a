//===- routingpolicies.cpp - Routing policies -----------------------------===//
///
/// \file
/// "power-of-two" is the policy for production; "round-robin" and
/// "least-in-flight" are baselines for measurements. "prompt-home" prefers the
/// engine that has the prefix of a prompt cached.
///
//===----------------------------------------------------------------------===//

#include "harelink/Kernel/endpointpace.h"
#include "harelink/Kernel/registry.h"
#include "harelink/Kernel/routing.h"

#include <algorithm>

namespace harelink {
namespace {

/// Random samples from the own data centre, and the same number from all.
constexpr int samplesEach = 2;
/// Fraction of a call's latency that a cached prefix is assumed to save.
constexpr double cachedPrefixSaving = 0.5;
/// Latency penalty of a call to another data centre.
constexpr double crossDataCentreMicros = 1000;

/// Returns the predicted latency of a new call to \p entry in microseconds.
double predictedMicros(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const double own = load.inFlight.load(std::memory_order_relaxed);
    const double active = std::max(own, reportedActive(entry, now).value_or(0));
    const double latency =
        std::chrono::duration<double, std::micro>(expectedLatency(entry, now)).count();
    const double queueing = active / usableSlots(entry, now);
    return (latency + 1) * (1 + queueing);
}

/// Returns the first eligible endpoint in [begin, end), searching from a random start, or null.
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

/// Returns the endpoint that \p query avoids if it is eligible, else null.
const EndpointEntry *lastResort(const RoutingQuery &query)
{
    const bool usable = query.avoid != nullptr && isEligible(*query.avoid, query);
    return usable ? query.avoid : nullptr;
}

/// Selects the best of a few random endpoints, some of them from the own data centre, and of the
/// preferred endpoint of the prompt. The predicted latency includes a penalty for another data
/// centre and the saving by a cached prefix.
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
        for (int i = 0; i < samplesEach; ++i) {
            best.consider(sample(query, local, random));
            best.consider(sample(query, all, random));
        }
        if (best.entry() == nullptr) {
            best.consider(firstEligible(query, 0, local, random));
            best.consider(firstEligible(query, local, all, random));
        }
        return best.entry() != nullptr ? best.entry() : lastResort(query);
    }

private:
    /// Tracks the best of the considered endpoints.
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
            const double transferPenalty =
                index < m_query.pool.localCount ? 0 : crossDataCentreMicros;
            return transferPenalty
                   + (&entry == m_query.preferred ? time * (1 - cachedPrefixSaving) : time);
        }

        const RoutingQuery &m_query;
        const EndpointEntry *m_entry = nullptr;
        double m_time = 0;
    };

    /// Returns a random one of the first \p count endpoints if it is eligible, else null.
    static const EndpointEntry *sample(const RoutingQuery &query, std::size_t count, Random &random)
    {
        if (count == 0) {
            return nullptr;
        }
        const EndpointEntry &entry = query.pool.endpoints[random.below(count)];
        return &entry != query.avoid && isEligible(entry, query) ? &entry : nullptr;
    }
};

/// Sends a prompt to the engine that likely has its prefix cached, unless that engine would miss
/// the objective and another one would not. Uses PowerOfTwo for requests without a prompt.
///
/// A prompt has one preferred engine in all data centres. One in each of three data centres would
/// prefill each shared prefix three times, at the users' cost, and spread too few prompts over
/// too many caches.
class CacheAffinity final : public RoutingPolicy
{
public:
    const EndpointEntry *choose(const RoutingQuery &query, Random &random) override
    {
        if (query.prompt == nullptr) {
            return m_fallback.choose(query, random);
        }
        if (const EndpointEntry *slow = slowEndpoint(query, random)) {
            return slow;
        }
        const TimePoint now = query.now;
        const EndpointEntry *best = bestOf(
            query, random, [now](const EndpointEntry &entry) { return !isAtKnee(entry, now); });
        best = best != nullptr ? best : bestOf(query, random, isAny);
        return best != nullptr ? best : lastResort(query);
    }

private:
    static bool isAny(const EndpointEntry &) { return true; }

    /// Returns a slow endpoint if this request shall correct the estimate of its pace, else null.
    /// Such a request must still meet its objective by that estimate.
    static const EndpointEntry *slowEndpoint(const RoutingQuery &query, Random &random)
    {
        const std::vector<EndpointEntry> &endpoints = query.pool.endpoints;
        if (!query.pool.spec.engine || endpoints.empty() || !random.chance(slowRequestShare)) {
            return nullptr;
        }
        const EndpointEntry &entry = endpoints[random.below(endpoints.size())];
        const bool isSlow = entry.load->isSlow.load(std::memory_order_relaxed);
        const bool mayChoose = isSlow && &entry != query.avoid && isEligible(entry, query);
        return mayChoose
                       && prefillTime(entry, *query.prompt, &entry == query.preferred, query.now)
                              < query.prompt->slack
                   ? &entry
                   : nullptr;
    }

    /// Returns the best eligible endpoint that satisfies \p isCandidate, or null.
    template <typename IsCandidate>
    static const EndpointEntry *bestOf(const RoutingQuery &query, Random &random,
                                       const IsCandidate &isCandidate)
    {
        const PromptInfo &prompt = *query.prompt;
        const bool isPreferredEligible =
            query.preferred != nullptr && query.preferred != query.avoid
            && isCandidate(*query.preferred) && isEligible(*query.preferred, query);
        if (isPreferredEligible
            && prefillTime(*query.preferred, prompt, true, query.now)
                   < prompt.slack * preferredSlackFraction) {
            return query.preferred;
        }
        const EndpointEntry *best = isPreferredEligible ? query.preferred : nullptr;
        Duration bestTime = isPreferredEligible
                                ? prefillTime(*query.preferred, prompt, true, query.now)
                                : Duration::max();
        const auto consider = [&](const EndpointEntry &entry) {
            const bool isRemote =
                !prompt.dataCentre.empty() && prompt.dataCentre != entry.spec->dataCentre;
            const double megabytes = static_cast<double>(prompt.inputBytes) / bytesPerMegabyte;
            const Duration time = prefillTime(entry, prompt, false, query.now)
                                  + std::chrono::duration_cast<Duration>(jitter * random.unit())
                                  + std::chrono::duration_cast<Duration>(
                                      transferTimePerMegabyte * (isRemote ? megabytes : 0));
            if (time < bestTime) {
                best = &entry;
                bestTime = time;
            }
        };
        const auto isOther = [&](const EndpointEntry &entry) {
            return &entry != query.preferred && &entry != query.avoid && isCandidate(entry)
                   && isEligible(entry, query);
        };
        if (query.pool.spec.engine && query.pool.endpoints.size() > maxComparedEngines) {
            considerSome(query.pool, prompt, random, isOther, consider);
            return best;
        }
        for (const EndpointEntry &entry : query.pool.endpoints) {
            if (isOther(entry)) {
                consider(entry);
            }
        }
        return best;
    }

    /// Calls \p consider with a few random endpoints that satisfy \p isOther, and with as many of
    /// the data centre of the prompt's inputs.
    template <typename IsOther, typename Consider>
    static void considerSome(const PoolEntry &pool, const PromptInfo &prompt, Random &random,
                             const IsOther &isOther, const Consider &consider)
    {
        const auto isNear = [&](const EndpointEntry &entry) {
            return entry.spec->dataCentre == prompt.dataCentre && isOther(entry);
        };
        for (int i = 0; i < samplesEach; ++i) {
            if (const EndpointEntry *entry = firstOf(pool, random, isOther)) {
                consider(*entry);
            }
            const EndpointEntry *near =
                prompt.dataCentre.empty() ? nullptr : firstOf(pool, random, isNear);
            if (near != nullptr) {
                consider(*near);
            }
        }
    }

    /// Returns the first endpoint from a random start on that satisfies \p isMeant, or null.
    template <typename IsMeant>
    static const EndpointEntry *firstOf(const PoolEntry &pool, Random &random,
                                        const IsMeant &isMeant)
    {
        const std::size_t count = pool.endpoints.size();
        const std::size_t start = random.below(count);
        for (std::size_t i = 0; i < count; ++i) {
            const EndpointEntry &entry = pool.endpoints[(start + i) % count];
            if (isMeant(entry)) {
                return &entry;
            }
        }
        return nullptr;
    }

    /// In a larger pool of engines, a request compares a few random ones. What daemons know of each
    /// other's requests is up to 2 s old: if all take the best of 72 engines, they take the same
    /// one. Simulated with 66 daemons and learned paces, first events then took 5 to 8 times as
    /// long as with one rate (docs/design/endpoint-pace.md).
    static constexpr std::size_t maxComparedEngines = 8;
    /// An endpoint that is considered slow gets about this share of the requests that it would get
    /// if all endpoints got equally many, so that its pace is measured again before the estimate
    /// has decayed.
    static constexpr double slowRequestShare = 1.0 / 50;
    /// Fraction of the time until the objective that prefill at the preferred engine may take.
    static constexpr double preferredSlackFraction = 0.7;
    /// Range of the random addition to predicted times, so that daemons with the same state do not
    /// all select the same engine.
    static constexpr std::chrono::milliseconds jitter{20};
    /// Time penalty per megabyte of inputs from another data centre; the same as for the
    /// placement of their pieces.
    static constexpr std::chrono::microseconds transferTimePerMegabyte{33'000};
    static constexpr double bytesPerMegabyte = 1e6;

    PowerOfTwo m_fallback;
};

/// Baseline: the endpoints in order.
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

/// Baseline: the endpoint with the fewest calls of this daemon in flight.
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
const Registration<RoutingPolicy, CacheAffinity> cacheAffinity("prompt-home");
const Registration<RoutingPolicy, RoundRobin> roundRobin("round-robin");
const Registration<RoutingPolicy, LeastInFlight> leastInFlight("least-in-flight");

} // namespace
} // namespace harelink
