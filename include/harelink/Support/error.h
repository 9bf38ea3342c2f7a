//===- harelink/Support/error.h - Errors with step and peer -----*- C++ -*-===//
///
/// \file
/// absl::Status errors annotated with the step and the peer at which they
/// occurred. This file also holds all conversions between std::string_view and
/// absl::string_view, which is a separate type in the packaged library.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_ERROR_H
#define HARELINK_SUPPORT_ERROR_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace harelink {

/// Builds an error.
///
/// \param code the canonical code.
/// \param step the operation that failed, for instance "stage encode".
/// \param peer the other side: an endpoint, a host or a file; may be empty.
/// \param message the error message; lower case, no full stop.
[[nodiscard]] absl::Status makeError(absl::StatusCode code, std::string_view step,
                                     std::string_view peer, std::string_view message);

/// Returns the step at which \p status occurred, or an empty string.
[[nodiscard]] std::string errorStep(const absl::Status &status);
/// Returns the peer with which \p status occurred, or an empty string.
[[nodiscard]] std::string errorPeer(const absl::Status &status);
/// Returns the message of \p status without step and peer.
[[nodiscard]] std::string errorMessage(const absl::Status &status);
/// Formats \p status as "step at peer: message" for logs and the command line.
[[nodiscard]] std::string describeError(const absl::Status &status);

} // namespace harelink

#endif // HARELINK_SUPPORT_ERROR_H
