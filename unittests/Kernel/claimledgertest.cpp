//===- claimledgertest.cpp - Tests of the claim ledger --------------------===//

#include "harelink/Kernel/claimledger.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

constexpr Version firstVersion = 1;

/// A ledger whose platform calls are answered by the test.
struct LedgerFixture
{
    LedgerFixture()
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
    /// Returns the next platform call of the ledger.
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
    LedgerFixture fixture;
};

TEST(ClaimLedger, GrantsOnlyAfterTheUpdateIsWritten)
{
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    const PlatformCall put = fixture.nextCall();
    CHECK(put.operation == PlatformOperation::Put);
    CHECK_EQUAL(0u, put.ifVersion.revision);
    CHECK(fixture.ledger.drainReplies().empty());
    fixture.answer(put, PlatformOutcome::Ok, firstVersion);
    CHECK(fixture.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Granted);
}

TEST(ClaimLedger, RewritesAnUpdateInDoubtIfTheVersionIsUnchanged)
{
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    fixture.answer(fixture.nextCall(), PlatformOutcome::Unanswered);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    // The first update may still arrive, so it is written over the same version again.
    const PlatformCall secondPut = fixture.nextCall();
    CHECK(secondPut.operation == PlatformOperation::Put);
    CHECK_EQUAL(0u, secondPut.ifVersion.revision);
    CHECK(fixture.ledger.drainReplies().empty());
}

// Guards against adding a claim that is already committed in the platform to the next
// update: if that update was refused, the claim was rejected as never written.
TEST(ClaimLedger, GrantsAClaimFoundInTheRecordsAtOnce)
{
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    const PlatformCall put = fixture.nextCall();
    fixture.answer(put, PlatformOutcome::Unanswered);
    fixture.claim(2);
    fixture.answer(fixture.nextCall(), PlatformOutcome::Ok, firstVersion, put.value);
    const std::vector<ClaimReply> replies = fixture.ledger.drainReplies();
    CHECK_EQUAL(1u, replies.size());
    CHECK_EQUAL(1u, replies[0].decision.claimant.sequence);
    CHECK(replies[0].decision.verdict == ClaimVerdict::Granted);
}

TEST(ClaimLedger, OneUnansweredCallIsNoOutage)
{
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::Unanswered);
    CHECK(fixture.ledger.drainReplies().empty());
    fixture.answer(fixture.nextCall(), PlatformOutcome::Refused);
    CHECK(fixture.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Unavailable);
    // The platform is considered unreachable: the next claim is rejected at once.
    fixture.claim(2);
    CHECK(fixture.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Unavailable);
}

TEST(ClaimLedger, WritesALostClaimAgainAndGrantsNoOtherBefore)
{
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    fixture.answer(fixture.nextCall(), PlatformOutcome::Ok, firstVersion);
    CHECK(fixture.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Granted);
    fixture.ledger.handleStoreReturn();
    fixture.claim(2);
    CHECK(fixture.ledger.drainReplies().at(0).decision.verdict == ClaimVerdict::Unavailable);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    const PlatformCall put = fixture.nextCall();
    const std::optional<ClaimRecords> records = decodeRecords(put.value);
    LONGS_EQUAL(1, records->begin()->second.claimant.sequence);
    fixture.answer(put, PlatformOutcome::Ok, firstVersion);
    fixture.clock.advance(std::chrono::seconds(5));
    fixture.claim(2);
    std::vector<PlatformCall> calls;
    fixture.ledger.tick(calls, fixture.nextCallId);
    CHECK(fixture.ledger.drainReplies().empty());
}

TEST(ClaimLedger, DoesNotGrantByAnUpdateThatWasSentBeforeTheStoreReturned)
{
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::NotFound);
    const PlatformCall put = fixture.nextCall();
    fixture.ledger.handleStoreReturn();
    fixture.answer(put, PlatformOutcome::Ok, firstVersion);
    CHECK(fixture.ledger.drainReplies().empty());
}

TEST(ClaimLedger, AnUpdateInDoubtIsNotResolvedByTheSameRevisionOfALaterEra)
{
    const std::string empty = encodeRecords({});
    fixture.claim(1);
    fixture.answer(fixture.nextCall(), PlatformOutcome::Ok, Version(1, 1), empty);
    fixture.answer(fixture.nextCall(), PlatformOutcome::Unanswered);
    fixture.ledger.handleStoreReturn();
    fixture.answer(fixture.nextCall(), PlatformOutcome::Ok, Version(2, 1), empty);
    const PlatformCall repeated = fixture.nextCall();
    CHECK(repeated.operation == PlatformOperation::Put);
    LONGS_EQUAL(1, repeated.ifVersion.revision);
}
