//===- piecerouter.cpp - Where pieces are made ----------------------------===//

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

/// A batcher without a word for this long is passed over: two heartbeats and a half.
constexpr milliseconds batcherSilence{600};
/// How long a choice of batcher holds at most: short against that silence.
constexpr milliseconds batcherLook{25};
/// An order is given up on after so many times what was predicted, and this much.
constexpr int patienceFactor = 2;
constexpr milliseconds patience{500};
/// How often one piece is ordered at most.
constexpr std::uint32_t mostAttempts = 3;
/// How often pending orders are looked at.
constexpr milliseconds checkInterval{50};
/// Longer than any endpoint keeps a result: what nobody freed until then is forgotten.
constexpr milliseconds resultMemory{20'000};
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

void PieceRouter::submit(const std::string &pool, const std::vector<PieceOrder> &orders,
                         const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    budgetOf(pool).recordRequest(now);
    std::vector<Pending> group;
    for (const PieceOrder &order : orders) {
        Pending pending;
        pending.pool = pool;
        pending.order = order;
        pending.wanted = now + order.untilObjective;
        pending.due = now + order.untilDeadline;
        group.push_back(std::move(pending));
    }
    place(std::move(group), snapshot);
}

/// Orders a group of pieces of one pool at its batcher, or at that of a part which did
/// not fail it before.
void PieceRouter::place(std::vector<Pending> group, const Snapshot &snapshot)
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
        const PoolEntry &part =
            choosePart(snapshot, *pool,
                       {count, priority, transfersOf(first, count), group.front().part,
                        PieceGroup::selectionHashOf(first.id.request, first.id.stage)},
                       now);
        send.orders.pool += part.dataCentre.empty() ? "" : "/" + part.dataCentre;
        predicted = predictCompletion(part, count, priority, now);
        recordOrdered(part, count, priority);
    }
    send.host = batcherOf(send.orders.pool, snapshot);
    for (Pending &pending : group) {
        ++pending.attempts;
        pending.batcher = send.host;
        pending.part = send.orders.pool;
        pending.orderedAt = now;
        pending.checkAt = now + predicted * patienceFactor + patience;
        pending.order.untilObjective = pending.wanted - now;
        pending.order.untilDeadline = pending.due - now;
        send.orders.orders.push_back(pending.order);
        const PieceId id = pending.order.id;
        m_pending[id] = std::move(pending);
    }
    m_sends.push_back(std::move(send));
}

/// The batcher of \p part; asked for at each order, and found anew where hosts came or went,
/// or after a moment in which one may have fallen silent.
const std::string &PieceRouter::batcherOf(const std::string &part, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    Batcher &batcher = m_batchers[part];
    const std::uint64_t version = m_membership.listsVersion();
    const bool isOld = now - batcher.foundAt >= batcherLook || batcher.listsVersion != version;
    if (batcher.host.empty() || isOld) {
        batcher = {findBatcher(part, snapshot), now, version};
    }
    return batcher.host;
}

std::string PieceRouter::findBatcher(const std::string &part, const Snapshot &snapshot) const
{
    std::string best = m_membership.host();
    std::uint64_t bestScore = 0;
    const PoolEntry *entry = snapshot.poolOrPartition(part);
    std::vector<std::string> hosts;
    if (entry != nullptr && !entry->dataCentre.empty()) {
        hosts = m_membership.likelyLiveWithin(batcherSilence, entry->dataCentre);
    }
    if (hosts.empty()) {
        hosts = m_membership.likelyLiveWithin(batcherSilence, {});
    }
    for (const std::string &host : m_membership.highCapacityHosts(hosts)) {
        const std::uint64_t score = hash64(fmt::format("pieces/{}/{}", part, host));
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
    }
}

void PieceRouter::free(const std::vector<std::string> &handles, const Snapshot &snapshot)
{
    std::map<std::string, PieceFrees> byPart;
    for (const std::string &handle : handles) {
        const auto result = m_results.find(handle);
        if (result == m_results.end()) {
            continue; // So old that its endpoint has dropped it by itself.
        }
        PieceFrees &frees = byPart[result->second.part];
        frees.pool = result->second.part;
        frees.handles.push_back(handle);
        m_results.erase(result);
    }
    for (auto &[part, frees] : byPart) {
        m_frees.emplace_back(batcherOf(part, snapshot), std::move(frees));
    }
}

void PieceRouter::forgetOldResults()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepInterval;
    std::erase_if(m_results,
                  [now](const auto &entry) { return now - entry.second.madeAt > resultMemory; });
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
            // Made twice, or no longer wanted.
            free({outcome.handle}, snapshot);
            continue;
        }
        const bool isRequests = outcome.fault == PieceFault::None
                                || outcome.fault == PieceFault::Late
                                || outcome.fault == PieceFault::InputGone;
        if (isRequests) {
            m_done.push_back(outcome);
            m_pending.erase(found);
            continue;
        }
        if (!outcome.endpoint.empty()) {
            found->second.order.avoid = outcome.endpoint;
        }
        reorder(outcome.id, outcome.fault, snapshot);
    }
}

bool PieceRouter::mayReorder(const Pending &pending, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    // Its request is refused with the first outcome that is told.
    const bool isQuarantined =
        snapshot.quarantineLeft(pending.order.digest, m_clock.wallNow()) > Duration::zero();
    return !isQuarantined && pending.attempts < mostAttempts && now < pending.due
           && budgetOf(pending.pool).allows(now, m_membership.recentHostCount());
}

void PieceRouter::reorder(const PieceId &id, PieceFault fault, const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    const auto found = m_pending.find(id);
    Pending pending = std::move(found->second);
    m_pending.erase(found);
    if (!mayReorder(pending, snapshot)) {
        m_pending[id] = std::move(pending);
        finish(id, fault);
        return;
    }
    budgetOf(pending.pool).recordRetry(now);
    ++m_reorders;
    std::vector<Pending> group;
    group.push_back(std::move(pending));
    place(std::move(group), snapshot);
}

void PieceRouter::finish(const PieceId &id, PieceFault fault)
{
    const auto found = m_pending.find(id);
    PieceOutcome outcome;
    outcome.id = id;
    outcome.endpoint = found->second.order.avoid;
    outcome.fault = fault;
    m_done.push_back(std::move(outcome));
    m_pending.erase(found);
}

void PieceRouter::tick(const Snapshot &snapshot)
{
    const TimePoint now = m_clock.now();
    forgetOldResults();
    std::vector<PieceId> overdue;
    for (const auto &[id, pending] : m_pending) {
        const bool silent = pending.batcher != m_membership.host()
                            && now - pending.orderedAt > batcherSilence
                            && !m_membership.seenWithin(pending.batcher, batcherSilence);
        if (now >= pending.checkAt || now >= pending.due || silent) {
            overdue.push_back(id);
        }
    }
    for (const PieceId &id : overdue) {
        Pending &pending = m_pending.at(id);
        if (now >= pending.due) {
            finish(id, PieceFault::Late);
        } else if (mayReorder(pending, snapshot)) {
            reorder(id, PieceFault::Failed, snapshot);
        } else {
            // Its endpoint may only be slow: nothing says yet that it will not be made.
            pending.checkAt = now + patience;
            pending.orderedAt = now;
        }
    }
}

TimePoint PieceRouter::nextTick() const
{
    return m_pending.empty() ? TimePoint::max() : m_clock.now() + checkInterval;
}

} // namespace harelink
