//===- rawendpoint.h - Raw socket HTTP endpoint ------------------*- C++ -*-===//
///
/// \file
/// An endpoint on the loopback address that sends any bytes, also those that no HTTP library
/// would send.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_UNITTESTS_ADAPTERS_RAWENDPOINT_H
#define HARELINK_UNITTESTS_ADAPTERS_RAWENDPOINT_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace harelink {

/// A connection that a RawEndpoint has accepted. Closed by its destructor.
class RawConnection
{
public:
    explicit RawConnection(int descriptor)
        : m_socket(descriptor)
    {
    }
    ~RawConnection() { close(m_socket); }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// Returns the header section of a request; empty if the connection ended.
    [[nodiscard]] std::string readRequest() const
    {
        std::string request;
        char buffer[4096];
        while (request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
            if (count <= 0) {
                return {};
            }
            request.append(buffer, static_cast<std::size_t>(count));
        }
        return request;
    }
    /// Sends \p bytes; returns whether the connection is still open.
    [[nodiscard]] bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Makes the connection be reset when it is closed.
    void resetOnClose() const
    {
        const linger option{1, 0};
        (void)setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

private:
    int m_socket;
};

/// Runs a function for each connection, on a thread of its own.
class RawEndpoint
{
public:
    /// Gets a connection and the header section of the request that it received.
    using Script = std::function<void(const RawConnection &, const std::string &request)>;

    explicit RawEndpoint(Script script)
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
        , m_script(std::move(script))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listener, 16);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptor = std::thread([this] { acceptConnections(); });
    }
    ~RawEndpoint()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        for (const int open : m_open) {
            shutdown(open, SHUT_RDWR);
        }
        for (std::thread &connection : m_threads) {
            connection.join();
        }
        for (const int open : m_open) {
            close(open);
        }
        close(m_listener);
    }
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] std::string url() const { return "http://" + address() + "/"; }
    /// Returns how many connections have ended on the endpoint's side.
    [[nodiscard]] int endedCount() const { return m_ended; }

private:
    void acceptConnections()
    {
        for (;;) {
            const int descriptor = accept(m_listener, nullptr, nullptr);
            if (descriptor < 0) {
                return;
            }
            // The duplicate stays valid for the destructor, which ends a script that blocks.
            m_open.push_back(dup(descriptor));
            m_threads.emplace_back([this, descriptor] {
                {
                    const RawConnection connection(descriptor);
                    const std::string request = connection.readRequest();
                    if (!request.empty()) {
                        m_script(connection, request);
                    }
                    shutdownUnlessReset(descriptor);
                }
                ++m_ended;
            });
        }
    }
    /// Ends the connection although the duplicate keeps its socket open.
    static void shutdownUnlessReset(int descriptor)
    {
        linger option{};
        socklen_t size = sizeof option;
        (void)getsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, &size);
        if (option.l_onoff == 0) {
            shutdown(descriptor, SHUT_WR);
            return;
        }
        // Dissolves the connection with a reset, which no other descriptor can delay.
        sockaddr unspecified{};
        unspecified.sa_family = AF_UNSPEC;
        (void)connect(descriptor, &unspecified, sizeof unspecified);
    }

    int m_listener;
    Script m_script;
    std::uint16_t m_port = 0;
    std::atomic<int> m_ended{0};
    std::thread m_acceptor;
    /// Used only by m_acceptor until it ends.
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
};

} // namespace harelink

#endif // HARELINK_UNITTESTS_ADAPTERS_RAWENDPOINT_H
