//===- quarantinepublishertest.cpp - Tests of declared quarantines --------===//

#include "harelink/Kernel/quarantinepublisher.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr const char *kind = "Quarantine";

struct PublisherFixture
{
    PublisherFixture() { clock.advance(hours(1000)); } // So that times in the past are valid.

    std::vector<PlatformCall> tick()
    {
        std::vector<PlatformCall> calls;
        publisher.tick(table.entries(), 0, calls, nextCallId);
        return calls;
    }
    std::vector<PlatformCall> tickAfter(Duration time)
    {
        clock.advance(time);
        return tick();
    }
    void completeCall(const PlatformCall &call, PlatformOutcome outcome)
    {
        PlatformResult result;
        result.id = call.id;
        result.outcome = outcome;
        CHECK_TRUE(publisher.handle(result));
    }
    /// Applies an object of the platform to the local table.
    void applyObject(const std::string &name, const std::string &value, bool deleted = false)
    {
        (void)table.apply({kind, name, ++version, deleted, value});
    }
    void applyQuarantine(const std::string &text, Duration age)
    {
        QuarantineSpec spec;
        spec.digest = hash128(text);
        spec.pool = "engines";
        spec.since = clock.wallNow() - std::chrono::duration_cast<milliseconds>(age);
        spec.until = spec.since + hours(24);
        applyObject(toHex(spec.digest), quarantineDocument(spec).dump());
    }

    ManualClock clock;
    ConfigTable table;
    QuarantinePublisher publisher{clock, kind, hours(24)};
    std::uint64_t nextCallId = 1;
    std::uint64_t version = 0;
    Hash128 digest = hash128("guilty");
};

} // namespace

TEST_GROUP(QuarantinePublisher){};

TEST(QuarantinePublisher, DeclaresADecisionOnceAndDropsItWhenVisible)
{
    PublisherFixture fixture;
    fixture.publisher.add(fixture.digest, "engines", {"e1", "e2", "e3"});
    LONGS_EQUAL(1, fixture.publisher.unpublished().size());
    const std::vector<PlatformCall> calls = fixture.tick();
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, calls.at(0).ifVersion.revision);
    LONGS_EQUAL(0, fixture.tickAfter(milliseconds(1000)).size());
    fixture.completeCall(calls.at(0), PlatformOutcome::Ok);
    fixture.applyObject(calls.at(0).name, calls.at(0).value);
    LONGS_EQUAL(0, fixture.tickAfter(milliseconds(10)).size());
    LONGS_EQUAL(0, fixture.publisher.unpublished().size());
    LONGS_EQUAL(0, fixture.tickAfter(milliseconds(60'000)).size());
    const auto spec = std::get<QuarantineSpec>(fixture.table.resources().resources.at(0).spec);
    CHECK(spec.digest == fixture.digest);
    LONGS_EQUAL(3, spec.endpoints.size());
}

TEST(QuarantinePublisher, RetriesWithBackOffWhileThePlatformIsUnreachable)
{
    PublisherFixture fixture;
    fixture.publisher.add(fixture.digest, "engines", {"e1"});
    int calls = 0;
    for (int i = 0; i < 200; ++i) {
        for (const PlatformCall &call : fixture.tickAfter(milliseconds(50))) {
            ++calls;
            fixture.completeCall(call, PlatformOutcome::Unanswered);
        }
    }
    CHECK(calls >= 5);
    CHECK(calls <= 10);
    LONGS_EQUAL(1, fixture.publisher.unpublished().size());
}

TEST(QuarantinePublisher, WaitsForAQuarantineDeclaredByAnotherDaemon)
{
    PublisherFixture fixture;
    fixture.publisher.add(fixture.digest, "engines", {"e1"});
    fixture.completeCall(fixture.tick().at(0), PlatformOutcome::Conflict);
    LONGS_EQUAL(0, fixture.tickAfter(milliseconds(1000)).size());
    fixture.applyObject(toHex(fixture.digest),
                        quarantineDocument({fixture.digest,
                                            "engines",
                                            {},
                                            fixture.clock.wallNow(),
                                            fixture.clock.wallNow() + hours(24)})
                            .dump());
    LONGS_EQUAL(0, fixture.tickAfter(milliseconds(60'000)).size());
}

TEST(QuarantinePublisher, ReplacesAnExpiredQuarantineAndRemovesOthers)
{
    PublisherFixture fixture;
    fixture.applyQuarantine("guilty", hours(25));
    fixture.applyQuarantine("another", hours(30));
    fixture.applyQuarantine("young", hours(1));
    fixture.publisher.add(fixture.digest, "engines", {"e1"});
    const std::vector<PlatformCall> calls = fixture.tick();
    LONGS_EQUAL(2, calls.size());
    CHECK(calls.at(0).operation == PlatformOperation::Delete);
    STRCMP_EQUAL(toHex(hash128("another")).c_str(), calls.at(0).name.c_str());
    CHECK(calls.at(1).operation == PlatformOperation::Put);
    LONGS_EQUAL(1, calls.at(1).ifVersion.revision);
}

TEST(QuarantinePublisher, RemovesTheOldestBeyondTheLimit)
{
    PublisherFixture fixture;
    for (int i = 0; i < 1010; ++i) {
        fixture.applyQuarantine(fmt::format("{}", i), std::chrono::minutes(1010 - i));
    }
    fixture.publisher.add(fixture.digest, "engines", {"e1"});
    const std::vector<PlatformCall> calls = fixture.tick();
    LONGS_EQUAL(5, calls.size());
    STRCMP_EQUAL(toHex(hash128("0")).c_str(), calls.at(0).name.c_str());
}

TEST(QuarantinePublisher, DeclaresAgainAfterAnOperatorDeletedAQuarantine)
{
    PublisherFixture fixture;
    fixture.applyQuarantine("guilty", hours(1));
    fixture.applyObject(toHex(fixture.digest), "", true);
    fixture.publisher.add(fixture.digest, "engines", {"e1"});
    const std::vector<PlatformCall> calls = fixture.tick();
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, calls.at(0).ifVersion.revision);
}
