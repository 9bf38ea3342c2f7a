//===- log.cpp - Logs to standard error -----------------------------------===//

#include "harelink/Support/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace harelink {
namespace {

std::atomic<LogLevel> lowestLevel{LogLevel::Info};

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

} // namespace

void setLogLevel(LogLevel level)
{
    lowestLevel.store(level, std::memory_order_relaxed);
}

bool logEnabled(LogLevel level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

void writeLogLine(LogLevel level, std::string_view part, std::string_view text)
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    // One call, so that lines of several threads do not mix.
    fmt::print(stderr, "{:%FT%T}.{:03}Z {} {}: {}\n",
               fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis, levelName(level),
               part, text);
}

} // namespace harelink
