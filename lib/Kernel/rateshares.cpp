//===- rateshares.cpp - Parts of a stated rate ----------------------------===//

#include "harelink/Kernel/rateshares.h"

#include "harelink/Support/hash.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace harelink {
namespace {

/// Spacing of the sends of one host that are to fall into different windows: the window, and
/// what the network may delay the first of them.
constexpr std::chrono::duration<double> paddedWindow{4.4};
/// Requests per second with which all hosts together ask whether a limit still stands, where
/// it gives them no other turn.
constexpr double askingRate = 0.1;
/// Turns to ask are lost when unused: or, after a quiet time, all hosts would ask at once.
constexpr std::chrono::seconds askingTurn{1};
/// Hosts that are drawn are this many standard deviations fewer, in the mean, than the
/// tolerance has places.
constexpr double drawnDeviations = 7;
/// Part of the rate that a batcher uses: while another host takes over, both send.
constexpr double batcherPart = 0.7;
/// Interval of a daemon that has no part yet.
constexpr std::chrono::hours noShareInterval{1};
/// Intervals that differ by a smaller part are taken for the same.
constexpr std::int64_t sameIntervalPart = 4;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// How many hosts may be drawn in the mean, of which \p places may send in a window.
double meanDrawn(double places)
{
    // The larger root of m + d * sqrt(m) = places; the variance is at most the mean.
    const double root =
        (std::sqrt(drawnDeviations * drawnDeviations + 4 * places) - drawnDeviations) / 2;
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
                        std::ceil(m_knownHosts / m_reachableHosts) / batcherPart);
}

RateShare RateShares::computeShare(const std::string &endpoint, double perSecond,
                                   double senders) const
{
    const double rate = std::max(perSecond, askingRate);
    const double places = RateTolerance::requests(perSecond);
    const double sendsEach = std::floor(places / senders);
    if (sendsEach >= 1) {
        const double interval = std::max(senders / rate, paddedWindow.count() / sendsEach);
        return {fromSeconds(interval), Duration::zero(), Duration::zero()};
    }
    const double drawn = std::min(meanDrawn(places), perSecond * paddedWindow.count());
    const double sample = unitHash(fmt::format("rate/{}/{}", endpoint, m_self));
    const double chance = drawn / senders;
    if (sample < chance) {
        return {fromSeconds(paddedWindow.count()), Duration::zero(), Duration::zero()};
    }
    const double interval = senders / askingRate;
    const double phase = (sample - chance) / (1 - chance);
    return {fromSeconds(interval), fromSeconds(interval * phase), askingTurn};
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
    if (before != 0 && std::abs(next - before) <= before / sameIntervalPart) {
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
