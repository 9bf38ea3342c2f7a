//===- summarycoverage.cpp - Coverage of summaries ------------------------===//

#include "harelink/Kernel/summarycoverage.h"

namespace harelink {

bool SummaryCoverage::record(const std::string &dataCentre, std::uint32_t hosts)
{
    const TimePoint now = m_clock.now();
    Complete &last = m_complete[dataCentre];
    if (now < last.until && hosts < last.hosts / 2) {
        return false;
    }
    last = {hosts, now + comparedPeriod};
    return true;
}

} // namespace harelink
