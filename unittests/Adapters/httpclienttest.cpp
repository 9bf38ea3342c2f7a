//===- httpclienttest.cpp - Tests of the HTTP client ----------------------===//

#include "harelink/Adapters/httpclient.h"
#include "harelink/Adapters/httpserver.h"

#include "rawendpoint.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace harelink;

namespace {

/// Answers the first request on each connection, or none, and closes the connection without
/// an answer when it receives the next one, like a crashing endpoint.
class CrashingServer
{
public:
    explicit CrashingServer(bool answersFirst = true)
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
        , m_answersFirst(answersFirst)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listener, 16);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~CrashingServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        // Each thread ends when its client closes the connection, which happened before.
        for (std::thread &connection : m_connections) {
            connection.join();
        }
        close(m_listener);
    }
    [[nodiscard]] std::string url() const { return fmt::format("http://127.0.0.1:{}/", m_port); }
    [[nodiscard]] int requestCount() const { return m_requestCount; }

private:
    bool readRequest(int connection)
    {
        char buffer[4096];
        if (recv(connection, buffer, sizeof buffer, 0) <= 0) {
            return false;
        }
        ++m_requestCount;
        return true;
    }

    void serve()
    {
        for (;;) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            // A reused connection waits for its second request concurrently with the others.
            m_connections.emplace_back([this, connection] { serveConnection(connection); });
        }
    }

    void serveConnection(int connection)
    {
        if (readRequest(connection) && m_answersFirst) {
            constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            readRequest(connection);
        }
        close(connection);
    }

    int m_listener;
    bool m_answersFirst;
    int m_port = 0;
    std::atomic<int> m_requestCount{0};
    std::thread m_thread;
    std::vector<std::thread> m_connections; ///< Used only by m_thread until it ends.
};

HttpResult callWith(HttpClient &client, const HttpCall &call)
{
    HttpResult result;
    bool done = false;
    client.send(call, [&](HttpResult finished) {
        result = std::move(finished);
        done = true;
    });
    while (!done) {
        client.poll(std::chrono::milliseconds(100));
    }
    return result;
}

/// Makes a call to an endpoint that sends \p begin and then \p repeated until the connection is
/// closed. Checks that the client closes it, holds no more than its bounds and goes on.
HttpResult callEndless(std::string_view begin, const std::string &repeated)
{
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &request) {
        if (request.starts_with("GET /other")) {
            (void)connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return;
        }
        (void)connection.write(begin);
        while (connection.write(repeated)) {
        }
    });
    BufferBudget budget(1'048'576);
    HttpClientOptions options;
    options.budget = &budget;
    options.bounds.bodyBytes = 524'288;
    HttpClient client(options);
    HttpCall call;
    call.url = endpoint.url();
    call.timeout = std::chrono::seconds(60);
    std::optional<HttpResult> result;
    std::optional<HttpResult> other;
    std::size_t maxHeld = 0;
    client.send(call, [&](HttpResult finished) { result = std::move(finished); });
    call.url = endpoint.url() + "other";
    client.send(call, [&](HttpResult finished) { other = std::move(finished); });
    while (!result || !other || endpoint.endedCount() < 2) {
        client.poll(std::chrono::milliseconds(1));
        maxHeld = std::max(maxHeld, budget.used());
    }
    CHECK_EQUAL(200, other->status);
    CHECK(maxHeld <= options.bounds.bodyBytes + 2);
    CHECK_EQUAL(0u, budget.used());
    CHECK_EQUAL(0, result->status);
    CHECK_TRUE(result->sent);
    // Not the evidence of a crash, after which a request may be quarantined.
    CHECK_FALSE(result->isBroken);
    return *result;
}

HttpCall post(const std::string &url, bool resendable)
{
    HttpCall call;
    call.method = "POST";
    call.url = url;
    call.body = "{}";
    call.timeout = std::chrono::seconds(5);
    call.resendable = resendable;
    return call;
}

} // namespace

TEST_GROUP(HttpClient){};

TEST(HttpClient, DecodesAnAnswer)
{
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    auto server = HttpServer::start(options, [](const HttpRequest &request, const Responder &to) {
        HttpReply reply;
        reply.status = 418;
        reply.headers.emplace_back("X-Echo", request.header("x-question"));
        reply.body = request.parameter("list") + request.body;
        to(reply);
    });
    CHECK(server.ok());
    HttpClient client;
    HttpCall call = post(fmt::format("http://127.0.0.1:{}/a?list=x,y", (*server)->port()), true);
    call.headers.emplace_back("X-Question: why");
    const HttpResult result = callWith(client, call);
    CHECK_EQUAL(418, result.status);
    STRCMP_EQUAL("why", result.header("x-echo").c_str());
    STRCMP_EQUAL("x,y{}", result.body.c_str());
}

TEST(HttpClient, ReportsThatNothingWasSentIfConnectionIsRefused)
{
    HttpClient client;
    const HttpResult result = callWith(client, post("http://127.0.0.1:1/", true));
    CHECK_EQUAL(0, result.status);
    CHECK_FALSE(result.sent);
    CHECK_FALSE(result.isBroken);
    CHECK(result.connection == HttpConnection::Refused);
}

TEST(HttpClient, ConnectOnlyCallSendsNothing)
{
    CrashingServer server;
    HttpClient client;
    HttpCall call;
    call.url = server.url();
    call.timeout = std::chrono::seconds(5);
    call.connectOnly = true;
    const HttpResult result = callWith(client, call);
    CHECK(result.connection == HttpConnection::Established);
    CHECK_FALSE(result.sent);
    CHECK_EQUAL(0, server.requestCount());
}

TEST(HttpClient, ReportsConnectionClosedByPeer)
{
    CrashingServer server(false);
    HttpClient client;
    const HttpResult result = callWith(client, post(server.url(), false));
    CHECK_EQUAL(0, result.status);
    CHECK_TRUE(result.sent);
    CHECK_TRUE(result.isBroken);
}

// libcurl resends a POST when a reused connection breaks. A call that must not be repeated
// must therefore never reuse a connection.
TEST(HttpClient, NonResendableCallIsSentOnce)
{
    CrashingServer server;
    HttpClient client;
    CHECK_EQUAL(200, callWith(client, post(server.url(), true)).status);
    CHECK_EQUAL(200, callWith(client, post(server.url(), false)).status);
    CHECK_EQUAL(2, server.requestCount());
}

TEST(HttpClient, ControlResendableCallIsSentTwiceOnBrokenConnection)
{
    CrashingServer server;
    HttpClient client;
    CHECK_EQUAL(200, callWith(client, post(server.url(), true)).status);
    // Received once on the reused connection, which breaks, and again on a new one.
    CHECK_EQUAL(200, callWith(client, post(server.url(), true)).status);
    CHECK_EQUAL(3, server.requestCount());
}

// Some endpoints send neither a length nor chunks. The end of such an answer is the orderly end of
// its connection; a reset must not be taken for it.
TEST(HttpClient, UnframedAnswerIsCompleteAfterAnOrderlyClose)
{
    const RawEndpoint endpoint([](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    });
    HttpClient client;
    const HttpResult result = callWith(client, post(endpoint.url(), false));
    CHECK_EQUAL(200, result.status);
    STRCMP_EQUAL("whole", result.body.c_str());
}

TEST(HttpClient, UnframedAnswerIsBrokenAfterAReset)
{
    std::atomic<bool> hasArrived{false};
    const RawEndpoint endpoint([&hasArrived](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        while (!hasArrived) {
            std::this_thread::yield();
        }
        connection.resetOnClose();
    });
    HttpClient client;
    HttpResult result;
    bool done = false;
    client.send(
        post(endpoint.url(), false),
        [&](HttpResult finished) {
            result = std::move(finished);
            done = true;
        },
        [&](const HttpResult &, const std::string &) { hasArrived = true; });
    while (!done) {
        client.poll(std::chrono::milliseconds(100));
    }
    CHECK_EQUAL(0, result.status);
    CHECK_EQUAL(200, result.headStatus);
    CHECK_TRUE(result.sent);
    CHECK_TRUE(result.isBroken);
}

// A faulty endpoint may send header fields without end; libcurl bounds only each line.
TEST(HttpClient, EndlessHeaderFieldsEndTheCall)
{
    const HttpResult result = callEndless("HTTP/1.1 200 OK\r\n", "X-A: b\r\n");
    CHECK(result.exceeded == AnswerPart::Head);
    CHECK(result.fields.size() <= AnswerBounds().headFields);
}

TEST(HttpClient, EndlessHeaderBytesEndTheCall)
{
    const std::string field = "X-A: " + std::string(2000, 'b') + "\r\n";
    CHECK(callEndless("HTTP/1.1 200 OK\r\n", field).exceeded == AnswerPart::Head);
}

TEST(HttpClient, AnEndlessHeaderLineEndsTheCall)
{
    const HttpResult result = callEndless("HTTP/1.1 200 OK\r\nX-A: ", std::string(4096, 'b'));
    CHECK(result.exceeded == AnswerPart::Head);
}

// Each interim head replaces the fields of the one before, so that only their sum is without end.
TEST(HttpClient, EndlessInterimHeadsEndTheCall)
{
    const HttpResult result = callEndless("", "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n");
    CHECK(result.exceeded == AnswerPart::Head);
}

TEST(HttpClient, EndlessTrailersEndTheCall)
{
    const HttpResult result =
        callEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n");
    CHECK(result.exceeded == AnswerPart::Head);
}

TEST(HttpClient, AnEndlessBodyEndsTheCall)
{
    const HttpResult result =
        callEndless("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", std::string(4096, 'b'));
    CHECK(result.exceeded == AnswerPart::Body);
    CHECK(result.body.empty());
}

TEST(HttpClient, EndlessChunksEndTheCall)
{
    const HttpResult result =
        callEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbbbb\r\n");
    CHECK(result.exceeded == AnswerPart::Body);
}

TEST(HttpClient, BytesThatAreNoAnswerEndTheCall)
{
    const HttpResult result = callEndless("", std::string(4096, 'b'));
    CHECK_EQUAL(0, result.headStatus);
}

// Callers got 600 and 999 as the status of their answer, and waited until their deadline for an
// answer after 101, which none follows.
TEST(HttpClient, AnswersWithoutAValidStatusAreNone)
{
    constexpr std::array lines = {"HTTP/1.1 000 x",  "HTTP/1.1 000",   "HTTP/1.1 0 x",
                                  "HTTP/1.1 042 x",  "HTTP/1.1 099 x", "HTTP/1.1 101 x",
                                  "HTTP/1.1 600 x",  "HTTP/1.1 999 x", "HTTP/1.1 1000 x",
                                  "HTTP/1.1 2000 x", "HTTP/1.1 20 x",  "HTTP/1.1 65736 x",
                                  "HTTP/1.1 abc x",  "HTTP/1.1 -200",  "HTTP/1.1  200 x",
                                  "HTTP/1.1 2x0 x",  "HTTP/1.1",       "HTTP/1.1 "};
    constexpr std::array framings = {"Content-Length: 4\r\n\r\nbody",
                                     "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                     "Content-Type: text/event-stream\r\n\r\ndata: x\n\n"};
    HttpClient client;
    for (const char *line : lines) {
        for (const char *framing : framings) {
            for (const char *interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
                const std::string answer = fmt::format("{}{}\r\n{}", interim, line, framing);
                const RawEndpoint endpoint(
                    [&answer](const RawConnection &connection, const std::string &) {
                        (void)connection.write(answer);
                        (void)connection.readRequest(); // Until the client closes the connection.
                    });
                bool hasBody = false;
                std::optional<HttpResult> result;
                client.send(
                    post(endpoint.url(), false), [&](HttpResult end) { result = std::move(end); },
                    [&](const HttpResult &, const std::string &) { hasBody = true; });
                while (!result) {
                    client.poll(std::chrono::milliseconds(100));
                }
                CHECK_TEXT(!result->error.empty(), answer.c_str());
                CHECK_TEXT(result->error != "timeout was reached", answer.c_str());
                CHECK_EQUAL_TEXT(0, result->status, line);
                CHECK_TRUE(result->sent);
                CHECK_FALSE(result->isBroken);
                CHECK_FALSE(hasBody);
            }
        }
    }
}

TEST(HttpClient, AnswersWithAValidStatusAreTakenAsTheyCome)
{
    HttpClient client;
    for (const char *line : {"200 OK", "200", "200 ", "299 x", "418 x", "599 x"}) {
        const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
            (void)connection.write(fmt::format("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 {}\r\n"
                                               "Content-Length: 4\r\n\r\nbody",
                                               line));
        });
        const HttpResult result = callWith(client, post(endpoint.url(), false));
        CHECK_EQUAL(std::stoi(line), result.status);
        CHECK_EQUAL(std::stoi(line), result.headStatus);
        STRCMP_EQUAL("body", result.body.c_str());
    }
}

// The bounds must not be reached by answers that are as large as they may be.
TEST(HttpClient, AnswersWithinTheBoundsAreWhole)
{
    const AnswerBounds bounds;
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
        for (std::size_t i = 1; i < bounds.headFields; ++i) {
            answer += fmt::format("X-{}: {}\r\n", i, std::string(200, 'a'));
        }
        answer += "\r\n" + std::string(bounds.bodyBytes, 'b');
        (void)connection.write(answer);
    });
    HttpClient client;
    const HttpResult result = callWith(client, post(endpoint.url(), false));
    CHECK_EQUAL(200, result.status);
    CHECK_EQUAL(bounds.headFields, result.fields.size());
    CHECK_EQUAL(bounds.bodyBytes, result.body.size());
}

// While the budget of the process is used up, small answers must still arrive: they can't be the
// reason.
TEST(HttpClient, AUsedUpBudgetEndsOnlyLargeAnswers)
{
    const RawEndpoint endpoint([](const RawConnection &connection, const std::string &request) {
        const std::size_t size = request.starts_with("POST /large") ? 262'144 : 4096;
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        (void)connection.write(std::string(size, 'b'));
    });
    BufferBudget budget(1'048'576);
    HttpClientOptions options;
    options.budget = &budget;
    HttpClient client(options);
    CHECK_EQUAL(200, callWith(client, post(endpoint.url() + "large", false)).status);
    budget.add(1'048'576);
    CHECK_EQUAL(200, callWith(client, post(endpoint.url() + "small", false)).status);
    const HttpResult large = callWith(client, post(endpoint.url() + "large", false));
    CHECK(large.exceeded == AnswerPart::Body);
    // The platform's answers are needed in any case.
    HttpCall essential = post(endpoint.url() + "large", false);
    essential.maxBodyBytes = 1'048'576;
    CHECK_EQUAL(200, callWith(client, essential).status);
    CHECK_EQUAL(1'048'576u, budget.used());
}

// Without pausing, a client reads as fast as the endpoint sends, whether or not anybody takes it.
TEST(HttpClient, APausedCallReadsNothingAndThenTheRest)
{
    constexpr std::size_t size = 33'554'432;
    std::atomic<std::size_t> written{0};
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        const std::string part(65'536, 'b');
        while (written < size && connection.write(part)) {
            written += part.size();
        }
    });
    BufferBudget budget(1'048'576);
    HttpClientOptions options;
    options.budget = &budget;
    HttpClient client(options);
    std::size_t received = 0;
    std::size_t largestPart = 0;
    std::optional<HttpResult> result;
    std::uint64_t id = 0;
    id = client.send(
        post(endpoint.url(), false), [&](HttpResult finished) { result = std::move(finished); },
        [&](const HttpResult &, const std::string &part) {
            const bool isFirst = received == 0;
            received += part.size();
            largestPart = std::max(largestPart, part.size());
            if (isFirst) {
                client.pause(id);
            }
        });
    for (int i = 0; i < 100; ++i) {
        client.poll(std::chrono::milliseconds(5));
    }
    // One delivery, and what the kernel buffers.
    CHECK(received <= 65'536u);
    CHECK(written < size);
    CHECK(budget.used() <= 65'536u);
    client.resume(id);
    while (!result) {
        client.poll(std::chrono::milliseconds(100));
    }
    CHECK_EQUAL(200, result->status);
    CHECK_TRUE(result->longestPause > Duration::zero());
    CHECK_EQUAL(size, received);
    CHECK(largestPart <= 65'536u);
    CHECK_EQUAL(0u, budget.used());
}

// An endpoint that cuts off a call which is not read has not crashed under it.
TEST(HttpClient, ACallThatWasPausedIsNoEvidenceOfACrash)
{
    std::atomic<bool> isPaused{false};
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
        while (!isPaused) {
            std::this_thread::yield();
        }
        connection.resetOnClose();
    });
    HttpClient client;
    std::optional<HttpResult> result;
    std::uint64_t id = 0;
    id = client.send(
        post(endpoint.url(), false), [&](HttpResult finished) { result = std::move(finished); },
        [&](const HttpResult &, const std::string &) {
            client.pause(id);
            isPaused = true;
        });
    while (!isPaused || endpoint.endedCount() == 0) {
        client.poll(std::chrono::milliseconds(1));
    }
    client.resume(id);
    while (!result) {
        client.poll(std::chrono::milliseconds(10));
    }
    CHECK_EQUAL(0, result->status);
    CHECK_FALSE(result->isBroken);
}

// Guards against calls that crash endpoints and are not recognized because they were paused once.
TEST(HttpClient, APausedCallIsEvidenceOfACrashAgainOnceDataHasArrived)
{
    std::atomic<bool> isResumed{false};
    std::atomic<bool> hasMore{false};
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
        while (!isResumed) {
            std::this_thread::yield();
        }
        (void)connection.write("more");
        while (!hasMore) {
            std::this_thread::yield();
        }
        connection.resetOnClose();
    });
    ManualClock clock;
    HttpClientOptions options;
    options.clock = &clock;
    HttpClient client(options);
    std::optional<HttpResult> result;
    std::uint64_t id = 0;
    bool isPaused = false;
    id = client.send(
        post(endpoint.url(), false), [&](HttpResult finished) { result = std::move(finished); },
        [&](const HttpResult &head, const std::string &) {
            if (!std::exchange(isPaused, true)) {
                client.pause(id);
                return;
            }
            CHECK_FALSE(head.mayBeCutOff);
            hasMore = true;
        });
    while (!isPaused) {
        client.poll(std::chrono::milliseconds(1));
    }
    clock.advance(std::chrono::seconds(3));
    client.resume(id);
    isResumed = true;
    while (!result) {
        client.poll(std::chrono::milliseconds(10));
    }
    CHECK_EQUAL(0, result->status);
    CHECK_TRUE(result->isBroken);
    CHECK_TRUE(result->longestPause == std::chrono::seconds(3));
}

// Guards against slow callers of streams that leave no space for answers that cannot be paused.
TEST(HttpClient, StreamsLeaveAPartOfTheBudgetToOtherAnswers)
{
    BufferBudget budget(1'048'576);
    budget.add(800'000);
    CHECK(!budget.allowsMoreOfStream(100'000));
    CHECK(budget.allowsMoreOfStream(guaranteedBytes));
    CHECK(budget.allowsMore(100'000));
    budget.add(300'000);
    CHECK(!budget.allowsMore(100'000));
}
