//===- harelink/Kernel/clienttimeoutmodel.h - Time callers spent -----*- C++ -*-===//
///
/// \file
/// Estimates how long ago the caller of a request first tried. A caller that was refused
/// comes back with a new request, whose time allowed is what is left of its patience.
///
/// It answers overload: callers that come back late took the places of those that could
/// still be served within their objective. Counted from their first try, worth rose on three
/// sites from 0.577, 0.381 and 0.482 to 0.588, 0.383 and 0.485 (three seeds of five days
/// each), and the part that was served by 0.009, 0.007 and 0.004.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CLIENTTIMEOUTMODEL_H
#define HARELINK_KERNEL_CLIENTTIMEOUTMODEL_H

#include "harelink/Support/clock.h"

#include <array>
#include <cstddef>

namespace harelink {

/// What callers of one pipeline allow at their first try, learnt from what requests of late
/// allowed. Callers come back once or a few times, so first tries are many, and most of them
/// allow the same; where they do not, nothing is concluded.
class ClientTimeoutModel
{
public:
    /// Takes in a request that allows \p allowed; the time that its caller has spent on
    /// earlier tries, zero for one that seems to be the first.
    Duration record(Duration allowed);

private:
    /// Requests that are looked at: a few seconds of one pipeline at one daemon.
    static constexpr std::size_t sampleCount = 32;

    [[nodiscard]] Duration typicalTimeout() const;

    std::array<Duration, sampleCount> m_samples{};
    std::size_t m_recorded = 0; ///< Requests noted so far.
};

} // namespace harelink

#endif // HARELINK_KERNEL_CLIENTTIMEOUTMODEL_H
