//===- harelink/Config/jsonreader.h - Validating JSON reader ----*- C++ -*-===//
///
/// \file
/// Reads a JSON object field by field and collects all validation errors with
/// their paths: wrong types, values out of range, missing and unknown fields.
/// Settings and resources share this reader, so their error messages have the
/// same form.
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

/// Validation errors found so far, each formatted as "path: message".
using Faults = std::vector<std::string>;

/// Parses JSON with comments. The error for invalid input contains \p origin and the line
/// number.
[[nodiscard]] absl::StatusOr<nlohmann::json> parseJson(std::string_view text,
                                                       std::string_view origin);

/// Returns whether \p text is an IPv4 address and a port of at least \p minPort.
[[nodiscard]] bool isSocketAddress(const std::string &text, unsigned minPort = 1);

/// Joins \p faults into one string, one error per line.
[[nodiscard]] std::string joinFaults(const Faults &faults);

/// Reads and validates the fields of one JSON object. Methods that find an invalid value add
/// an error and return a placeholder, so that reading can go on.
class JsonReader
{
public:
    /// \param value the JSON object; must outlive the reader.
    /// \param path path of the object within its document, for error messages.
    /// \param faults receives the validation errors; must outlive the reader.
    JsonReader(const nlohmann::json &value, std::string path, Faults &faults);

    /// Returns a required, non-empty string.
    std::string text(const std::string &field);
    /// Returns a string, or \p fallback if the field is absent.
    std::string text(const std::string &field, const std::string &fallback);
    /// Returns an array of strings; empty if the field is absent.
    std::vector<std::string> texts(const std::string &field);
    /// Returns a member object with arbitrary keys and string values as a map; empty if the
    /// field is absent.
    std::map<std::string, std::string> textsByName(const std::string &field);
    /// Returns an array of integers within [\p low, \p high]; empty if the field is absent.
    std::vector<std::int64_t> integers(const std::string &field, std::int64_t low,
                                       std::int64_t high);
    /// Returns a required name: at most 63 characters from lower-case letters, digits and '-'.
    std::string name(const std::string &field);
    /// Returns an integer within [\p low, \p high], or \p fallback if the field is absent. The
    /// field is required if there is no fallback.
    std::int64_t integer(const std::string &field, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /// Returns a number within [\p low, \p high], or \p fallback if the field is absent.
    double number(const std::string &field, double low, double high, double fallback);
    /// Returns a boolean, or \p fallback if the field is absent.
    bool boolean(const std::string &field, bool fallback);
    /// Returns a duration in whole milliseconds within [\p low, \p high], or \p fallback if the
    /// field is absent.
    std::chrono::milliseconds milliseconds(const std::string &field, std::chrono::milliseconds low,
                                           std::chrono::milliseconds high,
                                           std::optional<std::chrono::milliseconds> fallback);
    /// Returns a required "address:port" with an IPv4 address; host names are rejected.
    std::string endpointAddress(const std::string &field);
    /// Returns the same for an address to listen on, where port 0 requests any free one.
    std::string listenAddress(const std::string &field);
    /// Returns one of \p choices, or \p fallback if the field is absent. The field is required
    /// if there is no fallback.
    std::string choice(const std::string &field, const std::vector<std::string> &choices,
                       std::optional<std::string> fallback = std::nullopt);
    /// Returns a reader for each element of an array that must have from \p minCount to
    /// \p maxCount elements. The field may be absent if \p minCount is 0.
    std::vector<JsonReader> objects(const std::string &field, std::size_t minCount,
                                    std::size_t maxCount);
    /// Returns a reader for a required member object.
    JsonReader object(const std::string &field);
    /// Returns whether the field is present and marks it as known.
    bool has(const std::string &field);
    /// Adds a validation error for \p field.
    void fault(const std::string &field, std::string_view message);
    /// Adds an error for each field that was never read. Must be called last.
    void finish();

private:
    const nlohmann::json *find(const std::string &field);
    std::string address(const std::string &field, unsigned minPort);
    std::string pathOf(const std::string &field) const;

    const nlohmann::json *m_value;
    std::string m_path;
    Faults *m_faults;
    std::set<std::string> m_knownFields;
};

} // namespace harelink

#endif // HARELINK_CONFIG_JSONREADER_H
