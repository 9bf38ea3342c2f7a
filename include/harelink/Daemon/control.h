//===- harelink/Daemon/control.h - The control thread -----------*- C++ -*-===//
///
/// \file
/// Runs the control machine of a daemon (configuration, membership, claims) on
/// one thread and carries out its platform calls and peer messages.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_CONTROL_H
#define HARELINK_DAEMON_CONTROL_H

#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/eventloop.h"
#include "harelink/Adapters/peerlink.h"
#include "harelink/Adapters/snapshotcell.h"
#include "harelink/Config/settings.h"
#include "harelink/Kernel/controlmachine.h"
#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/piecerouter.h"

#include <atomic>
#include <functional>
#include <set>
#include <string>
#include <thread>

namespace harelink {

/// Counts of what endpoints said of themselves.
struct EndpointNoticeCounters
{
    std::uint64_t limitChanges = 0;
    std::uint64_t pauses = 0;
    std::uint64_t departures = 0;
    std::uint64_t unreadable = 0;
};

/// The control thread.
class Control
{
public:
    /// Where what concerns a request goes; called on the control's thread.
    struct WorkerSink
    {
        std::function<void(ClaimDecision)> claimDecided;
        std::function<void(PieceEnded)> pieceEnded;
        std::function<void(const std::string &)> endpointEnded; ///< For all workers.
        std::function<void(RequestSuspected)> requestSuspected; ///< For all workers.
    };

    /// All references outlive the control.
    ///
    /// \param daemons where the number of live daemons is told.
    Control(const Settings &settings, const Clock &clock, SnapshotCell &snapshot,
            const Dialect &dialect, Incarnation incarnation, std::atomic<int> &daemons,
            WorkerSink workers);
    ~Control();

    /// Listens for peers and starts the thread.
    absl::Status start();
    void stop();
    /// Takes in a claim request of a worker; from any thread.
    void handleClaimRequest(const ClaimRequest &request);
    /// Takes in how a claimant ended; from any thread.
    void handleClaimFinish(const ClaimFinish &finish);
    /// Takes in a worker's wishes as to pieces; from any thread.
    void submitPieces(const OrderPieces &order);
    void withdrawPieces(const WithdrawPieces &withdrawal);
    void freeResults(const FreeResults &results);
    /// Another endpoint answered at the address of this one; from any thread.
    void handleEndpointReplaced(const EndpointReplaced &replaced);
    /// Asks an endpoint whether it is cold; from any thread.
    void checkColdState(const CheckColdState &check);
    /// An endpoint's answer said something of the endpoint; from any thread.
    void handleEndpointNoticed(const EndpointNoticed &event);
    /// Takes in a call that broke; from any thread.
    void handleBrokenCall(const BrokenCall &call);
    /// Takes in that a suspected request was run to a good end; from any thread.
    void handleRequestCleared(const RequestCleared &request);
    /// A planned stop begins; from any thread.
    void leave();
    /// Calls \p take with whether nothing waits any more, on the control's thread
    /// and behind all that was handed in before.
    void queryIdle(std::function<void(bool)> take);
    /// Calls \p take with Prometheus text, on the control's thread.
    void collectMetrics(std::function<void(std::string)> take);
    /// Calls \p take with the status as JSON, on the control's thread.
    void collectStatus(std::function<void(std::string)> take);
    /// Whether a configuration is in force; from any thread.
    [[nodiscard]] bool ready() const { return m_ready; }
    /// The port for peers, after start().
    [[nodiscard]] std::uint16_t peerPort() const { return m_peers.port(); }

private:
    std::optional<TimePoint> turn();
    void carryOut();
    void call(const PlatformCall &call);
    void publish();
    void carryOutPieces();
    void takePieceMessage(const PeerMessage &message);
    void sendTo(const std::string &host, decltype(PeerMessage::content) content);
    void callPieces(const PieceCall &call);
    void sendFreeRequests(const std::vector<std::string> &handles);
    std::vector<PromptBacklog> ownPrompts();
    void noteReplaced(const std::string &endpoint);
    void handleNotice(const EndpointNoticed &event);
    void applyLimit(const EndpointLimitAnnounced &change);
    void applyLimits(const Snapshot &snapshot);
    void handleNotice(const PieceCall &call, const PieceCallEnded &ended, TimePoint sentAt);
    void logUnreadableNotice(const EndpointNoticed &event);
    void probe(const EndpointProbe &probe);
    void sendColdCheck(const CheckColdState &check);
    void recordColdState(const ColdStateChecked &state);
    void recordEndpointUpdates();
    void logCall(const PlatformCall &call, const PlatformResult &result, const HttpResult &http);
    void takePeerChanges();
    void logConnection();
    void addPeerUsage(const std::vector<UsageReport> &reports);
    std::vector<UsageReport> takeOwnUsage();

    const Settings &m_settings;
    const Clock &m_clock;
    SnapshotCell &m_snapshot;
    const Dialect &m_dialect;
    std::atomic<int> &m_daemons;
    WorkerSink m_workers;
    EventLoop m_loop;
    PeerLink m_peers;
    ControlMachine m_machine;
    PieceRouter m_pieceRouter;
    PieceBatcher m_pieceBatcher;
    std::uint64_t m_unreadableEntries = 0; ///< Objects that could not even be named.
    std::uint64_t m_platformCalls = 0;
    std::uint64_t m_quarantines = 0; ///< Decided here.
    std::uint64_t m_coldChecks = 0;
    EndpointNoticeCounters m_notices;
    std::set<std::string> m_unreadableNotices; ///< Endpoints whose fields were logged.
    bool m_wasConnected = false;
    std::vector<std::string> m_peersBefore; ///< Live at the last heartbeat.
    std::atomic<bool> m_ready{false};
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_DAEMON_CONTROL_H
