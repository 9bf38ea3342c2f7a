//===- harelink/Kernel/claimrouter.h - Claim router -------------*- C++ -*-===//
///
/// \file
/// Forwards each claim of this daemon's requests to the ledger of the bucket's
/// preferred owner, or to the local ledger if the owner does not answer.
///
/// A claim may therefore reach two ledgers. This is harmless: its claimant is
/// the same in both, and the platform's conditional update commits one record.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLAIMROUTER_H
#define HARELINK_KERNEL_CLAIMROUTER_H

#include "harelink/Kernel/claimledger.h"
#include "harelink/Kernel/membership.h"

#include <map>
#include <vector>

namespace harelink {

/// The claim router of one daemon.
template <GuardPolicy G>
class BasicClaimRouter
{
public:
    /// All references must outlive the router.
    BasicClaimRouter(const Clock &clock, const Membership &membership, BasicClaimLedger<G> &ledger);

    /// Handles a claim of a local request.
    void claim(const ClaimRequest &request);
    /// Handles the outcome of a local request.
    void finish(const ClaimFinish &finish);
    /// Handles a decision of a peer (\p byPeer) or of the local ledger.
    void handleDecision(const ClaimDecision &decision, bool byPeer);
    /// Handles the confirmation that the outcome of \p claimant is written.
    void handleFinished(const RequestId &claimant);
    /// Resends unanswered messages, or falls back to the local ledger.
    void tick();

    [[nodiscard]] std::vector<PeerSend> drainSends();
    [[nodiscard]] std::vector<ClaimDecision> drainDecisions();
    [[nodiscard]] TimePoint nextTick() const;
    /// Returns true if no claim or outcome is unanswered.
    [[nodiscard]] bool idle() const { return m_claims.empty() && m_finishes.empty(); }
    /// Number of messages that fell back to the local ledger because the owner did not answer.
    [[nodiscard]] std::uint64_t localFallbacks() const { return m_localFallbacks; }

private:
    /// A claim or outcome that was sent to an owner and is not answered yet.
    template <typename Payload>
    struct Pending
    {
        Payload payload;
        int attempts = 0;
        bool isLocal = false; ///< Was passed to the local ledger.
        TimePoint nextAttempt;
        TimePoint expiresAt;
    };

    template <typename Payload>
    void send(Pending<Payload> &pending);
    template <typename Payload>
    void resend(std::map<RequestId, Pending<Payload>> &pendingItems);
    void submitLocally(const ClaimRequest &request);
    void submitLocally(const ClaimFinish &finish);

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
