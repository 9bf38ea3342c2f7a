//===- harelink/Kernel/endpointlimits.h - Stated rate limits ----*- C++ -*-===//
///
/// \file
/// The rate limits that endpoints have stated, as far as this daemon knows.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_ENDPOINTLIMITS_H
#define HARELINK_KERNEL_ENDPOINTLIMITS_H

#include "harelink/Support/clock.h"

#include <map>
#include <optional>
#include <string>

namespace harelink {

/// What an endpoint last said of its rate limit.
struct LimitStatement
{
    std::optional<double> perSecond; ///< Requests from all hosts; absent once it is lifted.
    TimePoint at;                    ///< Not later than the answer that says so was made.
};

/// Event: an endpoint has stated or lifted its limit. Output: its limit is another one now.
struct EndpointLimitStated
{
    std::string endpoint;
    LimitStatement statement;
};

/// The newest statement of each endpoint that has stated a limit. The later one holds,
/// whatever the order in which they are recorded.
class EndpointLimits
{
public:
    /// Records a statement of \p endpoint; whether its limit is another one now.
    bool record(const std::string &endpoint, const LimitStatement &statement);
    /// Forgets \p endpoint.
    void forget(const std::string &endpoint) { m_statements.erase(endpoint); }
    /// By endpoint; lifted limits are among them.
    [[nodiscard]] const std::map<std::string, LimitStatement> &statements() const
    {
        return m_statements;
    }
    /// How many endpoints are under a limit.
    [[nodiscard]] std::size_t inForce() const;

private:
    std::map<std::string, LimitStatement> m_statements;
};

} // namespace harelink

#endif // HARELINK_KERNEL_ENDPOINTLIMITS_H
