//===- harelink/Kernel/coldstart.h - Endpoints that are cold ----*- C++ -*-===//
///
/// \file
/// An endpoint that has just started, or come back, is slow for some seconds and falls over
/// when it is pushed. Which are cold, and how often this daemon may send to one: all daemons
/// together stay within what it bears, without asking each other.
///
/// Weighed: sending nothing to one that is cold (where all are, nobody is served); one owner,
/// by hashing over the members (two owners wherever two daemons know other members); a part
/// of the rate for each daemon (of 89 each has less than one request). Chosen: nothing while
/// others can serve, and else only the few daemons that a hash draws for that endpoint, each
/// at most once in a second.
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

/// This daemon's part of what cold endpoints bear.
///
/// Each daemon draws for itself, by a hash of its own name and the endpoint's: of N hosts each
/// is drawn with the chance that makes the drawn ones send half of the rate in the mean. Each
/// knows its own draw only, so nothing hangs on which hosts know which. At a rate of 9.1
/// requests a second 4.5 daemons of 89, 300 or 400 are drawn in the mean; 14 or more, the rate
/// and half of it, once in 3,500 times; 19 or more, twice the rate, once in 2.8 million.
class ColdShares
{
public:
    /// Of a daemon that may not send to any: one that has just started knows too few hosts.
    ColdShares() = default;
    /// \param hosts how many are known, this one among them, whether they live or not: those
    ///        behind a cut count.
    ColdShares(std::string self, std::size_t hosts)
        : m_self(std::move(self))
        , m_hosts(hosts)
    {
    }
    /// The least time between two sends of this daemon to \p endpoint, which bears \p perSecond
    /// requests while it is cold; nothing where it may not send at all.
    [[nodiscard]] std::optional<Duration> intervalAt(const std::string &endpoint,
                                                     double perSecond) const;

private:
    std::string m_self;
    std::size_t m_hosts = 0;
};

/// Notes in the loads of \p next which endpoints are cold from \p now on: those that say so
/// anew, those that are new and say nothing, and those whose data centre was drained in
/// \p before and is taken back.
void recordColdStarts(const Snapshot &next, const Snapshot &before, TimePoint now,
                      const ColdShares &shares);

/// Records this daemon's share of what each endpoint of \p snapshot bears while it is cold, for
/// the time in which the daemon is not told which are.
void recordColdShares(const Snapshot &snapshot, const ColdShares &shares);

/// Records what an endpoint answered to a status check.
void recordColdState(const Snapshot &snapshot, const ColdStateChecked &state,
                     const ColdShares &shares, TimePoint now);

/// Whether changes of endpoints reach this daemon at \p now.
[[nodiscard]] bool receivesEndpointUpdates(const Snapshot &snapshot, TimePoint now);
/// Records until when they do, as the control finds at each of its turns; true where they
/// begin or cease to.
bool recordEndpointUpdatesUntil(const Snapshot &snapshot, TimePoint until,
                                const ColdShares &shares);
/// Whether \p entry has answered a status check that it is warm, a short time ago.
[[nodiscard]] bool isKnownWarm(const EndpointEntry &entry, TimePoint now);
/// Claims the status check of \p entry; false while one is under way.
[[nodiscard]] bool claimColdCheck(const EndpointEntry &entry, TimePoint now);

/// Whether \p entry is cold.
[[nodiscard]] bool isCold(const EndpointEntry &entry, TimePoint now);
/// Whether this daemon may send to \p entry, which is cold.
[[nodiscard]] bool maySendWhileCold(const EndpointEntry &entry, TimePoint now);

} // namespace harelink

#endif // HARELINK_KERNEL_COLDSTART_H
