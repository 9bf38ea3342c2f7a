//===- peerrelay.cpp - Heartbeats through relays --------------------------===//

#include "harelink/Kernel/peerrelay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Relays per data centre. When one dies, the other has already received from all hosts.
constexpr std::size_t relayCount = 2;
/// A relay that does not reply for this period, two and a half heartbeats, is passed over.
constexpr milliseconds relayTimeout{600};
/// For this period an unresponsive relay is passed over before it is tried again.
constexpr milliseconds unresponsivePause{3000};
/// What a daemon reported and its request for summaries are valid for four heartbeats.
constexpr milliseconds fastHeartbeatTtl{1000};
/// The length of a round, in heartbeats. One summary of each round contains the usage and goes to
/// all subscribers. Must be a multiple of each value of Membership::heartbeatMultiplier().
constexpr std::uint32_t usageRoundInterval = 4;
/// A host that leaves announces it to both relays this number of times, since messages may be
/// lost. The relays report it to all with their next summaries.
constexpr std::uint32_t maxLeaveAnnouncements = 2;

} // namespace

PeerRelay::PeerRelay(const Clock &clock, const Membership &membership, std::size_t maxMeshPeers)
    : m_clock(clock)
    , m_membership(membership)
    , m_maxMeshPeers(maxMeshPeers)
    , m_load(clock)
{
}

bool PeerRelay::isRelayed() const
{
    return m_membership.peers().size() > m_maxMeshPeers;
}

Duration PeerRelay::heartbeatTtl() const
{
    return fastHeartbeatTtl * static_cast<int>(m_membership.heartbeatMultiplier());
}

bool PeerRelay::isUnresponsive(const std::string &host) const
{
    const auto found = m_unresponsiveUntil.find(host);
    return found != m_unresponsiveUntil.end() && m_clock.now() < found->second;
}

/// Returns the hosts of \p dataCentre in order of preference as relays: high-capacity hosts
/// first, then by hash. If none is known to be live, all declared hosts are candidates.
std::vector<std::string> PeerRelay::ranked(const std::string &dataCentre) const
{
    const auto isCandidate = [this](const std::string &host) {
        const auto peer = m_membership.peers().find(host);
        return peer != m_membership.peers().end() && !peer->second.address.empty()
               && !isUnresponsive(host);
    };
    // Right after a start, the hosts that have sent a message are no better candidates than the
    // others. Otherwise most daemons would take themselves for relays.
    std::vector<std::string> hosts = m_membership.likelyLiveWithin(heartbeatTtl(), dataCentre);
    std::erase_if(hosts, [&](const std::string &host) { return !isCandidate(host); });
    if (hosts.empty()) {
        hosts = m_membership.declaredHosts(dataCentre);
        std::erase_if(hosts, [&](const std::string &host) { return !isCandidate(host); });
    }
    if (dataCentre == m_membership.dataCentre() && !m_membership.leaving()) {
        hosts.push_back(m_membership.host());
    }
    return m_membership.ranked(std::move(hosts), "relay");
}

/// Marks relays that did not reply to a request for summaries, so that they are passed over.
void PeerRelay::detectUnresponsiveRelays()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_requestedSince, [&](const auto &requested) {
        const auto peer = m_membership.peers().find(requested.first);
        const TimePoint seen =
            peer == m_membership.peers().end() ? requested.second : peer->second.lastSeen;
        const bool unresponsive =
            now - std::max(requested.second, seen)
            > relayTimeout * static_cast<int>(m_membership.heartbeatMultiplier());
        if (unresponsive) {
            m_unresponsiveUntil[requested.first] = now + unresponsivePause;
        }
        return unresponsive;
    });
    std::erase_if(m_unresponsiveUntil,
                  [now](const auto &unresponsive) { return unresponsive.second <= now; });
}

void PeerRelay::requestSummary(const std::string &host, std::vector<HeartbeatTarget> &targets)
{
    m_requestedSince.try_emplace(host, m_clock.now());
    targets.push_back({host, true, knownHostsHashOf(host)});
}

std::uint64_t PeerRelay::knownHostsHashOf(const std::string &host) const
{
    const auto list = m_hostLists.find(host);
    const bool holds = list != m_hostLists.end() && m_clock.now() < list->second.until;
    return holds ? list->second.hash : 0;
}

void PeerRelay::recordHostList(const std::string &host, const std::string &dataCentre,
                               std::uint64_t hash)
{
    // The list replaces those that other relays sent of the same hosts.
    std::erase_if(m_hostLists, [&](const auto &entry) {
        const std::string &where = entry.second.dataCentre;
        return dataCentre.empty() || where.empty() || where == dataCentre;
    });
    m_hostLists[host] = {dataCentre, hash, m_clock.now() + Membership::reportTtl};
}

std::string PeerRelay::hostListScope(const std::string &dataCentre) const
{
    const bool coversAll = dataCentre == m_membership.dataCentre() && !m_isRelay;
    return coversAll ? std::string() : dataCentre;
}

bool PeerRelay::holdsBaseOf(const std::string &host, const PeerSummary &summary) const
{
    return summary.changesHostsFrom != 0 && knownHostsHashOf(host) == summary.changesHostsFrom;
}

bool PeerRelay::renewHostList(const std::string &host, std::uint64_t hash)
{
    if (hash == 0 || knownHostsHashOf(host) != hash) {
        return false;
    }
    m_hostLists[host].until = m_clock.now() + Membership::reportTtl;
    return true;
}

/// Requests summaries from one relay of each other data centre.
void PeerRelay::requestRemoteSummaries(std::vector<HeartbeatTarget> &targets)
{
    std::set<std::string> dataCentres;
    for (const auto &[name, peer] : m_membership.peers()) {
        dataCentres.insert(peer.dataCentre);
    }
    dataCentres.erase(m_membership.dataCentre());
    for (const std::string &dataCentre : dataCentres) {
        const std::vector<std::string> hosts = ranked(dataCentre);
        if (!hosts.empty()) {
            requestSummary(hosts.front(), targets);
        }
    }
}

/// Sends a heartbeat to one of the declared hosts that are not known to be live, in turn, and
/// requests a summary from it. Otherwise two daemons that each became a relay before they knew
/// the other would never discover each other. The request is needed because the receiver then
/// knows this daemon and does not introduce itself, so this daemon would not learn of it.
void PeerRelay::addIntroduction(std::vector<HeartbeatTarget> &targets)
{
    std::vector<std::string> unseen;
    for (const auto &[name, peer] : m_membership.peers()) {
        const bool isLocal = peer.dataCentre == m_membership.dataCentre();
        if (isLocal && !peer.leaving && !m_membership.seenWithin(peer, heartbeatTtl())) {
            unseen.push_back(name);
        }
    }
    ++m_introductions;
    // High-capacity hosts are few and matter most, so they get every other turn.
    const std::vector<std::string> candidates =
        m_introductions % 2 == 0 ? std::move(unseen) : m_membership.highCapacityHosts(unseen);
    if (!candidates.empty()) {
        targets.push_back({candidates[m_introductions / 2 % candidates.size()], true});
    }
}

std::vector<HeartbeatTarget> PeerRelay::targets()
{
    std::vector<HeartbeatTarget> targets;
    const bool announcesLeave =
        m_membership.leaving() && m_leaveAnnouncements++ < maxLeaveAnnouncements;
    if (!isRelayed()) {
        m_isRelay = false;
        m_throttle = {};
        for (const auto &[name, peer] : m_membership.peers()) {
            targets.push_back({name, false});
        }
        return targets;
    }
    detectUnresponsiveRelays();
    std::vector<std::string> hosts = ranked(m_membership.dataCentre());
    hosts.resize(std::min(hosts.size(), relayCount));
    const bool wasRelay = std::exchange(
        m_isRelay, std::find(hosts.begin(), hosts.end(), m_membership.host()) != hosts.end());
    if (wasRelay != m_isRelay) {
        m_hostLists.clear(); // Their scope depends on the role.
    }
    if (!m_isRelay) {
        m_throttle = {};
    } else {
        m_throttle.update(m_isOverloaded, m_clock.now());
        requestRemoteSummaries(targets);
        addIntroduction(targets);
    }
    // The second relay also requests summaries from the first one. Otherwise it would not learn
    // of a host that returns and replaces it as a relay.
    for (const std::string &host : hosts) {
        if (host == m_membership.host()) {
            continue;
        }
        // The second relay has to know all hosts when the first one dies. Until then it does
        // not need every heartbeat of the many hosts without high capacity.
        const bool isDue =
            m_isRelay || announcesLeave || m_membership.sendsEachInterval()
            || ++m_secondRelayHeartbeats % (usageRoundInterval / m_membership.heartbeatMultiplier())
                   == 0;
        if (host == hosts.front()) {
            requestSummary(host, targets);
        } else if (isDue) {
            targets.push_back({host, false});
        }
    }
    std::erase_if(m_requestedSince, [&targets](const auto &requested) {
        return std::none_of(targets.begin(), targets.end(), [&requested](const auto &target) {
            return target.requestsSummary && target.host == requested.first;
        });
    });
    return targets;
}

bool PeerRelay::usesHeartbeatsFrom(const std::string &dataCentre) const
{
    return !isRelayed() || (m_isRelay && dataCentre == m_membership.dataCentre());
}

bool PeerRelay::usesSummariesFrom(const std::string &dataCentre) const
{
    return isRelayed() && m_isRelay == (dataCentre != m_membership.dataCentre());
}

void PeerRelay::handle(const std::string &host, const Heartbeat &heartbeat)
{
    if (heartbeat.requestsSummary) {
        m_subscribers[host] = {m_clock.now(), heartbeat.knownHostsHash,
                               heartbeat.acceptsHostChanges};
    }
    // A relay of another data centre includes its own load in its summaries.
    if (heartbeat.dataCentre == m_membership.dataCentre()) {
        m_load.record(host, heartbeat);
    }
}

void PeerRelay::handle(const std::string &dataCentre, const PeerSummary &summary)
{
    if (dataCentre != m_membership.dataCentre()) {
        m_load.record(dataCentre, summary);
    }
}

void PeerRelay::removeExpired()
{
    const TimePoint now = m_clock.now();
    const Duration ttl = heartbeatTtl();
    m_load.removeExpired(ttl);
    std::erase_if(m_subscribers,
                  [&](const auto &entry) { return now - entry.second.requestedAt > ttl; });
}

/// Returns whether a summary to \p host is sent with this heartbeat. The few subscribers with
/// high capacity or in other data centres get one each time, the many others at their own
/// heartbeat interval.
bool PeerRelay::isSummaryDue(const std::string &host, bool isUrgent) const
{
    const auto peer = m_membership.peers().find(host);
    const bool isEveryRound = peer == m_membership.peers().end()
                              || m_membership.sendsEachInterval(peer->second)
                              || !m_membership.isLocal(host);
    return isUrgent || isEveryRound || m_round % m_membership.heartbeatMultiplier() == 0;
}

/// Records the current host lists, to find out what has changed since earlier ones.
void PeerRelay::recordHostLists()
{
    const std::uint64_t all = m_membership.hostsHash({});
    if (!m_allHosts.isCurrent(all)) {
        m_allHosts.record(m_membership.hostReports({}), all);
    }
    const std::string &dataCentre = m_membership.dataCentre();
    const std::uint64_t local = m_membership.hostsHash(dataCentre);
    if (!m_localHosts.isCurrent(local)) {
        m_localHosts.record(m_membership.hostReports(dataCentre), local);
    }
}

/// Adds the host list to \p summary if the subscriber has another one, or what has changed if the
/// subscriber has a recent one.
void PeerRelay::addHostList(Subscriber &subscriber, bool isLocal, PeerSummary &summary) const
{
    const HostListLog &log = isLocal ? m_allHosts : m_localHosts;
    summary.hostsHash = log.currentHash();
    // Assumes delivery until the subscriber reports another hash; otherwise the list would be
    // sent again before it can reply.
    const std::uint64_t known = std::exchange(subscriber.knownHostsHash, summary.hostsHash);
    if (known == summary.hostsHash) {
        return;
    }
    std::optional<HostListChanges> changes;
    if (subscriber.acceptsHostChanges) {
        changes = log.changesSince(known);
    }
    if (changes) {
        summary.changesHostsFrom = known;
        summary.hosts = std::move(changes->hosts);
        summary.removedHosts = std::move(changes->removedHosts);
        return;
    }
    summary.hasHosts = true;
    summary.hosts = m_membership.hostReports(isLocal ? std::string() : m_membership.dataCentre());
}

std::vector<PeerSend> PeerRelay::summaries(const Heartbeat &own)
{
    removeExpired();
    m_load.recordOwn(own);
    std::vector<PeerSend> sends;
    if (m_subscribers.empty()) {
        return sends;
    }
    const bool hasUsage = ++m_round % usageRoundInterval == 0;
    // The hash also changes when a host starts to leave.
    const std::uint64_t hashBefore = m_allHosts.currentHash();
    recordHostLists();
    const bool isUrgent = hasUsage || m_allHosts.currentHash() != hashBefore;
    m_load.beginRound();
    for (auto &[host, subscriber] : m_subscribers) {
        if (!isSummaryDue(host, isUrgent)) {
            continue;
        }
        const bool isLocal = m_membership.isLocal(host);
        PeerSummary summary;
        m_load.addTo(summary, host, isLocal, hasUsage);
        summary.leavingEndpoints = own.leavingEndpoints;
        summary.leavingKnown = own.leavingKnown;
        summary.limits = own.limits;
        summary.configSummary = own.configSummary;
        summary.storeEra = own.storeEra;
        summary.lowestRevision = own.lowestRevision;
        summary.hasWatcher = own.watches;
        summary.heartbeatMultiplier = isLocal ? m_throttle.multiplier() : 1;
        addHostList(subscriber, isLocal, summary);
        if (std::optional<PeerSend> send = m_membership.messageTo(host, std::move(summary))) {
            sends.push_back(*std::move(send));
        }
    }
    if (hasUsage) {
        m_load.resetUsedTime();
    }
    return sends;
}

} // namespace harelink
