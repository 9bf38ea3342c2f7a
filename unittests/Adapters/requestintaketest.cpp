//===- requestintaketest.cpp - Tests of servers with a limit on memory ----===//

#include "harelink/Adapters/httpserver.h"

#include "httpcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace harelink;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 16'777'216;
constexpr std::size_t bodyBytes = 4'000'000;
constexpr const char *get = "GET /other HTTP/1.1\r\nHost: x\r\n\r\n";

template <typename Condition>
bool waitUntil(const Condition &condition)
{
    for (int i = 0; i < 6000 && !condition(); ++i) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

/// Replies to each request with its path and the size of its body; to "/held" when the test says.
struct Server
{
    Server()
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        options.maxBodyBytes = 8'000'000;
        options.intake = &intake;
        options.makeRefusal = [](const HttpRequest &request) {
            HttpReply reply;
            reply.status = 429;
            reply.body = fmt::format("refused {} {}", request.path, request.body.size());
            return reply;
        };
        server = *HttpServer::start(options, [this](HttpRequest request, Responder respond) {
            ++handled;
            if (request.path == "/held") {
                const std::lock_guard<std::mutex> guard(mutex);
                held.emplace_back(std::move(request), std::move(respond));
                return;
            }
            HttpReply reply;
            reply.body = fmt::format("{} {}", request.path, request.body.size());
            respond(std::move(reply));
        });
        tick();
    }
    ~Server()
    {
        server->stop();
        held.clear();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    void tick()
    {
        intake.tick(SystemClock().now());
        server->runAfter(IntakeBudget::tickInterval, [this] { tick(); });
    }
    bool waitForHeld()
    {
        return waitUntil([this] {
            const std::lock_guard<std::mutex> guard(mutex);
            return !held.empty();
        });
    }
    void answerHeld()
    {
        const std::lock_guard<std::mutex> guard(mutex);
        HttpReply reply;
        reply.body = "held";
        held.back().second(std::move(reply));
        held.pop_back();
    }
    /// Returns a metric of the budget.
    [[nodiscard]] std::string metric(const std::string &name) const
    {
        std::string text;
        intake.render(text);
        const std::size_t at = text.find("\n" + name + " ") + name.size() + 2;
        return text.substr(at, text.find('\n', at) - at);
    }

    RequestIntake intake{limit};
    std::atomic<int> handled{0};
    std::mutex mutex;
    std::vector<std::pair<HttpRequest, Responder>> held;
    std::unique_ptr<HttpServer> server;
};

std::string post(const std::string &path, std::size_t bytes)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", path, bytes);
}

std::string chunked(std::size_t chunks, const std::string &chunk)
{
    std::string text;
    for (std::size_t i = 0; i < chunks; ++i) {
        text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return text;
}

constexpr const char *chunkedHead =
    "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_GROUP(RequestIntake){};

/// What is left of the body must not be taken for a request.
TEST(RequestIntake, ARefusedBodyIsAnsweredAndNotParsed)
{
    Server server;
    const auto all = server.intake.take(limit - limit / 4 - 100'000);
    const HttpCaller caller(server.server->port());
    std::string body;
    while (body.size() < bodyBytes) {
        body += get;
    }
    caller.write(post("/x", body.size()) + body.substr(0, 60'000));
    const std::string reply = caller.readAll();
    CHECK(reply.starts_with("HTTP/1.1 429 "));
    CHECK(reply.ends_with("refused /x 0"));
    CHECK(reply.find("Connection: close") != std::string::npos);
    LONGS_EQUAL(0, server.handled.load());
    CHECK(reply.find("/other") == std::string::npos);
}

/// A connection that is reset while its caller sends loses the refusal, and with it the promise
/// that the request has not run.
TEST(RequestIntake, ARefusalReachesACallerThatSendsItsWholeBodyFirst)
{
    Server server;
    const auto all = server.intake.take(limit - limit / 4 - 100'000);
    const HttpCaller caller(server.server->port());
    constexpr int parts = 30;
    constexpr std::size_t partBytes = 100'000;
    caller.write(post("/x", parts * partBytes));
    for (int i = 0; i < parts; ++i) {
        CHECK(caller.tryWrite(std::string(partBytes, 'x')));
        std::this_thread::sleep_for(100ms);
    }
    CHECK(caller.readAll().starts_with("HTTP/1.1 429 "));
}

TEST(RequestIntake, ARefusedBodyInChunksIsAnswered)
{
    Server server;
    const auto all = server.intake.take(limit - limit / 4 - 100'000);
    const HttpCaller caller(server.server->port());
    caller.write(chunkedHead + chunked(40, std::string(1000, 'x')));
    CHECK(caller.readAll().ends_with("refused /x 0"));
    LONGS_EQUAL(0, server.handled.load());
}

TEST(RequestIntake, ACompleteRequestWithoutRoomIsRefused)
{
    Server server;
    const auto large = server.intake.take(limit - limit / 4);
    std::vector<std::shared_ptr<const IntakeTicket>> small;
    for (const std::size_t bytes : {10'000, 100}) {
        while (auto ticket = server.intake.take(bytes)) {
            small.push_back(std::move(ticket));
        }
    }
    const HttpCaller caller(server.server->port());
    caller.write(get);
    const std::string reply = caller.readAll();
    CHECK(reply.starts_with("HTTP/1.1 429 "));
    LONGS_EQUAL(0, server.handled.load());
}

/// The refusal must not come before the reply to the request before it.
TEST(RequestIntake, ARefusalBehindARequestInProgressWaitsForItsReply)
{
    Server server;
    const auto all = server.intake.take(limit - limit / 4 - 100'000);
    const HttpCaller caller(server.server->port());
    caller.write("GET /held HTTP/1.1\r\nHost: x\r\n\r\n" + post("/x", bodyBytes)
                 + std::string(10'000, 'x'));
    CHECK(server.waitForHeld());
    std::this_thread::sleep_for(2 * IntakeBudget::maxWait);
    server.answerHeld();
    const std::string reply = caller.readAll();
    CHECK(reply.starts_with("HTTP/1.1 200 "));
    const std::size_t refusal = reply.find("HTTP/1.1 429 ");
    CHECK(reply.find("held") < refusal);
    CHECK(refusal != std::string::npos);
    LONGS_EQUAL(1, server.handled.load());
}

TEST(RequestIntake, ABodyThatWaitsIsReadWhenMemoryIsReleased)
{
    Server server;
    auto all = server.intake.take(limit - limit / 4 - 100'000);
    const HttpCaller caller(server.server->port());
    caller.write(post("/x", bodyBytes) + std::string(100, 'x'));
    CHECK(waitUntil(
        [&server] { return server.metric("harelink_requests_waiting_for_memory") == "1"; }));
    all.reset();
    caller.write(std::string(bodyBytes - 100, 'x'));
    CHECK(caller.readUntil("4000000").ends_with("/x 4000000"));
}

TEST(RequestIntake, BodiesLeaveTheBudgetWithTheirReplies)
{
    Server server;
    for (int i = 0; i < 20; ++i) {
        const HttpCaller caller(server.server->port());
        caller.write(post("/x", bodyBytes));
        caller.write(std::string(bodyBytes, 'x'));
        CHECK(caller.readUntil("4000000").ends_with("/x 4000000"));
    }
    CHECK(waitUntil([&server] { return server.metric("harelink_request_bytes") == "0"; }));
}

/// They hold the whole budget and would be closed only after the idle limit.
TEST(RequestIntake, UnfinishedBodiesGiveWayToAnother)
{
    Server server;
    std::vector<std::unique_ptr<HttpCaller>> unfinished;
    for (int i = 0; i < 3; ++i) {
        unfinished.push_back(std::make_unique<HttpCaller>(server.server->port()));
        unfinished.back()->write(post("/x", bodyBytes));
        unfinished.back()->write(std::string(bodyBytes - 1, 'x'));
    }
    std::this_thread::sleep_for(IntakeBudget::stallLimit + 3 * IntakeBudget::tickInterval);
    const HttpCaller caller(server.server->port());
    caller.write(post("/x", bodyBytes));
    caller.write(std::string(bodyBytes, 'x'));
    CHECK(caller.readUntil("4000000").ends_with("/x 4000000"));
    CHECK(server.metric("harelink_connections_dropped_stalled_total") == "1");
}

TEST(RequestIntake, SmallChunksTakeNoMoreThanTheBody)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(chunkedHead);
    for (int i = 0; i < 100; ++i) {
        caller.write(chunked(1000, "x"));
    }
    caller.write("0\r\nTrailer: 1\r\n\r\n");
    CHECK(caller.readUntil("100000").ends_with("/x 100000"));
}

TEST(RequestIntake, HeadsOverTheLimitCloseTheConnection)
{
    for (const std::string &part :
         {std::string("a:1\r\n"), std::string("\r\n"), std::string("x")}) {
        Server server;
        const HttpCaller caller(server.server->port());
        caller.write(part == "\r\n" ? "" : "GET /x HTTP/1.1\r\nHost: x\r\n");
        std::string bytes;
        while (bytes.size() < 75'000) {
            bytes += part;
        }
        caller.write(bytes);
        CHECK(caller.readAll().empty());
        CHECK(waitUntil([&server] { return server.metric("harelink_caller_connections") == "0"; }));
        LONGS_EQUAL(0, server.handled.load());
    }
}

TEST(RequestIntake, TheServerStopsWhileBodiesWait)
{
    Server server;
    const auto all = server.intake.take(limit - limit / 4 - 100'000);
    std::vector<std::unique_ptr<HttpCaller>> waiting;
    for (int i = 0; i < 10; ++i) {
        waiting.push_back(std::make_unique<HttpCaller>(server.server->port()));
        waiting.back()->write(post("/x", bodyBytes) + std::string(10'000, 'x'));
    }
    CHECK(waitUntil(
        [&server] { return server.metric("harelink_requests_waiting_for_memory") != "0"; }));
    server.server->stop();
}
