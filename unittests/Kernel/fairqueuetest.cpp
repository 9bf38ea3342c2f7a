//===- fairqueuetest.cpp - Tests of priorities in the fair queue ----------===//
///
/// \file
/// Guards against a burst of urgent requests that starves other routes and accounts, and against
/// a changed order where all requests have one priority. Simulates a pool of eight slots.
///
//===----------------------------------------------------------------------===//

#include "kernelfixture.h"

#include "harelink/Kernel/fairqueue.h"
#include "harelink/Support/random.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

constexpr PriorityOptions withoutMinimum{false};

/// The accounts "large" and "small", of equal weight, and the pool "engines" with eight slots.
std::unique_ptr<const Snapshot> makeSnapshot()
{
    std::vector<Resource> resources = smallConfiguration(2, 4);
    resources.push_back(makeResource(ClientAccountSpec{"large", 1, ""}));
    resources.push_back(makeResource(ClientAccountSpec{"small", 1, ""}));
    return buildSnapshot(resources, 1, "dc1", nullptr);
}

AccountLoad &loadOf(const Snapshot &snapshot, const std::string &account)
{
    return *snapshot.account(account)->loads.at("engines");
}

/// A route as one account calls it.
struct Source
{
    std::string account;
    int priority = 0;
    int perSecond = 0;
    int burstPerSecond = 0; ///< During the burst.
};

/// What the callers of one source got during the burst.
struct Served
{
    int requests = 0;
    int inTime = 0;
    [[nodiscard]] double fraction() const { return static_cast<double>(inTime) / requests; }
};

/// A queue in front of eight slots, where each call takes 40 ms: 200 requests per second.
/// Requests that are not dispatched within 500 ms are lost.
class QueueSimulation
{
public:
    explicit QueueSimulation(std::vector<Source> sources, PriorityOptions options = {})
        : m_snapshot(makeSnapshot())
        , m_queue(options)
        , m_sources(std::move(sources))
        , m_served(m_sources.size())
    {
    }

    /// Runs for 10 s with a burst of 7 s that starts after 1 s.
    std::vector<Served> run()
    {
        for (m_elapsed = milliseconds(0); m_elapsed < milliseconds(10'000);
             m_elapsed += milliseconds(1)) {
            arrive();
            expire();
            complete();
            dispatch();
            m_clock.advance(milliseconds(1));
        }
        return m_served;
    }

private:
    struct Call
    {
        std::size_t source = 0;
        FairQueue::Waiter waiter;
        bool isCounted = false; ///< Whether it arrived during the burst.
    };

    [[nodiscard]] bool isBurst() const
    {
        return m_elapsed >= milliseconds(1000) && m_elapsed < milliseconds(8000);
    }
    void arrive()
    {
        for (std::size_t i = 0; i < m_sources.size(); ++i) {
            const Source &source = m_sources[i];
            const int rate = isBurst() ? source.burstPerSecond : source.perSecond;
            if (m_random.unit() * 1000 >= rate) {
                continue;
            }
            const FairQueue::Waiter waiter{source.account, m_clock.now() + milliseconds(500),
                                           ++m_lastSequence, source.priority};
            m_queue.push(waiter);
            m_waiting[waiter.sequence] = {i, waiter, isBurst()};
            ++loadOf(*m_snapshot, source.account).demand;
            m_served[i].requests += isBurst() ? 1 : 0;
        }
    }
    void expire()
    {
        std::erase_if(m_waiting, [this](const auto &entry) {
            const FairQueue::Waiter &waiter = entry.second.waiter;
            const bool isLost = waiter.due <= m_clock.now();
            if (isLost) {
                m_queue.remove(waiter);
                --loadOf(*m_snapshot, waiter.account).demand;
            }
            return isLost;
        });
    }
    void complete()
    {
        for (; !m_running.empty() && m_running.begin()->first <= m_clock.now();
             m_running.erase(m_running.begin())) {
            AccountLoad &load = loadOf(*m_snapshot, m_running.begin()->second);
            --load.demand;
            --load.inFlight;
        }
    }
    void dispatch()
    {
        m_shares.update(*m_snapshot, *m_snapshot->pool("engines"), m_clock.now());
        while (m_running.size() < 8) {
            const auto selection = m_queue.pop(*m_snapshot, "engines", m_shares, m_clock.now());
            if (!selection) {
                break;
            }
            const Call call = m_waiting.at(selection->sequence);
            m_waiting.erase(selection->sequence);
            m_queue.recordDispatch(call.waiter, selection->guarantee);
            AccountLoad &load = loadOf(*m_snapshot, call.waiter.account);
            ++load.inFlight;
            load.usageMeter.add(m_clock.now(), milliseconds(40));
            m_running.emplace(m_clock.now() + milliseconds(40), call.waiter.account);
            m_served[call.source].inTime += call.isCounted ? 1 : 0;
        }
        m_queue.endRound();
    }

    ManualClock m_clock;
    Random m_random{7};
    std::unique_ptr<const Snapshot> m_snapshot;
    FairQueue m_queue;
    SlotShares m_shares;
    std::vector<Source> m_sources;
    std::vector<Served> m_served;
    std::map<std::uint64_t, Call> m_waiting;
    std::multimap<TimePoint, std::string> m_running; ///< Accounts by end of the call.
    std::uint64_t m_lastSequence = 0;
    Duration m_elapsed{};
};

std::vector<Served> simulate(std::vector<Source> sources, PriorityOptions options = {})
{
    return QueueSimulation(std::move(sources), options).run();
}

/// The queue without priorities: the account with the lowest usage goes first, then the request
/// with the earliest due time.
class ReferenceQueue
{
public:
    void push(const FairQueue::Waiter &waiter)
    {
        m_accounts[waiter.account].emplace(waiter.due, waiter.sequence);
    }
    void remove(const FairQueue::Waiter &waiter)
    {
        m_accounts[waiter.account].erase({waiter.due, waiter.sequence});
    }
    std::optional<std::uint64_t> pop(const Snapshot &snapshot, TimePoint now)
    {
        std::set<std::pair<TimePoint, std::uint64_t>> *best = nullptr;
        double bestUsage = 0;
        for (auto &[name, backlog] : m_accounts) {
            if (backlog.empty()) {
                continue;
            }
            const double usage =
                std::chrono::duration<double>(loadOf(snapshot, name).usageMeter.recent(now)).count()
                / snapshot.account(name)->spec.weight;
            if (best == nullptr || usage < bestUsage
                || (usage == bestUsage && *backlog.begin() < *best->begin())) {
                best = &backlog;
                bestUsage = usage;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        const std::uint64_t sequence = best->begin()->second;
        best->erase(best->begin());
        return sequence;
    }

private:
    std::map<std::string, std::set<std::pair<TimePoint, std::uint64_t>>> m_accounts;
};

/// Returns how many of 5,000 dispatches differ from the order without priorities, with requests
/// whose priorities are chosen from \p priorities.
int countDifferences(const std::vector<int> &priorities)
{
    ManualClock clock;
    Random random(3);
    const auto snapshot = makeSnapshot();
    const std::vector<std::string> accounts = {"drivers", "lab", "large", "small"};
    FairQueue queue;
    ReferenceQueue reference;
    std::map<std::uint64_t, FairQueue::Waiter> waiting;
    int differences = 0;
    for (std::uint64_t sequence = 1; sequence <= 5000; ++sequence) {
        const FairQueue::Waiter waiter{accounts[random.below(accounts.size())],
                                       clock.now() + milliseconds(random.below(900)), sequence,
                                       priorities[random.below(priorities.size())]};
        queue.push(waiter);
        reference.push(waiter);
        waiting[sequence] = waiter;
        clock.advance(milliseconds(random.below(20)));
        if (random.below(10) == 0) {
            const FairQueue::Waiter removed = waiting.begin()->second;
            waiting.erase(waiting.begin());
            queue.remove(removed);
            reference.remove(removed);
        }
        if (random.below(10) < 2) {
            continue; // Lets a backlog grow.
        }
        const auto expected = reference.pop(*snapshot, clock.now());
        const auto selection = queue.pop(*snapshot, "engines", {}, clock.now());
        CHECK_EQUAL(expected.has_value(), selection.has_value());
        if (!selection) {
            continue;
        }
        differences += selection->sequence != *expected ? 1 : 0;
        const FairQueue::Waiter popped = waiting.at(selection->sequence);
        if (random.below(4) == 0) {
            queue.push(popped); // No endpoint was free.
            reference.push(waiting.at(*expected));
            continue;
        }
        queue.recordDispatch(popped, selection->guarantee);
        reference.push(waiting.at(*expected));
        reference.remove(popped);
        loadOf(*snapshot, popped.account).usageMeter.add(clock.now(), milliseconds(30));
        waiting.erase(popped.sequence);
    }
    return differences;
}

/// A queue in which each of three accounts always has requests of each class waiting.
class FullQueue
{
public:
    explicit FullQueue(PriorityOptions options = {})
        : m_snapshot(makeSnapshot())
        , m_queue(options)
    {
        for (const char *account : {"lab", "large", "small"}) {
            for (int priority = 0; priority < static_cast<int>(priorityClassCount); ++priority) {
                push(account, priority);
                push(account, priority);
            }
        }
    }
    FairQueue::Waiter pop()
    {
        m_selection = *m_queue.pop(*m_snapshot, "engines", {}, m_clock.now());
        return m_waiting.at(m_selection.sequence);
    }
    void putBack(const FairQueue::Waiter &waiter) { m_queue.push(waiter); }
    void recordDispatch(const FairQueue::Waiter &waiter)
    {
        m_queue.recordDispatch(waiter, m_selection.guarantee);
    }
    /// Sends \p waiter and adds another request like it.
    void send(const FairQueue::Waiter &waiter)
    {
        recordDispatch(waiter);
        loadOf(*m_snapshot, waiter.account).usageMeter.add(m_clock.now(), milliseconds(5));
        push(waiter.account, waiter.priority);
        m_waiting.erase(waiter.sequence);
        m_clock.advance(milliseconds(5));
    }

private:
    void push(const std::string &account, int priority)
    {
        const FairQueue::Waiter waiter{account, m_clock.now() + milliseconds(1000),
                                       ++m_lastSequence, priority};
        m_queue.push(waiter);
        m_waiting[waiter.sequence] = waiter;
    }

    ManualClock m_clock;
    std::unique_ptr<const Snapshot> m_snapshot;
    FairQueue m_queue;
    FairQueue::Selection m_selection;
    std::map<std::uint64_t, FairQueue::Waiter> m_waiting;
    std::uint64_t m_lastSequence = 0;
};

/// Dispatches by class, and the longest sequence of dispatches without one of an account and class.
struct DispatchCounts
{
    std::array<int, priorityClassCount> byClass{};
    int longestGap = 0;
};

DispatchCounts dispatchFromFullQueue(PriorityOptions options, int dispatches)
{
    FullQueue queue(options);
    DispatchCounts counts;
    std::map<std::pair<std::string, std::size_t>, int> last;
    for (const char *account : {"lab", "large", "small"}) {
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            last[{account, i}] = 0;
        }
    }
    for (int i = 1; i <= dispatches; ++i) {
        const FairQueue::Waiter waiter = queue.pop();
        const std::size_t priorityClass = harelink::priorityClass(waiter.priority);
        ++counts.byClass[priorityClass];
        last[{waiter.account, priorityClass}] = i;
        for (const auto &[key, at] : last) {
            counts.longestGap = std::max(counts.longestGap, i - at);
        }
        queue.send(waiter);
    }
    return counts;
}

} // namespace

TEST_GROUP(FairQueue){};

TEST(FairQueue, KeepsTheOrderWhereAllRequestsHaveOnePriority)
{
    for (const int priority : {0, 2, 9}) {
        LONGS_EQUAL(0, countDifferences({priority}));
    }
    // Control: the comparison shows a different order.
    CHECK(countDifferences({0, 2}) > 100);
}

TEST(FairQueue, ABurstOfAnUrgentRouteLeavesOtherRoutesTheirMinimum)
{
    // The burst of the first route, three times its rate, exceeds the capacity on its own.
    const std::vector<Source> sources = {
        {"large", 0, 90, 270}, {"large", 1, 15, 15}, {"large", 2, 15, 15}};
    const std::vector<Served> served = simulate(sources);
    CHECK(served[0].fraction() > 0.5);
    CHECK(served[1].fraction() > 0.9);
    CHECK(served[2].fraction() > 0.9);
    const std::vector<Served> control = simulate(sources, withoutMinimum);
    CHECK(control[1].fraction() < 0.2);
    CHECK(control[2].fraction() < 0.2);
}

TEST(FairQueue, ABurstOfALessUrgentRouteTakesNothingFromUrgentOnes)
{
    std::vector<Source> sources = {
        {"large", 0, 60, 60}, {"large", 1, 60, 60}, {"large", 2, 60, 180}};
    const std::vector<Served> served = simulate(sources);
    CHECK(served[0].fraction() > 0.99);
    CHECK(served[1].fraction() > 0.99);
    CHECK(served[2].fraction() > 0.3);
    // Control: without priorities, all routes lose requests.
    sources[1].priority = 0;
    sources[2].priority = 0;
    CHECK(simulate(sources)[0].fraction() < 0.9);
}

TEST(FairQueue, ASmallAccountIsServedBesideALargeOneWithUrgentRequests)
{
    // Urgent requests of three accounts exceed the capacity. The minimum of class 3 serves a sixth
    // of its requests, most of which are of the large account.
    const std::vector<Source> sources = {{"drivers", 0, 300, 300},
                                         {"lab", 0, 100, 100},
                                         {"large", 0, 100, 100},
                                         {"large", 3, 100, 100},
                                         {"small", 3, 12, 12}};
    const std::vector<Served> served = simulate(sources);
    CHECK(served[4].fraction() > 0.9);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(served[i].fraction() > 0.2);
    }
    const std::vector<Served> control = simulate(sources, withoutMinimum);
    CHECK(control[4].fraction() < 0.1);
}

TEST(FairQueue, NoClassAndNoAccountStarves)
{
    const DispatchCounts counts = dispatchFromFullQueue({}, 10'000);
    for (const int dispatches : counts.byClass) {
        CHECK(dispatches >= 999);
    }
    CHECK(counts.byClass[0] >= 6900);
    CHECK(counts.longestGap <= 100);
    const DispatchCounts control = dispatchFromFullQueue(withoutMinimum, 10'000);
    LONGS_EQUAL(10'000, control.byClass[0]);
}

TEST(FairQueue, RequestsThatAreAddedAgainDoNotUseUpTheMinimum)
{
    // After each request that is sent, the next one finds no free endpoint.
    const auto leastOfAnyClass = [](bool countsAll) {
        FullQueue queue;
        std::array<int, priorityClassCount> sent{};
        for (int i = 0; i < 1000; ++i) {
            const FairQueue::Waiter first = queue.pop();
            ++sent[priorityClass(first.priority)];
            queue.send(first);
            const FairQueue::Waiter second = queue.pop();
            if (countsAll) {
                queue.recordDispatch(second);
            }
            queue.putBack(second);
        }
        return *std::min_element(sent.begin(), sent.end());
    };
    CHECK(leastOfAnyClass(false) >= 99);
    // Control: if these requests are counted as dispatched, a class loses its minimum.
    CHECK(leastOfAnyClass(true) < 50);
}

/// Guards against a class whose requests expired or failed in the queue, and which later goes
/// before urgent requests with what it was owed then.
TEST(FairQueue, AClassWhoseRequestsAllLeftIsOwedNothing)
{
    enum class End { Removed, Sent, Failed, AddedAgain };
    // Returns how many urgent requests go before the next request of a class that was owed one
    // dispatch when its last request left the queue.
    const auto urgentBefore = [](End end) {
        const auto snapshot = makeSnapshot();
        FairQueue queue;
        std::uint64_t sequence = 0;
        const auto push = [&](int priority) {
            FairQueue::Waiter waiter{"large", TimePoint(milliseconds(sequence)), ++sequence,
                                     priority};
            queue.push(waiter);
            return waiter;
        };
        FairQueue::Waiter last = push(3);
        const auto dispatchUrgent = [&] {
            const FairQueue::Waiter urgent = push(0);
            const auto selection = queue.pop(*snapshot, "engines", {}, {});
            if (selection->sequence != urgent.sequence) {
                queue.remove(urgent);
                return false;
            }
            queue.recordDispatch(urgent, selection->guarantee);
            queue.endRound();
            return true;
        };
        for (int i = 0; i < 10; ++i) {
            CHECK(dispatchUrgent());
        }
        if (end == End::Removed) {
            queue.remove(last);
        } else {
            const auto selection = queue.pop(*snapshot, "engines", {}, {});
            LONGS_EQUAL(last.sequence, selection->sequence);
            if (end == End::Sent) {
                queue.recordDispatch(last, selection->guarantee);
            } else if (end == End::AddedAgain) {
                queue.push(last);
            }
            queue.endRound();
        }
        if (end != End::AddedAgain) {
            last = push(3);
        }
        int urgent = 0;
        while (urgent < 100 && dispatchUrgent()) {
            ++urgent;
        }
        return urgent;
    };
    LONGS_EQUAL(10, urgentBefore(End::Removed));
    LONGS_EQUAL(10, urgentBefore(End::Sent));
    LONGS_EQUAL(10, urgentBefore(End::Failed));
    // A request that is polled while the pool is full keeps its turn.
    LONGS_EQUAL(0, urgentBefore(End::AddedAgain));
}

TEST(FairQueue, CountsWaitingRequestsByClass)
{
    FairQueue queue;
    const FairQueue::Waiter urgent{"large", {}, 1, 0};
    const FairQueue::Waiter other{"large", {}, 2, 7};
    queue.push(urgent);
    queue.push(other);
    LONGS_EQUAL(1, queue.sizeByClass()[0]);
    LONGS_EQUAL(1, queue.sizeByClass()[3]);
    queue.remove(urgent);
    LONGS_EQUAL(0, queue.sizeByClass()[0]);
    LONGS_EQUAL(1, queue.size());
}
