//===- httpservertest.cpp - Tests of the HTTP server ----------------------===//

#include "harelink/Adapters/httpserver.h"

#include "httpcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace harelink;
using namespace std::chrono_literals;

namespace {

template <typename Condition>
bool waitUntil(const Condition &condition)
{
    for (int i = 0; i < 6000 && !condition(); ++i) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

constexpr const char *get = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-One: 1\r\nX-One: 2\r\n\r\n";

/// More than the kernel buffers for a caller that does not read.
constexpr std::size_t longBody = 33'554'432;
/// For a caller that takes in only a part of heldBody, the rest of which the server's system holds.
constexpr int smallReceiveBuffer = 4'096;
constexpr std::size_t heldBody = 60'000;

/// A server that stores requests and lets the test send the replies.
struct Server
{
    explicit Server(std::chrono::milliseconds writeLimit = 5s)
    {
        HttpServerOptions options;
        options.writeLimit = writeLimit;
        options.address = "127.0.0.1:0";
        options.onClosed = [this](std::uint64_t connection) { closed = connection; };
        options.mayAccept = [this] { return accepts.load(); };
        options.onFurtherRequest = [this] { ++furtherRequests; };
        options.closesConnections = [this] { return closes.load(); };
        server = *HttpServer::start(options, [this](HttpRequest request, Responder respond) {
            const std::lock_guard<std::mutex> guard(mutex);
            requests.push_back(std::move(request));
            if (requests.size() == 1) {
                firstResponder = respond;
            }
            responder = std::move(respond);
        });
    }
    ~Server()
    {
        // Release their connection, which must not outlive the server.
        responder = {};
        firstResponder = {};
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Sends \p reply as the last part, so that only the server keeps what is left of it.
    void sendLast(HttpReply reply)
    {
        const std::lock_guard<std::mutex> guard(mutex);
        responder(std::move(reply));
        responder = {};
        firstResponder = {};
    }
    bool waitForRequest()
    {
        return waitUntil([this] {
            const std::lock_guard<std::mutex> guard(mutex);
            return !requests.empty();
        });
    }

    std::mutex mutex;
    std::vector<HttpRequest> requests;
    Responder responder;      ///< Of the last request.
    Responder firstResponder; ///< Of the first request.
    std::atomic<std::uint64_t> closed{0};
    std::atomic<bool> accepts{true};
    std::atomic<bool> closes{false};
    std::atomic<int> furtherRequests{0};
    std::unique_ptr<HttpServer> server;
};

HttpReply makePart(const std::string &body, bool more)
{
    HttpReply reply;
    reply.body = body;
    reply.more = more;
    return reply;
}

HttpReply makeUnframedPart(const std::string &body, bool more)
{
    HttpReply reply = makePart(body, more);
    reply.endsWithConnection = true;
    return reply;
}

} // namespace

TEST_GROUP(HttpServer){};

TEST(HttpServer, PreservesFieldsAndTarget)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    STRCMP_EQUAL("/a?b=c", server.requests[0].target.c_str());
    LONGS_EQUAL(3, server.requests[0].fields.size());
    STRCMP_EQUAL("X-One", server.requests[0].fields[1].first.c_str());
    STRCMP_EQUAL("1", server.requests[0].fields[1].second.c_str());
    STRCMP_EQUAL("2", server.requests[0].fields[2].second.c_str());
    server.responder(makePart("done", false));
}

TEST(HttpServer, ConnectionThatIsNotAcceptedIsClosedUnread)
{
    Server server;
    server.accepts = false;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    STRCMP_EQUAL("", caller.readAll().c_str());
    CHECK(server.requests.empty());
    server.accepts = true;
    const HttpCaller next(server.server->port());
    next.write(get);
    CHECK(server.waitForRequest());
    server.responder(makePart("done", false));
}

TEST(HttpServer, ReportsFurtherRequestsAndClosesConnectionsOnRequest)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.sendLast(makePart("first", false));
    CHECK(caller.readUntil("first").find("Connection: close") == std::string::npos);
    LONGS_EQUAL(0, server.furtherRequests.load());
    server.requests.clear();
    server.closes = true;
    caller.write(get);
    CHECK(server.waitForRequest());
    LONGS_EQUAL(1, server.furtherRequests.load());
    server.sendLast(makePart("second", false));
    CHECK(caller.readAll().find("Connection: close") != std::string::npos);
}

TEST(HttpServer, DetectsDisconnectDuringHandling)
{
    Server server;
    HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    caller.disconnect();
    CHECK(waitUntil([&] { return server.closed != 0; }));
    LONGS_EQUAL(server.requests[0].connection, server.closed.load());
}

TEST(HttpServer, AbortedReplyIsIncomplete)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.responder(makePart("first", true));
    std::this_thread::sleep_for(50ms);
    HttpReply aborted;
    aborted.abort = true;
    server.responder(aborted);
    const std::string received = caller.readAll();
    CHECK(received.find("first") != std::string::npos);
    // The final chunk would make the reply complete.
    CHECK(received.find("\r\n0\r\n") == std::string::npos);
}

TEST(HttpServer, ChunkedReplyIsComplete)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.responder(makePart("first", true));
    HttpReply last = makePart("", false);
    last.close = true;
    server.responder(last);
    CHECK(caller.readAll().find("\r\n0\r\n") != std::string::npos);
}

// An endpoint's answer without length or chunks got both from the server, so that an answer that
// was cut off looked complete.
TEST(HttpServer, AReplyThatEndsWithItsConnectionClaimsNoEnd)
{
    for (const bool isWhole : {true, false}) {
        Server server;
        const HttpCaller caller(server.server->port());
        caller.write(get);
        CHECK(server.waitForRequest());
        if (!isWhole) {
            server.responder(makeUnframedPart("first ", true));
        }
        server.sendLast(makeUnframedPart("last", false));
        const auto [received, isOrderly] = caller.readToEnd();
        CHECK(isOrderly);
        CHECK(received.find("Connection: close\r\n") != std::string::npos);
        CHECK(received.find("Content-Length") == std::string::npos);
        CHECK(received.find("Transfer-Encoding") == std::string::npos);
        CHECK(received.ends_with(isWhole ? "\r\n\r\nlast" : "\r\n\r\nfirst last"));
    }
}

TEST(HttpServer, ALongReplyThatEndsWithItsConnectionArrivesWhole)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.sendLast(makeUnframedPart(std::string(4'000'000, 'x') + "end", false));
    std::this_thread::sleep_for(50ms);
    const auto [received, isOrderly] = caller.readToEnd();
    CHECK(isOrderly);
    LONGS_EQUAL(4'000'003, received.size() - received.find("\r\n\r\n") - 4);
}

// An orderly close would be the regular end of such a reply.
TEST(HttpServer, AReplyThatEndsWithItsConnectionIsResetIfItEndsEarly)
{
    enum class Cause { Abort, Stop, WriteLimit };
    for (const Cause cause : {Cause::Abort, Cause::Stop, Cause::WriteLimit}) {
        Server server(1s);
        const HttpCaller caller(server.server->port());
        caller.write(get);
        CHECK(server.waitForRequest());
        server.responder(makeUnframedPart("first", true));
        CHECK(caller.readUntil("first").ends_with("\r\n\r\nfirst"));
        if (cause == Cause::Abort) {
            HttpReply aborted;
            aborted.abort = true;
            server.sendLast(aborted);
        } else if (cause == Cause::Stop) {
            server.responder = {};
            server.firstResponder = {};
            server.server.reset();
        } else {
            server.responder(makePart(std::string(longBody, 'x'), true));
            CHECK(waitUntil([&] { return server.closed != 0; }));
        }
        CHECK_FALSE(caller.readToEnd().second);
    }
}

// The order in which an earlier reply and the close are written must hold.
TEST(HttpServer, AReplyBeforeOneThatIsResetArrivesWhole)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.sendLast(makePart("before", false));
    CHECK(caller.readUntil("before").find("Content-Length: 6\r\n") != std::string::npos);
    server.requests.clear();
    caller.write(get);
    CHECK(server.waitForRequest());
    server.sendLast(makeUnframedPart("after", false));
    const auto [received, isOrderly] = caller.readToEnd();
    CHECK(isOrderly);
    CHECK(received.ends_with("\r\n\r\nafter"));
}

// The server limits the time of each write. A reply sent in one write would be cut off for a
// caller that takes longer than the limit for all of it, although it reads all the time.
TEST(HttpServer, ASlowReaderGetsAReplyThatTakesLongerThanTheWriteLimit)
{
    constexpr std::size_t size = 33'554'432;
    Server server(1s);
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.responder(makePart(std::string(size, 'x') + "end", false));
    const auto begin = std::chrono::steady_clock::now();
    const std::string reply = caller.readUntilEnd("end", 8ms);
    CHECK(std::chrono::steady_clock::now() - begin > 2s);
    CHECK(reply.ends_with("end"));
    CHECK(reply.find(fmt::format("Content-Length: {}", size + 3)) != std::string::npos);
    LONGS_EQUAL(size + 3, reply.size() - reply.find("\r\n\r\n") - 4);
}

TEST(HttpServer, ACallerThatNeverReadsIsDisconnectedAndItsDataIsDropped)
{
    Server server(1s);
    SystemClock clock;
    BufferBudget budget(1'048'576);
    const auto backlog = std::make_shared<ReplyBacklog>(clock, budget, "r1", 500ms);
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    HttpReply reply = makePart(std::string(longBody, 'x'), true);
    reply.backlog = backlog;
    server.responder(reply);
    CHECK(backlog->waiting() > 0);
    LONGS_EQUAL(backlog->waiting(), budget.used());
    std::atomic<bool> isDrained{false};
    backlog->whenAtMost(0, [&isDrained] { isDrained = true; });
    CHECK(waitUntil([&] { return isDrained.load(); }));
    LONGS_EQUAL(0, backlog->waiting());
    LONGS_EQUAL(0, budget.used());
    CHECK(waitUntil([&] { return server.closed != 0; }));
    std::string metrics;
    budget.render(metrics);
    CHECK(metrics.find("harelink_slow_callers_total 1\n") != std::string::npos);
}

TEST(HttpServer, ACallerThatReadsSteadilyIsNotTakenForOneThatReadsNothing)
{
    // The server reports what it could not send when it stops.
    SystemClock clock;
    BufferBudget budget(longBody);
    const auto backlog = std::make_shared<ReplyBacklog>(clock, budget, "r1", 2s);
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    HttpReply reply = makePart(std::string(longBody, 'x'), true);
    reply.backlog = backlog;
    server.responder(std::move(reply));
    // 200 kB a second.
    for (int i = 0; i < 80; ++i) {
        CHECK(caller.readSome(20'000) > 0);
        CHECK_FALSE(backlog->isStalled());
        std::this_thread::sleep_for(100ms);
    }
}

// Only some pieces of a reply are queued in RESTinio; the others must follow in the same order,
// also those of parts that are sent during the writes.
TEST(HttpServer, PartsSentDuringWritesArriveWholeAndInOrder)
{
    constexpr int parts = 2'000;
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    std::string expected;
    for (int i = 0; i < parts; ++i) {
        expected += fmt::format("{:>{}};", i, i % 50 == 0 ? 40'000 : 20);
    }
    std::thread sender([&server] {
        for (int i = 0; i < parts; ++i) {
            server.responder(makePart(fmt::format("{:>{}};", i, i % 50 == 0 ? 40'000 : 20), true));
        }
        server.sendLast(makePart("", false));
    });
    const std::string reply = caller.readUntilEnd("\r\n0\r\n\r\n", 10us);
    sender.join();
    CHECK(dechunk(reply.substr(reply.find("\r\n\r\n") + 4)) == expected);
}

// An abort that overtakes pieces would cut off data that the caller is to get.
TEST(HttpServer, AnAbortFollowsAllPiecesOfThePartBeforeIt)
{
    constexpr std::size_t size = 4'000'000;
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    server.responder(makePart(std::string(size, 'x') + "end", true));
    HttpReply aborted;
    aborted.abort = true;
    server.sendLast(aborted);
    const std::string reply = caller.readUntilEnd("\r\n0\r\n\r\n", 10us);
    const std::string body = dechunk(reply.substr(reply.find("\r\n\r\n") + 4));
    LONGS_EQUAL(size + 3, body.size());
    CHECK(body.ends_with("end"));
    CHECK(!reply.ends_with("\r\n0\r\n\r\n"));
}

// Guards against pieces that are reported twice or never when the connection ends: the server keeps
// some of them and RESTinio others.
TEST(HttpServer, EachUnsentPieceIsReportedOnceAndReleased)
{
    constexpr std::size_t countedPerPiece = 16'384 + 512;
    constexpr std::size_t pieces = 2'048;
    Server server(60s);
    SystemClock clock;
    BufferBudget budget(1'048'576);
    const auto backlog = std::make_shared<ReplyBacklog>(clock, budget, "r1", 60s);
    HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    HttpReply reply = makePart(std::string(pieces * 16'384, 'x'), false);
    reply.backlog = backlog;
    std::atomic<std::size_t> failures{0};
    reply.onSendFailed = [&failures] { ++failures; };
    server.sendLast(std::move(reply));
    std::size_t waiting = 0;
    CHECK(waitUntil([&] {
        std::this_thread::sleep_for(300ms);
        return std::exchange(waiting, backlog->waiting()) == backlog->waiting();
    }));
    CHECK(waiting > 0);
    caller.disconnect();
    CHECK(waitUntil([&] { return backlog->waiting() == 0 && backlog.use_count() == 1; }));
    LONGS_EQUAL(waiting / countedPerPiece, failures.load());
    LONGS_EQUAL(0, waiting % countedPerPiece);
    LONGS_EQUAL(0, budget.used());
}

// A stop that ignores replies in progress, or bytes that the system holds, cuts off slow readers.
TEST(HttpServer, AReplyIsUndeliveredUntilItsCallerHasReadIt)
{
    Server server;
    const HttpCaller caller(server.server->port(), smallReceiveBuffer);
    CHECK(server.server->undelivered().isEmpty());
    caller.write(get);
    CHECK(server.waitForRequest());
    LONGS_EQUAL(1, server.server->undelivered().requests);
    server.sendLast(makePart(std::string(longBody, 'x'), false));
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(1, server.server->undelivered().requests);
    CHECK(server.server->undelivered().bytes > 0);
    (void)caller.readAll();
    CHECK(waitUntil([&] { return server.server->undelivered().isEmpty(); }));
}

TEST(HttpServer, AReplyThatTheSystemHoldsIsUndelivered)
{
    Server server;
    const HttpCaller caller(server.server->port(), smallReceiveBuffer);
    caller.write(get);
    CHECK(server.waitForRequest());
    server.sendLast(makePart(std::string(heldBody, 'x') + "end", false));
    CHECK(waitUntil([&] { return server.server->undelivered().requests == 0; }));
    LONGS_EQUAL(1, server.server->undelivered().connections);
    CHECK(server.server->undelivered().bytes > heldBody / 2);
    CHECK(caller.readUntilEnd("end", 0us).ends_with("end"));
    CHECK(waitUntil([&] { return server.server->undelivered().isEmpty(); }));
}

TEST(HttpServer, ARequestWhoseCallerLeavesIsNotUndeliveredForever)
{
    Server server;
    HttpCaller caller(server.server->port(), smallReceiveBuffer);
    caller.write(get);
    CHECK(server.waitForRequest());
    server.responder(makePart(std::string(longBody, 'x'), true));
    caller.disconnect();
    CHECK(waitUntil([&] { return server.closed != 0; }));
    server.sendLast(makePart("", false));
    CHECK(waitUntil([&] { return server.server->undelivered().isEmpty(); }));
}

// The system resets a connection that is closed with unread bytes, or gets some after it.
TEST(HttpServer, ARequestBehindTheLastReplyDoesNotCutItOff)
{
    for (const bool isEarly : {true, false}) {
        Server server;
        const HttpCaller caller(server.server->port(), smallReceiveBuffer);
        caller.write(get);
        CHECK(server.waitForRequest());
        if (isEarly) {
            // More than the server reads ahead.
            for (int i = 0; i < 500; ++i) {
                caller.write(get);
            }
            std::this_thread::sleep_for(50ms);
        }
        HttpReply reply = makePart(std::string(heldBody, 'x') + "end", false);
        reply.close = true;
        {
            const std::lock_guard<std::mutex> guard(server.mutex);
            server.firstResponder(std::move(reply));
            server.firstResponder = {};
            server.responder = {};
        }
        CHECK(waitUntil([&] { return server.closed != 0; }));
        caller.write(get);
        std::this_thread::sleep_for(50ms);
        const bool isCounted = server.server->undelivered().bytes > 0;
        CHECK(caller.readUntilEnd("end", 1ms).ends_with("end"));
        CHECK(isCounted);
        CHECK(waitUntil([&] { return server.server->undelivered().isEmpty(); }));
    }
}

/// A server that replies at once, except to requests for "/held".
struct ImmediateServer
{
    ImmediateServer()
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        server = *HttpServer::start(options, [this](const HttpRequest &request, Responder respond) {
            const std::lock_guard<std::mutex> guard(mutex);
            handled.push_back(request);
            if (request.path == "/held") {
                held = std::move(respond);
            } else {
                respond(makePart("at once", false));
            }
        });
    }
    ~ImmediateServer() { held = {}; }
    ImmediateServer(const ImmediateServer &) = delete;
    ImmediateServer &operator=(const ImmediateServer &) = delete;

    void replyToHeld(HttpReply reply)
    {
        CHECK(waitUntil([this] {
            const std::lock_guard<std::mutex> guard(mutex);
            return held != nullptr;
        }));
        const std::lock_guard<std::mutex> guard(mutex);
        std::exchange(held, {})(std::move(reply));
    }
    std::size_t handledCount()
    {
        const std::lock_guard<std::mutex> guard(mutex);
        return handled.size();
    }

    std::mutex mutex;
    std::vector<HttpRequest> handled;
    Responder held;
    std::unique_ptr<HttpServer> server;
};

std::string makeGet(const std::string &path, const std::string &fields = {})
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: x\r\n{}\r\n", path, fields);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

TEST(HttpServer, APipelinedReplyThatEndsItsConnectionDoesNotEndTheProcess)
{
    ImmediateServer server;
    const HttpCaller caller(server.server->port());
    caller.write(makeGet("/held") + makeGet("/b", "Connection: close\r\n") + makeGet("/c"));
    std::this_thread::sleep_for(50ms);
    server.replyToHeld(makePart("held", false));
    const std::string received = caller.readAll();
    LONGS_EQUAL(2, countOf(received, "HTTP/1.1 200"));
    LONGS_EQUAL(2, server.handledCount());
    const HttpCaller next(server.server->port());
    next.write(makeGet("/d"));
    CHECK(next.readUntil("at once").ends_with("at once"));
}

TEST(HttpServer, ARequestBehindAReplyThatEndsItsConnectionDoesNotRun)
{
    for (const bool isUnframed : {false, true}) {
        ImmediateServer server;
        const HttpCaller caller(server.server->port());
        caller.write(makeGet("/held") + makeGet("/b"));
        std::this_thread::sleep_for(50ms);
        HttpReply reply = isUnframed ? makeUnframedPart("held", false) : makePart("held", false);
        reply.close = true;
        server.replyToHeld(std::move(reply));
        CHECK(caller.readAll().ends_with("held"));
        std::this_thread::sleep_for(50ms);
        LONGS_EQUAL(1, server.handledCount());
        CHECK(waitUntil([&] { return server.server->undelivered().isEmpty(); }));
    }
}

TEST(HttpServer, PipelinedRequestsRunOneAfterTheOther)
{
    ImmediateServer server;
    const HttpCaller caller(server.server->port());
    caller.write(makeGet("/held") + makeGet("/b") + makeGet("/c") + makeGet("/d"));
    std::this_thread::sleep_for(100ms);
    LONGS_EQUAL(1, server.handledCount());
    server.replyToHeld(makePart("held", false));
    std::string received = caller.readAll();
    LONGS_EQUAL(4, countOf(received, "HTTP/1.1 200"));
    CHECK(received.find("held") < received.find("at once"));
    STRCMP_EQUAL("/b", server.handled[1].path.c_str());
    STRCMP_EQUAL("/d", server.handled[3].path.c_str());
    CHECK(server.handled[1].heldBack >= 50ms);
}

TEST(HttpServer, AHandlerThatThrowsEndsItsConnectionOnly)
{
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    const auto server =
        *HttpServer::start(options, [](const HttpRequest &request, const Responder &respond) {
            if (request.path == "/fails") {
                throw std::runtime_error("unexpected");
            }
            respond(makePart("whole", false));
        });
    const HttpCaller caller(server->port());
    caller.write(makeGet("/fails"));
    CHECK(caller.readAll().find("HTTP/1.1 200") == std::string::npos);
    const HttpCaller next(server->port());
    next.write(makeGet("/a"));
    CHECK(next.readUntil("whole").ends_with("whole"));
}

// Sockets of callers that neither read nor close must not accumulate.
TEST(HttpServer, AClosedConnectionWhoseCallerReadsNothingEnds)
{
    Server server;
    const HttpCaller caller(server.server->port(), smallReceiveBuffer);
    caller.write(get);
    CHECK(server.waitForRequest());
    HttpReply reply = makePart(std::string(heldBody, 'x') + "end", false);
    reply.close = true;
    server.sendLast(std::move(reply));
    CHECK(waitUntil([&] { return server.closed != 0; }));
    const auto closedAt = std::chrono::steady_clock::now();
    CHECK(server.server->undelivered().bytes > 0);
    CHECK(waitUntil([&] { return server.server->undelivered().isEmpty(); }));
    // A caller that pauses for less than the limit of 5 s gets the whole reply.
    CHECK(std::chrono::steady_clock::now() - closedAt > 4s);
}

TEST(HttpServer, AClosedConnectionThatItsCallerLeavesOpenEnds)
{
    Server server;
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    HttpReply reply = makePart("whole", false);
    reply.close = true;
    server.sendLast(std::move(reply));
    CHECK(caller.readUntilEnd("whole", 0us).ends_with("whole"));
    const auto readAt = std::chrono::steady_clock::now();
    // The server discards what arrives, and the system resets the connection once it is closed.
    CHECK(waitUntil([&] { return !caller.tryWrite("x"); }));
    CHECK(std::chrono::steady_clock::now() - readAt > 500ms);
}

// Guards against a cycle of references between a connection and what is left of its reply.
TEST(HttpServer, AStopReleasesRepliesInProgress)
{
    Server server(60s);
    SystemClock clock;
    BufferBudget budget(1'048'576);
    const auto backlog = std::make_shared<ReplyBacklog>(clock, budget, "r1", 60s);
    const HttpCaller caller(server.server->port());
    caller.write(get);
    CHECK(server.waitForRequest());
    HttpReply reply = makePart(std::string(longBody, 'x'), false);
    reply.backlog = backlog;
    server.sendLast(std::move(reply));
    CHECK(backlog->waiting() > 0);
    server.server.reset();
    LONGS_EQUAL(0, backlog->waiting());
    LONGS_EQUAL(0, budget.used());
    LONGS_EQUAL(1, backlog.use_count());
}
