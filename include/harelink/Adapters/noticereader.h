//===- harelink/Adapters/noticereader.h - Endpoint notices ------*- C++ -*-===//
///
/// \file
/// Parses the header fields of an answer in which an endpoint reports its own state.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_NOTICEREADER_H
#define HARELINK_ADAPTERS_NOTICEREADER_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Kernel/endpointnotice.h"

#include <string>

namespace harelink {

/// Lower-case names of a dialect's header fields for notices.
struct NoticeFields
{
    std::string rateLimit;  ///< Requests per second from all hosts, as a decimal number.
    std::string leaving;    ///< "1" if the endpoint accepts no new work, otherwise "0".
    std::string brittle;    ///< Rejections per second that it bears, as a decimal number.
    std::string coldMillis; ///< How long the endpoint stays cold, in milliseconds.
    /// "RUNNING,WAITING,SLOTS[,PERCENT]": running and waiting requests, slots, and the time that
    /// work takes now in percent of the usual time; whole numbers.
    std::string load;
};

/// Returns what \p result reports of its endpoint. The standard field Retry-After (RFC 9110, in
/// seconds; fractions are accepted too) requests a pause if the status is 429 or 503. An invalid
/// field is named in the notice; the other fields still apply.
[[nodiscard]] EndpointNotice readNotice(const HttpResult &result, const NoticeFields &names);

} // namespace harelink

#endif // HARELINK_ADAPTERS_NOTICEREADER_H
