//===- harelink/Kernel/claimrouterimpl.h - Definitions ----------*- C++ -*-===//
///
/// \file
/// The definitions of BasicClaimRouter; included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMROUTERIMPL_H
#define HARELINK_KERNEL_CLAIMROUTERIMPL_H

#include "harelink/Kernel/claimrouter.h"

#include <algorithm>
#include <utility>

namespace harelink {

namespace claimrouter {

/// After this time without an answer an owner is asked again.
inline constexpr std::chrono::milliseconds retryInterval{150};
/// How often an owner is asked before the own ledger takes over.
inline constexpr int mostTries = 2;
/// While so many ends wait to be written, the platform being out, new claims are
/// refused at once.
inline constexpr std::size_t mostUnwrittenEnds = 10'000;

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
std::vector<PeerSend> BasicClaimRouter<G>::takeSends()
{
    return std::exchange(m_sends, {});
}

template <GuardPolicy G>
std::vector<ClaimDecision> BasicClaimRouter<G>::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

template <GuardPolicy G>
void BasicClaimRouter<G>::hand(const ClaimRequest &request)
{
    m_ledger.claim(request, {});
}

template <GuardPolicy G>
void BasicClaimRouter<G>::hand(const ClaimFinish &finish)
{
    m_ledger.finish(finish, {});
}

template <GuardPolicy G>
template <typename What>
void BasicClaimRouter<G>::send(Pending<What> &pending)
{
    const std::string owner = preferredOwner(bucketOf(pending.what.key), m_membership.candidates());
    const std::string address = m_membership.addressOf(owner);
    const bool own = owner == m_membership.host() || address.empty();
    if (own || pending.tries >= claimrouter::mostTries) {
        m_localFallbacks += own ? 0 : 1;
        pending.direct = true;
        hand(pending.what);
        return;
    }
    ++pending.tries;
    pending.nextTry = m_clock.now() + claimrouter::retryInterval;
    PeerMessage message{m_membership.host(), m_membership.incarnation(), pending.what};
    m_sends.push_back({owner, address, std::move(message)});
}

template <GuardPolicy G>
void BasicClaimRouter<G>::claim(const ClaimRequest &request)
{
    if (m_finishes.size() >= claimrouter::mostUnwrittenEnds) {
        m_decisions.push_back({request.claimant, request.key, ClaimVerdict::Unavailable, {}});
        return;
    }
    Pending<ClaimRequest> &pending = m_claims[request.claimant];
    pending.what = request;
    pending.giveUpAt = m_clock.now() + request.timeout;
    send(pending);
}

template <GuardPolicy G>
void BasicClaimRouter<G>::finish(const ClaimFinish &finish)
{
    const auto claimed = m_claims.find(finish.claimant);
    const bool inOwnLedger = claimed != m_claims.end() && claimed->second.direct;
    if (claimed != m_claims.end()) {
        m_claims.erase(claimed);
    }
    Pending<ClaimFinish> &pending = m_finishes[finish.claimant];
    pending.what = finish;
    pending.tries = 0;
    pending.direct = false;
    pending.giveUpAt = TimePoint::max();
    if (inOwnLedger) {
        // The end must not overtake the claim, which may still wait there.
        pending.direct = true;
        hand(finish);
        return;
    }
    send(pending);
}

template <GuardPolicy G>
void BasicClaimRouter<G>::handleDecision(const ClaimDecision &decision, bool byPeer)
{
    const auto found = m_claims.find(decision.claimant);
    const bool known = found != m_claims.end();
    if (known && decision.verdict == ClaimVerdict::Unavailable && byPeer) {
        if (found->second.direct) {
            // The own ledger has it by now and will say how it stands.
            return;
        }
        // The owner cannot reach the platform. This daemon may.
        found->second.tries = claimrouter::mostTries;
        send(found->second);
        return;
    }
    const bool inDoubt =
        known && decision.verdict == ClaimVerdict::Unavailable && found->second.tries > 0;
    if (known) {
        m_claims.erase(found);
    }
    // An unknown claim's grant is passed on as well: its request gives it back.
    m_decisions.push_back(decision);
    // A copy of it may still be on its way to an owner, and would be written. Only
    // the request itself may release it: it alone knows that it never will run.
    m_decisions.back().inDoubt = inDoubt;
}

template <GuardPolicy G>
void BasicClaimRouter<G>::handleFinished(const RequestId &claimant)
{
    m_finishes.erase(claimant);
}

template <GuardPolicy G>
template <typename What>
void BasicClaimRouter<G>::resend(std::map<RequestId, Pending<What>> &all)
{
    for (auto &[claimant, pending] : all) {
        if (!pending.direct && m_clock.now() >= pending.nextTry) {
            send(pending);
        }
    }
}

template <GuardPolicy G>
void BasicClaimRouter<G>::tick()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_claims, [now](const auto &entry) { return entry.second.giveUpAt <= now; });
    resend(m_claims);
    resend(m_finishes);
}

template <GuardPolicy G>
TimePoint BasicClaimRouter<G>::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[claimant, pending] : m_claims) {
        next = std::min(next, pending.direct ? pending.giveUpAt : pending.nextTry);
    }
    for (const auto &[claimant, pending] : m_finishes) {
        next = std::min(next, pending.direct ? TimePoint::max() : pending.nextTry);
    }
    return next;
}

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMROUTERIMPL_H
