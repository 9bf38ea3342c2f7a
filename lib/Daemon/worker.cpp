//===- worker.cpp - Worker thread -----------------------------------------===//

#include "harelink/Daemon/worker.h"

#include "harelink/Kernel/registry.h"
#include "harelink/Support/error.h"
#include "harelink/Support/log.h"
#include "harelink/Support/text.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr Logger logger("worker");

/// Minimum time between two log lines about dispatches by a guaranteed minimum.
constexpr std::chrono::seconds minimumsLogInterval{5};
/// Data that may wait for one caller; reading from its endpoint is paused beyond it.
constexpr std::size_t maxWaitingBytes = 262'144;
/// The same for an answer that a peer of an older version relays, which cannot be paused: the
/// caller is disconnected.
constexpr std::size_t maxRelayedWaitingBytes = 4 * maxWaitingBytes;
constexpr std::chrono::milliseconds stallCheckInterval{250};
/// Interval in which acknowledgements are repeated.
constexpr std::chrono::seconds acknowledgementInterval{1};

RequestLimits makeRequestLimits(const Settings &settings, const std::atomic<int> &daemons,
                                const HostLoad &load, TimePoint startedAt)
{
    RequestLimits limits;
    limits.maxRequests = settings.maxRequests;
    limits.workers = settings.workers;
    limits.retries = {settings.retryRatio, settings.retryAllowance, settings.retryWindow, startedAt,
                      budgetloans::termFor(settings.retryWindow)};
    limits.daemons = &daemons;
    limits.isCrowded = &load.isCrowded;
    return limits;
}

AnswerBounds makeAnswerBounds(const Settings &settings)
{
    AnswerBounds bounds;
    bounds.bodyBytes = settings.responseBodyBytes;
    return bounds;
}

std::string hexList(const std::vector<Hash128> &digests)
{
    std::vector<std::string> texts;
    std::transform(digests.begin(), digests.end(), std::back_inserter(texts),
                   [](const Hash128 &digest) { return toHex(digest); });
    return fmt::format("{}", fmt::join(texts, ","));
}

} // namespace

Worker::Worker(const Settings &settings, const Clock &clock, const SnapshotCell &snapshot,
               const Dialect &dialect, std::uint64_t seed, const std::atomic<int> &daemons,
               BufferBudget &buffers, const DescriptorLimit &descriptors, HostLoad &load,
               ControlSink control)
    : m_settings(settings)
    , m_clock(clock)
    , m_snapshot(snapshot)
    , m_dialect(dialect)
    , m_buffers(buffers)
    , m_bounds(makeAnswerBounds(settings))
    , m_control(std::move(control))
    , m_loop(HttpClientOptions{m_bounds, &buffers, &clock, &load.meter, &descriptors},
             HostLoop::Worker)
    , m_machine(clock, Registry<RoutingPolicy>::instance().make(settings.routingPolicy), seed,
                makeRequestLimits(settings, daemons, load, clock.now()))
{
    for (const std::string &name : Registry<StageProtocol>::instance().names()) {
        m_protocols[name] = Registry<StageProtocol>::instance().make(name);
    }
}

Worker::~Worker()
{
    stop();
}

void Worker::start()
{
    m_thread = std::thread([this] {
        const RcuThread registered;
        m_loop.run(m_clock, [this] { return runIteration(); });
    });
}

void Worker::stop()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
}

template <typename Event>
void Worker::dispatch(Event event)
{
    {
        const SnapshotCell::Reader snapshot(m_snapshot);
        m_machine.handle(std::move(event), *snapshot);
    }
    // After the read-side section: actions may block or start calls, which is not allowed inside.
    performActions();
}

std::optional<TimePoint> Worker::runIteration()
{
    {
        const SnapshotCell::Reader snapshot(m_snapshot);
        m_machine.tick(*snapshot);
    }
    performActions();
    disconnectStalledCallers();
    return m_machine.nextTick();
}

void Worker::submit(CallerRequest request, const Responder &responder)
{
    m_loop.post([this, request = std::move(request), responder]() mutable {
        accept(std::move(request), responder);
    });
}

void Worker::accept(CallerRequest request, const Responder &responder)
{
    const bool proxied = request.arrival.proxied != nullptr;
    // The API key of a proxied request is checked together with its route.
    if (!proxied && m_settings.callerTrust == CallerTrust::BearerToken) {
        std::string expected;
        bool ready = false;
        {
            const SnapshotCell::Reader snapshot(m_snapshot);
            ready = (*snapshot).ready;
            if (const AccountEntry *account = (*snapshot).account(request.arrival.account)) {
                expected = account->spec.tokenSha256;
            }
        }
        if (ready && !tokenMatches(request.token, expected)) {
            rejectToken(request, responder);
            return;
        }
    }
    Caller caller;
    caller.responder = responder;
    caller.acceptsStream = request.arrival.streams;
    caller.proxied = proxied;
    caller.connection = request.connection;
    caller.memory = std::move(request.memory);
    caller.id = request.arrival.id;
    caller.backlog = std::make_shared<ReplyBacklog>(
        m_clock, m_buffers, proxied ? request.arrival.proxied->callerId : toText(caller.id),
        callerStallLimit);
    m_requestsByConnection[request.connection].push_back(request.arrival.id);
    const bool added = m_callers.emplace(request.arrival.id.sequence, std::move(caller)).second;
    assert(added && "a request must be submitted only once");
    (void)added;
    dispatch(std::move(request.arrival));
}

void Worker::rejectToken(const CallerRequest &request, const Responder &responder)
{
    HttpReply reply = makeProblem(401, "unauthorized",
                                  makeError(absl::StatusCode::kUnauthenticated, "admission", "",
                                            "the account's bearer token is missing or wrong"));
    reply.headers.emplace_back("WWW-Authenticate", "Bearer");
    reply.headers.emplace_back("Harelink-Request-Id", toText(request.arrival.id));
    reply.headers.emplace_back("Harelink-Outcome", toText(Outcome::NotRun));
    responder(std::move(reply));
}

void Worker::handleClaimDecision(ClaimDecision decision)
{
    m_loop.post([this, decision = std::move(decision)] { dispatch(decision); });
}

void Worker::handleEndpointEnded(const EndpointEnded &event)
{
    m_loop.post([this, event] { dispatch(event); });
}

void Worker::handleSuspectedRequest(const RequestSuspected &event)
{
    m_loop.post([this, event] { dispatch(event); });
}

void Worker::handleStreamLocated(const StreamLocated &event)
{
    m_loop.post([this, event] { dispatch(event); });
}

void Worker::handleLendRequest(const LendRetries &event)
{
    m_loop.post([this, event] { dispatch(event); });
}

void Worker::handleBorrowedRetries(const RetriesBorrowed &event)
{
    m_loop.post([this, event] { dispatch(event); });
}

void Worker::handlePieceEnded(PieceEnded event)
{
    m_loop.post([this, event = std::move(event)] { dispatch(event); });
}

void Worker::handleConnectionClosed(std::uint64_t connection)
{
    m_loop.post([this, connection] {
        const auto found = m_requestsByConnection.find(connection);
        if (found == m_requestsByConnection.end()) {
            return;
        }
        const std::vector<RequestId> requests = found->second;
        for (const RequestId &id : requests) {
            dispatch(CallerGone{id});
        }
    });
}

void Worker::closeConnections()
{
    m_loop.post([this] { m_closeConnections = true; });
}

void Worker::removeCaller(std::uint64_t sequence)
{
    const auto caller = m_callers.find(sequence);
    const auto requests = m_requestsByConnection.find(caller->second.connection);
    if (requests != m_requestsByConnection.end()) {
        std::erase_if(requests->second,
                      [sequence](const RequestId &id) { return id.sequence == sequence; });
        if (requests->second.empty()) {
            m_requestsByConnection.erase(requests);
        }
    }
    m_callers.erase(caller);
}

void Worker::drain()
{
    m_loop.post([this] { m_machine.drain(); });
}

void Worker::abandonAll()
{
    m_loop.post([this] {
        {
            const SnapshotCell::Reader snapshot(m_snapshot);
            m_machine.abandonAll(*snapshot);
        }
        performActions();
    });
}

void Worker::collectReport(std::function<void(WorkerReport)> callback)
{
    m_loop.post([this, callback = std::move(callback)] {
        callback({m_metrics, m_machine.counters(), m_machine.inProgress(), m_machine.queued(),
                  m_machine.queuedByClass()});
    });
}

void Worker::performActions()
{
    for (RequestAction &action : m_machine.drainActions()) {
        std::visit(
            [this](auto &&alternative) {
                perform(std::forward<decltype(alternative)>(alternative));
            },
            std::move(action));
    }
    logMinimums();
}

/// Logs, at most once per minimumsLogInterval, that guaranteed minimums have placed requests before
/// more urgent ones.
void Worker::logMinimums()
{
    const std::uint64_t total = m_machine.counters().dispatchesByMinimum;
    const TimePoint now = m_clock.now();
    const bool wasJustLogged =
        m_minimumsLoggedAt != TimePoint::min() && now - m_minimumsLoggedAt < minimumsLogInterval;
    if (total == m_loggedMinimums || wasJustLogged) {
        return;
    }
    logger.record(LogLevel::Info, "priority-minimum")
        .field("dispatches", total - m_loggedMinimums)
        .field("waiting", fmt::format("{}", fmt::join(m_machine.queuedByClass(), ",")));
    m_loggedMinimums = total;
    m_minimumsLoggedAt = now;
}

const StageProtocol &Worker::protocol(const std::string &name)
{
    const auto found = m_protocols.find(name);
    assert(found != m_protocols.end()
           && "the protocol must be registered; the check of the pool ensures this");
    return *found->second;
}

void Worker::perform(SendStage action)
{
    if (action.proxied != nullptr) {
        forwardProxied(action);
        return;
    }
    const CallId call = action.call;
    if (!m_protocols.contains(action.protocol)) {
        StageFailed failure;
        failure.call = call;
        failure.evidence = SendEvidence::NothingSent;
        failure.status = makeError(
            absl::StatusCode::kFailedPrecondition, "stage " + action.stage, action.endpoint,
            "endpoints of protocol " + action.protocol + " take carried requests only");
        dispatch(std::move(failure));
        return;
    }
    const StageProtocol &stageProtocol = protocol(action.protocol);
    const HttpCall http = encodeStage(stageProtocol, action);
    logger.debug("Sending {} to {}.", toText(call), action.endpoint);
    if (action.streams && stageProtocol.streams()) {
        stream(action, http,
               std::make_shared<StageStream>(stageProtocol, action, m_bounds, &m_buffers));
        return;
    }
    const auto decode = [&stageProtocol, stage = action](const HttpResult &result) {
        return decodeStage(stageProtocol, stage, result);
    };
    sendCall(action, http, decode, {});
}

/// Makes the call of \p action, or lets a peer make it, and handles its result.
void Worker::sendCall(const SendStage &action, const HttpCall &http,
                      const std::function<StageResult(HttpResult)> &decode,
                      HttpClient::BodyCallback onPart)
{
    const CallId call = action.call;
    if (action.isRelayed) {
        m_relayedCalls[call] = {
            action, decode, std::move(onPart), {}, std::make_unique<BufferedBytes>(&m_buffers)};
        m_control.relayCall({call, action.proxied ? action.proxied->callerId : std::string(),
                             action.pool, action.endpoint, http});
        return;
    }
    const auto onDone = [this, call, decode](HttpResult result) {
        m_calls.erase(call);
        dispatchResult(decode(std::move(result)));
    };
    m_calls[call] = m_loop.http().send(http, onDone, std::move(onPart));
}

void Worker::handleRelayedPart(RelayedPart part)
{
    m_loop.post([this, part = std::move(part)] { receiveRelayedPart(part); });
}

void Worker::receiveRelayedPart(const RelayedPart &received)
{
    const RelayPart &part = received.part;
    const auto found = m_relayedCalls.find(part.call);
    if (found == m_relayedCalls.end()) {
        return;
    }
    HttpResult &result = found->second.result;
    result.headStatus = part.headStatus;
    if (!part.fields.empty()) {
        result.fields = part.fields;
        result.headers.clear();
        for (const auto &[name, value] : part.fields) {
            result.headers[lowerCase(name)] = value;
        }
    }
    found->second.receivedBytes += part.body.size();
    if (found->second.onPart && !part.body.empty()) {
        // The callback may end the call. It acknowledges the part when its caller may take more.
        const HttpClient::BodyCallback onPart = found->second.onPart;
        const HttpResult head = result;
        onPart(head, part.body);
    } else if (result.body.size() + part.body.size() > m_bounds.bodyBytes
               || !found->second.buffered->mayGrow()) {
        const SendStage stage = found->second.stage;
        endExceededCall(stage, AnswerPart::Body);
        return;
    } else {
        result.body += part.body;
        found->second.buffered->set(result.body.size());
        acknowledge(part.call);
    }
    const auto call = m_relayedCalls.find(part.call);
    if (!part.isLast || call == m_relayedCalls.end()) {
        return;
    }
    RelayedCall ended = std::move(call->second);
    m_relayedCalls.erase(call);
    ended.result.status = part.status;
    ended.result.sent = part.wasSent;
    ended.result.isBroken = part.isBroken;
    ended.result.error = part.error;
    ended.result.longestPause = part.longestPause;
    if (part.wasSent) {
        ended.result.connection = HttpConnection::Established;
    } else if (part.wasRefused) {
        ended.result.connection = HttpConnection::Refused;
    }
    StageResult event = ended.decode(std::move(ended.result));
    if (auto *failed = std::get_if<StageFailed>(&event)) {
        failed->isRelayLost = received.isRelayLost;
    }
    dispatchResult(std::move(event));
}

/// Logs a send that continues a stream of which the caller has received events.
void Worker::logResumedStream(const SendStage &action)
{
    const ProxiedRequest &request = *action.proxied;
    const std::optional<std::uint64_t> after =
        action.resumeAfter ? action.resumeAfter : request.lastEventSeen;
    if (!after && request.resumedAttempt.empty()) {
        return;
    }
    logger.record(LogLevel::Info, "stream-resumed")
        .field("request", request.callerId)
        .field("by", action.resumeAfter ? "host" : "caller")
        .field("firstAttempt", request.resumedAttempt)
        .field("afterEvent", after ? fmt::format("{}", *after) : "")
        .field("attempt", action.call.attempt)
        .field("pool", action.pool)
        .field("endpoint", action.endpoint)
        .field("version", action.softwareVersion.value_or("unknown"));
}

/// Forwards a proxied request unchanged and streams its response back.
void Worker::forwardProxied(const SendStage &action)
{
    logResumedStream(action);
    const ProxiedDialect &dialect = *m_dialect.proxied();
    const auto stream = std::make_shared<ProxiedStream>(dialect, action, m_bounds, &m_buffers);
    const auto decode = [stream](HttpResult result) { return stream->finish(std::move(result)); };
    const auto onPart = [this, stream, action](const HttpResult &head, const std::string &body) {
        stream->feed(head, body);
        while (std::optional<StageEvent> event = stream->next(head)) {
            dispatch(*std::move(event));
        }
        endPart(action, stream->exceeded());
    };
    sendCall(action, dialect.encode(action), decode, onPart);
}

void Worker::stream(const SendStage &action, const HttpCall &http,
                    const std::shared_ptr<StageStream> &stream)
{
    const auto decode = [stream](const HttpResult &result) { return stream->finish(result); };
    const auto onPart = [this, stream, action](const HttpResult &head, const std::string &body) {
        for (StageChunk &chunk : stream->handleBody(head, body)) {
            dispatch(std::move(chunk));
        }
        endPart(action, stream->exceeded());
    };
    sendCall(action, http, decode, onPart);
}

/// Sends what a part of the answer to \p stage gave for the caller, and bounds what waits.
void Worker::endPart(const SendStage &stage, std::optional<AnswerPart> exceeded)
{
    const auto caller = m_callers.find(stage.call.request.sequence);
    if (caller != m_callers.end()) {
        sendParts(caller->second);
    }
    if (exceeded) {
        endExceededCall(stage, *exceeded);
    } else {
        applyBackPressure(stage.call);
    }
}

/// Ends a call whose answer exceeds a bound. The endpoint may have run it.
void Worker::endExceededCall(const SendStage &stage, AnswerPart part)
{
    if (!m_calls.contains(stage.call) && !m_relayedCalls.contains(stage.call)) {
        return; // Already ended.
    }
    m_buffers.recordExceeded(part);
    logger.record(LogLevel::Warning, "answer-over-bound")
        .field("request", stage.proxied ? stage.proxied->callerId : toText(stage.call.request))
        .field("pool", stage.pool)
        .field("endpoint", stage.endpoint)
        .field("part", toText(part))
        .field("detail", boundError(part, m_bounds));
    perform(CancelStage{stage.call});
    dispatch(stageFailure(stage, SendEvidence::Sent, boundError(part, m_bounds)));
}

/// Pauses reading the answer to \p call if too much of it waits for the caller. A peer that makes
/// the call pauses as long as nothing is acknowledged.
void Worker::applyBackPressure(const CallId &call)
{
    const auto found = m_callers.find(call.request.sequence);
    if (found == m_callers.end() || found->second.isDisconnected) {
        acknowledge(call);
        return;
    }
    const std::shared_ptr<ReplyBacklog> backlog = found->second.backlog;
    const std::size_t waiting = backlog->waiting();
    if (waiting > maxRelayedWaitingBytes && m_relayedCalls.contains(call)) {
        disconnectSlowCaller(found->first);
        return;
    }
    const bool isWithin = waiting <= maxWaitingBytes && m_buffers.allowsMoreOfStream(waiting);
    if (isWithin) {
        acknowledge(call);
        return;
    }
    const auto transfer = m_calls.find(call);
    if (transfer != m_calls.end()) {
        m_loop.http().pause(transfer->second);
    } else if (!m_relayedCalls.contains(call)) {
        return;
    }
    backlog->whenAtMost(waiting / 2,
                        [this, call] { m_loop.post([this, call] { resumeCall(call); }); });
}

void Worker::resumeCall(const CallId &call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end()) {
        m_loop.http().resume(found->second);
    }
    acknowledge(call);
}

/// Lets the peer that makes \p call send more, unless hardly anything has arrived since.
void Worker::acknowledge(const CallId &call)
{
    const auto found = m_relayedCalls.find(call);
    if (found == m_relayedCalls.end()) {
        return;
    }
    RelayedCall &relayed = found->second;
    if (relayed.receivedBytes - relayed.acknowledgedBytes >= guaranteedBytes) {
        relayed.acknowledgedBytes = relayed.receivedBytes;
        relayed.acknowledgedAt = m_clock.now();
        m_control.acknowledgeRelayedCall(call, relayed.receivedBytes);
    }
}

/// Acknowledges again what peers have sent. One whose message was lost between daemons would wait
/// until the call times out.
void Worker::repeatAcknowledgements(TimePoint now)
{
    for (auto &[call, relayed] : m_relayedCalls) {
        if (relayed.acknowledgedBytes > 0
            && now - relayed.acknowledgedAt >= acknowledgementInterval) {
            relayed.acknowledgedAt = now;
            m_control.acknowledgeRelayedCall(call, relayed.acknowledgedBytes);
        }
    }
}

void Worker::disconnectSlowCaller(std::uint64_t sequence)
{
    const auto found = m_callers.find(sequence);
    if (found == m_callers.end()) {
        return;
    }
    found->second.backlog->reportTooSlow();
    dispatch(CallerGone{found->second.id, true});
    const auto left = m_callers.find(sequence);
    if (left == m_callers.end()) {
        return;
    }
    // The request is not repeatable, so its result is stored for a retry. Its call must not wait
    // for the caller, and the caller must not take what it gets for the whole.
    HttpReply reply;
    reply.abort = true;
    left->second.unsent.reset();
    respond(left->second, std::move(reply));
    left->second.isDisconnected = true;
    for (const auto &[call, transfer] : m_calls) {
        if (call.request.sequence == sequence) {
            m_loop.http().resume(transfer);
        }
    }
    for (const auto &[call, relayed] : m_relayedCalls) {
        if (call.request.sequence == sequence) {
            acknowledge(call);
            break;
        }
    }
}

/// Ends the requests of callers that have stopped reading. The server closes their connections a
/// little later, as it can't abort a write in progress.
void Worker::disconnectStalledCallers()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextStallCheck) {
        return;
    }
    excludeSuspension(now);
    m_nextStallCheck = now + stallCheckInterval;
    std::vector<std::uint64_t> stalled;
    for (const auto &[sequence, caller] : m_callers) {
        if (caller.streamStarted && !caller.isDisconnected && caller.backlog->isStalled()) {
            stalled.push_back(sequence);
        }
    }
    for (const std::uint64_t sequence : stalled) {
        disconnectSlowCaller(sequence);
    }
    repeatAcknowledgements(now);
}

/// Leaves out the time since the check was due, if this process was suspended: the server's threads
/// have sent nothing either.
void Worker::excludeSuspension(TimePoint now)
{
    if (m_nextStallCheck == TimePoint{}) {
        return;
    }
    const Duration suspended = m_suspensions.recordDelay(now - m_nextStallCheck);
    if (suspended == Duration::zero()) {
        return;
    }
    logger.record(LogLevel::Info, "worker-suspended")
        .field("ms", static_cast<std::int64_t>(toMilliseconds(suspended)));
    for (const auto &[sequence, caller] : m_callers) {
        caller.backlog->excludeTime(suspended);
    }
}

void Worker::dispatchResult(StageResult event)
{
    std::visit(
        [this](auto &&alternative) { dispatch(std::forward<decltype(alternative)>(alternative)); },
        std::move(event));
}

void Worker::perform(const CancelStage &action)
{
    const auto found = m_calls.find(action.call);
    if (found != m_calls.end()) {
        m_loop.http().cancel(found->second);
        m_calls.erase(found);
    }
    if (m_relayedCalls.erase(action.call) > 0) {
        m_control.cancelRelayedCall(action.call);
    }
}

void Worker::perform(const AnswerCaller &action)
{
    const auto found = m_callers.find(action.id.sequence);
    assert(found != m_callers.end() && "a caller must be answered exactly once");
    m_metrics.observe(action);
    Caller &caller = found->second;
    logAnswer(caller, action);
    sendParts(caller);
    if (caller.proxied) {
        answerProxied(caller, action);
    } else if (caller.streamStarted) {
        respond(caller, makeStreamEnd(action));
    } else if (caller.acceptsStream && action.outcome == Outcome::Completed) {
        respond(caller, makeCompleteStream(action));
    } else {
        respond(caller, makeCallerReply(action));
    }
    removeCaller(action.id.sequence);
}

void Worker::answerProxied(const Caller &caller, const AnswerCaller &action)
{
    HttpReply reply;
    if (!caller.streamStarted) {
        reply = m_dialect.proxied()->makeReply(action);
        reply.close = m_closeConnections;
    } else if (action.outcome != Outcome::Completed) {
        reply.abort = true;
    }
    respond(caller, std::move(reply));
}

void Worker::respond(const Caller &caller, HttpReply reply)
{
    if (caller.isDisconnected) {
        return;
    }
    reply.backlog = caller.backlog;
    caller.responder(std::move(reply));
}

/// Adds \p part to what the caller gets at the end of the current part of the endpoint's answer.
void Worker::appendPart(Caller &caller, HttpReply part)
{
    if (caller.unsent) {
        caller.unsent->body += part.body;
        return;
    }
    part.more = true;
    part.onSendFailed = [this, id = caller.id] {
        m_loop.post([this, id] { dispatch(CallerGone{id}); });
    };
    caller.unsent = std::move(part);
}

void Worker::sendParts(Caller &caller)
{
    if (caller.unsent) {
        respond(caller, *std::exchange(caller.unsent, std::nullopt));
    }
}

void Worker::logAnswer(const Caller &caller, const AnswerCaller &action) const
{
    const bool completed = action.outcome == Outcome::Completed;
    logger.record(LogLevel::Info, "request-answered")
        .field("request", action.callerId.empty() ? toText(action.id) : action.callerId)
        .field("digest", completed ? std::string() : toHex(action.digest))
        .field("pipeline", action.pipeline)
        .field("account", action.account)
        .field("class", action.priorityClass)
        .field("outcome", toText(action.outcome))
        .field("status", action.proxied ? fmt::format("{}", action.proxied->status) : "")
        .field("framing", action.proxied ? toText(action.proxied->framing) : "")
        .field("bytes", action.proxied ? caller.forwardedBytes + action.proxied->body.size()
                                       : caller.forwardedBytes)
        .field("reason", completed ? std::string_view() : toText(action.reason))
        .field("step", completed ? std::string() : errorStep(action.error))
        .field("peer", completed ? action.endpoint : errorPeer(action.error))
        .field("detail", completed ? std::string() : errorMessage(action.error))
        .field("sends", action.sends)
        .field("elapsedMs", fmt::format("{:.1f}", toMilliseconds(action.elapsed)))
        .field("allowedMs", fmt::format("{:.0f}", toMilliseconds(action.allowed)))
        .field("predictedMs", fmt::format("{:.0f}", toMilliseconds(action.predicted)))
        .field("takenLate", action.admittedLate ? "yes" : "")
        .field("preparedMs", fmt::format("{:.1f}", toMilliseconds(action.prepared)))
        .field("firstEventMs", fmt::format("{:.1f}", toMilliseconds(action.timeToFirstChunk)))
        .field("events", action.tokens)
        .field("retryAfterMs", completed
                                   ? std::string()
                                   : fmt::format("{:.0f}", toMilliseconds(action.retryAfter)));
}

void Worker::perform(const StreamEvents &action)
{
    const auto found = m_callers.find(action.id.sequence);
    assert(found != m_callers.end() && "nothing may be streamed after the final answer");
    Caller &caller = found->second;
    HttpReply part;
    if (action.head) {
        part = m_dialect.proxied()->makeHead(*action.head);
        part.close = m_closeConnections;
        caller.streamStarted = true;
    }
    part.body = action.bytes;
    caller.forwardedBytes += action.bytes.size();
    appendPart(caller, std::move(part));
}

void Worker::perform(OrderPieces action)
{
    m_control.orderPieces(std::move(action));
}

void Worker::perform(const WithdrawPieces &action)
{
    m_control.withdrawPieces(action);
}

void Worker::perform(FreeResults action)
{
    m_control.freeResults(std::move(action));
}

void Worker::perform(const CheckColdState &action)
{
    m_control.checkColdState(action);
}

void Worker::perform(const ProbeLoad &action)
{
    m_control.probeLoad(action);
}

void Worker::perform(const EndpointReplaced &action)
{
    m_control.endpointReplaced(action);
}

void Worker::perform(const EndpointNoticed &action)
{
    m_control.endpointNoticed(action);
}

void Worker::perform(const EndpointPaceReport &action)
{
    m_control.paceSampled(action);
}

void Worker::perform(const BrokenCallReport &action)
{
    const BrokenCall &broken = action.broken;
    const Duration sentAgo = broken.brokeAt - broken.sentAt;
    logger.record(LogLevel::Warning, "call-broken")
        .field("request", action.callerId.empty() ? toText(action.call.request) : action.callerId)
        .field("digest", toHex(broken.digest))
        .field("pool", broken.pool)
        .field("endpoint", broken.endpoint)
        .field("version", action.softwareVersion.value_or("unknown"))
        .field("attempt", action.call.attempt)
        .field("sentMsAgo", fmt::format("{:.1f}", toMilliseconds(sentAgo)))
        .field("events", action.events)
        .field("parts", hexList(broken.promptParts));
    m_control.callBroken(broken);
}

void Worker::perform(const StreamBegan &action)
{
    m_control.streamBegan(action);
}

void Worker::perform(const RetriesWanted &action)
{
    m_control.retriesWanted(action);
}

void Worker::perform(const RetriesLent &action)
{
    m_control.retriesLent(action);
}

void Worker::perform(const LocateStream &action)
{
    m_control.locateStream(action);
}

void Worker::perform(const RequestCleared &action)
{
    m_control.requestCleared(action);
}

void Worker::perform(const StreamChunk &action)
{
    const auto found = m_callers.find(action.id.sequence);
    assert(found != m_callers.end() && "nothing may be streamed after the final answer");
    Caller &caller = found->second;
    HttpReply part = caller.streamStarted ? makeStreamChunk(action) : makeFirstStreamChunk(action);
    caller.streamStarted = true;
    appendPart(caller, std::move(part));
}

void Worker::perform(ClaimRequest action)
{
    m_control.requestClaim(std::move(action));
}

void Worker::perform(ClaimFinish action)
{
    m_control.finishClaim(std::move(action));
}

} // namespace harelink
