//===- harelink/Kernel/requestdigest.h - Request digests --------*- C++ -*-===//
///
/// \file
/// Digests of a request's content and account. They recognize a request that is sent
/// again under another ID: every attempt of a caller has its own ID.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTDIGEST_H
#define HARELINK_KERNEL_REQUESTDIGEST_H

#include "harelink/Support/hash.h"

#include <string>

namespace harelink {

struct RequestArrived;

/// Returns the digest of \p request sent by \p account. It is the same at every daemon for
/// requests with the same method, target, account and body. The account is included
/// so that no account can produce the digest of another: the hash is not cryptographic.
[[nodiscard]] Hash128 digestOf(const RequestArrived &request, const std::string &account);

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTDIGEST_H
