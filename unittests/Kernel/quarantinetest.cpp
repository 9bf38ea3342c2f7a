//===- quarantinetest.cpp - Tests of requests that are not run ------------===//

#include "controlfixture.h"
#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

/// Puts requests with \p digest under quarantine for \p length from now on.
void quarantine(ProxiedFixture &bench, const Hash128 &digest, milliseconds length)
{
    std::vector<Resource> resources = proxiedConfiguration();
    QuarantineSpec spec;
    spec.digest = digest;
    spec.until = bench.clock.wallNow() + length;
    resources.push_back(makeResource(spec));
    bench.snapshot = buildSnapshot(resources, 2, "dc1", bench.snapshot.get());
}

/// The digest of what bench.arrive(\p path) brings.
Hash128 digestAt(const std::string &path)
{
    ProxiedFixture bench;
    bench.arrive(path);
    bench.fail(bench.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    return bench.broken.at(0).broken.digest;
}

struct ControlBench
{
    ControlBench()
        : machine(clock, controlOptions())
    {
        for (const Incarnation host : {2, 3, 4}) {
            machine.handle(heartbeatOf(host));
        }
        ConfigPush push;
        push.objects.push_back({"Pool", "engines", 1, false,
                                R"({"kind": "Pool", "name": "engines",
                                    "spec": {"protocol": "plain-service"}})"});
        push.objects.push_back({"Endpoint", "e1", 2, false,
                                R"({"kind": "Endpoint", "name": "e1",
                 "spec": {"pool": "engines", "address": "10.0.0.1:80", "dataCentre": "dc1"}})"});
        machine.handle(PeerMessage{"h2", 2, push});
        (void)machine.drainOutput();
    }
    /// The reports that a broken call brings once nobody listens at its endpoint.
    std::vector<PeerSend> reportsOfEnd()
    {
        const ControlOutput asked = machine.drainOutput();
        LONGS_EQUAL(1, asked.probes.size());
        machine.handle(EndpointProbeResult{"e1", ProbeOutcome::Refused});
        std::vector<PeerSend> reports;
        const ControlOutput output = machine.drainOutput();
        for (const PeerSend &send : output.sends) {
            if (std::holds_alternative<CrashReports>(send.message.content)) {
                reports.push_back(send);
            }
        }
        return reports;
    }

    ManualClock clock;
    ControlMachine machine;
};

} // namespace

TEST_GROUP(Quarantine){};

TEST(Quarantine, ACopyUnderAnotherIdIsRefusedBeforeAnythingIsSpent)
{
    ProxiedFixture bench;
    quarantine(bench, digestAt("/say/1"), std::chrono::hours(1));
    bench.arrive("/say/1");
    LONGS_EQUAL(0, bench.sends.size());
    CHECK(bench.answers.at(0).reason == Reason::Quarantined);
    CHECK(bench.answers.at(0).outcome == Outcome::NotRun);
    CHECK(bench.answers.at(0).retryAfter == std::chrono::hours(1));
}

TEST(Quarantine, OthersAreServedAsEver)
{
    ProxiedFixture bench;
    quarantine(bench, digestAt("/say/1"), std::chrono::hours(1));
    bench.arrive("/say/2");
    bench.arrive("/say/1", "key-none");
    LONGS_EQUAL(1, bench.sends.size());
    CHECK(bench.answers.at(0).reason == Reason::UnknownAccount);
}

TEST(Quarantine, WhenItHasRunOutTheRequestIsRunAgain)
{
    ProxiedFixture bench;
    quarantine(bench, digestAt("/say/1"), milliseconds(500));
    bench.clock.advance(milliseconds(600));
    bench.arrive("/say/1");
    LONGS_EQUAL(1, bench.sends.size());
}

TEST(Quarantine, ACopyThatWaitsIsRefusedBeforeItsSend)
{
    ProxiedFixture bench(0);
    // No endpoint is left: it waits to be sent.
    bench.snapshot = buildSnapshot(proxiedConfiguration(1), 1, "dc1", nullptr);
    for (const auto &endpoint : bench.snapshot->pool("engines")->endpoints) {
        endpoint.load->limit.store(0);
    }
    bench.arrive("/record/1");
    LONGS_EQUAL(0, bench.sends.size());
    quarantine(bench, digestAt("/record/1"), std::chrono::hours(1));
    bench.advance(milliseconds(10));
    LONGS_EQUAL(0, bench.sends.size());
    CHECK(bench.answers.at(0).reason == Reason::Quarantined);
    CHECK(bench.answers.at(0).outcome == Outcome::NotRun);
}

TEST(Quarantine, ARetryIsNotSentAndNotCalledUnrun)
{
    ProxiedFixture bench;
    bench.arrive("/read/1");
    quarantine(bench, digestAt("/read/1"), std::chrono::hours(1));
    bench.fail(bench.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    LONGS_EQUAL(1, bench.sends.size());
    CHECK(bench.answers.at(0).reason == Reason::Quarantined);
    CHECK(bench.answers.at(0).outcome == Outcome::Unknown);
}

TEST(Quarantine, PiecesOfSuchARequestAreGivenUpAndFreed)
{
    ProxiedFixture bench;
    bench.arrive("/brief/1", "key-1", {1, 1});
    const PieceId first = bench.orders.at(0).orders.at(0).id;
    quarantine(bench, bench.orders.at(0).orders.at(0).digest, std::chrono::hours(1));
    bench.pieceEnded(first, "made");
    CHECK(bench.answers.at(0).reason == Reason::Quarantined);
    LONGS_EQUAL(1, bench.frees.size());
    LONGS_EQUAL(1, bench.orders.size());
}

TEST(Quarantine, AGoodEndOfASuspectIsTold)
{
    ProxiedFixture bench;
    bench.machine.handle(RequestSuspected{digestAt("/say/1")}, *bench.snapshot);
    bench.arrive("/say/2");
    bench.answer(bench.sends.at(0));
    LONGS_EQUAL(0, bench.cleared.size());
    bench.arrive("/say/1");
    bench.answer(bench.sends.at(1));
    LONGS_EQUAL(1, bench.cleared.size());
    // Once: the next end under it would be told anew.
    bench.arrive("/say/1");
    bench.answer(bench.sends.at(2));
    LONGS_EQUAL(1, bench.cleared.size());
}

TEST(Quarantine, AnEndIsToldToTwoHostsAtTheMost)
{
    ControlBench bench;
    BrokenCall call;
    call.digest = hash128("guilty");
    call.pool = "engines";
    call.endpoint = "e1";
    call.sentAt = bench.clock.now();
    bench.clock.advance(milliseconds(70));
    call.brokeAt = bench.clock.now();
    bench.machine.handle(call);
    bench.clock.advance(milliseconds(2));
    const std::vector<PeerSend> reports = bench.reportsOfEnd();
    CHECK(!reports.empty());
    CHECK(reports.size() <= 2);
    const auto &content = std::get<CrashReports>(reports.at(0).message.content);
    CHECK(content.reports.at(0).sentAgo == milliseconds(72));
    CHECK(content.reports.at(0).brokeAgo == milliseconds(2));
}

TEST(Quarantine, ACallOfPiecesAccusesEachRequestInItOnceAndTellsWhereItIs)
{
    ControlBench bench;
    PieceCall call;
    call.endpoint = "e1";
    call.stats.pool = "engines";
    for (std::uint32_t i = 0; i < 4; ++i) {
        PieceOrder order;
        order.id = {{i < 2 ? 3U : 1U, 1}, 0, i};
        order.digest = hash128(i < 2 ? "of h3" : "own");
        call.orders.push_back(order);
    }
    bench.machine.handleBrokenPieceCall(call, bench.clock.now());
    std::size_t ofHost3 = 0;
    bool isTold = false;
    for (const PeerSend &send : bench.reportsOfEnd()) {
        const auto &content = std::get<CrashReports>(send.message.content);
        for (const CrashReport &report : content.reports) {
            ofHost3 += report.digest == hash128("of h3") ? 1 : 0;
            isTold = isTold || send.host == "h3";
        }
    }
    CHECK_TRUE(isTold);
    CHECK(ofHost3 >= 1);
    CHECK(ofHost3 <= 3);
}

TEST(Quarantine, TheThirdReportPutsARequestUnderQuarantineAtOnce)
{
    ControlBench bench;
    for (int i = 0; i < 3; ++i) {
        bench.clock.advance(milliseconds(400));
        CrashReports message;
        message.reports.push_back({hash128("guilty"), "engines", "e" + std::to_string(i + 1),
                                   milliseconds(100), milliseconds(3)});
        bench.machine.handle(PeerMessage{"h3", 3, message});
        bench.machine.tick();
        const ControlOutput output = bench.machine.drainOutput();
        LONGS_EQUAL(i == 2 ? 1 : 0, output.quarantines.size());
        LONGS_EQUAL(i == 2, output.configChanged);
    }
    // In force here though the platform has not answered.
    const auto snapshot = buildSnapshot(bench.machine.resources(), 1, "dc1", nullptr);
    CHECK(snapshot->quarantineLeft(hash128("guilty"), bench.clock.wallNow())
          > milliseconds::zero());
}
