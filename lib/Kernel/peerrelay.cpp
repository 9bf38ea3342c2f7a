//===- peerrelay.cpp - Heartbeats through relays --------------------------===//

#include "harelink/Kernel/peerrelay.h"

#include <algorithm>
#include <set>

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
/// A host that leaves announces it to all peers this number of times, since messages may be
/// lost.
constexpr std::uint32_t maxLeaveAnnouncements = 2;

} // namespace

PeerRelay::PeerRelay(const Clock &clock, const Membership &membership, std::size_t maxMeshPeers)
    : m_clock(clock)
    , m_membership(membership)
    , m_maxMeshPeers(maxMeshPeers)
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
    std::vector<std::string> live;
    std::vector<std::string> declared;
    for (const auto &[name, peer] : m_membership.peers()) {
        const bool isEligible =
            peer.dataCentre == dataCentre && !peer.leaving && !peer.address.empty();
        if (!isEligible || isUnresponsive(name)) {
            continue;
        }
        declared.push_back(name);
        if (m_membership.seenWithin(peer, heartbeatTtl())) {
            live.push_back(name);
        }
    }
    std::vector<std::string> hosts = live.empty() ? std::move(declared) : std::move(live);
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
    if (!isRelayed() || announcesLeave) {
        m_isRelay = false;
        for (const auto &[name, peer] : m_membership.peers()) {
            targets.push_back({name, false});
        }
        return targets;
    }
    detectUnresponsiveRelays();
    std::vector<std::string> hosts = ranked(m_membership.dataCentre());
    hosts.resize(std::min(hosts.size(), relayCount));
    m_isRelay = std::find(hosts.begin(), hosts.end(), m_membership.host()) != hosts.end();
    if (m_isRelay) {
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
            m_isRelay || m_membership.hasHighCapacity()
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

// Load reports ----------------------------------------------------------------

void PeerRelay::update(PeerLoad &load, const std::vector<PromptBacklog> &prompts,
                       const std::vector<PieceBacklog> &backlogs, TimePoint now)
{
    load.at = now;
    load.prompts.clear();
    for (const PromptBacklog &prompt : prompts) {
        load.prompts[prompt.endpoint] += prompt.tokens;
    }
    load.backlogs = backlogs;
}

void PeerRelay::update(PeerLoad &load, const std::vector<UsageReport> &usage)
{
    for (auto &[key, accountUsage] : load.usage) {
        accountUsage.demand = 0;
    }
    for (const UsageReport &report : usage) {
        AccountUsage &accountUsage = load.usage[{report.account, report.pool}];
        accountUsage.time += report.time;
        accountUsage.demand = report.demand;
    }
}

void PeerRelay::handle(const std::string &host, const Heartbeat &heartbeat)
{
    if (heartbeat.requestsSummary) {
        m_subscribers[host] = {m_clock.now(), heartbeat.knownHostsHash};
    }
    // A relay of another data centre includes its own load in its summaries.
    if (heartbeat.dataCentre == m_membership.dataCentre()) {
        PeerLoad &load = m_local[host];
        update(load, heartbeat.prompts, heartbeat.backlogs, m_clock.now());
        update(load, heartbeat.usage);
    }
}

void PeerRelay::handle(const std::string &dataCentre, const PeerSummary &summary)
{
    if (dataCentre == m_membership.dataCentre()) {
        return;
    }
    PeerLoad &load = m_remote[dataCentre];
    update(load, summary.prompts, summary.backlogs, m_clock.now());
    if (summary.hasUsage) {
        update(load, summary.usage);
    }
}

void PeerRelay::removeExpired()
{
    const TimePoint now = m_clock.now();
    const Duration ttl = heartbeatTtl();
    const auto isExpired = [&](const auto &entry) { return now - entry.second.at > ttl; };
    std::erase_if(m_local, isExpired);
    std::erase_if(m_remote, isExpired);
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
                              || m_membership.hasHighCapacity(peer->second)
                              || !m_membership.isLocal(host);
    return isUrgent || isEveryRound || m_round % m_membership.heartbeatMultiplier() == 0;
}

void PeerRelay::add(const PeerLoad &load, PeerLoad &total) const
{
    for (const auto &[endpoint, tokens] : load.prompts) {
        total.prompts[endpoint] += tokens;
    }
    for (const auto &[key, accountUsage] : load.usage) {
        AccountUsage &sum = total.usage[key];
        sum.time += accountUsage.time;
        sum.demand += accountUsage.demand;
    }
    const Duration age = m_clock.now() - load.at;
    for (PieceBacklog backlog : load.backlogs) {
        backlog.freeIn = std::max<Duration>(Duration::zero(), backlog.freeIn - age);
        total.backlogs.push_back(std::move(backlog));
    }
}

PeerSummary PeerRelay::aggregate(const PeerLoad &own, const std::string &excludedHost, bool isLocal,
                                 bool hasUsage) const
{
    PeerLoad total;
    add(own, total);
    for (const auto &[host, load] : m_local) {
        if (host != excludedHost) {
            add(load, total);
        }
    }
    for (const auto &[dataCentre, load] : m_remote) {
        if (isLocal) {
            add(load, total);
        }
    }
    PeerSummary summary;
    summary.backlogs = std::move(total.backlogs);
    for (const auto &[endpoint, tokens] : total.prompts) {
        summary.prompts.push_back({endpoint, tokens});
    }
    summary.hasUsage = hasUsage;
    if (hasUsage) {
        for (const auto &[key, accountUsage] : total.usage) {
            if (accountUsage.time != Duration{} || accountUsage.demand > 0) {
                summary.usage.push_back(
                    {key.first, key.second, accountUsage.time, accountUsage.demand});
            }
        }
    }
    return summary;
}

std::vector<PeerSend> PeerRelay::summaries(const Heartbeat &own)
{
    removeExpired();
    update(m_own, own.prompts, own.backlogs, m_clock.now());
    update(m_own, own.usage);
    std::vector<PeerSend> sends;
    if (m_subscribers.empty()) {
        return sends;
    }
    const bool hasUsage = ++m_round % usageRoundInterval == 0;
    // The hash also changes when a host starts to leave.
    const std::uint64_t hashOfAll = m_membership.hostsHash({});
    const bool hostsChanged = std::exchange(m_lastHostsHash, hashOfAll) != hashOfAll;
    const bool isUrgent = hostsChanged || hasUsage;
    const std::uint64_t hashOfLocal = m_membership.hostsHash(m_membership.dataCentre());
    for (auto &[host, subscriber] : m_subscribers) {
        if (!isSummaryDue(host, isUrgent)) {
            continue;
        }
        const bool isLocal = m_membership.isLocal(host);
        PeerSummary summary = aggregate(m_own, host, isLocal, hasUsage);
        summary.leavingEndpoints = own.leavingEndpoints;
        summary.leavingKnown = own.leavingKnown;
        summary.limits = own.limits;
        summary.configSummary = own.configSummary;
        summary.hasWatcher = own.watches;
        summary.hostsHash = isLocal ? hashOfAll : hashOfLocal;
        summary.hasHosts = subscriber.knownHostsHash != summary.hostsHash;
        if (summary.hasHosts) {
            // Assumes delivery until the subscriber reports another hash; otherwise the list
            // would be sent again before it can reply.
            subscriber.knownHostsHash = summary.hostsHash;
            summary.hosts =
                m_membership.hostReports(isLocal ? std::string() : m_membership.dataCentre());
        }
        if (std::optional<PeerSend> send = m_membership.messageTo(host, std::move(summary))) {
            sends.push_back(*std::move(send));
        }
    }
    if (hasUsage) {
        m_own.usage.clear();
        for (LoadBySource *sources : {&m_local, &m_remote}) {
            for (auto &[source, load] : *sources) {
                for (auto &[key, accountUsage] : load.usage) {
                    accountUsage.time = {};
                }
            }
        }
    }
    return sends;
}

} // namespace harelink
