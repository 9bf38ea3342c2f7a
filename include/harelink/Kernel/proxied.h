//===- harelink/Kernel/proxied.h - Requests passed on unchanged -*- C++ -*-===//
///
/// \file
/// A request that is carried to an endpoint as the caller sent it, and the
/// answer that is carried back. The kernel decides by the hints beside the
/// message and never reads the message itself.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PROXIED_H
#define HARELINK_KERNEL_PROXIED_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Header fields in the order of the message; names as sent.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A part of a prompt that other prompts may begin with too.
struct PromptPart
{
    std::string id;
    std::uint64_t tokens = 0;
};

/// A caller's request that is passed on unchanged.
struct ProxiedRequest
{
    std::string callerId; ///< The caller's own name for this attempt; answers echo it.
    std::string method;
    std::string target;   ///< Path and query, as sent.
    std::string host;     ///< As in the host field, without a port.
    std::string path;     ///< Without the query.
    HeaderFields headers; ///< End to end, without those that the daemon sets itself.
    std::string body;
    std::string apiKey; ///< Empty where none came.

    std::string model;
    std::vector<PromptPart> prompt; ///< In order; the last part is this request's own.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxAnswerTokens = 0;

    std::vector<std::uint32_t> pieceCounts; ///< By piece stage of the route; 0 leaves it out.
    std::string pieceKey;                   ///< What pieces without inputs are made from.

    /// The event that the caller saw last of a stream that broke.
    std::optional<std::uint64_t> lastEventSeen;

    /// The tokens of all parts of the prompt but its own.
    [[nodiscard]] std::uint64_t sharedTokens() const
    {
        std::uint64_t tokens = 0;
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
            tokens += prompt[i].tokens;
        }
        return tokens;
    }
};

/// An endpoint's answer that is passed back unchanged.
struct ProxiedAnswer
{
    int status = 0;
    HeaderFields headers; ///< End to end.
    std::string body;     ///< Empty for the head of a stream.
};

} // namespace harelink

#endif // HARELINK_KERNEL_PROXIED_H
