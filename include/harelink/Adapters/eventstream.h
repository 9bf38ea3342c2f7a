//===- harelink/Adapters/eventstream.h - Server-sent events -----*- C++ -*-===//
///
/// \file
/// Splits a body of server-sent events (the HTML standard's "text/event-stream")
/// into the data of its events, and writes events. Only the fields "event" and
/// "data" are used. There is no packaged library for this format.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_EVENTSTREAM_H
#define HARELINK_ADAPTERS_EVENTSTREAM_H

#include <optional>
#include <string>
#include <string_view>

namespace harelink {

/// The media type of server-sent events.
inline constexpr std::string_view eventStreamType = "text/event-stream";

/// Returns the offset behind the empty line that ends the event at offset \p from; npos if
/// the event is incomplete. Doesn't interpret the bytes, so that they can be forwarded unchanged.
[[nodiscard]] std::size_t findEventEnd(std::string_view bytes, std::size_t from);
/// Returns the value of the field \p name of one complete event; std::nullopt if absent.
[[nodiscard]] std::optional<std::string_view> eventField(std::string_view event,
                                                         std::string_view name);

/// Parses events incrementally.
class EventReader
{
public:
    /// Appends the next bytes of the body.
    void feed(const std::string &bytes) { m_buffer += bytes; }
    /// Returns the data of the next complete event; std::nullopt if more bytes are needed.
    std::optional<std::string> next();
    /// Returns the number of bytes held of events that are not complete.
    [[nodiscard]] std::size_t heldBytes() const { return m_buffer.size() + m_data.size(); }

private:
    std::optional<std::string> nextLine();

    std::string m_buffer;
    std::string m_data;     ///< Data of the event that is being parsed.
    bool m_hasData = false; ///< Events without data are ignored.
};

/// Formats one event. \p data must not contain line breaks, as in single-line JSON.
[[nodiscard]] std::string formatEvent(std::string_view name, std::string_view data);

} // namespace harelink

#endif // HARELINK_ADAPTERS_EVENTSTREAM_H
