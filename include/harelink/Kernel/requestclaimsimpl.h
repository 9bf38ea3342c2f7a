//===- harelink/Kernel/requestclaimsimpl.h - Claims -------------*- C++ -*-===//
///
/// \file
/// Acquires and finishes the claims of requests that are not repeatable.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTCLAIMSIMPL_H
#define HARELINK_KERNEL_REQUESTCLAIMSIMPL_H

#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <fmt/format.h>

namespace harelink {

template <GuardPolicy G>
void BasicRequestMachine<G>::claim(Request &request)
{
    request.phase = Request::Phase::Claiming;
    const std::string name =
        fmt::format("{}\n{}\n{}", request.account, request.pipeline.name, request.idempotencyKey);
    request.key = hash128(name);
    ClaimRequest action;
    action.claimant = request.id;
    action.key = request.key;
    action.digest = hash128(fmt::format("{}\n{}", request.pipeline.name, request.body));
    action.timeout = request.deadline - m_clock.now();
    m_actions.emplace_back(std::move(action));
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const ClaimDecision &event, const Snapshot &snapshot)
{
    Request *request = find(event.claimant);
    if (request == nullptr || request->phase != Request::Phase::Claiming) {
        // Only a request that was answered while it waited for the claim releases a late grant.
        // A request that ran may receive a duplicate of its grant and must not release it.
        const bool givenUp = m_unawaitedClaims.contains(event.claimant.sequence);
        if (event.verdict == ClaimVerdict::Granted && request == nullptr && givenUp) {
            ++m_counters.lateGrants;
            m_actions.emplace_back(
                ClaimFinish{event.claimant, event.key, ClaimOutcome::Released, std::string()});
        }
        return;
    }
    switch (event.verdict) {
    case ClaimVerdict::Granted:
        request->holdsClaim = true;
        enqueue(*request, snapshot);
        dispatch(request->stageSpec().pool, snapshot);
        return;
    case ClaimVerdict::Stored: {
        AnswerCaller stored;
        stored.outcome = Outcome::Completed;
        stored.body = event.answer;
        stored.replayed = true;
        answer(*request, std::move(stored));
        return;
    }
    case ClaimVerdict::KeyReused:
        fail(*request, Reason::KeyReused,
             makeError(absl::StatusCode::kInvalidArgument, "claim", "platform",
                       "the idempotency key came before with another request"),
             snapshot);
        return;
    case ClaimVerdict::MayHaveRun: {
        AnswerCaller unknown;
        unknown.outcome = Outcome::Unknown;
        unknown.reason = Reason::MayHaveRun;
        unknown.error = makeError(absl::StatusCode::kAborted, "claim", "platform",
                                  "this key's request may have run and will not be run again");
        answer(*request, std::move(unknown));
        return;
    }
    case ClaimVerdict::Unavailable:
        // Nothing was written, but a copy of the claim may still be in flight.
        recordUnawaitedClaim(*request);
        if (event.inDoubt) {
            finishClaim(*request, Outcome::NotRun, {});
        }
        fail(*request, Reason::ClaimUnavailable,
             makeError(absl::StatusCode::kUnavailable, "claim", "platform",
                       "the claim could not be written"),
             snapshot);
        return;
    }
}

/// Records a request that is answered while it waits for a claim, since the grant may still
/// arrive.
template <GuardPolicy G>
void BasicRequestMachine<G>::recordUnawaitedClaim(const Request &request)
{
    if (request.phase == Request::Phase::Claiming
        && m_unawaitedClaims.insert(request.id.sequence).second) {
        m_unawaitedClaimOrder.emplace_back(m_clock.now(), request.id.sequence);
    }
}

template <GuardPolicy G>
void BasicRequestMachine<G>::finishClaim(const Request &request, Outcome outcome,
                                         const std::string &answer)
{
    // A request that waits for a grant may have been granted the claim, which must be released.
    const bool mayHoldClaim = request.holdsClaim || request.phase == Request::Phase::Claiming;
    if (request.pipeline.repeatable || !mayHoldClaim) {
        return;
    }
    recordUnawaitedClaim(request);
    ClaimFinish finish;
    finish.claimant = request.id;
    finish.key = request.key;
    finish.outcome = ClaimOutcome::Abandoned;
    if (outcome == Outcome::Completed) {
        finish.outcome = ClaimOutcome::Done;
        finish.answer = answer;
    } else if (outcome == Outcome::NotRun) {
        finish.outcome = ClaimOutcome::Released;
    }
    m_actions.emplace_back(std::move(finish));
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTCLAIMSIMPL_H
