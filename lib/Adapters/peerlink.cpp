//===- peerlink.cpp - Messages between daemons ----------------------------===//

#include "harelink/Adapters/peerlink.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Support/error.h"
#include "harelink/Support/log.h"

#include "curveauthenticator.h"

#include <zmq.hpp>

#include <array>
#include <cstdlib>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr Logger logger("peerlink");
/// Maximum number of messages queued for a slow peer; further ones are dropped.
constexpr int sendQueueLength = 10'000;
/// Maximum size of a received message, in bytes; a complete configuration fits.
constexpr std::int64_t maxMessageBytes = 16'000'000;
/// Interval of ZeroMQ's own heartbeats, and the time after which a connection without an answer to
/// one is replaced: connections may go silent without a reset.
constexpr std::chrono::milliseconds pingInterval{1000};
constexpr std::chrono::milliseconds pingTimeout{2000};
/// Maximum time for which a message is queued until the first connection to its peer is
/// established. Without the queue, the first order of each daemon to each batcher was lost and
/// repeated only 0.9 s later. After a longer time the message would be useless.
constexpr std::chrono::milliseconds maxConnectingTime{300};
/// Interval between send attempts for queued messages: connecting takes a round trip of one
/// or two milliseconds.
constexpr std::chrono::milliseconds flushInterval{3};

} // namespace

/// The connection to a peer.
struct PeerLink::Sender
{
    zmq::socket_t socket;
    TimePoint connectedAt;
};

/// The sockets, which must be closed before their context.
struct PeerLink::Sockets
{
    zmq::context_t context{1};
    std::unique_ptr<CurveAuthenticator> authenticator;
    std::optional<PeerKeys> keys;
    std::string serverKey; ///< Public key of the receivers to connect to.
    zmq::socket_t receiver{context, zmq::socket_type::pull};
    std::map<std::string, Sender> senders; ///< By address.

    Sockets() = default;
    ~Sockets()
    {
        senders.clear();
        receiver.close();
        // Unblocks the authenticator's thread.
        context.shutdown();
    }
    Sockets(const Sockets &) = delete;
    Sockets &operator=(const Sockets &) = delete;

    Sender &senderTo(const std::string &address, TimePoint now)
    {
        const auto found = senders.find(address);
        if (found != senders.end()) {
            return found->second;
        }
        zmq::socket_t socket(context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, sendQueueLength);
        socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(pingInterval.count()));
        socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(pingTimeout.count()));
        // Doesn't queue messages for an unreachable peer: they would arrive too late.
        socket.set(zmq::sockopt::immediate, true);
        if (keys) {
            socket.set(zmq::sockopt::curve_serverkey, serverKey);
            socket.set(zmq::sockopt::curve_publickey, keys->publicKey);
            socket.set(zmq::sockopt::curve_secretkey, keys->secretKey);
        }
        socket.connect("tcp://" + address);
        return senders.emplace(address, Sender{std::move(socket), now}).first->second;
    }
};

PeerLink::PeerLink()
    : m_sockets(std::make_unique<Sockets>())
{
}

PeerLink::~PeerLink() = default;

PeerKeys makePeerKeys()
{
    std::array<char, keyTextBytes> publicKey{};
    std::array<char, keyTextBytes> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return {publicKey.data(), secretKey.data(), {}};
}

void PeerLink::enableCurve(const PeerKeys &keys)
{
    std::vector<std::string> accepted = keys.accepted;
    accepted.push_back(keys.publicKey);
    m_sockets->authenticator = std::make_unique<CurveAuthenticator>(m_sockets->context, accepted);
    m_sockets->keys = keys;
    m_sockets->serverKey = keys.publicKey;
    m_sockets->receiver.set(zmq::sockopt::curve_server, true);
    m_sockets->receiver.set(zmq::sockopt::curve_secretkey, keys.secretKey);
}

void PeerLink::trustServer(const std::string &publicKey)
{
    m_sockets->serverKey = publicKey;
}

std::uint64_t PeerLink::refusedConnections() const
{
    return m_sockets->authenticator == nullptr ? 0 : m_sockets->authenticator->refusedConnections();
}

absl::Status PeerLink::listen(const std::string &address)
{
    try {
        m_sockets->receiver.set(zmq::sockopt::linger, 0);
        m_sockets->receiver.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        m_sockets->receiver.bind("tcp://" + address);
    } catch (const zmq::error_t &error) {
        return makeError(absl::StatusCode::kUnavailable, "listening for peers", address,
                         error.what());
    }
    const std::string endpoint = m_sockets->receiver.get(zmq::sockopt::last_endpoint);
    const std::size_t colon = endpoint.rfind(':');
    m_port = static_cast<std::uint16_t>(std::strtoul(endpoint.c_str() + colon + 1, nullptr, 10));
    return absl::OkStatus();
}

int PeerLink::descriptor() const
{
    return m_sockets->receiver.get(zmq::sockopt::fd);
}

bool PeerLink::sendNow(const std::string &address, const std::string &bytes)
{
    zmq::socket_t &socket = m_sockets->senders.at(address).socket;
    if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
        return false;
    }
    ++m_counters.sent;
    m_counters.sentBytes += bytes.size();
    if (m_load != nullptr) {
        m_load->recordSent(bytes.size());
    }
    return true;
}

/// Returns the sender for \p address; null if the address, which other daemons report, is
/// invalid. Host names are invalid: ZeroMQ would resolve them in the thread that serves all
/// connections.
PeerLink::Sender *PeerLink::findSender(const std::string &address, TimePoint now)
{
    std::string fault = "is not an IPv4 address and a port";
    try {
        if (isSocketAddress(address)) {
            return &m_sockets->senderTo(address, now);
        }
    } catch (const zmq::error_t &error) {
        fault = error.what();
    }
    reportUnusable(address, fault);
    return nullptr;
}

/// Logs each unusable address once, up to a number: peers may report any number of them.
void PeerLink::reportUnusable(const std::string &address, const std::string &fault)
{
    if (m_counters.unusableAddresses >= maxReportedAddresses
        || !m_unusableAddresses.insert(hash128(address)).second) {
        return;
    }
    m_counters.unusableAddresses = m_unusableAddresses.size();
    const bool isLast = m_counters.unusableAddresses == maxReportedAddresses;
    logger.record(LogLevel::Warning, "peer-address-unusable")
        .field("address", address)
        .field("detail", fault)
        .field("further", isLast ? "not logged" : "");
}

void PeerLink::send(const PeerSend &send, TimePoint now)
{
    const Sender *sender = findSender(send.address, now);
    if (sender == nullptr) {
        ++m_counters.dropped;
        return;
    }
    const std::string &bytes = encode(send.message);
    if (sendNow(send.address, bytes)) {
        return;
    }
    const TimePoint expiresAt = sender->connectedAt + maxConnectingTime;
    if (now >= expiresAt) {
        ++m_counters.dropped;
        return;
    }
    m_pending.push_back({send.address, bytes, expiresAt});
    m_nextFlush = std::min<TimePoint>(m_nextFlush, now + flushInterval);
}

/// Returns the encoded message, which is valid until the next call.
const std::string &PeerLink::encode(const PeerMessage &message)
{
    const auto *push = std::get_if<ConfigPush>(&message.content);
    if (push != nullptr && push->objects == m_encodedObjects) {
        return m_encoded;
    }
    m_encoded = encodePeerMessage(message);
    m_encodedObjects = push == nullptr ? nullptr : push->objects;
    return m_encoded;
}

void PeerLink::flush(TimePoint now)
{
    if (now < m_nextFlush) {
        return;
    }
    std::erase_if(m_pending, [this, now](const PendingMessage &message) {
        if (sendNow(message.address, message.bytes)) {
            return true;
        }
        const bool isExpired = now >= message.expiresAt;
        m_counters.dropped += isExpired ? 1 : 0;
        return isExpired;
    });
    m_nextFlush = m_pending.empty() ? TimePoint::max() : TimePoint(now + flushInterval);
}

std::optional<PeerMessage> PeerLink::receive()
{
    for (;;) {
        zmq::message_t bytes;
        if (!m_sockets->receiver.recv(bytes, zmq::recv_flags::dontwait)) {
            return std::nullopt;
        }
        m_counters.receivedBytes += bytes.size();
        if (m_load != nullptr) {
            m_load->recordReceived(bytes.size());
        }
        std::optional<PeerMessage> message = decodePeerMessage(bytes.to_string());
        if (message) {
            ++m_counters.received;
            return message;
        }
        ++m_counters.unreadable;
    }
}

} // namespace harelink
