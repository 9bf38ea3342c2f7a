//===- callerapitest.cpp - Tests of the HTTP API for callers --------------===//

#include "harelink/Daemon/callerapi.h"

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Kernel/registry.h"
#include "harelink/Support/error.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

HttpRequest validRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/pipelines/gate-answer/requests";
    request.headers = {{"harelink-account", "drivers"},
                       {"harelink-deadline-ms", "1500"},
                       {"idempotency-key", "k1"},
                       {"authorization", "Bearer secret"}};
    request.body = "{}";
    return request;
}

/// Returns the error message for a request whose header \p name has \p value.
std::string headerError(const std::string &name, const std::string &value)
{
    HttpRequest request = validRequest();
    request.headers[name] = value;
    return errorMessage(readCallerRequest(std::move(request)).status());
}

AnswerCaller makeRefusal(Reason reason, Outcome outcome)
{
    AnswerCaller answer;
    answer.id = {1, 2};
    answer.outcome = outcome;
    answer.reason = reason;
    answer.error = makeError(absl::StatusCode::kUnavailable, "stage encode", "encoder-1", "full");
    answer.retryAfter = milliseconds(1200);
    return answer;
}

std::string findHeader(const HttpReply &reply, const std::string &name)
{
    for (const auto &[header, value] : reply.headers) {
        if (header == name) {
            return value;
        }
    }
    return {};
}

} // namespace

TEST_GROUP(CallerApi){};

TEST(CallerApi, ParsesAllFieldsOfAValidRequest)
{
    const auto parsed = readCallerRequest(validRequest());
    CHECK(parsed.ok());
    STRCMP_EQUAL("gate-answer", parsed->arrival.pipeline.c_str());
    STRCMP_EQUAL("drivers", parsed->arrival.account.c_str());
    STRCMP_EQUAL("k1", parsed->arrival.idempotencyKey.c_str());
    STRCMP_EQUAL("secret", parsed->token.c_str());
    CHECK(parsed->arrival.timeAllowed == milliseconds(1500));
    CHECK(!parsed->arrival.streams);
}

TEST(CallerApi, AcceptHeaderRequestsAStream)
{
    HttpRequest request = validRequest();
    request.headers["accept"] = "text/event-stream";
    CHECK(readCallerRequest(std::move(request))->arrival.streams);
}

TEST(CallerApi, ErrorsNameTheInvalidHeaderOrBody)
{
    STRCMP_CONTAINS("harelink-account: is missing", headerError("harelink-account", "").c_str());
    STRCMP_CONTAINS("harelink-deadline-ms: must be",
                    headerError("harelink-deadline-ms", "0").c_str());
    STRCMP_CONTAINS("harelink-deadline-ms: must be",
                    headerError("harelink-deadline-ms", "5s").c_str());
    STRCMP_CONTAINS("idempotency-key: must be",
                    headerError("idempotency-key", std::string(201, 'k')).c_str());
    STRCMP_CONTAINS("idempotency-key: must be", headerError("idempotency-key", "a\nb").c_str());
    HttpRequest request = validRequest();
    request.body = "{";
    STRCMP_CONTAINS("not valid json",
                    errorMessage(readCallerRequest(std::move(request)).status()).c_str());
}

TEST(CallerApi, OnlyTheTokenOfTheAccountMatches)
{
    // SHA-256 of "secret".
    const std::string hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    CHECK(tokenMatches("secret", hash));
    CHECK(!tokenMatches("Secret", hash));
    CHECK(!tokenMatches("", hash));
    CHECK(!tokenMatches("secret", ""));
    CHECK(!tokenMatches("secret", hash.substr(1)));
}

TEST(CallerApi, RefusalReportsStepPeerAndRetryAfter)
{
    const HttpReply reply = makeCallerReply(makeRefusal(Reason::CannotFinish, Outcome::NotRun));
    CHECK_EQUAL(503, reply.status);
    STRCMP_EQUAL("application/problem+json", reply.contentType.c_str());
    STRCMP_EQUAL("not-run", findHeader(reply, "Harelink-Outcome").c_str());
    STRCMP_EQUAL("2", findHeader(reply, "Retry-After").c_str());
    const nlohmann::json problem = nlohmann::json::parse(reply.body);
    STRCMP_EQUAL("stage encode", problem["step"].get<std::string>().c_str());
    STRCMP_EQUAL("encoder-1", problem["peer"].get<std::string>().c_str());
}

TEST(CallerApi, ReasonsMapToHttpStatusCodes)
{
    const auto status = [](Reason reason, Outcome outcome) {
        return makeCallerReply(makeRefusal(reason, outcome)).status;
    };
    CHECK_EQUAL(404, status(Reason::UnknownPipeline, Outcome::NotRun));
    CHECK_EQUAL(413, status(Reason::BodyTooLarge, Outcome::NotRun));
    CHECK_EQUAL(429, status(Reason::TooManyRequests, Outcome::NotRun));
    CHECK_EQUAL(422, status(Reason::KeyReused, Outcome::NotRun));
    CHECK_EQUAL(409, status(Reason::MayHaveRun, Outcome::Unknown));
    CHECK_EQUAL(502, status(Reason::StageFailed, Outcome::Unknown));
    CHECK_EQUAL(503, status(Reason::StageFailed, Outcome::NotRun));
    CHECK_EQUAL(504, status(Reason::DeadlineExceeded, Outcome::Unknown));
}

TEST(CallerApi, LastEventOfAStreamCarriesTheOutcome)
{
    AnswerCaller answer = makeRefusal(Reason::StageFailed, Outcome::Unknown);
    answer.tokens = 3;
    const HttpReply end = makeStreamEnd(answer);
    CHECK(!end.more);
    EventReader reader;
    reader.feed(end.body);
    const nlohmann::json event = nlohmann::json::parse(reader.next().value_or("null"));
    STRCMP_EQUAL("unknown", event["outcome"].get<std::string>().c_str());
    STRCMP_EQUAL("encoder-1", event["peer"].get<std::string>().c_str());
    CHECK_EQUAL(3, event["tokens"].get<int>());
}

TEST(CallerApi, StoredAnswerIsReplayedAsACompleteStream)
{
    AnswerCaller answer;
    answer.outcome = Outcome::Completed;
    answer.replayed = true;
    answer.body = "{\"a\": 1}";
    const HttpReply reply = makeCompleteStream(answer);
    STRCMP_EQUAL("text/event-stream", reply.contentType.c_str());
    EventReader reader;
    reader.feed(reply.body);
    STRCMP_EQUAL("{\"a\":1}", reader.next().value_or("").c_str());
    STRCMP_CONTAINS("completed", reader.next().value_or("").c_str());
    CHECK(!reader.next());
}

TEST(CallerApi, RejectsABodyThatIsNestedTooDeeply)
{
    constexpr std::size_t nesting = 100'000;
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/pipelines/record/requests";
    request.headers["harelink-account"] = "lab";
    request.body = "{}";
    CHECK(readCallerRequest(request).ok());
    request.body = std::string(nesting, '[') + std::string(nesting, ']');
    CHECK_FALSE(readCallerRequest(request).ok());
}

TEST(CallerApi, AnswersOfEndpointsWithOtherTypesAreErrors)
{
    const auto protocol = Registry<StageProtocol>::instance().make("model-engine");
    for (const char *reason : {"null", "7", "[]", "{}", "\"error\""}) {
        const std::string body =
            std::string(R"({"choices":[{"text":"x","finish_reason":)") + reason + "}]}";
        CHECK_FALSE_TEXT(protocol->decode(body).ok(), reason);
    }
    CHECK(protocol->decode(R"({"choices":[{"text":"x","finish_reason":"stop"}]})").ok());
}
