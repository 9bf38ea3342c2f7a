//===- routing.cpp - Endpoint selection -----------------------------------===//

#include "harelink/Kernel/routing.h"

#include "harelink/Kernel/coldstart.h"
#include "harelink/Kernel/endpointpace.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Consecutive failures that eject an endpoint.
constexpr int failuresToEject = 3;
/// Duration of the first ejection; each further failure doubles it.
constexpr milliseconds firstEjection{200};
constexpr milliseconds maxEjection{10'000};
/// Maximum ejection after refused connections, since another attempt is cheap.
constexpr milliseconds maxUnreachableEjection{400};
/// How long other endpoints are chosen before one whose answers may be parts.
constexpr milliseconds doubtPeriod{10'000};
/// An abandoned call counts as a failure if it took longer than this multiple of the usual time.
constexpr int slowCallFactor = 2;
/// After a refusal, an endpoint is assumed to be full for the latency of a call divided by this,
/// clamped to minFullTime and maxFullTime.
constexpr int fullTimeDivisor = 4;
constexpr milliseconds minFullTime{2};
constexpr milliseconds maxFullTime{250};
/// A daemon stays away from a brittle endpoint that rejected its call for as long as its share of
/// the rejections takes, at most maxRejectionPause.
constexpr std::chrono::seconds maxRejectionPause{5};
constexpr double minRejectionRate = 0.1;
/// A sample moves the smoothed latency by the difference divided by this.
constexpr std::int64_t smoothingDivisor = 8;
/// At most the size of a pool divided by this is ejected at once.
constexpr std::size_t ejectablePoolDivisor = 2;

Duration fullTime(const EndpointLoad &load)
{
    const std::chrono::microseconds call(load.latencyMicros.load(std::memory_order_relaxed));
    return std::clamp<Duration>(call / fullTimeDivisor, minFullTime, maxFullTime);
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
    return ejected * ejectablePoolDivisor <= pool.endpoints.size();
}

Duration ejectionTime(int failures, milliseconds longest)
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
    const std::int64_t after = before == 0 ? sample : before + (sample - before) / smoothingDivisor;
    load.latencyMicros.store(std::max<std::int64_t>(after, 1), std::memory_order_relaxed);
}

/// Returns the start of this daemon's current send slot, or of the next one.
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

/// Returns when \p entry is next expected to accept a request of this daemon.
TimePoint nextAvailableAt(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    TimePoint available =
        std::max(availableAt(entry, now),
                 fromSteadyNanos(load.ejectedUntil.load(std::memory_order_relaxed)));
    if (isCold(entry, now) && !maySendWhileCold(entry, now)) {
        available =
            std::max(available, fromSteadyNanos(load.coldUntil.load(std::memory_order_relaxed)));
    }
    return available;
}

/// Makes the endpoints of \p pool usable again that were ejected since this daemon could not
/// connect to them.
void forgiveEndpoints(const PoolEntry &pool)
{
    for (const EndpointEntry &endpoint : pool.endpoints) {
        endpoint.load->failures.store(0, std::memory_order_relaxed);
        endpoint.load->ejectedUntil.store(0, std::memory_order_relaxed);
    }
}

/// Sets how \p entry is spared; see recordRejectionLimit().
void setRejectionLimit(const EndpointEntry &entry, std::optional<double> perSecond, int daemons)
{
    EndpointLoad &load = *entry.load;
    if (!perSecond) {
        load.brittleSlots.store(0, std::memory_order_relaxed);
        load.rejectionPause.store(0, std::memory_order_relaxed);
        return;
    }
    const std::chrono::duration<double> pause(daemons / std::max(*perSecond, minRejectionRate));
    load.rejectionPause.store(std::chrono::duration_cast<std::chrono::nanoseconds>(
                                  std::min<std::chrono::duration<double>>(pause, maxRejectionPause))
                                  .count(),
                              std::memory_order_relaxed);
    load.brittleSlots.store(std::max(1, entry.spec->slots / std::max(1, daemons)),
                            std::memory_order_relaxed);
}

void lowerLimit(EndpointLoad &load)
{
    const int limit = load.concurrencyLimit.load(std::memory_order_relaxed);
    load.concurrencyLimit.store(std::max(1, limit * 3 / 4), std::memory_order_relaxed);
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
    // A send slot may expire while the endpoint is paused.
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
    const std::int64_t slot = sendSlotAt(load, steadyNanos(now));
    // Slots that never expire keep an interval between sends; the others are at fixed times.
    const bool expires = load.slotLength.load(std::memory_order_relaxed) > 0;
    const std::int64_t next = (expires ? slot : steadyNanos(now)) + interval;
    return availableAt(entry, now) <= now
           && load.nextSendAt.compare_exchange_strong(known, next, std::memory_order_relaxed);
}

std::optional<TimePoint> unavailableUntil(const PoolEntry &pool, const EndpointFilter &filter,
                                          TimePoint now)
{
    std::optional<TimePoint> first;
    bool isLimited = false;
    for (const EndpointEntry &entry : pool.endpoints) {
        if (!mayServe(entry, filter)) {
            continue;
        }
        const TimePoint available = nextAvailableAt(entry, now);
        if (available <= now) {
            return std::nullopt;
        }
        isLimited = isLimited || availableAt(entry, now) > now;
        first = std::min(first.value_or(available), available);
    }
    return isLimited ? first : std::nullopt;
}

std::size_t sendSlotsUntil(const PoolEntry &pool, const EndpointFilter &filter, TimePoint now,
                           TimePoint until)
{
    std::size_t sendSlots = 0;
    for (const EndpointEntry &entry : pool.endpoints) {
        const TimePoint available = nextAvailableAt(entry, now);
        if (!mayServe(entry, filter) || available > until) {
            continue;
        }
        const std::int64_t interval = entry.load->sendInterval.load(std::memory_order_relaxed);
        sendSlots += interval == 0
                         ? static_cast<std::size_t>(std::max(1, entry.spec->slots))
                         : 1
                               + static_cast<std::size_t>((until - available)
                                                          / std::chrono::nanoseconds(interval));
    }
    return sendSlots;
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
    // After an ejection, one call at a time probes whether the endpoint has recovered.
    if (isOnProbation(entry)) {
        return inFlight == 0;
    }
    const int brittleSlots = load.brittleSlots.load(std::memory_order_relaxed);
    return inFlight < load.concurrencyLimit.load(std::memory_order_relaxed)
           && (brittleSlots == 0 || inFlight < brittleSlots);
}

bool isDoubtful(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->doubtedUntil.load(std::memory_order_relaxed) > steadyNanos(now);
}

bool isEligible(const EndpointEntry &entry, const RoutingQuery &query)
{
    if (!query.allowsDoubtful && isDoubtful(entry, query.now)) {
        return false;
    }
    if (query.filter != nullptr && !query.filter->allows(entry)) {
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
    const std::chrono::microseconds atUsualPace(load.latencyMicros.load(std::memory_order_relaxed));
    const auto usual = std::chrono::duration_cast<std::chrono::microseconds>(
        atUsualPace * reportedPace(entry, now));
    if (load.inFlight.load(std::memory_order_relaxed) == 0) {
        return usual;
    }
    const std::int64_t sinceProgress =
        steadyNanos(now) - load.progressAt.load(std::memory_order_relaxed);
    return std::max<Duration>(usual, std::chrono::nanoseconds(sinceProgress));
}

std::uint64_t uncachedTokens(const PromptInfo &prompt, bool isPreferred)
{
    return isPreferred ? prompt.tokens - std::min(prompt.tokens, prompt.cachedTokens)
                       : prompt.tokens;
}

Duration prefillTime(const EndpointEntry &entry, const PromptInfo &prompt, bool isPreferred,
                     TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const std::int64_t backlog = load.prefillBacklog.load(std::memory_order_relaxed)
                                 + load.peerPrefillBacklog.load(std::memory_order_relaxed);
    const double tokens = static_cast<double>(std::max<std::int64_t>(0, backlog))
                          + static_cast<double>(uncachedTokens(prompt, isPreferred));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        tokens * nextPace(entry, now) / std::max(1.0, prompt.tokensPerSecond)));
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
    // Latencies are kept at the usual pace, as expectedLatency() multiplies them by the current
    // one.
    addLatency(load, std::chrono::duration_cast<Duration>(elapsed / reportedPace(entry, now)));
    recordProgress(entry, now);
    load.failures.store(0, std::memory_order_relaxed);
    if (load.rejectionPause.load(std::memory_order_relaxed) == 0) {
        load.fullUntil.store(0, std::memory_order_relaxed);
    }
    const int limit = load.concurrencyLimit.load(std::memory_order_relaxed);
    const bool wasFull = load.inFlight.load(std::memory_order_relaxed) + 1 >= limit;
    if (wasFull && limit < entry.spec->slots) {
        load.concurrencyLimit.store(limit + 1, std::memory_order_relaxed);
    }
}

void recordDoubt(const EndpointEntry &entry, Duration usual, TimePoint now)
{
    using std::chrono::microseconds;
    EndpointLoad &load = *entry.load;
    const std::int64_t usualMicros = std::chrono::duration_cast<microseconds>(usual).count();
    const std::int64_t latency = load.latencyMicros.load(std::memory_order_relaxed);
    load.latencyMicros.store(std::max(latency, usualMicros), std::memory_order_relaxed);
    load.doubtedUntil.store(steadyNanos(now + doubtPeriod), std::memory_order_relaxed);
}

void recordTrust(const EndpointEntry &entry)
{
    entry.load->doubtedUntil.store(0, std::memory_order_relaxed);
}

void recordRejectionLimit(const PoolEntry &pool, const EndpointEntry &entry,
                          std::optional<double> perSecond, int daemons)
{
    setRejectionLimit(entry, perSecond, daemons);
    for (const EndpointEntry &other : pool.endpoints) {
        if (perSecond && other.load->brittleSlots.load(std::memory_order_relaxed) == 0) {
            setRejectionLimit(other, perSecond, daemons);
        }
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
        // The endpoint is healthy but full, since other daemons send to it too: lower the
        // concurrency limit, and retry only after a call has had time to finish.
        lowerLimit(load);
        load.report.recordRefusal(entry.spec->slots, now);
        const Duration pause =
            std::chrono::nanoseconds(load.rejectionPause.load(std::memory_order_relaxed));
        load.fullUntil.store(steadyNanos(now + std::max(fullTime(load), pause)),
                             std::memory_order_relaxed);
        return;
    }
    const bool unreachable = evidence == SendEvidence::NothingSent;
    if (unreachable && pool.path != nullptr) {
        if (pool.path->recordUnreachable(entry.placementHash, pool.endpoints.size())) {
            forgiveEndpoints(pool);
        }
        if (pool.path->isLost()) {
            return;
        }
    }
    const int failures = load.failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < failuresToEject) {
        return;
    }
    // Ejecting an endpoint that cannot be reached costs no capacity, so the limit on ejected
    // endpoints does not apply.
    if (!unreachable && !mayEject(pool, entry, now)) {
        load.failures.store(failuresToEject - 1, std::memory_order_relaxed);
        return;
    }
    const Duration length =
        ejectionTime(failures, unreachable ? maxUnreachableEjection : maxEjection);
    load.ejectedUntil.store(steadyNanos(now + length), std::memory_order_relaxed);
}

std::vector<std::string> updateLostPools(const Snapshot &snapshot, bool hasRelay)
{
    std::vector<std::string> lost;
    const auto update = [&](const auto &pools) {
        for (const auto &[name, pool] : pools) {
            pool.path->setHasRelay(hasRelay);
            if (pool.isPathLost()) {
                lost.push_back(name);
            }
        }
    };
    update(snapshot.pools);
    update(snapshot.poolPartitions);
    std::sort(lost.begin(), lost.end());
    return lost;
}

void recordAbandonedCall(const PoolEntry &pool, const EndpointEntry &entry, Duration elapsed,
                         Duration usual, TimePoint now)
{
    addLatency(*entry.load,
               std::chrono::duration_cast<Duration>(elapsed / reportedPace(entry, now)));
    if (elapsed > usual * slowCallFactor) {
        recordFailure(pool, entry, SendEvidence::Sent, now);
    }
}

} // namespace harelink
