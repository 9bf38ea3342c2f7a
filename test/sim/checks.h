//===- checks.h - What must always hold -------------------------*- C++ -*-===//
///
/// \file
/// Judges every answer and every run as they happen, and the whole at the end.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_CHECKS_H
#define HARELINK_TEST_SIM_CHECKS_H

#include "fakes.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace harelink::sim {

/// A host to which nothing has happened for so long is in touch: it has to know what the
/// others knew that long ago.
inline constexpr std::chrono::milliseconds stabilizationTime{3000};

/// A request as its caller remembers it.
struct Submission
{
    RequestId id;
    std::string host;
    std::string pipeline;
    std::string body;
    std::string key; ///< Empty for repeatable pipelines.
    bool streams = false;
    std::string streamed; ///< What came in parts.
    TimePoint deadline;   ///< Its caller's; not set before a daemon has taken it in.
    bool answered = false;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool isAbandoned = false; ///< Its daemon was killed: nobody will answer.
    bool daemonDied = false;  ///< Killed before or after the answer.
    bool drainBegan = false;  ///< It was in progress when a planned stop began.
};

/// The invariants.
class Checks
{
public:
    Checks(EventQueue &queue, Trace &trace)
        : m_queue(queue)
        , m_trace(trace)
    {
    }

    /// The events that are judged.
    void submitted(const Submission &submission);
    /// A host's daemon has taken the request in; its caller waits \p allowed from now on.
    void admitted(const RequestId &id, Duration allowed);
    void answered(const AnswerCaller &answer);
    void sent(const SendStage &stage);
    void streamed(const StreamChunk &piece);
    /// \p recentlyResumed: from a host that was suspended until a moment ago.
    void arrivedAtEndpoint(const std::string &endpointName, const FakeEndpoint &endpoint,
                           const SendStage &stage, bool recentlyResumed);
    /// An operator has drained a data centre, or taken it back.
    void dataCentreDrained(const std::string &dataCentre, bool isDrained);
    /// A call arrived at \p endpoint; \p fromStableHost: from a host that has to know what others
    /// do.
    void arrivedAtDataCentre(const FakeEndpoint &endpoint, const SendStage &stage,
                             bool fromStableHost);
    /// An endpoint states another limit, or none.
    void limitChanged(const std::string &endpoint) { m_limits.erase(endpoint); }
    /// A host's daemon has taken in an answer that states a limit.
    void limitReported(const std::string &endpoint, Incarnation daemon);
    /// A call arrived at \p endpoint, which states a limit; \p excused: from a host that
    /// stood still a moment ago.
    void arrivedAtLimited(const FakeEndpoint &endpoint, const SendStage &stage, bool excused);
    /// An endpoint has refused \p stage and asked its host for a pause.
    void pauseRequested(const SendStage &stage, Duration pause);
    /// A host's daemon has taken in an answer of an endpoint that is leaving.
    void departureReported(const std::string &endpoint, Incarnation daemon);
    /// A call arrived; \p excused: from a host that stood still a moment ago.
    void arrivedAtPausing(const SendStage &stage, bool excused);
    void ranAtEndpoint(const SendStage &stage);
    /// An endpoint ended under a request with \p body.
    void crashed(const std::string &body);
    /// A request that ends endpoints reached one; \p fromStableHost: from a host that had to know.
    void crashingArrived(const std::string &body, bool fromStableHost);
    void hostKilled(const std::string &host, Incarnation incarnation);
    void hostDraining(const std::string &host);
    void versionInForce(const std::string &host, const std::string &object, Version version);
    void hostRestarted(const std::string &host);
    /// At the end, when all faults are healed and time was given.
    void finish();

    void violation(const std::string &line);
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::map<RequestId, Submission> &submissions() { return m_submissions; }
    [[nodiscard]] const EndpointLedger &ledger() const { return m_ledger; }
    /// How many endpoints ended under requests with \p body.
    [[nodiscard]] int crashCount(const std::string &body) const;
    /// Counts of answers by outcome.
    [[nodiscard]] const std::map<std::string, int> &outcomes() const { return m_outcomes; }
    /// Keys that never ran and whose every caller was told "not run", but for those of
    /// requests that end endpoints.
    [[nodiscard]] std::vector<Submission> neverRunKeys() const;

private:
    /// What a request that ends endpoints has done.
    struct CrashRecord
    {
        int crashes = 0;
        TimePoint thresholdReachedAt;
        int sendsAfterThreshold = 0; ///< By hosts that had to know, later than the contact time.
    };

    /// What has happened at an endpoint since it stated its limit.
    struct LimitRecord
    {
        std::map<Incarnation, TimePoint> reportedAt; ///< By daemon.
        std::deque<TimePoint> arrivals;              ///< From daemons that had been told.
    };

    /// A pause that an endpoint asked a daemon for.
    struct Pause
    {
        TimePoint begin; ///< After the time that the daemon has to take it in.
        TimePoint end;
        int arrivals = 0;
    };
    /// An endpoint's name and a daemon.
    using EndpointDaemon = std::pair<std::string, Incarnation>;

    void recordColdArrival(const FakeEndpoint &endpoint, const std::string &name);

    EventQueue &m_queue;
    Trace &m_trace;
    std::map<std::string, CrashRecord> m_crashes;                ///< By body.
    std::map<std::string, TimePoint> m_drainedSince;             ///< By data centre.
    std::map<std::string, std::deque<TimePoint>> m_coldArrivals; ///< Of a second, by endpoint.
    std::map<std::string, LimitRecord> m_limits;                 ///< By endpoint.
    std::map<EndpointDaemon, std::vector<Pause>> m_pauses;
    std::map<EndpointDaemon, TimePoint> m_departureReportedAt;
    EndpointLedger m_ledger;
    std::map<RequestId, Submission> m_submissions;
    std::map<std::string, int> m_outcomes;
    std::map<std::pair<std::string, std::string>, Version> m_inForce;
    std::vector<std::string> m_violations;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_CHECKS_H
