//===- loadendpoint.h - An endpoint with limited slots ----------*- C++ -*-===//
///
/// \file
/// A simulated endpoint that runs a limited number of calls at a time, queues as many
/// more and refuses the rest before running them. It caches the most recently used
/// prompts, and can be slowed down, made to fail and killed.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_LOADENDPOINT_H
#define HARELINK_TEST_SIM_LOADENDPOINT_H

#include "fakes.h"

#include <deque>
#include <list>
#include <optional>

namespace harelink::sim {

/// A pool of identical endpoints.
struct LoadPool
{
    std::string name;
    int endpoints = 1;
    int slots = 1;
    std::chrono::milliseconds callTime{10}; ///< Mean time of a call.
    std::size_t cachedPrompts = 0;          ///< Capacity of each endpoint's prompt cache.
};

/// How a call ended.
struct LoadAnswer
{
    std::optional<SendEvidence> fault; ///< std::nullopt if the call was answered.
    Duration busy{};                   ///< Time that an endpoint's slot was held.
    int active = 0;                    ///< Calls at the endpoint, including queued ones.
};

/// A simulated endpoint of a pool.
class LoadEndpoint
{
public:
    using Done = std::function<void(const LoadAnswer &)>;

    /// \p queue and \p random must outlive the endpoint.
    LoadEndpoint(const LoadPool &pool, EventQueue &queue, Random &random)
        : m_pool(pool)
        , m_queue(queue)
        , m_random(random)
    {
    }

    /// Runs, queues or refuses a call. Calls \p done exactly once, unless the call is cancelled.
    void admit(const SendStage &stage, Done done);
    /// Cancels a call; returns the time for which it held a slot.
    Duration cancel(const CallId &call);
    /// Records that a daemon sent a call to this endpoint at \p now.
    void recordSend(TimePoint now) { m_lastSend = now; }
    /// Fails all calls and refuses connections until start().
    void kill();
    void start() { m_down = false; }
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// Sets the fraction of calls that fail after they ran.
    void setFailing(double share) { m_failing = share; }

    [[nodiscard]] TimePoint lastSend() const { return m_lastSend; }
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t promptHits() const { return m_promptHits; }

private:
    struct Job
    {
        CallId call;
        std::string prompt;
        Done done;
        TimePoint startedAt;
        std::uint64_t run = 0; ///< Distinguishes its completion from that of a cancelled run.
    };

    void startNext();
    void finish(std::uint64_t run);
    Duration callDuration(const std::string &prompt);
    bool touchPrompt(const std::string &prompt);
    [[nodiscard]] int active() const
    {
        return static_cast<int>(m_running.size() + m_waiting.size());
    }

    LoadPool m_pool;
    EventQueue &m_queue;
    Random &m_random;
    std::deque<Job> m_waiting;
    std::list<Job> m_running;
    std::list<std::string> m_prompts; // Most recently used first.
    bool m_down = false;
    double m_slowFactor = 1;
    double m_failing = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_promptHits = 0;
    TimePoint m_lastSend;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_LOADENDPOINT_H
