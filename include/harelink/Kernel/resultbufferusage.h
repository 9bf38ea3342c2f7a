//===- harelink/Kernel/resultbufferusage.h - Buffer usage -------*- C++ -*-===//
///
/// \file
/// Tracks the buffer space that results occupy at the endpoints of a pool, as seen by its
/// batcher: from the end of their call until they are freed or expire at their endpoint.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RESULTBUFFERUSAGE_H
#define HARELINK_KERNEL_RESULTBUFFERUSAGE_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// A result that an endpoint stores.
struct BufferedResult
{
    std::string endpoint;
    std::uint64_t bytes = 0;
    TimePoint allocatedAt; ///< When its call was sent.
    TimePoint expiresAt;   ///< When it expires at its endpoint.
    std::string host;      ///< The daemon that ordered it.
};

/// The buffer usage of all endpoints of one pool.
class ResultBufferUsage
{
public:
    /// Adds the result \p handle; replaces an earlier entry of that handle.
    void add(const std::string &handle, BufferedResult result);
    /// Removes and returns the result \p handle; returns std::nullopt if it is unknown.
    std::optional<BufferedResult> remove(const std::string &handle);
    /// Removes all results that \p host ordered, and returns their handles.
    std::vector<std::string> removeOrderedBy(const std::string &host);
    /// Removes all entries of \p endpoint, which no longer exists.
    void removeEndpoint(const std::string &endpoint);
    /// Removes the results that have expired at their endpoints.
    void expire(TimePoint now);

    /// Treats \p endpoint as full until \p until, since it reported no space although this
    /// account had some left.
    void recordBufferFull(const std::string &endpoint, TimePoint until)
    {
        m_fullUntil[endpoint] = until;
    }
    /// Returns whether recordBufferFull() is in effect for \p endpoint.
    [[nodiscard]] bool isFull(const std::string &endpoint, TimePoint now) const;
    /// Returns the bytes that results occupy at \p endpoint.
    [[nodiscard]] std::uint64_t bytesAt(const std::string &endpoint) const;

private:
    using Results = std::map<std::string, BufferedResult>; ///< By handle.

    Results::iterator erase(Results::iterator result);

    /// Lower bound of all expiry times. Most results are freed long before they expire, so
    /// expire() rarely has to scan them all.
    TimePoint m_earliestExpiry = TimePoint::max();
    Results m_results;
    std::map<std::string, std::uint64_t> m_bytes; ///< By endpoint.
    std::map<std::string, TimePoint> m_fullUntil; ///< By endpoint.
};

} // namespace harelink

#endif // HARELINK_KERNEL_RESULTBUFFERUSAGE_H
