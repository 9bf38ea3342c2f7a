//===- storetest.cpp - Tests of store calls and piece calls ---------------===//

#include "store.h"
#include "pieces.h"

#include "harelink/Adapters/platformclient.h"
#include "harelink/Config/jsontext.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

HttpResult ok(const std::string &body)
{
    HttpResult result;
    result.status = 200;
    result.headStatus = 200;
    result.sent = true;
    result.body = body;
    return result;
}

PieceCall pieceCall()
{
    PieceCall call;
    call.id = 3;
    call.endpoint = "i-9@1000";
    call.endpointIdentity = "i-9";
    call.address = "10.0.0.9:80";
    PieceOrder first;
    first.id = {{1, 2}, 0, 4};
    first.source = SharedPieceSource({"r-1", "pk", {}});
    first.untilDeadline = milliseconds(900);
    PieceOrder second = first;
    second.id.stage = 2;
    second.source = SharedPieceSource({"r-1", "pk", {"10.0.0.1:80/a"}});
    call.orders = {first, second};
    return call;
}

} // namespace

TEST_GROUP(Store)
{
    fleet::StoreDialect store;
    fleet::StageDialect stages;
};

// A kept connection may have gone silent, or bring the late answer to an earlier call. libcurl
// would repeat a watch that is cut off on one, so that the cut is noticed late.
TEST(Store, EachCallHasAConnectionOfItsOwn)
{
    for (const PlatformOperation operation :
         {PlatformOperation::Get, PlatformOperation::Put, PlatformOperation::Delete,
          PlatformOperation::List, PlatformOperation::Watch, PlatformOperation::Hosts}) {
        PlatformCall call;
        call.operation = operation;
        call.wait = operation == PlatformOperation::Watch ? milliseconds(2000) : milliseconds(0);
        for (const HttpCall &http : {store.encode(call, "10.0.0.1:80", milliseconds(800)),
                                     encodePlatformCall(call, "10.0.0.1:80", milliseconds(800))}) {
            CHECK_FALSE(http.resendable);
            CHECK(http.connectTimeout == milliseconds(800));
            CHECK(http.timeout == milliseconds(800) + call.wait);
        }
    }
}

TEST(Store, ListsInPages)
{
    PlatformCall call;
    call.operation = PlatformOperation::List;
    call.kind = "servers";
    call.name = "i-1";
    const HttpCall http = store.encode(call, "10.0.0.1:80", milliseconds(500));
    STRCMP_EQUAL("http://10.0.0.1:80/objects/servers?since-rev=i-1", http.url.c_str());
    const PlatformResult result =
        store.decode(call, ok(
                               R"({"items": [{"meta": {"name": "i-2", "rev": 5}, "spec": {"a": 1}}],
            "truncated": true, "store-revision": 9})"));
    CHECK(result.more);
    LONGS_EQUAL(9, result.version.revision);
    LONGS_EQUAL(5, result.objects[0].version.revision);
    STRCMP_EQUAL("{\"a\":1}", result.objects[0].value.c_str());
}

TEST(Store, WatchReportsChangesAndRemovals)
{
    PlatformCall call;
    call.operation = PlatformOperation::Watch;
    call.kind = "servers";
    call.since = 9;
    call.wait = milliseconds(2000);
    const HttpCall http = store.encode(call, "10.0.0.1:80", milliseconds(500));
    STRCMP_EQUAL("http://10.0.0.1:80/objects/servers?watch=9&wait-ms=2000", http.url.c_str());
    CHECK(http.timeout == milliseconds(2500));
    const PlatformResult result = store.decode(
        call, ok(
                  R"({"events": [{"removed": true, "object": {"meta": {"name": "i-2", "rev": 10}}}],
            "store-revision": 10})"));
    CHECK(result.objects[0].deleted);
    HttpResult expired = ok("{}");
    expired.status = 410;
    CHECK(store.decode(call, expired).outcome == PlatformOutcome::Gone);
}

TEST(Store, WritesAreConditionalAndConflictsReportTheVersion)
{
    PlatformCall call;
    call.operation = PlatformOperation::Put;
    call.kind = "k";
    call.name = "n";
    call.value = R"({"a":1})";
    const HttpCall creation = store.encode(call, "10.0.0.1:80", milliseconds(500));
    STRCMP_EQUAL("POST", creation.method.c_str());
    CHECK_FALSE(creation.resendable);
    call.ifVersion = 4;
    const HttpCall update = store.encode(call, "10.0.0.1:80", milliseconds(500));
    STRCMP_EQUAL("PUT", update.method.c_str());
    LONGS_EQUAL(4, nlohmann::json::parse(update.body)["meta"]["rev"].get<int>());
    HttpResult conflict = ok(R"({"meta": {"name": "n", "rev": 6}, "spec": {}})");
    conflict.status = 409;
    const PlatformResult result = store.decode(call, conflict);
    CHECK(result.outcome == PlatformOutcome::Conflict);
    LONGS_EQUAL(6, result.version.revision);
}

// Another writer may have added values that a parser rejects.
TEST(Store, UnrepresentableValuesOfOtherWritersAreWrittenBackUnchanged)
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    PlatformCall call;
    call.operation = PlatformOperation::Put;
    call.kind = "harelink-hosts";
    call.name = "h1";
    call.ifVersion = 4;
    for (const std::string &added :
         {nested, std::string(R"({"a":1e999})"), std::string(R"("\ud800")")}) {
        call.value = R"({"host": "h1", "added": )" + added + "}";
        const HttpCall write = store.encode(call, "10.0.0.1:80", milliseconds(500));
        const std::optional<JsonMembers> members = splitJsonObject(write.body);
        CHECK(members.has_value());
        CHECK(members->at("spec") == call.value);
        CHECK(members->at("meta") == R"({"name":"h1","rev":4})");
    }
}

TEST(Store, ValuesThatAreNotJsonAreWrittenAsStrings)
{
    PlatformCall call;
    call.operation = PlatformOperation::Put;
    call.kind = "k";
    call.name = "n";
    for (const std::string value : {"", "CgIIAQ==", "{", "{} {}", "[1] x", "\xff", R"("a" "b")"}) {
        call.value = value;
        const HttpCall write = store.encode(call, "10.0.0.1:80", milliseconds(500));
        const nlohmann::json spec = nlohmann::json::parse(write.body)["spec"];
        CHECK_TEXT(spec.is_string(), write.body.c_str());
    }
}

// The answers of endpoints to these calls don't state which call they answer.
TEST(Store, CallsThatFreeResultsUseNoKeptConnection)
{
    for (const HttpCall &call : stages.encodeFree({"10.0.0.1:80/a", "10.0.0.2:80/b"})) {
        CHECK_FALSE(call.resendable);
    }
}

TEST(Store, InvalidAnswerCountsAsUnanswered)
{
    PlatformCall call;
    call.operation = PlatformOperation::List;
    CHECK(store.decode(call, ok("{]")).outcome == PlatformOutcome::Unanswered);
    HttpResult refused;
    refused.status = 429;
    CHECK(store.decode(call, refused).outcome == PlatformOutcome::Refused);
}

TEST(Store, EncodesKeyOrInputsOfPieces)
{
    const HttpCall http = stages.encode(pieceCall());
    const nlohmann::json items = nlohmann::json::parse(http.body)["items"];
    STRCMP_EQUAL("pk", items[0]["key"].get<std::string>().c_str());
    CHECK_FALSE(items[0].contains("inputs"));
    LONGS_EQUAL(900, items[0]["left-ms"].get<int>());
    CHECK_FALSE(items[1].contains("key"));
    LONGS_EQUAL(1, items[1]["inputs"].size());
    CHECK(std::find(http.headers.begin(), http.headers.end(), "X-Expect-Instance: i-9")
          != http.headers.end());
}

TEST(Store, BytesThatAreNotUnicodeDoNotEndThePieceCall)
{
    PieceCall call = pieceCall();
    call.orders[0].source = SharedPieceSource({"caf\xe9", "\xff\xfe", {}});
    call.orders[1].source = SharedPieceSource({"r-1", "pk", {"10.0.0.1:80/\xc3("}});
    const nlohmann::json items = nlohmann::json::parse(stages.encode(call).body)["items"];
    LONGS_EQUAL(2, items.size());
    LONGS_EQUAL(1, stages.encodeFree({"10.0.0.1:80/\xff"}).size());
}

TEST(Store, UnreadableResultsOfPiecesAreAFailedCall)
{
    const std::string nested(100'000, '[');
    const std::string closing(100'000, ']');
    for (const std::string &other :
         {nested + closing, std::string(R"({"handle": "\udcff"})"), std::string("1e400"),
          std::string(R"({"handle": 7})"), std::string(R"({"handle": "a\r\nX-Tenant: t1"})"),
          std::string(R"({"handle": "a\u0000b"})"), std::string(R"({"reason": 7})"),
          std::string("null"), std::string("7")}) {
        const std::string body = R"({"items": [{"handle": "10.0.0.9:80/x"}, )" + other + "]}";
        CHECK_FALSE_TEXT(stages.decode(pieceCall(), ok(body)).answered, body.substr(0, 60).c_str());
    }
}

TEST(Store, NamesOfObjectsAreEscapedInAddresses)
{
    PlatformCall call;
    call.operation = PlatformOperation::List;
    call.kind = "servers";
    call.name = "i 1&watch=3\r\n\xc3\xa9";
    STRCMP_EQUAL("http://10.0.0.1:80/objects/servers?since-rev=i%201%26watch%3D3%0D%0A%C3%A9",
                 store.encode(call, "10.0.0.1:80", milliseconds(500)).url.c_str());
    call.operation = PlatformOperation::Get;
    call.name = "a/../b";
    STRCMP_EQUAL("http://10.0.0.1:80/objects/servers/a%2F..%2Fb",
                 store.encode(call, "10.0.0.1:80", milliseconds(500)).url.c_str());
}

TEST(Store, AnswersWithoutAValidRevisionCountAsUnanswered)
{
    PlatformCall call;
    call.operation = PlatformOperation::List;
    for (const char *revision : {"-1", "1.5", "1e400", "\"9\"", "null", "18446744073709551616"}) {
        const std::string body = fmt::format(R"({{"items": [], "store-revision": {}}})", revision);
        CHECK_TEXT(store.decode(call, ok(body)).outcome == PlatformOutcome::Unanswered, revision);
    }
}

TEST(Store, DecodesResultsInOrder)
{
    const PieceCallEnded ended = stages.decode(
        pieceCall(), ok(R"({"items": [{"handle": "10.0.0.9:80/x"}, {"reason": "gone"}]})"));
    CHECK(ended.answered);
    STRCMP_EQUAL("10.0.0.9:80/x", ended.results[0].handle.c_str());
    CHECK(ended.results[1].fault == PieceFault::InputGone);
}

TEST(Store, RejectsAnswersToOtherCalls)
{
    CHECK_FALSE(stages.decode(pieceCall(), ok(R"({"items": [{"handle": "x"}]})")).answered);
    CHECK_FALSE(stages.decode(pieceCall(), ok("no json")).answered);
    HttpResult other = ok(R"({"items": [{"handle": "x"}, {"handle": "y"}]})");
    other.headers["x-request-id"] = "another";
    CHECK_FALSE(stages.decode(pieceCall(), other).answered);
}

TEST(Store, FreesResultsWithOneCallPerEndpoint)
{
    const std::vector<HttpCall> calls =
        stages.encodeFree({"10.0.0.1:80/a", "10.0.0.2:80/b", "10.0.0.1:80/c"});
    LONGS_EQUAL(2, calls.size());
    LONGS_EQUAL(2, nlohmann::json::parse(calls[0].body)["handles"].size());
}

TEST(Store, AnswersStateTheEraOfTheStore)
{
    PlatformCall call;
    call.operation = PlatformOperation::Watch;
    HttpResult gone = ok("{}");
    gone.status = 410;
    gone.headers["store-era"] = "3";
    LONGS_EQUAL(3, store.decode(call, gone).era.value());
    gone.headers["store-era"] = "three";
    CHECK_FALSE(store.decode(call, gone).era.has_value());
    gone.headers.clear();
    CHECK_FALSE(store.decode(call, gone).era.has_value());
}

TEST(Store, AHeartbeatOfAServerDoesNotChangeItsObject)
{
    PlatformCall call;
    call.operation = PlatformOperation::List;
    call.kind = "servers";
    const auto valueWith = [&](int heartbeat) {
        const nlohmann::json body = {{"items",
                                      {{{"meta", {{"name", "i-1"}, {"rev", 5}}},
                                        {"spec", {{"state", "ready"}, {"seq", heartbeat}}}}}},
                                     {"store-revision", 9}};
        return store.decode(call, ok(body.dump())).objects.at(0).value;
    };
    STRCMP_EQUAL(valueWith(1).c_str(), valueWith(2).c_str());
}
