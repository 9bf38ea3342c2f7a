//===- platformstore.h - Object store of the stand-in platform --*- C++ -*-===//
///
/// \file
/// Versioned objects in memory, with a change history for watches.
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

/// Splits a list of kinds such as "Pool,Endpoint".
[[nodiscard]] std::set<std::string> splitKinds(const std::string &text);

/// A part of a listing.
struct ListingPage
{
    std::vector<PlatformObject> objects; ///< In the order of their names.
    bool more = false;                   ///< There are objects with later names.
};

/// In-memory object store. Not thread-safe.
class PlatformStore
{
public:
    /// \param historySize number of changes kept for watches.
    explicit PlatformStore(std::size_t historySize = 10'000)
        : m_historySize(historySize)
    {
    }

    /// Returns the object, or std::nullopt if it does not exist.
    [[nodiscard]] std::optional<PlatformObject> get(const std::string &kind,
                                                    const std::string &name) const;
    /// Writes the object if its current version is \p ifVersion (0 if absent). Returns the
    /// new version, or std::nullopt on a conflict.
    std::optional<std::uint64_t> put(const std::string &kind, const std::string &name,
                                     std::uint64_t ifVersion, std::string value);
    /// Deletes the object if its current version is \p ifVersion. Returns the version of
    /// the deletion, or std::nullopt on a conflict.
    std::optional<std::uint64_t> remove(const std::string &kind, const std::string &name,
                                        std::uint64_t ifVersion);
    /// Returns all objects of \p kinds.
    [[nodiscard]] std::vector<PlatformObject> list(const std::set<std::string> &kinds) const;
    /// Returns the first objects of \p kinds whose names sort after \p after: \p size of them, and
    /// further ones that share the last name.
    [[nodiscard]] ListingPage listPage(const std::set<std::string> &kinds, const std::string &after,
                                       std::size_t size) const;
    /// Returns the last change after \p since to each object of \p kinds, or std::nullopt if
    /// the history does not reach back to \p since, or if it has not reached \p since yet.
    [[nodiscard]] std::optional<std::vector<PlatformObject>>
    changes(const std::set<std::string> &kinds, std::uint64_t since) const;
    /// Returns the version of the last change to any object.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Returns the number of times that the store returned from a copy, plus one.
    [[nodiscard]] std::uint64_t era() const { return m_era; }
    /// Sets the number of changes kept for watches.
    void setHistorySize(std::size_t size) { m_historySize = size; }
    /// Returns to \p copy, an earlier state of this store. Changes since are lost, and their
    /// versions are given out again.
    void restore(const PlatformStore &copy);

private:
    using Key = std::pair<std::string, std::string>;

    std::uint64_t versionOf(const Key &key) const;
    void appendChange(PlatformObject change);

    std::size_t m_historySize;
    std::uint64_t m_era = 1;
    std::uint64_t m_version = 0;
    std::uint64_t m_droppedUpTo = 0; ///< Changes up to this version were dropped from the history.
    std::map<Key, PlatformObject> m_objects;
    std::deque<PlatformObject> m_changes;
};

} // namespace harelink::standin

#endif // HARELINK_UTILS_STANDIN_PLATFORMSTORE_H
