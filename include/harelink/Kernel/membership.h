//===- harelink/Kernel/membership.h - Which hosts live ----------*- C++ -*-===//
///
/// \file
/// Joins the platform's lagging host list with direct heartbeats.
///
/// Who lives is a hint for choosing owners and for not making callers wait. No
/// silence of a host ever grants anybody a right to run something.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_MEMBERSHIP_H
#define HARELINK_KERNEL_MEMBERSHIP_H

#include "harelink/Kernel/peers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// What is known of another host.
struct PeerHost
{
    std::string address; ///< For peers; from the host list or its own word.
    std::string dataCentre;
    Incarnation incarnation = 0;             ///< Of its last heartbeat; 0 before the first.
    bool leaving = false;                    ///< Of this incarnation; never goes back to false.
    double capacity = 1;                     ///< In cores of a processor.
    TimePoint lastSeen;                      ///< From itself.
    TimePoint reportedAt = TimePoint::min(); ///< Last reported to live by a relay.
};

/// To whom a heartbeat goes.
struct HeartbeatTarget
{
    std::string host;
    bool wantsSummary = false;        ///< It is to answer with a summary.
    std::uint64_t knownHostsHash = 0; ///< As in Heartbeat.
};

/// The hosts as one daemon sees them.
class Membership
{
public:
    /// A host is taken to live this long after a relay's report, which comes at each of its
    /// summaries.
    static constexpr std::chrono::milliseconds reportTtl{2500};

    /// \param clock outlives the membership.
    Membership(const Clock &clock, std::string host, std::string address, std::string dataCentre,
               Incarnation incarnation);

    /// Takes in the platform's host list: objects whose value is a JSON object
    /// with "dataCentre", "peers" and "state".
    void handleHostList(const std::vector<PlatformObject> &hosts);
    /// Takes in that a message came from \p message's host.
    void recordMessage(const PeerMessage &message);
    /// Takes in a relay's whole list of live hosts of \p dataCentre, or of all where that
    /// is empty: those that it lacks are not reported to live any more.
    void handleHostReports(const std::vector<HostReport> &hosts, const std::string &dataCentre);
    /// Takes in that a relay's list is the one that was reported last.
    void renewHostReports(const std::string &dataCentre);
    /// A hash over what hostReports() tells, whatever its order.
    [[nodiscard]] std::uint64_t hostsHash(const std::string &dataCentre) const;
    /// Hosts that are not able tell, and are told, at each so many heartbeats: 1 in a small
    /// data centre, and more with its hosts, so that what a relay hears does not grow as they
    /// do. It divides by what few hosts of it are able, who tell at each.
    [[nodiscard]] std::uint32_t heartbeatMultiplier() const { return m_heartbeatMultiplier; }
    /// Whether \p peer is able; see highCapacityHosts().
    [[nodiscard]] bool hasHighCapacity(const PeerHost &peer) const
    {
        return hasHighCapacity(peer.capacity);
    }
    /// Whether this host is.
    [[nodiscard]] bool hasHighCapacity() const { return hasHighCapacity(m_capacity); }
    /// Whether heartbeats are due; dueHeartbeats() is then to be called.
    [[nodiscard]] bool heartbeatsDue() const { return m_clock.now() >= m_nextHeartbeat; }
    /// The heartbeats to \p targets, without what they tell.
    std::vector<PeerSend> dueHeartbeats(const std::vector<HeartbeatTarget> &targets);
    /// What handleHostList() of a peer reads, for this host.
    [[nodiscard]] std::string ownDeclaration() const;
    /// Whether \p declaration says of this host what ownDeclaration() would, but for which
    /// start of it declared it.
    [[nodiscard]] bool matchesDeclaration(const std::string &declaration) const;
    /// Where this daemon listens for peers.
    void setAddress(const std::string &address) { m_address = address; }
    /// The capacity of this host, in cores of a processor.
    void setCapacity(double capacity)
    {
        m_capacity = capacity;
        forgetLists();
    }
    [[nodiscard]] double capacity() const { return m_capacity; }
    /// This host is leaving; the next heartbeats say so, at once.
    void leave();

    /// The hosts that may own a bucket, this one among them, sorted. Like the other lists it
    /// is made anew only where hosts came, went or changed, and holds until then: a daemon
    /// asks for them at each message. With 295 hosts, making them each time took over half of
    /// the processor time of a start (profile of 40 daemons).
    [[nodiscard]] const std::vector<std::string> &candidates() const { return lists().candidates; }
    /// Another number where the lists were made anew.
    [[nodiscard]] std::uint64_t listsVersion() const { return lists().version; }
    /// The host that was heard of lately under \p incarnation; empty for this host.
    [[nodiscard]] std::optional<std::string> hostOf(Incarnation incarnation) const;
    /// A message to \p host; nothing where its address is not known.
    [[nodiscard]] std::optional<PeerSend> messageTo(const std::string &host,
                                                    decltype(PeerMessage::content) content) const;
    /// The address of \p host, or an empty text.
    [[nodiscard]] std::string addressOf(const std::string &host) const;
    /// The living hosts of the own data centre that stay, this one among them.
    [[nodiscard]] const std::vector<std::string> &localCandidates() const
    {
        return lists().localCandidates;
    }
    /// The hosts that stay and were heard of within \p silence, this one among them where
    /// it stays. \param dataCentre only those that stand there; empty for all.
    [[nodiscard]] std::vector<std::string> seenWithin(Duration silence,
                                                      const std::string &dataCentre) const;
    /// The same, but while this daemon, just started among many, has had no relay's list yet:
    /// all that stay or are declared and not heard of. Hundreds that start together then
    /// choose the same hosts for what one does for all; who is not there falls silent soon.
    [[nodiscard]] std::vector<std::string> likelyLiveWithin(Duration silence,
                                                            const std::string &dataCentre) const;
    /// Of \p hosts those that have at least half of the capacity of the largest: what is
    /// done for many others is done there.
    [[nodiscard]] std::vector<std::string>
    highCapacityHosts(const std::vector<std::string> &hosts) const;
    /// \p hosts in the order in which they are chosen for \p purpose, which few do for many:
    /// able ones first, then by a hash of both, the same at every daemon.
    [[nodiscard]] std::vector<std::string> ranked(std::vector<std::string> hosts,
                                                  const std::string &purpose) const;
    /// How many hosts were heard of lately, this one among them; rises at once, falls late.
    [[nodiscard]] int recentHostCount() const;
    /// What this daemon knows of live hosts, itself among them.
    /// \param dataCentre only those that stand there; empty for all.
    [[nodiscard]] std::vector<HostReport> hostReports(const std::string &dataCentre) const;
    /// Whether \p host was heard of within \p silence, or is reported to live.
    [[nodiscard]] bool seenWithin(const std::string &host, Duration silence) const;
    /// The same of \p peer.
    [[nodiscard]] bool seenWithin(const PeerHost &peer, Duration silence) const;
    /// Whether \p host stands in the own data centre.
    [[nodiscard]] bool isLocal(const std::string &host) const;
    /// The live hosts other than this one, sorted.
    [[nodiscard]] const std::vector<std::string> &livePeers() const { return lists().livePeers; }
    [[nodiscard]] const std::map<std::string, PeerHost> &peers() const { return m_peers; }
    [[nodiscard]] const std::string &host() const { return m_host; }
    [[nodiscard]] const std::string &dataCentre() const { return m_dataCentre; }
    [[nodiscard]] Incarnation incarnation() const { return m_incarnation; }
    [[nodiscard]] bool leaving() const { return m_leaving; }
    [[nodiscard]] TimePoint nextTick() const { return m_nextHeartbeat; }

private:
    /// What is asked for often, as of the last change.
    struct Lists
    {
        std::vector<std::string> candidates;
        std::vector<std::string> localCandidates;
        std::vector<std::string> livePeers;
        TimePoint validUntil = TimePoint::min(); ///< When the first may have fallen silent.
        std::uint64_t version = 0;
    };

    const Lists &lists() const;
    void makeLists() const;
    void forgetLists() { m_lists.validUntil = TimePoint::min(); }
    void makeHeartbeatEarly();
    [[nodiscard]] TimePoint liveUntil(const PeerHost &peer) const;
    [[nodiscard]] Duration livenessOf(const PeerHost &peer) const;
    [[nodiscard]] bool hasHighCapacity(double capacity) const;
    [[nodiscard]] bool isAcquainted() const;
    template <typename Condition>
    [[nodiscard]] std::vector<std::string> hostsThat(const Condition &stays,
                                                     const std::string &dataCentre) const;
    [[nodiscard]] bool isLive(const PeerHost &peer) const;
    [[nodiscard]] bool isReported(const PeerHost &peer) const;

    const Clock &m_clock;
    std::string m_host;
    std::string m_address;
    std::string m_dataCentre;
    Incarnation m_incarnation;
    TimePoint m_startedAt;
    bool m_listTaken = false; ///< A relay's list of all that live.
    bool m_leaving = false;
    double m_capacity = 1;
    TimePoint m_lastHeartbeat;
    TimePoint m_nextHeartbeat;
    std::map<std::string, PeerHost> m_peers;
    mutable Lists m_lists;
    mutable std::uint32_t m_heartbeatMultiplier = 1;
    mutable double m_largestCapacity = 0; ///< Of the live hosts of the own data centre.
};

/// The host of \p hosts that normally writes \p bucket, by rendezvous hashing:
/// when a host comes or goes, only its own buckets move.
[[nodiscard]] std::string preferredOwner(std::size_t bucket, const std::vector<std::string> &hosts);

} // namespace harelink

#endif // HARELINK_KERNEL_MEMBERSHIP_H
