//===- harelink/Kernel/budgetloans.h - Loans of retries ---------*- C++ -*-===//
///
/// \file
/// Daemons lend each other unused parts of their shares of the retry allowance.
///
/// The load that this addresses: most connections of a data centre reach one daemon. Its even
/// share of the allowance (2.6 retries in 10 s for 172 at 66 daemons) is used up by the first
/// broken calls, while the shares of the others are not used at all.
///
/// A daemon whose budget for a pool is nearly used up requests loans from up to three peers,
/// chosen at random. A loan may be used for a term from the time of its request on. The lender
/// withholds it from the time of its reply on for a term and a window, so that in each window the
/// retries paid with a loan and those of its lender together stay within the lender's share. This
/// does not depend on which messages arrive, nor on what the daemons assume about each other.
/// docs/design/shares-by-demand.md has the argument.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_BUDGETLOANS_H
#define HARELINK_KERNEL_BUDGETLOANS_H

#include "harelink/Kernel/types.h"
#include "harelink/Support/clock.h"
#include "harelink/Support/random.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Requests a loan of retries to \p pool.
struct BudgetLoanRequest
{
    std::string pool;
    std::uint32_t retries = 0;
    std::chrono::microseconds stamp{}; ///< Of the sender's clock; returned by the loan.
};

/// Lends retries to \p pool, in response to the request with \p stamp.
struct BudgetLoan
{
    std::string pool;
    double retries = 0; ///< A multiple of loanUnit.
    std::chrono::microseconds stamp{};
};

/// Event: the retry budget of \p pool at \p worker is nearly used up.
struct RetriesWanted
{
    std::string pool;
    int worker = 0; ///< Index of the worker in its daemon.
};

/// A request of a peer, for one of the workers of this daemon.
struct LendRetries
{
    std::string host; ///< The borrower.
    BudgetLoanRequest request;
};

/// A worker has lent retries. It withholds them from now on.
struct RetriesLent
{
    std::string host; ///< The borrower.
    BudgetLoan loan;
};

/// A loan that a worker may use before \p until.
struct RetriesBorrowed
{
    int worker = 0;
    std::string host; ///< The lender.
    std::string pool;
    double retries = 0;
    TimePoint until;
    Duration roundTrip{}; ///< From the request to the loan.
};

/// An invalid field of a message of a peer, which was dropped.
struct InvalidLoanField
{
    std::string host;
    std::string field;
    std::string value;
};

struct BudgetLoanCounters
{
    std::uint64_t requested = 0; ///< Requests sent, one for each peer.
    std::uint64_t received = 0;  ///< Valid requests of peers.
    std::uint64_t granted = 0;   ///< Loans to peers.
    std::uint64_t taken = 0;     ///< Loans of peers.
    std::uint64_t late = 0;      ///< Loans of peers that were late, duplicate or not requested.
    std::uint64_t invalid = 0;   ///< Messages with an invalid field.
};

namespace budgetloans {

/// The smallest amount of a loan. Shares of large fleets are below one retry per worker.
inline constexpr double loanUnit = 0.001;
/// Smaller loans are not worth a message.
inline constexpr double minLoan = 0.05;
/// The amount that a request asks of each peer. With few daemons, a peer could lend more than the
/// borrower uses within a term, and what is not used is lost for both sides.
inline constexpr std::uint32_t retriesPerRequest = 8;
/// A loan that arrives later after its request is not used: little of its term would be left.
inline constexpr std::chrono::milliseconds replyTimeout{1000};

/// Returns the time for which a loan may be used: the retries of one burst are sent within it. A
/// longer term withholds unused loans for longer, and the allowance of a daemon that has started.
[[nodiscard]] std::chrono::milliseconds termFor(std::chrono::milliseconds window);
/// Returns the part of \p lendable, limited to \p requested, that is lent; zero if it is not
/// worth a message.
[[nodiscard]] double loanOf(double lendable, std::uint32_t requested);

} // namespace budgetloans

/// The messages about loans of one daemon. Used on the control thread; the retry budgets belong to
/// the workers.
class BudgetLoans
{
public:
    /// A request to send to a peer.
    struct Send
    {
        std::string host;
        BudgetLoanRequest request;
    };

    /// \param clock must outlive this object.
    /// \param term the time for which a loan may be used, from its request on.
    /// \param seed of the random generator that chooses peers.
    BudgetLoans(const Clock &clock, std::chrono::milliseconds term, std::uint64_t seed);

    /// Returns requests to up to three of \p peers.
    [[nodiscard]] std::vector<Send> request(const RetriesWanted &event,
                                            std::vector<std::string> peers);
    /// Handles the request of a peer. Returns it for a worker, unless it is invalid, or is not
    /// newer than another one of the same peer for the same pool.
    [[nodiscard]] std::optional<LendRetries>
    handle(const std::string &host, Incarnation incarnation, const BudgetLoanRequest &request);
    /// Records a loan that a worker has granted.
    void recordGranted() { ++m_counters.granted; }
    /// Handles a loan of a peer. Returns what the worker may use, if anything: each reply to a
    /// request is used at most once.
    [[nodiscard]] std::optional<RetriesBorrowed> handle(const std::string &host,
                                                        const BudgetLoan &loan);
    /// Returns the invalid fields since the last call, at most one for each peer in the life of
    /// this daemon.
    [[nodiscard]] std::vector<InvalidLoanField> drainInvalidFields()
    {
        return std::exchange(m_invalidFields, {});
    }
    [[nodiscard]] const BudgetLoanCounters &counters() const { return m_counters; }

private:
    /// A request whose replies may still be used.
    struct Pending
    {
        std::string pool;
        int worker = 0;
        TimePoint sentAt;
        std::vector<std::string> hosts; ///< That have not replied.
    };
    /// The newest request of a peer for a pool.
    struct Seen
    {
        Incarnation incarnation = 0;
        std::chrono::microseconds stamp{};
    };

    void recordInvalid(const std::string &host, const char *field, std::string value);
    [[nodiscard]] bool isNewest(const std::string &host, Incarnation incarnation,
                                const BudgetLoanRequest &request);
    void dropOldRequests();

    const Clock &m_clock;
    std::chrono::milliseconds m_term;
    Random m_random;
    std::chrono::microseconds m_lastStamp = std::chrono::microseconds::min();
    std::map<std::chrono::microseconds, Pending> m_pending;     ///< By stamp.
    std::map<std::pair<std::string, std::string>, Seen> m_seen; ///< By peer and pool.
    std::set<std::string> m_reportedHosts; ///< Peers whose invalid fields were reported.
    std::vector<InvalidLoanField> m_invalidFields;
    BudgetLoanCounters m_counters;
};

} // namespace harelink

#endif // HARELINK_KERNEL_BUDGETLOANS_H
