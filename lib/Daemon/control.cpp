//===- control.cpp - The control thread -----------------------------------===//

#include "harelink/Daemon/control.h"

#include "harelink/Adapters/platformclient.h"
#include "harelink/Daemon/metrics.h"
#include "harelink/Support/log.h"

#include <algorithm>

namespace harelink {
namespace {

constexpr Logger logger("control");

} // namespace

Control::Control(const Settings &settings, const Clock &clock, SnapshotCell &snapshot,
                 Incarnation incarnation, DecisionSink decisions)
    : m_settings(settings)
    , m_clock(clock)
    , m_snapshot(snapshot)
    , m_decisions(std::move(decisions))
    , m_watcher(clock, m_table)
{
    (void)incarnation;
}

Control::~Control()
{
    stop();
}

void Control::start()
{
    m_thread = std::thread([this] { m_loop.run(m_clock, [this] { return turn(); }); });
}

void Control::stop()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
}

void Control::request(ClaimRequest request)
{
    m_loop.post([this, request = std::move(request)] {
        m_decisions({request.claimant, request.key, ClaimVerdict::Unavailable, std::string()});
    });
}

void Control::finish(const ClaimFinish &finish)
{
    (void)finish;
}

std::optional<TimePoint> Control::turn()
{
    std::vector<PlatformCall> calls;
    m_watcher.tick(calls, m_nextCallId);
    for (const PlatformCall &next : calls) {
        call(next);
    }
    return m_watcher.nextTick();
}

void Control::call(const PlatformCall &call)
{
    ++m_platformCalls;
    const HttpCall http =
        encodePlatformCall(call, m_settings.platformAddress, m_settings.platformTimeout);
    m_loop.http().send(http, [this, id = call.id](const HttpResult &result) {
        take(decodePlatformResult(id, result));
    });
}

void Control::take(const PlatformResult &result)
{
    if (m_watcher.owns(result.id)) {
        const bool before = m_watcher.connected();
        const bool changed = m_watcher.handle(result);
        if (before != m_watcher.connected()) {
            logger.warning("The platform {}.", before ? "does not answer" : "answers");
        }
        if (changed) {
            publish();
        }
    }
}

void Control::publish()
{
    const std::vector<Resource> resources = m_table.resources();
    m_snapshot.publish(
        buildSnapshot(resources, m_table.revision(), m_settings.dataCentre, &m_snapshot.current()));
    logger.info("Configuration {} is in force, with {} resources.", m_table.revision(),
                resources.size());
    for (const auto &[key, entry] : m_table.entries()) {
        if (!entry.fault.empty()) {
            logger.warning("{}/{} version {} is not in force: {}.", key.first, key.second,
                           entry.seen, entry.fault);
        }
    }
    m_ready = true;
}

void Control::report(std::function<void(std::string)> take)
{
    m_loop.post([this, take = std::move(take)] {
        std::string text;
        renderValue("harelink_platform_calls_total", "counter",
                    static_cast<double>(m_platformCalls), text);
        renderValue("harelink_config_version", "gauge", static_cast<double>(m_table.revision()),
                    text);
        renderValue("harelink_platform_connected", "gauge", m_watcher.connected() ? 1 : 0, text);
        take(std::move(text));
    });
}

} // namespace harelink
