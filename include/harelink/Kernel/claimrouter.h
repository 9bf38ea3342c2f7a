//===- harelink/Kernel/claimrouter.h - Claims to their ledger ---*- C++ -*-===//
///
/// \file
/// Brings each claim of this daemon's requests to the ledger of the bucket's
/// soft owner, or to the own ledger where the owner does not answer.
///
/// A claim may so reach two ledgers. That is harmless: its claimant is the same
/// in both, and the platform's conditional update lets one record stand.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMROUTER_H
#define HARELINK_KERNEL_CLAIMROUTER_H

#include "harelink/Kernel/claimledger.h"
#include "harelink/Kernel/membership.h"

#include <map>
#include <vector>

namespace harelink {

/// The router of one daemon.
template <GuardPolicy G>
class BasicClaimRouter
{
public:
    /// All references outlive the router.
    BasicClaimRouter(const Clock &clock, const Membership &membership, BasicClaimLedger<G> &ledger);

    /// Takes in a claim of an own request.
    void claim(const ClaimRequest &request);
    /// Takes in how an own request ended.
    void finish(const ClaimFinish &finish);
    /// Takes in a decision of a peer, or of the own ledger.
    void handleDecision(const ClaimDecision &decision, bool byPeer);
    /// Takes in that an end is written.
    void handleFinished(const RequestId &claimant);
    /// Asks again, or elsewhere, where no answer came.
    void tick();

    [[nodiscard]] std::vector<PeerSend> takeSends();
    [[nodiscard]] std::vector<ClaimDecision> takeDecisions();
    [[nodiscard]] TimePoint nextTick() const;
    /// Whether everything that was asked is answered.
    [[nodiscard]] bool idle() const { return m_claims.empty() && m_finishes.empty(); }
    /// How many claims went to the own ledger because the owner did not answer.
    [[nodiscard]] std::uint64_t localFallbacks() const { return m_localFallbacks; }

private:
    /// Something that was sent to an owner and is not answered yet.
    template <typename What>
    struct Pending
    {
        What what;
        int tries = 0;
        bool direct = false; ///< In the own ledger's hands.
        TimePoint nextTry;
        TimePoint giveUpAt;
    };

    template <typename What>
    void send(Pending<What> &pending);
    template <typename What>
    void resend(std::map<RequestId, Pending<What>> &all);
    void hand(const ClaimRequest &request);
    void hand(const ClaimFinish &finish);

    const Clock &m_clock;
    const Membership &m_membership;
    BasicClaimLedger<G> &m_ledger;
    std::map<RequestId, Pending<ClaimRequest>> m_claims;
    std::map<RequestId, Pending<ClaimFinish>> m_finishes;
    std::vector<PeerSend> m_sends;
    std::vector<ClaimDecision> m_decisions;
    std::uint64_t m_localFallbacks = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CLAIMROUTER_H
