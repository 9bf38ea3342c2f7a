//===- harelink/Kernel/requestdigest.h - What a request asks ----*- C++ -*-===//
///
/// \file
/// Names what a request asks for and on whose behalf, so that requests that come again
/// under other ids can be told: every attempt of a caller has an id of its own.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTDIGEST_H
#define HARELINK_KERNEL_REQUESTDIGEST_H

#include "harelink/Support/hash.h"

#include <string>

namespace harelink {

struct RequestArrived;

/// The digest of \p request on behalf of \p account: the same at every daemon for requests
/// with the same method, target, account and body. The account is part of it, so that no
/// account can bring about another's digest: the hash is no cryptographic one.
[[nodiscard]] Hash128 digestOf(const RequestArrived &request, const std::string &account);

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTDIGEST_H
