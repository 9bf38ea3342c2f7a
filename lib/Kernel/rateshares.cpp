//===- rateshares.cpp - Shares of a rate limit ----------------------------===//

#include "harelink/Kernel/rateshares.h"

#include "harelink/Support/hash.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace harelink {
namespace {

/// Interval at which two sends of one host fall into different windows: the window plus the
/// network delay of the first send.
constexpr std::chrono::duration<double> paddedWindow{4.4};
/// Requests per second, of all hosts together, that re-check whether a limit is still in force if
/// the limit leaves no other send slot.
constexpr double recheckRate = 0.1;
/// Send slots for re-checks expire if unused; otherwise all hosts would send at once after an idle
/// period.
constexpr std::chrono::seconds recheckSlotLength{1};
/// The mean number of selected hosts is this many standard deviations below the number that the
/// tolerance allows.
constexpr double selectionDeviations = 7;
/// Fraction of the rate that a batcher uses, because two hosts send while one takes over from the
/// other.
constexpr double batcherRateFraction = 0.7;
/// Send interval of a daemon that has no share yet.
constexpr std::chrono::hours noShareInterval{1};
/// Intervals that differ by at most the earlier one divided by this are treated as equal.
constexpr std::int64_t sameIntervalDivisor = 4;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns how many hosts may be selected on average if at most \p allowance may send in a window.
double maxMeanSelected(double allowance)
{
    // The larger root of m + d * sqrt(m) = allowance; the variance is at most the mean.
    const double root =
        (std::sqrt(selectionDeviations * selectionDeviations + 4 * allowance) - selectionDeviations)
        / 2;
    return root * root;
}

} // namespace

RateShares::RateShares(std::string self, std::size_t knownHosts, std::size_t reachableHosts)
    : m_self(std::move(self))
    , m_knownHosts(static_cast<double>(knownHosts))
    , m_reachableHosts(static_cast<double>(std::clamp<std::size_t>(reachableHosts, 1, knownHosts)))
{
}

std::optional<RateShare> RateShares::shareOf(const std::string &endpoint, double perSecond) const
{
    if (m_knownHosts < 1) {
        return std::nullopt;
    }
    return computeShare(endpoint, perSecond, m_knownHosts);
}

std::optional<RateShare> RateShares::batcherShareOf(const std::string &endpoint,
                                                    double perSecond) const
{
    if (m_knownHosts < 1) {
        return std::nullopt;
    }
    return computeShare(endpoint, perSecond,
                        std::ceil(m_knownHosts / m_reachableHosts) / batcherRateFraction);
}

RateShare RateShares::computeShare(const std::string &endpoint, double perSecond,
                                   double senders) const
{
    const double rate = std::max(perSecond, recheckRate);
    const double allowance = RateTolerance::requests(perSecond);
    const double sendsEach = std::floor(allowance / senders);
    if (sendsEach >= 1) {
        const double interval = std::max(senders / rate, paddedWindow.count() / sendsEach);
        return {fromSeconds(interval), Duration::zero(), Duration::zero()};
    }
    const double selected = std::min(maxMeanSelected(allowance), perSecond * paddedWindow.count());
    const double sample = unitHash(fmt::format("rate/{}/{}", endpoint, m_self));
    const double probability = selected / senders;
    if (sample < probability) {
        return {fromSeconds(paddedWindow.count()), Duration::zero(), Duration::zero()};
    }
    const double interval = senders / recheckRate;
    const double phase = (sample - probability) / (1 - probability);
    return {fromSeconds(interval), fromSeconds(interval * phase), recheckSlotLength};
}

void applyLimit(const Snapshot &snapshot, const std::string &name,
                const LimitAnnouncement &announcement, const RateShares &shares, TimePoint now)
{
    const PoolEntry *pool = snapshot.poolOfEndpoint(name);
    const EndpointEntry *endpoint = pool == nullptr ? nullptr : pool->find(name);
    if (endpoint == nullptr) {
        return;
    }
    EndpointLoad &load = *endpoint->load;
    load.isLimited.store(announcement.perSecond.has_value(), std::memory_order_relaxed);
    if (!announcement.perSecond) {
        load.sendInterval.store(0, std::memory_order_relaxed);
        return;
    }
    const std::optional<RateShare> share =
        pool->spec.pieces ? shares.batcherShareOf(name, *announcement.perSecond)
                          : shares.shareOf(name, *announcement.perSecond);
    const Duration interval = share ? share->interval : Duration(noShareInterval);
    const Duration firstDelay = share ? share->firstDelay : interval;
    const std::int64_t before = load.sendInterval.load(std::memory_order_relaxed);
    const std::int64_t next = std::chrono::nanoseconds(interval).count();
    if (before != 0 && std::abs(next - before) <= before / sameIntervalDivisor) {
        return;
    }
    const std::int64_t afterLast = load.sentAt.load(std::memory_order_relaxed) + next;
    const bool hasSent = load.sentAt.load(std::memory_order_relaxed) != 0;
    load.nextSendAt.store(std::max(steadyNanos(now + firstDelay), hasSent ? afterLast : 0),
                          std::memory_order_relaxed);
    load.slotLength.store(std::chrono::nanoseconds(share ? share->slotLength : Duration()).count(),
                          std::memory_order_relaxed);
    load.sendInterval.store(next, std::memory_order_relaxed);
}

} // namespace harelink
