//===- log.cpp - Structured logs ------------------------------------------===//

#include "harelink/Support/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harelink {
namespace {

std::atomic<LogLevel> lowestLevel{LogLevel::Info};
std::atomic<std::uint64_t> droppedLines{0};
std::atomic<std::uint64_t> untoldDrops{0};
/// The second that is counted, and the lines in it.
std::atomic<std::int64_t> countedSecond{0};
std::atomic<int> linesInSecond{0};

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

/// Pipes and sockets may have a slow reader; files and terminals are left as they are,
/// for the setting would reach whoever shares them.
bool prepareOutput()
{
    struct stat status
    {
    };
    if (fstat(STDOUT_FILENO, &status) == 0
        && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode))) {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    return true;
}

/// Whether one more line fits into this second.
bool takePlace(LogLevel level)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (countedSecond.exchange(second, std::memory_order_relaxed) != second) {
        linesInSecond.store(0, std::memory_order_relaxed);
    }
    const int most = level >= LogLevel::Warning ? maxLogLinesPerSecond * 2 : maxLogLinesPerSecond;
    return linesInSecond.fetch_add(1, std::memory_order_relaxed) < most;
}

void countDrop()
{
    droppedLines.fetch_add(1, std::memory_order_relaxed);
    untoldDrops.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

void setLogLevel(LogLevel level)
{
    lowestLevel.store(level, std::memory_order_relaxed);
}

bool logEnabled(LogLevel level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

std::string logValue(std::string_view value)
{
    const auto needsQuotes = [](char c) {
        return c == ' ' || c == '"' || c == '=' || static_cast<unsigned char>(c) < ' ';
    };
    bool quoted = value.empty();
    for (const char c : value) {
        quoted = quoted || needsQuotes(c);
    }
    if (!quoted) {
        return std::string(value);
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return text + '"';
}

void writeLogLine(LogLevel level, std::string_view part, std::string_view fields)
{
    static const bool prepared = prepareOutput();
    (void)prepared;
    if (!takePlace(level)) {
        countDrop();
        return;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const std::uint64_t dropped = untoldDrops.exchange(0, std::memory_order_relaxed);
    const std::string note = dropped == 0 ? std::string() : fmt::format(" dropped={}", dropped);
    // One call, so that lines of several threads do not mix.
    const std::string line = fmt::format("time={:%FT%T}.{:03}Z level={} part={} {}{}\n",
                                         fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                         millis, levelName(level), part, fields, note);
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        countDrop();
        untoldDrops.fetch_add(dropped, std::memory_order_relaxed);
    }
}

} // namespace harelink
