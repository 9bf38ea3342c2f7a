//===- endpointpausetest.cpp - Tests of pauses requested by endpoints -----===//

#include "proxiedfixture.h"

#include "harelink/Kernel/piecebatcher.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct PauseFixture : ProxiedFixture
{
    /// The endpoint of \p stage refuses to run it and sends \p notice.
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

EndpointNotice pauseNotice(Duration pause)
{
    EndpointNotice notice;
    notice.pause = pause;
    return notice;
}

} // namespace

TEST_GROUP(EndpointPause){};

TEST(EndpointPause, AnEndpointGetsNoRequestsDuringItsPause)
{
    PauseFixture fixture;
    fixture.arrive("/read/1");
    const std::string endpoint = fixture.sends.at(0).endpoint;
    fixture.refuse(fixture.sends.at(0), pauseNotice(seconds(3)));
    for (int i = 0; i < 29; ++i) {
        fixture.arrive("/read/1");
        fixture.answer(fixture.sends.back());
        fixture.advance(milliseconds(100));
    }
    LONGS_EQUAL(1, fixture.sendsTo(endpoint));
    for (int i = 0; i < 20; ++i) {
        fixture.arrive("/read/1");
        fixture.advance(milliseconds(100));
    }
    CHECK(fixture.sendsTo(endpoint) > 1);
}

TEST(EndpointPause, AnAnswerToAnotherCallDoesNotEndThePause)
{
    PauseFixture fixture;
    for (int i = 0; i < 9; ++i) {
        fixture.arrive("/read/1");
    }
    const std::string endpoint = fixture.sends.at(0).endpoint;
    std::vector<SendStage> sentThere;
    for (const SendStage &send : fixture.sends) {
        if (send.endpoint == endpoint) {
            sentThere.push_back(send);
        }
    }
    CHECK(sentThere.size() >= 2);
    fixture.refuse(sentThere[0], pauseNotice(seconds(3)));
    fixture.answer(sentThere[1]);
    const std::size_t before = fixture.sendsTo(endpoint);
    for (int i = 0; i < 8; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(before, fixture.sendsTo(endpoint));
}

TEST(EndpointPause, RequestsAreRefusedAtOnceIfAllEndpointsArePaused)
{
    PauseFixture fixture;
    for (const char *name : {"engine-0", "engine-1", "engine-2"}) {
        recordPause(*fixture.snapshot->endpoint(name), seconds(30), fixture.clock.now());
    }
    fixture.arrive("/read/1");
    LONGS_EQUAL(0, fixture.sends.size());
    LONGS_EQUAL(1, fixture.answers.size());
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
    CHECK(fixture.answers.at(0).retryAfter <= seconds(1));
}

TEST(EndpointPause, AShorterPauseDoesNotReplaceALongerOne)
{
    PauseFixture fixture;
    const EndpointEntry &entry = *fixture.snapshot->endpoint("engine-0");
    recordPause(entry, seconds(3), fixture.clock.now());
    recordPause(entry, seconds(1), fixture.clock.now());
    CHECK(availableAt(entry, fixture.clock.now()) == fixture.clock.now() + seconds(3));
    CHECK(!claimSendSlot(entry, fixture.clock.now()));
}

TEST(EndpointPause, AnEndpointThatAnnouncesItsDepartureGetsNoNewRequests)
{
    PauseFixture fixture;
    fixture.arrive("/read/1");
    const std::string endpoint = fixture.sends.at(0).endpoint;
    EndpointNotice notice;
    notice.isLeaving = true;
    fixture.refuse(fixture.sends.at(0), notice);
    for (int i = 0; i < 8; ++i) {
        fixture.arrive("/read/1");
    }
    LONGS_EQUAL(1, fixture.sendsTo(endpoint));
}

TEST(EndpointPause, NoPieceCallGoesToAPausedEndpoint)
{
    PauseFixture fixture;
    PieceBatcher batcher(fixture.clock);
    const PoolEntry &pool = *fixture.snapshot->pool("pieces");
    for (const EndpointEntry &entry : pool.endpoints) {
        recordPause(entry, seconds(3), fixture.clock.now());
    }
    const auto order = [](std::uint64_t sequence, Duration untilDeadline) {
        PieceOrder order;
        order.id.request = {1, sequence};
        order.untilObjective = untilDeadline;
        order.untilDeadline = untilDeadline;
        return PieceOrders{"pieces", {order}};
    };
    batcher.handle("", order(1, seconds(2)), *fixture.snapshot);
    const std::vector<OutgoingPieceOutcomes> outcomes = batcher.drainOutcomes(*fixture.snapshot);
    LONGS_EQUAL(1, outcomes.size()); // It would miss its deadline, which is reported at once.
    CHECK(outcomes[0].outcomes.outcomes.at(0).fault == PieceFault::Late);
    batcher.handle("", order(2, seconds(10)), *fixture.snapshot);
    LONGS_EQUAL(0, batcher.drainCalls().size());
    fixture.clock.advance(milliseconds(3001));
    batcher.tick(*fixture.snapshot);
    LONGS_EQUAL(1, batcher.drainCalls().size());
}
