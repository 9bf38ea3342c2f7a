//===- httpserver.cpp - HTTP server ---------------------------------------===//

#include "harelink/Adapters/httpserver.h"

#include "harelink/Support/error.h"
#include "harelink/Support/log.h"
#include "harelink/Support/text.h"

#include "callersocket.h"
#include "pipelinedrequests.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <deque>
#include <mutex>
#include <set>
#include <stdexcept>
#include <system_error>
#include <variant>

#include <restinio/all.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace harelink {
namespace {

constexpr Logger logger("httpserver");

/// Maximum number of bytes that the kernel holds for a connection besides those in flight. Without
/// it, the kernel takes megabytes of a reply at once, and then nothing until a third of its buffer
/// is free: a caller that reads all the time looks as if it read nothing.
constexpr int maxUnsentBytes = 65'536;
using NotSentLowWatermark = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

/// Thrown in a connection's write notification so that RESTinio closes the connection.
class ReplyAborted : public std::runtime_error
{
public:
    ReplyAborted()
        : std::runtime_error("the reply is aborted")
    {
    }
};

/// Reports new and closed connections, and tells the first request of a connection from others.
class ConnectionListener
{
public:
    ConnectionListener(std::function<void(std::uint64_t)> onClosed,
                       std::shared_ptr<PipelinedRequests> requests, HostLoadMeter *load)
        : m_onClosed(std::move(onClosed))
        , m_requests(std::move(requests))
        , m_load(load)
    {
    }
    // RESTinio requires this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        using restinio::holds_alternative;
        const std::uint64_t connection = notice.connection_id();
        if (holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            if (m_load != nullptr) {
                m_load->recordConnection();
            }
            m_requests->open(connection);
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_unread.insert(connection);
        }
        if (holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            (void)takeFirst(connection);
            m_requests->close(connection);
            if (m_onClosed) {
                m_onClosed(connection);
            }
        }
    }
    /// Returns whether no request was read from \p connection before.
    bool takeFirst(std::uint64_t connection)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        return m_unread.erase(connection) > 0;
    }

private:
    std::function<void(std::uint64_t)> m_onClosed;
    std::shared_ptr<PipelinedRequests> m_requests;
    HostLoadMeter *m_load;            ///< Null for none.
    std::mutex m_mutex;               ///< Guards m_unread.
    std::set<std::uint64_t> m_unread; ///< Open connections without a request so far.
};

/// Closes new connections that are not accepted, before anything is read from them.
class ConnectionFilter
{
public:
    explicit ConnectionFilter(std::function<bool()> mayAccept)
        : m_mayAccept(std::move(mayAccept))
    {
    }
    [[nodiscard]] restinio::ip_blocker::inspection_result_t
    inspect(const restinio::ip_blocker::incoming_info_t &) const noexcept
    {
        return !m_mayAccept || m_mayAccept() ? restinio::ip_blocker::allow()
                                             : restinio::ip_blocker::deny();
    }

private:
    std::function<bool()> m_mayAccept;
};

struct Traits : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                          restinio::default_request_handler_t,
                                          restinio::default_strand_t, CallerSocket>
{
    // RESTinio requires this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    using connection_state_listener_t = ConnectionListener;
    // NOLINTNEXTLINE(readability-identifier-naming)
    using ip_blocker_t = ConnectionFilter;
};

using Connection = restinio::impl::connection_t<Traits>;

/// Gives access to the socket of a connection, which RESTinio keeps private. An explicit
/// instantiation may name private members.
template <auto Socket>
struct SocketAccess
{
    friend CallerSocket &socketOf(Connection &connection) { return connection.*Socket; }
};
template struct SocketAccess<&Connection::m_socket>;
CallerSocket &socketOf(Connection &connection);

/// The same for what a connection reads.
template <auto Input>
struct InputAccess
{
    friend restinio::impl::connection_input_t &inputOf(Connection &connection)
    {
        return connection.*Input;
    }
};
template struct InputAccess<&Connection::m_input>;
restinio::impl::connection_input_t &inputOf(Connection &connection);

/// Memory that a header field takes besides its bytes: in RESTinio, whose lists grow by doubling,
/// and in HttpRequest.
constexpr std::size_t fieldOverheadBytes = 256;

/// Returns an upper bound for the memory of a head of \p bytes with \p fields.
std::size_t headMemory(std::size_t bytes, std::size_t fields)
{
    return 2 * bytes + fields * fieldOverheadBytes;
}

/// What RESTinio has parsed of the request that a connection reads.
class ParsedRequest : public UnfinishedRequest
{
public:
    /// \param connection and \p limits must outlive this object.
    ParsedRequest(Connection &connection, const RequestLimits &limits)
        : m_connection(connection)
        , m_limits(limits)
    {
    }
    [[nodiscard]] std::optional<std::size_t> memoryAfter(std::size_t bytes) const override
    {
        const restinio::impl::connection_input_t &input = inputOf(m_connection);
        const std::size_t unparsedHead = input.m_parser.nread; // Of the head, or of the trailers.
        if (unparsedHead > m_limits.headBytes) {
            return std::nullopt;
        }
        if (!hasHead() && unparsedHead == 0) {
            return 0;
        }
        const std::size_t head =
            headMemory(unparsedHead + m_headBytes, input.m_parser_ctx.m_total_field_count);
        return head + bytes + m_limits.bodyCopies * bodyMemory(bytes);
    }
    [[nodiscard]] bool hasHead() const override
    {
        return inputOf(m_connection).m_parser_ctx.m_leading_headers_completed;
    }
    void prepareRead() override
    {
        restinio::impl::http_parser_ctx_t &context = inputOf(m_connection).m_parser_ctx;
        if (!hasHead()) {
            m_headBytes = inputOf(m_connection).m_parser.nread;
        }
        // A record for each chunk, which nothing reads, takes 16 times the smallest chunk.
        context.m_chunked_info_block.m_chunks.clear();
        if (context.m_body.size() > IntakeBudget::smallBytes / 4) {
            context.m_body.reserve(isChunked() ? m_limits.bodyBytes : 0);
        }
    }
    void cutOffBody() override
    {
        restinio::impl::connection_input_t &input = inputOf(m_connection);
        restinio::impl::http_parser_ctx_t &context = input.m_parser_ctx;
        context.m_body = std::string();
        context.m_message_complete = true;
        context.m_header.method(Traits::http_methods_mapper_t::from_nodejs(input.m_parser.method));
        context.m_header.should_keep_alive(false);
        http_parser_pause(&input.m_parser, 1);
    }

private:
    [[nodiscard]] bool isChunked() const
    {
        return (inputOf(m_connection).m_parser.flags & F_CHUNKED) != 0;
    }
    /// Returns the memory of the body: of the whole one as soon as it may be large.
    [[nodiscard]] std::size_t bodyMemory(std::size_t bytes) const
    {
        if (!hasHead()) {
            return 0;
        }
        const restinio::impl::connection_input_t &input = inputOf(m_connection);
        const std::size_t read = input.m_parser_ctx.m_body.size();
        if (!isChunked()) {
            const std::uint64_t left = input.m_parser.content_length;
            return left == ULLONG_MAX ? read : read + static_cast<std::size_t>(left);
        }
        const std::size_t grown = 2 * (read + bytes);
        return grown > IntakeBudget::smallBytes / 2 ? m_limits.bodyBytes : grown;
    }

    Connection &m_connection;
    const RequestLimits &m_limits;
    std::size_t m_headBytes = 0; ///< Of the head, as far as it was parsed before the last read.
};

/// Builds a reply that ends with its connection, like RESTinio's builders of other replies.
class UnframedResponse
{
public:
    UnframedResponse(restinio::http_response_header_t head,
                     restinio::impl::connection_handle_t connection, restinio::request_id_t request)
        : m_head(std::move(head))
        , m_connection(std::move(connection))
        , m_request(request)
    {
    }
    /// Must only be used in a write notification, which runs on the connection's strand.
    [[nodiscard]] Connection *connection() const
    {
        return dynamic_cast<Connection *>(m_connection.get());
    }
    void append(std::string bytes)
    {
        if (!std::exchange(m_isHeadSent, true)) {
            m_unsent.emplace_back(restinio::impl::create_header_string(
                m_head, restinio::impl::content_length_field_presence_t::skip_content_length));
        }
        if (!bytes.empty()) {
            m_unsent.emplace_back(std::move(bytes));
        }
    }
    void flush(restinio::write_status_cb_t onWritten)
    {
        write(restinio::response_parts_attr_t::not_final_parts, std::move(onWritten));
    }
    void done(restinio::write_status_cb_t onWritten)
    {
        write(restinio::response_parts_attr_t::final_parts, std::move(onWritten));
    }

private:
    void write(restinio::response_parts_attr_t part, restinio::write_status_cb_t onWritten)
    {
        restinio::write_group_t group(std::exchange(m_unsent, {}));
        group.after_write_notificator(std::move(onWritten));
        const bool isLast = part == restinio::response_parts_attr_t::final_parts;
        const restinio::impl::connection_handle_t connection =
            isLast ? std::move(m_connection) : m_connection;
        connection->write_response_parts(
            m_request, {part, restinio::response_connection_attr_t::connection_close},
            std::move(group));
    }

    restinio::http_response_header_t m_head;
    restinio::impl::connection_handle_t m_connection;
    restinio::request_id_t m_request;
    restinio::writable_items_container_t m_unsent;
    bool m_isHeadSent = false;
};

/// Exceeds the maximum deadline of a pipeline.
constexpr std::chrono::minutes maxHandlingTime{11};
/// With room for a second request, the connection is read while a request is handled;
/// otherwise a disconnecting caller would not be noticed.
constexpr std::size_t pipelinedRequests = 2;
/// Interval in which RESTinio checks its time limits, which are all several seconds. Those of
/// writes are checked here, since RESTinio's include the time for which the process was suspended.
constexpr std::chrono::milliseconds timerInterval{1000};
constexpr std::size_t maxHeaderFieldBytes = 16'384;
constexpr int statusInternalError = 500;
constexpr int statusUnavailable = 503;
/// Size of the receive buffer of a connection, which the kernel doubles. Requests that wait for
/// memory stay unread in it.
constexpr int receiveBufferBytes = 65'536;
/// Size of the pieces in which replies are sent. RESTinio limits the time of each write: with a
/// whole reply in one write, a caller that reads slowly would be taken for one that reads nothing.
constexpr std::size_t pieceBytes = 16'384;
/// Estimated memory that a waiting piece takes besides its bytes.
constexpr std::size_t pieceOverheadBytes = 512;
/// Pieces of a reply that are queued in RESTinio at a time. It moves all queued pieces for each
/// write, and each one queued is a task on the connection's strand ahead of the next completed
/// write: with all of 2,048 pieces queued, writes to a caller that reads exceeded the time limit.
constexpr std::size_t maxQueuedPieces = 8;

std::map<std::string, std::string> readQuery(restinio::string_view_t text)
{
    std::map<std::string, std::string> values;
    // An invalid query is treated as empty; the handler then reports the missing
    // parameters.
    const auto parsed = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(text);
    if (parsed) {
        for (const auto &[name, value] : *parsed) {
            values.emplace(std::string(name.data(), name.size()),
                           std::string(value.data(), value.size()));
        }
    }
    return values;
}

HttpRequest readRequest(const restinio::request_t &from)
{
    HttpRequest request;
    const restinio::http_request_header_t &header = from.header();
    request.method = header.method().c_str();
    const auto path = header.path();
    request.path = std::string(path.data(), path.size());
    request.target = header.request_target();
    request.connection = from.connection_id();
    request.query = readQuery(header.query());
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers[lowerCase(field.name())] = field.value();
        request.fields.emplace_back(field.name(), field.value());
    });
    request.body = from.body();
    return request;
}

/// Returns the size of \p request on the wire, without the characters between its fields.
std::size_t sizeOf(const HttpRequest &request)
{
    std::size_t bytes = request.method.size() + request.target.size() + request.body.size();
    for (const auto &[name, value] : request.fields) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

/// Counts a request from its arrival until its reply is written or can't be.
class PendingReply
{
public:
    using Count = std::shared_ptr<std::atomic<std::size_t>>;

    /// \param onWritten is called on the connection's strand when the reply is written whole.
    PendingReply(Count count, std::function<void()> onWritten)
        : m_count(std::move(count))
        , m_onWritten(std::move(onWritten))
    {
        ++*m_count;
    }
    ~PendingReply() { --*m_count; }
    PendingReply(const PendingReply &) = delete;
    PendingReply &operator=(const PendingReply &) = delete;

    void recordWritten() const { m_onWritten(); }

private:
    Count m_count;
    std::function<void()> m_onWritten;
};

class ReplySender;

/// Keeps the senders that have pieces left, since callers may release theirs after the last part.
///
/// A write notification can't keep its sender: the sender refers to its connection, which keeps the
/// notification, and a connection that is still writing when the server stops would never be
/// destroyed. Thread-safe.
class ActiveSenders
{
public:
    void add(std::shared_ptr<ReplySender> sender)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (!m_isClosed) {
            m_senders.insert(std::move(sender));
        }
    }
    void remove(const std::shared_ptr<ReplySender> &sender)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_senders.erase(sender);
    }
    /// Releases all senders and keeps no more.
    void close()
    {
        std::set<std::shared_ptr<ReplySender>> released;
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_isClosed = true;
        // Destroyed after the mutex is released: senders report what they could not send.
        released.swap(m_senders);
    }

private:
    std::mutex m_mutex;
    std::set<std::shared_ptr<ReplySender>> m_senders;
    bool m_isClosed = false;
};

/// Sends the reply to one request, at once or in pieces. Only a few pieces are queued in RESTinio,
/// the next ones as these are written. Parts come from one thread at a time; write notifications
/// come on the connection's strand.
///
/// The request itself isn't kept: it would take memory until the reply is sent.
class ReplySender : public std::enable_shared_from_this<ReplySender>
{
public:
    ReplySender(restinio::request_t &request, std::shared_ptr<const PendingReply> pending,
                std::shared_ptr<ActiveSenders> active, HostLoadMeter *load,
                std::function<bool()> closesConnections)
        : m_pending(std::move(pending))
        , m_connection(restinio::impl::access_req_connection(request))
        , m_requestId(request.request_id())
        , m_keepsConnection(request.header().should_keep_alive())
        , m_active(std::move(active))
        , m_load(load)
        , m_closesConnections(std::move(closesConnections))
    {
    }
    ~ReplySender()
    {
        for (const Piece &piece : m_pieces) {
            piece.report(std::make_error_code(std::errc::operation_canceled));
        }
    }
    ReplySender(const ReplySender &) = delete;
    ReplySender &operator=(const ReplySender &) = delete;

    void send(HttpReply reply)
    {
        if (m_load != nullptr) {
            m_load->recordSent(reply.body.size());
        }
        const bool isFirst = std::holds_alternative<std::monostate>(m_response);
        const bool isWhole = isFirst && !reply.more && !reply.abort;
        const bool isUnframed = isFirst && reply.endsWithConnection;
        if (isWhole && !isUnframed && reply.body.size() <= pieceBytes) {
            sendAtOnce(reply);
            return;
        }
        if (isUnframed) {
            m_response.emplace<UnframedResponse>(beginUnframed(reply));
        } else if (isWhole) {
            Whole &response =
                m_response.emplace<Whole>(begin<restinio::user_controlled_output_t>(reply));
            response.set_content_length(reply.body.size());
        } else if (isFirst) {
            m_response.emplace<Chunked>(begin<restinio::chunked_output_t>(reply));
        }
        const std::shared_ptr<ReplySender> self = shared_from_this();
        std::unique_lock<std::mutex> lock(m_mutex);
        if (isUnframed) {
            m_pieces.push_back({PieceKind::Begin, {}, {}});
        }
        addPieces(reply);
        queuePieces(lock, 1);
    }

private:
    using Notification = restinio::write_status_cb_t;
    using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;
    using Whole = restinio::response_builder_t<restinio::user_controlled_output_t>;

    enum class PieceKind {
        Begin, ///< Precedes a reply that ends with its connection, and sends nothing.
        Inner,
        Last,  ///< Completes the reply.
        Abort, ///< Closes the connection without completing the reply.
    };
    struct Piece
    {
        void report(const std::error_code &error) const
        {
            if (notification) {
                notification(error);
            }
        }

        PieceKind kind = PieceKind::Inner;
        std::string bytes;
        Notification notification; ///< Called once, when the piece is written or can't be.
    };

    void sendAtOnce(HttpReply &reply)
    {
        auto response = begin<restinio::restinio_controlled_output_t>(reply);
        Notification notification = makeNotification(reply, reply.body.size());
        response.set_body(std::move(reply.body));
        response.done([pending = m_pending,
                       notification = std::move(notification)](const std::error_code &error) {
            if (notification) {
                notification(error);
            }
            if (!error) {
                pending->recordWritten();
            }
        });
    }

    /// Divides the body into pieces. The last of them ends the reply unless more parts follow.
    void addPieces(const HttpReply &reply)
    {
        if (reply.abort) {
            m_pieces.push_back({PieceKind::Abort, {}, {}});
            return;
        }
        std::size_t begin = 0;
        for (; reply.body.size() - begin > pieceBytes; begin += pieceBytes) {
            m_pieces.push_back({PieceKind::Inner, reply.body.substr(begin, pieceBytes),
                                makeNotification(reply, pieceBytes)});
        }
        m_pieces.push_back({reply.more ? PieceKind::Inner : PieceKind::Last,
                            reply.body.substr(begin),
                            makeNotification(reply, reply.body.size() - begin)});
    }

    /// Passes pieces to RESTinio while it has fewer than \p maxQueued, or reports all of them as
    /// failed if the connection has ended. \p lock holds the mutex.
    ///
    /// A call from the strand takes effect at once, one from another thread as a task that a call
    /// from the strand would overtake. So other threads pass a piece only if RESTinio has none,
    /// since no notification can come before it, and notifications pass the next ones.
    ///
    /// RESTinio may call a notification before it returns from a call, so the mutex isn't held
    /// during one; m_isQueueing keeps other threads out meanwhile.
    void queuePieces(std::unique_lock<std::mutex> &lock, std::size_t maxQueued)
    {
        if (m_isQueueing) {
            return;
        }
        m_isQueueing = true;
        while (!m_pieces.empty() && (m_error || m_queuedPieces < maxQueued)) {
            Piece piece = std::move(m_pieces.front());
            m_pieces.pop_front();
            ++m_queuedPieces;
            const std::error_code error = m_error;
            lock.unlock();
            if (error) {
                piece.report(error);
            } else {
                write(std::move(piece));
            }
            lock.lock();
        }
        m_isQueueing = false;
        if (m_pieces.empty()) {
            m_active->remove(shared_from_this());
        } else {
            m_active->add(shared_from_this());
        }
    }

    void write(Piece piece)
    {
        if (auto *chunked = std::get_if<Chunked>(&m_response)) {
            chunked->append_chunk(std::move(piece.bytes));
            write(*chunked, std::move(piece));
        } else if (auto *whole = std::get_if<Whole>(&m_response)) {
            whole->append_body(std::move(piece.bytes));
            write(*whole, std::move(piece));
        } else if (auto *unframed = std::get_if<UnframedResponse>(&m_response)) {
            writeUnframed(*unframed, std::move(piece));
        }
    }

    /// Makes a close that comes before the last piece was written, for any reason, reset the
    /// connection.
    void writeUnframed(UnframedResponse &response, Piece piece)
    {
        if (piece.kind != PieceKind::Begin && piece.kind != PieceKind::Abort) {
            response.append(std::move(piece.bytes));
        }
        if (piece.kind == PieceKind::Begin || piece.kind == PieceKind::Last) {
            // The sender may be gone by then; the connection exists while it calls this.
            piece.notification =
                [connection = response.connection(), resets = piece.kind == PieceKind::Begin,
                 notification = std::move(piece.notification)](const std::error_code &error) {
                    if (!error) {
                        socketOf(*connection).setResetOnClose(resets);
                    }
                    if (notification) {
                        notification(error);
                    }
                };
        }
        write(response, std::move(piece));
    }

    /// Aborting is possible since RESTinio closes a connection whose write notification throws; it
    /// has no function for this. Notifications run on the strand of their connection, so that no
    /// other socket is affected and a connection that closed in the meantime is ignored. Aborting
    /// takes the same time with 4,000 open connections as with 10 (harelink-bench-cut).
    template <typename Response>
    void write(Response &response, Piece piece)
    {
        const PieceKind kind = piece.kind;
        auto onWritten = [pending = m_pending, sender = weak_from_this(),
                          piece = std::move(piece)](const std::error_code &error) {
            piece.report(error);
            if (!error && piece.kind == PieceKind::Abort) {
                throw ReplyAborted();
            }
            if (!error && piece.kind == PieceKind::Last) {
                pending->recordWritten();
            }
            if (const std::shared_ptr<ReplySender> left = sender.lock()) {
                left->handleWritten(error);
            }
        };
        if (kind == PieceKind::Last) {
            response.done(std::move(onWritten));
        } else {
            response.flush(std::move(onWritten));
        }
    }

    void handleWritten(const std::error_code &error)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        --m_queuedPieces;
        if (error && !m_error) {
            m_error = error;
        }
        queuePieces(lock, maxQueuedPieces);
    }

    /// Counts \p bytes of \p reply as waiting; the result is called when they no longer wait.
    static Notification makeNotification(const HttpReply &reply, std::size_t bytes)
    {
        if (!reply.backlog && !reply.onSendFailed) {
            return {};
        }
        const std::size_t counted = bytes + pieceOverheadBytes;
        if (reply.backlog) {
            reply.backlog->add(counted);
        }
        return [backlog = reply.backlog, onSendFailed = reply.onSendFailed,
                counted](const std::error_code &error) {
            if (backlog && error) {
                backlog->drop(counted);
            } else if (backlog) {
                backlog->remove(counted);
            }
            if (error && onSendFailed) {
                onSendFailed();
            }
        };
    }

    template <typename Output>
    restinio::response_builder_t<Output> begin(const HttpReply &reply)
    {
        const auto status = restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(reply.status)},
            reply.status < 400 ? "OK" : "Error"};
        restinio::response_builder_t<Output> response(status, std::move(m_connection), m_requestId,
                                                      m_keepsConnection);
        if (reply.close || (m_closesConnections && m_closesConnections())) {
            response.connection_close();
        }
        if (!reply.contentType.empty()) {
            response.append_header(restinio::http_field::content_type, reply.contentType);
        }
        for (const auto &[name, value] : reply.headers) {
            response.append_header(name, value);
        }
        return response;
    }

    UnframedResponse beginUnframed(const HttpReply &reply)
    {
        restinio::impl::connection_handle_t connection = m_connection;
        auto response = begin<restinio::user_controlled_output_t>(reply);
        response.connection_close();
        return {std::move(response.header()), std::move(connection), m_requestId};
    }

    /// Also held by the write notifications, since RESTinio may write longer than this exists.
    std::shared_ptr<const PendingReply> m_pending;
    restinio::impl::connection_handle_t m_connection; ///< Null when the reply was begun.
    restinio::request_id_t m_requestId;
    bool m_keepsConnection;
    std::shared_ptr<ActiveSenders> m_active;
    HostLoadMeter *m_load;                     ///< Null for none.
    std::function<bool()> m_closesConnections; ///< May be empty.
    /// Set by the first part, then used by queuePieces() only.
    std::variant<std::monostate, Chunked, Whole, UnframedResponse> m_response;
    std::mutex m_mutex; ///< Guards the members below.
    std::deque<Piece> m_pieces;
    std::size_t m_queuedPieces = 0; ///< In RESTinio.
    bool m_isQueueing = false;
    std::error_code m_error; ///< The first error of a piece.
};

/// Returns the connection of \p request.
Connection &connectionOf(restinio::request_t &request)
{
    return dynamic_cast<Connection &>(*restinio::impl::access_req_connection(request));
}

/// A request of a connection, from its arrival until it is answered.
class IntakeProgress
{
public:
    /// \param intake must outlive this object; null for none.
    IntakeProgress(RequestIntake *intake, IntakeId connection)
        : m_intake(intake)
        , m_connection(connection)
    {
    }
    ~IntakeProgress()
    {
        if (m_intake != nullptr) {
            m_intake->recordAnswered(m_connection);
        }
    }
    IntakeProgress(const IntakeProgress &) = delete;
    IntakeProgress &operator=(const IntakeProgress &) = delete;

private:
    RequestIntake *m_intake;
    IntakeId m_connection;
};

/// Reserves the memory of \p request, which was read from \p socket. Returns whether it may be
/// handled.
bool admit(HttpRequest &request, const CallerSocket &socket)
{
    const RequestLimits &limits = socket.sockets().requestLimits();
    RequestIntake *intake = limits.intake;
    if (intake == nullptr) {
        return !socket.isCutOff();
    }
    if (socket.isCutOff()) {
        intake->abandon(socket.intakeId());
        return false;
    }
    const std::size_t head = sizeOf(request) - request.body.size();
    request.memory =
        intake->complete(socket.intakeId(), headMemory(head, request.fields.size())
                                                + limits.bodyCopies * request.body.size());
    return request.memory != nullptr;
}

/// Returns the reply to a request whose memory can't be reserved.
HttpReply makeDefaultRefusal(const HttpRequest &)
{
    HttpReply reply;
    reply.status = statusUnavailable;
    return reply;
}

/// Passes \p request to \p handler. Must not run within a call of RESTinio: it reads the next
/// request after each write, and asserts that no reply that ends the connection is begun meanwhile.
void handleRequest(const HttpHandler &handler, HttpRequest request,
                   const std::shared_ptr<ReplySender> &sender)
{
    try {
        handler(std::move(request), [sender](HttpReply reply) { sender->send(std::move(reply)); });
    } catch (const std::exception &error) {
        logger.record(LogLevel::Error, "request-handler-failed").field("detail", error.what());
        HttpReply reply;
        reply.status = statusInternalError;
        reply.abort = true;
        sender->send(std::move(reply));
    }
}

/// Prepares a new connection for reading.
void prepareConnection(CallerSocket &socket, Connection &connection)
{
    auto notify = [gate = socket.sockets().gate(),
                   weak = std::weak_ptr<Connection>(std::static_pointer_cast<Connection>(
                       connection.shared_from_this()))](IntakeEvent event) {
        if (const std::shared_ptr<Connection> open = weak.lock()) {
            gate->post(open->get_executor(), [open, event] { socketOf(*open).handle(event); });
        }
    };
    socket.handleConnected(
        std::make_unique<ParsedRequest>(connection, socket.sockets().requestLimits()),
        std::move(notify));
}

} // namespace

/// Called by RESTinio for each new connection, found by argument-dependent lookup.
template <typename StartRead, typename Failed>
// NOLINTNEXTLINE(readability-identifier-naming)
void prepare_connection_and_start_read(CallerSocket &socket, Connection &connection,
                                       StartRead startRead, Failed)
{
    prepareConnection(socket, connection);
    startRead();
}

std::string HttpRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::parameter(const std::string &name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::vector<std::string> HttpRequest::pathParts() const
{
    std::vector<std::string> parts;
    std::size_t offset = 0;
    while (offset < path.size()) {
        const std::size_t end = std::min(path.find('/', offset), path.size());
        if (end > offset) {
            parts.push_back(path.substr(offset, end - offset));
        }
        offset = end + 1;
    }
    return parts;
}

/// State of the RESTinio server.
struct HttpServer::State
{
    asio::io_context context;
    std::atomic<std::uint16_t> port{0};
    PendingReply::Count pendingReplies = std::make_shared<std::atomic<std::size_t>>(0);
    std::shared_ptr<ActiveSenders> senders = std::make_shared<ActiveSenders>();
    std::shared_ptr<PipelinedRequests> pipelined = std::make_shared<PipelinedRequests>();
    restinio::running_server_handle_t<Traits> server;
    asio::steady_timer writeCheck{context};

    OpenSockets &sockets()
    {
        return asio::use_service<OpenSockets>(static_cast<asio::execution_context &>(context));
    }
    /// Checks the writes now and each writeCheckInterval.
    void checkWrites()
    {
        sockets().endStalledWrites();
        writeCheck.expires_after(OpenSockets::writeCheckInterval);
        writeCheck.async_wait([this](const std::error_code &error) {
            if (!error) {
                checkWrites();
            }
        });
    }
};

HttpServer::HttpServer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer()
{
    stop();
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerOptions &options,
                                                              HttpHandler handler)
{
    const std::size_t colon = options.address.rfind(':');
    const std::string ip = options.address.substr(0, colon);
    const auto port = static_cast<std::uint16_t>(std::stoul(options.address.substr(colon + 1)));
    auto state = std::make_unique<State>();
    State *raw = state.get();
    const auto listener =
        std::make_shared<ConnectionListener>(options.onClosed, state->pipelined, options.load);
    const HttpHandler refuse = [makeRefusal =
                                    options.makeRefusal ? options.makeRefusal : makeDefaultRefusal](
                                   const HttpRequest &request, const Responder &responder) {
        HttpReply reply = makeRefusal(request);
        reply.close = true;
        responder(std::move(reply));
    };
    auto onRequest = [handler = std::move(handler), refuse, pendingReplies = state->pendingReplies,
                      senders = state->senders, pipelined = state->pipelined, listener,
                      load = options.load, onFurtherRequest = options.onFurtherRequest,
                      closes = options.closesConnections](const auto &request) {
        HttpRequest read = readRequest(*request);
        const std::uint64_t connection = read.connection;
        const CallerSocket &socket = socketOf(connectionOf(*request));
        const bool isAdmitted = admit(read, socket);
        const auto pending = std::make_shared<const PendingReply>(
            pendingReplies, [pipelined, connection,
                             progress = std::make_shared<const IntakeProgress>(
                                 socket.sockets().requestLimits().intake, socket.intakeId())] {
                pipelined->recordAnswered(connection);
            });
        const auto sender = std::make_shared<ReplySender>(*request, pending, senders, load, closes);
        if (load != nullptr) {
            load->recordRequest();
            load->recordReceived(sizeOf(read));
        }
        if (!listener->takeFirst(read.connection) && onFurtherRequest) {
            onFurtherRequest();
        }
        const TimePoint receivedAt = SystemClock().now();
        auto start = [handler = isAdmitted ? handler : refuse, pipelined, sender, receivedAt,
                      read = std::move(read)]() mutable {
            if (pipelined->isOpen(read.connection)) {
                read.heldBack = SystemClock().now() - receivedAt;
                handleRequest(handler, std::move(read), sender);
            }
        };
        pipelined->add(connection, [strand = connectionOf(*request).get_executor(),
                                    start = std::move(start)]() mutable {
            asio::post(strand, std::move(start));
        });
        return restinio::request_accepted();
    };
    auto settings =
        restinio::server_settings_t<Traits>()
            .address(ip)
            .port(port)
            .handle_request_timeout(maxHandlingTime)
            .read_next_http_message_timelimit(options.idleLimit)
            .write_http_response_timelimit(maxHandlingTime)
            .max_pipelined_requests(pipelinedRequests)
            .timer_manager(timerInterval)
            .connection_state_listener(listener)
            .ip_blocker(std::make_shared<ConnectionFilter>(options.mayAccept))
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_field_value_size(maxHeaderFieldBytes)
                                          .max_body_size(options.maxBodyBytes))
            .socket_options_setter([](auto &socket) {
                socket.set_option(asio::ip::tcp::no_delay{true});
                socket.set_option(NotSentLowWatermark(maxUnsentBytes));
            })
            .acceptor_options_setter([](auto &acceptor) {
                // RESTinio's default option.
                acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
                // Inherited by the connections.
                acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            })
            .acceptor_post_bind_hook([raw](asio::ip::tcp::acceptor &acceptor) {
                raw->port = acceptor.local_endpoint().port();
            })
            .request_handler(std::move(onRequest));
    state->sockets().setWriteLimit(options.writeLimit);
    state->sockets().setRequestLimits(
        {options.maxHeadBytes, options.maxBodyBytes, options.bodyCopies, options.intake});
    state->checkWrites();
    try {
        state->server = restinio::run_async<Traits>(restinio::external_io_context(state->context),
                                                    std::move(settings),
                                                    static_cast<std::size_t>(options.threads));
    } catch (const std::exception &error) {
        return makeError(absl::StatusCode::kUnavailable, "listening", options.address,
                         error.what());
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::uint16_t HttpServer::port() const
{
    return m_state->port;
}

UndeliveredReplies HttpServer::undelivered() const
{
    const UnacknowledgedBytes left = m_state->sockets().unacknowledged();
    return {m_state->pendingReplies->load(), left.sockets, left.bytes};
}

void HttpServer::runAfter(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_state->context, delay);
    timer->async_wait([timer, task = std::move(task)](const std::error_code &error) {
        if (!error) {
            task();
        }
    });
}

void HttpServer::stop()
{
    m_state->sockets().gate()->close();
    if (m_state->server != nullptr) {
        m_state->server->stop();
        m_state->server->wait();
        m_state->server.reset();
    }
    m_state->pipelined->clear();
    m_state->senders->close();
}

} // namespace harelink
