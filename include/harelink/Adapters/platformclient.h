//===- harelink/Adapters/platformclient.h - Object API over HTTP *- C++ -*-===//
///
/// \file
/// Carries PlatformCalls over HTTP and JSON:
///
///   GET    /v1/objects/KIND/NAME              -> {"version": V, "value": TEXT}
///   PUT    /v1/objects/KIND/NAME?ifVersion=V  -> {"version": V}; 409 on another version
///   DELETE /v1/objects/KIND/NAME?ifVersion=V  -> {"version": V}; 409 on another version
///   GET    /v1/objects?kind=A,B               -> {"version": V, "objects": [...]}
///   GET    /v1/watch?kind=A,B&since=V&waitMs=M -> the same, of what changed; 410 if forgotten
///   GET    /v1/hosts -> {"hosts": [{"host", "dataCentre", "peers", "state"}]}
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_PLATFORMCLIENT_H
#define HARELINK_ADAPTERS_PLATFORMCLIENT_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Kernel/platform.h"

#include <functional>
#include <string>

namespace harelink {

/// What the status of \p result, or its absence, says of a call to an object store.
[[nodiscard]] PlatformOutcome storeCallOutcome(const HttpResult &result);
/// The HTTP call that carries \p call.
///
/// \param address IP number and port of the platform.
/// \param timeout after which a call counts as silent; a watch gets its wait besides.
[[nodiscard]] HttpCall encodePlatformCall(const PlatformCall &call, const std::string &address,
                                          Duration timeout);
/// What \p result says of the call \p id.
[[nodiscard]] PlatformResult decodePlatformResult(std::uint64_t id, const HttpResult &result);

} // namespace harelink

#endif // HARELINK_ADAPTERS_PLATFORMCLIENT_H
