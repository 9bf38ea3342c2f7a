//===- harelink/Kernel/guards.h - Switchable safety mechanisms --*- C++ -*-===//
///
/// \file
/// One switch for each mechanism that protects a guarantee or makes decisions under
/// load. Production code enables all of them. A test disables one through its own
/// policy to show that the guarantee is violated, or that load is handled worse,
/// without it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_GUARDS_H
#define HARELINK_KERNEL_GUARDS_H

#include <concepts>

namespace harelink {

/// The production policy: all mechanisms are enabled.
struct AllGuards
{
    /// Claims a request that is not repeatable before its first byte is sent.
    static constexpr bool claimsBeforeSending = true;
    /// Accepts an answer only for the current attempt.
    static constexpr bool matchesAttempts = true;
    /// Reports "not run" only on evidence that no endpoint ran the request.
    static constexpr bool notRunNeedsEvidence = true;
    /// Retries a call that may have run only for repeatable pipelines.
    static constexpr bool retriesOnlyRepeatable = true;
    /// Writes a claim only if the stored version is the one that was read (compare-and-swap).
    static constexpr bool updatesConditionally = true;
    /// Resolves a write whose answer was lost only by a changed version.
    static constexpr bool resolvesWritesByVersion = true;
    /// A claim belongs to one request, not to the daemon that received it.
    static constexpr bool claimsPerRequest = true;
    /// Ignores an update of an object that is not newer than the known version.
    static constexpr bool dropsStaleUpdates = true;
    /// Orders versions by the era of the store before their revision.
    static constexpr bool ordersByEra = true;
    /// Keeps a newer value than that of an older copy from which the store has returned.
    static constexpr bool retainsLostUpdates = true;
    /// Writes this daemon's own objects again that the store has lost.
    static constexpr bool rewritesLostObjects = true;
    /// After the store has returned from an older copy, grants no claims until the daemons have
    /// written those that it has lost.
    static constexpr bool restoresLostClaims = true;
    /// Sends no new work to a leaving endpoint.
    static constexpr bool avoidsLeaving = true;
    /// Sends no new work to the endpoints of a drained data centre.
    static constexpr bool avoidsDrained = true;
    /// Limits the rate at which all daemons together send to a cold endpoint.
    static constexpr bool avoidsCold = true;
    /// A daemon that receives no endpoint updates checks whether an endpoint is cold before it
    /// sends to it.
    static constexpr bool checksColdState = true;
    /// Keeps the sends of all daemons together within an endpoint's announced rate limit.
    static constexpr bool enforcesRateLimits = true;
    /// Sends nothing to an endpoint during a pause that it requested.
    static constexpr bool enforcesPauses = true;
    /// Does not run a request again that has crashed endpoints.
    static constexpr bool quarantinesCrashing = true;
    /// Does not run a request with a part in its prompt that has crashed endpoints.
    static constexpr bool quarantinesPromptParts = true;
    /// A request that completes clears the parts of its prompt.
    static constexpr bool clearsPromptParts = true;
    /// Timeouts include the time for which the host was suspended. (Implemented by the clock
    /// that is passed in.)
    static constexpr bool countsSuspendedTime = true;
    /// A stopping daemon completes the requests in flight.
    static constexpr bool drainsBeforeExit = true;
    /// Admits and keeps a request only while it is predicted to meet its deadline.
    static constexpr bool admitsByPrediction = true;
    /// Orders queued requests by their account's usage relative to its weight, not by arrival.
    static constexpr bool ordersByUsage = true;
    /// Orders queued requests by the priority class of their route or account, before usage, and
    /// admits none late while more urgent ones are refused.
    static constexpr bool ordersByPriority = true;
    /// Guarantees each priority class and account a minimum of the dispatches.
    static constexpr bool guaranteesMinimum = true;
    /// Limits the requests that an overloaded host reads; see ConnectionGate.
    static constexpr bool limitsReads = true;
    /// Does not let summaries of few hosts replace what is known of all peers; see SummaryCoverage.
    static constexpr bool keepsCompleteSummaries = true;
    /// Lets an overloaded relay request fewer heartbeats; see HeartbeatThrottle.
    static constexpr bool stretchesHeartbeats = true;
    /// Takes no samples of pools from requests that met an overload of this host.
    static constexpr bool excludesOverloadSamples = true;
    /// Divides the slots of a pool among the accounts with demand for them.
    static constexpr bool sharesSlots = true;
    /// Publishes changes of endpoints that follow each other closely as one configuration.
    static constexpr bool joinsEndpointChanges = true;
    /// After a start, lists the objects only at the few daemons that will watch.
    static constexpr bool listsAtFewHosts = true;
    /// Compares the versions of many objects by bucket.
    static constexpr bool comparesByBucket = true;
    /// Sends less to endpoints that state how many rejections they bear.
    static constexpr bool sparesBrittle = true;
    /// A daemon that has lost the path to a pool lets peers make its calls.
    static constexpr bool relaysCalls = true;
    /// While the platform gives no answers, no watch waits for updates.
    static constexpr bool pollsInOutages = true;
    /// Watches the updates since the first page of a listing, not only since the last one.
    static constexpr bool watchesFromFirstPage = true;
    /// Continues a stream only at endpoints of the software version that sent its first event.
    static constexpr bool keepsStreamVersion = true;
    /// A daemon that has started uses no share of the retry allowance that its predecessor may
    /// have used. (Implemented by the options that are passed in.)
    static constexpr bool withholdsRetriesAfterStart = true;
    /// Withholds the retries that a daemon has lent until its loans have ended for certain.
    static constexpr bool withholdsLentRetries = true;
    /// Keeps the retries of all daemons together within the retry budget.
    static constexpr bool limitsRetries = true;
    /// Reports where streams began to other hosts, at which callers may take them up again.
    static constexpr bool sharesStreamOrigins = true;
};

/// A policy that enables or disables each mechanism.
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
        G::ordersByEra
        } -> std::convertible_to<bool>;
    {
        G::retainsLostUpdates
        } -> std::convertible_to<bool>;
    {
        G::rewritesLostObjects
        } -> std::convertible_to<bool>;
    {
        G::restoresLostClaims
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
        G::quarantinesPromptParts
        } -> std::convertible_to<bool>;
    {
        G::clearsPromptParts
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
        G::ordersByPriority
        } -> std::convertible_to<bool>;
    {
        G::guaranteesMinimum
        } -> std::convertible_to<bool>;
    {
        G::limitsReads
        } -> std::convertible_to<bool>;
    {
        G::keepsCompleteSummaries
        } -> std::convertible_to<bool>;
    {
        G::stretchesHeartbeats
        } -> std::convertible_to<bool>;
    {
        G::excludesOverloadSamples
        } -> std::convertible_to<bool>;
    {
        G::sharesSlots
        } -> std::convertible_to<bool>;
    {
        G::joinsEndpointChanges
        } -> std::convertible_to<bool>;
    {
        G::listsAtFewHosts
        } -> std::convertible_to<bool>;
    {
        G::comparesByBucket
        } -> std::convertible_to<bool>;
    {
        G::sparesBrittle
        } -> std::convertible_to<bool>;
    {
        G::relaysCalls
        } -> std::convertible_to<bool>;
    {
        G::pollsInOutages
        } -> std::convertible_to<bool>;
    {
        G::watchesFromFirstPage
        } -> std::convertible_to<bool>;
    {
        G::keepsStreamVersion
        } -> std::convertible_to<bool>;
    {
        G::withholdsRetriesAfterStart
        } -> std::convertible_to<bool>;
    {
        G::withholdsLentRetries
        } -> std::convertible_to<bool>;
    {
        G::limitsRetries
        } -> std::convertible_to<bool>;
    {
        G::sharesStreamOrigins
        } -> std::convertible_to<bool>;
};

} // namespace harelink

#endif // HARELINK_KERNEL_GUARDS_H
