//===- budgetloanstest.cpp - Tests of loans of retries --------------------===//

#include "harelink/Kernel/budgetloans.h"
#include "harelink/Kernel/retrybudget.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace harelink;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds window{10'000};
constexpr milliseconds term{3000};
/// The part of the limit that budgets use.
constexpr double usableFraction = 0.75;

/// The clock of one host: that of the test, with an offset, since hosts share no clock.
class OffsetClock final : public Clock
{
public:
    OffsetClock(const Clock &clock, Duration offset)
        : m_clock(clock)
        , m_offset(offset)
    {
    }
    [[nodiscard]] TimePoint now() const override { return m_clock.now() + m_offset; }
    [[nodiscard]] WallTime wallNow() const override { return m_clock.wallNow(); }

private:
    const Clock &m_clock;
    Duration m_offset;
};

struct FleetOptions
{
    int hosts = 66;
    double allowance = 172;
    double faults = 0;          ///< Probability of each fault of a message.
    double restarts = 0;        ///< Probability that a host restarts, per step of 20 ms.
    bool withholdsLent = true;  ///< Otherwise lenders use what they have lent.
    bool withholdsStart = true; ///< Otherwise hosts use their share from their start on.
    bool hasLoans = true;       ///< Otherwise hosts request none.
    double elsewhere = 0;       ///< Share of the retries that are wanted at other hosts.
    std::uint64_t seed = 1;
};

/// The retry budgets of many hosts, and a network that loses, doubles and delays loan messages.
/// Most or all retries are wanted at the first host, more than all hosts may send together.
class LoanFleet
{
public:
    explicit LoanFleet(const FleetOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_hosts(static_cast<std::size_t>(options.hosts))
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].clock =
                std::make_unique<OffsetClock>(m_clock, seconds(7 * static_cast<int>(i)));
            start(m_hosts[i], false);
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            m_clock.advance(milliseconds(20));
            deliver();
            for (Host &host : m_hosts) {
                if (m_random.chance(m_options.restarts)) {
                    start(host, true);
                }
            }
            const bool isElsewhere = m_random.chance(m_options.elsewhere);
            retryAt(isElsewhere ? m_random.below(m_hosts.size()) : 0);
            sendQueued();
        }
    }

    /// Returns the largest number of retries of all hosts in any window.
    [[nodiscard]] std::size_t worstWindow() const
    {
        std::size_t most = 0;
        for (auto first = m_retries.begin(); first != m_retries.end(); ++first) {
            const auto end = std::upper_bound(first, m_retries.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    /// Returns the number of retries of all hosts.
    [[nodiscard]] std::size_t retries() const { return m_retries.size(); }
    [[nodiscard]] std::uint64_t loansTaken() const { return m_taken; }

private:
    struct Host
    {
        std::unique_ptr<OffsetClock> clock;
        Incarnation incarnation = 0;
        std::unique_ptr<RetryBudget> budget;
        std::unique_ptr<BudgetLoans> loans;
    };
    struct Queued
    {
        std::size_t host = 0;
        Incarnation incarnation = 0;
        RetryReservation reservation;
        TimePoint sendAt;
    };

    static std::string nameOf(std::size_t index) { return fmt::format("h{}", index); }

    void start(Host &host, bool isRestart)
    {
        host.incarnation = m_random.bits();
        RetryBudgetOptions options{0, m_options.allowance, window, TimePoint::min(),
                                   m_options.hasLoans ? term : milliseconds::zero()};
        if (isRestart && m_options.withholdsStart) {
            options.startedAt = host.clock->now();
        }
        host.budget = std::make_unique<RetryBudget>(options);
        host.loans = std::make_unique<BudgetLoans>(*host.clock, term, host.incarnation);
    }

    /// A call of a request breaks at the host. Its retry waits up to 5 s for an endpoint.
    void retryAt(std::size_t index)
    {
        Host &host = m_hosts[index];
        const TimePoint now = host.clock->now();
        if (const auto reservation = host.budget->reserve(now, m_options.hosts)) {
            const Duration wait = milliseconds(m_random.chance(0.5) ? 0 : m_random.below(5000));
            m_queue.push_back({index, host.incarnation, *reservation, m_clock.now() + wait});
        }
        if (host.budget->claimLoanRequest(now, m_options.hosts)) {
            requestLoans(index);
        }
    }

    void requestLoans(std::size_t index)
    {
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (i != index) {
                peers.push_back(nameOf(i));
            }
        }
        const Incarnation incarnation = m_hosts[index].incarnation;
        for (const BudgetLoans::Send &send : m_hosts[index].loans->request({"p", 0}, peers)) {
            const auto lender = static_cast<std::size_t>(std::stoi(send.host.substr(1)));
            post([=, this] { lend(lender, index, incarnation, send.request); });
        }
    }

    void lend(std::size_t lender, std::size_t borrower, Incarnation incarnation,
              const BudgetLoanRequest &request)
    {
        Host &host = m_hosts[lender];
        if (!host.loans->handle(nameOf(borrower), incarnation, request)) {
            return;
        }
        const TimePoint now = host.clock->now();
        const double retries =
            budgetloans::loanOf(host.budget->lendable(now, m_options.hosts), request.retries);
        if (retries <= 0) {
            return;
        }
        if (m_options.withholdsLent) {
            host.budget->lend(retries, now);
        }
        post([=, this] {
            const auto loan = m_hosts[borrower].loans->handle(
                nameOf(lender), BudgetLoan{request.pool, retries, request.stamp});
            if (loan) {
                ++m_taken;
                m_hosts[borrower].budget->borrow(loan->retries, loan->until);
            }
        });
    }

    void sendQueued()
    {
        for (const Queued &queued : m_queue) {
            Host &host = m_hosts[queued.host];
            if (queued.sendAt > m_clock.now() || queued.incarnation != host.incarnation) {
                continue;
            }
            std::optional<RetryReservation> reservation = queued.reservation;
            if (host.clock->now() >= reservation->until) {
                host.budget->releaseReserved(*reservation);
                reservation = host.budget->reserve(host.clock->now(), m_options.hosts);
            }
            if (reservation) {
                host.budget->recordRetry(host.clock->now(), *reservation);
                m_retries.push_back(m_clock.now());
            }
        }
        std::erase_if(m_queue, [this](const Queued &queued) {
            return queued.sendAt <= m_clock.now()
                   || queued.incarnation != m_hosts[queued.host].incarnation;
        });
    }

    void post(const std::function<void()> &event)
    {
        if (m_random.chance(m_options.faults)) {
            return;
        }
        const int copies = m_random.chance(m_options.faults) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const bool isLate = m_random.chance(m_options.faults);
            const Duration delay = milliseconds(1 + (isLate ? m_random.below(4000) : 0));
            m_messages.emplace(m_clock.now() + delay, event);
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_clock.now()) {
            const std::function<void()> event = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            event();
        }
    }

    FleetOptions m_options;
    ManualClock m_clock;
    Random m_random;
    std::vector<Host> m_hosts;
    std::vector<Queued> m_queue;
    std::multimap<TimePoint, std::function<void()>> m_messages;
    std::vector<TimePoint> m_retries;
    std::uint64_t m_taken = 0;
};

std::size_t worstWindowOf(const FleetOptions &options)
{
    LoanFleet fleet(options);
    fleet.run(seconds(60));
    CHECK(fleet.loansTaken() > 0);
    return fleet.worstWindow();
}

} // namespace

TEST_GROUP(BudgetLoans)
{
    ManualClock clock;
    BudgetLoans borrower{clock, term, 1};
    BudgetLoans lender{clock, term, 2};
};

// Without loans the only host with requests uses its even share, 1.95 retries, and nothing else.
TEST(BudgetLoans, OneHostWithAllRequestsUsesTheSharesOfTheOthers)
{
    const FleetOptions options;
    const std::size_t worst = worstWindowOf(options);
    CHECK(static_cast<double>(worst) <= options.allowance * usableFraction);
    CHECK(worst >= 40);
}

// Guards against lost, doubled and late messages and restarts of either side making retries out of
// nothing.
TEST(BudgetLoans, NoWindowExceedsTheWhole)
{
    for (const int hosts : {3, 9, 66}) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            FleetOptions options;
            options.hosts = hosts;
            options.faults = 0.15;
            options.restarts = 0.02 / hosts;
            options.elsewhere = 0.3;
            options.seed = seed;
            CHECK(static_cast<double>(worstWindowOf(options))
                  <= options.allowance * usableFraction);
        }
    }
}

// The control of NoWindowExceedsTheWhole.
TEST(BudgetLoans, LendersThatUseWhatTheyLentExceedTheWhole)
{
    FleetOptions options;
    options.hosts = 9;
    options.elsewhere = 0.3;
    options.withholdsLent = false;
    CHECK(static_cast<double>(worstWindowOf(options)) > options.allowance);
}

// A lender that restarts has forgotten its loans, so it must wait until they have ended.
TEST(BudgetLoans, RestartedLendersThatUseTheirShareExceedTheWhole)
{
    FleetOptions options;
    options.hosts = 9;
    options.restarts = 0.1 / 9;
    options.elsewhere = 0.3;
    options.withholdsStart = false;
    CHECK(static_cast<double>(worstWindowOf(options)) > options.allowance);
}

TEST(BudgetLoans, HostsThatAllNeedRetriesKeepTheirShares)
{
    const auto retriesOf = [](bool hasLoans) {
        FleetOptions options;
        options.elsewhere = 1;
        options.hasLoans = hasLoans;
        LoanFleet fleet(options);
        fleet.run(2 * window); // Loans of the time before all hosts needed retries have ended.
        const std::size_t before = fleet.retries();
        fleet.run(6 * window);
        return fleet.retries() - before;
    };
    CHECK(retriesOf(true) >= retriesOf(false));
}

TEST(BudgetLoans, AsksThreeDifferentPeers)
{
    const auto sends = borrower.request({"p", 1}, {"a", "b", "c", "d", "e"});
    LONGS_EQUAL(3, sends.size());
    CHECK(sends[0].host != sends[1].host && sends[1].host != sends[2].host
          && sends[0].host != sends[2].host);
    LONGS_EQUAL(2, borrower.request({"p", 1}, {"a", "b"}).size());
    LONGS_EQUAL(0, borrower.request({"p", 1}, {}).size());
}

TEST(BudgetLoans, ALoanCountsFromItsRequestAndOnce)
{
    const TimePoint sentAt = clock.now();
    const auto sends = borrower.request({"p", 1}, {"a"});
    clock.advance(milliseconds(400));
    const BudgetLoan loan{"p", 2.5, sends.at(0).request.stamp};
    CHECK_FALSE(borrower.handle("b", loan).has_value()); // It was not asked.
    CHECK_FALSE(borrower.handle("a", BudgetLoan{"q", 2.5, loan.stamp}).has_value());
    const auto borrowed = borrower.handle("a", loan);
    CHECK(borrowed.has_value());
    LONGS_EQUAL(1, borrowed->worker);
    CHECK(borrowed->until == sentAt + term);
    CHECK_FALSE(borrower.handle("a", loan).has_value());
    LONGS_EQUAL(1, borrower.counters().taken);
    LONGS_EQUAL(3, borrower.counters().late);
}

TEST(BudgetLoans, ALateLoanIsNotUsed)
{
    const auto sends = borrower.request({"p", 0}, {"a"});
    clock.advance(milliseconds(1001));
    CHECK_FALSE(borrower.handle("a", BudgetLoan{"p", 1, sends.at(0).request.stamp}).has_value());
}

TEST(BudgetLoans, RequestsOfOneInstantHaveDifferentStamps)
{
    const auto first = borrower.request({"p", 0}, {"a"});
    const auto second = borrower.request({"p", 1}, {"a"});
    CHECK(first.at(0).request.stamp != second.at(0).request.stamp);
}

TEST(BudgetLoans, ADuplicateRequestIsNotGrantedAgain)
{
    const BudgetLoanRequest request{"p", 8, microseconds(50)};
    CHECK(lender.handle("a", 1, request).has_value());
    CHECK_FALSE(lender.handle("a", 1, request).has_value());
    CHECK_FALSE(lender.handle("a", 1, {"p", 8, microseconds(40)}).has_value());
    CHECK(lender.handle("a", 1, {"q", 8, microseconds(50)}).has_value());
    CHECK(lender.handle("a", 2, {"p", 8, microseconds(10)}).has_value()); // After a restart.
}

TEST(BudgetLoans, InvalidFieldsAreDroppedAndNamedOnceForEachPeer)
{
    CHECK_FALSE(lender.handle("a", 1, {"", 8, microseconds(1)}).has_value());
    CHECK_FALSE(lender.handle("a", 1, {"p", 0, microseconds(1)}).has_value());
    CHECK_FALSE(lender.handle("b", 1, {"p", 4'000'000'000U, microseconds(1)}).has_value());
    CHECK_FALSE(lender.handle("c", 1, {"p", 8, microseconds(-1)}).has_value());
    CHECK_FALSE(lender.handle("d", 1, {std::string(300, 'x'), 8, microseconds(1)}).has_value());
    LONGS_EQUAL(5, lender.counters().invalid);
    const std::vector<InvalidLoanField> fields = lender.drainInvalidFields();
    LONGS_EQUAL(4, fields.size());
    STRCMP_EQUAL("pool", fields[0].field.c_str());
    STRCMP_EQUAL("retries", fields[1].field.c_str());
    STRCMP_EQUAL("4000000000", fields[1].value.c_str());
    STRCMP_EQUAL("stamp_micros", fields[2].field.c_str());
}

TEST(BudgetLoans, ALoanOfMoreThanWasRequestedIsNotUsed)
{
    for (const double retries : {0.0, -1.0, 8.5, 4e9}) {
        const auto sends = borrower.request({"p", 0}, {"a"});
        const BudgetLoan loan{"p", retries, sends.at(0).request.stamp};
        CHECK_FALSE(borrower.handle("a", loan).has_value());
    }
    LONGS_EQUAL(4, borrower.counters().invalid);
}

TEST(BudgetLoans, LoansAreRoundedDown)
{
    DOUBLES_EQUAL(0.975, budgetloans::loanOf(0.9759, 8), 1e-9);
    DOUBLES_EQUAL(8, budgetloans::loanOf(21.5, 8), 1e-9);
    DOUBLES_EQUAL(0, budgetloans::loanOf(0.049, 8), 1e-9);
}
