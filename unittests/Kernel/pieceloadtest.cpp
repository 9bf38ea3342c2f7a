//===- pieceloadtest.cpp - Load tests of a stage with small buffers -------===//
///
/// \file
/// Simulates a load on the request machine and the batcher, and counts the outcomes. The
/// endpoints of the stage process one call at a time and buffer only a few results. The
/// load is a burst that the stage can just serve: requests with one or two pieces with large
/// results, and with answers that last much longer than their objective. Guards against
/// results that occupy buffer space longer than needed, and against admitting too many.
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

struct LoadParameters
{
    double requestsPerSecond = 32;
    milliseconds duration{6000};
    int resultsPerEndpoint = 12;
    milliseconds callTime{200};
    milliseconds firstEventDelay{150}; ///< From sending a request to its first event.
    milliseconds streamingTime{1500};  ///< From the first event to the end of the answer.
    bool freesAtFirstEvent = true;     ///< If false, at the end of the answer.
};

/// Outcomes of requests.
struct Counts
{
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int noSpace = 0; ///< Pieces that found no buffer space.
    [[nodiscard]] double inTimeFraction() const { return static_cast<double>(inTime) / requests; }
};

std::vector<Resource> configurationOf(const LoadParameters &load)
{
    // With 12 engines, the stage is the bottleneck.
    std::vector<Resource> resources = proxiedConfiguration(12);
    for (Resource &resource : resources) {
        if (auto *pool = std::get_if<PoolSpec>(&resource.spec); pool != nullptr && pool->pieces) {
            pool->pieces->batch = 8;
            pool->pieces->callTime = load.callTime;
            pool->pieces->pieceTime = milliseconds(21);
            pool->pieces->resultBufferBytes =
                resultBytes * static_cast<unsigned>(load.resultsPerEndpoint);
            pool->pieces->resultTtl = milliseconds(4000);
        }
        if (auto *pipeline = std::get_if<PipelineSpec>(&resource.spec);
            pipeline != nullptr && pipeline->name == "talk-pieces") {
            pipeline->deadline = milliseconds(6000);
            pipeline->route->objective = milliseconds(1100);
            pipeline->route->pieceStages = {{"pieces", {}, resultBytes}};
        }
    }
    for (int i = 2; i < 4; ++i) {
        resources.push_back(pieceEndpoint(i));
    }
    return resources;
}

/// The endpoints of the stage: each processes one call at a time and buffers results.
class StageEndpoints
{
public:
    explicit StageEndpoints(const LoadParameters &load)
        : m_load(load)
    {
    }
    void accept(PieceCall call, TimePoint now)
    {
        TimePoint &free = m_idleAt[call.endpoint];
        const TimePoint begin = std::max(free, now);
        free = begin + m_load.callTime + milliseconds(21) * static_cast<int>(call.orders.size());
        m_calls.push_back({begin, free, std::move(call), {}, false});
    }
    void free(const std::string &handle) { m_stored.erase(handle); }
    /// Returns the calls that ended until \p now.
    std::vector<PieceCallEnded> advance(TimePoint now, int &noSpace)
    {
        std::vector<PieceCallEnded> ended;
        for (Call &call : m_calls) {
            if (!call.hasStarted && call.begin <= now) {
                begin(call, noSpace);
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
        bool hasStarted = false;
    };
    /// Buffer space is allocated when a call starts.
    void begin(Call &call, int &noSpace)
    {
        call.hasStarted = true;
        for (std::size_t i = 0; i < call.call.orders.size(); ++i) {
            const auto stored =
                std::count_if(m_stored.begin(), m_stored.end(), [&call](const auto &entry) {
                    return entry.second == call.call.endpoint;
                });
            if (stored >= m_load.resultsPerEndpoint) {
                ++noSpace;
                call.results.push_back({"", PieceFault::NoRoom});
                continue;
            }
            const std::string handle = fmt::format("result-{}", ++m_lastHandle);
            m_stored[handle] = call.call.endpoint;
            call.results.push_back({handle, PieceFault::None});
        }
    }

    const LoadParameters &m_load;
    std::vector<Call> m_calls;
    std::map<std::string, TimePoint> m_idleAt;
    std::map<std::string, std::string> m_stored; ///< Endpoint by handle.
    std::uint64_t m_lastHandle = 0;
};

/// Runs the request machine, the batcher and the stage, with requests at a constant rate.
class LoadSimulation
{
public:
    explicit LoadSimulation(const LoadParameters &load)
        : m_load(load)
        , m_endpoints(m_load)
        , m_batcher(m_fixture.clock)
    {
        m_fixture.snapshot = buildSnapshot(configurationOf(load), 2, "dc1", nullptr);
    }
    Counts run()
    {
        for (Duration passed{}; passed < m_load.duration + milliseconds(8000); passed += step) {
            const double due =
                m_load.requestsPerSecond * std::chrono::duration<double>(passed).count();
            while (passed < m_load.duration && m_counts.requests < due) {
                arrive();
            }
            processStep();
            m_fixture.advance(step);
        }
        // Each request got exactly one answer.
        LONGS_EQUAL(m_counts.requests, static_cast<long>(m_fixture.answers.size()));
        LONGS_EQUAL(m_counts.requests, m_counts.inTime + m_counts.late + m_counts.refused);
        return m_counts;
    }

private:
    void arrive()
    {
        // One in four requests has one piece, the others have two: 1.75 on average.
        const std::uint32_t pieces = ++m_counts.requests % 4 == 0 ? 1 : 2;
        const RequestId id = m_fixture.arrive("/talk/pieces/1", "key-1", {pieces});
        m_arrivedAt[id.sequence] = m_fixture.clock.now();
    }
    void processStep()
    {
        const TimePoint now = m_fixture.clock.now();
        for (OrderPieces &order : std::exchange(m_fixture.orders, {})) {
            m_batcher.handle("", {order.pool, std::move(order.orders)}, *m_fixture.snapshot);
        }
        for (const WithdrawPieces &withdrawal : std::exchange(m_fixture.withdrawals, {})) {
            m_batcher.withdraw("", {{withdrawal.id}});
        }
        for (FreeResults &frees : std::exchange(m_fixture.frees, {})) {
            const Duration held = m_load.freesAtFirstEvent ? milliseconds(0) : m_load.streamingTime;
            m_frees.emplace(now + held, std::move(frees.handles));
        }
        for (; !m_frees.empty() && m_frees.begin()->first <= now; m_frees.erase(m_frees.begin())) {
            m_batcher.handle(PieceFrees{"pieces", m_frees.begin()->second}, *m_fixture.snapshot);
        }
        m_batcher.tick(*m_fixture.snapshot);
        for (const std::string &handle : m_batcher.drainFreedResults()) {
            m_endpoints.free(handle);
        }
        for (const PieceCallEnded &ended : m_endpoints.advance(now, m_counts.noSpace)) {
            m_batcher.handle(ended, *m_fixture.snapshot);
        }
        for (PieceCall &call : m_batcher.drainCalls()) {
            m_endpoints.accept(std::move(call), now);
        }
        for (OutgoingPieceOutcomes &send : m_batcher.drainOutcomes(*m_fixture.snapshot)) {
            PieceRouter::handle(send.outcomes.backlog, *m_fixture.snapshot, now);
            for (PieceOutcome &outcome : send.outcomes.outcomes) {
                m_fixture.pieceEnded(outcome.id, outcome.handle, outcome.fault);
            }
        }
        simulateEngines(now);
    }
    /// Simulates the engines, which have no limits here, and counts the outcomes.
    void simulateEngines(TimePoint now)
    {
        for (const SendStage &send : std::exchange(m_fixture.sends, {})) {
            m_firstEvents.emplace(now + m_load.firstEventDelay, send);
        }
        for (; !m_firstEvents.empty() && m_firstEvents.begin()->first <= now;
             m_firstEvents.erase(m_firstEvents.begin())) {
            const SendStage send = m_firstEvents.begin()->second;
            m_fixture.event(send, 1);
            const bool inTime =
                now - m_arrivedAt.at(send.call.request.sequence) <= milliseconds(1100);
            ++(inTime ? m_counts.inTime : m_counts.late);
            m_ends.emplace(now + m_load.streamingTime, send);
        }
        for (; !m_ends.empty() && m_ends.begin()->first <= now; m_ends.erase(m_ends.begin())) {
            m_fixture.answer(m_ends.begin()->second);
        }
        m_counts.refused = static_cast<int>(
            std::count_if(m_fixture.answers.begin(), m_fixture.answers.end(),
                          [](const AnswerCaller &a) { return a.outcome == Outcome::NotRun; }));
    }

    LoadParameters m_load;
    ProxiedFixture m_fixture;
    StageEndpoints m_endpoints;
    PieceBatcher m_batcher;
    Counts m_counts;
    std::map<std::uint64_t, TimePoint> m_arrivedAt;
    std::multimap<TimePoint, std::vector<std::string>> m_frees;
    std::multimap<TimePoint, SendStage> m_firstEvents;
    std::multimap<TimePoint, SendStage> m_ends;
};

Counts simulate(const LoadParameters &load)
{
    return LoadSimulation(load).run();
}

} // namespace

TEST_GROUP(PieceLoad){};

TEST(PieceLoad, ServesABurstIfResultsAreFreedAtTheFirstEvent)
{
    // 56 results per second; an endpoint buffers 12, and its calls process 87 per second.
    const Counts released = simulate({});
    LONGS_EQUAL(released.requests, released.inTime);
    // Control case: kept to the end of the answer, each result occupies its space for 2 s.
    LoadParameters held;
    held.freesAtFirstEvent = false;
    CHECK(simulate(held).inTimeFraction() < 0.5);
}

TEST(PieceLoad, AdmissionFollowsConfiguredBufferSpaceAndCallTime)
{
    const auto simulateWith = [](int resultsPerEndpoint, int callTime) {
        LoadParameters load;
        load.resultsPerEndpoint = resultsPerEndpoint;
        load.callTime = milliseconds(callTime);
        return simulate(load);
    };
    // Half the call time, or twice the buffer space, is at least as good.
    DOUBLES_EQUAL(1, simulateWith(12, 100).inTimeFraction(), 0);
    DOUBLES_EQUAL(1, simulateWith(24, 200).inTimeFraction(), 0);
    // Half the buffer space serves about 4/5, twice the call time about 2/3. The rest is refused
    // and does not delay the admitted requests.
    for (const Counts &counts : {simulateWith(6, 200), simulateWith(12, 400)}) {
        CHECK(counts.inTimeFraction() > 0.65);
        CHECK(counts.late < counts.refused);
        CHECK(counts.late < counts.inTime / 8);
    }
    // With both, few requests are served, but in time.
    const Counts limited = simulateWith(6, 400);
    CHECK(limited.inTimeFraction() > 0.3);
    CHECK(limited.late < limited.inTime / 2);
}

TEST(PieceLoad, RefusesOverloadAndServesTheRestInTime)
{
    // Three times the capacity of the stage.
    LoadParameters load;
    load.requestsPerSecond = 150;
    const Counts counts = simulate(load);
    CHECK(counts.inTime > 150);
    CHECK(counts.late < counts.inTime / 2);
}
