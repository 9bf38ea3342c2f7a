//===- harelink/Kernel/relays.h - Calls made by peers -----------*- C++ -*-===//
///
/// \file
/// The messages by which a daemon without a path to a pool lets a peer make a call for it. The
/// requesting daemon keeps all decisions: the choice of the endpoint, retries, deadlines and
/// budgets. The peer only makes the call and returns what it receives.
///
/// A call is made at most once for each RelayCall that arrives. Without a result, the requesting
/// daemon does not know whether it was made.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RELAYS_H
#define HARELINK_KERNEL_RELAYS_H

#include "harelink/Kernel/types.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Message: make this HTTP call. The fields are those of HttpCall.
struct RelayCall
{
    CallId call; ///< Repeated in the results.
    std::string pool;
    std::string method;
    std::string url;
    std::string target;
    std::vector<std::string> headers;
    std::string body;
    Duration timeout{};
    Duration connectTimeout{};
    bool omitsDefaultHeaders = false;
    /// Bytes of the body that the peer may send beyond those that were acknowledged; 0 for any
    /// number.
    std::size_t windowBytes = 0;
};

/// Message: a part of the answer to a RelayCall. The fields are those of HttpResult.
struct RelayPart
{
    CallId call;
    std::uint32_t number = 0; ///< Of the part, from 0.
    bool isLast = false;
    int status = 0; ///< 0 if no complete answer was received; valid in the last part.
    int headStatus = 0;
    bool wasSent = true; ///< Whether any byte of the request may have been sent.
    bool isBroken = false;
    bool wasRefused = false; ///< The endpoint refused the connection.
    std::string error;
    std::vector<std::pair<std::string, std::string>> fields; ///< In the first and the last part.
    std::string body;                                        ///< What has arrived since.
    Duration longestPause{}; ///< For which the endpoint was not read; valid in the last part.
};

/// Message: the daemon that asked for a call has taken bytes of the answer's body.
struct RelayAck
{
    CallId call;
    std::uint64_t bytes = 0; ///< Of all parts so far, so that a later message replaces this one.
};

/// Message: the result of a call is no longer needed.
struct RelayCancel
{
    CallId call;
};

} // namespace harelink

#endif // HARELINK_KERNEL_RELAYS_H
