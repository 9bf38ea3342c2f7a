//===- harelink/Kernel/resultbufferusage.h - Buffer usage -------*- C++ -*-===//
///
/// \file
/// Keeps account of the room that results take at the endpoints of a pool, as its batcher
/// sees it: from the end of their call until they are freed, or until their endpoint drops
/// them by itself.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RESULTBUFFERUSAGE_H
#define HARELINK_KERNEL_RESULTBUFFERUSAGE_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace harelink {

/// A result that takes room.
struct BufferedResult
{
    std::string endpoint;
    std::uint64_t bytes = 0;
    TimePoint until;  ///< When its endpoint drops it by itself.
    std::string host; ///< The daemon that ordered it.
};

/// The account.
class ResultBufferUsage
{
public:
    /// The result called \p handle takes room from now on.
    void keep(const std::string &handle, BufferedResult result);
    /// It takes none any more; nothing happens for one that is not known.
    void drop(const std::string &handle);
    /// Drops what was ordered by \p host; the handles of it.
    std::vector<std::string> dropOf(const std::string &host);
    /// Drops what was kept at \p endpoint, which is no more.
    void dropAt(const std::string &endpoint);
    /// Drops what endpoints have dropped by themselves.
    void expire(TimePoint now);

    /// \p endpoint had no room although some should have been left: it is taken to be full
    /// until \p until.
    void recordBufferFull(const std::string &endpoint, TimePoint until)
    {
        m_fullUntil[endpoint] = until;
    }
    /// Whether that holds.
    [[nodiscard]] bool isFull(const std::string &endpoint, TimePoint now) const;
    /// What results take at \p endpoint.
    [[nodiscard]] std::uint64_t bytesAt(const std::string &endpoint) const;

private:
    using Results = std::map<std::string, BufferedResult>; ///< By handle.

    Results::iterator erase(Results::iterator result);

    /// No result ends before: most are freed long before, and not all have to be looked at
    /// each time that one may have ended.
    TimePoint m_earliestEnd = TimePoint::max();
    Results m_results;
    std::map<std::string, std::uint64_t> m_bytes; ///< By endpoint.
    std::map<std::string, TimePoint> m_fullUntil; ///< By endpoint.
};

} // namespace harelink

#endif // HARELINK_KERNEL_RESULTBUFFERUSAGE_H
