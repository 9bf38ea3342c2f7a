//===- crashconfirmer.cpp - Endpoint crash checks -------------------------===//

#include "harelink/Kernel/crashconfirmer.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace harelink {
namespace {

/// Maximum number of calls that wait for a probe of one endpoint; further calls would add no
/// information and are dropped.
constexpr std::size_t maxPendingCalls = 256;
/// Delays after which an accepted probe is repeated. Together shorter than any restart of an
/// endpoint.
constexpr std::array<std::chrono::milliseconds, 2> repeatDelays{std::chrono::milliseconds(50),
                                                                std::chrono::milliseconds(200)};

} // namespace

std::string_view toText(ProbeOutcome outcome)
{
    switch (outcome) {
    case ProbeOutcome::Refused:
        return "refused";
    case ProbeOutcome::Accepted:
        return "accepted";
    case ProbeOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

void CrashConfirmer::add(BrokenCall call)
{
    if (call.address.empty()) {
        m_confirmed.push_back(std::move(call));
        return;
    }
    const std::string endpoint = call.endpoint;
    Pending &pending = m_pending[endpoint];
    if (pending.waiting.size() < maxPendingCalls) {
        pending.waiting.push_back(std::move(call));
    }
    if (pending.probed.empty()) {
        startProbe(endpoint, pending);
    }
}

void CrashConfirmer::startProbe(const std::string &endpoint, Pending &pending)
{
    pending.probed = std::exchange(pending.waiting, {});
    pending.repeats = 0;
    m_probes.push_back({endpoint, pending.probed.front().address});
}

void CrashConfirmer::handle(const EndpointProbeResult &event)
{
    const auto found = m_pending.find(event.endpoint);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
    if (event.outcome == ProbeOutcome::Accepted && pending.repeats < repeatDelays.size()) {
        pending.repeatAt = m_clock.now() + repeatDelays[pending.repeats];
        return;
    }
    std::vector<BrokenCall> probed = std::exchange(pending.probed, {});
    if (event.outcome == ProbeOutcome::Refused) {
        std::move(probed.begin(), probed.end(), std::back_inserter(m_confirmed));
    }
    if (pending.waiting.empty()) {
        m_pending.erase(found);
        return;
    }
    startProbe(event.endpoint, pending);
}

void CrashConfirmer::tick()
{
    for (auto &[endpoint, pending] : m_pending) {
        if (pending.repeatAt > m_clock.now()) {
            continue;
        }
        pending.repeatAt = TimePoint::max();
        ++pending.repeats;
        m_probes.push_back({endpoint, pending.probed.front().address});
    }
}

TimePoint CrashConfirmer::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[endpoint, pending] : m_pending) {
        next = std::min(next, pending.repeatAt);
    }
    return next;
}

} // namespace harelink
