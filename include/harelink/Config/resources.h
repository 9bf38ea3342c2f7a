//===- harelink/Config/resources.h - Declared resources ---------*- C++ -*-===//
///
/// \file
/// The kinds of resources that operators declare, with their validation. The
/// daemon and the command line tool share this code, so both accept the same
/// declarations.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_RESOURCES_H
#define HARELINK_CONFIG_RESOURCES_H

#include "harelink/Support/clock.h"
#include "harelink/Support/hash.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace harelink {

/// Size limit of a value in the platform's object API, in bytes.
inline constexpr std::size_t maxObjectBytes = 1'000'000;
/// Maximum number of stages of a pipeline.
inline constexpr std::size_t maxStages = 6;

/// One stage of a pipeline.
struct StageSpec
{
    std::string name; ///< For example "encode"; unique within the pipeline.
    std::string pool; ///< The pool whose endpoints run this stage.
};

/// A stage that is computed in pieces before a proxied request is sent to its endpoint. The
/// request determines the number of pieces.
struct PieceStageSpec
{
    std::string pool;
    std::vector<std::uint32_t> after; ///< Indexes of the stages whose results each piece needs.
    std::uint64_t resultBytes = 0;    ///< Approximate size of the result of a piece.
};

/// A pool and its weight relative to the other pools of the same split.
struct WeightedPool
{
    std::string pool;
    double weight = 1;
};

/// How requests that match a host and a path prefix are proxied to an endpoint: method, path,
/// headers and body are forwarded unchanged.
struct RouteSpec
{
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    std::vector<WeightedPool> split;
    std::vector<PieceStageSpec> pieceStages;
    bool streams = false;   ///< Answers are event streams, forwarded event by event.
    bool resumable = false; ///< A broken stream may resume at another endpoint with its next event.
    bool isPublic = false;  ///< No API key is required.
    std::uint32_t maxEndpoints = 1; ///< Max. endpoints that one request may be sent to.
    int priority = 0;               ///< 0 is the highest priority.
    /// Target for the time to the answer or its first event.
    std::chrono::milliseconds objective{1000};
    std::chrono::milliseconds maxEventInterval{0}; ///< Target between two events; 0 for none.
    /// Period without any data after which a caller disconnects; 0 if callers wait until the
    /// deadline.
    std::chrono::milliseconds clientTimeout{0};
    /// Regions in which requests may be served; empty allows all.
    std::vector<std::string> allowedRegions;
};

/// A pipeline: stages that run sequentially for each request.
struct PipelineSpec
{
    std::string name;
    std::vector<StageSpec> stages;            ///< From 1 to maxStages; none if there is a route.
    bool repeatable = true;                   ///< If false, runs at most once per idempotency key.
    std::chrono::milliseconds deadline{4000}; ///< Default if the caller specifies none.
    std::size_t maxBodyBytes = 65536;         ///< Size limit of a request body.
    /// If set, requests are proxied unchanged; stages is empty until a pool is selected from
    /// the split.
    std::optional<RouteSpec> route;
};

/// A client account.
struct ClientAccountSpec
{
    std::string name;
    double weight = 1;       ///< Share of capacity under overload, relative to other accounts.
    std::string tokenSha256; ///< SHA-256 of the bearer token, in hexadecimal; may be empty.
    std::vector<std::string> apiKeys; ///< API keys for proxied requests; each of them is valid.
    std::optional<int> priority;      ///< Overrides the priority of routes.
    /// As in RouteSpec; if both list regions, only those in both lists are allowed.
    std::vector<std::string> allowedRegions;
};

/// A version of a model that endpoints are required to serve.
struct ModelVersionSpec
{
    std::string name;
    std::string model;
    std::string version;
    std::string pool; ///< The pool whose endpoints serve it.
};

/// How the endpoints of a pool compute pieces: in batches, one batch per call.
struct PieceWorkSpec
{
    std::uint32_t batch = 1;                ///< Max. pieces per call.
    std::uint32_t queue = 0;                ///< Max. calls that an endpoint queues.
    std::chrono::microseconds callTime{0};  ///< Fixed time per call, independent of its pieces.
    std::chrono::microseconds pieceTime{0}; ///< Approximate additional time per piece.
    std::uint64_t resultBufferBytes = 0;    ///< Size of the result buffer of one endpoint.
    std::chrono::milliseconds resultTtl{0}; ///< Period for which a result is kept unless freed.
};

/// Capacity of each model engine of a pool.
struct ModelEngineSpec
{
    /// Size of the cache in tokens, shared by running requests and cached prompts.
    std::uint64_t cacheTokens = 0;
};

/// A pool of interchangeable endpoints.
struct PoolSpec
{
    std::string name;
    std::string protocol;        ///< Name of the stage protocol plug-in.
    double costPerSecond = 1;    ///< Cost of one second of endpoint time.
    bool hasPromptCache = false; ///< Endpoints are faster on recently processed prompts.
    std::optional<PieceWorkSpec> pieces;
    std::optional<ModelEngineSpec> engine;
    /// Cold period after the start of an endpoint that does not report one itself.
    std::chrono::milliseconds coldTime{0};
    /// Requests per second that a cold endpoint can handle; 0 if unspecified.
    double coldRate = 0;
    /// Path of the endpoints' status check; empty if there is none.
    std::string statusPath;
};

/// An endpoint.
struct EndpointSpec
{
    /// Unique per incarnation: an endpoint that restarts under the same identity has lost its
    /// state, so all state that is kept by endpoint name must treat it as another endpoint.
    std::string name;
    std::string pool;
    std::string address; ///< IPv4 address and port.
    std::string dataCentre;
    int slots = 1;                     ///< Number of calls that it runs concurrently.
    bool refusesBeforeRunning = false; ///< Its 429 and 503 replies mean that nothing ran.
    bool checksFencing = false;        ///< It rejects calls with an outdated fencing token.
    bool leaving = false;              ///< Self-reported: must get no new work.
    /// Self-reported remaining cold period, counted from the report; std::nullopt if it reports
    /// none.
    std::optional<std::chrono::milliseconds> coldFor;
    /// Version of its software, empty if its operator states none; std::nullopt if unknown. Only an
    /// endpoint of the same known version can continue a stream of another one.
    std::optional<std::string> softwareVersion = std::string();
    std::string identity; ///< Name shared by all incarnations; if empty, the same as name.
    WallTime startedAt;   ///< Start of this incarnation; the epoch if not reported.

    /// Returns the name that is the same for all incarnations. It is sent to the endpoint as the
    /// expected identity and used as its key for placement.
    [[nodiscard]] const std::string &stableName() const
    {
        return identity.empty() ? name : identity;
    }
};

/// Requests that are no longer run because they crash endpoints. Daemons declare a quarantine;
/// operators lift it by deleting the object.
struct QuarantineSpec
{
    Hash128 digest; ///< Digest of the requests; its hexadecimal form is the resource name.
    std::string pool;
    std::vector<std::string> endpoints; ///< Endpoints that crashed, in order.
    WallTime since;
    WallTime until; ///< End of the quarantine; such requests are run again.
};

/// Planned drain of a data centre: until this object is deleted, its endpoints get no new work.
/// Work in progress completes there, and results stored there can still be read.
struct DataCentreDrainSpec
{
    std::string name;
    std::string dataCentre; ///< May be a data centre without endpoints.
};

/// The region of a data centre.
struct DataCentreSpec
{
    std::string name;
    std::string region;
};

/// The specification of a resource, by kind.
using ResourceSpec =
    std::variant<PipelineSpec, ClientAccountSpec, ModelVersionSpec, PoolSpec, EndpointSpec,
                 QuarantineSpec, DataCentreDrainSpec, DataCentreSpec>;

/// A declared resource.
struct Resource
{
    std::string kind;
    std::string name;
    ResourceSpec spec;
    nlohmann::json document; ///< The complete declaration as stored.
    /// The stored version that the declaration is based on, if specified: the declaration may
    /// only replace this version (optimistic concurrency). Not part of the stored document.
    std::optional<std::uint64_t> baseVersion;
};

/// Resources in force. A fleet has thousands of endpoints, so the specification of each is shared
/// by all that refer to it.
struct ActiveResources
{
    std::vector<Resource> resources; ///< All but the endpoints.
    std::vector<std::shared_ptr<const EndpointSpec>> endpoints;

    [[nodiscard]] std::size_t size() const { return resources.size() + endpoints.size(); }
};

/// Returns the declaration of \p spec in the format that readResource() accepts.
[[nodiscard]] nlohmann::json quarantineDocument(const QuarantineSpec &spec);

/// Returns all kinds, in the preferred order for applying a file.
[[nodiscard]] const std::vector<std::string> &resourceKinds();

/// Parses and validates one resource; the error lists all invalid fields with their paths.
///
/// \param document an object with "kind", "name" and "spec".
/// \param origin name of the source file or object, for error messages.
[[nodiscard]] absl::StatusOr<Resource> readResource(const nlohmann::json &document,
                                                    std::string_view origin);

/// Checks that all pools that the pipelines of \p resources refer to exist, and that piece
/// stages don't depend on each other. For configurations that arrive as a whole. The error
/// lists each invalid reference.
[[nodiscard]] absl::Status checkReferences(const std::vector<Resource> &resources);

/// Parses a file that contains one resource or an array of resources.
[[nodiscard]] absl::StatusOr<std::vector<Resource>> readResources(std::string_view text,
                                                                  std::string_view origin);

} // namespace harelink

#endif // HARELINK_CONFIG_RESOURCES_H
