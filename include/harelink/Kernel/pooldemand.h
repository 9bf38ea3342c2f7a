//===- harelink/Kernel/pooldemand.h - Who still needs a pool ----*- C++ -*-===//
///
/// \file
/// Counts the requests of one worker that still need a pool, whether they wait
/// for it or are at an earlier stage, and tells how long a new one would wait.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_POOLDEMAND_H
#define HARELINK_KERNEL_POOLDEMAND_H

#include "harelink/Kernel/snapshot.h"

#include <cstddef>
#include <map>
#include <string>

namespace harelink {

/// Counts by account.
class PoolDemand
{
public:
    /// A request of \p account needs the pool.
    void add(const std::string &account);
    /// One that was added was sent there, or ended.
    void remove(const std::string &account);
    /// How many requests of all accounts would go before a new one of
    /// \p account, if each account gets its share.
    [[nodiscard]] double requestsAhead(const Snapshot &snapshot, const std::string &account) const;
    /// How many requests of all accounts need the pool.
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    std::map<std::string, std::size_t> m_accounts; // Only those that need it.
    std::size_t m_size = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_POOLDEMAND_H
