//===- harelink/Config/settings.h - Daemon settings -------------*- C++ -*-===//
///
/// \file
/// The settings file of harelinkd: JSON with comments, fully validated at startup.
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

/// How the client account of a caller is authenticated.
enum class CallerTrust {
    BearerToken, ///< By a token whose SHA-256 is declared in the ClientAccount.
    Balancer,    ///< By a trusted load balancer that sets the account header.
};

/// The CURVE keys for connections between daemons, Z85-encoded. All daemons of a fleet
/// share one key pair.
struct PeerKeys
{
    std::string publicKey;
    std::string secretKey;
    std::vector<std::string> accepted; ///< Further public keys accepted from peers.
    bool operator==(const PeerKeys &) const = default;
};

/// The settings of a daemon.
struct Settings
{
    std::string host;       ///< Name of this host, unique in the fleet.
    std::string dataCentre; ///< Data centre of this host.
    /// Region by data centre; the region of a data centre that is not listed is unknown.
    std::map<std::string, std::string> regions;
    std::string callerAddress;   ///< Listening address for callers.
    std::string operatorAddress; ///< Listening address for operators: health, metrics.
    std::string peerAddress;     ///< Listening address for other daemons.
    std::string platformAddress; ///< Address of the platform's object API.
    double capacity = 1; ///< Capacity of this host in cores, by which peers assign work to it.
    CallerTrust callerTrust = CallerTrust::BearerToken;
    std::optional<PeerKeys> peerKeys; ///< std::nullopt if the network is trusted.
    std::string routingPolicy;        ///< Name of the routing plug-in.
    std::string dialect = "harelink"; ///< Name of the plug-in for the platform's protocol.
    /// Path of the readiness check for the load balancer, on operatorAddress.
    std::string readyPath = "/readyz";
    int watchers = 2;            ///< Number of daemons per data centre that watch the platform.
    double retryRatio = 0.1;     ///< Retries of proxied requests allowed per request.
    double retryAllowance = 200; ///< Additional retries per retryWindow, for all daemons together.
    std::chrono::milliseconds retryWindow{10'000}; ///< Length of the window for the retry limit.
    std::string logLevel;                          ///< One of debug, info, warning, error.
    int workers = 2;                               ///< Number of worker threads.
    int listenerThreads = 2;          ///< Number of threads that read callers' connections.
    std::size_t maxRequests = 10'000; ///< Max. requests in progress per worker; more are refused.
    /// Period after which a platform call counts as unanswered.
    std::chrono::milliseconds platformTimeout{1000};
    std::chrono::milliseconds drainLimit{10'000}; ///< Max. duration of a planned shutdown.
    /// Period for which requests that crashed endpoints are not run, unless an operator lifts
    /// the quarantine.
    std::chrono::milliseconds quarantineDuration{86'400'000};
    std::chrono::milliseconds keyRetention{86'400'000}; ///< Retention of idempotency keys.
    /// Idle timeout of a caller's connection between two requests.
    std::chrono::milliseconds idleLimit{120'000};
    /// Period after the switch to "not ready" in which new requests on open connections are still
    /// served.
    std::chrono::milliseconds balancerGrace{500};
    /// Max. size of an endpoint's answer that is not a stream.
    std::size_t responseBodyBytes = 8'388'608;
    /// Bandwidth of the host's link in each direction, in megabits per second, if stated.
    std::optional<double> linkMbps;
    /// Memory limit of the host, if stated.
    std::optional<std::size_t> memoryBytes;
    /// Max. size of what waits for all callers and endpoints. By default an eighth of memoryBytes,
    /// if stated: callers and endpoints that stop reading or sending must not use up a host.
    std::size_t bufferedBytes = 33'554'432;
    /// Max. memory of all callers' requests, from their first byte until they are answered. By
    /// default a third of memoryBytes, if stated.
    std::size_t requestBytes = 67'108'864;
    /// Max. size of the head of a request; larger ones close the connection.
    std::size_t requestHeadBytes = 65'536;
    /// Max. number of open descriptors of the process, if stated; else that of the system.
    std::optional<std::size_t> descriptors;
    bool operator==(const Settings &) const = default;
};

/// Parses and validates settings; the error lists all invalid fields with their paths.
///
/// \param origin name of the file, for error messages.
/// \param routingPolicies names of the registered routing policies.
/// \param dialects names of the registered platform dialects.
[[nodiscard]] absl::StatusOr<Settings> readSettings(std::string_view text, std::string_view origin,
                                                    const std::vector<std::string> &routingPolicies,
                                                    const std::vector<std::string> &dialects = {
                                                        "harelink"});

} // namespace harelink

#endif // HARELINK_CONFIG_SETTINGS_H
