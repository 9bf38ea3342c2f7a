//===- routing.cpp - Endpoint health and limits ---------------------------===//

#include "harelink/Kernel/routing.h"

#include "harelink/Kernel/coldstart.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Failures in a row that eject an endpoint.
constexpr int failuresToEject = 3;
/// The first ejection's length; each further failure doubles it.
constexpr milliseconds firstEjection{200};
constexpr milliseconds longestEjection{10'000};
/// The longest after connections that were refused: asking again costs next to nothing.
constexpr milliseconds longestUnreachable{400};
/// A call given up on counts against its endpoint from this many usual times on.
constexpr int slowCalls = 2;
/// After a refusal an endpoint is taken to be full for this part of a call's time,
/// within bounds.
constexpr int fullShare = 4;
constexpr milliseconds leastFullTime{2};
constexpr milliseconds mostFullTime{250};
/// A smoothed latency moves by this part of the difference.
constexpr std::int64_t smoothing = 8;
/// At most this part of a pool is ejected at once.
constexpr std::size_t ejectableShare = 2;

Duration fullTime(const EndpointLoad &load)
{
    const std::chrono::microseconds call(load.latencyMicros.load(std::memory_order_relaxed));
    return std::clamp<Duration>(call / fullShare, leastFullTime, mostFullTime);
}

bool isEjected(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->ejectedUntil.load(std::memory_order_relaxed) > steadyNanos(now);
}

bool mayEject(const PoolEntry &pool, const EndpointEntry &entry, TimePoint now)
{
    std::size_t ejected = 1;
    for (const EndpointEntry &other : pool.endpoints) {
        if (other.load != entry.load && isEjected(other, now)) {
            ++ejected;
        }
    }
    return ejected * ejectableShare <= pool.endpoints.size();
}

Duration ejectionAfter(int failures, milliseconds longest)
{
    milliseconds length = firstEjection;
    for (int i = failuresToEject; i < failures && length < longest; ++i) {
        length *= 2;
    }
    return std::min(length, longest);
}

void addLatency(EndpointLoad &load, Duration elapsed)
{
    const auto sample = std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
    const std::int64_t before = load.latencyMicros.load(std::memory_order_relaxed);
    const std::int64_t after = before == 0 ? sample : before + (sample - before) / smoothing;
    load.latencyMicros.store(std::max<std::int64_t>(after, 1), std::memory_order_relaxed);
}

/// The begin of the turn that this daemon has at \p now, or of its next one.
std::int64_t sendSlotAt(const EndpointLoad &load, std::int64_t now)
{
    const std::int64_t next = load.nextSendAt.load(std::memory_order_relaxed);
    const std::int64_t length = load.slotLength.load(std::memory_order_relaxed);
    if (length == 0 || now < next + length) {
        return next;
    }
    const std::int64_t interval =
        std::max<std::int64_t>(1, load.sendInterval.load(std::memory_order_relaxed));
    const std::int64_t begin = next + (now - next) / interval * interval;
    return now < begin + length ? begin : begin + interval;
}

/// When \p entry next takes a request of this daemon, as far as is known.
TimePoint nextAvailableAt(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    TimePoint opens = std::max(availableAt(entry, now),
                               fromSteadyNanos(load.ejectedUntil.load(std::memory_order_relaxed)));
    if (isCold(entry, now) && !maySendWhileCold(entry, now)) {
        opens = std::max(opens, fromSteadyNanos(load.coldUntil.load(std::memory_order_relaxed)));
    }
    return opens;
}

void lowerLimit(EndpointLoad &load)
{
    const int limit = load.limit.load(std::memory_order_relaxed);
    load.limit.store(std::max(1, limit * 3 / 4), std::memory_order_relaxed);
}

} // namespace

bool isUsable(const EndpointEntry &entry, TimePoint now)
{
    return !entry.isDrained && !entry.load->leaving.load(std::memory_order_relaxed)
           && !isEjected(entry, now);
}

TimePoint availableAt(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const TimePoint resumes =
        std::max(now, fromSteadyNanos(load.pausedUntil.load(std::memory_order_relaxed)));
    if (load.sendInterval.load(std::memory_order_relaxed) == 0) {
        return resumes;
    }
    // A turn may pass while the endpoint is paused.
    return std::max(resumes, fromSteadyNanos(sendSlotAt(load, steadyNanos(resumes))));
}

bool claimSendSlot(const EndpointEntry &entry, TimePoint now)
{
    EndpointLoad &load = *entry.load;
    const std::int64_t interval = load.sendInterval.load(std::memory_order_relaxed);
    if (interval == 0) {
        return availableAt(entry, now) <= now;
    }
    std::int64_t known = load.nextSendAt.load(std::memory_order_relaxed);
    const std::int64_t turn = sendSlotAt(load, steadyNanos(now));
    // Turns that are never lost leave an interval between sends, others come at fixed times.
    const bool isLost = load.slotLength.load(std::memory_order_relaxed) > 0;
    const std::int64_t next = (isLost ? turn : steadyNanos(now)) + interval;
    return availableAt(entry, now) <= now
           && load.nextSendAt.compare_exchange_strong(known, next, std::memory_order_relaxed);
}

std::optional<TimePoint> unavailableUntil(const PoolEntry &pool, const RegionLimit &regions,
                                          TimePoint now)
{
    std::optional<TimePoint> first;
    bool isLimited = false;
    for (const EndpointEntry &entry : pool.endpoints) {
        if (!mayServe(entry, regions)) {
            continue;
        }
        const TimePoint opens = nextAvailableAt(entry, now);
        if (opens <= now) {
            return std::nullopt;
        }
        isLimited = isLimited || availableAt(entry, now) > now;
        first = std::min(first.value_or(opens), opens);
    }
    return isLimited ? first : std::nullopt;
}

std::size_t sendSlotsUntil(const PoolEntry &pool, const RegionLimit &regions, TimePoint now,
                           TimePoint until)
{
    std::size_t turns = 0;
    for (const EndpointEntry &entry : pool.endpoints) {
        const TimePoint opens = nextAvailableAt(entry, now);
        if (!mayServe(entry, regions) || opens > until) {
            continue;
        }
        const std::int64_t interval = entry.load->sendInterval.load(std::memory_order_relaxed);
        turns += interval == 0 ? static_cast<std::size_t>(std::max(1, entry.spec.slots))
                               : 1
                                     + static_cast<std::size_t>(
                                         (until - opens) / std::chrono::nanoseconds(interval));
    }
    return turns;
}

bool isOnProbation(const EndpointEntry &entry)
{
    return entry.load->failures.load(std::memory_order_relaxed) >= failuresToEject;
}

bool acceptsCalls(const EndpointEntry &entry, TimePoint now)
{
    const bool isWarm = !isCold(entry, now) || maySendWhileCold(entry, now);
    return isWarm && isUsable(entry, now) && !isOnProbation(entry)
           && availableAt(entry, now) <= now;
}

bool isEligible(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    if (!isUsable(entry, now) || availableAt(entry, now) > now
        || load.fullUntil.load(std::memory_order_relaxed) > steadyNanos(now)) {
        return false;
    }
    const int inFlight = load.inFlight.load(std::memory_order_relaxed);
    // After an ejection one call at a time probes whether the endpoint is back.
    if (isOnProbation(entry)) {
        return inFlight == 0;
    }
    return inFlight < load.limit.load(std::memory_order_relaxed);
}

bool isEligible(const EndpointEntry &entry, const RoutingQuery &query)
{
    if (query.regions != nullptr && !query.regions->allows(entry.region)) {
        return false;
    }
    if (isCold(entry, query.now)) {
        return query.coldOnly && maySendWhileCold(entry, query.now) && isEligible(entry, query.now);
    }
    const bool isSafe =
        !query.requiresWarm || isKnownWarm(entry, query.now) || maySendWhileCold(entry, query.now);
    return !query.coldOnly && isSafe && isEligible(entry, query.now);
}

Duration expectedLatency(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const std::chrono::microseconds usual(load.latencyMicros.load(std::memory_order_relaxed));
    if (load.inFlight.load(std::memory_order_relaxed) == 0) {
        return usual;
    }
    const std::int64_t silent = steadyNanos(now) - load.progressAt.load(std::memory_order_relaxed);
    return std::max<Duration>(usual, std::chrono::nanoseconds(silent));
}

std::uint64_t uncachedTokens(const PromptInfo &prompt, bool isPreferred)
{
    return isPreferred ? prompt.tokens - std::min(prompt.tokens, prompt.cachedTokens)
                       : prompt.tokens;
}

Duration prefillTime(const EndpointEntry &entry, const PromptInfo &prompt, bool isPreferred)
{
    const EndpointLoad &load = *entry.load;
    const std::int64_t ahead = load.prefillBacklog.load(std::memory_order_relaxed)
                               + load.peerPrefillBacklog.load(std::memory_order_relaxed);
    const double tokens = static_cast<double>(std::max<std::int64_t>(0, ahead))
                          + static_cast<double>(uncachedTokens(prompt, isPreferred));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(tokens / std::max(1.0, prompt.tokensPerSecond)));
}

void recordSend(const EndpointEntry &entry, TimePoint now)
{
    entry.load->sentAt.store(steadyNanos(now), std::memory_order_relaxed);
    if (entry.load->inFlight.fetch_add(1, std::memory_order_relaxed) == 0) {
        entry.load->progressAt.store(steadyNanos(now), std::memory_order_relaxed);
    }
}

void recordProgress(const EndpointEntry &entry, TimePoint now)
{
    entry.load->progressAt.store(steadyNanos(now), std::memory_order_relaxed);
}

void recordSuccess(const EndpointEntry &entry, Duration elapsed, TimePoint now)
{
    EndpointLoad &load = *entry.load;
    addLatency(load, elapsed);
    recordProgress(entry, now);
    load.failures.store(0, std::memory_order_relaxed);
    load.fullUntil.store(0, std::memory_order_relaxed);
    const int limit = load.limit.load(std::memory_order_relaxed);
    const bool wasFull = load.inFlight.load(std::memory_order_relaxed) + 1 >= limit;
    if (wasFull && limit < entry.spec.slots) {
        load.limit.store(limit + 1, std::memory_order_relaxed);
    }
}

void recordPause(const EndpointEntry &entry, Duration pause, TimePoint now)
{
    std::atomic<std::int64_t> &until = entry.load->pausedUntil;
    const std::int64_t next = steadyNanos(now + pause);
    std::int64_t before = until.load(std::memory_order_relaxed);
    while (before < next && !until.compare_exchange_weak(before, next, std::memory_order_relaxed)) {
    }
}

void recordFailure(const PoolEntry &pool, const EndpointEntry &entry, SendEvidence evidence,
                   TimePoint now)
{
    EndpointLoad &load = *entry.load;
    if (evidence == SendEvidence::RefusedBeforeRun) {
        // It is well but full: others send to it too, so take a smaller part, and
        // ask again only when a call has had time to end.
        lowerLimit(load);
        load.fullUntil.store(steadyNanos(now + fullTime(load)), std::memory_order_relaxed);
        return;
    }
    const int failures = load.failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < failuresToEject) {
        return;
    }
    // Nobody is there: no share of the pool has to be kept for fear of a wrong verdict.
    const bool unreachable = evidence == SendEvidence::NothingSent;
    if (!unreachable && !mayEject(pool, entry, now)) {
        load.failures.store(failuresToEject - 1, std::memory_order_relaxed);
        return;
    }
    const Duration length =
        ejectionAfter(failures, unreachable ? longestUnreachable : longestEjection);
    load.ejectedUntil.store(steadyNanos(now + length), std::memory_order_relaxed);
}

void recordAbandonedCall(const PoolEntry &pool, const EndpointEntry &entry, Duration elapsed,
                         Duration usual, TimePoint now)
{
    addLatency(*entry.load, elapsed);
    if (elapsed > usual * slowCalls) {
        recordFailure(pool, entry, SendEvidence::Sent, now);
    }
}

} // namespace harelink
