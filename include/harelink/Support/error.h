//===- harelink/Support/error.h - Errors with step and peer -----*- C++ -*-===//
///
/// \file
/// absl::Status errors that carry the step at which and the peer with which
/// they arose. All conversions between absl's string view, which is a type of
/// its own in the packaged library, and std::string_view are here.
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
/// \param step what was being done, for instance "stage encode".
/// \param peer with whom: an endpoint, a host, a file; may be empty.
/// \param message what went wrong; lower case, no full stop.
[[nodiscard]] absl::Status makeError(absl::StatusCode code, std::string_view step,
                                     std::string_view peer, std::string_view message);

/// The step at which \p status arose, or an empty text.
[[nodiscard]] std::string errorStep(const absl::Status &status);
/// The peer with which \p status arose, or an empty text.
[[nodiscard]] std::string errorPeer(const absl::Status &status);
/// The message of \p status alone, without step and peer.
[[nodiscard]] std::string errorMessage(const absl::Status &status);
/// "step at peer: message", for logs and the command line.
[[nodiscard]] std::string describeError(const absl::Status &status);

} // namespace harelink

#endif // HARELINK_SUPPORT_ERROR_H
