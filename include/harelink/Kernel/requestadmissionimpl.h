//===- harelink/Kernel/requestadmissionimpl.h - Admission -------*- C++ -*-===//
///
/// \file
/// Predicts the duration of a request and whether it can meet its deadline.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTADMISSIONIMPL_H
#define HARELINK_KERNEL_REQUESTADMISSIONIMPL_H

#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace harelink {

/// Returns the predicted time of the remaining stages without queueing.
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

/// Returns the predicted time of all stages of a new request including queueing. The queues of
/// later stages advance while the request is at an earlier one.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::timeWithQueueing(const Request &request, const Snapshot &snapshot)
{
    Duration total{};
    for (const StageSpec &stage : request.pipeline.stages) {
        const Duration call = poolState(stage.pool).latency.median(m_clock.now(), request.bytes());
        total = std::max(total, queueWait(request, stage, snapshot)) + call;
    }
    return total;
}

/// Returns whether a request that still needs \p needed is predicted to meet its deadline.
template <GuardPolicy G>
bool BasicRequestMachine<G>::fitsDeadline(const Request &request, Duration needed)
{
    return !G::admitsByPrediction || m_clock.now() + needed < request.deadline;
}

/// Returns the number of requests that precede \p request at a stage's pool, and the interval
/// at which this worker dispatches them.
template <GuardPolicy G>
auto BasicRequestMachine<G>::queueForecast(const Request &request, const StageSpec &stage,
                                           const Snapshot &snapshot) -> QueueForecast
{
    const PoolEntry *pool = snapshot.pool(stage.pool);
    const PoolState &state = poolState(stage.pool);
    if (pool == nullptr || state.demand.size() == 0) {
        return {};
    }
    // The lower bound assumes that this daemon has the pool to itself; the measured pace of the
    // queue is more accurate.
    const int slots = std::max(1, pool->totalSlots);
    const Duration atBest =
        state.latency.median(m_clock.now(), request.bytes()) * m_limits.workers / slots;
    const Duration interval =
        std::max(atBest, state.pace.interval(m_clock.now(), state.queue.size() > 0));
    return {state.demand.requestsAhead(snapshot, request.account), interval};
}

/// Returns the time until this worker has dispatched all requests that precede \p request at a
/// stage's pool.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::queueWait(const Request &request, const StageSpec &stage,
                                           const Snapshot &snapshot)
{
    const QueueForecast forecast = queueForecast(request, stage, snapshot);
    return requestmachine::fromSeconds(forecast.ahead * requestmachine::seconds(forecast.interval));
}

/// Describes why a new request is predicted to miss its deadline, by its longest queue.
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

/// Counts a request in the demand of the pools of stage \p from and later ones, and removes it
/// from the demand of earlier stages.
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

/// Refuses a request that is predicted to miss its objective.
template <GuardPolicy G>
void BasicRequestMachine<G>::refuseLate(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const Forecast &predicted = request.forecast;
    AnswerCaller action;
    action.outcome = outcomeOfFailure(request);
    action.reason = Reason::CannotFinish;
    action.error = makeError(absl::StatusCode::kDeadlineExceeded, "admission", "",
                             fmt::format("predicted to take {:.0f} ms, wanted in {:.0f} ms; pieces "
                                         "{:.0f} ms, first event {:.0f} ms, bias {:.2f}",
                                         toMilliseconds(predicted.total()),
                                         toMilliseconds(request.objectiveAt - now),
                                         toMilliseconds(predicted.pieces),
                                         toMilliseconds(predicted.firstEvent), predicted.bias));
    action.retryAfter = retryAfter(request, snapshot);
    if (!request.pipeline.route->pieceStages.empty()) {
        const Duration latest =
            std::min<Duration>((request.callerDeadline - now) / requestmachine::latestReturnDivisor,
                               requestmachine::maxRetryAfter);
        action.retryAfter =
            m_returnSlots[request.pipeline.name].assign(action.retryAfter, latest, now);
    }
    answer(request, std::move(action));
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
                unavailableUntil(*pool, filterOf(request, snapshot), m_clock.now())) {
            wait = std::max(wait, std::min<Duration>(*opens - m_clock.now(),
                                                     requestmachine::maxRateLimitedRetryAfter));
        }
    }
    if (request.proxied && request.forecast.total() > Duration::zero()) {
        // By then its pools will have processed the backlog that makes it late now.
        const Duration late =
            forecast(request, snapshot).total() - request.pipeline.route->objective;
        wait = std::max(wait, std::min<Duration>(late, requestmachine::maxRetryAfter));
    }
    return wait;
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTADMISSIONIMPL_H
