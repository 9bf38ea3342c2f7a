//===- harelink/Adapters/httpstatus.h - Status lines ------------*- C++ -*-===//
///
/// \file
/// Decides which status lines of endpoints, peers and the platform begin an answer.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_HTTPSTATUS_H
#define HARELINK_ADAPTERS_HTTPSTATUS_H

#include <optional>
#include <string_view>

namespace harelink {

/// Returns the status in \p line, the status line of an HTTP/1 answer with or without its line end;
/// std::nullopt if it has none that HTTP defines: three digits, from 100 to 599 (RFC 9110, 15).
/// 101 is none either, as no request asks for another protocol.
[[nodiscard]] std::optional<int> parseStatusLine(std::string_view line);

/// Returns whether \p status may be that of a final answer.
[[nodiscard]] bool isFinalStatus(int status);

} // namespace harelink

#endif // HARELINK_ADAPTERS_HTTPSTATUS_H
