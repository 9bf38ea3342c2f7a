//===- loadendpoint.cpp - An endpoint with limited slots ------------------===//

#include "loadendpoint.h"

#include <algorithm>

namespace harelink::sim {
namespace {

/// Call times are uniform between this fraction of the mean and 2 minus it.
constexpr double minTimeFactor = 0.6;
/// Fraction of a call's time that a cached prompt saves.
constexpr double promptHitSaving = 0.6;

} // namespace

void LoadEndpoint::admit(const SendStage &stage, Done done)
{
    if (m_down) {
        done({SendEvidence::NothingSent, {}, 0});
        return;
    }
    if (m_waiting.size() >= static_cast<std::size_t>(m_pool.slots)) {
        done({SendEvidence::RefusedBeforeRun, {}, active()});
        return;
    }
    ++m_calls;
    m_waiting.push_back({stage.call, stage.request, std::move(done), {}, 0});
    startNext();
}

void LoadEndpoint::startNext()
{
    while (m_running.size() < static_cast<std::size_t>(m_pool.slots) && !m_waiting.empty()) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        Job &job = m_running.back();
        job.startedAt = m_queue.now();
        job.run = ++m_runs;
        m_queue.after(callDuration(job.prompt), [this, run = job.run] { finish(run); });
    }
}

void LoadEndpoint::finish(std::uint64_t run)
{
    const auto found = std::find_if(m_running.begin(), m_running.end(),
                                    [run](const Job &job) { return job.run == run; });
    if (found == m_running.end()) {
        return;
    }
    LoadAnswer answer;
    answer.busy = m_queue.now() - found->startedAt;
    if (m_random.chance(m_failing)) {
        answer.fault = SendEvidence::Sent;
    }
    const Done done = std::move(found->done);
    m_running.erase(found);
    startNext();
    answer.active = active();
    done(answer);
}

Duration LoadEndpoint::cancel(const CallId &call)
{
    std::erase_if(m_waiting, [&call](const Job &job) { return job.call == call; });
    const auto found = std::find_if(m_running.begin(), m_running.end(),
                                    [&call](const Job &job) { return job.call == call; });
    if (found == m_running.end()) {
        return {};
    }
    const Duration busy = m_queue.now() - found->startedAt;
    m_running.erase(found);
    startNext();
    return busy;
}

void LoadEndpoint::kill()
{
    m_down = true;
    const std::deque<Job> waiting = std::exchange(m_waiting, {});
    const std::list<Job> running = std::exchange(m_running, {});
    m_prompts.clear();
    for (const Job &job : running) {
        job.done({SendEvidence::Sent, m_queue.now() - job.startedAt, 0});
    }
    for (const Job &job : waiting) {
        job.done({SendEvidence::Sent, {}, 0});
    }
}

Duration LoadEndpoint::callDuration(const std::string &prompt)
{
    const bool hit = m_pool.cachedPrompts > 0 && touchPrompt(prompt);
    m_promptHits += hit ? 1 : 0;
    const double spread = minTimeFactor + 2 * (1 - minTimeFactor) * m_random.unit();
    const double factor = spread * m_slowFactor * (hit ? 1 - promptHitSaving : 1);
    return std::chrono::duration_cast<Duration>(m_pool.callTime * factor);
}

bool LoadEndpoint::touchPrompt(const std::string &prompt)
{
    const auto found = std::find(m_prompts.begin(), m_prompts.end(), prompt);
    const bool hit = found != m_prompts.end();
    if (hit) {
        m_prompts.erase(found);
    }
    m_prompts.push_front(prompt);
    if (m_prompts.size() > m_pool.cachedPrompts) {
        m_prompts.pop_back();
    }
    return hit;
}

} // namespace harelink::sim
