//===- jsontext.cpp - JSON of other writers -------------------------------===//

#include "harelink/Config/jsontext.h"

#include <utility>

namespace harelink {
namespace {

using nlohmann::json;

/// Ends the parsing of a text that is nested too deeply.
class DepthLimit final : public json::json_sax_t
{
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(json::number_integer_t /*value*/) override { return true; }
    bool number_unsigned(json::number_unsigned_t /*value*/) override { return true; }
    bool number_float(json::number_float_t /*value*/, const json::string_t & /*text*/) override
    {
        return true;
    }
    bool string(json::string_t & /*value*/) override { return true; }
    bool binary(json::binary_t & /*value*/) override { return true; }
    bool key(json::string_t & /*name*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        return false;
    }

    [[nodiscard]] bool isExceeded() const { return m_depth > maxJsonDepth; }

private:
    bool enter()
    {
        ++m_depth;
        return !isExceeded();
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
};

/// Finds where values end, by quotes and brackets only.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : m_text(text)
    {
    }

    [[nodiscard]] bool atEnd()
    {
        skipSpace();
        return m_position == m_text.size();
    }

    /// Skips \p c if it comes next; returns whether it did.
    bool consume(char c)
    {
        const bool isNext = !atEnd() && m_text[m_position] == c;
        m_position += isNext ? 1 : 0;
        return isNext;
    }

    /// Returns the next string, with its quotes.
    std::optional<std::string_view> string()
    {
        if (atEnd() || m_text[m_position] != '"') {
            return std::nullopt;
        }
        const std::size_t begin = m_position;
        return skipString() ? std::optional(m_text.substr(begin, m_position - begin))
                            : std::nullopt;
    }

    /// Returns the next value; empty if none precedes the next comma or bracket.
    std::optional<std::string_view> value()
    {
        if (atEnd()) {
            return std::nullopt;
        }
        const std::size_t begin = m_position;
        const char first = m_text[m_position];
        bool isComplete = true;
        if (first == '{' || first == '[') {
            isComplete = skipBrackets();
        } else if (first == '"') {
            isComplete = skipString();
        } else {
            skipScalar();
        }
        return isComplete ? std::optional(m_text.substr(begin, m_position - begin)) : std::nullopt;
    }

private:
    static bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

    void skipSpace()
    {
        while (m_position < m_text.size() && isSpace(m_text[m_position])) {
            ++m_position;
        }
    }

    bool skipString()
    {
        for (++m_position; m_position < m_text.size(); ++m_position) {
            const char c = m_text[m_position];
            if (c == '"') {
                ++m_position;
                return true;
            }
            m_position += c == '\\' ? 1 : 0;
        }
        return false;
    }

    bool skipBrackets()
    {
        std::size_t depth = 0;
        while (m_position < m_text.size()) {
            const char c = m_text[m_position];
            if (c == '"') {
                if (!skipString()) {
                    return false;
                }
                continue;
            }
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= c == '}' || c == ']' ? 1 : 0;
            ++m_position;
            if (depth == 0) {
                return true;
            }
        }
        return false;
    }

    void skipScalar()
    {
        const auto ends = [](char c) { return c == ',' || c == ']' || c == '}' || isSpace(c); };
        while (m_position < m_text.size() && !ends(m_text[m_position])) {
            ++m_position;
        }
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

/// Returns the name that is quoted in \p text; std::nullopt if it can't be represented.
std::optional<std::string> readName(std::string_view text)
{
    if (text.find('\\') == std::string_view::npos) {
        return std::string(text.substr(1, text.size() - 2));
    }
    const json name = parseJsonText(text);
    return name.is_string() ? std::optional(name.get<std::string>()) : std::nullopt;
}

} // namespace

bool isNestedTooDeeply(std::string_view text, JsonComments comments)
{
    DepthLimit limit;
    (void)json::sax_parse(text, &limit, json::input_format_t::json, true,
                          comments == JsonComments::Ignored);
    return limit.isExceeded();
}

nlohmann::json parseJsonText(std::string_view text, JsonComments comments)
{
    if (isNestedTooDeeply(text, comments)) {
        return {json::value_t::discarded};
    }
    return json::parse(text, nullptr, false, comments == JsonComments::Ignored);
}

std::string dumpJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JsonMembers> splitJsonObject(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.consume('{')) {
        return std::nullopt;
    }
    JsonMembers members;
    if (scanner.consume('}')) {
        return scanner.atEnd() ? std::optional(std::move(members)) : std::nullopt;
    }
    do {
        const std::optional<std::string_view> name = scanner.string();
        if (!name || !scanner.consume(':')) {
            return std::nullopt;
        }
        const std::optional<std::string_view> value = scanner.value();
        if (!value) {
            return std::nullopt;
        }
        if (std::optional<std::string> readable = readName(*name)) {
            members.insert_or_assign(*std::move(readable), *value);
        }
    } while (scanner.consume(','));
    return scanner.consume('}') && scanner.atEnd() ? std::optional(std::move(members))
                                                   : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    Scanner scanner(text);
    if (!scanner.consume('[')) {
        return std::nullopt;
    }
    std::vector<std::string_view> elements;
    if (scanner.consume(']')) {
        return scanner.atEnd() ? std::optional(std::move(elements)) : std::nullopt;
    }
    do {
        const std::optional<std::string_view> value = scanner.value();
        if (!value) {
            return std::nullopt;
        }
        elements.push_back(*value);
    } while (scanner.consume(','));
    return scanner.consume(']') && scanner.atEnd() ? std::optional(std::move(elements))
                                                   : std::nullopt;
}

} // namespace harelink
