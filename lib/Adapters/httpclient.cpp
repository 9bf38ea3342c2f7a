//===- httpclient.cpp - HTTP client ---------------------------------------===//

#include "harelink/Adapters/httpclient.h"

#include "harelink/Adapters/httpstatus.h"
#include "harelink/Support/log.h"
#include "harelink/Support/text.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <limits>
#include <mutex>
#include <optional>
#include <system_error>
#include <utility>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace harelink {
namespace {

constexpr Logger logger("httpclient");

constexpr long maxCachedConnections = 512;
/// What is read of a body before it is delivered. Without a bound, one turn of libcurl reads up to
/// 100 times its buffer of 16 KiB from a fast endpoint.
constexpr std::size_t maxUndeliveredBytes = 65'536;

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// libcurl requires global initialization before any thread uses it.
void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::string trimmed(std::string_view text)
{
    const auto isSpace = [](char c) { return std::isspace(static_cast<unsigned char>(c)) != 0; };
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return std::string(text);
}

/// Returns the value of a Content-Length field; std::nullopt if it is not a number that libcurl
/// takes for a length.
std::optional<std::int64_t> readLength(std::string_view text)
{
    std::int64_t length = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result read = std::from_chars(text.data(), end, length);
    const bool isNumber = read.ec == std::errc() && read.ptr == end && length >= 0;
    return isNumber ? std::optional(length) : std::nullopt;
}

/// Returns whether \p line of a head begins with the name of a field. libcurl ignores other lines,
/// or takes them for a part of the line before.
bool hasFieldName(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != 0 && line.substr(0, colon).find_first_of(" \t\v\f") == std::string_view::npos;
}

/// TCP keep-alive probes detect a dead connection after about three seconds, without any
/// load for the server process.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
/// Closes the connection if sent bytes stay unacknowledged for this time.
constexpr unsigned maxUnacknowledgedMs = 3000;
// With a TCP_USER_TIMEOUT, that one decides when keep-alive gives up, not the number of probes.
static_assert((keepAliveIdleSeconds + keepAliveIntervalSeconds * keepAliveProbes) * 1000
              == maxUnacknowledgedMs);

/// \param limit the DescriptorLimit; may be null.
int prepareSocket(void *limit, curl_socket_t socket, curlsocktype)
{
    const auto *descriptors = static_cast<const DescriptorLimit *>(limit);
    if (descriptors != nullptr && !descriptors->allowsCall(socket)) {
        return CURL_SOCKOPT_ERROR;
    }
    const int on = 1;
    (void)setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    (void)setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(int));
    (void)setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(int));
    (void)setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(int));
    (void)setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &maxUnacknowledgedMs, sizeof(unsigned));
    return CURL_SOCKOPT_OK;
}

bool hasField(const std::vector<std::string> &lines, std::string_view name)
{
    return std::any_of(lines.begin(), lines.end(), [name](const std::string &line) {
        const std::size_t end = line.find_first_of(":;");
        return end == name.size() && lowerCase(line.substr(0, end)) == name;
    });
}

long systemErrorOf(CURL *easy)
{
    long error = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return error;
}

/// Returns whether the peer closed an established connection. libcurl reports a lost network
/// path by the same \p code, but with another system error.
bool isClosedByPeer(CURL *easy, CURLcode code)
{
    if (code == CURLE_GOT_NOTHING || code == CURLE_PARTIAL_FILE) {
        return true;
    }
    const long systemError = systemErrorOf(easy);
    const bool isUnreachable = systemError == ETIMEDOUT || systemError == EHOSTUNREACH;
    return !isUnreachable && (code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR);
}

} // namespace

std::string escapeForUrl(const std::string &text)
{
    if (text.empty()) {
        return {}; // libcurl takes the length 0 for that of a C string.
    }
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return escaped == nullptr ? std::string() : escaped.get();
}

std::string HttpResult::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

AnswerFraming HttpResult::framing() const
{
    if (headStatus == statusNoContent || headStatus == statusNotModified) {
        return AnswerFraming::Length;
    }
    // Any other transfer coding ends with the connection, and takes precedence over a length.
    if (headers.contains("transfer-encoding")) {
        return lowerCase(header("transfer-encoding")) == "chunked" ? AnswerFraming::Chunks
                                                                   : AnswerFraming::Connection;
    }
    const std::string length = header("content-length");
    return readLength(length) ? AnswerFraming::Length : AnswerFraming::Connection;
}

/// One call in progress; owns the data that libcurl refers to.
class HttpClient::Transfer
{
public:
    Transfer(const HttpCall &call, std::uint64_t id, DoneCallback onDone, BodyCallback onBody,
             std::vector<std::uint64_t> &withBody, const HttpClientOptions &options)
        : m_id(id)
        , m_easy(curl_easy_init())
        , m_body(call.sharedBody ? call.sharedBody : std::make_shared<const std::string>(call.body))
        , m_url(call.url)
        , m_bounds(options.bounds)
        , m_isBodyRefusable(call.maxBodyBytes == 0)
        , m_budget(options.budget)
        , m_buffered(options.budget)
        , m_clock(options.clock != nullptr ? *options.clock : systemClock())
        , m_load(options.load)
        , m_onDone(std::move(onDone))
        , m_onBody(std::move(onBody))
        , m_withBody(withBody)
    {
        assert(m_easy != nullptr && "libcurl failed to create a handle");
        if (call.maxBodyBytes > 0) {
            m_bounds.bodyBytes = call.maxBodyBytes;
        }
        curl_easy_setopt(m_easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
        curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, milliseconds(call.timeout));
        curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(m_easy, CURLOPT_SOCKOPTFUNCTION, prepareSocket);
        curl_easy_setopt(m_easy, CURLOPT_SOCKOPTDATA, options.descriptors);
        if (call.connectTimeout > Duration::zero()) {
            curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(call.connectTimeout));
        }
        if (!call.target.empty()) {
            curl_easy_setopt(m_easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
        }
        if (call.method == "HEAD") {
            curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        } else if (!m_body->empty() || call.method != "GET") {
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_body->data());
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_body->size()));
        }
        if (call.connectOnly) {
            curl_easy_setopt(m_easy, CURLOPT_CONNECT_ONLY, 1L);
        }
        if (!call.resendable || call.connectOnly) {
            // If a reused connection breaks, libcurl would resend a POST.
            curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
        }
        std::size_t sentBytes = call.url.size() + m_body->size();
        for (const std::string &header : call.headers) {
            m_headers = curl_slist_append(m_headers, header.c_str());
            sentBytes += header.size();
        }
        if (m_load != nullptr) {
            m_load->recordSent(sentBytes);
        }
        m_headers = curl_slist_append(m_headers, "Expect:");
        for (const char *added : {"accept", "content-type"}) {
            if (call.omitDefaultHeaders && !hasField(call.headers, added)) {
                m_headers = curl_slist_append(m_headers, (std::string(added) + ":").c_str());
            }
        }
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, handleBody);
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, handleHeader);
        curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    }
    ~Transfer()
    {
        recordResume();
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] CURL *easy() const { return m_easy; }

    /// Completes the result from libcurl's final \p code.
    void finish(CURLcode code)
    {
        recordResume();
        long requestBytes = 0;
        curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        m_result.sent = requestBytes > 0;
        if (code == CURLE_OK || m_result.sent) {
            m_result.connection = HttpConnection::Established;
        } else if (code == CURLE_COULDNT_CONNECT && systemErrorOf(m_easy) == ECONNREFUSED) {
            m_result.connection = HttpConnection::Refused;
        }
        if (code == CURLE_OUT_OF_MEMORY) {
            // libcurl itself bounds a line of the head, to 100 KiB, and reports it by this code.
            m_result.exceeded = AnswerPart::Head;
        }
        if (m_result.exceeded) {
            reportExceeded(*m_result.exceeded);
            return;
        }
        if (!m_headFault.empty()) {
            m_result.error = m_headFault;
            return;
        }
        // libcurl takes the end of the connection within a head for the end of the head.
        if (code == CURLE_OK && m_result.sent && !m_isHeadComplete) {
            m_result.error = "the connection ended within the head of the answer";
            m_result.isBroken = !m_result.mayBeCutOff;
            return;
        }
        if (code != CURLE_OK) {
            m_result.error = lowerCase(curl_easy_strerror(code));
            m_result.isBroken =
                m_result.sent && !m_result.mayBeCutOff && isClosedByPeer(m_easy, code);
            return;
        }
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        m_result.status = static_cast<int>(status);
    }

    /// Passes the received part of the body to the body callback, if there is one.
    void deliverBody()
    {
        if (m_onBody && !m_result.body.empty()) {
            // The callback may cancel this call and so destroy this object: it gets copies.
            const BodyCallback onBody = m_onBody;
            const std::string body = std::exchange(m_result.body, {});
            m_buffered.set(0);
            const HttpResult head = m_result;
            onBody(head, body);
        }
    }
    /// Continues a transfer that was held back until its body was delivered.
    void continueAfterDelivery()
    {
        if (m_isHeldBack && !m_isPaused) {
            m_isHeldBack = false;
            curl_easy_pause(m_easy, CURLPAUSE_CONT);
        }
    }
    void pause()
    {
        if (std::exchange(m_isPaused, true)) {
            return;
        }
        m_result.mayBeCutOff = true;
        m_pausedAt = m_clock.now();
        if (m_budget != nullptr) {
            m_budget->recordPause();
        }
        curl_easy_pause(m_easy, CURLPAUSE_RECV);
    }
    void resume()
    {
        if (!m_isPaused) {
            return;
        }
        recordResume();
        m_isHeldBack = false;
        // libcurl passes what it had read before the pause in this call.
        m_isResuming = true;
        curl_easy_pause(m_easy, CURLPAUSE_CONT);
        m_isResuming = false;
    }
    HttpResult takeResult() { return std::move(m_result); }
    DoneCallback takeCallback() { return std::move(m_onDone); }

private:
    static std::size_t handleBody(char *data, std::size_t size, std::size_t count, void *user)
    {
        return static_cast<Transfer *>(user)->addBody({data, size * count});
    }
    static std::size_t handleHeader(char *data, std::size_t size, std::size_t count, void *user)
    {
        return static_cast<Transfer *>(user)->addHeader({data, size * count});
    }

    /// Returns the size of \p bytes, or another number to pause or to end the transfer.
    std::size_t addBody(std::string_view bytes)
    {
        if (m_load != nullptr) {
            m_load->recordReceived(bytes.size());
        }
        std::string &body = m_result.body;
        if (m_onBody && !body.empty() && body.size() + bytes.size() > maxUndeliveredBytes) {
            m_isHeldBack = true;
            return CURL_WRITEFUNC_PAUSE;
        }
        const bool isRefused = m_isBodyRefusable && !m_buffered.mayGrow();
        if (!m_onBody && (body.size() + bytes.size() > m_bounds.bodyBytes || isRefused)) {
            m_result.exceeded = AnswerPart::Body;
            return 0;
        }
        if (m_onBody && body.empty()) {
            m_withBody.push_back(m_id);
        }
        body.append(bytes);
        m_result.mayBeCutOff = m_result.mayBeCutOff && (m_isPaused || m_isResuming);
        m_buffered.set(body.size());
        return bytes.size();
    }

    /// Returns the size of \p line, or 0 to end the transfer.
    std::size_t addHeader(std::string_view line)
    {
        if (m_load != nullptr) {
            m_load->recordReceived(line.size());
        }
        m_headBytes += line.size();
        const std::size_t colon = line.find(':');
        const bool isStatusLine = line.starts_with("HTTP/");
        const bool isField = !isStatusLine && colon != std::string_view::npos;
        m_headFields += isField ? 1 : 0;
        if (m_headBytes > m_bounds.headBytes || m_headFields > m_bounds.headFields) {
            m_result.exceeded = AnswerPart::Head;
            return 0;
        }
        if (m_isHeadComplete) {
            return line.size(); // A trailer.
        }
        const bool isEnd = line.find_first_not_of("\r\n") == std::string_view::npos;
        if (isStatusLine ? m_isInHead : !isEnd && !hasFieldName(line)) {
            m_headFault = "the head of the answer has an invalid line";
            return 0;
        }
        m_isInHead = !isEnd;
        if (isStatusLine) {
            const std::optional<int> status = parseStatusLine(line);
            if (!status) {
                m_headFault = "the status line of the answer has no valid status";
                return 0;
            }
            // Discards the fields of an interim response (1xx) that precedes the final one.
            m_result.headers.clear();
            m_result.fields.clear();
            m_result.headStatus = *status;
        } else if (isField) {
            const std::string name = trimmed(line.substr(0, colon));
            const std::string value = trimmed(line.substr(colon + 1));
            const std::string before = std::exchange(m_result.headers[lowerCase(name)], value);
            if (lowerCase(name) == "content-length" && !before.empty() && before != value) {
                m_headFault = "the answer states two lengths";
                return 0;
            }
            m_result.fields.emplace_back(name, value);
        } else if (isEnd) {
            m_isHeadComplete = isFinalStatus(m_result.headStatus);
        }
        return line.size();
    }

    void reportExceeded(AnswerPart part)
    {
        m_result.error = boundError(part, m_bounds);
        m_result.body.clear();
        logger.record(LogLevel::Warning, "answer-over-bound")
            .field("url", m_url)
            .field("part", toText(part))
            .field("headBytes", m_headBytes)
            .field("headFields", m_headFields)
            .field("detail", m_result.error);
        if (m_budget != nullptr) {
            m_budget->recordExceeded(part);
        }
    }

    void recordResume()
    {
        if (!std::exchange(m_isPaused, false)) {
            return;
        }
        m_result.longestPause = std::max(m_result.longestPause, m_clock.now() - m_pausedAt);
        if (m_budget != nullptr) {
            m_budget->recordResume();
        }
    }

    static long milliseconds(Duration time)
    {
        const auto count = std::chrono::ceil<std::chrono::milliseconds>(time).count();
        // libcurl takes zero for no limit.
        return std::max<long>(1, static_cast<long>(count));
    }

    std::uint64_t m_id;
    CURL *m_easy;
    curl_slist *m_headers = nullptr;
    std::shared_ptr<const std::string> m_body;
    std::string m_url;
    AnswerBounds m_bounds;
    bool m_isBodyRefusable;
    BufferBudget *m_budget;
    BufferedBytes m_buffered; ///< The received part of the body.
    const Clock &m_clock;
    HostLoadMeter *m_load;
    TimePoint m_pausedAt;
    std::size_t m_headBytes = 0;
    std::size_t m_headFields = 0;
    bool m_isHeadComplete = false; ///< That of the final answer.
    std::string m_headFault;       ///< Empty if the head is valid so far.
    bool m_isInHead = false;       ///< Between a status line and the end of its head.
    bool m_isPaused = false;
    bool m_isResuming = false;
    bool m_isHeldBack = false; ///< Until the received part of the body was delivered.
    HttpResult m_result;
    DoneCallback m_onDone;
    BodyCallback m_onBody;
    std::vector<std::uint64_t> &m_withBody;
};

/// libcurl's multi handle.
struct HttpClient::Multi
{
    Multi()
        : handle(curl_multi_init())
    {
        assert(handle != nullptr && "libcurl failed to create a handle");
        curl_multi_setopt(handle, CURLMOPT_MAXCONNECTS, maxCachedConnections);
    }
    ~Multi() { curl_multi_cleanup(handle); }
    Multi(const Multi &) = delete;
    Multi &operator=(const Multi &) = delete;

    CURLM *handle;
};

HttpClient::HttpClient(const HttpClientOptions &options)
    : m_options(options)
{
    initializeLibrary();
    m_multi = std::make_unique<Multi>();
}

HttpClient::~HttpClient()
{
    for (auto &[id, transfer] : m_transfers) {
        curl_multi_remove_handle(m_multi->handle, transfer->easy());
    }
    m_transfers.clear();
}

std::uint64_t HttpClient::send(const HttpCall &call, DoneCallback onDone, BodyCallback onBody)
{
    const std::uint64_t id = m_nextId++;
    auto transfer = std::make_unique<Transfer>(call, id, std::move(onDone), std::move(onBody),
                                               m_withBody, m_options);
    curl_multi_add_handle(m_multi->handle, transfer->easy());
    m_transfers.emplace(id, std::move(transfer));
    return id;
}

void HttpClient::cancel(std::uint64_t id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
        return;
    }
    curl_multi_remove_handle(m_multi->handle, found->second->easy());
    m_transfers.erase(found);
}

void HttpClient::pause(std::uint64_t id)
{
    const auto found = m_transfers.find(id);
    if (found != m_transfers.end()) {
        found->second->pause();
    }
}

void HttpClient::resume(std::uint64_t id)
{
    const auto found = m_transfers.find(id);
    if (found != m_transfers.end()) {
        found->second->resume();
    }
}

void HttpClient::poll(Duration timeout, int extraDescriptor)
{
    int running = 0;
    curl_multi_perform(m_multi->handle, &running);
    deliverBodies();
    finishTransfers();
    curl_waitfd extra{extraDescriptor, CURL_WAIT_POLLIN, 0};
    const unsigned extraCount = extraDescriptor < 0 ? 0 : 1;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    int ready = 0;
    curl_multi_poll(m_multi->handle, &extra, extraCount,
                    static_cast<int>(std::max<std::int64_t>(0, wait)), &ready);
    curl_multi_perform(m_multi->handle, &running);
    deliverBodies();
    finishTransfers();
}

/// Runs outside libcurl's callbacks, in which no call may be started or cancelled.
void HttpClient::deliverBodies()
{
    for (const std::uint64_t id : std::exchange(m_withBody, {})) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end()) {
            continue;
        }
        found->second->deliverBody();
        // The callback may have cancelled the call.
        const auto left = m_transfers.find(id);
        if (left != m_transfers.end()) {
            left->second->continueAfterDelivery();
        }
    }
}

void HttpClient::finishTransfers()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi->handle, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        void *user = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
        const CURLcode code = message->data.result;
        const auto found = m_transfers.find(static_cast<const Transfer *>(user)->id());
        assert(found != m_transfers.end() && "a finished call must have been started");
        std::unique_ptr<Transfer> transfer = std::move(found->second);
        m_transfers.erase(found);
        transfer->finish(code);
        curl_multi_remove_handle(m_multi->handle, transfer->easy());
        // The callback may start and cancel calls; this transfer is not used after it.
        transfer->takeCallback()(transfer->takeResult());
    }
}

void HttpClient::wakeUp()
{
    curl_multi_wakeup(m_multi->handle);
}

HttpResult callAndWait(const HttpCall &call)
{
    HttpClientOptions options;
    // The caller of a program waits for one answer, whatever its size.
    options.bounds.bodyBytes = std::numeric_limits<std::size_t>::max();
    HttpClient client(options);
    HttpResult result;
    bool done = false;
    client.send(call, [&](HttpResult finished) {
        result = std::move(finished);
        done = true;
    });
    while (!done) {
        client.poll(std::chrono::seconds(1));
    }
    return result;
}

} // namespace harelink
