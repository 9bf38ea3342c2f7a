//===- harelink/Daemon/worker.h - A worker thread ---------------*- C++ -*-===//
///
/// \file
/// Runs one request machine on a thread of its own and carries out its actions.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_WORKER_H
#define HARELINK_DAEMON_WORKER_H

#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/eventloop.h"
#include "harelink/Adapters/snapshotcell.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Config/settings.h"
#include "harelink/Daemon/callerapi.h"
#include "harelink/Daemon/metrics.h"
#include "harelink/Kernel/requestmachine.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>

namespace harelink {

/// What a worker tells when asked.
struct WorkerReport
{
    RequestMetrics metrics;
    RequestCounters counters;
    std::size_t inProgress = 0;
    std::size_t queued = 0;
};

/// One worker.
class Worker
{
public:
    /// Where what concerns the control goes; called on the worker's thread.
    struct ControlSink
    {
        std::function<void(ClaimRequest)> requestClaim;
        std::function<void(ClaimFinish)> finishClaim;
        std::function<void(OrderPieces)> orderPieces;
        std::function<void(WithdrawPieces)> withdrawPieces;
        std::function<void(FreeResults)> freeResults;
        std::function<void(EndpointReplaced)> endpointReplaced;
        std::function<void(CheckColdState)> checkColdState;
        std::function<void(BrokenCall)> callBroken;
        std::function<void(RequestCleared)> requestCleared;
        std::function<void(const EndpointNoticed &)> endpointNoticed;
    };

    /// All references outlive the worker.
    Worker(const Settings &settings, const Clock &clock, const SnapshotCell &snapshot,
           const Dialect &dialect, std::uint64_t seed, const std::atomic<int> &daemons,
           ControlSink control);
    ~Worker();

    /// Starts the thread.
    void start();
    /// Takes in a caller's request; from any thread. \p responder is called once.
    void submit(CallerRequest request, const Responder &responder);
    /// Takes in the decision on a claim; from any thread.
    void handleClaimDecision(ClaimDecision decision);
    /// Takes in what became of a piece; from any thread.
    void handlePieceEnded(PieceEnded event);
    /// Takes in that an endpoint's life is over; from any thread.
    void handleEndpointEnded(const std::string &endpoint);
    /// Takes in that an endpoint ended under such a request; from any thread.
    void handleSuspectedRequest(const RequestSuspected &event);
    /// The callers' connection \p connection ended; from any thread.
    void handleConnectionClosed(std::uint64_t connection);
    /// From now on replies ask callers to open another connection; from any thread.
    void closeConnections();
    /// Refuses new requests from now on; from any thread.
    void drain();
    /// Answers all that is in progress at once; from any thread.
    void abandonAll();
    /// Calls \p take with a report, on the worker's thread.
    void collectReport(std::function<void(WorkerReport)> take);
    /// Ends the thread.
    void stop();

private:
    /// Who waits for an answer.
    struct Caller
    {
        Responder responder;
        bool wantsStream = false;
        bool streamBegan = false;
        bool proxied = false;
        std::uint64_t connection = 0;
    };

    template <typename Event>
    void feed(Event event);
    void refuseToken(const CallerRequest &request, const Responder &responder);
    void accept(CallerRequest request, const Responder &responder);
    std::optional<TimePoint> turn();
    void carryOut();
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
    void perform(const EndpointReplaced &action);
    void perform(const CheckColdState &action);
    void perform(const BrokenCallReport &action);
    void perform(const RequestCleared &action);
    void carry(const SendStage &action);
    void answerProxied(const Caller &caller, const AnswerCaller &action);
    void forget(std::uint64_t sequence);
    void logAnswer(const AnswerCaller &action) const;
    void stream(const CallId &call, const HttpCall &http,
                const std::shared_ptr<StageStream> &stream);
    void feedAny(std::variant<StageAnswered, StageFailed> event);
    const StageProtocol &protocol(const std::string &name);

    const Settings &m_settings;
    const Clock &m_clock;
    const SnapshotCell &m_snapshot;
    const Dialect &m_dialect;
    ControlSink m_control;
    bool m_closesConnections = false;
    EventLoop m_loop;
    RequestMachine m_machine;
    RequestMetrics m_metrics;
    absl::flat_hash_map<std::uint64_t, Caller> m_callers; // By request sequence.
    absl::flat_hash_map<std::uint64_t, std::vector<RequestId>> m_byConnection;
    std::map<CallId, std::uint64_t> m_calls; // To HttpClient's ids.
    std::map<std::string, std::unique_ptr<StageProtocol>> m_protocols;
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_DAEMON_WORKER_H
