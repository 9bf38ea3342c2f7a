//===- pagedlisting.cpp - Listing in pages --------------------------------===//

#include "harelink/Kernel/pagedlisting.h"

namespace harelink {

bool PagedListing::add(const PlatformResult &page, TimePoint madeAt)
{
    const bool hasReturned =
        page.version.era != m_lastRevision.era || page.version < m_lastRevision;
    if (m_isBegun && hasReturned) {
        clear();
        return false;
    }
    if (!m_isBegun) {
        m_isBegun = true;
        m_revision = page.version;
        m_madeAt = madeAt;
    }
    m_lastRevision = page.version;
    m_objects.insert(m_objects.end(), page.objects.begin(), page.objects.end());
    m_lastName = page.objects.empty() ? m_lastName : page.objects.back().name;
    return true;
}

void PagedListing::addUpdates(const std::vector<PlatformObject> &updates)
{
    m_updates.insert(m_updates.end(), updates.begin(), updates.end());
}

void PagedListing::clear()
{
    *this = PagedListing();
}

} // namespace harelink
