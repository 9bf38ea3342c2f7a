//===- harelink/Kernel/crashdetector.h - Crash detection --------*- C++ -*-===//
///
/// \file
/// Detects requests that crash the endpoints that run them, and parts of prompts that do so in
/// whatever request, across retries and hosts, and quarantines them.
///
/// A daemon whose call breaks first probes whether the endpoint has crashed. It then counts
/// the crash and reports it, by the digest of the request, to the two hosts that rendezvous
/// hashing selects for the digest. A daemon whose count reaches the threshold declares a
/// quarantine in the platform. Alternatives considered: each daemon counts alone (three
/// crashed endpoints per daemon); every suspect is written to the platform (about ten
/// suspects per crash, most of them unrelated); broadcast to all peers (cost grows with the
/// number of hosts). Reports are lost with the hosts that count them; the count then restarts
/// and three more endpoints crash.
///
/// The parts of the prompt of a call that broke before the endpoint began to answer are reported
/// to all hosts: any of them may have completed a request with that part, which clears it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CRASHDETECTOR_H
#define HARELINK_KERNEL_CRASHDETECTOR_H

#include "harelink/Kernel/crashconfirmer.h"
#include "harelink/Kernel/crashcounter.h"
#include "harelink/Kernel/membership.h"
#include "harelink/Kernel/quarantinepublisher.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// A request, or a part of prompts, that was quarantined by this daemon.
struct QuarantineDecision
{
    Hash128 digest;
    std::string pool;
    std::vector<std::string> endpoints; ///< Crashed endpoints, in order.
    bool isPromptPart = false;
};

/// The crash detector of one daemon.
class CrashDetector
{
public:
    /// All references must outlive the detector.
    CrashDetector(const Clock &clock, const Membership &membership,
                  const std::string &quarantineKind, std::chrono::milliseconds quarantineDuration);

    /// Event handlers.
    void handle(BrokenCall call);
    void handle(const EndpointProbeResult &event);
    void handle(const RequestCleared &event);
    void handle(const CrashReports &message);
    void handle(const CrashesCleared &message);
    bool handle(const PlatformResult &result) { return m_publisher.handle(result); }
    void tick(const ConfigEntries &declared, std::uint64_t storeEra,
              std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);

    /// Declares the quarantine \p declared again after \p delay, since the platform has lost it.
    void publishAgain(const ConfigEntry &declared, Duration delay)
    {
        m_publisher.publishAgain(declared, delay);
    }

    /// Return the actions and decisions since the last call.
    [[nodiscard]] std::vector<EndpointProbe> drainProbes() { return m_confirmer.drainProbes(); }
    [[nodiscard]] std::vector<PeerSend> drainSends() { return std::exchange(m_sends, {}); }
    /// Requests whose successful completion the workers must report.
    [[nodiscard]] std::vector<RequestSuspected> drainSuspects()
    {
        return std::exchange(m_suspects, {});
    }
    [[nodiscard]] std::vector<QuarantineDecision> drainDecisions()
    {
        return std::exchange(m_decisions, {});
    }
    /// Quarantines decided by this daemon that are not visible in the platform yet.
    [[nodiscard]] std::vector<Resource> unpublished() const { return m_publisher.unpublished(); }
    [[nodiscard]] TimePoint nextTick() const;

private:
    void reportConfirmed();
    void countCrash(const CrashReport &report, TimePoint sentAt, TimePoint brokeAt);
    [[nodiscard]] std::vector<std::string> countingHostsOf(const Hash128 &digest) const;
    [[nodiscard]] bool isCountingHostOf(const Hash128 &digest) const;
    void send(const std::string &host, decltype(PeerMessage::content) content);

    const Clock &m_clock;
    const Membership &m_membership;
    CrashConfirmer m_confirmer;
    CrashCounter m_counter;
    QuarantinePublisher m_publisher;
    std::vector<PeerSend> m_sends;
    std::vector<RequestSuspected> m_suspects;
    std::vector<QuarantineDecision> m_decisions;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHDETECTOR_H
