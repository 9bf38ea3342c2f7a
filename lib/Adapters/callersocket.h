//===- callersocket.h - Sockets of a server's connections -------*- C++ -*-===//
///
/// \file
/// The sockets of an HTTP server, with what the system has not delivered to their peers.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_LIB_ADAPTERS_CALLERSOCKET_H
#define HARELINK_LIB_ADAPTERS_CALLERSOCKET_H

#include <cstddef>
#include <mutex>
#include <set>

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

    void add(int descriptor);
    /// Must be called before \p descriptor is closed.
    void remove(int descriptor);
    [[nodiscard]] UnacknowledgedBytes unacknowledged() const;

private:
    void shutdown() override {}

    mutable std::mutex m_mutex; ///< Guards m_descriptors; held during queries of the system.
    std::set<int> m_descriptors;
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
    /// Hide the functions of the base class for RESTinio, which calls one after the other.
    void shutdown(shutdown_type, std::error_code &) {}
    void close();

private:
    OpenSockets *m_sockets;
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
