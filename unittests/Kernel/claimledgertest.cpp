//===- claimledgertest.cpp - Tests of the claim ledger --------------------===//

#include "harelink/Kernel/claimledger.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

constexpr Version firstVersion = 1;

/// A ledger whose platform calls are answered by hand.
struct LedgerBench
{
    LedgerBench()
        : ledger(clock, [](Incarnation) { return std::optional<std::string>(std::string()); }, {})
    {
    }

    void claim(std::uint64_t sequence)
    {
        ClaimRequest request;
        request.claimant = {1, sequence};
        request.key = {1, 0};
        request.digest = {2, 2};
        request.timeout = std::chrono::seconds(10);
        ledger.claim(request, {});
    }
    /// The next call that the ledger makes.
    PlatformCall nextCall()
    {
        std::vector<PlatformCall> calls;
        for (int i = 0; calls.empty() && i < 200; ++i) {
            ledger.tick(calls, nextCallId);
            clock.advance(std::chrono::milliseconds(10));
        }
        CHECK_EQUAL(1u, calls.size());
        return calls.at(0);
    }
    void answer(const PlatformCall &call, PlatformOutcome outcome, Version version = 0,
                const std::string &value = {})
    {
        PlatformResult result;
        result.id = call.id;
        result.outcome = outcome;
        result.version = version;
        result.value = value;
        CHECK(ledger.handle(result));
    }

    ManualClock clock;
    ClaimLedger ledger;
    std::uint64_t nextCallId = 1;
};

} // namespace

TEST_GROUP(ClaimLedger)
{
    LedgerBench bench;
};

TEST(ClaimLedger, GrantsOnlyOnceTheUpdateIsWritten)
{
    bench.claim(1);
    bench.answer(bench.nextCall(), PlatformOutcome::NotFound);
    const PlatformCall put = bench.nextCall();
    CHECK(put.operation == PlatformOperation::Put);
    CHECK_EQUAL(0u, put.ifVersion);
    CHECK(bench.ledger.drainReplies().empty());
    bench.answer(put, PlatformOutcome::Ok, firstVersion);
    CHECK(bench.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Granted);
}

TEST(ClaimLedger, AnUnmovedVersionSettlesNothing)
{
    bench.claim(1);
    bench.answer(bench.nextCall(), PlatformOutcome::NotFound);
    bench.answer(bench.nextCall(), PlatformOutcome::Unanswered);
    bench.answer(bench.nextCall(), PlatformOutcome::NotFound);
    // It may yet arrive, so the same is written on the same version again.
    const PlatformCall again = bench.nextCall();
    CHECK(again.operation == PlatformOperation::Put);
    CHECK_EQUAL(0u, again.ifVersion);
    CHECK(bench.ledger.drainReplies().empty());
}

// The claim was handed to the next update, whose refusal then had it refused as
// never written although it stood in the platform.
TEST(ClaimLedger, AClaimThatWasFoundWrittenIsGrantedAtOnce)
{
    bench.claim(1);
    bench.answer(bench.nextCall(), PlatformOutcome::NotFound);
    const PlatformCall put = bench.nextCall();
    bench.answer(put, PlatformOutcome::Unanswered);
    bench.claim(2);
    bench.answer(bench.nextCall(), PlatformOutcome::Ok, firstVersion, put.value);
    const std::vector<ClaimReply> replies = bench.ledger.drainReplies();
    CHECK_EQUAL(1u, replies.size());
    CHECK_EQUAL(1u, replies[0].decision.claimant.sequence);
    CHECK(replies[0].decision.verdict == ClaimVerdict::Granted);
}

TEST(ClaimLedger, OneSilenceIsNoOutage)
{
    bench.claim(1);
    bench.answer(bench.nextCall(), PlatformOutcome::Unanswered);
    CHECK(bench.ledger.drainReplies().empty());
    bench.answer(bench.nextCall(), PlatformOutcome::Refused);
    CHECK(bench.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Unavailable);
    // Known to be out: the next one learns it at once.
    bench.claim(2);
    CHECK(bench.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Unavailable);
}
