//===- checks.cpp - Invariant checks of the simulation --------------------===//

#include "checks.h"

#include "harelink/Support/error.h"

#include <fmt/format.h>

#include <set>

namespace harelink::sim {
namespace {

/// Period in which an endpoint that is leaving may still receive new work.
constexpr std::chrono::seconds leavingGracePeriod{5};
/// Period in which an endpoint may still receive new work after its data centre was drained.
constexpr std::chrono::seconds drainGracePeriod{5};
/// Bound on the requests that a cold endpoint may receive within a second:
/// coldRate * coldRateFactor + coldSlack.
constexpr double coldRateFactor = 1.5;
constexpr double coldSlack = 5;
/// Bound on the requests that an endpoint with a rate limit may receive in limitWindow:
/// the allowed number * limitRateFactor + limitSlack. Only daemons that received the limit
/// at least limitPropagationTime ago count.
constexpr double limitRateFactor = 1.5;
constexpr double limitSlack = 5;
constexpr std::chrono::seconds limitWindow{4};
constexpr std::chrono::milliseconds limitPropagationTime{500};
/// Requests that an endpoint may receive from a daemon within a requested pause, after
/// pausePropagationTime.
constexpr int maxArrivalsInPause = 2;
constexpr std::chrono::milliseconds pausePropagationTime{500};
/// Period in which a daemon may still send to an endpoint after it received that the
/// endpoint is leaving.
constexpr std::chrono::seconds departurePropagationTime{3};
/// A stage's timeout may exceed the caller's remaining time by this much.
constexpr std::chrono::milliseconds timeoutTolerance{500};
/// Number of endpoint crashes after which a request counts as crashing ...
constexpr int crashThreshold = 3;
/// The same for a part of prompts.
constexpr int partCrashThreshold = 5;
/// ... and the number of sends by stable hosts that are tolerated from stabilizationTime
/// after that on.
constexpr int maxSendsAfterThreshold = 3;

/// Returns the number of crashes after which \p cause, a body or a part of prompts, counts as
/// crashing.
int crashThresholdOf(const std::string &cause)
{
    return cause.starts_with(crashingPartPrefix) ? partCrashThreshold : crashThreshold;
}

/// Returns the only correct answer to a request.
std::string expectedAnswer(const Submission &submission)
{
    if (submission.pipeline == "record") {
        return "record(" + submission.body + ")";
    }
    return "generate(encode(" + submission.body + "))";
}

} // namespace

void Checks::violation(const std::string &line)
{
    m_trace.add("VIOLATION " + line);
    m_violations.push_back(line);
}

void Checks::submitted(const Submission &submission)
{
    m_trace.add(fmt::format("caller -> {}: {} {} key={}", submission.host, toText(submission.id),
                            submission.pipeline, submission.key));
    m_submissions[submission.id] = submission;
}

void Checks::admitted(const RequestId &id, Duration allowed)
{
    m_submissions.at(id).deadline = m_queue.now() + allowed;
}

void Checks::sent(const SendStage &stage)
{
    const Submission &submission = m_submissions.at(stage.call.request);
    const Duration left = submission.deadline - m_queue.now();
    if (stage.timeout > left + timeoutTolerance) {
        violation(fmt::format("request {} was sent with {:.0f} ms, its caller has {:.0f} ms",
                              toText(stage.call.request), toMilliseconds(stage.timeout),
                              toMilliseconds(left)));
    }
}

void Checks::answered(const AnswerCaller &answer)
{
    Submission &submission = m_submissions.at(answer.id);
    m_trace.add(fmt::format("{} -> caller: {} {} {} {}", submission.host, toText(answer.id),
                            toText(answer.outcome), toText(answer.reason),
                            errorMessage(answer.error)));
    if (submission.answered) {
        violation(fmt::format("request {} was answered twice", toText(answer.id)));
    }
    submission.answered = true;
    submission.outcome = answer.outcome;
    submission.reason = answer.reason;
    ++m_outcomes[std::string(toText(answer.outcome))];
    if (answer.reason == Reason::Quarantined && !isCrashing(submission.body)) {
        violation(fmt::format("request {}, which ends no endpoint, was put under quarantine",
                              toText(answer.id)));
    }
    if (answer.outcome == Outcome::Completed && answer.body != expectedAnswer(submission)) {
        violation(fmt::format("request {} got {} for {}", toText(answer.id), answer.body,
                              expectedAnswer(submission)));
    }
    const bool whole = submission.streamed == expectedAnswer(submission);
    if (answer.outcome == Outcome::Completed && submission.streams && !whole) {
        violation(fmt::format("request {} was streamed {} and called complete", toText(answer.id),
                              submission.streamed));
    }
    if (answer.outcome == Outcome::NotRun && m_ledger.callsByRequest.contains(answer.id)) {
        violation(
            fmt::format("request {} was said not to have run, but it did", toText(answer.id)));
    }
    if (submission.drainBegan && answer.reason == Reason::Draining) {
        violation(fmt::format("request {} was cut off by a planned stop", toText(answer.id)));
    }
}

void Checks::streamed(const StreamChunk &chunk)
{
    Submission &submission = m_submissions.at(chunk.id);
    if (submission.answered) {
        violation(fmt::format("request {} got a part after its end", toText(chunk.id)));
    }
    submission.streamed += chunk.text;
    if (expectedAnswer(submission).rfind(submission.streamed, 0) != 0) {
        violation(fmt::format("request {} was streamed {} for {}", toText(chunk.id),
                              submission.streamed, expectedAnswer(submission)));
    }
}

void Checks::arrivedAtEndpoint(const std::string &endpointName, const FakeEndpoint &endpoint,
                               const SendStage &stage, bool mayBeUninformed)
{
    ++m_ledger.callsByRequest[stage.call.request];
    const auto found = m_submissions.find(stage.call.request);
    if (found != m_submissions.end() && found->second.answered
        && found->second.outcome == Outcome::NotRun) {
        violation(fmt::format("request {} ran after it was said not to have run",
                              toText(stage.call.request)));
    }
    if (!mayBeUninformed && endpoint.leavingSince != TimePoint::max()
        && m_queue.now() - endpoint.leavingSince > leavingGracePeriod) {
        violation(fmt::format("{} got new work {} ms after it began to leave", endpointName,
                              toMilliseconds(m_queue.now() - endpoint.leavingSince)));
    }
}

void Checks::dataCentreDrained(const std::string &dataCentre, bool isDrained)
{
    if (isDrained) {
        m_drainedSince[dataCentre] = m_queue.now();
    } else {
        m_drainedSince.erase(dataCentre);
    }
}

void Checks::arrivedAtDataCentre(const FakeEndpoint &endpoint, const SendStage &stage,
                                 bool fromStableHost)
{
    recordColdArrival(endpoint, stage.endpoint);
    const auto drained = m_drainedSince.find(endpoint.dataCentre);
    if (!fromStableHost || drained == m_drainedSince.end()) {
        return;
    }
    const Duration since = m_queue.now() - drained->second;
    if (since > drainGracePeriod) {
        violation(fmt::format("{} got new work {} ms after {} was drained", stage.endpoint,
                              toMilliseconds(since), endpoint.dataCentre));
    }
}

void Checks::recordColdArrival(const FakeEndpoint &endpoint, const std::string &name)
{
    if (m_queue.now() >= endpoint.coldUntil) {
        m_coldArrivals.erase(name);
        return;
    }
    std::deque<TimePoint> &arrivals = m_coldArrivals[name];
    arrivals.push_back(m_queue.now());
    while (m_queue.now() - arrivals.front() >= std::chrono::seconds(1)) {
        arrivals.pop_front();
    }
    if (static_cast<double>(arrivals.size()) > coldRate * coldRateFactor + coldSlack) {
        violation(fmt::format("{} got {} requests within a second while it was cold", name,
                              arrivals.size()));
    }
}

void Checks::limitReported(const std::string &endpoint, Incarnation daemon)
{
    m_limits[endpoint].reportedAt.try_emplace(daemon, m_queue.now());
}

void Checks::arrivedAtLimited(const FakeEndpoint &endpoint, const SendStage &stage, bool excused)
{
    LimitRecord &record = m_limits[stage.endpoint];
    const TimePoint now = m_queue.now();
    const auto reported = record.reportedAt.find(stage.call.request.incarnation);
    const bool hasLimit =
        reported != record.reportedAt.end() && now - reported->second >= limitPropagationTime;
    if (excused || !hasLimit || now - endpoint.limitedSince < stabilizationTime) {
        return;
    }
    record.arrivals.push_back(now);
    while (now - record.arrivals.front() >= limitWindow) {
        record.arrivals.pop_front();
    }
    const double seconds = std::chrono::duration<double>(limitWindow).count();
    const double allowed = *endpoint.limit * seconds * limitRateFactor + limitSlack;
    if (static_cast<double>(record.arrivals.size()) > allowed) {
        violation(fmt::format("{}, which states a limit of {}/s, got {} requests in {:.0f} s from "
                              "daemons that had been told",
                              stage.endpoint, *endpoint.limit, record.arrivals.size(), seconds));
    }
}

void Checks::pauseRequested(const SendStage &stage, Duration pause)
{
    const TimePoint now = m_queue.now();
    m_pauses[{stage.endpoint, stage.call.request.incarnation}].push_back(
        {now + pausePropagationTime, now + pause, 0});
}

void Checks::departureReported(const std::string &endpoint, Incarnation daemon)
{
    m_departureReportedAt.try_emplace({endpoint, daemon}, m_queue.now());
}

void Checks::arrivedAtPausing(const SendStage &stage, bool excused)
{
    const TimePoint now = m_queue.now();
    const EndpointDaemon key{stage.endpoint, stage.call.request.incarnation};
    if (excused) {
        return;
    }
    const auto leaving = m_departureReportedAt.find(key);
    if (leaving != m_departureReportedAt.end()
        && now - leaving->second > departurePropagationTime) {
        violation(fmt::format("{} got new work {:.0f} ms after it told the daemon that it leaves",
                              stage.endpoint, toMilliseconds(now - leaving->second)));
    }
    const auto pauses = m_pauses.find(key);
    if (pauses == m_pauses.end()) {
        return;
    }
    std::erase_if(pauses->second, [now](const Pause &pause) { return pause.end <= now; });
    for (Pause &pause : pauses->second) {
        if (now >= pause.begin && ++pause.arrivals > maxArrivalsInPause) {
            violation(fmt::format("{} got {} requests of a daemon in a pause that it asked for",
                                  stage.endpoint, pause.arrivals));
        }
    }
}

void Checks::ranAtEndpoint(const SendStage &stage)
{
    m_trace.add(fmt::format("{} runs {}", stage.endpoint, toText(stage.call)));
    if (stage.idempotencyKey.empty()) {
        return;
    }
    const int runs = ++m_ledger.runsByKey[stage.idempotencyKey];
    if (runs > 1) {
        violation(fmt::format("key {} ran {} times", stage.idempotencyKey, runs));
    }
}

void Checks::crashed(const std::string &body)
{
    CrashRecord &record = m_crashes[body];
    ++record.crashes;
    m_trace.add(fmt::format("an endpoint ends under {}, number {}", body, record.crashes));
    if (record.crashes == crashThresholdOf(body)) {
        record.thresholdReachedAt = m_queue.now();
    }
}

void Checks::crashingArrived(const std::string &body, bool fromStableHost)
{
    CrashRecord &record = m_crashes[body];
    const bool isKnownToCrash = record.crashes >= crashThresholdOf(body)
                                && m_queue.now() - record.thresholdReachedAt > stabilizationTime;
    if (!isKnownToCrash || !fromStableHost) {
        return;
    }
    ++record.sendsAfterThreshold;
    if (record.sendsAfterThreshold > maxSendsAfterThreshold) {
        violation(fmt::format("{}, under which {} endpoints had ended, was sent {} times more",
                              body, record.crashes, record.sendsAfterThreshold));
    }
}

int Checks::crashCount(const std::string &body) const
{
    const auto found = m_crashes.find(body);
    return found == m_crashes.end() ? 0 : found->second.crashes;
}

void Checks::hostKilled(const std::string &host, Incarnation incarnation)
{
    for (auto &[id, submission] : m_submissions) {
        if (submission.host == host && id.incarnation == incarnation) {
            submission.daemonDied = true;
            submission.isAbandoned = !submission.answered;
        }
    }
}

void Checks::hostDraining(const std::string &host)
{
    for (auto &[id, submission] : m_submissions) {
        if (submission.host == host && !submission.answered && !submission.isAbandoned) {
            submission.drainBegan = true;
        }
    }
}

void Checks::hostRestarted(const std::string &host)
{
    std::erase_if(m_inForce, [&host](const auto &entry) { return entry.first.first == host; });
    std::erase_if(m_writesInForce,
                  [&host](const auto &entry) { return entry.first.first == host; });
}

void Checks::versionInForce(const std::string &host, const std::string &object, Version version)
{
    Version &highest = m_inForce[{host, object}];
    if (version < highest) {
        violation(fmt::format("{} on {} went back from version {} to {}", object, host, highest,
                              version));
    }
    highest = version;
}

void Checks::valueInForce(const std::string &host, const std::string &object,
                          const OperatorWrite &write, const Version &version)
{
    OperatorWrite &last = m_writesInForce[{host, object}];
    if (write.number < last.number && write.value != last.value) {
        violation(fmt::format("{} on {} went back from write {} to {}, version {}", object, host,
                              last.number, write.number, version));
    }
    last = write;
}

void Checks::writeNotInForce(const std::string &host, const std::string &object,
                             std::uint64_t number)
{
    if (std::exchange(m_lateWrites[{host, object}], number) != number) {
        violation(fmt::format("{} on {} is not in force {} ms after write {}", object, host,
                              convergenceTime.count(), number));
    }
}

void Checks::brittleFailed(const std::string &pool, int endpoints)
{
    constexpr double allowed = 2;
    constexpr double allowedPerEndpoint = 0.1;
    const int failures = ++m_brittleFailures[pool];
    if (failures > allowed + allowedPerEndpoint * endpoints) {
        violation(
            fmt::format("endpoints of {} failed {} times while they were brittle", pool, failures));
    }
}

void Checks::finish()
{
    for (const auto &[id, submission] : m_submissions) {
        if (!submission.answered && !submission.isAbandoned) {
            violation(fmt::format("request {} was never answered", toText(id)));
        }
    }
}

std::vector<Submission> Checks::neverRunKeys() const
{
    std::map<std::string, Submission> byKey;
    std::set<std::string> uncertain;
    for (const auto &[id, submission] : m_submissions) {
        // Requests that crash endpoints are not run again, whatever their key.
        if (submission.key.empty() || isCrashing(submission.body)) {
            continue;
        }
        byKey[submission.key] = submission;
        // A daemon that dies may leave a claim behind that no other daemon can release, and
        // a request that is refused for a reused key gives no information on that key.
        if (submission.daemonDied || submission.outcome != Outcome::NotRun
            || submission.reason == Reason::KeyReused) {
            uncertain.insert(submission.key);
        }
    }
    std::vector<Submission> keys;
    for (const auto &[key, submission] : byKey) {
        if (!uncertain.contains(key) && !m_ledger.runsByKey.contains(key)) {
            keys.push_back(submission);
        }
    }
    return keys;
}

} // namespace harelink::sim
