//===- membership.cpp - Cluster membership --------------------------------===//

#include "harelink/Kernel/membership.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Config/jsontext.h"
#include "harelink/Kernel/heartbeatthrottle.h"
#include "harelink/Support/hash.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval{250};
/// A host counts as live for this period after its last message.
constexpr milliseconds livenessTimeout{1000};
/// Minimum interval before an early heartbeat. Messages of daemons that start together arrive
/// one after the other, and a single heartbeat replies to all of them.
constexpr milliseconds earlyHeartbeatInterval{20};
/// No early heartbeats are sent with more peers: a relay reports all hosts at the next
/// heartbeat, and hundreds of daemons that start together would each send early heartbeats
/// fifty times a second.
constexpr std::size_t maxEarlyHeartbeatPeers = 16;
/// Within this period after the start a relay has replied to the first heartbeat: two heartbeat
/// intervals plus network hops.
constexpr milliseconds initialViewTimeout{700};
/// A host counts for this period after it was last seen in quantities that are divided among
/// all hosts. Equals the window of a retry budget.
constexpr milliseconds recentHostPeriod{10'000};
/// A host has high capacity from this fraction of the largest host's capacity on.
constexpr double highCapacityRatio = 0.5;
/// With more hosts of high capacity in a data centre, these send no more often than the others.
constexpr std::size_t maxHighCapacitySenders = 12;
/// From the first number of hosts in a data centre on, hosts without high capacity send every
/// second heartbeat only, from the second number on every fourth. A relay then receives about
/// 100 messages per second, as with 24 hosts.
constexpr std::size_t minMediumFleetHosts = 25;
constexpr std::size_t minLargeFleetHosts = 97;
constexpr std::uint32_t mediumFleetMultiplier = 2;
constexpr std::uint32_t largeFleetMultiplier = 4;
constexpr double minCapacity = 0.001;
constexpr double maxCapacity = 100'000;

/// Returns Membership::heartbeatMultiplier() for a data centre of \p hosts hosts.
std::uint32_t heartbeatMultiplierFor(std::size_t hosts)
{
    if (hosts >= minLargeFleetHosts) {
        return largeFleetMultiplier;
    }
    return hosts >= minMediumFleetHosts ? mediumFleetMultiplier : 1;
}

/// Returns the greatest factor that a relay may request and that is not above \p multiplier.
std::uint32_t usableMultiplier(std::uint32_t multiplier)
{
    return std::bit_floor(std::clamp(multiplier, 1U, HeartbeatThrottle::maxMultiplier));
}

/// Returns whether \p where is in scope of \p dataCentre; empty stands for all data centres.
bool isWithin(const std::string &where, const std::string &dataCentre)
{
    return dataCentre.empty() || where == dataCentre;
}

/// The object in which a host declares itself.
struct HostDeclaration
{
    std::string address;
    std::string dataCentre;
    double capacity = 1;
};

/// Parses the declaration in \p value. Returns std::nullopt if it cannot be read, or has no
/// address for peers because its host runs endpoints and no daemon.
std::optional<HostDeclaration> readDeclaration(const std::string &value)
{
    const nlohmann::json document = parseJsonText(value);
    Faults faults;
    JsonReader reader(document, "", faults);
    HostDeclaration declaration;
    declaration.address = reader.text("peers");
    declaration.dataCentre = reader.text("dataCentre", "");
    declaration.capacity = reader.number("capacity", minCapacity, maxCapacity, 1.0);
    return faults.empty() ? std::optional(std::move(declaration)) : std::nullopt;
}

} // namespace

Membership::Membership(const Clock &clock, std::string host, std::string address,
                       std::string dataCentre, Incarnation incarnation)
    : m_clock(clock)
    , m_host(std::move(host))
    , m_address(std::move(address))
    , m_dataCentre(std::move(dataCentre))
    , m_incarnation(incarnation)
    , m_startedAt(clock.now())
    , m_lastHeartbeat(TimePoint::min())
    , m_nextHeartbeat(clock.now())
{
}

void Membership::handleHostList(const std::vector<PlatformObject> &hosts)
{
    const bool isAlone = std::none_of(m_peers.begin(), m_peers.end(),
                                      [this](const auto &entry) { return isLive(entry.second); });
    std::set<std::string> listed;
    for (const PlatformObject &host : hosts) {
        std::optional<HostDeclaration> declaration = readDeclaration(host.value);
        if (host.name == m_host || !declaration) {
            continue;
        }
        listed.insert(host.name);
        PeerHost &peer = m_peers[host.name];
        peer.address = std::move(declaration->address);
        peer.dataCentre = std::move(declaration->dataCentre);
        peer.capacity = declaration->capacity;
        if (peer.incarnation == 0) {
            peer.lastSeen = TimePoint::min();
        }
    }
    if (isAlone && !listed.empty()) {
        scheduleEarlyHeartbeat();
    }
    // The list lags, so a host that is missing from it stays while it still sends messages.
    std::erase_if(m_peers, [&](const auto &entry) {
        return !listed.contains(entry.first) && !isLive(entry.second);
    });
    invalidateLists();
}

std::string Membership::ownDeclaration() const
{
    const nlohmann::json value = {{"host", m_host},         {"dataCentre", m_dataCentre},
                                  {"peers", m_address},     {"incarnation", m_incarnation},
                                  {"capacity", m_capacity}, {"state", "serving"}};
    return value.dump();
}

bool Membership::matchesDeclaration(const std::string &declaration) const
{
    const std::optional<HostDeclaration> declared = readDeclaration(declaration);
    const std::optional<HostDeclaration> own = readDeclaration(ownDeclaration());
    return declared && own && declared->address == own->address
           && declared->dataCentre == own->dataCentre && declared->capacity == own->capacity;
}

void Membership::recordMessage(const PeerMessage &message)
{
    if (message.host == m_host || message.host.empty()) {
        return;
    }
    PeerHost &peer = m_peers[message.host];
    const bool wasLive = isLive(peer);
    if (peer.incarnation != message.incarnation) {
        // Incarnations are random numbers and have no order. A delayed message may restore an
        // old incarnation until the next heartbeat of the new one; only hints depend on it.
        peer.incarnation = message.incarnation;
        peer.leaving = false;
        invalidateLists();
        scheduleEarlyHeartbeat();
    }
    peer.lastSeen = m_clock.now();
    bool isChanged = !wasLive;
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message.content)) {
        isChanged = isChanged || peer.address != heartbeat->address
                    || peer.dataCentre != heartbeat->dataCentre
                    || (heartbeat->leaving && !peer.leaving) || peer.capacity != heartbeat->capacity
                    || peer.lostPools != heartbeat->lostPools;
        // Heartbeats carry this data too, for daemons that start while the host list is
        // unavailable.
        peer.address = heartbeat->address;
        peer.dataCentre = heartbeat->dataCentre;
        peer.leaving = peer.leaving || heartbeat->leaving;
        peer.capacity = heartbeat->capacity;
        peer.lostPools = heartbeat->lostPools;
        peer.lostPoolsAt = m_clock.now();
    }
    if (isChanged) {
        invalidateLists();
    }
}

void Membership::recordLostPool(const std::string &host, const std::string &pool)
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end()) {
        return;
    }
    if (reaches(host, pool)) {
        peer->second.lostPools.push_back(pool);
        invalidateLists();
    }
    peer->second.lostPoolsAt = m_clock.now();
}

bool Membership::reaches(const std::string &host, const std::string &pool) const
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end()) {
        return true;
    }
    const std::vector<std::string> &lost = peer->second.lostPools;
    // Where heartbeats go through relays, most hosts do not report it themselves.
    return m_clock.now() - peer->second.lostPoolsAt > reportTtl
           || std::find(lost.begin(), lost.end(), pool) == lost.end();
}

void Membership::handleHostReports(const std::vector<HostReport> &hosts,
                                   const std::string &dataCentre)
{
    for (auto &[name, peer] : m_peers) {
        if (isWithin(peer.dataCentre, dataCentre)) {
            peer.reportedAt = TimePoint::min();
        }
    }
    for (const HostReport &report : hosts) {
        if (report.host == m_host || !isWithin(report.dataCentre, dataCentre)) {
            continue;
        }
        applyHostReport(report);
    }
    m_hasRelayHostList = m_hasRelayHostList || dataCentre.empty();
    invalidateLists();
}

void Membership::applyHostReport(const HostReport &report)
{
    PeerHost &peer = m_peers[report.host];
    if (peer.incarnation == 0) {
        peer.lastSeen = TimePoint::min();
    }
    // A recent message from the host itself takes precedence over a relay's report.
    const bool wasSeenDirectly = peer.incarnation != 0 && peer.lastSeen != TimePoint::min()
                                 && m_clock.now() - peer.lastSeen <= heartbeatInterval;
    if (!wasSeenDirectly && peer.incarnation != report.incarnation) {
        peer.incarnation = report.incarnation;
        peer.leaving = false;
    }
    peer.address = report.address;
    peer.dataCentre = report.dataCentre;
    peer.capacity = report.capacity;
    peer.leaving = peer.leaving || (report.leaving && peer.incarnation == report.incarnation);
    peer.reportedAt = m_clock.now();
}

void Membership::handleHostChanges(const std::vector<HostReport> &hosts,
                                   const std::vector<std::string> &removedHosts,
                                   const std::string &dataCentre)
{
    renewHostReports(dataCentre);
    for (const HostReport &report : hosts) {
        if (report.host != m_host && isWithin(report.dataCentre, dataCentre)) {
            applyHostReport(report);
        }
    }
    for (const std::string &name : removedHosts) {
        const auto found = m_peers.find(name);
        if (found != m_peers.end() && isWithin(found->second.dataCentre, dataCentre)) {
            found->second.reportedAt = TimePoint::min();
        }
    }
    invalidateLists();
}

void Membership::renewHostReports(const std::string &dataCentre)
{
    for (auto &[name, peer] : m_peers) {
        if (isReported(peer) && isWithin(peer.dataCentre, dataCentre)) {
            peer.reportedAt = m_clock.now();
        }
    }
}

std::uint64_t Membership::hostsHash(const std::string &dataCentre) const
{
    const auto hashOf = [](const std::string &host, Incarnation incarnation, bool leaving) {
        return hash64(host, leaving ? ~incarnation : incarnation);
    };
    std::uint64_t sum = hashOf(m_host, m_incarnation, m_leaving);
    for (const auto &[name, peer] : m_peers) {
        const bool isInScope = isWithin(peer.dataCentre, dataCentre);
        if (isInScope && isLive(peer) && !peer.address.empty()) {
            sum += hashOf(name, peer.incarnation, peer.leaving);
        }
    }
    return sum;
}

std::vector<PeerSend> Membership::dueHeartbeats(const std::vector<HeartbeatTarget> &targets,
                                                bool isRelay)
{
    m_lastHeartbeat = m_clock.now();
    m_nextHeartbeat =
        m_lastHeartbeat
        + heartbeatInterval
              * (isRelay || sendsEachInterval() ? 1 : static_cast<int>(heartbeatMultiplier()));
    std::vector<PeerSend> sends;
    for (const HeartbeatTarget &target : targets) {
        Heartbeat heartbeat;
        heartbeat.dataCentre = m_dataCentre;
        heartbeat.address = m_address;
        heartbeat.leaving = m_leaving;
        heartbeat.capacity = m_capacity;
        heartbeat.requestsSummary = target.requestsSummary;
        heartbeat.knownHostsHash = target.knownHostsHash;
        heartbeat.acceptsHostChanges = true;
        if (std::optional<PeerSend> send = messageTo(target.host, std::move(heartbeat))) {
            sends.push_back(*std::move(send));
        }
    }
    return sends;
}

/// Daemons that start together and do not know each other yet each act as the one that decides
/// for all. Six of them formed calls to the same endpoints for 250 ms; the endpoints refused 44
/// calls and had no buffer space for hundreds of pieces.
void Membership::scheduleEarlyHeartbeat()
{
    if (m_peers.size() > maxEarlyHeartbeatPeers) {
        return;
    }
    const TimePoint now = m_clock.now();
    const bool isTooSoon =
        m_lastHeartbeat != TimePoint::min() && now < m_lastHeartbeat + earlyHeartbeatInterval;
    const TimePoint due = isTooSoon ? TimePoint(m_lastHeartbeat + earlyHeartbeatInterval) : now;
    m_nextHeartbeat = std::min(m_nextHeartbeat, due);
}

void Membership::leave()
{
    m_leaving = true;
    invalidateLists();
    m_nextHeartbeat = m_clock.now();
}

bool Membership::isLive(const PeerHost &peer) const
{
    return isReported(peer)
           || (peer.incarnation != 0 && peer.lastSeen != TimePoint::min()
               && m_clock.now() - peer.lastSeen <= livenessTimeoutOf(peer));
}

Duration Membership::livenessTimeoutOf(const PeerHost &peer) const
{
    return livenessTimeout
           * (sendsEachInterval(peer) ? 1 : static_cast<int>(heartbeatMultiplier()));
}

std::uint32_t Membership::heartbeatMultiplier() const
{
    const bool isRequested = m_clock.now() < m_relayRequestUntil;
    return std::max({m_sizeMultiplier, m_ownRequest, isRequested ? m_relayRequest : 1});
}

void Membership::requestMultiplierAsRelay(std::uint32_t multiplier)
{
    m_ownRequest = usableMultiplier(multiplier);
}

void Membership::recordRequestedMultiplier(std::uint32_t multiplier)
{
    m_relayRequest = usableMultiplier(multiplier);
    m_relayRequestUntil = m_clock.now() + reportTtl;
}

bool Membership::sendsEachInterval(double capacity) const
{
    return m_highCapacityHosts <= maxHighCapacitySenders
           && capacity >= m_largestCapacity * highCapacityRatio;
}

bool Membership::isReported(const PeerHost &peer) const
{
    return peer.reportedAt != TimePoint::min() && m_clock.now() - peer.reportedAt <= reportTtl;
}

std::optional<std::string> Membership::hostOf(Incarnation incarnation) const
{
    if (incarnation == m_incarnation) {
        return std::string();
    }
    for (const auto &[name, peer] : m_peers) {
        if (peer.incarnation == incarnation && isLive(peer)) {
            return name;
        }
    }
    return std::nullopt;
}

const Membership::Lists &Membership::lists() const
{
    if (m_clock.now() >= m_lists.validUntil) {
        rebuildLists();
    }
    return m_lists;
}

/// Rebuilds the cached lists. They are sorted because m_peers is ordered by name.
void Membership::rebuildLists() const
{
    Lists lists;
    lists.version = m_lists.version + 1;
    lists.validUntil = TimePoint::max();
    const auto add = [&lists, this](const std::string &host, const std::string &dataCentre) {
        lists.candidates.push_back(host);
        if (dataCentre == m_dataCentre) {
            lists.localCandidates.push_back(host);
        }
    };
    bool isAdded = m_leaving;
    std::vector<double> capacities{m_capacity};
    for (const auto &[name, peer] : m_peers) {
        if (!isAdded && m_host < name) {
            add(m_host, m_dataCentre);
            isAdded = true;
        }
        if (!isLive(peer) || peer.address.empty()) {
            continue;
        }
        lists.validUntil = std::min(lists.validUntil, liveUntil(peer));
        lists.livePeers.push_back(name);
        if (peer.dataCentre == m_dataCentre) {
            capacities.push_back(peer.capacity);
        }
        if (!peer.leaving) {
            add(name, peer.dataCentre);
        }
    }
    if (!isAdded || lists.candidates.empty()) {
        add(m_host, m_dataCentre);
    }
    const std::size_t local = lists.localCandidates.size();
    m_sizeMultiplier = heartbeatMultiplierFor(local);
    m_largestCapacity = *std::max_element(capacities.begin(), capacities.end());
    m_highCapacityHosts = static_cast<std::size_t>(
        std::count_if(capacities.begin(), capacities.end(), [this](double capacity) {
            return capacity >= m_largestCapacity * highCapacityRatio;
        }));
    m_lists = std::move(lists);
}

/// Returns the first moment at which a live \p peer is no longer live unless it is seen again.
TimePoint Membership::liveUntil(const PeerHost &peer) const
{
    // A host is still live at the last moment of these periods.
    constexpr Duration next{1};
    TimePoint until = TimePoint::min();
    if (peer.reportedAt != TimePoint::min()) {
        until = peer.reportedAt + reportTtl + next;
    }
    if (peer.incarnation != 0 && peer.lastSeen != TimePoint::min()) {
        until = std::max<TimePoint>(until, peer.lastSeen + livenessTimeoutOf(peer) + next);
    }
    return until;
}

template <typename Condition>
std::vector<std::string> Membership::selectHosts(const Condition &condition,
                                                 const std::string &dataCentre) const
{
    std::vector<std::string> hosts;
    for (const auto &[name, peer] : m_peers) {
        const bool isInScope = isWithin(peer.dataCentre, dataCentre);
        if (isInScope && !peer.leaving && !peer.address.empty() && condition(peer)) {
            hosts.push_back(name);
        }
    }
    if (!m_leaving && isWithin(m_dataCentre, dataCentre)) {
        hosts.push_back(m_host);
    }
    return hosts;
}

std::vector<std::string> Membership::seenWithin(Duration period,
                                                const std::string &dataCentre) const
{
    return selectHosts([&](const PeerHost &peer) { return seenWithin(peer, period); }, dataCentre);
}

std::vector<std::string> Membership::declaredHosts(const std::string &dataCentre) const
{
    return selectHosts([](const PeerHost &) { return true; }, dataCentre);
}

std::vector<std::string> Membership::likelyLiveWithin(Duration period,
                                                      const std::string &dataCentre) const
{
    const bool isViewComplete = hasInitialView();
    const auto isLikely = [&](const PeerHost &peer) {
        return seenWithin(peer, period) || (!isViewComplete && peer.incarnation == 0);
    };
    return selectHosts(isLikely, dataCentre);
}

/// Returns whether this daemon has an initial view of the live hosts. In a small fleet early
/// heartbeats provide it within milliseconds, in a large one the reply of a relay does.
bool Membership::hasInitialView() const
{
    return m_peers.size() <= maxEarlyHeartbeatPeers || m_hasRelayHostList
           || m_clock.now() - m_startedAt >= initialViewTimeout;
}

bool Membership::seenWithin(const std::string &host, Duration period) const
{
    const auto found = m_peers.find(host);
    return found != m_peers.end() && seenWithin(found->second, period);
}

bool Membership::seenWithin(const PeerHost &peer, Duration period) const
{
    if (peer.incarnation == 0) {
        return false;
    }
    return isReported(peer)
           || (peer.lastSeen != TimePoint::min() && m_clock.now() - peer.lastSeen <= period);
}

std::vector<std::string> Membership::highCapacityHosts(const std::vector<std::string> &hosts) const
{
    std::vector<double> capacities;
    capacities.reserve(hosts.size());
    for (const std::string &host : hosts) {
        const auto found = m_peers.find(host);
        capacities.push_back(found == m_peers.end() ? m_capacity : found->second.capacity);
    }
    const auto largest = std::max_element(capacities.begin(), capacities.end());
    std::vector<std::string> capable;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (capacities[i] >= *largest * highCapacityRatio) {
            capable.push_back(hosts[i]);
        }
    }
    return capable;
}

std::vector<std::string> Membership::ranked(std::vector<std::string> hosts,
                                            const std::string &purpose) const
{
    const std::vector<std::string> capable = highCapacityHosts(hosts);
    const std::set<std::string> first(capable.begin(), capable.end());
    using Rank = std::pair<bool, std::uint64_t>;
    std::vector<std::pair<Rank, std::string>> byRank;
    byRank.reserve(hosts.size());
    for (std::string &host : hosts) {
        const Rank rank(first.contains(host), hash64(fmt::format("{}/{}", purpose, host)));
        byRank.emplace_back(rank, std::move(host));
    }
    std::sort(byRank.begin(), byRank.end(), std::greater<>());
    std::transform(byRank.begin(), byRank.end(), hosts.begin(),
                   [](auto &entry) { return std::move(entry.second); });
    return hosts;
}

std::size_t Membership::knownHostCount(const std::string &dataCentre) const
{
    const auto counts = [&dataCentre](const auto &entry) {
        return isWithin(entry.second.dataCentre, dataCentre);
    };
    const auto peers = std::count_if(m_peers.begin(), m_peers.end(), counts);
    return static_cast<std::size_t>(peers) + (isWithin(m_dataCentre, dataCentre) ? 1 : 0);
}

int Membership::recentHostCount() const
{
    const TimePoint now = m_clock.now();
    const auto counts = [now](const auto &entry) {
        const PeerHost &peer = entry.second;
        const TimePoint last = std::max(peer.lastSeen, peer.reportedAt);
        return peer.incarnation != 0 && last != TimePoint::min() && now - last <= recentHostPeriod;
    };
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), counts));
}

std::vector<HostReport> Membership::hostReports(const std::string &dataCentre) const
{
    std::vector<HostReport> reports;
    for (const auto &[name, peer] : m_peers) {
        const bool isInScope = isWithin(peer.dataCentre, dataCentre);
        if (isInScope && isLive(peer) && !peer.address.empty()) {
            reports.push_back({name, peer.dataCentre, peer.address, peer.incarnation, peer.leaving,
                               peer.capacity});
        }
    }
    reports.push_back({m_host, m_dataCentre, m_address, m_incarnation, m_leaving, m_capacity});
    return reports;
}

bool Membership::isLocal(const std::string &host) const
{
    const auto found = m_peers.find(host);
    return host == m_host || (found != m_peers.end() && found->second.dataCentre == m_dataCentre);
}

std::optional<PeerSend> Membership::messageTo(const std::string &host,
                                              decltype(PeerMessage::content) content) const
{
    const std::string address = addressOf(host);
    if (address.empty()) {
        return std::nullopt;
    }
    return PeerSend{host, address, {m_host, m_incarnation, std::move(content)}};
}

std::string Membership::addressOf(const std::string &host) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? std::string() : found->second.address;
}

std::string preferredOwner(std::size_t bucket, const std::vector<std::string> &hosts)
{
    std::string best;
    std::uint64_t bestScore = 0;
    for (const std::string &host : hosts) {
        const std::uint64_t score = hash64(fmt::format("{}/{}", bucket, host));
        if (best.empty() || score > bestScore) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

} // namespace harelink
