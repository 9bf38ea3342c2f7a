//===- manifesttest.cpp - Tests of the platform's declarations ------------===//

#include "manifest.h"

#include "harelink/Support/error.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr const char *manifest = R"({
  "version": 7, "of-later": true,
  "routes": [
    {"name": "r1", "host": "a.example", "path-prefix": "/x/", "kind": "stream",
     "timeout-ms": 8000, "slo-ms": 1000, "priority": 1, "attempts": 2, "public": false,
     "can-resume": true, "itl-target-ms": 200,
     "split": [{"service": "m1", "weight": 90}, {"service": "m2", "weight": 10}],
     "stages": [{"service": "p1", "since-rev": [], "bytes": 3000000},
                {"service": "p1", "since-rev": [0], "bytes": 10}]},
    {"name": "r2", "host": "a.example", "path-prefix": "/y/", "kind": "unsafe",
     "timeout-ms": 1500, "slo-ms": 300, "priority": 2, "attempts": 1, "public": true,
     "service": "m2"}],
  "services": [
    {"name": "m1", "engine": {"kv-capacity": 614608}},
    {"name": "m2", "cold-s": 3.0, "cold-per-s": 9.1, "health-path": "/ok"},
    {"name": "p1", "pieces": {"slots": 1, "queue": 2, "batch": 8, "call-ms": 150.0,
     "item-ms": 2.1, "headroom-mb": 39.0, "handle-s": 4.0}}],
  "limits": {"max-body-bytes": 4194304},
  "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1}]})";

template <typename Spec>
const Spec &specOf(const std::vector<Resource> &resources, const std::string &name)
{
    for (const Resource &resource : resources) {
        if (resource.name == name) {
            return std::get<Spec>(resource.spec);
        }
    }
    FAIL("no resource of this name");
    return std::get<Spec>(resources.front().spec);
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = manifest;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_GROUP(Manifest)
{
    fleet::ManifestReader reader;
};

TEST(Manifest, ConvertsRoutesToPipelines)
{
    const auto resources = reader.read("config", "main", manifest);
    CHECK(resources.ok());
    const auto &stream = specOf<PipelineSpec>(*resources, "r1");
    CHECK(stream.repeatable);
    CHECK(stream.route->streams);
    LONGS_EQUAL(2, stream.route->split.size());
    DOUBLES_EQUAL(90, stream.route->split[0].weight, 0);
    LONGS_EQUAL(2, stream.route->maxEndpoints);
    CHECK(stream.deadline == milliseconds(8000));
    CHECK(stream.route->objective == milliseconds(1000));
    CHECK(stream.route->clientTimeout == milliseconds(4000));
    LONGS_EQUAL(4194304, stream.maxBodyBytes);
    LONGS_EQUAL(1, stream.route->pieceStages[1].after.size());
    LONGS_EQUAL(3000000, stream.route->pieceStages[0].resultBytes);
    const auto &record = specOf<PipelineSpec>(*resources, "r2");
    CHECK_FALSE(record.repeatable);
    CHECK(record.route->isPublic);
    STRCMP_EQUAL("m2", record.route->split[0].pool.c_str());
}

TEST(Manifest, ConvertsServicesAndTenants)
{
    const auto resources = reader.read("config", "main", manifest);
    CHECK(specOf<PoolSpec>(*resources, "m1").hasPromptCache);
    const PieceWorkSpec &work = *specOf<PoolSpec>(*resources, "p1").pieces;
    LONGS_EQUAL(8, work.batch);
    CHECK(work.pieceTime == std::chrono::microseconds(2100));
    LONGS_EQUAL(39'000'000, work.resultBufferBytes);
    CHECK(work.resultTtl == milliseconds(4000));
    const auto &coldPool = specOf<PoolSpec>(*resources, "m2");
    DOUBLES_EQUAL(9.1, coldPool.coldRate, 1e-9);
    STRCMP_EQUAL("/ok", coldPool.statusPath.c_str());
    CHECK(specOf<PoolSpec>(*resources, "m1").statusPath.empty());
    const auto &account = specOf<ClientAccountSpec>(*resources, "t1");
    LONGS_EQUAL(2, account.apiKeys.size());
    LONGS_EQUAL(1, account.priority.value());
}

TEST(Manifest, NumbersOutOfRangeAreRejected)
{
    const std::vector<std::pair<std::string, std::string>> replacements = {
        {"\"timeout-ms\": 8000", "\"timeout-ms\": 1e300"},
        {"\"timeout-ms\": 8000", "\"timeout-ms\": -1"},
        {"\"slo-ms\": 1000", "\"slo-ms\": 1e18"},
        {"\"itl-target-ms\": 200", "\"itl-target-ms\": -1e300"},
        {"\"priority\": 1, \"attempts\"", "\"priority\": 1e300, \"attempts\""},
        {"\"attempts\": 2", "\"attempts\": -1"},
        {"\"attempts\": 2", "\"attempts\": 1e300"},
        {"\"weight\": 90", "\"weight\": -90"},
        {"\"since-rev\": [0]", "\"since-rev\": [4294967296]"},
        {"\"since-rev\": [0]", "\"since-rev\": [-4294967296]"},
        {"\"since-rev\": [0]", "\"since-rev\": [0.5]"},
        {"\"bytes\": 3000000", "\"bytes\": -1"},
        {"\"bytes\": 3000000", "\"bytes\": 1e300"},
        {"\"kv-capacity\": 614608", "\"kv-capacity\": -1"},
        {"\"kv-capacity\": 614608", "\"kv-capacity\": 1e300"},
        {"\"max-body-bytes\": 4194304", "\"max-body-bytes\": -1"},
        {"\"max-body-bytes\": 4194304", "\"max-body-bytes\": 1e300"},
        {"\"k2\"], \"priority\": 1", "\"k2\"], \"priority\": -1e300"},
        {"\"version\": 7", "\"version\": 1e400"},
    };
    for (const auto &[from, to] : replacements) {
        CHECK_FALSE_TEXT(reader.read("config", "main", replaced(from, to)).ok(), to.c_str());
    }
}

TEST(Manifest, StagesMayBeListedInAnyOrder)
{
    std::string text = replaced("\"since-rev\": [], ", "\"since-rev\": [1], ");
    const std::string from = "\"since-rev\": [0]";
    const auto reversed = reader.read(
        "config", "main", text.replace(text.find(from), from.size(), "\"since-rev\": []"));
    CHECK(reversed.ok());
    const std::vector<PieceStageSpec> &stages =
        specOf<PipelineSpec>(*reversed, "r1").route->pieceStages;
    LONGS_EQUAL(1, stages[0].after.at(0));
    LONGS_EQUAL(3000000, stages[0].resultBytes);
}

TEST(Manifest, StagesThatDependOnEachOtherOrOnNoneAreRejected)
{
    for (const char *dependencies : {"[0]", "[1]", "[2]", "[1, 2]"}) {
        const auto resources = reader.read(
            "config", "main",
            replaced("\"since-rev\": [], ", "\"since-rev\": " + std::string(dependencies) + ", "));
        CHECK_FALSE_TEXT(resources.ok(), dependencies);
        STRCMP_CONTAINS("piece stage", errorMessage(resources.status()).c_str());
    }
}

TEST(Manifest, DrainingEndpointIsLeaving)
{
    const char *server = R"({"service": "m1", "addr": "10.0.0.1:80", "zone": "z", "slots": 64,
                             "state": "draining", "seq": 4})";
    const auto resources = reader.read("servers", "i-1", server);
    const auto &endpoint = std::get<EndpointSpec>(resources->front().spec);
    CHECK(endpoint.leaving);
    CHECK(endpoint.refusesBeforeRunning);
    STRCMP_EQUAL("i-1", endpoint.name.c_str());
    STRCMP_EQUAL("z", endpoint.dataCentre.c_str());
}

TEST(Manifest, EndpointWithoutAValidSoftwareVersionIsOfAnUnknownOne)
{
    const auto versionOf = [this](const std::string &field) {
        const std::string entry = R"({"service": "m1", "addr": "10.0.0.1:80", "zone": "z",
                                      "slots": 64, "state": "ready", "seq": 4)"
                                  + field + "}";
        const auto resources = reader.read("servers", "i-1", entry);
        CHECK_TEXT(resources.ok(), field.c_str());
        return std::get<EndpointSpec>(resources->front().spec).softwareVersion;
    };
    CHECK(versionOf(R"(, "version": "v1.1")") == "v1.1");
    for (const char *invalid :
         {"", R"(, "version": "")", R"(, "version": 1)", R"(, "version": null)"}) {
        CHECK(versionOf(invalid) == std::nullopt);
    }
}

TEST(Manifest, EndpointReportsRemainingColdTime)
{
    const auto coldTimeOf = [this](const std::string &field) {
        const std::string entry = R"({"service": "m1", "addr": "10.0.0.1:80", "zone": "z",
                                      "slots": 64, "state": "ready", "seq": 4)"
                                  + field + "}";
        const auto resources = reader.read("servers", "i-1", entry);
        return resources.ok() ? std::get<EndpointSpec>(resources->front().spec).coldFor
                              : std::optional<milliseconds>(milliseconds(-1));
    };
    CHECK(coldTimeOf(R"(, "cold-left-ms": 2500)") == milliseconds(2500));
    CHECK(coldTimeOf(R"(, "cold-left-ms": 2500.7)") == milliseconds(2500));
    CHECK(coldTimeOf(R"(, "cold-left-ms": 0)") == milliseconds(0));
    CHECK(!coldTimeOf(""));
    // Entries of other writers with invalid values are rejected.
    for (const char *invalid : {"-1", "1e300", "\"x\"", "null", "[]"}) {
        CHECK(coldTimeOf(std::string(R"(, "cold-left-ms": )") + invalid) == milliseconds(-1));
    }
}

TEST(Manifest, EvacuationDrainsTheNamedDataCentre)
{
    for (const char *body : {"{}", "null", "[]", "17", "\"x\"", R"({"until": {}})"}) {
        const auto resources = reader.read("evacuations", "dc-of-nobody", body);
        CHECK(resources.ok());
        const auto &drain = std::get<DataCentreDrainSpec>(resources->front().spec);
        STRCMP_EQUAL("dc-of-nobody", drain.dataCentre.c_str());
    }
}

TEST(Manifest, RejectsNumbersOutOfRange)
{
    const std::vector<std::pair<std::string, std::string>> faults = {
        {"\"batch\": 8", "\"batch\": 0"},
        {"\"batch\": 8", "\"batch\": -1"},
        {"\"batch\": 8", "\"batch\": 1e12"},
        {"\"queue\": 2", "\"queue\": -1"},
        {"\"call-ms\": 150.0", "\"call-ms\": -150"},
        {"\"call-ms\": 150.0", "\"call-ms\": 1e15"},
        {"\"item-ms\": 2.1", "\"item-ms\": -2.1"},
        {"\"headroom-mb\": 39.0", "\"headroom-mb\": -39"},
        {"\"headroom-mb\": 39.0", "\"headroom-mb\": 1e300"},
        {"\"handle-s\": 4.0", "\"handle-s\": -4"}};
    for (const auto &[from, to] : faults) {
        const auto resources = reader.read("config", "main", replaced(from, to));
        CHECK_FALSE_TEXT(resources.ok(), to.c_str());
        const std::string field = to.substr(1, to.find('"', 1) - 1);
        CHECK_TEXT(errorMessage(resources.status()).find(field) != std::string::npos, to.c_str());
    }
    // Missing fields have defaults: batches of one piece, no processing time, unlimited buffer
    // space.
    const auto missing = reader.read(
        "config", "main",
        replaced(
            "\"batch\": 8, \"call-ms\": 150.0,\n     \"item-ms\": 2.1, \"headroom-mb\": 39.0, ",
            ""));
    CHECK(missing.ok());
    LONGS_EQUAL(1, specOf<PoolSpec>(*missing, "p1").pieces->batch);
}

TEST(Manifest, RejectsInconsistentDeclarations)
{
    CHECK_FALSE(reader.read("config", "main", "{}").ok());
    CHECK_FALSE(reader.read("config", "main", "no json").ok());
    CHECK_FALSE(
        reader
            .read("config", "main",
                  replaced("\"service\": \"m1\", \"weight\"", "\"service\": \"gone\", \"weight\""))
            .ok());
    CHECK_FALSE(
        reader.read("config", "main", replaced("\"since-rev\": [0]", "\"since-rev\": [1]")).ok());
    CHECK_FALSE(
        reader.read("config", "main", replaced("\"timeout-ms\": 8000", "\"timeout-ms\": \"x\""))
            .ok());
    CHECK_FALSE(reader.read("servers", "i-1", R"({"service": "m1"})").ok());
}

TEST(Manifest, StatesItsGeneration)
{
    LONGS_EQUAL(7, reader.generation("config", manifest).value());
    CHECK_FALSE(reader.generation("config", "{}").has_value());
    CHECK_FALSE(reader.generation("servers", manifest).has_value());
}
