//===- quarantinetest.cpp - Tests of request quarantine -------------------===//

#include "controlfixture.h"
#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

/// Quarantines requests with \p digest for \p duration from now on.
void quarantine(ProxiedFixture &fixture, const Hash128 &digest, milliseconds duration)
{
    std::vector<Resource> resources = proxiedConfiguration();
    QuarantineSpec spec;
    spec.digest = digest;
    spec.until = fixture.clock.wallNow() + duration;
    resources.push_back(makeResource(spec));
    fixture.snapshot = buildSnapshot(resources, 2, "dc1", fixture.snapshot.get());
}

/// Returns the digest of a call of a request that arrives with \p path.
Hash128 digestOfCall(const std::string &path)
{
    ProxiedFixture fixture;
    fixture.arrive(path);
    fixture.fail(fixture.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    return fixture.broken.at(0).broken.digest;
}

struct ControlFixture
{
    ControlFixture()
        : machine(clock, controlOptions())
    {
        for (const Incarnation host : {2, 3, 4}) {
            machine.handle(heartbeatOf(host));
        }
        const ConfigPush push(
            {{"Pool", "engines", 1, false,
              R"({"kind": "Pool", "name": "engines", "spec": {"protocol": "plain-service"}})"},
             {"Endpoint", "e1", 2, false,
              R"({"kind": "Endpoint", "name": "e1",
                 "spec": {"pool": "engines", "address": "10.0.0.1:80", "dataCentre": "dc1"}})"}});
        machine.handle(PeerMessage{"h2", 2, push});
        (void)machine.drainOutput();
    }
    /// Answers the probe of a broken call with a refused connection and returns the crash reports
    /// that the daemon then sends.
    std::vector<PeerSend> crashReportsAfterProbe()
    {
        const ControlOutput probeOutput = machine.drainOutput();
        LONGS_EQUAL(1, probeOutput.probes.size());
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

TEST(Quarantine, RejectsARetryUnderAnotherIdBeforeAnySend)
{
    ProxiedFixture fixture;
    quarantine(fixture, digestOfCall("/say/1"), std::chrono::hours(1));
    fixture.arrive("/say/1");
    LONGS_EQUAL(0, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::Quarantined);
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
    CHECK(fixture.answers.at(0).retryAfter == std::chrono::hours(1));
}

TEST(Quarantine, DoesNotAffectOtherRequests)
{
    ProxiedFixture fixture;
    quarantine(fixture, digestOfCall("/say/1"), std::chrono::hours(1));
    fixture.arrive("/say/2");
    fixture.arrive("/say/1", "key-none");
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::UnknownAccount);
}

TEST(Quarantine, RunsTheRequestAgainAfterExpiry)
{
    ProxiedFixture fixture;
    quarantine(fixture, digestOfCall("/say/1"), milliseconds(500));
    fixture.clock.advance(milliseconds(600));
    fixture.arrive("/say/1");
    LONGS_EQUAL(1, fixture.sends.size());
}

TEST(Quarantine, RejectsAQueuedRequestBeforeItsSend)
{
    ProxiedFixture fixture(0);
    // No endpoint is available, so the request is queued.
    fixture.snapshot = buildSnapshot(proxiedConfiguration(1), 1, "dc1", nullptr);
    for (const auto &endpoint : fixture.snapshot->pool("engines")->endpoints) {
        endpoint.load->concurrencyLimit.store(0);
    }
    fixture.arrive("/record/1");
    LONGS_EQUAL(0, fixture.sends.size());
    quarantine(fixture, digestOfCall("/record/1"), std::chrono::hours(1));
    fixture.advance(milliseconds(10));
    LONGS_EQUAL(0, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::Quarantined);
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
}

TEST(Quarantine, DoesNotRetryAndReportsAnUnknownOutcome)
{
    ProxiedFixture fixture;
    fixture.arrive("/read/1");
    quarantine(fixture, digestOfCall("/read/1"), std::chrono::hours(1));
    fixture.fail(fixture.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    LONGS_EQUAL(1, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::Quarantined);
    CHECK(fixture.answers.at(0).outcome == Outcome::Unknown);
}

TEST(Quarantine, AbandonsAndFreesThePiecesOfTheRequest)
{
    ProxiedFixture fixture;
    fixture.arrive("/brief/1", "key-1", {1, 1});
    const PieceId first = fixture.orders.at(0).orders.at(0).id;
    quarantine(fixture, fixture.orders.at(0).orders.at(0).digest, std::chrono::hours(1));
    fixture.pieceEnded(first, "made");
    CHECK(fixture.answers.at(0).reason == Reason::Quarantined);
    LONGS_EQUAL(1, fixture.frees.size());
    LONGS_EQUAL(1, fixture.orders.size());
}

TEST(Quarantine, ReportsTheSuccessfulCompletionOfASuspect)
{
    ProxiedFixture fixture;
    fixture.machine.handle(RequestSuspected{digestOfCall("/say/1")}, *fixture.snapshot);
    fixture.arrive("/say/2");
    fixture.answer(fixture.sends.at(0));
    LONGS_EQUAL(0, fixture.cleared.size());
    fixture.arrive("/say/1");
    fixture.answer(fixture.sends.at(1));
    LONGS_EQUAL(1, fixture.cleared.size());
    // Reported only once: a later crash would be reported anew.
    fixture.arrive("/say/1");
    fixture.answer(fixture.sends.at(2));
    LONGS_EQUAL(1, fixture.cleared.size());
}

TEST(Quarantine, ReportsACrashToAtMostTwoHosts)
{
    ControlFixture fixture;
    BrokenCall call;
    call.digest = hash128("guilty");
    call.pool = "engines";
    call.endpoint = "e1";
    call.sentAt = fixture.clock.now();
    fixture.clock.advance(milliseconds(70));
    call.brokeAt = fixture.clock.now();
    fixture.machine.handle(call);
    fixture.clock.advance(milliseconds(2));
    const std::vector<PeerSend> reports = fixture.crashReportsAfterProbe();
    CHECK(!reports.empty());
    CHECK(reports.size() <= 2);
    const auto &content = std::get<CrashReports>(reports.at(0).message.content);
    CHECK(content.reports.at(0).sentAgo == milliseconds(72));
    CHECK(content.reports.at(0).brokeAgo == milliseconds(2));
}

TEST(Quarantine, ReportsEachRequestOfAPieceCallOnceAndToItsHost)
{
    ControlFixture fixture;
    PieceCall call;
    call.endpoint = "e1";
    call.stats.pool = "engines";
    for (std::uint32_t i = 0; i < 4; ++i) {
        PieceOrder order;
        order.id = {{i < 2 ? 3U : 1U, 1}, 0, i};
        order.digest = hash128(i < 2 ? "of h3" : "own");
        call.orders.push_back(order);
    }
    fixture.machine.handleBrokenPieceCall(call, fixture.clock.now());
    std::size_t reportsOfHost3 = 0;
    bool isReportedToHost3 = false;
    for (const PeerSend &send : fixture.crashReportsAfterProbe()) {
        const auto &content = std::get<CrashReports>(send.message.content);
        for (const CrashReport &report : content.reports) {
            reportsOfHost3 += report.digest == hash128("of h3") ? 1 : 0;
            isReportedToHost3 = isReportedToHost3 || send.host == "h3";
        }
    }
    CHECK_TRUE(isReportedToHost3);
    CHECK(reportsOfHost3 >= 1);
    CHECK(reportsOfHost3 <= 3);
}

TEST(Quarantine, QuarantinesARequestAtTheThirdReport)
{
    ControlFixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.clock.advance(milliseconds(400));
        CrashReports message;
        message.reports.push_back({hash128("guilty"), "engines", "e" + std::to_string(i + 1),
                                   milliseconds(100), milliseconds(3)});
        fixture.machine.handle(PeerMessage{"h3", 3, message});
        fixture.machine.tick();
        const ControlOutput output = fixture.machine.drainOutput();
        LONGS_EQUAL(i == 2 ? 1 : 0, output.quarantines.size());
        LONGS_EQUAL(i == 2, output.configChanged);
    }
    // In force on this host although the platform has not answered.
    const auto snapshot = buildSnapshot(fixture.machine.resources(), 1, "dc1", nullptr);
    CHECK(snapshot->quarantineLeft(hash128("guilty"), fixture.clock.wallNow())
          > milliseconds::zero());
}

TEST(Quarantine, RequestsWithACrashingPromptPartAreSent)
{
    ProxiedFixture fixture;
    std::shared_ptr<ProxiedRequest> crashing = fixture.makeRequest("/say/1", "key-1");
    crashing->prompt = {{"shared", 10}, {"crashing", 10}, {"own-1", 10}};
    quarantine(fixture, promptPartDigests(*crashing).at(1), std::chrono::hours(1));
    fixture.handleArrival(crashing, std::nullopt);
    LONGS_EQUAL(0, fixture.sends.size());
    CHECK(fixture.answers.at(0).reason == Reason::Quarantined);
    CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
    // The last part is the request's own and is never shared.
    std::shared_ptr<ProxiedRequest> sound = fixture.makeRequest("/say/1", "key-1");
    sound->prompt = {{"shared", 10}, {"document", 10}, {"crashing", 10}};
    fixture.handleArrival(sound, std::nullopt);
    LONGS_EQUAL(1, fixture.sends.size());
}

TEST(Quarantine, ReportsNoPromptPartsOnceTheEndpointHasAnswered)
{
    ProxiedFixture fixture;
    fixture.arrive("/say/1", "key-1", {}, 2000);
    fixture.fail(fixture.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    LONGS_EQUAL(1, fixture.broken.at(0).broken.promptParts.size());
    fixture.arrive("/say/2", "key-1", {}, 2000);
    fixture.event(fixture.sends.at(1), 1);
    fixture.fail(fixture.sends.at(1), SendEvidence::Sent, std::nullopt, true);
    LONGS_EQUAL(0, fixture.broken.at(1).broken.promptParts.size());
}

TEST(Quarantine, CompletionsClearSuspectedPromptParts)
{
    ProxiedFixture fixture;
    ProxiedRequest request;
    request.prompt = {{"shared", 1}, {"own", 1}};
    const RequestSuspected shared{promptPartDigests(request).at(0), true};
    fixture.machine.handle(shared, *fixture.snapshot);
    fixture.arrive("/say/1", "key-1", {}, 2000);
    fixture.answer(fixture.sends.at(0));
    LONGS_EQUAL(1, fixture.cleared.size());
    CHECK(fixture.cleared.at(0).digest == shared.digest);
    // A recent completion clears a later suspicion, an old one does not.
    fixture.machine.handle(shared, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(2, fixture.cleared.size());
    fixture.advance(std::chrono::seconds(11));
    fixture.machine.handle(shared, *fixture.snapshot);
    fixture.collect();
    LONGS_EQUAL(2, fixture.cleared.size());
}

TEST(Quarantine, ReportsPromptPartsToAllHosts)
{
    ControlFixture fixture;
    BrokenCall call;
    call.digest = hash128("unlike any other");
    call.pool = "engines";
    call.endpoint = "e1";
    call.sentAt = call.brokeAt = fixture.clock.now();
    call.promptParts = {hash128("part")};
    fixture.machine.handle(call);
    std::size_t hosts = 0;
    for (const PeerSend &send : fixture.crashReportsAfterProbe()) {
        for (const CrashReport &report : std::get<CrashReports>(send.message.content).reports) {
            hosts += report.isPromptPart && report.digest == hash128("part") ? 1 : 0;
        }
    }
    LONGS_EQUAL(3, hosts);
}

TEST(Quarantine, TwoHostsDecideOnAPromptPartAtItsFourthCrash)
{
    constexpr int parts = 20;
    int decisions = 0;
    for (int part = 0; part < parts; ++part) {
        ControlFixture fixture;
        for (int i = 0; i < 4; ++i) {
            fixture.clock.advance(milliseconds(400));
            CrashReports message;
            message.reports.push_back({hash128(std::to_string(part)), "engines",
                                       "e" + std::to_string(i + 1), milliseconds(100),
                                       milliseconds(3), true});
            fixture.machine.handle(PeerMessage{"h3", 3, message});
            fixture.machine.tick();
            const std::size_t decided = fixture.machine.drainOutput().quarantines.size();
            CHECK(i == 3 || decided == 0);
            decisions += static_cast<int>(decided);
        }
    }
    // This host is one of four.
    CHECK(decisions > 0);
    CHECK(decisions < parts);
}
