//===- httpcaller.h - A caller with a bare socket ---------------*- C++ -*-===//
///
/// \file
/// A caller of an HTTP server that says and hears bytes, so that a mistake of a shared
/// codec would show.
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
    ~HttpCaller() { leave(); }
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    void say(const std::string &bytes) const
    {
        (void)send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    /// All bytes until the connection ends, or nothing comes for two seconds.
    [[nodiscard]] std::string hearAll() const { return hearUntil({}); }
    /// The same, but no more once \p text was heard, where it is not empty.
    [[nodiscard]] std::string hearUntil(const std::string &text) const
    {
        std::string heard;
        char buffer[4096];
        pollfd ready{m_socket, POLLIN, 0};
        while (poll(&ready, 1, 2000) > 0) {
            const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            heard.append(buffer, static_cast<std::size_t>(count));
            if (!text.empty() && heard.find(text) != std::string::npos) {
                break;
            }
        }
        return heard;
    }
    void leave()
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
