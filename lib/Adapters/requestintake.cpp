//===- requestintake.cpp - Memory of requests -----------------------------===//

#include "harelink/Adapters/requestintake.h"

#include "harelink/Support/log.h"

#include <utility>
#include <vector>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr Logger logger("intake");
/// Minimum time between two log lines about requests that were refused or dropped.
constexpr std::chrono::seconds logInterval{1};

} // namespace

IntakeTicket::~IntakeTicket()
{
    m_intake.release(m_bytes);
}

template <typename Change>
auto RequestIntake::apply(const Change &change)
{
    std::vector<std::pair<Callback, IntakeEvent>> calls;
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto result = change(m_budget);
    const IntakeChanges changes = m_budget.takeChanges();
    const auto collect = [&](const std::vector<IntakeId> &ids, IntakeEvent event) {
        for (const IntakeId id : ids) {
            const auto found = m_callbacks.find(id);
            if (found != m_callbacks.end()) {
                calls.emplace_back(found->second, event);
            }
        }
    };
    collect(changes.granted, IntakeEvent::Granted);
    collect(changes.refused, IntakeEvent::Refused);
    collect(changes.dropped, IntakeEvent::Dropped);
    lock.unlock();
    for (const auto &[callback, event] : calls) {
        callback(event);
    }
    return result;
}

IntakeId RequestIntake::open(Callback callback)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const IntakeId id = m_budget.open();
    m_callbacks.emplace(id, std::move(callback));
    return id;
}

void RequestIntake::close(IntakeId id)
{
    apply([id](IntakeBudget &budget) {
        budget.close(id);
        return true;
    });
    // Destroyed after the mutex is released, as it refers to its connection.
    Callback closed;
    const std::lock_guard<std::mutex> guard(m_mutex);
    const auto found = m_callbacks.find(id);
    if (found != m_callbacks.end()) {
        closed = std::move(found->second);
        m_callbacks.erase(found);
    }
}

IntakeDecision RequestIntake::reserve(IntakeId id, std::size_t bytes)
{
    return apply([id, bytes](IntakeBudget &budget) { return budget.reserve(id, bytes); });
}

void RequestIntake::recordReceived(IntakeId id, std::size_t bytes)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_budget.recordReceived(id, bytes);
}

std::shared_ptr<const IntakeTicket> RequestIntake::complete(IntakeId id, std::size_t bytes)
{
    const bool fits =
        apply([id, bytes](IntakeBudget &budget) { return budget.complete(id, bytes); });
    return fits ? std::make_shared<const IntakeTicket>(*this, bytes) : nullptr;
}

void RequestIntake::abandon(IntakeId id)
{
    apply([id](IntakeBudget &budget) {
        budget.abandon(id);
        return true;
    });
}

void RequestIntake::recordAnswered(IntakeId id)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_budget.recordAnswered(id);
}

std::shared_ptr<const IntakeTicket> RequestIntake::take(std::size_t bytes)
{
    const bool fits = apply([bytes](IntakeBudget &budget) { return budget.take(bytes); });
    return fits ? std::make_shared<const IntakeTicket>(*this, bytes) : nullptr;
}

void RequestIntake::release(std::size_t bytes)
{
    apply([bytes](IntakeBudget &budget) {
        budget.release(bytes);
        return true;
    });
}

void RequestIntake::dropIdleConnections(std::size_t count)
{
    apply([count](IntakeBudget &budget) {
        budget.dropIdleConnections(count);
        return true;
    });
}

void RequestIntake::tick(TimePoint now)
{
    apply([now](IntakeBudget &budget) {
        budget.tick(now);
        return true;
    });
    IntakeCounters counters;
    std::size_t used = 0;
    std::size_t waiting = 0;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        counters = m_budget.counters();
        if (counters == m_logged || now - m_loggedAt < logInterval) {
            return;
        }
        used = m_budget.used();
        waiting = m_budget.waiting();
        m_logged = counters;
        m_loggedAt = now;
    }
    logger.record(LogLevel::Info, "requests-held-back")
        .field("heldBytes", used)
        .field("limitBytes", m_budget.limit())
        .field("waiting", waiting)
        .field("waited", counters.waited)
        .field("refused", counters.refused)
        .field("droppedStalled", counters.droppedStalled)
        .field("droppedForConnections", counters.droppedForConnections);
}

void RequestIntake::render(std::string &out) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const auto value = [&out](std::string_view name, std::string_view type, auto number) {
        out += fmt::format("# TYPE {0} {1}\n{0} {2}\n", name, type, number);
    };
    const IntakeCounters &counters = m_budget.counters();
    value("harelink_request_bytes", "gauge", m_budget.used());
    value("harelink_request_bytes_limit", "gauge", m_budget.limit());
    value("harelink_caller_connections", "gauge", m_budget.connections());
    value("harelink_requests_waiting_for_memory", "gauge", m_budget.waiting());
    value("harelink_requests_waited_for_memory_total", "counter", counters.waited);
    value("harelink_requests_refused_for_memory_total", "counter", counters.refused);
    value("harelink_connections_dropped_stalled_total", "counter", counters.droppedStalled);
    value("harelink_connections_dropped_for_others_total", "counter",
          counters.droppedForConnections);
}

} // namespace harelink
