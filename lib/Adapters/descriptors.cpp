//===- descriptors.cpp - Open descriptors ---------------------------------===//

#include "harelink/Adapters/descriptors.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>
#include <unistd.h>

namespace harelink {
namespace {

/// Part of the descriptors that callers' connections leave to calls and to other purposes.
constexpr std::size_t reservedShare = 4;
/// Part of them that calls leave to the listeners.
constexpr std::size_t listenerShare = 16;

/// Returns the lowest free descriptor, which is at most the number of open ones; the largest number
/// if there is none.
std::size_t lowestFreeDescriptor()
{
    const int copy = ::dup(STDERR_FILENO);
    if (copy < 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    ::close(copy);
    return static_cast<std::size_t>(copy);
}

} // namespace

std::size_t DescriptorLimit::limit() const
{
    ::rlimit system{};
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    if (::getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur != RLIM_INFINITY) {
        limit = system.rlim_cur;
    }
    return std::min(limit, m_stated.value_or(limit));
}

DescriptorLimit::Room DescriptorLimit::forCallers() const
{
    const std::size_t all = limit();
    const std::size_t reserved = all / reservedShare;
    const std::size_t next = lowestFreeDescriptor();
    if (next < all - reserved) {
        return Room::Free;
    }
    return next < all - reserved / 2 ? Room::Scarce : Room::Exhausted;
}

std::size_t DescriptorLimit::excess() const
{
    const std::size_t all = limit();
    const std::size_t allowed = all - all / reservedShare * 3 / 4;
    const std::size_t next = std::min(lowestFreeDescriptor(), all);
    return next > allowed ? next - allowed : 0;
}

bool DescriptorLimit::allowsCall(int descriptor) const
{
    const std::size_t all = limit();
    return static_cast<std::size_t>(descriptor) < all - all / listenerShare;
}

} // namespace harelink
