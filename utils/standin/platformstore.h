//===- platformstore.h - Objects of the platform's stand-in -----*- C++ -*-===//
///
/// \file
/// Versioned objects in memory, with the history that watches read.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_UTILS_STANDIN_PLATFORMSTORE_H
#define HARELINK_UTILS_STANDIN_PLATFORMSTORE_H

#include "harelink/Kernel/platform.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink::standin {

/// The kinds of a list such as "Pool,Endpoint".
[[nodiscard]] std::set<std::string> splitKinds(const std::string &text);

/// The objects. Not thread-safe.
class PlatformStore
{
public:
    /// \param keptEvents how many changes a watch can look back on.
    explicit PlatformStore(std::size_t keptEvents = 10'000)
        : m_keptEvents(keptEvents)
    {
    }

    /// The object, if it exists.
    [[nodiscard]] std::optional<PlatformObject> get(const std::string &kind,
                                                    const std::string &name) const;
    /// Writes over version \p ifVersion only; gives the new version or nothing.
    std::optional<Version> put(const std::string &kind, const std::string &name, Version ifVersion,
                               std::string value);
    /// Deletes version \p ifVersion only; gives the deletion's version or nothing.
    std::optional<Version> remove(const std::string &kind, const std::string &name,
                                  Version ifVersion);
    /// All objects of \p kinds.
    [[nodiscard]] std::vector<PlatformObject> list(const std::set<std::string> &kinds) const;
    /// The last change to each object of \p kinds after \p since; nothing where
    /// that is longer ago than is kept.
    [[nodiscard]] std::optional<std::vector<PlatformObject>>
    changes(const std::set<std::string> &kinds, Version since) const;
    /// The version of the last change to anything.
    [[nodiscard]] Version version() const { return m_version; }

private:
    using Key = std::pair<std::string, std::string>;

    Version versionOf(const Key &key) const;
    void remember(PlatformObject change);

    std::size_t m_keptEvents;
    Version m_version = 0;
    Version m_forgotten = 0; ///< Changes up to this one are no longer kept.
    std::map<Key, PlatformObject> m_objects;
    std::deque<PlatformObject> m_changes;
};

} // namespace harelink::standin

#endif // HARELINK_UTILS_STANDIN_PLATFORMSTORE_H
