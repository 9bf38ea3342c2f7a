//===- harelink/Adapters/peerlink.h - Messages between daemons --*- C++ -*-===//
///
/// \file
/// Transports PeerMessages as protobuf over ZeroMQ. Each daemon pulls from one
/// bound socket and pushes to one connected socket per peer. A message that
/// cannot be sent at once is dropped: the kernel repeats it or tolerates the loss.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_PEERLINK_H
#define HARELINK_ADAPTERS_PEERLINK_H

#include "harelink/Config/settings.h"
#include "harelink/Kernel/hostload.h"
#include "harelink/Kernel/peers.h"
#include "harelink/Support/clock.h"
#include "harelink/Support/hash.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace harelink {

/// Serializes \p message.
[[nodiscard]] std::string encodePeerMessage(const PeerMessage &message);
/// Parses the output of encodePeerMessage(); std::nullopt if \p bytes are invalid.
[[nodiscard]] std::optional<PeerMessage> decodePeerMessage(const std::string &bytes);

/// Counters of messages.
struct PeerLinkCounters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;    ///< Could not be sent in time.
    std::uint64_t unreadable = 0; ///< Received, but not a valid message.
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t unusableAddresses = 0; ///< Different ones that were reported.
};

/// Maximum number of unusable addresses that are reported.
inline constexpr std::uint64_t maxReportedAddresses = 1000;

/// Generates a key pair that accepts no other keys.
[[nodiscard]] PeerKeys makePeerKeys();

/// The peer sockets of one daemon. After listen() to be used by one thread only, except
/// for port().
class PeerLink
{
public:
    PeerLink();
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Requires CURVE for all connections. Must be called before listen().
    void enableCurve(const PeerKeys &keys);
    /// Counts the bytes of messages in \p load, which must outlive the link.
    void setLoadMeter(HostLoadMeter &load) { m_load = &load; }
    /// Expects receivers to use the key pair of \p publicKey instead of this daemon's pair,
    /// for key rotation. Must be called after enableCurve().
    void trustServer(const std::string &publicKey);
    /// Listens on \p address, an IP address and port; port 0 selects a free one.
    absl::Status listen(const std::string &address);
    /// Returns the port that the link listens on. Thread-safe after listen().
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// Returns a descriptor that becomes readable when messages may have arrived. It is
    /// edge-triggered: receive() must be called until it returns std::nullopt.
    [[nodiscard]] int descriptor() const;
    /// Sends or drops a message. The first messages to a peer are queued for a short time
    /// until its connection is established; flush() sends them.
    void send(const PeerSend &send, TimePoint now);
    /// Sends messages that were queued for a new connection.
    void flush(TimePoint now);
    /// Returns when flush() is due; TimePoint::max() if no message is queued.
    [[nodiscard]] TimePoint nextFlush() const { return m_nextFlush; }
    /// Returns the next received message; std::nullopt if there is none.
    std::optional<PeerMessage> receive();
    [[nodiscard]] const PeerLinkCounters &counters() const { return m_counters; }
    /// Returns the number of connections that were refused because their key is unknown.
    [[nodiscard]] std::uint64_t refusedConnections() const;

private:
    struct Sockets;

    /// A message that is queued until its connection is established.
    struct PendingMessage
    {
        std::string address;
        std::string bytes;
        TimePoint expiresAt;
    };

    struct Sender;
    Sender *findSender(const std::string &address, TimePoint now);
    void reportUnusable(const std::string &address, const std::string &fault);
    bool sendNow(const std::string &address, const std::string &bytes);
    const std::string &encode(const PeerMessage &message);

    std::unique_ptr<Sockets> m_sockets;
    std::uint16_t m_port = 0; ///< Stored, since other threads must not use the sockets.
    std::set<Hash128> m_unusableAddresses; ///< Hashes of those that were reported.
    std::vector<PendingMessage> m_pending;
    std::string m_encoded; ///< The last message.
    /// Objects of the last message if it was a push: it goes to many peers in succession, and
    /// compressing it once is enough.
    std::shared_ptr<const std::vector<PlatformObject>> m_encodedObjects;
    TimePoint m_nextFlush = TimePoint::max();
    PeerLinkCounters m_counters;
    HostLoadMeter *m_load = nullptr; ///< Null for none.
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_PEERLINK_H
