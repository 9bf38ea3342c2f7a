//===- harelink/Kernel/controlmachineimpl.h - Definitions -------*- C++ -*-===//
///
/// \file
/// The definitions of BasicControlMachine; included only where it is
/// instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONTROLMACHINEIMPL_H
#define HARELINK_KERNEL_CONTROLMACHINEIMPL_H

#include "harelink/Kernel/claimledgerimpl.h"
#include "harelink/Kernel/claimrouterimpl.h"
#include "harelink/Kernel/configmachineimpl.h"
#include "harelink/Kernel/controlmachine.h"

#include <algorithm>
#include <utility>

namespace harelink {

namespace controlmachine {

/// How often the platform's host list is read.
inline constexpr std::chrono::milliseconds hostListInterval{2000};
/// The same while not a single peer is known.
inline constexpr std::chrono::milliseconds firstHostListInterval{500};

} // namespace controlmachine

template <GuardPolicy G>
BasicControlMachine<G>::BasicControlMachine(const Clock &clock, const ControlOptions &options)
    : m_clock(clock)
    , m_watcher(clock, m_config)
    , m_membership(clock, options.host, options.dataCentre, options.incarnation)
    , m_ledger(
          clock, [this](Incarnation incarnation) { return m_membership.hostOf(incarnation); },
          options.claims)
    , m_router(clock, m_membership, m_ledger)
    , m_nextHostList(clock.now())
{
}

template <GuardPolicy G>
ControlOutput BasicControlMachine<G>::takeOutput()
{
    forwardLedgerReplies();
    for (PeerSend &send : m_router.takeSends()) {
        m_output.sends.push_back(std::move(send));
    }
    for (ClaimDecision &decision : m_router.takeDecisions()) {
        m_output.decisions.push_back(std::move(decision));
    }
    return std::exchange(m_output, {});
}

template <GuardPolicy G>
void BasicControlMachine<G>::forwardLedgerReplies()
{
    // Handing a refused claim on may make the ledger reply again.
    for (auto replies = m_ledger.takeReplies(); !replies.empty();
         replies = m_ledger.takeReplies()) {
        for (const ClaimReply &reply : replies) {
            if (reply.host.empty()) {
                m_router.decided(reply.decision, false);
            } else {
                sendTo(reply.host, reply.decision);
            }
        }
    }
    for (const FinishReply &reply : m_ledger.takeFinished()) {
        if (reply.host.empty()) {
            m_router.finished(reply.claimant);
        } else {
            sendTo(reply.host, ClaimFinished{reply.claimant});
        }
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::sendTo(const std::string &host, decltype(PeerMessage::content) content)
{
    const std::string address = m_membership.addressOf(host);
    if (address.empty()) {
        return;
    }
    m_output.sends.push_back(
        {host, address, {m_membership.host(), m_membership.incarnation(), std::move(content)}});
}

template <GuardPolicy G>
void BasicControlMachine<G>::tick()
{
    m_watcher.tick(m_output.calls, m_nextCallId);
    pollHostList();
    for (PeerSend &heartbeat : m_membership.dueHeartbeats()) {
        std::get<Heartbeat>(heartbeat.message.content).usage = m_ownUsage;
        m_output.sends.push_back(std::move(heartbeat));
    }
    const std::vector<std::string> hosts = m_membership.candidates();
    for (std::size_t i = 0; i < claimBucketCount; ++i) {
        m_ledger.own(i, softOwner(i, hosts) == m_membership.host());
    }
    m_router.tick();
    m_ledger.tick(m_output.calls, m_nextCallId);
}

template <GuardPolicy G>
bool BasicControlMachine<G>::heartbeatsDue() const
{
    return m_clock.now() >= m_membership.nextTick();
}

template <GuardPolicy G>
void BasicControlMachine<G>::pollHostList()
{
    if (m_hostListCall != 0 || m_clock.now() < m_nextHostList) {
        return;
    }
    m_hostListCall = m_nextCallId++;
    PlatformCall call;
    call.id = m_hostListCall;
    call.operation = PlatformOperation::Hosts;
    m_output.calls.push_back(std::move(call));
}

template <GuardPolicy G>
TimePoint BasicControlMachine<G>::nextTick() const
{
    TimePoint next = std::min(
        {m_watcher.nextTick(), m_membership.nextTick(), m_router.nextTick(), m_ledger.nextTick()});
    return m_hostListCall == 0 ? std::min(next, m_nextHostList) : next;
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PlatformResult &result)
{
    if (m_watcher.owns(result.id)) {
        m_output.configChanged = m_watcher.handle(result) || m_output.configChanged;
        return;
    }
    if (result.id == m_hostListCall) {
        m_hostListCall = 0;
        if (result.outcome == PlatformOutcome::Ok) {
            m_membership.takeHostList(result.objects);
        }
        m_nextHostList = m_clock.now()
                         + (m_membership.peers().empty() ? controlmachine::firstHostListInterval
                                                         : controlmachine::hostListInterval);
        return;
    }
    m_ledger.handle(result);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message)
{
    m_membership.heard(message);
    std::visit([&](const auto &content) { handle(message, content); }, message.content);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const Heartbeat &content)
{
    (void)message;
    m_output.usage.insert(m_output.usage.end(), content.usage.begin(), content.usage.end());
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimRequest &content)
{
    m_ledger.claim(content, message.host);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimDecision &content)
{
    (void)message;
    // A decision for the incarnation before this one is nobody's.
    if (content.claimant.incarnation == m_membership.incarnation()) {
        m_router.decided(content, true);
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimFinish &content)
{
    m_ledger.finish(content, message.host);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ClaimFinished &content)
{
    (void)message;
    m_router.finished(content.claimant);
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ConfigPush &content)
{
    (void)message;
    for (const PlatformObject &object : content.objects) {
        m_output.configChanged = m_config.apply(object) || m_output.configChanged;
    }
}

template <GuardPolicy G>
void BasicControlMachine<G>::handle(const PeerMessage &message, const ConfigDigest &content)
{
    (void)message;
    (void)content;
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONTROLMACHINEIMPL_H
