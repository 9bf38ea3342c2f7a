//===- peerrelay.cpp - Heartbeats through relays --------------------------===//

#include "harelink/Kernel/peerrelay.h"

#include <algorithm>
#include <set>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Relays of a data centre: when one dies, the other has heard everybody already.
constexpr std::size_t relayCount = 2;
/// A relay that was asked and says nothing for this long is passed over: two heartbeats
/// and a half.
constexpr milliseconds relaySilence{600};
/// How long it is passed over before it is asked again.
constexpr milliseconds silencePause{3000};
/// What a daemon told counts for four heartbeats, as does its wish for summaries.
constexpr milliseconds fastTellingLife{1000};
/// Every so many heartbeats a summary is whole, and goes to all. Each pace divides it.
constexpr std::uint32_t wholeRound = 4;
/// A host that leaves says so to everybody this many times: messages may be lost.
constexpr std::uint32_t mostFarewells = 2;

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

Duration PeerRelay::tellingLife() const
{
    return fastTellingLife * static_cast<int>(m_membership.heartbeatMultiplier());
}

bool PeerRelay::isSilent(const std::string &host) const
{
    const auto found = m_silentUntil.find(host);
    return found != m_silentUntil.end() && m_clock.now() < found->second;
}

/// The hosts of \p dataCentre in the order in which they are asked: able ones first,
/// then by hash. While none is known to live, any that was ever declared may.
std::vector<std::string> PeerRelay::ranked(const std::string &dataCentre) const
{
    std::vector<std::string> live;
    std::vector<std::string> declared;
    for (const auto &[name, peer] : m_membership.peers()) {
        const bool stays = peer.dataCentre == dataCentre && !peer.leaving && !peer.address.empty();
        if (!stays || isSilent(name)) {
            continue;
        }
        declared.push_back(name);
        if (m_membership.seenWithin(peer, tellingLife())) {
            live.push_back(name);
        }
    }
    std::vector<std::string> hosts = live.empty() ? std::move(declared) : std::move(live);
    if (dataCentre == m_membership.dataCentre() && !m_membership.leaving()) {
        hosts.push_back(m_membership.host());
    }
    return m_membership.ranked(std::move(hosts), "relay");
}

/// Passes over those that were asked and did not answer.
void PeerRelay::noticeSilence()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_askedSince, [&](const auto &asked) {
        const auto peer = m_membership.peers().find(asked.first);
        const TimePoint heard =
            peer == m_membership.peers().end() ? asked.second : peer->second.lastSeen;
        const bool silent = now - std::max(asked.second, heard)
                            > relaySilence * static_cast<int>(m_membership.heartbeatMultiplier());
        if (silent) {
            m_silentUntil[asked.first] = now + silencePause;
        }
        return silent;
    });
    std::erase_if(m_silentUntil, [now](const auto &silent) { return silent.second <= now; });
}

void PeerRelay::ask(const std::string &host, std::vector<HeartbeatTarget> &targets)
{
    m_askedSince.try_emplace(host, m_clock.now());
    targets.push_back({host, true, hostsKnownOf(host)});
}

std::uint64_t PeerRelay::hostsKnownOf(const std::string &host) const
{
    const auto list = m_hostLists.find(host);
    const bool holds = list != m_hostLists.end() && m_clock.now() < list->second.until;
    return holds ? list->second.hash : 0;
}

void PeerRelay::recordHostList(const std::string &host, const std::string &dataCentre,
                               std::uint64_t hash)
{
    // It took the place of what others said of the same hosts.
    std::erase_if(m_hostLists, [&](const auto &entry) {
        const std::string &where = entry.second.dataCentre;
        return dataCentre.empty() || where.empty() || where == dataCentre;
    });
    m_hostLists[host] = {dataCentre, hash, m_clock.now() + Membership::reportTtl};
}

bool PeerRelay::renewHostList(const std::string &host, std::uint64_t hash)
{
    if (hash == 0 || hostsKnownOf(host) != hash) {
        return false;
    }
    m_hostLists[host].until = m_clock.now() + Membership::reportTtl;
    return true;
}

/// Asks one relay of each other data centre.
void PeerRelay::askElsewhere(std::vector<HeartbeatTarget> &targets)
{
    std::set<std::string> dataCentres;
    for (const auto &[name, peer] : m_membership.peers()) {
        dataCentres.insert(peer.dataCentre);
    }
    dataCentres.erase(m_membership.dataCentre());
    for (const std::string &dataCentre : dataCentres) {
        const std::vector<std::string> hosts = ranked(dataCentre);
        if (!hosts.empty()) {
            ask(hosts.front(), targets);
        }
    }
}

/// Tells one declared host after another, of those that are not known to live, that this
/// daemon does, and asks what it knows: two that each became a relay before they knew the
/// other would not meet. The one that is told knows this daemon then and does not tell it in
/// its turn, so without the question one of them would stay alone.
void PeerRelay::introduce(std::vector<HeartbeatTarget> &targets)
{
    std::vector<std::string> unheard;
    for (const auto &[name, peer] : m_membership.peers()) {
        const bool isLocal = peer.dataCentre == m_membership.dataCentre();
        if (isLocal && !peer.leaving && !m_membership.seenWithin(peer, tellingLife())) {
            unheard.push_back(name);
        }
    }
    ++m_introductions;
    // Able ones are few and matter most, so every other turn is theirs.
    const std::vector<std::string> turn =
        m_introductions % 2 == 0 ? std::move(unheard) : m_membership.highCapacityHosts(unheard);
    if (!turn.empty()) {
        targets.push_back({turn[m_introductions / 2 % turn.size()], true});
    }
}

std::vector<HeartbeatTarget> PeerRelay::targets()
{
    std::vector<HeartbeatTarget> targets;
    const bool saysFarewell = m_membership.leaving() && m_farewells++ < mostFarewells;
    if (!isRelayed() || saysFarewell) {
        m_isRelay = false;
        for (const auto &[name, peer] : m_membership.peers()) {
            targets.push_back({name, false});
        }
        return targets;
    }
    noticeSilence();
    std::vector<std::string> hosts = ranked(m_membership.dataCentre());
    hosts.resize(std::min(hosts.size(), relayCount));
    m_isRelay = std::find(hosts.begin(), hosts.end(), m_membership.host()) != hosts.end();
    if (m_isRelay) {
        askElsewhere(targets);
        introduce(targets);
    }
    // The second relay asks the first one too: it would not hear of a host that comes back
    // and takes its place.
    for (const std::string &host : hosts) {
        if (host == m_membership.host()) {
            continue;
        }
        // The second has heard of all when the first dies; until then it need not be told of
        // each small change by those that are many.
        const bool isTold =
            m_isRelay || m_membership.hasHighCapacity()
            || ++m_tellings % (wholeRound / m_membership.heartbeatMultiplier()) == 0;
        if (host == hosts.front()) {
            ask(host, targets);
        } else if (isTold) {
            targets.push_back({host, false});
        }
    }
    std::erase_if(m_askedSince, [&targets](const auto &asked) {
        return std::none_of(targets.begin(), targets.end(), [&asked](const auto &target) {
            return target.wantsSummary && target.host == asked.first;
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

// What is told ----------------------------------------------------------------

void PeerRelay::update(Told &told, const std::vector<PromptBacklog> &prompts,
                       const std::vector<PieceBacklog> &backlogs, TimePoint now)
{
    told.at = now;
    told.prompts.clear();
    for (const PromptBacklog &prompt : prompts) {
        told.prompts[prompt.endpoint] += prompt.tokens;
    }
    told.backlogs = backlogs;
}

void PeerRelay::update(Told &told, const std::vector<UsageReport> &usage)
{
    for (auto &[key, use] : told.usage) {
        use.demand = 0;
    }
    for (const UsageReport &report : usage) {
        Use &use = told.usage[{report.account, report.pool}];
        use.time += report.time;
        use.demand = report.demand;
    }
}

void PeerRelay::handle(const std::string &host, const Heartbeat &heartbeat)
{
    if (heartbeat.wantsSummary) {
        m_subscribers[host] = {m_clock.now(), heartbeat.knownHostsHash};
    }
    // A relay of another data centre tells its own figures in its summaries.
    if (heartbeat.dataCentre == m_membership.dataCentre()) {
        Told &told = m_local[host];
        update(told, heartbeat.prompts, heartbeat.backlogs, m_clock.now());
        update(told, heartbeat.usage);
    }
}

void PeerRelay::handle(const std::string &dataCentre, const PeerSummary &summary)
{
    if (dataCentre == m_membership.dataCentre()) {
        return;
    }
    Told &told = m_elsewhere[dataCentre];
    update(told, summary.prompts, summary.backlogs, m_clock.now());
    if (summary.hasUsage) {
        update(told, summary.usage);
    }
}

void PeerRelay::forgetOld()
{
    const TimePoint now = m_clock.now();
    const Duration life = tellingLife();
    const auto isOld = [&](const auto &entry) { return now - entry.second.at > life; };
    std::erase_if(m_local, isOld);
    std::erase_if(m_elsewhere, isOld);
    std::erase_if(m_subscribers,
                  [&](const auto &entry) { return now - entry.second.askedAt > life; });
}

/// Whether a summary for \p host goes out with this heartbeat. Few are able or stand
/// elsewhere; the many others get theirs at their own pace.
bool PeerRelay::isSummaryDue(const std::string &host, bool isUrgent) const
{
    const auto peer = m_membership.peers().find(host);
    const bool isFast = peer == m_membership.peers().end()
                        || m_membership.hasHighCapacity(peer->second)
                        || !m_membership.isLocal(host);
    return isUrgent || isFast || m_round % m_membership.heartbeatMultiplier() == 0;
}

void PeerRelay::add(const Told &told, Told &total) const
{
    for (const auto &[endpoint, tokens] : told.prompts) {
        total.prompts[endpoint] += tokens;
    }
    for (const auto &[key, use] : told.usage) {
        Use &sum = total.usage[key];
        sum.time += use.time;
        sum.demand += use.demand;
    }
    const Duration age = m_clock.now() - told.at;
    for (PieceBacklog backlog : told.backlogs) {
        backlog.freeIn = std::max<Duration>(Duration::zero(), backlog.freeIn - age);
        total.backlogs.push_back(std::move(backlog));
    }
}

PeerSummary PeerRelay::sum(const Told &own, const std::string &without, bool isLocal,
                           bool hasUsage) const
{
    Told total;
    add(own, total);
    for (const auto &[host, told] : m_local) {
        if (host != without) {
            add(told, total);
        }
    }
    for (const auto &[dataCentre, told] : m_elsewhere) {
        if (isLocal) {
            add(told, total);
        }
    }
    PeerSummary summary;
    summary.backlogs = std::move(total.backlogs);
    for (const auto &[endpoint, tokens] : total.prompts) {
        summary.prompts.push_back({endpoint, tokens});
    }
    summary.hasUsage = hasUsage;
    if (hasUsage) {
        for (const auto &[key, use] : total.usage) {
            if (use.time != Duration{} || use.demand > 0) {
                summary.usage.push_back({key.first, key.second, use.time, use.demand});
            }
        }
    }
    return summary;
}

std::vector<PeerSend> PeerRelay::summaries(const Heartbeat &own)
{
    forgetOld();
    update(m_own, own.prompts, own.backlogs, m_clock.now());
    update(m_own, own.usage);
    std::vector<PeerSend> sends;
    if (m_subscribers.empty()) {
        return sends;
    }
    const bool hasUsage = ++m_round % wholeRound == 0;
    // One that begins to leave is another one.
    const std::uint64_t hashOfAll = m_membership.hostsHash({});
    const bool hostsChanged = std::exchange(m_hostsBefore, hashOfAll) != hashOfAll;
    const bool isUrgent = hostsChanged || hasUsage;
    const std::uint64_t hashOfLocal = m_membership.hostsHash(m_membership.dataCentre());
    for (auto &[host, subscriber] : m_subscribers) {
        if (!isSummaryDue(host, isUrgent)) {
            continue;
        }
        const bool isLocal = m_membership.isLocal(host);
        PeerSummary summary = sum(m_own, host, isLocal, hasUsage);
        summary.leavingEndpoints = own.leavingEndpoints;
        summary.leavingKnown = own.leavingKnown;
        summary.limits = own.limits;
        summary.configSummary = own.configSummary;
        summary.hasWatcher = own.watches;
        summary.hostsHash = isLocal ? hashOfAll : hashOfLocal;
        summary.hasHosts = subscriber.knownHostsHash != summary.hostsHash;
        if (summary.hasHosts) {
            // Until it tells otherwise, or the list would go out again before it can.
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
        for (ToldBySource *sources : {&m_local, &m_elsewhere}) {
            for (auto &[source, told] : *sources) {
                for (auto &[key, use] : told.usage) {
                    use.time = {};
                }
            }
        }
    }
    return sends;
}

} // namespace harelink
