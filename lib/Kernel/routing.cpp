//===- routing.cpp - Endpoint health and limits ---------------------------===//

#include "harelink/Kernel/routing.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Failures in a row that eject an endpoint.
constexpr int failuresToEject = 3;
/// The first ejection's length; each further failure doubles it.
constexpr milliseconds firstEjection{200};
constexpr milliseconds longestEjection{10'000};
/// After a refusal an endpoint is taken to be full for this part of a call's time,
/// within bounds.
constexpr int fullShare = 4;
constexpr milliseconds leastFullTime{2};
constexpr milliseconds mostFullTime{250};
/// A smoothed latency moves by this part of the difference.
constexpr std::int64_t smoothing = 8;
/// At most this part of a pool is ejected at once.
constexpr std::size_t ejectableShare = 2;

std::int64_t nanos(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

Duration fullTime(const EndpointLoad &load)
{
    const std::chrono::microseconds call(load.latencyMicros.load(std::memory_order_relaxed));
    return std::clamp<Duration>(call / fullShare, leastFullTime, mostFullTime);
}

bool isEjected(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->ejectedUntil.load(std::memory_order_relaxed) > nanos(now);
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

Duration ejectionAfter(int failures)
{
    milliseconds length = firstEjection;
    for (int i = failuresToEject; i < failures && length < longestEjection; ++i) {
        length *= 2;
    }
    return std::min(length, longestEjection);
}

void lowerLimit(EndpointLoad &load)
{
    const int limit = load.limit.load(std::memory_order_relaxed);
    load.limit.store(std::max(1, limit * 3 / 4), std::memory_order_relaxed);
}

} // namespace

bool isUsable(const EndpointEntry &entry, TimePoint now)
{
    return !entry.load->leaving.load(std::memory_order_relaxed) && !isEjected(entry, now);
}

bool isEligible(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    if (!isUsable(entry, now) || load.fullUntil.load(std::memory_order_relaxed) > nanos(now)) {
        return false;
    }
    const int inFlight = load.inFlight.load(std::memory_order_relaxed);
    // After an ejection one call at a time probes whether the endpoint is back.
    if (load.failures.load(std::memory_order_relaxed) >= failuresToEject) {
        return inFlight == 0;
    }
    return inFlight < load.limit.load(std::memory_order_relaxed);
}

void noteSuccess(const EndpointEntry &entry, Duration elapsed)
{
    EndpointLoad &load = *entry.load;
    const auto sample = std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
    const std::int64_t before = load.latencyMicros.load(std::memory_order_relaxed);
    const std::int64_t after = before == 0 ? sample : before + (sample - before) / smoothing;
    load.latencyMicros.store(std::max<std::int64_t>(after, 1), std::memory_order_relaxed);
    load.failures.store(0, std::memory_order_relaxed);
    load.fullUntil.store(0, std::memory_order_relaxed);
    const int limit = load.limit.load(std::memory_order_relaxed);
    const bool wasFull = load.inFlight.load(std::memory_order_relaxed) + 1 >= limit;
    if (wasFull && limit < entry.spec.slots) {
        load.limit.store(limit + 1, std::memory_order_relaxed);
    }
}

void noteFailure(const PoolEntry &pool, const EndpointEntry &entry, SendEvidence evidence,
                 TimePoint now)
{
    EndpointLoad &load = *entry.load;
    if (evidence == SendEvidence::RefusedBeforeRun) {
        // It is well but full: others send to it too, so take a smaller part, and
        // ask again only when a call has had time to end.
        lowerLimit(load);
        load.fullUntil.store(nanos(now + fullTime(load)), std::memory_order_relaxed);
        return;
    }
    const int failures = load.failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < failuresToEject) {
        return;
    }
    if (!mayEject(pool, entry, now)) {
        load.failures.store(failuresToEject - 1, std::memory_order_relaxed);
        return;
    }
    load.ejectedUntil.store(nanos(now + ejectionAfter(failures)), std::memory_order_relaxed);
}

} // namespace harelink
