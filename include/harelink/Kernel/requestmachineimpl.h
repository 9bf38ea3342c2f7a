//===- harelink/Kernel/requestmachineimpl.h - Definitions -------*- C++ -*-===//
///
/// \file
/// Member definitions of BasicRequestMachine, together with the files included here.
/// Included only where the template is instantiated: once in production code, and in tests
/// that disable a guard.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTMACHINEIMPL_H
#define HARELINK_KERNEL_REQUESTMACHINEIMPL_H

#include "harelink/Kernel/requestadmissionimpl.h"
#include "harelink/Kernel/requestanswersimpl.h"
#include "harelink/Kernel/requestclaimsimpl.h"
#include "harelink/Kernel/requestdispatchimpl.h"
#include "harelink/Kernel/requestmachinestate.h"
#include "harelink/Kernel/requestproxiedimpl.h"
#include "harelink/Kernel/requeststreamsimpl.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace harelink {

template <GuardPolicy G>
BasicRequestMachine<G>::BasicRequestMachine(const Clock &clock,
                                            std::unique_ptr<RoutingPolicy> policy,
                                            std::uint64_t seed, RequestLimits limits)
    : m_clock(clock)
    , m_policy(std::move(policy))
    , m_random(seed)
    , m_limits(limits)
    , m_lastEventAt(clock.now())
    , m_resumedAt(clock.now())
    , m_retryTokens(requestmachine::maxRetryTokens)
{
    assert(m_policy != nullptr && "a machine needs a routing policy");
}

template <GuardPolicy G>
BasicRequestMachine<G>::~BasicRequestMachine() = default;

template <GuardPolicy G>
std::vector<RequestAction> BasicRequestMachine<G>::drainActions()
{
    return std::exchange(m_actions, {});
}

template <GuardPolicy G>
std::size_t BasicRequestMachine<G>::queued() const
{
    std::size_t count = 0;
    for (const auto &[name, pool] : m_pools) {
        count += pool->queue.size();
    }
    return count;
}

template <GuardPolicy G>
std::array<std::size_t, priorityClassCount> BasicRequestMachine<G>::queuedByClass() const
{
    std::array<std::size_t, priorityClassCount> counts{};
    for (const auto &[name, pool] : m_pools) {
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            counts[i] += pool->queue.sizeByClass()[i];
        }
    }
    return counts;
}

template <GuardPolicy G>
std::optional<TimePoint> BasicRequestMachine<G>::nextTick() const
{
    if (m_requests.empty()) {
        return std::nullopt;
    }
    TimePoint next = m_timers.empty() ? TimePoint::max() : m_timers.top().first;
    if (queued() > 0) {
        next = std::min(next, m_clock.now() + requestmachine::queuePollInterval);
    }
    return next;
}

template <GuardPolicy G>
auto BasicRequestMachine<G>::find(const RequestId &id) -> Request *
{
    const auto found = m_requests.find(id.sequence);
    if (found == m_requests.end() || found->second->id != id) {
        return nullptr;
    }
    return found->second.get();
}

template <GuardPolicy G>
auto BasicRequestMachine<G>::poolState(const std::string &pool) -> PoolState &
{
    std::unique_ptr<PoolState> &state = m_pools[pool];
    if (state == nullptr) {
        state = std::make_unique<PoolState>();
    }
    return *state;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::schedule(const Request &request, TimePoint at)
{
    m_timers.emplace(at, request.id.sequence);
}

// Arrival ---------------------------------------------------------------------

template <GuardPolicy G>
std::optional<AnswerCaller> BasicRequestMachine<G>::rejectOnArrival(const RequestArrived &event,
                                                                    const Hash128 &digest,
                                                                    const Snapshot &snapshot) const
{
    const auto refusal = [&](Reason reason, absl::StatusCode code, std::string_view step,
                             const std::string &peer, std::string_view message) {
        AnswerCaller answer;
        answer.id = event.id;
        answer.digest = digest;
        answer.outcome = Outcome::NotRun;
        answer.retryAfter = requestmachine::minRetryAfter;
        answer.reason = reason;
        answer.error = makeError(code, step, peer, message);
        return answer;
    };
    if (m_draining) {
        return refusal(Reason::Draining, absl::StatusCode::kUnavailable, "admission", "",
                       "this daemon is stopping");
    }
    if (!snapshot.ready) {
        return refusal(Reason::NotReady, absl::StatusCode::kUnavailable, "admission", "",
                       "no configuration has been seen yet");
    }
    const PipelineSpec *pipeline = snapshot.pipeline(event.pipeline);
    if (pipeline == nullptr) {
        return refusal(Reason::UnknownPipeline, absl::StatusCode::kNotFound, "admission", "",
                       "there is no such pipeline");
    }
    const bool isPublic = pipeline->route && pipeline->route->isPublic;
    if (!isPublic && snapshot.account(event.account) == nullptr) {
        return refusal(Reason::UnknownAccount, absl::StatusCode::kPermissionDenied, "admission", "",
                       "there is no such client account");
    }
    const std::size_t bytes = event.proxied ? event.proxied->body.size() : event.body.size();
    if (bytes > pipeline->maxBodyBytes) {
        return refusal(Reason::BodyTooLarge, absl::StatusCode::kInvalidArgument, "admission", "",
                       fmt::format("the body is larger than {} bytes", pipeline->maxBodyBytes));
    }
    if (!event.proxied && !pipeline->repeatable && event.idempotencyKey.empty()) {
        return refusal(Reason::KeyMissing, absl::StatusCode::kInvalidArgument, "admission", "",
                       "this pipeline may not be repeated and needs an idempotency key");
    }
    // Checked before any work is spent on the request. Copies that are already in progress are
    // refused before their next send; see rejectQuarantined().
    const Duration left = quarantineLeft(digest, event.proxied.get(), snapshot);
    if (left > Duration::zero()) {
        AnswerCaller answer = refusal(Reason::Quarantined, absl::StatusCode::kFailedPrecondition,
                                      "admission", "", requestmachine::quarantineMessage);
        answer.retryAfter = left;
        return answer;
    }
    if (m_requests.size() >= m_limits.maxRequests) {
        return refusal(Reason::TooManyRequests, absl::StatusCode::kResourceExhausted, "admission",
                       "", "as many requests as allowed are in progress");
    }
    return std::nullopt;
}

/// Returns the remaining quarantine of requests with \p digest, or with a part of the prompt of
/// \p proxied, which may be null; zero if none.
template <GuardPolicy G>
Duration BasicRequestMachine<G>::quarantineLeft(const Hash128 &digest,
                                                const ProxiedRequest *proxied,
                                                const Snapshot &snapshot) const
{
    if (!G::quarantinesCrashing || snapshot.quarantinedUntil.empty()) {
        return Duration::zero();
    }
    const WallTime now = m_clock.wallNow();
    Duration left = snapshot.quarantineLeft(digest, now);
    if (G::quarantinesPromptParts && proxied != nullptr) {
        for (const Hash128 &part : promptPartDigests(*proxied)) {
            left = std::max<Duration>(left, snapshot.quarantineLeft(part, now));
        }
    }
    return left;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(RequestArrived event, const Snapshot &snapshot)
{
    resolveRoute(event, snapshot);
    const Hash128 digest = digestOf(event, event.account);
    if (std::optional<AnswerCaller> refusal = rejectOnArrival(event, digest, snapshot)) {
        refusal->account = event.account;
        refusal->pipeline = event.pipeline;
        refusal->callerId = event.proxied ? event.proxied->callerId : std::string();
        ++m_counters.reasons[static_cast<std::size_t>(refusal->reason)];
        m_actions.emplace_back(*std::move(refusal));
        return;
    }
    const TimePoint now = m_clock.now();
    auto owned = std::make_unique<Request>();
    Request &request = *owned;
    request.id = event.id;
    request.digest = digest;
    request.pipeline = *snapshot.pipeline(event.pipeline);
    request.account = std::move(event.account);
    request.body = std::move(event.body);
    request.idempotencyKey = std::move(event.idempotencyKey);
    request.traceparent = std::move(event.traceparent);
    request.streams = event.streams;
    request.arrivedAt = now;
    request.deadline = now + event.timeAllowed.value_or(request.pipeline.deadline);
    request.callerDeadline = request.deadline;
    request.proxied = std::move(event.proxied);
    if (request.proxied) {
        applyRoute(request, snapshot);
    }
    const bool added = m_requests.emplace(event.id.sequence, std::move(owned)).second;
    assert(added && "a request must arrive only once");
    (void)added;

    request.demandFrom = static_cast<std::uint32_t>(request.pipeline.stages.size());
    if (G::keepsStreamVersion && takesUpStream(request)) {
        locateStream(request, snapshot);
        return;
    }
    startRequest(request, snapshot);
}

/// Admits \p request and begins its first stage.
template <GuardPolicy G>
void BasicRequestMachine<G>::startRequest(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    if (const StageSpec *stage = stageWithoutSendSlot(request, snapshot)) {
        failWithoutSendSlot(request, stage->pool, snapshot);
        return;
    }
    if (request.proxied && !admit(request, snapshot)) {
        m_refusals.record(request.priority, now);
        refuseLate(request, snapshot);
        return;
    }
    const Duration needed = timeWithQueueing(request, snapshot);
    if (!fitsDeadline(request, needed)) {
        fail(request, Reason::CannotFinish,
             makeError(absl::StatusCode::kDeadlineExceeded, "admission", "",
                       describeLateness(request, needed, snapshot)),
             snapshot);
        return;
    }
    countDemand(request, 0);
    schedule(request, request.deadline - requestmachine::answerMargin);
    // A proxied request needs no claim: it has an ID of its own and reaches only this daemon,
    // which sends it once.
    if (!request.proxied && !request.pipeline.repeatable && G::claimsBeforeSending) {
        claim(request);
        return;
    }
    if (beginPieces(request, snapshot)) {
        return;
    }
    enqueue(request, snapshot);
    dispatch(request.stageSpec().pool, snapshot);
}

// Time ------------------------------------------------------------------------

template <GuardPolicy G>
void BasicRequestMachine<G>::tick(const Snapshot &snapshot)
{
    detectSuspension();
    const TimePoint now = m_clock.now();
    while (!m_timers.empty() && m_timers.top().first <= now) {
        const std::uint64_t sequence = m_timers.top().second;
        m_timers.pop();
        const auto found = m_requests.find(sequence);
        if (found != m_requests.end()) {
            handleTimeout(*found->second, snapshot);
        }
    }
    while (!m_unawaitedClaimOrder.empty()
           && m_unawaitedClaimOrder.front().first + requestmachine::lateGrantRetention < now) {
        m_unawaitedClaims.erase(m_unawaitedClaimOrder.front().second);
        m_unawaitedClaimOrder.pop_front();
    }
    for (const auto &[name, pool] : m_pools) {
        if (pool->queue.size() > 0) {
            dispatch(name, snapshot);
        }
    }
}

/// Fails a request that is due or can no longer meet its deadline; else reschedules its timer.
template <GuardPolicy G>
void BasicRequestMachine<G>::handleTimeout(Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const bool unprepared =
        request.phase == Request::Phase::Preparing && now >= request.preparationDeadline;
    if (unprepared) {
        fail(request, Reason::CannotFinish,
             makeError(absl::StatusCode::kDeadlineExceeded, "pieces", "",
                       "were not made within the caller's patience"),
             snapshot);
        return;
    }
    const bool due = now >= request.deadline - requestmachine::answerMargin;
    const bool queued = request.phase == Request::Phase::Queued;
    if (!due && !queued) {
        return;
    }
    const Duration needed = remainingTime(request);
    if (!due && fitsDeadline(request, needed)) {
        // The estimate fell since the request was queued, so it may wait longer.
        if (G::admitsByPrediction) {
            schedule(request, request.deadline - needed);
        }
        return;
    }
    std::string step = "stage " + request.stageSpec().name;
    if (request.phase == Request::Phase::Locating) {
        step = "stream lookup";
    } else if (request.phase == Request::Phase::Claiming) {
        step = "claim";
    } else if (request.phase == Request::Phase::Preparing) {
        step = "pieces";
    }
    if (request.phase == Request::Phase::Running) {
        // The timeout is evidence that the endpoint is slow and must enter the latency model.
        recordTimedOutCall(request, snapshot);
    }
    withdraw(request, snapshot);
    const std::string peer = queued ? std::string() : request.endpoint;
    fail(request, due ? Reason::DeadlineExceeded : Reason::CannotFinish,
         makeError(absl::StatusCode::kDeadlineExceeded, step, peer,
                   due ? "the deadline passed" : "the time left is too short"),
         snapshot);
}

/// Removes a request from its queue, or cancels its call.
template <GuardPolicy G>
void BasicRequestMachine<G>::withdraw(Request &request, const Snapshot &snapshot)
{
    if (request.phase == Request::Phase::Queued) {
        poolState(request.stageSpec().pool).queue.remove(queueKey(request));
    }
    if (request.phase == Request::Phase::Running) {
        m_actions.emplace_back(CancelStage{request.call()});
        settleCall(request, snapshot);
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const CallerGone &event, const Snapshot &snapshot)
{
    Request *request = find(event.id);
    if (request == nullptr) {
        return;
    }
    // A request that is not repeatable continues: its result is stored for a retry. Results of
    // proxied requests are not stored, so nobody could receive them.
    if (!request->proxied && !request->pipeline.repeatable) {
        return;
    }
    withdraw(*request, snapshot);
    request->unconfirmed.reset();
    fail(
        *request, event.isTooSlow ? Reason::CallerTooSlow : Reason::CallerGone,
        makeError(absl::StatusCode::kCancelled, "answering", "caller",
                  event.isTooSlow ? "the caller does not read its answer" : "the caller went away"),
        snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::abandonAll(const Snapshot &snapshot)
{
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, request] : m_requests) {
        sequences.push_back(sequence);
    }
    std::sort(sequences.begin(), sequences.end());
    for (const std::uint64_t sequence : sequences) {
        Request &request = *m_requests.at(sequence);
        withdraw(request, snapshot);
        fail(request, Reason::Draining,
             makeError(absl::StatusCode::kUnavailable, "stop", "", "this daemon stops now"),
             snapshot);
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTMACHINEIMPL_H
