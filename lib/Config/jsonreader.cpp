//===- jsonreader.cpp - Validating JSON reader ----------------------------===//

#include "harelink/Config/jsonreader.h"

#include "harelink/Config/jsontext.h"
#include "harelink/Support/error.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace harelink {
namespace {

constexpr std::size_t maxNameLength = 63;
/// Maximum number of characters of an invalid value that a fault quotes.
constexpr std::size_t maxQuotedLength = 64;
constexpr unsigned maxPort = 65535;

const nlohmann::json &emptyObject()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

} // namespace

absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::string_view origin)
{
    if (isNestedTooDeeply(text, JsonComments::Ignored)) {
        return makeError(absl::StatusCode::kInvalidArgument, "parsing", origin,
                         fmt::format("is nested deeper than {}", maxJsonDepth));
    }
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        const auto end =
            text.begin()
            + static_cast<std::ptrdiff_t>(std::min<std::size_t>(error.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        return makeError(absl::StatusCode::kInvalidArgument, "parsing", origin,
                         fmt::format("line {}: invalid JSON (comments are allowed)", line));
    } catch (const nlohmann::json::out_of_range &) {
        // Has no position.
        return makeError(absl::StatusCode::kInvalidArgument, "parsing", origin,
                         "invalid JSON: number out of range");
    }
}

bool isSocketAddress(const std::string &text, unsigned minPort)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || text.find('\0') != std::string::npos) {
        return false;
    }
    const std::string host = text.substr(0, colon);
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
        return false;
    }
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && rest == end && port >= minPort && port <= maxPort;
}

std::string joinFaults(const Faults &faults)
{
    return fmt::format("{}", fmt::join(faults, "\n"));
}

JsonReader::JsonReader(const nlohmann::json &value, std::string path, Faults &faults)
    : m_value(&value)
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!value.is_object()) {
        m_faults->push_back(fmt::format("{}: must be an object", m_path));
        m_value = &emptyObject();
    }
}

std::string JsonReader::pathOf(const std::string &field) const
{
    return m_path.empty() ? field : fmt::format("{}.{}", m_path, field);
}

void JsonReader::fault(const std::string &field, std::string_view message)
{
    m_faults->push_back(fmt::format("{}: {}", pathOf(field), message));
}

const nlohmann::json *JsonReader::find(const std::string &field)
{
    m_knownFields.insert(field);
    const auto found = m_value->find(field);
    return found == m_value->end() ? nullptr : &*found;
}

bool JsonReader::has(const std::string &field)
{
    return find(field) != nullptr;
}

std::string JsonReader::text(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        fault(field, "is missing");
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        fault(field, "must be a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::string JsonReader::text(const std::string &field, const std::string &fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        fault(field, "must be a string");
        return fallback;
    }
    return value->get<std::string>();
}

std::vector<std::string> JsonReader::texts(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        return {};
    }
    const bool areStrings = value->is_array()
                            && std::all_of(value->begin(), value->end(),
                                           [](const auto &item) { return item.is_string(); });
    if (!areStrings) {
        fault(field, "must be an array of strings");
        return {};
    }
    return value->get<std::vector<std::string>>();
}

std::map<std::string, std::string> JsonReader::textsByName(const std::string &field)
{
    std::map<std::string, std::string> texts;
    if (!has(field)) {
        return texts;
    }
    const nlohmann::json &value = *find(field);
    if (!value.is_object()) {
        fault(field, "must be an object");
        return texts;
    }
    for (const auto &[name, text] : value.items()) {
        if (text.is_string() && !text.get_ref<const std::string &>().empty()) {
            texts[name] = text.get<std::string>();
        } else {
            fault(fmt::format("{}.{}", field, name), "must be a non-empty string");
        }
    }
    return texts;
}

std::vector<std::int64_t> JsonReader::integers(const std::string &field, std::int64_t low,
                                               std::int64_t high)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        return {};
    }
    const auto isWithin = [low, high](const nlohmann::json &item) {
        return item.is_number_integer() && item.get<std::int64_t>() >= low
               && item.get<std::int64_t>() <= high;
    };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isWithin)) {
        fault(field, fmt::format("must be an array of integers from {} to {}", low, high));
        return {};
    }
    return value->get<std::vector<std::int64_t>>();
}

std::string JsonReader::name(const std::string &field)
{
    std::string value = text(field);
    if (value.empty()) {
        return value;
    }
    if (value.size() > maxNameLength || !std::all_of(value.begin(), value.end(), isNameCharacter)) {
        fault(field, "must be a name of at most 63 lower-case letters, digits and '-'");
    }
    return value;
}

std::int64_t JsonReader::integer(const std::string &field, std::int64_t low, std::int64_t high,
                                 std::optional<std::int64_t> fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr && fallback) {
        return *fallback;
    }
    if (value == nullptr) {
        fault(field, "is missing");
        return low;
    }
    if (!value->is_number_integer()) {
        fault(field, "must be an integer");
        return low;
    }
    const auto number = value->get<std::int64_t>();
    if (number < low || number > high) {
        fault(field, fmt::format("must be from {} to {}", low, high));
        return low;
    }
    return number;
}

double JsonReader::number(const std::string &field, double low, double high, double fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number()) {
        fault(field, "must be a number");
        return fallback;
    }
    const auto number = value->get<double>();
    if (!(number >= low && number <= high)) {
        fault(field, fmt::format("must be from {} to {}", low, high));
        return fallback;
    }
    return number;
}

bool JsonReader::boolean(const std::string &field, bool fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::chrono::milliseconds
JsonReader::milliseconds(const std::string &field, std::chrono::milliseconds low,
                         std::chrono::milliseconds high,
                         std::optional<std::chrono::milliseconds> fallback)
{
    std::optional<std::int64_t> number;
    if (fallback) {
        number = fallback->count();
    }
    return std::chrono::milliseconds(integer(field, low.count(), high.count(), number));
}

std::string JsonReader::endpointAddress(const std::string &field)
{
    return address(field, 1);
}

std::string JsonReader::listenAddress(const std::string &field)
{
    return address(field, 0);
}

std::string JsonReader::address(const std::string &field, unsigned minPort)
{
    std::string value = text(field);
    if (!value.empty() && !isSocketAddress(value, minPort)) {
        fault(field, "must be an IPv4 address and a port, such as 127.0.0.1:8080");
    }
    return value;
}

std::string JsonReader::choice(const std::string &field, const std::vector<std::string> &choices,
                               std::optional<std::string> fallback)
{
    if (!has(field) && fallback) {
        return *fallback;
    }
    std::string value = text(field);
    if (value.empty()) {
        return value;
    }
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        fault(field, fmt::format("'{}' is unknown; valid values are: {}",
                                 value.substr(0, maxQuotedLength), fmt::join(choices, ", ")));
    }
    return value;
}

std::vector<JsonReader> JsonReader::objects(const std::string &field, std::size_t minCount,
                                            std::size_t maxCount)
{
    std::vector<JsonReader> readers;
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        if (minCount > 0) {
            fault(field, "is missing");
        }
        return readers;
    }
    if (!value->is_array()) {
        fault(field, "must be an array");
        return readers;
    }
    if (value->size() < minCount || value->size() > maxCount) {
        fault(field, fmt::format("must have from {} to {} elements, has {}", minCount, maxCount,
                                 value->size()));
        return readers;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        readers.emplace_back((*value)[i], fmt::format("{}[{}]", pathOf(field), i), *m_faults);
    }
    return readers;
}

JsonReader JsonReader::object(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr) {
        fault(field, "is missing");
        value = &emptyObject();
    }
    return {*value, pathOf(field), *m_faults};
}

void JsonReader::finish()
{
    for (const auto &[field, value] : m_value->items()) {
        if (!m_knownFields.contains(field)) {
            fault(field, "is an unknown field");
        }
    }
}

} // namespace harelink
