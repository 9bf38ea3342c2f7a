//===- httpserver.cpp - Incoming HTTP -------------------------------------===//

#include "harelink/Adapters/httpserver.h"

#include "harelink/Support/error.h"
#include "harelink/Support/text.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <optional>
#include <stdexcept>

#include <restinio/all.hpp>

namespace harelink {
namespace {

/// Thrown where a connection's own operations run, for RESTinio to close that connection.
class ReplyCut : public std::runtime_error
{
public:
    ReplyCut()
        : std::runtime_error("the reply is cut")
    {
    }
};

/// Tells of connections that ended.
class ClosedListener
{
public:
    explicit ClosedListener(std::function<void(std::uint64_t)> onClosed)
        : m_onClosed(std::move(onClosed))
    {
    }
    // RESTinio looks for this very name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        const bool closed =
            restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause());
        if (closed && m_onClosed) {
            m_onClosed(notice.connection_id());
        }
    }

private:
    std::function<void(std::uint64_t)> m_onClosed;
};

struct Traits : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                          restinio::default_request_handler_t>
{
    // RESTinio looks for this very name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    using connection_state_listener_t = ClosedListener;
};

/// Longer than any deadline that a pipeline may have.
constexpr std::chrono::minutes handlingLimit{11};
/// While a request is handled its connection is read on, or a caller that leaves would
/// go unnoticed; what comes then waits here.
constexpr std::size_t pipelinedRequests = 2;
/// How often RESTinio looks at its time limits, which are all of seconds.
constexpr std::chrono::milliseconds timerInterval{1000};
constexpr std::size_t largestHeaderField = 16'384;

std::map<std::string, std::string> readQuery(restinio::string_view_t text)
{
    std::map<std::string, std::string> values;
    // A query that cannot be decoded reads as empty, and the handler then
    // misses the parameters that it needs.
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

/// Sends the reply to one request, whole or in parts.
class ReplySender
{
public:
    explicit ReplySender(restinio::request_handle_t request)
        : m_request(std::move(request))
    {
    }

    void send(HttpReply reply)
    {
        if (reply.abort) {
            cut(reply);
            return;
        }
        if (!reply.more && !m_chunks) {
            auto response = begin<restinio::restinio_controlled_output_t>(reply);
            response.set_body(std::move(reply.body));
            response.done();
            return;
        }
        if (!m_chunks) {
            m_chunks.emplace(begin<restinio::chunked_output_t>(reply));
        }
        m_chunks->append_chunk(std::move(reply.body));
        if (!reply.more) {
            m_chunks->done();
            return;
        }
        m_chunks->flush(
            [onSendFailed = std::move(reply.onSendFailed)](const std::error_code &error) {
                if (error && onSendFailed) {
                    onSendFailed();
                }
            });
    }

private:
    /// Ends the connection after what was handed over before, without the end of the reply.
    ///
    /// RESTinio has no call for it. It closes a connection whose notification of a write
    /// throws, and gives notifications where all operations of that connection run: nobody
    /// else's socket can be touched, and one that ended meanwhile is left alone. A cut
    /// takes the same time with 4,000 open connections as with 10 (harelink-bench-cut).
    void cut(const HttpReply &reply)
    {
        if (!m_chunks) {
            m_chunks.emplace(begin<restinio::chunked_output_t>(reply));
        }
        m_chunks->flush([](const std::error_code &error) {
            if (!error) {
                throw ReplyCut();
            }
        });
    }

    template <typename Output>
    restinio::response_builder_t<Output> begin(const HttpReply &reply)
    {
        const auto status = restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(reply.status)},
            reply.status < 400 ? "OK" : "Error"};
        auto response = m_request->template create_response<Output>(status);
        if (reply.close) {
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

    restinio::request_handle_t m_request;
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>> m_chunks;
};

} // namespace

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
    std::size_t at = 0;
    while (at < path.size()) {
        const std::size_t end = std::min(path.find('/', at), path.size());
        if (end > at) {
            parts.push_back(path.substr(at, end - at));
        }
        at = end + 1;
    }
    return parts;
}

/// What RESTinio needs to run.
struct HttpServer::State
{
    asio::io_context context;
    std::atomic<std::uint16_t> port{0};
    restinio::running_server_handle_t<Traits> server;
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
    auto settings =
        restinio::server_settings_t<Traits>()
            .address(ip)
            .port(port)
            .handle_request_timeout(handlingLimit)
            .read_next_http_message_timelimit(options.idleLimit)
            .max_pipelined_requests(pipelinedRequests)
            .timer_manager(timerInterval)
            .connection_state_listener(std::make_shared<ClosedListener>(options.onClosed))
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_field_value_size(largestHeaderField)
                                          .max_body_size(options.maxBodyBytes))
            .socket_options_setter(
                [](auto &socket) { socket.set_option(asio::ip::tcp::no_delay{true}); })
            .acceptor_post_bind_hook([raw](asio::ip::tcp::acceptor &acceptor) {
                raw->port = acceptor.local_endpoint().port();
            })
            .request_handler([handler = std::move(handler)](const auto &request) {
                const auto sender = std::make_shared<ReplySender>(request);
                handler(readRequest(*request),
                        [sender](HttpReply reply) { sender->send(std::move(reply)); });
                return restinio::request_accepted();
            });
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
    if (m_state->server != nullptr) {
        m_state->server->stop();
        m_state->server->wait();
        m_state->server.reset();
    }
}

} // namespace harelink
