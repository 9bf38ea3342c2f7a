//===- harelink/Daemon/callrelay.h - Calls made by peers --------*- C++ -*-===//
///
/// \file
/// Lets peers make the calls of this daemon's workers, and makes calls for peers. Used on the
/// control thread only.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_CALLRELAY_H
#define HARELINK_DAEMON_CALLRELAY_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Adapters/requestintake.h"
#include "harelink/Kernel/peers.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// A call that a worker wants a peer to make.
struct RelayRequest
{
    CallId call;
    std::string callerId; ///< Of a proxied request.
    std::string pool;
    std::string endpoint;
    HttpCall http;
};

/// A part of the answer to a call that a peer makes.
struct RelayedPart
{
    RelayPart part;
    bool isRelayLost = false; ///< The peer was lost; see StageFailed::isRelayLost.
};

/// Counters of the calls made by and for peers.
struct CallRelayCounters
{
    std::uint64_t requested = 0; ///< Calls that peers were asked to make.
    std::uint64_t lost = 0;      ///< Of these, ended since the peer or a part was lost.
    std::uint64_t unplaced = 0;  ///< Calls for which there was no peer.
    std::uint64_t served = 0;    ///< Calls made for peers.
    std::uint64_t refused = 0;   ///< Calls of peers that were not made.
    std::uint64_t pauses = 0;    ///< How often a peer had to take bytes before more were read.
};

/// The calls that peers make for this daemon, and those that it makes for peers.
class CallRelay
{
public:
    /// The functions by which the relay acts.
    struct Sink
    {
        /// Sends a message to a peer.
        std::function<void(const std::string &, decltype(PeerMessage::content))> send;
        /// Passes a part to the worker of the call.
        std::function<void(RelayedPart)> deliver;
        /// Returns whether this daemon has a path to a pool.
        std::function<bool(const std::string &)> reaches;
    };

    /// All references must outlive the relay.
    ///
    /// \param budget counts the bytes that wait for peers; null for none.
    /// \param intake limits the memory of the requests in both directions; null for none.
    CallRelay(const Clock &clock, HttpClient &http, Sink sink, BufferBudget *budget = nullptr,
              RequestIntake *intake = nullptr);

    /// Asks \p host to make the call of \p request; an empty host stands for none.
    void request(const std::string &host, const RelayRequest &request);
    /// Ends the call \p call of a worker; nothing is delivered for it any more.
    void cancel(const CallId &call);
    /// Tells the peer that makes the call \p call that \p bytes of the answer's body were taken.
    void acknowledge(const CallId &call, std::uint64_t bytes);
    /// Handles a message of a peer.
    void handle(const PeerMessage &message);
    /// Ends the calls that peers make for which \p isLive returns false.
    void dropLostPeers(const std::function<bool(const std::string &)> &isLive);
    /// Returns whether no call is made for a peer.
    [[nodiscard]] bool idle() const { return m_served.empty(); }
    [[nodiscard]] const CallRelayCounters &counters() const { return m_counters; }

private:
    /// A call of a worker that a peer makes.
    struct Requested
    {
        std::string host;
        std::uint32_t nextPart = 0;
        std::shared_ptr<const IntakeTicket> memory; ///< Of the message.
    };
    /// A call that this daemon makes for a peer.
    struct Served
    {
        explicit Served(BufferBudget *budget)
            : unacknowledged(budget)
        {
        }

        std::uint64_t transfer = 0;                 ///< Of the HTTP client.
        std::shared_ptr<const IntakeTicket> memory; ///< Of the request.
        std::uint32_t nextPart = 0;
        std::size_t windowBytes = 0; ///< See RelayCall; 0 for none.
        std::uint64_t sentBytes = 0; ///< Of the body.
        std::uint64_t takenBytes = 0;
        BufferedBytes unacknowledged; ///< Counts the bytes between both.
        /// Reading continues when at most this number of bytes is unacknowledged; std::nullopt
        /// while it isn't paused.
        std::optional<std::uint64_t> resumeAt;
    };
    using ServedId = std::pair<std::string, CallId>; ///< With the peer's name.

    void handle(const std::string &host, const RelayCall &call);
    void handle(const std::string &host, const RelayPart &part);
    void handle(const std::string &host, const RelayAck &ack);
    void handle(const std::string &host, const RelayCancel &cancel);
    void sendPart(const ServedId &id, const HttpResult &head, const std::string &body);
    void serve(const ServedId &id, const RelayCall &call,
               std::shared_ptr<const IntakeTicket> memory);
    [[nodiscard]] bool reserve(const RelayCall &call, std::shared_ptr<const IntakeTicket> &memory);
    void fail(const CallId &call, std::string error, bool wasSent);
    [[nodiscard]] bool recordArrival(const ServedId &id);

    const Clock &m_clock;
    HttpClient &m_http;
    Sink m_sink;
    BufferBudget *m_budget;
    RequestIntake *m_intake;
    std::map<CallId, Requested> m_requested;
    std::map<ServedId, Served> m_served;
    /// The calls that have arrived recently, so that a repeated message makes none.
    std::set<ServedId> m_arrived;
    std::deque<std::pair<TimePoint, ServedId>> m_arrivedOrder;
    CallRelayCounters m_counters;
};

} // namespace harelink

#endif // HARELINK_DAEMON_CALLRELAY_H
