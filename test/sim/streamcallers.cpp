//===- streamcallers.cpp - Callers of resumable streams -------------------===//

#include "streamcallers.h"

#include "harelink/Support/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <cassert>
#include <cmath>

#include <fmt/format.h>

namespace harelink::sim {
namespace {

constexpr std::chrono::milliseconds allowedTime{4000};
constexpr std::chrono::milliseconds takeUpDelay{30};
/// Fewer attempts to take up a stream are not compared with new streams.
constexpr int minTakenUp = 12;
/// Share of the streams whose records or lookups are lost with messages of the network.
constexpr double lostShare = 0.02;
/// Standard deviations by which the share that goes on may fall short by chance.
constexpr double shareTolerance = 3;

double ratio(const StreamShare &share)
{
    return share.attempts == 0 ? 0 : static_cast<double>(share.succeeded) / share.attempts;
}

} // namespace

std::string StreamCallers::eventBytes(std::uint64_t id, const std::string &version)
{
    return fmt::format("{} {}", id, version);
}

void StreamCallers::begin()
{
    const int number = static_cast<int>(m_streams.size()) + 1;
    m_streams[number].deadline = m_queue.now() + allowedTime;
    attempt(number);
}

void StreamCallers::attempt(int number)
{
    Stream &stream = m_streams.at(number);
    const Duration allowed = stream.deadline - m_queue.now();
    if (allowed <= Duration::zero() || stream.attempts >= m_maxAttempts) {
        return;
    }
    StreamAttempt next;
    next.stream = number;
    next.callerId = fmt::format("s{}-{}", number, ++stream.attempts);
    next.resumedAttempt = stream.firstAttempt;
    if (stream.lastEvent > 0) {
        next.lastEvent = stream.lastEvent;
    }
    next.allowed = allowed;
    stream.attemptId = next.callerId;
    stream.hasEvent = false;
    stream.hasSucceeded = false;
    stream.share = nullptr;
    const std::optional<Submitted> submitted = m_world.submit(next, stream.version);
    if (!submitted) {
        takeUpSoon(number);
        return;
    }
    stream.request = submitted->id;
    stream.attemptedAt = m_queue.now();
    m_streamsByRequest[submitted->id] = number;
    const bool isNew = stream.lastEvent == 0;
    // A stream that began while hosts were disturbed may be known to none of the others.
    const TimePoint since = isNew ? stream.attemptedAt : stream.beganAt;
    if (submitted->counts && m_world.disturbedAt() < since) {
        stream.share = isNew ? &m_begun : &m_takenUp;
        ++stream.share->attempts;
    }
}

void StreamCallers::takeUpSoon(int number)
{
    m_queue.after(takeUpDelay, [this, number] { attempt(number); });
}

void StreamCallers::end(Stream &stream)
{
    const bool isExplained = !stream.hasSucceeded && m_world.disturbedAt() >= stream.attemptedAt;
    if (stream.share != nullptr && isExplained) {
        --stream.share->attempts;
    }
    stream.request.reset();
    stream.share = nullptr;
}

void StreamCallers::handle(const StreamEvents &events)
{
    const int number = m_streamsByRequest.at(events.id);
    Stream &stream = m_streams.at(number);
    if (stream.request != events.id) {
        return;
    }
    const std::vector<std::string> words = absl::StrSplit(events.bytes, ' ');
    std::uint64_t id = 0;
    const bool isEvent = words.size() == 2 && absl::SimpleAtoi(words[0], &id);
    assert(isEvent && "the simulated endpoints send no other events");
    (void)isEvent;
    receive(stream, number, id, words[1]);
}

void StreamCallers::receive(Stream &stream, int number, std::uint64_t id,
                            const std::string &version)
{
    if (id != stream.lastEvent + 1) {
        m_checks.violation(
            fmt::format("stream {} got event {} after event {}", number, id, stream.lastEvent));
    }
    if (stream.version.empty()) {
        stream.version = version;
        stream.firstAttempt = stream.attemptId;
        stream.beganAt = m_queue.now();
    } else if (stream.version != version) {
        m_checks.violation(fmt::format("stream {} began at version {} and went on at {}, attempt "
                                       "{} of its caller",
                                       number, stream.version, version, stream.attempts));
    }
    stream.lastEvent = id;
    stream.hasEvent = true;
    recordSuccess(stream);
}

void StreamCallers::handle(const AnswerCaller &answer)
{
    const int number = m_streamsByRequest.at(answer.id);
    Stream &stream = m_streams.at(number);
    if (stream.request != answer.id) {
        return;
    }
    m_trace.add(fmt::format("stream {}, attempt {}: {} {} {}, {} events", number, stream.attempts,
                            toText(answer.outcome), toText(answer.reason),
                            errorMessage(answer.error), stream.lastEvent));
    if (m_allowsNoQuarantine && answer.reason == Reason::Quarantined) {
        m_checks.violation(
            fmt::format("stream {}, which crashes no endpoint, was put under quarantine", number));
    }
    const bool isWhole = stream.lastEvent == eventCount;
    if (answer.outcome == Outcome::Completed && !isWhole) {
        m_checks.violation(
            fmt::format("stream {} ended as complete after event {}", number, stream.lastEvent));
    }
    if (answer.outcome == Outcome::NotRun && stream.hasEvent) {
        m_checks.violation(fmt::format("stream {} got events, then \"not run\"", number));
    }
    // The caller may lose its connection behind the last event.
    if (answer.outcome == Outcome::Completed) {
        recordSuccess(stream);
    }
    end(stream);
    if (!isWhole) {
        takeUpSoon(number);
    }
}

void StreamCallers::recordSuccess(Stream &stream)
{
    if (!std::exchange(stream.hasSucceeded, true) && stream.share != nullptr) {
        ++stream.share->succeeded;
    }
}

void StreamCallers::handleHostLost(Incarnation incarnation)
{
    for (auto &[number, stream] : m_streams) {
        if (stream.request && stream.request->incarnation == incarnation) {
            end(stream);
            takeUpSoon(number);
        }
    }
}

std::optional<RequestId> StreamCallers::breakConnection(std::uint64_t selection)
{
    std::vector<int> candidates;
    for (const auto &[number, stream] : m_streams) {
        if (stream.request && stream.hasEvent) {
            candidates.push_back(number);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const int number = candidates[selection % candidates.size()];
    Stream &stream = m_streams.at(number);
    const std::optional<RequestId> request = stream.request;
    m_trace.add(fmt::format("the caller of stream {} loses its connection", number));
    end(stream);
    takeUpSoon(number);
    return request;
}

void StreamCallers::finish()
{
    const double expected = ratio(m_begun) * (1 - lostShare);
    const double deviation = std::sqrt(expected * (1 - expected) / std::max(1, m_takenUp.attempts));
    if (m_takenUp.attempts >= minTakenUp
        && ratio(m_takenUp) < expected - shareTolerance * deviation) {
        m_checks.violation(fmt::format(
            "of {} streams that were taken up {} went on, of {} new streams {} began",
            m_takenUp.attempts, m_takenUp.succeeded, m_begun.attempts, m_begun.succeeded));
    }
}

} // namespace harelink::sim
