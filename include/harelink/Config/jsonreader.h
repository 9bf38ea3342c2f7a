//===- harelink/Config/jsonreader.h - Checked reading of JSON ---*- C++ -*-===//
///
/// \file
/// Reads a JSON object field by field and lists every fault with its path:
/// wrong types, values out of range, missing and unknown fields. Settings and
/// resources are both read through it, so their errors read alike.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_JSONREADER_H
#define HARELINK_CONFIG_JSONREADER_H

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// All faults found so far, each as "path: what is wrong".
using Faults = std::vector<std::string>;

/// Parses JSON with comments; an error names \p origin, the line and the column.
[[nodiscard]] absl::StatusOr<nlohmann::json> parseJson(std::string_view text,
                                                       std::string_view origin);

/// Joins \p faults into one text, one fault a line.
[[nodiscard]] std::string joinFaults(const Faults &faults);

/// Reads one JSON object.
class JsonReader
{
public:
    /// \param value the object; must outlive the reader.
    /// \param path where it stands, for messages.
    /// \param faults where faults are added; must outlive the reader.
    JsonReader(const nlohmann::json &value, std::string path, Faults &faults);

    /// A text that must be there and not be empty.
    std::string text(const std::string &field);
    /// A text, or \p fallback where the field is absent.
    std::string text(const std::string &field, const std::string &fallback);
    /// A list of texts; empty where the field is absent.
    std::vector<std::string> texts(const std::string &field);
    /// A member object whose members are texts, each under a name of its own; empty where the
    /// field is absent.
    std::map<std::string, std::string> textsByName(const std::string &field);
    /// A list of whole numbers within [\p low, \p high]; empty where the field is absent.
    std::vector<std::int64_t> integers(const std::string &field, std::int64_t low,
                                       std::int64_t high);
    /// A name: lower-case letters, digits and '-', at most 63.
    std::string name(const std::string &field);
    /// A whole number within [\p low, \p high], or \p fallback.
    std::int64_t integer(const std::string &field, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /// A number within [\p low, \p high], or \p fallback.
    double number(const std::string &field, double low, double high, double fallback);
    /// True or false, or \p fallback.
    bool boolean(const std::string &field, bool fallback);
    /// A time in whole milliseconds within [\p low, \p high], or \p fallback.
    std::chrono::milliseconds milliseconds(const std::string &field, std::chrono::milliseconds low,
                                           std::chrono::milliseconds high,
                                           std::optional<std::chrono::milliseconds> fallback);
    /// An "address:port" with an IP number.
    std::string endpointAddress(const std::string &field);
    /// One of \p choices, or \p fallback where given.
    std::string choice(const std::string &field, const std::vector<std::string> &choices,
                       std::optional<std::string> fallback = std::nullopt);
    /// The member objects of an array, each with its path.
    std::vector<JsonReader> objects(const std::string &field, std::size_t least, std::size_t most);
    /// A member object that must be there.
    JsonReader object(const std::string &field);
    /// Whether the field is there; marks it as known.
    bool has(const std::string &field);
    /// Adds a fault at \p field.
    void fault(const std::string &field, std::string_view message);
    /// Faults every field that nobody asked for. Call last.
    void finish();

private:
    const nlohmann::json *find(const std::string &field);
    std::string pathOf(const std::string &field) const;

    const nlohmann::json *m_value;
    std::string m_path;
    Faults *m_faults;
    std::set<std::string> m_known;
};

} // namespace harelink

#endif // HARELINK_CONFIG_JSONREADER_H
