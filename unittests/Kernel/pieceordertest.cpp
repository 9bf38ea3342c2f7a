//===- pieceordertest.cpp - Tests of the order of waiting pieces ----------===//
///
/// \file
/// Guards against a burst of urgent pieces that starves other routes and accounts, and against
/// a changed order where all pieces have one priority. Simulates a stage of calls of 20 pieces.
///
//===----------------------------------------------------------------------===//

#include "harelink/Kernel/pieceorder.h"
#include "harelink/Support/random.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <tuple>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr PriorityOptions withoutMinimum{false};
constexpr std::size_t noLimit = 100'000;

WaitingPiece makePiece(std::uint64_t sequence, int priority, std::string_view account,
                       milliseconds objective)
{
    return {{7, sequence}, 0, priority, account, TimePoint() + objective};
}

/// Returns the indices of \p pieces in the order without classes and minimums.
std::vector<std::size_t> referenceOrder(const std::vector<WaitingPiece> &pieces, TimePoint earliest)
{
    std::vector<std::size_t> order(pieces.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    const auto rank = [&](std::size_t index) {
        const WaitingPiece &piece = pieces[index];
        return std::tuple(piece.objective < earliest, piece.priority, piece.objective,
                          piece.request, piece.stage);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
    return order;
}

std::vector<std::size_t> indicesOf(const std::vector<PlannedPiece> &plan)
{
    std::vector<std::size_t> indices(plan.size());
    std::transform(plan.begin(), plan.end(), indices.begin(),
                   [](const PlannedPiece &planned) { return planned.index; });
    return indices;
}

/// Returns how many of 40 plans differ from the order without classes and minimums. Pieces have
/// priorities from \p priorities; a tenth of them was admitted late.
int countDifferences(const std::vector<int> &priorities)
{
    static const std::vector<std::string> accounts = {"large", "small", "other"};
    Random random(5);
    PieceSequence sequence;
    int differences = 0;
    for (int round = 0; round < 40; ++round) {
        std::vector<WaitingPiece> pieces;
        for (std::uint64_t i = 0; i < 200; ++i) {
            const bool isLate = random.below(10) == 0;
            pieces.push_back(makePiece(
                random.below(60),
                priorities[random.below(priorities.size())] + (isLate ? latePriorityPenalty : 0),
                accounts[random.below(accounts.size())], milliseconds(random.below(50))));
        }
        const TimePoint earliest = TimePoint() + milliseconds(10);
        const std::vector<PlannedPiece> plan = sequence.plan(pieces, earliest, noLimit);
        differences += indicesOf(plan) != referenceOrder(pieces, earliest) ? 1 : 0;
        for (std::size_t i = 0; i < 50; ++i) {
            sequence.recordSent(pieces[plan[i].index], plan[i].guarantee);
        }
    }
    return differences;
}

/// A route as one account calls it.
struct Source
{
    std::string account;
    int priority = 0;
    double perSecond = 0; ///< Requests.
    double burstFactor = 1;
    std::uint64_t pieces = 4; ///< Per request.
};

/// What the callers of one source got during the burst.
struct Served
{
    int pieces = 0;
    int inTime = 0;
    [[nodiscard]] double fraction() const { return static_cast<double>(inTime) / pieces; }
};

/// A stage that starts a call of at most 20 pieces every 50 ms, 400 pieces per second. Calls take
/// 200 ms, and pieces must be completed within 1 s.
class StageSimulation
{
public:
    StageSimulation(std::vector<Source> sources, PriorityOptions options)
        : m_sources(std::move(sources))
        , m_served(m_sources.size())
        , m_sequence(options)
    {
    }
    /// Runs for 10 s with a burst of 7 s that starts after 1 s.
    std::vector<Served> run()
    {
        for (m_now = milliseconds(0); m_now < milliseconds(10'000); m_now += milliseconds(1)) {
            arrive();
            if (m_now.count() % 50 == 0) {
                startCall();
            }
        }
        return m_served;
    }

private:
    struct Item
    {
        std::size_t source = 0;
        WaitingPiece piece;
        bool isCounted = false;
    };

    void arrive()
    {
        const bool isBurst = m_now >= milliseconds(1000) && m_now < milliseconds(8000);
        for (std::size_t i = 0; i < m_sources.size(); ++i) {
            const Source &source = m_sources[i];
            const double rate = source.perSecond * (isBurst ? source.burstFactor : 1);
            if (m_random.unit() * 1000 >= rate) {
                continue;
            }
            ++m_lastRequest;
            for (std::uint64_t piece = 0; piece < source.pieces; ++piece) {
                m_waiting.push_back({i,
                                     makePiece(m_lastRequest, source.priority, source.account,
                                               m_now + milliseconds(1000)),
                                     isBurst});
                m_served[i].pieces += isBurst ? 1 : 0;
            }
        }
    }
    void startCall()
    {
        const TimePoint earliest = TimePoint() + m_now + milliseconds(200);
        std::erase_if(m_waiting, [&](const Item &item) { return item.piece.objective < earliest; });
        std::vector<WaitingPiece> pieces;
        for (const Item &item : m_waiting) {
            pieces.push_back(item.piece);
        }
        const std::vector<PlannedPiece> plan = m_sequence.plan(pieces, earliest, 80);
        std::set<std::size_t, std::greater<>> sent;
        for (std::size_t i = 0; i < std::min<std::size_t>(20, plan.size()); ++i) {
            const Item &item = m_waiting[plan[i].index];
            m_sequence.recordSent(item.piece, plan[i].guarantee);
            m_served[item.source].inTime += item.isCounted ? 1 : 0;
            sent.insert(plan[i].index);
        }
        for (const std::size_t index : sent) {
            m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    std::vector<Source> m_sources;
    std::vector<Served> m_served;
    PieceSequence m_sequence;
    Random m_random{11};
    std::vector<Item> m_waiting;
    std::uint64_t m_lastRequest = 0;
    milliseconds m_now{0};
};

std::vector<Served> simulate(std::vector<Source> sources, PriorityOptions options = {})
{
    return StageSimulation(std::move(sources), options).run();
}

/// Sends \p count pieces from a queue in which each class always has requests of \p size pieces
/// waiting; returns the pieces sent by class.
std::array<int, priorityClassCount> sendFromFullQueue(PriorityOptions options, std::uint64_t size,
                                                      int count)
{
    PieceSequence sequence(options);
    std::vector<WaitingPiece> waiting;
    std::uint64_t lastRequest = 0;
    std::array<int, priorityClassCount> sent{};
    for (int total = 0; total < count;) {
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            const auto ofClass = static_cast<std::uint64_t>(
                std::count_if(waiting.begin(), waiting.end(), [i](const WaitingPiece &piece) {
                    return priorityClass(piece.priority) == i;
                }));
            for (std::uint64_t n = ofClass; n < 40; n += size) {
                ++lastRequest;
                for (std::uint64_t piece = 0; piece < size; ++piece) {
                    waiting.push_back(makePiece(lastRequest, static_cast<int>(i), "large",
                                                milliseconds(lastRequest)));
                }
            }
        }
        const std::vector<PlannedPiece> plan = sequence.plan(waiting, {}, 80);
        std::set<std::size_t, std::greater<>> taken;
        for (std::size_t i = 0; i < 20; ++i, ++total) {
            const WaitingPiece &piece = waiting[plan[i].index];
            sequence.recordSent(piece, plan[i].guarantee);
            ++sent[priorityClass(piece.priority)];
            taken.insert(plan[i].index);
        }
        for (const std::size_t index : taken) {
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return sent;
}

} // namespace

TEST_GROUP(PieceOrder){};

TEST(PieceOrder, KeepsTheOrderWhereAllPiecesHaveOnePriority)
{
    for (const int priority : {0, 2, 9}) {
        LONGS_EQUAL(0, countDifferences({priority}));
    }
    // Control: the comparison shows a different order.
    CHECK(countDifferences({0, 2}) > 30);
}

TEST(PieceOrder, ContainsEachPieceOnceAndKeepsRequestsTogether)
{
    Random random(2);
    std::vector<WaitingPiece> pieces;
    for (std::uint64_t i = 0; i < 300; ++i) {
        const std::uint64_t request = random.below(80);
        pieces.push_back(makePiece(request, static_cast<int>(request % 5),
                                   request % 3 == 0 ? "large" : "small",
                                   milliseconds(request * 7 % 50)));
    }
    PieceSequence sequence;
    for (int round = 0; round < 5; ++round) {
        const std::vector<PlannedPiece> plan = sequence.plan(pieces, TimePoint(), noLimit);
        const std::vector<std::size_t> indices = indicesOf(plan);
        LONGS_EQUAL(300, std::set<std::size_t>(indices.begin(), indices.end()).size());
        std::set<RequestId> ended;
        for (std::size_t i = 1; i < plan.size(); ++i) {
            const RequestId &before = pieces[plan[i - 1].index].request;
            const RequestId &next = pieces[plan[i].index].request;
            if (before != next) {
                ended.insert(before);
                CHECK(!ended.contains(next));
            }
        }
        for (std::size_t i = 0; i < 60; ++i) {
            sequence.recordSent(pieces[plan[i].index], plan[i].guarantee);
        }
    }
}

TEST(PieceOrder, LatePiecesComeLastAndHaveNoGuarantee)
{
    // The first 30 pieces are in time and of class 0, the next ones late, or admitted late.
    std::vector<WaitingPiece> pieces;
    for (std::uint64_t i = 0; i < 30; ++i) {
        pieces.push_back(makePiece(i, 0, "large", milliseconds(500)));
    }
    for (std::uint64_t i = 30; i < 40; ++i) {
        pieces.push_back(makePiece(i, 0, "small", milliseconds(50)));
        pieces.push_back(makePiece(i + 10, latePriorityPenalty, "small", milliseconds(400)));
    }
    PieceSequence sequence;
    const TimePoint earliest = TimePoint() + milliseconds(200);
    const std::vector<PlannedPiece> plan = sequence.plan(pieces, earliest, noLimit);
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CHECK_EQUAL(i < 30, plan[i].index < 30);
        CHECK(plan[i].guarantee == Guarantee::None);
    }
    // Control: in time and with a configured priority, some of them precede urgent ones.
    for (std::size_t i = 30; i < pieces.size(); ++i) {
        pieces[i].priority = 2;
        pieces[i].objective = TimePoint() + milliseconds(400);
    }
    const std::vector<std::size_t> order = indicesOf(sequence.plan(pieces, earliest, noLimit));
    CHECK(std::any_of(order.begin(), order.begin() + 30, [](std::size_t i) { return i >= 30; }));
}

TEST(PieceOrder, ABurstOfAnUrgentRouteLeavesOtherRoutesTheirMinimum)
{
    // The burst of the first route, three times its rate, needs 600 of 400 pieces per second.
    const std::vector<Source> sources = {
        {"large", 0, 50, 3}, {"large", 1, 8, 1}, {"large", 2, 8, 1}};
    const std::vector<Served> served = simulate(sources);
    CHECK(served[0].fraction() > 0.5);
    CHECK(served[1].fraction() > 0.85);
    CHECK(served[2].fraction() > 0.85);
    const std::vector<Served> control = simulate(sources, withoutMinimum);
    CHECK(control[1].fraction() < 0.2);
    CHECK(control[2].fraction() < 0.2);
}

TEST(PieceOrder, ABurstOfALessUrgentRouteTakesNothingFromUrgentOnes)
{
    std::vector<Source> sources = {{"large", 0, 30, 1}, {"large", 1, 30, 1}, {"large", 2, 30, 3}};
    const std::vector<Served> served = simulate(sources);
    CHECK(served[0].fraction() > 0.99);
    CHECK(served[1].fraction() > 0.99);
    CHECK(served[2].fraction() > 0.3);
    // Control: without priorities, all routes lose pieces.
    sources[1].priority = 0;
    sources[2].priority = 0;
    CHECK(simulate(sources)[0].fraction() < 0.9);
}

TEST(PieceOrder, ASmallAccountIsServedBesideALargeOne)
{
    // Both have pieces of class 3, of which the minimum of that class serves a sixth.
    const std::vector<Source> sources = {
        {"large", 0, 150, 1}, {"large", 3, 60, 1}, {"small", 3, 7, 1}};
    const std::vector<Served> served = simulate(sources);
    CHECK(served[2].fraction() > 0.85);
    CHECK(served[0].fraction() > 0.4);
    const std::vector<Served> control = simulate(sources, withoutMinimum);
    CHECK(control[2].fraction() < 0.2);
}

TEST(PieceOrder, EachClassGetsATenthWhateverTheSizeOfRequests)
{
    for (const std::uint64_t size : {1, 4, 16}) {
        const auto sent = sendFromFullQueue({}, size, 10'000);
        for (std::size_t i = 1; i < priorityClassCount; ++i) {
            CHECK(sent[i] >= 980);
            CHECK(sent[i] <= 1040);
        }
    }
    LONGS_EQUAL(10'000, sendFromFullQueue(withoutMinimum, 4, 10'000)[0]);
}

TEST(PieceOrder, AClassThatEmptiesItsQueueDoesNotGetMoreThanItsMinimum)
{
    // Whenever the 16 pieces of a request of class 2 were sent, the next one arrives.
    PieceSequence sequence;
    std::vector<WaitingPiece> waiting;
    std::uint64_t lastRequest = 0;
    int lessUrgent = 0;
    for (int call = 0; call < 500; ++call) {
        std::erase_if(waiting, [](const WaitingPiece &piece) { return piece.priority == 0; });
        for (int i = 0; i < 40; ++i) {
            waiting.push_back(makePiece(++lastRequest, 0, "large", milliseconds(lastRequest)));
        }
        const bool isEmptied = waiting.size() == 40;
        for (int i = 0; isEmptied && i < 16; ++i) {
            waiting.push_back(makePiece(lastRequest + 1, 2, "small", milliseconds(lastRequest)));
        }
        lastRequest += isEmptied ? 1 : 0;
        const std::vector<PlannedPiece> plan = sequence.plan(waiting, {}, 80);
        std::set<std::size_t, std::greater<>> taken;
        for (std::size_t i = 0; i < 20; ++i) {
            const WaitingPiece &piece = waiting[plan[i].index];
            sequence.recordSent(piece, plan[i].guarantee);
            lessUrgent += piece.priority == 2 ? 1 : 0;
            taken.insert(plan[i].index);
        }
        for (const std::size_t index : taken) {
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    CHECK(lessUrgent >= 950);
    CHECK(lessUrgent <= 2100);
}
