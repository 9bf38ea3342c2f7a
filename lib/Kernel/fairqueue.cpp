//===- fairqueue.cpp - Weighted fair queue --------------------------------===//

#include "harelink/Kernel/fairqueue.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <tuple>

namespace harelink {
namespace {

/// Returns the account's recent usage of the pool, in seconds per unit of weight.
double weightedUsage(const Snapshot &snapshot, const std::string &account, const std::string &pool,
                     TimePoint now)
{
    const AccountEntry *entry = snapshot.account(account);
    if (entry == nullptr) {
        return 0;
    }
    const auto load = entry->loads.find(pool);
    if (load == entry->loads.end()) {
        return 0;
    }
    const Duration recent = load->second->usageMeter.recent(now);
    return std::chrono::duration<double>(recent).count() / entry->spec.weight;
}

/// Returns the most urgent class of which requests wait; priorityClassCount if none wait.
template <typename Backlogs>
std::size_t mostUrgentClass(const Backlogs &backlogs)
{
    const auto found = std::find_if(backlogs.begin(), backlogs.end(),
                                    [](const auto &backlog) { return !backlog.empty(); });
    return static_cast<std::size_t>(found - backlogs.begin());
}

/// An account that has used less than this fraction of its fair share of the recent usage goes
/// before more urgent classes. With the whole, priorities would have no effect between accounts
/// with backlogs.
constexpr double guaranteedUsageFraction = 0.5;

} // namespace

void FairQueue::push(const Waiter &waiter)
{
    const std::size_t priorityClass = harelink::priorityClass(waiter.priority);
    const bool added =
        m_accounts[waiter.account][priorityClass].emplace(waiter.due, waiter.sequence).second;
    assert(added && "request is already queued");
    m_size += added ? 1 : 0;
    m_sizeByClass[priorityClass] += added ? 1 : 0;
}

void FairQueue::remove(const Waiter &waiter)
{
    const std::size_t priorityClass = harelink::priorityClass(waiter.priority);
    erase(waiter.account, priorityClass, {waiter.due, waiter.sequence});
    cancelIfEmpty(priorityClass);
}

void FairQueue::endRound()
{
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        cancelIfEmpty(i);
    }
}

void FairQueue::cancelIfEmpty(std::size_t priorityClass)
{
    if (m_sizeByClass[priorityClass] == 0) {
        m_classShares[priorityClass].cancel();
    }
}

void FairQueue::erase(const std::string &account, std::size_t priorityClass,
                      const Backlog::value_type &entry)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return;
    }
    const std::size_t erased = found->second[priorityClass].erase(entry);
    m_size -= erased;
    m_sizeByClass[priorityClass] -= erased;
    if (mostUrgentClass(found->second) == priorityClassCount) {
        m_accounts.erase(found);
    }
}

std::vector<FairQueue::Candidate> FairQueue::candidates(const Snapshot &snapshot,
                                                        const std::string &pool,
                                                        const SlotShares &shares,
                                                        TimePoint now) const
{
    std::vector<Candidate> candidates;
    for (const auto &[account, backlogs] : m_accounts) {
        if (shares.mayDispatch(snapshot, account)) {
            candidates.push_back(
                {&account, &backlogs, weightedUsage(snapshot, account, pool, now)});
        }
    }
    return candidates;
}

/// Returns the request that goes before those of \p topClass because of a guaranteed minimum;
/// std::nullopt if there is none.
auto FairQueue::chooseByMinimum(const std::vector<Candidate> &candidates,
                                std::size_t topClass) const -> std::optional<Choice>
{
    // Of a class that is owed a dispatch, the request with the earliest due time goes: each
    // request becomes the earliest at some time, whatever its account has used.
    std::optional<Choice> choice;
    for (std::size_t i = topClass + 1; i < priorityClassCount; ++i) {
        const bool isPreferred =
            m_classShares[i].isOwed()
            && (!choice || m_classShares[i].owed() > m_classShares[choice->priorityClass].owed());
        if (!isPreferred) {
            continue;
        }
        const Candidate *earliest = nullptr;
        for (const Candidate &candidate : candidates) {
            const Backlog &backlog = (*candidate.backlogs)[i];
            if (!backlog.empty()
                && (earliest == nullptr || *backlog.begin() < *(*earliest->backlogs)[i].begin())) {
                earliest = &candidate;
            }
        }
        if (earliest != nullptr) {
            choice = Choice{earliest, i, Guarantee::OfClass};
        }
    }
    if (choice) {
        return choice;
    }
    const double total =
        std::accumulate(candidates.begin(), candidates.end(), 0.0,
                        [](double sum, const Candidate &next) { return sum + next.usage; });
    const double fairUsage = total / static_cast<double>(candidates.size());
    // Ties are broken by class and due time, so that the order of accounts does not matter.
    const auto rank = [](const Candidate &candidate) {
        const std::size_t ownClass = mostUrgentClass(*candidate.backlogs);
        return std::tuple(candidate.usage, ownClass, *(*candidate.backlogs)[ownClass].begin());
    };
    const auto least = std::min_element(
        candidates.begin(), candidates.end(),
        [&rank](const Candidate &a, const Candidate &b) { return rank(a) < rank(b); });
    const std::size_t ownClass = mostUrgentClass(*least->backlogs);
    if (ownClass > topClass && least->usage < guaranteedUsageFraction * fairUsage) {
        return Choice{&*least, ownClass, Guarantee::OfAccount};
    }
    return std::nullopt;
}

std::optional<FairQueue::Selection> FairQueue::pop(const Snapshot &snapshot,
                                                   const std::string &pool,
                                                   const SlotShares &shares, TimePoint now)
{
    const std::vector<Candidate> maySend = candidates(snapshot, pool, shares, now);
    if (maySend.empty()) {
        return std::nullopt;
    }
    std::size_t topClass = priorityClassCount;
    for (const Candidate &candidate : maySend) {
        topClass = std::min(topClass, mostUrgentClass(*candidate.backlogs));
    }
    const std::optional<Choice> byMinimum =
        m_options.guaranteesMinimum ? chooseByMinimum(maySend, topClass) : std::nullopt;
    Choice choice{nullptr, topClass, Guarantee::None};
    for (const Candidate &candidate : maySend) {
        const Backlog &backlog = (*candidate.backlogs)[topClass];
        if (backlog.empty()) {
            continue;
        }
        // Ties are broken by deadline, so that the result does not depend on the order of accounts.
        if (choice.candidate == nullptr || candidate.usage < choice.candidate->usage
            || (candidate.usage == choice.candidate->usage
                && *backlog.begin() < *(*choice.candidate->backlogs)[topClass].begin())) {
            choice.candidate = &candidate;
        }
    }
    choice = byMinimum.value_or(choice);
    const Backlog::value_type entry = *(*choice.candidate->backlogs)[choice.priorityClass].begin();
    const std::string account = *choice.candidate->account;
    erase(account, choice.priorityClass, entry);
    return Selection{entry.second, choice.guarantee};
}

void FairQueue::recordDispatch(const Waiter &waiter, Guarantee guarantee)
{
    const std::size_t dispatched = priorityClass(waiter.priority);
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        if (m_sizeByClass[i] > 0 || i == dispatched) {
            m_classShares[i].accrue(GuaranteedShare::classShare, 1);
        }
    }
    m_classShares[dispatched].settle(1, guarantee == Guarantee::OfClass);
}

} // namespace harelink
