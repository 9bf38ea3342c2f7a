//===- harelink/Adapters/httpclient.h - HTTP client -------------*- C++ -*-===//
///
/// \file
/// HTTP client of one thread over libcurl's multi interface.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_HTTPCLIENT_H
#define HARELINK_ADAPTERS_HTTPCLIENT_H

#include "harelink/Adapters/bufferbudget.h"
#include "harelink/Adapters/descriptors.h"
#include "harelink/Kernel/hostload.h"
#include "harelink/Kernel/proxied.h"
#include "harelink/Support/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// An outgoing HTTP call.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< Complete lines such as "Accept: text/html".
    std::string body;
    /// Used in place of the body unless null, so that calls don't copy it.
    std::shared_ptr<const std::string> sharedBody;
    Duration timeout{};
    Duration connectTimeout{}; ///< Limits connecting; zero means no limit besides timeout.
    /// Path and query that are sent unchanged in place of those of the URL, unless empty.
    std::string target;
    /// Sends only the given header fields and those that frame the body.
    bool omitDefaultHeaders = false;
    /// Whether the call may use a connection that an earlier one has kept. libcurl resends it if
    /// that connection breaks, and takes an answer that arrives late for an earlier call for its
    /// own. If false, the call gets a new connection and is never sent twice.
    bool resendable = false;
    /// Only opens a new connection, without sending a request.
    bool connectOnly = false;
    /// Replaces the client's bound on a body without body callback, unless zero. Such a body is
    /// not refused when the budget is used up.
    std::size_t maxBodyBytes = 0;

    /// Returns the body that is sent.
    [[nodiscard]] const std::string &sentBody() const { return sharedBody ? *sharedBody : body; }
};

/// State of the connection of a call.
enum class HttpConnection {
    Unknown,
    Established,
    Refused, ///< No process listens at the address.
};

/// The result of a call.
struct HttpResult
{
    int status = 0;        ///< 0 if no complete answer was received.
    bool sent = false;     ///< Whether any byte of the request may have been sent.
    bool isBroken = false; ///< The peer closed the connection before the answer was complete.
    HttpConnection connection = HttpConnection::Unknown;
    std::string error; ///< Error text if status is 0.
    std::string body;
    std::map<std::string, std::string> headers; ///< Lower-case names; the last value of each.
    /// All header fields in order, with names as sent.
    std::vector<std::pair<std::string, std::string>> fields;
    int headStatus = 0; ///< From the status line, also if the answer is incomplete.
    /// The part of the answer that exceeded its bound, which ended the call.
    std::optional<AnswerPart> exceeded;
    /// Whether no data has arrived since reading was paused. A peer may close a connection that is
    /// not read for some seconds, which is no evidence of a crash.
    bool mayBeCutOff = false;
    Duration longestPause{}; ///< Longest time for which reading was paused.

    /// Returns the header \p name (lower case); empty if absent.
    [[nodiscard]] std::string header(const std::string &name) const;
    /// Returns what tells the end of the answer, by its head.
    [[nodiscard]] AnswerFraming framing() const;
};

/// Options of a client.
struct HttpClientOptions
{
    AnswerBounds bounds;
    BufferBudget *budget = nullptr; ///< Must outlive the client; null for none.
    const Clock *clock = nullptr;   ///< Must outlive the client; null for the system's clock.
    HostLoadMeter *load = nullptr;  ///< Must outlive the client; null for none.
    /// Must outlive the client; null for none. Calls fail that would use up the descriptors.
    const DescriptorLimit *descriptors = nullptr;
};

/// Returns \p text with all characters escaped that have a meaning in a URL or can't stand there.
[[nodiscard]] std::string escapeForUrl(const std::string &text);

/// Makes HTTP calls. All methods except wakeUp() must be called from one thread.
class HttpClient
{
public:
    using DoneCallback = std::function<void(HttpResult)>;
    /// Receives a part of the body; the result holds the headers received so far.
    using BodyCallback = std::function<void(const HttpResult &, const std::string &)>;

    explicit HttpClient(const HttpClientOptions &options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call and returns its id. \p onDone is called once from poll(), unless the
    /// call is cancelled.
    ///
    /// \param onBody is called from poll() with each part of the body, in order and
    ///        before \p onDone, whose result then has no body; may be empty.
    std::uint64_t send(const HttpCall &call, DoneCallback onDone, BodyCallback onBody = {});
    /// Cancels a call; its callbacks are not called.
    void cancel(std::uint64_t id);
    /// Pauses or resumes reading the answer to a call that has a body callback. What was read
    /// before is still delivered.
    void pause(std::uint64_t id);
    void resume(std::uint64_t id);
    /// Advances all calls, waiting at most \p timeout for activity.
    ///
    /// \param extraDescriptor a file descriptor that ends the wait when it becomes
    ///        readable, or -1.
    void poll(Duration timeout, int extraDescriptor = -1);
    /// Ends a wait in poll(). Thread-safe.
    void wakeUp();

private:
    class Transfer;
    struct Multi;

    void deliverBodies();
    void finishTransfers();

    HttpClientOptions m_options;
    std::unique_ptr<Multi> m_multi;
    std::map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    std::vector<std::uint64_t> m_withBody; ///< Calls with undelivered parts of the body.
    std::uint64_t m_nextId = 1;
};

/// Makes one call and blocks until its end; for command-line programs.
HttpResult callAndWait(const HttpCall &call);

} // namespace harelink

#endif // HARELINK_ADAPTERS_HTTPCLIENT_H
