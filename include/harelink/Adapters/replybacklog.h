//===- harelink/Adapters/replybacklog.h - Unsent reply data -----*- C++ -*-===//
///
/// \file
/// Counts the data of one reply that waits until its caller reads. Shared by the thread that
/// produces the reply and the server's threads, which send it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_REPLYBACKLOG_H
#define HARELINK_ADAPTERS_REPLYBACKLOG_H

#include "harelink/Adapters/bufferbudget.h"
#include "harelink/Adapters/stalltimer.h"
#include "harelink/Support/clock.h"

#include <functional>
#include <mutex>
#include <string>

namespace harelink {

/// The unsent data of one reply. Thread-safe.
class ReplyBacklog
{
public:
    /// \param name identifies the request in logs.
    /// \param stallLimit a caller that reads nothing for this time is too slow.
    ReplyBacklog(const Clock &clock, BufferBudget &budget, std::string name, Duration stallLimit);
    ~ReplyBacklog();
    ReplyBacklog(const ReplyBacklog &) = delete;
    ReplyBacklog &operator=(const ReplyBacklog &) = delete;

    /// Adds data that is about to be queued.
    void add(std::size_t bytes);
    /// Removes data that was sent.
    void remove(std::size_t bytes);
    /// Removes data that can't be sent since the connection has ended, and reports the caller if
    /// its slowness is the reason.
    void drop(std::size_t bytes);
    [[nodiscard]] std::size_t waiting() const;
    /// Returns whether data waits of which nothing was sent for the stall limit.
    [[nodiscard]] bool isStalled() const;
    /// Leaves out the last \p time, in which this process was suspended, in the time that the
    /// caller has read nothing.
    void excludeTime(Duration time);
    /// Counts and logs that the caller is disconnected as too slow; once.
    void reportTooSlow();
    /// Calls \p callback once, on any thread, as soon as at most \p bytes wait. Replaces an earlier
    /// callback.
    void whenAtMost(std::size_t bytes, std::function<void()> callback);

private:
    /// Removes data; returns the callback if it is due.
    std::function<void()> take(std::size_t bytes);

    const Clock &m_clock;
    BufferBudget &m_budget;
    const std::string m_name;
    mutable std::mutex m_mutex; ///< Guards the members below; never held while a callback runs.
    std::size_t m_waiting = 0;
    StallTimer m_timer;
    std::size_t m_threshold = 0;
    std::function<void()> m_callback;
    bool m_isReported = false;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_REPLYBACKLOG_H
