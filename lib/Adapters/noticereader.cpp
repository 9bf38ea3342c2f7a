//===- noticereader.cpp - Endpoint notices --------------------------------===//

#include "harelink/Adapters/noticereader.h"

#include <charconv>
#include <cmath>
#include <optional>

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
