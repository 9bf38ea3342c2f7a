//===- harelink/Kernel/peers.h - Messages between daemons -------*- C++ -*-===//
///
/// \file
/// The messages between daemons. Each may be lost, delayed, duplicated or
/// reordered; no invariant depends on their delivery.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PEERS_H
#define HARELINK_KERNEL_PEERS_H

#include "harelink/Kernel/budgetloans.h"
#include "harelink/Kernel/claims.h"
#include "harelink/Kernel/crashes.h"
#include "harelink/Kernel/endpointlimits.h"
#include "harelink/Kernel/endpointpace.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/platform.h"
#include "harelink/Kernel/relays.h"
#include "harelink/Kernel/streams.h"
#include "harelink/Kernel/types.h"

#include <concepts>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace harelink {

/// The usage and demand of a client account for a pool at one daemon.
struct UsageReport
{
    std::string account;
    std::string pool;
    Duration time{}; ///< Endpoint time used since the last heartbeat.
    int demand = 0;  ///< Calls currently in flight or queued.
};

/// Prompt tokens that a daemon has sent to a model engine and that are not processed yet, and its
/// calls in flight there.
struct PromptBacklog
{
    std::string endpoint;
    std::int64_t tokens = 0;
    int calls = 0; ///< 0 if not reported, as by daemons of an older version.
};

/// Announces that a daemon is live, with its load and what it knows.
struct Heartbeat
{
    std::string dataCentre;
    std::string address; ///< At which the sender listens for peers.
    bool leaving = false;
    double capacity = 1;          ///< Of the sender's host, in processor cores.
    bool requestsSummary = false; ///< Requests the receiver to act as the sender's relay.
    std::vector<UsageReport> usage;
    std::vector<std::string> leavingEndpoints; ///< As far as the sender knows.
    bool leavingKnown = false;                 ///< The sender has an initial leavingEndpoints list.
    std::vector<PieceBacklog> backlogs;        ///< Of the pools that the sender batches for.
    std::vector<PromptBacklog> prompts;        ///< Of the model engines that the sender calls.
    std::vector<EndpointPaceReport> paces;     ///< Samples of the sender since its last heartbeat.
    std::vector<EndpointLimitReport> limits;   ///< As far as the sender knows.
    /// Pools and pool partitions to which the sender has no path.
    std::vector<std::string> lostPools;
    /// 1 if the sender takes requests of callers, does not stop, and states the next two fields.
    std::uint32_t servingHosts = 0;
    std::uint32_t crowdedHosts = 0;   ///< 1 if the sender is overloaded; see ConnectionGate.
    std::uint32_t readsPerSecond = 0; ///< Requests that the sender reads from callers.
    std::uint64_t configSummary = 0;  ///< See ConfigDigest::summary.
    std::uint64_t storeEra = 0;       ///< See ConfigDigest::storeEra.
    std::uint64_t lowestRevision = 0; ///< See ConfigDigest::lowestRevision.
    bool watches = false;             ///< See ConfigDigest::watches.
    /// Hash of the host list that the sender last received from the receiver; 0 for none.
    std::uint64_t knownHostsHash = 0;
    bool acceptsHostChanges = false; ///< The sender understands PeerSummary::changesHostsFrom.
};

/// The state of one live host as reported by a relay.
struct HostReport
{
    std::string host;
    std::string dataCentre;
    std::string address;
    Incarnation incarnation = 0;
    bool leaving = false;
    double capacity = 1; ///< In processor cores.

    bool operator==(const HostReport &) const = default;
};

/// A relay's aggregate of the heartbeats that it received, without the receiver's own share.
/// It covers all data centres if the receiver belongs to the relay's data centre, and only the
/// relay's data centre if the receiver belongs to another one.
struct PeerSummary
{
    std::vector<PieceBacklog> backlogs;
    std::vector<PromptBacklog> prompts;
    std::vector<EndpointPaceReport> paces;   ///< Samples since the last summary with usage.
    std::vector<EndpointLimitReport> limits; ///< See Heartbeat.
    std::vector<std::string> leavingEndpoints;
    bool leavingKnown = false;
    bool hasUsage = false;            ///< The usage is present and complete.
    std::vector<UsageReport> usage;   ///< With the time used since the last summary with usage.
    std::uint64_t configSummary = 0;  ///< See ConfigDigest::summary.
    std::uint64_t storeEra = 0;       ///< See ConfigDigest::storeEra.
    std::uint64_t lowestRevision = 0; ///< See ConfigDigest::lowestRevision.
    std::uint32_t servingHosts = 0;   ///< Sum over the heartbeats, as the next two.
    std::uint32_t crowdedHosts = 0;
    std::uint32_t readsPerSecond = 0;
    /// Factor by which the receiver shall stretch its heartbeat interval at least, as the relay is
    /// overloaded; 0 at older daemons.
    std::uint32_t heartbeatMultiplier = 0;
    bool hasWatcher = false; ///< A daemon of the sender's data centre watches the platform.
    /// A hash over the live hosts that the sender reports. The list itself, about 55 bytes per
    /// host, is included only if the receiver's differs: with 300 hosts it made up 94% of the
    /// bytes that daemons sent each other.
    std::uint64_t hostsHash = 0;
    bool hasHosts = false;
    std::vector<HostReport> hosts;
    /// Hash of the list that hosts and removedHosts change into the one with hostsHash; 0 if they
    /// are no changes.
    std::uint64_t changesHostsFrom = 0;
    std::vector<std::string> removedHosts; ///< No longer live.
};

/// Confirms that the end of a claimant's request has been stored.
struct ClaimFinished
{
    RequestId claimant;
};

/// Updates of declared objects. They are shared by the messages to all receivers.
struct ConfigPush
{
    ConfigPush() = default;
    explicit ConfigPush(std::vector<PlatformObject> updates)
        : objects(std::make_shared<const std::vector<PlatformObject>>(std::move(updates)))
    {
    }

    std::shared_ptr<const std::vector<PlatformObject>> objects =
        std::make_shared<const std::vector<PlatformObject>>(); ///< Never null.
    /// May be compressed on the wire. Not set in replies to daemons of an older version.
    bool isPackable = true;
};

/// The versions of the declared objects that the sender has seen: a hash over them or, if the
/// hashes differ, hashes over buckets of them, or the versions themselves.
struct ConfigDigest
{
    struct Entry
    {
        std::string kind;
        std::string name;
        Version version;
    };
    std::uint64_t summary = 0;
    std::uint64_t storeEra = 0; ///< The highest era of the store that the sender knows.
    /// The lowest revision that the store is known to have had in that era; 0 if unknown.
    std::uint64_t lowestRevision = 0;
    bool watches = false;  ///< The sender watches the platform.
    bool detailed = false; ///< The entries are present.
    bool reply = false;    ///< Replies to a detailed digest; shall not get a reply itself.
    std::vector<Entry> entries;
    /// Hashes over the versions in each bucket; requests the buckets that differ, a page at a time.
    std::vector<std::uint64_t> bucketHashes;
    std::vector<std::uint32_t> buckets; ///< To which the entries are limited; empty for all.
    bool endsPage = false;              ///< Ends the reply to bucket hashes.
    bool more = false;                  ///< With endsPage: further buckets differ.
    bool complete = false;              ///< The sender has a whole configuration.
};

/// Messages that concern pieces; the control forwards them unread.
template <typename Content>
concept PieceContent =
    std::same_as<Content, PieceOrders> || std::same_as<Content, PieceOutcomes> || std::same_as<
        Content, PieceWithdrawal> || std::same_as<Content, PieceFrees>;

/// Messages that concern calls made for peers; the control forwards them unread.
template <typename Content>
concept RelayContent = std::same_as<Content, RelayCall> || std::same_as<
    Content, RelayPart> || std::same_as<Content, RelayAck> || std::same_as<Content, RelayCancel>;

/// A message with its sender.
struct PeerMessage
{
    std::string host;            ///< Of the sender.
    Incarnation incarnation = 0; ///< Of the sender.
    std::variant<Heartbeat, ClaimRequest, ClaimDecision, ClaimFinish, ClaimFinished, ConfigPush,
                 ConfigDigest, PieceOrders, PieceOutcomes, PieceWithdrawal, PieceFrees, PeerSummary,
                 CrashReports, CrashesCleared, RelayCall, RelayPart, RelayCancel, StreamRecords,
                 StreamQuery, StreamReply, BudgetLoanRequest, BudgetLoan, RelayAck>
        content;
};

/// Action: sends a message to a host.
struct PeerSend
{
    std::string host;
    std::string address; ///< IP address and port.
    PeerMessage message;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERS_H
