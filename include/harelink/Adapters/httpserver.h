//===- harelink/Adapters/httpserver.h - Incoming HTTP -----------*- C++ -*-===//
///
/// \file
/// An HTTP server over RESTinio, behind an interface that does not include it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_HTTPSERVER_H
#define HARELINK_ADAPTERS_HTTPSERVER_H

#include "harelink/Support/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harelink {

/// Header fields in the order in which they stand in a message.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// A request that came in.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string path;   ///< Without the query, as sent.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case; the last of each.
    HttpFields fields;                          ///< All of them, names as sent.
    std::string body;
    std::uint64_t connection = 0; ///< The same for all requests of a connection.

    /// The header called \p name (lower case), or an empty text.
    [[nodiscard]] std::string header(const std::string &name) const;
    /// The query parameter called \p name, or an empty text.
    [[nodiscard]] std::string parameter(const std::string &name) const;
    /// The path's parts between slashes.
    [[nodiscard]] std::vector<std::string> pathParts() const;
};

/// The reply to a request.
struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json"; ///< Empty: the headers say it, or nobody.
    HttpFields headers;
    std::string body;
    bool close = false; ///< The connection ends after this reply.
    /// The connection is cut: what was sent of the reply so far must not look whole.
    bool abort = false;
    /// More parts follow: the reply is sent in chunks, each with a call of the
    /// responder. Only the first part's status and headers count.
    bool more = false;
    /// Called on a server's thread if this part cannot be sent; may be empty.
    std::function<void()> onSendFailed;
};

/// Sends the reply; from any thread. Called once, or once for each part of a
/// reply in parts, one after the other.
using Responder = std::function<void(HttpReply)>;
/// Takes a request in; called on the server's threads.
using HttpHandler = std::function<void(HttpRequest, Responder)>;

/// What a server is told at start.
struct HttpServerOptions
{
    std::string address; ///< IP number and port; port 0 takes a free one.
    int threads = 1;
    std::size_t maxBodyBytes = 1'100'000; ///< Larger ones end the connection.
    /// A connection may be silent so long between two requests.
    std::chrono::milliseconds idleLimit{120'000};
    /// Told of each connection that ended, on a thread of the server; may be empty.
    std::function<void(std::uint64_t connection)> onClosed;
};

/// A running server; stops when destroyed.
class HttpServer
{
public:
    /// Starts to listen.
    static absl::StatusOr<std::unique_ptr<HttpServer>> start(const HttpServerOptions &options,
                                                             HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The port it listens on.
    [[nodiscard]] std::uint16_t port() const;
    /// Calls \p task on a thread of the server after \p delay.
    void runAfter(Duration delay, std::function<void()> task);
    /// Stops listening and ends all connections.
    void stop();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_HTTPSERVER_H
