//===- endpointpace.cpp - Pace of endpoints -------------------------------===//

#include "harelink/Kernel/endpointpace.h"

#include "harelink/Kernel/reportedload.h"
#include "harelink/Kernel/snapshot.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace harelink {
namespace {

/// The largest sum that a report may contain. A relay reports a second of the requests of a data
/// centre, which are some hundreds at one endpoint at most, of some seconds each.
constexpr std::chrono::minutes maxReportedTime{10};
/// A sample counts as at most this much slower or faster than expected: it may be the prompt cache
/// that was misjudged, and a single sample shall not outweigh all others.
constexpr double maxSampleRatio = 16;
/// The evidence of one endpoint at one load class is limited to this number of samples, so that
/// the estimate follows a change within some half-lives whatever peers report. Requests that
/// waited long at an endpoint have long expected times, and are many when it recovers.
constexpr double maxSamples = 16;
/// Above this level, a sample that is closer to the pool's pace than to that level reduces the
/// endpoint's earlier evidence to the given fraction: the endpoint recovers, and gets too few
/// requests while it is considered slow to outweigh that evidence within 5 s. Endpoints that are
/// slower by their nature are below that level, as their samples vary too much for this.
constexpr double recoveryLevel = 2;
constexpr double recoveryFraction = 0.25;
/// What a relay sums up counts as at most this number of such samples.
constexpr double maxRecoverySamples = 4;
/// Sums below this number of samples are not kept.
constexpr double minSamples = 0.01;
/// Iterations in which levels and shape are fitted to each other. Levels go first: where only one
/// endpoint is loaded, its times are taken for its own.
constexpr int fitIterations = 10;
/// Range of the time of one request that is the unit of evidence.
constexpr std::chrono::microseconds minRequestTime{10'000};
constexpr std::chrono::microseconds maxRequestTime{2'000'000};
/// Smoothing factor of that time.
constexpr double requestTimeSmoothing = 0.05;
/// Increments below this expected time are not kept for peers.
constexpr double minIncrementMicros = 1000;

constexpr double percent = 100;

PaceSums sumsOf(const EndpointPaceReport &report)
{
    return {static_cast<double>(report.expected.count()),
            static_cast<double>(report.measured.count())};
}

PaceSums totalOf(const PaceCells &cells)
{
    PaceSums total;
    for (const PaceSums &cell : cells) {
        total += cell;
    }
    return total;
}

double clampPace(double pace)
{
    return std::clamp(pace, PoolPace::minPace, PoolPace::maxPace);
}

/// Writes \p value unless it is there already: workers read these counters for every request.
template <typename Value>
void storeIfChanged(std::atomic<Value> &to, Value value)
{
    if (to.load(std::memory_order_relaxed) != value) {
        to.store(value, std::memory_order_relaxed);
    }
}

/// Returns the number of calls of this daemon that run at \p entry.
int ownCallsAt(const EndpointEntry &entry)
{
    return std::max(0, entry.load->inFlight.load(std::memory_order_relaxed));
}

/// Returns the number of calls of all daemons that run at \p entry, as far as this one knows.
int knownCallsAt(const EndpointEntry &entry)
{
    return ownCallsAt(entry)
           + std::clamp(entry.load->peerCalls.load(std::memory_order_relaxed), 0, maxReportedCalls);
}

/// Returns the number of running requests that \p entry reported, by the weight of the report.
int reportedCallsAt(const EndpointEntry &entry, TimePoint now)
{
    return static_cast<int>(std::lround(reportedRunning(entry, now).value_or(0)));
}

void writeEstimate(const PaceEstimate &estimate, bool isSlow, EndpointLoad &load)
{
    for (std::size_t i = 0; i < loadClassCount; ++i) {
        storeIfChanged(load.pacePercent[i],
                       static_cast<std::int16_t>(std::lround(estimate.pace[i] * percent)));
    }
    storeIfChanged(load.knee, static_cast<std::int8_t>(estimate.knee));
    storeIfChanged(load.isSlow, isSlow);
}

} // namespace

std::size_t loadClassOf(int calls, int slots)
{
    const std::int64_t before = std::max(0, calls - 1);
    const std::int64_t quarter =
        before * static_cast<std::int64_t>(loadClassCount) / std::max(1, slots);
    return std::min(static_cast<std::size_t>(quarter), loadClassCount - 1);
}

std::size_t currentLoadClass(const EndpointEntry &entry, TimePoint now)
{
    return loadClassOf(std::max(knownCallsAt(entry), reportedCallsAt(entry, now) + 1),
                       entry.spec->slots);
}

std::size_t nextLoadClass(const EndpointEntry &entry, TimePoint now)
{
    return loadClassOf(std::max(knownCallsAt(entry), reportedCallsAt(entry, now)) + 1,
                       entry.spec->slots);
}

double nextPace(const EndpointEntry &entry, TimePoint now)
{
    return entry.load->pacePercent[nextLoadClass(entry, now)].load(std::memory_order_relaxed)
           / percent;
}

bool isAtKnee(const EndpointEntry &entry, TimePoint now)
{
    const int calls = std::max(ownCallsAt(entry), reportedCallsAt(entry, now));
    return static_cast<int>(loadClassOf(calls + 1, entry.spec->slots))
           > entry.load->knee.load(std::memory_order_relaxed);
}

std::pair<std::string_view, std::int64_t> faultIn(const EndpointPaceReport &report)
{
    if (report.loadClass >= loadClassCount) {
        return {"load_class", report.loadClass};
    }
    const auto isInvalid = [](std::chrono::microseconds time) {
        return time <= time.zero() || time > maxReportedTime;
    };
    if (isInvalid(report.expected)) {
        return {"expected_micros", report.expected.count()};
    }
    if (isInvalid(report.measured)) {
        return {"measured_micros", report.measured.count()};
    }
    return {};
}

std::size_t kneeOf(const std::array<double, loadClassCount> &pace)
{
    for (std::size_t i = 0; i + 1 < loadClassCount; ++i) {
        const double throughput = static_cast<double>(i + 1) / pace[i];
        const double next = static_cast<double>(i + 2) / pace[i + 1];
        if (next < throughput * PoolPace::minThroughputGain) {
            return i;
        }
    }
    return loadClassCount - 1;
}

// Increments ------------------------------------------------------------------

PaceCells *PaceIncrements::cellsOf(const std::string &endpoint)
{
    const auto found = m_cells.find(endpoint);
    if (found != m_cells.end()) {
        return &found->second;
    }
    return m_cells.size() < maxEndpoints ? &m_cells[endpoint] : nullptr;
}

void PaceIncrements::add(const EndpointPaceReport &report)
{
    if (!faultIn(report).first.empty()) {
        return;
    }
    if (PaceCells *cells = cellsOf(report.endpoint)) {
        (*cells)[report.loadClass] += sumsOf(report);
    }
}

void PaceIncrements::add(const PaceIncrements &other, const std::vector<std::string> &endpoints)
{
    for (const std::string &endpoint : endpoints) {
        const auto found = other.m_cells.find(endpoint);
        PaceCells *own = found == other.m_cells.end() ? nullptr : cellsOf(endpoint);
        for (std::size_t i = 0; own != nullptr && i < loadClassCount; ++i) {
            (*own)[i] += found->second[i];
        }
    }
}

std::vector<std::string> PaceIncrements::batchAfter(const std::string &last) const
{
    std::vector<std::string> batch;
    auto next = m_cells.upper_bound(last);
    while (batch.size() < std::min(m_cells.size(), maxReportedPaces)) {
        next = next == m_cells.end() ? m_cells.begin() : next;
        batch.push_back(next->first);
        ++next;
    }
    return batch;
}

void PaceIncrements::report(const std::vector<std::string> &endpoints,
                            const PaceIncrements &excluded,
                            std::vector<EndpointPaceReport> &reports) const
{
    static const PaceCells none{};
    for (const std::string &endpoint : endpoints) {
        const auto found = m_cells.find(endpoint);
        if (found == m_cells.end()) {
            continue;
        }
        const auto part = excluded.m_cells.find(endpoint);
        const PaceCells &without = part == excluded.m_cells.end() ? none : part->second;
        for (std::size_t i = 0; i < loadClassCount; ++i) {
            const PaceSums &sums = found->second[i];
            const std::chrono::microseconds expected(
                std::llround(sums.expectedMicros - without[i].expectedMicros));
            const std::chrono::microseconds measured(
                std::llround(sums.measuredMicros - without[i].measuredMicros));
            EndpointPaceReport report{endpoint, static_cast<std::uint32_t>(i), expected, measured};
            if (faultIn(report).first.empty()) {
                reports.push_back(std::move(report));
            }
        }
    }
}

void PaceIncrements::remove(const std::vector<std::string> &endpoints)
{
    for (const std::string &endpoint : endpoints) {
        m_cells.erase(endpoint);
    }
}

void PaceIncrements::halve()
{
    for (auto &[endpoint, cells] : m_cells) {
        for (PaceSums &cell : cells) {
            cell *= 0.5;
        }
    }
    std::erase_if(m_cells, [](const auto &entry) {
        return totalOf(entry.second).expectedMicros < minIncrementMicros;
    });
}

std::vector<std::string> batchOf(std::vector<PaceTurn> &turns)
{
    std::vector<std::vector<std::string>> parts;
    parts.reserve(turns.size());
    for (const PaceTurn &turn : turns) {
        parts.push_back(turn.increments->batchAfter(turn.last));
    }
    std::vector<std::size_t> next(turns.size(), 0);
    std::vector<std::string> batch;
    std::set<std::string_view> used;
    bool isUsedUp = false;
    while (!isUsedUp) {
        isUsedUp = true;
        for (std::size_t i = 0; i < turns.size() && batch.size() < maxReportedPaces; ++i) {
            // An endpoint that another source had in its turn takes none of this source's part.
            while (next[i] < parts[i].size() && used.contains(parts[i][next[i]])) {
                ++next[i];
            }
            if (next[i] < parts[i].size()) {
                turns[i].last = parts[i][next[i]++];
                used.insert(parts[i][next[i] - 1]);
                batch.push_back(turns[i].last);
                isUsedUp = false;
            }
        }
    }
    return batch;
}

// Estimates -------------------------------------------------------------------

void PoolPace::add(const std::string &endpoint, std::size_t loadClass, const PaceSums &sums)
{
    Endpoint &target = m_endpoints[endpoint];
    discountIfRecovering(target, loadClass, sums);
    PaceSums &cell = target.cells[loadClass];
    const double expected = sums.expectedMicros;
    cell += {expected,
             std::clamp(sums.measuredMicros, expected / maxSampleRatio, expected * maxSampleRatio)};
    const double limit = maxSamples * m_requestMicros;
    if (cell.expectedMicros > limit) {
        cell *= limit / cell.expectedMicros;
    }
}

void PoolPace::discountIfRecovering(Endpoint &endpoint, std::size_t loadClass,
                                    const PaceSums &sums) const
{
    const double limit = m_ratio * m_shape[loadClass] * std::sqrt(endpoint.level);
    if (endpoint.level <= recoveryLevel || sums.measuredMicros >= sums.expectedMicros * limit) {
        return;
    }
    const double samples = std::min(maxRecoverySamples, sums.expectedMicros / m_requestMicros);
    for (PaceSums &cell : endpoint.cells) {
        cell *= std::pow(recoveryFraction, samples);
    }
}

void PoolPace::recordRequest(std::chrono::microseconds expected)
{
    const auto sample =
        static_cast<double>(std::clamp(expected, minRequestTime, maxRequestTime).count());
    m_requestMicros += (sample - m_requestMicros) * requestTimeSmoothing;
}

/// Reduces the evidence by its age.
void PoolPace::forget(TimePoint now)
{
    const Duration age = m_forgotAt ? now - *m_forgotAt : Duration::zero();
    const double lives = std::chrono::duration<double>(age) / halfLife;
    m_forgotAt = now;
    const double kept = std::exp2(-std::max(0.0, lives));
    for (auto &[name, endpoint] : m_endpoints) {
        for (PaceSums &cell : endpoint.cells) {
            cell *= kept;
        }
    }
    std::erase_if(m_endpoints, [this](const auto &entry) {
        return totalOf(entry.second.cells).expectedMicros < minSamples * m_requestMicros;
    });
}

/// Fits the level of each endpoint to its samples, given the shape.
void PoolPace::fitLevels()
{
    for (auto &[name, endpoint] : m_endpoints) {
        double expected = priorMicros();
        double measured = priorMicros() * m_ratio;
        for (std::size_t i = 0; i < loadClassCount; ++i) {
            expected += endpoint.cells[i].expectedMicros * m_shape[i];
            measured += endpoint.cells[i].measuredMicros;
        }
        endpoint.level = clampPace(measured / (expected * m_ratio));
    }
}

/// Fits the factor of each load class to the samples of all endpoints, given their levels.
void PoolPace::fitShape()
{
    std::array<PaceSums, loadClassCount> sums{};
    for (const auto &[name, endpoint] : m_endpoints) {
        for (std::size_t i = 0; i < loadClassCount; ++i) {
            sums[i].expectedMicros += endpoint.cells[i].expectedMicros * endpoint.level * m_ratio;
            sums[i].measuredMicros += endpoint.cells[i].measuredMicros;
        }
    }
    const double prior = priorMicros() * m_ratio;
    for (std::size_t i = 0; i < loadClassCount; ++i) {
        m_shape[i] = clampPace((sums[i].measuredMicros + prior) / (sums[i].expectedMicros + prior));
    }
}

bool PoolPace::update(TimePoint now)
{
    forget(now);
    m_shape.fill(1);
    if (m_endpoints.empty()) {
        m_ratio = 1;
        return false;
    }
    PaceSums total;
    for (const auto &[name, endpoint] : m_endpoints) {
        total += totalOf(endpoint.cells);
    }
    m_ratio = total.measuredMicros / total.expectedMicros;
    for (int i = 0; i < fitIterations; ++i) {
        fitLevels();
        fitShape();
    }
    return true;
}

PaceEstimate PoolPace::estimate(const std::string &endpoint) const
{
    PaceEstimate estimate;
    const auto found = m_endpoints.find(endpoint);
    static const PaceCells none{};
    const PaceCells &cells = found == m_endpoints.end() ? none : found->second.cells;
    estimate.level = found == m_endpoints.end() ? 1 : found->second.level;
    const double prior = priorMicros();
    for (std::size_t i = 0; i < loadClassCount; ++i) {
        const double measured =
            cells[i].measuredMicros + prior * m_ratio * estimate.level * m_shape[i];
        estimate.pace[i] = clampPace(measured / ((cells[i].expectedMicros + prior) * m_ratio));
    }
    std::array<double, loadClassCount> proven = estimate.pace;
    for (std::size_t i = 1; i < loadClassCount; ++i) {
        if (cells[i].expectedMicros < minKneeSamples * m_requestMicros) {
            proven[i] = std::min(proven[i], proven[i - 1]);
        }
    }
    estimate.knee = kneeOf(proven);
    estimate.samples = totalOf(cells).expectedMicros / m_requestMicros;
    return estimate;
}

// All pools -------------------------------------------------------------------

bool EndpointPaces::add(const EndpointPaceReport &report, bool isOwn, const Snapshot &snapshot)
{
    const PoolEntry *pool = snapshot.poolOfEndpoint(report.endpoint);
    if (pool == nullptr || !pool->spec.engine || !faultIn(report).first.empty()) {
        return false;
    }
    PoolPace &pace = m_pools[pool->spec.name];
    if (isOwn) {
        pace.recordRequest(report.expected);
    }
    pace.add(report.endpoint, report.loadClass, sumsOf(report));
    return true;
}

void EndpointPaces::record(const EndpointPaceReport &sample, const Snapshot &snapshot)
{
    if (add(sample, true, snapshot)) {
        ++m_counters.samples;
        m_increments.add(sample);
    }
}

void EndpointPaces::recordPeers(const std::vector<EndpointPaceReport> &reports,
                                const Snapshot &snapshot)
{
    for (const EndpointPaceReport &report : reports) {
        m_counters.reports += add(report, false, snapshot) ? 1 : 0;
    }
}

std::vector<EndpointPaceReport> EndpointPaces::drainIncrements()
{
    std::vector<EndpointPaceReport> reports;
    const std::vector<std::string> batch = m_increments.batchAfter(m_lastReported);
    if (batch.empty()) {
        return reports;
    }
    m_increments.report(batch, {}, reports);
    m_increments.remove(batch);
    m_increments.halve();
    m_lastReported = batch.back();
    return reports;
}

void EndpointPaces::applyTo(const PoolEntry &pool, const PoolPace &pace,
                            std::set<std::string> &slow, std::vector<SlownessChange> &changes) const
{
    for (const EndpointEntry &endpoint : pool.endpoints) {
        const std::string &name = endpoint.spec->name;
        const PaceEstimate estimate = pace.estimate(name);
        const bool wasSlow = m_slow.contains(name);
        const bool isSlow = estimate.level > (wasSlow ? recoveredLevel : slowLevel);
        writeEstimate(estimate, isSlow, *endpoint.load);
        if (isSlow) {
            slow.insert(name);
        }
        if (isSlow != wasSlow) {
            changes.push_back({pool.spec.name, name, isSlow, estimate});
        }
    }
}

std::vector<SlownessChange> EndpointPaces::apply(const Snapshot &snapshot, TimePoint now)
{
    std::vector<SlownessChange> changes;
    std::set<std::string> slow;
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        const bool hasEvidence = pool->second.update(now);
        const PoolEntry *entry = snapshot.pool(pool->first);
        if (entry != nullptr) {
            applyTo(*entry, pool->second, slow, changes);
        }
        pool = hasEvidence && entry != nullptr ? std::next(pool) : m_pools.erase(pool);
    }
    m_slow = std::move(slow);
    return changes;
}

} // namespace harelink
