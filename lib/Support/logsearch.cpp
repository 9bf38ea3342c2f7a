//===- logsearch.cpp - Log search -----------------------------------------===//

#include "harelink/Support/logsearch.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace harelink {
namespace {

constexpr std::string_view timeField = "time=";

/// Returns the word before the time, which is the host as added by a log collector, or \p file if
/// there is none.
std::string sourceOf(const std::string &file, std::string_view before)
{
    while (!before.empty() && before.back() == ' ') {
        before.remove_suffix(1);
    }
    const std::size_t space = before.rfind(' ');
    const std::string_view word =
        space == std::string_view::npos ? before : before.substr(space + 1);
    return word.empty() ? file : std::string(word);
}

} // namespace

std::string_view logField(std::string_view line, std::string_view name)
{
    std::size_t offset = 0;
    while (offset < line.size()) {
        const std::size_t equals = line.find('=', offset);
        if (equals == std::string_view::npos) {
            return {};
        }
        const std::string_view found = line.substr(offset, equals - offset);
        std::size_t end = equals + 1;
        if (end < line.size() && line[end] == '"') {
            // Quotes inside the value are escaped.
            for (++end; end < line.size() && line[end] != '"'; ++end) {
                end += line[end] == '\\' ? 1 : 0;
            }
            end = std::min(end + 1, line.size());
        } else {
            end = std::min(line.find(' ', end), line.size());
        }
        if (found == name) {
            return line.substr(equals + 1, end - equals - 1);
        }
        offset = end + 1;
    }
    return {};
}

void LogSearch::add(const std::string &file, const std::string &line)
{
    const std::size_t offset = line.find(timeField);
    if (offset == std::string::npos) {
        return;
    }
    const std::string_view fields = std::string_view(line).substr(offset);
    const std::string_view request = logField(fields, "request");
    if (!request.empty() && request != m_request) {
        return;
    }
    LogLine found;
    found.source = sourceOf(file, std::string_view(line).substr(0, offset));
    found.time = std::string(logField(fields, "time"));
    const std::size_t space = std::min(fields.find(' '), fields.size());
    found.text = std::string(fields.substr(std::min(space + 1, fields.size())));
    found.namesRequest = !request.empty();
    m_lines.push_back(std::move(found));
}

std::vector<LogLine> LogSearch::found() const
{
    std::map<std::string, std::pair<std::string, std::string>> spans; // By source.
    for (const LogLine &line : m_lines) {
        if (!line.namesRequest) {
            continue;
        }
        auto &[first, last] = spans.try_emplace(line.source, line.time, line.time).first->second;
        first = std::min(first, line.time);
        last = std::max(last, line.time);
    }
    std::vector<LogLine> lines;
    for (const LogLine &line : m_lines) {
        const auto span = spans.find(line.source);
        const bool isWithin = span != spans.end() && line.time >= span->second.first
                              && line.time <= span->second.second;
        if (line.namesRequest || isWithin) {
            lines.push_back(line);
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    return lines;
}

} // namespace harelink
