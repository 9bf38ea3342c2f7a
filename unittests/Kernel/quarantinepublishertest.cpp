//===- quarantinepublishertest.cpp - Tests of declared quarantines -------------===//

#include "harelink/Kernel/quarantinepublisher.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr const char *kind = "Quarantine";

struct BookBench
{
    BookBench() { clock.advance(hours(1000)); } // Room for what is long ago.

    std::vector<PlatformCall> tick()
    {
        std::vector<PlatformCall> calls;
        book.tick(table.entries(), calls, nextCallId);
        return calls;
    }
    std::vector<PlatformCall> tickAfter(Duration time)
    {
        clock.advance(time);
        return tick();
    }
    void end(const PlatformCall &call, PlatformOutcome outcome)
    {
        PlatformResult result;
        result.id = call.id;
        result.outcome = outcome;
        CHECK_TRUE(book.handle(result));
    }
    /// What stands in the platform is seen here.
    void see(const std::string &name, const std::string &value, bool deleted = false)
    {
        (void)table.apply({kind, name, ++version, deleted, value});
    }
    void seeOld(const std::string &text, Duration age)
    {
        QuarantineSpec spec;
        spec.digest = hash128(text);
        spec.pool = "engines";
        spec.since = clock.wallNow() - std::chrono::duration_cast<milliseconds>(age);
        spec.until = spec.since + hours(24);
        see(toHex(spec.digest), quarantineDocument(spec).dump());
    }

    ManualClock clock;
    ConfigTable table;
    QuarantinePublisher book{clock, kind, hours(24)};
    std::uint64_t nextCallId = 1;
    Version version = 0;
    Hash128 digest = hash128("guilty");
};

} // namespace

TEST_GROUP(QuarantinePublisher){};

TEST(QuarantinePublisher, ADecisionIsDeclaredOnceAndForgottenWhenItIsSeen)
{
    BookBench bench;
    bench.book.add(bench.digest, "engines", {"e1", "e2", "e3"});
    LONGS_EQUAL(1, bench.book.unpublished().size());
    const std::vector<PlatformCall> calls = bench.tick();
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, calls.at(0).ifVersion);
    LONGS_EQUAL(0, bench.tickAfter(milliseconds(1000)).size());
    bench.end(calls.at(0), PlatformOutcome::Ok);
    bench.see(calls.at(0).name, calls.at(0).value);
    LONGS_EQUAL(0, bench.tickAfter(milliseconds(10)).size());
    LONGS_EQUAL(0, bench.book.unpublished().size());
    LONGS_EQUAL(0, bench.tickAfter(milliseconds(60'000)).size());
    const auto spec = std::get<QuarantineSpec>(bench.table.resources().at(0).spec);
    CHECK(spec.digest == bench.digest);
    LONGS_EQUAL(3, spec.endpoints.size());
}

TEST(QuarantinePublisher, WhileThePlatformIsAwayItIsTriedAgainAtGrowingIntervals)
{
    BookBench bench;
    bench.book.add(bench.digest, "engines", {"e1"});
    int calls = 0;
    for (int i = 0; i < 200; ++i) {
        for (const PlatformCall &call : bench.tickAfter(milliseconds(50))) {
            ++calls;
            bench.end(call, PlatformOutcome::Unanswered);
        }
    }
    CHECK(calls >= 5);
    CHECK(calls <= 10);
    LONGS_EQUAL(1, bench.book.unpublished().size());
}

TEST(QuarantinePublisher, WhatAnotherDeclaredAMomentAgoIsWaitedFor)
{
    BookBench bench;
    bench.book.add(bench.digest, "engines", {"e1"});
    bench.end(bench.tick().at(0), PlatformOutcome::Conflict);
    LONGS_EQUAL(0, bench.tickAfter(milliseconds(1000)).size());
    bench.see(
        toHex(bench.digest),
        quarantineDocument(
            {bench.digest, "engines", {}, bench.clock.wallNow(), bench.clock.wallNow() + hours(24)})
            .dump());
    LONGS_EQUAL(0, bench.tickAfter(milliseconds(60'000)).size());
}

TEST(QuarantinePublisher, OneThatHasRunOutIsReplacedAndOthersAreRemoved)
{
    BookBench bench;
    bench.seeOld("guilty", hours(25));
    bench.seeOld("another", hours(30));
    bench.seeOld("young", hours(1));
    bench.book.add(bench.digest, "engines", {"e1"});
    const std::vector<PlatformCall> calls = bench.tick();
    LONGS_EQUAL(2, calls.size());
    CHECK(calls.at(0).operation == PlatformOperation::Delete);
    STRCMP_EQUAL(toHex(hash128("another")).c_str(), calls.at(0).name.c_str());
    CHECK(calls.at(1).operation == PlatformOperation::Put);
    LONGS_EQUAL(1, calls.at(1).ifVersion);
}

TEST(QuarantinePublisher, TheOldestGoWhereTheyWouldBeTooMany)
{
    BookBench bench;
    for (int i = 0; i < 1010; ++i) {
        bench.seeOld(fmt::format("{}", i), std::chrono::minutes(1010 - i));
    }
    bench.book.add(bench.digest, "engines", {"e1"});
    const std::vector<PlatformCall> calls = bench.tick();
    LONGS_EQUAL(5, calls.size());
    STRCMP_EQUAL(toHex(hash128("0")).c_str(), calls.at(0).name.c_str());
}

TEST(QuarantinePublisher, OneThatAnOperatorLiftedMayBeDecidedAgain)
{
    BookBench bench;
    bench.seeOld("guilty", hours(1));
    bench.see(toHex(bench.digest), "", true);
    bench.book.add(bench.digest, "engines", {"e1"});
    const std::vector<PlatformCall> calls = bench.tick();
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, calls.at(0).ifVersion);
}
