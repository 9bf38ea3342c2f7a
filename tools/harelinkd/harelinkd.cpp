//===- harelinkd.cpp - Daemon executable ----------------------------------===//
///
/// \file
/// Serves callers' requests. SIGTERM begins a planned stop. On a second SIGTERM, requests in
/// progress are answered at once with their actual outcome. Both deliver the answers.
/// SIGHUP reloads the settings file.
///
/// Exit codes: 0 after a planned stop, 78 if the settings are invalid, 1 otherwise.
///
//===----------------------------------------------------------------------===//

#include "harelink/Adapters/dialect.h"
#include "harelink/Config/settings.h"
#include "harelink/Daemon/daemon.h"
#include "harelink/Kernel/registry.h"
#include "harelink/Support/error.h"
#include "harelink/Support/log.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <malloc.h>
#include <unistd.h>

DEFINE_string(config, "", "The settings file, JSON with comments.");
DEFINE_bool(check_config, false, "Validate the settings file and exit.");

namespace {

using namespace harelink;

constexpr Logger logger("daemon");
/// EX_CONFIG of sysexits.h.
constexpr int exitBadSettings = 78;
/// Interval at which a stopping daemon checks whether it is idle.
constexpr std::chrono::milliseconds drainPollInterval{20};
/// Minimum delay after the last answer, so that it reaches its caller where the system doesn't
/// report what is acknowledged.
constexpr std::chrono::milliseconds lastAnswerGrace{100};
/// Interval at which a stopping daemon logs what it waits for.
constexpr std::chrono::milliseconds drainLogInterval{1000};
/// Larger blocks are returned to the system as soon as they are freed.
constexpr int maxHeapBlock = 128 * 1024;

/// Keeps large blocks out of the heap. By default glibc raises the threshold to the largest block
/// that was freed, and growing answers then leave gaps of several times limits.bufferedBytes.
void limitHeap()
{
#ifdef __GLIBC__
    mallopt(M_MMAP_THRESHOLD, maxHeapBlock);
    mallopt(M_TRIM_THRESHOLD, maxHeapBlock);
#endif
}

absl::StatusOr<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(absl::StatusCode::kNotFound, "opening", path, "cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return readSettings(text.str(), path, Registry<RoutingPolicy>::instance().names(),
                        Registry<Dialect>::instance().names());
}

void applyLogLevel(const std::string &level)
{
    if (level == "debug") {
        setLogLevel(LogLevel::Debug);
    } else if (level == "info") {
        setLogLevel(LogLevel::Info);
    } else if (level == "warning") {
        setLogLevel(LogLevel::Warning);
    } else if (level == "error") {
        setLogLevel(LogLevel::Error);
    }
}

/// Returns the signals that stop the daemon.
sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Blocks the stop signals, SIGHUP and SIGPIPE in this and all later threads. A write to a
/// connection that was closed by its peer must end the connection, not the process.
void blockSignals()
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Reloads the settings file. Settings that may change at run time take effect; the log
/// reports whether others differ and need a restart. An invalid file changes nothing.
void reloadSettings(Settings &inForce)
{
    const absl::StatusOr<Settings> settings = loadSettings(FLAGS_config);
    if (!settings.ok()) {
        logger.record(LogLevel::Error, "settings-not-reloaded")
            .field("detail", describeError(settings.status()));
        return;
    }
    applyLogLevel(settings->logLevel);
    inForce.logLevel = settings->logLevel;
    logger.record(LogLevel::Info, "settings-reloaded")
        .field("logLevel", settings->logLevel)
        .field("needsRestart", *settings == inForce ? "no" : "yes");
}

/// Waits for a stop signal; reloads the settings on SIGHUP.
void serveUntilStopped(Settings settings)
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        if (signal == SIGHUP) {
            reloadSettings(settings);
        }
    }
}

sigset_t noSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    return signals;
}

/// Waits up to \p time for a stop signal; returns whether one arrived.
bool waitForSignal(const sigset_t &signals, std::chrono::milliseconds time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    const std::chrono::nanoseconds rest = time - seconds;
    const timespec limit{seconds.count(), rest.count()};
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

/// Logs what callers may not have received as \p event.
void logUndelivered(LogLevel level, std::string_view event, const UndeliveredReplies &left,
                    Duration since)
{
    logger.record(level, event)
        .field("afterMs", static_cast<std::int64_t>(toMilliseconds(since)))
        .field("unwrittenReplies", left.requests)
        .field("unacknowledgedConnections", left.connections)
        .field("unacknowledgedBytes", left.bytes);
}

/// Waits until \p isDone returns true, for a stop signal, or until \p limit. Returns whether a
/// signal arrived.
template <typename Condition>
bool waitUntil(const Condition &isDone, const Daemon &daemon, const sigset_t &signals,
               TimePoint limit)
{
    const SystemClock clock;
    const TimePoint start = clock.now();
    TimePoint logAt = start + drainLogInterval;
    while (!isDone()) {
        const TimePoint now = clock.now();
        if (now >= limit) {
            return false;
        }
        if (now >= logAt) {
            logAt += drainLogInterval;
            logUndelivered(LogLevel::Info, "stop-waits", daemon.undelivered(), now - start);
        }
        if (waitForSignal(signals, drainPollInterval)) {
            return true;
        }
    }
    return false;
}

void stopAsPlanned(Daemon &daemon, const sigset_t &signals)
{
    const SystemClock clock;
    const TimePoint start = clock.now();
    const TimePoint limit = start + daemon.settings().drainLimit;
    daemon.announceStop();
    logger.info(
        "Stopping: reporting not ready to the balancer, then finishing the requests in progress.");
    const bool stopNow = waitForSignal(signals, daemon.settings().balancerGrace);
    daemon.drain();
    if (!stopNow) {
        waitUntil([&daemon] { return daemon.idle(); }, daemon, signals, limit);
    }
    daemon.closeNewConnections();
    daemon.abandonAll();
    std::this_thread::sleep_for(lastAnswerGrace);
    // A further signal doesn't cut off what callers are reading.
    const sigset_t none = noSignals();
    waitUntil([&daemon] { return daemon.undelivered().isEmpty(); }, daemon, none, limit);
    const UndeliveredReplies left = daemon.undelivered();
    daemon.stop();
    logUndelivered(left.isEmpty() ? LogLevel::Info : LogLevel::Warning, "stopped", left,
                   clock.now() - start);
    logger.info("Stopped.");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("harelinkd --config FILE [--check_config]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const absl::StatusOr<Settings> settings = loadSettings(FLAGS_config);
    if (!settings.ok()) {
        fmt::print(stderr, "harelinkd: {}\n", describeError(settings.status()));
        return exitBadSettings;
    }
    if (FLAGS_check_config) {
        fmt::print("{}: the settings are valid\n", FLAGS_config);
        return 0;
    }
    limitHeap();
    applyLogLevel(settings->logLevel);
    blockSignals();
    // A stop requested over the operator API is handled like the signal.
    Daemon daemon(*settings, [] { ::kill(::getpid(), SIGTERM); });
    const absl::Status started = daemon.start();
    if (!started.ok()) {
        logger.error("Cannot start: {}.", describeError(started));
        return 1;
    }
    serveUntilStopped(*settings);
    stopAsPlanned(daemon, stopSignals());
    return 0;
}
