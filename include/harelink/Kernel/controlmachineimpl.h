//===- harelink/Kernel/controlmachineimpl.h - Definitions -------*- C++ -*-===//
///
/// \file
/// Definitions of BasicControlMachine. Included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONTROLMACHINEIMPL_H
#define HARELINK_KERNEL_CONTROLMACHINEIMPL_H

#include "harelink/Config/jsontext.h"
#include "harelink/Kernel/claimledgerimpl.h"
#include "harelink/Kernel/claimrouterimpl.h"
#include "harelink/Kernel/configgossipimpl.h"
#include "harelink/Kernel/configmachineimpl.h"
#include "harelink/Kernel/controlmachine.h"
#include "harelink/Support/hash.h"

#include <algorithm>
#include <utility>

namespace harelink {

namespace controlmachine {

/// A daemon that has started within this period knows too few hosts to divide limits.
inline constexpr std::chrono::milliseconds startupPeriod{6000};
/// A tick that is later than this indicates that the process was suspended.
inline constexpr std::chrono::milliseconds maxTickDelay{200};
/// A daemon that receives changes of endpoints gets each within this time: a lost watch of a peer
/// is noticed after 2.8 s, and the loss of that peer 2.5 s later.
inline constexpr std::chrono::milliseconds maxUpdateDelay{6000};
/// After its start a daemon does not watch the platform for this period, until it knows which
/// daemons do: a relay replies to its first heartbeat within 250 ms, and the host list is read
/// before. Without it, each of 300 daemons that started together made two needless watches.
inline constexpr std::chrono::milliseconds watchStartDelay{900};
/// Interval between attempts of a daemon to declare itself.
inline constexpr std::chrono::milliseconds announceInterval{300};
/// Changes of endpoints join until this time, multiplied by the number of objects and divided by
/// the capacity of the host in cores, has passed since the last publication. A snapshot is built
/// whole, which takes 0.5 to 1.5 us of a core per object, so about a tenth of the host's processor.
inline constexpr std::chrono::microseconds publishIntervalPerObject{10};
/// An endpoint that appears or ends takes effect within this time, whatever the host.
inline constexpr std::chrono::milliseconds maxPublishInterval{1000};
/// With fewer objects a snapshot costs so little that every change is published at once.
inline constexpr std::size_t minJoinedObjects = 500;
/// When the store has returned from an older copy, the hosts declare themselves again over this
/// period, multiplied by their number.
inline constexpr std::chrono::milliseconds announcePeriodPerHost{10};
/// Delay between the attempts of different hosts to write a lost quarantine again.
inline constexpr std::chrono::milliseconds rewriteDelay{1000};
inline constexpr std::size_t maxRewriteRank = 10;
/// Maximum time for which a daemon that starts waits to learn which endpoints are leaving.
inline constexpr std::chrono::milliseconds maxLeavingWait{5000};
/// What a peer reported of its reads counts for this period: some summaries come once a second, and
/// those of a relay that was lost come from another one after a while.
inline constexpr std::chrono::milliseconds readTotalsTtl{5000};
/// Maximum number of requests that one report is believed to state.
inline constexpr std::uint32_t maxReadsPerSecond = 1'000'000'000;

} // namespace controlmachine

template <GuardPolicy G>
BasicControlMachine<G>::BasicControlMachine(const Clock &clock, const ControlOptions &options)
    : m_clock(clock)
    , m_config(*options.objects)
    , m_membership(clock, options.host, options.peerAddress, options.dataCentre,
                   options.incarnation)
    , m_relay(clock, m_membership, options.maxMeshPeers)
    , m_hostList(clock, m_membership, m_relay, options.hostKind.empty())
    , m_gossip(clock, m_membership, m_config, options.watchersPerDataCentre)
    , m_ledger(
          clock, [this](Incarnation incarnation) { return m_membership.hostOf(incarnation); },
          options.claims)
    , m_router(clock, m_membership, m_ledger)
    , m_crashes(clock, m_membership, options.objects->quarantineKind(), options.quarantineDuration)
    , m_streams(clock, m_membership)
    , m_loans(clock, options.loanTerm, options.incarnation)
    , m_startedAt(clock.now())
    , m_keepsClaims(options.keepsClaims)
    , m_hostKind(options.hostKind)
    , m_nextAnnounce(clock.now())
    , m_peerReads(clock)
    , m_peerPrompts(clock)
    , m_peerCalls(clock)
    , m_peerDemand(clock)
    , m_coverage(clock)
{
    m_membership.setCapacity(options.capacity);
    if (options.hostKind.empty()) {
        // The platform lists its hosts itself, so there are no declarations to wait for.
        m_gossip.recordHostList(true);
    }
    for (const std::vector<std::string> &kinds : options.objects->kindGroups()) {
        m_watchers.emplace_back(clock, m_config, kinds);
    }
}

template <GuardPolicy G>
bool BasicControlMachine<G>::connected() const
{
    return std::any_of(m_watchers.begin(), m_watchers.end(),
                       [](const auto &watcher) { return watcher.connected(); });
}

template <GuardPolicy G>
TimePoint BasicControlMachine<G>::endpointUpdatesUntil() const
{
    const auto isCurrent = [this](const BasicConfigWatcher<G> &watcher) {
        return !affectsEndpoints(watcher) || watcher.answeredSince(m_resumedAt);
    };
    const bool receives = m_gossip.shouldWatch()
                              ? std::all_of(m_watchers.begin(), m_watchers.end(), isCurrent)
                              : m_gossip.watcherSeenSince(m_resumedAt);
    return receives ? nextTick() + controlmachine::maxTickDelay : TimePoint::min();
}

/// Returns whether endpoints or their use depend on what \p watcher follows.
template <GuardPolicy G>
bool BasicControlMachine<G>::affectsEndpoints(const BasicConfigWatcher<G> &watcher) const
{
    const ObjectReader &reader = m_config.reader();
    return !watcher.followsOnly(reader.quarantineKind())
           && !watcher.followsOnly(reader.drainKind());
}

/// Asks the platform what has changed, which a watch that waits reports only when it ends.
template <GuardPolicy G>
void BasicControlMachine<G>::pollAfterSuspension()
{
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        if (affectsEndpoints(watcher) && mayCall(watcher)) {
            watcher.poll(m_resumedAt);
        }
    }
}

template <GuardPolicy G>
bool BasicControlMachine<G>::synced() const
{
    return std::all_of(m_watchers.begin(), m_watchers.end(),
                       [](const auto &watcher) { return watcher.synced(); });
}

/// Declares this daemon in the platform if that does not list hosts itself. Peers that do not
/// read the declaration learn of this daemon by its heartbeats.
template <GuardPolicy G>
void BasicControlMachine<G>::announce()
{
    const bool due = !m_hostKind.empty() && !m_announced && m_announceCall == 0;
    if (!due || m_clock.now() < m_nextAnnounce) {
        return;
    }
    m_announceCall = m_nextCallId++;
    PlatformCall call;
    call.id = m_announceCall;
    call.operation = PlatformOperation::Put;
    call.kind = m_hostKind;
    call.name = m_membership.host();
    call.ifVersion = m_announceIfVersion;
    call.value = m_membership.ownDeclaration();
    m_output.calls.push_back(std::move(call));
}

template <GuardPolicy G>
bool BasicControlMachine<G>::handleAnnouncementResult(const PlatformResult &result)
{
    if (result.id != m_announceCall) {
        return false;
    }
    m_announceCall = 0;
    const bool isConflict = result.outcome == PlatformOutcome::Conflict;
    // A restarted host is already declared; if nothing has changed, that saves a call.
    m_announced = result.outcome == PlatformOutcome::Ok
                  || (isConflict && m_membership.matchesDeclaration(result.value));
    if (isConflict) {
        m_announceIfVersion = result.version;
        return true;
    }
    m_nextAnnounce = m_clock.now() + controlmachine::announceInterval;
    return true;
}

template <GuardPolicy G>
ControlOutput BasicControlMachine<G>::drainOutput()
{
    forwardLedgerReplies();
    drainEndedEndpoints();
    if (m_streams.awaitsConfirmation()) {
        m_streams.confirm(endpointsConfirmedUntil());
    }
    drainCrashWatch();
    drainStreams();
    publishConfig();
    for (PeerSend &send : m_router.drainSends()) {
        m_output.sends.push_back(std::move(send));
    }
    for (PeerSend &send : m_gossip.drainSends()) {
        m_output.sends.push_back(std::move(send));
    }
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        for (HeldDeletion &deletion : watcher.drainHeldDeletions()) {
            m_output.heldDeletions.push_back(std::move(deletion));
        }
    }
    m_output.retained = m_config.drainRetained();
    m_output.faults = m_config.drainFaults();
    m_output.invalidLoanFields = m_loans.drainInvalidFields();
    for (ClaimDecision &decision : m_router.drainDecisions()) {
        m_output.decisions.push_back(std::move(decision));
    }
    return std::exchange(m_output, {});
}

/// Reports endpoints that have started again. Calls that were sent since the last confirmed state
/// may have reached the new instance.
template <GuardPolicy G>
void BasicControlMachine<G>::drainEndedEndpoints()
{
    for (ReplacedEndpoint &endpoint : m_config.drainEndedEndpoints()) {
        const TimePoint ranUntil = endpoint.keepsVersion ? TimePoint::max() : m_endpointsKnownUntil;
        EndpointEnded event{std::move(endpoint.name), ranUntil};
        m_streams.handle(event);
        m_output.endedEndpoints.push_back(std::move(event));
    }
}

/// Asks the platform whether endpoints have started again, if lookups wait for that.
template <GuardPolicy G>
void BasicControlMachine<G>::pollEndpoints()
{
    if (!m_streams.awaitsConfirmation()) {
        return;
    }
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        if (watcher.follows(m_config.reader().endpointKind()) && mayCall(watcher)) {
            watcher.poll(m_streams.confirmationNeeded());
            watcher.tick(m_output.calls, m_nextCallId);
        }
    }
}

/// Returns the time up to which this daemon knows the changes of endpoints by its own calls. One
/// that does not watch relies on what its peers push.
template <GuardPolicy G>
TimePoint BasicControlMachine<G>::endpointsConfirmedUntil() const
{
    TimePoint until = m_clock.now();
    if (!m_gossip.shouldWatch()) {
        return endpointUpdatesUntil() == TimePoint::min() ? TimePoint::min() : until;
    }
    for (const BasicConfigWatcher<G> &watcher : m_watchers) {
        if (watcher.follows(m_config.reader().endpointKind())) {
            until = std::min(until, watcher.answeredUntil());
        }
    }
    return until;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const LocateStream &event)
{
    m_streams.handle(event);
    pollEndpoints();
}

/// Records up to which time the changes of endpoints are known. What was declared during a gap may
/// arrive some time after its end.
template <GuardPolicy G>
void BasicControlMachine<G>::recordEndpointUpdates()
{
    const TimePoint now = m_clock.now();
    if (endpointUpdatesUntil() == TimePoint::min()) {
        m_endpointUpdatesSince = TimePoint::max();
        return;
    }
    m_endpointUpdatesSince = std::min(m_endpointUpdatesSince, now);
    if (now - m_endpointUpdatesSince >= controlmachine::maxUpdateDelay) {
        m_endpointsKnownUntil = now - controlmachine::maxUpdateDelay;
    }
}

/// Moves the actions of the crash watch to the output.
template <GuardPolicy G>
void BasicControlMachine<G>::drainCrashWatch()
{
    for (PeerSend &send : m_crashes.drainSends()) {
        m_output.sends.push_back(std::move(send));
    }
    m_output.probes = m_crashes.drainProbes();
    m_output.suspects = m_crashes.drainSuspects();
    m_output.quarantines = m_crashes.drainDecisions();
    // In force here at once, since the platform may be unavailable.
    m_isConfigUrgent = m_isConfigUrgent || !m_output.quarantines.empty();
    m_configPending = m_configPending || !m_output.quarantines.empty();
}

/// Moves the messages about streams and the results of lookups to the output.
template <GuardPolicy G>
void BasicControlMachine<G>::drainStreams()
{
    for (PeerSend &send : m_streams.drainSends()) {
        const bool isRecord = std::holds_alternative<StreamRecords>(send.message.content);
        if (G::sharesStreamOrigins || !isRecord) {
            m_output.sends.push_back(std::move(send));
        }
    }
    m_output.streamLookups = m_streams.drainLookups();
}

template <GuardPolicy G>
ActiveResources BasicControlMachine<G>::resources() const
{
    ActiveResources all = m_config.resources();
    if (!G::avoidsDrained) {
        std::erase_if(all.resources, [](const Resource &resource) {
            return std::holds_alternative<DataCentreDrainSpec>(resource.spec);
        });
    }
    for (Resource &resource : m_crashes.unpublished()) {
        all.resources.push_back(std::move(resource));
    }
    return all;
}

/// Adds the address at which the endpoint can be probed, unless it is known to have ended.
template <GuardPolicy G>
void BasicControlMachine<G>::handle(BrokenCall call)
{
    const ConfigEntry *declared = m_config.endpoint(call.endpoint);
    const bool isDeclared =
        declared != nullptr && declared->endpoint != nullptr && !m_config.hasEnded(call.endpoint);
    call.address = isDeclared ? declared->endpoint->address : std::string();
    m_crashes.handle(std::move(call));
}

template <GuardPolicy G>
void BasicControlMachine<G>::handleBrokenPieceCall(const PieceCall &call, TimePoint sentAt)
{
    std::set<Hash128> seen;
    for (const PieceOrder &order : call.orders) {
        if (!seen.insert(order.digest).second) {
            continue;
        }
        BrokenCall broken;
        broken.digest = order.digest;
        broken.pool = call.stats.pool;
        broken.endpoint = call.endpoint;
        broken.sentAt = sentAt;
        broken.brokeAt = m_clock.now();
        broken.requestHost = m_membership.hostOf(order.id.request.incarnation).value_or("");
        handle(std::move(broken));
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::forwardLedgerReplies()
{
    // Forwarding a refused claim may make the ledger reply again.
    for (auto replies = m_ledger.drainReplies(); !replies.empty();
         replies = m_ledger.drainReplies()) {
        for (const ClaimReply &reply : replies) {
            if (reply.host.empty()) {
                m_router.handleDecision(reply.decision, false);
            } else {
                sendTo(reply.host, reply.decision);
            }
        }
    }
    for (const FinishReply &reply : m_ledger.drainFinished()) {
        if (reply.host.empty()) {
            m_router.handleFinished(reply.claimant);
        } else {
            sendTo(reply.host, ClaimFinished{reply.claimant});
        }
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::sendTo(const std::string &host, decltype(PeerMessage::content) content)
{
    if (std::optional<PeerSend> message = m_membership.messageTo(host, std::move(content))) {
        m_output.sends.push_back(*std::move(message));
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::tick()
{
    const TimePoint now = m_clock.now();
    if (m_dueAt < now && now - m_dueAt > controlmachine::maxTickDelay) {
        m_resumedAt = now;
        pollAfterSuspension();
    }
    pollEndpoints();
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        m_configPending = watcher.applyDelayedUpdates() || m_configPending;
        if (mayCall(watcher)) {
            watcher.tick(m_output.calls, m_nextCallId);
        }
    }
    announce();
    m_gossip.setConnected(connected());
    m_gossip.setListed(synced());
    m_gossip.setRelayed(m_relay.isRelayed());
    m_gossip.tick();
    m_hostList.tick(m_output.calls, m_nextCallId);
    if (m_membership.heartbeatsDue()) {
        sendHeartbeats();
    }
    m_output.demands = m_peerDemand.changes();
    for (const auto &[total, value] : m_peerReads.changes()) {
        m_peerReadTotals[total] = value;
    }
    for (const auto &[endpoint, tokens] : m_peerPrompts.changes()) {
        m_output.prompts.push_back({endpoint, tokens});
    }
    for (const auto &[endpoint, calls] : m_peerCalls.changes()) {
        m_output.engineCalls.emplace_back(
            endpoint, static_cast<int>(std::min<std::int64_t>(calls, maxReportedCalls)));
    }
    if (m_keepsClaims && m_membership.listsVersion() != m_ownershipVersion) {
        m_ownershipVersion = m_membership.listsVersion();
        for (std::size_t i = 0; i < claimBucketCount; ++i) {
            m_ledger.setOwned(i,
                              preferredOwner(i, m_membership.candidates()) == m_membership.host());
        }
    }
    m_router.tick();
    m_ledger.tick(m_output.calls, m_nextCallId);
    m_crashes.tick(m_config.entries(), m_storeEra, m_output.calls, m_nextCallId);
    m_streams.tick();
    // What is overdue for other reasons, such as a call that waits for its turn, is no suspension.
    m_dueAt = std::max<TimePoint>(now, nextTick());
    recordEndpointUpdates();
}

template <GuardPolicy G>
void BasicControlMachine<G>::recordReads(bool isServing, bool isCrowded, double perSecond)
{
    m_isServing = isServing;
    m_isCrowded = isCrowded;
    m_readsPerSecond = static_cast<std::uint32_t>(std::lround(perSecond));
}

template <GuardPolicy G>
PeerRoom BasicControlMachine<G>::peerRoom() const
{
    const auto totalOf = [this](ReadTotal total) {
        const auto found = m_peerReadTotals.find(total);
        return found == m_peerReadTotals.end() ? 0 : found->second;
    };
    return {m_membership.recentHostCount() - 1, static_cast<int>(totalOf(ReadTotal::ServingHosts)),
            static_cast<int>(totalOf(ReadTotal::CrowdedHosts)),
            static_cast<double>(totalOf(ReadTotal::ReadsPerSecond))};
}

template <GuardPolicy G>
void BasicControlMachine<G>::sendHeartbeats()
{
    Heartbeat own;
    own.usage = m_ownUsage;
    own.leavingEndpoints = leavingEndpoints();
    own.leavingKnown = m_leavingKnown;
    own.backlogs = m_backlogs;
    own.prompts = m_prompts;
    own.paces = std::exchange(m_paces, {});
    own.lostPools = m_lostPools;
    const bool isServing = m_isServing && !m_membership.leaving();
    own.servingHosts = isServing ? 1 : 0;
    own.crowdedHosts = isServing && m_isCrowded ? 1 : 0;
    own.readsPerSecond = isServing ? m_readsPerSecond : 0;
    own.limits = m_limits.reports(m_clock.now());
    own.configSummary = m_config.summary();
    own.storeEra = m_storeEra;
    own.lowestRevision = m_lowestRevision;
    // A heartbeat reports whether this daemon watches the platform, a relay's summary whether
    // any daemon of its data centre does.
    own.watches = m_gossip.hasWatcher();
    const bool watches = m_gossip.watchesConnected();
    const std::vector<HeartbeatTarget> targets = m_relay.targets();
    m_membership.requestMultiplierAsRelay(m_relay.requestedMultiplier());
    for (PeerSend &send : m_membership.dueHeartbeats(targets, m_relay.isRelay())) {
        auto &content = std::get<Heartbeat>(send.message.content);
        content.usage = own.usage;
        content.leavingEndpoints = own.leavingEndpoints;
        content.leavingKnown = own.leavingKnown;
        content.backlogs = own.backlogs;
        content.prompts = own.prompts;
        content.paces = own.paces;
        content.lostPools = own.lostPools;
        content.servingHosts = own.servingHosts;
        content.crowdedHosts = own.crowdedHosts;
        content.readsPerSecond = own.readsPerSecond;
        content.limits = own.limits;
        content.configSummary = own.configSummary;
        content.storeEra = own.storeEra;
        content.lowestRevision = own.lowestRevision;
        content.watches = watches;
        m_output.sends.push_back(std::move(send));
    }
    for (PeerSend &send : m_relay.summaries(own)) {
        m_output.sends.push_back(std::move(send));
    }
}

/// Returns whether \p watcher may call the platform. After a start it lists at once, but watches
/// only after watchStartDelay, and if it is selected to watch then. The first watch returns what
/// has changed since the listing.
template <GuardPolicy G>
bool BasicControlMachine<G>::mayCall(const BasicConfigWatcher<G> &watcher) const
{
    const bool isNew = m_clock.now() < m_startedAt + controlmachine::watchStartDelay;
    return m_gossip.shouldWatch() && !(isNew && watcher.synced());
}

template <GuardPolicy G>
bool BasicControlMachine<G>::heartbeatsDue() const
{
    return m_membership.heartbeatsDue();
}

template <GuardPolicy G>
TimePoint BasicControlMachine<G>::nextTick() const
{
    TimePoint watch = TimePoint::max();
    for (const BasicConfigWatcher<G> &watcher : m_watchers) {
        watch = mayCall(watcher) ? std::min(watch, watcher.nextTick()) : watch;
    }
    if (m_clock.now() < m_startedAt + controlmachine::watchStartDelay) {
        watch = std::min<TimePoint>(watch, m_startedAt + controlmachine::watchStartDelay);
    }
    if (!m_hostKind.empty() && !m_announced && m_announceCall == 0) {
        watch = std::min(watch, m_nextAnnounce);
    }
    TimePoint publish = TimePoint::max();
    if (m_configPending && m_isConfigPublished) {
        publish = m_nextPublish;
    } else if (m_configPending && m_gossip.awaitsComparison()) {
        publish = m_gossip.comparisonEnd();
    }
    return std::min({watch, publish, m_gossip.nextTick(), m_membership.nextTick(),
                     m_router.nextTick(), m_ledger.nextTick(), m_crashes.nextTick(),
                     m_hostList.nextTick(), m_streams.nextTick()});
}

/// Records an era of the store that an answer or a peer states, with the lowest revision that the
/// store is known to have had in it; 0 if unknown.
template <GuardPolicy G>
void BasicControlMachine<G>::observeEra(std::uint64_t era, std::uint64_t lowestRevision)
{
    if (!G::ordersByEra || era == 0 || era < m_storeEra) {
        return;
    }
    const std::uint64_t previous = std::exchange(m_storeEra, era);
    const bool isLower =
        lowestRevision != 0 && (m_lowestRevision == 0 || lowestRevision < m_lowestRevision);
    if (era == previous && !isLower) {
        return;
    }
    m_lowestRevision = lowestRevision;
    m_gossip.setStoreEra(era, lowestRevision);
    const bool mustList = m_config.setEra(era, lowestRevision == 0 ? UINT64_MAX : lowestRevision);
    const bool hasListed = std::any_of(m_watchers.begin(), m_watchers.end(),
                                       [](const auto &watcher) { return watcher.synced(); });
    if (era > previous && (hasListed || !m_config.entries().empty())) {
        handleStoreReturn(previous);
    } else if (mustList) {
        for (BasicConfigWatcher<G> &watcher : m_watchers) {
            watcher.restart();
        }
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::observeEra(const ConfigPush &push)
{
    for (const PlatformObject &object : *push.objects) {
        observeEra(object.version.era, 0);
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handleStoreReturn(std::uint64_t previousEra)
{
    m_output.storeReturns.push_back({previousEra, m_storeEra, m_config.revision()});
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        watcher.restart();
    }
    m_ledger.handleStoreReturn();
    if (!G::rewritesLostObjects) {
        return;
    }
    const auto hosts = static_cast<std::int64_t>(m_membership.peers().size()) + 1;
    const auto period = std::chrono::duration_cast<std::chrono::milliseconds>(
        controlmachine::announcePeriodPerHost * hosts);
    const std::uint64_t offset =
        hash64(m_membership.host(), m_storeEra) % static_cast<std::uint64_t>(period.count());
    m_announced = false;
    m_announceIfVersion = {};
    m_nextAnnounce = m_clock.now() + std::chrono::milliseconds(offset);
}

/// Writes the quarantines again that the store has lost. Hosts take turns, so that usually only one
/// of them does.
template <GuardPolicy G>
void BasicControlMachine<G>::rewriteLostObjects(BasicConfigWatcher<G> &watcher)
{
    const std::vector<std::string> lost = watcher.drainLostObjects();
    const std::string &kind = m_config.reader().quarantineKind();
    if (!G::rewritesLostObjects || !watcher.follows(kind)) {
        return;
    }
    for (const std::string &name : lost) {
        const auto entry = m_config.entries().find({kind, name});
        if (entry == m_config.entries().end()) {
            continue;
        }
        const std::vector<std::string> ranked =
            m_membership.ranked(m_membership.candidates(), "rewrite/" + name);
        const auto self = std::find(ranked.begin(), ranked.end(), m_membership.host());
        const auto rank = std::min(static_cast<std::size_t>(self - ranked.begin()),
                                   controlmachine::maxRewriteRank);
        m_crashes.publishAgain(entry->second,
                               controlmachine::rewriteDelay * static_cast<int>(rank));
    }
}

/// Handles a result after its era: an answer of an earlier era is none, since what it reports or
/// has written may be lost.
template <GuardPolicy G>
void BasicControlMachine<G>::handle(PlatformResult result)
{
    // Listings and watches report the store's revision.
    const bool hasRevision =
        result.outcome == PlatformOutcome::Ok
        && std::any_of(m_watchers.begin(), m_watchers.end(),
                       [&result](const auto &watcher) { return watcher.owns(result.id); });
    observeEra(result.era.value_or(0), hasRevision ? result.version.revision : 0);
    if (G::ordersByEra && result.era && *result.era < m_storeEra) {
        ++m_staleAnswers;
        const std::uint64_t id = result.id;
        result = PlatformResult();
        result.id = id;
    }
    result.version.era = m_storeEra;
    for (PlatformObject &object : result.objects) {
        object.version.era = m_storeEra;
    }
    handleCurrent(result);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handleCurrent(const PlatformResult &result)
{
    const auto owner = std::find_if(m_watchers.begin(), m_watchers.end(),
                                    [&](const auto &watcher) { return watcher.owns(result.id); });
    const std::optional<TimePoint> dueAt =
        owner != m_watchers.end() ? std::optional(owner->answerDueAt()) : std::nullopt;
    for (auto watcher = m_watchers.begin(); watcher != m_watchers.end(); ++watcher) {
        if (watcher != owner) {
            watcher->recordPlatformAnswer(result.outcome, dueAt);
        }
    }
    if (owner != m_watchers.end()) {
        // The first listing is not pushed, since the others have it or read it themselves.
        // For 3,000 endpoints and a hundred hosts, a push takes 0.9 MB per host, 90 MB that
        // the sender holds and transmits for half a minute.
        const bool isUpdate = owner->synced();
        m_configPending = owner->handle(result) || m_configPending;
        rewriteLostObjects(*owner);
        if (isUpdate) {
            m_gossip.pushUpdates();
        } else {
            m_config.discardUpdates();
        }
        return;
    }
    if (handleAnnouncementResult(result) || m_crashes.handle(result)) {
        return;
    }
    if (m_hostList.owns(result.id)) {
        if (const auto hosts = m_hostList.handle(result)) {
            handleHostList(*hosts);
            const bool containsSelf =
                std::any_of(hosts->begin(), hosts->end(), [this](const PlatformObject &host) {
                    return host.name == m_membership.host();
                });
            m_gossip.recordHostList(containsSelf || m_hostKind.empty());
            m_hostList.schedule();
        }
        return;
    }
    m_ledger.handle(result);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message)
{
    m_membership.recordMessage(message);
    std::visit([&](const auto &content) { handle(message, content); }, message.content);
}

/// Replaces what is known of the load at \p source, a daemon or a data centre, which cannot know
/// more than \p maxHosts hosts.
template <GuardPolicy G>
template <typename Content>
void BasicControlMachine<G>::updatePeerTotals(const std::string &source, const Content &content,
                                              std::uint32_t maxHosts)
{
    PeerTotals<std::string>::Values prompts;
    PeerTotals<std::string>::Values calls;
    for (const PromptBacklog &prompt : content.prompts) {
        prompts[prompt.endpoint] = prompt.tokens;
        calls[prompt.endpoint] = std::clamp(prompt.calls, 0, maxReportedCalls);
    }
    m_peerReads.update(source,
                       {{ReadTotal::ServingHosts, std::min(content.servingHosts, maxHosts)},
                        {ReadTotal::CrowdedHosts, std::min(content.crowdedHosts, maxHosts)},
                        {ReadTotal::ReadsPerSecond,
                         std::min(content.readsPerSecond, controlmachine::maxReadsPerSecond)}},
                       controlmachine::readTotalsTtl);
    m_peerPrompts.update(source, std::move(prompts));
    m_peerCalls.update(source, std::move(calls));
}

/// Passes on the parts of the load that \p source reported which add to what is known.
template <GuardPolicy G>
template <typename Content>
void BasicControlMachine<G>::handleLoad(const std::string &source, const Content &content)
{
    for (PaceFault &fault : paceFaultsIn(source, content)) {
        m_output.paceFaults.push_back(std::move(fault));
    }
    // A sender reports no more than this.
    const auto usedPaces = std::min(content.paces.size(), maxReportedPaces * loadClassCount);
    m_output.paces.insert(m_output.paces.end(), content.paces.begin(),
                          content.paces.begin() + static_cast<std::ptrdiff_t>(usedPaces));
    m_output.usage.insert(m_output.usage.end(), content.usage.begin(), content.usage.end());
    m_output.backlogs.insert(m_output.backlogs.end(), content.backlogs.begin(),
                             content.backlogs.end());
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const Heartbeat &content)
{
    observeEra(content.storeEra, content.lowestRevision);
    m_relay.handle(message.host, content);
    if (m_relay.isRelayed()) {
        m_gossip.handle(message.host, digestOf(content, content.watches));
    }
    if (m_relay.usesHeartbeatsFrom(content.dataCentre)) {
        m_peerDemand.update(message.host, content.usage);
        updatePeerTotals(message.host, content, 1);
        handleLoad(message.host, content);
    }
    m_leavingKnown = m_leavingKnown || content.leavingKnown;
    recordLimitReports(content.limits);
    for (const std::string &endpoint : content.leavingEndpoints) {
        recordLeaving(endpoint);
    }
}

/// Returns the digest that corresponds to the configuration state in a heartbeat or summary.
template <GuardPolicy G>
template <typename Content>
ConfigDigest BasicControlMachine<G>::digestOf(const Content &content, bool watches)
{
    ConfigDigest digest;
    digest.summary = content.configSummary;
    digest.storeEra = content.storeEra;
    digest.lowestRevision = content.lowestRevision;
    digest.watches = watches;
    return digest;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const PeerSummary &content)
{
    const auto sender = m_membership.peers().find(message.host);
    if (sender == m_membership.peers().end()) {
        return; // This daemon requests summaries from known relays only.
    }
    const std::string dataCentre = sender->second.dataCentre;
    m_relay.handle(dataCentre, content);
    if (dataCentre == m_membership.dataCentre()) {
        m_membership.recordRequestedMultiplier(content.heartbeatMultiplier);
    }
    const std::string scope = m_relay.hostListScope(dataCentre);
    if (content.hasHosts) {
        m_membership.handleHostReports(content.hosts, scope);
        m_relay.recordHostList(message.host, scope, content.hostsHash);
    } else if (m_relay.holdsBaseOf(message.host, content)) {
        m_membership.handleHostChanges(content.hosts, content.removedHosts, scope);
        m_relay.recordHostList(message.host, scope, content.hostsHash);
    } else if (m_relay.renewHostList(message.host, content.hostsHash)) {
        m_membership.renewHostReports(scope);
    }
    observeEra(content.storeEra, content.lowestRevision);
    m_gossip.handle(message.host, digestOf(content, content.hasWatcher));
    if (m_relay.usesSummariesFrom(dataCentre)) {
        const std::string source = "summary of " + dataCentre;
        const auto maxHosts = static_cast<std::uint32_t>(m_membership.knownHostCount(scope));
        const bool isComplete =
            m_coverage.record(dataCentre, std::min(content.servingHosts, maxHosts));
        if (isComplete || !G::keepsCompleteSummaries) {
            updatePeerTotals(source, content, maxHosts);
            if (content.hasUsage) {
                m_peerDemand.updateFromSummary(source, content.usage);
            }
        }
        handleLoad(source, content);
    }
    m_leavingKnown = m_leavingKnown || content.leavingKnown;
    recordLimitReports(content.limits);
    for (const std::string &endpoint : content.leavingEndpoints) {
        recordLeaving(endpoint);
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimRequest &content)
{
    m_ledger.claim(content, message.host);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimDecision &content)
{
    (void)message;
    // Drops decisions for a previous incarnation of this daemon.
    if (content.claimant.incarnation == m_membership.incarnation()) {
        m_router.handleDecision(content, true);
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimFinish &content)
{
    m_ledger.finish(content, message.host);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimFinished &content)
{
    (void)message;
    m_router.handleFinished(content.claimant);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ConfigPush &content)
{
    (void)message;
    observeEra(content);
    m_configPending = m_gossip.handle(content) || m_configPending;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ConfigDigest &content)
{
    observeEra(content.storeEra, content.lowestRevision);
    m_gossip.handle(message.host, content);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const CrashReports &content)
{
    (void)message;
    m_crashes.handle(content);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const CrashesCleared &content)
{
    (void)message;
    m_crashes.handle(content);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const StreamRecords &content)
{
    (void)message;
    m_streams.handle(content);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const StreamQuery &content)
{
    m_streams.handle(message.host, content);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const StreamReply &content)
{
    m_streams.handle(message.host, content);
    pollEndpoints();
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const RetriesWanted &event)
{
    std::vector<std::string> peers = m_membership.livePeers();
    std::erase_if(
        peers, [this](const std::string &host) { return m_membership.peers().at(host).leaving; });
    for (BudgetLoans::Send &send : m_loans.request(event, std::move(peers))) {
        sendTo(send.host, std::move(send.request));
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const RetriesLent &event)
{
    m_loans.recordGranted();
    sendTo(event.host, event.loan);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const BudgetLoanRequest &content)
{
    if (const auto request = m_loans.handle(message.host, message.incarnation, content)) {
        m_output.lendRequests.push_back(*request);
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const BudgetLoan &content)
{
    if (const auto borrowed = m_loans.handle(message.host, content)) {
        m_output.borrowed.push_back(*borrowed);
    }
}

template <GuardPolicy G>
template <PieceContent Content>
void BasicControlMachine<G>::handle(const PeerMessage &message, const Content &content)
{
    (void)content;
    m_output.pieceMessages.push_back(message);
}

template <GuardPolicy G>
template <RelayContent Content>
void BasicControlMachine<G>::handle(const PeerMessage &message, const Content &content)
{
    (void)content;
    m_output.relayMessages.push_back(message);
}

template <GuardPolicy G>
std::optional<std::string> BasicControlMachine<G>::chooseRelay(const std::string &pool)
{
    std::vector<std::string> hosts = m_membership.livePeers();
    std::erase_if(hosts, [&](const std::string &host) {
        return m_membership.peers().at(host).leaving || !m_membership.reaches(host, pool);
    });
    if (hosts.empty()) {
        return std::nullopt;
    }
    return hosts[m_nextRelay++ % hosts.size()];
}

template <GuardPolicy G>
void BasicControlMachine<G>::handleHostList(const std::vector<PlatformObject> &hosts)
{
    m_membership.handleHostList(hosts);
    m_leavingKnown = true;
    for (const PlatformObject &host : hosts) {
        const nlohmann::json value = parseJsonText(host.value);
        const auto state = value.find("state");
        if (state != value.end() && *state == "leaving") {
            recordLeaving(host.name);
        }
    }
}

/// Records that \p endpoint is leaving. Older messages never revert this; only a newer
/// declaration of the endpoint makes it usable again.
template <GuardPolicy G>
void BasicControlMachine<G>::recordLeaving(const std::string &endpoint)
{
    const ConfigEntry *declared = m_config.endpoint(endpoint);
    if (!G::avoidsLeaving || m_config.hasEnded(endpoint)) {
        return;
    }
    if (declared == nullptr) {
        m_undeclaredLeaving.insert(endpoint);
        return;
    }
    const Version version = declared->inForce;
    const auto known = m_leavingEndpoints.find(endpoint);
    if (known != m_leavingEndpoints.end() && known->second >= version) {
        return;
    }
    m_leavingEndpoints[endpoint] = version;
    m_output.leavingEndpoints.push_back(endpoint);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const EndpointLimitAnnounced &event)
{
    if (m_limits.record(event.endpoint, event.announcement, m_clock.now())) {
        m_output.limits.push_back(event);
    }
}

/// Records a peer's reports of rate limits of declared endpoints.
template <GuardPolicy G>
void BasicControlMachine<G>::recordLimitReports(const std::vector<EndpointLimitReport> &reports)
{
    const TimePoint now = m_clock.now();
    for (const EndpointLimitReport &report : reports) {
        const bool isDeclared = m_config.endpoint(report.endpoint) != nullptr;
        if (isDeclared && m_limits.recordReport(report, now)) {
            m_output.limits.push_back({report.endpoint, {report.perSecond, now - report.age}});
        }
    }
}

/// Returns whether every group of kinds has been listed, or received from peers. Endpoints alone
/// are not a complete configuration: with only them, a daemon that had just started responded
/// with 404 to requests that all versions of the configuration allowed.
template <GuardPolicy G>
bool BasicControlMachine<G>::hasAllKinds() const
{
    return std::all_of(m_watchers.begin(), m_watchers.end(),
                       [this](const auto &watcher) { return hasKindsOf(watcher); });
}

/// Returns whether the kinds that \p watcher follows have been listed, or received from peers.
/// Usually there are no quarantines and drains, so peers have none to send. A start does not
/// wait for quarantines. It does wait for drains, unless the platform is unavailable or a peer has
/// transferred its complete configuration, since it would otherwise send work to a drained data
/// centre.
template <GuardPolicy G>
bool BasicControlMachine<G>::hasKindsOf(const BasicConfigWatcher<G> &watcher) const
{
    const ObjectReader &reader = m_config.reader();
    if (isUnreadable(watcher)) {
        return false;
    }
    if (watcher.synced() || watcher.followsOnly(reader.quarantineKind())) {
        return true;
    }
    if (watcher.followsOnly(reader.drainKind())) {
        return watcher.isPlatformUnavailable() || m_gossip.isComplete();
    }
    const auto &entries = m_config.entries();
    return std::any_of(entries.begin(), entries.end(), [&watcher](const auto &entry) {
        return watcher.follows(entry.first.first);
    });
}

/// Returns whether objects that \p watcher follows are declared, but none could be read. Without
/// objects that operators declare, a daemon would respond with 404.
template <GuardPolicy G>
bool BasicControlMachine<G>::isUnreadable(const BasicConfigWatcher<G> &watcher) const
{
    const ObjectReader &reader = m_config.reader();
    if (watcher.followsOnly(reader.endpointKind())
        || watcher.followsOnly(reader.quarantineKind())) {
        return false;
    }
    bool isDeclared = false;
    for (const auto &[key, entry] : m_config.entries()) {
        if (entry.deleted || !watcher.follows(key.first)) {
            continue;
        }
        if (entry.fault.empty() || entry.isActive()) {
            return false;
        }
        isDeclared = true;
    }
    return isDeclared;
}

template <GuardPolicy G>
RateShares BasicControlMachine<G>::rateShares() const
{
    if (m_clock.now() - m_startedAt < controlmachine::startupPeriod) {
        return {};
    }
    return {m_membership.host(), m_membership.peers().size() + 1,
            m_membership.livePeers().size() + 1};
}

template <GuardPolicy G>
ColdShares BasicControlMachine<G>::coldShares() const
{
    if (m_clock.now() - m_startedAt < controlmachine::startupPeriod) {
        return {};
    }
    return {m_membership.host(), m_membership.peers().size() + 1};
}

template <GuardPolicy G>
Duration BasicControlMachine<G>::publishInterval() const
{
    const std::size_t objects = m_config.entries().size();
    const bool joins = G::joinsEndpointChanges && objects >= controlmachine::minJoinedObjects;
    if (!joins) {
        return Duration::zero();
    }
    const auto interval = std::chrono::duration_cast<Duration>(
        controlmachine::publishIntervalPerObject * static_cast<double>(objects)
        / m_membership.capacity());
    return std::min<Duration>(interval, controlmachine::maxPublishInterval);
}

/// Returns whether a pending change may be published now. After its start a daemon first waits to
/// learn which endpoints are leaving, to not send them work. Later changes are published at once,
/// but for changes of endpoints in quick succession: where thousands start or are replaced, each
/// change would cost every host a whole snapshot.
template <GuardPolicy G>
bool BasicControlMachine<G>::mayPublish()
{
    m_isConfigUrgent = m_config.drainDeclarationsChanged() || m_isConfigUrgent;
    const TimePoint now = m_clock.now();
    if (m_isConfigPublished) {
        return m_isConfigUrgent || now >= m_nextPublish;
    }
    const bool isTimedOut = now - m_startedAt > controlmachine::maxLeavingWait;
    return !m_gossip.awaitsConfiguration() && !m_gossip.awaitsComparison() && hasAllKinds()
           && (m_leavingKnown || isTimedOut);
}

/// Reports a pending change of the configuration in the output.
template <GuardPolicy G>
void BasicControlMachine<G>::publishConfig()
{
    for (const std::string &endpoint : m_config.drainLeavingEndpoints()) {
        m_output.leavingEndpoints.push_back(endpoint);
    }
    if (!m_configPending || !mayPublish()) {
        return;
    }
    m_isConfigPublished = true;
    m_configPending = false;
    m_isConfigUrgent = false;
    m_nextPublish = m_clock.now() + publishInterval();
    m_output.configChanged = true;
    m_limits.keepOnly(
        [this](const std::string &endpoint) { return m_config.endpoint(endpoint) != nullptr; });
    for (const std::string &endpoint : std::exchange(m_undeclaredLeaving, {})) {
        recordLeaving(endpoint);
    }
}

template <GuardPolicy G>
std::vector<std::string> BasicControlMachine<G>::leavingEndpoints() const
{
    std::vector<std::string> names(m_undeclaredLeaving.begin(), m_undeclaredLeaving.end());
    for (const auto &[endpoint, version] : m_leavingEndpoints) {
        const ConfigEntry *declared = m_config.endpoint(endpoint);
        if (declared != nullptr && declared->inForce <= version) {
            names.push_back(endpoint);
        }
    }
    return names;
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONTROLMACHINEIMPL_H
