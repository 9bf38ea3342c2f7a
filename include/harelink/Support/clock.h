//===- harelink/Support/clock.h - Clock interface ---------------*- C++ -*-===//
///
/// \file
/// The clock that is injected into all code that depends on time. The kernel
/// never reads a system clock itself.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_CLOCK_H
#define HARELINK_SUPPORT_CLOCK_H

#include <chrono>

namespace harelink {

/// A point on the steady clock of one process. The clock includes the time for which the host
/// was suspended. Not comparable between hosts, nor with std::chrono::steady_clock::now().
using TimePoint = std::chrono::steady_clock::time_point;
/// A point in wall-clock time; used only for retention and for reports.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;
/// A duration on the steady clock.
using Duration = std::chrono::steady_clock::duration;

/// Interface of a clock; tests use a virtual one.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Returns the steady time, for deadlines, leases and back-off.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// Returns the wall-clock time, for retention.
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// Returns the clock of the system, for objects that are given no other.
[[nodiscard]] const Clock &systemClock();

/// A clock that advances only when a test advances it.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return m_now; }
    [[nodiscard]] WallTime wallNow() const override
    {
        return WallTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    /// Advances the clock to \p now, which must not be earlier than now().
    void advanceTo(TimePoint now);
    /// Advances the clock by \p step.
    void advance(Duration step) { advanceTo(m_now + step); }

private:
    TimePoint m_now{std::chrono::hours(1)};
};

/// Converts \p time to milliseconds, with fractions.
[[nodiscard]] double toMilliseconds(Duration time);

} // namespace harelink

#endif // HARELINK_SUPPORT_CLOCK_H
