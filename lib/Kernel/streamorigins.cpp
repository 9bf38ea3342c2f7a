//===- streamorigins.cpp - Origins of streams -----------------------------===//

#include "harelink/Kernel/streamorigins.h"

#include <algorithm>

#include <fmt/format.h>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Maximum number of origins that a host keeps, about 200 bytes each.
constexpr std::size_t maxStreams = 16'384;
/// Maximum number of lookups in progress; further streams count as unknown.
constexpr std::size_t maxLookups = 1024;
constexpr std::size_t maxRecordsPerMessage = 256;
/// Maximum lifetime of a record.
constexpr std::chrono::minutes maxTtl{10};
/// In each data centre, records are held by this number of hosts only, so that a host of a large
/// fleet has connections to few others.
constexpr std::size_t holdersPerDataCentre = 4;
/// Hosts queried in each data centre: more than hold records, since hosts may differ in their
/// view of who is live.
constexpr std::size_t queriedPerDataCentre = 8;
/// Hosts of the own data centre, and of each other one, to which a record is sent.
constexpr std::size_t localCopies = 2;
constexpr std::size_t remoteCopies = 1;
/// Other data centres to which a record is sent. A query goes to one more, since the data centre
/// of the querying host may be among those of the sender.
constexpr std::size_t remoteDataCentres = 2;
/// Interval at which the holders are selected anew: ranking hundreds of hosts takes a millisecond.
constexpr milliseconds refreshInterval{1000};
/// Interval at which a lookup queries hosts that have become known.
constexpr milliseconds queryInterval{50};
/// Interval at which hosts that have not replied are queried again: a message to a peer whose
/// connection was reset is lost.
constexpr milliseconds requeryInterval{100};
/// Time in which a daemon that has just started may not know its peers and their capacity yet.
constexpr milliseconds startPeriod{3000};

/// Returns the first \p count of \p items by a hash of \p stream and item.
std::vector<std::string> selectByHash(std::vector<std::string> items, const Hash128 &stream,
                                      std::size_t count)
{
    const auto rank = [&stream](const std::string &item) {
        return hash64(item, stream.high ^ stream.low);
    };
    std::sort(items.begin(), items.end(), [&rank](const std::string &a, const std::string &b) {
        return std::pair(rank(a), a) > std::pair(rank(b), b);
    });
    items.resize(std::min(items.size(), count));
    return items;
}

} // namespace

Hash128 streamKey(std::string_view account, std::string_view routeHost,
                  std::string_view routePrefix, std::string_view callerId)
{
    return hash128(
        fmt::format("stream\n{}\n{}\n{}\n{}", account, routeHost, routePrefix, callerId));
}

// StreamTable -----------------------------------------------------------------

void StreamTable::add(const StreamRecord &record)
{
    const TimePoint now = m_clock.now();
    const TimePoint expiresAt = now + std::min<Duration>(record.ttl, maxTtl);
    const auto [found, isNew] = m_entries.try_emplace(
        record.stream, Entry{record.origin, expiresAt, record.endpoint, now - record.age});
    if (!isNew) {
        Entry &entry = found->second;
        entry.isAmbiguous = entry.isAmbiguous || entry.origin != record.origin;
        entry.expiresAt = std::max(entry.expiresAt, expiresAt);
        return;
    }
    m_order.push_back(record.stream);
    dropOldest();
}

void StreamTable::add(const EndpointEnded &ended)
{
    if (ended.ranUntil == TimePoint::max()) {
        return;
    }
    const TimePoint now = m_clock.now();
    absl::erase_if(m_ended, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    m_ended[ended.endpoint] = {ended.ranUntil, now + maxTtl};
}

bool StreamTable::mayBeOfSuccessor(const Entry &entry) const
{
    const auto found = m_ended.find(entry.endpoint);
    return found != m_ended.end() && entry.sentAt > found->second.ranUntil;
}

void StreamTable::dropOldest()
{
    while (!m_order.empty()
           && (m_order.size() > m_capacity
               || m_entries.at(m_order.front()).expiresAt <= m_clock.now())) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<StreamRecord> StreamTable::find(const Hash128 &stream) const
{
    const TimePoint now = m_clock.now();
    const auto found = m_entries.find(stream);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    if (entry.isAmbiguous || entry.expiresAt <= now || mayBeOfSuccessor(entry)) {
        return std::nullopt;
    }
    return StreamRecord{stream, entry.origin, entry.expiresAt - now, entry.endpoint,
                        now - entry.sentAt};
}

std::vector<StreamRecord> StreamTable::records() const
{
    std::vector<StreamRecord> records;
    for (const Hash128 &stream : m_order) {
        if (std::optional<StreamRecord> record = find(stream)) {
            records.push_back(*std::move(record));
        }
    }
    return records;
}

// StreamOrigins ---------------------------------------------------------------

StreamOrigins::StreamOrigins(const Clock &clock, const Membership &membership)
    : m_clock(clock)
    , m_membership(membership)
    , m_startedAt(clock.now())
    , m_table(clock, maxStreams)
{
}

void StreamOrigins::handle(const StreamBegan &event)
{
    const StreamRecord record{event.stream, event.origin, event.ttl, event.endpoint,
                              m_clock.now() - event.sentAt};
    m_table.add(record);
    refreshHolders();
    for (const std::string &host : receiversOf(event.stream)) {
        send(host, StreamRecords{{record}});
    }
}

void StreamOrigins::handOver()
{
    // The hosts that hold records are now selected without this one.
    m_nextRefresh = TimePoint::min();
    refreshHolders();
    std::map<std::string, StreamRecords> byHost;
    for (const StreamRecord &record : m_table.records()) {
        for (const std::string &host : receiversOf(record.stream)) {
            StreamRecords &message = byHost[host];
            message.records.push_back(record);
            if (message.records.size() >= maxRecordsPerMessage) {
                send(host, std::exchange(message, {}));
            }
        }
    }
    for (auto &[host, message] : byHost) {
        if (!message.records.empty()) {
            send(host, std::move(message));
        }
    }
}

void StreamOrigins::handle(const StreamRecords &message)
{
    for (const StreamRecord &record : message.records) {
        m_table.add(record);
    }
}

void StreamOrigins::handle(const LocateStream &event)
{
    Pending pending;
    pending.requests.push_back(event);
    pending.startedAt = m_clock.now();
    pending.queriedAt = pending.startedAt;
    if (handleKnown(event.stream, pending, "")) {
        return;
    }
    const auto found = m_pending.find(event.stream);
    if (found != m_pending.end()) {
        found->second.requests.push_back(event);
        return;
    }
    if (m_pending.size() >= maxLookups) {
        end(event.stream, pending, std::nullopt, "");
        return;
    }
    m_pending.emplace(event.stream, std::move(pending));
    tick();
}

void StreamOrigins::handle(const std::string &host, const StreamQuery &message)
{
    send(host, StreamReply{message.stream, m_table.find(message.stream)});
}

void StreamOrigins::handle(const std::string &host, const StreamReply &message)
{
    if (message.record) {
        m_table.add(*message.record);
    }
    const auto found = m_pending.find(message.stream);
    if (found == m_pending.end()) {
        return;
    }
    found->second.silent.erase(host);
    if (handleKnown(message.stream, found->second, host)) {
        m_pending.erase(found);
        return;
    }
    tick();
}

/// Handles that the origin of \p stream may be known, by \p host. Returns whether the lookup has
/// ended; it goes on until confirm() if the endpoint may have started again.
bool StreamOrigins::handleKnown(const Hash128 &stream, Pending &pending, const std::string &host)
{
    const std::optional<StreamRecord> known = m_table.find(stream);
    if (!known) {
        return false;
    }
    if (known->endpoint.empty()) {
        end(stream, pending, known->origin, host);
        return true;
    }
    if (!std::exchange(pending.awaitsConfirmation, true)) {
        pending.source = host;
    }
    return false;
}

bool StreamOrigins::awaitsConfirmation() const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
                       [](const auto &entry) { return entry.second.awaitsConfirmation; });
}

TimePoint StreamOrigins::confirmationNeeded() const
{
    TimePoint needed = TimePoint::min();
    for (const auto &[stream, pending] : m_pending) {
        needed = pending.awaitsConfirmation ? std::max(needed, pending.startedAt) : needed;
    }
    return needed;
}

void StreamOrigins::confirm(TimePoint until)
{
    std::erase_if(m_pending, [&](const auto &entry) {
        const auto &[stream, pending] = entry;
        if (!pending.awaitsConfirmation || pending.startedAt > until) {
            return false;
        }
        const std::optional<StreamRecord> known = m_table.find(stream);
        end(stream, pending, known ? std::optional(known->origin) : std::nullopt, pending.source);
        return true;
    });
}

void StreamOrigins::tick()
{
    if (m_pending.empty()) {
        return;
    }
    refreshHolders();
    for (auto &[stream, pending] : m_pending) {
        if (!pending.awaitsConfirmation) {
            query(stream, pending);
        }
    }
    std::erase_if(m_pending, [this](const auto &entry) {
        const bool ended = hasEnded(entry.second);
        if (ended) {
            end(entry.first, entry.second, std::nullopt, "");
        }
        return ended;
    });
}

TimePoint StreamOrigins::nextTick() const
{
    return m_pending.empty() ? TimePoint::max() : m_clock.now() + queryInterval;
}

bool StreamOrigins::hasEnded(const Pending &pending) const
{
    const Duration elapsed = m_clock.now() - pending.startedAt;
    if (isStarting()) {
        return elapsed >= startLookupTimeout;
    }
    return elapsed >= lookupTimeout || (pending.silent.empty() && !pending.awaitsConfirmation);
}

/// Returns whether this daemon may not know its peers yet.
bool StreamOrigins::isStarting() const
{
    return m_clock.now() - m_startedAt < startPeriod;
}

void StreamOrigins::end(const Hash128 &stream, const Pending &pending,
                        const std::optional<StreamOrigin> &origin, const std::string &host)
{
    for (const LocateStream &request : pending.requests) {
        m_ended.push_back({{request.request, origin},
                           request.callerId,
                           stream,
                           host,
                           pending.asked.size(),
                           m_clock.now() - pending.startedAt});
    }
}

/// Queries the hosts that may hold the record of \p stream and that were not asked yet, and from
/// time to time those that have not replied.
void StreamOrigins::query(const Hash128 &stream, Pending &pending)
{
    const TimePoint now = m_clock.now();
    const bool isDue = now - pending.queriedAt >= requeryInterval;
    // While some data centres may not be known, their order by hash is not known either.
    const std::size_t remote = isStarting() ? m_holders.size() : remoteDataCentres + 1;
    for (const std::string &dataCentre : dataCentresFor(stream, remote)) {
        for (const std::string &host : m_holders.at(dataCentre)) {
            const bool isNew = pending.asked.insert(host).second;
            if (isNew) {
                pending.silent.insert(host);
            }
            if (isNew || (isDue && pending.silent.contains(host))) {
                send(host, StreamQuery{stream});
            }
        }
    }
    pending.queriedAt = isDue ? now : pending.queriedAt;
}

/// Selects in each data centre the hosts that may hold records. They are the same at all hosts
/// with the same view of who is live.
void StreamOrigins::refreshHolders()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextRefresh) {
        return;
    }
    m_nextRefresh = now + (isStarting() ? queryInterval : refreshInterval);
    std::map<std::string, std::vector<std::string>> previous = std::exchange(m_holders, {});
    m_holders[m_membership.dataCentre()];
    for (const std::string &host : m_membership.candidates()) {
        const auto peer = m_membership.peers().find(host);
        if (peer != m_membership.peers().end()) {
            m_holders[peer->second.dataCentre].push_back(host);
        }
    }
    for (auto &[dataCentre, hosts] : m_holders) {
        hosts = m_membership.ranked(std::move(hosts), "streams/" + dataCentre);
        hosts.resize(std::min(hosts.size(), queriedPerDataCentre));
    }
    keepSilentHolders(std::move(previous));
}

/// Keeps the \p previous holders of data centres without a live host for one more interval: if this
/// process was suspended, its peers seem silent until their messages are read.
void StreamOrigins::keepSilentHolders(std::map<std::string, std::vector<std::string>> previous)
{
    std::set<std::string> silent;
    for (auto entry = previous.begin(); entry != previous.end(); ++entry) {
        auto &[dataCentre, hosts] = *entry;
        const auto found = m_holders.find(dataCentre);
        const bool isSilent = found == m_holders.end() || found->second.empty();
        if (isSilent && !hosts.empty() && !m_silentDataCentres.contains(dataCentre)) {
            m_holders[dataCentre] = std::move(hosts);
            silent.insert(dataCentre);
        }
    }
    m_silentDataCentres = std::move(silent);
}

/// Returns the own data centre, and the first \p count others by a hash of \p stream.
std::vector<std::string> StreamOrigins::dataCentresFor(const Hash128 &stream,
                                                       std::size_t count) const
{
    std::vector<std::string> others;
    for (const auto &[dataCentre, hosts] : m_holders) {
        if (dataCentre != m_membership.dataCentre()) {
            others.push_back(dataCentre);
        }
    }
    std::vector<std::string> selected = selectByHash(std::move(others), stream, count);
    selected.push_back(m_membership.dataCentre());
    return selected;
}

/// Returns the hosts to which the record of \p stream is sent.
std::vector<std::string> StreamOrigins::receiversOf(const Hash128 &stream) const
{
    std::vector<std::string> receivers;
    for (const std::string &dataCentre : dataCentresFor(stream, remoteDataCentres)) {
        std::vector<std::string> holders = m_holders.at(dataCentre);
        holders.resize(std::min(holders.size(), holdersPerDataCentre));
        const bool isLocal = dataCentre == m_membership.dataCentre();
        for (std::string &host :
             selectByHash(std::move(holders), stream, isLocal ? localCopies : remoteCopies)) {
            receivers.push_back(std::move(host));
        }
    }
    return receivers;
}

void StreamOrigins::send(const std::string &host, decltype(PeerMessage::content) content)
{
    if (std::optional<PeerSend> message = m_membership.messageTo(host, std::move(content))) {
        m_sends.push_back(*std::move(message));
    }
}

} // namespace harelink
