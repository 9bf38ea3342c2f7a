//===- harelink/Kernel/routing.h - Endpoint selection -----------*- C++ -*-===//
///
/// \file
/// Selects the endpoint of a pool for a call, and tracks the health and the
/// limits of each endpoint from the outcome of its calls.
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
#include <vector>

namespace harelink {

/// The prompt of a request to a model engine, as routing policies see it.
struct PromptInfo
{
    std::uint64_t tokens = 0;       ///< Of the whole prompt.
    std::uint64_t cachedTokens = 0; ///< Of these, likely in the preferred endpoint's cache.
    double tokensPerSecond = 1;     ///< Prefill rate of an engine.
    Duration slack{};               ///< Time left until the first event is due.
    std::string dataCentre;         ///< Where its inputs are stored; empty for anywhere.
    std::uint64_t inputBytes = 0;
};

/// The input of a routing decision.
struct RoutingQuery
{
    const PoolEntry &pool;
    TimePoint now;
    const EndpointEntry *preferred = nullptr; ///< Likely has the prompt cached; null if unknown.
    const EndpointEntry *avoid = nullptr;     ///< Just failed this request; last resort only.
    const PromptInfo *prompt = nullptr;       ///< Null if the request has no known prompt.
    const EndpointFilter *filter = nullptr;   ///< Null if all endpoints are allowed.
    bool coldOnly = false; ///< Selects only cold endpoints that this daemon may send to.
    /// Selects only endpoints that are known to be warm, or that get no more from this daemon
    /// than its share of what they accept while cold.
    bool requiresWarm = false;
    bool allowsDoubtful = false; ///< Also selects endpoints whose answers may be parts.
};

/// Returns whether \p entry is neither leaving nor ejected, and its data centre is not drained.
[[nodiscard]] bool isUsable(const EndpointEntry &entry, TimePoint now);
/// Returns the earliest time at which this daemon may send to \p entry under the rate limit that
/// it announced and the pause that it requested; \p now if it may send at once.
[[nodiscard]] TimePoint availableAt(const EndpointEntry &entry, TimePoint now);
/// Claims this daemon's send slot at \p entry. Returns false if another worker has claimed it,
/// or if the endpoint is not available.
[[nodiscard]] bool claimSendSlot(const EndpointEntry &entry, TimePoint now);
/// Returns when this daemon may first send to an endpoint of \p pool. Returns std::nullopt if it
/// may send to one now, or if no rate limit or pause holds back any that may serve.
[[nodiscard]] std::optional<TimePoint>
unavailableUntil(const PoolEntry &pool, const EndpointFilter &filter, TimePoint now);
/// Returns the number of requests that the endpoints of an unavailable pool accept from this
/// daemon until \p until.
[[nodiscard]] std::size_t sendSlotsUntil(const PoolEntry &pool, const EndpointFilter &filter,
                                         TimePoint now, TimePoint until);
/// Returns whether \p entry was ejected and has not answered a call successfully since.
[[nodiscard]] bool isOnProbation(const EndpointEntry &entry);
/// Returns whether \p entry accepts calls of this daemon, leaving aside its free slots.
[[nodiscard]] bool acceptsCalls(const EndpointEntry &entry, TimePoint now);
/// Returns whether \p entry may get one more call now.
[[nodiscard]] bool isEligible(const EndpointEntry &entry, TimePoint now);

/// Returns whether the answers of \p entry may be parts, so that it is chosen last.
[[nodiscard]] bool isDoubtful(const EndpointEntry &entry, TimePoint now);

/// Returns whether \p entry may get one more call now and satisfies \p query. Cold endpoints
/// are eligible only for a query with coldOnly set.
[[nodiscard]] bool isEligible(const EndpointEntry &entry, const RoutingQuery &query);

/// Selects endpoints. Each worker owns an instance, so that a policy needs no lock.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;
    /// Returns an eligible endpoint of the pool, or null if there is none.
    virtual const EndpointEntry *choose(const RoutingQuery &query, Random &random) = 0;
};

/// Returns the recent latency of calls to \p entry at the pace that it reports, or the time since
/// its last progress if calls are in flight and that is longer.
[[nodiscard]] Duration expectedLatency(const EndpointEntry &entry, TimePoint now);
/// Returns the tokens of \p prompt that an endpoint has to prefill, depending on whether it is
/// the preferred one.
[[nodiscard]] std::uint64_t uncachedTokens(const PromptInfo &prompt, bool isPreferred);
/// Returns the time until \p entry would have prefilled \p prompt, behind its prefill backlog, at
/// the pace that it would have with the request; see endpointpace.h.
[[nodiscard]] Duration prefillTime(const EndpointEntry &entry, const PromptInfo &prompt,
                                   bool isPreferred, TimePoint now);
/// Records that a call is sent to \p entry.
void recordSend(const EndpointEntry &entry, TimePoint now);
/// Records that a part of an answer arrived from \p entry.
void recordProgress(const EndpointEntry &entry, TimePoint now);
/// Records that a call to \p entry was answered after \p elapsed.
void recordSuccess(const EndpointEntry &entry, Duration elapsed, TimePoint now);
/// Records that an answer of \p entry may be a part, which no error shows. For some time other
/// endpoints are chosen before it, and the short time of the part does not make it seem faster
/// than \p usual, the typical time of a call to its pool. It is not ejected: endpoints that never
/// mark the end of an answer are needed as much as others.
void recordDoubt(const EndpointEntry &entry, Duration usual, TimePoint now);
/// Records that an answer of \p entry without a marked end was whole.
void recordTrust(const EndpointEntry &entry);
/// Records how many rejections per second \p pool's endpoint \p entry bears from all daemons;
/// std::nullopt if it states none. Endpoints of a pool are brittle together, so one that is makes
/// all others so until they answer.
///
/// \param daemons number of daemons that share the endpoint.
void recordRejectionLimit(const PoolEntry &pool, const EndpointEntry &entry,
                          std::optional<double> perSecond, int daemons);
/// Records that \p entry requested no calls from this daemon for \p pause. Neither the success
/// of another call nor a shorter pause ends it.
void recordPause(const EndpointEntry &entry, Duration pause, TimePoint now);
/// Records that a call to \p entry failed.
///
/// Consecutive failures eject the endpoint for a time that doubles. At most half of \p pool is
/// ejected at once, except for endpoints that could not be reached.
void recordFailure(const PoolEntry &pool, const EndpointEntry &entry, SendEvidence evidence,
                   TimePoint now);

/// Returns the names of the pools and pool partitions to which this daemon has lost the path.
///
/// \param hasRelay whether a peer may make calls for this daemon.
[[nodiscard]] std::vector<std::string> updateLostPools(const Snapshot &snapshot, bool hasRelay);

/// Records that a call to \p entry was abandoned after \p elapsed; \p usual is the typical time
/// of a call to its pool. A call that took much longer counts as a failure.
void recordAbandonedCall(const PoolEntry &pool, const EndpointEntry &entry, Duration elapsed,
                         Duration usual, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_ROUTING_H
