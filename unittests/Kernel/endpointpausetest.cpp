//===- endpointpausetest.cpp - Tests of pauses that endpoints ask for -----===//

#include "proxiedfixture.h"

#include "harelink/Kernel/piecebatcher.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct PauseBench : ProxiedFixture
{
    /// The endpoint of \p stage does not run it, and says so with \p notice.
    void refuse(const SendStage &stage, const EndpointNotice &notice)
    {
        StageFailed event;
        event.call = stage.call;
        event.evidence = SendEvidence::RefusedBeforeRun;
        event.status = absl::UnavailableError("test");
        event.notice = notice;
        machine.handle(event, *snapshot);
        collect();
    }
    [[nodiscard]] std::size_t sendsTo(const std::string &endpoint) const
    {
        return static_cast<std::size_t>(
            std::count_if(sends.begin(), sends.end(), [&endpoint](const SendStage &send) {
                return send.endpoint == endpoint;
            }));
    }
};

EndpointNotice pauseOf(Duration pause)
{
    EndpointNotice notice;
    notice.pause = pause;
    return notice;
}

} // namespace

TEST_GROUP(EndpointPause){};

TEST(EndpointPause, AnEndpointThatAskedForAPauseGetsNothingUntilItsEnd)
{
    PauseBench bench;
    bench.arrive("/read/1");
    const std::string endpoint = bench.sends.at(0).endpoint;
    bench.refuse(bench.sends.at(0), pauseOf(seconds(3)));
    for (int i = 0; i < 29; ++i) {
        bench.arrive("/read/1");
        bench.answer(bench.sends.back());
        bench.advance(milliseconds(100));
    }
    LONGS_EQUAL(1, bench.sendsTo(endpoint));
    for (int i = 0; i < 20; ++i) {
        bench.arrive("/read/1");
        bench.advance(milliseconds(100));
    }
    CHECK(bench.sendsTo(endpoint) > 1);
}

TEST(EndpointPause, AnAnswerToAnotherCallDoesNotEndAPause)
{
    PauseBench bench;
    for (int i = 0; i < 9; ++i) {
        bench.arrive("/read/1");
    }
    const std::string endpoint = bench.sends.at(0).endpoint;
    std::vector<SendStage> there;
    for (const SendStage &send : bench.sends) {
        if (send.endpoint == endpoint) {
            there.push_back(send);
        }
    }
    CHECK(there.size() >= 2);
    bench.refuse(there[0], pauseOf(seconds(3)));
    bench.answer(there[1]);
    const std::size_t before = bench.sendsTo(endpoint);
    for (int i = 0; i < 8; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(before, bench.sendsTo(endpoint));
}

TEST(EndpointPause, WhereAllEndpointsAskedForAPauseRequestsAreRefusedAtOnce)
{
    PauseBench bench;
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        recordPause(*bench.snapshot->endpoint(name), seconds(30), bench.clock.now());
    }
    bench.arrive("/read/1");
    LONGS_EQUAL(0, bench.sends.size());
    LONGS_EQUAL(1, bench.answers.size());
    CHECK(bench.answers.at(0).outcome == Outcome::NotRun);
    CHECK(bench.answers.at(0).retryAfter <= seconds(1));
}

TEST(EndpointPause, AShorterPauseDoesNotEndALongerOne)
{
    PauseBench bench;
    const EndpointEntry &entry = *bench.snapshot->endpoint("engine-0");
    recordPause(entry, seconds(3), bench.clock.now());
    recordPause(entry, seconds(1), bench.clock.now());
    CHECK(availableAt(entry, bench.clock.now()) == bench.clock.now() + seconds(3));
    CHECK(!claimSendSlot(entry, bench.clock.now()));
}

TEST(EndpointPause, AnEndpointThatAnnouncesItsDepartureGetsNothingNew)
{
    PauseBench bench;
    bench.arrive("/read/1");
    const std::string endpoint = bench.sends.at(0).endpoint;
    EndpointNotice notice;
    notice.isLeaving = true;
    bench.refuse(bench.sends.at(0), notice);
    for (int i = 0; i < 8; ++i) {
        bench.arrive("/read/1");
    }
    LONGS_EQUAL(1, bench.sendsTo(endpoint));
}

TEST(EndpointPause, NoCallOfPiecesGoesToAnEndpointThatAskedForAPause)
{
    PauseBench bench;
    PieceBatcher batcher(bench.clock);
    const PoolEntry &pool = *bench.snapshot->pool("pieces");
    for (const EndpointEntry &entry : pool.endpoints) {
        recordPause(entry, seconds(3), bench.clock.now());
    }
    const auto order = [](std::uint64_t sequence, Duration untilDeadline) {
        PieceOrder order;
        order.id.request = {1, sequence};
        order.untilObjective = untilDeadline;
        order.untilDeadline = untilDeadline;
        return PieceOrders{"pieces", {order}};
    };
    batcher.handle("", order(1, seconds(2)), *bench.snapshot);
    const std::vector<OutgoingPieceOutcomes> outcomes = batcher.drainOutcomes(*bench.snapshot);
    LONGS_EQUAL(1, outcomes.size()); // It would be late, and is told so at once.
    CHECK(outcomes[0].outcomes.outcomes.at(0).fault == PieceFault::Late);
    batcher.handle("", order(2, seconds(10)), *bench.snapshot);
    LONGS_EQUAL(0, batcher.drainCalls().size());
    bench.clock.advance(milliseconds(3001));
    batcher.tick(*bench.snapshot);
    LONGS_EQUAL(1, batcher.drainCalls().size());
}
