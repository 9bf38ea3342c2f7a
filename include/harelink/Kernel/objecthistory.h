//===- harelink/Kernel/objecthistory.h - Earlier values ---------*- C++ -*-===//
///
/// \file
/// Recognises earlier values of an object, which the store holds again when it has returned
/// from an older copy.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_OBJECTHISTORY_H
#define HARELINK_KERNEL_OBJECTHISTORY_H

#include "harelink/Support/hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The revisions of the last values of one object, with a hash of each.
class ObjectHistory
{
public:
    void record(std::uint64_t revision, const std::string &value)
    {
        if (m_values.size() == maxValues) {
            m_values.erase(m_values.begin());
        }
        m_values.emplace_back(revision, hash64(value));
    }
    /// Returns whether the object had \p value at \p revision.
    [[nodiscard]] bool contains(std::uint64_t revision, const std::string &value) const
    {
        const std::pair<std::uint64_t, std::uint64_t> wanted(revision, hash64(value));
        return std::find(m_values.begin(), m_values.end(), wanted) != m_values.end();
    }

private:
    /// A copy of the store is some seconds old, and an object changes a few times in them.
    static constexpr std::size_t maxValues = 8;

    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_values; ///< The oldest first.
};

} // namespace harelink

#endif // HARELINK_KERNEL_OBJECTHISTORY_H
