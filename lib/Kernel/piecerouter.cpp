//===- piecerouter.cpp - Routing of pieces --------------------------------===//

#include "harelink/Kernel/piecerouter.h"

#include "harelink/Kernel/pieceforecast.h"
#include "harelink/Support/hash.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include <fmt/format.h>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// A batcher is regarded as unreachable after this time, 2.5 heartbeats, without a message.
constexpr milliseconds batcherTimeout{600};
/// Maximum age of a cached choice of batcher; short compared to batcherTimeout.
constexpr milliseconds batcherCacheTtl{25};
/// An order is overdue after its predicted time multiplied by resubmitTimeoutFactor, plus
/// resubmitTimeoutSlack.
constexpr int resubmitTimeoutFactor = 2;
constexpr milliseconds resubmitTimeoutSlack{500};
/// Maximum number of times that one piece is ordered.
constexpr std::uint32_t maxAttempts = 3;
/// Maximum number of times that one piece is ordered again since its batcher had lost the path.
constexpr std::uint32_t maxHandBacks = 3;
/// The interval of checks for overdue orders.
constexpr milliseconds pendingCheckInterval{50};
/// Records of results are dropped after this time, longer than any endpoint keeps a result.
constexpr milliseconds resultRecordTtl{20'000};
/// A request that orders pieces of a pool again after this time counts as a new one.
constexpr milliseconds requestRecordTtl{20'000};
constexpr milliseconds sweepInterval{1000};

} // namespace

PieceRouter::PieceRouter(const Clock &clock, const Membership &membership,
                         const RetryBudgetOptions &budget)
    : m_clock(clock)
    , m_membership(membership)
    , m_budgetOptions(budget)
{
}

RetryBudget &PieceRouter::budgetOf(const std::string &pool)
{
    return m_budgets.try_emplace(pool, m_budgetOptions).first->second;
}

/// Counts \p request in the budget of \p pool once: further stages in the same pool, and lost
/// results that are computed again, earn no further retries.
void PieceRouter::countRequest(const std::string &pool, const RequestId &request)
{
    const TimePoint now = m_clock.now();
    if (m_countedRequests.try_emplace({request, pool}, now).second) {
        budgetOf(pool).recordRequest(now);
    }
}

void PieceRouter::submit(const std::string &pool, const std::vector<PieceOrder> &orders,
                         const Snapshot &snapshot)
{
    if (orders.empty()) {
        return;
    }
    const TimePoint now = m_clock.now();
    countRequest(pool, orders.front().id.request);
    std::vector<Pending> group;
    for (const PieceOrder &order : orders) {
        Pending pending;
        pending.pool = pool;
        pending.order = order;
        pending.objective = now + order.untilObjective;
        pending.deadline = now + order.untilDeadline;
        group.push_back(std::move(pending));
    }
    dispatch(std::move(group), snapshot);
}

/// Sends a group of pieces of one pool to the batcher of the pool, or to the batcher of the
/// partition that choosePartition() selects. Avoids a partition that failed the group before.
void PieceRouter::dispatch(std::vector<Pending> group, const Snapshot &snapshot)
{
    if (group.empty()) {
        return;
    }
    const TimePoint now = m_clock.now();
    const auto count = static_cast<std::uint32_t>(group.size());
    const int priority = group.front().order.priority;
    OutgoingPieceOrders send;
    send.orders.pool = group.front().pool;
    Duration predicted{};
    if (const PoolEntry *pool = snapshot.pool(group.front().pool)) {
        const PieceOrder &first = group.front().order;
        const PoolEntry &partition =
            choosePartition(snapshot, *pool,
                            {count, priority, transfersOf(first, count), group.front().partition,
                             PieceGroup::selectionHashOf(first.id.request, first.id.stage)},
                            now);
        send.orders.pool += partition.dataCentre.empty() ? "" : "/" + partition.dataCentre;
        PieceDemand demand;
        demand.pieces = count;
        demand.priority = priority;
        for (const Pending &pending : group) {
            demand.resultBytes += pending.order.resultBytes;
        }
        predicted = predictCompletion(partition, demand, now);
        recordOrdered(partition, count, priority, demand.resultBytes);
    }
    send.host = batcherOf(send.orders.pool, snapshot);
    for (Pending &pending : group) {
        ++pending.attempts;
        pending.batcher = send.host;
        pending.partition = send.orders.pool;
        pending.sentAt = now;
        pending.checkAt = now + predicted * resubmitTimeoutFactor + resubmitTimeoutSlack;
        pending.order.untilObjective = pending.objective - now;
        pending.order.untilDeadline = pending.deadline - now;
        send.orders.orders.push_back(pending.order);
        const PieceId id = pending.order.id;
        m_pending[id] = std::move(pending);
    }
    m_orders.push_back(std::move(send));
}

/// Returns the batcher of \p partition. The choice is cached; it is renewed when the host lists
/// change, and after batcherCacheTtl, since a batcher may have become unreachable.
const std::string &PieceRouter::batcherOf(const std::string &partition, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    Batcher &batcher = m_batchers[partition];
    const std::uint64_t version = m_membership.listsVersion();
    const bool isStale = now - batcher.selectedAt >= batcherCacheTtl
                         || batcher.listsVersion != version
                         || !reaches(batcher.host, partition, snapshot);
    if (batcher.host.empty() || isStale) {
        batcher = {findBatcher(partition, snapshot), now, version};
    }
    return batcher.host;
}

/// Returns whether \p host has a path to the endpoints of \p partition.
bool PieceRouter::reaches(const std::string &host, const std::string &partition,
                          const Snapshot &snapshot) const
{
    if (host != m_membership.host()) {
        return m_membership.reaches(host, partition);
    }
    const PoolEntry *entry = snapshot.poolOrPartition(partition);
    return entry == nullptr || !entry->isPathLost();
}

/// Returns the hosts that may be the batcher of \p partition: those that have a path to it, or all
/// if none has.
std::vector<std::string> PieceRouter::batcherCandidates(const std::string &partition,
                                                        const Snapshot &snapshot) const
{
    const auto withPath = [&](const std::string &dataCentre) {
        std::vector<std::string> hosts = m_membership.likelyLiveWithin(batcherTimeout, dataCentre);
        std::erase_if(hosts,
                      [&](const std::string &host) { return !reaches(host, partition, snapshot); });
        return hosts;
    };
    const PoolEntry *entry = snapshot.poolOrPartition(partition);
    std::vector<std::string> hosts;
    if (entry != nullptr && !entry->dataCentre.empty()) {
        hosts = withPath(entry->dataCentre);
    }
    if (hosts.empty()) {
        hosts = withPath({});
    }
    return hosts.empty() ? m_membership.likelyLiveWithin(batcherTimeout, {}) : hosts;
}

std::string PieceRouter::findBatcher(const std::string &partition, const Snapshot &snapshot) const
{
    std::string best = m_membership.host();
    std::uint64_t bestScore = 0;
    const std::vector<std::string> hosts = batcherCandidates(partition, snapshot);
    for (const std::string &host : m_membership.highCapacityHosts(hosts)) {
        const std::uint64_t score = hash64(fmt::format("pieces/{}/{}", partition, host));
        if (score >= bestScore) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

void PieceRouter::withdraw(const RequestId &request)
{
    auto at = m_pending.lower_bound(PieceId{request, 0, 0});
    std::set<std::string> batchers;
    while (at != m_pending.end() && at->first.request == request) {
        batchers.insert(at->second.batcher);
        at = m_pending.erase(at);
    }
    for (const std::string &batcher : batchers) {
        m_withdrawals[batcher].requests.push_back(request);
    }
}

void PieceRouter::handle(const PieceBacklog &backlog, const Snapshot &snapshot, TimePoint now)
{
    if (const PoolEntry *pool = snapshot.poolOrPartition(backlog.pool)) {
        recordBacklog(*pool, backlog, now);
        recordUpcoming(snapshot, backlog, now);
    }
}

void PieceRouter::free(const std::vector<std::string> &handles, const Snapshot &snapshot)
{
    std::map<std::string, PieceFrees> byPartition;
    for (const std::string &handle : handles) {
        const auto result = m_results.find(handle);
        if (result == m_results.end()) {
            continue; // The result has expired at its endpoint.
        }
        PieceFrees &frees = byPartition[result->second.partition];
        frees.pool = result->second.partition;
        frees.handles.push_back(handle);
        m_results.erase(result);
    }
    for (auto &[partition, frees] : byPartition) {
        m_frees.emplace_back(batcherOf(partition, snapshot), std::move(frees));
    }
}

void PieceRouter::dropOldRecords()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepInterval;
    std::erase_if(m_results, [now](const auto &entry) {
        return now - entry.second.completedAt > resultRecordTtl;
    });
    std::erase_if(m_countedRequests,
                  [now](const auto &entry) { return now - entry.second > requestRecordTtl; });
}

void PieceRouter::handle(const PieceOutcomes &outcomes, const Snapshot &snapshot)
{
    handle(outcomes.backlog, snapshot, m_clock.now());
    for (const PieceOutcome &outcome : outcomes.outcomes) {
        if (outcome.fault == PieceFault::None) {
            m_results[outcome.handle] = {outcomes.backlog.pool, m_clock.now()};
        }
        const auto found = m_pending.find(outcome.id);
        if (found == m_pending.end()) {
            // A duplicate, or the request was cancelled.
            free({outcome.handle}, snapshot);
            continue;
        }
        const bool isFinal = outcome.fault == PieceFault::None || outcome.fault == PieceFault::Late
                             || outcome.fault == PieceFault::InputGone;
        if (isFinal) {
            m_outcomes.push_back(outcome);
            m_pending.erase(found);
            continue;
        }
        if (!outcome.endpoint.empty()) {
            found->second.order.avoid = outcome.endpoint;
        }
        resubmit(outcome.id, outcome.fault, snapshot);
    }
}

bool PieceRouter::mayResubmit(const Pending &pending, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    // A quarantined request is refused on the first outcome that is reported.
    const bool isQuarantined =
        snapshot.quarantineLeft(pending.order.digest, m_clock.wallNow()) > Duration::zero();
    return !isQuarantined && pending.attempts < maxAttempts && now < pending.deadline
           && budgetOf(pending.pool).allows(now, m_membership.recentHostCount());
}

void PieceRouter::resubmit(const PieceId &id, PieceFault fault, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const auto found = m_pending.find(id);
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    // A batcher that has lost the path hands its pieces back before any work was done.
    const bool isHandedBack = fault == PieceFault::Refused && pending.handBacks < maxHandBacks
                              && now < pending.deadline
                              && batcherOf(pending.partition, snapshot) != pending.batcher;
    if (isHandedBack) {
        ++pending.handBacks;
        --pending.attempts;
        std::vector<Pending> group;
        group.push_back(std::move(pending));
        dispatch(std::move(group), snapshot);
        return;
    }
    if (!mayResubmit(pending, snapshot)) {
        m_pending[id] = std::move(pending);
        reportFault(id, fault);
        return;
    }
    budgetOf(pending.pool).recordRetry(now);
    ++m_resubmissions;
    std::vector<Pending> group;
    group.push_back(std::move(pending));
    dispatch(std::move(group), snapshot);
}

void PieceRouter::reportFault(const PieceId &id, PieceFault fault)
{
    const auto found = m_pending.find(id);
    PieceOutcome outcome;
    outcome.id = id;
    outcome.endpoint = found->second.order.avoid;
    outcome.fault = fault;
    m_outcomes.push_back(std::move(outcome));
    m_pending.erase(found);
}

void PieceRouter::tick(const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    dropOldRecords();
    std::vector<PieceId> overdue;
    for (const auto &[id, pending] : m_pending) {
        const bool isUnreachable = pending.batcher != m_membership.host()
                                   && now - pending.sentAt > batcherTimeout
                                   && !m_membership.seenWithin(pending.batcher, batcherTimeout);
        if (now >= pending.checkAt || now >= pending.deadline || isUnreachable) {
            overdue.push_back(id);
        }
    }
    for (const PieceId &id : overdue) {
        Pending &pending = m_pending.at(id);
        if (now >= pending.deadline) {
            reportFault(id, PieceFault::Late);
        } else if (mayResubmit(pending, snapshot)) {
            resubmit(id, PieceFault::Failed, snapshot);
        } else {
            // The endpoint may only be slow, and the piece may still complete.
            pending.checkAt = now + resubmitTimeoutSlack;
            pending.sentAt = now;
        }
    }
}

TimePoint PieceRouter::nextTick() const
{
    return m_pending.empty() ? TimePoint::max() : m_clock.now() + pendingCheckInterval;
}

} // namespace harelink
