//===- text.cpp - Text utilities ------------------------------------------===//

#include "harelink/Support/text.h"

#include <algorithm>
#include <cctype>

namespace harelink {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

} // namespace harelink
