//===- daemon.cpp - Daemon ------------------------------------------------===//

#include "harelink/Daemon/daemon.h"

#include "harelink/Kernel/registry.h"
#include "harelink/Support/error.h"
#include "harelink/Support/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <future>
#include <mutex>
#include <numeric>
#include <random>

namespace harelink {
namespace {

constexpr Logger logger("daemon");
constexpr int statusAccepted = 202;
constexpr int statusNotFound = 404;
constexpr int statusBadRequest = 400;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusUnavailable = 503;
/// Upper limit of request bodies, regardless of the limits of pipelines: a daemon runs with a few
/// megabytes of memory.
constexpr std::size_t maxCallerBodyBytes = 8'000'000;

/// Copies of the body of a request to harelink's own API: of the request, its call, the encoded
/// call and its transfer.
constexpr std::size_t ownBodyCopies = 4;
/// Upper limit of bodies there. Those over the limit of a pipeline, which is at most
/// maxObjectBytes, get a reply that says so.
constexpr std::size_t maxOwnBodyBytes = 2 * maxObjectBytes;

/// Memory of the requests of operators and of the balancer, apart from that of callers: a host
/// whose callers use up theirs is still ready.
constexpr std::size_t operatorRequestBytes = 4'194'304;

Incarnation generateIncarnation()
{
    std::random_device device;
    return (static_cast<Incarnation>(device()) << 32) | device();
}

int httpStatusForBadRequest(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kNotFound:
        return statusNotFound;
    case absl::StatusCode::kUnimplemented:
        return statusMethodNotAllowed;
    default:
        return statusBadRequest;
    }
}

/// Memory of a piece of a request in its graph, its order and its call, and as an input of other
/// pieces.
constexpr std::size_t pieceOverheadBytes = 1'536;
/// Copies of the texts that all pieces of a stage take from their request.
constexpr std::size_t pieceTextCopies = 4;

/// Returns the memory of the pieces of \p request.
std::size_t pieceMemory(const ProxiedRequest &request)
{
    const std::size_t pieces =
        std::accumulate(request.pieceCounts.begin(), request.pieceCounts.end(), std::size_t{0});
    const auto stages = static_cast<std::size_t>(
        std::count_if(request.pieceCounts.begin(), request.pieceCounts.end(),
                      [](std::uint32_t count) { return count > 0; }));
    const std::size_t text = request.pieceKey.size() + request.callerId.size();
    return pieces * pieceOverheadBytes + stages * pieceTextCopies * text;
}

/// Leaves out \p time, for which the server held \p request back, in the time that its caller
/// allows for it.
void excludeTime(RequestArrived &request, Duration time)
{
    if (request.timeAllowed) {
        request.timeAllowed = std::max(Duration::zero(), *request.timeAllowed - time);
    }
}

HttpReply makePlainReply(int status, std::string body)
{
    HttpReply reply;
    reply.status = status;
    reply.contentType = "text/plain; charset=utf-8";
    reply.body = std::move(body);
    return reply;
}

/// Interval in which the load of the host is sampled.
constexpr std::chrono::milliseconds loadSampleInterval{100};
static_assert(loadSampleInterval == IntakeBudget::tickInterval, "both are done by one timer");
/// Minimum time between two rounds of dropped connections. Most are closed by then.
constexpr std::chrono::milliseconds freeDescriptorsInterval{500};
/// The load is logged from this pressure on, at most once per interval.
constexpr double minLoggedPressure = 0.5;
constexpr std::chrono::seconds loadLogInterval{1};

/// Returns the bandwidth of the link in bytes per second, if stated.
std::optional<double> linkBytesOf(const Settings &settings)
{
    constexpr double bytesPerMegabit = 1e6 / 8;
    return settings.linkMbps ? std::optional<double>(*settings.linkMbps * bytesPerMegabit)
                             : std::nullopt;
}

/// Returns the part of the link that is in use; 0 if its bandwidth is not stated.
double linkUseOf(const HostLoadSample &load, const Settings &settings)
{
    const std::optional<double> link = linkBytesOf(settings);
    return link ? load.linkUse(*link) : 0;
}

/// What logs and metrics state of a gate.
struct GateState
{
    bool isCrowded = false;
    bool isReady = true;
    double pressure = 0;
    double readsPerSecond = 0;
    std::optional<double> limit;
    std::uint64_t turnedAway = 0;
};

GateState stateOf(const ConnectionGate &gate)
{
    return {gate.isCrowded(),      gate.isReady(), gate.pressure(),
            gate.readsPerSecond(), gate.limit(),   gate.turnedAway()};
}

/// Renders the load of this host.
void renderLoad(const HostLoadMeter &meter, const HostLoadSample &average, double linkUse,
                const GateState &gate, std::string &out)
{
    renderValue("harelink_host_crowded", "gauge", gate.isCrowded ? 1 : 0, out);
    renderValue("harelink_host_ready", "gauge", gate.isReady ? 1 : 0, out);
    renderValue("harelink_host_pressure", "gauge", gate.pressure, out);
    renderValue("harelink_connections_turned_away_total", "counter",
                static_cast<double>(gate.turnedAway), out);
    renderValue("harelink_received_bytes_total", "counter",
                static_cast<double>(meter.receivedBytes()), out);
    renderValue("harelink_sent_bytes_total", "counter", static_cast<double>(meter.sentBytes()),
                out);
    renderValue("harelink_link_use", "gauge", linkUse, out);
    out += "# TYPE harelink_loop_delay_seconds gauge\n";
    for (std::size_t i = 0; i < hostLoopCount; ++i) {
        out += fmt::format("harelink_loop_delay_seconds{{loop=\"{}\"}} {:.6f}\n",
                           toText(static_cast<HostLoop>(i)),
                           std::chrono::duration<double>(average.delays[i]).count());
    }
}

/// Merges the reports of all threads and replies after the last one.
class MetricsCollector
{
public:
    MetricsCollector(std::size_t parts, const BufferBudget &buffers, const RequestIntake &intake,
                     Responder responder)
        : m_pendingReports(parts)
        , m_buffers(buffers)
        , m_intake(intake)
        , m_responder(std::move(responder))
    {
    }

    void add(const WorkerReport &report)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_metrics.merge(report.metrics);
        m_sends += report.counters.sends;
        m_retries += report.counters.retries;
        m_retriesOverBudget += report.counters.retriesOverBudget;
        m_stale += report.counters.staleAnswers;
        m_mismatched += report.counters.mismatchedAnswers;
        m_doubtful += report.counters.doubtfulAnswers;
        m_broken += report.counters.brokenCalls;
        m_resumed += report.counters.resumedStreams;
        m_inProgress += report.inProgress;
        m_queued += report.queued;
        m_dispatchesByMinimum += report.counters.dispatchesByMinimum;
        m_lateAdmissionsWithheld += report.counters.lateAdmissionsWithheld;
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            m_queuedByClass[i] += report.queuedByClass[i];
        }
        completeReport();
    }
    void add(const std::string &text)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_text += text;
        completeReport();
    }

private:
    void completeReport()
    {
        if (--m_pendingReports > 0) {
            return;
        }
        m_metrics.render(m_text);
        m_buffers.render(m_text);
        m_intake.render(m_text);
        const auto value = [this](const char *name, const char *type, std::uint64_t number) {
            renderValue(name, type, static_cast<double>(number), m_text);
        };
        value("harelink_stage_sends_total", "counter", m_sends);
        value("harelink_stage_retries_total", "counter", m_retries);
        value("harelink_retries_over_budget_total", "counter", m_retriesOverBudget);
        value("harelink_stale_answers_total", "counter", m_stale);
        value("harelink_mismatched_answers_total", "counter", m_mismatched);
        value("harelink_doubtful_answers_total", "counter", m_doubtful);
        value("harelink_broken_calls_total", "counter", m_broken);
        value("harelink_resumed_streams_total", "counter", m_resumed);
        value("harelink_requests_in_progress", "gauge", m_inProgress);
        value("harelink_requests_queued", "gauge", m_queued);
        renderByClass("harelink_requests_queued_by_class", m_queuedByClass, m_text);
        value("harelink_dispatches_by_minimum_total", "counter", m_dispatchesByMinimum);
        value("harelink_late_admissions_withheld_total", "counter", m_lateAdmissionsWithheld);
        m_responder(makePlainReply(200, std::move(m_text)));
    }

    std::mutex m_mutex;
    std::size_t m_pendingReports;
    const BufferBudget &m_buffers;
    const RequestIntake &m_intake;
    Responder m_responder;
    RequestMetrics m_metrics;
    std::string m_text;
    std::uint64_t m_sends = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_retriesOverBudget = 0;
    std::uint64_t m_stale = 0;
    std::uint64_t m_mismatched = 0;
    std::uint64_t m_doubtful = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_resumed = 0;
    std::uint64_t m_inProgress = 0;
    std::uint64_t m_queued = 0;
    std::array<std::size_t, priorityClassCount> m_queuedByClass{};
    std::uint64_t m_dispatchesByMinimum = 0;
    std::uint64_t m_lateAdmissionsWithheld = 0;
};

} // namespace

Daemon::Daemon(Settings settings, std::function<void()> requestStop)
    : m_settings(std::move(settings))
    , m_requestStop(std::move(requestStop))
    , m_buffers(m_settings.bufferedBytes)
    , m_intake(m_settings.requestBytes)
    , m_operatorIntake(operatorRequestBytes)
    , m_descriptors(m_settings.descriptors)
    , m_gate(linkBytesOf(m_settings))
    , m_incarnation(generateIncarnation())
    , m_dialect(Registry<Dialect>::instance().make(m_settings.dialect))
{
    assert(m_dialect != nullptr
           && "the dialect must be registered; the settings check ensures this");
    Control::WorkerSink workers;
    workers.claimDecided = [this](ClaimDecision decision) {
        const std::uint64_t sequence = decision.claimant.sequence;
        workerFor(sequence).handleClaimDecision(std::move(decision));
    };
    workers.pieceEnded = [this](PieceEnded event) {
        const std::uint64_t sequence = event.outcome.id.request.sequence;
        workerFor(sequence).handlePieceEnded(std::move(event));
    };
    workers.endpointEnded = [this](const EndpointEnded &event) {
        for (const auto &worker : m_workers) {
            worker->handleEndpointEnded(event);
        }
    };
    workers.requestSuspected = [this](const RequestSuspected &event) {
        for (const auto &worker : m_workers) {
            worker->handleSuspectedRequest(event);
        }
    };
    workers.relayedPart = [this](RelayedPart part) {
        const std::uint64_t sequence = part.part.call.request.sequence;
        workerFor(sequence).handleRelayedPart(std::move(part));
    };
    workers.streamLocated = [this](const StreamLocated &event) {
        workerFor(event.request.sequence).handleStreamLocated(event);
    };
    workers.lendRequested = [this, next = std::size_t{0}](const LendRetries &event) mutable {
        m_workers[next++ % m_workers.size()]->handleLendRequest(event);
    };
    workers.retriesBorrowed = [this](const RetriesBorrowed &event) {
        m_workers[static_cast<std::size_t>(event.worker)]->handleBorrowedRetries(event);
    };
    m_control = std::make_unique<Control>(m_settings, m_clock, m_snapshot, *m_dialect,
                                          m_incarnation, m_liveDaemons, m_buffers, m_intake,
                                          m_descriptors, m_load, std::move(workers));
    Worker::ControlSink control;
    control.requestClaim = [this](const ClaimRequest &request) {
        m_control->handleClaimRequest(request);
    };
    control.finishClaim = [this](const ClaimFinish &finish) {
        m_control->handleClaimFinish(finish);
    };
    control.orderPieces = [this](const OrderPieces &order) { m_control->submitPieces(order); };
    control.withdrawPieces = [this](const WithdrawPieces &pieces) {
        m_control->withdrawPieces(pieces);
    };
    control.freeResults = [this](const FreeResults &results) { m_control->freeResults(results); };
    control.endpointReplaced = [this](const EndpointReplaced &endpoint) {
        m_control->handleEndpointReplaced(endpoint);
    };
    control.checkColdState = [this](const CheckColdState &check) {
        m_control->checkColdState(check);
    };
    control.probeLoad = [this](const ProbeLoad &probe) { m_control->probeLoad(probe); };
    control.callBroken = [this](const BrokenCall &call) { m_control->handleBrokenCall(call); };
    control.endpointNoticed = [this](const EndpointNoticed &event) {
        m_control->handleEndpointNoticed(event);
    };
    control.paceSampled = [this](const EndpointPaceReport &sample) {
        m_control->handlePaceSample(sample);
    };
    control.requestCleared = [this](const RequestCleared &request) {
        m_control->handleRequestCleared(request);
    };
    control.relayCall = [this](const RelayRequest &request) { m_control->relayCall(request); };
    control.cancelRelayedCall = [this](const CallId &call) { m_control->cancelRelayedCall(call); };
    control.acknowledgeRelayedCall = [this](const CallId &call, std::uint64_t bytes) {
        m_control->acknowledgeRelayedCall(call, bytes);
    };
    control.streamBegan = [this](const StreamBegan &event) { m_control->handleStream(event); };
    control.locateStream = [this](const LocateStream &event) { m_control->handleStream(event); };
    control.retriesLent = [this](const RetriesLent &event) { m_control->handleLoan(event); };
    for (int i = 0; i < m_settings.workers; ++i) {
        control.retriesWanted = [this, i](const RetriesWanted &event) {
            m_control->handleLoan(RetriesWanted{event.pool, i});
        };
        m_workers.push_back(std::make_unique<Worker>(m_settings, m_clock, m_snapshot, *m_dialect,
                                                     m_incarnation + static_cast<std::uint64_t>(i),
                                                     m_liveDaemons, m_buffers, m_descriptors,
                                                     m_load, control));
    }
}

Daemon::~Daemon()
{
    stop();
}

Worker &Daemon::workerFor(std::uint64_t sequence)
{
    return *m_workers[sequence % m_workers.size()];
}

absl::Status Daemon::start()
{
    for (const auto &worker : m_workers) {
        worker->start();
    }
    absl::Status control = m_control->start();
    if (!control.ok()) {
        return control;
    }
    HttpServerOptions options;
    options.address = m_settings.operatorAddress;
    options.maxHeadBytes = m_settings.requestHeadBytes;
    options.intake = &m_operatorIntake;
    // Status checks and operators use what callers leave.
    options.mayAccept = [this] {
        if (m_descriptors.forCallers() != DescriptorLimit::Room::Free) {
            m_intake.dropIdleConnections(1);
        }
        return true;
    };
    absl::StatusOr<std::unique_ptr<HttpServer>> operators =
        HttpServer::start(options, [this](const HttpRequest &request, const Responder &responder) {
            handleOperator(request, responder);
        });
    if (!operators.ok()) {
        return operators.status();
    }
    m_operators = *std::move(operators);
    options.address = m_settings.callerAddress;
    options.threads = m_settings.listenerThreads;
    options.idleLimit = m_settings.idleLimit;
    const bool isProxied = m_dialect->proxied() != nullptr;
    options.intake = &m_intake;
    options.maxBodyBytes = isProxied ? maxCallerBodyBytes : maxOwnBodyBytes;
    options.bodyCopies = isProxied ? 1 : ownBodyCopies;
    // Later than the workers' limit, so that a request ends with its reason before its connection.
    options.writeLimit = Worker::callerStallLimit + std::chrono::seconds(1);
    options.load = &m_load.meter;
    options.makeRefusal = [this](const HttpRequest &request) { return makeRefusal(request); };
    options.mayAccept = [this] { return mayAccept(); };
    options.onFurtherRequest = [this] {
        const std::lock_guard<std::mutex> guard(m_gateMutex);
        m_gate.recordRequest(m_clock.now());
    };
    options.closesConnections = [this] {
        const std::lock_guard<std::mutex> guard(m_gateMutex);
        return m_gate.closesConnections(m_clock.now());
    };
    options.onClosed = [this](std::uint64_t connection) {
        for (const auto &worker : m_workers) {
            worker->handleConnectionClosed(connection);
        }
    };
    absl::StatusOr<std::unique_ptr<HttpServer>> callers =
        HttpServer::start(options, [this](HttpRequest request, const Responder &responder) {
            handleCaller(std::move(request), responder);
        });
    if (!callers.ok()) {
        return callers.status();
    }
    m_callers = *std::move(callers);
    scheduleLoadSample();
    logger.info("Host {} in data centre {} listens for callers on port {}, for operators on {}, "
                "for peers on {}.",
                m_settings.host, m_settings.dataCentre, m_callers->port(), m_operators->port(),
                m_control->peerPort());
    return absl::OkStatus();
}

/// Samples the load of this host repeatedly, on the listener's threads: how late the timer fires is
/// the delay of that loop. Advances the time of the budget for requests and frees descriptors, too.
void Daemon::scheduleLoadSample()
{
    const TimePoint due = m_clock.now() + loadSampleInterval;
    m_callers->runAfter(loadSampleInterval, [this, due] {
        const TimePoint now = m_clock.now();
        m_load.meter.recordDelay(HostLoop::Listener, now - due);
        m_intake.tick(now);
        m_operatorIntake.tick(now);
        freeDescriptors(now);
        if (const std::optional<HostLoadSample> sample = m_load.meter.sample(now)) {
            recordLoad(*sample, now);
        }
        scheduleLoadSample();
    });
}

void Daemon::recordLoad(const HostLoadSample &sample, TimePoint now)
{
    const PeerRoom room{m_load.peers.load(std::memory_order_relaxed),
                        m_load.servingPeers.load(std::memory_order_relaxed),
                        m_load.crowdedPeers.load(std::memory_order_relaxed),
                        m_load.peerReadsPerSecond.load(std::memory_order_relaxed)};
    HostLoadSample average;
    GateState gate;
    {
        const std::lock_guard<std::mutex> guard(m_gateMutex);
        m_average.add(sample);
        average = m_average.value();
        m_gate.update(average, room, now);
        gate = stateOf(m_gate);
    }
    m_load.isReady.store(gate.isReady, std::memory_order_relaxed);
    m_load.isOverloaded.store(gate.pressure >= 1, std::memory_order_relaxed);
    m_load.readsPerSecond.store(gate.readsPerSecond, std::memory_order_relaxed);
    const bool wasCrowded = m_load.isCrowded.exchange(gate.isCrowded, std::memory_order_relaxed);
    const bool isLoaded = gate.isCrowded || gate.pressure >= minLoggedPressure;
    const bool isDue = isLoaded && now - m_loadLoggedAt >= loadLogInterval;
    if (!isDue && wasCrowded == gate.isCrowded) {
        return;
    }
    m_loadLoggedAt = now;
    const auto delayOf = [&average](HostLoop loop) {
        return fmt::format("{:.1f}",
                           toMilliseconds(average.delays[static_cast<std::size_t>(loop)]));
    };
    logger.record(LogLevel::Info, "host-loaded")
        .field("pressure", fmt::format("{:.2f}", gate.pressure))
        .field("linkUse", fmt::format("{:.2f}", linkUseOf(average, m_settings)))
        .field("receivedPerS", fmt::format("{:.0f}", average.receivedPerSecond))
        .field("sentPerS", fmt::format("{:.0f}", average.sentPerSecond))
        .field("listenerDelayMs", delayOf(HostLoop::Listener))
        .field("workerDelayMs", delayOf(HostLoop::Worker))
        .field("controlDelayMs", delayOf(HostLoop::Control))
        .field("connections", average.connections)
        .field("readsPerS", fmt::format("{:.1f}", gate.readsPerSecond))
        .field("limitPerS", gate.limit ? fmt::format("{:.1f}", *gate.limit) : "none")
        .field("turnedAway", gate.turnedAway)
        .field("peers", room.peers)
        .field("servingPeers", room.serving)
        .field("crowdedPeers", room.crowded)
        .field("peerReadsPerS", fmt::format("{:.1f}", room.readsPerSecond))
        .field("relayMultiplier", m_load.relayMultiplier.load(std::memory_order_relaxed))
        .field("ready", gate.isReady);
}

void Daemon::announceStop()
{
    m_draining = true;
    // Peers take over the pools that this daemon batches for while it still serves requests.
    m_control->leave();
    for (const auto &worker : m_workers) {
        worker->closeConnections();
    }
}

/// Drops idle connections while few descriptors are left. mayAccept() alone drops one for each new
/// connection, and finds none while all unfinished requests still make progress.
void Daemon::freeDescriptors(TimePoint now)
{
    if (now - m_descriptorsFreedAt < freeDescriptorsInterval) {
        return;
    }
    if (const std::size_t excess = m_descriptors.excess()) {
        m_descriptorsFreedAt = now;
        m_intake.dropIdleConnections(excess);
    }
}

bool Daemon::mayAccept()
{
    if (m_closesNewConnections) {
        return false;
    }
    const DescriptorLimit::Room room = m_descriptors.forCallers();
    if (room != DescriptorLimit::Room::Free) {
        m_intake.dropIdleConnections(1);
    }
    if (room == DescriptorLimit::Room::Exhausted) {
        return false;
    }
    const std::lock_guard<std::mutex> guard(m_gateMutex);
    return m_draining || m_gate.admit(m_clock.now());
}

HttpReply Daemon::makeRefusal(const HttpRequest &request) const
{
    AnswerCaller answer;
    answer.outcome = Outcome::NotRun;
    answer.reason = Reason::TooManyRequests;
    answer.error = makeError(absl::StatusCode::kResourceExhausted, "reading the request", "",
                             "requests in progress hold as much memory as allowed");
    // By then, what has stalled is dropped.
    answer.retryAfter = IntakeBudget::stallLimit;
    const ProxiedDialect *proxied = m_dialect->proxied();
    answer.callerId = proxied == nullptr ? std::string() : proxied->callerIdOf(request);
    logger.record(LogLevel::Info, "request-refused-for-memory")
        .field("request", answer.callerId)
        .field("target", request.target);
    return proxied == nullptr ? makeCallerReply(answer) : proxied->makeReply(answer);
}

void Daemon::handleProxied(HttpRequest request, const Responder &responder)
{
    const std::uint64_t connection = request.connection;
    // Not copied with the rest, as it may be large.
    std::string body = std::exchange(request.body, {});
    HttpRequest whole = request;
    whole.body = std::move(body);
    absl::StatusOr<RequestArrived> parsed = m_dialect->proxied()->read(std::move(whole));
    if (!parsed.ok()) {
        logger.record(LogLevel::Info, "request-unreadable")
            .field("target", request.target)
            .field("detail", errorMessage(parsed.status()));
        responder(m_dialect->proxied()->makeBadRequest(request, parsed.status()));
        return;
    }
    std::vector<std::shared_ptr<const IntakeTicket>> memory{std::move(request.memory)};
    if (const std::size_t bytes = pieceMemory(*parsed->proxied)) {
        memory.push_back(m_intake.take(bytes));
        if (memory.back() == nullptr) {
            responder(makeRefusal(request));
            return;
        }
    }
    const std::uint64_t sequence = m_nextSequence++;
    parsed->id = {m_incarnation, sequence};
    excludeTime(*parsed, request.heldBack);
    workerFor(sequence).submit({*std::move(parsed), {}, connection, std::move(memory)}, responder);
}

void Daemon::handleCaller(HttpRequest request, const Responder &responder)
{
    if (m_dialect->proxied() != nullptr) {
        handleProxied(std::move(request), responder);
        return;
    }
    const std::uint64_t connection = request.connection;
    const Duration heldBack = request.heldBack;
    std::shared_ptr<const IntakeTicket> memory = std::move(request.memory);
    absl::StatusOr<CallerRequest> parsed = readCallerRequest(std::move(request));
    if (!parsed.ok()) {
        HttpReply reply =
            makeProblem(httpStatusForBadRequest(parsed.status()), "bad-request", parsed.status());
        reply.headers.emplace_back("Harelink-Outcome", toText(Outcome::NotRun));
        responder(std::move(reply));
        return;
    }
    const std::uint64_t sequence = m_nextSequence++;
    parsed->arrival.id = {m_incarnation, sequence};
    excludeTime(parsed->arrival, heldBack);
    parsed->connection = connection;
    parsed->memory.push_back(std::move(memory));
    workerFor(sequence).submit(*std::move(parsed), responder);
}

void Daemon::handleOperator(const HttpRequest &request, const Responder &responder)
{
    if (request.path == "/healthz") {
        responder(makePlainReply(200, "ok\n"));
        return;
    }
    if (request.path == m_settings.readyPath) {
        const bool ready =
            m_control->ready() && !m_draining && m_load.isReady.load(std::memory_order_relaxed);
        responder(
            makePlainReply(ready ? 200 : statusUnavailable, ready ? "ready\n" : "not ready\n"));
        return;
    }
    if (request.path == "/v1/status") {
        m_control->collectStatus([responder](std::string status) {
            HttpReply reply;
            reply.body = std::move(status);
            responder(std::move(reply));
        });
        return;
    }
    if (request.path == "/v1/drain") {
        handleDrain(request, responder);
        return;
    }
    if (request.path == "/metrics") {
        replyMetrics(responder);
        return;
    }
    responder(makePlainReply(statusNotFound, "no such path\n"));
}

void Daemon::handleDrain(const HttpRequest &request, const Responder &responder)
{
    if (request.method != "POST") {
        responder(makePlainReply(statusMethodNotAllowed, "only post is known here\n"));
        return;
    }
    responder(makePlainReply(statusAccepted, "stopping\n"));
    // Repeated requests start only one planned stop.
    if (!m_stopRequested.exchange(true)) {
        m_requestStop();
    }
}

void Daemon::replyMetrics(const Responder &responder)
{
    auto collector =
        std::make_shared<MetricsCollector>(m_workers.size() + 1, m_buffers, m_intake, responder);
    for (const auto &worker : m_workers) {
        worker->collectReport([collector](const WorkerReport &report) { collector->add(report); });
    }
    std::string load;
    {
        const std::lock_guard<std::mutex> guard(m_gateMutex);
        renderLoad(m_load.meter, m_average.value(), linkUseOf(m_average.value(), m_settings),
                   stateOf(m_gate), load);
        renderValue("harelink_relay_heartbeat_multiplier", "gauge",
                    m_load.relayMultiplier.load(std::memory_order_relaxed), load);
    }
    m_control->collectMetrics([collector, load = std::move(load)](const std::string &text) {
        collector->add(load + text);
    });
}

void Daemon::drain()
{
    m_draining = true;
    m_control->leave();
    for (const auto &worker : m_workers) {
        worker->drain();
    }
}

bool Daemon::idle()
{
    std::size_t inProgress = 0;
    for (const auto &worker : m_workers) {
        std::promise<std::size_t> answer;
        worker->collectReport(
            [&answer](const WorkerReport &report) { answer.set_value(report.inProgress); });
        inProgress += answer.get_future().get();
    }
    if (inProgress > 0) {
        return false;
    }
    // Queried last, so that it follows the claim ends that the workers have posted.
    std::promise<bool> settled;
    m_control->queryIdle([&settled](bool idle) { settled.set_value(idle); });
    return settled.get_future().get();
}

void Daemon::closeNewConnections()
{
    m_closesNewConnections = true;
}

UndeliveredReplies Daemon::undelivered() const
{
    return m_callers->undelivered();
}

void Daemon::abandonAll()
{
    for (const auto &worker : m_workers) {
        worker->abandonAll();
    }
}

void Daemon::stop()
{
    if (m_callers != nullptr) {
        m_callers->stop();
    }
    if (m_operators != nullptr) {
        m_operators->stop();
    }
    for (const auto &worker : m_workers) {
        worker->stop();
    }
    m_control->stop();
}

} // namespace harelink
