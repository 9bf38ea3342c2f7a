//===- latency.cpp - Latency prediction and usage meters ------------------===//

#include "harelink/Kernel/latency.h"

#include "harelink/Kernel/load.h"

#include <algorithm>
#include <cmath>

namespace harelink {
namespace {

/// Maximum fraction by which a sample moves an estimate.
constexpr double adaptationRate = 0.2;
/// Lower bound of an estimate; an estimate of zero could not grow again.
constexpr double minSeconds = 1e-6;
/// Time without a sample after which an estimate halves with each second.
constexpr double decayDelaySeconds = 1;
/// Request size that adds as much time as the fixed cost of a call.
constexpr double bytesPerUnit = 16384;

/// Bits of a usage slot that hold microseconds; the other bits hold the window number.
constexpr unsigned microsBits = 40;
constexpr std::uint64_t microsMask = (std::uint64_t(1) << microsBits) - 1;
constexpr std::uint64_t windowMask = (std::uint64_t(1) << (64 - microsBits)) - 1;

double sizeFactor(std::size_t bytes)
{
    return 1 + static_cast<double>(bytes) / bytesPerUnit;
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::uint64_t windowOf(TimePoint now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch() / UsageMeter::windowLength)
           & windowMask;
}

} // namespace

Duration decayedEstimate(Duration estimate, Duration sinceLastSample)
{
    const double idle = std::chrono::duration<double>(sinceLastSample).count();
    const double halvings = std::max(0.0, idle - decayDelaySeconds);
    return fromSeconds(std::chrono::duration<double>(estimate).count() * std::exp2(-halvings));
}

void QuantileEstimate::add(Duration sample)
{
    const double seconds = std::chrono::duration<double>(sample).count();
    if (m_seconds == 0) {
        m_seconds = std::max(seconds, minSeconds);
        return;
    }
    const double step = seconds > m_seconds ? m_quantile : m_quantile - 1;
    m_seconds = std::max(m_seconds * (1 + adaptationRate * step), minSeconds);
}

Duration QuantileEstimate::value() const
{
    return fromSeconds(m_seconds);
}

void LatencyModel::add(TimePoint now, std::size_t bytes, Duration elapsed)
{
    m_lastSample = now;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_normalised.add(fromSeconds(seconds / sizeFactor(bytes)));
}

Duration LatencyModel::median(TimePoint now, std::size_t bytes) const
{
    const Duration decayed = decayedEstimate(m_normalised.value(), now - m_lastSample);
    return fromSeconds(std::chrono::duration<double>(decayed).count() * sizeFactor(bytes));
}

void UsageMeter::add(TimePoint now, Duration cost)
{
    m_unreportedMicros.fetch_add(
        std::chrono::duration_cast<std::chrono::microseconds>(cost).count(),
        std::memory_order_relaxed);
    addFromPeer(now, cost);
}

Duration UsageMeter::drainOwnUsage()
{
    return std::chrono::microseconds(m_unreportedMicros.exchange(0, std::memory_order_relaxed));
}

void UsageMeter::addFromPeer(TimePoint now, Duration cost)
{
    const std::uint64_t window = windowOf(now);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(cost).count();
    std::atomic<std::uint64_t> &slot = m_slots[window % windowCount];
    std::uint64_t packed = slot.load(std::memory_order_relaxed);
    std::uint64_t updated = 0;
    do {
        const bool current = (packed >> microsBits) == window;
        const auto before = current ? static_cast<std::int64_t>(packed & microsMask) : 0;
        const auto after = std::clamp<std::int64_t>(before + micros, 0, microsMask);
        updated = (window << microsBits) | static_cast<std::uint64_t>(after);
    } while (!slot.compare_exchange_weak(packed, updated, std::memory_order_relaxed));
}

Duration UsageMeter::recent(TimePoint now) const
{
    const std::uint64_t window = windowOf(now);
    std::uint64_t micros = 0;
    for (const std::atomic<std::uint64_t> &slot : m_slots) {
        const std::uint64_t packed = slot.load(std::memory_order_relaxed);
        if (((window - (packed >> microsBits)) & windowMask) < windowCount) {
            micros += packed & microsMask;
        }
    }
    return std::chrono::microseconds(micros);
}

} // namespace harelink
