//===- fakes.cpp - Test doubles on a virtual clock ------------------------===//

#include "fakes.h"

#include "harelink/Support/hash.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace harelink::sim {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A daemon treats a call as unanswered after this time.
constexpr milliseconds clientTimeout{300};
/// A delayed write takes effect within this time.
constexpr std::uint64_t maxWriteDelayMs = 900;
constexpr milliseconds watchPoll{20};

PlatformResult resultOf(const PlatformCall &call, PlatformOutcome outcome)
{
    PlatformResult result;
    result.id = call.id;
    result.outcome = outcome;
    return result;
}

} // namespace

/// Returns an answer of the store, which states its era.
PlatformResult FakePlatform::answerTo(const PlatformCall &call, PlatformOutcome outcome) const
{
    PlatformResult result = resultOf(call, outcome);
    result.era = m_store.era();
    return result;
}

void EventQueue::after(Duration delay, Event event)
{
    m_entries.push({now() + delay, ++m_lastOrder, std::move(event)});
}

std::uint64_t EventQueue::runUntil(TimePoint end)
{
    std::uint64_t ran = 0;
    while (!m_entries.empty() && m_entries.top().time <= end) {
        const Entry entry = m_entries.top();
        m_entries.pop();
        m_clock.advanceTo(entry.time);
        entry.event();
        ++ran;
    }
    m_clock.advanceTo(std::max(end, now()));
    return ran;
}

void Trace::add(const std::string &line)
{
    const auto micros = std::chrono::duration_cast<microseconds>(m_queue.elapsed()).count();
    std::string timed = fmt::format("{:>10.3f} ms  {}", static_cast<double>(micros) / 1000, line);
    m_hash = hash64(timed, m_hash);
    m_last.push_back(std::move(timed));
    if (m_last.size() > m_maxLines) {
        m_last.pop_front();
    }
}

void FakePlatform::setHost(const std::string &name, const std::string &dataCentre,
                           const std::string &state, bool daemon)
{
    const std::string peers = daemon ? name : std::string();
    const nlohmann::json value = {{"dataCentre", dataCentre}, {"peers", peers}, {"state", state}};
    m_hosts[name] = value.dump();
}

void FakePlatform::handle(const PlatformCall &call, const Reply &reply)
{
    ++m_calls;
    const Duration latency = m_faults.slow + microseconds(300 + m_random.below(700));
    if (m_faults.outage) {
        const bool isWatch = call.operation == PlatformOperation::Watch;
        m_queue.after(latency, [=, this] {
            failInOutage(call, isWatch ? call.wait : Duration::zero(), reply);
        });
        return;
    }
    if (call.operation == PlatformOperation::Watch) {
        m_queue.after(latency, [=, this] { watch(call, m_queue.now() + call.wait, reply); });
        return;
    }
    const auto replyUnanswered = [=, this] {
        m_queue.after(clientTimeout, [=] { reply(resultOf(call, PlatformOutcome::Unanswered)); });
    };
    const bool writes = call.operation == PlatformOperation::Put;
    m_writes += writes ? 1 : 0;
    if (writes && m_random.chance(m_faults.applyLate)) {
        m_queue.after(milliseconds(m_random.below(maxWriteDelayMs)), [=, this] { execute(call); });
        replyUnanswered();
        return;
    }
    if (m_random.chance(m_faults.loseAnswers)) {
        m_queue.after(latency, [=, this] { execute(call); });
        replyUnanswered();
        return;
    }
    if (latency * 2 > clientTimeout) {
        m_queue.after(latency, [=, this] { execute(call); });
        replyUnanswered();
        return;
    }
    // The write takes effect after one latency, the answer arrives after another one.
    m_queue.after(latency, [=, this] {
        const PlatformResult result = execute(call);
        m_queue.after(latency, [=] { reply(result); });
    });
}

PlatformResult FakePlatform::put(const PlatformCall &call)
{
    std::uint64_t over = call.ifVersion.revision;
    if (call.unconditional) {
        const auto current = m_store.get(call.kind, call.name);
        over = current ? current->version.revision : 0;
    }
    const auto version = m_store.put(call.kind, call.name, over, call.value);
    PlatformResult result =
        answerTo(call, version ? PlatformOutcome::Ok : PlatformOutcome::Conflict);
    result.version = version.value_or(0);
    return result;
}

PlatformResult FakePlatform::list(const PlatformCall &call)
{
    PlatformResult result = answerTo(call, PlatformOutcome::Ok);
    result.version = m_store.version();
    const std::set<std::string> kinds = standin::splitKinds(call.kind);
    if (m_pageSize == 0) {
        result.objects = m_store.list(kinds);
        return result;
    }
    standin::ListingPage page = m_store.listPage(kinds, call.name, m_pageSize);
    result.objects = std::move(page.objects);
    result.more = page.more;
    if (result.more && m_onPage) {
        m_onPage();
    }
    return result;
}

PlatformResult FakePlatform::execute(const PlatformCall &call)
{
    PlatformResult result = answerTo(call, PlatformOutcome::Ok);
    switch (call.operation) {
    case PlatformOperation::Get: {
        const auto object = m_store.get(call.kind, call.name);
        if (!object) {
            return answerTo(call, PlatformOutcome::NotFound);
        }
        result.version = object->version;
        result.value = object->value;
        return result;
    }
    case PlatformOperation::Put:
        return put(call);
    case PlatformOperation::List:
        return list(call);
    case PlatformOperation::Hosts:
        for (const auto &[name, value] : m_hosts) {
            result.objects.push_back({"", name, 0, false, value});
        }
        return result;
    default:
        return answerTo(call, PlatformOutcome::Refused);
    }
}

/// Refuses \p call at once; if the outage is silent, the client gives it up after \p wait and its
/// timeout.
void FakePlatform::failInOutage(const PlatformCall &call, Duration wait, const Reply &reply)
{
    if (!m_faults.silent) {
        reply(resultOf(call, PlatformOutcome::Refused));
        return;
    }
    m_queue.after(std::max(wait, Duration::zero()) + clientTimeout,
                  [=] { reply(resultOf(call, PlatformOutcome::Unanswered)); });
}

void FakePlatform::watch(const PlatformCall &call, TimePoint limit, const Reply &reply)
{
    if (m_faults.outage) {
        failInOutage(call, limit - m_queue.now(), reply);
        return;
    }
    const auto changes = m_store.changes(standin::splitKinds(call.kind), call.since.revision);
    if (!changes) {
        reply(answerTo(call, PlatformOutcome::Gone));
        return;
    }
    if (!changes->empty() || m_queue.now() >= limit) {
        PlatformResult result = answerTo(call, PlatformOutcome::Ok);
        result.version = m_store.version();
        result.objects = *changes;
        reply(result);
        return;
    }
    m_queue.after(watchPoll, [=, this] { watch(call, limit, reply); });
}

void HostClock::setSuspended(bool isSuspended)
{
    const TimePoint world = m_world.now();
    if (m_suspendedSince) {
        m_suspendedTotal += world - *std::exchange(m_suspendedSince, std::nullopt);
    }
    if (isSuspended) {
        m_suspendedSince = world;
    }
}

TimePoint HostClock::now() const
{
    return m_suspendedSince.value_or(m_world.now()) - m_suspendedTotal;
}

bool isCrashing(const std::string &body)
{
    return body.starts_with("crash");
}

std::string answerTo(const SendStage &stage)
{
    return fmt::format("{}({})", stage.stage,
                       stage.previous.empty() ? stage.request : stage.previous);
}

} // namespace harelink::sim
