//===- fakes.h - Test doubles on a virtual clock ----------------*- C++ -*-===//
///
/// \file
/// Fakes for the kernel's dependencies: an event queue, the platform, the
/// endpoints and the network between them, with fault injection.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_FAKES_H
#define HARELINK_TEST_SIM_FAKES_H

#include "platformstore.h"

#include "harelink/Kernel/requestmachine.h"
#include "harelink/Support/clock.h"
#include "harelink/Support/random.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace harelink::sim {

/// Runs events in the order of their time; events of the same time run in the order
/// in which they were scheduled.
class EventQueue
{
public:
    using Event = std::function<void()>;

    [[nodiscard]] const ManualClock &clock() const { return m_clock; }
    [[nodiscard]] TimePoint now() const { return m_clock.now(); }
    /// Returns the time since the start of the simulation.
    [[nodiscard]] Duration elapsed() const { return now() - m_start; }
    /// Schedules \p event to run after \p delay.
    void after(Duration delay, Event event);
    /// Runs all events that are due until \p end; returns the number of events run.
    std::uint64_t runUntil(TimePoint end);

private:
    struct Entry
    {
        TimePoint time;
        std::uint64_t order;
        Event event;
        bool operator>(const Entry &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    ManualClock m_clock;
    TimePoint m_start = m_clock.now();
    std::uint64_t m_lastOrder = 0;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_entries;
};

/// The clock of one host; it can be suspended while the clocks of other hosts advance.
class HostClock final : public Clock
{
public:
    /// \param world must outlive this clock.
    explicit HostClock(const Clock &world)
        : m_world(world)
    {
    }
    void setSuspended(bool isSuspended);
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override { return m_world.wallNow(); }

private:
    const Clock &m_world;
    Duration m_suspendedTotal{};               ///< Total time for which the clock was suspended.
    std::optional<TimePoint> m_suspendedSince; ///< In the time of the simulation.
};

/// Event log as text. Keeps the most recent lines, and a hash of all lines.
class Trace
{
public:
    explicit Trace(const EventQueue &queue)
        : m_queue(queue)
    {
    }
    void add(const std::string &line);
    [[nodiscard]] std::uint64_t hash() const { return m_hash; }
    /// Sets the number of lines that are kept.
    void setMaxLines(std::size_t lines) { m_maxLines = lines; }
    [[nodiscard]] const std::deque<std::string> &last() const { return m_last; }

private:
    const EventQueue &m_queue;
    std::uint64_t m_hash = 0;
    std::size_t m_maxLines = 60;
    std::deque<std::string> m_last;
};

/// The current network partitions. Each side is a data centre or "platform"; a host may be cut from
/// "endpoints", that is from all of them.
class Cuts
{
public:
    void cut(const std::string &a, const std::string &b) { m_cuts.insert(std::minmax(a, b)); }
    void heal(const std::string &a, const std::string &b) { m_cuts.erase(std::minmax(a, b)); }
    void healAll() { m_cuts.clear(); }
    [[nodiscard]] bool isCut(const std::string &a, const std::string &b) const
    {
        return m_cuts.contains(std::minmax(a, b));
    }

private:
    std::set<std::pair<std::string, std::string>> m_cuts;
};

/// In-memory platform object API with fault injection.
class FakePlatform
{
public:
    struct Faults
    {
        bool outage = false;
        bool silent = false; ///< Calls of an outage get no answer, rather than a refusal.
        Duration slow{};
        double loseAnswers = 0; ///< Probability that a call is executed, but its answer is lost.
        double applyLate = 0;   ///< Probability that the answer is lost and the write is delayed.
    };
    using Reply = std::function<void(PlatformResult)>;

    FakePlatform(EventQueue &queue, Random &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    /// Executes \p call. Calls \p reply exactly once, with Unanswered after the client's
    /// timeout.
    void handle(const PlatformCall &call, const Reply &reply);
    /// Returns the object store, for tests that write objects as an operator would.
    [[nodiscard]] standin::PlatformStore &store() { return m_store; }
    [[nodiscard]] Faults &faults() { return m_faults; }
    /// Sets the entry of a host in the host list.
    void setHost(const std::string &name, const std::string &dataCentre, const std::string &state,
                 bool daemon);
    /// Lets listings take several calls, with at most \p size objects for each, and calls \p onPage
    /// after each page that others follow.
    void listInPages(std::size_t size, std::function<void()> onPage)
    {
        m_pageSize = size;
        m_onPage = std::move(onPage);
    }
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t writes() const { return m_writes; }

private:
    [[nodiscard]] PlatformResult answerTo(const PlatformCall &call, PlatformOutcome outcome) const;
    PlatformResult execute(const PlatformCall &call);
    PlatformResult put(const PlatformCall &call);
    PlatformResult list(const PlatformCall &call);
    void watch(const PlatformCall &call, TimePoint limit, const Reply &reply);
    void failInOutage(const PlatformCall &call, Duration wait, const Reply &reply);

    EventQueue &m_queue;
    Random &m_random;
    standin::PlatformStore m_store;
    Faults m_faults;
    std::map<std::string, std::string> m_hosts;
    std::size_t m_pageSize = 0; ///< Of listings; 0 if each takes one call.
    std::function<void()> m_onPage;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
};

/// Calls recorded at the simulated endpoints.
struct EndpointLedger
{
    std::map<std::string, int> runsByKey;    ///< Runs per idempotency key.
    std::map<RequestId, int> callsByRequest; ///< Calls that reached an endpoint.
};

/// State of a simulated endpoint.
struct FakeEndpoint
{
    std::string dataCentre;
    std::string softwareVersion; ///< Empty if it declares none.
    bool down = false;
    TimePoint exitsUntil; ///< Until then it accepts connections, though it is down.
    double slowFactor = 1;
    double failing = 0;           ///< Share of calls that break after they ran.
    std::uint64_t generation = 0; ///< Incremented on each crash; running calls of older ones end.
    TimePoint leavingSince = TimePoint::max();
    TimePoint lastArrival;
    TimePoint coldUntil; ///< Until then it accepts only coldRate requests per second.
    /// Requests per second that it accepts from all hosts, as announced in its answers.
    std::optional<double> limit;
    /// If not zero, it refuses most requests and asks for a pause of this duration.
    Duration pause{};
    bool announcesLeaving = false; ///< In its answers only, not in the platform's host list.
    TimePoint limitedSince;        ///< When the current limit was first announced.
    /// Rejections per second that it bears, as announced; std::nullopt unless it is brittle.
    std::optional<double> bearableRejections;
    TimePoint brittleSince;
    int running = 0;                  ///< Calls that hold a slot.
    std::deque<TimePoint> rejections; ///< Of the last second, while it is brittle.
};

/// Requests per second that a cold endpoint accepts, and how long it stays cold.
inline constexpr double coldRate = 1;
inline constexpr std::chrono::milliseconds coldTime{3000};

/// Parts of prompts that begin so crash every endpoint that runs a request with them.
inline constexpr std::string_view crashingPartPrefix = "crashing-part-";

/// Returns whether a request with \p body crashes every endpoint that starts to run it.
[[nodiscard]] bool isCrashing(const std::string &body);
/// Returns the answer of a simulated endpoint to \p stage.
[[nodiscard]] std::string answerTo(const SendStage &stage);

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_FAKES_H
