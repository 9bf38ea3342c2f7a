//===- routingpolicies.cpp - Routing plug-ins -----------------------------===//
///
/// \file
/// "power-of-two" is the product's choice; "round-robin" and "least-in-flight"
/// are the baselines that it is measured against.
///
//===----------------------------------------------------------------------===//

#include "harelink/Kernel/registry.h"
#include "harelink/Kernel/routing.h"
#include "harelink/Support/hash.h"

#include <algorithm>

namespace harelink {
namespace {

/// Random draws before a pool is searched from end to end.
constexpr int mostDraws = 6;
/// Share of a call's time that a cached prefix is taken to save.
constexpr double prefixSaving = 0.3;

/// The time until a new call to \p entry would be answered, in microseconds.
double predictedMicros(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const int own = load.inFlight.load(std::memory_order_relaxed);
    const int active = std::max(own, load.reportedActive.load(std::memory_order_relaxed));
    const double latency =
        std::chrono::duration<double, std::micro>(expectedTime(entry, now)).count();
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
        if (&entry != query.avoid && isEligible(entry, query.now)) {
            return &entry;
        }
    }
    return nullptr;
}

/// The endpoint that \p query avoids, if it is all that is left.
const EndpointEntry *lastResort(const RoutingQuery &query)
{
    const bool usable = query.avoid != nullptr && isEligible(*query.avoid, query.now);
    return usable ? query.avoid : nullptr;
}

/// Takes the better of two random endpoints, those of the own data centre
/// first, and counts a cached prefix as time saved.
class PowerOfTwo final : public RoutingPolicy
{
public:
    const EndpointEntry *choose(const RoutingQuery &query, Random &random) override
    {
        const std::size_t local = query.pool.localCount;
        const std::size_t all = query.pool.endpoints.size();
        if (const EndpointEntry *entry = chooseWithin(query, 0, local, random)) {
            return entry;
        }
        if (const EndpointEntry *entry = chooseWithin(query, local, all, random)) {
            return entry;
        }
        return lastResort(query);
    }

private:
    static const EndpointEntry *chooseWithin(const RoutingQuery &query, std::size_t begin,
                                             std::size_t end, Random &random)
    {
        if (begin == end) {
            return nullptr;
        }
        const EndpointEntry *first = draw(query, begin, end, random);
        if (first == nullptr) {
            return nullptr;
        }
        const EndpointEntry *second = draw(query, begin, end, random);
        const EndpointEntry *home = homeOf(query, begin, end);
        const EndpointEntry *best = first;
        double bestTime = timeOf(*first, home, query.now);
        for (const EndpointEntry *entry : {second, home}) {
            if (entry != nullptr && timeOf(*entry, home, query.now) < bestTime) {
                best = entry;
                bestTime = timeOf(*entry, home, query.now);
            }
        }
        return best;
    }

    static const EndpointEntry *draw(const RoutingQuery &query, std::size_t begin, std::size_t end,
                                     Random &random)
    {
        for (int i = 0; i < mostDraws; ++i) {
            const EndpointEntry &entry = query.pool.endpoints[begin + random.below(end - begin)];
            if (&entry != query.avoid && isEligible(entry, query.now)) {
                return &entry;
            }
        }
        return firstEligible(query, begin, end, random);
    }

    /// The endpoint where a prompt's prefix is kept warm.
    static const EndpointEntry *homeOf(const RoutingQuery &query, std::size_t begin,
                                       std::size_t end)
    {
        if (query.prefix == 0) {
            return nullptr;
        }
        const EndpointEntry &entry = query.pool.endpoints[begin + query.prefix % (end - begin)];
        return &entry != query.avoid && isEligible(entry, query.now) ? &entry : nullptr;
    }

    static double timeOf(const EndpointEntry &entry, const EndpointEntry *home, TimePoint now)
    {
        const double time = predictedMicros(entry, now);
        return &entry == home ? time * (1 - prefixSaving) : time;
    }
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
            if (&entry != query.avoid && isEligible(entry, query.now)) {
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
            if (&entry == query.avoid || !isEligible(entry, query.now)) {
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
const Registration<RoutingPolicy, RoundRobin> roundRobin("round-robin");
const Registration<RoutingPolicy, LeastInFlight> leastInFlight("least-in-flight");

} // namespace
} // namespace harelink
