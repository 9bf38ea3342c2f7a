//===- harelink/Kernel/reportedload.h - Reported load -----------*- C++ -*-===//
///
/// \file
/// Load that endpoints report of themselves with their answers, and how long a report counts.
///
/// Addresses pools whose endpoints share their machines with others and get requests from many
/// daemons: with 66 daemons and 72 engines, a daemon sends a given engine one request every 12 s,
/// so that its own calls show neither how full an endpoint is nor how fast it works now. A report
/// does, but only for a moment: its weight is 1 on arrival and halves every percentHalfLife or
/// countHalfLife, and a report of the age maxAge has none. If the reports of the endpoints between
/// which a request is routed are all that old, the daemon probes their status path, at most twice
/// per second and pool. Reports compare endpoints; they never make one ineligible.
///
/// An endpoint that reports falsely gains little: predictions never go below this daemon's own
/// calls in flight, a refusal counts as a report that all slots are taken, and the reported pace
/// is limited to minPace to maxPace.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REPORTEDLOAD_H
#define HARELINK_KERNEL_REPORTEDLOAD_H

#include "harelink/Support/clock.h"

#include <atomic>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace harelink {

struct EndpointEntry;
struct PoolEntry;
struct Snapshot;

namespace reportedload {

/// Larger figures are treated as errors of the endpoint.
inline constexpr std::uint32_t maxCount = 1'000'000;
inline constexpr std::uint32_t minPercent = 1;
inline constexpr std::uint32_t maxPercent = 100'000;
/// The percentage changes many times per second, the counts only as calls begin and end.
inline constexpr std::chrono::milliseconds percentHalfLife{300};
inline constexpr std::chrono::milliseconds countHalfLife{1000};
/// Age at which a report has no weight.
inline constexpr std::chrono::milliseconds maxAge{2000};
/// Limits of the reported pace, so that no single figure outweighs all measurements.
inline constexpr double minPace = 0.25;
inline constexpr double maxPace = 8;

/// Maximum duration of a probe; longer than the timeout of its call, so that an endpoint never has
/// two probes in flight.
inline constexpr std::chrono::milliseconds probeTimeout{1000};
/// How long an endpoint that did not answer a probe is not probed again.
inline constexpr std::chrono::milliseconds unansweredBackoff{2000};
/// Minimum time between two probes of one daemon in a pool: two per second.
inline constexpr std::chrono::milliseconds probeInterval{500};
/// A pool is probed only if it reported load within this period, so that probes end if its
/// endpoints stop reporting.
inline constexpr std::chrono::seconds reportingPeriod{60};

} // namespace reportedload

/// A load report of an endpoint. Its figures are within the limits above.
struct EndpointLoadReport
{
    std::uint32_t running = 0; ///< Requests that it runs.
    std::uint32_t waiting = 0; ///< Requests that wait there.
    std::optional<std::uint32_t> slots;
    /// Time that work takes there now, in percent of the usual time.
    std::optional<std::uint32_t> percent;

    bool operator==(const EndpointLoadReport &other) const = default;
};

/// Returns the weight of a report of the age \p age whose figures have the half-life \p halfLife:
/// from 1 to 0.
[[nodiscard]] double reportWeight(Duration age, Duration halfLife);

/// The last load report of one endpoint. Thread-safe; a reader may see the figures of a report
/// with the time of the one before, which makes them count for less, never for more.
class ReportedLoad
{
public:
    /// Records \p report, which arrived at \p now.
    void record(const EndpointLoadReport &report, TimePoint now);
    /// Records that the endpoint, of \p slots slots, refused a call: if its last report still has
    /// weight, it is replaced by one that all slots are taken.
    void recordRefusal(int slots, TimePoint now);

    /// Returns whether there is no report that has weight at \p now.
    [[nodiscard]] bool isStale(TimePoint now) const;
    /// Returns the reported number of running requests multiplied by the weight of the report,
    /// which thus fades to zero; std::nullopt if there is no report that has weight.
    [[nodiscard]] std::optional<double> running(TimePoint now) const;
    /// Returns the same for waiting requests.
    [[nodiscard]] std::optional<double> waiting(TimePoint now) const;
    /// Returns the usable slots of an endpoint that declares \p declared: fewer if it reports
    /// fewer, fading to \p declared; at least 1.
    [[nodiscard]] double usableSlots(int declared, TimePoint now) const;
    /// Returns how long work takes at the endpoint relative to the usual time, fading to 1.
    [[nodiscard]] double pace(TimePoint now) const;

    /// Returns whether no probe is in flight and none went unanswered recently.
    [[nodiscard]] bool mayProbe(TimePoint now) const;
    /// Claims the probe of the endpoint; returns false if it may not be probed.
    [[nodiscard]] bool claimProbe(TimePoint now);
    /// Records the end of a probe.
    void endProbe(bool isAnswered, TimePoint now);

private:
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;
    [[nodiscard]] EndpointLoadReport report() const;

    static constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min();

    std::atomic<std::uint64_t> m_counts{0};  ///< Running, waiting and slots, packed.
    std::atomic<std::uint32_t> m_percent{0}; ///< 0 if not reported.
    /// Nanoseconds of the steady clock; written after the figures.
    std::atomic<std::int64_t> m_receivedAt{never};
    std::atomic<std::int64_t> m_probedUntil{never}; ///< Nanoseconds of the steady clock.
};

/// Whether the endpoints of one pool report load, and when they may be probed. Shared by the
/// workers and the control thread.
class PoolLoadReports
{
public:
    /// Records that a report of an endpoint arrived.
    void recordReport(TimePoint now);
    /// Returns whether any endpoint reported load within the reporting period.
    [[nodiscard]] bool isReporting(TimePoint now) const;
    /// Returns whether the next probe is due.
    [[nodiscard]] bool mayProbe(TimePoint now) const;
    /// Claims the next probe of the pool; returns false if it is not due.
    [[nodiscard]] bool claimProbe(TimePoint now);
    /// Returns the number of reports recorded.
    [[nodiscard]] std::uint64_t reports() const
    {
        return m_reports.load(std::memory_order_relaxed);
    }

private:
    static constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min();

    std::atomic<std::int64_t> m_lastReportAt{never}; ///< Nanoseconds of the steady clock.
    std::atomic<std::int64_t> m_nextProbeAt{never};  ///< Nanoseconds of the steady clock.
    std::atomic<std::uint64_t> m_reports{0};
};

/// Action: query the status path of an endpoint for its load.
struct ProbeLoad
{
    std::string endpoint;
    std::string address;
    std::string path;
};

/// Event: a load probe was answered or failed.
struct LoadProbed
{
    std::string endpoint;
    bool isAnswered = false;
    std::optional<EndpointLoadReport> report; ///< std::nullopt if the answer contains none.
};

/// Records a load report that an answer of \p entry contained.
void recordLoadReport(const PoolEntry &pool, const EndpointEntry &entry,
                      const EndpointLoadReport &report, TimePoint now);
/// Records the result of a load probe; does nothing if the endpoint is no longer declared.
void recordLoadProbe(const Snapshot &snapshot, const LoadProbed &probed, TimePoint now);

/// Returns ReportedLoad::running() of \p entry.
[[nodiscard]] std::optional<double> reportedRunning(const EndpointEntry &entry, TimePoint now);
/// Returns the running and waiting requests that \p entry reported, weighted as in
/// ReportedLoad::running(); std::nullopt if there is no report that has weight.
[[nodiscard]] std::optional<double> reportedActive(const EndpointEntry &entry, TimePoint now);
/// Returns ReportedLoad::pace() of \p entry.
[[nodiscard]] double reportedPace(const EndpointEntry &entry, TimePoint now);
/// Returns ReportedLoad::usableSlots() of \p entry.
[[nodiscard]] double usableSlots(const EndpointEntry &entry, TimePoint now);

/// Returns whether a probe of an endpoint of \p pool is due: the pool has a status path that this
/// daemon can reach, and its endpoints report load.
[[nodiscard]] bool mayProbeLoad(const PoolEntry &pool, TimePoint now);
/// Claims a probe of \p entry; returns false if the pool or the endpoint may not be probed now.
/// Endpoints that are cold, rate-limited, paused, brittle or on probation are not probed: the
/// probe would count against what they accept.
[[nodiscard]] bool claimLoadProbe(const PoolEntry &pool, const EndpointEntry &entry, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_REPORTEDLOAD_H
