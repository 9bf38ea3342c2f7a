//===- harelink/Kernel/configgossipimpl.h - Definitions ---------*- C++ -*-===//
///
/// \file
/// The definitions of BasicConfigGossip; included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGGOSSIPIMPL_H
#define HARELINK_KERNEL_CONFIGGOSSIPIMPL_H

#include "harelink/Kernel/configgossip.h"

#include <algorithm>

namespace harelink {

namespace configgossip {

inline constexpr std::chrono::milliseconds digestInterval{1000};
/// Without a word of a watcher for this long a daemon watches for itself.
inline constexpr std::chrono::milliseconds watcherSilence{2500};
/// Every so many rounds the digest goes to another data centre.
inline constexpr std::uint64_t remoteRound = 3;
/// Watchers of a data centre that push; the others' digests make up for a loss of both.
inline constexpr std::size_t pushers = 2;
/// A difference is asked about when it has lasted for this long: until then the pushes
/// are on their way, and a whole configuration takes a slow link 0.3 s.
inline constexpr std::chrono::milliseconds differencePatience{500};
/// The same where hashes ride in heartbeats: two of them from a host that tells at every
/// second. At 500 ms a change made 540 of 300 daemons ask for versions, all for nothing.
inline constexpr std::chrono::milliseconds relayedDifferencePatience{1200};

} // namespace configgossip

template <GuardPolicy G>
BasicConfigGossip<G>::BasicConfigGossip(const Clock &clock, const Membership &membership,
                                        BasicConfigTable<G> &table, std::size_t watchers)
    : m_clock(clock)
    , m_membership(membership)
    , m_table(table)
    , m_watchers(watchers)
    , m_nextDigest(clock.now())
    , m_watcherHeard(TimePoint::min())
{
}

/// This daemon's place among those that may watch, from 0; able hosts come first.
template <GuardPolicy G>
std::size_t BasicConfigGossip<G>::watcherRank() const
{
    const std::uint64_t version = m_membership.listsVersion();
    if (version != m_rankedAtVersion) {
        m_rank = findWatcherRank();
        m_rankedAtVersion = version;
    }
    return m_rank;
}

template <GuardPolicy G>
std::size_t BasicConfigGossip<G>::findWatcherRank() const
{
    std::vector<std::string> hosts = m_membership.localCandidates();
    const std::string &self = m_membership.host();
    // One that leaves is not among them, and watches on in its place.
    if (!std::binary_search(hosts.begin(), hosts.end(), self)) {
        hosts.push_back(self);
    }
    const std::vector<std::string> ranked = m_membership.ranked(std::move(hosts), "watch");
    return static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::hasRecentWatcher() const
{
    return m_watcherHeard != TimePoint::min()
           && m_clock.now() - m_watcherHeard <= configgossip::watcherSilence;
}

/// While nobody is heard of that watches, as many more do, after spans that double: one that
/// cannot reach the platform is soon made up for, and a platform that answers nobody is not
/// asked by all.
template <GuardPolicy G>
bool BasicConfigGossip<G>::shouldWatch() const
{
    if (m_watcherHeard == TimePoint::min()) {
        return true;
    }
    const Duration silence = m_clock.now() - m_watcherHeard;
    std::size_t groups = 1;
    for (Duration end = configgossip::watcherSilence;
         silence > end && groups * m_watchers <= watcherRank();
         end += end + configgossip::watcherSilence) {
        ++groups;
    }
    return watcherRank() < m_watchers * groups;
}

template <GuardPolicy G>
Duration BasicConfigGossip<G>::differencePatience() const
{
    // At the first object there is nothing to wait for.
    if (m_table.entries().empty()) {
        return Duration::zero();
    }
    return m_isRelayed ? configgossip::relayedDifferencePatience : configgossip::differencePatience;
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
    ConfigPush push;
    push.objects = m_table.drainUpdates();
    if (push.objects.empty()) {
        return;
    }
    forgetMatching();
    if (watcherRank() >= configgossip::pushers) {
        // Through relays the next heartbeat tells it.
        if (!m_isRelayed) {
            sendDigestToAll(localPeers());
        }
        return;
    }
    for (const std::string &host : localPeers()) {
        send(host, push);
    }
}

template <GuardPolicy G>
bool BasicConfigGossip<G>::handle(const ConfigPush &push)
{
    bool changed = false;
    for (const PlatformObject &object : push.objects) {
        changed = m_table.apply(object) || changed;
    }
    // What came from a peer is not pushed again: digests carry it further.
    (void)m_table.drainUpdates();
    forgetMatching();
    return changed;
}

template <GuardPolicy G>
ConfigDigest BasicConfigGossip<G>::digest(bool detailed, bool reply) const
{
    ConfigDigest digest;
    digest.summary = m_table.summary();
    digest.watches = watchesConnected();
    digest.detailed = detailed;
    digest.reply = reply;
    if (detailed) {
        for (const auto &[key, entry] : m_table.entries()) {
            digest.entries.push_back({key.first, key.second, entry.seen});
        }
    }
    return digest;
}

template <GuardPolicy G>
void BasicConfigGossip<G>::handle(const std::string &host, const ConfigDigest &from)
{
    if (from.watches && m_membership.isLocal(host)) {
        m_watcherHeard = m_clock.now();
    }
    if (!from.detailed) {
        noteSummary(host, from.summary);
        return;
    }
    std::map<typename BasicConfigTable<G>::Key, Version> theirs;
    for (const ConfigDigest::Entry &entry : from.entries) {
        theirs[{entry.kind, entry.name}] = entry.version;
    }
    ConfigPush push;
    for (const auto &[key, entry] : m_table.entries()) {
        const auto found = theirs.find(key);
        if (found == theirs.end() || found->second < entry.seen) {
            push.objects.push_back({key.first, key.second, entry.seen, entry.deleted, entry.value});
        }
    }
    if (!push.objects.empty()) {
        send(host, std::move(push));
    }
    const bool lacking = std::any_of(theirs.begin(), theirs.end(), [this](const auto &their) {
        const auto own = m_table.entries().find(their.first);
        return own == m_table.entries().end() || own->second.seen < their.second;
    });
    if (lacking && !from.reply) {
        send(host, digest(true, true));
    }
}

template <GuardPolicy G>
TimePoint BasicConfigGossip<G>::nextTick() const
{
    TimePoint next = m_nextDigest;
    for (const auto &[host, difference] : m_differing) {
        next = std::min(next, difference.askAt);
    }
    return next;
}

/// Remembers the hash of a peer where it differs. Each peer's is kept apart: one that lost
/// the platform agrees with all that hear of nothing, and must not calm them.
template <GuardPolicy G>
void BasicConfigGossip<G>::noteSummary(const std::string &host, std::uint64_t summary)
{
    const TimePoint now = m_clock.now();
    m_differing.try_emplace(host, Difference{summary, now + differencePatience()})
        .first->second.summary = summary;
    forgetMatching();
    askWhereDue();
}

template <GuardPolicy G>
void BasicConfigGossip<G>::forgetMatching()
{
    const std::uint64_t own = m_table.summary();
    std::erase_if(m_differing, [own](const auto &entry) { return entry.second.summary == own; });
}

/// Asks those that have differed for long enough what they have.
template <GuardPolicy G>
void BasicConfigGossip<G>::askWhereDue()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_differing, [&](const auto &entry) {
        const bool due = entry.second.askAt <= now;
        if (due) {
            send(entry.first, digest(true, false));
        }
        return due;
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

template <GuardPolicy G>
void BasicConfigGossip<G>::tick()
{
    askWhereDue();
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
    // A watcher's word goes to all of its data centre: they rely on it.
    if (shouldWatch()) {
        sendDigestToAll(local);
    } else if (!local.empty()) {
        send(local[m_round % local.size()], digest(false, false));
    }
    const bool alone = local.empty() || m_table.entries().empty();
    if (!remote.empty() && (alone || m_round % configgossip::remoteRound == 0)) {
        send(remote[m_round % remote.size()], digest(false, false));
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGGOSSIPIMPL_H
