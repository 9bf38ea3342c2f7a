//===- harelink/Kernel/crashcounter.h - Crashes per request -----*- C++ -*-===//
///
/// \file
/// Counts the endpoint crashes during a request, by the digest of the request, and determines
/// when the request must be their cause.
///
/// Whenever an endpoint crashes, all requests that it runs are suspects, most of them
/// unrelated to the crash. The request that causes it is also running at the next crash and
/// never completes. A crash is counted only if the request was sent after the last counted
/// crash. Endpoints that crash together for an unrelated reason therefore count once for a
/// request, no matter how often it is sent.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CRASHCOUNTER_H
#define HARELINK_KERNEL_CRASHCOUNTER_H

#include "harelink/Support/clock.h"
#include "harelink/Support/hash.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace harelink {

/// The crashes that are known to one daemon.
class CrashCounter
{
public:
    /// \param clock must outlive the counter.
    explicit CrashCounter(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Records that \p endpoint crashed during a call that was sent at \p sentAt and whose
    /// connection closed at \p brokeAt. Returns the endpoints of all counted crashes if there are
    /// \p threshold of them, otherwise an empty list.
    [[nodiscard]] std::vector<std::string> recordCrash(const Hash128 &digest,
                                                       const std::string &endpoint,
                                                       TimePoint sentAt, TimePoint brokeAt,
                                                       std::size_t threshold);
    /// Discards the crashes of \p digest: such a request completed, or is quarantined by now.
    void clear(const Hash128 &digest) { m_suspects.erase(digest); }
    /// Number of suspected requests.
    [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::vector<std::string> endpoints; ///< One entry per counted crash, in order.
        TimePoint lastCrashAt;
    };

    void evictIfFull();

    const Clock &m_clock;
    absl::flat_hash_map<Hash128, Suspect> m_suspects;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHCOUNTER_H
