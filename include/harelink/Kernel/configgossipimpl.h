//===- harelink/Kernel/configgossipimpl.h - Definitions ---------*- C++ -*-===//
///
/// \file
/// Definitions of BasicConfigGossip. Included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGGOSSIPIMPL_H
#define HARELINK_KERNEL_CONFIGGOSSIPIMPL_H

#include "harelink/Kernel/configexchangeimpl.h"
#include "harelink/Kernel/configgossip.h"

#include <algorithm>

namespace harelink {

namespace configgossip {

inline constexpr std::chrono::milliseconds digestInterval{1000};
/// A daemon that receives nothing from a watcher for this period watches the platform itself.
inline constexpr std::chrono::milliseconds watcherTimeout{2500};
/// In rounds: the interval at which a digest is sent to another data centre.
inline constexpr std::uint64_t remoteRoundInterval = 3;
/// Watchers per data centre that push; the digests of the others compensate for a loss of both
/// pushes. In a large fleet each pushes changes of endpoints to a part of the daemons only, and
/// digests compensate for the loss of that push too.
inline constexpr std::size_t pusherCount = 2;
/// Versions are requested from a peer when its hash has differed for this period. Before, pushes
/// may still be in transit: a complete configuration takes 0.3 s on a slow link.
inline constexpr std::chrono::milliseconds differenceDelay{500};
/// The same if heartbeats carry the hashes: two heartbeats of a host that sends them at every
/// second interval. At 500 ms each change caused 540 needless version requests among 300 daemons.
inline constexpr std::chrono::milliseconds relayedDifferenceDelay{1200};

/// From this number of objects on, versions are compared by bucket.
inline constexpr std::size_t minBucketedObjects = 256;
/// Period for which a daemon's own earlier hashes are known: pushes and heartbeats take less.
inline constexpr std::chrono::milliseconds summaryHistory{10'000};
/// Interval between attempts to get the whole configuration from a peer.
inline constexpr std::chrono::milliseconds fetchInterval{200};
/// A daemon waits this long for its first host list before it lists the objects.
inline constexpr std::chrono::milliseconds maxHostListWait{600};
/// A host that was never declared waits this long for the declarations of hosts that start with
/// it, by which it finds out whether it shall list the objects.
inline constexpr std::chrono::milliseconds newHostWait{900};
/// Maximum time for which a daemon that starts waits to compare its configuration with a peer's.
/// Watchers send digests each second.
inline constexpr std::chrono::milliseconds comparisonWait{1500};
/// A daemon that has run for this period uses and passes on what it has, complete or not.
inline constexpr std::chrono::milliseconds incompletePeriod{5000};

} // namespace configgossip

template <GuardPolicy G>
BasicConfigGossip<G>::BasicConfigGossip(const Clock &clock, const Membership &membership,
                                        BasicConfigTable<G> &table, std::size_t watchers)
    : m_clock(clock)
    , m_membership(membership)
    , m_table(table)
    , m_watchers(watchers)
    , m_nextDigest(clock.now())
    , m_watcherSeenAt(TimePoint::min())
    , m_exchange(clock, membership, table)
    , m_startedAt(clock.now())
    , m_nextFetch(clock.now())
{
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::awaitsConfiguration() const
{
    return G::listsAtFewHosts && m_isRelayed && !isComplete()
           && m_clock.now() - m_startedAt < configgossip::incompletePeriod;
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::awaitsComparison() const
{
    const bool isAlone = m_hasHostList && m_membership.peers().empty();
    return G::retainsLostUpdates && m_storeEra != 0 && !m_hasCompared && !isAlone
           && m_clock.now() < comparisonEnd();
}

template <GuardPolicy G>
TimePoint BasicConfigGossip<G>::comparisonEnd() const
{
    return m_startedAt + configgossip::comparisonWait;
}

template <GuardPolicy G>
void BasicConfigGossip<G>::recordHostList(bool containsSelf)
{
    m_hasHostList = true;
    m_isNewHost = !containsSelf;
}

/// Returns this daemon's rank among those that may watch, from 0; high-capacity hosts are first.
template <GuardPolicy G>
std::size_t BasicConfigGossip<G>::watcherRank() const
{
    const std::uint64_t version = m_membership.listsVersion();
    if (version != m_rankedAtVersion) {
        m_rank = computeWatcherRank();
        m_rankedAtVersion = version;
    }
    return m_rank;
}

template <GuardPolicy G>
std::size_t BasicConfigGossip<G>::computeWatcherRank() const
{
    // After a start of all daemons, none is known to be live.
    std::vector<std::string> hosts = m_watcherSeenAt == TimePoint::min()
                                         ? m_membership.declaredHosts(m_membership.dataCentre())
                                         : m_membership.localCandidates();
    const std::string &self = m_membership.host();
    // A host that is leaving is not in the list, but keeps its rank until it stops.
    if (std::find(hosts.begin(), hosts.end(), self) == hosts.end()) {
        hosts.push_back(self);
    }
    const std::vector<std::string> ranked = m_membership.ranked(std::move(hosts), "watch");
    return static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::hasRecentWatcher() const
{
    return m_watcherSeenAt != TimePoint::min()
           && m_clock.now() - m_watcherSeenAt <= configgossip::watcherTimeout;
}

/// Returns whether a daemon that has just started knows enough hosts to tell whether it shall list
/// the objects.
template <GuardPolicy G>
bool BasicConfigGossip<G>::mayListAfterStart() const
{
    const Duration elapsed = m_clock.now() - m_startedAt;
    if (!G::listsAtFewHosts) {
        return true;
    }
    if (!m_hasHostList) {
        return elapsed >= configgossip::maxHostListWait;
    }
    return !m_isNewHost || elapsed >= configgossip::newHostWait;
}

/// While no watcher is known, the number of daemons that watch grows by another group of
/// m_watchers after periods that double. Watchers that cannot reach the platform are thus
/// replaced soon, and a platform that answers no daemon is not called by all of them.
template <GuardPolicy G>
bool BasicConfigGossip<G>::shouldWatch() const
{
    const bool hasSeenWatcher = m_watcherSeenAt != TimePoint::min();
    if (!hasSeenWatcher && !mayListAfterStart()) {
        return false;
    }
    const Duration elapsed = m_clock.now() - (hasSeenWatcher ? m_watcherSeenAt : m_startedAt);
    std::size_t groups = 1;
    for (Duration end = configgossip::watcherTimeout;
         elapsed > end && groups * m_watchers <= watcherRank();
         end += end + configgossip::watcherTimeout) {
        ++groups;
    }
    return watcherRank() < m_watchers * groups;
}

template <GuardPolicy G>
Duration BasicConfigGossip<G>::differenceDelay() const
{
    // A daemon without any objects requests them at once.
    if (m_table.entries().empty()) {
        return Duration::zero();
    }
    return m_isRelayed ? configgossip::relayedDifferenceDelay : configgossip::differenceDelay;
}

template <GuardPolicy G>
void BasicConfigGossip<G>::send(const std::string &host, decltype(PeerMessage::content) content)
{
    if (std::optional<PeerSend> message = m_membership.messageTo(host, std::move(content))) {
        m_sends.push_back(*std::move(message));
    }
}

template <GuardPolicy G>
void BasicConfigGossip<G>::pushUpdates()
{
    const ConfigPush push(m_table.drainUpdates());
    if (push.objects->empty()) {
        return;
    }
    recordOwnSummary();
    if (watcherRank() >= configgossip::pusherCount) {
        // With relays, the next heartbeat carries the hash.
        if (!m_isRelayed) {
            sendDigestToAll(localPeers());
        }
        return;
    }
    const bool isShared = isLarge() && isEndpointsOnly(push);
    for (const std::string &host : localPeers()) {
        if (!isShared || hash64(host) % configgossip::pusherCount == watcherRank()) {
            send(host, push);
        }
    }
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::isEndpointsOnly(const ConfigPush &push) const
{
    const std::string &kind = m_table.reader().endpointKind();
    return std::all_of(push.objects->begin(), push.objects->end(),
                       [&kind](const PlatformObject &object) { return object.kind == kind; });
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::handle(const ConfigPush &push)
{
    bool changed = false;
    for (const PlatformObject &object : *push.objects) {
        changed = m_table.apply(object) || changed;
    }
    // Updates from a peer are not pushed again; digests spread them further.
    m_table.discardUpdates();
    recordOwnSummary();
    return changed;
}

template <GuardPolicy G>
ConfigDigest BasicConfigGossip<G>::digest(bool detailed, bool reply) const
{
    ConfigDigest digest;
    digest.summary = m_table.summary();
    digest.storeEra = m_storeEra;
    digest.lowestRevision = m_lowestRevision;
    digest.watches = watchesConnected();
    digest.detailed = detailed;
    digest.reply = reply;
    digest.complete = isComplete();
    if (detailed) {
        for (const auto &[key, entry] : m_table.entries()) {
            digest.entries.push_back({key.first, key.second, entry.seenVersion});
        }
    }
    return digest;
}

template <GuardPolicy G>
void BasicConfigGossip<G>::handle(const std::string &host, const ConfigDigest &peerDigest)
{
    // A peer of an earlier era does not receive this daemon's updates.
    const bool isCurrent = peerDigest.storeEra >= m_storeEra;
    if (peerDigest.watches && isCurrent && m_membership.isLocal(host)) {
        if (m_watcherSeenAt == TimePoint::min()) {
            m_rankedAtVersion = 0;
        }
        m_watcherSeenAt = m_clock.now();
    }
    const bool concernsBuckets =
        !peerDigest.bucketHashes.empty() || !peerDigest.buckets.empty() || peerDigest.endsPage;
    if (concernsBuckets) {
        const bool passesOn =
            isComplete() || m_clock.now() - m_startedAt >= configgossip::incompletePeriod;
        m_exchange.handle(host, peerDigest, passesOn);
        return;
    }
    m_matchesComplete =
        m_matchesComplete
        || (isCurrent && peerDigest.complete && peerDigest.summary == m_table.summary());
    if (!peerDigest.detailed) {
        recordSummary(host, peerDigest.summary);
        return;
    }
    std::map<typename BasicConfigTable<G>::Key, Version> peerVersions;
    for (const ConfigDigest::Entry &entry : peerDigest.entries) {
        peerVersions[{entry.kind, entry.name}] = entry.version;
    }
    std::vector<PlatformObject> newer;
    for (const auto &[key, entry] : m_table.entries()) {
        const auto found = peerVersions.find(key);
        if (found == peerVersions.end() || found->second < entry.seenVersion) {
            newer.push_back({key.first, key.second, entry.seenVersion, entry.deleted, entry.value});
        }
    }
    if (!newer.empty()) {
        ConfigPush push(std::move(newer));
        push.isPackable = false; // Daemons of an older version also send such digests.
        send(host, std::move(push));
    }
    if (m_table.isBehind(peerVersions) && !peerDigest.reply) {
        send(host, digest(true, true));
    }
}

template <GuardPolicy G>
TimePoint BasicConfigGossip<G>::nextTick() const
{
    TimePoint next = std::min(m_nextDigest, m_exchange.nextTick());
    if (m_isRelayed && !isComplete() && !m_exchange.isPending()) {
        next = std::min(next, m_nextFetch);
    }
    // A pending exchange delays the others until it ends, by a message or its timeout.
    for (const auto &[host, difference] : m_differences) {
        next = m_exchange.isPending() ? next : std::min(next, difference.requestAt);
    }
    return next;
}

/// Records the hash of a peer if it differs. Hashes are kept per peer: a peer that lost the
/// platform agrees with all that miss an update too, which must not clear the difference to
/// another one.
template <GuardPolicy G>
void BasicConfigGossip<G>::recordSummary(const std::string &host, std::uint64_t summary)
{
    const TimePoint now = m_clock.now();
    // A peer without objects has none to send. A daemon that fetches its configuration must not get
    // it in one message besides.
    const bool isEmpty = summary == 0;
    m_hasCompared = m_hasCompared || (!isEmpty && summary == m_table.summary());
    if (isEmpty || awaitsConfiguration() || hadSummary(summary)) {
        m_differences.erase(host);
        return;
    }
    // The first hash that differs is kept: where changes follow each other, later ones differ too
    // although every update arrives.
    m_differences.try_emplace(host, Difference{summary, now + differenceDelay()});
    requestDueVersions();
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::hadSummary(std::uint64_t summary) const
{
    return summary == m_table.summary() || m_ownSummaries.contains(summary);
}

template <GuardPolicy G>
void BasicConfigGossip<G>::recordOwnSummary()
{
    const TimePoint now = m_clock.now();
    m_ownSummaries[m_table.summary()] = now;
    std::erase_if(m_ownSummaries, [now](const auto &entry) {
        return now - entry.second > configgossip::summaryHistory;
    });
    removeMatching();
}

template <GuardPolicy G>
void BasicConfigGossip<G>::removeMatching()
{
    std::erase_if(m_differences,
                  [this](const auto &entry) { return hadSummary(entry.second.summary); });
}

/// Returns whether versions are compared by bucket.
template <GuardPolicy G>
bool BasicConfigGossip<G>::isLarge() const
{
    return G::comparesByBucket && m_table.entries().size() >= configgossip::minBucketedObjects;
}

/// Requests the versions of peers whose hash has differed for long enough.
template <GuardPolicy G>
void BasicConfigGossip<G>::requestDueVersions()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_differences, [&](const auto &entry) {
        const bool isDue = entry.second.requestAt <= now;
        if (isDue && isLarge()) {
            return m_exchange.start(entry.first, !isComplete());
        }
        if (isDue) {
            send(entry.first, digest(true, false));
        }
        return isDue;
    });
}

template <GuardPolicy G>
void BasicConfigGossip<G>::sendDigestToAll(const std::vector<std::string> &hosts)
{
    const ConfigDigest content = digest(false, false);
    for (const std::string &host : hosts) {
        send(host, content);
    }
}

template <GuardPolicy G>
std::vector<std::string> BasicConfigGossip<G>::localPeers() const
{
    std::vector<std::string> hosts = m_membership.livePeers();
    std::erase_if(hosts, [this](const auto &host) { return !m_membership.isLocal(host); });
    return hosts;
}

/// Requests the whole configuration from one of the high-capacity hosts of the data centre. Each
/// daemon begins with another one, so that they share the load.
template <GuardPolicy G>
void BasicConfigGossip<G>::fetchConfiguration()
{
    const TimePoint now = m_clock.now();
    if (!m_isRelayed || isComplete() || m_exchange.isPending() || now < m_nextFetch) {
        return;
    }
    m_nextFetch = now + configgossip::fetchInterval;
    std::vector<std::string> hosts = m_membership.highCapacityHosts(
        m_membership.likelyLiveWithin(configgossip::watcherTimeout, m_membership.dataCentre()));
    std::erase(hosts, m_membership.host());
    if (!hosts.empty()) {
        const std::size_t next = (hash64(m_membership.host()) + m_fetches++) % hosts.size();
        (void)m_exchange.start(hosts[next], true);
    }
}

template <GuardPolicy G>
std::vector<PeerSend> BasicConfigGossip<G>::drainSends()
{
    std::vector<PeerSend> sends = std::exchange(m_sends, {});
    for (PeerSend &send : m_exchange.drainSends()) {
        sends.push_back(std::move(send));
    }
    return sends;
}

template <GuardPolicy G>
void BasicConfigGossip<G>::tick()
{
    m_exchange.tick();
    recordOwnSummary();
    fetchConfiguration();
    requestDueVersions();
    if (m_clock.now() < m_nextDigest) {
        return;
    }
    m_nextDigest = m_clock.now() + configgossip::digestInterval;
    ++m_round;
    if (m_isRelayed && !m_table.entries().empty()) {
        return;
    }
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const std::string &host : m_membership.livePeers()) {
        (m_membership.isLocal(host) ? local : remote).push_back(host);
    }
    // All peers of the data centre rely on a watcher's digests.
    if (shouldWatch()) {
        sendDigestToAll(local);
    } else if (!local.empty()) {
        send(local[m_round % local.size()], digest(false, false));
    }
    const bool isAlone = local.empty() || m_table.entries().empty();
    if (!remote.empty() && (isAlone || m_round % configgossip::remoteRoundInterval == 0)) {
        send(remote[m_round % remote.size()], digest(false, false));
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGGOSSIPIMPL_H
