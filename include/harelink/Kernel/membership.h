//===- harelink/Kernel/membership.h - Cluster membership --------*- C++ -*-===//
///
/// \file
/// Tracks which hosts are live, from the platform's host list, which lags, and
/// from heartbeats.
///
/// Liveness is only a hint: it selects owners and avoids waits for dead hosts. A
/// missing heartbeat never entitles another host to run a request.
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

/// The state of another host as this daemon knows it.
struct PeerHost
{
    std::string address; ///< For peers; from the host list or the host's heartbeats.
    std::string dataCentre;
    Incarnation incarnation = 0;             ///< Of its last message; 0 before the first.
    bool leaving = false;                    ///< Never reset to false within an incarnation.
    double capacity = 1;                     ///< In processor cores.
    std::vector<std::string> lostPools;      ///< See Heartbeat.
    TimePoint lostPoolsAt;                   ///< When they were last reported.
    TimePoint lastSeen;                      ///< Time of the last message from the host itself.
    TimePoint reportedAt = TimePoint::min(); ///< When a relay last reported the host as live.
};

/// A receiver of a heartbeat.
struct HeartbeatTarget
{
    std::string host;
    bool requestsSummary = false;     ///< The receiver shall reply with summaries.
    std::uint64_t knownHostsHash = 0; ///< See Heartbeat.
};

/// The membership view of one daemon.
class Membership
{
public:
    /// A host counts as live for this period after a relay reported it. Every summary of a
    /// relay is such a report.
    static constexpr std::chrono::milliseconds reportTtl{2500};

    /// \param clock must outlive the membership.
    Membership(const Clock &clock, std::string host, std::string address, std::string dataCentre,
               Incarnation incarnation);

    /// Merges the platform's host list: objects whose value is a JSON object
    /// with "dataCentre", "peers" and "state".
    void handleHostList(const std::vector<PlatformObject> &hosts);
    /// Updates the state of the host that sent \p message.
    void recordMessage(const PeerMessage &message);
    /// Applies a relay's complete list of live hosts of \p dataCentre, or of all data centres
    /// if that is empty. Hosts that are not listed no longer count as reported.
    void handleHostReports(const std::vector<HostReport> &hosts, const std::string &dataCentre);
    /// Applies what has changed in a relay's list of live hosts of \p dataCentre, as above. All
    /// other hosts of the last list count as reported again.
    void handleHostChanges(const std::vector<HostReport> &hosts,
                           const std::vector<std::string> &removedHosts,
                           const std::string &dataCentre);
    /// Renews the reports of \p dataCentre's hosts after a relay confirmed its last list.
    void renewHostReports(const std::string &dataCentre);
    /// Returns an order-independent hash over the result of hostReports().
    [[nodiscard]] std::uint64_t hostsHash(const std::string &dataCentre) const;
    /// Returns the factor by which hosts without high capacity stretch the heartbeat interval,
    /// both for what they send and for what they are sent. It is 1 in a small data centre and
    /// rises with the number of hosts, so that the load of a relay grows more slowly than that.
    /// Hosts with high capacity send at each interval if they are few.
    ///
    /// An overloaded relay of this data centre may request a higher factor.
    [[nodiscard]] std::uint32_t heartbeatMultiplier() const;
    /// Records the factor that a relay of this data centre requests: this host if it is one, or the
    /// one that sent a summary, whose request is valid for reportTtl. A factor that is no power of
    /// two up to HeartbeatThrottle::maxMultiplier counts as the next lower one.
    void requestMultiplierAsRelay(std::uint32_t multiplier);
    void recordRequestedMultiplier(std::uint32_t multiplier);
    /// Returns whether \p peer sends and is sent messages at each interval, since it is one of few
    /// hosts with high capacity.
    [[nodiscard]] bool sendsEachInterval(const PeerHost &peer) const
    {
        return sendsEachInterval(peer.capacity);
    }
    /// Returns the same of this host.
    [[nodiscard]] bool sendsEachInterval() const { return sendsEachInterval(m_capacity); }
    /// Returns whether heartbeats are due, in which case dueHeartbeats() shall be called.
    [[nodiscard]] bool heartbeatsDue() const { return m_clock.now() >= m_nextHeartbeat; }
    /// Returns heartbeats to \p targets with only the membership fields set, and schedules
    /// the next ones.
    ///
    /// \param isRelay whether this host sends summaries to others, with its heartbeats.
    std::vector<PeerSend> dueHeartbeats(const std::vector<HeartbeatTarget> &targets, bool isRelay);
    /// Returns the value of this host's object in the platform, as handleHostList() reads it.
    [[nodiscard]] std::string ownDeclaration() const;
    /// Returns whether \p declaration equals ownDeclaration() except for the incarnation.
    [[nodiscard]] bool matchesDeclaration(const std::string &declaration) const;
    /// Sets the address at which this daemon listens for peers.
    void setAddress(const std::string &address) { m_address = address; }
    /// Sets the capacity of this host, in processor cores.
    void setCapacity(double capacity)
    {
        m_capacity = capacity;
        invalidateLists();
    }
    [[nodiscard]] double capacity() const { return m_capacity; }
    /// Marks this host as leaving and schedules heartbeats that announce it at once.
    void leave();

    /// Returns the hosts that may own a bucket, sorted; includes this host. This and the other
    /// lists are cached until a host joins, leaves or changes, since a daemon reads them at
    /// each message: with 295 hosts, rebuilding them each time took over half of the processor
    /// time of a start.
    [[nodiscard]] const std::vector<std::string> &candidates() const { return lists().candidates; }
    /// Returns a number that changes whenever the lists are rebuilt.
    [[nodiscard]] std::uint64_t listsVersion() const { return lists().version; }
    /// Returns the live host with \p incarnation, an empty string if that is this host, and
    /// std::nullopt if there is none.
    [[nodiscard]] std::optional<std::string> hostOf(Incarnation incarnation) const;
    /// Returns a message to \p host, or std::nullopt if its address is unknown.
    [[nodiscard]] std::optional<PeerSend> messageTo(const std::string &host,
                                                    decltype(PeerMessage::content) content) const;
    /// Returns the address of \p host, or an empty string if it is unknown.
    [[nodiscard]] std::string addressOf(const std::string &host) const;
    /// Returns the live hosts of this data centre that are not leaving; includes this host.
    [[nodiscard]] const std::vector<std::string> &localCandidates() const
    {
        return lists().localCandidates;
    }
    /// Returns the hosts that are not leaving and were seen within \p period, or are reported as
    /// live by a relay; includes this host unless it is leaving.
    ///
    /// \param dataCentre limits the result to this data centre; empty for all.
    [[nodiscard]] std::vector<std::string> seenWithin(Duration period,
                                                      const std::string &dataCentre) const;
    /// Returns the same as seenWithin(), and while this daemon has just started in a large
    /// fleet and has no host list from a relay yet, also the declared hosts that were never
    /// seen. Hundreds of daemons that start together thus select the same hosts for shared
    /// duties; hosts that do not respond are passed over soon.
    [[nodiscard]] std::vector<std::string> likelyLiveWithin(Duration period,
                                                            const std::string &dataCentre) const;
    /// Returns the hosts of \p dataCentre that are not leaving, whether they were seen or not;
    /// includes this host unless it is leaving.
    [[nodiscard]] std::vector<std::string> declaredHosts(const std::string &dataCentre) const;
    /// Returns those of \p hosts with at least half of the largest capacity among them. They
    /// are preferred for work that serves many other hosts.
    [[nodiscard]] std::vector<std::string>
    highCapacityHosts(const std::vector<std::string> &hosts) const;
    /// Returns \p hosts in order of preference for \p purpose, a duty that few hosts perform
    /// for all: high-capacity hosts first, then by a hash of purpose and host. The order is the
    /// same at every daemon.
    [[nodiscard]] std::vector<std::string> ranked(std::vector<std::string> hosts,
                                                  const std::string &purpose) const;
    /// Returns the number of hosts of \p dataCentre that are declared or live, or of all if that is
    /// empty; includes this host if it is one of them.
    [[nodiscard]] std::size_t knownHostCount(const std::string &dataCentre) const;
    /// Returns the number of hosts seen recently, including this one. It rises at once when a
    /// host joins and falls with a delay.
    [[nodiscard]] int recentHostCount() const;
    /// Returns the state of all live hosts, including this one.
    ///
    /// \param dataCentre limits the result to this data centre; empty for all.
    [[nodiscard]] std::vector<HostReport> hostReports(const std::string &dataCentre) const;
    /// Returns whether \p host was seen within \p period or is reported as live by a relay.
    [[nodiscard]] bool seenWithin(const std::string &host, Duration period) const;
    /// \overload
    [[nodiscard]] bool seenWithin(const PeerHost &peer, Duration period) const;
    /// Records that \p host has no path to \p pool, until its next heartbeat, or for reportTtl.
    void recordLostPool(const std::string &host, const std::string &pool);
    /// Returns whether \p host, a peer, has a path to \p pool as far as it has reported.
    [[nodiscard]] bool reaches(const std::string &host, const std::string &pool) const;
    /// Returns whether \p host belongs to this host's data centre.
    [[nodiscard]] bool isLocal(const std::string &host) const;
    /// Returns the live hosts other than this one, sorted.
    [[nodiscard]] const std::vector<std::string> &livePeers() const { return lists().livePeers; }
    [[nodiscard]] const std::map<std::string, PeerHost> &peers() const { return m_peers; }
    [[nodiscard]] const std::string &host() const { return m_host; }
    [[nodiscard]] const std::string &dataCentre() const { return m_dataCentre; }
    [[nodiscard]] Incarnation incarnation() const { return m_incarnation; }
    [[nodiscard]] bool leaving() const { return m_leaving; }
    [[nodiscard]] TimePoint nextTick() const { return m_nextHeartbeat; }

private:
    /// Cached host lists, as of the last change.
    struct Lists
    {
        std::vector<std::string> candidates;
        std::vector<std::string> localCandidates;
        std::vector<std::string> livePeers;
        TimePoint validUntil = TimePoint::min(); ///< When the first live host may expire.
        std::uint64_t version = 0;
    };

    const Lists &lists() const;
    void rebuildLists() const;
    void invalidateLists() { m_lists.validUntil = TimePoint::min(); }
    void scheduleEarlyHeartbeat();
    void applyHostReport(const HostReport &report);
    [[nodiscard]] TimePoint liveUntil(const PeerHost &peer) const;
    [[nodiscard]] Duration livenessTimeoutOf(const PeerHost &peer) const;
    [[nodiscard]] bool sendsEachInterval(double capacity) const;
    [[nodiscard]] bool hasInitialView() const;
    template <typename Condition>
    [[nodiscard]] std::vector<std::string> selectHosts(const Condition &condition,
                                                       const std::string &dataCentre) const;
    [[nodiscard]] bool isLive(const PeerHost &peer) const;
    [[nodiscard]] bool isReported(const PeerHost &peer) const;

    const Clock &m_clock;
    std::string m_host;
    std::string m_address;
    std::string m_dataCentre;
    Incarnation m_incarnation;
    TimePoint m_startedAt;
    bool m_hasRelayHostList = false; ///< A relay has sent its list of all live hosts.
    bool m_leaving = false;
    double m_capacity = 1;
    TimePoint m_lastHeartbeat;
    TimePoint m_nextHeartbeat;
    std::map<std::string, PeerHost> m_peers;
    std::uint32_t m_ownRequest = 1;   ///< See requestMultiplierAsRelay().
    std::uint32_t m_relayRequest = 1; ///< See recordRequestedMultiplier().
    TimePoint m_relayRequestUntil;    ///< Until when the latter is valid.
    mutable Lists m_lists;
    mutable std::uint32_t m_sizeMultiplier = 1;  ///< The part of the factor that the size requires.
    mutable double m_largestCapacity = 0;        ///< Among the live hosts of this data centre.
    mutable std::size_t m_highCapacityHosts = 0; ///< Number of these with high capacity.
};

/// Returns the one of \p hosts that normally writes \p bucket, by rendezvous hashing: when a
/// host joins or leaves, only its own buckets move.
[[nodiscard]] std::string preferredOwner(std::size_t bucket, const std::vector<std::string> &hosts);

} // namespace harelink

#endif // HARELINK_KERNEL_MEMBERSHIP_H
