//===- stagestreamtest.cpp - Tests of streamed answers --------------------===//

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Kernel/registry.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace harelink;

TEST_GROUP(EventReader){};

TEST(EventReader, ParsesEventsSplitAtAnyByte)
{
    const std::string body = ": a comment\r\ndata: one\r\n\r\nevent: x\ndata:two\ndata: lines\n\n";
    for (std::size_t step = 1; step <= body.size(); ++step) {
        EventReader reader;
        std::string all;
        for (std::size_t offset = 0; offset < body.size(); offset += step) {
            reader.feed(body.substr(offset, step));
            while (const std::optional<std::string> data = reader.next()) {
                all += "[" + *data + "]";
            }
        }
        STRCMP_EQUAL("[one][two\nlines]", all.c_str());
    }
}

TEST(EventReader, ParsesFormattedEvents)
{
    EventReader reader;
    reader.feed(formatEvent("token", "{\"a\":1}"));
    STRCMP_EQUAL("{\"a\":1}", reader.next().value_or("").c_str());
    CHECK(!reader.next());
}

TEST_GROUP(StageStream)
{
    std::unique_ptr<StageProtocol> protocol =
        Registry<StageProtocol>::instance().make("model-engine");
    SendStage stage;
    HttpResult head;

    void setup() override
    {
        stage.call = {{1, 2}, 3, 4};
        stage.request = R"({"nonce":"n","maxTokens":10})";
        stage.streams = true;
        stage.tokensDelivered = 2;
        stage.textDelivered = " a b";
        head.status = 200;
        head.headers = {{"content-type", "text/event-stream"},
                        {"x-request-id", toText(stage.call)}};
    }
    static std::string event(const std::string &text)
    {
        const nlohmann::json choice = {{"text", text}};
        return "data: " + nlohmann::json{{"choices", {choice}}}.dump() + "\n\n";
    }
};

TEST(StageStream, ResumedCallRequestsRemainingTokens)
{
    HttpCall call;
    protocol->encode(stage, call);
    const nlohmann::json body = nlohmann::json::parse(call.body);
    CHECK(body["stream"].get<bool>());
    CHECK_EQUAL(8, body["max_tokens"].get<int>());
    STRCMP_EQUAL((stage.request + " a b").c_str(), body["prompt"].get<std::string>().c_str());
}

TEST(StageStream, TokenNumbersContinueAfterDeliveredTokens)
{
    StageStream stream(*protocol, stage);
    const auto first = stream.handleBody(head, event(" c") + event(" d").substr(0, 5));
    CHECK_EQUAL(1u, first.size());
    CHECK_EQUAL(2u, first[0].firstToken);
    CHECK(first[0].echoed == stage.call);
    const auto second = stream.handleBody(head, event(" d").substr(5) + "data: [DONE]\n\n");
    CHECK_EQUAL(1u, second.size());
    CHECK_EQUAL(3u, second[0].firstToken);
    const auto end = stream.finish(head);
    STRCMP_EQUAL("\" a b c d\"", std::get<StageAnswered>(end).body.c_str());
}

TEST(StageStream, StreamWithoutLastEventFails)
{
    StageStream stream(*protocol, stage);
    (void)stream.handleBody(head, event(" c"));
    const auto end = stream.finish(head);
    CHECK(std::get<StageFailed>(end).evidence == SendEvidence::Sent);
}

TEST(StageStream, DecodesARefusal)
{
    stage.refusesBeforeRunning = true;
    StageStream stream(*protocol, stage);
    head.status = 429;
    head.headers["content-type"] = "application/json";
    CHECK_EQUAL(0u, stream.handleBody(head, "{}").size());
    const auto end = stream.finish(head);
    CHECK(std::get<StageFailed>(end).evidence == SendEvidence::RefusedBeforeRun);
}

TEST(StageStream, InvalidEventFailsTheStream)
{
    StageStream stream(*protocol, stage);
    CHECK_EQUAL(0u, stream.handleBody(head, "data: oops\n\n" + event(" c")).size());
    CHECK(std::holds_alternative<StageFailed>(stream.finish(head)));
}
