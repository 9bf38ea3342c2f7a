//===- resourcestest.cpp - Resource validation tests ----------------------===//

#include "harelink/Config/resources.h"
#include "harelink/Support/error.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

/// Returns the error message for the resource file \p text, or an empty string if it is valid.
std::string errorOf(const std::string &text)
{
    const auto resources = readResources(text, "test.jsonc");
    return resources.ok() ? std::string() : errorMessage(resources.status());
}

/// Returns the declaration of a pipeline with \p spec.
std::string pipelineWith(const std::string &spec)
{
    return R"({"kind": "Pipeline", "name": "p", "spec": )" + spec + "}";
}

} // namespace

TEST_GROUP(Resources){};

TEST(Resources, ReadsPipelineFromJsonWithComments)
{
    const auto resources = readResources(
        R"([ // A comment.
            {"kind": "Pipeline", "name": "gate", "version": 7, "spec": {
                "stages": [{"name": "encode", "pool": "encoders"}],
                "repeatable": false, "deadlineMs": 250}}])",
        "test.jsonc");
    CHECK(resources.ok());
    const Resource &resource = resources->at(0);
    const auto &pipeline = std::get<PipelineSpec>(resource.spec);
    STRCMP_EQUAL("gate", pipeline.name.c_str());
    STRCMP_EQUAL("encoders", pipeline.stages.at(0).pool.c_str());
    CHECK_FALSE(pipeline.repeatable);
    CHECK_EQUAL(250, pipeline.deadline.count());
    CHECK_EQUAL(7u, resource.baseVersion.value());
    CHECK_FALSE(resource.document.contains("version"));
}

TEST(Resources, ReportsLineOfInvalidJson)
{
    STRCMP_CONTAINS("line 3", errorOf("[\n{\"kind\": \"Pool\",\n oops}]").c_str());
}

/// The JSON library reports such numbers with another exception than other invalid input.
TEST(Resources, ReportsNumberOutOfRange)
{
    STRCMP_CONTAINS(
        "number out of range",
        errorOf(R"({"kind": "ClientAccount", "name": "a", "spec": {"weight": 1e999}})").c_str());
}

TEST(Resources, ReportsAllErrorsWithTheirPaths)
{
    const std::string error = errorOf(pipelineWith(
        R"({"stages": [{"name": "A B", "pool": "x"}], "deadlineMs": 0, "colour": 1})"));
    STRCMP_CONTAINS("spec.stages[0].name: must be a name", error.c_str());
    STRCMP_CONTAINS("spec.deadlineMs: must be from 1", error.c_str());
    STRCMP_CONTAINS("spec.colour: is an unknown field", error.c_str());
}

TEST(Resources, RejectsTooFewOrTooManyStages)
{
    STRCMP_CONTAINS("from 1 to 6 elements, has 0",
                    errorOf(pipelineWith(R"({"stages": []})")).c_str());
    std::string seven;
    for (int i = 0; i < 7; ++i) {
        seven += (i > 0 ? "," : "") + std::string(R"({"name": "s)") + std::to_string(i)
                 + R"(", "pool": "p"})";
    }
    STRCMP_CONTAINS("from 1 to 6 elements, has 7",
                    errorOf(pipelineWith(R"({"stages": [)" + seven + "]}")).c_str());
}

TEST(Resources, RejectsDuplicateStageNames)
{
    STRCMP_CONTAINS("is not unique within the pipeline",
                    errorOf(pipelineWith(R"({"stages": [{"name": "a", "pool": "p"},
                                                        {"name": "a", "pool": "q"}]})"))
                        .c_str());
}

TEST(Resources, RejectsUnknownKind)
{
    STRCMP_CONTAINS("kind: 'Gadget' is unknown; valid values are: Pool",
                    errorOf(R"({"kind": "Gadget", "name": "x", "spec": {}})").c_str());
}

TEST(Resources, RejectsHostNameAsAddress)
{
    STRCMP_CONTAINS("spec.address: must be an IPv4 address and a port",
                    errorOf(R"({"kind": "Endpoint", "name": "e", "spec": {"pool": "p",
                        "address": "localhost:80", "dataCentre": "d"}})")
                        .c_str());
}

TEST(Resources, RejectsOversizedResource)
{
    const std::string large(2'000'000, 'x');
    STRCMP_CONTAINS("is larger than 1000000 bytes",
                    errorOf(R"({"kind": "ModelVersion", "name": "m", "spec": {"model": "m",
                        "pool": "p", "version": ")"
                            + large + "\"}}")
                        .c_str());
}
