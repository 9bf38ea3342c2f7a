//===- log.cpp - Structured logs ------------------------------------------===//

#include "harelink/Support/log.h"

#include "harelink/Support/text.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harelink {
namespace {

/// Maximum length of a value in a log line; others may have written the value.
constexpr std::size_t maxValueBytes = 4096;

std::atomic<LogLevel> minimumLevel{LogLevel::Info};
std::atomic<std::uint64_t> droppedLines{0};
std::atomic<std::uint64_t> unreportedDrops{0};
/// The current second of the rate limit, and the number of lines in it.
std::atomic<std::int64_t> currentSecond{0};
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

/// Makes standard output non-blocking if it is a pipe or a socket, which may have a slow reader.
/// Files and terminals stay unchanged, since the flag would affect other processes that share them.
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

/// Counts one line against the rate limit; returns whether it may be written.
bool admitLine(LogLevel level)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (currentSecond.exchange(second, std::memory_order_relaxed) != second) {
        linesInSecond.store(0, std::memory_order_relaxed);
    }
    const int limit = level >= LogLevel::Warning ? maxLogLinesPerSecond * 2 : maxLogLinesPerSecond;
    return linesInSecond.fetch_add(1, std::memory_order_relaxed) < limit;
}

void countDrop()
{
    droppedLines.fetch_add(1, std::memory_order_relaxed);
    unreportedDrops.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

void setLogLevel(LogLevel level)
{
    minimumLevel.store(level, std::memory_order_relaxed);
}

bool logEnabled(LogLevel level)
{
    return level >= minimumLevel.load(std::memory_order_relaxed);
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

std::string logValue(std::string_view value)
{
    const auto isControl = [](char c) {
        return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
    };
    std::string valid = toUnicode(value.substr(0, maxValueBytes));
    bool quoted = valid.empty();
    for (const char c : valid) {
        quoted = quoted || c == ' ' || c == '"' || c == '=' || isControl(c);
    }
    if (!quoted) {
        return valid;
    }
    std::string text = "\"";
    for (const char c : valid) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += isControl(c) ? ' ' : c;
    }
    return text + '"';
}

void writeLogLine(LogLevel level, std::string_view part, std::string_view fields)
{
    static const bool prepared = prepareOutput();
    (void)prepared;
    if (!admitLine(level)) {
        countDrop();
        return;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const std::uint64_t dropped = unreportedDrops.exchange(0, std::memory_order_relaxed);
    const std::string dropNotice =
        dropped == 0 ? std::string() : fmt::format(" dropped={}", dropped);
    // A single write() keeps lines of several threads from interleaving.
    const std::string line = fmt::format("time={:%FT%T}.{:03}Z level={} part={} {}{}\n",
                                         fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                         millis, levelName(level), part, fields, dropNotice);
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        countDrop();
        unreportedDrops.fetch_add(dropped, std::memory_order_relaxed);
    }
}

} // namespace harelink
