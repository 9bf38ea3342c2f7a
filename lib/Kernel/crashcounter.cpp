//===- crashcounter.cpp - Ends under a request ----------------------------===//

#include "harelink/Kernel/crashcounter.h"

#include <algorithm>
#include <utility>

namespace harelink {
namespace {

/// So many ends tell. One and two befall every request that stands beside a guilty one while
/// endpoints end each second; the users' rule counts sends from the third end on.
constexpr std::size_t endsThatTell = 3;
/// No endpoint is back sooner: what is told of it within this time is told twice.
constexpr std::chrono::milliseconds sameEnd{1500};
/// A request under which no endpoint ended for so long is no longer held in suspicion.
constexpr std::chrono::minutes memory{30};
/// Requests held in suspicion, some 150 bytes each: all that stand at a few hundred
/// endpoints that end at once.
constexpr std::size_t mostSuspects = 4096;

} // namespace

std::vector<std::string> CrashCounter::recordCrash(const Hash128 &digest,
                                                   const std::string &endpoint, TimePoint sentAt,
                                                   TimePoint brokeAt)
{
    if (!m_suspects.contains(digest)) {
        makeRoom();
    }
    Suspect &suspect = m_suspects[digest];
    if (m_clock.now() - suspect.lastEnd > memory) {
        suspect.endpoints.clear();
    }
    const bool isFirst = suspect.endpoints.empty();
    const bool isSame =
        !isFirst && suspect.endpoints.back() == endpoint && brokeAt - suspect.lastEnd < sameEnd;
    if (!isFirst && (isSame || sentAt < suspect.lastEnd)) {
        return {};
    }
    suspect.endpoints.push_back(endpoint);
    suspect.lastEnd = brokeAt;
    return suspect.endpoints.size() < endsThatTell ? std::vector<std::string>() : suspect.endpoints;
}

void CrashCounter::makeRoom()
{
    if (m_suspects.size() < mostSuspects) {
        return;
    }
    const TimePoint now = m_clock.now();
    absl::erase_if(m_suspects,
                   [now](const auto &entry) { return now - entry.second.lastEnd > memory; });
    if (m_suspects.size() < mostSuspects) {
        return;
    }
    // Those with the fewest ends, and of them the oldest, are the likeliest to be innocent.
    const auto isLess = [](const auto &a, const auto &b) {
        return std::pair(a.second.endpoints.size(), a.second.lastEnd)
               < std::pair(b.second.endpoints.size(), b.second.lastEnd);
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), isLess));
}

} // namespace harelink
