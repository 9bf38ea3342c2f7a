//===- pieceloadtest.cpp - Bursts on a stage that is short of room --------===//
///
/// \file
/// Plays a load on the request machine and the batcher, with a stage whose endpoints take
/// one call at a time and have room for a few results, and counts what callers get. The
/// load: requests of one or two pieces whose results are large, whose answers last much
/// longer than their objective, in a burst that the stage can just carry.
///
//===----------------------------------------------------------------------===//

#include "proxiedfixture.h"

#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/piecerouter.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t resultBytes = 1'500'000;
constexpr milliseconds step{5};

struct Load
{
    double requestsPerSecond = 32;
    milliseconds length{6000};
    int resultsPerEndpoint = 12;
    milliseconds callTime{200};
    milliseconds reading{150};     ///< From the sending of a request to its first event.
    milliseconds streaming{1500};  ///< From there to the end of its answer.
    bool freesAtFirstEvent = true; ///< The control: at the end of the answer.
};

/// What callers got.
struct Tally
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int noRoom = 0; ///< Pieces.
    [[nodiscard]] double inTimePart() const { return static_cast<double>(inTime) / asked; }
};

std::vector<Resource> configurationOf(const Load &load)
{
    // Twelve engines: what binds is the stage.
    std::vector<Resource> resources = proxiedConfiguration(12);
    for (Resource &resource : resources) {
        if (auto *pool = std::get_if<PoolSpec>(&resource.spec); pool != nullptr && pool->pieces) {
            pool->pieces->batch = 8;
            pool->pieces->callTime = load.callTime;
            pool->pieces->pieceTime = milliseconds(21);
            pool->pieces->roomBytes = resultBytes * static_cast<unsigned>(load.resultsPerEndpoint);
            pool->pieces->resultLife = milliseconds(4000);
        }
        if (auto *pipeline = std::get_if<PipelineSpec>(&resource.spec);
            pipeline != nullptr && pipeline->name == "talk-pieces") {
            pipeline->deadline = milliseconds(6000);
            pipeline->route->objective = milliseconds(1100);
            pipeline->route->pieceStages = {{"pieces", {}, resultBytes}};
        }
    }
    for (int i = 2; i < 4; ++i) {
        resources.push_back(pieceMaker(i));
    }
    return resources;
}

/// The endpoints of the stage: one call at a time each, and room for results.
class Makers
{
public:
    explicit Makers(const Load &load)
        : m_load(load)
    {
    }
    void take(PieceCall call, TimePoint now)
    {
        TimePoint &free = m_freeAt[call.endpoint];
        const TimePoint begin = std::max(free, now);
        free = begin + m_load.callTime + milliseconds(21) * static_cast<int>(call.orders.size());
        m_calls.push_back({begin, free, std::move(call), {}, false});
    }
    void free(const std::string &handle) { m_kept.erase(handle); }
    /// The calls that ended until \p now.
    std::vector<PieceCallEnded> advance(TimePoint now, int &noRoom)
    {
        std::vector<PieceCallEnded> ended;
        for (Call &call : m_calls) {
            if (!call.hasBegun && call.begin <= now) {
                begin(call, noRoom);
            }
            if (call.end <= now) {
                PieceCallEnded event;
                event.id = call.call.id;
                event.answered = true;
                event.results = call.results;
                ended.push_back(std::move(event));
            }
        }
        std::erase_if(m_calls, [now](const Call &call) { return call.end <= now; });
        return ended;
    }

private:
    struct Call
    {
        TimePoint begin;
        TimePoint end;
        PieceCall call;
        std::vector<PieceResult> results;
        bool hasBegun = false;
    };
    /// Room is taken from the turn of a call on.
    void begin(Call &call, int &noRoom)
    {
        call.hasBegun = true;
        for (std::size_t i = 0; i < call.call.orders.size(); ++i) {
            const auto taken =
                std::count_if(m_kept.begin(), m_kept.end(), [&call](const auto &entry) {
                    return entry.second == call.call.endpoint;
                });
            if (taken >= m_load.resultsPerEndpoint) {
                ++noRoom;
                call.results.push_back({"", PieceFault::NoRoom});
                continue;
            }
            const std::string handle = fmt::format("result-{}", ++m_lastHandle);
            m_kept[handle] = call.call.endpoint;
            call.results.push_back({handle, PieceFault::None});
        }
    }

    const Load &m_load;
    std::vector<Call> m_calls;
    std::map<std::string, TimePoint> m_freeAt;
    std::map<std::string, std::string> m_kept; ///< Endpoint by handle.
    std::uint64_t m_lastHandle = 0;
};

/// The machine, the batcher, the stage, and callers that come at a steady rate.
class Play
{
public:
    explicit Play(const Load &load)
        : m_load(load)
        , m_makers(m_load)
        , m_batcher(m_bench.clock)
    {
        m_bench.snapshot = buildSnapshot(configurationOf(load), 2, "dc1", nullptr);
    }
    Tally run()
    {
        for (Duration passed{}; passed < m_load.length + milliseconds(8000); passed += step) {
            const double due =
                m_load.requestsPerSecond * std::chrono::duration<double>(passed).count();
            while (passed < m_load.length && m_tally.asked < due) {
                arrive();
            }
            turn();
            m_bench.advance(step);
        }
        // Each caller got one answer.
        LONGS_EQUAL(m_tally.asked, static_cast<long>(m_bench.answers.size()));
        LONGS_EQUAL(m_tally.asked, m_tally.inTime + m_tally.late + m_tally.refused);
        return m_tally;
    }

private:
    void arrive()
    {
        // One of four needs one piece, the others two: 1.75 a request.
        const std::uint32_t pieces = ++m_tally.asked % 4 == 0 ? 1 : 2;
        const RequestId id = m_bench.arrive("/talk/pieces/1", "key-1", {pieces});
        m_arrivedAt[id.sequence] = m_bench.clock.now();
    }
    void turn()
    {
        const TimePoint now = m_bench.clock.now();
        for (OrderPieces &order : std::exchange(m_bench.orders, {})) {
            m_batcher.handle("", {order.pool, std::move(order.orders)}, *m_bench.snapshot);
        }
        for (const WithdrawPieces &withdrawal : std::exchange(m_bench.withdrawals, {})) {
            m_batcher.withdraw("", {{withdrawal.id}});
        }
        for (FreeResults &frees : std::exchange(m_bench.frees, {})) {
            const Duration held = m_load.freesAtFirstEvent ? milliseconds(0) : m_load.streaming;
            m_frees.emplace(now + held, std::move(frees.handles));
        }
        for (; !m_frees.empty() && m_frees.begin()->first <= now; m_frees.erase(m_frees.begin())) {
            m_batcher.handle(PieceFrees{"pieces", m_frees.begin()->second}, *m_bench.snapshot);
        }
        m_batcher.tick(*m_bench.snapshot);
        for (const std::string &handle : m_batcher.drainFreedResults()) {
            m_makers.free(handle);
        }
        for (const PieceCallEnded &ended : m_makers.advance(now, m_tally.noRoom)) {
            m_batcher.handle(ended, *m_bench.snapshot);
        }
        for (PieceCall &call : m_batcher.drainCalls()) {
            m_makers.take(std::move(call), now);
        }
        for (OutgoingPieceOutcomes &send : m_batcher.drainOutcomes(*m_bench.snapshot)) {
            PieceRouter::handle(send.outcomes.backlog, *m_bench.snapshot, now);
            for (PieceOutcome &outcome : send.outcomes.outcomes) {
                m_bench.pieceEnded(outcome.id, outcome.handle, outcome.fault);
            }
        }
        answerSent(now);
    }
    /// Plays the engines, which have no limits here, and counts what comes of requests.
    void answerSent(TimePoint now)
    {
        for (const SendStage &send : std::exchange(m_bench.sends, {})) {
            m_firstEvents.emplace(now + m_load.reading, send);
        }
        for (; !m_firstEvents.empty() && m_firstEvents.begin()->first <= now;
             m_firstEvents.erase(m_firstEvents.begin())) {
            const SendStage send = m_firstEvents.begin()->second;
            m_bench.event(send, 1);
            const bool inTime =
                now - m_arrivedAt.at(send.call.request.sequence) <= milliseconds(1100);
            ++(inTime ? m_tally.inTime : m_tally.late);
            m_ends.emplace(now + m_load.streaming, send);
        }
        for (; !m_ends.empty() && m_ends.begin()->first <= now; m_ends.erase(m_ends.begin())) {
            m_bench.answer(m_ends.begin()->second);
        }
        m_tally.refused = static_cast<int>(
            std::count_if(m_bench.answers.begin(), m_bench.answers.end(),
                          [](const AnswerCaller &a) { return a.outcome == Outcome::NotRun; }));
    }

    Load m_load;
    ProxiedFixture m_bench;
    Makers m_makers;
    PieceBatcher m_batcher;
    Tally m_tally;
    std::map<std::uint64_t, TimePoint> m_arrivedAt;
    std::multimap<TimePoint, std::vector<std::string>> m_frees;
    std::multimap<TimePoint, SendStage> m_firstEvents;
    std::multimap<TimePoint, SendStage> m_ends;
};

Tally play(const Load &load)
{
    return Play(load).run();
}

} // namespace

TEST_GROUP(PieceLoad){};

TEST(PieceLoad, ABurstOfLargeResultsIsServedWhereTheirRoomIsGivenBackAtTheFirstEvent)
{
    // 56 results a second, of which an endpoint has room for twelve; its calls carry 87.
    const Tally released = play({});
    LONGS_EQUAL(released.asked, released.inTime);
    // The control: held to the end of the answer, they take room for two seconds each.
    Load held;
    held.freesAtFirstEvent = false;
    CHECK(play(held).inTimePart() < 0.5);
}

TEST(PieceLoad, WhatIsTakenInFollowsRoomAndCostsOfTheConfiguration)
{
    const auto playWith = [](int resultsPerEndpoint, int callTime) {
        Load load;
        load.resultsPerEndpoint = resultsPerEndpoint;
        load.callTime = milliseconds(callTime);
        return play(load);
    };
    // Half of the costs, or twice the room: no worse.
    DOUBLES_EQUAL(1, playWith(12, 100).inTimePart(), 0);
    DOUBLES_EQUAL(1, playWith(24, 200).inTimePart(), 0);
    // Half of the room carries some four fifths, twice the costs some two thirds. The rest
    // is refused and does not hold up those that are taken in.
    for (const Tally &tally : {playWith(6, 200), playWith(12, 400)}) {
        CHECK(tally.inTimePart() > 0.65);
        CHECK(tally.late < tally.refused);
        CHECK(tally.late < tally.inTime / 8);
    }
    // Neither fits: few are served, and these in time.
    const Tally scarce = playWith(6, 400);
    CHECK(scarce.inTimePart() > 0.3);
    CHECK(scarce.late < scarce.inTime / 2);
}

TEST(PieceLoad, OverloadIsRefusedAndTheRestIsInTime)
{
    // Three times what the calls carry.
    Load load;
    load.requestsPerSecond = 150;
    const Tally tally = play(load);
    CHECK(tally.inTime > 150);
    CHECK(tally.late < tally.inTime / 2);
}
