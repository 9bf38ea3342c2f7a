//===- callrelaytest.cpp - Tests of the calls made by peers ---------------===//

#include "harelink/Daemon/callrelay.h"
#include "harelink/Adapters/httpserver.h"
#include "harelink/Support/text.h"

#include "Adapters/rawendpoint.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

using namespace harelink;

namespace {

constexpr CallId firstCall{{7, 1}, 0, 1};

/// One daemon's relay, with what it sends and delivers.
struct Side
{
    explicit Side(const Clock &clock, BufferBudget *budget = nullptr,
                  RequestIntake *intake = nullptr)
        : relay(clock, http,
                {[this](const std::string &, decltype(PeerMessage::content) content) {
                     sent.push_back(std::move(content));
                 },
                 [this](RelayedPart part) { delivered.push_back(std::move(part)); },
                 [this](const std::string &) { return hasPath; }},
                budget, intake)
    {
    }
    void receive(const std::string &from, decltype(PeerMessage::content) content)
    {
        relay.handle(PeerMessage{from, 1, std::move(content)});
    }
    /// Waits for \p count messages.
    void await(std::size_t count)
    {
        for (int i = 0; i < 500 && sent.size() < count; ++i) {
            http.poll(std::chrono::milliseconds(10));
        }
        CHECK(sent.size() >= count);
    }

    HttpClient http;
    bool hasPath = true;
    std::vector<decltype(PeerMessage::content)> sent;
    std::vector<RelayedPart> delivered;
    CallRelay relay;
};

struct Fixture
{
    Fixture()
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        server = *HttpServer::start(options,
                                    [this](const HttpRequest &request, const Responder &respond) {
                                        ++calls;
                                        HttpReply reply;
                                        reply.body = "answer to " + request.body;
                                        respond(std::move(reply));
                                    });
    }
    [[nodiscard]] RelayRequest request() const
    {
        RelayRequest request{firstCall, "", "engines", "e-1", {}};
        request.http.method = "POST";
        request.http.url = "http://127.0.0.1:" + std::to_string(server->port());
        request.http.body = "question";
        request.http.timeout = std::chrono::seconds(5);
        return request;
    }

    std::atomic<int> calls{0};
    std::unique_ptr<HttpServer> server;
    ManualClock clock;
    Side origin{clock};
    Side peer{clock};
};

const RelayPart &partIn(const decltype(PeerMessage::content) &content)
{
    return std::get<RelayPart>(content);
}

} // namespace

TEST_GROUP(CallRelay){};

TEST(CallRelay, ThePeerMakesTheCallAndReturnsItsAnswer)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    fixture.peer.await(2);
    for (const auto &message : fixture.peer.sent) {
        fixture.origin.receive("h2", message);
    }
    std::string body;
    for (const RelayedPart &part : fixture.origin.delivered) {
        body += part.part.body;
        CHECK_FALSE(part.isRelayLost);
    }
    STRCMP_EQUAL("answer to question", body.c_str());
    const RelayPart &last = fixture.origin.delivered.back().part;
    CHECK(last.isLast);
    LONGS_EQUAL(200, last.status);
}

TEST(CallRelay, ARepeatedMessageMakesNoSecondCall)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    fixture.peer.await(2);
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    for (int i = 0; i < 10; ++i) {
        fixture.peer.http.poll(std::chrono::milliseconds(10));
    }
    LONGS_EQUAL(1, fixture.calls);
}

TEST(CallRelay, WithoutAPathNothingIsSent)
{
    Fixture fixture;
    fixture.peer.hasPath = false;
    fixture.origin.relay.request("h2", fixture.request());
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    LONGS_EQUAL(1, fixture.peer.sent.size());
    CHECK(partIn(fixture.peer.sent[0]).isLast);
    CHECK_FALSE(partIn(fixture.peer.sent[0]).wasSent);
    LONGS_EQUAL(0, fixture.calls);
}

TEST(CallRelay, WithoutAPeerNothingIsSent)
{
    Fixture fixture;
    fixture.origin.relay.request("", fixture.request());
    LONGS_EQUAL(1, fixture.origin.delivered.size());
    CHECK_FALSE(fixture.origin.delivered[0].part.wasSent);
    CHECK_FALSE(fixture.origin.delivered[0].isRelayLost);
}

TEST(CallRelay, ACallOfALostPeerMayHaveRun)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    fixture.origin.relay.dropLostPeers([](const std::string &) { return false; });
    LONGS_EQUAL(1, fixture.origin.delivered.size());
    CHECK(fixture.origin.delivered[0].part.wasSent);
    CHECK(fixture.origin.delivered[0].isRelayLost);
    CHECK_FALSE(fixture.origin.delivered[0].part.isBroken);
}

TEST(CallRelay, ALostPartDoesNotLeaveAGapInTheAnswer)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    RelayPart part;
    part.call = firstCall;
    part.number = 1;
    part.body = "rest";
    fixture.origin.receive("h2", part);
    LONGS_EQUAL(1, fixture.origin.delivered.size());
    CHECK(fixture.origin.delivered[0].isRelayLost);
    CHECK(fixture.origin.delivered[0].part.body.empty());
    CHECK(std::holds_alternative<RelayCancel>(fixture.origin.sent.back()));
}

TEST(CallRelay, APartOfAnotherHostIsIgnored)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    RelayPart part;
    part.call = firstCall;
    part.isLast = true;
    fixture.origin.receive("h3", part);
    LONGS_EQUAL(0, fixture.origin.delivered.size());
}

/// Peers may ask for 256 calls at once, each with the largest body.
TEST(CallRelay, ACallWithoutRoomForItsRequestIsNotMade)
{
    Fixture fixture;
    RequestIntake intake(16'777'216);
    Side peer(fixture.clock, nullptr, &intake);
    RelayRequest request = fixture.request();
    request.http.body = std::string(4'000'000, 'x');
    constexpr std::uint32_t calls = 10;
    for (std::uint32_t i = 0; i < calls; ++i) {
        request.call.request.sequence = i;
        fixture.origin.relay.request("h2", request);
        peer.receive("h1", fixture.origin.sent.back());
    }
    constexpr std::size_t madeCalls = 3; // Three quarters of the budget.
    LONGS_EQUAL(calls - madeCalls, peer.sent.size());
    for (const auto &message : peer.sent) {
        CHECK(partIn(message).isLast);
        CHECK_FALSE(partIn(message).wasSent);
    }
    CHECK(intake.take(4'000'000) == nullptr);
    for (int i = 0; i < 500 && !peer.relay.idle(); ++i) {
        peer.http.poll(std::chrono::milliseconds(10));
    }
    CHECK(peer.relay.idle());
    CHECK(intake.take(12'000'000) != nullptr);
}

/// The message takes as much memory as the request, until it is sent.
TEST(CallRelay, ARequestWithoutRoomForItsMessageIsNotSent)
{
    Fixture fixture;
    RequestIntake intake(16'777'216);
    Side origin(fixture.clock, nullptr, &intake);
    RelayRequest request = fixture.request();
    request.http.sharedBody = std::make_shared<const std::string>(8'000'000, 'x');
    origin.relay.request("h2", request);
    LONGS_EQUAL(1, origin.sent.size());
    CHECK(std::get<RelayCall>(origin.sent[0]).body == *request.http.sharedBody);
    request.call.request.sequence = 2;
    origin.relay.request("h2", request);
    LONGS_EQUAL(1, origin.sent.size());
    LONGS_EQUAL(1, origin.delivered.size());
    CHECK_FALSE(origin.delivered[0].part.wasSent);
    CHECK_FALSE(origin.delivered[0].isRelayLost);
    origin.relay.cancel(firstCall);
    CHECK(intake.take(8'000'000) != nullptr);
}

// A planned stop that ignores such calls breaks off requests of another daemon's callers.
TEST(CallRelay, IsNotIdleWhileACallIsMadeForAPeer)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    CHECK(fixture.peer.relay.idle());
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    CHECK_FALSE(fixture.peer.relay.idle());
    fixture.peer.await(2);
    CHECK(fixture.peer.relay.idle());
}

TEST(CallRelay, ACancelledCallIsEndedAtThePeer)
{
    Fixture fixture;
    fixture.origin.relay.request("h2", fixture.request());
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    fixture.origin.relay.cancel(firstCall);
    fixture.peer.receive("h1", fixture.origin.sent.at(1));
    for (int i = 0; i < 10; ++i) {
        fixture.peer.http.poll(std::chrono::milliseconds(10));
    }
    LONGS_EQUAL(0, fixture.peer.sent.size());
}

// An endpoint that sends without end filled the memory of the daemon that made the call: what its
// peer did not take waited there.
TEST(CallRelay, APeerThatTakesNothingGetsNoMoreThanAWindow)
{
    Fixture fixture;
    std::atomic<bool> isOver{false};
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        const std::string block(65'536, 'x');
        while (!isOver && connection.write(block)) {
        }
    });
    RelayRequest request = fixture.request();
    request.http.url = endpoint.url();
    fixture.origin.relay.request("h2", request);
    fixture.peer.receive("h1", fixture.origin.sent.at(0));
    const std::size_t window = std::get<RelayCall>(fixture.origin.sent.at(0)).windowBytes;
    CHECK(window > 0);
    const auto bytesAfter = [&](int polls) {
        for (int i = 0; i < polls; ++i) {
            fixture.peer.http.poll(std::chrono::milliseconds(1));
        }
        std::size_t bytes = 0;
        for (const auto &message : fixture.peer.sent) {
            bytes += partIn(message).body.size();
        }
        return bytes;
    };
    const std::size_t first = bytesAfter(300);
    CHECK(first >= window);
    CHECK(first <= 2 * window);
    // A total that was not sent is not believed.
    fixture.peer.receive("h1", RelayAck{firstCall, first + 1});
    CHECK_EQUAL(first, bytesAfter(100));
    fixture.peer.receive("h1", RelayAck{firstCall, first});
    const std::size_t second = bytesAfter(300);
    CHECK(second >= first + window);
    CHECK(second <= first + 2 * window);
    CHECK_EQUAL(2u, fixture.peer.relay.counters().pauses);
    isOver = true;
    fixture.peer.receive("h1", RelayCancel{firstCall});
}

TEST(CallRelay, APeerOfAnOlderVersionGetsEverything)
{
    Fixture fixture;
    const std::string body(2'000'000, 'x');
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
    });
    RelayRequest request = fixture.request();
    request.http.url = endpoint.url();
    fixture.origin.relay.request("h2", request);
    RelayCall call = std::get<RelayCall>(fixture.origin.sent.at(0));
    call.windowBytes = 0;
    fixture.peer.receive("h1", call);
    for (int i = 0; i < 1000 && !fixture.peer.relay.idle(); ++i) {
        fixture.peer.http.poll(std::chrono::milliseconds(10));
    }
    CHECK(fixture.peer.relay.idle());
    LONGS_EQUAL(200, partIn(fixture.peer.sent.back()).status);
}

TEST(CallRelay, BytesThatWaitForAPeerCountInTheBudget)
{
    BufferBudget budget(1'000'000);
    Fixture fixture;
    Side peer(fixture.clock, &budget);
    const std::string body(100'000, 'x');
    std::atomic<bool> isOver{false};
    const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
        (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
        while (!isOver) {
            std::this_thread::yield();
        }
    });
    RelayRequest request = fixture.request();
    request.http.url = endpoint.url();
    fixture.origin.relay.request("h2", request);
    peer.receive("h1", fixture.origin.sent.at(0));
    for (int i = 0; i < 500 && budget.used() < body.size(); ++i) {
        peer.http.poll(std::chrono::milliseconds(10));
    }
    CHECK_EQUAL(body.size(), budget.used());
    peer.receive("h1", RelayAck{firstCall, body.size()});
    CHECK_EQUAL(0u, budget.used());
    isOver = true;
    peer.receive("h1", RelayCancel{firstCall});
}

// A peer must tell the orderly end of an answer without length or chunks from a reset: the daemon
// that asked takes the one for a complete answer and the other for a broken call.
TEST(CallRelay, ThePeerTellsAnOrderlyCloseFromAReset)
{
    for (const bool isReset : {false, true}) {
        Fixture fixture;
        std::atomic<bool> hasArrived{false};
        const RawEndpoint endpoint([&](const RawConnection &connection, const std::string &) {
            (void)connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: a\n\n");
            while (!hasArrived) {
                std::this_thread::yield();
            }
            if (isReset) {
                connection.resetOnClose();
            }
        });
        RelayRequest request = fixture.request();
        request.http.url = endpoint.url();
        fixture.origin.relay.request("h2", request);
        fixture.peer.receive("h1", fixture.origin.sent.at(0));
        fixture.peer.await(1);
        hasArrived = true;
        fixture.peer.await(2);
        const RelayPart &last = partIn(fixture.peer.sent.back());
        CHECK(last.isLast);
        LONGS_EQUAL(isReset ? 0 : 200, last.status);
        LONGS_EQUAL(200, last.headStatus);
        CHECK(last.wasSent);
        CHECK_EQUAL(isReset, last.isBroken);
    }
}

// What tells the end of an answer must be the same at the daemon that asked for the call.
TEST(CallRelay, AnEndThatIsNotMarkedStaysSo)
{
    for (const auto &[field, framing] :
         {std::pair("Connection: close", AnswerFraming::Connection),
          std::pair("Content-Length: 5", AnswerFraming::Length),
          std::pair("Transfer-Encoding: chunked", AnswerFraming::Chunks)}) {
        Fixture fixture;
        const RawEndpoint endpoint([field = field, framing = framing](
                                       const RawConnection &connection, const std::string &) {
            const bool isChunked = framing == AnswerFraming::Chunks;
            (void)connection.write(std::string("HTTP/1.1 200 OK\r\n") + field + "\r\n\r\n"
                                   + (isChunked ? "5\r\nwhole\r\n0\r\n\r\n" : "whole"));
        });
        RelayRequest request = fixture.request();
        request.http.url = endpoint.url();
        fixture.origin.relay.request("h2", request);
        fixture.peer.receive("h1", fixture.origin.sent.at(0));
        fixture.peer.await(2);
        for (const auto &message : fixture.peer.sent) {
            HttpResult result;
            result.headStatus = partIn(message).headStatus;
            for (const auto &[name, value] : partIn(message).fields) {
                result.headers[lowerCase(name)] = value;
            }
            CHECK_TEXT(result.framing() == framing, field);
        }
    }
}
