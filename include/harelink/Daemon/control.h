//===- harelink/Daemon/control.h - The control thread -----------*- C++ -*-===//
///
/// \file
/// Runs the control machines of a daemon (configuration, claims, membership) on
/// one thread and carries out their platform calls.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_CONTROL_H
#define HARELINK_DAEMON_CONTROL_H

#include "harelink/Adapters/eventloop.h"
#include "harelink/Adapters/snapshotcell.h"
#include "harelink/Config/settings.h"
#include "harelink/Kernel/claims.h"
#include "harelink/Kernel/configmachine.h"

#include <atomic>
#include <functional>
#include <thread>

namespace harelink {

/// The control thread.
class Control
{
public:
    using DecisionSink = std::function<void(ClaimDecision)>;

    /// All references outlive the control.
    Control(const Settings &settings, const Clock &clock, SnapshotCell &snapshot,
            Incarnation incarnation, DecisionSink decisions);
    ~Control();

    void start();
    void stop();
    /// Takes in a claim request of a worker; from any thread.
    void request(ClaimRequest request);
    /// Takes in how a claimant ended; from any thread.
    void finish(const ClaimFinish &finish);
    /// Calls \p take with Prometheus text, on the control's thread.
    void report(std::function<void(std::string)> take);
    /// Whether a configuration is in force; from any thread.
    [[nodiscard]] bool ready() const { return m_ready; }

private:
    std::optional<TimePoint> turn();
    void call(const PlatformCall &call);
    void take(const PlatformResult &result);
    void publish();

    const Settings &m_settings;
    const Clock &m_clock;
    SnapshotCell &m_snapshot;
    DecisionSink m_decisions;
    EventLoop m_loop;
    ConfigTable m_table;
    ConfigWatcher m_watcher;
    std::uint64_t m_nextCallId = 1;
    std::uint64_t m_platformCalls = 0;
    std::atomic<bool> m_ready{false};
    std::thread m_thread;
};

} // namespace harelink

#endif // HARELINK_DAEMON_CONTROL_H
