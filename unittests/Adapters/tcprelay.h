//===- tcprelay.h - Connections that go silent -------------------*- C++ -*-===//
///
/// \file
/// Forwards TCP connections on the loopback address until they are made silent.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_UNITTESTS_ADAPTERS_TCPRELAY_H
#define HARELINK_UNITTESTS_ADAPTERS_TCPRELAY_H

#include <asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace harelink {

/// Forwards each connection to a port, on a thread of its own.
class TcpRelay
{
public:
    explicit TcpRelay(std::uint16_t target)
        : m_target(asio::ip::address_v4::loopback(), target)
        , m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~TcpRelay()
    {
        m_context.stop();
        m_thread.join();
    }
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// Makes the connections that are open now silent for good. They are neither closed nor reset.
    void silence() { ++m_silenced; }

private:
    struct Connection
    {
        asio::ip::tcp::socket from;
        asio::ip::tcp::socket to;
        int number = 0; ///< How often connections had been made silent before.
    };
    struct Direction
    {
        std::shared_ptr<Connection> connection;
        asio::ip::tcp::socket &from;
        asio::ip::tcp::socket &to;
        std::array<char, 4096> buffer{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto connection = std::make_shared<Connection>(
                Connection{std::move(socket), asio::ip::tcp::socket(m_context), m_silenced});
            std::error_code refused;
            connection->to.connect(m_target, refused);
            if (!refused) {
                forward(std::make_shared<Direction>(
                    Direction{connection, connection->from, connection->to}));
                forward(std::make_shared<Direction>(
                    Direction{connection, connection->to, connection->from}));
            }
            accept();
        });
    }
    void forward(const std::shared_ptr<Direction> &direction)
    {
        direction->from.async_read_some(
            asio::buffer(direction->buffer),
            [this, direction](const std::error_code &error, std::size_t bytes) {
                if (error) {
                    std::error_code ignored;
                    direction->to.close(ignored);
                    return;
                }
                if (direction->connection->number == m_silenced) {
                    std::error_code ignored;
                    asio::write(direction->to, asio::buffer(direction->buffer, bytes), ignored);
                }
                forward(direction);
            });
    }

    asio::io_context m_context;
    asio::ip::tcp::endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    const std::uint16_t m_port;
    std::atomic<int> m_silenced{0};
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_UNITTESTS_ADAPTERS_TCPRELAY_H
