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
#include <vector>

namespace harelink {

struct ProxiedRequest;
struct RequestArrived;

/// Returns the digest of \p request sent by \p account. It is the same at every daemon for
/// requests with the same method, target, account and body. The account is included
/// so that no account can produce the digest of another: the hash is not cryptographic.
[[nodiscard]] Hash128 digestOf(const RequestArrived &request, const std::string &account);

/// Returns the digests of the parts of a prompt that other requests may share: all but the last,
/// at most maxPromptParts of them. They are the same for all accounts.
[[nodiscard]] std::vector<Hash128> promptPartDigests(const ProxiedRequest &request);

/// Limits the work for a prompt with very many parts.
inline constexpr std::size_t maxPromptParts = 16;

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTDIGEST_H
