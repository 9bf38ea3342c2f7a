//===- harelink/Kernel/claimrouterimpl.h - Definitions ----------*- C++ -*-===//
///
/// \file
/// Definitions of BasicClaimRouter; to be included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMROUTERIMPL_H
#define HARELINK_KERNEL_CLAIMROUTERIMPL_H

#include "harelink/Kernel/claimrouter.h"

#include <algorithm>
#include <utility>

namespace harelink {

namespace claimrouter {

/// Delay before a message is resent to an owner that has not answered.
inline constexpr std::chrono::milliseconds retryInterval{150};
/// Number of attempts to reach an owner before falling back to the local ledger.
inline constexpr int maxAttempts = 2;
/// Maximum number of outcomes that wait to be written during a platform outage.
/// At this number, new claims are rejected at once.
inline constexpr std::size_t maxUnwrittenFinishes = 10'000;

} // namespace claimrouter

template <GuardPolicy G>
BasicClaimRouter<G>::BasicClaimRouter(const Clock &clock, const Membership &membership,
                                      BasicClaimLedger<G> &ledger)
    : m_clock(clock)
    , m_membership(membership)
    , m_ledger(ledger)
{
}

template <GuardPolicy G>
std::vector<PeerSend> BasicClaimRouter<G>::drainSends()
{
    return std::exchange(m_sends, {});
}

template <GuardPolicy G>
std::vector<ClaimDecision> BasicClaimRouter<G>::drainDecisions()
{
    return std::exchange(m_decisions, {});
}

template <GuardPolicy G>
void BasicClaimRouter<G>::submitLocally(const ClaimRequest &request)
{
    m_ledger.claim(request, {});
}

template <GuardPolicy G>
void BasicClaimRouter<G>::submitLocally(const ClaimFinish &finish)
{
    m_ledger.finish(finish, {});
}

template <GuardPolicy G>
template <typename Payload>
void BasicClaimRouter<G>::send(Pending<Payload> &pending)
{
    const std::string owner =
        preferredOwner(bucketOf(pending.payload.key), m_membership.candidates());
    const std::string address = m_membership.addressOf(owner);
    const bool isOwn = owner == m_membership.host() || address.empty();
    if (isOwn || pending.attempts >= claimrouter::maxAttempts) {
        m_localFallbacks += isOwn ? 0 : 1;
        pending.isLocal = true;
        submitLocally(pending.payload);
        return;
    }
    ++pending.attempts;
    pending.nextAttempt = m_clock.now() + claimrouter::retryInterval;
    PeerMessage message{m_membership.host(), m_membership.incarnation(), pending.payload};
    m_sends.push_back({owner, address, std::move(message)});
}

template <GuardPolicy G>
void BasicClaimRouter<G>::claim(const ClaimRequest &request)
{
    if (m_finishes.size() >= claimrouter::maxUnwrittenFinishes) {
        m_decisions.push_back({request.claimant, request.key, ClaimVerdict::Unavailable, {}});
        return;
    }
    Pending<ClaimRequest> &pending = m_claims[request.claimant];
    pending.payload = request;
    pending.expiresAt = m_clock.now() + request.timeout;
    send(pending);
}

template <GuardPolicy G>
void BasicClaimRouter<G>::finish(const ClaimFinish &finish)
{
    const auto claimed = m_claims.find(finish.claimant);
    const bool isInLocalLedger = claimed != m_claims.end() && claimed->second.isLocal;
    if (claimed != m_claims.end()) {
        m_claims.erase(claimed);
    }
    Pending<ClaimFinish> &pending = m_finishes[finish.claimant];
    pending.payload = finish;
    pending.attempts = 0;
    pending.isLocal = false;
    pending.expiresAt = TimePoint::max();
    if (isInLocalLedger) {
        // The outcome must not overtake the claim, which may still be pending there.
        pending.isLocal = true;
        submitLocally(finish);
        return;
    }
    send(pending);
}

template <GuardPolicy G>
void BasicClaimRouter<G>::handleDecision(const ClaimDecision &decision, bool byPeer)
{
    const auto found = m_claims.find(decision.claimant);
    const bool isKnown = found != m_claims.end();
    if (isKnown && decision.verdict == ClaimVerdict::Unavailable && byPeer) {
        if (found->second.isLocal) {
            // The local ledger has the claim by now and will decide it.
            return;
        }
        // The owner cannot reach the platform, but this daemon may be able to.
        found->second.attempts = claimrouter::maxAttempts;
        send(found->second);
        return;
    }
    const bool inDoubt =
        isKnown && decision.verdict == ClaimVerdict::Unavailable && found->second.attempts > 0;
    if (isKnown) {
        m_claims.erase(found);
    }
    // The grant of an unknown claim is forwarded as well, so that its request releases it.
    m_decisions.push_back(decision);
    // A copy of the claim may still be in flight to an owner and be written. Only the
    // request may release it, since only the request can rule out that it will run.
    m_decisions.back().inDoubt = inDoubt;
}

template <GuardPolicy G>
void BasicClaimRouter<G>::handleFinished(const RequestId &claimant)
{
    m_finishes.erase(claimant);
}

template <GuardPolicy G>
template <typename Payload>
void BasicClaimRouter<G>::resend(std::map<RequestId, Pending<Payload>> &pendingItems)
{
    for (auto &[claimant, pending] : pendingItems) {
        if (!pending.isLocal && m_clock.now() >= pending.nextAttempt) {
            send(pending);
        }
    }
}

template <GuardPolicy G>
void BasicClaimRouter<G>::tick()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_claims, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    resend(m_claims);
    resend(m_finishes);
}

template <GuardPolicy G>
TimePoint BasicClaimRouter<G>::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[claimant, pending] : m_claims) {
        next = std::min(next, pending.isLocal ? pending.expiresAt : pending.nextAttempt);
    }
    for (const auto &[claimant, pending] : m_finishes) {
        next = std::min(next, pending.isLocal ? TimePoint::max() : pending.nextAttempt);
    }
    return next;
}

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMROUTERIMPL_H
