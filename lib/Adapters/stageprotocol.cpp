//===- stageprotocol.cpp - Endpoint protocols -----------------------------===//

#include "harelink/Adapters/stageprotocol.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace harelink {

namespace {

constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/// Returns the processing time from the standard header Server-Timing ("run;dur=12.5"); zero if
/// absent.
Duration readServerTiming(const std::string &header)
{
    constexpr std::string_view prefix = "dur=";
    const std::size_t at = header.find(prefix);
    double millis = 0;
    if (at == std::string::npos) {
        return {};
    }
    const char *begin = header.data() + at + prefix.size();
    if (std::from_chars(begin, header.data() + header.size(), millis).ec != std::errc()) {
        return {};
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
}

/// Returns the number of active requests that the endpoint reports; std::nullopt if absent.
std::optional<std::uint32_t> readActive(const std::string &header)
{
    std::uint32_t active = 0;
    const auto [rest, error] =
        std::from_chars(header.data(), header.data() + header.size(), active);
    const bool isCount = error == std::errc() && active <= reportedload::maxCount;
    return isCount ? std::optional(active) : std::nullopt;
}

CallId callIdOf(const HttpResult &result)
{
    return parseCallId(result.header("x-request-id")).value_or(CallId{});
}

StageAnswered answered(const SendStage &stage, const HttpResult &result, std::string body)
{
    StageAnswered event;
    event.call = stage.call;
    event.echoed = callIdOf(result);
    event.body = std::move(body);
    event.busy = readServerTiming(result.header("server-timing"));
    event.notice = readOwnNotice(result);
    return event;
}

} // namespace

EndpointNotice readOwnNotice(const HttpResult &result)
{
    static const NoticeFields names = {rateLimitHeader, leavingHeader, brittleHeader, coldHeader,
                                       loadHeader};
    EndpointNotice notice = readNotice(result, names);
    if (!notice.load && !notice.isLoadUnreadable) {
        if (const auto active = readActive(result.header(activeRequestsHeader))) {
            notice.load = EndpointLoadReport{*active, 0, std::nullopt, std::nullopt};
        }
    }
    return notice;
}

StageFailed stageFailure(const SendStage &stage, SendEvidence evidence, std::string_view message)
{
    StageFailed event;
    event.call = stage.call;
    event.evidence = evidence;
    event.status =
        makeError(absl::StatusCode::kUnavailable, "stage " + stage.stage, stage.endpoint, message);
    return event;
}

StageFailed callFailure(const SendStage &stage, const HttpResult &result)
{
    const auto evidence = result.sent ? SendEvidence::Sent : SendEvidence::NothingSent;
    StageFailed event = stageFailure(stage, evidence, result.error);
    event.isBroken = result.isBroken;
    return event;
}

StageFailed truncatedAnswer(const SendStage &stage, std::string_view message)
{
    StageFailed event = stageFailure(stage, SendEvidence::Sent, message);
    event.isBroken = true;
    return event;
}

HttpCall encodeStage(const StageProtocol &protocol, const SendStage &stage)
{
    HttpCall call;
    call.method = "POST";
    call.url = fmt::format("http://{}", stage.address);
    call.timeout = stage.timeout;
    call.resendable = stage.repeatable;
    call.headers.push_back(fmt::format("{}: {}", callIdHeader, toText(stage.call)));
    call.headers.emplace_back("Content-Type: application/json");
    if (!stage.idempotencyKey.empty()) {
        call.headers.push_back(fmt::format("Idempotency-Key: {}", stage.idempotencyKey));
    }
    if (!stage.traceparent.empty()) {
        call.headers.push_back(fmt::format("traceparent: {}", stage.traceparent));
    }
    protocol.encode(stage, call);
    return call;
}

std::variant<StageAnswered, StageFailed>
decodeStage(const StageProtocol &protocol, const SendStage &stage, const HttpResult &result)
{
    if (result.status == 0) {
        return callFailure(stage, result);
    }
    if (result.status != statusOk) {
        const bool refusal =
            result.status == statusTooManyRequests || result.status == statusUnavailable;
        const auto evidence = refusal && stage.refusesBeforeRunning ? SendEvidence::RefusedBeforeRun
                                                                    : SendEvidence::Sent;
        StageFailed failure =
            stageFailure(stage, evidence, fmt::format("answered with status {}", result.status));
        failure.notice = readOwnNotice(result);
        return failure;
    }
    absl::StatusOr<std::string> body = protocol.decode(result.body);
    if (!body.ok()) {
        return stageFailure(stage, SendEvidence::Sent, errorMessage(body.status()));
    }
    return answered(stage, result, *std::move(body));
}

absl::StatusOr<StreamEvent> StageProtocol::decodeEvent(const std::string &) const
{
    return makeError(absl::StatusCode::kUnimplemented, "decoding", "",
                     "this protocol has no streams");
}

StageStream::StageStream(const StageProtocol &protocol, const SendStage &stage,
                         const AnswerBounds &bounds, BufferBudget *budget)
    : m_protocol(protocol)
    , m_stage(stage)
    , m_bounds(bounds)
    , m_buffered(budget)
    , m_tokens(stage.tokensDelivered)
{
}

std::optional<AnswerPart> StageStream::exceeded() const
{
    if (m_reader.heldBytes() > m_bounds.eventBytes) {
        return AnswerPart::Event;
    }
    // A stream is paused instead when the budget is used up.
    const bool isRefused = !m_plainBody.empty() && !m_buffered.mayGrow();
    // The text of all events is kept for the whole answer.
    const bool isTooLong = std::max(m_plainBody.size(), m_text.size()) > m_bounds.bodyBytes;
    if (isTooLong || isRefused) {
        return AnswerPart::Body;
    }
    return std::nullopt;
}

std::size_t StageStream::heldBytes() const
{
    return m_plainBody.size() + m_text.size() + m_reader.heldBytes();
}

std::vector<StageChunk> StageStream::handleBody(const HttpResult &head, const std::string &body)
{
    std::vector<StageChunk> chunks;
    if (head.header("content-type").rfind(eventStreamType, 0) != 0) {
        m_plainBody += body;
        m_buffered.set(heldBytes());
        return chunks;
    }
    if (m_ended || !m_decodeError.empty()) {
        return chunks; // What follows is not used.
    }
    m_reader.feed(body);
    while (m_decodeError.empty() && !m_ended) {
        const std::optional<std::string> data = m_reader.next();
        if (!data) {
            break;
        }
        const absl::StatusOr<StreamEvent> event = m_protocol.decodeEvent(*data);
        if (!event.ok()) {
            m_decodeError = errorMessage(event.status());
            break;
        }
        m_ended = event->isLast;
        if (event->text.empty()) {
            continue;
        }
        StageChunk chunk;
        chunk.call = m_stage.call;
        chunk.echoed = callIdOf(head);
        chunk.firstToken = m_tokens++;
        chunk.text = event->text;
        m_text += event->text;
        chunks.push_back(std::move(chunk));
    }
    m_buffered.set(heldBytes());
    return chunks;
}

std::variant<StageAnswered, StageFailed> StageStream::finish(const HttpResult &result) const
{
    const bool isStream = result.header("content-type").rfind(eventStreamType, 0) == 0;
    if (result.status != statusOk || !isStream) {
        HttpResult refusal = result;
        refusal.body = m_plainBody;
        return decodeStage(m_protocol, m_stage, refusal);
    }
    if (!m_decodeError.empty()) {
        return stageFailure(m_stage, SendEvidence::Sent, m_decodeError);
    }
    if (!m_ended) {
        StageFailed failure = truncatedAnswer(m_stage, "the stream ended before its last event");
        failure.isBroken = !result.mayBeCutOff;
        return failure;
    }
    StageAnswered end =
        answered(m_stage, result, m_protocol.wholeAnswer(m_stage.textDelivered + m_text));
    end.kind = AnswerKind::Stream;
    return end;
}

} // namespace harelink
