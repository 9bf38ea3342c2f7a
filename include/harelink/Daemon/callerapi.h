//===- harelink/Daemon/callerapi.h - HTTP API for callers -------*- C++ -*-===//
///
/// \file
/// Translates between the HTTP requests of callers and the events of the kernel:
///
///   POST /v1/pipelines/NAME/requests
///
/// with the headers Harelink-Account, Harelink-Deadline-Ms, Idempotency-Key,
/// traceparent and, if the daemon requires it, Authorization: Bearer.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_CALLERAPI_H
#define HARELINK_DAEMON_CALLERAPI_H

#include "harelink/Adapters/httpserver.h"
#include "harelink/Kernel/requestmachine.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <vector>

namespace harelink {

/// A parsed request of a caller.
struct CallerRequest
{
    RequestArrived arrival;       ///< The request without its id, which the daemon assigns.
    std::string token;            ///< The bearer token; empty if the request has none.
    std::uint64_t connection = 0; ///< The connection that received the request.
    /// Count the request in the budget for requests.
    std::vector<std::shared_ptr<const IntakeTicket>> memory;
};

/// Parses a request of a caller. The error names the invalid header or part.
[[nodiscard]] absl::StatusOr<CallerRequest> readCallerRequest(HttpRequest request);

/// Returns the complete reply for \p answer: the result, or a problem document.
[[nodiscard]] HttpReply makeCallerReply(const AnswerCaller &answer);

/// Returns the headers of a streamed reply together with its first event, \p chunk.
[[nodiscard]] HttpReply makeFirstStreamChunk(const StreamChunk &chunk);
/// Returns the event for a further \p chunk of a streamed reply.
[[nodiscard]] HttpReply makeStreamChunk(const StreamChunk &chunk);
/// Returns the last event of a streamed reply, which carries the outcome. A stream that ends
/// without it is truncated.
[[nodiscard]] HttpReply makeStreamEnd(const AnswerCaller &answer);
/// Returns a completed answer as one event stream, if no chunk was streamed before.
[[nodiscard]] HttpReply makeCompleteStream(const AnswerCaller &answer);

/// Returns an "application/problem+json" reply for a request that was not accepted.
///
/// \param status the HTTP status.
/// \param title a short name of the error.
[[nodiscard]] HttpReply makeProblem(int status, std::string_view title, const absl::Status &error);

/// Returns whether the SHA-256 of \p token equals \p expected, which is in hexadecimal. Compares
/// in constant time.
[[nodiscard]] bool tokenMatches(const std::string &token, const std::string &expected);

} // namespace harelink

#endif // HARELINK_DAEMON_CALLERAPI_H
