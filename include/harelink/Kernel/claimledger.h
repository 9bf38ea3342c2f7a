//===- harelink/Kernel/claimledger.h - Claims in the platform ---*- C++ -*-===//
///
/// \file
/// Commits claims by conditional updates of bucket objects in the platform.
///
/// Safety rests on the conditional update alone: whoever writes a bucket, its
/// soft owner or anyone else, a claim stands only once a version that contains
/// it was written over the version on which it was decided. Many operations
/// ride in one update, and one update per bucket is in flight.
///
/// Operations are idempotent, since each record names its claimant. After an
/// update whose answer was lost the ledger reads the bucket again. A version
/// that moved settles the update: its records are there or never will be. The
/// old version settles nothing, for the update may yet arrive; so the ledger
/// writes on that version again until it has moved.
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

/// How a ledger paces itself.
struct ClaimLedgerOptions
{
    /// Between the starts of two updates of one bucket. The first claim on an
    /// idle bucket goes at once.
    std::chrono::milliseconds updateInterval{40};
    /// How long a key is remembered.
    std::chrono::milliseconds retention{86'400'000};
};

/// A decision, and the host whose claim it decides; empty for this host.
struct ClaimReply
{
    std::string host;
    ClaimDecision decision;
};

/// The end of a claimant is written; empty host for this host.
struct FinishReply
{
    std::string host;
    RequestId claimant;
};

/// Counts of what a ledger did.
struct ClaimLedgerCounters
{
    std::uint64_t reads = 0;
    std::uint64_t updates = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unansweredCalls = 0;
    std::uint64_t granted = 0;
    std::uint64_t operations = 0;
};

/// The ledger of one daemon.
template <GuardPolicy G>
class BasicClaimLedger
{
public:
    /// The live host that runs as an incarnation, empty for this host; nothing
    /// where none is known to live. A wrong answer costs a caller its wait, never
    /// a promise.
    using HostLookup = std::function<std::optional<std::string>(Incarnation)>;

    /// \param clock outlives the ledger.
    BasicClaimLedger(const Clock &clock, HostLookup hostOf, ClaimLedgerOptions options);

    /// Takes in a claim of \p host; empty for this host.
    void claim(const ClaimRequest &request, const std::string &host);
    /// Takes in the end of a claimant of \p host.
    void finish(const ClaimFinish &finish, const std::string &host);
    /// Says whether this host is the soft owner of \p bucket. An owner looks after
    /// its bucket: it reads it now and then and reminds claimants of their grants,
    /// so that one whose grant was lost on its way gives it back.
    void setOwned(std::size_t bucket, bool owned) { m_buckets[bucket].owned = owned; }
    /// Makes the calls that are due.
    void tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    /// Takes in the result of a call; false where it is not of this ledger.
    bool handle(const PlatformResult &result);
    /// Takes the decisions and ends since the last call.
    [[nodiscard]] std::vector<ClaimReply> takeReplies();
    [[nodiscard]] std::vector<FinishReply> takeFinished();
    /// When tick() is due.
    [[nodiscard]] TimePoint nextTick() const;
    /// Whether an operation still waits to be written.
    [[nodiscard]] bool idle() const;
    [[nodiscard]] const ClaimLedgerCounters &counters() const { return m_counters; }

private:
    /// A claim or an end that waits to be written.
    struct Operation
    {
        std::variant<ClaimRequest, ClaimFinish> what;
        std::string host;
        TimePoint giveUpAt;        ///< Of a claim: its claimant has answered by then.
        bool maybeWritten = false; ///< It was part of an update whose answer was lost.
    };
    /// What applying an operation came to.
    struct Applied
    {
        std::optional<ClaimVerdict> verdict; ///< Of a claim; none while it must wait.
        std::string answer;
    };
    struct Bucket
    {
        bool loaded = false;
        Version version = 0;
        ClaimRecords records;
        std::deque<Operation> pending;
        std::vector<Operation> waiting; ///< Claims on keys that a live claimant holds.
        std::uint64_t callId = 0;       ///< 0 while no call is in progress.
        bool writing = false;
        std::vector<Operation> batch; ///< The operations of the update in progress.
        std::vector<Applied> applied;
        ClaimRecords proposed;
        bool unsettled = false; ///< An update on this version may yet arrive.
        int failures = 0;       ///< Calls in a row without a useful answer.
        bool down = false;      ///< The platform counts as out.
        TimePoint notBefore;
        Duration backOff{};
        TimePoint lastRead;
        bool owned = false;
        TimePoint lastReminder;
    };

    void step(std::size_t index, std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    void read(Bucket &bucket, std::size_t index, std::vector<PlatformCall> &calls,
              std::uint64_t &nextCallId);
    void write(Bucket &bucket, std::size_t index, std::vector<PlatformCall> &calls,
               std::uint64_t &nextCallId);
    void handleRead(Bucket &bucket, const PlatformResult &result);
    void handleWrite(Bucket &bucket, const PlatformResult &result);
    void commit(Bucket &bucket, Version version);
    void settle(Bucket &bucket);
    void deliver(Bucket &bucket);
    void returnBatch(Bucket &bucket, bool maybeWritten);
    void backOff(Bucket &bucket, PlatformOutcome outcome);
    void refusePending(Bucket &bucket);
    void wakeWaiting(Bucket &bucket);
    void remindClaimants(Bucket &bucket);
    [[nodiscard]] bool isLive(Incarnation incarnation) const;
    void dropExpired(ClaimRecords &records) const;
    Applied apply(const ClaimRequest &request, ClaimRecords &records) const;
    Applied apply(const ClaimFinish &finish, ClaimRecords &records) const;
    void release(const ClaimFinish &finish, ClaimRecords &records) const;
    void reply(const ClaimRequest &request, const std::string &host, ClaimVerdict verdict,
               const std::string &answer);

    const Clock &m_clock;
    HostLookup m_hostLookup;
    ClaimLedgerOptions m_options;
    std::array<Bucket, claimBucketCount> m_buckets;
    std::vector<ClaimReply> m_replies;
    std::vector<FinishReply> m_finished;
    ClaimLedgerCounters m_counters;
};

/// The ledger of the product.
using ClaimLedger = BasicClaimLedger<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMLEDGER_H
