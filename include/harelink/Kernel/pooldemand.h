//===- harelink/Kernel/pooldemand.h - Pending demand for a pool -*- C++ -*-===//
///
/// \file
/// Counts the requests of one worker that still need a pool, either waiting for
/// it or at an earlier stage, and computes the queue position of a new request.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_POOLDEMAND_H
#define HARELINK_KERNEL_POOLDEMAND_H

#include "harelink/Kernel/snapshot.h"

#include <cstddef>
#include <map>
#include <string>

namespace harelink {

/// Pending requests by account.
class PoolDemand
{
public:
    /// Adds a request of \p account that needs the pool.
    void add(const std::string &account);
    /// Removes a request of \p account that was sent to the pool or has ended.
    void remove(const std::string &account);
    /// Returns the number of requests of all accounts that would be sent before a new one of
    /// \p account, if each account gets its share.
    [[nodiscard]] double requestsAhead(const Snapshot &snapshot, const std::string &account) const;
    /// Returns the number of requests of all accounts that need the pool.
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    std::map<std::string, std::size_t> m_accounts; // Only those with requests.
    std::size_t m_size = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_POOLDEMAND_H
