//===- harelink/Config/settings.h - The daemon's settings -------*- C++ -*-===//
///
/// \file
/// The settings file of harelinkd: JSON with comments, checked whole at start.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_SETTINGS_H
#define HARELINK_CONFIG_SETTINGS_H

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// How a caller proves which client account it speaks for.
enum class CallerTrust {
    BearerToken, ///< A token whose SHA-256 stands in the ClientAccount.
    Balancer,    ///< The balancer in front sets the account's header.
};

/// The keys under which daemons talk to each other, in Z85. All daemons of a fleet
/// have the same pair.
struct PeerKeys
{
    std::string publicKey;
    std::string secretKey;
    std::vector<std::string> accepted; ///< Public keys of peers besides the own one.
    bool operator==(const PeerKeys &) const = default;
};

/// Everything a daemon is told at start.
struct Settings
{
    std::string host;       ///< This host's name, unique.
    std::string dataCentre; ///< Where it stands.
    /// The region of each data centre; of one that is not named nothing is known.
    std::map<std::string, std::string> regions;
    std::string callerAddress;   ///< Listens for callers.
    std::string operatorAddress; ///< Listens for operators: health, metrics.
    std::string peerAddress;     ///< Listens for other daemons.
    std::string platformAddress; ///< The platform's object API.
    double capacity = 1;         ///< Of this host, in cores; peers give it work by that.
    CallerTrust callerTrust = CallerTrust::BearerToken;
    std::optional<PeerKeys> peerKeys;  ///< Nothing where the network is trusted.
    std::string routingPolicy;         ///< Name of a plug-in.
    std::string dialect = "harelink";  ///< Name of the plug-in that speaks to the platform.
    std::string readyPath = "/readyz"; ///< Where the balancer asks operatorAddress.
    int watchers = 2;                  ///< Daemons of a data centre that watch the platform.
    double retryRatio = 0.1;           ///< Repeats of proxied requests, for each request.
    double retryAllowance = 200;       ///< Repeats besides, of all daemons together.
    std::chrono::milliseconds retryWindow{10'000}; ///< In any window of this length.
    std::string logLevel;                          ///< debug, info, warning or error.
    int workers = 2;                               ///< Worker threads.
    int listenerThreads = 2;                       ///< Threads that read callers' connections.
    std::size_t maxRequests = 10'000;              ///< In progress on one worker; more are refused.
    std::chrono::milliseconds platformTimeout{1000}; ///< After it a call counts as silent.
    std::chrono::milliseconds drainLimit{10'000};    ///< A planned stop takes no longer.
    /// Requests under which endpoints ended are not run for so long, unless it is lifted.
    std::chrono::milliseconds quarantineDuration{86'400'000};
    std::chrono::milliseconds keyRetention{86'400'000}; ///< An idempotency key is remembered.
    /// A caller's connection may be silent so long between two requests.
    std::chrono::milliseconds idleLimit{120'000};
    /// For so long after "not ready" new requests on open connections are still served.
    std::chrono::milliseconds balancerGrace{500};
    bool operator==(const Settings &) const = default;
};

/// Reads settings; an error lists every fault with its path.
///
/// \param routingPolicies the names that are registered, for the check.
/// \param dialects the same of dialects.
[[nodiscard]] absl::StatusOr<Settings> readSettings(std::string_view text, std::string_view origin,
                                                    const std::vector<std::string> &routingPolicies,
                                                    const std::vector<std::string> &dialects = {
                                                        "harelink"});

} // namespace harelink

#endif // HARELINK_CONFIG_SETTINGS_H
