//===- clock.cpp - Clock interface ----------------------------------------===//

#include "harelink/Support/clock.h"

#include <cassert>
#include <ctime>

namespace harelink {

TimePoint SystemClock::now() const
{
    // The standard steady clock stands still while the host is suspended. Deadlines do not:
    // after seconds of it callers are gone, and peers that seem to have spoken a moment ago
    // are not.
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
    assert(now >= m_now && "a clock never goes back");
    m_now = now;
}

double toMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace harelink
