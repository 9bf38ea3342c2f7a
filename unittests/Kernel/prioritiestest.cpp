//===- prioritiestest.cpp - Tests of priorities of requests ---------------===//
///
/// \file
/// Guards against priorities of routes and accounts that are lost on the way to the queue of a
/// pool, to the batcher and to late admission.
///
//===----------------------------------------------------------------------===//

#include "proxiedfixture.h"

#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/recentrefusals.h"
#include "harelink/Kernel/requestmachineimpl.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

/// Priorities of routes and accounts.
struct Priorities
{
    std::map<std::string, int> routes;
    std::optional<int> account; ///< Of the account with the keys "key-1" and "key-2".
};

/// Returns the proxied configuration with one engine and \p priorities.
std::unique_ptr<const Snapshot> makeSnapshot(const Priorities &priorities)
{
    std::vector<Resource> resources = proxiedConfiguration(1);
    for (Resource &resource : resources) {
        if (auto *pipeline = std::get_if<PipelineSpec>(&resource.spec);
            pipeline != nullptr && priorities.routes.contains(pipeline->name)) {
            pipeline->route->priority = priorities.routes.at(pipeline->name);
        }
        if (auto *account = std::get_if<ClientAccountSpec>(&resource.spec)) {
            account->priority = priorities.account;
        }
    }
    return buildSnapshot(resources, 1, "dc1", nullptr);
}

struct WithoutPriorities : AllGuards
{
    static constexpr bool ordersByPriority = false;
};

struct WithoutMinimum : AllGuards
{
    static constexpr bool guaranteesMinimum = false;
};

/// A request machine with guards \p G and a single engine.
template <GuardPolicy G>
struct QueueFixture
{
    explicit QueueFixture(const Priorities &priorities)
        : snapshot(makeSnapshot(priorities))
        , machine(clock, Registry<RoutingPolicy>::instance().make("prompt-home"), 1, {})
    {
    }
    RequestId arrive(const std::string &path)
    {
        auto proxied = std::make_shared<ProxiedRequest>();
        proxied->method = "POST";
        proxied->target = path;
        proxied->host = "api.example";
        proxied->path = path;
        proxied->apiKey = "key-1";
        RequestArrived event;
        event.id = {9, ++lastSequence};
        event.proxied = std::move(proxied);
        const RequestId id = event.id;
        machine.handle(std::move(event), *snapshot);
        collect();
        return id;
    }
    /// Queues \p says requests of the route "say" at the engine, and then \p reads of "read".
    void fillQueue(std::size_t says, std::size_t reads)
    {
        while (machine.queued() < says) {
            arrive("/say/1");
        }
        filled = sends.size();
        for (std::size_t i = 0; i < reads; ++i) {
            readIds.insert(arrive("/read/1"));
        }
    }
    /// Answers calls until all requests are sent; returns those sent from the queue, in order.
    std::vector<RequestId> serveQueue()
    {
        for (std::size_t i = 0; i < sends.size(); ++i) {
            StageAnswered event;
            event.call = sends[i].call;
            event.echoed = sends[i].call;
            event.proxied = ProxiedAnswer{200, {}, "body", AnswerFraming::Length};
            machine.handle(std::move(event), *snapshot);
            collect();
        }
        std::vector<RequestId> order;
        for (std::size_t i = filled; i < sends.size(); ++i) {
            order.push_back(sends[i].call.request);
        }
        return order;
    }
    void collect()
    {
        const std::vector<SendStage> more = only<SendStage>(machine.drainActions());
        sends.insert(sends.end(), more.begin(), more.end());
    }

    ManualClock clock;
    std::unique_ptr<const Snapshot> snapshot;
    BasicRequestMachine<G> machine;
    std::uint64_t lastSequence = 0;
    std::vector<SendStage> sends;
    std::size_t filled = 0; ///< Number of requests sent before the engine was full.
    std::set<RequestId> readIds;
};

/// Queues eleven requests of the route "say" and then ten of "read"; returns the position of the
/// first "read" request in the order in which they are sent.
template <GuardPolicy G = AllGuards>
std::ptrdiff_t positionOfFirstRead(const Priorities &priorities)
{
    QueueFixture<G> fixture(priorities);
    fixture.fillQueue(11, 10);
    const std::vector<RequestId> order = fixture.serveQueue();
    LONGS_EQUAL(21, order.size());
    const auto first = std::find_if(order.begin(), order.end(), [&fixture](const RequestId &id) {
        return fixture.readIds.contains(id);
    });
    return first - order.begin();
}

/// Queues a less urgent request of the route "say" and then 30 of "read"; returns the position of
/// the former in the order in which they are sent.
template <GuardPolicy G>
std::ptrdiff_t positionOfTheOnlySay()
{
    QueueFixture<G> fixture({{{"say", 2}, {"read", 0}}, std::nullopt});
    fixture.fillQueue(1, 30);
    LONGS_EQUAL(30, fixture.machine.queuedByClass()[0]);
    LONGS_EQUAL(1, fixture.machine.queuedByClass()[2]);
    const std::vector<RequestId> order = fixture.serveQueue();
    LONGS_EQUAL(31, order.size());
    LONGS_EQUAL(G::guaranteesMinimum ? 1 : 0, fixture.machine.counters().dispatchesByMinimum);
    const auto say = std::find_if(order.begin(), order.end(), [&fixture](const RequestId &id) {
        return !fixture.readIds.contains(id);
    });
    return say - order.begin();
}

/// Returns whether a request of /talk/pieces/ with \p priority is admitted late, \p after the
/// refusal of a request of /brief/ with priority 1.
bool isAdmittedLateAfterRefusal(int priority, Duration after)
{
    ProxiedFixture fixture;
    fixture.snapshot = makeSnapshot({{{"brief", 1}, {"talk-pieces", priority}}, std::nullopt});
    PieceLoad &load = *fixture.snapshot->pool("pieces")->pieceLoad;
    load.slownessPercent = 800;
    load.waiting[0] = 40; // No idle slots.
    fixture.arrive("/brief/1", "key-1", {1, 0});
    LONGS_EQUAL(1, fixture.answers.size());
    load.waiting[0] = 0;
    fixture.clock.advance(after);
    fixture.arrive("/talk/pieces/1", "key-1", {1});
    return fixture.answers.size() == 1;
}

} // namespace

TEST_GROUP(Priorities){};

TEST(Priorities, AMoreUrgentRouteGoesFirstAtAPool)
{
    const Priorities priorities{{{"say", 2}, {"read", 0}}, std::nullopt};
    LONGS_EQUAL(0, positionOfFirstRead(priorities));
    // Controls: without the guard, and with one priority, the order is by due time.
    LONGS_EQUAL(11, positionOfFirstRead<WithoutPriorities>(priorities));
    LONGS_EQUAL(11, positionOfFirstRead({}));
}

TEST(Priorities, ThePriorityOfAnAccountReplacesThatOfRoutes)
{
    LONGS_EQUAL(11, positionOfFirstRead({{{"say", 2}, {"read", 0}}, 1}));
}

TEST(Priorities, ALessUrgentRequestIsSentByTheMinimumOfItsClass)
{
    CHECK(positionOfTheOnlySay<AllGuards>() <= 10);
    // Control: without the minimum, it is the last one.
    LONGS_EQUAL(30, positionOfTheOnlySay<WithoutMinimum>());
}

TEST(Priorities, NoClassIsAdmittedLateWhileAMoreUrgentOneIsRefused)
{
    CHECK_FALSE(isAdmittedLateAfterRefusal(2, milliseconds(100)));
    CHECK_FALSE(isAdmittedLateAfterRefusal(2, milliseconds(900)));
    CHECK(isAdmittedLateAfterRefusal(2, milliseconds(1000)));
    // Control: classes that are as urgent, or more, are not affected.
    CHECK(isAdmittedLateAfterRefusal(1, milliseconds(100)));
    CHECK(isAdmittedLateAfterRefusal(0, milliseconds(100)));
}

TEST(Priorities, RefusalsAreRememberedByClass)
{
    const TimePoint start = TimePoint() + milliseconds(5);
    RecentRefusals refusals;
    CHECK_FALSE(refusals.hasMoreUrgent(9, start));
    refusals.record(1, start);
    CHECK_FALSE(refusals.hasMoreUrgent(0, start));
    CHECK_FALSE(refusals.hasMoreUrgent(1, start));
    CHECK(refusals.hasMoreUrgent(2, start + milliseconds(999)));
    CHECK(refusals.hasMoreUrgent(9, start + milliseconds(999)));
    CHECK_FALSE(refusals.hasMoreUrgent(2, start + milliseconds(1000)));
}

TEST(Priorities, OrdersOfPiecesNameTheAccount)
{
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {1, 0});
    STRCMP_EQUAL("drivers", fixture.orders.at(0).orders.at(0).account.c_str());
}

TEST(Priorities, AnAccountNameThatIsTooLongIsDroppedAndItsPieceIsKept)
{
    PieceOrders orders{"pieces", {pieceOrder(1), pieceOrder(2)}};
    orders.orders[0].account = std::string(maxAccountLength + 1, 'x');
    orders.orders[1].account = std::string(maxAccountLength, 'x');
    dropInvalidAccounts(orders);
    LONGS_EQUAL(2, orders.orders.size());
    LONGS_EQUAL(0, orders.orders[0].account.size());
    LONGS_EQUAL(maxAccountLength, orders.orders[1].account.size());
}

TEST(Priorities, TheBatcherSendsLessUrgentPiecesByTheirMinimum)
{
    // While the only endpoint is busy, 40 pieces of class 0 and then one of class 2 arrive.
    ManualClock clock;
    const auto snapshot = buildSnapshot(pieceConfiguration(1, 4), 1, "dc1", nullptr);
    PieceBatcher batcher(clock);
    std::uint64_t sequence = 0;
    const auto submit = [&](int priority) {
        batcher.handle("", {"pieces", {pieceOrder(++sequence, 0, priority)}}, *snapshot);
    };
    submit(0);
    for (int i = 0; i < 40; ++i) {
        submit(0);
    }
    submit(2);
    LONGS_EQUAL(1, batcher.waitingByClass()[2]);
    std::size_t before = 0; // Pieces sent before that of class 2.
    std::uint64_t sent = 0;
    while (batcher.waitingByClass()[2] > 0) {
        before = batcher.pieceCount();
        for (const PieceCall &call : batcher.drainCalls()) {
            PieceCallEnded ended;
            ended.id = call.id;
            ended.answered = true;
            ended.results.resize(call.orders.size());
            batcher.handle(ended, *snapshot);
        }
        clock.advance(milliseconds(20));
        batcher.tick(*snapshot);
        CHECK(++sent < 1000);
    }
    CHECK(before < 20);
    LONGS_EQUAL(1, batcher.piecesByMinimum());
}
