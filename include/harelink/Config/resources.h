//===- harelink/Config/resources.h - Declared resources ---------*- C++ -*-===//
///
/// \file
/// The kinds of resources that operators declare, with their validation. The
/// daemon and the command line share this code, so both accept the same.
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
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace harelink {

/// The largest value that the platform's object API holds, in bytes.
inline constexpr std::size_t maxObjectBytes = 1'000'000;
/// The most stages a pipeline may have.
inline constexpr std::size_t maxStages = 6;

/// One stage of a pipeline.
struct StageSpec
{
    std::string name; ///< As in "encode"; unique within the pipeline.
    std::string pool; ///< The pool whose endpoints run it.
};

/// Work in pieces that is done before a proxied request is sent to its endpoint. How
/// many pieces there are, the request says.
struct PieceStageSpec
{
    std::string pool;
    std::vector<std::uint32_t> after; ///< Earlier stages whose results every piece needs.
    std::uint64_t resultBytes = 0;    ///< About how large the result of a piece is.
};

/// A pool and its share of the requests, against the other shares of a list.
struct WeightedPool
{
    std::string pool;
    double weight = 1;
};

/// How the requests of a host and a path prefix are carried to a plain endpoint: method,
/// path, headers and body stay as the caller sent them.
struct RouteSpec
{
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<WeightedPool> split;
    std::vector<PieceStageSpec> pieceStages;
    bool streams = false;           ///< Answers are events, passed on one by one.
    bool resumable = false;         ///< A broken stream may go on elsewhere at its next event.
    bool isPublic = false;          ///< No API key is asked for.
    std::uint32_t maxEndpoints = 1; ///< That one request may be sent to.
    int priority = 0;               ///< 0 is the most urgent.
    std::chrono::milliseconds objective{1000};     ///< Wanted until the answer, or its first event.
    std::chrono::milliseconds maxEventInterval{0}; ///< Wanted between two events; 0 for none.
    /// A caller to whom nothing came for so long leaves; 0 where it waits for its deadline.
    std::chrono::milliseconds clientTimeout{0};
    /// Its requests are served in these regions only; empty where that is all the same.
    std::vector<std::string> allowedRegions;
};

/// A pipeline: stages that run one after the other for each request.
struct PipelineSpec
{
    std::string name;
    std::vector<StageSpec> stages;            ///< From 1 to maxStages.
    bool repeatable = true;                   ///< False: runs at most once per idempotency key.
    std::chrono::milliseconds deadline{4000}; ///< Where the caller names none.
    std::size_t maxBodyBytes = 65536;         ///< Of a caller's body, in bytes.
    /// Its requests are carried unchanged; stages then is empty until a pool is drawn
    /// from the split.
    std::optional<RouteSpec> route;
};

/// A client account.
struct ClientAccountSpec
{
    std::string name;
    double weight = 1;                ///< Its share of capacity in a burst, against the others'.
    std::string tokenSha256;          ///< Of the bearer token, in hexadecimal; may be empty.
    std::vector<std::string> apiKeys; ///< Of proxied requests; any one of them will do.
    std::optional<int> priority;      ///< Goes before the routes' own.
    /// As of a route; where both name some, only those that both name.
    std::vector<std::string> allowedRegions;
};

/// A version of a model that endpoints are to serve.
struct ModelVersionSpec
{
    std::string name;
    std::string model;
    std::string version;
    std::string pool; ///< Whose endpoints serve it.
};

/// How the endpoints of a pool work on pieces: several in one call.
struct PieceWorkSpec
{
    std::uint32_t batch = 1;                ///< Most pieces in a call.
    std::uint32_t queue = 0;                ///< Calls that an endpoint lets wait.
    std::chrono::microseconds callTime{0};  ///< Of a call, whatever is in it.
    std::chrono::microseconds pieceTime{0}; ///< About, for each piece besides.
    std::uint64_t resultBufferBytes = 0;    ///< For results at one endpoint.
    std::chrono::milliseconds resultTtl{0}; ///< A result is kept so long if not freed.
};

/// What one model engine of a pool holds.
struct ModelEngineSpec
{
    std::uint64_t cacheTokens = 0; ///< Shared by running requests and cached prompts.
};

/// A pool of endpoints that can stand for one another.
struct PoolSpec
{
    std::string name;
    std::string protocol;        ///< Name of a stage protocol plug-in.
    double costPerSecond = 1;    ///< Price of a second of an endpoint's time.
    bool hasPromptCache = false; ///< Its endpoints are faster on a prompt they saw lately.
    std::optional<PieceWorkSpec> pieces;
    std::optional<ModelEngineSpec> engine;
    /// So long an endpoint that has started is cold, where it does not say.
    std::chrono::milliseconds coldTime{0};
    /// Requests a second that it bears meanwhile; 0 where that is not said.
    double coldRate = 0;
    /// Path of its endpoints' status check; empty where they have none.
    std::string statusPath;
};

/// An endpoint.
struct EndpointSpec
{
    /// One name for each of its lives: an endpoint that starts again under the identity that
    /// it had holds and knows nothing of before, so it is another endpoint to all that is
    /// kept by name.
    std::string name;
    std::string pool;
    std::string address; ///< IP number and port.
    std::string dataCentre;
    int slots = 1;                     ///< Calls it works on at the same time.
    bool refusesBeforeRunning = false; ///< Its 429 and 503 mean that nothing ran.
    bool checksFencing = false;        ///< It refuses an order with an old fencing number.
    bool leaving = false;              ///< It said itself that it is to get no new work.
    /// It said that it stays cold for so long from then on; nothing where it says nothing.
    std::optional<std::chrono::milliseconds> coldFor;
    std::string identity; ///< What it calls itself in each of its lives; empty: its name.
    WallTime startedAt;   ///< The beginning of this life; the epoch where it does not tell.

    /// What it is asked to be, and what it is placed by: the same in each of its lives.
    [[nodiscard]] const std::string &stableName() const
    {
        return identity.empty() ? name : identity;
    }
};

/// Requests that are not run any more, since endpoints end under them. Daemons declare it;
/// operators lift it by deleting it.
struct QuarantineSpec
{
    Hash128 digest; ///< Of the requests; in hexadecimal also the resource's name.
    std::string pool;
    std::vector<std::string> endpoints; ///< That ended, in order.
    WallTime since;
    WallTime until; ///< From then on such requests are run again.
};

/// A data centre whose endpoints are to get nothing new until this is deleted. It is planned
/// work: what they have begun ends there, and results that lie there may still be read.
struct DataCentreDrainSpec
{
    std::string name;
    std::string dataCentre; ///< One that no endpoint stands in is no fault.
};

/// The region in which a data centre stands.
struct DataCentreSpec
{
    std::string name;
    std::string region;
};

/// What a resource holds, by kind.
using ResourceSpec =
    std::variant<PipelineSpec, ClientAccountSpec, ModelVersionSpec, PoolSpec, EndpointSpec,
                 QuarantineSpec, DataCentreDrainSpec, DataCentreSpec>;

/// A resource as an operator declares it.
struct Resource
{
    std::string kind;
    std::string name;
    ResourceSpec spec;
    nlohmann::json document; ///< The whole declaration, as it is stored.
    /// The version that the declaration was made from, where it says so: it may
    /// replace no other. Not part of what is stored.
    std::optional<std::uint64_t> baseVersion;
};

/// The declaration of \p spec, as readResource() reads it.
[[nodiscard]] nlohmann::json quarantineDocument(const QuarantineSpec &spec);

/// The names of all kinds, in the order in which a file is best applied.
[[nodiscard]] const std::vector<std::string> &resourceKinds();

/// Reads one resource; an error lists every fault with its path.
///
/// \param document an object with "kind", "name" and "spec".
/// \param origin the file or object it came from, for messages.
[[nodiscard]] absl::StatusOr<Resource> readResource(const nlohmann::json &document,
                                                    std::string_view origin);

/// Checks that whatever a pipeline of \p resources refers to is among them; for a whole
/// configuration that comes as one. An error names each missing pool.
[[nodiscard]] absl::Status checkReferences(const std::vector<Resource> &resources);

/// Reads a file of one resource or of an array of them.
[[nodiscard]] absl::StatusOr<std::vector<Resource>> readResources(std::string_view text,
                                                                  std::string_view origin);

} // namespace harelink

#endif // HARELINK_CONFIG_RESOURCES_H
