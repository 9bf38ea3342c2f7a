//===- harelink/Support/logsearch.h - Log search ----------------*- C++ -*-===//
///
/// \file
/// Finds the log lines of several daemons that are relevant to one request: the lines
/// that name it, and the state changes that the same daemons logged while it was in progress.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_LOGSEARCH_H
#define HARELINK_SUPPORT_LOGSEARCH_H

#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// One line of a log.
struct LogLine
{
    std::string source;        ///< The host if the line is prefixed with one, otherwise the file.
    std::string time;          ///< Timestamp as logged, by the clock of the source; sorts by time.
    std::string text;          ///< The fields after the time.
    bool namesRequest = false; ///< Whether the line names the request.
};

/// Collects the lines that are relevant to one request.
class LogSearch
{
public:
    /// \param request the request id, either the caller's or the daemon's.
    explicit LogSearch(std::string request)
        : m_request(std::move(request))
    {
    }
    /// Adds one line of \p file. Lines without a time and lines of other requests are ignored.
    void add(const std::string &file, const std::string &line);
    /// Returns the relevant lines, sorted by time: those that name the request, and those that
    /// name no request and were logged by the same source between the first and the last line
    /// of the request.
    [[nodiscard]] std::vector<LogLine> found() const;

private:
    std::string m_request;
    std::vector<LogLine> m_lines; ///< Lines of the request and lines that name no request.
};

/// Returns the value of field \p name in \p line, or an empty string if there is none.
[[nodiscard]] std::string_view logField(std::string_view line, std::string_view name);

} // namespace harelink

#endif // HARELINK_SUPPORT_LOGSEARCH_H
