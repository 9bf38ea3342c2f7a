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

void noteColdStarts(const Snapshot &next, const Snapshot &before, TimePoint now,
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
            const Duration interval =
                shares.intervalAt(entry.spec.name, pool.spec.coldRate).value_or(Duration::zero());
            entry.load->coldInterval.store(std::chrono::nanoseconds(interval).count(),
                                           std::memory_order_relaxed);
            entry.load->coldUntil.store(steadyNanos(now + *time), std::memory_order_relaxed);
        }
    }
}

bool isCold(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->coldUntil.load(std::memory_order_relaxed) > steadyNanos(now);
}

bool mayWarmUp(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const std::int64_t interval = load.coldInterval.load(std::memory_order_relaxed);
    const std::int64_t last = load.sentAt.load(std::memory_order_relaxed);
    return interval > 0 && steadyNanos(now) - last >= interval;
}

} // namespace harelink
