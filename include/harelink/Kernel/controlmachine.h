//===- harelink/Kernel/controlmachine.h - A daemon's control ----*- C++ -*-===//
///
/// \file
/// All that a daemon decides besides its requests: configuration, membership
/// and claims. Events go in, an output of actions comes out.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONTROLMACHINE_H
#define HARELINK_KERNEL_CONTROLMACHINE_H

#include "harelink/Kernel/claimledger.h"
#include "harelink/Kernel/claimrouter.h"
#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/configgossip.h"
#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/crashdetector.h"
#include "harelink/Kernel/endpointlimits.h"
#include "harelink/Kernel/membership.h"
#include "harelink/Kernel/peerdemand.h"
#include "harelink/Kernel/peerrelay.h"
#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/rateshares.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace harelink {

/// What the control wants done.
struct ControlOutput
{
    std::vector<PlatformCall> calls;
    std::vector<PeerSend> sends;
    std::vector<ClaimDecision> decisions;       ///< For the workers.
    std::vector<UsageReport> usage;             ///< Of peers, for the meters.
    std::vector<DemandTotal> demands;           ///< Of peers, where they have changed.
    std::vector<std::string> leavingEndpoints;  ///< Newly known to leave.
    std::vector<EndpointLimitAnnounced> limits; ///< That are other ones now.
    bool configChanged = false;                 ///< Another configuration is in force.
    /// That have started again: what was sent to them and not answered never will be.
    std::vector<std::string> endedEndpoints;
    std::vector<EndpointProbe> probes;
    std::vector<RequestSuspected> suspects;      ///< For the workers.
    std::vector<QuarantineDecision> quarantines; ///< Decided here.
    std::vector<ConfigFault> faults;             ///< Newly found in declared objects.
    std::vector<PeerMessage> pieceMessages;      ///< For the router and the batcher.
    std::vector<PieceBacklog> backlogs;          ///< As peers told.
    /// Tokens that peers have sent to model engines, where the sum has changed.
    std::vector<PromptBacklog> prompts;
};

/// What a control is told at start.
struct ControlOptions
{
    std::string host;
    std::string peerAddress; ///< Where this daemon listens for peers.
    std::string dataCentre;
    Incarnation incarnation = 0;
    ClaimLedgerOptions claims;
    bool keepsClaims = true; ///< Whether requests with idempotency keys may come.
    const ObjectReader *objects = &ownObjectReader(); ///< Outlives the machine.
    std::size_t watchersPerDataCentre = 2;            ///< Daemons that watch the platform.
    /// The kind of object in which this daemon declares itself to its peers; empty where
    /// the platform knows its hosts by itself.
    std::string hostKind;
    /// How long requests under which endpoints ended are not run, unless an operator lifts it.
    std::chrono::milliseconds quarantineDuration = std::chrono::hours(24);
    double capacity = 1;           ///< Of this host, in cores of a processor.
    std::size_t maxMeshPeers = 16; ///< With more peers heartbeats go through relays.
};

/// The control of one daemon. \p G is AllGuards in the product.
template <GuardPolicy G>
class BasicControlMachine
{
public:
    /// \param clock outlives the machine.
    BasicControlMachine(const Clock &clock, const ControlOptions &options);

    /// The events.
    void handle(const ClaimRequest &request) { m_router.claim(request); }
    void handle(const ClaimFinish &finish) { m_router.finish(finish); }
    void handle(const PeerMessage &message);
    void handle(const PlatformResult &result);
    void handle(BrokenCall call);
    /// The connection of a call of pieces ended in the middle: if its endpoint has ended, all
    /// requests that have a piece in it are suspects.
    void handleBrokenPieceCall(const PieceCall &call, TimePoint sentAt);
    void handle(const EndpointProbeResult &event) { m_crashes.handle(event); }
    void handle(const EndpointLimitAnnounced &event);
    void handle(const RequestCleared &event) { m_crashes.handle(event); }
    /// Own use since the last call, for the next heartbeats.
    void recordUsage(std::vector<UsageReport> usage) { m_ownUsage = std::move(usage); }
    /// The endpoints that this daemon batches for, for the next heartbeats.
    void recordBacklogs(std::vector<PieceBacklog> backlogs) { m_backlogs = std::move(backlogs); }
    /// What this daemon has sent to model engines, for the next heartbeats.
    void recordPrompts(std::vector<PromptBacklog> prompts) { m_prompts = std::move(prompts); }
    /// Where this daemon listens for peers, once that is known.
    void setPeerAddress(const std::string &address) { m_membership.setAddress(address); }
    /// An endpoint itself said that it is leaving.
    void handleEndpointLeaving(const std::string &endpoint) { noteLeaving(endpoint); }
    [[nodiscard]] const EndpointLimits &limits() const { return m_limits; }
    /// The endpoints that are leaving, as far as is known.
    [[nodiscard]] std::vector<std::string> leavingEndpoints() const;
    /// A planned stop begins: peers are told and own buckets move on.
    void leave() { m_membership.leave(); }
    /// Time passed. Whether heartbeats go out with this tick is told by
    /// heartbeatsDue(), so that usage can be handed in before.
    void tick();
    [[nodiscard]] bool heartbeatsDue() const;

    /// Takes what came up since the last call.
    [[nodiscard]] ControlOutput drainOutput();
    /// When tick() is due at the latest.
    [[nodiscard]] TimePoint nextTick() const;
    /// Whether no claim or end of this daemon waits for anything.
    [[nodiscard]] bool idle() const { return m_router.idle() && m_ledger.idle(); }

    [[nodiscard]] const BasicConfigTable<G> &config() const { return m_config; }
    /// The resources in force: those that are declared, and what was decided here and is not
    /// declared yet.
    [[nodiscard]] std::vector<Resource> resources() const;
    [[nodiscard]] const Membership &membership() const { return m_membership; }
    /// This daemon's part of what cold endpoints bear.
    [[nodiscard]] ColdShares coldShares() const;
    /// This daemon's parts of what endpoints with rate limits accept.
    [[nodiscard]] RateShares rateShares() const;
    [[nodiscard]] const ClaimLedgerCounters &claimCounters() const { return m_ledger.counters(); }
    [[nodiscard]] std::uint64_t claimDetours() const { return m_router.localFallbacks(); }
    [[nodiscard]] bool connected() const;
    /// Until when changes of endpoints reach this daemon, unless its next turn is late: the
    /// platform answers it, or a peer of its data centre that watches for it. After a
    /// standstill the platform has to answer anew. TimePoint::min() where they do not.
    [[nodiscard]] TimePoint endpointUpdatesUntil() const;
    [[nodiscard]] bool synced() const;
    /// Whether this daemon watches the platform.
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
    void takeCrashes();
    template <PieceContent Content>
    void handle(const PeerMessage &message, const Content &content);
    static ConfigDigest digestOf(std::uint64_t summary, bool watches);
    bool takeAnnouncement(const PlatformResult &result);
    void announce();
    void forwardLedgerReplies();
    void sendTo(const std::string &host, decltype(PeerMessage::content) content);
    void sendHeartbeats();
    template <typename Content>
    void takeFigures(const std::string &source, const Content &content);
    [[nodiscard]] bool mayCall(const BasicConfigWatcher<G> &watcher) const;
    [[nodiscard]] bool isToldOfHosts() const;
    void pollHostList();
    void takeHostListResult(const PlatformResult &result);
    void handleHostList(const std::vector<PlatformObject> &hosts);
    void noteLeaving(const std::string &endpoint);
    void takeLimits(const std::vector<EndpointLimitReport> &reports);
    [[nodiscard]] bool knowsAllKinds() const;
    [[nodiscard]] bool knowsKindsOf(const BasicConfigWatcher<G> &watcher) const;
    void giveOutConfig();

    const Clock &m_clock;
    BasicConfigTable<G> m_config;
    std::vector<BasicConfigWatcher<G>> m_watchers;
    Membership m_membership;
    PeerRelay m_relay;
    BasicConfigGossip<G> m_gossip;
    BasicClaimLedger<G> m_ledger;
    BasicClaimRouter<G> m_router;
    CrashDetector m_crashes;
    std::uint64_t m_nextCallId = 1;
    std::uint64_t m_hostListCall = 0;
    TimePoint m_startedAt;
    TimePoint m_dueAt = TimePoint::max(); ///< When the next tick was due, as of the last one.
    TimePoint m_resumedAt =
        TimePoint::min(); ///< When this process last went on after a standstill.
    TimePoint m_nextHostList;
    bool m_hostListRead = false;
    bool m_keepsClaims;
    std::uint64_t m_ownedAtVersion = 0; ///< Of the lists of hosts that buckets were owned by.
    std::string m_hostKind;
    bool m_announced = false;
    std::uint64_t m_announceCall = 0;
    Version m_announcedOver = 0; ///< The version of an earlier life's declaration.
    TimePoint m_nextAnnounce;
    std::vector<PieceBacklog> m_backlogs;
    std::vector<PromptBacklog> m_prompts;
    PeerTotals<std::string> m_peerPrompts;
    std::vector<UsageReport> m_ownUsage;
    PeerDemand m_peerDemand;
    /// Heard of before they were declared here, as happens just after a start.
    std::set<std::string> m_undeclaredLeaving;
    bool m_leavingKnown = false;  ///< The host list or a peer was heard.
    bool m_isConfigOut = false;   ///< A first configuration has been given out.
    bool m_configPending = false; ///< Something is in force and not yet given out.
    EndpointLimits m_limits;
    std::map<std::string, Version> m_leavingEndpoints; ///< With the version then in force.
    ControlOutput m_output;
};

/// The control of the product.
using ControlMachine = BasicControlMachine<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_CONTROLMACHINE_H
