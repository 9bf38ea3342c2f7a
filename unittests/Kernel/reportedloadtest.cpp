//===- reportedloadtest.cpp - Tests of the load that endpoints report -----===//

#include "proxiedfixture.h"

#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/reportedload.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

EndpointNotice loadNotice(const EndpointLoadReport &report)
{
    EndpointNotice notice;
    notice.load = report;
    return notice;
}

EndpointLoadReport idle()
{
    return {0, 0, 8, 100};
}

/// Requests without a prompt to engines with a status path that report load.
struct ProbeFixture : ProxiedFixture
{
    explicit ProbeFixture(int engines = 4, const std::string &statusPath = "/status")
        : ProxiedFixture(engines)
    {
        std::vector<Resource> resources = proxiedConfiguration(engines);
        for (Resource &resource : resources) {
            if (auto *pool = std::get_if<PoolSpec>(&resource.spec); pool && pool->engine) {
                pool->statusPath = statusPath;
            }
        }
        snapshot = buildSnapshot(resources, 1, "dc1", nullptr);
    }
    [[nodiscard]] const PoolEntry &pool() const { return *snapshot->pool("engines"); }
    /// Makes a request and answers it; the answer contains \p report unless it is empty.
    void request(const std::optional<EndpointLoadReport> &report)
    {
        arrive("/read/1");
        for (const SendStage &send : std::exchange(sends, {})) {
            answer(send, 200, report ? std::optional(loadNotice(*report)) : std::nullopt);
        }
    }
    void endProbe(const ProbeLoad &probe, bool isAnswered,
                  const std::optional<EndpointLoadReport> &report = std::nullopt)
    {
        recordLoadProbe(*snapshot, {probe.endpoint, isAnswered, report}, clock.now());
    }
};

/// Counts the sends to one of two endpoints that refuses all requests and reports that it is empty,
/// within two seconds of a request each 20 ms. The other endpoint reports that it is half full.
std::size_t sendsToFalseReporter(bool reports)
{
    ProxiedFixture fixture(2);
    std::size_t refused = 0;
    for (int i = 0; i < 100; ++i) {
        for (const EndpointEntry &endpoint : fixture.snapshot->pool("engines")->endpoints) {
            endpoint.load->latencyMicros = 100'000; // Both have answered calls before.
        }
        fixture.arrive("/read/1");
        while (!fixture.sends.empty()) {
            const SendStage send = fixture.sends.front();
            fixture.sends.erase(fixture.sends.begin());
            const bool isFalse = send.endpoint == "engine-0";
            const EndpointLoadReport report = isFalse ? idle() : EndpointLoadReport{4, 0, 8, 100};
            const auto notice = reports ? std::optional(loadNotice(report)) : std::nullopt;
            if (isFalse) {
                ++refused;
                fixture.fail(send, SendEvidence::RefusedBeforeRun, std::nullopt, false, notice);
            } else {
                fixture.answer(send, 200, notice);
            }
        }
        fixture.advance(milliseconds(20));
    }
    LONGS_EQUAL(100, fixture.answers.size());
    return refused;
}

} // namespace

TEST_GROUP(ReportedLoad)
{
    ManualClock clock;
    ReportedLoad load;
};

/// Guards against a report that decides as if it were fresh: the percentage of an endpoint changes
/// many times per second.
TEST(ReportedLoad, TheWeightOfAReportHalvesAndEnds)
{
    using namespace reportedload;
    DOUBLES_EQUAL(1, reportWeight(Duration::zero(), percentHalfLife), 1e-9);
    DOUBLES_EQUAL(0.5, reportWeight(milliseconds(300), percentHalfLife), 1e-9);
    DOUBLES_EQUAL(0.25, reportWeight(milliseconds(600), percentHalfLife), 1e-9);
    DOUBLES_EQUAL(0.5, reportWeight(milliseconds(1000), countHalfLife), 1e-9);
    CHECK(reportWeight(milliseconds(1999), countHalfLife) > 0.25);
    DOUBLES_EQUAL(0, reportWeight(milliseconds(2000), countHalfLife), 1e-9);
    DOUBLES_EQUAL(0, reportWeight(seconds(3600), countHalfLife), 1e-9);
    // Another thread's time may be earlier than that of the report.
    DOUBLES_EQUAL(1, reportWeight(milliseconds(-5), countHalfLife), 1e-9);
}

TEST(ReportedLoad, FiguresFadeToUnknown)
{
    CHECK(load.isStale(clock.now()));
    CHECK(!load.running(clock.now()));
    DOUBLES_EQUAL(1, load.pace(clock.now()), 1e-9);
    DOUBLES_EQUAL(24, load.usableSlots(24, clock.now()), 1e-9);

    load.record({16, 8, 12, 300}, clock.now());
    DOUBLES_EQUAL(16, *load.running(clock.now()), 1e-9);
    DOUBLES_EQUAL(8, *load.waiting(clock.now()), 1e-9);
    DOUBLES_EQUAL(12, load.usableSlots(24, clock.now()), 1e-9);
    DOUBLES_EQUAL(3, load.pace(clock.now()), 1e-9);

    clock.advance(milliseconds(300));
    DOUBLES_EQUAL(2, load.pace(clock.now()), 1e-9);
    clock.advance(milliseconds(700));
    DOUBLES_EQUAL(8, *load.running(clock.now()), 1e-9);
    DOUBLES_EQUAL(4, *load.waiting(clock.now()), 1e-9);
    DOUBLES_EQUAL(18, load.usableSlots(24, clock.now()), 1e-9);

    clock.advance(milliseconds(1000));
    CHECK(load.isStale(clock.now()));
    CHECK(!load.running(clock.now()));
    CHECK(!load.waiting(clock.now()));
    DOUBLES_EQUAL(24, load.usableSlots(24, clock.now()), 1e-9);
    DOUBLES_EQUAL(1, load.pace(clock.now()), 1e-9);
}

/// Guards against an endpoint that gets more calls than it declares, and against divisions by zero.
TEST(ReportedLoad, OnlyFewerSlotsThanDeclaredAreAccepted)
{
    load.record({0, 0, 1'000'000, 100}, clock.now());
    DOUBLES_EQUAL(24, load.usableSlots(24, clock.now()), 1e-9);
    load.record({0, 0, 0, 100}, clock.now());
    DOUBLES_EQUAL(1, load.usableSlots(24, clock.now()), 1e-9);
    load.record({0, 0, std::nullopt, std::nullopt}, clock.now());
    DOUBLES_EQUAL(24, load.usableSlots(24, clock.now()), 1e-9);
    DOUBLES_EQUAL(1, load.usableSlots(0, clock.now()), 1e-9);
}

TEST(ReportedLoad, FiguresAreBounded)
{
    using namespace reportedload;
    constexpr std::uint32_t huge = 0xffffffff;
    load.record({huge, huge, huge, huge}, clock.now());
    DOUBLES_EQUAL(maxCount, *load.running(clock.now()), 1e-9);
    DOUBLES_EQUAL(maxCount, *load.waiting(clock.now()), 1e-9);
    DOUBLES_EQUAL(24, load.usableSlots(24, clock.now()), 1e-9);
    DOUBLES_EQUAL(maxPace, load.pace(clock.now()), 1e-9);
    load.record({0, 0, 24, 1}, clock.now());
    DOUBLES_EQUAL(minPace, load.pace(clock.now()), 1e-9);
}

TEST(ReportedLoad, ARefusalCountsAsAReportThatAllSlotsAreTaken)
{
    load.recordRefusal(24, clock.now());
    CHECK(!load.running(clock.now())); // A pool that reports no load is as before.
    load.record({0, 0, 24, 250}, clock.now());
    load.recordRefusal(24, clock.now());
    DOUBLES_EQUAL(24, *load.running(clock.now()), 1e-9);
    DOUBLES_EQUAL(2.5, load.pace(clock.now()), 1e-9);
    clock.advance(seconds(2));
    CHECK(load.isStale(clock.now()));
}

TEST(ReportedLoad, ReportsSurviveANewConfigurationAndAreSharedWithPartitions)
{
    const std::vector<Resource> resources = proxiedConfiguration(3);
    const auto before = buildSnapshot(resources, 1, "dc1", nullptr);
    const PoolEntry &pool = *before->pool("engines");
    recordLoadReport(pool, *pool.find("engine-1"), {5, 0, 8, 100}, clock.now());
    const auto after = buildSnapshot(resources, 2, "dc1", before.get());
    DOUBLES_EQUAL(5, *reportedRunning(*after->endpoint("engine-1"), clock.now()), 1e-9);
    CHECK(!reportedRunning(*after->endpoint("engine-0"), clock.now()));
    CHECK(after->pool("engines")->loadReports->isReporting(clock.now()));
    CHECK(!after->pool("pieces")->loadReports->isReporting(clock.now()));
    CHECK(!after->pool("engines")->loadReports->isReporting(clock.now() + seconds(60)));
}

/// Guards against the fault that a single report of a busy endpoint kept requests away for good.
TEST(ReportedLoad, RequestsReturnToAnEndpointWhoseReportIsOld)
{
    const auto snapshot = buildSnapshot(proxiedConfiguration(2), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("engines");
    const EndpointEntry &busy = *pool.find("engine-0");
    for (const EndpointEntry &endpoint : pool.endpoints) {
        endpoint.load->latencyMicros = 100'000;
    }
    const auto policy = Registry<RoutingPolicy>::instance().make("power-of-two");
    Random random{1};
    const auto share = [&] {
        int chosen = 0;
        for (int i = 0; i < 100; ++i) {
            chosen += policy->choose({pool, clock.now()}, random) == &busy ? 1 : 0;
        }
        return chosen;
    };
    const int before = share();
    CHECK(before > 80); // The other endpoint is in another data centre.
    busy.load->report.record({8, 8, 8, 100}, clock.now());
    CHECK(share() < 40); // All samples hit the busy one with a probability of a quarter.
    clock.advance(seconds(2));
    CHECK(share() > 80);
}

TEST(ReportedLoad, AnEndpointThatReportsSlowWorkIsAvoidedForAMoment)
{
    const auto snapshot = buildSnapshot(proxiedConfiguration(2), 1, "dc1", nullptr);
    const EndpointEntry &slow = *snapshot->endpoint("engine-0");
    slow.load->latencyMicros = 100'000;
    slow.load->report.record({0, 0, 8, 400}, clock.now());
    CHECK(expectedLatency(slow, clock.now()) == milliseconds(400));
    // The call took 400 ms since the endpoint was slow; its usual time is unchanged.
    recordSuccess(slow, milliseconds(400), clock.now());
    LONGS_EQUAL(100'000, slow.load->latencyMicros.load());
    clock.advance(milliseconds(300));
    CHECK(expectedLatency(slow, clock.now()) == milliseconds(250));
    clock.advance(seconds(2));
    CHECK(expectedLatency(slow, clock.now()) == milliseconds(100));
}

/// Guards against the report at the head of a stream being recorded again at the stream's end, as
/// if it were new.
TEST(ReportedLoad, TheReportOfAStreamCountsFromItsFirstEvent)
{
    ProxiedFixture fixture(1);
    fixture.arrive("/talk/1");
    const SendStage send = fixture.sends.at(0);
    const EndpointNotice notice = loadNotice({6, 0, 8, 100});
    const EndpointEntry &engine = *fixture.snapshot->endpoint("engine-0");
    fixture.event(send, 1, notice);
    DOUBLES_EQUAL(6, *reportedRunning(engine, fixture.clock.now()), 1e-9);
    fixture.clock.advance(milliseconds(1000));
    fixture.event(send, 2, notice);
    DOUBLES_EQUAL(3, *reportedRunning(engine, fixture.clock.now()), 1e-9);
    fixture.clock.advance(milliseconds(500));
    fixture.answer(send, 200, notice);
    CHECK(*reportedRunning(engine, fixture.clock.now()) < 3);
}

/// Guards against an endpoint that attracts requests by reports that it is empty. Its refusals
/// count for more than its reports.
TEST(ReportedLoad, AnEndpointThatClaimsToBeEmptyAndRefusesAttractsFewRequests)
{
    const std::size_t without = sendsToFalseReporter(false);
    const std::size_t with = sendsToFalseReporter(true);
    CHECK(with > 0);
    CHECK(with * 2 <= without);
}

TEST(ReportedLoad, TheBatcherPrefersAnEndpointThatReportsFasterWork)
{
    const auto snapshot = buildSnapshot(pieceConfiguration(2, 4), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("pieces");
    const auto firstCall = [&](std::uint64_t sequence) {
        PieceBatcher batcher(clock);
        batcher.handle("", {"pieces", {pieceOrder(sequence)}}, *snapshot);
        return batcher.drainCalls().at(0).endpoint;
    };
    STRCMP_EQUAL("maker-0", firstCall(1).c_str());
    pool.find("maker-0")->load->report.record({0, 0, 1, 170}, clock.now());
    STRCMP_EQUAL("maker-1", firstCall(2).c_str());
    pool.find("maker-1")->load->report.record({0, 0, 1, 400}, clock.now());
    STRCMP_EQUAL("maker-0", firstCall(3).c_str());
    clock.advance(seconds(2));
    STRCMP_EQUAL("maker-0", firstCall(4).c_str());
}

/// The slowness that the batcher measures contains the pace that the endpoint reported meanwhile;
/// multiplying both would avoid a slow endpoint twice over.
TEST(ReportedLoad, TheBatcherCountsAReportedPaceOnce)
{
    const auto snapshot = buildSnapshot(pieceConfiguration(2, 1), 1, "dc1", nullptr);
    const PoolEntry &pool = *snapshot->pool("pieces");
    PieceBatcher batcher(clock);
    const auto report = [&](std::uint32_t slow, std::uint32_t other) {
        pool.find("maker-0")->load->report.record({1, 0, 1, slow}, clock.now());
        pool.find("maker-1")->load->report.record({1, 0, 1, other}, clock.now());
    };
    // The first endpoint works at 200% and takes twice as long, the other one at 100%.
    std::uint64_t sequence = 0;
    for (int i = 0; i < 12; ++i) {
        report(200, 100);
        batcher.handle("", {"pieces", {pieceOrder(++sequence)}}, *snapshot);
        batcher.handle("", {"pieces", {pieceOrder(++sequence)}}, *snapshot);
        std::map<std::string, PieceCall> calls;
        for (PieceCall &call : batcher.drainCalls()) {
            calls[call.endpoint] = std::move(call);
        }
        const auto end = [&](const std::string &endpoint) {
            const auto call = calls.find(endpoint);
            if (call != calls.end()) {
                PieceCallEnded ended;
                ended.id = call->second.id;
                ended.answered = true;
                ended.results.push_back({"handle", PieceFault::None});
                batcher.handle(ended, *snapshot);
            }
        };
        clock.advance(milliseconds(160));
        report(200, 100);
        end("maker-1");
        clock.advance(milliseconds(160));
        report(200, 100);
        end("maker-0");
        clock.advance(milliseconds(1));
    }
    // At 150% against 200%, the first endpoint is the faster one. Measured slowness multiplied by
    // the reported pace would be 2 x 1.5 against 2.
    report(150, 200);
    batcher.handle("", {"pieces", {pieceOrder(++sequence)}}, *snapshot);
    STRCMP_EQUAL("maker-0", batcher.drainCalls().at(0).endpoint.c_str());
}

TEST_GROUP(LoadProbe){};

TEST(LoadProbe, APoolThatReportsNoLoadIsNotProbed)
{
    ProbeFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.request(std::nullopt);
        fixture.advance(milliseconds(50));
    }
    LONGS_EQUAL(0, fixture.loadProbes.size());
}

TEST(LoadProbe, APoolWithoutAStatusPathIsNotProbed)
{
    ProbeFixture fixture(4, "");
    fixture.request(idle());
    fixture.advance(seconds(3));
    fixture.request(std::nullopt);
    LONGS_EQUAL(0, fixture.loadProbes.size());
}

TEST(LoadProbe, OneCandidateIsProbedOnceAllReportsAreOldAndTheRequestDoesNotWait)
{
    ProbeFixture fixture;
    fixture.request(idle());
    LONGS_EQUAL(0, fixture.loadProbes.size());
    fixture.advance(seconds(3));
    fixture.arrive("/read/1");
    LONGS_EQUAL(1, fixture.sends.size());
    LONGS_EQUAL(1, fixture.loadProbes.size());
    const ProbeLoad &probe = fixture.loadProbes.at(0);
    STRCMP_EQUAL("/status", probe.path.c_str());
    // The answer to the request reports the load of the other candidate.
    CHECK(probe.endpoint != fixture.sends.at(0).endpoint);
    fixture.endProbe(probe, true, EndpointLoadReport{7, 1, 8, 120});
    const EndpointEntry &probed = *fixture.snapshot->endpoint(probe.endpoint);
    DOUBLES_EQUAL(7, *reportedRunning(probed, fixture.clock.now()), 1e-9);
    DOUBLES_EQUAL(8, *reportedActive(probed, fixture.clock.now()), 1e-9);
}

TEST(LoadProbe, FreshReportsAreNotProbed)
{
    ProbeFixture fixture;
    for (int i = 0; i < 50; ++i) {
        for (const EndpointEntry &endpoint : fixture.pool().endpoints) {
            recordLoadReport(fixture.pool(), endpoint, idle(), fixture.clock.now());
        }
        fixture.request(std::nullopt);
        fixture.advance(milliseconds(200));
    }
    LONGS_EQUAL(0, fixture.loadProbes.size());
}

/// Each probe has a cost for the endpoint and the operator.
TEST(LoadProbe, ADaemonSendsAtMostTwoProbesPerSecondAndOneAtATimeToAnEndpoint)
{
    ProbeFixture fixture(40);
    const PoolEntry &pool = fixture.pool();
    recordLoadReport(pool, pool.endpoints.front(), idle(), fixture.clock.now());
    fixture.advance(seconds(3));
    std::deque<TimePoint> sent;
    std::map<std::string, TimePoint> inFlight;
    std::size_t most = 0;
    for (int i = 0; i < 1000; ++i) {
        // Two workers of the daemon share the limit; the second one calls directly.
        fixture.request(std::nullopt);
        const EndpointEntry &other = pool.endpoints[static_cast<std::size_t>(i) % 40];
        if (claimLoadProbe(pool, other, fixture.clock.now())) {
            fixture.loadProbes.push_back({other.spec->name, other.spec->address, "/status"});
        }
        for (const ProbeLoad &probe : std::exchange(fixture.loadProbes, {})) {
            CHECK(!inFlight.contains(probe.endpoint));
            inFlight[probe.endpoint] = fixture.clock.now();
            sent.push_back(fixture.clock.now());
        }
        while (!sent.empty() && fixture.clock.now() - sent.front() >= seconds(1)) {
            sent.pop_front();
        }
        most = std::max(most, sent.size());
        fixture.advance(milliseconds(10));
        std::erase_if(inFlight, [&](const auto &entry) {
            const bool hasEnded = fixture.clock.now() - entry.second >= milliseconds(200);
            if (hasEnded) {
                fixture.endProbe({entry.first, "", ""}, true);
            }
            return hasEnded;
        });
    }
    LONGS_EQUAL(2, most);
}

TEST(LoadProbe, AProbeWithoutAnAnswerChangesNothingButTheNextProbe)
{
    ProbeFixture fixture(2);
    fixture.request(idle());
    fixture.advance(seconds(3));
    fixture.request(std::nullopt);
    const ProbeLoad lost = fixture.loadProbes.at(0);
    const EndpointEntry &endpoint = *fixture.snapshot->endpoint(lost.endpoint);
    fixture.advance(milliseconds(200));
    fixture.endProbe(lost, false);
    CHECK(isEligible(endpoint, fixture.clock.now()));
    LONGS_EQUAL(0, endpoint.load->failures.load());
    CHECK(!reportedRunning(endpoint, fixture.clock.now()));
    // Not probed for two seconds; the other endpoint is.
    std::set<std::string> probed;
    for (int i = 0; i < 18; ++i) {
        fixture.loadProbes.clear();
        fixture.request(std::nullopt);
        for (const ProbeLoad &probe : fixture.loadProbes) {
            probed.insert(probe.endpoint);
            fixture.endProbe(probe, true);
        }
        fixture.advance(milliseconds(100));
    }
    LONGS_EQUAL(1, probed.size());
    CHECK(!probed.contains(lost.endpoint));
}

/// A result that never arrives, for example as the control thread stalled, must not end the probes
/// of an endpoint for good.
TEST(LoadProbe, AnEndpointWhoseProbeNeverEndsIsProbedAgain)
{
    ProbeFixture fixture(1);
    fixture.request(idle());
    fixture.advance(seconds(3));
    fixture.request(std::nullopt);
    LONGS_EQUAL(1, fixture.loadProbes.size());
    fixture.advance(milliseconds(600));
    fixture.request(std::nullopt);
    LONGS_EQUAL(1, fixture.loadProbes.size());
    fixture.advance(milliseconds(600));
    fixture.request(std::nullopt);
    LONGS_EQUAL(2, fixture.loadProbes.size());
}

TEST(LoadProbe, ProbesEndIfThePoolReportsNoLoadAnyMore)
{
    ProbeFixture fixture;
    fixture.request(idle());
    for (int i = 0; i < 700; ++i) {
        fixture.advance(milliseconds(100));
        if (i == 620) {
            fixture.loadProbes.clear();
        }
        fixture.request(std::nullopt);
        for (const ProbeLoad &probe : fixture.loadProbes) {
            fixture.endProbe(probe, true);
        }
    }
    LONGS_EQUAL(0, fixture.loadProbes.size());
}

/// A status check counts against what such endpoints accept.
TEST(LoadProbe, EndpointsWithLimitsAreNotProbed)
{
    ProbeFixture fixture(1);
    const PoolEntry &pool = fixture.pool();
    const EndpointEntry &endpoint = pool.endpoints.front();
    EndpointLoad &load = *endpoint.load;
    recordLoadReport(pool, endpoint, idle(), fixture.clock.now());
    fixture.advance(seconds(3));
    const TimePoint now = fixture.clock.now();
    const std::int64_t later = steadyNanos(now + seconds(1));
    load.coldUntil = later;
    CHECK(!claimLoadProbe(pool, endpoint, now));
    load.coldUntil = 0;
    load.pausedUntil = later;
    CHECK(!claimLoadProbe(pool, endpoint, now));
    load.pausedUntil = 0;
    load.isLimited = true;
    CHECK(!claimLoadProbe(pool, endpoint, now));
    load.isLimited = false;
    load.brittleSlots = 1;
    CHECK(!claimLoadProbe(pool, endpoint, now));
    load.brittleSlots = 0;
    load.leaving = true;
    CHECK(!claimLoadProbe(pool, endpoint, now));
    load.leaving = false;
    load.failures = 3;
    CHECK(!claimLoadProbe(pool, endpoint, now));
    load.failures = 0;
    CHECK(claimLoadProbe(pool, endpoint, now));
    CHECK(!claimLoadProbe(pool, endpoint, now));
}

TEST(LoadProbe, AResultForAnUnknownEndpointIsIgnored)
{
    ProbeFixture fixture;
    recordLoadProbe(*fixture.snapshot, {"gone", true, idle()}, fixture.clock.now());
    CHECK(!fixture.pool().loadReports->isReporting(fixture.clock.now()));
}
