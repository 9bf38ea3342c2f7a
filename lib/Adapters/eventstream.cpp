//===- eventstream.cpp - Server-sent events -------------------------------===//

#include "harelink/Adapters/eventstream.h"

#include <cassert>
#include <utility>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr std::string_view dataField = "data:";

} // namespace

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
    assert(data.find('\n') == std::string_view::npos && "an event's data is one line");
    return fmt::format("event: {}\ndata: {}\n\n", name, data);
}

} // namespace harelink
