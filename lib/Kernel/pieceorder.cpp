//===- pieceorder.cpp - Order of waiting pieces ---------------------------===//

#include "harelink/Kernel/pieceorder.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

namespace harelink {
namespace {

/// Maximum number of accounts without waiting pieces that are remembered because they were sent
/// more than their share; about 100 bytes each.
constexpr std::size_t maxIdleAccounts = 256;

/// Whether \p piece belongs to a request that was admitted late, into otherwise idle slots.
bool isAdmittedLate(const WaitingPiece &piece)
{
    return piece.priority >= latePriorityPenalty;
}

/// Returns the indices of \p pieces by class and due time.
std::vector<std::size_t> sortedByClass(const std::vector<WaitingPiece> &pieces, TimePoint earliest)
{
    const auto rank = [&pieces, earliest](std::size_t index) {
        const WaitingPiece &piece = pieces[index];
        return std::tuple(piece.objective < earliest, isAdmittedLate(piece),
                          priorityClass(piece.priority), piece.objective, piece.request,
                          piece.stage);
    };
    std::vector<std::size_t> order(pieces.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(),
                     [&rank](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
    return order;
}

} // namespace

/// Adjacent pieces of one stage of one request, which are planned together.
struct PieceSequence::Run
{
    std::size_t begin = 0; ///< Into the sorted pieces.
    std::size_t end = 0;
    std::size_t priorityClass = 0;
    std::string_view account;
    std::size_t accountIndex = 0;
    bool isPlanned = false;

    [[nodiscard]] std::int64_t count() const { return static_cast<std::int64_t>(end - begin); }
};

/// Merges the runs of the classes and accounts, assuming that all pieces planned so far are sent.
class PieceSequence::Planner
{
public:
    Planner(const PieceSequence &sequence, std::vector<Run> runs)
        : m_classes(sequence.m_classes)
        , m_accountShare(sequence.accountShare())
        , m_runs(std::move(runs))
    {
        std::map<std::string_view, std::size_t> indices;
        for (const auto &[name, account] : sequence.m_accounts) {
            if (account.isWaiting) {
                indices.emplace(name, m_accounts.size());
                m_accounts.push_back({account.share, {}});
            }
        }
        for (std::size_t i = 0; i < m_runs.size(); ++i) {
            m_runs[i].accountIndex = indices.at(m_runs[i].account);
            m_accounts[m_runs[i].accountIndex].runs.indices.push_back(i);
            m_classRuns[m_runs[i].priorityClass].indices.push_back(i);
        }
    }

    /// Plans the next run; std::nullopt if all are planned.
    std::optional<std::pair<Run, Guarantee>> next()
    {
        std::size_t topClass = 0;
        while (topClass < priorityClassCount && !firstOf(m_classRuns[topClass])) {
            ++topClass;
        }
        if (topClass == priorityClassCount) {
            return std::nullopt;
        }
        const std::size_t top = *firstOf(m_classRuns[topClass]);
        std::size_t chosen = top;
        Guarantee guarantee = Guarantee::None;
        if (const auto run = owedClass(topClass)) {
            chosen = *run;
            guarantee = Guarantee::OfClass;
        } else if (const auto ofAccount = owedAccount(); ofAccount && *ofAccount != top) {
            chosen = *ofAccount;
            guarantee = Guarantee::OfAccount;
        }
        m_runs[chosen].isPlanned = true;
        settle(m_runs[chosen], guarantee);
        return std::pair(m_runs[chosen], guarantee);
    }

private:
    /// Runs in sorted order, and the first that may not be planned yet.
    struct RunList
    {
        std::vector<std::size_t> indices;
        std::size_t first = 0;
    };
    struct PlannedAccount
    {
        GuaranteedShare share;
        RunList runs;
    };

    /// Returns the first run that is not planned yet; std::nullopt if there is none.
    std::optional<std::size_t> firstOf(RunList &list) const
    {
        while (list.first < list.indices.size() && m_runs[list.indices[list.first]].isPlanned) {
            ++list.first;
        }
        return list.first < list.indices.size() ? std::optional(list.indices[list.first])
                                                : std::nullopt;
    }
    std::optional<std::size_t> owedClass(std::size_t topClass)
    {
        std::optional<std::size_t> run;
        std::int64_t owed = 0;
        for (std::size_t i = topClass + 1; i < priorityClassCount; ++i) {
            if (m_classes[i].isOwed() && m_classes[i].owed() > owed && firstOf(m_classRuns[i])) {
                owed = m_classes[i].owed();
                run = firstOf(m_classRuns[i]);
            }
        }
        return run;
    }
    std::optional<std::size_t> owedAccount()
    {
        std::optional<std::size_t> run;
        std::int64_t owed = 0;
        for (PlannedAccount &account : m_accounts) {
            if (account.share.isOwed() && account.share.owed() > owed && firstOf(account.runs)) {
                owed = account.share.owed();
                run = firstOf(account.runs);
            }
        }
        return run;
    }
    void settle(const Run &run, Guarantee guarantee)
    {
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            if (i == run.priorityClass || firstOf(m_classRuns[i])) {
                m_classes[i].accrue(GuaranteedShare::classShare, run.count());
            }
        }
        m_classes[run.priorityClass].settle(run.count(), guarantee == Guarantee::OfClass);
        PlannedAccount &own = m_accounts[run.accountIndex];
        for (PlannedAccount &account : m_accounts) {
            if (&account == &own || firstOf(account.runs)) {
                account.share.accrue(m_accountShare, run.count());
            }
        }
        own.share.settle(run.count(), guarantee == Guarantee::OfAccount);
    }

    std::array<GuaranteedShare, priorityClassCount> m_classes;
    std::array<RunList, priorityClassCount> m_classRuns;
    std::vector<PlannedAccount> m_accounts;
    std::int64_t m_accountShare = 0;
    std::vector<Run> m_runs;
};

/// Returns the guaranteed share of an account: a tenth as for a class, but at most half of an equal
/// share, so that priorities keep an effect with more than five accounts.
std::int64_t PieceSequence::accountShare() const
{
    const auto accounts = static_cast<std::int64_t>(std::max<std::size_t>(1, m_waitingAccounts));
    return std::min(GuaranteedShare::classShare, GuaranteedShare::unit / (2 * accounts));
}

/// Records which classes and accounts have pieces in \p runs. The others are owed nothing.
void PieceSequence::recordWaiting(const std::vector<Run> &runs)
{
    m_isClassWaiting = {};
    for (auto &[name, account] : m_accounts) {
        account.isWaiting = false;
    }
    for (const Run &run : runs) {
        m_isClassWaiting[run.priorityClass] = true;
        auto account = m_accounts.find(run.account);
        if (account == m_accounts.end()) {
            account = m_accounts.emplace(std::string(run.account), Account()).first;
        }
        account->second.isWaiting = true;
    }
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        if (!m_isClassWaiting[i]) {
            m_classes[i].accrueWithoutWork(0, 0);
        }
    }
    m_waitingAccounts = 0;
    std::size_t idle = 0;
    std::erase_if(m_accounts, [&](const auto &entry) {
        const Account &account = entry.second;
        m_waitingAccounts += account.isWaiting ? 1 : 0;
        return !account.isWaiting && (account.share.owed() >= 0 || ++idle > maxIdleAccounts);
    });
}

std::vector<PlannedPiece> PieceSequence::plan(const std::vector<WaitingPiece> &pieces,
                                              TimePoint earliest, std::size_t limit)
{
    const std::vector<std::size_t> sorted = sortedByClass(pieces, earliest);
    std::vector<Run> runs;
    bool hasSeveralClasses = false;
    std::size_t guaranteed = 0; // Leading pieces to which the guarantees apply.
    for (; guaranteed < sorted.size(); ++guaranteed) {
        const WaitingPiece &piece = pieces[sorted[guaranteed]];
        if (piece.objective < earliest || isAdmittedLate(piece)) {
            break;
        }
        const std::size_t ownClass = priorityClass(piece.priority);
        const WaitingPiece *before = guaranteed > 0 ? &pieces[sorted[guaranteed - 1]] : nullptr;
        hasSeveralClasses |= before != nullptr && priorityClass(before->priority) != ownClass;
        const bool continues = before != nullptr && before->request == piece.request
                               && before->stage == piece.stage
                               && runs.back().priorityClass == ownClass;
        if (continues) {
            runs.back().end = guaranteed + 1;
        } else {
            runs.push_back({guaranteed, guaranteed + 1, ownClass, piece.account});
        }
    }
    if (!hasSeveralClasses || !m_options.guaranteesMinimum) {
        runs.clear();
        guaranteed = 0;
    }
    recordWaiting(runs);

    std::vector<PlannedPiece> plan;
    plan.reserve(pieces.size());
    std::vector<bool> isPlanned(sorted.size());
    Planner planner(*this, std::move(runs));
    while (plan.size() < std::min(limit, guaranteed)) {
        const auto [run, guarantee] = *planner.next();
        for (std::size_t i = run.begin; i < run.end; ++i) {
            plan.push_back({sorted[i], guarantee});
            isPlanned[i] = true;
        }
    }
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        if (!isPlanned[i]) {
            plan.push_back({sorted[i], Guarantee::None});
        }
    }
    return plan;
}

void PieceSequence::recordSent(const WaitingPiece &piece, Guarantee guarantee)
{
    if (isAdmittedLate(piece)) {
        return;
    }
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        if (m_isClassWaiting[i]) {
            m_classes[i].accrue(GuaranteedShare::classShare, 1);
        } else {
            m_classes[i].accrueWithoutWork(GuaranteedShare::classShare, 1);
        }
    }
    m_classes[priorityClass(piece.priority)].settle(1, guarantee == Guarantee::OfClass);
    const std::int64_t share = accountShare();
    for (auto &[name, account] : m_accounts) {
        if (account.isWaiting) {
            account.share.accrue(share, 1);
        } else {
            account.share.accrueWithoutWork(share, 1);
        }
    }
    if (const auto own = m_accounts.find(piece.account); own != m_accounts.end()) {
        own->second.share.settle(1, guarantee == Guarantee::OfAccount);
    }
}

} // namespace harelink
