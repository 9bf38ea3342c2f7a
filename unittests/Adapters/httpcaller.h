//===- httpcaller.h - Raw socket HTTP client ---------------------*- C++ -*-===//
///
/// \file
/// An HTTP client that sends and receives raw bytes, so that a fault shared by the
/// production code for both sides would be detected.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_UNITTESTS_ADAPTERS_HTTPCALLER_H
#define HARELINK_UNITTESTS_ADAPTERS_HTTPCALLER_H

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace harelink {

/// One connection to a server on the loopback address.
class HttpCaller
{
public:
    explicit HttpCaller(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        (void)connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    }
    ~HttpCaller() { disconnect(); }
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    void write(const std::string &bytes) const
    {
        (void)send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    /// Returns all bytes until the connection is closed or idle for two seconds.
    [[nodiscard]] std::string readAll() const { return readUntil({}); }
    /// Like readAll(), but stops when \p text was received, unless it is empty.
    [[nodiscard]] std::string readUntil(const std::string &text) const
    {
        std::string received;
        char buffer[4096];
        pollfd ready{m_socket, POLLIN, 0};
        while (poll(&ready, 1, 2000) > 0) {
            const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            if (!text.empty() && received.find(text) != std::string::npos) {
                break;
            }
        }
        return received;
    }
    void disconnect()
    {
        if (m_socket >= 0) {
            close(m_socket);
        }
        m_socket = -1;
    }

private:
    int m_socket;
};

} // namespace harelink

#endif // HARELINK_UNITTESTS_ADAPTERS_HTTPCALLER_H
