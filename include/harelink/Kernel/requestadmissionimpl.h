//===- harelink/Kernel/requestadmissionimpl.h - Predicted times -*- C++ -*-===//
///
/// \file
/// What time a request is predicted to need, and whether it can be in time.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTADMISSIONIMPL_H
#define HARELINK_KERNEL_REQUESTADMISSIONIMPL_H

#include "harelink/Kernel/requestmachinestate.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace harelink {

/// The time that the stages left need, without waiting.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::remainingTime(const Request &request)
{
    Duration total{};
    for (std::size_t i = request.stage; i < request.pipeline.stages.size(); ++i) {
        total += poolState(request.pipeline.stages[i].pool)
                     .latency.median(m_clock.now(), request.bytes());
    }
    return total;
}

/// The time that all stages of a new request need, with the queues before them.
/// While the request is at one stage, the queues of the later ones move on.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::timeWithWaits(const Request &request, const Snapshot &snapshot)
{
    Duration total{};
    for (const StageSpec &stage : request.pipeline.stages) {
        const Duration call = poolState(stage.pool).latency.median(m_clock.now(), request.bytes());
        total = std::max(total, queueWait(request, stage, snapshot)) + call;
    }
    return total;
}

/// Whether a request that still needs \p needed is predicted to be in time.
template <GuardPolicy G>
bool BasicRequestMachine<G>::fitsDeadline(const Request &request, Duration needed)
{
    return !G::admitsByPrediction || m_clock.now() + needed < request.deadline;
}

/// What goes before \p request at a stage's pool now, and how fast it is sent on from
/// this worker.
template <GuardPolicy G>
auto BasicRequestMachine<G>::queueForecast(const Request &request, const StageSpec &stage,
                                           const Snapshot &snapshot) -> QueueForecast
{
    const PoolEntry *pool = snapshot.pool(stage.pool);
    const PoolState &state = poolState(stage.pool);
    if (pool == nullptr || state.demand.size() == 0) {
        return {};
    }
    // At best this worker has the whole pool; how fast its queue moved says more.
    const int slots = std::max(1, pool->totalSlots);
    const Duration atBest =
        state.latency.median(m_clock.now(), request.bytes()) * m_limits.workers / slots;
    const Duration interval =
        std::max(atBest, state.pace.interval(m_clock.now(), state.queue.size() > 0));
    return {state.demand.requestsAhead(snapshot, request.account), interval};
}

/// The time until all that now goes before \p request has been sent to a stage's
/// pool, from this worker.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::queueWait(const Request &request, const StageSpec &stage,
                                           const Snapshot &snapshot)
{
    const QueueForecast forecast = queueForecast(request, stage, snapshot);
    return requestmachine::fromSeconds(forecast.ahead * requestmachine::seconds(forecast.interval));
}

/// Why a new request is predicted to be late: the queue that it would wait longest in.
template <GuardPolicy G>
std::string BasicRequestMachine<G>::describeLateness(const Request &request, Duration needed,
                                                     const Snapshot &snapshot)
{
    const std::vector<StageSpec> &stages = request.pipeline.stages;
    const auto slowest =
        std::max_element(stages.begin(), stages.end(), [&](const StageSpec &a, const StageSpec &b) {
            return queueWait(request, a, snapshot) < queueWait(request, b, snapshot);
        });
    const QueueForecast forecast = queueForecast(request, *slowest, snapshot);
    const std::optional<Duration> unreachable =
        poolState(slowest->pool).pace.unreachableFor(m_clock.now());
    const std::string state =
        unreachable ? fmt::format(", unreachable for {:.0f} ms", toMilliseconds(*unreachable))
                    : std::string();
    return fmt::format("predicted to take {:.0f} ms of {:.0f} ms: {:.1f} ahead at pool {}, sent "
                       "every {:.1f} ms{}",
                       toMilliseconds(needed), toMilliseconds(request.deadline - m_clock.now()),
                       forecast.ahead, slowest->pool, toMilliseconds(forecast.interval), state);
}

/// Counts a request in the demand of its stages' pools from stage \p from on, and
/// no more in that of the stages before.
template <GuardPolicy G>
void BasicRequestMachine<G>::countDemand(Request &request, std::uint32_t from)
{
    const auto demand = [&](std::uint32_t stage) -> PoolDemand & {
        return poolState(request.pipeline.stages[stage].pool).demand;
    };
    while (request.demandFrom > from) {
        demand(--request.demandFrom).add(request.account);
    }
    while (request.demandFrom < from) {
        demand(request.demandFrom++).remove(request.account);
    }
}

template <GuardPolicy G>
Duration BasicRequestMachine<G>::retryAfter(const Request &request, const Snapshot &snapshot)
{
    Duration wait = requestmachine::minRetryAfter;
    for (const StageSpec &stage : request.pipeline.stages) {
        wait = std::max(wait, queueWait(request, stage, snapshot));
        const PoolEntry *pool = snapshot.pool(stage.pool);
        if (pool == nullptr) {
            continue;
        }
        if (const auto opens =
                unavailableUntil(*pool, regionsOf(request, snapshot), m_clock.now())) {
            wait = std::max(wait, std::min<Duration>(*opens - m_clock.now(),
                                                     requestmachine::maxRateLimitedRetryAfter));
        }
    }
    if (request.proxied && request.predicted > Duration::zero()) {
        // By then its pools will have worked off what makes it late now.
        const Duration late = forecast(request, snapshot) - request.pipeline.route->objective;
        wait = std::max(wait, std::min<Duration>(late, requestmachine::maxRetryAfter));
    }
    return wait;
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTADMISSIONIMPL_H
