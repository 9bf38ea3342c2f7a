//===- harelink/Adapters/peerlink.h - Messages between daemons --*- C++ -*-===//
///
/// \file
/// Carries PeerMessages over ZeroMQ, as protobuf. Each daemon pulls from one
/// bound socket and pushes to one connected socket per peer. A message that
/// cannot go at once is dropped: the kernel asks again or does without.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_PEERLINK_H
#define HARELINK_ADAPTERS_PEERLINK_H

#include "harelink/Config/settings.h"
#include "harelink/Kernel/peers.h"
#include "harelink/Support/clock.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace harelink {

/// The message as bytes.
[[nodiscard]] std::string encodePeerMessage(const PeerMessage &message);
/// Reads what encodePeerMessage() wrote; nothing where it is something else.
[[nodiscard]] std::optional<PeerMessage> decodePeerMessage(const std::string &bytes);

/// Counts of what passed.
struct PeerLinkCounters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;    ///< Could not go at once.
    std::uint64_t unreadable = 0; ///< Came in and was no message.
    std::uint64_t sentBytes = 0;
};

/// A new pair of keys, which accepts no other.
[[nodiscard]] PeerKeys makePeerKeys();

/// The sockets of one daemon. Belongs to one thread after listen().
class PeerLink
{
public:
    PeerLink();
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// From now on every connection is under CURVE. Before listen().
    void enableCurve(const PeerKeys &keys);
    /// Expects receivers to hold the pair of \p publicKey instead of the own pair, as
    /// while keys are exchanged. After enableCurve().
    void trustServer(const std::string &publicKey);
    /// Listens on \p address, an IP number and a port; port 0 takes a free one.
    absl::Status listen(const std::string &address);
    /// The port it listens on; from any thread once listen() is done.
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// Becomes readable when something may have come in. Only a change is shown,
    /// so receive() must be called until it gives nothing.
    [[nodiscard]] int descriptor() const;
    /// Sends, or drops. What goes to a peer for the first time waits for its connection,
    /// but not for long: flush() sends it.
    void send(const PeerSend &send, TimePoint now);
    /// Sends what has waited for a new connection.
    void flush(TimePoint now);
    /// When flush() is due; the latest of times where nothing waits.
    [[nodiscard]] TimePoint nextFlush() const { return m_nextFlush; }
    /// The next message that came in.
    std::optional<PeerMessage> receive();
    [[nodiscard]] const PeerLinkCounters &counters() const { return m_counters; }
    /// Connections refused for want of a known key.
    [[nodiscard]] std::uint64_t refusedConnections() const;

private:
    struct Sockets;

    /// A message that waits for a connection.
    struct PendingMessage
    {
        std::string address;
        std::string bytes;
        TimePoint until;
    };

    struct Sender;
    Sender *findSender(const std::string &address, TimePoint now);
    bool sendNow(const std::string &address, const std::string &bytes);

    std::unique_ptr<Sockets> m_sockets;
    std::uint16_t m_port = 0; ///< The sockets themselves belong to one thread.
    std::set<std::string> m_unusableAddresses;
    std::vector<PendingMessage> m_waiting;
    TimePoint m_nextFlush = TimePoint::max();
    PeerLinkCounters m_counters;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_PEERLINK_H
