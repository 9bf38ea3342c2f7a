//===- settings.cpp - Daemon settings -------------------------------------===//

#include "harelink/Config/settings.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Support/error.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t maxThreads = 64;
constexpr std::int64_t maxRequestsPerWorker = 1'000'000;
constexpr milliseconds oneMinute{60'000};
constexpr milliseconds oneMonth{2'592'000'000};

void readListeners(JsonReader reader, Settings &settings)
{
    settings.callerAddress = reader.listenAddress("callers");
    settings.operatorAddress = reader.listenAddress("operators");
    settings.peerAddress = reader.listenAddress("peers");
    reader.finish();
}

constexpr std::int64_t minResponseBodyBytes = 8'388'608;
constexpr std::int64_t maxResponseBodyBytes = 1'073'741'824;
constexpr std::int64_t minMemoryBytes = 16'777'216;
constexpr std::int64_t maxMemoryBytes = 1'099'511'627'776;
/// Bounds of a link's bandwidth, in megabits per second.
constexpr double minLinkMbps = 0.1;
constexpr double maxLinkMbps = 1'000'000;
constexpr std::int64_t minBufferedBytes = 1'048'576;
/// Part of the host's memory that buffers for callers and endpoints may take.
constexpr std::size_t bufferedShare = 8;
/// The same for callers' requests.
constexpr std::size_t requestShare = 3;
/// Has room for the largest body that a daemon reads beside small requests.
constexpr std::size_t minRequestBytes = 16'777'216;
constexpr std::int64_t minRequestHeadBytes = 16'384;
/// The HTTP parser closes connections with larger heads.
constexpr std::int64_t maxRequestHeadBytes = 81'920;
constexpr std::int64_t minDescriptors = 64;
constexpr std::int64_t maxDescriptors = 1'000'000'000;

void readBufferLimits(JsonReader &reader, Settings &settings)
{
    settings.responseBodyBytes = static_cast<std::size_t>(
        reader.integer("responseBodyBytes", minResponseBodyBytes, maxResponseBodyBytes,
                       static_cast<std::int64_t>(settings.responseBodyBytes)));
    if (reader.has("memoryBytes")) {
        settings.memoryBytes = static_cast<std::size_t>(
            reader.integer("memoryBytes", minMemoryBytes, maxMemoryBytes, minMemoryBytes));
        settings.bufferedBytes = *settings.memoryBytes / bufferedShare;
        settings.requestBytes = std::max(*settings.memoryBytes / requestShare, minRequestBytes);
    }
    settings.bufferedBytes =
        static_cast<std::size_t>(reader.integer("bufferedBytes", minBufferedBytes, maxMemoryBytes,
                                                static_cast<std::int64_t>(settings.bufferedBytes)));
    settings.requestBytes = static_cast<std::size_t>(
        reader.integer("requestBytes", static_cast<std::int64_t>(minRequestBytes), maxMemoryBytes,
                       static_cast<std::int64_t>(settings.requestBytes)));
    settings.requestHeadBytes = static_cast<std::size_t>(
        reader.integer("requestHeadBytes", minRequestHeadBytes, maxRequestHeadBytes,
                       static_cast<std::int64_t>(settings.requestHeadBytes)));
}

void readLimits(JsonReader reader, Settings &settings)
{
    settings.workers = static_cast<int>(reader.integer("workers", 1, maxThreads, 2));
    settings.listenerThreads =
        static_cast<int>(reader.integer("listenerThreads", 1, maxThreads, 2));
    settings.maxRequests = static_cast<std::size_t>(
        reader.integer("requestsPerWorker", 1, maxRequestsPerWorker, 10'000));
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
    readBufferLimits(reader, settings);
    if (reader.has("descriptors")) {
        settings.descriptors = static_cast<std::size_t>(
            reader.integer("descriptors", minDescriptors, maxDescriptors, minDescriptors));
    }
    if (reader.has("linkMbps")) {
        settings.linkMbps = reader.number("linkMbps", minLinkMbps, maxLinkMbps, maxLinkMbps);
    }
    // Requests admitted at the end of the grace period need time to complete: the drain limit
    // cuts off what is still running (seen with a stream that was admitted 2.1 s before it).
    if (settings.balancerGrace * 2 > settings.drainLimit) {
        reader.fault("balancerGraceMs", "must be at most half of drainLimitMs");
    }
    reader.finish();
}

constexpr double maxRetries = 1e9;

void readRetries(JsonReader reader, Settings &settings)
{
    settings.retryRatio = reader.number("ratio", 0, 1, settings.retryRatio);
    settings.retryAllowance = reader.number("allowance", 0, maxRetries, settings.retryAllowance);
    settings.retryWindow =
        reader.milliseconds("windowMs", milliseconds(100), oneMinute * 10, settings.retryWindow);
    reader.finish();
}

constexpr std::int64_t maxWatchers = 1'000;

/// Bounds of a host's capacity, in processor cores.
constexpr double minCapacity = 0.001;
constexpr double maxCapacity = 10'000;

/// Length of a key in characters: Z85 encodes 32 bytes as 40 characters, none of which is a
/// quote or a backslash.
constexpr std::size_t keyLength = 40;

void checkKey(const std::string &key, const std::string &path, Faults &faults)
{
    if (key.size() != keyLength) {
        // The message must not contain the key.
        faults.push_back(path + ": must be a key of 40 characters, as printed by 'harelink keys'");
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
    settings.capacity = reader.number("capacity", minCapacity, maxCapacity, settings.capacity);
    // There is no default, so that weak authentication is always an explicit choice.
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
        static_cast<int>(reader.integer("watchers", 1, maxWatchers, settings.watchers));
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
