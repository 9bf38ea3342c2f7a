//===- harelink/Kernel/endpointpace.h - Pace of endpoints -------*- C++ -*-===//
///
/// \file
/// Learns how long work takes at each endpoint of a model engine pool, relative to the other
/// endpoints of the pool and by the number of calls running there. A slow endpoint can thus be
/// distinguished from a full one.
///
/// Addresses pools whose endpoints differ in speed, slow down before all their slots are in use,
/// or are slow for seconds. A daemon that sends an endpoint one request in 12 s cannot learn this
/// alone, so daemons exchange sums of samples.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_ENDPOINTPACE_H
#define HARELINK_KERNEL_ENDPOINTPACE_H

#include "harelink/Kernel/load.h"
#include "harelink/Support/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace harelink {

struct EndpointEntry;
struct PoolEntry;
struct Snapshot;

/// Maximum number of endpoints whose paces one message reports. With four load classes each, they
/// take about 20 kB, which a 10 Mbit/s link transfers in 16 ms.
inline constexpr std::size_t maxReportedPaces = 128;
/// Maximum number of calls at one endpoint that a peer can report.
inline constexpr int maxReportedCalls = 1'000'000;

/// As an action of a worker: the expected and the measured time to the first event of one
/// request. Between daemons: sums over several requests.
struct EndpointPaceReport
{
    std::string endpoint;
    std::uint32_t loadClass = 0; ///< See loadClassOf().
    std::chrono::microseconds expected{};
    std::chrono::microseconds measured{};
};

/// An invalid field in a message of a peer.
struct PaceFault
{
    std::string peer;
    std::string endpoint;
    std::string_view field;
    std::int64_t value = 0;
};

/// Returns the load class of an endpoint with \p slots slots that runs \p calls calls.
[[nodiscard]] std::size_t loadClassOf(int calls, int slots);
/// Returns the load class of \p entry, to which a call was just sent. The calls there are this
/// daemon's and those that peers reported, or, if they are more, those that \p entry reported
/// before it got that call.
[[nodiscard]] std::size_t currentLoadClass(const EndpointEntry &entry, TimePoint now);
/// Returns the load class that \p entry would have with one more call.
[[nodiscard]] std::size_t nextLoadClass(const EndpointEntry &entry, TimePoint now);
/// Returns the pace that \p entry would have with one more call; 1 if unknown.
[[nodiscard]] double nextPace(const EndpointEntry &entry, TimePoint now);
/// Returns whether one more call to \p entry would hardly increase its throughput. Only calls that
/// are known without delay count, those of this daemon and those that \p entry reported: by calls
/// of peers, known 1 to 2 s late, all daemons would leave and choose the same endpoints at the same
/// time.
[[nodiscard]] bool isAtKnee(const EndpointEntry &entry, TimePoint now);

/// Returns the invalid field of \p report and its value, or an empty name if it is valid.
[[nodiscard]] std::pair<std::string_view, std::int64_t> faultIn(const EndpointPaceReport &report);
/// Returns the first invalid field in what \p peer reported, if any; the invalid reports are
/// ignored wherever reports are recorded.
template <typename Content>
[[nodiscard]] std::vector<PaceFault> paceFaultsIn(const std::string &peer, const Content &content);

/// Expected and measured times, summed over samples.
struct PaceSums
{
    double expectedMicros = 0;
    double measuredMicros = 0;

    PaceSums &operator+=(const PaceSums &other)
    {
        expectedMicros += other.expectedMicros;
        measuredMicros += other.measuredMicros;
        return *this;
    }
    PaceSums &operator*=(double factor)
    {
        expectedMicros *= factor;
        measuredMicros *= factor;
        return *this;
    }
};

/// Sums of one endpoint by load class.
using PaceCells = std::array<PaceSums, loadClassCount>;

/// Sums that were not sent to peers yet. They are sent in batches of maxReportedPaces endpoints
/// that take turns.
class PaceIncrements
{
public:
    /// Adds a report; ignores an invalid one, and further endpoints beyond maxEndpoints.
    void add(const EndpointPaceReport &report);
    /// Adds those of \p endpoints.
    void add(const PaceIncrements &other, const std::vector<std::string> &endpoints);
    /// Returns the endpoints of the next batch, which begins after \p last.
    [[nodiscard]] std::vector<std::string> batchAfter(const std::string &last) const;
    /// Appends the sums of \p endpoints, without those of \p excluded, to \p reports.
    void report(const std::vector<std::string> &endpoints, const PaceIncrements &excluded,
                std::vector<EndpointPaceReport> &reports) const;
    /// Removes the sums of \p endpoints.
    void remove(const std::vector<std::string> &endpoints);
    /// Halves all sums and removes negligible ones.
    void halve();
    void clear() { m_cells.clear(); }
    [[nodiscard]] std::size_t size() const { return m_cells.size(); }

private:
    /// Eight batches: names that a faulty peer makes up are bounded, as is the age of sums.
    static constexpr std::size_t maxEndpoints = 8 * maxReportedPaces;

    [[nodiscard]] PaceCells *cellsOf(const std::string &endpoint);

    std::map<std::string, PaceCells> m_cells;
};

/// What one source has for the next batch of a relay.
struct PaceTurn
{
    const PaceIncrements *increments = nullptr;
    std::string last; ///< The endpoint after which the source's part begins.
};

/// Returns the endpoints of the next batch of a relay, of which each source gets an equal part:
/// they take turns until all are used up or the batch is full. Sets PaceTurn::last to the last
/// endpoint of the part.
[[nodiscard]] std::vector<std::string> batchOf(std::vector<PaceTurn> &turns);

/// What is known of one endpoint.
struct PaceEstimate
{
    std::array<double, loadClassCount> pace{1, 1, 1, 1}; ///< By load class.
    std::size_t knee = loadClassCount - 1;               ///< The highest load class worth using.
    double level = 1;   ///< Relative to what the pool's endpoints take at the same load classes.
    double samples = 0; ///< Approximate number of recent samples.
};

/// Returns the highest load class worth using at \p pace: the next one raises the throughput, which
/// is calls by pace, by too little.
[[nodiscard]] std::size_t kneeOf(const std::array<double, loadClassCount> &pace);

/// The learned paces of the endpoints of one pool.
///
/// The expected ratio of measured to expected time of a sample is the product of the pool's ratio,
/// the level of the endpoint, and the shape of the pool, that is, the factor of the load class. A
/// single class of an endpoint may deviate from that product if it has samples of its own.
class PoolPace
{
public:
    /// Half of the evidence is forgotten in this period. With 5 requests per second at an endpoint
    /// from all daemons together, 15 samples remain.
    static constexpr std::chrono::seconds halfLife{2};
    /// The estimates assume this number of additional samples at the expected pace. With two, one
    /// sample that took three times as long as expected is not evidence of a slow endpoint.
    static constexpr double priorSamples = 2;
    static constexpr double minPace = 0.25;
    static constexpr double maxPace = 8;
    /// A load class is worth using if it raises the throughput by this factor.
    static constexpr double minThroughputGain = 1.05;
    /// A load class with fewer samples of the endpoint itself does not count as useless. With the
    /// next higher class giving 1.33 times the calls, few late samples would be taken for a knee,
    /// and prompts would leave the engines that have them cached.
    static constexpr double minKneeSamples = 4;

    /// Adds samples of \p endpoint.
    void add(const std::string &endpoint, std::size_t loadClass, const PaceSums &sums);
    /// Records the expected time of one request, the unit of evidence.
    void recordRequest(std::chrono::microseconds expected);
    /// Updates the estimates at \p now. Returns false if no evidence is left.
    [[nodiscard]] bool update(TimePoint now);
    /// Returns the estimate for \p endpoint as of the last update.
    [[nodiscard]] PaceEstimate estimate(const std::string &endpoint) const;

private:
    struct Endpoint
    {
        PaceCells cells;
        double level = 1;
    };

    [[nodiscard]] double priorMicros() const { return priorSamples * m_requestMicros; }
    void discountIfRecovering(Endpoint &endpoint, std::size_t loadClass,
                              const PaceSums &sums) const;
    void forget(TimePoint now);
    void fitLevels();
    void fitShape();

    /// Expected time of a request until samples of this daemon show it.
    static constexpr std::chrono::milliseconds defaultRequestTime{100};

    std::map<std::string, Endpoint> m_endpoints;
    std::array<double, loadClassCount> m_shape{1, 1, 1, 1};
    double m_ratio = 1; ///< Measured to expected time of the whole pool.
    double m_requestMicros =
        static_cast<double>(std::chrono::microseconds(defaultRequestTime).count());
    std::optional<TimePoint> m_forgotAt; ///< std::nullopt before the first update.
};

/// The state of an endpoint that is newly considered slow, or no longer.
struct SlownessChange
{
    std::string pool;
    std::string endpoint;
    bool isSlow = false;
    PaceEstimate estimate;
};

/// Counters of EndpointPaces.
struct EndpointPaceCounters
{
    std::uint64_t samples = 0; ///< Of this daemon.
    std::uint64_t reports = 0; ///< Of peers that were used.
    std::uint64_t invalid = 0; ///< Messages of peers with invalid fields.
};

/// The learned paces of all pools, kept by the control thread of a daemon.
class EndpointPaces
{
public:
    /// An endpoint is considered slow above the first level, and until its level falls below the
    /// second; without that distance, estimates close to the limit would be logged again and again.
    static constexpr double slowLevel = 1.5;
    static constexpr double recoveredLevel = 1.3;

    /// Records a sample of this daemon.
    void record(const EndpointPaceReport &sample, const Snapshot &snapshot);
    /// Records what peers reported.
    void recordPeers(const std::vector<EndpointPaceReport> &reports, const Snapshot &snapshot);
    void countInvalid(std::size_t messages) { m_counters.invalid += messages; }
    /// Returns sums of samples of this daemon that peers were not sent yet.
    [[nodiscard]] std::vector<EndpointPaceReport> drainIncrements();
    /// Updates the estimates and writes them to the load counters of \p snapshot. Returns which
    /// endpoints are newly considered slow, or no longer.
    std::vector<SlownessChange> apply(const Snapshot &snapshot, TimePoint now);
    [[nodiscard]] std::size_t slowCount() const { return m_slow.size(); }
    [[nodiscard]] const EndpointPaceCounters &counters() const { return m_counters; }

private:
    [[nodiscard]] bool add(const EndpointPaceReport &report, bool isOwn, const Snapshot &snapshot);
    void applyTo(const PoolEntry &pool, const PoolPace &pace, std::set<std::string> &slow,
                 std::vector<SlownessChange> &changes) const;

    std::map<std::string, PoolPace> m_pools;
    PaceIncrements m_increments;
    std::string m_lastReported;
    std::set<std::string> m_slow;
    EndpointPaceCounters m_counters;
};

template <typename Content>
std::vector<PaceFault> paceFaultsIn(const std::string &peer, const Content &content)
{
    for (const EndpointPaceReport &report : content.paces) {
        if (const auto [field, value] = faultIn(report); !field.empty()) {
            return {{peer, report.endpoint, field, value}};
        }
    }
    for (const auto &prompt : content.prompts) {
        if (prompt.calls < 0 || prompt.calls > maxReportedCalls) {
            return {{peer, prompt.endpoint, "calls", prompt.calls}};
        }
    }
    return {};
}

} // namespace harelink

#endif // HARELINK_KERNEL_ENDPOINTPACE_H
