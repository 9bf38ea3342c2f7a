//===- platformstore.cpp - Object store of the stand-in platform ----------===//

#include "platformstore.h"

#include <algorithm>

namespace harelink::standin {

std::set<std::string> splitKinds(const std::string &text)
{
    std::set<std::string> kinds;
    std::size_t offset = 0;
    while (offset < text.size()) {
        const std::size_t end = std::min(text.find(',', offset), text.size());
        kinds.insert(text.substr(offset, end - offset));
        offset = end + 1;
    }
    return kinds;
}

std::uint64_t PlatformStore::versionOf(const Key &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? 0 : found->second.version.revision;
}

std::optional<PlatformObject> PlatformStore::get(const std::string &kind,
                                                 const std::string &name) const
{
    const auto found = m_objects.find({kind, name});
    if (found == m_objects.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<std::uint64_t> PlatformStore::put(const std::string &kind, const std::string &name,
                                                std::uint64_t ifVersion, std::string value)
{
    if (versionOf({kind, name}) != ifVersion) {
        return std::nullopt;
    }
    PlatformObject object{kind, name, ++m_version, false, std::move(value)};
    m_objects[{kind, name}] = object;
    appendChange(std::move(object));
    return m_version;
}

std::optional<std::uint64_t> PlatformStore::remove(const std::string &kind, const std::string &name,
                                                   std::uint64_t ifVersion)
{
    const std::uint64_t current = versionOf({kind, name});
    if (current == 0 || current != ifVersion) {
        return std::nullopt;
    }
    m_objects.erase({kind, name});
    appendChange({kind, name, ++m_version, true, std::string()});
    return m_version;
}

void PlatformStore::appendChange(PlatformObject change)
{
    m_changes.push_back(std::move(change));
    while (m_changes.size() > m_historySize) {
        m_droppedUpTo = m_changes.front().version.revision;
        m_changes.pop_front();
    }
}

void PlatformStore::restore(const PlatformStore &copy)
{
    const std::uint64_t era = m_era + 1;
    *this = copy;
    m_era = era;
}

std::vector<PlatformObject> PlatformStore::list(const std::set<std::string> &kinds) const
{
    std::vector<PlatformObject> objects;
    for (const auto &[key, object] : m_objects) {
        if (kinds.contains(key.first)) {
            objects.push_back(object);
        }
    }
    return objects;
}

ListingPage PlatformStore::listPage(const std::set<std::string> &kinds, const std::string &after,
                                    std::size_t size) const
{
    std::vector<PlatformObject> objects = list(kinds);
    std::erase_if(objects, [&](const PlatformObject &object) { return object.name <= after; });
    std::stable_sort(
        objects.begin(), objects.end(),
        [](const PlatformObject &a, const PlatformObject &b) { return a.name < b.name; });
    std::size_t end = std::min(size, objects.size());
    while (end > 0 && end < objects.size() && objects[end].name == objects[end - 1].name) {
        ++end;
    }
    const bool more = end < objects.size();
    objects.resize(end);
    return {std::move(objects), more};
}

std::optional<std::vector<PlatformObject>>
PlatformStore::changes(const std::set<std::string> &kinds, std::uint64_t since) const
{
    if (since < m_droppedUpTo || since > m_version) {
        return std::nullopt;
    }
    std::map<Key, PlatformObject> last;
    for (const PlatformObject &change : m_changes) {
        if (change.version.revision > since && kinds.contains(change.kind)) {
            last[{change.kind, change.name}] = change;
        }
    }
    std::vector<PlatformObject> objects;
    objects.reserve(last.size());
    for (auto &[key, change] : last) {
        objects.push_back(std::move(change));
    }
    return objects;
}

} // namespace harelink::standin
