//===- harelink/Adapters/stageprotocol.h - Endpoint protocols ---*- C++ -*-===//
///
/// \file
/// Encodes the call of a stage to an endpoint and decodes its answer, by kind of
/// endpoint. Each kind is a plug-in, selected by a pool's "protocol".
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_STAGEPROTOCOL_H
#define HARELINK_ADAPTERS_STAGEPROTOCOL_H

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/httpclient.h"
#include "harelink/Adapters/noticereader.h"
#include "harelink/Kernel/requestmachine.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace harelink {

/// The header that carries a call's id in the request and, echoed, in the answer.
inline constexpr const char *callIdHeader = "X-Request-Id";
/// Requests per second that an endpoint accepts from all daemons; lower case.
inline constexpr const char *rateLimitHeader = "harelink-rate-limit";
/// "1" in the answers of an endpoint that accepts no new work; lower case.
inline constexpr const char *leavingHeader = "harelink-leaving";
/// Rejections per second that an endpoint bears, from all daemons; lower case.
inline constexpr const char *brittleHeader = "harelink-brittle";
/// How long the endpoint stays cold, in milliseconds; in answers to status checks.
inline constexpr const char *coldHeader = "harelink-cold-ms";

/// The endpoint's load as "RUNNING,WAITING,SLOTS[,PERCENT]"; see NoticeFields.
inline constexpr const char *loadHeader = "harelink-load";
/// The endpoint's running requests; read only without a loadHeader.
inline constexpr const char *activeRequestsHeader = "x-active-requests";

/// Returns what \p result reports of its endpoint in harelink's own dialect.
[[nodiscard]] EndpointNotice readOwnNotice(const HttpResult &result);

/// One event of a streamed answer.
struct StreamEvent
{
    std::string text; ///< Text of one token; empty if the event has none.
    bool isLast = false;
};

/// Protocol of one kind of endpoint.
class StageProtocol
{
public:
    virtual ~StageProtocol() = default;
    /// Sets the path and body of \p call; the rest is common to all kinds.
    virtual void encode(const SendStage &stage, HttpCall &call) const = 0;
    /// Returns the stage's answer from the body of a reply with status 200.
    virtual absl::StatusOr<std::string> decode(const std::string &body) const = 0;
    /// Returns whether answers can be streamed as server-sent events. encode() then
    /// requests a stream if the stage does.
    [[nodiscard]] virtual bool streams() const { return false; }
    /// Decodes the data of one event.
    [[nodiscard]] virtual absl::StatusOr<StreamEvent> decodeEvent(const std::string &data) const;
    /// Returns the answer that decode() would return for the complete \p text.
    [[nodiscard]] virtual std::string wholeAnswer(const std::string &text) const { return text; }
};

/// Returns the failure of \p stage, with the evidence of whether its endpoint received it.
[[nodiscard]] StageFailed stageFailure(const SendStage &stage, SendEvidence evidence,
                                       std::string_view message);
/// Returns the failure of \p stage if \p result has no complete answer.
[[nodiscard]] StageFailed callFailure(const SendStage &stage, const HttpResult &result);
/// Returns the failure of \p stage if its answer ended before the last event.
[[nodiscard]] StageFailed truncatedAnswer(const SendStage &stage, std::string_view message);
/// Returns the HTTP call for \p stage.
[[nodiscard]] HttpCall encodeStage(const StageProtocol &protocol, const SendStage &stage);

/// Translates \p result, the HTTP result of \p stage.
[[nodiscard]] std::variant<StageAnswered, StageFailed>
decodeStage(const StageProtocol &protocol, const SendStage &stage, const HttpResult &result);

/// Decodes the streamed answer to one call.
class StageStream
{
public:
    /// \param protocol must outlive the stream.
    /// \param budget must outlive the stream; null for none.
    StageStream(const StageProtocol &protocol, const SendStage &stage,
                const AnswerBounds &bounds = {}, BufferBudget *budget = nullptr);
    /// Handles a part of the body. Returns the chunks that it completed, in order.
    std::vector<StageChunk> handleBody(const HttpResult &head, const std::string &body);
    /// Returns the outcome of the call from its final \p result.
    [[nodiscard]] std::variant<StageAnswered, StageFailed> finish(const HttpResult &result) const;
    /// Returns the part of the answer that exceeded its bound, if one did; the call must then be
    /// ended. The text of all events is bounded as a body is.
    [[nodiscard]] std::optional<AnswerPart> exceeded() const;

private:
    [[nodiscard]] std::size_t heldBytes() const;

    const StageProtocol &m_protocol;
    SendStage m_stage;
    AnswerBounds m_bounds;
    BufferedBytes m_buffered;
    EventReader m_reader;
    std::string m_plainBody;   ///< The body of a reply that is not a stream.
    std::string m_decodeError; ///< Why the rest of the stream cannot be decoded.
    std::string m_text;
    std::uint64_t m_tokens;
    bool m_ended = false;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_STAGEPROTOCOL_H
