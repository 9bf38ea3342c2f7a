//===- harelink/Kernel/proxied.h - Proxied requests and answers -*- C++ -*-===//
///
/// \file
/// A request that is forwarded to an endpoint unchanged, and its answer. The kernel
/// uses the hints stored with the message and never parses the message itself.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PROXIED_H
#define HARELINK_KERNEL_PROXIED_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace harelink {

/// Header fields in message order, with names as sent.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A segment of a prompt; other prompts may share the same leading segments.
struct PromptSegment
{
    std::string id;
    std::uint64_t tokens = 0;
};

/// A caller's request that is forwarded unchanged.
struct ProxiedRequest
{
    std::string callerId; ///< The caller's ID of this attempt; echoed in answers.
    std::string method;
    std::string target;   ///< Path and query as sent.
    std::string host;     ///< The Host field without a port.
    std::string path;     ///< The target without the query.
    HeaderFields headers; ///< End-to-end fields, without those that the daemon sets itself.
    std::string body;
    std::string apiKey; ///< Empty if absent.

    std::string model;
    /// In order; only the last segment is specific to this request.
    std::vector<PromptSegment> prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxAnswerTokens = 0;

    std::vector<std::uint32_t> pieceCounts; ///< By piece stage of the route; 0 skips the stage.
    std::string pieceKey;                   ///< Key from which pieces without inputs are computed.

    /// ID of the last event that the caller received before its stream broke.
    std::optional<std::uint64_t> lastEventSeen;
    /// The caller states a last event, but not as a single number.
    bool isLastEventUnreadable = false;
    /// The caller's ID of its attempt that brought the first event of that stream; empty if the
    /// caller names none.
    std::string resumedAttempt;

    /// Returns the number of tokens of all prompt segments except the last.
    [[nodiscard]] std::uint64_t sharedTokens() const
    {
        std::uint64_t tokens = 0;
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
            tokens += prompt[i].tokens;
        }
        return tokens;
    }
};

/// What tells the end of an answer.
enum class AnswerFraming {
    Connection, ///< The end of its connection only, which may also come early.
    Length,
    Chunks,
};

[[nodiscard]] std::string_view toText(AnswerFraming framing);

/// An endpoint's answer that is forwarded unchanged.
struct ProxiedAnswer
{
    int status = 0;
    HeaderFields headers; ///< End-to-end fields.
    std::string body;     ///< Empty for the head of a stream.
    AnswerFraming framing = AnswerFraming::Connection;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PROXIED_H
