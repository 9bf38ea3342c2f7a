//===- harelink/Kernel/controlmachineimpl.h - Definitions -------*- C++ -*-===//
///
/// \file
/// The definitions of BasicControlMachine; included only where it is
/// instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONTROLMACHINEIMPL_H
#define HARELINK_KERNEL_CONTROLMACHINEIMPL_H

#include "harelink/Kernel/claimledgerimpl.h"
#include "harelink/Kernel/claimrouterimpl.h"
#include "harelink/Kernel/configgossipimpl.h"
#include "harelink/Kernel/configmachineimpl.h"
#include "harelink/Kernel/controlmachine.h"

#include <algorithm>
#include <utility>

namespace harelink {

namespace controlmachine {

/// How often the platform's host list is read by a daemon that has just started: hosts
/// that start together may each have read it before the others stood in it.
inline constexpr std::chrono::milliseconds hostListInterval{2000};
inline constexpr std::chrono::milliseconds startingTime{6000};
/// A turn that comes later than this after it was due shows that the process stood still.
inline constexpr std::chrono::milliseconds mostTurnDelay{200};
/// The same later: heartbeats tell of hosts that come. With 86 daemons the list was 2,500
/// of 6,200 calls to the platform in 58 s at the shorter interval.
inline constexpr std::chrono::milliseconds settledHostListInterval{8000};
/// The same where a relay tells of all that live: only relays need the list sooner, to meet.
inline constexpr std::chrono::milliseconds relayedHostListInterval{60'000};
/// The same after a failure, and while not a single peer is known.
inline constexpr std::chrono::milliseconds firstHostListInterval{500};
/// How long a daemon that starts waits to hear of those that watch: a relay answers its
/// first heartbeat within 250 ms, and the host list is read before. Of 300 that started
/// together each made two watches that nobody needed.
inline constexpr std::chrono::milliseconds acquaintance{900};
/// Between two attempts to declare oneself.
inline constexpr std::chrono::milliseconds announceInterval{300};
/// How long a start waits at most to learn which endpoints are leaving.
inline constexpr std::chrono::milliseconds longestLeavingWait{5000};

} // namespace controlmachine

template <GuardPolicy G>
BasicControlMachine<G>::BasicControlMachine(const Clock &clock, const ControlOptions &options)
    : m_clock(clock)
    , m_config(*options.objects)
    , m_membership(clock, options.host, options.peerAddress, options.dataCentre,
                   options.incarnation)
    , m_relay(clock, m_membership, options.maxMeshPeers)
    , m_gossip(clock, m_membership, m_config, options.watchersPerDataCentre)
    , m_ledger(
          clock, [this](Incarnation incarnation) { return m_membership.hostOf(incarnation); },
          options.claims)
    , m_router(clock, m_membership, m_ledger)
    , m_crashes(clock, m_membership, options.objects->quarantineKind(), options.quarantineDuration)
    , m_startedAt(clock.now())
    , m_nextHostList(clock.now())
    , m_keepsClaims(options.keepsClaims)
    , m_hostKind(options.hostKind)
    , m_nextAnnounce(clock.now())
    , m_peerPrompts(clock)
    , m_peerDemand(clock)
{
    m_membership.setCapacity(options.capacity);
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
    const ObjectReader &reader = m_config.reader();
    const auto isCurrent = [this, &reader](const BasicConfigWatcher<G> &watcher) {
        return watcher.followsOnly(reader.quarantineKind())
               || watcher.followsOnly(reader.drainKind()) || watcher.answeredSince(m_resumedAt);
    };
    const bool receives = m_gossip.shouldWatch()
                              ? std::all_of(m_watchers.begin(), m_watchers.end(), isCurrent)
                              : m_gossip.watcherSeenSince(m_resumedAt);
    return receives ? nextTick() + controlmachine::mostTurnDelay : TimePoint::min();
}

template <GuardPolicy G>
bool BasicControlMachine<G>::synced() const
{
    return std::all_of(m_watchers.begin(), m_watchers.end(),
                       [](const auto &watcher) { return watcher.synced(); });
}

/// Declares this daemon in the platform, where that knows no hosts by itself. Peers
/// that are told nothing of it hear of it by its heartbeats.
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
    call.ifVersion = m_announcedOver;
    call.value = m_membership.ownDeclaration();
    m_output.calls.push_back(std::move(call));
}

template <GuardPolicy G>
bool BasicControlMachine<G>::takeAnnouncement(const PlatformResult &result)
{
    if (result.id != m_announceCall) {
        return false;
    }
    m_announceCall = 0;
    const bool isConflict = result.outcome == PlatformOutcome::Conflict;
    // A host that starts again stands there already, as it was: one call less for each.
    m_announced = result.outcome == PlatformOutcome::Ok
                  || (isConflict && m_membership.matchesDeclaration(result.value));
    if (isConflict) {
        m_announcedOver = result.version;
        return true;
    }
    m_nextAnnounce = m_clock.now() + controlmachine::announceInterval;
    return true;
}

template <GuardPolicy G>
ControlOutput BasicControlMachine<G>::drainOutput()
{
    forwardLedgerReplies();
    takeCrashes();
    giveOutConfig();
    for (PeerSend &send : m_router.drainSends()) {
        m_output.sends.push_back(std::move(send));
    }
    for (PeerSend &send : m_gossip.drainSends()) {
        m_output.sends.push_back(std::move(send));
    }
    m_output.endedEndpoints = m_config.drainEndedEndpoints();
    m_output.faults = m_config.drainFaults();
    for (ClaimDecision &decision : m_router.drainDecisions()) {
        m_output.decisions.push_back(std::move(decision));
    }
    return std::exchange(m_output, {});
}

/// Hands out what the watch over crashing requests wants.
template <GuardPolicy G>
void BasicControlMachine<G>::takeCrashes()
{
    for (PeerSend &send : m_crashes.drainSends()) {
        m_output.sends.push_back(std::move(send));
    }
    m_output.probes = m_crashes.drainProbes();
    m_output.suspects = m_crashes.drainSuspects();
    m_output.quarantines = m_crashes.drainDecisions();
    // In force here at once: the platform may be away.
    m_configPending = m_configPending || !m_output.quarantines.empty();
}

template <GuardPolicy G>
std::vector<Resource> BasicControlMachine<G>::resources() const
{
    std::vector<Resource> all = m_config.resources();
    if (!G::avoidsDrained) {
        std::erase_if(all, [](const Resource &resource) {
            return std::holds_alternative<DataCentreDrainSpec>(resource.spec);
        });
    }
    for (Resource &resource : m_crashes.unpublished()) {
        all.push_back(std::move(resource));
    }
    return all;
}

/// Where the endpoint is known to have ended, there is no address to ask at.
template <GuardPolicy G>
void BasicControlMachine<G>::handle(BrokenCall call)
{
    const ConfigEntry *declared = m_config.endpoint(call.endpoint);
    const bool isDeclared =
        declared != nullptr && !declared->resources.empty() && !m_config.hasEnded(call.endpoint);
    call.address.clear();
    if (isDeclared) {
        call.address = std::get<EndpointSpec>(declared->resources.front().spec).address;
    }
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
        broken.requester = m_membership.hostOf(order.id.request.incarnation).value_or("");
        handle(std::move(broken));
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::forwardLedgerReplies()
{
    // Handing a refused claim on may make the ledger reply again.
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
    if (m_dueAt < now && now - m_dueAt > controlmachine::mostTurnDelay) {
        m_resumedAt = now;
    }
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        m_configPending = watcher.applyDelayedDeletions() || m_configPending;
        if (mayCall(watcher)) {
            watcher.tick(m_output.calls, m_nextCallId);
        }
    }
    announce();
    m_gossip.setConnected(connected());
    m_gossip.setRelayed(m_relay.isRelayed());
    m_gossip.tick();
    pollHostList();
    if (m_membership.heartbeatsDue()) {
        sendHeartbeats();
    }
    m_output.demands = m_peerDemand.changes();
    for (const auto &[endpoint, tokens] : m_peerPrompts.changes()) {
        m_output.prompts.push_back({endpoint, tokens});
    }
    if (m_keepsClaims && m_membership.listsVersion() != m_ownedAtVersion) {
        m_ownedAtVersion = m_membership.listsVersion();
        for (std::size_t i = 0; i < claimBucketCount; ++i) {
            m_ledger.setOwned(i,
                              preferredOwner(i, m_membership.candidates()) == m_membership.host());
        }
    }
    m_router.tick();
    m_ledger.tick(m_output.calls, m_nextCallId);
    m_crashes.tick(m_config.entries(), m_output.calls, m_nextCallId);
    m_dueAt = nextTick();
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
    own.limits = m_limits.reports(m_clock.now());
    own.configSummary = m_config.summary();
    // A heartbeat tells whether this daemon watches, a relay's summary whether anybody does.
    own.watches = m_gossip.hasWatcher();
    const bool watches = m_gossip.watchesConnected();
    for (PeerSend &send : m_membership.dueHeartbeats(m_relay.targets())) {
        auto &content = std::get<Heartbeat>(send.message.content);
        content.usage = own.usage;
        content.leavingEndpoints = own.leavingEndpoints;
        content.leavingKnown = own.leavingKnown;
        content.backlogs = own.backlogs;
        content.prompts = own.prompts;
        content.limits = own.limits;
        content.configSummary = own.configSummary;
        content.watches = watches;
        m_output.sends.push_back(std::move(send));
    }
    for (PeerSend &send : m_relay.summaries(own)) {
        m_output.sends.push_back(std::move(send));
    }
}

/// Whether \p watcher is to go on. One that has just started lists at once, and watches only
/// where no other does; what changes meanwhile its first watch brings.
template <GuardPolicy G>
bool BasicControlMachine<G>::mayCall(const BasicConfigWatcher<G> &watcher) const
{
    const bool isNew = m_clock.now() < m_startedAt + controlmachine::acquaintance;
    return m_gossip.shouldWatch() && !(isNew && watcher.synced());
}

template <GuardPolicy G>
bool BasicControlMachine<G>::heartbeatsDue() const
{
    return m_membership.heartbeatsDue();
}

/// Whether a relay tells this daemon of all that live, so that it needs no list.
template <GuardPolicy G>
bool BasicControlMachine<G>::isToldOfHosts() const
{
    return !m_hostKind.empty() && m_relay.isRelayed() && !m_relay.isRelay()
           && !m_membership.livePeers().empty();
}

template <GuardPolicy G>
void BasicControlMachine<G>::pollHostList()
{
    if (m_hostListCall != 0 || m_clock.now() < m_nextHostList) {
        return;
    }
    if (m_hostListRead && isToldOfHosts()) {
        m_nextHostList = m_clock.now() + controlmachine::relayedHostListInterval;
        return;
    }
    m_hostListCall = m_nextCallId++;
    PlatformCall call;
    call.id = m_hostListCall;
    call.operation = PlatformOperation::Hosts;
    m_output.calls.push_back(std::move(call));
}

template <GuardPolicy G>
TimePoint BasicControlMachine<G>::nextTick() const
{
    TimePoint watch = TimePoint::max();
    for (const BasicConfigWatcher<G> &watcher : m_watchers) {
        watch = mayCall(watcher) ? std::min(watch, watcher.nextTick()) : watch;
    }
    if (m_clock.now() < m_startedAt + controlmachine::acquaintance) {
        watch = std::min<TimePoint>(watch, m_startedAt + controlmachine::acquaintance);
    }
    if (!m_hostKind.empty() && !m_announced && m_announceCall == 0) {
        watch = std::min(watch, m_nextAnnounce);
    }
    const TimePoint next =
        std::min({watch, m_gossip.nextTick(), m_membership.nextTick(), m_router.nextTick(),
                  m_ledger.nextTick(), m_crashes.nextTick()});
    return m_hostListCall == 0 ? std::min(next, m_nextHostList) : next;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PlatformResult &result)
{
    const bool answered =
        result.outcome != PlatformOutcome::Refused && result.outcome != PlatformOutcome::Unanswered;
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        watcher.recordPlatformAnswer(answered);
    }
    for (BasicConfigWatcher<G> &watcher : m_watchers) {
        if (watcher.owns(result.id)) {
            // What a start reads all others read or have: pushed, 3,000 endpoints are 0.9 MB for
            // each of a hundred hosts, 90 MB that the pusher held and sent for half a minute.
            const bool isNews = watcher.synced();
            m_configPending = watcher.handle(result) || m_configPending;
            if (isNews) {
                m_gossip.pushUpdates();
            } else {
                (void)m_config.drainUpdates();
            }
            return;
        }
    }
    if (takeAnnouncement(result) || m_crashes.handle(result)) {
        return;
    }
    if (result.id == m_hostListCall) {
        m_hostListCall = 0;
        takeHostListResult(result);
        return;
    }
    m_ledger.handle(result);
}

template <GuardPolicy G>
void BasicControlMachine<G>::takeHostListResult(const PlatformResult &result)
{
    m_hostListCall = 0;
    const bool listed = result.outcome == PlatformOutcome::Ok;
    if (listed) {
        m_hostListRead = true;
        handleHostList(result.objects);
    }
    const TimePoint now = m_clock.now();
    // Only where it names the daemons is the list a matter of their meeting; elsewhere it
    // also says which endpoints are leaving.
    const bool settled =
        !m_hostKind.empty() && !m_membership.livePeers().empty()
        && (m_relay.isRelayed() || now - m_startedAt > controlmachine::startingTime);
    Duration interval = controlmachine::hostListInterval;
    if (!listed || m_membership.peers().empty()) {
        interval = controlmachine::firstHostListInterval;
    } else if (settled) {
        interval = isToldOfHosts() ? controlmachine::relayedHostListInterval
                                   : controlmachine::settledHostListInterval;
    }
    m_nextHostList = now + interval;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message)
{
    m_membership.recordMessage(message);
    std::visit([&](const auto &content) { handle(message, content); }, message.content);
}

/// Takes in what \p source, a daemon or a data centre, told of loads.
template <GuardPolicy G>
template <typename Content>
void BasicControlMachine<G>::takeFigures(const std::string &source, const Content &content)
{
    PeerTotals<std::string>::Values prompts;
    for (const PromptBacklog &prompt : content.prompts) {
        prompts[prompt.endpoint] = prompt.tokens;
    }
    m_peerPrompts.update(source, std::move(prompts));
    m_output.usage.insert(m_output.usage.end(), content.usage.begin(), content.usage.end());
    m_output.backlogs.insert(m_output.backlogs.end(), content.backlogs.begin(),
                             content.backlogs.end());
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const Heartbeat &content)
{
    m_relay.handle(message.host, content);
    if (m_relay.isRelayed()) {
        m_gossip.handle(message.host, digestOf(content.configSummary, content.watches));
    }
    if (m_relay.usesHeartbeatsFrom(content.dataCentre)) {
        m_peerDemand.update(message.host, content.usage);
        takeFigures(message.host, content);
    }
    m_leavingKnown = m_leavingKnown || content.leavingKnown;
    takeLimits(content.limits);
    for (const std::string &endpoint : content.leavingEndpoints) {
        noteLeaving(endpoint);
    }
}

/// What a heartbeat or a summary tells of declared objects, as the digest that it replaces.
template <GuardPolicy G>
ConfigDigest BasicControlMachine<G>::digestOf(std::uint64_t summary, bool watches)
{
    ConfigDigest digest;
    digest.summary = summary;
    digest.watches = watches;
    return digest;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const PeerSummary &content)
{
    const auto sender = m_membership.peers().find(message.host);
    if (sender == m_membership.peers().end()) {
        return; // A relay that was asked is known.
    }
    const std::string dataCentre = sender->second.dataCentre;
    const bool isLocal = dataCentre == m_membership.dataCentre();
    m_relay.handle(dataCentre, content);
    const std::string scope = isLocal ? std::string() : dataCentre;
    if (content.hasHosts) {
        m_membership.handleHostReports(content.hosts, scope);
        m_relay.recordHostList(message.host, scope, content.hostsHash);
    } else if (m_relay.renewHostList(message.host, content.hostsHash)) {
        m_membership.renewHostReports(scope);
    }
    m_gossip.handle(message.host, digestOf(content.configSummary, content.hasWatcher));
    if (m_relay.usesSummariesFrom(dataCentre)) {
        const std::string source = "summary of " + dataCentre;
        takeFigures(source, content);
        if (content.hasUsage) {
            m_peerDemand.updateFromSummary(source, content.usage);
        }
    }
    m_leavingKnown = m_leavingKnown || content.leavingKnown;
    takeLimits(content.limits);
    for (const std::string &endpoint : content.leavingEndpoints) {
        noteLeaving(endpoint);
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
    // A decision for the incarnation before this one is nobody's.
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
    m_configPending = m_gossip.handle(content) || m_configPending;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ConfigDigest &content)
{
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
template <PieceContent Content>
void BasicControlMachine<G>::handle(const PeerMessage &message, const Content &content)
{
    (void)content;
    m_output.pieceMessages.push_back(message);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handleHostList(const std::vector<PlatformObject> &hosts)
{
    m_membership.handleHostList(hosts);
    m_leavingKnown = true;
    for (const PlatformObject &host : hosts) {
        const nlohmann::json value = nlohmann::json::parse(host.value, nullptr, false);
        const auto state = value.find("state");
        if (state != value.end() && *state == "leaving") {
            noteLeaving(host.name);
        }
    }
}

/// An endpoint that leaves never comes back by an older message; only a newer
/// declaration of it makes it an endpoint again.
template <GuardPolicy G>
void BasicControlMachine<G>::noteLeaving(const std::string &endpoint)
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

/// Records what a peer tells of rate limits of declared endpoints.
template <GuardPolicy G>
void BasicControlMachine<G>::takeLimits(const std::vector<EndpointLimitReport> &reports)
{
    const TimePoint now = m_clock.now();
    for (const EndpointLimitReport &report : reports) {
        const bool isDeclared = m_config.endpoint(report.endpoint) != nullptr;
        if (isDeclared && m_limits.recordReport(report, now)) {
            m_output.limits.push_back({report.endpoint, {report.perSecond, now - report.age}});
        }
    }
}

/// Whether every group of kinds has been listed, or peers have told of it. The endpoints
/// alone are no configuration: with only them a daemon that had just started answered
/// requests that every version allows with 404.
template <GuardPolicy G>
bool BasicControlMachine<G>::knowsAllKinds() const
{
    return std::all_of(m_watchers.begin(), m_watchers.end(),
                       [this](const auto &watcher) { return knowsKindsOf(watcher); });
}

/// Whether what \p watcher follows has been listed, or a peer has told of it. Of quarantines
/// and drains there are none most of the time, and then no peer tells of any. Quarantines are
/// not waited for; drains are, until the platform fails to tell: a host that has just started
/// would send work to a data centre that is drained.
template <GuardPolicy G>
bool BasicControlMachine<G>::knowsKindsOf(const BasicConfigWatcher<G> &watcher) const
{
    const ObjectReader &reader = m_config.reader();
    if (watcher.synced() || watcher.followsOnly(reader.quarantineKind())) {
        return true;
    }
    if (watcher.followsOnly(reader.drainKind())) {
        return watcher.isPlatformUnreachable();
    }
    const auto &entries = m_config.entries();
    return std::any_of(entries.begin(), entries.end(), [&watcher](const auto &entry) {
        return watcher.follows(entry.first.first);
    });
}

template <GuardPolicy G>
RateShares BasicControlMachine<G>::rateShares() const
{
    if (m_clock.now() - m_startedAt < controlmachine::startingTime) {
        return {};
    }
    return {m_membership.host(), m_membership.peers().size() + 1,
            m_membership.livePeers().size() + 1};
}

template <GuardPolicy G>
ColdShares BasicControlMachine<G>::coldShares() const
{
    if (m_clock.now() - m_startedAt < controlmachine::startingTime) {
        return {};
    }
    return {m_membership.host(), m_membership.peers().size() + 1};
}

/// Puts the configuration in force. A daemon that just started first learns
/// which endpoints are leaving, or it would send them work. Later nothing holds news back.
template <GuardPolicy G>
void BasicControlMachine<G>::giveOutConfig()
{
    const bool waited = m_clock.now() - m_startedAt > controlmachine::longestLeavingWait;
    const bool mayBegin = knowsAllKinds() && (m_leavingKnown || waited);
    if (!m_configPending || !(m_isConfigOut || mayBegin)) {
        return;
    }
    m_isConfigOut = true;
    m_configPending = false;
    m_output.configChanged = true;
    m_limits.keepOnly(
        [this](const std::string &endpoint) { return m_config.endpoint(endpoint) != nullptr; });
    for (const std::string &endpoint : std::exchange(m_undeclaredLeaving, {})) {
        noteLeaving(endpoint);
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
