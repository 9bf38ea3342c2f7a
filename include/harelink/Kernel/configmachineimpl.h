//===- harelink/Kernel/configmachineimpl.h - Definitions ----------*- C++ -*-===//
///
/// \file
/// The definitions of BasicConfigTable and BasicConfigWatcher; included only
/// where they are instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGMACHINEIMPL_H
#define HARELINK_KERNEL_CONFIGMACHINEIMPL_H

#include "harelink/Config/jsonreader.h"
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
inline constexpr std::chrono::milliseconds longestBackOff{2000};
/// How long the platform may hold a watch open.
inline constexpr std::chrono::milliseconds watchWait{10'000};

/// Between a watch without news and the next one.
inline constexpr std::chrono::milliseconds emptyWatchPause{50};

inline std::string allKinds()
{
    return fmt::format("{}", fmt::join(resourceKinds(), ","));
}

} // namespace configwatcher

template <GuardPolicy G>
bool BasicConfigTable<G>::apply(const PlatformObject &news)
{
    ConfigEntry &entry = m_entries[{news.kind, news.name}];
    if (G::dropsOlderNews && news.version <= entry.seen) {
        m_droppedNews += news.version < entry.seen ? 1 : 0;
        return false;
    }
    entry.seen = news.version;
    entry.deleted = news.deleted;
    entry.value = news.value;
    entry.fault.clear();
    m_news.push_back(news);
    if (news.deleted) {
        const bool changed = entry.resource.has_value();
        entry.resource.reset();
        entry.inForce = news.version;
        return changed;
    }
    const std::string origin = fmt::format("{}/{}", news.kind, news.name);
    const absl::StatusOr<nlohmann::json> document = parseJson(news.value, origin);
    absl::StatusOr<Resource> resource =
        document.ok() ? readResource(*document, origin) : document.status();
    if (resource.ok() && (resource->kind != news.kind || resource->name != news.name)) {
        resource = makeError(absl::StatusCode::kInvalidArgument, "checking", origin,
                             "the declaration names another object");
    }
    if (!resource.ok()) {
        // The last good one stays in force.
        entry.fault = errorMessage(resource.status());
        return false;
    }
    assert((!G::dropsOlderNews || news.version > entry.inForce) && "a version in force only rises");
    entry.resource = *std::move(resource);
    entry.inForce = news.version;
    return true;
}

template <GuardPolicy G>
bool BasicConfigTable<G>::applyListing(const std::vector<PlatformObject> &objects, Version revision)
{
    bool changed = false;
    std::set<Key> listed;
    for (const PlatformObject &object : objects) {
        listed.insert({object.kind, object.name});
        changed = apply(object) || changed;
    }
    for (auto &[key, entry] : m_entries) {
        if (listed.contains(key) || entry.deleted || entry.seen > revision) {
            continue;
        }
        PlatformObject deletion;
        deletion.kind = key.first;
        deletion.name = key.second;
        deletion.version = std::max(revision, entry.seen + 1);
        deletion.deleted = true;
        changed = apply(deletion) || changed;
    }
    return changed;
}

template <GuardPolicy G>
std::uint64_t BasicConfigTable<G>::summary() const
{
    std::uint64_t sum = 0;
    for (const auto &[key, entry] : m_entries) {
        // A sum, so that the order of the entries does not matter.
        sum += hash64(fmt::format("{}/{}", key.first, key.second), entry.seen);
    }
    return sum;
}

template <GuardPolicy G>
std::vector<Resource> BasicConfigTable<G>::resources() const
{
    std::vector<Resource> resources;
    for (const auto &[key, entry] : m_entries) {
        if (entry.resource) {
            resources.push_back(*entry.resource);
        }
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
BasicConfigWatcher<G>::BasicConfigWatcher(const Clock &clock, BasicConfigTable<G> &table)
    : m_clock(clock)
    , m_table(table)
    , m_notBefore(clock.now())
    , m_backOff(configwatcher::firstBackOff)
{
}

template <GuardPolicy G>
TimePoint BasicConfigWatcher<G>::nextTick() const
{
    return m_callId == 0 ? m_notBefore : TimePoint::max();
}

template <GuardPolicy G>
void BasicConfigWatcher<G>::tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    if (m_callId != 0 || m_clock.now() < m_notBefore) {
        return;
    }
    m_callId = nextCallId++;
    m_listing = m_listNext;
    PlatformCall call;
    call.id = m_callId;
    call.operation = m_listing ? PlatformOperation::List : PlatformOperation::Watch;
    call.kind = configwatcher::allKinds();
    call.since = m_since;
    call.wait = configwatcher::watchWait;
    calls.push_back(std::move(call));
}

template <GuardPolicy G>
bool BasicConfigWatcher<G>::handle(const PlatformResult &result)
{
    m_callId = 0;
    m_connected =
        result.outcome != PlatformOutcome::Refused && result.outcome != PlatformOutcome::Silent;
    if (result.outcome == PlatformOutcome::Gone) {
        m_listNext = true;
        return false;
    }
    if (result.outcome != PlatformOutcome::Ok) {
        backOff();
        return false;
    }
    m_backOff = configwatcher::firstBackOff;
    bool changed = false;
    if (m_listing) {
        changed = m_table.applyListing(result.objects, result.version);
        // An empty listing is a configuration too: the daemon becomes ready with it.
        changed = changed || !m_synced;
        m_synced = true;
    } else {
        // Each watch is a call that the platform counts: one that ends early and
        // without news must not turn into a storm of them.
        if (result.objects.empty()) {
            m_notBefore = m_clock.now() + configwatcher::emptyWatchPause;
        }
        for (const PlatformObject &object : result.objects) {
            changed = m_table.apply(object) || changed;
        }
    }
    m_listNext = false;
    m_since = std::max(m_since, result.version);
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
