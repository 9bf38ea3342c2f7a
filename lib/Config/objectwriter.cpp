//===- objectwriter.cpp - Stored object writing ---------------------------===//

#include "harelink/Config/objectwriter.h"

#include "harelink/Config/jsontext.h"

#include <fmt/format.h>

#include <algorithm>

namespace harelink {
namespace {

constexpr const char *drainEndField = "endedMs";
/// Length up to which an invalid count is quoted in a message.
constexpr std::size_t maxQuotedLength = 64;

/// Returns the count as stated, or std::nullopt if there is none. Most objects are read without
/// parsing them, since thousands of endpoints state no count.
std::optional<nlohmann::json> generationValue(const std::string &value)
{
    if (value.find(generationField) == std::string::npos) {
        return std::nullopt;
    }
    const nlohmann::json document = parseJsonText(value, JsonComments::Ignored);
    if (!document.is_object() || !document.contains(generationField)) {
        return std::nullopt;
    }
    return document.at(generationField);
}

bool isValidGeneration(const nlohmann::json &value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= maxGeneration;
}

} // namespace

std::optional<std::uint64_t> statedGeneration(const std::string &value)
{
    const std::optional<nlohmann::json> stated = generationValue(value);
    return stated && isValidGeneration(*stated) ? std::optional(stated->get<std::uint64_t>())
                                                : std::nullopt;
}

std::optional<std::string> generationFault(const std::string &value)
{
    const std::optional<nlohmann::json> stated = generationValue(value);
    if (!stated || isValidGeneration(*stated)) {
        return std::nullopt;
    }
    const std::string text = dumpJson(*stated);
    return fmt::format("{}: {} is not an integer from 0 to {}; the object is read without it",
                       generationField, text.substr(0, maxQuotedLength), maxGeneration);
}

nlohmann::json withNextGeneration(nlohmann::json document, const std::string &stored, WallTime now)
{
    const std::chrono::microseconds sinceEpoch = now.time_since_epoch();
    const auto wallMicros =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, sinceEpoch.count()));
    const std::uint64_t next = std::max(statedGeneration(stored).value_or(0), wallMicros) + 1;
    document[generationField] = std::min(next, maxGeneration);
    return document;
}

nlohmann::json withoutGeneration(const std::string &value)
{
    nlohmann::json document = parseJsonText(value, JsonComments::Ignored);
    if (!document.is_object()) {
        return {};
    }
    document.erase(generationField);
    return document;
}

nlohmann::json withDrainEnd(nlohmann::json drain, WallTime now)
{
    drain["spec"][drainEndField] = std::max<std::int64_t>(0, now.time_since_epoch().count());
    return drain;
}

std::optional<WallTime> drainEnd(const nlohmann::json &document)
{
    if (!document.is_object() || document.value("kind", nlohmann::json()) != "DataCentreDrain") {
        return std::nullopt;
    }
    const nlohmann::json spec = document.value("spec", nlohmann::json());
    if (!spec.is_object() || !spec.contains(drainEndField)
        || !spec.at(drainEndField).is_number_integer()) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(spec.at(drainEndField).get<std::int64_t>()));
}

} // namespace harelink
