//===- harelink/Support/log.h - Structured logs -----------------*- C++ -*-===//
///
/// \file
/// Writes one line of "name=value" fields to standard output for each event. Each
/// line names the component that wrote it. Request contents are never logged.
///
/// Writing never blocks. Lines are dropped if the reader of a pipe is slow, or if more
/// than maxLogLinesPerSecond are written, as in a burst of refused requests. A later
/// line reports the number of dropped lines.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_LOG_H
#define HARELINK_SUPPORT_LOG_H

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace harelink {

/// The severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// Rate limit of the log lines of one process; for warnings and errors it is twice as high.
/// At 250 bytes per line the volume is limited to 75 kB per second.
inline constexpr int maxLogLinesPerSecond = 300;

/// Sets the minimum severity of the lines that are written; the default is Info.
void setLogLevel(LogLevel level);
/// Returns whether lines of \p level are written.
[[nodiscard]] bool logEnabled(LogLevel level);
/// Writes one line of formatted fields; prefer Logger.
void writeLogLine(LogLevel level, std::string_view part, std::string_view fields);
/// Returns the number of lines dropped since the process started.
[[nodiscard]] std::uint64_t droppedLogLines();
/// Formats \p value as the value of a field. An empty value, or one with a space, a quote, an
/// equals sign or a control character, is quoted: quotes and backslashes are escaped, control
/// characters are replaced by spaces.
[[nodiscard]] std::string logValue(std::string_view value);

/// Collects the fields of one line and writes it on destruction.
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

    /// Adds a field; a field with an empty value is omitted.
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

/// Writes lines for one component of the program.
class Logger
{
public:
    /// \param part the name of the component; must outlive the logger.
    explicit constexpr Logger(std::string_view part)
        : m_part(part)
    {
    }

    /// Starts a line for \p event, a short name such as "request-answered".
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
