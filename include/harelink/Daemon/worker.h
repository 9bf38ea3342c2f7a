//===- harelink/Daemon/worker.h - Worker thread -----------------*- C++ -*-===//
///
/// \file
/// Runs one request machine on its own thread and performs its actions.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_WORKER_H
#define HARELINK_DAEMON_WORKER_H

#include "harelink/Adapters/bufferbudget.h"
#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/eventloop.h"
#include "harelink/Adapters/snapshotcell.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Adapters/stalltimer.h"
#include "harelink/Config/settings.h"
#include "harelink/Daemon/callerapi.h"
#include "harelink/Daemon/callrelay.h"
#include "harelink/Daemon/metrics.h"
#include "harelink/Kernel/requestmachine.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace harelink {

/// The metrics and counters of a worker.
struct WorkerReport
{
    RequestMetrics metrics;
    RequestCounters counters;
    std::size_t inProgress = 0;
    std::size_t queued = 0;
    std::array<std::size_t, priorityClassCount> queuedByClass{}; ///< By priority class.
};

/// Runs a request machine: feeds it requests and results of calls, and performs its actions.
class Worker
{
public:
    /// Callbacks that forward actions to the control thread; called on the worker thread.
    struct ControlSink
    {
        std::function<void(ClaimRequest)> requestClaim;
        std::function<void(ClaimFinish)> finishClaim;
        std::function<void(OrderPieces)> orderPieces;
        std::function<void(WithdrawPieces)> withdrawPieces;
        std::function<void(FreeResults)> freeResults;
        std::function<void(EndpointReplaced)> endpointReplaced;
        std::function<void(CheckColdState)> checkColdState;
        std::function<void(const ProbeLoad &)> probeLoad;
        std::function<void(BrokenCall)> callBroken;
        std::function<void(RequestCleared)> requestCleared;
        std::function<void(const EndpointNoticed &)> endpointNoticed;
        std::function<void(RelayRequest)> relayCall;
        std::function<void(const CallId &)> cancelRelayedCall;
        std::function<void(const CallId &, std::uint64_t)> acknowledgeRelayedCall;
        std::function<void(const StreamBegan &)> streamBegan;
        std::function<void(const LocateStream &)> locateStream;
        std::function<void(const EndpointPaceReport &)> paceSampled;
        std::function<void(const RetriesWanted &)> retriesWanted;
        std::function<void(const RetriesLent &)> retriesLent;
    };

    /// All references must outlive the worker.
    Worker(const Settings &settings, const Clock &clock, const SnapshotCell &snapshot,
           const Dialect &dialect, std::uint64_t seed, const std::atomic<int> &daemons,
           BufferBudget &buffers, const DescriptorLimit &descriptors, HostLoad &load,
           ControlSink control);
    ~Worker();

    /// Starts the thread.
    void start();
    /// Submits a request of a caller; thread-safe. \p responder is called once for a complete
    /// reply, and once for each part of a streamed one.
    void submit(CallerRequest request, const Responder &responder);
    /// Handles the decision on a claim; thread-safe.
    void handleClaimDecision(ClaimDecision decision);
    /// Handles the outcome of a piece; thread-safe.
    void handlePieceEnded(PieceEnded event);
    /// Handles a part of the answer to a call that a peer makes; thread-safe.
    void handleRelayedPart(RelayedPart part);
    /// Handles the end of an endpoint instance; thread-safe.
    void handleEndpointEnded(const EndpointEnded &event);
    /// Handles that an endpoint ended while it ran such a request; thread-safe.
    void handleSuspectedRequest(const RequestSuspected &event);
    /// Handles the result of the lookup of a stream; thread-safe.
    void handleStreamLocated(const StreamLocated &event);
    /// Handles the request of a peer for a loan of retries; thread-safe.
    void handleLendRequest(const LendRetries &event);
    /// Handles a loan of retries that this worker requested; thread-safe.
    void handleBorrowedRetries(const RetriesBorrowed &event);
    /// Handles the end of \p connection of a caller; thread-safe.
    void handleConnectionClosed(std::uint64_t connection);
    /// Makes further replies ask callers to open another connection; thread-safe.
    void closeConnections();
    /// Refuses new requests; thread-safe.
    void drain();
    /// Answers all requests in progress immediately; thread-safe.
    void abandonAll();
    /// Calls \p callback on the worker thread with a report.
    void collectReport(std::function<void(WorkerReport)> callback);
    /// Stops the thread.
    void stop();

    /// A caller that reads nothing for this time, although data waits for it, is disconnected.
    static constexpr std::chrono::seconds callerStallLimit{5};

private:
    /// A caller that waits for an answer.
    struct Caller
    {
        Responder responder;
        bool acceptsStream = false;
        bool streamStarted = false;
        bool proxied = false;
        std::uint64_t connection = 0;
        RequestId id;
        std::shared_ptr<ReplyBacklog> backlog;
        std::vector<std::shared_ptr<const IntakeTicket>> memory; ///< Of the request.
        /// What a part of the endpoint's answer gave. Sent as one part of the reply, since a part
        /// takes more memory than the shortest events.
        std::optional<HttpReply> unsent;
        std::size_t forwardedBytes = 0; ///< Of the events of a proxied stream.
        /// Gets nothing more, while its request continues for a retry of the caller.
        bool isDisconnected = false;
    };

    using StageResult = std::variant<StageAnswered, StageFailed>;
    /// A call that a peer makes.
    struct RelayedCall
    {
        SendStage stage;
        std::function<StageResult(HttpResult)> decode;
        HttpClient::BodyCallback onPart; ///< Empty if the answer is needed as a whole.
        HttpResult result;               ///< What has arrived; without the body if it is passed on.
        std::unique_ptr<BufferedBytes> buffered; ///< Counts the body in the result.
        std::uint64_t receivedBytes = 0;         ///< Of the body.
        std::uint64_t acknowledgedBytes = 0;
        TimePoint acknowledgedAt;
    };

    template <typename Event>
    void dispatch(Event event);
    void rejectToken(const CallerRequest &request, const Responder &responder);
    void accept(CallerRequest request, const Responder &responder);
    std::optional<TimePoint> runIteration();
    void performActions();
    void logMinimums();
    void perform(SendStage action);
    void perform(const CancelStage &action);
    void perform(const StreamChunk &action);
    void perform(const AnswerCaller &action);
    void perform(ClaimRequest action);
    void perform(ClaimFinish action);
    void perform(OrderPieces action);
    void perform(const WithdrawPieces &action);
    void perform(FreeResults action);
    void perform(const StreamEvents &action);
    void perform(const EndpointNoticed &action);
    void perform(const EndpointPaceReport &action);
    void perform(const EndpointReplaced &action);
    void perform(const CheckColdState &action);
    void perform(const ProbeLoad &action);
    void perform(const BrokenCallReport &action);
    void perform(const RequestCleared &action);
    void perform(const StreamBegan &action);
    void perform(const LocateStream &action);
    void perform(const RetriesWanted &action);
    void perform(const RetriesLent &action);
    static void logResumedStream(const SendStage &action);
    void forwardProxied(const SendStage &action);
    void sendCall(const SendStage &action, const HttpCall &http,
                  const std::function<StageResult(HttpResult)> &decode,
                  HttpClient::BodyCallback onPart);
    void receiveRelayedPart(const RelayedPart &part);
    void endPart(const SendStage &stage, std::optional<AnswerPart> exceeded);
    void endExceededCall(const SendStage &stage, AnswerPart part);
    void applyBackPressure(const CallId &call);
    void resumeCall(const CallId &call);
    void acknowledge(const CallId &call);
    void repeatAcknowledgements(TimePoint now);
    void appendPart(Caller &caller, HttpReply part);
    static void sendParts(Caller &caller);
    static void respond(const Caller &caller, HttpReply reply);
    void disconnectSlowCaller(std::uint64_t sequence);
    void disconnectStalledCallers();
    void excludeSuspension(TimePoint now);
    void answerProxied(const Caller &caller, const AnswerCaller &action);
    void removeCaller(std::uint64_t sequence);
    void logAnswer(const Caller &caller, const AnswerCaller &action) const;
    void stream(const SendStage &action, const HttpCall &http,
                const std::shared_ptr<StageStream> &stream);
    void dispatchResult(StageResult event);
    const StageProtocol &protocol(const std::string &name);

    const Settings &m_settings;
    const Clock &m_clock;
    const SnapshotCell &m_snapshot;
    const Dialect &m_dialect;
    BufferBudget &m_buffers;
    const AnswerBounds m_bounds;
    ControlSink m_control;
    bool m_closeConnections = false;
    TimePoint m_nextStallCheck{};
    SuspensionMeter m_suspensions{std::chrono::seconds(1)}; ///< Of the stall checks.
    EventLoop m_loop;
    RequestMachine m_machine;
    RequestMetrics m_metrics;
    std::uint64_t m_loggedMinimums = 0; ///< Dispatches by a guaranteed minimum that were logged.
    TimePoint m_minimumsLoggedAt = TimePoint::min();
    absl::flat_hash_map<std::uint64_t, Caller> m_callers; // By request sequence.
    absl::flat_hash_map<std::uint64_t, std::vector<RequestId>> m_requestsByConnection;
    std::map<CallId, std::uint64_t> m_calls; // Values are call ids of HttpClient.
    std::map<CallId, RelayedCall> m_relayedCalls;
    std::map<std::string, std::unique_ptr<StageProtocol>> m_protocols;
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_DAEMON_WORKER_H
