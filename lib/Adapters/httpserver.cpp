//===- httpserver.cpp - Incoming HTTP -------------------------------------===//

#include "harelink/Adapters/httpserver.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <optional>

#include <restinio/all.hpp>

namespace harelink {
namespace {

using Traits = restinio::default_traits_t;

/// Longer than any deadline that a pipeline may have.
constexpr std::chrono::minutes handlingLimit{11};
constexpr std::chrono::minutes idleLimit{2};
constexpr std::size_t largestHeaderField = 16'384;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

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
    request.query = readQuery(header.query());
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers[lowerCase(field.name())] = field.value();
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
        m_chunks->flush([onBroken = std::move(reply.onBroken)](const std::error_code &error) {
            if (error && onBroken) {
                onBroken();
            }
        });
    }

private:
    template <typename Output>
    restinio::response_builder_t<Output> begin(const HttpReply &reply)
    {
        const auto status = restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(reply.status)},
            reply.status < 400 ? "OK" : "Error"};
        auto response = m_request->template create_response<Output>(status);
        response.append_header(restinio::http_field::content_type, reply.contentType);
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
    auto settings = restinio::server_settings_t<Traits>()
                        .address(ip)
                        .port(port)
                        .handle_request_timeout(handlingLimit)
                        .read_next_http_message_timelimit(idleLimit)
                        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                                      .max_field_value_size(largestHeaderField)
                                                      .max_body_size(options.largestBody))
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
