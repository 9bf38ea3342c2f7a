//===- harelink/Kernel/requestanswersimpl.h - Answers -----------*- C++ -*-===//
///
/// \file
/// Handles answers, chunks and failures of calls.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTANSWERSIMPL_H
#define HARELINK_KERNEL_REQUESTANSWERSIMPL_H

#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace harelink {

namespace requestmachine {

/// Returns whether an answer of \p kind may complete a request. A caller that has received a part
/// of a stream would take any end of its answer for the end of the stream.
///
/// \param hasBegun if the caller has received a part in this answer.
/// \param isTakenUp if it received one in an earlier answer.
inline bool mayComplete(AnswerKind kind, bool hasBegun, bool isTakenUp)
{
    if (hasBegun) {
        return kind == AnswerKind::Stream;
    }
    return !isTakenUp || kind != AnswerKind::Body;
}

} // namespace requestmachine

/// Returns the request that waits for an answer to \p call; null if there is none.
template <GuardPolicy G>
auto BasicRequestMachine<G>::findCurrent(const CallId &call) -> Request *
{
    Request *request = find(call.request);
    const bool running = request != nullptr && request->phase == Request::Phase::Running;
    if (!running || (G::matchesAttempts && request->call() != call)) {
        ++m_counters.staleAnswers;
        return nullptr;
    }
    return request;
}

/// Handles an answer that belongs to another call as a failure of the call.
template <GuardPolicy G>
void BasicRequestMachine<G>::rejectAnswer(const Request &request, std::string_view message,
                                          const Snapshot &snapshot)
{
    ++m_counters.mismatchedAnswers;
    m_actions.emplace_back(CancelStage{request.call()});
    StageFailed failure;
    failure.call = request.call();
    failure.status = makeError(absl::StatusCode::kInternal, "stage " + request.stageSpec().name,
                               request.endpoint, message);
    handle(failure, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const StageChunk &event, const Snapshot &snapshot)
{
    detectSuspension();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    if (G::matchesAttempts && event.echoed != event.call) {
        rejectAnswer(*request, "the stream carries another call's identity", snapshot);
        return;
    }
    // Each token is forwarded once and in order.
    if (G::matchesAttempts && event.firstToken != request->tokens) {
        rejectAnswer(*request, "the stream repeats or leaves out a token", snapshot);
        return;
    }
    if (const EndpointEntry *endpoint = endpointOf(*request, snapshot)) {
        recordProgress(*endpoint, m_clock.now());
    }
    if (request->tokens == 0) {
        request->timeToFirstChunk = m_clock.now() - request->arrivedAt;
        bindStream(*request);
    }
    request->tokens += event.tokens;
    request->text += event.text;
    m_actions.emplace_back(StreamChunk{request->id, event.firstToken, event.tokens, event.text});
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(StageAnswered event, const Snapshot &snapshot)
{
    detectSuspension();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    if (G::matchesAttempts && event.echoed != event.call) {
        rejectAnswer(*request, "the answer carries another call's identity", snapshot);
        return;
    }
    const bool hasBegun = request->headForwarded || request->tokens > 0;
    const bool isTakenUp = request->streams && request->lastEventId;
    const bool mayComplete = requestmachine::mayComplete(event.kind, hasBegun, isTakenUp);
    if (!mayComplete || (event.proxied && isBrokenOff(*request, *event.proxied))) {
        StageFailed failure;
        failure.call = event.call;
        failure.status = makeError(
            absl::StatusCode::kUnavailable, "stage " + request->stageSpec().name, request->endpoint,
            mayComplete ? "the answer has no marked end, unlike others of the endpoint"
                        : "the answer does not continue the stream");
        failure.notice = std::move(event.notice);
        handle(failure, snapshot);
        return;
    }
    const Duration elapsed = m_clock.now() - request->sentAt;
    const std::string poolName = request->stageSpec().pool;
    recordNotice(*request, event.notice, snapshot);
    settleCall(*request, snapshot);
    const bool isDoubtfulAnswer = event.proxied && mayBePart(*request, *event.proxied, snapshot);
    if (isDoubtfulAnswer) {
        ++m_counters.doubtfulAnswers;
    } else {
        recordLatency(*request, elapsed);
    }
    if (const PoolEntry *pool = snapshot.pool(poolName)) {
        const Duration busy = event.busy == Duration{} ? elapsed : event.busy;
        StageCost &cost = request->costs[request->stage];
        cost.busy += busy;
        cost.cost += requestmachine::seconds(busy) * pool->spec.costPerSecond;
        if (!request->isRelayed && pool->path != nullptr) {
            pool->path->recordReached();
        }
        if (const EndpointEntry *endpoint = pool->find(request->endpoint)) {
            recordSuccess(*endpoint, elapsed, m_clock.now());
            if (isDoubtfulAnswer) {
                recordDoubt(*endpoint, usualLatency(*request), m_clock.now());
            }
        }
        charge(*request, busy - request->charged, snapshot);
    }
    if (event.proxied) {
        completeProxied(*request, *std::move(event.proxied), snapshot);
    } else {
        advance(*request, std::move(event.body), snapshot);
    }
    dispatch(poolName, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::advance(Request &request, std::string &&stageAnswer,
                                     const Snapshot &snapshot)
{
    request.previous = std::move(stageAnswer);
    request.stageMayHaveRun = false;
    request.phase = Request::Phase::Queued;
    request.endpoint.clear();
    ++request.stage;
    if (request.stage == request.pipeline.stages.size()) {
        complete(request);
        return;
    }
    if (!fitsDeadline(request, remainingTime(request))) {
        fail(request, Reason::CannotFinish,
             makeError(absl::StatusCode::kDeadlineExceeded, "stage " + request.stageSpec().name, "",
                       "the stages left do not fit into the deadline"),
             snapshot);
        return;
    }
    enqueue(request, snapshot);
    dispatch(request.stageSpec().pool, snapshot);
}

template <GuardPolicy G>
void BasicRequestMachine<G>::complete(Request &request)
{
    AnswerCaller action;
    action.outcome = Outcome::Completed;
    action.body = request.previous;
    answer(request, std::move(action));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const StageFailed &event, const Snapshot &snapshot)
{
    detectSuspension();
    Request *request = findCurrent(event.call);
    if (request == nullptr) {
        return;
    }
    const std::string poolName = request->stageSpec().pool;
    recordNotice(*request, event.notice, snapshot);
    settleCall(*request, snapshot);
    charge(*request, m_clock.now() - request->sentAt - request->charged, snapshot);
    request->phase = Request::Phase::Queued;
    recordFailedCall(*request, event, snapshot);
    if (event.isBroken) {
        reportBrokenCall(*request);
    }
    if (event.evidence == SendEvidence::Sent) {
        request->stageMayHaveRun = true;
        ++request->possibleRuns;
    }
    if (event.evidence == SendEvidence::NothingSent) {
        ++request->connectFailures;
    } else {
        ++request->deliveredSends;
    }
    if (event.evidence == SendEvidence::RefusedBeforeRun) {
        ++request->refusals;
    }
    if (event.isEndpointReplaced) {
        m_actions.emplace_back(EndpointReplaced{request->endpoint});
    }
    if (event.inputsGone && request->pieces) {
        handleLostResults(*request, snapshot);
        dispatch(poolName, snapshot);
        return;
    }
    retryOrFail(*request, event, snapshot);
    dispatch(poolName, snapshot);
}

/// Records the failure of the call in progress at its endpoint and at the path to it. The endpoint
/// is not blamed for the loss of a peer, nor for what only a peer could not connect to.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordFailedCall(const Request &request, const StageFailed &event,
                                              const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    const EndpointEntry *endpoint = pool == nullptr ? nullptr : pool->find(request.endpoint);
    const bool isPeersFailure =
        request.isRelayed && (event.isRelayLost || event.evidence == SendEvidence::NothingSent);
    if (endpoint == nullptr || isPeersFailure) {
        return;
    }
    if (!request.isRelayed && event.evidence == SendEvidence::RefusedBeforeRun
        && pool->path != nullptr) {
        pool->path->recordReached();
    }
    recordFailure(*pool, *endpoint, event.evidence, m_clock.now());
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const RequestSuspected &event, const Snapshot &snapshot)
{
    (void)snapshot;
    const auto sound = m_soundParts.find(event.digest);
    const bool isSound = event.isPromptPart && sound != m_soundParts.end()
                         && m_clock.now() - sound->second <= requestmachine::soundPartPeriod;
    if (isSound) {
        m_actions.emplace_back(RequestCleared{event.digest});
        return;
    }
    if (m_suspectDigests.size() >= requestmachine::maxSuspects) {
        m_suspectDigests.clear();
    }
    m_suspectDigests.insert(event.digest);
}

/// Clears the suspicions against a request that completed, and against the parts of its prompt.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordCompletion(const Request &request)
{
    if (m_suspectDigests.erase(request.digest) > 0) {
        m_actions.emplace_back(RequestCleared{request.digest});
    }
    if (G::clearsPromptParts && request.proxied) {
        recordSoundParts(*request.proxied);
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::recordSoundParts(const ProxiedRequest &request)
{
    const TimePoint now = m_clock.now();
    if (m_soundParts.size() >= requestmachine::maxSoundParts) {
        absl::erase_if(m_soundParts, [now](const auto &entry) {
            return now - entry.second > requestmachine::soundPartPeriod;
        });
    }
    for (const Hash128 &part : promptPartDigests(request)) {
        if (m_soundParts.size() < requestmachine::maxSoundParts || m_soundParts.contains(part)) {
            m_soundParts[part] = now;
        }
        if (m_suspectDigests.erase(part) > 0) {
            m_actions.emplace_back(RequestCleared{part});
        }
    }
}

/// Records and reports the endpoint notice in an answer to the call in progress.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordNotice(const Request &request,
                                          const std::optional<EndpointNotice> &notice,
                                          const Snapshot &snapshot)
{
    const EndpointEntry *endpoint = endpointOf(request, snapshot);
    if (!notice || endpoint == nullptr) {
        return;
    }
    if (G::enforcesPauses && notice->pause > Duration::zero()) {
        recordPause(*endpoint, notice->pause, m_clock.now());
    }
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    if (G::sparesBrittle && pool != nullptr) {
        recordRejectionLimit(*pool, *endpoint, notice->rejectionsPerSecond, daemonCount());
    }
    if (G::avoidsLeaving && notice->isLeaving) {
        endpoint->load->leaving.store(true, std::memory_order_relaxed);
    }
    // The fields of a stream were sent before its first event, so at its end they are out of date.
    if (notice->load && pool != nullptr && request.tokens == 0) {
        recordLoadReport(*pool, *endpoint, *notice->load, m_clock.now());
    }
    const bool wasLimited = endpoint->load->isLimited.load(std::memory_order_relaxed);
    if (notice->hasContent() || wasLimited) {
        m_actions.emplace_back(EndpointNoticed{request.endpoint, *notice, request.sentAt});
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::reportBrokenCall(const Request &request)
{
    ++m_counters.brokenCalls;
    BrokenCallReport action;
    action.call = request.call();
    action.callerId = request.proxied ? request.proxied->callerId : std::string();
    action.events = request.tokens;
    action.softwareVersion = request.softwareVersion;
    action.broken.digest = request.digest;
    action.broken.pool = request.stageSpec().pool;
    action.broken.endpoint = request.endpoint;
    action.broken.sentAt = request.sentAt;
    action.broken.brokeAt = m_clock.now();
    if (request.proxied && request.tokens == 0) {
        action.broken.promptParts = promptPartDigests(*request.proxied);
    }
    m_actions.emplace_back(std::move(action));
}

/// Fails the calls to an endpoint instance that has ended like calls whose connection was lost:
/// its successor has no record of them, and their progress is unknown. Streams that the successor
/// may have begun are not continued.
template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const EndpointEnded &event, const Snapshot &snapshot)
{
    std::vector<CallId> calls;
    for (const auto &[sequence, request] : m_requests) {
        if (request->endpoint != event.endpoint) {
            continue;
        }
        if (request->origin && request->sentAt > event.ranUntil) {
            request->origin->softwareVersion.reset();
        }
        if (request->phase == Request::Phase::Running) {
            calls.push_back(request->call());
        }
    }
    // Oldest first, so that retries keep the order of arrival.
    std::sort(calls.begin(), calls.end(), [](const CallId &a, const CallId &b) {
        return a.request.sequence < b.request.sequence;
    });
    for (const CallId &call : calls) {
        m_actions.emplace_back(CancelStage{call});
        StageFailed failure;
        failure.call = call;
        failure.status = makeError(absl::StatusCode::kUnavailable, "carrying", event.endpoint,
                                   "the endpoint has started again");
        failure.isBroken = true;
        handle(failure, snapshot);
    }
}

/// Returns whether \p request is sent again, or was answered as that turned out impossible.
template <GuardPolicy G>
bool BasicRequestMachine<G>::sendAgain(Request &request, SendEvidence evidence,
                                       const Snapshot &snapshot)
{
    const bool canContinue =
        !request.hasUnnumberedEvents && (!request.origin || hasServingEndpoint(request, snapshot));
    if (!canContinue || !hasSendSlot(request, snapshot, 0) || !mayRetry(request, evidence)) {
        return false;
    }
    ++m_counters.retries;
    if (request.pieces && request.pieces->finalResultsReleased()) {
        handleLostResults(request, snapshot);
    } else {
        enqueue(request, snapshot);
    }
    return true;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::retryOrFail(Request &request, const StageFailed &event,
                                         const Snapshot &snapshot)
{
    if (sendAgain(request, event.evidence, snapshot)) {
        return;
    }
    if (event.proxied && !request.headForwarded) {
        // The endpoint's own error is more useful to the caller than a generic one.
        AnswerCaller action;
        action.outcome = outcomeOfFailure(request);
        action.reason = Reason::StageFailed;
        action.error = event.status;
        action.proxied = event.proxied;
        answer(request, std::move(action));
        return;
    }
    if (request.origin && !hasServingEndpoint(request, snapshot)) {
        failWithoutEndpoint(request, snapshot);
        return;
    }
    fail(request, Reason::StageFailed, event.status, snapshot);
}

template <GuardPolicy G>
bool BasicRequestMachine<G>::mayRetry(Request &request, SendEvidence evidence)
{
    if (request.proxied) {
        return mayRetryProxied(request, evidence);
    }
    const bool mayHaveRun = evidence == SendEvidence::Sent;
    if (mayHaveRun && !request.pipeline.repeatable && G::retriesOnlyRepeatable) {
        return false;
    }
    if (request.attempt - request.refusals >= requestmachine::maxAttempts) {
        return false;
    }
    if (!fitsDeadline(request, remainingTime(request))) {
        return false;
    }
    // Such a retry cost the endpoint no work, and the endpoint is already avoided for a while.
    if (evidence != SendEvidence::Sent) {
        return true;
    }
    if (m_retryTokens < 1) {
        return false;
    }
    m_retryTokens -= 1;
    return true;
}

template <GuardPolicy G>
Outcome BasicRequestMachine<G>::outcomeOfFailure(const Request &request) const
{
    if (!G::notRunNeedsEvidence) {
        return Outcome::NotRun;
    }
    if (request.stageMayHaveRun || request.phase == Request::Phase::Running) {
        return Outcome::Unknown;
    }
    return request.stage > 0 ? Outcome::RanIncomplete : Outcome::NotRun;
}

template <GuardPolicy G>
void BasicRequestMachine<G>::fail(Request &request, Reason reason, absl::Status error,
                                  const Snapshot &snapshot)
{
    AnswerCaller action;
    action.outcome = outcomeOfFailure(request);
    action.reason = reason;
    action.error = std::move(error);
    action.retryAfter = retryAfter(request, snapshot);
    answer(request, std::move(action));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::answer(Request &request, AnswerCaller &&action)
{
    replaceByUnconfirmed(request, action);
    cancelPieces(request);
    releaseRetry(request);
    m_lateAdmissions -= request.isAdmittedLate ? 1 : 0;
    if (action.outcome == Outcome::Completed && !action.replayed) {
        recordCompletion(request);
    }
    action.id = request.id;
    action.digest = request.digest;
    action.account = request.account;
    action.pipeline = request.pipeline.name;
    action.elapsed = m_clock.now() - request.arrivedAt;
    action.allowed = request.deadline - request.arrivedAt;
    action.timeToFirstChunk = request.timeToFirstChunk;
    action.tokens = request.tokens;
    action.costs = std::move(request.costs);
    action.callerId = request.proxied ? request.proxied->callerId : std::string();
    action.endpoint = request.endpoint;
    action.sends = request.attempt;
    action.predicted = request.forecast.total();
    action.admittedLate = request.isAdmittedLate;
    action.priorityClass = priorityClass(configuredPriority(request));
    action.prepared = request.prepared;
    countDemand(request, static_cast<std::uint32_t>(request.pipeline.stages.size()));
    ++m_counters.reasons[static_cast<std::size_t>(action.reason)];
    if (!request.proxied && !action.replayed && action.reason != Reason::MayHaveRun
        && action.reason != Reason::KeyReused && action.reason != Reason::ClaimUnavailable) {
        finishClaim(request, action.outcome, action.body);
    }
    m_actions.emplace_back(std::move(action));
    m_requests.erase(request.id.sequence);
}

/// Detects that this process was suspended or that the host is overloaded, so that elapsed times
/// are not taken as slowness of endpoints.
template <GuardPolicy G>
void BasicRequestMachine<G>::detectSuspension()
{
    const TimePoint now = m_clock.now();
    if (now - m_lastEventAt > requestmachine::maxEventGap) {
        m_resumedAt = now;
        for (auto &[name, pool] : m_pools) {
            pool->pace.recordUnavailable();
        }
    }
    m_lastEventAt = now;
    if (G::excludesOverloadSamples && m_limits.isCrowded != nullptr
        && m_limits.isCrowded->load(std::memory_order_relaxed)) {
        m_crowdedAt = now;
    }
}

/// Records the latency of a call unless this process was suspended during it.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordLatency(const Request &request, Duration elapsed)
{
    if (request.sentAt >= m_resumedAt) {
        poolState(request.stageSpec().pool).latency.add(m_clock.now(), request.bytes(), elapsed);
    }
}

/// Records a call that timed out; see recordLatency().
template <GuardPolicy G>
void BasicRequestMachine<G>::recordTimedOutCall(const Request &request, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const PoolEntry *pool = snapshot.pool(request.stageSpec().pool);
    const EndpointEntry *endpoint = pool == nullptr ? nullptr : pool->find(request.endpoint);
    if (endpoint != nullptr && request.sentAt >= m_resumedAt && !request.isRelayed) {
        const Duration typicalTime =
            poolState(pool->spec.name).latency.median(now, request.bytes());
        recordAbandonedCall(*pool, *endpoint, now - request.sentAt, typicalTime, now);
    }
    recordLatency(request, now - request.sentAt);
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTANSWERSIMPL_H
