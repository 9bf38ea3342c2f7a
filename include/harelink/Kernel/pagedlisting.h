//===- harelink/Kernel/pagedlisting.h - Listing in pages --------*- C++ -*-===//
///
/// \file
/// Collects the pages of a listing between which the store may change.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PAGEDLISTING_H
#define HARELINK_KERNEL_PAGEDLISTING_H

#include "harelink/Kernel/platform.h"

#include <string>
#include <vector>

namespace harelink {

/// The pages received of a listing. Each is as of its own revision, and an object may change after
/// its page was read, so together they may be no state that the store ever had. With the updates
/// since the first page's revision, no change is missed.
class PagedListing
{
public:
    /// Adds \p page, the answer to a call made at \p madeAt. Returns false and discards all pages
    /// if the store has returned from an older copy since the previous page: its revisions are
    /// not comparable with those of earlier pages then.
    [[nodiscard]] bool add(const PlatformResult &page, TimePoint madeAt);
    /// Adds the updates that a watch from revision() has returned between two pages.
    void addUpdates(const std::vector<PlatformObject> &updates);
    void clear();
    [[nodiscard]] bool isEmpty() const { return !m_isBegun; }
    /// Returns the name after which the next page begins; empty for the first page.
    [[nodiscard]] const std::string &lastName() const { return m_lastName; }
    /// Returns the revision of the first page.
    [[nodiscard]] Version revision() const { return m_revision; }
    /// Returns the revision of the last page.
    [[nodiscard]] Version lastRevision() const { return m_lastRevision; }
    /// Returns when the call for the first page was made.
    [[nodiscard]] TimePoint madeAt() const { return m_madeAt; }
    [[nodiscard]] const std::vector<PlatformObject> &objects() const { return m_objects; }
    [[nodiscard]] const std::vector<PlatformObject> &updates() const { return m_updates; }

private:
    bool m_isBegun = false;
    std::vector<PlatformObject> m_objects;
    std::vector<PlatformObject> m_updates;
    std::string m_lastName;
    Version m_revision;
    Version m_lastRevision;
    TimePoint m_madeAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PAGEDLISTING_H
