//===- bufferbudget.cpp - Bounds of buffers -------------------------------===//

#include "harelink/Adapters/bufferbudget.h"

#include <fmt/format.h>

namespace harelink {

std::string_view toText(AnswerPart part)
{
    static constexpr std::array<std::string_view, answerPartCount> names = {"head", "body",
                                                                            "event"};
    return names[static_cast<std::size_t>(part)];
}

std::string boundError(AnswerPart part, const AnswerBounds &bounds)
{
    switch (part) {
    case AnswerPart::Head:
        return fmt::format("the head of the answer exceeds {} bytes or {} fields", bounds.headBytes,
                           bounds.headFields);
    case AnswerPart::Body:
        return fmt::format("the body of the answer exceeds {} bytes or what is left for buffers",
                           bounds.bodyBytes);
    case AnswerPart::Event:
        break;
    }
    return fmt::format("an event of the answer exceeds {} bytes", bounds.eventBytes);
}

void BufferBudget::recordPause()
{
    m_paused.fetch_add(1, std::memory_order_relaxed);
    m_pauses.fetch_add(1, std::memory_order_relaxed);
}

void BufferBudget::recordResume()
{
    m_paused.fetch_sub(1, std::memory_order_relaxed);
}

void BufferBudget::recordExceeded(AnswerPart part)
{
    m_exceeded[static_cast<std::size_t>(part)].fetch_add(1, std::memory_order_relaxed);
}

void BufferBudget::recordSlowCaller()
{
    m_slowCallers.fetch_add(1, std::memory_order_relaxed);
}

void BufferBudget::render(std::string &out) const
{
    const auto value = [&out](std::string_view name, std::string_view type, auto number) {
        out += fmt::format("# TYPE {0} {1}\n{0} {2}\n", name, type, number);
    };
    value("harelink_buffered_bytes", "gauge", m_used.load());
    value("harelink_buffered_bytes_limit", "gauge", m_limit);
    value("harelink_paused_transfers", "gauge", m_paused.load());
    value("harelink_transfer_pauses_total", "counter", m_pauses.load());
    value("harelink_slow_callers_total", "counter", m_slowCallers.load());
    out += "# TYPE harelink_answers_over_bound_total counter\n";
    for (std::size_t i = 0; i < answerPartCount; ++i) {
        out += fmt::format("harelink_answers_over_bound_total{{part=\"{}\"}} {}\n",
                           toText(static_cast<AnswerPart>(i)), m_exceeded[i].load());
    }
}

void BufferedBytes::set(std::size_t bytes)
{
    // Only the difference is added, so that other threads never see the buffer counted twice.
    if (m_budget != nullptr && bytes > m_bytes) {
        m_budget->add(bytes - m_bytes);
    } else if (m_budget != nullptr) {
        m_budget->remove(m_bytes - bytes);
    }
    m_bytes = bytes;
}

} // namespace harelink
