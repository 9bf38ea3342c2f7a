//===- harelink/Config/jsontext.h - JSON of other writers -------*- C++ -*-===//
///
/// \file
/// Decodes JSON that callers, endpoints or other writers of the object store wrote. All functions
/// are total: copying, comparing and dumping a nlohmann::json are recursive, so nesting is bounded,
/// and a text that holds the values of several writers is split without parsing these, as a parser
/// rejects all of them for the first that it can't represent.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_JSONTEXT_H
#define HARELINK_CONFIG_JSONTEXT_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// Maximum nesting of arrays and objects in JSON of other writers.
inline constexpr std::size_t maxJsonDepth = 128;

enum class JsonComments {
    Invalid,
    Ignored,
};

/// Returns whether \p text is nested deeper than maxJsonDepth, up to its first error.
[[nodiscard]] bool isNestedTooDeeply(std::string_view text,
                                     JsonComments comments = JsonComments::Invalid);

/// Parses \p text. The value is discarded if the text is invalid, has a number out of range or text
/// that isn't Unicode, or is nested too deeply.
[[nodiscard]] nlohmann::json parseJsonText(std::string_view text,
                                           JsonComments comments = JsonComments::Invalid);

/// Returns \p value as JSON. Bytes that aren't UTF-8 are replaced.
[[nodiscard]] std::string dumpJson(const nlohmann::json &value);

/// The members of an object by name; each value is the text of one, which isn't parsed and may be
/// invalid. Of members of the same name, the last.
using JsonMembers = std::map<std::string, std::string_view, std::less<>>;

/// Returns the members of the object in \p text, as views into it; std::nullopt if \p text isn't
/// an object.
[[nodiscard]] std::optional<JsonMembers> splitJsonObject(std::string_view text);

/// Returns the text of each element of the array in \p text, as views into it; std::nullopt if
/// \p text isn't an array.
[[nodiscard]] std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

} // namespace harelink

#endif // HARELINK_CONFIG_JSONTEXT_H
