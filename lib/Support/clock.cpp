//===- clock.cpp - Clock interface ----------------------------------------===//

#include "harelink/Support/clock.h"

#include <cassert>

namespace harelink {

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
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
