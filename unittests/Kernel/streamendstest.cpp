//===- streamendstest.cpp - Random ends of resumed streams ----------------===//

#include "harelink/Support/random.h"

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

/// Calls of one resumable stream that take random courses. Endpoints send events in order and end a
/// stream regularly only after its last event; anything else is a fault of an endpoint, of the
/// network or of the host.
class RandomStream
{
public:
    explicit RandomStream(std::uint64_t seed)
        : m_fixture(6, 9, seed)
        , m_random(seed)
        , m_isStopped(m_random.chance(0.2))
        , m_framing(m_random.chance(0.2) ? AnswerFraming::Connection : AnswerFraming::Chunks)
    {
        m_fixture.arrive("/talk/1");
    }

    void run()
    {
        for (int step = 0; step < maxSteps && m_fixture.answers.empty(); ++step) {
            if (m_fixture.sends.size() > m_calls) {
                m_calls = m_fixture.sends.size();
                m_sent = call().resumeAfter.value_or(0);
            }
            takeStep();
        }
    }
    /// Returns whether the caller was told that the stream is complete.
    [[nodiscard]] bool isCompleted() const
    {
        return !m_fixture.answers.empty()
               && m_fixture.answers.front().outcome == Outcome::Completed;
    }
    /// Returns whether the caller got each event once and in order.
    [[nodiscard]] bool hasAllEvents() const
    {
        std::string expected;
        for (std::uint64_t id = 1; id <= lastEvent; ++id) {
            expected += fmt::format("id: {}\n\n", id);
        }
        std::string received;
        for (const StreamEvents &events : m_fixture.events) {
            received += events.bytes;
        }
        return received == expected;
    }

private:
    static constexpr int maxSteps = 60;
    static constexpr std::uint64_t lastEvent = 5;

    [[nodiscard]] const SendStage &call() const { return m_fixture.sends.back(); }

    void takeStep()
    {
        const SendStage current = call();
        const std::uint64_t choice = m_random.below(20);
        if (choice < 12 && m_sent < lastEvent) {
            m_fixture.event(current, ++m_sent, std::nullopt, m_framing);
        } else if (choice < 12) {
            endRegularly(current);
        } else if (choice < 14) {
            m_fixture.fail(current, SendEvidence::Sent, std::nullopt, m_random.chance(0.8));
        } else if (choice == 14) {
            m_fixture.fail(current, SendEvidence::RefusedBeforeRun);
        } else if (choice == 15) {
            m_fixture.fail(current, SendEvidence::Sent,
                           ProxiedAnswer{500, {}, "failed", AnswerFraming::Length});
        } else if (choice == 16) {
            answerOtherwise(current);
        } else if (choice == 17 && !m_fixture.events.empty()) {
            // A repeated event, or one behind a gap.
            m_fixture.event(current, m_sent + 2 * m_random.below(2));
        } else if (choice == 18) {
            m_fixture.machine.handle(EndpointEnded{current.endpoint, TimePoint::max()},
                                     *m_fixture.snapshot);
            m_fixture.collect();
        } else if (m_isStopped && m_random.chance(0.2)) {
            m_fixture.machine.abandonAll(*m_fixture.snapshot);
            m_fixture.collect();
        } else {
            m_fixture.advance(milliseconds(m_random.below(1500)));
        }
    }
    void endRegularly(const SendStage &current)
    {
        if (m_framing == AnswerFraming::Connection) {
            m_fixture.endUnframed(current);
        } else {
            m_fixture.answer(current);
        }
    }
    /// Answers by something else than the rest of the stream.
    void answerOtherwise(const SendStage &current)
    {
        static constexpr std::array<int, 5> errors = {204, 302, 304, 404, 409};
        if (m_fixture.events.empty()) {
            m_fixture.fail(current, SendEvidence::Sent);
        } else if (m_random.chance(0.5)) {
            m_fixture.answer(current, AnswerKind::Error, errors.at(m_random.below(errors.size())));
        } else if (m_random.chance(0.5)) {
            m_fixture.answer(current, AnswerKind::Body, 200);
        } else {
            m_fixture.answerUnframed(current, "body");
        }
    }

    ProxiedFixture m_fixture;
    Random m_random;
    bool m_isStopped; ///< The host stops at some time.
    AnswerFraming m_framing;
    std::size_t m_calls = 0;
    std::uint64_t m_sent = 0; ///< The last event that the current call has brought.
};

} // namespace

TEST_GROUP(StreamEnds){};

// A stream that looked complete lacked events, as the answer of another call ended it.
TEST(StreamEnds, ACompletedStreamHasEachEventOnceWhateverItsCallsEndWith)
{
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
        RandomStream stream(seed);
        stream.run();
        completed += stream.isCompleted() ? 1 : 0;
        if (stream.isCompleted() && !stream.hasAllEvents()) {
            FAIL(fmt::format("seed {}", seed).c_str());
        }
    }
    CHECK(completed > 500);
}
