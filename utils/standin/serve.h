//===- serve.h - Main loop of the stand-ins ---------------------*- C++ -*-===//

#ifndef HARELINK_UTILS_STANDIN_SERVE_H
#define HARELINK_UTILS_STANDIN_SERVE_H

#include "harelink/Adapters/httpserver.h"

#include <functional>

namespace harelink::standin {

/// Listens, prints "port N", and serves until SIGTERM or SIGINT. Returns the exit code.
///
/// \param attach receives the server before its port is printed.
int serve(const HttpServerOptions &options, const HttpHandler &handler,
          const std::function<void(HttpServer *)> &attach);

} // namespace harelink::standin

#endif // HARELINK_UTILS_STANDIN_SERVE_H
