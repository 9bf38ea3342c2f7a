//===- harelink/Adapters/platformclient.h - Object API over HTTP *- C++ -*-===//
///
/// \file
/// Encodes PlatformCalls as HTTP and JSON:
///
///   GET    /v1/objects/KIND/NAME              -> {"version": V, "value": TEXT}
///   PUT    /v1/objects/KIND/NAME?ifVersion=V  -> {"version": V}; 409 on another version
///   DELETE /v1/objects/KIND/NAME?ifVersion=V  -> {"version": V}; 409 on another version
///   GET    /v1/objects?kind=A,B               -> {"version": V, "objects": [...]}
///   GET    /v1/watch?kind=A,B&since=V&waitMs=M -> the same with changed objects; 410 if too old
///   GET    /v1/hosts -> {"hosts": [{"host", "dataCentre", "peers", "state"}]}
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_PLATFORMCLIENT_H
#define HARELINK_ADAPTERS_PLATFORMCLIENT_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Kernel/platform.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace harelink {

/// Returns the outcome of an object store call from the status of \p result, or from its
/// absence.
[[nodiscard]] PlatformOutcome storeCallOutcome(const HttpResult &result);
/// Returns the era of the object store that \p result states in the header "Store-Era";
/// std::nullopt if there is none, or if it is not a number.
[[nodiscard]] std::optional<std::uint64_t> storeEraIn(const HttpResult &result);
/// Returns the HTTP call for \p call.
///
/// \param address IP address and port of the platform.
/// \param timeout after which a call counts as unanswered; the wait of a watch is added.
[[nodiscard]] HttpCall encodePlatformCall(const PlatformCall &call, const std::string &address,
                                          Duration timeout);
/// Translates \p result, the HTTP result of the call \p id.
[[nodiscard]] PlatformResult decodePlatformResult(std::uint64_t id, const HttpResult &result);

} // namespace harelink

#endif // HARELINK_ADAPTERS_PLATFORMCLIENT_H
