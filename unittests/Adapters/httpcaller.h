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

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace harelink {

/// One connection to a server on the loopback address.
class HttpCaller
{
public:
    /// \param receiveBuffer size of the socket's receive buffer; 0 for the default.
    explicit HttpCaller(std::uint16_t port, int receiveBuffer = 0)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer > 0) {
            (void)setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        }
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
    /// Sends \p bytes; returns false if the connection was reset before.
    [[nodiscard]] bool tryWrite(const std::string &bytes) const
    {
        return send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
    }
    /// Returns all bytes until the connection is closed or idle for two seconds.
    [[nodiscard]] std::string readAll() const { return readUntil({}); }
    /// Like readAll(), but stops when \p text was received, unless it is empty.
    [[nodiscard]] std::string readUntil(const std::string &text,
                                        std::chrono::milliseconds idleLimit = idleTime) const
    {
        std::string received;
        char buffer[4096];
        pollfd ready{m_socket, POLLIN, 0};
        while (poll(&ready, 1, static_cast<int>(idleLimit.count())) > 0) {
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
    /// Reads until what was received ends with \p end, waiting \p pause between two reads.
    [[nodiscard]] std::string readUntilEnd(const std::string &end,
                                           std::chrono::microseconds pause) const
    {
        std::string received;
        std::vector<char> buffer(65'536);
        pollfd ready{m_socket, POLLIN, 0};
        while (!received.ends_with(end) && poll(&ready, 1, 10'000) > 0) {
            const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
            std::this_thread::sleep_for(pause);
        }
        return received;
    }
    /// Reads to the end of the connection, waiting \p pause between two reads. Returns what was
    /// received, and whether the connection was closed in order.
    [[nodiscard]] std::pair<std::string, bool> readToEnd(std::chrono::microseconds pause = {}) const
    {
        std::string received;
        std::vector<char> buffer(65'536);
        for (;;) {
            const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                return {received, count == 0};
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
            std::this_thread::sleep_for(pause);
        }
    }
    /// Reads up to \p size bytes, waiting up to two seconds for the first. Returns their number.
    [[nodiscard]] std::size_t readSome(std::size_t size) const
    {
        std::vector<char> buffer(size);
        pollfd ready{m_socket, POLLIN, 0};
        const int timeout = static_cast<int>(idleTime.count());
        const ssize_t count =
            poll(&ready, 1, timeout) > 0 ? recv(m_socket, buffer.data(), size, 0) : 0;
        return static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    void disconnect()
    {
        if (m_socket >= 0) {
            close(m_socket);
        }
        m_socket = -1;
    }

private:
    static constexpr std::chrono::milliseconds idleTime{2000};

    int m_socket;
};

/// Returns the data of a body in chunks.
inline std::string dechunk(const std::string &body)
{
    std::string data;
    std::size_t at = 0;
    while (at < body.size()) {
        const std::size_t size = std::strtoull(body.c_str() + at, nullptr, 16);
        at = body.find("\r\n", at) + 2;
        data.append(body, at, size);
        at += size + 2;
    }
    return data;
}

} // namespace harelink

#endif // HARELINK_UNITTESTS_ADAPTERS_HTTPCALLER_H
