//===- checks.h - Invariant checks of the simulation ------------*- C++ -*-===//
///
/// \file
/// Checks the invariants on each answer and each run as they happen, and on the
/// whole simulation at its end.
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

/// A host that was not disturbed for this period is stable: it must have received all
/// updates that other hosts had at the start of the period.
inline constexpr std::chrono::milliseconds stabilizationTime{3000};

/// An operator's write must be in force at each stable host after this period.
inline constexpr std::chrono::milliseconds convergenceTime{2000};

/// A request and its answer from the caller's view.
struct Submission
{
    RequestId id;
    std::string host;
    std::string pipeline;
    std::string body;
    std::string key; ///< Empty for repeatable pipelines.
    bool streams = false;
    std::string streamed; ///< The concatenated chunks.
    TimePoint deadline;   ///< The caller's deadline; not set before a daemon has admitted it.
    bool answered = false;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool isAbandoned = false; ///< Its daemon was killed, so no answer will come.
    bool daemonDied = false;  ///< The daemon was killed, before or after the answer.
    bool drainBegan = false;  ///< The request was in progress when a planned stop began.
};

/// An operator's write of an object.
struct OperatorWrite
{
    std::uint64_t number = 0; ///< Rises with each write.
    std::string value;
};

/// Records the events of a simulation and reports violated invariants.
class Checks
{
public:
    Checks(EventQueue &queue, Trace &trace)
        : m_queue(queue)
        , m_trace(trace)
    {
    }

    /// Events of the simulation. Each may report a violation.
    void submitted(const Submission &submission);
    /// A daemon has admitted the request; its caller waits for \p allowed from now on.
    void admitted(const RequestId &id, Duration allowed);
    void answered(const AnswerCaller &answer);
    void sent(const SendStage &stage);
    void streamed(const StreamChunk &chunk);
    /// A call arrived at an endpoint. \p mayBeUninformed: the sending host was suspended, or did
    /// not reach the platform for long, until recently.
    void arrivedAtEndpoint(const std::string &endpointName, const FakeEndpoint &endpoint,
                           const SendStage &stage, bool mayBeUninformed);
    /// An operator has drained a data centre, or ended the drain.
    void dataCentreDrained(const std::string &dataCentre, bool isDrained);
    /// A call arrived at \p endpoint; \p fromStableHost: the sending host must have
    /// received all updates older than stabilizationTime.
    void arrivedAtDataCentre(const FakeEndpoint &endpoint, const SendStage &stage,
                             bool fromStableHost);
    /// An endpoint announces another limit, or none.
    void limitChanged(const std::string &endpoint) { m_limits.erase(endpoint); }
    /// A daemon has received an answer that announces a limit.
    void limitReported(const std::string &endpoint, Incarnation daemon);
    /// A call arrived at \p endpoint, which announces a limit; \p excused: the sending
    /// host was frozen recently.
    void arrivedAtLimited(const FakeEndpoint &endpoint, const SendStage &stage, bool excused);
    /// An endpoint has refused \p stage and asked the sending daemon for a pause.
    void pauseRequested(const SendStage &stage, Duration pause);
    /// A daemon has received an answer that announces that the endpoint is leaving.
    void departureReported(const std::string &endpoint, Incarnation daemon);
    /// A call arrived; checks it against requested pauses and announced departures.
    /// \p excused: the sending host was frozen recently.
    void arrivedAtPausing(const SendStage &stage, bool excused);
    void ranAtEndpoint(const SendStage &stage);
    /// An endpoint crashed while it ran a request with \p body.
    void crashed(const std::string &body);
    /// A request that crashes endpoints reached one; \p fromStableHost as above.
    void crashingArrived(const std::string &body, bool fromStableHost);
    void hostKilled(const std::string &host, Incarnation incarnation);
    void hostDraining(const std::string &host);
    void versionInForce(const std::string &host, const std::string &object, Version version);
    /// Checks that \p host does not go back to a value of \p object that was replaced.
    ///
    /// \param write the number of the operator's write, and the value.
    /// \param version the version of the object at the host.
    void valueInForce(const std::string &host, const std::string &object,
                      const OperatorWrite &write, const Version &version);
    /// \p host, which is stable, does not have the operator's write \p number of \p object in
    /// force within convergenceTime.
    void writeNotInForce(const std::string &host, const std::string &object, std::uint64_t number);
    /// The endpoints of \p pool begin or cease to be brittle.
    void brittleChanged(const std::string &pool) { m_brittleFailures.erase(pool); }
    /// One of the \p endpoints endpoints of \p pool has failed since it rejected too many calls.
    void brittleFailed(const std::string &pool, int endpoints);
    void hostRestarted(const std::string &host);
    /// Final checks, after all faults were healed and the system had time to settle.
    void finish();

    void violation(const std::string &line);
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::map<RequestId, Submission> &submissions() { return m_submissions; }
    [[nodiscard]] const EndpointLedger &ledger() const { return m_ledger; }
    /// Returns the number of endpoint crashes caused by requests with \p body.
    [[nodiscard]] int crashCount(const std::string &body) const;
    /// Returns the number of answers by outcome.
    [[nodiscard]] const std::map<std::string, int> &outcomes() const { return m_outcomes; }
    /// Returns the requests of keys that never ran and whose callers all received
    /// "not run", without requests that crash endpoints.
    [[nodiscard]] std::vector<Submission> neverRunKeys() const;

private:
    /// Crashes caused by one request.
    struct CrashRecord
    {
        int crashes = 0;
        TimePoint thresholdReachedAt;
        int sendsAfterThreshold = 0; ///< By stable hosts, later than stabilizationTime.
    };

    /// Calls to an endpoint since it announced its limit.
    struct LimitRecord
    {
        std::map<Incarnation, TimePoint> reportedAt; ///< When each daemon received the limit.
        std::deque<TimePoint> arrivals;              ///< From daemons that had received the limit.
    };

    /// A pause that an endpoint asked a daemon for.
    struct Pause
    {
        TimePoint begin; ///< After the time allowed for the daemon to receive it.
        TimePoint end;
        int arrivals = 0;
    };
    /// An endpoint's name and a daemon.
    using EndpointDaemon = std::pair<std::string, Incarnation>;

    void recordColdArrival(const FakeEndpoint &endpoint, const std::string &name);

    EventQueue &m_queue;
    Trace &m_trace;
    std::map<std::string, CrashRecord> m_crashes;    ///< By body.
    std::map<std::string, TimePoint> m_drainedSince; ///< By data centre.
    std::map<std::string, std::deque<TimePoint>>
        m_coldArrivals;                          ///< Of the last second, by endpoint.
    std::map<std::string, LimitRecord> m_limits; ///< By endpoint.
    std::map<EndpointDaemon, std::vector<Pause>> m_pauses;
    std::map<EndpointDaemon, TimePoint> m_departureReportedAt;
    EndpointLedger m_ledger;
    std::map<RequestId, Submission> m_submissions;
    std::map<std::string, int> m_outcomes;
    std::map<std::pair<std::string, std::string>, Version> m_inForce;
    std::map<std::pair<std::string, std::string>, OperatorWrite> m_writesInForce;
    /// By host and object, to report a write once.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_lateWrites;
    std::map<std::string, int> m_brittleFailures; ///< By pool, since it is brittle.
    std::vector<std::string> m_violations;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_CHECKS_H
