//===- httpservercuttest.cpp - Tests of replies that are cut --------------===//

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

constexpr int leaverThreads = 4;
constexpr int bystanderThreads = 2;
constexpr int callsEach = 60;

HttpReply part(const std::string &body, bool more)
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

/// A server whose replies come in parts from a thread of their own: those to "/whole" end
/// as they should, all others are cut after their first part.
class CuttingServer
{
public:
    CuttingServer()
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
    ~CuttingServer()
    {
        {
            const std::lock_guard<std::mutex> guard(m_mutex);
            m_ends = true;
            m_changed.notify_one();
        }
        m_replier.join();
        m_pending.clear();
        m_server.reset();
    }
    CuttingServer(const CuttingServer &) = delete;
    CuttingServer &operator=(const CuttingServer &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

private:
    void reply()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_ends) {
            m_changed.wait(lock, [this] { return m_ends || !m_pending.empty(); });
            auto pending = std::exchange(m_pending, {});
            lock.unlock();
            for (const auto &[isWhole, respond] : pending) {
                respond(part("first", true));
                HttpReply last = part("last", false);
                last.abort = !isWhole;
                respond(last);
            }
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::pair<bool, Responder>> m_pending;
    bool m_ends = false;
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

TEST_GROUP(HttpServerCut){};

/// The connection ends from both sides at once, many times; nobody else's may end by it.
TEST(HttpServerCut, CutsThatMeetLeavingCallersEndNoOtherConnection)
{
    const CuttingServer server;
    std::atomic<int> whole{0};
    std::atomic<int> lookedWhole{0};
    std::thread bystanders([&] {
        runThreads(bystanderThreads, [&] {
            for (int i = 0; i < callsEach; ++i) {
                const HttpCaller caller(server.port());
                caller.say(get("/whole"));
                const std::string heard = caller.hearUntil("\r\n0\r\n\r\n");
                whole += heard.find("last\r\n0\r\n\r\n") != std::string::npos ? 1 : 0;
            }
        });
    });
    runThreads(leaverThreads, [&] {
        for (int i = 0; i < callsEach; ++i) {
            HttpCaller caller(server.port());
            caller.say(get("/cut"));
            const std::string heard = caller.hearUntil("first");
            lookedWhole += heard.find("\r\n0\r\n") != std::string::npos ? 1 : 0;
            caller.leave();
        }
    });
    bystanders.join();
    LONGS_EQUAL(bystanderThreads * callsEach, whole.load());
    LONGS_EQUAL(0, lookedWhole.load());
}

/// What was handed over before the cut belongs to its caller.
TEST(HttpServerCut, WhatWasSentBeforeTheCutArrives)
{
    const CuttingServer server;
    const HttpCaller caller(server.port());
    caller.say(get("/cut"));
    const std::string heard = caller.hearAll();
    CHECK(heard.find("first") != std::string::npos);
    CHECK(heard.find("last") == std::string::npos);
    CHECK(heard.find("\r\n0\r\n") == std::string::npos);
}

/// A second request on the connection is not the one that is cut: its reply is owed whole.
TEST(HttpServerCut, AReplyBeforeItOnTheSameConnectionStaysWhole)
{
    const CuttingServer server;
    const HttpCaller caller(server.port());
    caller.say(get("/whole") + get("/cut"));
    const std::string heard = caller.hearAll();
    CHECK(heard.find("last\r\n0\r\n\r\n") != std::string::npos);
    CHECK(heard.find("\r\n0\r\n") == heard.rfind("\r\n0\r\n"));
}
