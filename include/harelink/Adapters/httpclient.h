//===- harelink/Adapters/httpclient.h - Outgoing HTTP -----------*- C++ -*-===//
///
/// \file
/// Outgoing HTTP calls over libcurl's multi interface, for one thread.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_HTTPCLIENT_H
#define HARELINK_ADAPTERS_HTTPCLIENT_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harelink {

/// A call to make.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< Whole lines, as in "Accept: text/html".
    std::string body;
    Duration timeout{};
    Duration connectTimeout{}; ///< For the connection alone; zero for the same as timeout.
    /// The path and query to send, unchanged, in place of the url's; may be empty.
    std::string target;
    /// Sends no header field but those given and those that frame the body.
    bool omitDefaultHeaders = false;
    /// Whether the library may send it again when a kept connection breaks. Off,
    /// the call gets a connection of its own, which is never tried twice.
    bool resendable = true;
    /// Opens a connection of its own, sends nothing, and is done.
    bool connectOnly = false;
};

/// What is known of the connection of a call.
enum class HttpConnection {
    Unknown,
    Established,
    Refused, ///< Nobody listens there.
};

/// How a call ended.
struct HttpResult
{
    int status = 0;        ///< 0 where no whole answer came.
    bool sent = false;     ///< Whether any byte of the request may have left.
    bool isBroken = false; ///< The connection ended before the answer did.
    HttpConnection connection = HttpConnection::Unknown;
    std::string error; ///< Where status is 0.
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case; the last of each.
    /// All header fields in order, names as sent.
    std::vector<std::pair<std::string, std::string>> fields;
    int headStatus = 0; ///< Of the status line, also where no whole answer came.

    /// The header called \p name, or an empty text.
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// Makes calls. All methods but wakeUp() belong to one thread.
class HttpClient
{
public:
    using DoneCallback = std::function<void(HttpResult)>;
    /// Takes a part of the body as it comes; the headers so far are in the result.
    using BodyCallback = std::function<void(const HttpResult &, const std::string &)>;

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call; \p done is called once from poll(), unless it is cancelled.
    ///
    /// \param part is called from poll() with each part of the body, in order and
    ///        before \p done, whose result then has no body; may be empty.
    std::uint64_t send(const HttpCall &call, DoneCallback done, BodyCallback part = {});
    /// Stops a call; its \p done is not called.
    void cancel(std::uint64_t id);
    /// Moves calls on, waiting at most \p timeout for something to happen.
    ///
    /// \param extraDescriptor a file descriptor that ends the wait when it can
    ///        be read, or -1.
    void poll(Duration timeout, int extraDescriptor = -1);
    /// Ends a wait in poll(); may be called from any thread.
    void wakeUp();

private:
    class Transfer;
    struct Multi;

    void deliverParts();
    void finishTransfers();

    std::unique_ptr<Multi> m_multi;
    std::map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    std::vector<std::uint64_t> m_withParts; // Calls of which something came in.
    std::uint64_t m_nextId = 1;
};

/// Makes one call and waits for its end; for command-line programs.
HttpResult callAndWait(const HttpCall &call);

} // namespace harelink

#endif // HARELINK_ADAPTERS_HTTPCLIENT_H
