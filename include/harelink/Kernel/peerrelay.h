//===- harelink/Kernel/peerrelay.h - Heartbeats through relays --*- C++ -*-===//
///
/// \file
/// Decides whom this daemon sends heartbeats to, and sums up what it hears for others.
///
/// Options weighed: all daemons tell all (86 daemons sent 29,000 messages a second,
/// which took more processor time than their requests); each tells a few that take
/// turns (what is known is then seconds old); two relays in each data centre, which
/// daemons find by rendezvous hashing over the hosts that they know. The last is what
/// stands here, from a number of peers on; below it all tell all. Messages are four a
/// heartbeat interval and daemon, besides one for each pair of data centres.
///
/// Nobody has to agree on who is a relay: whoever is asked for summaries gives them. A
/// relay that falls silent is passed over after relaySilence.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PEERRELAY_H
#define HARELINK_KERNEL_PEERRELAY_H

#include "harelink/Kernel/membership.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The relay's part of one daemon.
class PeerRelay
{
public:
    /// \param clock and \p membership outlive this.
    /// \param maxMeshPeers with more peers heartbeats go through relays.
    PeerRelay(const Clock &clock, const Membership &membership, std::size_t maxMeshPeers);

    /// Whether so many peers are known that heartbeats go through relays.
    [[nodiscard]] bool isRelayed() const;
    /// Whom the heartbeats that are due now go to.
    [[nodiscard]] std::vector<HeartbeatTarget> targets();
    /// Whether what a daemon of \p dataCentre tells in a heartbeat is not in any summary
    /// that this daemon counts.
    [[nodiscard]] bool usesHeartbeatsFrom(const std::string &dataCentre) const;
    /// Whether this daemon counts the figures of a summary that came from \p dataCentre.
    [[nodiscard]] bool usesSummariesFrom(const std::string &dataCentre) const;
    /// Takes in what a daemon told.
    void handle(const std::string &host, const Heartbeat &heartbeat);
    /// Takes in what a relay of another data centre told.
    void handle(const std::string &dataCentre, const PeerSummary &summary);
    /// Takes in that \p host sent a list of live hosts of \p dataCentre, of all where that is
    /// empty, whose hash is \p hash.
    void recordHostList(const std::string &host, const std::string &dataCentre, std::uint64_t hash);
    /// Takes in that \p host tells of a list with \p hash; whether it is the one that it sent
    /// last, and holds still.
    bool renewHostList(const std::string &host, std::uint64_t hash);
    /// Whether this daemon is a relay of its data centre.
    [[nodiscard]] bool isRelay() const { return m_isRelay; }
    /// The summaries that are due with the heartbeats.
    ///
    /// \param own what this daemon tells of itself.
    [[nodiscard]] std::vector<PeerSend> summaries(const Heartbeat &own);

private:
    using AccountPool = std::pair<std::string, std::string>;
    struct Use
    {
        Duration time{}; ///< Since the last whole summary.
        int demand = 0;
    };
    /// What one daemon, or one other data centre, told last.
    struct Told
    {
        TimePoint at;
        std::map<std::string, std::int64_t> prompts;
        std::map<AccountPool, Use> usage;
        std::vector<PieceBacklog> backlogs;
    };
    using ToldBySource = std::map<std::string, Told>;
    /// One that asked for summaries.
    struct Subscriber
    {
        TimePoint askedAt;
        std::uint64_t knownHostsHash = 0; ///< As in Heartbeat.
    };
    /// A list of hosts that was taken.
    struct HostList
    {
        std::string dataCentre; ///< As in recordHostList().
        std::uint64_t hash = 0;
        TimePoint until; ///< Later its hosts do not count as reported any more.
    };

    [[nodiscard]] std::vector<std::string> ranked(const std::string &dataCentre) const;
    [[nodiscard]] bool isSilent(const std::string &host) const;
    void noticeSilence();
    void ask(const std::string &host, std::vector<HeartbeatTarget> &targets);
    [[nodiscard]] std::uint64_t hostsKnownOf(const std::string &host) const;
    void askElsewhere(std::vector<HeartbeatTarget> &targets);
    void introduce(std::vector<HeartbeatTarget> &targets);
    void forgetOld();
    [[nodiscard]] PeerSummary sum(const Told &own, const std::string &without, bool isLocal,
                                  bool hasUsage) const;
    [[nodiscard]] bool isSummaryDue(const std::string &host, bool isUrgent) const;
    [[nodiscard]] Duration tellingLife() const;
    void add(const Told &told, Told &total) const;
    static void update(Told &told, const std::vector<PromptBacklog> &prompts,
                       const std::vector<PieceBacklog> &backlogs, TimePoint now);
    static void update(Told &told, const std::vector<UsageReport> &usage);

    const Clock &m_clock;
    const Membership &m_membership;
    std::size_t m_maxMeshPeers;
    bool m_isRelay = false;
    std::uint32_t m_farewells = 0; ///< Heartbeats to everybody that this host leaves.
    std::uint32_t m_introductions = 0;
    std::uint32_t m_tellings = 0; ///< Heartbeats for the second relay, sent or not.
    std::map<std::string, TimePoint> m_askedSince;
    std::map<std::string, TimePoint> m_silentUntil;
    std::map<std::string, Subscriber> m_subscribers;
    std::map<std::string, HostList> m_hostLists; ///< By the relay that sent it.
    ToldBySource m_local;                        ///< By host of the own data centre.
    ToldBySource m_elsewhere;                    ///< By data centre.
    Told m_own;
    std::uint64_t m_hostsBefore = 0; ///< The hash over all hosts at the last summaries.
    std::uint32_t m_round = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERRELAY_H
