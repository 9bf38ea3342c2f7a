//===- types.cpp - Identities and outcomes --------------------------------===//

#include "harelink/Kernel/types.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace harelink {

std::string toText(const RequestId &id)
{
    return fmt::format("{:016x}-{:x}", id.incarnation, id.sequence);
}

std::string toText(const CallId &id)
{
    return fmt::format("{}-{:x}-{:x}", toText(id.request), id.stage, id.attempt);
}

std::optional<CallId> parseCallId(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::array<std::uint64_t, 4> parts{};
    const char *at = text.data();
    const char *end = text.data() + text.size();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (i > 0 && (at == end || *at++ != '-')) {
            return std::nullopt;
        }
        const auto [rest, error] = std::from_chars(at, end, parts[i], hexadecimal);
        if (error != std::errc()) {
            return std::nullopt;
        }
        at = rest;
    }
    if (at != end) {
        return std::nullopt;
    }
    return CallId{{parts[0], parts[1]},
                  static_cast<std::uint32_t>(parts[2]),
                  static_cast<std::uint32_t>(parts[3])};
}

std::string_view toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Completed:
        return "completed";
    case Outcome::RanIncomplete:
        return "incomplete";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toText(Reason reason)
{
    static constexpr std::array<std::string_view, reasonCount> names = {
        "none",           "unknown-pipeline",  "unknown-account",
        "key-missing",    "body-too-large",    "too-many-requests",
        "cannot-finish",  "no-endpoint",       "deadline-exceeded",
        "stage-failed",   "claim-unavailable", "key-reused",
        "may-have-run",   "draining",          "not-ready",
        "quarantined",    "caller-gone",       "stream-version-gone",
        "stream-unknown", "caller-too-slow"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace harelink
