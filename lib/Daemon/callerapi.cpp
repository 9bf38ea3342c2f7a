//===- callerapi.cpp - HTTP API for callers -------------------------------===//

#include "harelink/Daemon/callerapi.h"

#include "harelink/Adapters/eventstream.h"
#include "harelink/Config/jsontext.h"
#include "harelink/Support/error.h"

#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace harelink {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxKeyLength = 200;
constexpr std::int64_t maxDeadlineMs = 600'000;
constexpr std::size_t sha256Bytes = 32;
constexpr std::string_view bearerPrefix = "Bearer ";

absl::Status badRequest(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, "reading the request", "", message);
}

bool isPrintable(const std::string &text)
{
    for (const char c : text) {
        if (c < ' ' || c > '~') {
            return false;
        }
    }
    return true;
}

absl::Status readDeadline(const std::string &text, RequestArrived &arrival)
{
    if (text.empty()) {
        return absl::OkStatus();
    }
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end || value < 1 || value > maxDeadlineMs) {
        return badRequest(
            fmt::format("header harelink-deadline-ms: must be from 1 to {}", maxDeadlineMs));
    }
    arrival.timeAllowed = milliseconds(value);
    return absl::OkStatus();
}

/// Returns the HTTP status for the reason and the outcome of \p answer.
int httpStatusFor(const AnswerCaller &answer)
{
    switch (answer.reason) {
    case Reason::None:
        return 200;
    case Reason::UnknownPipeline:
        return 404;
    case Reason::UnknownAccount:
        return 403;
    case Reason::KeyMissing:
        return 400;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::TooManyRequests:
        return 429;
    case Reason::CannotFinish:
    case Reason::NoEndpoint:
    case Reason::ClaimUnavailable:
    case Reason::Draining:
    case Reason::NotReady:
        return answer.outcome == Outcome::NotRun ? 503 : 504;
    case Reason::DeadlineExceeded:
    case Reason::CallerGone:
    case Reason::CallerTooSlow:
        return 504;
    case Reason::StageFailed:
        return answer.outcome == Outcome::NotRun ? 503 : 502;
    case Reason::KeyReused:
    case Reason::Quarantined:
        return 422;
    case Reason::MayHaveRun:
        return 409;
    }
    return 500;
}

std::string formatStageCosts(const std::vector<StageCost> &costs)
{
    std::string text;
    for (const StageCost &cost : costs) {
        text += fmt::format("{}{};dur={:.3f};cost={:.6f};sends={}", text.empty() ? "" : ", ",
                            cost.stage, toMilliseconds(cost.elapsed), cost.cost, cost.sends);
    }
    return text;
}

} // namespace

absl::StatusOr<CallerRequest> readCallerRequest(HttpRequest request)
{
    const std::vector<std::string> parts = request.pathParts();
    if (parts.size() != 4 || parts[0] != "v1" || parts[1] != "pipelines"
        || parts[3] != "requests") {
        return makeError(absl::StatusCode::kNotFound, "reading the request", "",
                         "no such path; post to /v1/pipelines/NAME/requests");
    }
    if (request.method != "POST") {
        return makeError(absl::StatusCode::kUnimplemented, "reading the request", "",
                         "only post is known here");
    }
    CallerRequest parsed;
    parsed.arrival.pipeline = parts[2];
    parsed.arrival.account = request.header("harelink-account");
    if (parsed.arrival.account.empty()) {
        return badRequest("header harelink-account: is missing");
    }
    parsed.arrival.idempotencyKey = request.header("idempotency-key");
    if (parsed.arrival.idempotencyKey.size() > maxKeyLength
        || !isPrintable(parsed.arrival.idempotencyKey)) {
        return badRequest(fmt::format(
            "header idempotency-key: must be at most {} printable characters", maxKeyLength));
    }
    const absl::Status deadline =
        readDeadline(request.header("harelink-deadline-ms"), parsed.arrival);
    if (!deadline.ok()) {
        return deadline;
    }
    if (!nlohmann::json::accept(request.body) || isNestedTooDeeply(request.body)) {
        return badRequest(
            fmt::format("the body is not valid json, or nested deeper than {}", maxJsonDepth));
    }
    const std::string authorization = request.header("authorization");
    if (authorization.compare(0, bearerPrefix.size(), bearerPrefix) == 0) {
        parsed.token = authorization.substr(bearerPrefix.size());
    }
    parsed.arrival.streams = request.header("accept").find(eventStreamType) != std::string::npos;
    parsed.arrival.traceparent = request.header("traceparent");
    parsed.arrival.body = std::move(request.body);
    return parsed;
}

HttpReply makeProblem(int status, std::string_view title, const absl::Status &error)
{
    nlohmann::json problem;
    problem["type"] = "about:blank";
    problem["title"] = title;
    problem["status"] = status;
    problem["detail"] = errorMessage(error);
    problem["step"] = errorStep(error);
    problem["peer"] = errorPeer(error);
    HttpReply reply;
    reply.status = status;
    reply.contentType = "application/problem+json";
    reply.body = dumpJson(problem);
    return reply;
}

HttpReply makeFirstStreamChunk(const StreamChunk &chunk)
{
    HttpReply reply = makeStreamChunk(chunk);
    reply.contentType = std::string(eventStreamType);
    reply.headers.emplace_back("Cache-Control", "no-store");
    reply.headers.emplace_back("Harelink-Request-Id", toText(chunk.id));
    return reply;
}

HttpReply makeStreamChunk(const StreamChunk &chunk)
{
    const nlohmann::json data = {{"token", chunk.firstToken}, {"text", chunk.text}};
    HttpReply reply;
    reply.body = formatEvent("token", dumpJson(data));
    reply.more = true;
    return reply;
}

HttpReply makeStreamEnd(const AnswerCaller &answer)
{
    nlohmann::json data = {{"outcome", toText(answer.outcome)},
                           {"requestId", toText(answer.id)},
                           {"tokens", answer.tokens},
                           {"stages", formatStageCosts(answer.costs)}};
    if (answer.outcome != Outcome::Completed) {
        data["reason"] = toText(answer.reason);
        data["detail"] = errorMessage(answer.error);
        data["step"] = errorStep(answer.error);
        data["peer"] = errorPeer(answer.error);
    }
    HttpReply reply;
    reply.body = formatEvent("outcome", dumpJson(data));
    return reply;
}

HttpReply makeCompleteStream(const AnswerCaller &answer)
{
    HttpReply reply = makeCallerReply(answer);
    const nlohmann::json body = parseJsonText(answer.body);
    const std::string whole = dumpJson(body.is_discarded() ? nlohmann::json(answer.body) : body);
    reply.contentType = std::string(eventStreamType);
    reply.body = formatEvent("answer", whole) + makeStreamEnd(answer).body;
    return reply;
}

HttpReply makeCallerReply(const AnswerCaller &answer)
{
    HttpReply reply;
    if (answer.outcome == Outcome::Completed) {
        reply.body = answer.body;
    } else {
        reply = makeProblem(httpStatusFor(answer), toText(answer.reason), answer.error);
    }
    reply.headers.emplace_back("Harelink-Request-Id", toText(answer.id));
    reply.headers.emplace_back("Harelink-Outcome", toText(answer.outcome));
    if (!answer.costs.empty()) {
        reply.headers.emplace_back("Harelink-Stages", formatStageCosts(answer.costs));
    }
    if (answer.replayed) {
        reply.headers.emplace_back("Harelink-Replayed", "true");
    }
    if (answer.outcome != Outcome::Completed && answer.retryAfter > Duration::zero()) {
        const double seconds = std::chrono::duration<double>(answer.retryAfter).count();
        reply.headers.emplace_back("Retry-After", fmt::format("{:.0f}", std::ceil(seconds)));
    }
    return reply;
}

bool tokenMatches(const std::string &token, const std::string &expected)
{
    std::array<unsigned char, sha256Bytes> digest{};
    unsigned length = 0;
    EVP_Digest(token.data(), token.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += fmt::format("{:02x}", byte);
    }
    return expected.size() == hex.size()
           && CRYPTO_memcmp(hex.data(), expected.data(), hex.size()) == 0;
}

} // namespace harelink
