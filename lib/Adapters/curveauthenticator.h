//===- curveauthenticator.h - Authentication of peers -----------*- C++ -*-===//
///
/// \file
/// Handles ZeroMQ's authentication requests (ZAP, RFC 27) for CURVE connections:
/// accepts peers whose public key is listed in the settings.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_LIB_ADAPTERS_CURVEAUTHENTICATOR_H
#define HARELINK_LIB_ADAPTERS_CURVEAUTHENTICATOR_H

#include <zmq.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace harelink {

/// Size of a key in Z85 with the terminating null, in bytes.
inline constexpr std::size_t keyTextBytes = 41;

/// Answers authentication requests on its own thread until the context is shut down.
class CurveAuthenticator
{
public:
    /// \param context context of the sockets to authenticate; must outlive this object.
    /// \param accepted public keys in Z85.
    CurveAuthenticator(zmq::context_t &context, const std::vector<std::string> &accepted);
    /// Blocks until the context is shut down.
    ~CurveAuthenticator();
    CurveAuthenticator(const CurveAuthenticator &) = delete;
    CurveAuthenticator &operator=(const CurveAuthenticator &) = delete;

    /// Returns the number of refused connections.
    [[nodiscard]] std::uint64_t refusedConnections() const { return m_refused; }

private:
    void run();
    bool answerOne();

    zmq::socket_t m_socket;
    std::set<std::string> m_accepted;
    std::atomic<std::uint64_t> m_refused{0};
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_LIB_ADAPTERS_CURVEAUTHENTICATOR_H
