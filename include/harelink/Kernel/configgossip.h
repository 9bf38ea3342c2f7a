//===- harelink/Kernel/configgossip.h - Spread of configuration -*- C++ -*-===//
///
/// \file
/// Decides who watches the platform and passes news on to the others.
///
/// In each data centre a few daemons watch, able hosts first. The first two of them push
/// what changes to the others of their data centre; the rest tell at once a hash over
/// their versions, by which a daemon notices that a push did not come. Besides, every
/// daemon compares hashes with one peer each second, a watcher with all of its data
/// centre, and both make up for what they lack. A daemon that hears of no watcher to which the
/// platform answers watches for itself.
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

/// The spread of configuration at one daemon.
template <GuardPolicy G>
class BasicConfigGossip
{
public:
    /// All references outlive the gossip.
    /// \param watchers how many daemons of a data centre watch the platform.
    BasicConfigGossip(const Clock &clock, const Membership &membership, BasicConfigTable<G> &table,
                      std::size_t watchers);

    /// Whether this daemon is to watch the platform now.
    [[nodiscard]] bool shouldWatch() const;
    /// Takes in whether the platform answers this daemon.
    void setConnected(bool connected) { m_connected = connected; }
    /// Takes in whether heartbeats go through relays. What digests tell then rides in them,
    /// and in the relays' summaries: watchers that told all of their data centre each second
    /// sent a third of all messages of 300 daemons.
    void setRelayed(bool isRelayed) { m_isRelayed = isRelayed; }
    /// Whether this daemon watches and the platform answers it.
    [[nodiscard]] bool watchesConnected() const { return m_connected && shouldWatch(); }
    /// Whether this daemon, or one of its data centre that it heard of lately, does.
    [[nodiscard]] bool hasWatcher() const { return watchesConnected() || hasRecentWatcher(); }
    /// Whether one of this daemon's data centre said at \p time or later that it does.
    [[nodiscard]] bool watcherSeenSince(TimePoint time) const
    {
        return hasRecentWatcher() && m_watcherHeard >= time;
    }
    /// Pushes what the table learnt from the platform.
    void pushUpdates();
    /// Takes in a peer's news; true where what is in force changed.
    bool handle(const ConfigPush &push);
    /// Takes in a peer's digest.
    void handle(const std::string &host, const ConfigDigest &digest);
    /// Sends the digests that are due.
    void tick();
    [[nodiscard]] std::vector<PeerSend> drainSends() { return std::exchange(m_sends, {}); }
    [[nodiscard]] TimePoint nextTick() const;

private:
    [[nodiscard]] bool hasRecentWatcher() const;
    [[nodiscard]] Duration differencePatience() const;
    void send(const std::string &host, decltype(PeerMessage::content) content);
    [[nodiscard]] ConfigDigest digest(bool detailed, bool reply) const;
    [[nodiscard]] std::size_t watcherRank() const;
    [[nodiscard]] std::size_t findWatcherRank() const;
    void noteSummary(const std::string &host, std::uint64_t summary);
    void forgetMatching();
    void askWhereDue();
    void sendDigestToAll(const std::vector<std::string> &hosts);
    [[nodiscard]] std::vector<std::string> localPeers() const;

    const Clock &m_clock;
    const Membership &m_membership;
    BasicConfigTable<G> &m_table;
    std::size_t m_watchers;
    TimePoint m_nextDigest;
    TimePoint m_watcherHeard;
    bool m_connected = false;
    bool m_isRelayed = false;
    mutable std::size_t m_rank = 0; ///< As of the lists of hosts of that version.
    mutable std::uint64_t m_rankedAtVersion = 0;
    /// A peer's hash that differs from the own one.
    struct Difference
    {
        std::uint64_t summary = 0;
        TimePoint askAt;
    };
    std::map<std::string, Difference> m_differing; ///< By host.
    std::uint64_t m_round = 0;
    std::vector<PeerSend> m_sends;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGGOSSIP_H
