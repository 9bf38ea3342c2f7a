//===- harelinkd.cpp - Daemon executable ----------------------------------===//
///
/// \file
/// Serves callers' requests. SIGTERM begins a planned stop. A second SIGTERM stops at
/// once; requests in progress are then answered with their actual outcome.
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
/// Delay after the last answer, so that it reaches its caller.
constexpr std::chrono::milliseconds lastAnswerGrace{100};
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

/// Waits up to \p time for a stop signal; returns whether one arrived.
bool waitForSignal(const sigset_t &signals, std::chrono::milliseconds time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    const std::chrono::nanoseconds rest = time - seconds;
    const timespec limit{seconds.count(), rest.count()};
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

void stopAsPlanned(Daemon &daemon, const sigset_t &signals)
{
    const SystemClock clock;
    const TimePoint limit = clock.now() + daemon.settings().drainLimit;
    daemon.announceStop();
    logger.info(
        "Stopping: reporting not ready to the balancer, then finishing the requests in progress.");
    bool stopNow = waitForSignal(signals, daemon.settings().balancerGrace);
    daemon.drain();
    while (!stopNow && !daemon.idle() && clock.now() < limit) {
        stopNow = waitForSignal(signals, drainPollInterval);
    }
    daemon.abandonAll();
    std::this_thread::sleep_for(lastAnswerGrace);
    daemon.stop();
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
