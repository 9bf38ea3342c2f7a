//===- eventloop.cpp - Event loop of a thread -----------------------------===//

#include "harelink/Adapters/eventloop.h"

#include <algorithm>

namespace harelink {
namespace {

/// Maximum time between two iterations.
constexpr std::chrono::milliseconds maxWait{500};

} // namespace

EventLoop::EventLoop(const HttpClientOptions &options, HostLoop loop)
    : m_clock(options.clock != nullptr ? *options.clock : systemClock())
    , m_load(options.load)
    , m_loop(loop)
    , m_http(options)
{
}

void EventLoop::post(Task task)
{
    bool wasEmpty = false;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        wasEmpty = m_tasks.empty();
        if (wasEmpty) {
            m_waitingSince = m_clock.now();
        }
        m_tasks.push_back(std::move(task));
    }
    if (wasEmpty) {
        m_http.wakeUp();
    }
}

bool EventLoop::runTasks()
{
    std::vector<Task> tasks;
    TimePoint waitingSince;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        tasks.swap(m_tasks);
        waitingSince = m_waitingSince;
    }
    if (m_load != nullptr && !tasks.empty()) {
        m_load->recordDelay(m_loop, m_clock.now() - waitingSince);
    }
    for (const Task &task : tasks) {
        task();
    }
    return !tasks.empty();
}

void EventLoop::run(const Clock &clock, const IterationCallback &iterate, int extraDescriptor)
{
    while (!m_stopped) {
        runTasks();
        const std::optional<TimePoint> next = iterate();
        Duration wait = maxWait;
        if (next) {
            wait = std::clamp<Duration>(*next - clock.now(), Duration::zero(), maxWait);
        }
        m_http.poll(wait, extraDescriptor);
    }
    runTasks();
}

void EventLoop::stop()
{
    m_stopped = true;
    m_http.wakeUp();
}

} // namespace harelink
