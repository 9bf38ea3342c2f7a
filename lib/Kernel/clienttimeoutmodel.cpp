//===- clienttimeoutmodel.cpp - Client timeouts ---------------------------===//

#include "harelink/Kernel/clienttimeoutmodel.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace harelink {
namespace {

/// Maximum spread of the timeouts of first attempts, caused by network latency and connection
/// setup.
constexpr std::chrono::milliseconds firstTrySpread{50};
/// A timeout is typical if at least one in typicalShareDivisor requests, and at least
/// minTypicalSamples of them, use it. First attempts reach this share even if callers retry
/// often; the few callers with longer timeouts do not.
constexpr std::size_t typicalShareDivisor = 6;
constexpr std::size_t minTypicalSamples = 4;

} // namespace

/// Returns the longest typical client timeout; zero if there is none.
Duration ClientTimeoutModel::typicalTimeout() const
{
    const std::size_t count = std::min(m_recorded, sampleCount);
    const std::size_t needed = std::max(minTypicalSamples, count / typicalShareDivisor);
    std::array<Duration, sampleCount> sorted = m_samples;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count),
              std::greater<>());
    for (std::size_t i = 0; i + needed <= count; ++i) {
        if (sorted[i] - sorted[i + needed - 1] <= firstTrySpread) {
            return sorted[i];
        }
    }
    return Duration::zero();
}

Duration ClientTimeoutModel::record(Duration allowed)
{
    m_samples[m_recorded++ % sampleCount] = allowed;
    const Duration timeSpent = typicalTimeout() - allowed;
    return timeSpent > firstTrySpread ? timeSpent : Duration::zero();
}

} // namespace harelink
