//===- configchecktest.cpp - Configuration check tests --------------------===//

#include "harelink/Config/configcheck.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>

using namespace harelink;

namespace {

constexpr const char *pool = R"({"kind": "Pool", "name": "engines", "spec": {
    "protocol": "model-engine"}})";
constexpr const char *stagePipeline = R"({"kind": "Pipeline", "name": "generate", "spec": {
    "stages": [{"name": "generate", "pool": "engines"}]}})";

/// Returns the declaration of a pipeline with a route at \p host and \p path to the pool
/// "engines"; \p fields are added to the route.
std::string route(const std::string &name, const std::string &host, const std::string &path,
                  const std::string &fields = "")
{
    return fmt::format(R"({{"kind": "Pipeline", "name": "{}", "spec": {{"route": {{
        "host": "{}", "pathPrefix": "{}", "split": [{{"pool": "engines"}}]{}}}}}}})",
                       name, host, path, fields);
}

std::string account(const std::string &name, const std::string &spec)
{
    return fmt::format(R"({{"kind": "ClientAccount", "name": "{}", "spec": {}}})", name, spec);
}

/// Returns the declaration of a pool that computes batches of four pieces in calls of \p callMs,
/// with a result buffer of 1000 bytes.
std::string piecePool(const std::string &name, int callMs)
{
    return fmt::format(R"({{"kind": "Pool", "name": "{}", "spec": {{"protocol": "pieces",
        "pieces": {{"batch": 4, "callMs": {}, "pieceMs": 5, "roomBytes": 1000}}}}}})",
                       name, callMs);
}

std::string endpoint(const std::string &name, const std::string &inPool)
{
    return fmt::format(R"({{"kind": "Endpoint", "name": "{}", "spec": {{"pool": "{}",
        "address": "127.0.0.1:80", "dataCentre": "porto"}}}})",
                       name, inPool);
}

/// Returns a file with \p resources.
ConfigFile fileOf(const std::string &name, const std::vector<std::string> &resources)
{
    std::string text;
    for (const std::string &resource : resources) {
        text += (text.empty() ? "[" : ",\n") + resource;
    }
    return {name, text + "]"};
}

std::string outputOf(const ConfigCheckInput &input)
{
    return formatRemarks(checkConfig(input));
}

/// Returns the output of a check of a file named "new" with \p resources.
std::string outputOf(const std::vector<std::string> &resources)
{
    return outputOf({{fileOf("new", resources)}, std::nullopt, std::nullopt});
}

/// Returns the output of a check of a file with \p after against one with \p before.
std::string differences(const std::vector<std::string> &before,
                        const std::vector<std::string> &after)
{
    return outputOf({{fileOf("new", after)}, fileOf("old", before), std::nullopt});
}

} // namespace

TEST_GROUP(ConfigCheck){};

TEST(ConfigCheck, ReportsNothingOnConsistentConfiguration)
{
    STRCMP_EQUAL("", outputOf({pool, endpoint("e", "engines"), stagePipeline, account("lab", "{}"),
                               route("r", "a.example", "/v1/")})
                         .c_str());
}

TEST(ConfigCheck, ReportsErrorsOfReadingWithFileAndPosition)
{
    STRCMP_EQUAL("error: new[1]: spec.colour: is an unknown field\n"
                 "error: new[1]: spec.weight: must be from 0.001 to 1000000\n",
                 outputOf({pool, account("lab", R"({"weight": 0, "colour": 1})")}).c_str());
    STRCMP_EQUAL("error: single: kind: is missing\n"
                 "error: single: name: is missing\n"
                 "error: single: spec: is missing\n",
                 outputOf({{{"single", "{}"}}, std::nullopt, std::nullopt}).c_str());
    STRCMP_EQUAL("error: bad: line 2: invalid JSON (comments are allowed)\n",
                 outputOf({{{"bad", "[\n oops]"}}, std::nullopt, std::nullopt}).c_str());
}

TEST(ConfigCheck, ReportsErrorsOfAllFiles)
{
    const std::string output =
        outputOf({{{"b", "oops"}, {"a", "[]]"}, fileOf("c", {pool})}, std::nullopt, std::nullopt});
    STRCMP_EQUAL("error: a: line 1: invalid JSON (comments are allowed)\n"
                 "error: b: line 1: invalid JSON (comments are allowed)\n",
                 output.c_str());
}

TEST(ConfigCheck, ReportsMissingPoolWithPositionOfPipeline)
{
    STRCMP_EQUAL("error: new[0]: pipeline generate: pool engines does not exist\n",
                 outputOf({stagePipeline}).c_str());
}

/// An invalid reference must not hide other remarks.
TEST(ConfigCheck, ReportsWarningsAndDifferencesBesidesInvalidReferences)
{
    const std::string spare =
        R"({"kind": "Pool", "name": "spare", "spec": {"protocol": "carried"}})";
    STRCMP_EQUAL("error: new[0]: pipeline generate: pool engines does not exist\n"
                 "warning: new[1]: Pool/spare: no route, stage or split uses this pool\n"
                 "added: Pool/spare\n"
                 "removed: Pool/engines\n",
                 differences({pool, stagePipeline}, {stagePipeline, spare}).c_str());
}

/// The version that a declaration is based on is not part of the stored object.
TEST(ConfigCheck, IgnoresBaseVersionInDifferences)
{
    const std::string based =
        R"({"kind": "ClientAccount", "name": "lab", "version": 7, "spec": {}})";
    STRCMP_EQUAL(
        "", differences({pool, stagePipeline, account("lab", "{}")}, {pool, stagePipeline, based})
                .c_str());
}

TEST(ConfigCheck, ReportsFileThatCannotBeRead)
{
    STRCMP_EQUAL("error: gone: cannot be read\n",
                 outputOf({{{"gone", std::nullopt}, fileOf("c", {pool})}, {}, {}}).c_str());
}

/// The pool may be declared in another of the files.
TEST(ConfigCheck, ChecksReferencesAcrossFiles)
{
    STRCMP_EQUAL("", outputOf({{fileOf("pipelines", {stagePipeline}), fileOf("pools", {pool})},
                               std::nullopt,
                               std::nullopt})
                         .c_str());
}

/// A resource that could not be read must not cause warnings about what refers to it.
TEST(ConfigCheck, ReportsOnlyErrorsIfFileIsInvalid)
{
    const std::string output =
        outputOf({{fileOf("new", {pool}), {"bad", "oops"}}, ConfigFile{"old", "[]"}, std::nullopt});
    STRCMP_EQUAL("error: bad: line 1: invalid JSON (comments are allowed)\n", output.c_str());
}

TEST(ConfigCheck, RejectsLargeFile)
{
    const std::string text = std::string(maxCheckedFileBytes, ' ') + "[]";
    STRCMP_EQUAL("error: large: is larger than 16777216 bytes\n",
                 outputOf({{{"large", text}}, std::nullopt, std::nullopt}).c_str());
}

/// Formatting such a value recursively would exhaust the stack.
TEST(ConfigCheck, RejectsDeeplyNestedValues)
{
    const std::string text(1'000'000, '[');
    STRCMP_EQUAL("error: deep: has more than 64 levels of values\n",
                 outputOf({{{"deep", text}}, std::nullopt, std::nullopt}).c_str());
    const std::string stored =
        R"({"kind": "Pool", "name": "p", "spec": )" + text + std::string(1'000'000, ']') + "}";
    STRCMP_EQUAL("warning: Pool/p: the object in force is invalid: has too many levels\n"
                 "removed: Pool/p\n",
                 outputOf({{ConfigFile{"new", "[]"}},
                           std::nullopt,
                           std::vector<StoredObject>{{"Pool", "p", stored}}})
                     .c_str());
}

/// The JSON parser silently keeps the last value only.
TEST(ConfigCheck, WarnsAboutFieldsSpecifiedTwice)
{
    STRCMP_EQUAL(
        "warning: new[1]: spec.stages[1].pool: is specified more than once; only the last value "
        "is used\n",
        outputOf({pool, R"({"kind": "Pipeline", "name": "p", "spec": {"stages": [
                     {"name": "a", "pool": "engines"},
                     {"name": "b", "pool": "x", "pool": "y", "pool": "engines"}]}})"})
            .c_str());
    STRCMP_EQUAL(
        "warning: single: Pool/b: no route, stage or split uses this pool\n"
        "warning: single: name: is specified more than once; only the last value is used\n",
        outputOf({{{"single", R"({"kind": "Pool", "name": "a", "name": "b",
                     "spec": {"protocol": "carried"}})"}},
                  std::nullopt,
                  std::nullopt})
            .c_str());
}

/// Text from the file must not be able to produce additional lines or terminal sequences.
TEST(ConfigCheck, EscapesControlCharacters)
{
    STRCMP_EQUAL("error: new[0]: spec.a\\u001b[0m\\u0009: is an unknown field\n",
                 outputOf({account("lab", "{\"a\\u001b[0m\\t\": 1}")}).c_str());
}

TEST(ConfigCheck, WarnsAboutObjectDeclaredTwice)
{
    STRCMP_EQUAL("warning: new[2]: Pool/engines: is also declared at new[0]; only the last "
                 "declaration is used\n",
                 outputOf({pool, stagePipeline, pool}).c_str());
}

TEST(ConfigCheck, WarnsAboutRouteBehindAnother)
{
    STRCMP_EQUAL(
        "warning: new[2]: Pipeline/b: has the same host and path prefix as Pipeline/a; "
        "only one of them gets requests\n",
        outputOf({pool, route("a", "a.example", "/v1/"), route("b", "a.example", "/v1/")}).c_str());
}

/// The longest prefix is matched first, so the shorter one takes no requests of the longer one.
TEST(ConfigCheck, AcceptsNestedPrefixesAndOtherHosts)
{
    STRCMP_EQUAL("", outputOf({pool, route("a", "a.example", "/"), route("b", "a.example", "/v1/"),
                               route("c", "b.example", "/")})
                         .c_str());
}

TEST(ConfigCheck, WarnsAboutUnusedPool)
{
    STRCMP_EQUAL("warning: new[0]: Pool/engines: no route, stage or split uses this pool\n",
                 outputOf({pool}).c_str());
    STRCMP_EQUAL("", outputOf({pool, route("r", "a.example", "/")}).c_str());
    STRCMP_EQUAL("",
                 outputOf({pool, piecePool("parts", 1),
                           route("r", "a.example", "/", R"(, "pieceStages": [{"pool": "parts"}])")})
                     .c_str());
}

TEST(ConfigCheck, WarnsAboutMissingPoolOfEndpointOrModelVersion)
{
    STRCMP_EQUAL("warning: new[0]: Endpoint/e: pool gone does not exist\n"
                 "warning: new[1]: ModelVersion/m: pool gone does not exist\n",
                 outputOf({endpoint("e", "gone"), R"({"kind": "ModelVersion", "name": "m",
                     "spec": {"model": "m", "version": "1", "pool": "gone"}})"})
                     .c_str());
}

TEST(ConfigCheck, WarnsAboutAccountThatNoRouteAdmits)
{
    const std::string abroad = account("abroad", R"({"apiKeys": ["k"], "allowedRegions": ["us"]})");
    const std::string local =
        account("local", R"({"apiKeys": ["l"], "allowedRegions": ["us", "eu"]})");
    const std::string keyless = account("keyless", "{}");
    const std::string european = route("r", "a.example", "/", R"(, "allowedRegions": ["eu"])");
    STRCMP_EQUAL("warning: new[2]: ClientAccount/abroad: no route admits this account\n"
                 "warning: new[4]: ClientAccount/keyless: no route admits this account\n",
                 outputOf({pool, european, abroad, local, keyless}).c_str());
    // A public route does not use accounts, a pipeline without a route admits all of them.
    STRCMP_EQUAL(
        "warning: new[2]: ClientAccount/local: no route admits this account\n",
        outputOf({pool, route("r", "a.example", "/", R"(, "public": true)"), local}).c_str());
    STRCMP_EQUAL("", outputOf({pool, european, stagePipeline, abroad, keyless}).c_str());
}

TEST(ConfigCheck, WarnsAboutShareOfWeightZero)
{
    STRCMP_EQUAL("warning: new[2]: Pipeline/r: the share of pool carriers in the split has weight "
                 "0\n",
                 outputOf({pool, R"({"kind": "Pool", "name": "carriers", "spec": {
                     "protocol": "carried"}})",
                           R"({"kind": "Pipeline", "name": "r", "spec": {"route": {
                     "host": "a.example", "pathPrefix": "/", "split": [
                         {"pool": "engines", "weight": 0.5}, {"pool": "carriers", "weight": 0}]}}})"})
                     .c_str());
}

/// With identical keys, requests of one account count as those of the other one. The key itself
/// must not be printed.
TEST(ConfigCheck, WarnsAboutIdenticalKeysWithoutPrintingThem)
{
    const std::string hash(64, 'a');
    const std::string output =
        outputOf({pool, stagePipeline, account("a", R"({"apiKeys": ["secret-1", "secret-2"]})"),
                  account("b", R"({"apiKeys": ["secret-3", "secret-2", "secret-3"]})"),
                  account("c", R"({"tokenSha256": ")" + hash + "\"}"),
                  account("d", R"({"tokenSha256": ")" + hash + "\"}")});
    STRCMP_EQUAL("warning: new[3]: ClientAccount/b: has the same API key as ClientAccount/a\n"
                 "warning: new[3]: ClientAccount/b: lists the same API key more than once\n"
                 "warning: new[5]: ClientAccount/d: has the same token as ClientAccount/c\n",
                 output.c_str());
}

TEST(ConfigCheck, WarnsAboutObjectiveLongerThanDeadline)
{
    const auto withDeadline = [](int deadlineMs) {
        return fmt::format(R"({{"kind": "Pipeline", "name": "r", "spec": {{"deadlineMs": {},
            "route": {{"host": "a.example", "pathPrefix": "/", "objectiveMs": 800,
                "split": [{{"pool": "engines"}}]}}}}}})",
                           deadlineMs);
    };
    STRCMP_EQUAL("", outputOf({pool, withDeadline(800)}).c_str());
    STRCMP_EQUAL("warning: new[1]: Pipeline/r: the objective of 800 ms is longer than the deadline "
                 "of 799 ms\n",
                 outputOf({pool, withDeadline(799)}).c_str());
}

/// Stages that do not depend on each other run at the same time: only the longest path counts.
TEST(ConfigCheck, WarnsAboutStagesThatCannotMeetObjective)
{
    const auto withObjective = [](int objectiveMs) {
        return route("r", "a.example", "/",
                     fmt::format(R"(, "objectiveMs": {},
            "pieceStages": [{{"pool": "slow"}}, {{"pool": "fast"}},
                            {{"pool": "fast", "after": [0, 1]}}, {{"pool": "fast", "after": [1]}}])",
                                 objectiveMs));
    };
    const auto outputWith = [&](int objectiveMs) {
        return outputOf(
            {pool, piecePool("slow", 200), piecePool("fast", 50), withObjective(objectiveMs)});
    };
    STRCMP_EQUAL("", outputWith(250).c_str());
    STRCMP_EQUAL("warning: new[3]: Pipeline/r: the piece stages take at least 250 ms, longer than "
                 "the objective of 249 ms\n",
                 outputWith(249).c_str());
}

TEST(ConfigCheck, WarnsAboutMoreAttemptsThanEndpoints)
{
    const std::string three = route("r", "a.example", "/", R"(, "mostEndpoints": 3)");
    const std::string output =
        outputOf({pool, three, endpoint("e1", "engines"), endpoint("e2", "engines")});
    STRCMP_EQUAL("warning: new[1]: Pipeline/r: a request may be sent to 3 endpoints, but pool "
                 "engines has 2\n",
                 output.c_str());
    STRCMP_EQUAL("", outputOf({pool, three, endpoint("e1", "engines"), endpoint("e2", "engines"),
                               endpoint("e3", "engines")})
                         .c_str());
    // Endpoints that are declared elsewhere are not known.
    STRCMP_EQUAL("", outputOf({pool, three}).c_str());
}

TEST(ConfigCheck, WarnsAboutBatchLargerThanResultBuffer)
{
    const auto withResult = [](int bytes) {
        return route(
            "r", "a.example", "/",
            fmt::format(R"(, "pieceStages": [{{"pool": "parts", "resultBytes": {}}}])", bytes));
    };
    STRCMP_EQUAL("", outputOf({pool, piecePool("parts", 1), withResult(250)}).c_str());
    STRCMP_EQUAL("warning: new[2]: Pipeline/r: piece stage 0: the results of a batch of 4 pieces "
                 "have 1004 bytes, more than the result buffer of an endpoint of pool parts, which "
                 "has 1000 bytes\n",
                 outputOf({pool, piecePool("parts", 1), withResult(251)}).c_str());
}

TEST(ConfigCheck, ListsAddedRemovedAndChangedObjects)
{
    STRCMP_EQUAL(
        "added: ClientAccount/lab\n"
        "removed: ClientAccount/old\n"
        "changed: ClientAccount/drivers: spec.weight: 3 -> 5\n",
        differences(
            {pool, stagePipeline, account("old", "{}"), account("drivers", R"({"weight": 3})")},
            {account("lab", "{}"), account("drivers", R"({"weight": 5})"), stagePipeline, pool})
            .c_str());
}

TEST(ConfigCheck, ListsChangedFieldsWithPathAndValues)
{
    const std::string before = route("r", "a.example", "/", R"(, "streams": true,
        "allowedRegions": ["eu", "us"], "pieceStages": [{"pool": "parts", "after": []}])");
    const std::string after = route("r", "b.example", "/", R"(, "allowedRegions": ["us"],
        "pieceStages": [{"pool": "parts"}, {"pool": "parts", "after": [0]}])");
    STRCMP_EQUAL(
        R"(changed: Pipeline/r: spec.route.allowedRegions[0]: "eu" -> "us"
changed: Pipeline/r: spec.route.allowedRegions[1]: "us" -> absent
changed: Pipeline/r: spec.route.host: "a.example" -> "b.example"
changed: Pipeline/r: spec.route.pieceStages[0].after: [] -> absent
changed: Pipeline/r: spec.route.pieceStages[1].after[0]: absent -> 0
changed: Pipeline/r: spec.route.pieceStages[1].pool: absent -> "parts"
changed: Pipeline/r: spec.route.streams: true -> absent
)",
        differences({pool, piecePool("parts", 1), before}, {pool, piecePool("parts", 1), after})
            .c_str());
}

TEST(ConfigCheck, DoesNotPrintChangedSecrets)
{
    const std::string hash(64, 'a');
    const std::string output =
        differences({pool, stagePipeline, account("a", R"({"apiKeys": ["secret-1"]})"),
                     account("b", R"({"apiKeys": ["secret-2"]})"),
                     account("c", R"({"tokenSha256": ")" + hash + "\"}")},
                    {pool, stagePipeline, account("a", R"({"apiKeys": ["secret-1", "secret-3"]})"),
                     account("b", "{}"), account("c", R"({"tokenSha256": ""})")});
    STRCMP_EQUAL("changed: ClientAccount/a: spec.apiKeys: changed, values are not shown\n"
                 "changed: ClientAccount/b: spec.apiKeys: changed, values are not shown\n"
                 "changed: ClientAccount/c: spec.tokenSha256: changed, values are not shown\n",
                 output.c_str());
}

/// Objects in the store may have been written by another version of the tools. Quarantines are
/// written by daemons, so a check must not list them as removed by the operator's files.
TEST(ConfigCheck, ComparesWithStoredObjects)
{
    const std::vector<StoredObject> stored = {
        {"Pool", "engines", pool},
        {"Pool", "gone", R"({"kind": "Pool", "name": "gone", "spec": {"protocol": "carried"}})"},
        {"ClientAccount", "lab", R"({"kind": "ClientAccount", "name": "lab", "spec": {"x": 1}})"},
        {"Quarantine", "0123456789abcdef0123456789abcdef", "{}"}};
    STRCMP_EQUAL(
        "warning: ClientAccount/lab: the object in force is invalid: spec.x: is an unknown field\n"
        "warning: Quarantine/0123456789abcdef0123456789abcdef: the object in force is invalid: "
        "kind: is missing;name: is missing;spec: is missing\n"
        "added: Pipeline/generate\n"
        "removed: Pool/gone\n"
        "changed: ClientAccount/lab: the object in force is invalid, values are not shown\n",
        outputOf(
            {{fileOf("new", {pool, stagePipeline, account("lab", "{}")})}, std::nullopt, stored})
            .c_str());
}

TEST(ConfigCheck, ReportsInvalidFileInForce)
{
    const std::vector<Remark> remarks = checkConfig(
        {{fileOf("new", {pool, stagePipeline})}, ConfigFile{"old", "oops"}, std::nullopt});
    CHECK(hasErrors(remarks));
    STRCMP_EQUAL("error: old: line 1: invalid JSON (comments are allowed)\n",
                 formatRemarks(remarks).c_str());
}

TEST(ConfigCheck, WarningsAndDifferencesAreNoErrors)
{
    const std::vector<Remark> remarks =
        checkConfig({{fileOf("new", {pool})}, ConfigFile{"old", "[]"}, std::nullopt});
    LONGS_EQUAL(2, remarks.size());
    CHECK_FALSE(hasErrors(remarks));
}

TEST(ConfigCheck, ListsLimitedNumberOfRemarks)
{
    std::vector<Remark> remarks(maxListedRemarks, {RemarkKind::Added, "Pool/p"});
    const std::string all = formatRemarks(remarks);
    LONGS_EQUAL(maxListedRemarks, std::count(all.begin(), all.end(), '\n'));
    remarks.resize(maxListedRemarks + 3);
    const std::string output = formatRemarks(remarks);
    LONGS_EQUAL(maxListedRemarks + 1, std::count(output.begin(), output.end(), '\n'));
    STRCMP_CONTAINS("\n3 more remarks\n", output.c_str());
}
