//===- harelink/Support/log.h - Logs to standard error ----------*- C++ -*-===//
///
/// \file
/// Short sentences to standard error, each behind its level and the fixed
/// prefix of the part that speaks. A request's content is never logged.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_LOG_H
#define HARELINK_SUPPORT_LOG_H

#include <fmt/format.h>

#include <string_view>

namespace harelink {

/// How urgent a line is.
enum class LogLevel { Debug, Info, Warning, Error };

/// Lines below \p level are dropped from now on; the default is Info.
void setLogLevel(LogLevel level);
/// Whether lines of \p level are written.
[[nodiscard]] bool logEnabled(LogLevel level);
/// Writes one finished line; prefer Logger.
void writeLogLine(LogLevel level, std::string_view part, std::string_view text);

/// Writes lines for one part of the program.
class Logger
{
public:
    /// \param part the fixed prefix; must outlive the logger.
    explicit constexpr Logger(std::string_view part)
        : m_part(part)
    {
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
            writeLogLine(level, m_part, fmt::format(format, std::forward<Args>(args)...));
        }
    }

    std::string_view m_part;
};

} // namespace harelink

#endif // HARELINK_SUPPORT_LOG_H
