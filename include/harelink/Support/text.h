//===- harelink/Support/text.h - Text utilities -----------------*- C++ -*-===//

#ifndef HARELINK_SUPPORT_TEXT_H
#define HARELINK_SUPPORT_TEXT_H

#include <string>
#include <string_view>

namespace harelink {

/// Returns \p text with its ASCII letters in lower case, for comparing names of header fields.
[[nodiscard]] std::string lowerCase(std::string_view text);

/// Returns whether \p text is valid UTF-8.
[[nodiscard]] bool isUnicode(std::string_view text);

/// Returns \p text with each byte that isn't part of valid UTF-8 replaced by U+FFFD.
[[nodiscard]] std::string toUnicode(std::string_view text);

} // namespace harelink

#endif // HARELINK_SUPPORT_TEXT_H
