//===- dialect.cpp - Platform protocol plug-ins ---------------------------===//

#include "harelink/Adapters/dialect.h"

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/stageprotocol.h"

#include <algorithm>
#include <utility>

namespace harelink {
namespace {

/// Endpoints cut off an answer that is left unread for some seconds. After a pause of this length
/// the close of a connection does not prove that a stream without length or chunks is complete.
/// Shorter pauses are frequent, as each caller slower than its endpoint causes them.
constexpr std::chrono::seconds cutOffPause{1};

} // namespace

ProxiedStream::ProxiedStream(const ProxiedDialect &dialect, const SendStage &stage,
                             const AnswerBounds &bounds, BufferBudget *budget)
    : m_dialect(dialect)
    , m_stage(stage)
    , m_bounds(bounds)
    , m_buffered(budget)
{
}

std::vector<StageEvent> ProxiedStream::handleBody(const HttpResult &head, const std::string &bytes)
{
    feed(head, bytes);
    std::vector<StageEvent> events;
    while (std::optional<StageEvent> event = next(head)) {
        events.push_back(*std::move(event));
    }
    return events;
}

void ProxiedStream::feed(const HttpResult &head, const std::string &bytes)
{
    m_isStream = m_isStream || m_dialect.isStream(head);
    const bool isTooLong =
        !m_isStream
        && (m_buffer.size() + bytes.size() > m_bounds.bodyBytes || !m_buffered.mayGrow());
    if (isTooLong) {
        m_exceeded = AnswerPart::Body;
    }
    if (m_exceeded) {
        m_buffer = {};
        m_begin = 0;
    } else {
        m_buffer += bytes;
    }
    m_buffered.set(m_buffer.size());
}

std::optional<StageEvent> ProxiedStream::next(const HttpResult &head)
{
    if (!m_isStream || m_exceeded) {
        return std::nullopt;
    }
    const std::size_t end = findEventEnd(m_buffer, m_begin);
    const std::size_t size = std::min(end, m_buffer.size()) - m_begin;
    if (size > m_bounds.eventBytes) {
        m_exceeded = AnswerPart::Event;
        m_buffer = {};
        m_begin = 0;
        m_buffered.set(0);
        return std::nullopt;
    }
    if (end == std::string::npos) {
        m_buffer.erase(0, std::exchange(m_begin, 0));
        m_buffered.set(m_buffer.size());
        return std::nullopt;
    }
    const std::string_view event = std::string_view(m_buffer).substr(m_begin, size);
    m_begin = end;
    return m_dialect.decodeEvent(m_stage, head, event);
}

std::variant<StageAnswered, StageFailed> ProxiedStream::finish(HttpResult result) const
{
    if (!m_isStream) {
        result.body = m_buffer;
        return m_dialect.decode(m_stage, result);
    }
    if (result.status == 0) {
        return callFailure(m_stage, result);
    }
    if (!m_buffer.empty()) {
        StageFailed failure = truncatedAnswer(m_stage, "the stream ended within an event");
        failure.isBroken = !result.mayBeCutOff;
        return failure;
    }
    // An answer without length or chunks ends with an orderly close of its connection, which has a
    // status here; a reset connection has none. Since the close may be the regular end, it is no
    // evidence of a crash either.
    const bool isUnframed = result.framing() == AnswerFraming::Connection;
    if (isUnframed && result.longestPause >= cutOffPause) {
        return stageFailure(m_stage, SendEvidence::Sent,
                            "the stream without length ended after it was left unread");
    }
    return m_dialect.decode(m_stage, result);
}

} // namespace harelink
