//===- harelink/Kernel/crashdetector.h - Requests that end endpoints *- C++ -*-===//
///
/// \file
/// Notices requests that crash whatever runs them, over their copies and over hosts, and
/// has them put under quarantine.
///
/// A daemon that sees a call break learns first whether its endpoint has ended. Then it
/// reports the request, by its digest, to the two hosts that rendezvous hashing gives for
/// that digest, and counts itself. Whoever has counted enough declares a quarantine in the
/// platform. Options weighed: each daemon counts alone (every daemon pays three endpoints);
/// every suspect is written to the platform (a crash has some ten suspects, most of them
/// innocent); all tell all (grows with the hosts). Reports may be lost with the hosts that
/// count them: then the count begins anew, which costs three endpoints more.
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

/// A request that was put under quarantine here.
struct QuarantineDecision
{
    Hash128 digest;
    std::string pool;
    std::vector<std::string> endpoints; ///< That ended, in order.
};

/// The watch of one daemon.
class CrashDetector
{
public:
    /// All references outlive the watch.
    CrashDetector(const Clock &clock, const Membership &membership,
                  const std::string &quarantineKind, std::chrono::milliseconds quarantineLength);

    /// The events.
    void handle(BrokenCall call);
    void handle(const EndpointProbeResult &event);
    void handle(const RequestCleared &event);
    void handle(const CrashReports &message);
    void handle(const CrashesCleared &message);
    bool handle(const PlatformResult &result) { return m_publisher.handle(result); }
    void tick(const ConfigEntries &declared, std::vector<PlatformCall> &calls,
              std::uint64_t &nextCallId);

    /// The actions that came up since the last call.
    [[nodiscard]] std::vector<EndpointProbe> drainProbes() { return m_confirmer.drainProbes(); }
    [[nodiscard]] std::vector<PeerSend> drainSends() { return std::exchange(m_sends, {}); }
    /// For the workers: requests whose good ends are to be told.
    [[nodiscard]] std::vector<RequestSuspected> drainSuspects()
    {
        return std::exchange(m_suspects, {});
    }
    [[nodiscard]] std::vector<QuarantineDecision> drainDecisions()
    {
        return std::exchange(m_decisions, {});
    }
    /// What is decided here and not seen in the platform yet.
    [[nodiscard]] std::vector<Resource> unpublished() const { return m_publisher.unpublished(); }
    [[nodiscard]] TimePoint nextTick() const { return m_publisher.nextTick(); }

private:
    void reportConfirmed();
    void count(const CrashReport &report, TimePoint sentAt, TimePoint brokeAt);
    [[nodiscard]] std::vector<std::string> countersOf(const Hash128 &digest) const;
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
