//===- curveauthenticator.h - Who may connect as a peer ---------*- C++ -*-===//
///
/// \file
/// Answers ZeroMQ's question (ZAP, RFC 27) whether a peer that connects under
/// CURVE may do so: only with a public key that the settings name.
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

/// Bytes of a key in Z85, with the end of the text.
inline constexpr std::size_t keyTextBytes = 41;

/// Answers on a thread of its own, until the context is shut down.
class CurveAuthenticator
{
public:
    /// \param context whose sockets are asked about; outlives this.
    /// \param accepted public keys in Z85.
    CurveAuthenticator(zmq::context_t &context, const std::vector<std::string> &accepted);
    /// The context must have been shut down, or this waits for it.
    ~CurveAuthenticator();
    CurveAuthenticator(const CurveAuthenticator &) = delete;
    CurveAuthenticator &operator=(const CurveAuthenticator &) = delete;

    /// Connections that were refused.
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
