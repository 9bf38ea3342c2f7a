//===- harelink/Kernel/peers.h - What daemons tell each other ---*- C++ -*-===//
///
/// \file
/// The messages between daemons. Each may be lost, late, doubled or reordered;
/// nothing that must hold depends on their coming.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PEERS_H
#define HARELINK_KERNEL_PEERS_H

#include "harelink/Kernel/claims.h"
#include "harelink/Kernel/crashes.h"
#include "harelink/Kernel/endpointlimits.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/platform.h"
#include "harelink/Kernel/types.h"

#include <concepts>
#include <string>
#include <variant>
#include <vector>

namespace harelink {

/// What an account has and wants of a pool at one daemon.
struct UsageReport
{
    std::string account;
    std::string pool;
    Duration time{}; ///< Of endpoints, spent since the last heartbeat.
    int demand = 0;  ///< Calls now in flight and waiting.
};

/// What a daemon has sent to a model engine that is not read yet.
struct PromptBacklog
{
    std::string endpoint;
    std::int64_t tokens = 0;
};

/// A daemon lives.
struct Heartbeat
{
    std::string dataCentre;
    std::string address; ///< Where the sender listens for peers.
    bool leaving = false;
    double capacity = 1;       ///< Of the sender's host, in cores of a processor.
    bool wantsSummary = false; ///< The receiver is to be its relay.
    std::vector<UsageReport> usage;
    std::vector<std::string> leavingEndpoints; ///< As far as the sender knows.
    bool leavingKnown = false;                 ///< The sender has learnt of them itself.
    std::vector<PieceBacklog> backlogs;        ///< Of the pools that it batches for.
    std::vector<PromptBacklog> prompts;        ///< Of the model engines that it sends to.
    std::vector<EndpointLimitReport> limits;   ///< As far as the sender knows.
    std::uint64_t configSummary = 0;           ///< As in ConfigDigest.
    bool watches = false;                      ///< As in ConfigDigest.
    /// Of the list of hosts that the sender last had of the receiver; 0 for none.
    std::uint64_t knownHostsHash = 0;
};

/// What a relay knows of one live host.
struct HostReport
{
    std::string host;
    std::string dataCentre;
    std::string address;
    Incarnation incarnation = 0;
    bool leaving = false;
    double capacity = 1; ///< In cores of a processor.
};

/// What a relay has heard, summed up without the receiver's own part: of all data
/// centres for a daemon of its own, of its own data centre for a relay elsewhere.
struct PeerSummary
{
    std::vector<PieceBacklog> backlogs;
    std::vector<PromptBacklog> prompts;
    std::vector<EndpointLimitReport> limits; ///< As in Heartbeat.
    std::vector<std::string> leavingEndpoints;
    bool leavingKnown = false;
    bool hasUsage = false;           ///< The usage is there, and complete.
    std::vector<UsageReport> usage;  ///< Time: spent since the last whole summary.
    std::uint64_t configSummary = 0; ///< As in ConfigDigest.
    bool hasWatcher = false;         ///< A daemon of the sender's data centre watches the platform.
    /// A hash over the live hosts that the sender tells of. The list itself, some 55 bytes a
    /// host, is there only where the receiver had another one: with 300 hosts it was 94 of
    /// 100 bytes that daemons sent each other.
    std::uint64_t hostsHash = 0;
    bool hasHosts = false;
    std::vector<HostReport> hosts;
};

/// The end of a claimant is written.
struct ClaimFinished
{
    RequestId claimant;
};

/// News of declared objects.
struct ConfigPush
{
    std::vector<PlatformObject> objects;
};

/// What the sender has seen of the declared objects: a hash over their
/// versions or, where that differed, the versions themselves.
struct ConfigDigest
{
    struct Entry
    {
        std::string kind;
        std::string name;
        Version version = 0;
    };
    std::uint64_t summary = 0;
    bool watches = false;  ///< The sender watches the platform.
    bool detailed = false; ///< The entries are there.
    bool reply = false;    ///< Answers a detailed digest, and is not answered by one.
    std::vector<Entry> entries;
};

/// Messages that concern pieces; the control only hands them on.
template <typename Content>
concept PieceContent =
    std::same_as<Content, PieceOrders> || std::same_as<Content, PieceOutcomes> || std::same_as<
        Content, PieceWithdrawal> || std::same_as<Content, PieceFrees>;

/// One message.
struct PeerMessage
{
    std::string host;            ///< The sender's.
    Incarnation incarnation = 0; ///< The sender's.
    std::variant<Heartbeat, ClaimRequest, ClaimDecision, ClaimFinish, ClaimFinished, ConfigPush,
                 ConfigDigest, PieceOrders, PieceOutcomes, PieceWithdrawal, PieceFrees, PeerSummary,
                 CrashReports, CrashesCleared>
        content;
};

/// Action: send a message to a host.
struct PeerSend
{
    std::string host;
    std::string address; ///< IP number and port.
    PeerMessage message;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PEERS_H
