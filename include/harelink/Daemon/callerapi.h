//===- harelink/Daemon/callerapi.h - The callers' HTTP API ------*- C++ -*-===//
///
/// \file
/// Translates between callers' HTTP and the kernel's events:
///
///   POST /v1/pipelines/NAME/requests
///
/// with the headers Harelink-Account, Harelink-Deadline-Ms, Idempotency-Key,
/// traceparent and, where the daemon asks for it, Authorization: Bearer.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_CALLERAPI_H
#define HARELINK_DAEMON_CALLERAPI_H

#include "harelink/Adapters/httpserver.h"
#include "harelink/Kernel/requestmachine.h"

#include <absl/status/statusor.h>

#include <string>

namespace harelink {

/// A caller's request as it was read.
struct CallerRequest
{
    RequestArrived arrival;       ///< Without its id.
    std::string token;            ///< The bearer token; empty where none came.
    std::uint64_t connection = 0; ///< On which it came.
};

/// Reads a caller's request; an error names the fault.
[[nodiscard]] absl::StatusOr<CallerRequest> readCallerRequest(HttpRequest request);

/// The reply that carries \p answer.
[[nodiscard]] HttpReply makeCallerReply(const AnswerCaller &answer);

/// The first part of a reply in parts, which carries \p piece.
[[nodiscard]] HttpReply makeFirstStreamChunk(const StreamChunk &piece);
/// A further part.
[[nodiscard]] HttpReply makeStreamChunk(const StreamChunk &piece);
/// The last part. Its event carries the outcome: an answer without it is not whole.
[[nodiscard]] HttpReply makeStreamEnd(const AnswerCaller &answer);
/// The whole of a completed answer as events, where nothing came in parts.
[[nodiscard]] HttpReply makeCompleteStream(const AnswerCaller &answer);

/// The reply to a request that never became one: an "application/problem+json".
///
/// \param status the HTTP status.
/// \param title a short name of the fault.
[[nodiscard]] HttpReply makeProblem(int status, std::string_view title, const absl::Status &error);

/// Whether \p token is the one whose SHA-256, in hexadecimal, is \p expected;
/// takes the same time whatever the token.
[[nodiscard]] bool tokenMatches(const std::string &token, const std::string &expected);

} // namespace harelink

#endif // HARELINK_DAEMON_CALLERAPI_H
