//===- harelink/Kernel/configgossip.h - Configuration gossip ----*- C++ -*-===//
///
/// \file
/// Selects the daemons that watch the platform, and distributes configuration updates
/// among daemons.
///
/// In each data centre a few daemons watch the platform, preferably on high-capacity hosts.
/// The first two of them push changes to the other daemons of their data centre. The other
/// watchers immediately send a digest, a hash over the versions that they have seen, by
/// which a receiver detects a lost push. In addition, each second every daemon sends a
/// digest to one peer, and a watcher to all peers of its data centre. Daemons whose hashes
/// differ exchange their versions, bucket by bucket if they have many, and then the objects
/// that one of them lacks. A daemon that does not receive from any watcher to which the
/// platform answers watches the platform itself.
///
/// Of a large fleet that starts, only the daemons that will watch list the objects, since a
/// listing by all would saturate the platform's link. The others get the configuration from
/// the high-capacity hosts of their data centre.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGGOSSIP_H
#define HARELINK_KERNEL_CONFIGGOSSIP_H

#include "harelink/Kernel/configexchange.h"
#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/membership.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The configuration gossip of one daemon.
template <GuardPolicy G>
class BasicConfigGossip
{
public:
    /// All references must outlive the gossip.
    ///
    /// \param watchers the number of daemons per data centre that watch the platform.
    BasicConfigGossip(const Clock &clock, const Membership &membership, BasicConfigTable<G> &table,
                      std::size_t watchers);

    /// Returns whether this daemon shall watch the platform now.
    [[nodiscard]] bool shouldWatch() const;
    /// Sets whether the platform answers this daemon.
    void setConnected(bool connected) { m_connected = connected; }
    /// Sets whether heartbeats go through relays. If so, heartbeats and the relays' summaries
    /// carry the contents of digests: with 300 daemons, a third of all messages were digests that
    /// watchers sent to their data centre each second.
    void setRelayed(bool isRelayed) { m_isRelayed = isRelayed; }
    /// Returns whether this daemon watches the platform and the platform answers it.
    [[nodiscard]] bool watchesConnected() const { return m_connected && shouldWatch(); }
    /// Returns whether this daemon watches the platform and the platform answers it, or a daemon
    /// of this data centre recently reported the same.
    [[nodiscard]] bool hasWatcher() const { return watchesConnected() || hasRecentWatcher(); }
    /// Returns whether a daemon of this data centre recently reported the same, at \p time or
    /// later.
    [[nodiscard]] bool watcherSeenSince(TimePoint time) const
    {
        return hasRecentWatcher() && m_watcherSeenAt >= time;
    }
    /// Sets the highest era of the store that this daemon knows, and the lowest revision that the
    /// store is known to have had in it.
    void setStoreEra(std::uint64_t era, std::uint64_t lowestRevision)
    {
        m_storeEra = era;
        m_lowestRevision = lowestRevision;
    }
    /// Returns whether this daemon has started a short time ago and has not compared its
    /// configuration with a peer's. The store may have returned from an older copy, and hold less
    /// than the peers know.
    [[nodiscard]] bool awaitsComparison() const;
    /// Returns when awaitsComparison() ends at the latest.
    [[nodiscard]] TimePoint comparisonEnd() const;
    /// Sets whether this daemon has listed the objects of all kinds.
    void setListed(bool hasListed) { m_hasListed = hasListed; }
    /// Sets that a host list was read. It contains this host if it has been declared before.
    void recordHostList(bool containsSelf);
    /// Returns whether this daemon has the complete configuration of the platform or of a peer.
    [[nodiscard]] bool isComplete() const
    {
        return m_hasListed || m_exchange.hasCompleted() || m_matchesComplete;
    }
    /// Returns whether this daemon has started a short time ago and expects the configuration
    /// from a peer. What it has so far is a part of one, which must not be put in force.
    [[nodiscard]] bool awaitsConfiguration() const;
    /// Pushes the updates that the table got from the platform.
    void pushUpdates();
    /// Applies updates from a peer. Returns true if the configuration in force changed.
    bool handle(const ConfigPush &push);
    /// Handles a digest of the peer \p host.
    void handle(const std::string &host, const ConfigDigest &digest);
    /// Sends the digests that are due.
    void tick();
    [[nodiscard]] std::vector<PeerSend> drainSends();
    [[nodiscard]] TimePoint nextTick() const;

private:
    [[nodiscard]] bool hasRecentWatcher() const;
    [[nodiscard]] bool mayListAfterStart() const;
    [[nodiscard]] bool isLarge() const;
    [[nodiscard]] bool isEndpointsOnly(const ConfigPush &push) const;
    void fetchConfiguration();
    void recordOwnSummary();
    [[nodiscard]] bool hadSummary(std::uint64_t summary) const;
    [[nodiscard]] Duration differenceDelay() const;
    void send(const std::string &host, decltype(PeerMessage::content) content);
    [[nodiscard]] ConfigDigest digest(bool detailed, bool reply) const;
    [[nodiscard]] std::size_t watcherRank() const;
    [[nodiscard]] std::size_t computeWatcherRank() const;
    void recordSummary(const std::string &host, std::uint64_t summary);
    void removeMatching();
    void requestDueVersions();
    void sendDigestToAll(const std::vector<std::string> &hosts);
    [[nodiscard]] std::vector<std::string> localPeers() const;

    const Clock &m_clock;
    const Membership &m_membership;
    BasicConfigTable<G> &m_table;
    std::size_t m_watchers;
    TimePoint m_nextDigest;
    TimePoint m_watcherSeenAt;
    bool m_connected = false;
    bool m_isRelayed = false;
    mutable std::size_t m_rank = 0; ///< As of version m_rankedAtVersion of the host lists.
    mutable std::uint64_t m_rankedAtVersion = 0;
    /// A peer whose hash differs from this daemon's.
    struct Difference
    {
        std::uint64_t summary = 0;
        TimePoint requestAt;
    };
    std::map<std::string, Difference> m_differences; ///< By host.
    /// This daemon's recent hashes, with the time at which each was current last. A peer that
    /// reports one of them only lags behind.
    std::map<std::uint64_t, TimePoint> m_ownSummaries;
    BasicConfigExchange<G> m_exchange;
    TimePoint m_startedAt;
    TimePoint m_nextFetch;
    std::size_t m_fetches = 0; ///< Attempts to get the whole configuration from a peer.
    bool m_hasListed = false;
    bool m_hasHostList = false;
    bool m_isNewHost = true; ///< The host list did not contain this host.
    std::uint64_t m_storeEra = 0;
    std::uint64_t m_lowestRevision = 0; ///< 0 if unknown.
    /// A peer's whole configuration was equal to this daemon's, which pushes had completed.
    bool m_matchesComplete = false;
    bool m_hasCompared = false; ///< A peer's hash was equal to this daemon's.
    std::uint64_t m_round = 0;
    std::vector<PeerSend> m_sends;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGGOSSIP_H
