//===- httpstatus.cpp - Status lines --------------------------------------===//

#include "harelink/Adapters/httpstatus.h"

#include <algorithm>
#include <cstddef>

namespace harelink {
namespace {

constexpr std::size_t statusDigits = 3;
constexpr int statusContinue = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int statusOk = 200;
constexpr int maxStatus = 599;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

std::optional<int> parseStatusLine(std::string_view line)
{
    const std::size_t space = line.find(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = line.substr(space + 1);
    const std::string_view digits = rest.substr(0, rest.find_first_of(" \r\n"));
    if (digits.size() != statusDigits || !std::all_of(digits.begin(), digits.end(), isDigit)) {
        return std::nullopt;
    }
    int status = 0;
    for (const char digit : digits) {
        status = status * 10 + (digit - '0');
    }
    const bool isInterim = status >= statusContinue && status < statusOk;
    const bool isValid = isInterim ? status != statusSwitchingProtocols : isFinalStatus(status);
    return isValid ? std::optional(status) : std::nullopt;
}

bool isFinalStatus(int status)
{
    return status >= statusOk && status <= maxStatus;
}

} // namespace harelink
