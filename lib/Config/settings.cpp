//===- settings.cpp - The daemon's settings -------------------------------===//

#include "harelink/Config/settings.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Support/error.h"

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t mostThreads = 64;
constexpr std::int64_t mostRequestsAllowed = 1'000'000;
constexpr milliseconds oneMinute{60'000};
constexpr milliseconds oneMonth{2'592'000'000};

void readListeners(JsonReader reader, Settings &settings)
{
    settings.callerAddress = reader.endpointAddress("callers");
    settings.operatorAddress = reader.endpointAddress("operators");
    settings.peerAddress = reader.endpointAddress("peers");
    reader.finish();
}

void readLimits(JsonReader reader, Settings &settings)
{
    settings.workers = static_cast<int>(reader.integer("workers", 1, mostThreads, 2));
    settings.listenerThreads =
        static_cast<int>(reader.integer("listenerThreads", 1, mostThreads, 2));
    settings.maxRequests = static_cast<std::size_t>(
        reader.integer("requestsPerWorker", 1, mostRequestsAllowed, 10'000));
    settings.platformTimeout = reader.milliseconds("platformTimeoutMs", milliseconds(10), oneMinute,
                                                   settings.platformTimeout);
    settings.drainLimit =
        reader.milliseconds("drainLimitMs", milliseconds(0), oneMinute * 10, settings.drainLimit);
    settings.quarantineDuration = reader.milliseconds("quarantineMs", milliseconds(1000), oneMonth,
                                                      settings.quarantineDuration);
    settings.keyRetention =
        reader.milliseconds("keyRetentionMs", milliseconds(1000), oneMonth, settings.keyRetention);
    settings.idleLimit =
        reader.milliseconds("idleLimitMs", milliseconds(100), oneMinute * 60, settings.idleLimit);
    settings.balancerGrace =
        reader.milliseconds("balancerGraceMs", milliseconds(0), oneMinute, settings.balancerGrace);
    // What is taken in last is cut at the limit: a stream taken in 2.1 s before it was.
    if (settings.balancerGrace * 2 > settings.drainLimit) {
        reader.fault("balancerGraceMs", "must leave half of drainLimitMs or more");
    }
    reader.finish();
}

constexpr double mostRetries = 1e9;

void readRetries(JsonReader reader, Settings &settings)
{
    settings.retryRatio = reader.number("ratio", 0, 1, settings.retryRatio);
    settings.retryAllowance = reader.number("allowance", 0, mostRetries, settings.retryAllowance);
    settings.retryWindow =
        reader.milliseconds("windowMs", milliseconds(100), oneMinute * 10, settings.retryWindow);
    reader.finish();
}

constexpr std::int64_t mostWatchers = 1'000;

/// Cores of a processor.
constexpr double leastCapacity = 0.001;
constexpr double mostCapacity = 10'000;

/// Z85 writes 32 bytes as 40 characters without quotes or backslashes.
constexpr std::size_t keyLength = 40;

void checkKey(const std::string &key, const std::string &path, Faults &faults)
{
    if (key.size() != keyLength) {
        // The key itself is never shown.
        faults.push_back(path + ": must be a key of 40 characters, as harelink keys prints");
    }
}

PeerKeys readPeerKeys(JsonReader reader, const std::string &path, Faults &faults)
{
    PeerKeys keys;
    keys.publicKey = reader.text("public");
    checkKey(keys.publicKey, path + ".public", faults);
    keys.secretKey = reader.text("secret");
    checkKey(keys.secretKey, path + ".secret", faults);
    keys.accepted = reader.texts("accepted");
    for (const std::string &key : keys.accepted) {
        checkKey(key, path + ".accepted", faults);
    }
    reader.finish();
    return keys;
}

} // namespace

absl::StatusOr<Settings> readSettings(std::string_view text, std::string_view origin,
                                      const std::vector<std::string> &routingPolicies,
                                      const std::vector<std::string> &dialects)
{
    const absl::StatusOr<nlohmann::json> parsed = parseJson(text, origin);
    if (!parsed.ok()) {
        return parsed.status();
    }
    Faults faults;
    JsonReader reader(*parsed, "", faults);
    Settings settings;
    settings.host = reader.name("host");
    settings.dataCentre = reader.name("dataCentre");
    settings.regions = reader.textsByName("regions");
    readListeners(reader.object("listen"), settings);
    settings.platformAddress = reader.endpointAddress("platform");
    settings.capacity = reader.number("capacity", leastCapacity, mostCapacity, settings.capacity);
    // No default: an open door has to be chosen in so many words.
    const std::string trust = reader.choice("callerTrust", {"bearer-token", "balancer"});
    settings.callerTrust = trust == "balancer" ? CallerTrust::Balancer : CallerTrust::BearerToken;
    const std::string peerTrust = reader.choice("peerTrust", {"curve", "network"});
    if (peerTrust == "curve") {
        settings.peerKeys = readPeerKeys(reader.object("peerKeys"), "peerKeys", faults);
    }
    settings.routingPolicy = reader.choice("routing", routingPolicies, "power-of-two");
    settings.logLevel = reader.choice("logLevel", {"debug", "info", "warning", "error"}, "info");
    settings.dialect = reader.choice("dialect", dialects, settings.dialect);
    settings.readyPath = reader.text("readyPath", settings.readyPath);
    settings.watchers =
        static_cast<int>(reader.integer("watchers", 1, mostWatchers, settings.watchers));
    if (reader.has("retries")) {
        readRetries(reader.object("retries"), settings);
    }
    if (reader.has("limits")) {
        readLimits(reader.object("limits"), settings);
    }
    reader.finish();
    if (!faults.empty()) {
        return makeError(absl::StatusCode::kInvalidArgument, "checking", origin,
                         joinFaults(faults));
    }
    return settings;
}

} // namespace harelink
