//===- streamversionstest.cpp - Tests of streams and software versions ----===//
///
/// \file
/// Endpoints of several software versions serve in one pool. What two versions write does not fit
/// together, so a stream may be continued only at the version that sent its first event.
///
//===----------------------------------------------------------------------===//

#include "proxiedfixture.h"

#include "harelink/Kernel/coldstart.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

using Versions = std::vector<std::optional<std::string>>;

/// Returns the configuration of proxied requests with one engine for each of \p versions.
std::unique_ptr<const Snapshot> snapshotWith(const Versions &versions)
{
    std::vector<Resource> resources = proxiedConfiguration(static_cast<int>(versions.size()));
    std::size_t engine = 0;
    for (Resource &resource : resources) {
        auto *endpoint = std::get_if<EndpointSpec>(&resource.spec);
        if (endpoint != nullptr && endpoint->pool == "engines") {
            endpoint->softwareVersion = versions[engine++];
        }
    }
    return buildSnapshot(resources, 2, "dc1", nullptr);
}

/// A fixture with engines of several versions.
struct VersionFixture : ProxiedFixture
{
    /// Lets the endpoints report when they started, as those do that may start again under the
    /// identity that they had.
    void reportStarts()
    {
        std::vector<Resource> resources = proxiedConfiguration(endpointCount);
        for (Resource &resource : resources) {
            if (auto *endpoint = std::get_if<EndpointSpec>(&resource.spec)) {
                endpoint->softwareVersion = "v1";
                endpoint->startedAt = WallTime(milliseconds(1000));
            }
        }
        snapshot = buildSnapshot(resources, 3, "dc1", nullptr);
    }
    void setReceivesUpdates(bool receives)
    {
        recordEndpointUpdatesUntil(*snapshot, receives ? TimePoint::max() : TimePoint::min(), {});
    }

    explicit VersionFixture(const Versions &versions, std::uint64_t seed = 1)
        : ProxiedFixture(static_cast<int>(versions.size()), 9, seed)
    {
        snapshot = snapshotWith(versions);
    }
    static constexpr int endpointCount = 3;
    void endEndpoint(const std::string &endpoint, TimePoint ranUntil)
    {
        machine.handle(EndpointEnded{endpoint, ranUntil}, *snapshot);
        collect();
    }
    void breakCall(const SendStage &stage) { fail(stage, SendEvidence::Sent, std::nullopt, true); }
};

constexpr std::uint64_t seeds = 20;

} // namespace

TEST_GROUP(StreamVersions){};

TEST(StreamVersions, BrokenStreamContinuesAtTheVersionThatBeganIt)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VersionFixture fixture({"v1", "v1", "v2", "v2", "v3", "v3"}, seed);
        fixture.arrive("/talk/1");
        fixture.event(fixture.sends[0], 1);
        fixture.breakCall(fixture.sends[0]);
        LONGS_EQUAL(2, fixture.sends.size());
        CHECK(fixture.sends[0].softwareVersion == fixture.sends[1].softwareVersion);
        CHECK(fixture.sends[0].endpoint != fixture.sends[1].endpoint);
    }
}

TEST(StreamVersions, AttemptWithoutAnEventLeavesTheStreamFree)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/talk/1");
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].softwareVersion != fixture.sends[1].softwareVersion);
}

TEST(StreamVersions, StreamEndsAtOnceIfItsVersionTakesNoNewWork)
{
    VersionFixture fixture({"v1", "v2", "v3"});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    markLeaving(*fixture.snapshot, fixture.sends[0].endpoint);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(StreamVersions, CallerMayRetryElsewhereIfTheHostGetsNoUpdatesOfEndpoints)
{
    for (const bool getsUpdates : {true, false}) {
        VersionFixture fixture({"v1", "v2", "v3"});
        fixture.arrive("/talk/1");
        fixture.event(fixture.sends[0], 1);
        markLeaving(*fixture.snapshot, fixture.sends[0].endpoint);
        if (!getsUpdates) {
            recordEndpointUpdatesUntil(*fixture.snapshot, fixture.clock.now(), {});
        }
        fixture.breakCall(fixture.sends[0]);
        CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
        CHECK_EQUAL(getsUpdates, fixture.answers[0].retryAfter == Duration::zero());
    }
}

TEST(StreamVersions, VersionIsThatOfTheEndpointWhenTheCallWasSent)
{
    VersionFixture fixture({"v1", "v1", "v2", "v2"});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    const bool isFirst = fixture.sends[0].softwareVersion == "v1";
    // The endpoints of its version are replaced while the stream runs.
    fixture.snapshot =
        snapshotWith(isFirst ? Versions{"v3", "v3", "v2", "v2"} : Versions{"v1", "v1", "v3", "v3"});
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
}

TEST(StreamVersions, UnknownVersionEqualsNoOther)
{
    VersionFixture fixture({std::nullopt, std::nullopt, std::nullopt});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
}

TEST(StreamVersions, StreamThatWaitsForItsVersionHoldsUpNoOtherRequest)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.snapshot->endpoint(fixture.sends[0].endpoint)->load->concurrencyLimit.store(0);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    LONGS_EQUAL(1, fixture.machine.queued());
    fixture.arrive("/read/1");
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].endpoint != fixture.sends[1].endpoint);
    LONGS_EQUAL(1, fixture.machine.queued());
}

TEST(StreamVersions, OtherRequestsAreRetriedAtAnyVersion)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/read/1");
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(2, fixture.sends.size());
    CHECK(fixture.sends[0].softwareVersion != fixture.sends[1].softwareVersion);
}

// Streams that their callers take up again --------------------------------------

TEST(StreamVersions, StreamThatIsTakenUpGoesToTheVersionThatBeganIt)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        VersionFixture fixture({"v1", "v1", "v2", "v2"}, seed);
        const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
        CHECK(fixture.sends.empty());
        LONGS_EQUAL(1, fixture.lookups.size());
        fixture.locate(id, StreamOrigin{"engines", "v2"});
        LONGS_EQUAL(1, fixture.sends.size());
        CHECK(fixture.sends[0].softwareVersion == "v2");
        // A break before its first event changes nothing.
        fixture.breakCall(fixture.sends[0]);
        LONGS_EQUAL(2, fixture.sends.size());
        CHECK(fixture.sends[1].softwareVersion == "v2");
        fixture.event(fixture.sends[1], 4);
        CHECK(fixture.began.empty());
    }
}

TEST(StreamVersions, StreamIsReportedUnderTheAttemptThatBeganIt)
{
    VersionFixture fixture({"v1", "v2"});
    fixture.arrive("/talk/1");
    CHECK(fixture.began.empty());
    fixture.event(fixture.sends[0], 1);
    fixture.event(fixture.sends[0], 2);
    LONGS_EQUAL(1, fixture.began.size());
    CHECK(fixture.began[0].origin == (StreamOrigin{"engines", fixture.sends[0].softwareVersion}));
    fixture.takeUp("/talk/1", 2, "caller-1");
    CHECK(fixture.began[0].stream == fixture.lookups[0].stream);
    // Neither another account nor another route names the same stream.
    fixture.takeUp("/talk/pieces/1", 2, "caller-1");
    CHECK(fixture.began[0].stream != fixture.lookups[1].stream);
}

TEST(StreamVersions, StreamOfUnknownOriginIsRefusedAtOnce)
{
    VersionFixture fixture({"v1"});
    const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
    fixture.locate(id, std::nullopt);
    CHECK(fixture.sends.empty());
    CHECK(fixture.answers[0].reason == Reason::StreamUnknown);
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    CHECK(fixture.answers[0].retryAfter > Duration::zero());
}

TEST(StreamVersions, StreamWithoutANamedAttemptIsRefusedAtOnce)
{
    VersionFixture fixture({"v1"});
    fixture.takeUp("/talk/1", 3, "");
    CHECK(fixture.lookups.empty());
    CHECK(fixture.answers[0].reason == Reason::StreamUnknown);
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
}

// An endpoint might read what the daemon cannot, and continue a stream of another version.
TEST(StreamVersions, StreamIsRefusedIfItsLastEventCannotBeRead)
{
    for (const char *firstAttempt : {"", "caller-of-another-host"}) {
        VersionFixture fixture({"v1"});
        fixture.takeUpBehindUnreadable("/talk/1", firstAttempt);
        CHECK(fixture.sends.empty());
        LONGS_EQUAL(1, fixture.answers.size());
        CHECK(fixture.answers[0].reason == Reason::StreamUnknown);
        CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    }
    VersionFixture fixture({"v1"});
    fixture.takeUpBehindUnreadable("/read/1", "");
    LONGS_EQUAL(1, fixture.sends.size());
}

TEST(StreamVersions, StreamWhoseVersionIsGoneIsRefusedAtOnce)
{
    VersionFixture fixture({"v2", "v2"});
    const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
    fixture.locate(id, StreamOrigin{"engines", "v1"});
    CHECK(fixture.sends.empty());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
    CHECK(fixture.answers[0].outcome == Outcome::NotRun);
    // The caller can only begin anew, so it shall not wait.
    CHECK(fixture.answers[0].retryAfter == Duration::zero());
}

TEST(StreamVersions, StreamIsNotContinuedInAnotherPoolThanItsOwn)
{
    VersionFixture fixture({"v1", "v1"});
    const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
    fixture.locate(id, StreamOrigin{"former-engines", "v1"});
    CHECK(fixture.sends.empty());
    CHECK(fixture.answers[0].reason == Reason::StreamVersionGone);
}

TEST(StreamVersions, StreamIsNotRefusedForAnObjectiveThatItsFirstEventMet)
{
    VersionFixture fixture({"v1", "v1"});
    // Callers of the route usually wait for 4 s; this one has 1.5 s left.
    for (int i = 0; i < 5; ++i) {
        fixture.arrive("/talk/1", "key-1", {}, 100, milliseconds(4000));
    }
    fixture.sends.clear();
    const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host", milliseconds(1500));
    fixture.locate(id, StreamOrigin{"engines", "v1"});
    LONGS_EQUAL(1, fixture.sends.size());
}

// The caller has the first events and would take the end of this body for the end of the stream.
TEST(StreamVersions, BodyWithoutEventsDoesNotCompleteAStreamThatIsTakenUp)
{
    for (const int status : {200, 204}) {
        VersionFixture fixture({"v1", "v1", "v1"});
        const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
        fixture.locate(id, StreamOrigin{"engines", "v1"});
        fixture.answer(fixture.sends[0], AnswerKind::Body, status);
        LONGS_EQUAL(2, fixture.sends.size());
        fixture.answer(fixture.sends[1], AnswerKind::Body, status);
        CHECK(fixture.answers[0].outcome == Outcome::Unknown);
        CHECK_FALSE(fixture.answers[0].proxied.has_value());
    }
}

TEST(StreamVersions, EndOrErrorOfTheEndpointAnswersAStreamThatIsTakenUp)
{
    for (const AnswerKind kind : {AnswerKind::Stream, AnswerKind::Error}) {
        VersionFixture fixture({"v1", "v1"});
        const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
        fixture.locate(id, StreamOrigin{"engines", "v1"});
        const int status = kind == AnswerKind::Stream ? 200 : 404;
        fixture.answer(fixture.sends[0], kind, status);
        LONGS_EQUAL(status, fixture.answers[0].proxied->status);
    }
}

// An endpoint may have started again under its identity at another version.
TEST(StreamVersions, StreamIsNotContinuedWhereVersionsMayBeOutOfDate)
{
    for (const bool receivesUpdates : {true, false}) {
        VersionFixture fixture({"v1"});
        fixture.reportStarts();
        fixture.setReceivesUpdates(receivesUpdates);
        const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
        fixture.locate(id, StreamOrigin{"engines", "v1"});
        LONGS_EQUAL(receivesUpdates ? 1 : 0, fixture.sends.size());
        if (!receivesUpdates) {
            CHECK(fixture.answers.at(0).reason == Reason::StreamVersionGone);
            CHECK(fixture.answers[0].outcome == Outcome::NotRun);
            CHECK(fixture.answers[0].retryAfter > Duration::zero());
        }
    }
}

TEST(StreamVersions, VersionThatMayBeOutOfDateBindsNoStream)
{
    VersionFixture fixture({"v1"});
    fixture.reportStarts();
    fixture.setReceivesUpdates(false);
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    CHECK(fixture.began.empty());
    fixture.setReceivesUpdates(true);
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::StreamVersionGone);
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

// Events that were forwarded before the update arrived are of the successor's version.
TEST(StreamVersions, StreamThatMayHaveBegunAtTheSuccessorOfItsEndpointIsNotContinued)
{
    VersionFixture fixture({"v1", "v1"});
    fixture.reportStarts();
    const TimePoint knownUntil = fixture.clock.now();
    fixture.advance(milliseconds(10));
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    fixture.endEndpoint(fixture.sends[0].endpoint, knownUntil);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::StreamVersionGone);
    CHECK(fixture.answers[0].outcome == Outcome::Unknown);
}

TEST(StreamVersions, StreamThatBeganBeforeItsEndpointEndedIsContinued)
{
    for (const bool keepsVersion : {true, false}) {
        VersionFixture fixture({"v1", "v1"});
        fixture.reportStarts();
        fixture.arrive("/talk/1");
        fixture.event(fixture.sends[0], 1);
        fixture.advance(milliseconds(10));
        const TimePoint ranUntil = keepsVersion ? TimePoint::max() : fixture.clock.now();
        fixture.endEndpoint(fixture.sends[0].endpoint, ranUntil);
        LONGS_EQUAL(2, fixture.sends.size());
    }
}

TEST(StreamVersions, StreamIsReportedWithItsEndpointIfThatMayStartAgain)
{
    for (const bool mayStartAgain : {true, false}) {
        VersionFixture fixture({"v1", "v1"});
        if (mayStartAgain) {
            fixture.reportStarts();
        }
        const TimePoint sentAt = fixture.clock.now();
        fixture.arrive("/talk/1");
        fixture.advance(milliseconds(10));
        fixture.event(fixture.sends[0], 1);
        CHECK_EQUAL(mayStartAgain ? fixture.sends[0].endpoint : "", fixture.began.at(0).endpoint);
        CHECK(fixture.began[0].sentAt == sentAt);
    }
}

TEST(StreamVersions, EndpointsThatNeverStartAgainKeepTheirVersionWithoutUpdates)
{
    VersionFixture fixture({"v1", "v1"});
    fixture.setReceivesUpdates(false);
    fixture.arrive("/talk/1");
    fixture.event(fixture.sends[0], 1);
    LONGS_EQUAL(1, fixture.began.size());
    fixture.breakCall(fixture.sends[0]);
    LONGS_EQUAL(2, fixture.sends.size());
}

TEST(StreamVersions, CallerThatLeavesDuringTheLookupIsForgotten)
{
    VersionFixture fixture({"v1"});
    const RequestId id = fixture.takeUp("/talk/1", 3, "caller-of-another-host");
    fixture.machine.handle(CallerGone{id}, *fixture.snapshot);
    fixture.locate(id, StreamOrigin{"engines", "v1"});
    CHECK(fixture.sends.empty());
    LONGS_EQUAL(1, fixture.answers.size());
    LONGS_EQUAL(0, fixture.machine.inProgress());
}
