//===- harelink/Kernel/guards.h - The mechanisms, one by one ----*- C++ -*-===//
///
/// \file
/// Names each mechanism that guards a promise or decides under load. The product
/// always has all of them; a test takes one out, by a policy of its own, to show
/// that the promise breaks, or how much worse the load is met, without it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_GUARDS_H
#define HARELINK_KERNEL_GUARDS_H

#include <concepts>

namespace harelink {

/// All mechanisms in place.
struct AllGuards
{
    /// A request that may not be repeated is claimed before its first byte is sent.
    static constexpr bool claimsBeforeSending = true;
    /// An answer counts only for the attempt that is current.
    static constexpr bool matchesAttempts = true;
    /// "Not run" is said only on evidence that nothing was sent.
    static constexpr bool notRunNeedsEvidence = true;
    /// A call that may have run is sent again only for repeatable pipelines.
    static constexpr bool retriesOnlyRepeatable = true;
    /// A claim is written only over the version that it was decided on.
    static constexpr bool updatesConditionally = true;
    /// A write whose answer was lost is settled only by a version that moved.
    static constexpr bool resolvesWritesByVersion = true;
    /// A claim belongs to one request, not to the daemon that took it in.
    static constexpr bool claimsPerRequest = true;
    /// News of an object counts only if it is newer than what was seen.
    static constexpr bool dropsStaleUpdates = true;
    /// A leaving endpoint gets no new work.
    static constexpr bool avoidsLeaving = true;
    /// The endpoints of a data centre that is drained get no new work.
    static constexpr bool avoidsDrained = true;
    /// Endpoints that are cold get no more than they bear, from all daemons together.
    static constexpr bool avoidsCold = true;
    /// A daemon that is not told which endpoints are cold checks them before it sends.
    static constexpr bool checksColdState = true;
    /// Endpoints that state a rate limit get no more from all daemons together.
    static constexpr bool enforcesRateLimits = true;
    /// Endpoints get nothing in a pause that they asked for.
    static constexpr bool enforcesPauses = true;
    /// A request under which endpoints have ended is not run again.
    static constexpr bool quarantinesCrashing = true;
    /// The time for which a host was suspended counts for all that its daemon times. (The
    /// clock that is handed in sees to it.)
    static constexpr bool countsSuspendedTime = true;
    /// A stopping daemon finishes what is in flight.
    static constexpr bool drainsBeforeExit = true;
    /// A request is taken in, and kept, only while it is predicted to be in time.
    static constexpr bool admitsByPrediction = true;
    /// Waiting accounts go by their use for their weight, not as they came.
    static constexpr bool ordersByUsage = true;
    /// The slots of a pool are divided among the accounts that want them.
    static constexpr bool sharesSlots = true;
};

/// A policy that says of each mechanism whether it is in place.
template <typename G>
concept GuardPolicy = requires
{
    {
        G::claimsBeforeSending
        } -> std::convertible_to<bool>;
    {
        G::matchesAttempts
        } -> std::convertible_to<bool>;
    {
        G::notRunNeedsEvidence
        } -> std::convertible_to<bool>;
    {
        G::retriesOnlyRepeatable
        } -> std::convertible_to<bool>;
    {
        G::updatesConditionally
        } -> std::convertible_to<bool>;
    {
        G::resolvesWritesByVersion
        } -> std::convertible_to<bool>;
    {
        G::claimsPerRequest
        } -> std::convertible_to<bool>;
    {
        G::dropsStaleUpdates
        } -> std::convertible_to<bool>;
    {
        G::avoidsLeaving
        } -> std::convertible_to<bool>;
    {
        G::avoidsDrained
        } -> std::convertible_to<bool>;
    {
        G::avoidsCold
        } -> std::convertible_to<bool>;
    {
        G::checksColdState
        } -> std::convertible_to<bool>;
    {
        G::enforcesRateLimits
        } -> std::convertible_to<bool>;
    {
        G::enforcesPauses
        } -> std::convertible_to<bool>;
    {
        G::quarantinesCrashing
        } -> std::convertible_to<bool>;
    {
        G::countsSuspendedTime
        } -> std::convertible_to<bool>;
    {
        G::drainsBeforeExit
        } -> std::convertible_to<bool>;
    {
        G::admitsByPrediction
        } -> std::convertible_to<bool>;
    {
        G::ordersByUsage
        } -> std::convertible_to<bool>;
    {
        G::sharesSlots
        } -> std::convertible_to<bool>;
};

} // namespace harelink

#endif // HARELINK_KERNEL_GUARDS_H
