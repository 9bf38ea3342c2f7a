//===- harelink/Kernel/routing.h - Choice of an endpoint --------*- C++ -*-===//
///
/// \file
/// Which endpoint of a pool gets a call, and what is learnt from each call
/// about its endpoint's health and limit.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_ROUTING_H
#define HARELINK_KERNEL_ROUTING_H

#include "harelink/Kernel/snapshot.h"
#include "harelink/Kernel/types.h"
#include "harelink/Support/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace harelink {

/// What a model engine has to read before it answers.
struct PromptInfo
{
    std::uint64_t tokens = 0;       ///< Of the whole prompt.
    std::uint64_t cachedTokens = 0; ///< Of these, what the home has likely read before.
    double tokensPerSecond = 1;     ///< That an engine reads.
    Duration slack{};               ///< Until the first event is wanted.
    std::string dataCentre;         ///< Where its inputs are; empty for anywhere.
    std::uint64_t inputBytes = 0;
};

/// What a choice may look at.
struct RoutingQuery
{
    const PoolEntry &pool;
    TimePoint now;
    const EndpointEntry *preferred =
        nullptr;                          ///< Likely has the prompt at hand; null where unknown.
    const EndpointEntry *avoid = nullptr; ///< Failed this request just now; last resort only.
    const PromptInfo *prompt = nullptr;   ///< Null where nothing is known of one.
    const RegionLimit *regions = nullptr; ///< Null where all are allowed.
    bool coldOnly = false; ///< Only cold endpoints are chosen, that this daemon may send to.
    /// Only endpoints are chosen that are known to be warm, or get no more of this daemon than
    /// its part of what they bear while they are cold.
    bool requiresWarm = false;
};

/// Whether \p entry is neither leaving nor ejected, and its data centre is not drained.
[[nodiscard]] bool isUsable(const EndpointEntry &entry, TimePoint now);
/// When a rate limit that \p entry has stated, or a pause that it asked for, lets this daemon
/// send to it; \p now where it may send at once.
[[nodiscard]] TimePoint availableAt(const EndpointEntry &entry, TimePoint now);
/// Takes this daemon's turn at \p entry; false where another worker has taken it, or where
/// the endpoint is not open.
[[nodiscard]] bool claimSendSlot(const EndpointEntry &entry, TimePoint now);
/// When the first endpoint of \p pool opens; nothing where one is open, as far as rate limits
/// and pauses are concerned, or where none will be.
[[nodiscard]] std::optional<TimePoint> unavailableUntil(const PoolEntry &pool,
                                                        const RegionLimit &regions, TimePoint now);
/// How many requests the endpoints of a closed pool accept from this daemon until \p until.
[[nodiscard]] std::size_t sendSlotsUntil(const PoolEntry &pool, const RegionLimit &regions,
                                         TimePoint now, TimePoint until);
/// Whether \p entry has been ejected and has not yet shown that it is back.
[[nodiscard]] bool isOnProbation(const EndpointEntry &entry);
/// Whether \p entry takes calls of this daemon, as far as it has room for them.
[[nodiscard]] bool acceptsCalls(const EndpointEntry &entry, TimePoint now);
/// Whether \p entry may get one more call now.
[[nodiscard]] bool isEligible(const EndpointEntry &entry, TimePoint now);

/// The same for what \p query asks for: cold endpoints get nothing where others can serve.
[[nodiscard]] bool isEligible(const EndpointEntry &entry, const RoutingQuery &query);

/// Chooses endpoints. Each worker has its own, so a policy needs no lock.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;
    /// An eligible endpoint of the pool, or null where there is none.
    virtual const EndpointEntry *choose(const RoutingQuery &query, Random &random) = 0;
};

/// The time that a call to \p entry takes lately; longer where its calls in flight
/// have all been silent for longer.
[[nodiscard]] Duration expectedLatency(const EndpointEntry &entry, TimePoint now);
/// The tokens that \p entry would have to read for \p prompt, where it is the home or not.
[[nodiscard]] std::uint64_t uncachedTokens(const PromptInfo &prompt, bool isPreferred);
/// The time until \p entry would have read \p prompt, behind what it was sent before.
[[nodiscard]] Duration prefillTime(const EndpointEntry &entry, const PromptInfo &prompt,
                                   bool isPreferred);
/// Takes in that a call is sent to \p entry.
void recordSend(const EndpointEntry &entry, TimePoint now);
/// Takes in that a part of an answer came from \p entry.
void recordProgress(const EndpointEntry &entry, TimePoint now);
/// Takes in that a call to \p entry was answered after \p elapsed.
void recordSuccess(const EndpointEntry &entry, Duration elapsed, TimePoint now);
/// Records that \p entry wants nothing from this daemon for \p pause. A success of another
/// call does not end it, nor does a shorter pause.
void recordPause(const EndpointEntry &entry, Duration pause, TimePoint now);
/// Takes in that a call to \p entry failed.
///
/// Several failures in a row eject the endpoint for a time that doubles, but
/// never more than half of \p pool at once, except where nobody could be reached.
void recordFailure(const PoolEntry &pool, const EndpointEntry &entry, SendEvidence evidence,
                   TimePoint now);

/// Takes in that a call to \p entry was given up on after \p elapsed, where calls to
/// its pool usually take \p usual. One that took much longer counts as a failure.
void recordAbandonedCall(const PoolEntry &pool, const EndpointEntry &entry, Duration elapsed,
                         Duration usual, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_ROUTING_H
