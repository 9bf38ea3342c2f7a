//===- reportedload.cpp - Reported load -----------------------------------===//

#include "harelink/Kernel/reportedload.h"

#include "harelink/Kernel/routing.h"
#include "harelink/Kernel/snapshot.h"

#include <algorithm>
#include <cmath>

namespace harelink {
namespace {

using namespace reportedload;

/// Bits of one count; the number of slots is stored plus one, so that 0 means "not reported".
constexpr unsigned countBits = 20;
constexpr std::uint64_t countMask = (std::uint64_t{1} << countBits) - 1;
static_assert(maxCount + 1 <= countMask);
constexpr double percentOfUsual = 100;

std::uint64_t packCounts(const EndpointLoadReport &report)
{
    const std::uint64_t running = std::min(report.running, maxCount);
    const std::uint64_t waiting = std::min(report.waiting, maxCount);
    const std::uint64_t slots =
        report.slots ? std::uint64_t{1} + std::min(*report.slots, maxCount) : 0;
    return running | waiting << countBits | slots << (2 * countBits);
}

EndpointLoadReport unpackCounts(std::uint64_t counts)
{
    EndpointLoadReport report;
    report.running = static_cast<std::uint32_t>(counts & countMask);
    report.waiting = static_cast<std::uint32_t>(counts >> countBits & countMask);
    if (const std::uint64_t slots = counts >> (2 * countBits) & countMask; slots > 0) {
        report.slots = static_cast<std::uint32_t>(slots - 1);
    }
    return report;
}

/// Moves \p until from a time in the past to \p next; returns false if it is in the future, or if
/// another thread has moved it.
bool claimUntil(std::atomic<std::int64_t> &until, TimePoint now, TimePoint next)
{
    std::int64_t before = until.load(std::memory_order_relaxed);
    return before <= steadyNanos(now)
           && until.compare_exchange_strong(before, steadyNanos(next), std::memory_order_relaxed);
}

bool bearsProbe(const EndpointEntry &entry, TimePoint now)
{
    const EndpointLoad &load = *entry.load;
    const bool isLimited = load.isLimited.load(std::memory_order_relaxed)
                           || load.sendInterval.load(std::memory_order_relaxed) > 0
                           || load.pausedUntil.load(std::memory_order_relaxed) > steadyNanos(now);
    const bool isCold = load.coldUntil.load(std::memory_order_relaxed) > steadyNanos(now);
    return !isLimited && !isCold && load.brittleSlots.load(std::memory_order_relaxed) == 0
           && isUsable(entry, now) && !isOnProbation(entry);
}

} // namespace

double reportWeight(Duration age, Duration halfLife)
{
    if (age >= maxAge) {
        return 0;
    }
    // Another thread may have recorded a report a moment after the reader's time was taken.
    const double halvings =
        std::chrono::duration<double>(std::max(age, Duration::zero())) / halfLife;
    return std::exp2(-halvings);
}

// ReportedLoad ----------------------------------------------------------------

void ReportedLoad::record(const EndpointLoadReport &report, TimePoint now)
{
    m_counts.store(packCounts(report), std::memory_order_relaxed);
    m_percent.store(report.percent ? std::clamp(*report.percent, minPercent, maxPercent) : 0,
                    std::memory_order_relaxed);
    m_receivedAt.store(steadyNanos(now), std::memory_order_release);
}

void ReportedLoad::recordRefusal(int slots, TimePoint now)
{
    if (isStale(now)) {
        return;
    }
    EndpointLoadReport full = report();
    full.running = std::max(full.running, static_cast<std::uint32_t>(std::max(1, slots)));
    // The refusal says nothing of the other figures, which go on to fade.
    full.waiting = static_cast<std::uint32_t>(std::lround(waiting(now).value_or(0)));
    if (full.percent) {
        full.percent = static_cast<std::uint32_t>(std::lround(pace(now) * percentOfUsual));
    }
    record(full, now);
}

bool ReportedLoad::isStale(TimePoint now) const
{
    return !age(now);
}

std::optional<double> ReportedLoad::running(TimePoint now) const
{
    const std::optional<Duration> since = age(now);
    return since ? std::optional(report().running * reportWeight(*since, countHalfLife))
                 : std::nullopt;
}

std::optional<double> ReportedLoad::waiting(TimePoint now) const
{
    const std::optional<Duration> since = age(now);
    return since ? std::optional(report().waiting * reportWeight(*since, countHalfLife))
                 : std::nullopt;
}

double ReportedLoad::usableSlots(int declared, TimePoint now) const
{
    const double most = std::max(1, declared);
    const std::optional<Duration> since = age(now);
    const std::optional<std::uint32_t> slots = report().slots;
    if (!since || !slots || *slots >= most) {
        return most;
    }
    const double reported = std::max<double>(1, *slots);
    return most + (reported - most) * reportWeight(*since, countHalfLife);
}

double ReportedLoad::pace(TimePoint now) const
{
    const std::optional<Duration> since = age(now);
    const std::optional<std::uint32_t> percent = report().percent;
    if (!since || !percent) {
        return 1;
    }
    const double reported = std::clamp(*percent / percentOfUsual, minPace, maxPace);
    return 1 + (reported - 1) * reportWeight(*since, percentHalfLife);
}

bool ReportedLoad::mayProbe(TimePoint now) const
{
    return m_probedUntil.load(std::memory_order_relaxed) <= steadyNanos(now);
}

bool ReportedLoad::claimProbe(TimePoint now)
{
    return claimUntil(m_probedUntil, now, now + probeTimeout);
}

void ReportedLoad::endProbe(bool isAnswered, TimePoint now)
{
    const std::int64_t until = isAnswered ? never : steadyNanos(now + unansweredBackoff);
    m_probedUntil.store(until, std::memory_order_relaxed);
}

/// Returns the age of the report; std::nullopt if there is none that has weight.
std::optional<Duration> ReportedLoad::age(TimePoint now) const
{
    const std::int64_t at = m_receivedAt.load(std::memory_order_acquire);
    if (at == never || now - fromSteadyNanos(at) >= maxAge) {
        return std::nullopt;
    }
    return now - fromSteadyNanos(at);
}

EndpointLoadReport ReportedLoad::report() const
{
    EndpointLoadReport report = unpackCounts(m_counts.load(std::memory_order_relaxed));
    if (const std::uint32_t percent = m_percent.load(std::memory_order_relaxed); percent > 0) {
        report.percent = percent;
    }
    return report;
}

// PoolLoadReports -------------------------------------------------------------

void PoolLoadReports::recordReport(TimePoint now)
{
    m_lastReportAt.store(steadyNanos(now), std::memory_order_relaxed);
    m_reports.fetch_add(1, std::memory_order_relaxed);
}

bool PoolLoadReports::isReporting(TimePoint now) const
{
    const std::int64_t last = m_lastReportAt.load(std::memory_order_relaxed);
    return last != never && now - fromSteadyNanos(last) < reportingPeriod;
}

bool PoolLoadReports::mayProbe(TimePoint now) const
{
    return m_nextProbeAt.load(std::memory_order_relaxed) <= steadyNanos(now);
}

bool PoolLoadReports::claimProbe(TimePoint now)
{
    return claimUntil(m_nextProbeAt, now, now + probeInterval);
}

// Endpoints and pools ---------------------------------------------------------

void recordLoadReport(const PoolEntry &pool, const EndpointEntry &entry,
                      const EndpointLoadReport &report, TimePoint now)
{
    entry.load->report.record(report, now);
    if (pool.loadReports != nullptr) {
        pool.loadReports->recordReport(now);
    }
}

void recordLoadProbe(const Snapshot &snapshot, const LoadProbed &probed, TimePoint now)
{
    const PoolEntry *pool = snapshot.poolOfEndpoint(probed.endpoint);
    const EndpointEntry *entry = pool == nullptr ? nullptr : pool->find(probed.endpoint);
    if (entry == nullptr) {
        return;
    }
    entry->load->report.endProbe(probed.isAnswered, now);
    if (probed.report) {
        recordLoadReport(*pool, *entry, *probed.report, now);
    }
}

std::optional<double> reportedRunning(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->report.running(now);
}

std::optional<double> reportedActive(const EndpointEntry &entry, TimePoint now)
{
    const std::optional<double> running = entry.load->report.running(now);
    const std::optional<double> waiting = entry.load->report.waiting(now);
    return running ? std::optional(*running + waiting.value_or(0)) : std::nullopt;
}

double reportedPace(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->report.pace(now);
}

double usableSlots(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->report.usableSlots(entry.spec->slots, now);
}

bool mayProbeLoad(const PoolEntry &pool, TimePoint now)
{
    return !pool.spec.statusPath.empty() && pool.loadReports != nullptr
           && pool.loadReports->isReporting(now) && pool.loadReports->mayProbe(now)
           && !pool.isPathLost();
}

bool claimLoadProbe(const PoolEntry &pool, const EndpointEntry &entry, TimePoint now)
{
    ReportedLoad &report = entry.load->report;
    return mayProbeLoad(pool, now) && bearsProbe(entry, now) && report.mayProbe(now)
           && pool.loadReports->claimProbe(now) && report.claimProbe(now);
}

} // namespace harelink
