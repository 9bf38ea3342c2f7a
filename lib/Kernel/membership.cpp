//===- membership.cpp - Which hosts live ----------------------------------===//

#include "harelink/Kernel/membership.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Support/hash.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval{250};
/// A host is taken to live this long after its last word.
constexpr milliseconds livenessLimit{1000};
/// Heartbeats that are sent early keep this distance: daemons that all start at once are
/// heard one after the other, and one heartbeat answers them all.
constexpr milliseconds earlyHeartbeatInterval{20};
/// With more peers nobody greets early: relays tell of all at the next heartbeat, and each
/// of hundreds that start together would greet fifty times a second.
constexpr std::size_t mostGreeted = 16;
/// A relay has answered the first heartbeat by then: two heartbeat intervals and some hops.
constexpr milliseconds acquaintance{700};
/// A host counts this long in what is divided among all: the window of a retry budget.
constexpr milliseconds countedLife{10'000};
/// A host is able to serve many others with this part of the largest one's capacity.
constexpr double ablePart = 0.5;
/// From so many hosts of a data centre on, those that are not able tell at each second
/// heartbeat, and from the larger number on at each fourth: a relay hears some 100 messages a
/// second, as many as it did with 24 hosts.
constexpr std::size_t leastPacedHosts = 25;
constexpr std::size_t leastSlowHosts = 97;
constexpr std::uint32_t middlePace = 2;
constexpr std::uint32_t slowPace = 4;
constexpr double leastCapacity = 0.001;
constexpr double mostCapacity = 100'000;

/// Membership::heartbeatMultiplier() of a data centre with so many hosts.
std::uint32_t paceAmong(std::size_t hosts)
{
    if (hosts >= leastSlowHosts) {
        return slowPace;
    }
    return hosts >= leastPacedHosts ? middlePace : 1;
}

/// Whether what stands at \p where is meant by \p dataCentre; an empty one means all.
bool isWithin(const std::string &where, const std::string &dataCentre)
{
    return dataCentre.empty() || where == dataCentre;
}

/// What a host declared of itself.
struct HostDeclaration
{
    std::string address;
    std::string dataCentre;
    double capacity = 1;
};

/// The declaration in \p value; nothing where it is another writer's, or of a host that runs
/// endpoints and no daemon: it has no address for peers.
std::optional<HostDeclaration> readDeclaration(const std::string &value)
{
    const nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
    Faults faults;
    JsonReader reader(document, "", faults);
    HostDeclaration declaration;
    declaration.address = reader.text("peers");
    declaration.dataCentre = reader.text("dataCentre", "");
    declaration.capacity = reader.number("capacity", leastCapacity, mostCapacity, 1.0);
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
        makeHeartbeatEarly();
    }
    // The list lags: a host that still speaks is not gone because the list says so.
    std::erase_if(m_peers, [&](const auto &entry) {
        return !listed.contains(entry.first) && !isLive(entry.second);
    });
    forgetLists();
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
    const std::optional<HostDeclaration> stands = readDeclaration(declaration);
    const std::optional<HostDeclaration> own = readDeclaration(ownDeclaration());
    return stands && own && stands->address == own->address && stands->dataCentre == own->dataCentre
           && stands->capacity == own->capacity;
}

void Membership::recordMessage(const PeerMessage &message)
{
    if (message.host == m_host || message.host.empty()) {
        return;
    }
    PeerHost &peer = m_peers[message.host];
    const bool wasLive = isLive(peer);
    if (peer.incarnation != message.incarnation) {
        // Incarnations are drawn at random, so an old message cannot be told by its
        // number. It may bring an old incarnation back for a moment; the next
        // heartbeat of the new one ends that, and nothing but hints hangs on it.
        peer.incarnation = message.incarnation;
        peer.leaving = false;
        forgetLists();
        makeHeartbeatEarly();
    }
    peer.lastSeen = m_clock.now();
    bool isChanged = !wasLive;
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message.content)) {
        isChanged = isChanged || peer.address != heartbeat->address
                    || peer.dataCentre != heartbeat->dataCentre
                    || (heartbeat->leaving && !peer.leaving)
                    || peer.capacity != heartbeat->capacity;
        // Its own word reaches a daemon that starts while the host list is out.
        peer.address = heartbeat->address;
        peer.dataCentre = heartbeat->dataCentre;
        peer.leaving = peer.leaving || heartbeat->leaving;
        peer.capacity = heartbeat->capacity;
    }
    if (isChanged) {
        forgetLists();
    }
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
        PeerHost &peer = m_peers[report.host];
        if (peer.incarnation == 0) {
            peer.lastSeen = TimePoint::min();
        }
        // What it said itself a moment ago goes before what others say of it.
        const bool spoke = peer.incarnation != 0 && peer.lastSeen != TimePoint::min()
                           && m_clock.now() - peer.lastSeen <= heartbeatInterval;
        if (!spoke && peer.incarnation != report.incarnation) {
            peer.incarnation = report.incarnation;
            peer.leaving = false;
        }
        peer.address = report.address;
        peer.dataCentre = report.dataCentre;
        peer.capacity = report.capacity;
        peer.leaving = peer.leaving || (report.leaving && peer.incarnation == report.incarnation);
        peer.reportedAt = m_clock.now();
    }
    m_listTaken = m_listTaken || dataCentre.empty();
    forgetLists();
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
        const bool isMeant = isWithin(peer.dataCentre, dataCentre);
        if (isMeant && isLive(peer) && !peer.address.empty()) {
            sum += hashOf(name, peer.incarnation, peer.leaving);
        }
    }
    return sum;
}

std::vector<PeerSend> Membership::dueHeartbeats(const std::vector<HeartbeatTarget> &targets)
{
    m_lastHeartbeat = m_clock.now();
    m_nextHeartbeat =
        m_lastHeartbeat
        + heartbeatInterval * (hasHighCapacity() ? 1 : static_cast<int>(m_heartbeatMultiplier));
    std::vector<PeerSend> sends;
    for (const HeartbeatTarget &target : targets) {
        Heartbeat heartbeat;
        heartbeat.dataCentre = m_dataCentre;
        heartbeat.address = m_address;
        heartbeat.leaving = m_leaving;
        heartbeat.capacity = m_capacity;
        heartbeat.wantsSummary = target.wantsSummary;
        heartbeat.knownHostsHash = target.knownHostsHash;
        if (std::optional<PeerSend> send = messageTo(target.host, std::move(heartbeat))) {
            sends.push_back(*std::move(send));
        }
    }
    return sends;
}

/// Until daemons that start have heard of each other, each decides for itself what one
/// decides for all: six that started at once formed calls for the same endpoints for 250 ms,
/// which refused 44 calls and had no room for hundreds of pieces.
void Membership::makeHeartbeatEarly()
{
    if (m_peers.size() > mostGreeted) {
        return;
    }
    const TimePoint now = m_clock.now();
    const bool isSoonAfter =
        m_lastHeartbeat != TimePoint::min() && now < m_lastHeartbeat + earlyHeartbeatInterval;
    const TimePoint due = isSoonAfter ? TimePoint(m_lastHeartbeat + earlyHeartbeatInterval) : now;
    m_nextHeartbeat = std::min(m_nextHeartbeat, due);
}

void Membership::leave()
{
    m_leaving = true;
    forgetLists();
    m_nextHeartbeat = m_clock.now();
}

bool Membership::isLive(const PeerHost &peer) const
{
    return isReported(peer)
           || (peer.incarnation != 0 && peer.lastSeen != TimePoint::min()
               && m_clock.now() - peer.lastSeen <= livenessOf(peer));
}

Duration Membership::livenessOf(const PeerHost &peer) const
{
    return livenessLimit * (hasHighCapacity(peer) ? 1 : static_cast<int>(m_heartbeatMultiplier));
}

bool Membership::hasHighCapacity(double capacity) const
{
    return capacity >= m_largestCapacity * ablePart;
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
        makeLists();
    }
    return m_lists;
}

/// Makes the lists anew; each is sorted, as the hosts are kept by name.
void Membership::makeLists() const
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
    double largest = m_capacity;
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
            largest = std::max(largest, peer.capacity);
        }
        if (!peer.leaving) {
            add(name, peer.dataCentre);
        }
    }
    if (!isAdded || lists.candidates.empty()) {
        add(m_host, m_dataCentre);
    }
    const std::size_t local = lists.localCandidates.size();
    m_heartbeatMultiplier = paceAmong(local);
    m_largestCapacity = largest;
    m_lists = std::move(lists);
}

/// The moment from which a live \p peer counts as silent, if nothing is heard of it.
TimePoint Membership::liveUntil(const PeerHost &peer) const
{
    // It lives at the last moment of these spans.
    constexpr Duration next{1};
    TimePoint until = TimePoint::min();
    if (peer.reportedAt != TimePoint::min()) {
        until = peer.reportedAt + reportTtl + next;
    }
    if (peer.incarnation != 0 && peer.lastSeen != TimePoint::min()) {
        until = std::max<TimePoint>(until, peer.lastSeen + livenessOf(peer) + next);
    }
    return until;
}

template <typename Condition>
std::vector<std::string> Membership::hostsThat(const Condition &stays,
                                               const std::string &dataCentre) const
{
    std::vector<std::string> hosts;
    for (const auto &[name, peer] : m_peers) {
        const bool stands = isWithin(peer.dataCentre, dataCentre);
        if (stands && !peer.leaving && !peer.address.empty() && stays(peer)) {
            hosts.push_back(name);
        }
    }
    if (!m_leaving && isWithin(m_dataCentre, dataCentre)) {
        hosts.push_back(m_host);
    }
    return hosts;
}

std::vector<std::string> Membership::seenWithin(Duration silence,
                                                const std::string &dataCentre) const
{
    return hostsThat([&](const PeerHost &peer) { return seenWithin(peer, silence); }, dataCentre);
}

std::vector<std::string> Membership::likelyLiveWithin(Duration silence,
                                                      const std::string &dataCentre) const
{
    const bool isAcquaintedNow = isAcquainted();
    const auto isLikely = [&](const PeerHost &peer) {
        return seenWithin(peer, silence) || (!isAcquaintedNow && peer.incarnation == 0);
    };
    return hostsThat(isLikely, dataCentre);
}

/// Whether this daemon knows who lives, as far as that can be known. Few greet each other
/// within a few milliseconds; among many a relay answers the first heartbeat.
bool Membership::isAcquainted() const
{
    return m_peers.size() <= mostGreeted || m_listTaken
           || m_clock.now() - m_startedAt >= acquaintance;
}

bool Membership::seenWithin(const std::string &host, Duration silence) const
{
    const auto found = m_peers.find(host);
    return found != m_peers.end() && seenWithin(found->second, silence);
}

bool Membership::seenWithin(const PeerHost &peer, Duration silence) const
{
    if (peer.incarnation == 0) {
        return false;
    }
    return isReported(peer)
           || (peer.lastSeen != TimePoint::min() && m_clock.now() - peer.lastSeen <= silence);
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
    std::vector<std::string> able;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (capacities[i] >= *largest * ablePart) {
            able.push_back(hosts[i]);
        }
    }
    return able;
}

std::vector<std::string> Membership::ranked(std::vector<std::string> hosts,
                                            const std::string &purpose) const
{
    const std::vector<std::string> able = highCapacityHosts(hosts);
    const std::set<std::string> first(able.begin(), able.end());
    const auto rank = [&](const std::string &host) {
        return std::pair(first.contains(host), hash64(purpose + "/" + host));
    };
    std::sort(hosts.begin(), hosts.end(),
              [&rank](const std::string &a, const std::string &b) { return rank(a) > rank(b); });
    return hosts;
}

int Membership::recentHostCount() const
{
    const TimePoint now = m_clock.now();
    const auto counts = [now](const auto &entry) {
        const PeerHost &peer = entry.second;
        const TimePoint last = std::max(peer.lastSeen, peer.reportedAt);
        return peer.incarnation != 0 && last != TimePoint::min() && now - last <= countedLife;
    };
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), counts));
}

std::vector<HostReport> Membership::hostReports(const std::string &dataCentre) const
{
    std::vector<HostReport> reports;
    for (const auto &[name, peer] : m_peers) {
        const bool isMeant = isWithin(peer.dataCentre, dataCentre);
        if (isMeant && isLive(peer) && !peer.address.empty()) {
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
