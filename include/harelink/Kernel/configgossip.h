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
/// differ exchange their versions, and then the objects that one of them lacks. A daemon
/// that does not receive from any watcher to which the platform answers watches the
/// platform itself.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGGOSSIP_H
#define HARELINK_KERNEL_CONFIGGOSSIP_H

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
    /// Pushes the updates that the table got from the platform.
    void pushUpdates();
    /// Applies updates from a peer. Returns true if the configuration in force changed.
    bool handle(const ConfigPush &push);
    /// Handles a digest of the peer \p host.
    void handle(const std::string &host, const ConfigDigest &digest);
    /// Sends the digests that are due.
    void tick();
    [[nodiscard]] std::vector<PeerSend> drainSends() { return std::exchange(m_sends, {}); }
    [[nodiscard]] TimePoint nextTick() const;

private:
    [[nodiscard]] bool hasRecentWatcher() const;
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
    std::uint64_t m_round = 0;
    std::vector<PeerSend> m_sends;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGGOSSIP_H
