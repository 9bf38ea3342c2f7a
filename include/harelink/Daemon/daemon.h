//===- harelink/Daemon/daemon.h - The whole daemon --------------*- C++ -*-===//
///
/// \file
/// Puts listeners, workers and the control thread together.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_DAEMON_DAEMON_H
#define HARELINK_DAEMON_DAEMON_H

#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/httpserver.h"
#include "harelink/Daemon/control.h"
#include "harelink/Daemon/worker.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace harelink {

/// One daemon.
class Daemon
{
public:
    /// \param requestStop is called, on a thread of the operators' listener, when an
    ///        operator asks for a planned stop; once.
    Daemon(Settings settings, std::function<void()> requestStop);
    ~Daemon();

    /// Starts everything; an error names the address that cannot be had.
    absl::Status start();
    /// Begins a planned stop: not ready any more, but still serving.
    void announceStop();
    /// Goes on with it: new requests are refused.
    void drain();
    /// Whether nothing is in progress any more; asks the workers.
    [[nodiscard]] bool idle();
    /// Answers all that is in progress at once.
    void abandonAll();
    /// Ends everything.
    void stop();
    [[nodiscard]] const Settings &settings() const { return m_settings; }

private:
    void handleCaller(HttpRequest request, const Responder &responder);
    void handleOperator(const HttpRequest &request, const Responder &responder);
    void handleDrain(const HttpRequest &request, const Responder &responder);
    void replyMetrics(const Responder &responder);
    void handleProxied(const HttpRequest &request, const Responder &responder);
    Worker &workerOf(std::uint64_t sequence);

    Settings m_settings;
    std::function<void()> m_requestStop;
    std::atomic<bool> m_stopRequested{false};
    SystemClock m_clock;
    Incarnation m_incarnation;
    std::unique_ptr<const Dialect> m_dialect;
    std::atomic<int> m_liveDaemons{1};
    SnapshotCell m_snapshot;
    std::atomic<std::uint64_t> m_nextSequence{1};
    std::atomic<bool> m_draining{false};
    std::unique_ptr<Control> m_control;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_operators;
};

} // namespace harelink

#endif // HARELINK_DAEMON_DAEMON_H
