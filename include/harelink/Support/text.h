//===- harelink/Support/text.h - Small things with text ---------*- C++ -*-===//

#ifndef HARELINK_SUPPORT_TEXT_H
#define HARELINK_SUPPORT_TEXT_H

#include <string>
#include <string_view>

namespace harelink {

/// \p text with its ASCII letters in lower case, as names of header fields are compared.
[[nodiscard]] std::string lowerCase(std::string_view text);

} // namespace harelink

#endif // HARELINK_SUPPORT_TEXT_H
