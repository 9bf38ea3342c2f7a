//===- harelink/Kernel/claimledgerimpl.h - Definitions ----------*- C++ -*-===//
///
/// \file
/// Definitions of BasicClaimLedger; to be included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMLEDGERIMPL_H
#define HARELINK_KERNEL_CLAIMLEDGERIMPL_H

#include "harelink/Kernel/claimledger.h"

#include <algorithm>
#include <utility>

namespace harelink {

namespace claimledger {

inline constexpr std::chrono::milliseconds initialBackOff{50};
inline constexpr std::chrono::milliseconds maxBackOff{1000};
/// Consecutive unanswered calls after which the platform is considered unreachable.
inline constexpr int unansweredCallsForOutage = 3;
/// Interval between reads of a bucket while claims wait for a live claimant.
inline constexpr std::chrono::milliseconds waitingClaimReadInterval{250};
/// Maximum interval between reads of a bucket by its owner.
inline constexpr std::chrono::milliseconds ownerReadInterval{2000};
/// Interval at which an owner resends grants of claims older than this.
inline constexpr std::chrono::milliseconds grantResendInterval{1000};
/// How long released claims are retained; longer than any ledger keeps a claim
/// pending.
inline constexpr std::chrono::minutes releasedRetention{15};
/// Maximum number of released claimants recorded per key.
inline constexpr std::size_t maxReleasedClaimants = 32;
/// When the store has returned from an older copy, no claim is granted for this period: other
/// daemons learn of it from an answer to a watch or from peers, within 3 s, and then write the
/// records again that the store has lost.
inline constexpr std::chrono::seconds settlePeriod{5};
/// Maximum size of a bucket's value in bytes, with margin below the platform's limit.
inline constexpr std::size_t maxValueBytes = 950'000;

inline bool contains(const std::vector<RequestId> &ids, const RequestId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Adds the records in \p lost to \p records. Of two records of a key, a final one is kept, else
/// the later one.
inline void mergeRecords(const ClaimRecords &lost, ClaimRecords &records)
{
    const auto isFinal = [](const ClaimRecord &record) {
        return record.state == ClaimRecord::State::Done
               || record.state == ClaimRecord::State::Abandoned;
    };
    for (const auto &[key, record] : lost) {
        const auto [found, isNew] = records.try_emplace(key, record);
        const ClaimRecord &stored = found->second;
        const bool isLater = isFinal(record) == isFinal(stored)
                                 ? record.changedAt > stored.changedAt
                                 : isFinal(record);
        if (!isNew && isLater) {
            found->second = record;
        }
    }
}

} // namespace claimledger

template <GuardPolicy G>
BasicClaimLedger<G>::BasicClaimLedger(const Clock &clock, HostLookup hostLookup,
                                      ClaimLedgerOptions options)
    : m_clock(clock)
    , m_hostLookup(std::move(hostLookup))
    , m_options(options)
{
    for (Bucket &bucket : m_buckets) {
        bucket.notBefore = clock.now();
        bucket.lastRead = clock.now();
        bucket.lastGrantResend = clock.now();
    }
}

template <GuardPolicy G>
std::vector<ClaimReply> BasicClaimLedger<G>::drainReplies()
{
    return std::exchange(m_replies, {});
}

template <GuardPolicy G>
std::vector<FinishReply> BasicClaimLedger<G>::drainFinished()
{
    return std::exchange(m_finished, {});
}

template <GuardPolicy G>
bool BasicClaimLedger<G>::idle() const
{
    return std::all_of(m_buckets.begin(), m_buckets.end(), [](const Bucket &bucket) {
        return bucket.pending.empty() && bucket.batch.empty();
    });
}

template <GuardPolicy G>
TimePoint BasicClaimLedger<G>::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const Bucket &bucket : m_buckets) {
        if (bucket.callId != 0) {
            continue;
        }
        if (!bucket.pending.empty() && isSettling()) {
            next = std::min(next, m_settledAt);
        }
        if (mustWrite(bucket)) {
            next = std::min(next, bucket.notBefore);
        } else if (!bucket.waiting.empty()) {
            next = std::min(next, bucket.lastRead + claimledger::waitingClaimReadInterval);
        } else if (bucket.owned) {
            next = std::min(next, bucket.lastRead + claimledger::ownerReadInterval);
        }
    }
    return next;
}

template <GuardPolicy G>
void BasicClaimLedger<G>::reply(const ClaimRequest &request, const std::string &host,
                                ClaimVerdict verdict, const std::string &answer)
{
    m_counters.granted += verdict == ClaimVerdict::Granted ? 1 : 0;
    m_replies.push_back({host, {request.claimant, request.key, verdict, answer}});
}

// Operations ------------------------------------------------------------------

template <GuardPolicy G>
void BasicClaimLedger<G>::claim(const ClaimRequest &request, const std::string &host)
{
    Bucket &bucket = m_buckets[bucketOf(request.key)];
    ++m_counters.operations;
    if (isSettling() || (bucket.platformDown && m_clock.now() < bucket.notBefore)) {
        // Reject at once rather than at the deadline of the caller.
        reply(request, host, ClaimVerdict::Unavailable, {});
        return;
    }
    bucket.pending.push_back({request, host, m_clock.now() + request.timeout, false});
}

template <GuardPolicy G>
void BasicClaimLedger<G>::finish(const ClaimFinish &finish, const std::string &host)
{
    Bucket &bucket = m_buckets[bucketOf(finish.key)];
    ++m_counters.operations;
    const auto isUnwrittenClaim = [&finish](const Operation &operation) {
        const auto *request = std::get_if<ClaimRequest>(&operation.payload);
        return request != nullptr && request->claimant == finish.claimant
               && !operation.maybeWritten;
    };
    std::erase_if(bucket.waiting, isUnwrittenClaim);
    // A claim that was never sent to the platform needs no release.
    std::erase_if(bucket.pending, isUnwrittenClaim);
    bucket.pending.push_back({finish, host, TimePoint::max(), false});
}

template <GuardPolicy G>
auto BasicClaimLedger<G>::apply(const ClaimRequest &request, ClaimRecords &records) const
    -> ApplyResult
{
    const auto found = records.find(request.key);
    const bool isAbsent = found == records.end();
    if (!isAbsent && claimledger::contains(found->second.releasedClaimants, request.claimant)) {
        // A delayed copy of a claim that was released in the meantime.
        return {ClaimVerdict::Unavailable, {}};
    }
    if (isAbsent || found->second.state == ClaimRecord::State::Released) {
        ClaimRecord &record = records[request.key];
        record.claimant = request.claimant;
        record.digest = request.digest;
        record.state = ClaimRecord::State::Claimed;
        record.changedAt = m_clock.wallNow();
        return {ClaimVerdict::Granted, {}};
    }
    const ClaimRecord &record = found->second;
    if (record.digest != request.digest) {
        return {ClaimVerdict::KeyReused, {}};
    }
    if (record.state == ClaimRecord::State::Done) {
        return {record.answerDropped ? ClaimVerdict::MayHaveRun : ClaimVerdict::Stored,
                record.answer};
    }
    if (record.state == ClaimRecord::State::Abandoned) {
        return {ClaimVerdict::MayHaveRun, {}};
    }
    const bool isSameClaimant = G::claimsPerRequest
                                    ? record.claimant == request.claimant
                                    : record.claimant.incarnation == request.claimant.incarnation;
    if (isSameClaimant) {
        return {ClaimVerdict::Granted, {}};
    }
    if (!isLive(record.claimant.incarnation)) {
        return {ClaimVerdict::MayHaveRun, {}};
    }
    return {std::nullopt, {}};
}

template <GuardPolicy G>
auto BasicClaimLedger<G>::apply(const ClaimFinish &finish, ClaimRecords &records) const
    -> ApplyResult
{
    if (finish.outcome == ClaimOutcome::Released) {
        applyRelease(finish, records);
        return {};
    }
    const auto found = records.find(finish.key);
    if (found == records.end() || found->second.claimant != finish.claimant
        || found->second.state != ClaimRecord::State::Claimed) {
        return {};
    }
    ClaimRecord &record = found->second;
    record.changedAt = m_clock.wallNow();
    switch (finish.outcome) {
    case ClaimOutcome::Done:
        record.state = ClaimRecord::State::Done;
        record.answerDropped = finish.answer.size() > maxStoredAnswerBytes;
        if (!record.answerDropped) {
            record.answer = finish.answer;
        }
        break;
    default:
        record.state = ClaimRecord::State::Abandoned;
        break;
    }
    return {};
}

/// Another ledger may still have the claim pending and write it after the claimant
/// is gone. The record must then show that the claim was released.
template <GuardPolicy G>
void BasicClaimLedger<G>::applyRelease(const ClaimFinish &finish, ClaimRecords &records) const
{
    const bool isAbsent = !records.contains(finish.key);
    ClaimRecord &record = records[finish.key];
    const bool isSameClaimant = record.claimant == finish.claimant;
    if (isAbsent || (isSameClaimant && record.state == ClaimRecord::State::Claimed)) {
        record.claimant = finish.claimant;
        record.state = ClaimRecord::State::Released;
        record.changedAt = m_clock.wallNow();
    }
    const bool isOpen =
        record.state == ClaimRecord::State::Claimed || record.state == ClaimRecord::State::Released;
    if (!isOpen || claimledger::contains(record.releasedClaimants, finish.claimant)) {
        return;
    }
    record.releasedClaimants.push_back(finish.claimant);
    if (record.releasedClaimants.size() > claimledger::maxReleasedClaimants) {
        record.releasedClaimants.erase(record.releasedClaimants.begin());
    }
}

template <GuardPolicy G>
void BasicClaimLedger<G>::dropExpired(ClaimRecords &records) const
{
    const WallTime minChangedAt = m_clock.wallNow() - m_options.retention;
    const WallTime minReleasedChangedAt = m_clock.wallNow() - claimledger::releasedRetention;
    std::erase_if(records, [&](const auto &entry) {
        const bool released = entry.second.state == ClaimRecord::State::Released;
        return entry.second.changedAt
               < (released ? std::max(minChangedAt, minReleasedChangedAt) : minChangedAt);
    });
}

// Calls -----------------------------------------------------------------------

template <GuardPolicy G>
void BasicClaimLedger<G>::tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        processBucket(i, calls, nextCallId);
    }
}

template <GuardPolicy G>
void BasicClaimLedger<G>::handleStoreReturn()
{
    if (!G::restoresLostClaims) {
        return;
    }
    m_settledAt = m_clock.now() + claimledger::settlePeriod;
    for (Bucket &bucket : m_buckets) {
        claimledger::mergeRecords(bucket.records, bucket.lostRecords);
        bucket.loaded = false;
        bucket.notBefore = m_clock.now();
        bucket.isCallStale = bucket.callId != 0;
        rejectPending(bucket);
    }
}

template <GuardPolicy G>
void BasicClaimLedger<G>::processBucket(std::size_t index, std::vector<PlatformCall> &calls,
                                        std::uint64_t &nextCallId)
{
    Bucket &bucket = m_buckets[index];
    const TimePoint now = m_clock.now();
    if (bucket.callId != 0 || now < bucket.notBefore) {
        return;
    }
    // A claim whose client has timed out must not be written.
    const auto isExpired = [now](const Operation &operation) {
        return operation.expiresAt <= now && !operation.maybeWritten;
    };
    std::erase_if(bucket.waiting, isExpired);
    std::erase_if(bucket.pending, isExpired);
    const Duration sinceRead = now - bucket.lastRead;
    const bool mustRead =
        (!bucket.waiting.empty() && sinceRead >= claimledger::waitingClaimReadInterval)
        || (bucket.owned && sinceRead >= claimledger::ownerReadInterval);
    if (bucket.owned && bucket.loaded && !isSettling()
        && now >= bucket.lastGrantResend + claimledger::grantResendInterval) {
        resendGrants(bucket);
    }
    if (mustRead || (mustWrite(bucket) && !bucket.loaded)) {
        startRead(bucket, index, calls, nextCallId);
        return;
    }
    if (mustWrite(bucket)) {
        startWrite(bucket, index, calls, nextCallId);
    }
}

template <GuardPolicy G>
void BasicClaimLedger<G>::startRead(Bucket &bucket, std::size_t index,
                                    std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    ++m_counters.reads;
    PlatformCall call;
    call.id = nextCallId++;
    call.operation = PlatformOperation::Get;
    call.kind = claimBucketKind;
    call.name = bucketName(index);
    bucket.callId = call.id;
    bucket.isWrite = false;
    bucket.lastRead = m_clock.now();
    calls.push_back(std::move(call));
}

template <GuardPolicy G>
void BasicClaimLedger<G>::startWrite(Bucket &bucket, std::size_t index,
                                     std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    bucket.proposed = bucket.records;
    claimledger::mergeRecords(bucket.lostRecords, bucket.proposed);
    bucket.results.clear();
    takeBatch(bucket);
    for (const Operation &operation : bucket.batch) {
        bucket.results.push_back(
            std::visit([&](const auto &payload) { return apply(payload, bucket.proposed); },
                       operation.payload));
    }
    if (bucket.proposed == bucket.records && !bucket.updateInDoubt) {
        // Nothing to write: the current records determine the results.
        bucket.lostRecords.clear();
        deliverResults(bucket);
        return;
    }
    dropExpired(bucket.proposed);
    PlatformCall call;
    call.value = encodeRecords(bucket.proposed);
    if (call.value.size() > claimledger::maxValueBytes) {
        requeueBatch(bucket, false);
        backOff(bucket, PlatformOutcome::Refused);
        return;
    }
    ++m_counters.updates;
    call.id = nextCallId++;
    call.operation = PlatformOperation::Put;
    call.kind = claimBucketKind;
    call.name = bucketName(index);
    call.ifVersion = bucket.version;
    call.unconditional = !G::updatesConditionally;
    bucket.callId = call.id;
    bucket.isWrite = true;
    bucket.notBefore = m_clock.now() + m_options.updateInterval;
    calls.push_back(std::move(call));
}

/// Returns whether \p operation is a claim, while none is granted.
template <GuardPolicy G>
bool BasicClaimLedger<G>::mustWait(const Operation &operation) const
{
    return isSettling() && std::holds_alternative<ClaimRequest>(operation.payload);
}

template <GuardPolicy G>
bool BasicClaimLedger<G>::mustWrite(const Bucket &bucket) const
{
    return bucket.updateInDoubt || !bucket.lostRecords.empty()
           || std::any_of(bucket.pending.begin(), bucket.pending.end(),
                          [this](const Operation &operation) { return !mustWait(operation); });
}

/// Moves the operations that need not wait to the batch.
template <GuardPolicy G>
void BasicClaimLedger<G>::takeBatch(Bucket &bucket)
{
    std::deque<Operation> kept;
    for (Operation &operation : bucket.pending) {
        if (mustWait(operation)) {
            kept.push_back(std::move(operation));
        } else {
            bucket.batch.push_back(std::move(operation));
        }
    }
    bucket.pending = std::move(kept);
}

template <GuardPolicy G>
bool BasicClaimLedger<G>::handle(const PlatformResult &result)
{
    for (Bucket &bucket : m_buckets) {
        if (bucket.callId == result.id && result.id != 0) {
            bucket.callId = 0;
            PlatformResult unanswered;
            unanswered.id = result.id;
            // What a stale call was based on may have been another content of the bucket.
            const bool isStale = std::exchange(bucket.isCallStale, false);
            const PlatformResult &current = isStale ? unanswered : result;
            if (bucket.isWrite) {
                handleWrite(bucket, current);
            } else {
                handleRead(bucket, current);
            }
            return true;
        }
    }
    return false;
}

template <GuardPolicy G>
void BasicClaimLedger<G>::handleRead(Bucket &bucket, const PlatformResult &result)
{
    const bool isAbsent = result.outcome == PlatformOutcome::NotFound;
    std::optional<ClaimRecords> records;
    if (result.outcome == PlatformOutcome::Ok) {
        records = decodeRecords(result.value);
    }
    if (!isAbsent && !records) {
        backOff(bucket, result.outcome);
        return;
    }
    const Version version = isAbsent ? 0 : result.version;
    bucket.platformDown = false;
    bucket.failures = 0;
    bucket.backOff = {};
    // If the revision changed, the records just read contain the update in doubt, or it will
    // never take effect. The store compares no eras.
    const bool isResolved = !bucket.updateInDoubt || version.revision != bucket.version.revision;
    bucket.loaded = true;
    bucket.version = version;
    bucket.records = records ? *std::move(records) : ClaimRecords();
    if (isResolved) {
        resolveUpdate(bucket);
    }
    recheckWaiting(bucket);
}

template <GuardPolicy G>
void BasicClaimLedger<G>::handleWrite(Bucket &bucket, const PlatformResult &result)
{
    switch (result.outcome) {
    case PlatformOutcome::Ok:
        commit(bucket, result.version);
        return;
    case PlatformOutcome::Unanswered:
        ++m_counters.unansweredUpdates;
        if (!G::resolvesWritesByVersion) {
            commit(bucket, bucket.version);
            return;
        }
        requeueBatch(bucket, true);
        bucket.updateInDoubt = true;
        bucket.loaded = false;
        backOff(bucket, result.outcome);
        return;
    case PlatformOutcome::Refused:
        requeueBatch(bucket, false);
        backOff(bucket, result.outcome);
        return;
    default:
        ++m_counters.conflicts;
        // The version has changed, so an update of the old one can no longer succeed.
        requeueBatch(bucket, false);
        bucket.updateInDoubt = false;
        bucket.loaded = false;
        bucket.notBefore = m_clock.now();
        return;
    }
}

template <GuardPolicy G>
void BasicClaimLedger<G>::commit(Bucket &bucket, Version version)
{
    bucket.version = version;
    bucket.records = std::move(bucket.proposed);
    bucket.proposed.clear();
    bucket.lostRecords.clear();
    bucket.updateInDoubt = false;
    bucket.platformDown = false;
    bucket.failures = 0;
    bucket.backOff = {};
    deliverResults(bucket);
    recheckWaiting(bucket);
}

/// The records just read contain every update that can still take effect. Claims
/// that are committed in them are granted at once: as part of the next update, they
/// would be rejected as never written if that update failed.
template <GuardPolicy G>
void BasicClaimLedger<G>::resolveUpdate(Bucket &bucket)
{
    bucket.updateInDoubt = false;
    if (isSettling()) {
        return;
    }
    std::erase_if(bucket.pending, [&](Operation &operation) {
        operation.maybeWritten = false;
        const auto *request = std::get_if<ClaimRequest>(&operation.payload);
        if (request == nullptr) {
            return false;
        }
        const auto record = bucket.records.find(request->key);
        const bool isCommitted = record != bucket.records.end()
                                 && record->second.claimant == request->claimant
                                 && record->second.state == ClaimRecord::State::Claimed;
        if (isCommitted) {
            reply(*request, operation.host, ClaimVerdict::Granted, {});
        }
        return isCommitted;
    });
}

/// Sends the results of the batch.
template <GuardPolicy G>
void BasicClaimLedger<G>::deliverResults(Bucket &bucket)
{
    for (std::size_t i = 0; i < bucket.batch.size(); ++i) {
        Operation &operation = bucket.batch[i];
        if (const auto *finish = std::get_if<ClaimFinish>(&operation.payload)) {
            m_finished.push_back({operation.host, finish->claimant});
            continue;
        }
        const auto &request = std::get<ClaimRequest>(operation.payload);
        const ApplyResult &result = bucket.results[i];
        if (result.verdict) {
            reply(request, operation.host, *result.verdict, result.answer);
            continue;
        }
        bucket.waiting.push_back(std::move(operation));
    }
    bucket.batch.clear();
    bucket.results.clear();
}

/// Puts the batch back in front of the operations that arrived since.
template <GuardPolicy G>
void BasicClaimLedger<G>::requeueBatch(Bucket &bucket, bool maybeWritten)
{
    for (auto it = bucket.batch.rbegin(); it != bucket.batch.rend(); ++it) {
        it->maybeWritten = it->maybeWritten || maybeWritten;
        bucket.pending.push_front(std::move(*it));
    }
    bucket.batch.clear();
    bucket.results.clear();
}

/// Delays the next call. A single lost response is not an outage: pending claims
/// are rejected only after a refusal or several consecutive unanswered calls.
template <GuardPolicy G>
void BasicClaimLedger<G>::backOff(Bucket &bucket, PlatformOutcome outcome)
{
    ++bucket.failures;
    bucket.platformDown = outcome != PlatformOutcome::Unanswered
                          || bucket.failures >= claimledger::unansweredCallsForOutage;
    bucket.backOff = std::clamp<Duration>(bucket.backOff * 2, claimledger::initialBackOff,
                                          claimledger::maxBackOff);
    bucket.notBefore = m_clock.now() + (bucket.platformDown ? bucket.backOff : Duration::zero());
    if (bucket.platformDown) {
        rejectPending(bucket);
    }
}

/// Rejects the claims that cannot have been written.
template <GuardPolicy G>
void BasicClaimLedger<G>::rejectPending(Bucket &bucket)
{
    std::deque<Operation> kept;
    for (Operation &operation : bucket.pending) {
        const auto *request = std::get_if<ClaimRequest>(&operation.payload);
        if (request == nullptr || operation.maybeWritten) {
            kept.push_back(std::move(operation));
            continue;
        }
        reply(*request, operation.host, ClaimVerdict::Unavailable, {});
    }
    bucket.pending = std::move(kept);
}

/// Re-checks the waiting claims: the records of their keys may have changed.
template <GuardPolicy G>
void BasicClaimLedger<G>::recheckWaiting(Bucket &bucket)
{
    std::vector<Operation> waiting = std::exchange(bucket.waiting, {});
    for (Operation &operation : waiting) {
        const auto &request = std::get<ClaimRequest>(operation.payload);
        const auto record = bucket.records.find(request.key);
        const bool isHeld = record != bucket.records.end()
                            && record->second.state == ClaimRecord::State::Claimed
                            && isLive(record->second.claimant.incarnation);
        if (isHeld) {
            bucket.waiting.push_back(std::move(operation));
        } else {
            bucket.pending.push_back(std::move(operation));
        }
    }
}

template <GuardPolicy G>
bool BasicClaimLedger<G>::isLive(Incarnation incarnation) const
{
    return m_hostLookup(incarnation).has_value();
}

/// Resends grants of old claims. A running claimant ignores the grant; one that
/// gave up before its grant arrived, or whose grant was lost, releases the claim.
template <GuardPolicy G>
void BasicClaimLedger<G>::resendGrants(Bucket &bucket)
{
    bucket.lastGrantResend = m_clock.now();
    const WallTime maxChangedAt = m_clock.wallNow() - claimledger::grantResendInterval;
    for (const auto &[key, record] : bucket.records) {
        if (record.state != ClaimRecord::State::Claimed || record.changedAt > maxChangedAt) {
            continue;
        }
        if (const std::optional<std::string> host = m_hostLookup(record.claimant.incarnation)) {
            m_replies.push_back({*host, {record.claimant, key, ClaimVerdict::Granted, {}}});
        }
    }
}

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMLEDGERIMPL_H
