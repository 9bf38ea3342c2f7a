//===- clienttimeoutmodel.cpp - Time callers spent -----------------------------===//

#include "harelink/Kernel/clienttimeoutmodel.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace harelink {
namespace {

/// Requests on their first try differ by so much: the way from the caller, and connections
/// that are made first.
constexpr std::chrono::milliseconds firstTrySpread{50};
/// What is usual is allowed by at least this part of requests, and by so many: first tries
/// are that many even where callers come back often, and the few that are more patient than
/// others are fewer.
constexpr std::size_t typicalShareDivisor = 6;
constexpr std::size_t minTypicalSamples = 4;

} // namespace

/// The longest time that callers usually allow; zero where no time is usual.
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
