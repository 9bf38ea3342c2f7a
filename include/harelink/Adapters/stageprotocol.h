//===- harelink/Adapters/stageprotocol.h - Talking to endpoints -*- C++ -*-===//
///
/// \file
/// How a stage is sent to an endpoint and its answer read, by kind of endpoint.
/// Each kind is a plug-in, chosen by a pool's "protocol".
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_STAGEPROTOCOL_H
#define HARELINK_ADAPTERS_STAGEPROTOCOL_H

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/httpclient.h"
#include "harelink/Adapters/noticereader.h"
#include "harelink/Kernel/requestmachine.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace harelink {

/// The header in which a call's identity goes out and comes back.
inline constexpr const char *callIdHeader = "X-Request-Id";
/// Requests per second that an endpoint accepts from all daemons; lower case.
inline constexpr const char *rateLimitHeader = "harelink-rate-limit";
/// "1" in the answers of an endpoint that takes no new work; lower case.
inline constexpr const char *leavingHeader = "harelink-leaving";
/// How long the endpoint stays cold, in milliseconds; in answers to status checks.
inline constexpr const char *coldHeader = "harelink-cold-ms";

/// The fields in which endpoints of the product's own dialect speak of themselves.
[[nodiscard]] const NoticeFields &ownNoticeFields();

/// One event of an answer that comes in parts.
struct StreamEvent
{
    std::string text; ///< Of one token; empty where the event brings none.
    bool isLast = false;
};

/// Translates for one kind of endpoint.
class StageProtocol
{
public:
    virtual ~StageProtocol() = default;
    /// The path and body of the call; the rest is the same for all kinds.
    virtual void encode(const SendStage &stage, HttpCall &call) const = 0;
    /// The stage's answer in the body of a reply with status 200.
    virtual absl::StatusOr<std::string> decode(const std::string &body) const = 0;
    /// Whether answers can come in parts, as server-sent events. encode() then asks
    /// for that where the stage wants it.
    [[nodiscard]] virtual bool streams() const { return false; }
    /// Reads the data of one event.
    [[nodiscard]] virtual absl::StatusOr<StreamEvent> decodeEvent(const std::string &data) const;
    /// The answer that decode() would have given for all of \p text.
    [[nodiscard]] virtual std::string wholeAnswer(const std::string &text) const { return text; }
};

/// That \p stage failed, with what is known of whether its endpoint saw it.
[[nodiscard]] StageFailed stageFailure(const SendStage &stage, SendEvidence evidence,
                                       std::string_view message);
/// The same where \p result brought no whole answer.
[[nodiscard]] StageFailed callFailure(const SendStage &stage, const HttpResult &result);
/// That the answer to \p stage ended before its last event.
[[nodiscard]] StageFailed truncatedAnswer(const SendStage &stage, std::string_view message);
/// The HTTP call that carries \p stage.
[[nodiscard]] HttpCall encodeStage(const StageProtocol &protocol, const SendStage &stage);

/// What \p result says of \p stage: a StageAnswered or a StageFailed.
[[nodiscard]] std::variant<StageAnswered, StageFailed>
decodeStage(const StageProtocol &protocol, const SendStage &stage, const HttpResult &result);

/// Reads the answer to one call that streams.
class StageStream
{
public:
    /// \param protocol outlives the stream.
    StageStream(const StageProtocol &protocol, const SendStage &stage);
    /// Takes in a part of the body; gives what it brought, in order.
    std::vector<StageChunk> handleBody(const HttpResult &head, const std::string &body);
    /// What the end of the call says.
    [[nodiscard]] std::variant<StageAnswered, StageFailed> finish(const HttpResult &result) const;

private:
    const StageProtocol &m_protocol;
    SendStage m_stage;
    EventReader m_reader;
    std::string m_refusal; ///< The body of a reply that is no stream.
    std::string m_fault;   ///< Why the stream cannot be read on.
    std::string m_text;
    std::uint64_t m_tokens;
    bool m_ended = false;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_STAGEPROTOCOL_H
