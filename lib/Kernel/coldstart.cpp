//===- coldstart.cpp - Cold start of endpoints ----------------------------===//

#include "harelink/Kernel/coldstart.h"

#include "harelink/Support/hash.h"

#include <algorithm>

#include <fmt/format.h>

namespace harelink {
namespace {

/// Average fraction of an endpoint's cold rate that is used. The rest is a margin for the random
/// number of selected daemons, and for host counts that differ while hosts join.
constexpr double usedFraction = 0.5;
/// Minimum interval between sends: one second plus a margin, because sends that leave a second
/// apart may arrive closer together.
constexpr std::chrono::milliseconds sendInterval{1100};

/// How long a status report of a warm endpoint is valid; bounds what all daemons together send to
/// one that has become cold.
constexpr std::chrono::milliseconds warmReportTtl{100};
/// Timeout of a status check; longer than the timeout of its call.
constexpr std::chrono::milliseconds checkTimeout{250};
/// How long an endpoint that did not answer a status check gets no requests.
constexpr std::chrono::milliseconds unansweredBackoff{1000};

/// Returns the send interval that \p shares allows at \p entry of \p pool, in the format of
/// EndpointLoad::coldInterval: 0 if it allows no sends.
std::int64_t coldIntervalOf(const EndpointEntry &entry, const PoolSpec &pool,
                            const ColdShares &shares)
{
    const Duration interval =
        shares.intervalAt(entry.spec->name, pool.coldRate).value_or(Duration::zero());
    return std::chrono::nanoseconds(interval).count();
}

/// Returns for how long \p entry is cold from now on; std::nullopt if its state is unchanged.
std::optional<Duration> coldFor(const EndpointEntry &entry, const PoolSpec &pool,
                                const Snapshot &before)
{
    const EndpointEntry *known = before.endpoint(entry.spec->name);
    if (known == nullptr) {
        // Endpoints that exist when this daemon starts may have been running for a long time.
        const Duration undeclared = before.ready ? Duration(pool.coldTime) : Duration::zero();
        return entry.spec->coldFor ? Duration(*entry.spec->coldFor) : undeclared;
    }
    if (known->isDrained && !entry.isDrained) {
        return std::max<Duration>(pool.coldTime,
                                  entry.spec->coldFor.value_or(std::chrono::milliseconds::zero()));
    }
    const bool isNew = entry.spec->coldFor && entry.spec->coldFor != known->spec->coldFor;
    return isNew ? std::optional<Duration>(*entry.spec->coldFor) : std::nullopt;
}

} // namespace

std::optional<Duration> ColdShares::intervalAt(const std::string &endpoint, double perSecond) const
{
    const double used = perSecond * usedFraction;
    if (m_hosts == 0 || used <= 0) {
        return std::nullopt;
    }
    const double share = used / static_cast<double>(m_hosts);
    if (share >= 1) {
        return std::chrono::duration_cast<Duration>(sendInterval / share);
    }
    const bool isSelected = unitHash(fmt::format("cold/{}/{}", endpoint, m_self)) < share;
    return isSelected ? std::optional<Duration>(sendInterval) : std::nullopt;
}

void recordColdStarts(const Snapshot &next, const Snapshot &before, TimePoint now,
                      const ColdShares &shares)
{
    for (const auto &[name, pool] : next.pools) {
        if (pool.spec.coldRate <= 0) {
            continue; // The pool declares no lower rate for cold endpoints.
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
    const std::int64_t never = steadyNanos(TimePoint::min());
    const std::int64_t before = snapshot.daemon->endpointUpdatesUntil.exchange(
        steadyNanos(until), std::memory_order_relaxed);
    const bool hasChanged = (before == never) != (until == TimePoint::min());
    if (hasChanged && before != never) {
        recordColdShares(snapshot, shares);
    }
    return hasChanged;
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
        load.fullUntil.store(steadyNanos(now + unansweredBackoff), std::memory_order_relaxed);
        return;
    }
    load.checkedUntil.store(0, std::memory_order_relaxed);
    if (*state.coldFor == Duration::zero()) {
        load.warmUntil.store(steadyNanos(state.askedAt + warmReportTtl), std::memory_order_relaxed);
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
           && until.compare_exchange_strong(before, steadyNanos(now + checkTimeout),
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
