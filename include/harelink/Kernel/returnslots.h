//===- harelink/Kernel/returnslots.h - Returns of callers -------*- C++ -*-===//
///
/// \file
/// Decides when refused callers of one pipeline shall return.
///
/// The load is a burst that lasts for seconds and of which more is refused than admitted. The
/// time by which a request is late is short then, but others arrive in the meantime: callers that
/// return after it meet the same burst, together, and are refused again. Most callers return
/// only once.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RETURNSLOTS_H
#define HARELINK_KERNEL_RETURNSLOTS_H

#include "harelink/Support/clock.h"

namespace harelink {

/// A count that halves in each halfLife.
class FadingCount
{
public:
    static constexpr std::chrono::milliseconds halfLife{1000};

    void add(TimePoint now);
    [[nodiscard]] double value(TimePoint now) const;

private:
    double m_value = 0; ///< At m_addedAt.
    TimePoint m_addedAt;
};

/// Assigns the times of return of one pipeline's callers at one worker.
class ReturnSlots
{
public:
    /// Records that a request was admitted.
    void recordAdmission(TimePoint now) { m_admitted.add(now); }
    /// Records a refusal, and returns the delay after which its caller shall return.
    ///
    /// While most requests are admitted that is \p earliest. Otherwise returns are spread from then
    /// until \p latest, at a part of the rate of admissions.
    ///
    /// \param latest The caller needs the rest of its time for the request itself.
    [[nodiscard]] Duration assign(Duration earliest, Duration latest, TimePoint now);

private:
    FadingCount m_admitted;
    FadingCount m_refused;
    TimePoint m_nextSlot;
};

} // namespace harelink

#endif // HARELINK_KERNEL_RETURNSLOTS_H
