//===- crashconfirmer.cpp - Endpoint crash checks -------------------------===//

#include "harelink/Kernel/crashconfirmer.h"

#include <iterator>

namespace harelink {
namespace {

/// Maximum number of calls that wait for a probe of one endpoint; further calls would add no
/// information and are dropped.
constexpr std::size_t maxPendingCalls = 256;

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
    m_probes.push_back({endpoint, pending.probed.front().address});
}

void CrashConfirmer::handle(const EndpointProbeResult &event)
{
    const auto found = m_pending.find(event.endpoint);
    if (found == m_pending.end()) {
        return;
    }
    Pending &pending = found->second;
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

} // namespace harelink
