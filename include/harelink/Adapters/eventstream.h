//===- harelink/Adapters/eventstream.h - Server-sent events -----*- C++ -*-===//
///
/// \file
/// Splits a body of server-sent events (the HTML standard's "text/event-stream")
/// into the data of its events, and writes events. Only the fields "event" and
/// "data" are used; no library for them is packaged.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_EVENTSTREAM_H
#define HARELINK_ADAPTERS_EVENTSTREAM_H

#include <optional>
#include <string>
#include <string_view>

namespace harelink {

/// The media type of a body of events.
inline constexpr std::string_view eventStreamType = "text/event-stream";

/// Where the event that begins at \p from ends, behind its empty line; npos while more
/// bytes are needed. The bytes are left as they are, for passing on.
[[nodiscard]] std::size_t findEventEnd(std::string_view bytes, std::size_t from);
/// The value of the field \p name of one whole event, or nothing.
[[nodiscard]] std::optional<std::string_view> eventField(std::string_view event,
                                                         std::string_view name);

/// Reads events as their bytes come in.
class EventReader
{
public:
    /// Takes in the next bytes of the body.
    void feed(const std::string &bytes) { m_buffer += bytes; }
    /// The data of the next whole event; nothing while more bytes are needed.
    std::optional<std::string> next();

private:
    std::optional<std::string> nextLine();

    std::string m_buffer;
    std::string m_data;     ///< Of the event that is being read.
    bool m_hasData = false; ///< An event without data is none.
};

/// One event. \p data has no line breaks, as JSON on one line has none.
[[nodiscard]] std::string formatEvent(std::string_view name, std::string_view data);

} // namespace harelink

#endif // HARELINK_ADAPTERS_EVENTSTREAM_H
