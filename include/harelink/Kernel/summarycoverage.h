//===- harelink/Kernel/summarycoverage.h - Coverage of summaries -*- C++ -*-===//
///
/// \file
/// Tells complete summaries of a data centre's load from partial ones. Any host sends a summary on
/// request, so a daemon that passes over its relays may ask one that receives no heartbeats of
/// others. Its summary covers hardly more than its own load, and must not replace what is known.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_SUMMARYCOVERAGE_H
#define HARELINK_KERNEL_SUMMARYCOVERAGE_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace harelink {

/// Compares the summaries of each data centre with the last complete one.
class SummaryCoverage
{
public:
    /// For this period after a complete summary, others are compared with it. Longer than a daemon
    /// passes over an unresponsive relay.
    static constexpr std::chrono::milliseconds comparedPeriod{5000};

    /// \param clock must outlive this object.
    explicit SummaryCoverage(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Records a summary from a relay of \p dataCentre that covers \p hosts. Returns whether it is
    /// complete: it covers at least half as many, rounded down, as the last one of comparedPeriod.
    [[nodiscard]] bool record(const std::string &dataCentre, std::uint32_t hosts);

private:
    struct Complete
    {
        std::uint32_t hosts = 0;
        TimePoint until = TimePoint::min(); ///< Until when others are compared with it.
    };

    const Clock &m_clock;
    std::map<std::string, Complete> m_complete; ///< The last one, by data centre.
};

} // namespace harelink

#endif // HARELINK_KERNEL_SUMMARYCOVERAGE_H
