//===- hostlistpoller.cpp - Reads the host list ---------------------------===//

#include "harelink/Kernel/hostlistpoller.h"

#include <iterator>
#include <utility>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Interval at which a daemon that has just started reads the list: hosts that start together
/// may each have read it before the others were listed.
constexpr milliseconds startupInterval{2000};
constexpr milliseconds startupPeriod{6000};
/// Interval after startup, when heartbeats report new hosts. At startupInterval, the list made up
/// 2,500 of 6,200 calls of 86 daemons to the platform in 58 s.
constexpr milliseconds settledInterval{8000};
/// Interval if a relay reports all live hosts. Only relays need the list sooner, to discover each
/// other.
constexpr milliseconds relayedInterval{60'000};
/// Interval after a failure, and while no peer is known.
constexpr milliseconds retryInterval{500};

} // namespace

HostListPoller::HostListPoller(const Clock &clock, const Membership &membership,
                               const PeerRelay &relay, bool listsEndpoints)
    : m_clock(clock)
    , m_membership(membership)
    , m_relay(relay)
    , m_listsEndpoints(listsEndpoints)
    , m_startedAt(clock.now())
    , m_nextCall(clock.now())
{
}

/// Returns whether a relay reports all live hosts, so that the list is not needed.
bool HostListPoller::receivesFromRelay() const
{
    return !m_listsEndpoints && m_relay.isRelayed() && !m_relay.isRelay()
           && !m_membership.livePeers().empty();
}

void HostListPoller::tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    if (m_callId != 0 || m_clock.now() < m_nextCall) {
        return;
    }
    if (m_hasRead && m_pages.empty() && receivesFromRelay()) {
        m_nextCall = m_clock.now() + relayedInterval;
        return;
    }
    m_callId = nextCallId++;
    PlatformCall call;
    call.id = m_callId;
    call.operation = PlatformOperation::Hosts;
    call.name = m_pages.empty() ? std::string() : m_pages.back().name;
    calls.push_back(std::move(call));
}

std::optional<std::vector<PlatformObject>> HostListPoller::handle(const PlatformResult &result)
{
    m_callId = 0;
    // The rest of the list cannot be read after a page without the name of a host.
    const bool isStuck = result.more && result.objects.empty();
    m_hasFailed = result.outcome != PlatformOutcome::Ok || isStuck;
    if (m_hasFailed) {
        m_pages.clear();
        schedule();
        return std::nullopt;
    }
    m_pages.insert(m_pages.end(), result.objects.begin(), result.objects.end());
    if (result.more) {
        m_nextCall = m_clock.now();
        return std::nullopt;
    }
    m_hasRead = true;
    return std::exchange(m_pages, {});
}

Duration HostListPoller::interval() const
{
    if (m_hasFailed || m_membership.peers().empty()) {
        return retryInterval;
    }
    // The list can be read less often only if it serves to discover daemons and nothing else.
    const bool isSettled = !m_listsEndpoints && !m_membership.livePeers().empty()
                           && (m_relay.isRelayed() || m_clock.now() - m_startedAt > startupPeriod);
    if (!isSettled) {
        return startupInterval;
    }
    return receivesFromRelay() ? relayedInterval : settledInterval;
}

void HostListPoller::schedule()
{
    m_nextCall = m_clock.now() + interval();
}

} // namespace harelink
