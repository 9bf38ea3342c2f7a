//===- text.cpp - Text utilities ------------------------------------------===//

#include "harelink/Support/text.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <cctype>

namespace harelink {
namespace {

constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";
constexpr unsigned char firstOfSeveralBytes = 0x80;

/// Returns the length of the character at the start of \p text, which isn't empty; 0 if there is no
/// valid one.
std::size_t characterLength(std::string_view text)
{
    if (static_cast<unsigned char>(text.front()) < firstOfSeveralBytes) {
        return 1;
    }
    using Traits = boost::locale::utf::utf_traits<char>;
    const char *at = text.data();
    const boost::locale::utf::code_point point = Traits::decode(at, text.data() + text.size());
    const bool isValid =
        point != boost::locale::utf::illegal && point != boost::locale::utf::incomplete;
    return isValid ? static_cast<std::size_t>(at - text.data()) : 0;
}

} // namespace

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

bool isUnicode(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::string toUnicode(std::string_view text)
{
    if (isUnicode(text)) {
        return std::string(text);
    }
    std::string valid;
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        valid += length == 0 ? replacementCharacter : text.substr(0, length);
        text.remove_prefix(std::max<std::size_t>(1, length));
    }
    return valid;
}

} // namespace harelink
