//===- requeststest.cpp - Tests of proxied requests -----------------------===//

#include "requests.h"
#include "headers.h"

#include "harelink/Support/text.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

HttpRequest request()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/x/1?q=a%20b";
    request.path = "/x/1";
    request.body = "body";
    request.fields = {{"Host", "A.Example:80"},
                      {"X-Request-Id", "r-1"},
                      {"X-Deadline-Ms", "800"},
                      {"Authorization", "Token k1"},
                      {"X-Tenant", "forged"},
                      {"X-Token-Count", "1460,80"},
                      {"X-Prompt-Prefix", "5c:800,91:410,e4:250"},
                      {"X-Pieces", "1,0,16"},
                      {"X-Piece-Key", "pk"},
                      {"Connection", "keep-alive, x-hop"},
                      {"X-Hop", "1"},
                      {"X-Own", "1"},
                      {"X-Own", "2"},
                      {"Content-Length", "4"}};
    for (const auto &[name, value] : request.fields) {
        std::string lowerName = name;
        std::transform(lowerName.begin(), lowerName.end(), lowerName.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        request.headers[lowerName] = value;
    }
    return request;
}

SendStage stage(const fleet::RequestDialect &dialect)
{
    SendStage stage;
    stage.call = {{1, 2}, 0, 1};
    stage.endpoint = "i-7@1000";
    stage.endpointIdentity = "i-7";
    stage.address = "10.0.0.1:80";
    stage.account = "t1";
    stage.timeout = milliseconds(750);
    stage.inputs = {"10.0.0.2:80/a", "10.0.0.2:80/b"};
    stage.proxied = dialect.read(request())->proxied;
    return stage;
}

bool hasHeader(const HttpCall &call, const std::string &line)
{
    return std::find(call.headers.begin(), call.headers.end(), line) != call.headers.end();
}

HttpResult result(int status, std::vector<std::pair<std::string, std::string>> fields)
{
    HttpResult result;
    result.status = status;
    result.headStatus = status;
    result.sent = true;
    result.body = "answer";
    result.fields = std::move(fields);
    for (const auto &[name, value] : result.fields) {
        std::string lowerName = name;
        std::transform(lowerName.begin(), lowerName.end(), lowerName.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        result.headers[lowerName] = value;
    }
    return result;
}

/// Returns the result of a stream without length or chunks whose connection was closed orderly.
HttpResult unframedStream()
{
    HttpResult stream = result(
        200,
        {{"X-Request-Id", "r-1"}, {"X-Server-Seal", "s"}, {"Content-Type", "text/event-stream"}});
    stream.body.clear(); // The parts of the body were delivered before.
    return stream;
}

} // namespace

TEST_GROUP(Requests)
{
    fleet::RequestDialect dialect;
};

TEST(Requests, ParsesRequestHeaders)
{
    const auto arrival = dialect.read(request());
    CHECK(arrival.ok());
    const ProxiedRequest &proxied = *arrival->proxied;
    CHECK(*arrival->timeAllowed == milliseconds(800));
    STRCMP_EQUAL("a.example", proxied.host.c_str());
    STRCMP_EQUAL("k1", proxied.apiKey.c_str());
    LONGS_EQUAL(1460, proxied.promptTokens);
    LONGS_EQUAL(3, proxied.prompt.size());
    LONGS_EQUAL(410, proxied.prompt[1].tokens);
    LONGS_EQUAL(3, proxied.pieceCounts.size());
    LONGS_EQUAL(16, proxied.pieceCounts[2]);
}

TEST(Requests, ReadsWhichStreamACallerTakesUp)
{
    HttpRequest taken = request();
    for (const auto &[name, value] :
         {std::pair("Last-Event-Id", "7"), std::pair("Resumes", "9c41d07be2a35f68")}) {
        taken.fields.emplace_back(name, value);
        taken.headers[lowerCase(name)] = value;
    }
    const auto arrival = dialect.read(taken);
    CHECK(arrival.ok());
    CHECK(arrival->proxied->lastEventSeen == 7);
    STRCMP_EQUAL("9c41d07be2a35f68", arrival->proxied->resumedAttempt.c_str());
    // The endpoint gets both, as the caller sent them.
    SendStage sent = stage(dialect);
    sent.proxied = arrival->proxied;
    CHECK(hasHeader(dialect.encode(sent), "Last-Event-Id: 7"));
    CHECK(hasHeader(dialect.encode(sent), "Resumes: 9c41d07be2a35f68"));
}

TEST(Requests, EndpointOfAStreamGetsNoLastEventButTheOneThatWasRead)
{
    using Values = std::vector<std::string>;
    const auto read = [this](const Values &values) {
        HttpRequest taken = request();
        for (const std::string &value : values) {
            taken.fields.emplace_back("Last-Event-ID", value);
            taken.headers["last-event-id"] = value;
        }
        return dialect.read(taken)->proxied;
    };
    const auto fieldsOf = [this](const std::shared_ptr<const ProxiedRequest> &proxied) {
        SendStage sent = stage(dialect);
        sent.proxied = proxied;
        sent.streams = true;
        std::vector<std::string> fields = dialect.encode(sent).headers;
        std::erase_if(fields, [](const std::string &field) {
            return !lowerCase(field).starts_with("last-event-id");
        });
        return fields;
    };
    for (const char *value : {"7", "07"}) {
        CHECK(read({value})->lastEventSeen == 7);
        CHECK_FALSE(read({value})->isLastEventUnreadable);
        CHECK(fieldsOf(read({value})) == Values{"Last-Event-Id: 7"});
    }
    CHECK_FALSE(read({""})->isLastEventUnreadable);
    CHECK(fieldsOf(read({""})).empty());
    const std::vector<Values> unreadable = {
        {"+7"}, {"7.0"}, {"-7"},     {"0x7"},   {"7, 7"},
        {"x"},  {"7 7"}, {"7", "8"}, {"7", ""}, {"18446744073709551616"},
    };
    for (const Values &values : unreadable) {
        CHECK_TEXT(read(values)->isLastEventUnreadable, values.front().c_str());
        CHECK_TEXT(fieldsOf(read(values)).empty(), values.front().c_str());
    }
}

TEST(Requests, RejectsInvalidRequests)
{
    HttpRequest broken = request();
    broken.headers["x-deadline-ms"] = "soon";
    const auto arrival = dialect.read(broken);
    CHECK_FALSE(arrival.ok());
    LONGS_EQUAL(400, dialect.makeBadRequest(broken, arrival.status()).status);
    broken = request();
    broken.headers.erase("x-request-id");
    CHECK_FALSE(dialect.read(broken).ok());
}

TEST(Requests, AnIdThatPieceCallsCannotStateIsRejectedAtOnce)
{
    for (const char *name : {"x-request-id", "x-piece-key"}) {
        for (const char *value : {"caf\xe9", "\xff", "\xed\xa0\x80", "\xc3"}) {
            HttpRequest odd = request();
            odd.headers[name] = value;
            CHECK_FALSE_TEXT(dialect.read(odd).ok(), value);
            odd.headers.erase("x-pieces");
            const auto plain = dialect.read(odd);
            CHECK_TEXT(plain.ok(), value);
            CHECK(std::string(name) != "x-request-id" || plain->proxied->callerId == value);
        }
        HttpRequest unicode = request();
        unicode.headers[name] = "caf\xc3\xa9";
        CHECK(dialect.read(unicode).ok());
    }
}

TEST(Requests, MorePiecesThanARequestMayHaveAreRejected)
{
    for (const char *counts : {"4294967295", "10001", "5000,5001", "4294967295,4294967295,1"}) {
        HttpRequest large = request();
        large.headers["x-pieces"] = counts;
        CHECK_FALSE_TEXT(dialect.read(large).ok(), counts);
    }
    HttpRequest most = request();
    most.headers["x-pieces"] = "5000,5000";
    CHECK(dialect.read(most).ok());
}

TEST(Requests, NumbersOfCallersAreBounded)
{
    HttpRequest odd = request();
    odd.headers["x-deadline-ms"] = "9223372036854775807";
    odd.headers["x-token-count"] = "18446744073709551615,18446744073709551615";
    odd.headers["x-prompt-prefix"] = "5c:18446744073709551615,91:9223372036854775807,e4:1";
    const auto arrival = dialect.read(odd);
    CHECK(arrival.ok());
    CHECK(arrival->timeAllowed == std::chrono::hours(24));
    CHECK(arrival->proxied->promptTokens <= 1'000'000'000);
    CHECK(arrival->proxied->maxAnswerTokens <= 1'000'000'000);
    CHECK(arrival->proxied->sharedTokens() <= 2'000'000'000);
}

TEST(Requests, ForwardsTheRequestWithoutApiKey)
{
    const HttpCall call = dialect.encode(stage(dialect));
    STRCMP_EQUAL("/x/1?q=a%20b", call.target.c_str());
    STRCMP_EQUAL("body", call.sentBody().c_str());
    CHECK(hasHeader(call, "X-Request-Id: r-1"));
    CHECK(hasHeader(call, "X-Own: 1"));
    CHECK(hasHeader(call, "X-Own: 2"));
    CHECK(hasHeader(call, "X-Tenant: t1"));
    CHECK(hasHeader(call, "X-Expect-Instance: i-7"));
    CHECK(hasHeader(call, "X-Deadline-Ms: 750"));
    CHECK(hasHeader(call, "X-Inputs: 10.0.0.2:80/a,10.0.0.2:80/b"));
    CHECK_FALSE(hasHeader(call, "X-Tenant: forged"));
    CHECK_FALSE(hasHeader(call, "Authorization: Token k1"));
    CHECK_FALSE(hasHeader(call, "X-Hop: 1"));
    CHECK_FALSE(call.resendable);
}

TEST(Requests, RemovesForgedDaemonFields)
{
    const std::vector<std::string> daemonFields = {
        "X-Deadline-Ms",    "Authorization", "X-Tenant", "X-Expect-Instance",
        "X-Expect-Version", "X-Inputs",      "X-Hold",   "X-Urgency-Class",
        "X-Pin-Ms",         "X-Kv-Backup",   "Kv-Fetch", "Kv-From"};
    const std::vector<std::string> callerFields = {
        "X-Model",     "X-Token-Count", "X-Prompt-Prefix", "X-Pieces",
        "X-Piece-Key", "X-Length-Hint", "Last-Event-Id",   "X-Unknown"};
    HttpRequest forged = request();
    std::erase_if(forged.fields, [](const auto &field) { return field.first.starts_with("X-"); });
    for (const std::vector<std::string> *names : {&daemonFields, &callerFields}) {
        for (const std::string &name : *names) {
            forged.fields.emplace_back(name, "forged");
        }
    }
    SendStage sent = stage(dialect);
    sent.proxied = dialect.read(forged)->proxied;
    const HttpCall call = dialect.encode(sent);
    for (const std::string &name : daemonFields) {
        CHECK_FALSE_TEXT(hasHeader(call, name + ": forged"), name.c_str());
    }
    for (const std::string &name : callerFields) {
        CHECK_TEXT(hasHeader(call, name + ": forged"), name.c_str());
    }
    sent.resumeAfter = 4;
    const HttpCall resumed = dialect.encode(sent);
    CHECK_FALSE(hasHeader(resumed, "Last-Event-Id: forged"));
    CHECK(hasHeader(resumed, "Last-Event-Id: 4"));
}

TEST(Requests, AcceptsOnlySignedAnswersToTheRequest)
{
    const SendStage sent = stage(dialect);
    const auto valid =
        dialect.decode(sent, result(200, {{"X-Request-Id", "r-1"}, {"X-Server-Seal", "s"}}));
    CHECK(std::get<StageAnswered>(valid).echoed == sent.call);
    const auto other =
        dialect.decode(sent, result(200, {{"X-Request-Id", "r-2"}, {"X-Server-Seal", "s"}}));
    CHECK(std::get<StageAnswered>(other).echoed != sent.call);
    const auto unsealed = dialect.decode(sent, result(200, {{"X-Request-Id", "r-1"}}));
    CHECK(std::get<StageAnswered>(unsealed).echoed != sent.call);
    const auto encoded = dialect.decode(sent, result(200, {{"X-Request-Id", "r-1"},
                                                           {"X-Server-Seal", "s"},
                                                           {"Content-Encoding", "gzip"}}));
    CHECK(std::get<StageAnswered>(encoded).echoed != sent.call);
}

TEST(Requests, OnlyAnEndpointsRefusalProvesNotRun)
{
    const SendStage sent = stage(dialect);
    const auto refused = dialect.decode(sent, result(503, {{"X-Not-Run", "1"}}));
    CHECK(std::get<StageFailed>(refused).evidence == SendEvidence::RefusedBeforeRun);
    const auto failed = dialect.decode(sent, result(503, {{"X-Request-Id", "r-1"}}));
    CHECK(std::get<StageFailed>(failed).evidence == SendEvidence::Sent);
    const auto other = dialect.decode(sent, result(421, {}));
    CHECK(std::get<StageFailed>(other).isEndpointReplaced);
    HttpResult unanswered;
    unanswered.sent = true;
    CHECK(std::get<StageFailed>(dialect.decode(sent, unanswered)).evidence == SendEvidence::Sent);
    unanswered.sent = false;
    CHECK(std::get<StageFailed>(dialect.decode(sent, unanswered)).evidence
          == SendEvidence::NothingSent);
}

TEST(Requests, RefusalStatusMatchesOutcome)
{
    AnswerCaller answer;
    answer.callerId = "r-1";
    answer.outcome = Outcome::NotRun;
    answer.reason = Reason::CannotFinish;
    answer.retryAfter = milliseconds(250);
    const HttpReply refusal = dialect.makeReply(answer);
    LONGS_EQUAL(503, refusal.status);
    CHECK(std::find(refusal.headers.begin(), refusal.headers.end(),
                    std::pair<std::string, std::string>("Retry-After", "0.250"))
          != refusal.headers.end());
    answer.outcome = Outcome::Unknown;
    LONGS_EQUAL(502, dialect.makeReply(answer).status);
    answer.reason = Reason::DeadlineExceeded;
    LONGS_EQUAL(504, dialect.makeReply(answer).status);
    answer.outcome = Outcome::NotRun;
    answer.reason = Reason::UnknownAccount;
    LONGS_EQUAL(401, dialect.makeReply(answer).status);
    answer.reason = Reason::Quarantined;
    LONGS_EQUAL(503, dialect.makeReply(answer).status);
    answer.outcome = Outcome::Unknown;
    LONGS_EQUAL(502, dialect.makeReply(answer).status);
}

TEST(Requests, ForwardsOnlyCompleteEvents)
{
    const SendStage sent = stage(dialect);
    ProxiedStream stream(dialect, sent);
    HttpResult head = result(200, {{"X-Request-Id", "r-1"},
                                   {"X-Server-Seal", "s"},
                                   {"Content-Type", "text/event-stream"},
                                   {"Transfer-Encoding", "chunked"}});
    LONGS_EQUAL(0, stream.handleBody(head, "id: 1\ndata: a").size());
    const std::vector<StageEvent> events = stream.handleBody(head, "\n\nid: 2\ndata: b\n\nid: 3");
    LONGS_EQUAL(2, events.size());
    STRCMP_EQUAL("id: 1\ndata: a\n\n", events[0].bytes.c_str());
    LONGS_EQUAL(2, events[1].eventId.value());
    // The stream ended within an event, so the answer is incomplete.
    CHECK(std::holds_alternative<StageFailed>(stream.finish(head)));
}

TEST(Requests, OnlyAnEventStreamIsTheEndOfAStream)
{
    const SendStage sent = stage(dialect);
    const auto kindOf = [&](int status, const std::string &contentType, const std::string &body) {
        ProxiedStream stream(dialect, sent);
        const HttpResult head = result(status, {{"X-Request-Id", "r-1"},
                                                {"X-Server-Seal", "s"},
                                                {"Content-Type", contentType},
                                                {"Transfer-Encoding", "chunked"}});
        (void)stream.handleBody(head, body);
        return std::get<StageAnswered>(stream.finish(head)).kind;
    };
    CHECK(kindOf(200, "text/event-stream", "id: 1\n\n") == AnswerKind::Stream);
    CHECK(kindOf(200, "Text/Event-Stream; charset=utf-8", "") == AnswerKind::Stream);
    CHECK(kindOf(200, "text/plain", "id: 1\n\n") == AnswerKind::Body);
    CHECK(kindOf(204, "", "") == AnswerKind::Body);
    for (const int status : {302, 304, 404}) {
        CHECK(kindOf(status, "text/event-stream", "id: 1\n\n") == AnswerKind::Error);
    }
}

TEST(Requests, ReadsThePositionOfEvents)
{
    const auto decode = [&](std::string_view event) {
        return dialect.decodeEvent(stage(dialect), unframedStream(), event);
    };
    CHECK(decode("id: 4\ndata: x\n\n").eventId == 4);
    CHECK_FALSE(decode("id: 4\n\n").isComment);
    CHECK_FALSE(decode("data: x\n\n").isComment);
    CHECK_FALSE(decode("id: four\n\n").isComment);
    CHECK(decode(": ping\n\n").isComment);
    CHECK(decode("event: ping\nretry: 5\n\n").isComment);
}

// Endpoints that send neither a length nor chunks end their answers by closing the connection.
// Taking such an end for a break cut the caller's reply and ran repeatable requests again.
TEST(Requests, UnframedStreamMayBeCompleteIfItEndsBetweenTwoEvents)
{
    const SendStage sent = stage(dialect);
    ProxiedStream stream(dialect, sent);
    const HttpResult head = unframedStream();
    LONGS_EQUAL(0, stream.handleBody(head, "id: 1\ndata: a\n").size());
    LONGS_EQUAL(2, stream.handleBody(head, "\nid: 2\r\ndata: b\r\n\r\n").size());
    const auto end = stream.finish(head);
    CHECK(std::holds_alternative<StageAnswered>(end));
    CHECK(std::get<StageAnswered>(end).echoed == sent.call);
    LONGS_EQUAL(200, std::get<StageAnswered>(end).proxied->status);
    CHECK(std::get<StageAnswered>(end).proxied->body.empty());
    CHECK(std::get<StageAnswered>(end).proxied->framing == AnswerFraming::Connection);
}

// The daemon gave its own length or chunks to answers whose end their endpoint had left open.
TEST(Requests, ARepliesEndIsMarkedOnlyIfItsEndpointMarkedIt)
{
    struct Case
    {
        std::string method;
        int status;
        std::pair<std::string, std::string> field;
        bool isMarked;
    };
    const std::vector<Case> cases = {{"POST", 200, {"X-Own", "1"}, false},
                                     {"POST", 200, {"Content-Length", "6"}, true},
                                     {"POST", 200, {"Transfer-Encoding", "chunked"}, true},
                                     {"POST", 200, {"Transfer-Encoding", "identity"}, false},
                                     {"POST", 503, {"X-Own", "1"}, false},
                                     {"POST", 204, {"X-Own", "1"}, true},
                                     {"GET", 304, {"X-Own", "1"}, true},
                                     {"HEAD", 200, {"X-Own", "1"}, true}};
    for (const Case &item : cases) {
        SendStage sent = stage(dialect);
        auto proxied = std::make_shared<ProxiedRequest>(*sent.proxied);
        proxied->method = item.method;
        sent.proxied = proxied;
        const HttpResult given =
            result(item.status, {{"X-Request-Id", "r-1"}, {"X-Server-Seal", "s"}, item.field});
        AnswerCaller answer;
        std::visit([&](const auto &end) { answer.proxied = end.proxied; },
                   dialect.decode(sent, given));
        const std::string text =
            item.method + " " + std::to_string(item.status) + " " + item.field.first;
        CHECK_TEXT(answer.proxied.has_value(), text.c_str());
        CHECK_EQUAL_TEXT(!item.isMarked, dialect.makeReply(answer).endsWithConnection,
                         text.c_str());
        const StageEvent event = dialect.decodeEvent(sent, given, "id: 1\n\n");
        CHECK_EQUAL_TEXT(!item.isMarked, dialect.makeHead(event.head).endsWithConnection,
                         text.c_str());
    }
    CHECK_FALSE(dialect.makeReply(AnswerCaller{}).endsWithConnection);
}

// A torn event must never reach the caller as the end of a complete answer.
TEST(Requests, UnframedStreamIsBrokenIfItEndsInsideAnEvent)
{
    const SendStage sent = stage(dialect);
    const HttpResult head = unframedStream();
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::size_t firstEnd = events.find("id: 2");
    for (std::size_t size = 1; size < events.size(); ++size) {
        ProxiedStream stream(dialect, sent);
        LONGS_EQUAL(size < firstEnd ? 0 : 1,
                    stream.handleBody(head, events.substr(0, size)).size());
        const auto end = stream.finish(head);
        CHECK_EQUAL(size != firstEnd, std::holds_alternative<StageFailed>(end));
        if (const auto *failed = std::get_if<StageFailed>(&end)) {
            CHECK(failed->evidence == SendEvidence::Sent);
            CHECK(failed->isBroken);
        }
    }
}

// A reset connection ends an answer between two events as well, but doesn't complete it.
TEST(Requests, UnframedStreamIsBrokenIfItsConnectionIsReset)
{
    const SendStage sent = stage(dialect);
    ProxiedStream stream(dialect, sent);
    HttpResult result = unframedStream();
    LONGS_EQUAL(1, stream.handleBody(result, "id: 1\ndata: a\n\n").size());
    result.status = 0;
    result.isBroken = true;
    result.error = "failure when receiving data from the peer";
    const auto end = stream.finish(result);
    CHECK(std::holds_alternative<StageFailed>(end));
    CHECK(std::get<StageFailed>(end).evidence == SendEvidence::Sent);
    CHECK(std::get<StageFailed>(end).isBroken);
}

// Endpoints cut off an answer that is left unread for some seconds, by a close that looks like the
// end of a stream without length or chunks. The caller must not take such a part for the whole.
TEST(Requests, UnframedStreamIsIncompleteIfItEndsAfterALongPause)
{
    const SendStage sent = stage(dialect);
    const auto finish = [&](HttpResult result, std::chrono::milliseconds pause) {
        ProxiedStream stream(dialect, sent);
        LONGS_EQUAL(1, stream.handleBody(result, "id: 1\ndata: a\n\n").size());
        result.longestPause = pause;
        return stream.finish(result);
    };
    const auto end = finish(unframedStream(), std::chrono::milliseconds(1000));
    CHECK(std::holds_alternative<StageFailed>(end));
    CHECK(std::get<StageFailed>(end).evidence == SendEvidence::Sent);
    // It may have been the regular end.
    CHECK_FALSE(std::get<StageFailed>(end).isBroken);
    const auto afterShortPause = finish(unframedStream(), std::chrono::milliseconds(999));
    CHECK(std::holds_alternative<StageAnswered>(afterShortPause));
    for (const auto &[framing, value] :
         {std::pair("transfer-encoding", "chunked"), std::pair("content-length", "14")}) {
        HttpResult framed = unframedStream();
        framed.headers[framing] = value;
        CHECK_TEXT(std::holds_alternative<StageAnswered>(
                       finish(framed, std::chrono::milliseconds(60'000))),
                   framing);
    }
}

// An event that never ends, and a body that never ends, must not be collected.
TEST(Requests, AnswersOverTheirBoundsAreNotHeld)
{
    const SendStage sent = stage(dialect);
    AnswerBounds bounds;
    bounds.eventBytes = 1000;
    bounds.bodyBytes = 2000;
    BufferBudget budget(1'000'000);
    for (const bool isStream : {true, false}) {
        ProxiedStream stream(dialect, sent, bounds, &budget);
        const HttpResult head = isStream ? unframedStream() : result(200, {});
        const std::size_t bound = isStream ? bounds.eventBytes : bounds.bodyBytes;
        LONGS_EQUAL(isStream ? 1 : 0, stream.handleBody(head, "data: a\n\n").size());
        for (std::size_t size = isStream ? 0 : 9; size < bound; ++size) {
            LONGS_EQUAL(0, stream.handleBody(head, "b").size());
        }
        CHECK_FALSE(stream.exceeded().has_value());
        LONGS_EQUAL(bound, budget.used());
        LONGS_EQUAL(0, stream.handleBody(head, "b").size());
        CHECK(stream.exceeded() == (isStream ? AnswerPart::Event : AnswerPart::Body));
        LONGS_EQUAL(0, budget.used());
        LONGS_EQUAL(0, stream.handleBody(head, "\n\ndata: c\n\n").size());
        LONGS_EQUAL(0, budget.used());
    }
}

// A whole event over the bound is rejected as well, however it arrives.
TEST(Requests, ALongEventIsRejectedAfterTheEventsBeforeIt)
{
    const SendStage sent = stage(dialect);
    AnswerBounds bounds;
    bounds.eventBytes = 1000;
    ProxiedStream stream(dialect, sent, bounds);
    const std::string longEvent = "data: " + std::string(1000, 'b') + "\n\n";
    LONGS_EQUAL(1, stream.handleBody(unframedStream(), "data: a\n\n" + longEvent).size());
    CHECK(stream.exceeded() == AnswerPart::Event);
}

/// An endpoint that is full reports so with its refusals; an answer with an unreadable report is
/// still a complete answer.
TEST(Requests, ReadsLoadReportsFromAllAnswersOfTheEndpoint)
{
    const SendStage sent = stage(dialect);
    const auto fields = [](const std::string &load) {
        return std::vector<std::pair<std::string, std::string>>{{"X-Request-Id", "r-1"},
                                                                {"X-Server-Seal", "s"},
                                                                {"X-Engine-Load", load},
                                                                {"X-Not-Run", ""}};
    };
    const auto check = [](const std::optional<EndpointNotice> &notice) {
        CHECK(notice->load == EndpointLoadReport({24, 3, 24, 180}));
    };
    const auto own = fields("24,3,24,180");
    check(std::get<StageAnswered>(dialect.decode(sent, result(200, own))).notice);
    check(std::get<StageFailed>(dialect.decode(sent, result(500, own))).notice);
    check(dialect.decodeEvent(sent, result(200, own), "id: 1\ndata: x\n\n").notice);
    auto refused = own;
    refused.back().second = "1";
    check(std::get<StageFailed>(dialect.decode(sent, result(503, refused))).notice);
    check(fleet::noticeOf(result(200, {{"X-Engine-Load", "24,3,24,180"}})));

    const auto answered =
        std::get<StageAnswered>(dialect.decode(sent, result(200, fields("24,3,24,-1"))));
    CHECK(!answered.notice->load);
    CHECK(answered.notice->isLoadUnreadable);
    STRCMP_EQUAL("x-engine-load: 24,3,24,-1", answered.notice->unreadable.c_str());
    LONGS_EQUAL(200, answered.proxied->status);
}

TEST(Requests, ReadsNoticesFromAllAnswersOfTheEndpoint)
{
    const SendStage sent = stage(dialect);
    const std::vector<std::pair<std::string, std::string>> own = {
        {"X-Request-Id", "r-1"}, {"X-Server-Seal", "s"}, {"Server-Limit", "1.5"},
        {"Server-Leaving", "1"}, {"Retry-After", "3"},   {"Content-Type", "text/event-stream"}};
    const auto check = [](const std::optional<EndpointNotice> &notice) {
        CHECK(notice.has_value());
        DOUBLES_EQUAL(1.5, *notice->requestsPerSecond, 1e-9);
        CHECK(notice->isLeaving);
    };
    check(std::get<StageAnswered>(dialect.decode(sent, result(200, own))).notice);
    check(std::get<StageFailed>(dialect.decode(sent, result(500, own))).notice);
    check(dialect.decodeEvent(sent, result(200, own), "id: 1\ndata: x\n\n").notice);
    auto refused = own;
    refused.emplace_back("X-Not-Run", "1");
    const auto refusal = std::get<StageFailed>(dialect.decode(sent, result(503, refused)));
    check(refusal.notice);
    CHECK(refusal.notice->pause == milliseconds(3000));
    // Another endpoint answers at the address, or none.
    CHECK(!std::get<StageFailed>(dialect.decode(sent, result(421, refused))).notice);
    CHECK(!std::get<StageFailed>(dialect.decode(sent, HttpResult{})).notice);
}
