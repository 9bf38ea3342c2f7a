//===- harelink/Kernel/hostload.h - Load of this host -----------*- C++ -*-===//
///
/// \file
/// Measures the load of a host: the bytes that pass its link, and how long events wait for its
/// threads. Without it, an overloaded host and slow endpoints look alike, since the times of calls
/// include the waits in this process.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_HOSTLOAD_H
#define HARELINK_KERNEL_HOSTLOAD_H

#include "harelink/Support/clock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace harelink {

/// An event loop of a daemon.
enum class HostLoop {
    Listener, ///< Reads callers' connections.
    Worker,
    Control,
};
/// The number of enumerators of HostLoop.
inline constexpr std::size_t hostLoopCount = static_cast<std::size_t>(HostLoop::Control) + 1;

/// Returns the name used in metrics and logs, such as "worker".
[[nodiscard]] std::string_view toText(HostLoop loop);

/// The load of a host in one period.
struct HostLoadSample
{
    Duration period{};
    double receivedPerSecond = 0;  ///< Bytes.
    double sentPerSecond = 0;      ///< Bytes.
    std::uint64_t connections = 0; ///< New connections of callers.
    std::uint64_t requests = 0;    ///< Read from callers.
    /// By loop: the mean wait of an event for the loop's thread; zero without events.
    std::array<Duration, hostLoopCount> delays{};

    [[nodiscard]] Duration maxDelay() const;
    /// Returns the part of a link of \p bytesPerSecond in each direction that is in use, of the
    /// direction with more traffic.
    [[nodiscard]] double linkUse(double bytesPerSecond) const;
};

/// The load of a host, averaged over about averagingTime.
class HostLoadAverage
{
public:
    static constexpr std::chrono::milliseconds averagingTime{300};

    void add(const HostLoadSample &sample);
    /// Counts are those of the last sample.
    [[nodiscard]] const HostLoadSample &value() const { return m_value; }

private:
    HostLoadSample m_value;
};

/// Counts what the threads of a daemon observe. Thread-safe, except for sample().
class HostLoadMeter
{
public:
    void recordReceived(std::size_t bytes)
    {
        m_received.fetch_add(bytes, std::memory_order_relaxed);
    }
    void recordSent(std::size_t bytes) { m_sent.fetch_add(bytes, std::memory_order_relaxed); }
    void recordConnection() { m_connections.fetch_add(1, std::memory_order_relaxed); }
    void recordRequest() { m_requests.fetch_add(1, std::memory_order_relaxed); }
    /// Records that an event waited for \p delay until its loop handled it.
    void recordDelay(HostLoop loop, Duration delay);

    /// Returns the load since the last call; std::nullopt at the first one. Must be called by one
    /// thread.
    [[nodiscard]] std::optional<HostLoadSample> sample(TimePoint now);

    [[nodiscard]] std::uint64_t receivedBytes() const { return m_received.load(); }
    [[nodiscard]] std::uint64_t sentBytes() const { return m_sent.load(); }

private:
    struct Delays
    {
        std::atomic<std::int64_t> nanos{0};
        std::atomic<std::int64_t> events{0};
    };
    /// The counters at the last sample.
    struct Totals
    {
        std::uint64_t received = 0;
        std::uint64_t sent = 0;
        std::uint64_t connections = 0;
        std::uint64_t requests = 0;
    };

    std::atomic<std::uint64_t> m_received{0};
    std::atomic<std::uint64_t> m_sent{0};
    std::atomic<std::uint64_t> m_connections{0};
    std::atomic<std::uint64_t> m_requests{0};
    std::array<Delays, hostLoopCount> m_delays{};
    Totals m_sampled;
    std::optional<TimePoint> m_sampledAt;
};

/// The load of this host and of its peers, shared by the threads of a daemon.
struct HostLoad
{
    HostLoadMeter meter;
    /// See ConnectionGate.
    std::atomic<bool> isCrowded{false};
    std::atomic<bool> isOverloaded{false}; ///< The pressure is 1 or more.
    std::atomic<bool> isReady{true};
    std::atomic<double> readsPerSecond{0};
    /// See PeerRoom.
    std::atomic<int> peers{0};
    std::atomic<int> servingPeers{0};
    std::atomic<int> crowdedPeers{0};
    std::atomic<double> peerReadsPerSecond{0};
    /// See PeerRelay::requestedMultiplier(); 0 if this host is no relay.
    std::atomic<std::uint32_t> relayMultiplier{0};
};

} // namespace harelink

#endif // HARELINK_KERNEL_HOSTLOAD_H
