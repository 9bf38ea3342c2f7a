//===- harelink/Kernel/hostlistlog.h - Changes of a host list ---*- C++ -*-===//
///
/// \file
/// The recent changes of the list of live hosts that a relay reports. A receiver that has
/// one of the recent lists gets only the hosts that have changed since. A whole list takes
/// 55 bytes per host; sent at each change to each host, the bytes would grow with the square
/// of their number.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_HOSTLISTLOG_H
#define HARELINK_KERNEL_HOSTLISTLOG_H

#include "harelink/Kernel/peers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The difference between two host lists.
struct HostListChanges
{
    std::vector<HostReport> hosts;         ///< New, or with another state.
    std::vector<std::string> removedHosts; ///< No longer live.
};

/// Remembers which hosts changed with each of the recent lists.
class HostListLog
{
public:
    /// Records the current list, whose hash is \p hash. Does nothing if that is the last hash.
    void record(const std::vector<HostReport> &hosts, std::uint64_t hash);
    /// Returns the changes since the list with \p hash, or std::nullopt if it is not known any
    /// more, or if the changes are no shorter than the list.
    [[nodiscard]] std::optional<HostListChanges> changesSince(std::uint64_t hash) const;
    /// Returns whether the last list has \p hash.
    [[nodiscard]] bool isCurrent(std::uint64_t hash) const
    {
        return !m_recent.empty() && currentHash() == hash;
    }
    /// Returns the hash of the last list; 0 if there is none.
    [[nodiscard]] std::uint64_t currentHash() const
    {
        return m_recent.empty() ? 0 : m_recent.back().first;
    }

private:
    /// A host of the last list, or one that has been removed from it.
    struct Host
    {
        HostReport report;
        bool isRemoved = false;
        std::uint64_t changedAt = 0; ///< Number of the list with the last change.
    };

    std::uint64_t m_number = 0; ///< Of the last list.
    std::map<std::string, Host> m_hosts;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_recent; ///< Hash and number, by number.
};

} // namespace harelink

#endif // HARELINK_KERNEL_HOSTLISTLOG_H
