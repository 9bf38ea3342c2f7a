//===- harelink/Support/log.h - Structured logs -----------------*- C++ -*-===//
///
/// \file
/// Lines of "name=value" fields on standard output, one for each event, behind the
/// fixed prefix of the part that speaks. A request's content is never logged.
///
/// Writing never blocks: where the reader of a pipe is slow, lines are dropped, and
/// where they come faster than maxLogLinesPerSecond, as under a burst of refusals, the
/// rest is dropped too. A later line tells how many.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_LOG_H
#define HARELINK_SUPPORT_LOG_H

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace harelink {

/// How urgent a line is.
enum class LogLevel { Debug, Info, Warning, Error };

/// Lines of one process within a second; warnings and errors may take twice as many.
/// At 250 bytes a line it bounds the volume to 75 kB a second.
inline constexpr int maxLogLinesPerSecond = 300;

/// Lines below \p level are dropped from now on; the default is Info.
void setLogLevel(LogLevel level);
/// Whether lines of \p level are written.
[[nodiscard]] bool logEnabled(LogLevel level);
/// Writes one finished line of fields; prefer Logger.
void writeLogLine(LogLevel level, std::string_view part, std::string_view fields);
/// How many lines were dropped since the start.
[[nodiscard]] std::uint64_t droppedLogLines();
/// \p value as a field's value: in quotes where it holds a space, a quote or a control
/// character, which are escaped.
[[nodiscard]] std::string logValue(std::string_view value);

/// One line in the making; written when it goes out of scope.
class LogRecord
{
public:
    LogRecord(LogLevel level, std::string_view part, std::string_view event)
        : m_level(level)
        , m_part(part)
        , m_enabled(logEnabled(level))
    {
        field("event", event);
    }
    ~LogRecord()
    {
        if (m_enabled) {
            writeLogLine(m_level, m_part, m_fields);
        }
    }
    LogRecord(const LogRecord &) = delete;
    LogRecord &operator=(const LogRecord &) = delete;

    /// Adds a field; one with an empty text is left out.
    template <typename Value>
    LogRecord &field(std::string_view name, const Value &value)
    {
        if (m_enabled) {
            add(name, fmt::format("{}", value));
        }
        return *this;
    }

private:
    void add(std::string_view name, const std::string &value)
    {
        if (!value.empty()) {
            fmt::format_to(std::back_inserter(m_fields), "{}{}={}", m_fields.empty() ? "" : " ",
                           name, logValue(value));
        }
    }

    LogLevel m_level;
    std::string_view m_part;
    bool m_enabled;
    std::string m_fields;
};

/// Writes lines for one part of the program.
class Logger
{
public:
    /// \param part the fixed prefix; must outlive the logger.
    explicit constexpr Logger(std::string_view part)
        : m_part(part)
    {
    }

    /// Begins a line about \p event, a short name as in "request-answered".
    [[nodiscard]] LogRecord record(LogLevel level, std::string_view event) const
    {
        return {level, m_part, event};
    }

    template <typename... Args>
    void debug(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Debug, format, std::forward<Args>(args)...);
    }
    template <typename... Args>
    void info(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Info, format, std::forward<Args>(args)...);
    }
    template <typename... Args>
    void warning(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Warning, format, std::forward<Args>(args)...);
    }
    template <typename... Args>
    void error(fmt::format_string<Args...> format, Args &&...args) const
    {
        write(LogLevel::Error, format, std::forward<Args>(args)...);
    }

private:
    template <typename... Args>
    void write(LogLevel level, fmt::format_string<Args...> format, Args &&...args) const
    {
        if (logEnabled(level)) {
            const std::string text = fmt::format(format, std::forward<Args>(args)...);
            writeLogLine(level, m_part, "message=" + logValue(text));
        }
    }

    std::string_view m_part;
};

} // namespace harelink

#endif // HARELINK_SUPPORT_LOG_H
