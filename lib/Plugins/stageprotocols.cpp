//===- stageprotocols.cpp - Stage protocol plug-ins -----------------------===//
///
/// \file
/// "model-engine" uses the common completions API, "stage-pool" a plain call with
/// the request and the answer of the previous stage, and "plain-service" forwards
/// the caller's body.
///
//===----------------------------------------------------------------------===//

#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Config/jsontext.h"
#include "harelink/Kernel/registry.h"
#include "harelink/Support/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace harelink {
namespace {

constexpr int defaultTokens = 64;

/// Parses \p text as JSON; returns it as a JSON string if it is not JSON.
nlohmann::json asJson(const std::string &text)
{
    nlohmann::json parsed = parseJsonText(text);
    return parsed.is_discarded() ? nlohmann::json(text) : parsed;
}

absl::Status decodeError()
{
    return makeError(absl::StatusCode::kInternal, "decoding", "",
                     "the answer is not of the protocol");
}

class ModelEngine final : public StageProtocol
{
public:
    void encode(const SendStage &stage, HttpCall &call) const override
    {
        call.url += "/v1/completions";
        const nlohmann::json request = asJson(stage.request);
        nlohmann::json body;
        body["model"] = "default";
        body["prompt"] =
            stage.previous.empty() ? stage.request : stage.request + "\n" + stage.previous;
        body["max_tokens"] = defaultTokens;
        if (request.is_object() && request.contains("maxTokens")) {
            body["max_tokens"] = request["maxTokens"];
        }
        if (stage.streams) {
            body["stream"] = true;
            resume(stage, body);
        }
        call.body = dumpJson(body);
    }
    [[nodiscard]] bool streams() const override { return true; }
    absl::StatusOr<StreamEvent> decodeEvent(const std::string &data) const override
    {
        StreamEvent event;
        if (data == "[DONE]") {
            event.isLast = true;
            return event;
        }
        const nlohmann::json answer = parseJsonText(data);
        const nlohmann::json *choice = firstChoice(answer);
        if (choice == nullptr || !choice->contains("text") || !(*choice)["text"].is_string()) {
            return decodeError();
        }
        event.text = (*choice)["text"].get<std::string>();
        return event;
    }
    [[nodiscard]] std::string wholeAnswer(const std::string &text) const override
    {
        return dumpJson(text);
    }
    absl::StatusOr<std::string> decode(const std::string &body) const override
    {
        const nlohmann::json answer = parseJsonText(body);
        const nlohmann::json *choice = firstChoice(answer);
        if (choice == nullptr || !choice->contains("text") || !(*choice)["text"].is_string()) {
            return decodeError();
        }
        // A completion that ended for another reason is incomplete.
        const auto reason = choice->find("finish_reason");
        if (reason == choice->end() || (*reason != "stop" && *reason != "length")) {
            return decodeError();
        }
        return dumpJson((*choice)["text"]);
    }

private:
    /// Resumes the completion after the tokens that the caller already has, by appending
    /// them to the prompt.
    static void resume(const SendStage &stage, nlohmann::json &body)
    {
        body["prompt"] = body["prompt"].get<std::string>() + stage.textDelivered;
        if (body["max_tokens"].is_number_integer()) {
            const auto tokenLimit =
                std::max<std::int64_t>(0, body["max_tokens"].get<std::int64_t>());
            const auto delivered = static_cast<std::int64_t>(stage.tokensDelivered);
            body["max_tokens"] = std::max<std::int64_t>(0, tokenLimit - delivered);
        }
    }

    static const nlohmann::json *firstChoice(const nlohmann::json &answer)
    {
        const bool hasOne = answer.is_object() && answer.contains("choices")
                            && answer["choices"].is_array() && !answer["choices"].empty();
        return hasOne && answer["choices"][0].is_object() ? &answer["choices"][0] : nullptr;
    }
};

class StagePool final : public StageProtocol
{
public:
    void encode(const SendStage &stage, HttpCall &call) const override
    {
        call.url += "/v1/stages/" + stage.stage;
        nlohmann::json body;
        body["request"] = asJson(stage.request);
        if (!stage.previous.empty()) {
            body["previous"] = asJson(stage.previous);
        }
        call.body = dumpJson(body);
    }
    absl::StatusOr<std::string> decode(const std::string &body) const override
    {
        const nlohmann::json answer = parseJsonText(body);
        if (!answer.is_object() || !answer.contains("output")) {
            return decodeError();
        }
        return dumpJson(answer["output"]);
    }
};

class PlainService final : public StageProtocol
{
public:
    void encode(const SendStage &stage, HttpCall &call) const override
    {
        call.url += "/";
        call.body = stage.previous.empty() ? stage.request : stage.previous;
    }
    absl::StatusOr<std::string> decode(const std::string &body) const override { return body; }
};

const Registration<StageProtocol, ModelEngine> modelEngine("model-engine");
const Registration<StageProtocol, StagePool> stagePool("stage-pool");
const Registration<StageProtocol, PlainService> plainService("plain-service");

} // namespace
} // namespace harelink
