//===- clock.cpp - Clock interface ----------------------------------------===//

#include "harelink/Support/clock.h"

#include <cassert>
#include <ctime>

namespace harelink {

TimePoint SystemClock::now() const
{
    // std::chrono::steady_clock does not advance while the host is suspended, but deadlines do:
    // after a suspension of seconds callers have disconnected, and the last messages of peers
    // are older than that clock would show.
    timespec time{};
    (void)clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

void ManualClock::advanceTo(TimePoint now)
{
    assert(now >= m_now && "a steady clock must not go backwards");
    m_now = now;
}

double toMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

const Clock &systemClock()
{
    static const SystemClock clock;
    return clock;
}

} // namespace harelink
