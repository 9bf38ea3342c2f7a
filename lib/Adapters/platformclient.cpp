//===- platformclient.cpp - Object API over HTTP --------------------------===//

#include "harelink/Adapters/platformclient.h"

#include "harelink/Config/jsontext.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace harelink {
namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

std::string objectUrl(const PlatformCall &call, const std::string &address)
{
    return fmt::format("http://{}/v1/objects/{}/{}", address, call.kind, call.name);
}

PlatformObject readObject(const nlohmann::json &from)
{
    PlatformObject object;
    object.kind = from.at("kind").get<std::string>();
    object.name = from.at("name").get<std::string>();
    object.version = from.at("version").get<std::uint64_t>();
    object.deleted = from.value("deleted", false);
    object.value = from.value("value", std::string());
    return object;
}

PlatformObject readHost(const nlohmann::json &from)
{
    PlatformObject object;
    object.name = from.at("host").get<std::string>();
    object.value = dumpJson(from);
    return object;
}

/// Reads the elements of the array \p name, if there is one, with \p read, which throws a JSON
/// exception. Each is parsed by itself, so that an unreadable one hides no other.
template <typename Read>
bool readObjects(const JsonMembers &body, std::string_view name, const Read &read,
                 PlatformResult &result)
{
    const auto found = body.find(name);
    if (found == body.end() || found->second == "null") {
        return true;
    }
    const std::optional<std::vector<std::string_view>> elements = splitJsonArray(found->second);
    if (!elements) {
        return false;
    }
    for (const std::string_view element : *elements) {
        try {
            result.objects.push_back(read(parseJsonText(element)));
        } catch (const nlohmann::json::exception &) {
            ++result.unreadable; // The caller counts and logs it.
        }
    }
    return true;
}

/// Reads the answer of the platform; returns false if it is invalid.
bool readBody(const std::string &text, PlatformResult &result)
{
    const std::optional<JsonMembers> body = splitJsonObject(text);
    if (!body || !readObjects(*body, "objects", readObject, result)
        || !readObjects(*body, "hosts", readHost, result)) {
        return false;
    }
    if (const auto version = body->find("version"); version != body->end()) {
        const nlohmann::json number = parseJsonText(version->second);
        if (!number.is_number_unsigned()) {
            return false;
        }
        result.version = number.get<std::uint64_t>();
    }
    if (const auto value = body->find("value"); value != body->end()) {
        const nlohmann::json string = parseJsonText(value->second);
        if (!string.is_string()) {
            return false;
        }
        result.value = string.get<std::string>();
    }
    return true;
}

} // namespace

PlatformOutcome storeCallOutcome(const HttpResult &result)
{
    switch (result.status) {
    case statusOk:
    case statusCreated:
        return PlatformOutcome::Ok;
    case statusNotFound:
        return PlatformOutcome::NotFound;
    case statusConflict:
        return PlatformOutcome::Conflict;
    case statusGone:
        return PlatformOutcome::Gone;
    case statusTooManyRequests:
    case statusUnavailable:
        return PlatformOutcome::Refused;
    case 0:
        return result.sent ? PlatformOutcome::Unanswered : PlatformOutcome::Refused;
    default:
        // After a server error it is unknown whether the call took effect.
        return PlatformOutcome::Unanswered;
    }
}

std::optional<std::uint64_t> storeEraIn(const HttpResult &result)
{
    std::uint64_t era = 0;
    return absl::SimpleAtoi(result.header("store-era"), &era) ? std::optional(era) : std::nullopt;
}

HttpCall encodePlatformCall(const PlatformCall &call, const std::string &address, Duration timeout)
{
    HttpCall http;
    http.timeout = timeout;
    http.connectTimeout = timeout;
    switch (call.operation) {
    case PlatformOperation::Get:
        http.url = objectUrl(call, address);
        break;
    case PlatformOperation::Put:
        http.method = "PUT";
        http.url =
            fmt::format("{}?ifVersion={}", objectUrl(call, address), call.ifVersion.revision);
        http.body = dumpJson(nlohmann::json{{"value", call.value}});
        http.headers.emplace_back("Content-Type: application/json");
        break;
    case PlatformOperation::Delete:
        http.method = "DELETE";
        http.url =
            fmt::format("{}?ifVersion={}", objectUrl(call, address), call.ifVersion.revision);
        break;
    case PlatformOperation::List:
        http.url = fmt::format("http://{}/v1/objects?kind={}", address, call.kind);
        break;
    case PlatformOperation::Watch:
        http.url =
            fmt::format("http://{}/v1/watch?kind={}&since={}&waitMs={}", address, call.kind,
                        call.since.revision,
                        std::chrono::duration_cast<std::chrono::milliseconds>(call.wait).count());
        http.timeout += call.wait;
        break;
    case PlatformOperation::Hosts:
        http.url = fmt::format("http://{}/v1/hosts", address);
        break;
    }
    return http;
}

PlatformResult decodePlatformResult(std::uint64_t id, const HttpResult &http)
{
    PlatformResult result;
    result.id = id;
    result.outcome = storeCallOutcome(http);
    result.era = storeEraIn(http);
    if (result.outcome != PlatformOutcome::Ok && result.outcome != PlatformOutcome::Conflict) {
        return result;
    }
    if (!readBody(http.body, result)) {
        // An invalid answer counts as unanswered.
        result.outcome = PlatformOutcome::Unanswered;
    }
    return result;
}

} // namespace harelink
