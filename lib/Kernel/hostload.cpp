//===- hostload.cpp - Load of this host -----------------------------------===//

#include "harelink/Kernel/hostload.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harelink {
namespace {

constexpr std::array<std::string_view, hostLoopCount> loopNames{"listener", "worker", "control"};

} // namespace

std::string_view toText(HostLoop loop)
{
    return loopNames[static_cast<std::size_t>(loop)];
}

Duration HostLoadSample::maxDelay() const
{
    return *std::max_element(delays.begin(), delays.end());
}

double HostLoadSample::linkUse(double bytesPerSecond) const
{
    return std::max(receivedPerSecond, sentPerSecond) / bytesPerSecond;
}

void HostLoadAverage::add(const HostLoadSample &sample)
{
    using Seconds = std::chrono::duration<double>;
    const double weight = 1 - std::exp(-(Seconds(sample.period) / Seconds(averagingTime)));
    m_value.period = sample.period;
    m_value.connections = sample.connections;
    m_value.requests = sample.requests;
    m_value.receivedPerSecond += (sample.receivedPerSecond - m_value.receivedPerSecond) * weight;
    m_value.sentPerSecond += (sample.sentPerSecond - m_value.sentPerSecond) * weight;
    for (std::size_t i = 0; i < hostLoopCount; ++i) {
        const Seconds difference = sample.delays[i] - m_value.delays[i];
        m_value.delays[i] += std::chrono::duration_cast<Duration>(difference * weight);
    }
}

void HostLoadMeter::recordDelay(HostLoop loop, Duration delay)
{
    Delays &delays = m_delays[static_cast<std::size_t>(loop)];
    delays.nanos.fetch_add(
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::max(delay, Duration::zero()))
            .count(),
        std::memory_order_relaxed);
    delays.events.fetch_add(1, std::memory_order_relaxed);
}

std::optional<HostLoadSample> HostLoadMeter::sample(TimePoint now)
{
    const Totals totals{
        m_received.load(std::memory_order_relaxed), m_sent.load(std::memory_order_relaxed),
        m_connections.load(std::memory_order_relaxed), m_requests.load(std::memory_order_relaxed)};
    const Totals before = std::exchange(m_sampled, totals);
    const std::optional<TimePoint> sampledAt = std::exchange(m_sampledAt, now);
    HostLoadSample sample;
    for (std::size_t i = 0; i < hostLoopCount; ++i) {
        const std::int64_t nanos = m_delays[i].nanos.exchange(0, std::memory_order_relaxed);
        const std::int64_t events = m_delays[i].events.exchange(0, std::memory_order_relaxed);
        sample.delays[i] = std::chrono::nanoseconds(events == 0 ? 0 : nanos / events);
    }
    if (!sampledAt || now <= *sampledAt) {
        return std::nullopt;
    }
    sample.period = now - *sampledAt;
    const double seconds = std::chrono::duration<double>(sample.period).count();
    sample.receivedPerSecond = static_cast<double>(totals.received - before.received) / seconds;
    sample.sentPerSecond = static_cast<double>(totals.sent - before.sent) / seconds;
    sample.connections = totals.connections - before.connections;
    sample.requests = totals.requests - before.requests;
    return sample;
}

} // namespace harelink
