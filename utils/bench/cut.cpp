//===- cut.cpp - What cutting a reply costs -------------------------------===//
///
/// \file
/// Cuts replies while other connections are open, and prints how long the thread that
/// cuts is held and how long its caller waits for the end, for each number of them.
///
/// Before, with a register of all sockets that was asked one after the other: 7.6 us beside
/// 10 connections, 1,584 us beside 4,000. Handed to where the connection's other operations
/// run: 2.9 us and 2.3 us.
///
//===----------------------------------------------------------------------===//

#include "harelink/Adapters/httpserver.h"

#include "../../unittests/Adapters/httpcaller.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <vector>

namespace {

using namespace harelink;
using Micros = std::chrono::duration<double, std::micro>;
using SteadyClock = std::chrono::steady_clock;

constexpr int cuts = 200;
constexpr int fewConnections = 10;
constexpr int manyConnections = 4000;

double middle(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Cuts one reply after another beside \p connections others.
void measure(int connections)
{
    std::promise<Responder> arrived;
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    const auto server = *HttpServer::start(
        options, [&arrived](const HttpRequest &, const Responder &to) { arrived.set_value(to); });
    std::vector<std::unique_ptr<HttpCaller>> others;
    others.reserve(static_cast<std::size_t>(connections));
    for (int i = 0; i < connections; ++i) {
        others.push_back(std::make_unique<HttpCaller>(server->port()));
    }
    std::vector<double> held;
    std::vector<double> ended;
    for (int i = 0; i < cuts; ++i) {
        arrived = {};
        const HttpCaller caller(server->port());
        caller.say("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        const Responder respond = arrived.get_future().get();
        HttpReply part;
        part.body = "first";
        part.more = true;
        respond(part);
        (void)caller.hearUntil("first");
        part.more = false;
        part.abort = true;
        const SteadyClock::time_point begin = SteadyClock::now();
        respond(part);
        held.push_back(Micros(SteadyClock::now() - begin).count());
        (void)caller.hearAll();
        ended.push_back(Micros(SteadyClock::now() - begin).count());
    }
    fmt::print("{:5} other connections: the thread is held for {:7.1f} us, "
               "the caller sees the end after {:7.1f} us (medians of {})\n",
               connections, middle(std::move(held)), middle(std::move(ended)), cuts);
}

} // namespace

int main()
{
    measure(fewConnections);
    measure(manyConnections);
    return 0;
}
