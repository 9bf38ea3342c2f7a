//===- curveauthenticator.cpp - Authentication of peers -------------------===//

#include "curveauthenticator.h"

#include <array>
#include <cerrno>

#include <zmq_addon.hpp>

namespace harelink {
namespace {

constexpr const char *zapAddress = "inproc://zeromq.zap.01";
/// Number of frames of a CURVE request: version, request id, domain, address, identity,
/// mechanism and public key.
constexpr std::size_t curveFrames = 7;
constexpr std::size_t requestIdFrame = 1;
constexpr std::size_t mechanismFrame = 5;
constexpr std::size_t keyFrame = 6;
constexpr std::size_t keyBytes = 32;

std::string encodeKey(const zmq::message_t &frame)
{
    std::array<char, keyTextBytes> text{};
    zmq_z85_encode(text.data(), frame.data<std::uint8_t>(), frame.size());
    return text.data();
}

} // namespace

CurveAuthenticator::CurveAuthenticator(zmq::context_t &context,
                                       const std::vector<std::string> &accepted)
    : m_socket(context, zmq::socket_type::rep)
    , m_accepted(accepted.begin(), accepted.end())
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.bind(zapAddress);
    m_thread = std::thread([this] { run(); });
}

CurveAuthenticator::~CurveAuthenticator()
{
    m_thread.join();
}

void CurveAuthenticator::run()
{
    bool running = true;
    while (running) {
        try {
            running = answerOne();
        } catch (const zmq::error_t &error) {
            // A signal only interrupts the wait; other errors mean that the context was shut down.
            running = error.num() == EINTR;
        }
    }
    m_socket.close();
}

bool CurveAuthenticator::answerOne()
{
    std::vector<zmq::message_t> request;
    if (!zmq::recv_multipart(m_socket, std::back_inserter(request))) {
        return false;
    }
    const bool isCurve = request.size() == curveFrames
                         && request[mechanismFrame].to_string_view() == "CURVE"
                         && request[keyFrame].size() == keyBytes;
    const bool isAccepted = isCurve && m_accepted.contains(encodeKey(request[keyFrame]));
    m_refused += isAccepted ? 0 : 1;
    const std::string id =
        request.size() > requestIdFrame ? request[requestIdFrame].to_string() : std::string();
    const std::array<std::string, 6> reply = {
        "1.0", id, isAccepted ? "200" : "400", isAccepted ? "OK" : "unknown key", "", ""};
    std::array<zmq::const_buffer, reply.size()> frames;
    for (std::size_t i = 0; i < reply.size(); ++i) {
        frames[i] = zmq::buffer(reply[i]);
    }
    return zmq::send_multipart(m_socket, frames).has_value();
}

} // namespace harelink
