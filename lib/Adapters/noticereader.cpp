//===- noticereader.cpp - Endpoint notices --------------------------------===//

#include "harelink/Adapters/noticereader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
/// Larger values are treated as errors of the endpoint.
constexpr double maxRate = 1e6;
constexpr double maxPauseSeconds = 3600;
constexpr double maxColdMillis = 3'600'000;
/// Maximum number of characters of an invalid value in the log.
constexpr std::size_t maxLoggedLength = 40;

/// Parses a number from 0 to \p max; std::nullopt if \p text is anything else.
std::optional<double> readNumber(const std::string &text, double max)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool isNumber = error == std::errc() && rest == end && std::isfinite(value);
    return isNumber && value >= 0 && value <= max ? std::optional<double>(value) : std::nullopt;
}

/// Number of figures of a load report without and with the percentage.
constexpr std::size_t requiredLoadFigures = 3;
constexpr std::size_t maxLoadFigures = 4;

/// Returns the figure at the start of \p text up to a comma, and removes both from \p text.
std::string_view takeFigure(std::string_view &text)
{
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view figure = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    while (figure.starts_with(' ') || figure.starts_with('\t')) {
        figure.remove_prefix(1);
    }
    while (figure.ends_with(' ') || figure.ends_with('\t')) {
        figure.remove_suffix(1);
    }
    return figure;
}

/// Parses a whole number from \p min to \p max; std::nullopt if \p text is anything else.
std::optional<std::uint32_t> readCount(std::string_view text, std::uint32_t min, std::uint32_t max)
{
    std::uint32_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    const bool isNumber = error == std::errc() && rest == end && !text.empty();
    return isNumber && value >= min && value <= max ? std::optional(value) : std::nullopt;
}

/// Parses a load report; std::nullopt if any of its figures is invalid.
std::optional<EndpointLoadReport> readLoadReport(std::string_view text)
{
    using namespace reportedload;
    const auto separators = static_cast<std::size_t>(std::count(text.begin(), text.end(), ','));
    if (separators + 1 < requiredLoadFigures || separators + 1 > maxLoadFigures) {
        return std::nullopt;
    }
    const auto running = readCount(takeFigure(text), 0, maxCount);
    const auto waiting = readCount(takeFigure(text), 0, maxCount);
    const auto slots = readCount(takeFigure(text), 0, maxCount);
    if (!running || !waiting || !slots) {
        return std::nullopt;
    }
    EndpointLoadReport report{*running, *waiting, slots, std::nullopt};
    if (separators + 1 == maxLoadFigures) {
        report.percent = readCount(takeFigure(text), minPercent, maxPercent);
        return report.percent ? std::optional(report) : std::nullopt;
    }
    return report;
}

/// Records in \p notice that the value of the field \p name is invalid.
void setUnreadable(EndpointNotice &notice, const std::string &name, const std::string &value)
{
    notice.unreadable = fmt::format("{}: {}", name, value.substr(0, maxLoggedLength));
}

} // namespace

EndpointNotice readNotice(const HttpResult &result, const NoticeFields &names)
{
    EndpointNotice notice;
    if (const std::string limit = result.header(names.rateLimit); !limit.empty()) {
        notice.requestsPerSecond = readNumber(limit, maxRate);
        notice.isLimitUnreadable = !notice.requestsPerSecond;
        if (notice.isLimitUnreadable) {
            setUnreadable(notice, names.rateLimit, limit);
        }
    }
    if (const std::string leaving = result.header(names.leaving); !leaving.empty()) {
        notice.isLeaving = leaving == "1";
        if (!notice.isLeaving && leaving != "0") {
            setUnreadable(notice, names.leaving, leaving);
        }
    }
    if (const std::string brittle = result.header(names.brittle); !brittle.empty()) {
        notice.rejectionsPerSecond = readNumber(brittle, maxRate);
        if (!notice.rejectionsPerSecond) {
            setUnreadable(notice, names.brittle, brittle);
        }
    }
    if (const std::string cold = result.header(names.coldMillis); !cold.empty()) {
        if (const std::optional<double> millis = readNumber(cold, maxColdMillis)) {
            notice.coldFor = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(*millis));
        } else {
            setUnreadable(notice, names.coldMillis, cold);
        }
    }
    if (const std::string load = result.header(names.load); !load.empty()) {
        notice.load = readLoadReport(load);
        notice.isLoadUnreadable = !notice.load;
        if (notice.isLoadUnreadable) {
            setUnreadable(notice, names.load, load);
        }
    }
    const bool requestsPause =
        result.headStatus == statusTooManyRequests || result.headStatus == statusUnavailable;
    if (const std::string pause = result.header("retry-after"); requestsPause && !pause.empty()) {
        if (const std::optional<double> seconds = readNumber(pause, maxPauseSeconds)) {
            notice.pause =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
        } else {
            setUnreadable(notice, "retry-after", pause);
        }
    }
    return notice;
}

} // namespace harelink
