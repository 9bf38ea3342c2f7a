//===- harelink/Kernel/configtableimpl.h - Definitions ----------*- C++ -*-===//
///
/// \file
/// The definitions of BasicConfigTable; included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGTABLEIMPL_H
#define HARELINK_KERNEL_CONFIGTABLEIMPL_H

#include "harelink/Config/jsonreader.h"
#include "harelink/Kernel/configmachine.h"
#include "harelink/Support/error.h"

#include <algorithm>
#include <cassert>
#include <set>

#include <fmt/format.h>

namespace harelink {

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

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGTABLEIMPL_H
