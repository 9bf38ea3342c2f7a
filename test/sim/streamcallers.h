//===- streamcallers.h - Callers of resumable streams -----------*- C++ -*-===//
///
/// \file
/// Callers that read streams and take a stream that breaks up again at another host. Checks that
/// each stream holds its events once, in order, and from endpoints of a single software version.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_STREAMCALLERS_H
#define HARELINK_TEST_SIM_STREAMCALLERS_H

#include "checks.h"

#include "harelink/Kernel/requestmachine.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace harelink::sim {

/// One attempt of a caller to get a stream, or what is left of it.
struct StreamAttempt
{
    int stream = 0;
    std::string callerId;
    std::string resumedAttempt;             ///< See ProxiedRequest.
    std::optional<std::uint64_t> lastEvent; ///< Received by earlier attempts.
    Duration allowed{};
};

/// What became of the attempts to begin a stream, or to take one up.
struct StreamShare
{
    int attempts = 0;
    int succeeded = 0; ///< Attempts that brought an event, or the end of the stream.
};

/// The callers of a simulation.
class StreamCallers
{
public:
    /// Number of events of a whole stream; their IDs count from 1.
    static constexpr std::uint64_t eventCount = 12;

    /// An attempt that was submitted.
    struct Submitted
    {
        RequestId id;
        bool counts = false; ///< Its host is stable, and two endpoints of the version serve.
    };
    /// What the callers need of the simulation.
    struct World
    {
        /// Submits an attempt at any host; std::nullopt if no daemon runs there. The version is
        /// that of the stream, empty for a new one.
        std::function<std::optional<Submitted>(const StreamAttempt &attempt,
                                               const std::string &version)>
            submit;
        /// Returns when two hosts were last down, frozen or stopping, or hosts cut from others.
        std::function<TimePoint()> disturbedAt;
    };

    StreamCallers(EventQueue &queue, Checks &checks, Trace &trace, World world)
        : m_queue(queue)
        , m_checks(checks)
        , m_trace(trace)
        , m_world(std::move(world))
    {
    }

    /// Sets how often a caller sends a stream, or what is left of it.
    void setMaxAttempts(int attempts) { m_maxAttempts = attempts; }
    /// Reports a violation if a stream is put under quarantine.
    void allowNoQuarantine() { m_allowsNoQuarantine = true; }
    /// Begins a stream.
    void begin();
    /// Returns the body of an event of an endpoint with \p version.
    [[nodiscard]] static std::string eventBytes(std::uint64_t id, const std::string &version);
    /// Returns whether \p id is an attempt of these callers.
    [[nodiscard]] bool owns(const RequestId &id) const { return m_streamsByRequest.contains(id); }
    void handle(const StreamEvents &events);
    void handle(const AnswerCaller &answer);
    /// All connections to the daemon \p incarnation are lost.
    void handleHostLost(Incarnation incarnation);
    /// Breaks the connection of a caller that has received events; returns its request.
    std::optional<RequestId> breakConnection(std::uint64_t selection);
    /// Checks the share of streams that go on against that of new streams.
    void finish();

    [[nodiscard]] const StreamShare &begun() const { return m_begun; }
    [[nodiscard]] const StreamShare &takenUp() const { return m_takenUp; }

private:
    struct Stream
    {
        TimePoint deadline;
        int attempts = 0;
        std::string attemptId;
        std::optional<RequestId> request; ///< In progress.
        std::string firstAttempt;         ///< Brought the first event; empty before.
        std::uint64_t lastEvent = 0;
        std::string version;          ///< Of the endpoint that sent the first event.
        TimePoint beganAt;            ///< When the first event was received.
        TimePoint attemptedAt;        ///< When the current attempt was submitted.
        StreamShare *share = nullptr; ///< That the current attempt counts for; null if none.
        bool hasEvent = false;        ///< The current attempt has brought an event.
        bool hasSucceeded = false;    ///< The same, or it has ended the stream.
    };

    void attempt(int number);
    void end(Stream &stream);
    void takeUpSoon(int number);
    static void recordSuccess(Stream &stream);
    void receive(Stream &stream, int number, std::uint64_t id, const std::string &version);

    EventQueue &m_queue;
    Checks &m_checks;
    Trace &m_trace;
    World m_world;
    std::map<int, Stream> m_streams;
    std::map<RequestId, int> m_streamsByRequest;
    int m_maxAttempts = 5;
    bool m_allowsNoQuarantine = false;
    StreamShare m_begun;
    StreamShare m_takenUp;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_STREAMCALLERS_H
