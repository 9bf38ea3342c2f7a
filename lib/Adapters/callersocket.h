//===- callersocket.h - Sockets of a server's connections -------*- C++ -*-===//
///
/// \file
/// The sockets of an HTTP server, with what the system has not delivered to their peers.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_LIB_ADAPTERS_CALLERSOCKET_H
#define HARELINK_LIB_ADAPTERS_CALLERSOCKET_H

#include "harelink/Adapters/stalltimer.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <utility>

#include <asio.hpp>

namespace harelink {

/// Bytes that were written to sockets and that their peers have not acknowledged.
struct UnacknowledgedBytes
{
    std::size_t sockets = 0; ///< Sockets with such bytes.
    std::size_t bytes = 0;   ///< Sum over all sockets.
};

/// The open connections of a server. Thread-safe. Exists once for each io_context.
class OpenSockets : public asio::execution_context::service
{
public:
    using key_type = OpenSockets; // NOLINT(readability-identifier-naming): Required by Asio.
    static asio::execution_context::id id;

    explicit OpenSockets(asio::execution_context &context);

    /// Limits the time for which a write may make no progress.
    void setWriteLimit(Duration limit) { m_writeLimit = limit; }
    void add(int descriptor);
    /// Must be called before \p descriptor is closed.
    void remove(int descriptor);
    void beginWrite(int descriptor);
    /// Ends a write of which the system took a part at least, or that failed.
    void endWrite(int descriptor);
    /// Ends the connections with a write that makes no progress. Must be called each
    /// writeCheckInterval; time in which this process was suspended is left out.
    void endStalledWrites();

    static constexpr std::chrono::milliseconds writeCheckInterval{500};

    [[nodiscard]] UnacknowledgedBytes unacknowledged() const;

private:
    /// The writes to a socket, one at a time.
    struct Writes
    {
        StallTimer timer;
        bool isWriting = false;
        std::size_t unacknowledged = 0; ///< At the last check.
    };

    void shutdown() override {}

    const SystemClock m_clock;
    Duration m_writeLimit = std::chrono::seconds(5);
    mutable std::mutex m_mutex; ///< Guards the members below; held during queries of the system.
    std::map<int, Writes> m_sockets; ///< By descriptor.
    TimePoint m_checkedAt;
    SuspensionMeter m_suspensions{writeCheckInterval};
};

/// Keeps a descriptor among the open ones.
class OpenSocketEntry
{
public:
    OpenSocketEntry() = default;
    OpenSocketEntry(OpenSockets &sockets, int descriptor);
    OpenSocketEntry(OpenSocketEntry &&other) noexcept;
    OpenSocketEntry &operator=(OpenSocketEntry &&other) noexcept;
    OpenSocketEntry(const OpenSocketEntry &) = delete;
    OpenSocketEntry &operator=(const OpenSocketEntry &) = delete;
    ~OpenSocketEntry();

    void beginWrite() const;
    void endWrite() const;

private:
    OpenSockets *m_sockets = nullptr;
    int m_descriptor = -1;
};

/// A socket of a RESTinio server that is counted among the open ones while it is connected.
///
/// Closing ends the own direction and discards what still arrives until the peer has received
/// everything: the system resets a connection that is closed with unread bytes, and the peer then
/// loses the end of the last reply.
class CallerSocket : public asio::ip::tcp::socket
{
public:
    explicit CallerSocket(asio::io_context &context);

    /// Must be called once the socket is connected.
    void handleConnected();
    /// Sets whether the connection is reset when it is closed, also by the end of this process.
    void setResetOnClose(bool resets);
    /// Hide the functions of the base class for RESTinio, which calls one after the other.
    void shutdown(shutdown_type, std::error_code &) {}
    void close();
    /// Measures the writes of RESTinio.
    template <typename Buffers, typename Handler>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_write_some(const Buffers &buffers, Handler &&handler)
    {
        m_entry.beginWrite();
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_write_some(
            buffers, asio::bind_executor(
                         executor, [this, handler = std::forward<Handler>(handler)](
                                       const std::error_code &error, std::size_t written) mutable {
                             m_entry.endWrite();
                             std::move(handler)(error, written);
                         }));
    }

private:
    OpenSockets *m_sockets;
    bool m_resetsOnClose = false;
    OpenSocketEntry m_entry; // Destroyed before the base class closes the descriptor.
};

/// Called by RESTinio for each new connection, found by argument-dependent lookup.
template <typename Connection, typename StartRead, typename Failed>
// NOLINTNEXTLINE(readability-identifier-naming)
void prepare_connection_and_start_read(CallerSocket &socket, Connection &, StartRead startRead,
                                       Failed)
{
    socket.handleConnected();
    startRead();
}

} // namespace harelink

#endif // HARELINK_LIB_ADAPTERS_CALLERSOCKET_H
