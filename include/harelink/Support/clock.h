//===- harelink/Support/clock.h - Clock interface ---------------*- C++ -*-===//
///
/// \file
/// The clock handed to everything that decides by time. Nothing in the kernel
/// reads a clock of the system.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_SUPPORT_CLOCK_H
#define HARELINK_SUPPORT_CLOCK_H

#include <chrono>

namespace harelink {

/// A point on the steady clock of one process, which counts the time for which its host was
/// suspended; never compared between hosts, nor with std::chrono::steady_clock's own time.
using TimePoint = std::chrono::steady_clock::time_point;
/// A point in calendar time; used only for retention and for reports.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;
/// A length of time.
using Duration = std::chrono::steady_clock::duration;

/// Tells the time; tests hand in a virtual one.
class Clock
{
public:
    virtual ~Clock() = default;
    /// The steady time, for deadlines, leases and back-off.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// The calendar time, for retention.
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

/// A clock that moves only when told to.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return m_now; }
    [[nodiscard]] WallTime wallNow() const override
    {
        return WallTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    /// Moves the clock forward to \p now; it never goes back.
    void advanceTo(TimePoint now);
    /// Moves the clock forward by \p step.
    void advance(Duration step) { advanceTo(m_now + step); }

private:
    TimePoint m_now{std::chrono::hours(1)};
};

/// \p time in milliseconds, with fractions.
[[nodiscard]] double toMilliseconds(Duration time);

} // namespace harelink

#endif // HARELINK_SUPPORT_CLOCK_H
