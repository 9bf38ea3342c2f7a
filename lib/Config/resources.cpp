//===- resources.cpp - Declared resources ---------------------------------===//

#include "harelink/Config/resources.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Config/objectwriter.h"
#include "harelink/Config/stageorder.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>

#include <limits>
#include <set>

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds minDeadline{1};
constexpr milliseconds maxDeadline{600'000};
constexpr std::int64_t maxSlots = 4096;
/// Upper bound of weights, costs and rates.
constexpr double maxWeight = 1e6;
constexpr std::size_t sha256Digits = 64;

constexpr std::int64_t maxPriority = 9;
constexpr std::int64_t maxRouteEndpoints = 16;
/// Upper bound of batch sizes, in pieces, and queue lengths, in calls.
constexpr std::int64_t maxBatchSize = 4096;
/// Upper bound of result and buffer sizes, in bytes, and cache sizes, in tokens.
constexpr std::int64_t maxSize = std::int64_t{1} << 40;
constexpr std::size_t maxSplitPools = 16;
constexpr milliseconds maxDuration{600'000};
/// In milliseconds since 1970. A Duration covers 292 years; the bound keeps the time until then
/// within its range.
constexpr std::int64_t maxTimestampMs = 9'000'000'000'000;

std::vector<PieceStageSpec> readPieceStages(JsonReader &reader)
{
    std::vector<PieceStageSpec> stages;
    for (JsonReader &stage : reader.objects("pieceStages", 0, maxStages)) {
        PieceStageSpec next;
        next.pool = stage.name("pool");
        for (const std::int64_t dependency : stage.integers("after", 0, std::int64_t(maxStages))) {
            if (static_cast<std::size_t>(dependency) >= stages.size()) {
                stage.fault("after", "must refer to earlier stages only");
            }
            next.after.push_back(static_cast<std::uint32_t>(dependency));
        }
        next.resultBytes = static_cast<std::uint64_t>(stage.integer("resultBytes", 0, maxSize, 0));
        stage.finish();
        stages.push_back(std::move(next));
    }
    return stages;
}

RouteSpec readRoute(JsonReader reader)
{
    RouteSpec spec;
    spec.host = reader.text("host");
    spec.pathPrefix = reader.text("pathPrefix");
    if (spec.pathPrefix.empty() || spec.pathPrefix.front() != '/'
        || spec.pathPrefix.back() != '/') {
        reader.fault("pathPrefix", "must start and end with a slash");
    }
    for (JsonReader &share : reader.objects("split", 1, maxSplitPools)) {
        spec.split.push_back({share.name("pool"), share.number("weight", 0, maxWeight, 1)});
        share.finish();
    }
    spec.pieceStages = readPieceStages(reader);
    spec.streams = reader.boolean("streams", false);
    spec.resumable = reader.boolean("resumable", false);
    spec.isPublic = reader.boolean("public", false);
    spec.maxEndpoints =
        static_cast<std::uint32_t>(reader.integer("mostEndpoints", 1, maxRouteEndpoints, 1));
    spec.priority = static_cast<int>(reader.integer("priority", 0, maxPriority, 0));
    spec.objective = reader.milliseconds("objectiveMs", minDeadline, maxDeadline, spec.objective);
    spec.maxEventInterval =
        reader.milliseconds("longestPauseMs", milliseconds(0), maxDuration, spec.maxEventInterval);
    spec.clientTimeout =
        reader.milliseconds("patienceMs", milliseconds(0), maxDuration, spec.clientTimeout);
    spec.allowedRegions = reader.texts("allowedRegions");
    reader.finish();
    return spec;
}

ResourceSpec readPipeline(const std::string &name, JsonReader &reader)
{
    PipelineSpec spec;
    spec.name = name;
    if (reader.has("route")) {
        spec.route = readRoute(reader.object("route"));
    }
    std::set<std::string> seen;
    const std::size_t minStages = spec.route ? 0 : 1;
    for (JsonReader &stage : reader.objects("stages", minStages, spec.route ? 0 : maxStages)) {
        StageSpec next{stage.name("name"), stage.name("pool")};
        if (!seen.insert(next.name).second) {
            stage.fault("name", "is not unique within the pipeline");
        }
        stage.finish();
        spec.stages.push_back(std::move(next));
    }
    spec.repeatable = reader.boolean("repeatable", true);
    spec.deadline = reader.milliseconds("deadlineMs", minDeadline, maxDeadline, spec.deadline);
    spec.maxBodyBytes = static_cast<std::size_t>(
        reader.integer("largestBodyBytes", 1, maxObjectBytes, std::int64_t(spec.maxBodyBytes)));
    return spec;
}

ResourceSpec readClientAccount(const std::string &name, JsonReader &reader)
{
    ClientAccountSpec spec;
    spec.name = name;
    spec.weight = reader.number("weight", 1e-3, maxWeight, 1);
    spec.tokenSha256 = reader.text("tokenSha256", "");
    if (!spec.tokenSha256.empty()
        && (spec.tokenSha256.size() != sha256Digits
            || spec.tokenSha256.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        reader.fault("tokenSha256", "must be 64 lower-case hexadecimal digits");
    }
    spec.apiKeys = reader.texts("apiKeys");
    if (reader.has("priority")) {
        spec.priority = static_cast<int>(reader.integer("priority", 0, maxPriority));
    }
    spec.allowedRegions = reader.texts("allowedRegions");
    return spec;
}

ResourceSpec readModelVersion(const std::string &name, JsonReader &reader)
{
    return ModelVersionSpec{name, reader.name("model"), reader.text("version"),
                            reader.name("pool")};
}

PieceWorkSpec readPieceWork(JsonReader reader)
{
    PieceWorkSpec spec;
    spec.batch = static_cast<std::uint32_t>(reader.integer("batch", 1, maxBatchSize, 1));
    spec.queue = static_cast<std::uint32_t>(reader.integer("queue", 0, maxBatchSize, 0));
    spec.callTime = reader.milliseconds("callMs", milliseconds(0), maxDuration, milliseconds(0));
    const double pieceMs = reader.number("pieceMs", 0, static_cast<double>(maxDuration.count()), 0);
    spec.pieceTime = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(pieceMs));
    spec.resultBufferBytes = static_cast<std::uint64_t>(reader.integer("roomBytes", 0, maxSize, 0));
    spec.resultTtl =
        reader.milliseconds("resultLifeMs", milliseconds(0), maxDuration, milliseconds(0));
    reader.finish();
    return spec;
}

ModelEngineSpec readModelEngine(JsonReader reader)
{
    ModelEngineSpec spec;
    spec.cacheTokens = static_cast<std::uint64_t>(reader.integer("cacheTokens", 0, maxSize, 0));
    reader.finish();
    return spec;
}

ResourceSpec readPool(const std::string &name, JsonReader &reader)
{
    PoolSpec spec;
    spec.name = name;
    spec.protocol = reader.choice(
        "protocol", {"model-engine", "stage-pool", "plain-service", "carried", "pieces"});
    spec.costPerSecond = reader.number("costPerSecond", 0, maxWeight, 1);
    spec.hasPromptCache = reader.boolean("keepsPrompts", false);
    if (reader.has("pieces")) {
        spec.pieces = readPieceWork(reader.object("pieces"));
    }
    if (reader.has("engine")) {
        spec.engine = readModelEngine(reader.object("engine"));
    }
    spec.coldTime = reader.milliseconds("coldMs", milliseconds(0), maxDuration, milliseconds(0));
    spec.coldRate = reader.number("coldRequestsPerSecond", 0, maxWeight, 0);
    spec.statusPath = reader.text("statusPath", "");
    return spec;
}

ResourceSpec readEndpoint(const std::string &name, JsonReader &reader)
{
    EndpointSpec spec;
    spec.name = name;
    spec.pool = reader.name("pool");
    spec.address = reader.endpointAddress("address");
    spec.dataCentre = reader.name("dataCentre");
    spec.slots = static_cast<int>(reader.integer("slots", 1, maxSlots, 1));
    spec.refusesBeforeRunning = reader.boolean("refusesBeforeRunning", false);
    spec.checksFencing = reader.boolean("checksFencing", false);
    spec.leaving = reader.boolean("leaving", false);
    if (reader.has("coldMs")) {
        spec.coldFor = reader.milliseconds("coldMs", milliseconds(0), maxDuration, milliseconds(0));
    }
    spec.softwareVersion = reader.text("softwareVersion", "");
    return spec;
}

ResourceSpec readQuarantine(const std::string &name, JsonReader &reader)
{
    QuarantineSpec spec;
    const std::optional<Hash128> digest = parseHash(name);
    if (!digest) {
        reader.fault("name", "must be 32 lower-case hexadecimal digits");
    }
    spec.digest = digest.value_or(Hash128{});
    spec.pool = reader.text("pool");
    spec.endpoints = reader.texts("endpoints");
    spec.since = WallTime(milliseconds(reader.integer("sinceMs", 0, maxTimestampMs)));
    spec.until = WallTime(milliseconds(reader.integer("untilMs", 0, maxTimestampMs)));
    return spec;
}

ResourceSpec readDataCentreDrain(const std::string &name, JsonReader &reader)
{
    // The reader of stored objects passes over an ended drain.
    if (reader.has("endedMs")) {
        (void)reader.integer("endedMs", 0, maxTimestampMs);
    }
    return DataCentreDrainSpec{name, reader.name("dataCentre")};
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
    if (kind == "Quarantine") {
        return readQuarantine(name, reader);
    }
    if (kind == "DataCentreDrain") {
        return readDataCentreDrain(name, reader);
    }
    if (kind == "DataCentre") {
        return DataCentreSpec{name, reader.text("region")};
    }
    return readEndpoint(name, reader);
}

} // namespace

const std::vector<std::string> &resourceKinds()
{
    static const std::vector<std::string> kinds = {
        "Pool",     "Endpoint",   "ModelVersion",    "ClientAccount",
        "Pipeline", "Quarantine", "DataCentreDrain", "DataCentre"};
    return kinds;
}

nlohmann::json quarantineDocument(const QuarantineSpec &spec)
{
    return {{"kind", "Quarantine"},
            {"name", toHex(spec.digest)},
            {"spec",
             {{"pool", spec.pool},
              {"endpoints", spec.endpoints},
              {"sinceMs", spec.since.time_since_epoch().count()},
              {"untilMs", spec.until.time_since_epoch().count()}}}};
}

absl::StatusOr<Resource> readResource(const nlohmann::json &document, std::string_view origin)
{
    Faults faults;
    JsonReader reader(document, "", faults);
    Resource resource;
    resource.kind = reader.choice("kind", resourceKinds());
    resource.name = reader.name("name");
    if (reader.has("version")) {
        resource.baseVersion = static_cast<std::uint64_t>(
            reader.integer("version", 1, std::numeric_limits<std::int64_t>::max()));
    }
    // Whoever writes the object sets its count. An invalid one must not make it unusable.
    (void)reader.has(generationField);
    JsonReader spec = reader.object("spec");
    reader.finish();
    if (faults.empty()) {
        resource.spec = readSpec(resource.kind, resource.name, spec);
        spec.finish();
    }
    if (document.dump().size() > maxObjectBytes) {
        faults.push_back(fmt::format("is larger than {} bytes", maxObjectBytes));
    }
    if (!faults.empty()) {
        return makeError(absl::StatusCode::kInvalidArgument, "checking", origin,
                         joinFaults(faults));
    }
    resource.document = document;
    resource.document.erase("version");
    resource.document.erase(generationField);
    return resource;
}

absl::Status checkReferences(const std::vector<Resource> &resources)
{
    std::set<std::string> pools;
    for (const Resource &resource : resources) {
        if (const auto *pool = std::get_if<PoolSpec>(&resource.spec)) {
            pools.insert(pool->name);
        }
    }
    Faults faults;
    const auto check = [&](const std::string &pipeline, const std::string &pool) {
        if (!pools.contains(pool)) {
            faults.push_back(fmt::format("pipeline {}: pool {} does not exist", pipeline, pool));
        }
    };
    for (const Resource &resource : resources) {
        const auto *pipeline = std::get_if<PipelineSpec>(&resource.spec);
        if (pipeline == nullptr) {
            continue;
        }
        for (const StageSpec &stage : pipeline->stages) {
            check(pipeline->name, stage.pool);
        }
        if (!pipeline->route) {
            continue;
        }
        for (const WeightedPool &share : pipeline->route->split) {
            check(pipeline->name, share.pool);
        }
        const std::vector<PieceStageSpec> &stages = pipeline->route->pieceStages;
        for (std::size_t i = 0; i < stages.size(); ++i) {
            check(pipeline->name, stages[i].pool);
            for (const std::uint32_t dependency : stages[i].after) {
                if (dependency >= stages.size()) {
                    faults.push_back(fmt::format("pipeline {}: piece stage {} depends on stage {}, "
                                                 "which does not exist",
                                                 pipeline->name, i, dependency));
                }
            }
        }
        if (dependencyOrder(stages).size() < stages.size()) {
            faults.push_back(fmt::format("pipeline {}: piece stages have no order in which each "
                                         "follows those that it depends on",
                                         pipeline->name));
        }
    }
    if (!faults.empty()) {
        return makeError(absl::StatusCode::kInvalidArgument, "checking", "", joinFaults(faults));
    }
    return absl::OkStatus();
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
        const std::string entryOrigin = fmt::format("{}[{}]", origin, i);
        absl::StatusOr<Resource> resource = readResource(documents[i], entryOrigin);
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
