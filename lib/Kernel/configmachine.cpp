//===- configmachine.cpp - Configuration ----------------------------------===//

#include "harelink/Kernel/configmachine.h"

#include "harelink/Kernel/configtableimpl.h"

#include <fmt/ranges.h>

namespace harelink {

template class BasicConfigTable<AllGuards>;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds firstBackOff{100};
constexpr milliseconds longestBackOff{2000};
/// How long the platform may hold a watch open.
constexpr milliseconds watchWait{10'000};

/// Between a watch without news and the next one.
constexpr milliseconds emptyWatchPause{50};

std::string allKinds()
{
    return fmt::format("{}", fmt::join(resourceKinds(), ","));
}

} // namespace

ConfigWatcher::ConfigWatcher(const Clock &clock, ConfigTable &table)
    : m_clock(clock)
    , m_table(table)
    , m_notBefore(clock.now())
    , m_backOff(firstBackOff)
{
}

TimePoint ConfigWatcher::nextTick() const
{
    return m_callId == 0 ? m_notBefore : TimePoint::max();
}

void ConfigWatcher::tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    if (m_callId != 0 || m_clock.now() < m_notBefore) {
        return;
    }
    m_callId = nextCallId++;
    m_listing = m_listNext;
    PlatformCall call;
    call.id = m_callId;
    call.operation = m_listing ? PlatformOperation::List : PlatformOperation::Watch;
    call.kind = allKinds();
    call.since = m_since;
    call.wait = watchWait;
    calls.push_back(std::move(call));
}

bool ConfigWatcher::handle(const PlatformResult &result)
{
    m_callId = 0;
    m_connected =
        result.outcome != PlatformOutcome::Refused && result.outcome != PlatformOutcome::Silent;
    if (result.outcome == PlatformOutcome::Gone) {
        m_listNext = true;
        return false;
    }
    if (result.outcome != PlatformOutcome::Ok) {
        backOff();
        return false;
    }
    m_backOff = firstBackOff;
    bool changed = false;
    if (m_listing) {
        changed = m_table.applyListing(result.objects, result.version);
        // An empty listing is a configuration too: the daemon becomes ready with it.
        changed = changed || !m_synced;
        m_synced = true;
    } else {
        // Each watch is a call that the platform counts: one that ends early and
        // without news must not turn into a storm of them.
        if (result.objects.empty()) {
            m_notBefore = m_clock.now() + emptyWatchPause;
        }
        for (const PlatformObject &object : result.objects) {
            changed = m_table.apply(object) || changed;
        }
    }
    m_listNext = false;
    m_since = std::max(m_since, result.version);
    return changed;
}

void ConfigWatcher::backOff()
{
    m_notBefore = m_clock.now() + m_backOff;
    m_backOff = std::min<Duration>(m_backOff * 2, longestBackOff);
}

} // namespace harelink
