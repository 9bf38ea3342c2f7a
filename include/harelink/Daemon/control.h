//===- harelink/Daemon/control.h - Control thread ---------------*- C++ -*-===//
///
/// \file
/// Runs the control machine of a daemon (configuration, membership, claims) on
/// one thread and performs its platform calls and peer messages.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_CONTROL_H
#define HARELINK_DAEMON_CONTROL_H

#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/eventloop.h"
#include "harelink/Adapters/peerlink.h"
#include "harelink/Adapters/snapshotcell.h"
#include "harelink/Config/settings.h"
#include "harelink/Daemon/callrelay.h"
#include "harelink/Kernel/controlmachine.h"
#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/piecerouter.h"

#include <atomic>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace harelink {

/// Counters of the self-reported state in answers of endpoints.
struct EndpointNoticeCounters
{
    std::uint64_t limitChanges = 0;
    std::uint64_t pauses = 0;
    std::uint64_t departures = 0;
    std::uint64_t unreadable = 0;
    std::uint64_t unreadableLoads = 0; ///< Of these, load reports.
};

/// Runs the control machine, the piece router and the piece batcher on one thread.
class Control
{
public:
    /// Callbacks that forward events to the workers; called on the control thread.
    struct WorkerSink
    {
        std::function<void(ClaimDecision)> claimDecided;
        std::function<void(PieceEnded)> pieceEnded;
        std::function<void(const EndpointEnded &)> endpointEnded; ///< For all workers.
        std::function<void(RequestSuspected)> requestSuspected;   ///< For all workers.
        std::function<void(RelayedPart)> relayedPart;
        std::function<void(const StreamLocated &)> streamLocated;
        std::function<void(const LendRetries &)> lendRequested; ///< For any worker.
        std::function<void(const RetriesBorrowed &)> retriesBorrowed;
    };

    /// All references must outlive this object.
    ///
    /// \param daemons receives the number of live daemons.
    Control(const Settings &settings, const Clock &clock, SnapshotCell &snapshot,
            const Dialect &dialect, Incarnation incarnation, std::atomic<int> &daemons,
            BufferBudget &buffers, RequestIntake &intake, const DescriptorLimit &descriptors,
            HostLoad &load, WorkerSink workers);
    ~Control();

    /// Listens for peers and starts the thread. Fails if the peer address cannot be bound.
    absl::Status start();
    void stop();
    /// Handles a claim request of a worker; thread-safe.
    void handleClaimRequest(const ClaimRequest &request);
    /// Handles the end of a claimed request; thread-safe.
    void handleClaimFinish(const ClaimFinish &finish);
    /// Submits pieces of a worker's request, withdraws them, or frees their results; thread-safe.
    void submitPieces(const OrderPieces &order);
    void withdrawPieces(const WithdrawPieces &withdrawal);
    void freeResults(const FreeResults &results);
    /// Lets a peer make a call of a worker, or gives the call up; thread-safe.
    void relayCall(const RelayRequest &request);
    void cancelRelayedCall(const CallId &call);
    /// Tells the peer that makes \p call that \p bytes of its answer were taken; thread-safe.
    void acknowledgeRelayedCall(const CallId &call, std::uint64_t bytes);
    /// Handles that another endpoint answered at the address of this one; thread-safe.
    void handleEndpointReplaced(const EndpointReplaced &replaced);
    /// Checks whether an endpoint is cold; thread-safe.
    void checkColdState(const CheckColdState &check);
    /// Queries the load of an endpoint; thread-safe.
    void probeLoad(const ProbeLoad &probe);
    /// Handles the self-reported state in an answer of an endpoint; thread-safe.
    void handleEndpointNoticed(const EndpointNoticed &event);
    /// Handles a sample of the pace of an endpoint; thread-safe.
    void handlePaceSample(const EndpointPaceReport &sample);
    /// Handles a call whose connection broke; thread-safe.
    void handleBrokenCall(const BrokenCall &call);
    /// Handles that a request suspected of crashing endpoints has completed; thread-safe.
    void handleRequestCleared(const RequestCleared &request);
    /// Handles StreamBegan or LocateStream; thread-safe.
    template <typename Event>
    void handleStream(const Event &event);
    /// Handles RetriesWanted or RetriesLent; thread-safe.
    template <typename Event>
    void handleLoan(const Event &event);
    /// Announces a planned stop to the peers; thread-safe.
    void leave();
    /// Calls \p callback on the control thread, after all events posted before, and passes
    /// whether no work is pending.
    void queryIdle(std::function<void(bool)> callback);
    /// Calls \p callback on the control thread with the metrics as Prometheus text.
    void collectMetrics(std::function<void(std::string)> callback);
    /// Calls \p callback on the control thread with the status as JSON.
    void collectStatus(std::function<void(std::string)> callback);
    /// Returns whether a configuration is in force; thread-safe.
    [[nodiscard]] bool ready() const { return m_ready; }
    /// Returns the port for peers; valid after start().
    [[nodiscard]] std::uint16_t peerPort() const { return m_peers.port(); }

private:
    std::optional<TimePoint> runIteration();
    void performActions();
    void endLookup(const StreamLookup &lookup);
    void performLoanActions(const ControlOutput &output);
    void sendPlatformCall(const PlatformCall &call);
    void publish();
    void performPieceActions();
    void handlePieceMessage(const PeerMessage &message);
    void handleOrders(const std::string &host, const PieceOrders &orders);
    void sendTo(const std::string &host, decltype(PeerMessage::content) content);
    void sendPieceCall(const PieceCall &call);
    void updatePaths();
    void probePath(const std::string &name, const PoolEntry &pool);
    void logPathChanges(const std::vector<std::string> &lostPools);
    void sendFreeRequests(const std::vector<std::string> &handles);
    std::vector<PromptBacklog> localPromptBacklogs();
    void updatePaces();
    void logSlownessChanges(const std::vector<SlownessChange> &changes) const;
    void handlePaceReports(const ControlOutput &output);
    void recordEndpointReplaced(const std::string &endpoint);
    void handleNotice(const EndpointNoticed &event);
    void applyLimit(const EndpointLimitAnnounced &change);
    void applyLimits(const Snapshot &snapshot);
    void handleNotice(const PieceCall &call, const PieceCallEnded &ended, TimePoint sentAt);
    void logUnreadableNotice(const std::string &endpoint, const EndpointNotice &notice);
    void probe(const EndpointProbe &probe);
    void confirmRefusal(const EndpointProbe &probe);
    void compareWithOthers(const std::string &endpoint, std::vector<std::string> others);
    void recordProbe(const std::string &endpoint, ProbeOutcome outcome, const std::string &detail);
    void sendColdCheck(const CheckColdState &check);
    void recordColdState(const ColdStateChecked &state);
    void sendLoadProbe(const ProbeLoad &probe);
    void recordProbedLoad(const ProbeLoad &probe, const HttpResult &result);
    void countUnreadableNotice(const std::string &endpoint, const EndpointNotice &notice);
    void logLoadReporting();
    [[nodiscard]] std::uint64_t loadReports() const;
    void recordEndpointUpdates();
    void logCall(const PlatformCall &call, const PlatformResult &result, const HttpResult &http);
    void logStoreReturns(const ControlOutput &output);
    void logHeldDeletions(const ControlOutput &output);
    void logUpdates(const PlatformCall &call, const PlatformResult &result, std::uint64_t dropped);
    void handlePeerChanges();
    void logPlatformConnection();
    void addPeerUsage(const std::vector<UsageReport> &reports);
    std::vector<UsageReport> drainLocalUsage();

    const Settings &m_settings;
    const Clock &m_clock;
    SnapshotCell &m_snapshot;
    const Dialect &m_dialect;
    std::atomic<int> &m_daemons;
    HostLoad &m_load;
    WorkerSink m_workers;
    EventLoop m_loop;
    PeerLink m_peers;
    ControlMachine m_machine;
    PieceRouter m_pieceRouter;
    PieceBatcher m_pieceBatcher;
    CallRelay m_callRelay;
    EndpointPaces m_paces;
    std::vector<std::string> m_lostPools; ///< To which there was no path at the last heartbeat.
    std::size_t m_pathProbes = 0;
    std::uint64_t m_unreadableEntries = 0; ///< Objects without a readable name and version.
    std::uint64_t m_platformCalls = 0;
    std::uint64_t m_storeReturns = 0;
    std::uint64_t m_retainedObjects = 0;
    std::uint64_t m_heldDeletions = 0;
    std::optional<TimePoint> m_storeReturnedAt;
    std::uint64_t m_quarantines = 0; ///< Decided by this daemon.
    std::uint64_t m_coldChecks = 0;
    std::uint64_t m_loadProbes = 0;
    std::uint64_t m_unansweredLoadProbes = 0;
    std::set<std::string> m_loadReportingPools; ///< Pools whose endpoints reported load recently.
    std::uint64_t m_streamsLocated = 0;
    std::uint64_t m_streamsUnknown = 0;
    EndpointNoticeCounters m_notices;
    std::set<std::string> m_unreadableNotices; ///< Endpoints whose unreadable fields were logged.
    bool m_wasPlatformConnected = false;
    std::vector<std::string> m_previousLivePeers; ///< Live peers at the previous heartbeat.
    std::atomic<bool> m_ready{false};
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_DAEMON_CONTROL_H
