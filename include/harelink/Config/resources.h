//===- harelink/Config/resources.h - Declared resources ---------*- C++ -*-===//
///
/// \file
/// The kinds of resources that operators declare, with their validation. The
/// daemon and the command line share this code, so both accept the same.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_RESOURCES_H
#define HARELINK_CONFIG_RESOURCES_H

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
inline constexpr std::size_t largestObject = 1'000'000;
/// The most stages a pipeline may have.
inline constexpr std::size_t mostStages = 6;

/// One stage of a pipeline.
struct StageSpec
{
    std::string name; ///< As in "encode"; unique within the pipeline.
    std::string pool; ///< The pool whose endpoints run it.
};

/// A pipeline: stages that run one after the other for each request.
struct PipelineSpec
{
    std::string name;
    std::vector<StageSpec> stages;            ///< From 1 to mostStages.
    bool repeatable = true;                   ///< False: runs at most once per idempotency key.
    std::chrono::milliseconds deadline{4000}; ///< Where the caller names none.
    std::size_t largestBody = 65536;          ///< Of a caller's body, in bytes.
};

/// A client account.
struct ClientAccountSpec
{
    std::string name;
    double weight = 1;       ///< Its share of capacity in a burst, against the others'.
    std::string tokenSha256; ///< Of the bearer token, in hexadecimal; may be empty.
};

/// A version of a model that endpoints are to serve.
struct ModelVersionSpec
{
    std::string name;
    std::string model;
    std::string version;
    std::string pool; ///< Whose endpoints serve it.
};

/// A pool of endpoints that can stand for one another.
struct PoolSpec
{
    std::string name;
    std::string protocol;      ///< Name of a stage protocol plug-in.
    double costPerSecond = 1;  ///< Price of a second of an endpoint's time.
    bool keepsPrompts = false; ///< Its endpoints are faster on a prompt they saw lately.
};

/// An endpoint.
struct EndpointSpec
{
    std::string name;
    std::string pool;
    std::string address; ///< IP number and port.
    std::string dataCentre;
    int slots = 1;                     ///< Calls it works on at the same time.
    bool refusesBeforeRunning = false; ///< Its 429 and 503 mean that nothing ran.
    bool checksFencing = false;        ///< It refuses an order with an old fencing number.
};

/// What a resource holds, by kind.
using ResourceSpec =
    std::variant<PipelineSpec, ClientAccountSpec, ModelVersionSpec, PoolSpec, EndpointSpec>;

/// A resource as an operator declares it.
struct Resource
{
    std::string kind;
    std::string name;
    ResourceSpec spec;
    nlohmann::json document; ///< The whole declaration, as it is stored.
    /// The version that the declaration was made from, where it says so: it may
    /// replace no other. Not part of what is stored.
    std::optional<std::uint64_t> madeFrom;
};

/// The names of all kinds, in the order in which a file is best applied.
[[nodiscard]] const std::vector<std::string> &resourceKinds();

/// Reads one resource; an error lists every fault with its path.
///
/// \param document an object with "kind", "name" and "spec".
/// \param origin the file or object it came from, for messages.
[[nodiscard]] absl::StatusOr<Resource> readResource(const nlohmann::json &document,
                                                    std::string_view origin);

/// Reads a file of one resource or of an array of them.
[[nodiscard]] absl::StatusOr<std::vector<Resource>> readResources(std::string_view text,
                                                                  std::string_view origin);

} // namespace harelink

#endif // HARELINK_CONFIG_RESOURCES_H
