//===- resources.cpp - Declared resources ---------------------------------===//

#include "harelink/Config/resources.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>

#include <limits>
#include <set>

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestDeadline{1};
constexpr milliseconds longestDeadline{600'000};
constexpr std::int64_t mostSlots = 4096;
constexpr double heaviestWeight = 1e6;
constexpr std::size_t sha256Digits = 64;

ResourceSpec readPipeline(const std::string &name, JsonReader &reader)
{
    PipelineSpec spec;
    spec.name = name;
    std::set<std::string> seen;
    for (JsonReader &stage : reader.objects("stages", 1, mostStages)) {
        StageSpec next{stage.name("name"), stage.name("pool")};
        if (!seen.insert(next.name).second) {
            stage.fault("name", "stands twice in this pipeline");
        }
        stage.finish();
        spec.stages.push_back(std::move(next));
    }
    spec.repeatable = reader.boolean("repeatable", true);
    spec.deadline =
        reader.milliseconds("deadlineMs", shortestDeadline, longestDeadline, spec.deadline);
    spec.largestBody = static_cast<std::size_t>(
        reader.integer("largestBodyBytes", 1, largestObject, std::int64_t(spec.largestBody)));
    return spec;
}

ResourceSpec readClientAccount(const std::string &name, JsonReader &reader)
{
    ClientAccountSpec spec;
    spec.name = name;
    spec.weight = reader.number("weight", 1e-3, heaviestWeight, 1);
    spec.tokenSha256 = reader.text("tokenSha256", "");
    if (!spec.tokenSha256.empty()
        && (spec.tokenSha256.size() != sha256Digits
            || spec.tokenSha256.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        reader.fault("tokenSha256", "must be 64 lower-case hexadecimal digits");
    }
    return spec;
}

ResourceSpec readModelVersion(const std::string &name, JsonReader &reader)
{
    return ModelVersionSpec{name, reader.name("model"), reader.text("version"),
                            reader.name("pool")};
}

ResourceSpec readPool(const std::string &name, JsonReader &reader)
{
    PoolSpec spec;
    spec.name = name;
    spec.protocol = reader.choice("protocol", {"model-engine", "stage-pool", "plain-service"});
    spec.costPerSecond = reader.number("costPerSecond", 0, heaviestWeight, 1);
    spec.keepsPrompts = reader.boolean("keepsPrompts", false);
    return spec;
}

ResourceSpec readEndpoint(const std::string &name, JsonReader &reader)
{
    EndpointSpec spec;
    spec.name = name;
    spec.pool = reader.name("pool");
    spec.address = reader.endpointAddress("address");
    spec.dataCentre = reader.name("dataCentre");
    spec.slots = static_cast<int>(reader.integer("slots", 1, mostSlots, 1));
    spec.refusesBeforeRunning = reader.boolean("refusesBeforeRunning", false);
    spec.checksFencing = reader.boolean("checksFencing", false);
    return spec;
}

ResourceSpec readSpec(const std::string &kind, const std::string &name, JsonReader &reader)
{
    if (kind == "Pipeline") {
        return readPipeline(name, reader);
    }
    if (kind == "ClientAccount") {
        return readClientAccount(name, reader);
    }
    if (kind == "ModelVersion") {
        return readModelVersion(name, reader);
    }
    if (kind == "Pool") {
        return readPool(name, reader);
    }
    return readEndpoint(name, reader);
}

} // namespace

const std::vector<std::string> &resourceKinds()
{
    static const std::vector<std::string> kinds = {"Pool", "Endpoint", "ModelVersion",
                                                   "ClientAccount", "Pipeline"};
    return kinds;
}

absl::StatusOr<Resource> readResource(const nlohmann::json &document, std::string_view origin)
{
    Faults faults;
    JsonReader reader(document, "", faults);
    Resource resource;
    resource.kind = reader.choice("kind", resourceKinds());
    resource.name = reader.name("name");
    if (reader.has("version")) {
        resource.madeFrom = static_cast<std::uint64_t>(
            reader.integer("version", 1, std::numeric_limits<std::int64_t>::max()));
    }
    JsonReader spec = reader.object("spec");
    reader.finish();
    if (faults.empty()) {
        resource.spec = readSpec(resource.kind, resource.name, spec);
        spec.finish();
    }
    if (document.dump().size() > largestObject) {
        faults.push_back(fmt::format("is larger than {} bytes", largestObject));
    }
    if (!faults.empty()) {
        return makeError(absl::StatusCode::kInvalidArgument, "checking", origin,
                         joinFaults(faults));
    }
    resource.document = document;
    resource.document.erase("version");
    return resource;
}

absl::StatusOr<std::vector<Resource>> readResources(std::string_view text, std::string_view origin)
{
    const absl::StatusOr<nlohmann::json> parsed = parseJson(text, origin);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const nlohmann::json documents =
        parsed->is_array() ? *parsed : nlohmann::json::array({*parsed});
    std::vector<Resource> resources;
    Faults faults;
    for (std::size_t i = 0; i < documents.size(); ++i) {
        const std::string place = fmt::format("{}[{}]", origin, i);
        absl::StatusOr<Resource> resource = readResource(documents[i], place);
        if (!resource.ok()) {
            faults.push_back(fmt::format("[{}] {}", i, errorMessage(resource.status())));
            continue;
        }
        resources.push_back(*std::move(resource));
    }
    if (!faults.empty()) {
        return makeError(absl::StatusCode::kInvalidArgument, "checking", origin,
                         joinFaults(faults));
    }
    return resources;
}

} // namespace harelink
