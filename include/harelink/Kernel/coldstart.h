//===- harelink/Kernel/coldstart.h - Cold start of endpoints ----*- C++ -*-===//
///
/// \file
/// An endpoint that has just started or returned is slow for some seconds and fails under
/// overload. Tracks which endpoints are cold, and limits how often this daemon may send to one:
/// the daemons together stay within the rate that it accepts, without coordination.
///
/// A cold endpoint gets no requests while others can serve. Otherwise only the few daemons that
/// a hash selects for that endpoint send to it, each at most once per second. Rejected
/// alternatives: sending nothing to cold endpoints (no request is served if all are cold); one
/// owner by hashing over the members (two owners if two daemons know different members); an
/// equal share of the rate for each daemon (less than one request for each of 89 daemons).
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_COLDSTART_H
#define HARELINK_KERNEL_COLDSTART_H

#include "harelink/Kernel/endpointnotice.h"
#include "harelink/Kernel/snapshot.h"

#include <cstddef>
#include <optional>
#include <string>

namespace harelink {

/// Computes this daemon's share of the rate that cold endpoints accept.
///
/// A hash of the daemon's and the endpoint's name decides whether the daemon is selected: each
/// of N hosts has the probability with which the selected ones send half of the rate on average.
/// A daemon needs only its own result, so the selection does not depend on which hosts know each
/// other. At a rate of 9.1 requests per second, 4.5 daemons of 89, 300 or 400 are selected on
/// average; 14 or more (one and a half times the rate) once in 3,500 times, and 19 or more (twice
/// the rate) once in 2.8 million.
class ColdShares
{
public:
    /// Creates the shares of a daemon that may not send to any cold endpoint: one that has just
    /// started knows too few hosts.
    ColdShares() = default;
    /// \param hosts Number of known hosts, including this one and hosts that are not live: those
    ///        behind a network partition count.
    ColdShares(std::string self, std::size_t hosts)
        : m_self(std::move(self))
        , m_hosts(hosts)
    {
    }
    /// Returns the minimum time between two sends of this daemon to \p endpoint, which accepts
    /// \p perSecond requests while cold; std::nullopt if this daemon may not send to it.
    [[nodiscard]] std::optional<Duration> intervalAt(const std::string &endpoint,
                                                     double perSecond) const;

private:
    std::string m_self;
    std::size_t m_hosts = 0;
};

/// Records in the loads of \p next which endpoints are cold from \p now on: those that newly
/// declare it, new ones that declare nothing, and those whose data centre was drained in
/// \p before and is not any more.
void recordColdStarts(const Snapshot &next, const Snapshot &before, TimePoint now,
                      const ColdShares &shares);

/// Records this daemon's share of the cold rate for each endpoint of \p snapshot, for use while
/// the daemon receives no updates about which endpoints are cold.
void recordColdShares(const Snapshot &snapshot, const ColdShares &shares);

/// Records the result of an endpoint's status check.
void recordColdState(const Snapshot &snapshot, const ColdStateChecked &state,
                     const ColdShares &shares, TimePoint now);

/// Returns whether this daemon receives updates of endpoints at \p now.
[[nodiscard]] bool receivesEndpointUpdates(const Snapshot &snapshot, TimePoint now);
/// Records until when this daemon receives updates of endpoints; called in each iteration of the
/// control loop. Returns true if updates begin or cease.
bool recordEndpointUpdatesUntil(const Snapshot &snapshot, TimePoint until,
                                const ColdShares &shares);
/// Returns whether \p entry reported in a recent status check that it is warm.
[[nodiscard]] bool isKnownWarm(const EndpointEntry &entry, TimePoint now);
/// Claims the status check of \p entry; returns false while another one runs.
[[nodiscard]] bool claimColdCheck(const EndpointEntry &entry, TimePoint now);

/// Returns whether \p entry is cold.
[[nodiscard]] bool isCold(const EndpointEntry &entry, TimePoint now);
/// Returns whether this daemon may send to \p entry while it is cold.
[[nodiscard]] bool maySendWhileCold(const EndpointEntry &entry, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_COLDSTART_H
