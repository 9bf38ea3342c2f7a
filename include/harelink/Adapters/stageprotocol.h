//===- harelink/Adapters/stageprotocol.h - Talking to endpoints -*- C++ -*-===//
///
/// \file
/// How a stage is sent to an endpoint and its answer read, by kind of endpoint.
/// Each kind is a plug-in, chosen by a pool's "protocol".
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_STAGEPROTOCOL_H
#define HARELINK_ADAPTERS_STAGEPROTOCOL_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Kernel/requestmachine.h"

#include <memory>
#include <string>

namespace harelink {

/// The header in which a call's identity goes out and comes back.
inline constexpr const char *callIdHeader = "X-Request-Id";

/// Translates for one kind of endpoint.
class StageProtocol
{
public:
    virtual ~StageProtocol() = default;
    /// The path and body of the call; the rest is the same for all kinds.
    virtual void encode(const SendStage &stage, HttpCall &call) const = 0;
    /// The stage's answer in the body of a reply with status 200.
    virtual absl::StatusOr<std::string> decode(const std::string &body) const = 0;
};

/// The HTTP call that carries \p stage.
[[nodiscard]] HttpCall encodeStage(const StageProtocol &protocol, const SendStage &stage);

/// What \p result says of \p stage: a StageAnswered or a StageFailed.
[[nodiscard]] std::variant<StageAnswered, StageFailed>
decodeStage(const StageProtocol &protocol, const SendStage &stage, const HttpResult &result);

} // namespace harelink

#endif // HARELINK_ADAPTERS_STAGEPROTOCOL_H
