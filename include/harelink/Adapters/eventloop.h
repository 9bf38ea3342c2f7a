//===- harelink/Adapters/eventloop.h - One thread's loop --------*- C++ -*-===//
///
/// \file
/// The loop of one thread: tasks posted by other threads, HTTP calls, and a
/// time to wake up at.
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

/// Runs one thread.
class EventLoop
{
public:
    using Task = std::function<void()>;
    /// Called once a turn; tells when it wants the next turn at the latest.
    using IterationCallback = std::function<std::optional<TimePoint>()>;

    /// Hands \p task to the loop's thread; from any thread.
    void post(Task task);
    /// Runs until stop().
    ///
    /// \param extraDescriptor a descriptor that starts a turn when it can be
    ///        read, or -1.
    void run(const Clock &clock, const IterationCallback &turn, int extraDescriptor = -1);
    /// Ends run() after the turn in progress; from any thread.
    void stop();
    /// The calls of this thread.
    [[nodiscard]] HttpClient &http() { return m_http; }

private:
    bool runTasks();

    HttpClient m_http;
    std::mutex m_mutex; ///< Of m_tasks; held for a push or a swap only.
    std::vector<Task> m_tasks;
    std::atomic<bool> m_stopped{false};
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_EVENTLOOP_H
