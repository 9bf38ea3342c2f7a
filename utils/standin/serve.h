//===- serve.h - What all stand-ins do at start -----------------*- C++ -*-===//

#ifndef HARELINK_UTILS_STANDIN_SERVE_H
#define HARELINK_UTILS_STANDIN_SERVE_H

#include "harelink/Adapters/httpserver.h"

#include <functional>

namespace harelink::standin {

/// Listens, prints "port N", and serves until SIGTERM or SIGINT; gives the exit
/// code.
///
/// \param attach is told the server before the first request can matter.
int serve(const HttpServerOptions &options, const HttpHandler &handler,
          const std::function<void(HttpServer *)> &attach);

} // namespace harelink::standin

#endif // HARELINK_UTILS_STANDIN_SERVE_H
