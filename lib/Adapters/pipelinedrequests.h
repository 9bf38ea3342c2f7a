//===- pipelinedrequests.h - Requests of one connection ---------*- C++ -*-===//
///
/// \file
/// Starts the requests of each connection one at a time.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_LIB_ADAPTERS_PIPELINEDREQUESTS_H
#define HARELINK_LIB_ADAPTERS_PIPELINEDREQUESTS_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace harelink {

/// Holds a request back until those before it on its connection are answered. One behind a reply
/// that closes the connection is never answered, so it must not run. Thread-safe.
class PipelinedRequests
{
public:
    using Start = std::function<void()>;

    void open(std::uint64_t connection);
    /// Drops the requests of \p connection that are held back.
    void close(std::uint64_t connection);
    [[nodiscard]] bool isOpen(std::uint64_t connection) const;
    /// Calls \p start now, or when the requests before it are answered. Drops it if \p connection
    /// is closed by then.
    void add(std::uint64_t connection, Start start);
    /// Records that the started request of \p connection is answered, and starts the next one.
    void recordAnswered(std::uint64_t connection);
    /// Drops all requests that are held back.
    void clear();

private:
    struct Connection
    {
        bool isBusy = false; ///< A request was started and isn't answered.
        std::deque<Start> heldBack;
    };

    mutable std::mutex m_mutex; ///< Guards the member below; never held during a call of a Start.
    std::map<std::uint64_t, Connection> m_connections; ///< The open ones.
};

} // namespace harelink

#endif // HARELINK_LIB_ADAPTERS_PIPELINEDREQUESTS_H
