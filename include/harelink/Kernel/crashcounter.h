//===- harelink/Kernel/crashcounter.h - Ends under a request ----*- C++ -*-===//
///
/// \file
/// Counts, by the digest of a request, the endpoints that ended under it, and says when
/// the request has to be the cause.
///
/// Whenever an endpoint ends, all requests that it runs are suspects, most of them
/// innocent. What tells the guilty one: it is there at the next end too, and never runs
/// to a good end. An end counts only where the request had been sent after the one that
/// counted before, so that endpoints that end together, for a cause of their own, accuse
/// nobody, however often the request is asked for.
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

/// The ends that one daemon has heard of.
class CrashCounter
{
public:
    /// \param clock outlives the counter.
    explicit CrashCounter(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Takes in that \p endpoint ended under a request; gives the endpoints that ended under
    /// such requests where they are enough to tell, and nothing otherwise.
    [[nodiscard]] std::vector<std::string> recordCrash(const Hash128 &digest,
                                                       const std::string &endpoint,
                                                       TimePoint sentAt, TimePoint brokeAt);
    /// Such a request ran to a good end, or what it did is no longer held against it.
    void clear(const Hash128 &digest) { m_suspects.erase(digest); }
    /// How many requests are held in suspicion.
    [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::vector<std::string> endpoints; ///< One for each end that counted, in order.
        TimePoint lastEnd;
    };

    void makeRoom();

    const Clock &m_clock;
    absl::flat_hash_map<Hash128, Suspect> m_suspects;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHCOUNTER_H
