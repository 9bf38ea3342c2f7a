//===- harelink/Kernel/configmachineimpl.h - Definitions --------*- C++ -*-===//
///
/// \file
/// Definitions of BasicConfigTable and BasicConfigWatcher. Included only where they
/// are instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGMACHINEIMPL_H
#define HARELINK_KERNEL_CONFIGMACHINEIMPL_H

#include "harelink/Kernel/configmachine.h"
#include "harelink/Support/error.h"
#include "harelink/Support/hash.h"

#include <algorithm>
#include <cassert>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace harelink {

namespace configwatcher {

inline constexpr std::chrono::milliseconds firstBackOff{100};
inline constexpr std::chrono::milliseconds maxBackOff{1000};
/// The period for which the platform may hold a watch open. A watch may miss updates, for
/// example when the platform loses its history or the call, which is detected only after this
/// period and the timeout of a call, 0.8 s: within 3 s, and another call has to fit. At 10 s a
/// daemon used a key 4.6 s after it was revoked; at 1 s nine daemons made 18 calls per second for
/// this purpose alone.
inline constexpr std::chrono::milliseconds watchWait{2000};
/// The same for a watch of quarantines only. They change every few days, so the number of
/// watches is kept low; updates that such a watch misses arrive by the digests of peers within
/// seconds.
inline constexpr std::chrono::milliseconds quarantineWatchWait{10'000};

/// The same for a watch of data centre drains only. They change rarely, and must be in force
/// within 5 s: with the 0.8 s by which the timeout of a call exceeds this period, a watch that
/// misses updates is detected within 4.3 s.
inline constexpr std::chrono::milliseconds drainWatchWait{3500};

/// Pause between a watch that returned updates and the next one, so that further updates arrive
/// together. Without it, 24 watchers made 2,900 calls in 5 s while the endpoints of a fleet
/// started. It is short compared to the seconds within which updates must be in force.
inline constexpr std::chrono::milliseconds updatePause{150};

/// The same for a watch of endpoints, for each object known: 250 ms for 10,000. Thousands of
/// endpoints change so often that each push to all daemons would carry only few of them.
inline constexpr std::chrono::microseconds updatePausePerEndpoint{25};

/// Pause between a watch without updates and the next one.
inline constexpr std::chrono::milliseconds emptyWatchPause{50};

/// Minimum time between polls.
inline constexpr std::chrono::milliseconds pollInterval{200};

/// When the platform answers again after an outage, endpoints that are missing stay in force for
/// this period: live endpoints declare themselves again within 2 s. The period starts at the
/// first answer and not at the last failure, since a call may hang during the whole outage. No
/// later event extends it.
inline constexpr std::chrono::milliseconds lapseGracePeriod{2300};

/// When the store has returned from an older copy, endpoints and operators write again what it has
/// lost. An object that is still older, or missing, after this period is taken to be as the store
/// has it.
inline constexpr std::chrono::seconds olderCopyPeriod{10};
inline constexpr std::chrono::seconds lostObjectPeriod{60};

} // namespace configwatcher

template <GuardPolicy G>
bool BasicConfigTable<G>::apply(PlatformObject update)
{
    const Key key(update.kind, update.name);
    const auto [found, isNew] = m_entries.try_emplace(key);
    ConfigEntry &entry = found->second;
    if (isNew) {
        m_buckets[bucketOf(key)].push_back(&*found);
        addToHashes(key, hashOf(key, entry.seenVersion));
        entry.firstEra = update.version.era;
    }
    const Generation generation = generationOf(update);
    if (G::retainsLostUpdates && isNewerThanCopy(update, generation, entry)) {
        update.version = entry.seenVersion.retaining(update.version.origin());
    }
    const bool isWrong = !generation && isRetainedWrongly(update.version, entry);
    if (G::dropsStaleUpdates && (isWrong || update.version <= entry.seenVersion)) {
        m_droppedUpdates += update.version < entry.seenVersion ? 1 : 0;
        return false;
    }
    if (isUnchangedCopy(update, entry)) {
        setSeenVersion(key, entry, update.version);
        return false;
    }
    if (G::retainsLostUpdates && isOlderCopy(update, generation, entry)) {
        retain(update, entry);
        return false;
    }
    setSeenVersion(key, entry, update.version);
    entry.deleted = update.deleted;
    entry.generation = generation;
    if (!update.deleted) {
        entry.history.record(update.version.origin().revision, update.value);
    }
    entry.value = std::move(update.value);
    const std::string faultBefore = std::exchange(entry.fault, {});
    m_updates.insert(key);
    m_declarationsChanged = m_declarationsChanged || update.kind != m_reader.endpointKind();
    if (update.deleted) {
        return applyDeletion(entry);
    }
    absl::StatusOr<std::vector<Resource>> read =
        m_reader.read(update.kind, update.name, entry.value);
    if (!read.ok()) {
        return applyFault(update, entry, errorMessage(read.status()), faultBefore);
    }
    if (const std::optional<std::string> invalid =
            m_reader.generationFault(update.kind, entry.value)) {
        m_faults.push_back(
            {update.kind, update.name, update.version, *invalid, entry.isActive(), true});
    }
    auto *endpoint = read->empty() ? nullptr : std::get_if<EndpointSpec>(&read->front().spec);
    if (endpoint != nullptr && !recordIncarnation(update, entry, *endpoint)) {
        return false;
    }
    assert((!G::dropsStaleUpdates || update.version > entry.inForce)
           && "the version in force must only increase");
    if (endpoint != nullptr) {
        if (endpoint->leaving) {
            m_leavingEndpoints.push_back(endpoint->name);
        }
        entry.endpoint = std::make_shared<const EndpointSpec>(std::move(*endpoint));
    } else {
        entry.resources = *std::move(read);
    }
    entry.inForce = update.version;
    return true;
}

template <GuardPolicy G>
auto BasicConfigTable<G>::generationOf(const PlatformObject &update) const -> Generation
{
    return update.deleted ? std::nullopt : m_reader.generation(update.kind, update.value);
}

template <GuardPolicy G>
bool BasicConfigTable<G>::isOlderCopy(const PlatformObject &update) const
{
    const auto entry = m_entries.find({update.kind, update.name});
    return G::retainsLostUpdates && entry != m_entries.end()
           && update.version > entry->second.seenVersion && !isUnchangedCopy(update, entry->second)
           && isOlderCopy(update, generationOf(update), entry->second);
}

/// A writer's own count tells which value is newer. Without one, an object is a copy if the store
/// may have held it when it returned, and an earlier era had higher revisions of it. Endpoints that
/// begin to leave must be believed at once, so of those only values that were seen before are
/// copies.
template <GuardPolicy G>
bool BasicConfigTable<G>::isOlderCopy(const PlatformObject &update, const Generation &generation,
                                      const ConfigEntry &entry) const
{
    if (generation && entry.generation) {
        return *generation < *entry.generation;
    }
    const Version &version = update.version;
    const std::uint64_t known =
        std::max(entry.seenVersion.revision, entry.seenVersion.origin().revision);
    const bool isLower = !update.deleted && !version.isRetained()
                         && version.era > entry.seenVersion.era && version.revision < known;
    return isLower && mayBeCopy(version)
           && (update.kind != m_reader.endpointKind()
               || entry.history.contains(version.revision, update.value));
}

/// Returns whether the store may have held the object of \p version when it returned, so that a
/// retained value replaces it.
template <GuardPolicy G>
bool BasicConfigTable<G>::mayBeCopy(const Version &version) const
{
    return version.era != m_era || version.revision <= m_lowestRevision;
}

/// Returns whether \p version retains a value although the store's was written in its era, or
/// although that of \p entry was written later. A peer that did not receive it may do so. A daemon
/// that has started in this era cannot tell, and believes its peers.
template <GuardPolicy G>
bool BasicConfigTable<G>::isRetainedWrongly(const Version &version, const ConfigEntry &entry) const
{
    if (!version.isRetained() || version.retainedEra == version.era) {
        return false;
    }
    const Version &seen = entry.seenVersion;
    const bool knowsNoEarlierValue =
        entry.firstEra == version.era && !seen.isRetained() && mayBeCopy(seen);
    return !mayBeCopy(version) || (version.origin() < seen.origin() && !knowsNoEarlierValue);
}

template <GuardPolicy G>
bool BasicConfigTable<G>::setEra(std::uint64_t era, std::uint64_t lowestRevision)
{
    m_era = era;
    m_lowestRevision = lowestRevision;
    bool mustList = false;
    for (auto &[key, entry] : m_entries) {
        if (!entry.generation && isRetainedWrongly(entry.seenVersion, entry)) {
            setSeenVersion(key, entry, entry.seenVersion.origin());
            entry.inForce = std::min(entry.inForce, entry.seenVersion);
            mustList = true;
        }
    }
    return mustList;
}

/// Returns whether \p update, of an earlier era, is newer than the copy that \p entry holds. A
/// daemon that has started since then gets it from its peers.
template <GuardPolicy G>
bool BasicConfigTable<G>::isNewerThanCopy(const PlatformObject &update,
                                          const Generation &generation, const ConfigEntry &entry)
{
    return update.version.era < entry.seenVersion.era && generation && entry.generation
           && *generation > *entry.generation;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::isUnchangedCopy(const PlatformObject &update, const ConfigEntry &entry)
{
    const Version &seen = entry.seenVersion;
    const bool isCopy =
        update.version.era > seen.era
        && update.version.revision <= std::max(seen.revision, seen.origin().revision);
    return isCopy && !update.version.isRetained() && !update.deleted && !entry.deleted
           && update.value == entry.value;
}

template <GuardPolicy G>
void BasicConfigTable<G>::setSeenVersion(const Key &key, ConfigEntry &entry, const Version &version)
{
    addToHashes(key, hashOf(key, version) - hashOf(key, entry.seenVersion));
    entry.seenVersion = version;
}

/// Keeps the value of \p entry, with a version that replaces that of \p update at the peers too.
template <GuardPolicy G>
void BasicConfigTable<G>::retain(const PlatformObject &update, ConfigEntry &entry)
{
    const Key key(update.kind, update.name);
    const Version origin = entry.seenVersion.origin();
    setSeenVersion(key, entry, update.version.retaining(origin));
    m_updates.insert(key);
    m_retained.push_back({update.kind, update.name, update.version, origin});
}

template <GuardPolicy G>
bool BasicConfigTable<G>::applyDeletion(ConfigEntry &entry)
{
    const bool changed = entry.isActive();
    entry.resources.clear();
    entry.endpoint.reset();
    entry.inForce = entry.seenVersion;
    return changed;
}

/// The last valid version stays in force for objects that operators declare. Endpoints declare
/// themselves: an object that cannot be read is not an endpoint's but another writer's, so no
/// endpoint stays in force.
template <GuardPolicy G>
bool BasicConfigTable<G>::applyFault(const PlatformObject &update, ConfigEntry &entry,
                                     std::string fault, const std::string &faultBefore)
{
    ++m_unreadable;
    const bool isEndpoint = update.kind == m_reader.endpointKind();
    const bool changed = isEndpoint && entry.isActive();
    if (isEndpoint) {
        entry.endpoint.reset();
    }
    if (fault != faultBefore) {
        m_faults.push_back(
            {update.kind, update.name, update.version, fault, entry.isActive(), false});
    }
    entry.fault = std::move(fault);
    return changed;
}

/// Records the incarnation of the endpoint \p spec. Returns false if a newer incarnation has been
/// seen: a delayed write of an older one must not restore it.
template <GuardPolicy G>
bool BasicConfigTable<G>::recordIncarnation(const PlatformObject &update, ConfigEntry &entry,
                                            const EndpointSpec &spec)
{
    if (G::dropsStaleUpdates && spec.startedAt < entry.latestStartedAt) {
        entry.fault = fmt::format("{} has started again since", spec.name);
        m_faults.push_back(
            {update.kind, update.name, update.version, entry.fault, entry.isActive(), false});
        return false;
    }
    entry.latestStartedAt = spec.startedAt;
    m_entriesByEndpoint[spec.name] = &entry;
    if (entry.endpoint != nullptr && entry.endpoint->name != spec.name) {
        const bool keepsVersion = spec.softwareVersion.has_value()
                                  && spec.softwareVersion == entry.endpoint->softwareVersion;
        m_endedEndpoints.push_back({entry.endpoint->name, keepsVersion});
    }
    return true;
}

template <GuardPolicy G>
std::vector<PlatformObject>
BasicConfigTable<G>::impliedDeletions(const std::vector<PlatformObject> &objects, Version revision,
                                      const std::vector<std::string> &kinds) const
{
    std::set<Key> listed;
    for (const PlatformObject &object : objects) {
        listed.insert({object.kind, object.name});
    }
    std::vector<PlatformObject> deletions;
    for (const auto &[key, entry] : m_entries) {
        const bool isOfKinds = std::find(kinds.begin(), kinds.end(), key.first) != kinds.end();
        if (!isOfKinds || listed.contains(key) || entry.deleted || entry.seenVersion > revision) {
            continue;
        }
        PlatformObject deletion;
        deletion.kind = key.first;
        deletion.name = key.second;
        deletion.version =
            std::max(revision, Version(entry.seenVersion.era, entry.seenVersion.revision + 1));
        deletion.deleted = true;
        deletions.push_back(std::move(deletion));
    }
    return deletions;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::applyListing(const std::vector<PlatformObject> &objects, Version revision,
                                       const std::vector<std::string> &kinds)
{
    bool changed = false;
    for (const PlatformObject &object : objects) {
        changed = apply(object) || changed;
    }
    for (const PlatformObject &deletion : impliedDeletions(objects, revision, kinds)) {
        changed = apply(deletion) || changed;
    }
    return changed;
}

template <GuardPolicy G>
const ConfigEntry *BasicConfigTable<G>::endpoint(const std::string &name) const
{
    const auto entry = m_entriesByEndpoint.find(name);
    if (entry != m_entriesByEndpoint.end()) {
        return entry->second;
    }
    const auto found = m_entries.find({m_reader.endpointKind(), name});
    return found == m_entries.end() ? nullptr : &found->second;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::hasEnded(const std::string &name) const
{
    const ConfigEntry *entry = endpoint(name);
    return entry != nullptr && entry->endpoint != nullptr && entry->endpoint->name != name;
}

template <GuardPolicy G>
std::uint64_t BasicConfigTable<G>::hashOf(const Key &key, const Version &seen)
{
    std::uint64_t hash = hash64(fmt::format("{}/{}", key.first, key.second), seen.revision);
    // Daemons of an older version hash the revision only.
    if (seen.era != 0) {
        hash = hash64(fmt::format("{}", seen), hash);
    }
    return hash;
}

template <GuardPolicy G>
std::size_t BasicConfigTable<G>::bucketOf(const Key &key)
{
    return hash64(key.second, hash64(key.first)) % bucketCount;
}

template <GuardPolicy G>
void BasicConfigTable<G>::addToHashes(const Key &key, std::uint64_t difference)
{
    m_summary += difference;
    m_bucketHashes[bucketOf(key)] += difference;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::isBehind(const std::map<Key, Version> &peerVersions) const
{
    return std::any_of(peerVersions.begin(), peerVersions.end(), [this](const auto &peer) {
        const auto own = m_entries.find(peer.first);
        return own == m_entries.end() || own->second.seenVersion < peer.second;
    });
}

template <GuardPolicy G>
ActiveResources BasicConfigTable<G>::resources() const
{
    ActiveResources active;
    for (const auto &[key, entry] : m_entries) {
        active.resources.insert(active.resources.end(), entry.resources.begin(),
                                entry.resources.end());
        if (entry.endpoint != nullptr) {
            active.endpoints.push_back(entry.endpoint);
        }
    }
    return active;
}

template <GuardPolicy G>
std::vector<PlatformObject> BasicConfigTable<G>::drainUpdates()
{
    std::vector<PlatformObject> updates;
    for (const Key &key : std::exchange(m_updates, {})) {
        const ConfigEntry &entry = m_entries.at(key);
        updates.push_back({key.first, key.second, entry.seenVersion, entry.deleted, entry.value});
    }
    return updates;
}

template <GuardPolicy G>
Version BasicConfigTable<G>::revision() const
{
    Version highest;
    for (const auto &[key, entry] : m_entries) {
        highest = std::max(highest, entry.inForce);
    }
    return highest;
}

// The watcher -----------------------------------------------------------------

template <GuardPolicy G>
BasicConfigWatcher<G>::BasicConfigWatcher(const Clock &clock, BasicConfigTable<G> &table,
                                          std::vector<std::string> kinds)
    : m_clock(clock)
    , m_table(table)
    , m_kinds(std::move(kinds))
    , m_nextCall(clock.now())
    , m_backOff(configwatcher::firstBackOff)
{
}

template <GuardPolicy G>
TimePoint BasicConfigWatcher<G>::nextTick() const
{
    const TimePoint call = awaitsAnswer() ? TimePoint::max() : m_nextCall;
    TimePoint next = call;
    for (const auto &[name, delayed] : m_delayedDeletions) {
        next = std::min(next, delayed.dueAt);
    }
    if (m_isPlatformUnavailable) {
        return next;
    }
    for (const auto &[key, delayed] : m_delayedUpdates) {
        next = delayed.dueAt > m_clock.now() ? std::min(next, delayed.dueAt) : next;
    }
    return next;
}

/// Returns whether the answer of a call is awaited before the next one is made.
template <GuardPolicy G>
bool BasicConfigWatcher<G>::awaitsAnswer() const
{
    return m_callId != 0 && !(m_mustPoll && m_isWaiting);
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::poll(TimePoint time)
{
    const bool isInProgress = m_callId != 0 && !m_isWaiting && m_callMadeAt >= time;
    if (m_mustPoll || isInProgress || m_answeredCallMadeAt >= time) {
        return;
    }
    m_mustPoll = true;
    m_nextCall = std::max<TimePoint>(m_nextCall, m_polledAt + configwatcher::pollInterval);
}

template <GuardPolicy G>
Duration BasicConfigWatcher<G>::watchWait() const
{
    if (followsOnly(m_table.reader().quarantineKind())) {
        return configwatcher::quarantineWatchWait;
    }
    return followsOnly(m_table.reader().drainKind()) ? configwatcher::drainWatchWait
                                                     : configwatcher::watchWait;
}

template <GuardPolicy G>
Duration BasicConfigWatcher<G>::updatePause() const
{
    const Duration pause =
        followsOnly(m_table.reader().endpointKind())
            ? Duration(configwatcher::updatePausePerEndpoint * m_table.entries().size())
            : Duration::zero();
    return std::max<Duration>(configwatcher::updatePause, pause);
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    if (awaitsAnswer() || m_clock.now() < m_nextCall) {
        return;
    }
    m_callId = nextCallId++;
    m_callMadeAt = m_clock.now();
    m_listing = m_mustList && !m_mustPollUpdates;
    PlatformCall call;
    call.id = m_callId;
    call.operation = m_listing ? PlatformOperation::List : PlatformOperation::Watch;
    call.kind = fmt::format("{}", fmt::join(m_kinds, ","));
    call.name = m_listing ? m_pages.lastName() : std::string();
    call.since = m_since;
    // A lost call cannot be told from a watch that waits, so while calls get lost, none waits.
    const bool isSilent = m_silentSince != TimePoint::max();
    const bool isPoll = std::exchange(m_mustPoll, false) || m_mustPollUpdates;
    call.wait = isPoll || (G::pollsInOutages && isSilent) ? Duration::zero() : watchWait();
    m_callWait = m_listing ? Duration::zero() : call.wait;
    m_isWaiting = m_callWait > Duration::zero();
    m_polledAt = isPoll ? m_clock.now() : m_polledAt;
    calls.push_back(std::move(call));
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::handle(const PlatformResult &result)
{
    m_callId = 0;
    m_connected =
        result.outcome != PlatformOutcome::Refused && result.outcome != PlatformOutcome::Unanswered;
    recordPlatformAnswer(result.outcome, answerDueAt());
    if (result.outcome == PlatformOutcome::Gone) {
        if (std::exchange(m_mustPollUpdates, false)) {
            // The listing goes on without the updates since its first page. Its end is followed by
            // another watch from there, which fails too.
            m_pollsBetweenPages = false;
            return false;
        }
        m_mustList = true;
        // Another listing may not help, so they must not cause a flood of calls.
        if (std::exchange(m_isWatchGone, true)) {
            m_pollsBetweenPages = true;
            backOff();
        }
        return false;
    }
    if (result.outcome != PlatformOutcome::Ok) {
        backOff();
        return false;
    }
    m_isWatchGone = m_isWatchGone && m_mustList;
    m_pollsBetweenPages = m_pollsBetweenPages && m_mustList;
    m_backOff = m_isWatchGone ? m_backOff : configwatcher::firstBackOff;
    if (m_listing) {
        return addPage(result) && handleListing();
    }
    m_since = std::max(m_since, result.version);
    if (m_mustPollUpdates) {
        m_pages.addUpdates(result.objects);
        m_mustPollUpdates = false;
        return false;
    }
    m_answeredCallMadeAt = m_callMadeAt;
    // The platform counts each watch as a call, so watches that end early without updates must not
    // cause a flood of calls.
    m_nextCall =
        m_clock.now()
        + (result.objects.empty() ? Duration(configwatcher::emptyWatchPause) : updatePause());
    bool changed = false;
    for (const PlatformObject &object : result.objects) {
        changed = handleUpdate(object) || changed;
    }
    return changed;
}

/// Adds a page to the listing. Returns whether the listing is complete.
template <GuardPolicy G>
bool BasicConfigWatcher<G>::addPage(const PlatformResult &page)
{
    // Without a name to continue from, listing from the start may yield the same again.
    const bool isStuck = page.more && page.objects.empty();
    const bool isFirst = m_pages.isEmpty();
    if (isStuck || !m_pages.add(page, m_callMadeAt)) {
        backOff();
        return false;
    }
    // Objects of earlier pages may change while the next ones are read, so the updates since the
    // first page are needed. A watch from a revision that the store does not have yet fails.
    if (isFirst || !G::watchesFromFirstPage) {
        m_since = page.version;
    }
    m_mustPollUpdates = page.more && m_pollsBetweenPages;
    return !page.more;
}

/// Applies the listing. Objects that changed while it was read may be missing from it or out of
/// date; the updates since its first page correct that.
template <GuardPolicy G>
bool BasicConfigWatcher<G>::handleListing()
{
    const PagedListing pages = std::exchange(m_pages, {});
    const Version revision = G::watchesFromFirstPage ? pages.revision() : pages.lastRevision();
    const std::vector<PlatformObject> deletions =
        m_table.impliedDeletions(pages.objects(), revision, m_kinds);
    // An empty listing is a configuration too, with which the daemon becomes ready.
    bool changed = !m_synced;
    m_synced = true;
    m_mustList = false;
    m_answeredCallMadeAt = pages.madeAt();
    for (const PlatformObject &object : pages.objects()) {
        delayCopy(object);
        changed = m_table.apply(object) || changed;
    }
    for (const PlatformObject &deletion : deletions) {
        if (isLost(deletion)) {
            delayLost(deletion);
        } else {
            changed = handleUpdate(deletion) || changed;
        }
    }
    for (const PlatformObject &update : pages.updates()) {
        changed = handleUpdate(update) || changed;
    }
    return changed;
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::restart()
{
    m_pages.clear();
    m_mustPollUpdates = false;
    m_mustList = true;
    m_callId = 0;
    m_delayedUpdates.clear();
    m_delayedDeletions.clear();
    m_returnedAt = m_clock.now();
    m_nextCall = m_clock.now();
}

/// Returns whether the object of \p deletion may be missing because the store has returned from a
/// copy that does not contain it.
template <GuardPolicy G>
bool BasicConfigWatcher<G>::isLost(const PlatformObject &deletion) const
{
    const auto entry = m_table.entries().find({deletion.kind, deletion.name});
    return G::retainsLostUpdates && entry != m_table.entries().end()
           && entry->second.seenVersion.era < deletion.version.era;
}

/// Remembers \p copy if the table retains a newer value. It is applied if its writer does not write
/// the object again.
template <GuardPolicy G>
void BasicConfigWatcher<G>::delayCopy(const PlatformObject &copy)
{
    const bool isDecidedByWriter = m_table.reader().generation(copy.kind, copy.value).has_value();
    if (isDecidedByWriter || !m_table.isOlderCopy(copy)) {
        return;
    }
    DelayedUpdate delayed{copy, m_clock.now() + configwatcher::olderCopyPeriod};
    delayed.update.version = copy.version.retaining(copy.version);
    m_delayedUpdates[{copy.kind, copy.name}] = std::move(delayed);
}

/// Delays \p deletion until its object would have been written again. Endpoints whose objects
/// expire are treated as after an outage.
template <GuardPolicy G>
void BasicConfigWatcher<G>::delayLost(const PlatformObject &deletion)
{
    const ObjectReader &reader = m_table.reader();
    if (deletion.kind == reader.endpointKind() && reader.endpointObjectsExpire()) {
        delayDeletion(deletion, m_clock.now() + configwatcher::lapseGracePeriod);
        return;
    }
    m_lostObjects.push_back(deletion.name);
    m_delayedUpdates[{deletion.kind, deletion.name}] = {
        deletion, m_clock.now() + configwatcher::lostObjectPeriod};
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::applyDelayedUpdates()
{
    bool changed = applyDelayedDeletions();
    std::vector<PlatformObject> due;
    std::erase_if(m_delayedUpdates, [&](const auto &entry) {
        // A later answer would have reported that the object was written again.
        const bool isDue = answeredSince(entry.second.dueAt);
        if (isDue) {
            due.push_back(entry.second.update);
        }
        return isDue;
    });
    for (const PlatformObject &update : due) {
        // An object that was written again has a higher version, so it stays.
        changed = m_table.apply(update) || changed;
    }
    return changed;
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::handleUpdate(const PlatformObject &update)
{
    if (mayHaveLapsed(update)) {
        delayDeletion(update, m_returnedAt + configwatcher::lapseGracePeriod);
        return false;
    }
    return m_table.apply(update);
}

/// Returns whether \p update deletes an endpoint that may only have lapsed in the last outage.
template <GuardPolicy G>
bool BasicConfigWatcher<G>::mayHaveLapsed(const PlatformObject &update) const
{
    const ObjectReader &reader = m_table.reader();
    const bool canLapse =
        update.deleted && reader.endpointObjectsExpire() && update.kind == reader.endpointKind();
    return canLapse && m_returnedAt != TimePoint::min()
           && m_clock.now() - m_returnedAt < configwatcher::lapseGracePeriod;
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::delayDeletion(const PlatformObject &deletion, TimePoint dueAt)
{
    // A deletion that is reported again is no reason to wait longer.
    const auto [delayed, isNew] = m_delayedDeletions.try_emplace(deletion.name);
    delayed->second = {deletion, isNew ? dueAt : std::min(dueAt, delayed->second.dueAt)};
    if (isNew) {
        m_heldDeletions.push_back({deletion.kind, deletion.name, deletion.version,
                                   m_outages.lastOutage(), dueAt - m_clock.now()});
    }
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::recordPlatformAnswer(PlatformOutcome outcome,
                                                 std::optional<TimePoint> dueAt)
{
    const TimePoint now = m_clock.now();
    const bool isAnswered =
        outcome != PlatformOutcome::Refused && outcome != PlatformOutcome::Unanswered;
    if (!isAnswered && dueAt) {
        m_outages.recordFailure(now, *dueAt);
    } else if (isAnswered && m_outages.recordAnswer(now)) {
        m_returnedAt = now;
    }
    m_isPlatformUnavailable = !isAnswered;
    if (outcome == PlatformOutcome::Unanswered) {
        m_silentSince = std::min(m_silentSince, now);
        return;
    }
    const TimePoint silentSince = std::exchange(m_silentSince, TimePoint::max());
    if (G::pollsInOutages && silentSince != TimePoint::max()) {
        callAfterOutage(silentSince);
    }
}

/// Makes the next call at once, since the platform answers again. A call that was made before
/// \p silentSince may be lost, so its answer is not awaited.
template <GuardPolicy G>
void BasicConfigWatcher<G>::callAfterOutage(TimePoint silentSince)
{
    m_callId = m_callMadeAt < silentSince ? 0 : m_callId;
    m_nextCall = std::min(m_nextCall, m_clock.now());
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::applyDelayedDeletions()
{
    const TimePoint now = m_clock.now();
    bool changed = false;
    std::erase_if(m_delayedDeletions, [&](const auto &entry) {
        const bool isDue = entry.second.dueAt <= now;
        // An endpoint that was declared again has a higher version, so it stays.
        changed = (isDue && m_table.apply(entry.second.update)) || changed;
        return isDue;
    });
    return changed;
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::backOff()
{
    m_nextCall = m_clock.now() + m_backOff;
    m_backOff = std::min<Duration>(m_backOff * 2, configwatcher::maxBackOff);
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGMACHINEIMPL_H
