//===- harelink/Adapters/descriptors.h - Open descriptors -------*- C++ -*-===//
///
/// \file
/// Limits the descriptors that callers' connections and calls take. A listener that finds none free
/// stops for good: RESTinio accepts nothing more after an error.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_DESCRIPTORS_H
#define HARELINK_ADAPTERS_DESCRIPTORS_H

#include <cstddef>
#include <optional>

namespace harelink {

/// The descriptors that this process may open. Thread-safe.
class DescriptorLimit
{
public:
    /// How many descriptors are left.
    enum class Room {
        Free,
        Scarce,    ///< A connection is accepted in place of another one.
        Exhausted, ///< What is left is kept for other purposes.
    };

    /// \param stated the limit of the host; that of the system applies, too.
    explicit DescriptorLimit(std::optional<std::size_t> stated = std::nullopt)
        : m_stated(stated)
    {
    }

    /// Returns the room for connections of callers.
    [[nodiscard]] Room forCallers() const;
    /// Returns how many descriptors are to be freed so that half of the scarce ones are free for
    /// new connections.
    [[nodiscard]] std::size_t excess() const;
    /// Returns whether a call may use the new \p descriptor.
    [[nodiscard]] bool allowsCall(int descriptor) const;

private:
    [[nodiscard]] std::size_t limit() const;

    std::optional<std::size_t> m_stated;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_DESCRIPTORS_H
