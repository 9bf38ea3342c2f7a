//===- harelink/Kernel/configmachineimpl.h - Definitions ----------*- C++ -*-===//
///
/// \file
/// The definitions of BasicConfigTable and BasicConfigWatcher; included only
/// where they are instantiated.
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
inline constexpr std::chrono::milliseconds longestBackOff{1000};
/// How long the platform may hold a watch open. A watch may have gone silent while news
/// came, as when the platform forgets its history; that is noticed when this is over. At
/// 10 s a daemon used a key 4.6 s after it was taken away; at 1 s, nine daemons made 18
/// calls a second for nothing else.
inline constexpr std::chrono::milliseconds watchWait{2200};
/// The same where requests under quarantine are all that is watched. They change once in
/// days, so its watches are as few as can be; a silent one is made up for by the peers'
/// digests within some seconds.
inline constexpr std::chrono::milliseconds quarantineWatchWait{10'000};

/// The same where drains of data centres are all that is watched. They change seldom, and have
/// to be in force within five seconds: with the 0.8 s that a call is waited for beyond it, one
/// that fell silent is noticed in 4.3 s.
inline constexpr std::chrono::milliseconds drainWatchWait{3500};

/// Between a watch with news and the next one: what comes meanwhile comes together. Of a
/// fleet whose endpoints start, 24 watchers made 2,900 calls in 5 s without it. It is a
/// small part of the seconds in which news have to be in force.
inline constexpr std::chrono::milliseconds newsPause{150};

/// Between a watch without news and the next one.
inline constexpr std::chrono::milliseconds emptyWatchPause{50};

/// From when the platform answers again, an endpoint that is missing is waited for this
/// long: those that live declare themselves anew within two seconds. It is counted from the
/// first answer and not from the last failure, for a call may hang through the outage.
inline constexpr std::chrono::milliseconds lapseAllowance{2300};

} // namespace configwatcher

template <GuardPolicy G>
bool BasicConfigTable<G>::apply(const PlatformObject &news)
{
    const Key key(news.kind, news.name);
    const auto [found, isNew] = m_entries.try_emplace(key);
    ConfigEntry &entry = found->second;
    if (isNew) {
        m_summary += hashOf(key, entry.seen);
    }
    if (G::dropsStaleUpdates && news.version <= entry.seen) {
        m_droppedUpdates += news.version < entry.seen ? 1 : 0;
        return false;
    }
    m_summary += hashOf(key, news.version) - hashOf(key, entry.seen);
    entry.seen = news.version;
    entry.deleted = news.deleted;
    entry.value = news.value;
    const std::string faultBefore = std::exchange(entry.fault, {});
    m_news.push_back(news);
    if (news.deleted) {
        return applyDeletion(entry);
    }
    absl::StatusOr<std::vector<Resource>> read = m_reader.read(news.kind, news.name, news.value);
    if (!read.ok()) {
        return applyFault(news, entry, errorMessage(read.status()), faultBefore);
    }
    if (!takeLife(news, entry, *read)) {
        return false;
    }
    assert((!G::dropsStaleUpdates || news.version > entry.inForce)
           && "a version in force only rises");
    entry.resources = *std::move(read);
    entry.inForce = news.version;
    return true;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::applyDeletion(ConfigEntry &entry)
{
    const bool changed = !entry.resources.empty();
    entry.resources.clear();
    entry.inForce = entry.seen;
    return changed;
}

/// Of what operators declare the last good version stays in force. An endpoint declares
/// itself: what cannot be read there is another writer's, and names no endpoint.
template <GuardPolicy G>
bool BasicConfigTable<G>::applyFault(const PlatformObject &news, ConfigEntry &entry,
                                     std::string fault, const std::string &faultBefore)
{
    ++m_unreadable;
    const bool isEndpoint = news.kind == m_reader.endpointKind();
    const bool changed = isEndpoint && !entry.resources.empty();
    if (isEndpoint) {
        entry.resources.clear();
    }
    if (fault != faultBefore) {
        m_faults.push_back({news.kind, news.name, news.version, fault, !entry.resources.empty()});
    }
    entry.fault = std::move(fault);
    return changed;
}

/// Notes which life of an endpoint \p read is of. False where a newer one has been seen: a
/// write of the one before it may be done late, and must not bring it back.
template <GuardPolicy G>
bool BasicConfigTable<G>::takeLife(const PlatformObject &news, ConfigEntry &entry,
                                   const std::vector<Resource> &read)
{
    const auto *life = read.empty() ? nullptr : std::get_if<EndpointSpec>(&read.front().spec);
    if (life == nullptr) {
        return true;
    }
    if (G::dropsStaleUpdates && life->startedAt < entry.latestStartedAt) {
        entry.fault = fmt::format("{} has started again since", life->name);
        m_faults.push_back(
            {news.kind, news.name, news.version, entry.fault, !entry.resources.empty()});
        return false;
    }
    entry.latestStartedAt = life->startedAt;
    m_objectsByEndpoint[life->name] = news.name;
    if (!entry.resources.empty() && entry.resources.front().name != life->name) {
        m_ended.push_back(entry.resources.front().name);
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
        if (!isOfKinds || listed.contains(key) || entry.deleted || entry.seen > revision) {
            continue;
        }
        PlatformObject deletion;
        deletion.kind = key.first;
        deletion.name = key.second;
        deletion.version = std::max(revision, entry.seen + 1);
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
    const auto object = m_objectsByEndpoint.find(name);
    const std::string &objectName = object == m_objectsByEndpoint.end() ? name : object->second;
    const auto found = m_entries.find({m_reader.endpointKind(), objectName});
    return found == m_entries.end() ? nullptr : &found->second;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::hasEnded(const std::string &name) const
{
    const ConfigEntry *entry = endpoint(name);
    return entry != nullptr && !entry->resources.empty() && entry->resources.front().name != name;
}

template <GuardPolicy G>
std::uint64_t BasicConfigTable<G>::hashOf(const Key &key, Version seen)
{
    return hash64(fmt::format("{}/{}", key.first, key.second), seen);
}

template <GuardPolicy G>
std::vector<Resource> BasicConfigTable<G>::resources() const
{
    std::vector<Resource> resources;
    for (const auto &[key, entry] : m_entries) {
        resources.insert(resources.end(), entry.resources.begin(), entry.resources.end());
    }
    return resources;
}

template <GuardPolicy G>
Version BasicConfigTable<G>::revision() const
{
    Version highest = 0;
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
    , m_regainedAt(TimePoint::min())
    , m_notBefore(clock.now())
    , m_backOff(configwatcher::firstBackOff)
{
}

template <GuardPolicy G>
TimePoint BasicConfigWatcher<G>::nextTick() const
{
    const TimePoint call = m_callId == 0 ? m_notBefore : TimePoint::max();
    const bool waits = !m_held.empty() && !m_away;
    return waits ? std::min(call, m_regainedAt + configwatcher::lapseAllowance) : call;
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
void BasicConfigWatcher<G>::tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    if (m_callId != 0 || m_clock.now() < m_notBefore) {
        return;
    }
    m_callId = nextCallId++;
    m_askedAt = m_clock.now();
    m_listing = m_listNext;
    PlatformCall call;
    call.id = m_callId;
    call.operation = m_listing ? PlatformOperation::List : PlatformOperation::Watch;
    call.kind = fmt::format("{}", fmt::join(m_kinds, ","));
    call.name = m_listing ? m_continueAfter : std::string();
    call.since = m_since;
    call.wait = watchWait();
    calls.push_back(std::move(call));
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::handle(const PlatformResult &result)
{
    m_callId = 0;
    m_connected =
        result.outcome != PlatformOutcome::Refused && result.outcome != PlatformOutcome::Unanswered;
    m_heardAt = m_connected ? m_askedAt : m_heardAt;
    if (result.outcome == PlatformOutcome::Gone) {
        m_listNext = true;
        return false;
    }
    if (result.outcome != PlatformOutcome::Ok) {
        recordPlatformAnswer(false);
        backOff();
        return false;
    }
    recordPlatformAnswer(true);
    m_backOff = configwatcher::firstBackOff;
    if (m_listing && result.more && result.objects.empty()) {
        // There is no name to go on behind, and from the beginning it would come again.
        backOff();
        return false;
    }
    if (m_listing && result.more) {
        m_listed.insert(m_listed.end(), result.objects.begin(), result.objects.end());
        m_continueAfter = result.objects.empty() ? std::string() : result.objects.back().name;
        return false;
    }
    bool changed = false;
    if (m_listing) {
        changed = takeListing(result);
    } else {
        // Each watch is a call that the platform counts: one that ends early and
        // without news must not turn into a storm of them.
        m_notBefore =
            m_clock.now()
            + (result.objects.empty() ? configwatcher::emptyWatchPause : configwatcher::newsPause);
        for (const PlatformObject &object : result.objects) {
            changed = take(object) || changed;
        }
    }
    m_listNext = false;
    m_since = std::max(m_since, result.version);
    return changed;
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::takeListing(const PlatformResult &result)
{
    m_listed.insert(m_listed.end(), result.objects.begin(), result.objects.end());
    const std::vector<PlatformObject> objects = std::exchange(m_listed, {});
    m_continueAfter.clear();
    // An empty listing is a configuration too: the daemon becomes ready with it.
    bool changed = !m_synced;
    m_synced = true;
    for (const PlatformObject &object : objects) {
        changed = m_table.apply(object) || changed;
    }
    for (const PlatformObject &deletion :
         m_table.impliedDeletions(objects, result.version, m_kinds)) {
        changed = take(deletion) || changed;
    }
    return changed;
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::take(const PlatformObject &news)
{
    if (holdsBack(news)) {
        m_held[news.name] = news;
        return false;
    }
    return m_table.apply(news);
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::holdsBack(const PlatformObject &news) const
{
    const ObjectReader &reader = m_table.reader();
    const bool mayHaveLapsed =
        news.deleted && reader.endpointsLapse() && news.kind == reader.endpointKind();
    const bool justRegained = m_regainedAt != TimePoint::min()
                              && m_clock.now() - m_regainedAt < configwatcher::lapseAllowance;
    return mayHaveLapsed && (m_away || justRegained);
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::recordPlatformAnswer(bool answered)
{
    if (answered && m_away) {
        m_regainedAt = m_clock.now();
    }
    m_away = !answered;
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::applyDelayedDeletions()
{
    if (m_held.empty() || m_away || m_clock.now() - m_regainedAt < configwatcher::lapseAllowance) {
        return false;
    }
    bool changed = false;
    for (const auto &[name, deletion] : std::exchange(m_held, {})) {
        // One that was declared anew has a higher version by now and stays.
        changed = m_table.apply(deletion) || changed;
    }
    return changed;
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::backOff()
{
    m_notBefore = m_clock.now() + m_backOff;
    m_backOff = std::min<Duration>(m_backOff * 2, configwatcher::longestBackOff);
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGMACHINEIMPL_H
