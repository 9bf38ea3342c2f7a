//===- harelink/Adapters/httpserver.h - HTTP server -------------*- C++ -*-===//
///
/// \file
/// HTTP server on RESTinio. This interface doesn't include RESTinio's headers.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_HTTPSERVER_H
#define HARELINK_ADAPTERS_HTTPSERVER_H

#include "harelink/Adapters/replybacklog.h"
#include "harelink/Adapters/requestintake.h"
#include "harelink/Kernel/hostload.h"
#include "harelink/Support/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harelink {

/// Header fields in message order.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// An incoming request.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string path;   ///< Without the query, as sent.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Lower-case names; the last value of each.
    HttpFields fields;                          ///< All header fields, with names as sent.
    std::string body;
    std::uint64_t connection = 0; ///< Id of the connection.
    /// For how long it waited until those before it on its connection were answered.
    Duration heldBack{};
    /// Counts the request in the budget of its server; null without one.
    std::shared_ptr<const IntakeTicket> memory;

    /// Returns the header \p name (lower case); empty if absent.
    [[nodiscard]] std::string header(const std::string &name) const;
    /// Returns the query parameter \p name; empty if absent.
    [[nodiscard]] std::string parameter(const std::string &name) const;
    /// Returns the non-empty segments of the path.
    [[nodiscard]] std::vector<std::string> pathParts() const;
};

/// The reply to a request.
struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json"; ///< If empty, only `headers` may set it.
    HttpFields headers;
    std::string body;
    bool close = false; ///< Closes the connection after this reply.
    /// Closes the connection without completing the reply, so that the caller can't take
    /// the part sent so far for a complete one.
    bool abort = false;
    /// Sends neither a length nor chunks: an orderly close of the connection ends the reply. If it
    /// ends early, the connection is reset.
    bool endsWithConnection = false;
    /// More parts follow: the reply is sent in chunks, one per call of the responder, unless it
    /// ends with its connection. Only the status, headers and framing of the first part are used.
    bool more = false;
    /// Called on a server's thread if this part cannot be sent; may be empty.
    std::function<void()> onSendFailed;
    /// Counts this part until it is sent; null for none.
    std::shared_ptr<ReplyBacklog> backlog;
};

/// Sends the reply. Thread-safe. Called once, or once for each part of a chunked
/// reply, in sequence.
using Responder = std::function<void(HttpReply)>;
/// Handles a request; called on the server's threads.
using HttpHandler = std::function<void(HttpRequest, Responder)>;

/// Options of a server.
struct HttpServerOptions
{
    std::string address; ///< IP address and port; port 0 selects a free one.
    int threads = 1;
    std::size_t maxBodyBytes = 1'100'000; ///< Larger bodies close the connection.
    std::size_t maxHeadBytes = 65'536;    ///< Larger heads close the connection.
    /// Limits the memory of all requests; must outlive the server and the requests; null for none.
    /// Its owner calls RequestIntake::tick().
    RequestIntake *intake = nullptr;
    std::size_t bodyCopies = 1; ///< How often the handler holds the body of a request.
    /// Returns the reply to a request for which no memory is left, which has no body then. May be
    /// empty.
    std::function<HttpReply(const HttpRequest &)> makeRefusal;
    /// Connections that are idle for longer than this between two requests are closed.
    std::chrono::milliseconds idleLimit{120'000};
    /// A connection is closed if its caller takes nothing for this time although data waits for it.
    /// The time for which the process is suspended doesn't count.
    std::chrono::milliseconds writeLimit{5'000};
    /// Called for each closed connection on a thread of the server; may be empty.
    std::function<void(std::uint64_t connection)> onClosed;
    HostLoadMeter *load = nullptr; ///< Must outlive the server; null for none.
    /// Returns whether a new connection is accepted; others are closed unread. May be empty, as the
    /// next ones.
    std::function<bool()> mayAccept;
    /// Called for each request on a connection, except for the first one.
    std::function<void()> onFurtherRequest;
    /// Returns whether a reply closes its connection, besides those with HttpReply::close.
    std::function<bool()> closesConnections;
};

/// What callers of a server may not have received.
struct UndeliveredReplies
{
    std::size_t requests = 0;    ///< Requests whose replies aren't written whole.
    std::size_t connections = 0; ///< Connections with bytes that aren't acknowledged.
    std::size_t bytes = 0;       ///< Bytes that are written and not acknowledged.

    [[nodiscard]] bool isEmpty() const { return requests == 0 && bytes == 0; }
};

/// A running server; the destructor stops it.
class HttpServer
{
public:
    /// Starts a server. Returns an error if it cannot listen on the address.
    static absl::StatusOr<std::unique_ptr<HttpServer>> start(const HttpServerOptions &options,
                                                             HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Returns the port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;
    /// Returns what is undelivered now. Where the system doesn't report what is acknowledged, only
    /// requests are counted. Thread-safe.
    [[nodiscard]] UndeliveredReplies undelivered() const;
    /// Calls \p task on a thread of the server after \p delay.
    void runAfter(Duration delay, std::function<void()> task);
    /// Stops listening and closes all connections.
    void stop();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_HTTPSERVER_H
