//===- harelink/Kernel/peerrelay.h - Heartbeats through relays --*- C++ -*-===//
///
/// \file
/// Selects the receivers of this daemon's heartbeats, and sends summaries of received
/// heartbeats to others.
///
/// Design alternatives: a full mesh (86 daemons sent 29,000 messages per second, which
/// took more processor time than their requests); gossip with a few peers in turn (the
/// information is then seconds old); two relays per data centre, which daemons find by
/// rendezvous hashing over the hosts that they know. The last is implemented for more
/// than a given number of peers, with a full mesh below it. It takes four messages per
/// heartbeat interval and daemon, plus one for each pair of data centres.
///
/// Daemons need not agree on the relays: a daemon that is asked for summaries sends them.
/// A relay that does not reply is passed over after relayTimeout.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PEERRELAY_H
#define HARELINK_KERNEL_PEERRELAY_H

#include "harelink/Kernel/heartbeatthrottle.h"
#include "harelink/Kernel/hostlistlog.h"
#include "harelink/Kernel/loadaggregator.h"
#include "harelink/Kernel/membership.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Sends one daemon's heartbeats, and acts as a relay for those who request it.
class PeerRelay
{
public:
    /// \param clock and \p membership must outlive the relay.
    /// \param maxMeshPeers with more peers, heartbeats go through relays.
    PeerRelay(const Clock &clock, const Membership &membership, std::size_t maxMeshPeers);

    /// Returns whether the number of known peers is so high that heartbeats go through relays.
    [[nodiscard]] bool isRelayed() const;
    /// Returns the receivers of the heartbeats that are due now.
    [[nodiscard]] std::vector<HeartbeatTarget> targets();
    /// Returns whether this daemon uses the load in heartbeats from \p dataCentre, because no
    /// summary that it uses includes it.
    [[nodiscard]] bool usesHeartbeatsFrom(const std::string &dataCentre) const;
    /// Returns whether this daemon uses the load in summaries from \p dataCentre.
    [[nodiscard]] bool usesSummariesFrom(const std::string &dataCentre) const;
    /// Handles a heartbeat of \p host.
    void handle(const std::string &host, const Heartbeat &heartbeat);
    /// Handles a summary of a relay of \p dataCentre. Ignores those of this data centre.
    void handle(const std::string &dataCentre, const PeerSummary &summary);
    /// Returns the data centre whose hosts are taken from the lists of a relay of \p dataCentre;
    /// empty for all. A relay takes those of other data centres from their relays only: if it also
    /// took them from the other relay of its own, the two lists would replace each other, and each
    /// would be sent whole with every summary.
    [[nodiscard]] std::string hostListScope(const std::string &dataCentre) const;
    /// Records that \p host sent a list of the live hosts of \p dataCentre, or of all data
    /// centres if that is empty, and that its hash is \p hash.
    void recordHostList(const std::string &host, const std::string &dataCentre, std::uint64_t hash);
    /// Renews the last list of \p host if its hash is \p hash and it is still valid. Returns
    /// whether it was renewed.
    bool renewHostList(const std::string &host, std::uint64_t hash);
    /// Returns whether this daemon has the list that the changes in \p summary of \p host are
    /// based on. Otherwise its next heartbeat requests the whole list.
    [[nodiscard]] bool holdsBaseOf(const std::string &host, const PeerSummary &summary) const;
    /// Returns whether this daemon is a relay of its data centre.
    [[nodiscard]] bool isRelay() const { return m_isRelay; }
    /// Sets whether this host is overloaded. As a relay it then requests fewer heartbeats.
    void recordOverload(bool isOverloaded) { m_isOverloaded = isOverloaded; }
    /// Returns the factor by which this daemon requests that the hosts of its data centre stretch
    /// their heartbeat interval; 1 unless it is a relay.
    [[nodiscard]] std::uint32_t requestedMultiplier() const { return m_throttle.multiplier(); }
    /// Returns the summaries that are due with the heartbeats.
    ///
    /// \param own the load and configuration state of this daemon.
    [[nodiscard]] std::vector<PeerSend> summaries(const Heartbeat &own);

private:
    /// A host that requested summaries.
    struct Subscriber
    {
        TimePoint requestedAt;
        std::uint64_t knownHostsHash = 0; ///< See Heartbeat.
        bool acceptsHostChanges = false;  ///< See Heartbeat.
    };
    /// The last host list received from a relay.
    struct HostList
    {
        std::string dataCentre; ///< See recordHostList().
        std::uint64_t hash = 0;
        TimePoint until; ///< Afterwards its hosts no longer count as reported.
    };

    [[nodiscard]] std::vector<std::string> ranked(const std::string &dataCentre) const;
    [[nodiscard]] bool isUnresponsive(const std::string &host) const;
    void detectUnresponsiveRelays();
    void requestSummary(const std::string &host, std::vector<HeartbeatTarget> &targets);
    [[nodiscard]] std::uint64_t knownHostsHashOf(const std::string &host) const;
    void requestRemoteSummaries(std::vector<HeartbeatTarget> &targets);
    void addIntroduction(std::vector<HeartbeatTarget> &targets);
    void removeExpired();
    void recordHostLists();
    void addHostList(Subscriber &subscriber, bool isLocal, PeerSummary &summary) const;
    [[nodiscard]] bool isSummaryDue(const std::string &host, bool isUrgent) const;
    [[nodiscard]] Duration heartbeatTtl() const;

    const Clock &m_clock;
    const Membership &m_membership;
    std::size_t m_maxMeshPeers;
    bool m_isRelay = false;
    bool m_isOverloaded = false;
    HeartbeatThrottle m_throttle;
    std::uint32_t m_leaveAnnouncements = 0; ///< Heartbeats to all peers that this host leaves.
    std::uint32_t m_introductions = 0;
    std::uint32_t m_secondRelayHeartbeats = 0; ///< Due to the second relay, sent or skipped.
    std::map<std::string, TimePoint> m_requestedSince;
    std::map<std::string, TimePoint> m_unresponsiveUntil;
    std::map<std::string, Subscriber> m_subscribers;
    std::map<std::string, HostList> m_hostLists; ///< By the relay that sent it.
    LoadAggregator m_load;
    HostListLog m_allHosts;   ///< Lists as sent to hosts of this data centre.
    HostListLog m_localHosts; ///< Lists as sent to hosts of other data centres.
    std::uint32_t m_round = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERRELAY_H
