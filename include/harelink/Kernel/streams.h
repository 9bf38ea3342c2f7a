//===- harelink/Kernel/streams.h - Origins of streams -----------*- C++ -*-===//
///
/// \file
/// Where a stream began. It may only be continued by endpoints of the pool and the software version
/// that sent its first event.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_STREAMS_H
#define HARELINK_KERNEL_STREAMS_H

#include <optional>
#include <string>

namespace harelink {

/// The endpoints that may continue a stream.
struct StreamOrigin
{
    std::string pool;
    std::optional<std::string> softwareVersion; ///< std::nullopt if unknown: no endpoint may.

    bool operator==(const StreamOrigin &) const = default;
};

} // namespace harelink

#endif // HARELINK_KERNEL_STREAMS_H
