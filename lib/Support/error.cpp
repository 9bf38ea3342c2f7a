//===- error.cpp - Errors with step and peer ------------------------------===//

#include "harelink/Support/error.h"

#include <absl/strings/cord.h>
#include <fmt/format.h>

namespace harelink {
namespace {

constexpr const char *stepUrl = "harelink/step";
constexpr const char *peerUrl = "harelink/peer";

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string payload(const absl::Status &status, const char *url)
{
    const auto found = status.GetPayload(url);
    if (!found) {
        return {};
    }
    return std::string(*found);
}

} // namespace

absl::Status makeError(absl::StatusCode code, std::string_view step, std::string_view peer,
                       std::string_view message)
{
    absl::Status status(code, toAbsl(message));
    status.SetPayload(stepUrl, absl::Cord(toAbsl(step)));
    status.SetPayload(peerUrl, absl::Cord(toAbsl(peer)));
    return status;
}

std::string errorStep(const absl::Status &status)
{
    return payload(status, stepUrl);
}

std::string errorPeer(const absl::Status &status)
{
    return payload(status, peerUrl);
}

std::string errorMessage(const absl::Status &status)
{
    return std::string(status.message());
}

std::string describeError(const absl::Status &status)
{
    const std::string step = errorStep(status);
    const std::string peer = errorPeer(status);
    if (step.empty()) {
        return errorMessage(status);
    }
    if (peer.empty()) {
        return fmt::format("{}: {}", step, errorMessage(status));
    }
    return fmt::format("{} at {}: {}", step, peer, errorMessage(status));
}

} // namespace harelink
