//===- harelink/Kernel/controlmachine.h - Control plane ---------*- C++ -*-===//
///
/// \file
/// The control plane of a daemon: configuration, membership, claims and
/// quarantines, that is, all decisions apart from those on single requests. It
/// consumes events and produces actions.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONTROLMACHINE_H
#define HARELINK_KERNEL_CONTROLMACHINE_H

#include "harelink/Kernel/budgetloans.h"
#include "harelink/Kernel/claimledger.h"
#include "harelink/Kernel/claimrouter.h"
#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/configgossip.h"
#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/connectiongate.h"
#include "harelink/Kernel/crashdetector.h"
#include "harelink/Kernel/endpointlimits.h"
#include "harelink/Kernel/hostlistpoller.h"
#include "harelink/Kernel/membership.h"
#include "harelink/Kernel/peerdemand.h"
#include "harelink/Kernel/peerrelay.h"
#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/rateshares.h"
#include "harelink/Kernel/streamorigins.h"
#include "harelink/Kernel/summarycoverage.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace harelink {

/// The store has returned from an older copy.
struct StoreReturn
{
    std::uint64_t previousEra = 0; ///< 0 if no answer had stated one.
    std::uint64_t era = 0;
    Version revisionBefore; ///< The highest version in force before.
};

/// The actions that a control machine requests, and the events that it passes on.
struct ControlOutput
{
    std::vector<PlatformCall> calls;
    std::vector<PeerSend> sends;
    std::vector<ClaimDecision> decisions;       ///< For the workers.
    std::vector<UsageReport> usage;             ///< Of peers, for the usage meters.
    std::vector<DemandTotal> demands;           ///< Of peers; only totals that have changed.
    std::vector<std::string> leavingEndpoints;  ///< That are newly known to be leaving.
    std::vector<EndpointLimitAnnounced> limits; ///< That have changed.
    bool configChanged = false;                 ///< Another configuration is in force.
    /// Endpoints that were replaced by a restart: requests in flight to them get no response.
    std::vector<EndpointEnded> endedEndpoints;
    std::vector<EndpointProbe> probes;
    std::vector<RequestSuspected> suspects;      ///< For the workers.
    std::vector<QuarantineDecision> quarantines; ///< Decided by this daemon.
    std::vector<ConfigFault> faults;             ///< Newly found in declared objects.
    std::vector<StoreReturn> storeReturns;
    std::vector<RetainedObject> retained; ///< Newly retained.
    std::vector<HeldDeletion> heldDeletions;
    std::vector<PeerMessage> pieceMessages; ///< For the piece router and the batcher.
    std::vector<PeerMessage> relayMessages; ///< Concern calls that are made for peers.
    std::vector<PieceBacklog> backlogs;     ///< As reported by peers.
    /// Tokens that peers have sent to model engines; only totals that have changed.
    std::vector<PromptBacklog> prompts;
    /// Calls of peers in flight at model engines; only totals that have changed.
    std::vector<std::pair<std::string, int>> engineCalls;
    std::vector<EndpointPaceReport> paces;   ///< As reported by peers.
    std::vector<PaceFault> paceFaults;       ///< The first one of each message.
    std::vector<StreamLookup> streamLookups; ///< That have ended; for the workers.
    std::vector<LendRetries> lendRequests;   ///< Of peers; each for one worker.
    std::vector<RetriesBorrowed> borrowed;   ///< For the workers.
    std::vector<InvalidLoanField> invalidLoanFields;
};

/// The parameters of a control machine.
struct ControlOptions
{
    std::string host;
    std::string peerAddress; ///< At which this daemon listens for peers.
    std::string dataCentre;
    Incarnation incarnation = 0;
    ClaimLedgerOptions claims;
    bool keepsClaims = true; ///< Whether requests with idempotency keys are accepted.
    const ObjectReader *objects = &defaultObjectReader(); ///< Must outlive the machine.
    std::size_t watchersPerDataCentre = 2;                ///< Daemons that watch the platform.
    /// The kind of object in which this daemon declares itself to its peers; empty if the
    /// platform lists its hosts itself.
    std::string hostKind;
    /// The period for which requests that made endpoints crash are not run, unless an operator
    /// lifts the quarantine.
    std::chrono::milliseconds quarantineDuration = std::chrono::hours(24);
    double capacity = 1;                   ///< Of this host, in processor cores.
    std::chrono::milliseconds loanTerm{0}; ///< See RetryBudgetOptions; zero if there are no loans.
    std::size_t maxMeshPeers = 16;         ///< With more peers, heartbeats go through relays.
};

/// The control machine of one daemon. \p G is AllGuards in the product.
template <GuardPolicy G>
class BasicControlMachine
{
public:
    /// \param clock must outlive the machine.
    BasicControlMachine(const Clock &clock, const ControlOptions &options);

    /// Handles an event.
    void handle(const ClaimRequest &request) { m_router.claim(request); }
    void handle(const ClaimFinish &finish) { m_router.finish(finish); }
    void handle(const PeerMessage &message);
    void handle(PlatformResult result);
    void handle(BrokenCall call);
    /// Handles a call of pieces whose connection broke. If its endpoint has crashed, all
    /// requests with a piece in the call are suspects.
    void handleBrokenPieceCall(const PieceCall &call, TimePoint sentAt);
    void handle(const EndpointProbeResult &event) { m_crashes.handle(event); }
    void handle(const EndpointLimitAnnounced &event);
    void handle(const RequestCleared &event) { m_crashes.handle(event); }
    void handle(const StreamBegan &event) { m_streams.handle(event); }
    void handle(const LocateStream &event);
    void handle(const RetriesWanted &event);
    void handle(const RetriesLent &event);
    [[nodiscard]] const BudgetLoanCounters &loanCounters() const { return m_loans.counters(); }
    /// Sets this daemon's usage since the last call, for the next heartbeats.
    void recordUsage(std::vector<UsageReport> usage) { m_ownUsage = std::move(usage); }
    /// Sets the backlogs of the pools that this daemon batches for, for the next heartbeats.
    void recordBacklogs(std::vector<PieceBacklog> backlogs) { m_backlogs = std::move(backlogs); }
    /// Sets the tokens that this daemon has sent to model engines, for the next heartbeats.
    void recordPrompts(std::vector<PromptBacklog> prompts) { m_prompts = std::move(prompts); }
    /// Sets the sums of samples of model engines that peers were not sent yet, for the next
    /// heartbeats.
    void recordPaces(std::vector<EndpointPaceReport> paces) { m_paces = std::move(paces); }
    /// Sets the pools to which this daemon has no path, for the next heartbeats.
    void recordLostPools(std::vector<std::string> pools) { m_lostPools = std::move(pools); }
    /// Sets what the next heartbeats state of the requests that this daemon reads.
    ///
    /// \param isServing whether it is configured to take requests.
    void recordReads(bool isServing, bool isCrowded, double perSecond);
    /// Sets whether this host is overloaded, for which a relay requests fewer heartbeats.
    void recordOverload(bool isOverloaded)
    {
        m_relay.recordOverload(G::stretchesHeartbeats && isOverloaded);
    }
    /// Returns the factor of PeerRelay::requestedMultiplier(); std::nullopt if this daemon is no
    /// relay.
    [[nodiscard]] std::optional<std::uint32_t> requestedMultiplier() const
    {
        return m_relay.isRelay() ? std::optional(m_relay.requestedMultiplier()) : std::nullopt;
    }
    /// Returns the peers heard of recently, with what they reported of their load.
    [[nodiscard]] PeerRoom peerRoom() const;
    /// Records that \p host has reported that it has no path to \p pool.
    void recordLostPool(const std::string &host, const std::string &pool)
    {
        m_membership.recordLostPool(host, pool);
    }
    /// Returns a peer that can make a call to an endpoint of \p pool for this daemon; std::nullopt
    /// if there is none. Peers take turns.
    [[nodiscard]] std::optional<std::string> chooseRelay(const std::string &pool);
    /// Returns whether any peer can make calls for this daemon.
    [[nodiscard]] bool hasRelay() const { return !m_membership.livePeers().empty(); }
    /// Sets the address at which this daemon listens for peers, once that is known.
    void setPeerAddress(const std::string &address) { m_membership.setAddress(address); }
    /// Handles an endpoint's own announcement that it is leaving.
    void handleEndpointLeaving(const std::string &endpoint) { recordLeaving(endpoint); }
    [[nodiscard]] const EndpointLimits &limits() const { return m_limits; }
    /// Returns the number of streams whose origin this daemon knows.
    [[nodiscard]] std::size_t knownStreams() const { return m_streams.size(); }
    /// Returns the endpoints that are leaving, as far as this daemon knows.
    [[nodiscard]] std::vector<std::string> leavingEndpoints() const;
    /// Begins a planned stop: announces it to the peers, gives up owned buckets, and hands over the
    /// origins of streams.
    void leave()
    {
        m_membership.leave();
        m_streams.handOver();
    }
    /// Performs periodic work. If heartbeatsDue() is true, it sends heartbeats; usage, backlogs
    /// and prompts shall be recorded before.
    void tick();
    [[nodiscard]] bool heartbeatsDue() const;

    /// Returns and clears the output since the last call.
    [[nodiscard]] ControlOutput drainOutput();
    /// Returns when tick() is due at the latest.
    [[nodiscard]] TimePoint nextTick() const;
    /// Returns whether neither a claim nor the end of one is pending at this daemon.
    [[nodiscard]] bool idle() const { return m_router.idle() && m_ledger.idle(); }

    [[nodiscard]] const BasicConfigTable<G> &config() const { return m_config; }
    /// Returns the resources in force: the declared ones, and quarantines that this daemon
    /// decided and that are not declared yet.
    [[nodiscard]] ActiveResources resources() const;
    [[nodiscard]] const Membership &membership() const { return m_membership; }
    /// Returns this daemon's share of the load that cold endpoints can bear.
    [[nodiscard]] ColdShares coldShares() const;
    /// Returns this daemon's share of the rate limits of endpoints.
    [[nodiscard]] RateShares rateShares() const;
    [[nodiscard]] const ClaimLedgerCounters &claimCounters() const { return m_ledger.counters(); }
    [[nodiscard]] std::uint64_t claimLocalFallbacks() const { return m_router.localFallbacks(); }
    [[nodiscard]] bool connected() const;
    /// Returns the time until which this daemon receives changes of endpoints, unless its next
    /// tick is late. It receives them if the platform answers this daemon, or a peer of its data
    /// centre that watches the platform. After this process was suspended, a new answer is
    /// needed. Returns TimePoint::min() if changes are not received.
    [[nodiscard]] TimePoint endpointUpdatesUntil() const;
    [[nodiscard]] bool synced() const;
    /// Returns the highest era of the store that this daemon knows; 0 if no answer stated one.
    [[nodiscard]] std::uint64_t storeEra() const { return m_storeEra; }
    /// Returns the number of answers that were ignored since they were of an earlier era.
    [[nodiscard]] std::uint64_t staleAnswers() const { return m_staleAnswers; }
    /// Returns whether this daemon watches the platform.
    [[nodiscard]] bool watches() const { return m_gossip.shouldWatch(); }

private:
    void handle(const PeerMessage &message, const Heartbeat &content);
    void handle(const PeerMessage &message, const PeerSummary &content);
    void handle(const PeerMessage &message, const ClaimRequest &content);
    void handle(const PeerMessage &message, const ClaimDecision &content);
    void handle(const PeerMessage &message, const ClaimFinish &content);
    void handle(const PeerMessage &message, const ClaimFinished &content);
    void handle(const PeerMessage &message, const ConfigPush &content);
    void handle(const PeerMessage &message, const ConfigDigest &content);
    void handle(const PeerMessage &message, const CrashReports &content);
    void handle(const PeerMessage &message, const CrashesCleared &content);
    void handle(const PeerMessage &message, const StreamRecords &content);
    void handle(const PeerMessage &message, const StreamQuery &content);
    void handle(const PeerMessage &message, const StreamReply &content);
    void handle(const PeerMessage &message, const BudgetLoanRequest &content);
    void handle(const PeerMessage &message, const BudgetLoan &content);
    void drainCrashWatch();
    void drainStreams();
    template <PieceContent Content>
    void handle(const PeerMessage &message, const Content &content);
    template <RelayContent Content>
    void handle(const PeerMessage &message, const Content &content);
    template <typename Content>
    static ConfigDigest digestOf(const Content &content, bool watches);
    void observeEra(std::uint64_t era, std::uint64_t lowestRevision);
    void observeEra(const ConfigPush &push);
    void handleStoreReturn(std::uint64_t previousEra);
    void rewriteLostObjects(BasicConfigWatcher<G> &watcher);
    void handleCurrent(const PlatformResult &result);
    bool handleAnnouncementResult(const PlatformResult &result);
    void announce();
    void forwardLedgerReplies();
    void sendTo(const std::string &host, decltype(PeerMessage::content) content);
    void sendHeartbeats();
    template <typename Content>
    void updatePeerTotals(const std::string &source, const Content &content,
                          std::uint32_t maxHosts);
    template <typename Content>
    void handleLoad(const std::string &source, const Content &content);
    void drainEndedEndpoints();
    void pollEndpoints();
    void pollAfterSuspension();
    [[nodiscard]] bool affectsEndpoints(const BasicConfigWatcher<G> &watcher) const;
    [[nodiscard]] TimePoint endpointsConfirmedUntil() const;
    void recordEndpointUpdates();
    [[nodiscard]] bool mayCall(const BasicConfigWatcher<G> &watcher) const;
    void handleHostList(const std::vector<PlatformObject> &hosts);
    void recordLeaving(const std::string &endpoint);
    void recordLimitReports(const std::vector<EndpointLimitReport> &reports);
    [[nodiscard]] bool hasAllKinds() const;
    [[nodiscard]] bool hasKindsOf(const BasicConfigWatcher<G> &watcher) const;
    [[nodiscard]] bool isUnreadable(const BasicConfigWatcher<G> &watcher) const;
    void publishConfig();
    [[nodiscard]] bool mayPublish();
    [[nodiscard]] Duration publishInterval() const;

    const Clock &m_clock;
    BasicConfigTable<G> m_config;
    std::vector<BasicConfigWatcher<G>> m_watchers;
    Membership m_membership;
    PeerRelay m_relay;
    HostListPoller m_hostList;
    BasicConfigGossip<G> m_gossip;
    BasicClaimLedger<G> m_ledger;
    BasicClaimRouter<G> m_router;
    CrashDetector m_crashes;
    StreamOrigins m_streams;
    BudgetLoans m_loans;
    std::uint64_t m_nextCallId = 1;
    std::uint64_t m_storeEra = 0;
    std::uint64_t m_lowestRevision = 0; ///< That the store is known to have had; 0 if unknown.
    std::uint64_t m_staleAnswers = 0;
    TimePoint m_startedAt;
    TimePoint m_dueAt = TimePoint::max();     ///< When the next tick was due, as of the last one.
    TimePoint m_resumedAt = TimePoint::min(); ///< When the process last resumed after suspension.
    /// Since when this daemon has received changes of endpoints without a gap; max() if it does
    /// not.
    TimePoint m_endpointUpdatesSince = TimePoint::max();
    /// All changes of endpoints that were declared until then are known.
    TimePoint m_endpointsKnownUntil = TimePoint::min();
    bool m_keepsClaims;
    /// The version of the host lists by which bucket owners were last assigned.
    std::uint64_t m_ownershipVersion = 0;
    std::string m_hostKind;
    bool m_announced = false;
    std::uint64_t m_announceCall = 0;
    Version m_announceIfVersion = 0; ///< Version of an earlier incarnation's declaration.
    TimePoint m_nextAnnounce;
    std::vector<PieceBacklog> m_backlogs;
    std::vector<PromptBacklog> m_prompts;
    std::vector<EndpointPaceReport> m_paces;
    std::vector<std::string> m_lostPools;
    bool m_isServing = false;
    bool m_isCrowded = false;
    std::uint32_t m_readsPerSecond = 0;
    enum class ReadTotal { ServingHosts, CrowdedHosts, ReadsPerSecond };
    PeerTotals<ReadTotal> m_peerReads;
    std::map<ReadTotal, std::int64_t> m_peerReadTotals;
    std::size_t m_nextRelay = 0;
    PeerTotals<std::string> m_peerPrompts;
    PeerTotals<std::string> m_peerCalls; ///< At model engines.
    std::vector<UsageReport> m_ownUsage;
    PeerDemand m_peerDemand;
    SummaryCoverage m_coverage;
    /// Reported as leaving before their declaration was received, as happens after a start.
    std::set<std::string> m_undeclaredLeaving;
    bool m_leavingKnown = false;      ///< The host list or a peer has reported leaving endpoints.
    bool m_isConfigPublished = false; ///< A first configuration has been published.
    bool m_configPending = false;     ///< A change is in force and not published yet.
    bool m_isConfigUrgent = false;    ///< The pending change must not wait for others.
    TimePoint m_nextPublish = TimePoint::min();
    EndpointLimits m_limits;
    std::map<std::string, Version> m_leavingEndpoints; ///< With the version in force then.
    ControlOutput m_output;
};

/// The control machine of the product.
using ControlMachine = BasicControlMachine<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_CONTROLMACHINE_H
