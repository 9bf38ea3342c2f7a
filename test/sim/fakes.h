//===- fakes.h - The world around the kernel, on a virtual clock *- C++ -*-===//
///
/// \file
/// Small fakes at the kernel's interfaces: an event queue, the platform, the
/// endpoints and the network between them, with switches for what fails.
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
#include <vector>

namespace harelink::sim {

/// Runs events in the order of their time, and of their making among equals.
class EventQueue
{
public:
    using Event = std::function<void()>;

    [[nodiscard]] const ManualClock &clock() const { return m_clock; }
    [[nodiscard]] TimePoint now() const { return m_clock.now(); }
    /// Time since the start.
    [[nodiscard]] Duration elapsed() const { return now() - m_start; }
    /// Runs \p event after \p delay.
    void after(Duration delay, Event event);
    /// Runs events until \p end; gives how many ran.
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

/// The clock of one host, which may stand still while all others go on.
class HostClock final : public Clock
{
public:
    /// \param world outlives the clock.
    explicit HostClock(const Clock &world)
        : m_world(world)
    {
    }
    void setSuspended(bool isSuspended);
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override { return m_world.wallNow(); }

private:
    const Clock &m_world;
    Duration m_suspendedTotal{};               ///< That it has stood still.
    std::optional<TimePoint> m_suspendedSince; ///< Of the world's time.
};

/// What happened, as text. Keeps the last lines and a hash over all.
class Trace
{
public:
    explicit Trace(const EventQueue &queue)
        : m_queue(queue)
    {
    }
    void add(const std::string &line);
    [[nodiscard]] std::uint64_t hash() const { return m_hash; }
    /// How many lines are kept from now on.
    void setMaxLines(std::size_t lines) { m_maxLines = lines; }
    [[nodiscard]] const std::deque<std::string> &last() const { return m_last; }

private:
    const EventQueue &m_queue;
    std::uint64_t m_hash = 0;
    std::size_t m_maxLines = 60;
    std::deque<std::string> m_last;
};

/// Which places cannot reach each other. A place is a data centre or "platform".
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

/// The platform's object API with its faults.
class FakePlatform
{
public:
    struct Faults
    {
        bool outage = false;
        Duration slow{};
        double loseAnswers = 0; ///< The call is carried out, the answer is lost.
        double applyLate = 0;   ///< The answer is lost and the write arrives later.
    };
    using Reply = std::function<void(PlatformResult)>;

    FakePlatform(EventQueue &queue, Random &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    /// Carries \p call out; \p reply comes once, Unanswered after the client's patience.
    void handle(const PlatformCall &call, const Reply &reply);
    /// The objects, for tests that write as operators do.
    [[nodiscard]] standin::PlatformStore &store() { return m_store; }
    [[nodiscard]] Faults &faults() { return m_faults; }
    /// Sets what the host list says of a host.
    void setHost(const std::string &name, const std::string &dataCentre, const std::string &state,
                 bool daemon);
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t writes() const { return m_writes; }

private:
    PlatformResult execute(const PlatformCall &call);
    PlatformResult put(const PlatformCall &call);
    void watch(const PlatformCall &call, TimePoint limit, const Reply &reply);

    EventQueue &m_queue;
    Random &m_random;
    standin::PlatformStore m_store;
    Faults m_faults;
    std::map<std::string, std::string> m_hosts;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
};

/// What the endpoints of the world saw.
struct EndpointLedger
{
    std::map<std::string, int> runsByKey;    ///< Of calls that carried a key.
    std::map<RequestId, int> callsByRequest; ///< Calls whose bytes arrived.
};

/// An endpoint.
struct FakeEndpoint
{
    std::string dataCentre;
    bool down = false;
    double slowFactor = 1;
    double failing = 0;           ///< Share of calls that break after they ran.
    std::uint64_t generation = 0; ///< Rises when it dies: running calls end.
    TimePoint leavingSince = TimePoint::max();
    TimePoint lastArrival;
    TimePoint coldUntil; ///< It bears few requests until then.
    /// Requests per second that it accepts from all hosts; its answers say so.
    std::optional<double> limit;
    /// It refuses most requests and asks for so long a pause; zero where it does not.
    Duration pause{};
    bool announcesLeaving = false; ///< In its answers; the platform does not say so.
    TimePoint limitedSince;        ///< When it began to state this one.
};

/// What a cold endpoint of the world bears in a second, and for how long it is cold.
inline constexpr double coldRate = 1;
inline constexpr std::chrono::milliseconds coldTime{3000};

/// Whether a request with this body ends every endpoint that begins to run it.
[[nodiscard]] bool isCrashing(const std::string &body);
/// The answer that an endpoint of the world gives to \p stage.
[[nodiscard]] std::string answerTo(const SendStage &stage);

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_FAKES_H
