//===- crashcounter.cpp - Crashes per request -----------------------------===//

#include "harelink/Kernel/crashcounter.h"

#include <algorithm>
#include <utility>

namespace harelink {
namespace {

/// No endpoint restarts faster, so a second report of an endpoint within this time is a
/// duplicate.
constexpr std::chrono::milliseconds sameCrashWindow{1500};
/// A request without a crash for this period is no longer a suspect.
constexpr std::chrono::minutes suspectRetention{30};
/// Maximum number of suspects, about 150 bytes each. Holds all requests of a few hundred
/// endpoints that crash at the same time.
constexpr std::size_t maxSuspects = 4096;

} // namespace

std::vector<std::string> CrashCounter::recordCrash(const Hash128 &digest,
                                                   const std::string &endpoint, TimePoint sentAt,
                                                   TimePoint brokeAt, std::size_t threshold)
{
    if (!m_suspects.contains(digest)) {
        evictIfFull();
    }
    Suspect &suspect = m_suspects[digest];
    if (m_clock.now() - suspect.lastCrashAt > suspectRetention) {
        suspect.endpoints.clear();
    }
    const bool isFirst = suspect.endpoints.empty();
    const bool isSameCrash = !isFirst && suspect.endpoints.back() == endpoint
                             && brokeAt - suspect.lastCrashAt < sameCrashWindow;
    if (!isFirst && (isSameCrash || sentAt < suspect.lastCrashAt)) {
        return {};
    }
    suspect.endpoints.push_back(endpoint);
    suspect.lastCrashAt = brokeAt;
    return suspect.endpoints.size() < threshold ? std::vector<std::string>() : suspect.endpoints;
}

void CrashCounter::evictIfFull()
{
    if (m_suspects.size() < maxSuspects) {
        return;
    }
    const TimePoint now = m_clock.now();
    absl::erase_if(m_suspects, [now](const auto &entry) {
        return now - entry.second.lastCrashAt > suspectRetention;
    });
    if (m_suspects.size() < maxSuspects) {
        return;
    }
    // The suspects with the fewest crashes, and the oldest of them, are the least likely cause.
    const auto isLessSuspicious = [](const auto &a, const auto &b) {
        return std::pair(a.second.endpoints.size(), a.second.lastCrashAt)
               < std::pair(b.second.endpoints.size(), b.second.lastCrashAt);
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), isLessSuspicious));
}

} // namespace harelink
