//===- harelink/Kernel/hostlistpoller.h - Reads the host list ---*- C++ -*-===//
///
/// \file
/// Reads the platform's list of hosts, often after a start and rarely once peers report
/// hosts.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_HOSTLISTPOLLER_H
#define HARELINK_KERNEL_HOSTLISTPOLLER_H

#include "harelink/Kernel/membership.h"
#include "harelink/Kernel/peerrelay.h"
#include "harelink/Kernel/platform.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace harelink {

/// Schedules reads of the platform's host list and joins the pages of a long one.
class HostListPoller
{
public:
    /// All references must outlive the poller.
    ///
    /// \param listsEndpoints whether the list also reports which endpoints are leaving, so that
    ///     peers do not replace it.
    HostListPoller(const Clock &clock, const Membership &membership, const PeerRelay &relay,
                   bool listsEndpoints);
    /// Adds the next call to \p calls if it is due.
    void tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    /// Returns whether this poller made the call \p callId.
    [[nodiscard]] bool owns(std::uint64_t callId) const
    {
        return callId != 0 && m_callId == callId;
    }
    /// Handles the result of a call. Returns the complete list once its last page has arrived.
    std::optional<std::vector<PlatformObject>> handle(const PlatformResult &result);
    /// Sets when the next call is due, from what the last list reported.
    void schedule();
    /// Returns whether a complete list has been read.
    [[nodiscard]] bool hasRead() const { return m_hasRead; }
    [[nodiscard]] TimePoint nextTick() const
    {
        return m_callId == 0 ? m_nextCall : TimePoint::max();
    }

private:
    [[nodiscard]] bool receivesFromRelay() const;
    [[nodiscard]] Duration interval() const;

    const Clock &m_clock;
    const Membership &m_membership;
    const PeerRelay &m_relay;
    bool m_listsEndpoints;
    TimePoint m_startedAt;
    TimePoint m_nextCall;
    std::uint64_t m_callId = 0;
    std::vector<PlatformObject> m_pages; ///< Of the list that is being read.
    bool m_hasRead = false;
    bool m_hasFailed = false; ///< The last call.
};

} // namespace harelink

#endif // HARELINK_KERNEL_HOSTLISTPOLLER_H
