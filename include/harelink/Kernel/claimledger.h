//===- harelink/Kernel/claimledger.h - Claim ledger -------------*- C++ -*-===//
///
/// \file
/// Commits claims by conditional updates of bucket objects in the platform.
///
/// Safety depends only on the conditional update: whichever daemon writes a
/// bucket, its preferred owner or another, a claim is committed only when a
/// version that contains it replaces the version on which it was decided. Many
/// operations are batched in one update, with at most one update in flight per
/// bucket.
///
/// Operations are idempotent, since each record contains its claimant. If the
/// response to an update is lost, the ledger reads the bucket again. If its
/// version has changed, the outcome is final: the records of the update are in
/// the bucket or never will be. If the version is unchanged, the update may
/// still arrive, so the ledger writes over that version again until it changes.
///
/// When the store returns from an older copy, it has lost the last updates. Each
/// ledger then writes the records again that it knows, and grants no claims for a
/// period in which all ledgers have done so.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMLEDGER_H
#define HARELINK_KERNEL_CLAIMLEDGER_H

#include "harelink/Kernel/claimbucket.h"
#include "harelink/Kernel/claims.h"
#include "harelink/Kernel/guards.h"
#include "harelink/Kernel/platform.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace harelink {

/// Timing of a claim ledger.
struct ClaimLedgerOptions
{
    /// Minimum interval between the starts of two updates of one bucket. The
    /// first claim on an idle bucket is written immediately.
    std::chrono::milliseconds updateInterval{40};
    /// How long a key is retained.
    std::chrono::milliseconds retention{86'400'000};
};

/// A decision and the host whose claim it answers; an empty host is this host.
struct ClaimReply
{
    std::string host;
    ClaimDecision decision;
};

/// Confirms that the outcome of a claimant is written; an empty host is this host.
struct FinishReply
{
    std::string host;
    RequestId claimant;
};

/// Counters of a claim ledger.
struct ClaimLedgerCounters
{
    std::uint64_t reads = 0;
    std::uint64_t updates = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unansweredUpdates = 0;
    std::uint64_t granted = 0;
    std::uint64_t operations = 0;
};

/// The claim ledger of one daemon.
template <GuardPolicy G>
class BasicClaimLedger
{
public:
    /// Returns the live host that runs as an incarnation, empty for this host;
    /// std::nullopt if no such host is known to be live. A wrong result may keep
    /// a caller waiting in vain but never breaks the at-most-once guarantee.
    using HostLookup = std::function<std::optional<std::string>(Incarnation)>;

    /// \param clock must outlive the ledger.
    BasicClaimLedger(const Clock &clock, HostLookup hostLookup, ClaimLedgerOptions options);

    /// Handles a claim of \p host; empty for this host.
    void claim(const ClaimRequest &request, const std::string &host);
    /// Handles the outcome of a claimant of \p host; empty for this host.
    void finish(const ClaimFinish &finish, const std::string &host);
    /// Sets whether this host is the preferred owner of \p bucket. An owner reads
    /// its bucket periodically and resends grants to their claimants, so that a
    /// claimant whose grant was lost releases the claim.
    void setOwned(std::size_t bucket, bool owned) { m_buckets[bucket].owned = owned; }
    /// Handles that the store has returned from an older copy.
    void handleStoreReturn();
    /// Appends the platform calls that are due to \p calls.
    void tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    /// Handles the result of a call; returns false if this ledger did not make it.
    bool handle(const PlatformResult &result);
    /// Return the decisions and written outcomes since the last call.
    [[nodiscard]] std::vector<ClaimReply> drainReplies();
    [[nodiscard]] std::vector<FinishReply> drainFinished();
    /// Returns when tick() is due next.
    [[nodiscard]] TimePoint nextTick() const;
    /// Returns true if no operation is pending or part of an update in progress.
    [[nodiscard]] bool idle() const;
    [[nodiscard]] const ClaimLedgerCounters &counters() const { return m_counters; }

private:
    /// A claim or an outcome that waits to be written.
    struct Operation
    {
        std::variant<ClaimRequest, ClaimFinish> payload;
        std::string host;
        TimePoint expiresAt;       ///< Of a claim: when the client timeout of its claimant ends.
        bool maybeWritten = false; ///< It was part of an update whose response was lost.
    };
    /// Result of applying an operation to the records.
    struct ApplyResult
    {
        std::optional<ClaimVerdict> verdict; ///< Of a claim; std::nullopt while it must wait.
        std::string answer;
    };
    struct Bucket
    {
        bool loaded = false;
        Version version = 0;
        ClaimRecords records;
        std::deque<Operation> pending;
        std::vector<Operation> waiting; ///< Claims on keys held by a live claimant.
        std::uint64_t callId = 0;       ///< 0 while no call is in progress.
        bool isWrite = false;
        std::vector<Operation> batch; ///< Operations of the update in progress.
        std::vector<ApplyResult> results;
        ClaimRecords proposed;
        /// Records from before the store returned from an older copy, until they are written again.
        ClaimRecords lostRecords;
        bool isCallStale = false;   ///< The call in progress was made before then.
        bool updateInDoubt = false; ///< An update of this version may still arrive.
        int failures = 0;           ///< Consecutive calls without a usable response.
        bool platformDown = false;  ///< The platform is considered unreachable.
        TimePoint notBefore;
        Duration backOff{};
        TimePoint lastRead;
        bool owned = false;
        TimePoint lastGrantResend;
    };

    void processBucket(std::size_t index, std::vector<PlatformCall> &calls,
                       std::uint64_t &nextCallId);
    void startRead(Bucket &bucket, std::size_t index, std::vector<PlatformCall> &calls,
                   std::uint64_t &nextCallId);
    void startWrite(Bucket &bucket, std::size_t index, std::vector<PlatformCall> &calls,
                    std::uint64_t &nextCallId);
    void handleRead(Bucket &bucket, const PlatformResult &result);
    void handleWrite(Bucket &bucket, const PlatformResult &result);
    void commit(Bucket &bucket, Version version);
    void resolveUpdate(Bucket &bucket);
    void deliverResults(Bucket &bucket);
    void requeueBatch(Bucket &bucket, bool maybeWritten);
    void backOff(Bucket &bucket, PlatformOutcome outcome);
    void rejectPending(Bucket &bucket);
    void recheckWaiting(Bucket &bucket);
    void resendGrants(Bucket &bucket);
    [[nodiscard]] bool isLive(Incarnation incarnation) const;
    void dropExpired(ClaimRecords &records) const;
    [[nodiscard]] bool isSettling() const { return m_clock.now() < m_settledAt; }
    [[nodiscard]] bool mustWait(const Operation &operation) const;
    [[nodiscard]] bool mustWrite(const Bucket &bucket) const;
    void takeBatch(Bucket &bucket);
    ApplyResult apply(const ClaimRequest &request, ClaimRecords &records) const;
    ApplyResult apply(const ClaimFinish &finish, ClaimRecords &records) const;
    void applyRelease(const ClaimFinish &finish, ClaimRecords &records) const;
    void reply(const ClaimRequest &request, const std::string &host, ClaimVerdict verdict,
               const std::string &answer);

    const Clock &m_clock;
    HostLookup m_hostLookup;
    ClaimLedgerOptions m_options;
    std::array<Bucket, claimBucketCount> m_buckets;
    std::vector<ClaimReply> m_replies;
    std::vector<FinishReply> m_finished;
    ClaimLedgerCounters m_counters;
    TimePoint m_settledAt = TimePoint::min(); ///< No claim is granted before.
};

/// The claim ledger with all guards enabled, as used in production.
using ClaimLedger = BasicClaimLedger<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMLEDGER_H
