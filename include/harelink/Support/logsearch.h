//===- harelink/Support/logsearch.h - Searching the logs --------*- C++ -*-===//
///
/// \file
/// Finds in the logs of several daemons what concerns one request: its own lines, and
/// what the daemons that wrote them came to believe while it was in progress.
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
    std::string source;        ///< The file, or the host where the line itself begins with one.
    std::string time;          ///< As written, which sorts as time does; of the source's own clock.
    std::string text;          ///< The fields behind the time.
    bool namesRequest = false; ///< Names the request.
};

/// Collects the lines that concern one request.
class LogSearch
{
public:
    /// \param request its id, as callers or the daemon name it.
    explicit LogSearch(std::string request)
        : m_request(std::move(request))
    {
    }
    /// Takes in one line of \p file.
    void add(const std::string &file, const std::string &line);
    /// The lines found, by time: the request's own, and those of the same sources between
    /// the first and the last of these that name no request at all.
    [[nodiscard]] std::vector<LogLine> found() const;

private:
    std::string m_request;
    std::vector<LogLine> m_lines; ///< Own ones and those that name no request.
};

/// The value of the field \p name of a line of fields; empty where there is none.
[[nodiscard]] std::string_view logField(std::string_view line, std::string_view name);

} // namespace harelink

#endif // HARELINK_SUPPORT_LOGSEARCH_H
