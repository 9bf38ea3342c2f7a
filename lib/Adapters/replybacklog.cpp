//===- replybacklog.cpp - Unsent reply data -------------------------------===//

#include "harelink/Adapters/replybacklog.h"

#include "harelink/Support/log.h"

#include <algorithm>
#include <utility>

namespace harelink {
namespace {

constexpr Logger logger("httpserver");

} // namespace

ReplyBacklog::ReplyBacklog(const Clock &clock, BufferBudget &budget, std::string name,
                           Duration stallLimit)
    : m_clock(clock)
    , m_budget(budget)
    , m_name(std::move(name))
    , m_timer(stallLimit)
{
}

ReplyBacklog::~ReplyBacklog()
{
    m_budget.remove(m_waiting);
}

void ReplyBacklog::add(std::size_t bytes)
{
    m_budget.add(bytes);
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (m_waiting == 0) {
        m_timer.start(m_clock.now());
    }
    m_waiting += bytes;
}

std::function<void()> ReplyBacklog::take(std::size_t bytes)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::size_t removed = std::min(bytes, m_waiting);
    m_waiting -= removed;
    m_budget.remove(removed);
    m_timer.recordProgress(m_clock.now());
    if (!m_callback || m_waiting > m_threshold) {
        return {};
    }
    return std::exchange(m_callback, {});
}

void ReplyBacklog::remove(std::size_t bytes)
{
    if (const std::function<void()> callback = take(bytes)) {
        callback();
    }
}

void ReplyBacklog::drop(std::size_t bytes)
{
    if (isStalled()) {
        reportTooSlow();
    }
    remove(bytes);
}

std::size_t ReplyBacklog::waiting() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_waiting;
}

bool ReplyBacklog::isStalled() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_waiting > 0 && m_timer.isStalled(m_clock.now());
}

void ReplyBacklog::excludeTime(Duration time)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_timer.excludeTime(time, m_clock.now());
}

void ReplyBacklog::reportTooSlow()
{
    std::size_t waiting = 0;
    Duration limit{};
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (std::exchange(m_isReported, true)) {
            return;
        }
        waiting = m_waiting;
        limit = m_timer.limit();
    }
    m_budget.recordSlowCaller();
    logger.record(LogLevel::Warning, "caller-too-slow")
        .field("request", m_name)
        .field("waitingBytes", waiting)
        .field("limitMs", static_cast<std::int64_t>(toMilliseconds(limit)));
}

void ReplyBacklog::whenAtMost(std::size_t bytes, std::function<void()> callback)
{
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (m_waiting > bytes) {
            m_threshold = bytes;
            m_callback = std::move(callback);
            return;
        }
        m_callback = {};
    }
    callback();
}

} // namespace harelink
