//===- coldstart.cpp - Endpoints that are cold ----------------------------===//

#include "harelink/Kernel/coldstart.h"

#include "harelink/Support/hash.h"

#include <algorithm>

#include <fmt/format.h>

namespace harelink {
namespace {

/// Of the rate that an endpoint bears while it is cold, so much is used in the mean: who is
/// drawn is left to chance, and counts of hosts differ for a while when hosts come.
constexpr double usedPart = 0.5;
/// A second, and some of the next: sends that leave a second apart may arrive closer.
constexpr std::chrono::milliseconds sendInterval{1100};

/// How long an answer that an endpoint is warm holds: bounds what all daemons together send to
/// one that turns cold.
constexpr std::chrono::milliseconds warmAnswerLife{100};
/// How long a status check may take; above the timeout of its call.
constexpr std::chrono::milliseconds checkPatience{250};
/// How long an endpoint that did not answer is left alone.
constexpr std::chrono::milliseconds unansweredPause{1000};

/// What \p shares allows at \p entry of \p pool, as the load holds it: 0 for nothing.
std::int64_t coldIntervalOf(const EndpointEntry &entry, const PoolSpec &pool,
                            const ColdShares &shares)
{
    const Duration interval =
        shares.intervalAt(entry.spec.name, pool.coldRate).value_or(Duration::zero());
    return std::chrono::nanoseconds(interval).count();
}

/// For how long \p entry is cold from now on; nothing where nothing is said anew.
std::optional<Duration> coldFor(const EndpointEntry &entry, const PoolSpec &pool,
                                const Snapshot &before)
{
    const EndpointEntry *known = before.endpoint(entry.spec.name);
    if (known == nullptr) {
        // What stands there when this daemon starts may have been there for long.
        const Duration unsaid = before.ready ? Duration(pool.coldTime) : Duration::zero();
        return entry.spec.coldFor ? Duration(*entry.spec.coldFor) : unsaid;
    }
    if (known->isDrained && !entry.isDrained) {
        return std::max<Duration>(pool.coldTime,
                                  entry.spec.coldFor.value_or(std::chrono::milliseconds::zero()));
    }
    const bool isNews = entry.spec.coldFor && entry.spec.coldFor != known->spec.coldFor;
    return isNews ? std::optional<Duration>(*entry.spec.coldFor) : std::nullopt;
}

} // namespace

std::optional<Duration> ColdShares::intervalAt(const std::string &endpoint, double perSecond) const
{
    const double used = perSecond * usedPart;
    if (m_hosts == 0 || used <= 0) {
        return std::nullopt;
    }
    const double part = used / static_cast<double>(m_hosts);
    if (part >= 1) {
        return std::chrono::duration_cast<Duration>(sendInterval / part);
    }
    const bool isDrawn = unitHash(fmt::format("cold/{}/{}", endpoint, m_self)) < part;
    return isDrawn ? std::optional<Duration>(sendInterval) : std::nullopt;
}

void recordColdStarts(const Snapshot &next, const Snapshot &before, TimePoint now,
                      const ColdShares &shares)
{
    for (const auto &[name, pool] : next.pools) {
        if (pool.spec.coldRate <= 0) {
            continue; // It does not say that its endpoints bear less while they are cold.
        }
        for (const EndpointEntry &entry : pool.endpoints) {
            const std::optional<Duration> time = coldFor(entry, pool.spec, before);
            if (!time) {
                continue;
            }
            entry.load->coldInterval.store(coldIntervalOf(entry, pool.spec, shares),
                                           std::memory_order_relaxed);
            entry.load->coldUntil.store(steadyNanos(now + *time), std::memory_order_relaxed);
        }
    }
}

void recordColdShares(const Snapshot &snapshot, const ColdShares &shares)
{
    for (const auto &[name, pool] : snapshot.pools) {
        if (pool.spec.coldRate <= 0) {
            continue;
        }
        for (const EndpointEntry &entry : pool.endpoints) {
            entry.load->coldInterval.store(coldIntervalOf(entry, pool.spec, shares),
                                           std::memory_order_relaxed);
        }
    }
}

bool receivesEndpointUpdates(const Snapshot &snapshot, TimePoint now)
{
    return snapshot.daemon->endpointUpdatesUntil.load(std::memory_order_relaxed) > steadyNanos(now);
}

bool recordEndpointUpdatesUntil(const Snapshot &snapshot, TimePoint until, const ColdShares &shares)
{
    const std::int64_t nothing = steadyNanos(TimePoint::min());
    const std::int64_t before = snapshot.daemon->endpointUpdatesUntil.exchange(
        steadyNanos(until), std::memory_order_relaxed);
    const bool isChange = (before == nothing) != (until == TimePoint::min());
    if (isChange && before != nothing) {
        recordColdShares(snapshot, shares);
    }
    return isChange;
}

void recordColdState(const Snapshot &snapshot, const ColdStateChecked &state,
                     const ColdShares &shares, TimePoint now)
{
    const PoolEntry *pool = snapshot.poolOfEndpoint(state.endpoint);
    const EndpointEntry *entry = pool == nullptr ? nullptr : pool->find(state.endpoint);
    if (entry == nullptr) {
        return;
    }
    EndpointLoad &load = *entry->load;
    if (!state.coldFor) {
        load.fullUntil.store(steadyNanos(now + unansweredPause), std::memory_order_relaxed);
        return;
    }
    load.checkedUntil.store(0, std::memory_order_relaxed);
    if (*state.coldFor == Duration::zero()) {
        load.warmUntil.store(steadyNanos(state.askedAt + warmAnswerLife),
                             std::memory_order_relaxed);
        return;
    }
    load.coldInterval.store(coldIntervalOf(*entry, pool->spec, shares), std::memory_order_relaxed);
    load.coldUntil.store(steadyNanos(now + *state.coldFor), std::memory_order_relaxed);
}

bool isKnownWarm(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->warmUntil.load(std::memory_order_relaxed) > steadyNanos(now);
}

bool claimColdCheck(const EndpointEntry &entry, TimePoint now)
{
    std::atomic<std::int64_t> &until = entry.load->checkedUntil;
    std::int64_t before = until.load(std::memory_order_relaxed);
    return before <= steadyNanos(now)
           && until.compare_exchange_strong(before, steadyNanos(now + checkPatience),
                                            std::memory_order_relaxed);
}

bool isCold(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->coldUntil.load(std::memory_order_relaxed) > steadyNanos(now);
}

bool maySendWhileCold(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const std::int64_t interval = load.coldInterval.load(std::memory_order_relaxed);
    const std::int64_t last = load.sentAt.load(std::memory_order_relaxed);
    return interval > 0 && steadyNanos(now) - last >= interval;
}

} // namespace harelink
