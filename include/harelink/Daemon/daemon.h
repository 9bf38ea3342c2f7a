//===- harelink/Daemon/daemon.h - Daemon ------------------------*- C++ -*-===//
///
/// \file
/// Owns the HTTP listeners, the workers and the control thread of one daemon.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_DAEMON_H
#define HARELINK_DAEMON_DAEMON_H

#include "harelink/Adapters/descriptors.h"
#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/httpserver.h"
#include "harelink/Daemon/control.h"
#include "harelink/Daemon/worker.h"
#include "harelink/Kernel/connectiongate.h"
#include "harelink/Kernel/hostload.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace harelink {

/// Starts, drains and stops the threads of one daemon and routes requests to the workers.
class Daemon
{
public:
    /// \param requestStop is called once, on a thread of the operators' listener, when an
    ///        operator requests a planned stop.
    Daemon(Settings settings, std::function<void()> requestStop);
    ~Daemon();

    /// Starts all threads and listeners. The error names the address that cannot be bound.
    absl::Status start();
    /// Begins a planned stop: reports not ready, but still serves new requests.
    void announceStop();
    /// Continues a planned stop: refuses new requests.
    void drain();
    /// Returns whether no request is in progress and the control thread is idle. Blocks until
    /// the workers and the control thread have replied.
    [[nodiscard]] bool idle();
    /// Closes new connections of callers unread.
    void closeNewConnections();
    /// Returns what callers may not have received. Complete only while no request is in progress.
    [[nodiscard]] UndeliveredReplies undelivered() const;
    /// Answers all requests in progress immediately.
    void abandonAll();
    /// Stops the listeners, the workers and the control thread.
    void stop();
    [[nodiscard]] const Settings &settings() const { return m_settings; }

private:
    void handleCaller(HttpRequest request, const Responder &responder);
    void handleOperator(const HttpRequest &request, const Responder &responder);
    void scheduleLoadSample();
    void freeDescriptors(TimePoint now);
    void recordLoad(const HostLoadSample &sample, TimePoint now);
    void handleDrain(const HttpRequest &request, const Responder &responder);
    void replyMetrics(const Responder &responder);
    void handleProxied(HttpRequest request, const Responder &responder);
    [[nodiscard]] bool mayAccept();
    [[nodiscard]] HttpReply makeRefusal(const HttpRequest &request) const;
    Worker &workerFor(std::uint64_t sequence);

    Settings m_settings;
    std::function<void()> m_requestStop;
    std::atomic<bool> m_stopRequested{false};
    SystemClock m_clock;
    BufferBudget m_buffers;
    RequestIntake m_intake; ///< Of callers.
    RequestIntake m_operatorIntake;
    const DescriptorLimit m_descriptors;
    HostLoad m_load;
    std::mutex m_gateMutex; ///< Guards m_average and m_gate.
    HostLoadAverage m_average;
    ConnectionGate m_gate;
    // Used by one thread of the callers' listener at a time.
    TimePoint m_loadLoggedAt;
    TimePoint m_descriptorsFreedAt;
    Incarnation m_incarnation;
    std::unique_ptr<const Dialect> m_dialect;
    std::atomic<int> m_liveDaemons{1};
    SnapshotCell m_snapshot;
    std::atomic<std::uint64_t> m_nextSequence{1};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_closesNewConnections{false};
    std::unique_ptr<Control> m_control;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_operators;
};

} // namespace harelink

#endif // HARELINK_DAEMON_DAEMON_H
