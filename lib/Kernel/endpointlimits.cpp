//===- endpointlimits.cpp - Stated rate limits ----------------------------===//

#include "harelink/Kernel/endpointlimits.h"

#include <algorithm>

namespace harelink {

bool EndpointLimits::record(const std::string &endpoint, const LimitStatement &statement)
{
    const auto known = m_statements.find(endpoint);
    if (known == m_statements.end()) {
        if (!statement.perSecond) {
            return false; // It never stated one.
        }
        m_statements.emplace(endpoint, statement);
        return true;
    }
    if (statement.at < known->second.at) {
        return false;
    }
    const bool isChange = known->second.perSecond != statement.perSecond;
    known->second = statement;
    return isChange;
}

std::size_t EndpointLimits::inForce() const
{
    return static_cast<std::size_t>(
        std::count_if(m_statements.begin(), m_statements.end(),
                      [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

} // namespace harelink
