//===- harelink/Adapters/eventloop.h - Event loop of a thread ----*- C++ -*-===//
///
/// \file
/// The event loop of one thread: runs tasks posted by other threads, HTTP calls
/// and an iteration callback with a wake-up time.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_EVENTLOOP_H
#define HARELINK_ADAPTERS_EVENTLOOP_H

#include "harelink/Adapters/httpclient.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace harelink {

/// Event loop of one thread.
class EventLoop
{
public:
    using Task = std::function<void()>;
    /// Called once per iteration. Returns the latest time at which the next iteration
    /// must start, std::nullopt if there is none.
    using IterationCallback = std::function<std::optional<TimePoint>()>;

    /// \param loop the loop whose delays \c options.load records.
    explicit EventLoop(const HttpClientOptions &options = {}, HostLoop loop = HostLoop::Worker);
    /// Queues \p task for the loop's thread. Thread-safe.
    void post(Task task);
    /// Runs the loop until stop() is called.
    ///
    /// \param extraDescriptor a file descriptor that starts an iteration when it
    ///        becomes readable, or -1.
    void run(const Clock &clock, const IterationCallback &iterate, int extraDescriptor = -1);
    /// Ends run() after the current iteration. Thread-safe.
    void stop();
    /// Returns the HTTP client of this thread.
    [[nodiscard]] HttpClient &http() { return m_http; }

private:
    bool runTasks();

    const Clock &m_clock;
    HostLoadMeter *m_load;
    HostLoop m_loop;
    HttpClient m_http;
    std::mutex m_mutex; ///< Guards the members below; held only for a push or a swap.
    std::vector<Task> m_tasks;
    TimePoint m_waitingSince; ///< When the first task was queued.
    std::atomic<bool> m_stopped{false};
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_EVENTLOOP_H
