//===- harelink/Adapters/noticereader.h - Words of endpoints ----*- C++ -*-===//
///
/// \file
/// Reads what an endpoint says of itself in the header fields of an answer.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_NOTICEREADER_H
#define HARELINK_ADAPTERS_NOTICEREADER_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Kernel/endpointnotice.h"

#include <string>

namespace harelink {

/// The header fields of a dialect; names in lower case.
struct NoticeFields
{
    std::string rateLimit;  ///< Requests per second from all hosts, a decimal number.
    std::string leaving;    ///< "1" where the endpoint takes no new work, "0" where it does.
    std::string coldMillis; ///< How long the endpoint stays cold, in milliseconds.
};

/// What \p result says of its endpoint. The standard field Retry-After (RFC 9110, in seconds;
/// fractions are read too) asks for a pause where the status is 429 or 503. A field that cannot
/// be read is named in the notice; the others hold.
[[nodiscard]] EndpointNotice readNotice(const HttpResult &result, const NoticeFields &names);

} // namespace harelink

#endif // HARELINK_ADAPTERS_NOTICEREADER_H
