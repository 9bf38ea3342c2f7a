//===- httpservercuttest.cpp - Tests of aborted replies -------------------===//

#include "harelink/Adapters/httpserver.h"

#include "httpcaller.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace harelink;

namespace {

constexpr int disconnectingThreads = 4;
constexpr int otherThreads = 2;
constexpr int callsPerThread = 60;

HttpReply makePart(const std::string &body, bool more)
{
    HttpReply reply;
    reply.body = body;
    reply.more = more;
    return reply;
}

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// A server that sends chunked replies from a separate thread: those to "/whole" are completed,
/// all others are aborted after their first part.
class AbortingServer
{
public:
    AbortingServer()
        : m_replier([this] { reply(); })
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        options.threads = 2;
        m_server = *HttpServer::start(options, [this](const HttpRequest &request, Responder to) {
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_pending.emplace_back(request.path == "/whole", std::move(to));
            m_changed.notify_one();
        });
    }
    ~AbortingServer()
    {
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_isStopping = true;
            m_changed.notify_one();
        }
        m_replier.join();
        m_pending.clear();
        m_server.reset();
    }
    AbortingServer(const AbortingServer &) = delete;
    AbortingServer &operator=(const AbortingServer &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

private:
    void reply()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_isStopping) {
            m_changed.wait(lock, [this] { return m_isStopping || !m_pending.empty(); });
            auto pending = std::exchange(m_pending, {});
            lock.unlock();
            for (const auto &[isComplete, respond] : pending) {
                respond(makePart("first", true));
                HttpReply last = makePart("last", false);
                last.abort = !isComplete;
                respond(last);
            }
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::pair<bool, Responder>> m_pending;
    bool m_isStopping = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_replier;
};

void runThreads(int count, const std::function<void()> &work)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace

TEST_GROUP(HttpServerAbort){};

/// Closes connections from both sides at the same time, many times; no other connection may be
/// closed by it.
TEST(HttpServerAbort, AbortsDuringDisconnectsCloseNoOtherConnection)
{
    const AbortingServer server;
    std::atomic<int> completeReplies{0};
    std::atomic<int> abortedButComplete{0};
    std::thread otherCallers([&] {
        runThreads(otherThreads, [&] {
            for (int i = 0; i < callsPerThread; ++i) {
                const HttpCaller caller(server.port());
                caller.write(get("/whole"));
                const std::string received = caller.readUntil("\r\n0\r\n\r\n");
                completeReplies += received.find("last\r\n0\r\n\r\n") != std::string::npos ? 1 : 0;
            }
        });
    });
    runThreads(disconnectingThreads, [&] {
        for (int i = 0; i < callsPerThread; ++i) {
            HttpCaller caller(server.port());
            caller.write(get("/cut"));
            const std::string received = caller.readUntil("first");
            abortedButComplete += received.find("\r\n0\r\n") != std::string::npos ? 1 : 0;
            caller.disconnect();
        }
    });
    otherCallers.join();
    LONGS_EQUAL(otherThreads * callsPerThread, completeReplies.load());
    LONGS_EQUAL(0, abortedButComplete.load());
}

/// Parts queued before the abort must reach the caller.
TEST(HttpServerAbort, BytesSentBeforeTheAbortArrive)
{
    const AbortingServer server;
    const HttpCaller caller(server.port());
    caller.write(get("/cut"));
    const std::string received = caller.readAll();
    CHECK(received.find("first") != std::string::npos);
    CHECK(received.find("last") == std::string::npos);
    CHECK(received.find("\r\n0\r\n") == std::string::npos);
}

/// Aborting the second reply on a connection must not truncate the first one.
TEST(HttpServerAbort, PreviousReplyOnTheSameConnectionIsComplete)
{
    const AbortingServer server;
    const HttpCaller caller(server.port());
    caller.write(get("/whole") + get("/cut"));
    const std::string received = caller.readAll();
    CHECK(received.find("last\r\n0\r\n\r\n") != std::string::npos);
    CHECK(received.find("\r\n0\r\n") == received.rfind("\r\n0\r\n"));
}
