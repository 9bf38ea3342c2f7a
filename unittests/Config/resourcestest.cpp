//===- resourcestest.cpp - Tests of resources' validation -----------------===//

#include "harelink/Config/resources.h"
#include "harelink/Support/error.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

/// The error that \p text gives, or an empty text.
std::string faultOf(const std::string &text)
{
    const auto resources = readResources(text, "test.jsonc");
    return resources.ok() ? std::string() : errorMessage(resources.status());
}

std::string pipelineWith(const std::string &spec)
{
    return R"({"kind": "Pipeline", "name": "p", "spec": )" + spec + "}";
}

} // namespace

TEST_GROUP(Resources){};

TEST(Resources, ReadsAPipelineWithComments)
{
    const auto resources = readResources(
        R"([ // The only one.
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

TEST(Resources, NamesTheLineOfBadJson)
{
    STRCMP_CONTAINS("line 3", faultOf("[\n{\"kind\": \"Pool\",\n oops}]").c_str());
}

TEST(Resources, ListsEveryFaultWithItsPath)
{
    const std::string fault = faultOf(pipelineWith(
        R"({"stages": [{"name": "A B", "pool": "x"}], "deadlineMs": 0, "colour": 1})"));
    STRCMP_CONTAINS("spec.stages[0].name: must be a name", fault.c_str());
    STRCMP_CONTAINS("spec.deadlineMs: must be from 1", fault.c_str());
    STRCMP_CONTAINS("spec.colour: is an unknown field", fault.c_str());
}

TEST(Resources, RefusesTooFewAndTooManyStages)
{
    STRCMP_CONTAINS("from 1 to 6 members, has 0",
                    faultOf(pipelineWith(R"({"stages": []})")).c_str());
    std::string seven;
    for (int i = 0; i < 7; ++i) {
        seven += (i > 0 ? "," : "") + std::string(R"({"name": "s)") + std::to_string(i)
                 + R"(", "pool": "p"})";
    }
    STRCMP_CONTAINS("from 1 to 6 members, has 7",
                    faultOf(pipelineWith(R"({"stages": [)" + seven + "]}")).c_str());
}

TEST(Resources, RefusesAStageThatStandsTwice)
{
    STRCMP_CONTAINS("stands twice", faultOf(pipelineWith(R"({"stages": [{"name": "a", "pool": "p"},
                                                        {"name": "a", "pool": "q"}]})"))
                                        .c_str());
}

TEST(Resources, RefusesAnUnknownKind)
{
    STRCMP_CONTAINS("kind: 'Gadget' is unknown; known are: Pool",
                    faultOf(R"({"kind": "Gadget", "name": "x", "spec": {}})").c_str());
}

TEST(Resources, RefusesAnAddressThatIsNoIpNumber)
{
    STRCMP_CONTAINS("spec.address: must be an ip number and a port",
                    faultOf(R"({"kind": "Endpoint", "name": "e", "spec": {"pool": "p",
                        "address": "localhost:80", "dataCentre": "d"}})")
                        .c_str());
}

TEST(Resources, RefusesAResourceThatIsTooLarge)
{
    const std::string large(2'000'000, 'x');
    STRCMP_CONTAINS("is larger than 1000000 bytes",
                    faultOf(R"({"kind": "ModelVersion", "name": "m", "spec": {"model": "m",
                        "pool": "p", "version": ")"
                            + large + "\"}}")
                        .c_str());
}
