//===- eventstream.cpp - Server-sent events -------------------------------===//

#include "harelink/Adapters/eventstream.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr std::string_view dataField = "data:";

} // namespace

std::size_t findEventEnd(std::string_view bytes, std::size_t from)
{
    for (std::size_t lineEnd = bytes.find('\n', from); lineEnd != std::string_view::npos;
         lineEnd = bytes.find('\n', lineEnd + 1)) {
        std::size_t next = lineEnd + 1;
        next += next < bytes.size() && bytes[next] == '\r' ? 1 : 0;
        if (next < bytes.size() && bytes[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

std::optional<std::string_view> eventField(std::string_view event, std::string_view name)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        const bool isField =
            line.starts_with(name) && line.size() > name.size() && line[name.size()] == ':';
        if (!isField) {
            continue;
        }
        line.remove_prefix(name.size() + 1);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
            line.remove_suffix(1);
        }
        return line;
    }
    return std::nullopt;
}

std::optional<std::string> EventReader::nextLine()
{
    const std::size_t end = m_buffer.find('\n');
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return line;
}

std::optional<std::string> EventReader::next()
{
    while (std::optional<std::string> line = nextLine()) {
        if (line->empty() && m_hasData) {
            m_hasData = false;
            return std::exchange(m_data, {});
        }
        if (line->compare(0, dataField.size(), dataField) != 0) {
            continue;
        }
        std::size_t begin = dataField.size();
        begin += begin < line->size() && (*line)[begin] == ' ' ? 1 : 0;
        m_data += (m_hasData ? "\n" : "") + line->substr(begin);
        m_hasData = true;
    }
    return std::nullopt;
}

std::string formatEvent(std::string_view name, std::string_view data)
{
    assert(data.find('\n') == std::string_view::npos
           && "the data of an event must be a single line");
    return fmt::format("event: {}\ndata: {}\n\n", name, data);
}

} // namespace harelink
