//===- serve.cpp - Main loop of the stand-ins -----------------------------===//

#include "serve.h"

#include "harelink/Support/error.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace harelink::standin {

int serve(const HttpServerOptions &options, const HttpHandler &handler,
          const std::function<void(HttpServer *)> &attach)
{
    // Block the signals before the server starts its threads, which inherit the mask.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto server = HttpServer::start(options, handler);
    if (!server.ok()) {
        fmt::print(stderr, "standin: {}\n", describeError(server.status()));
        return 1;
    }
    attach(server->get());
    fmt::print("port {}\n", (*server)->port());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&signals, &signal);
    (*server)->stop();
    return 0;
}

} // namespace harelink::standin
