//===- hop.cpp - Benchmark of the overhead of a daemon --------------------===//
///
/// \file
/// Keeps a number of calls in flight to an endpoint, alternately directly and through a
/// daemon. Prints the requests per second and the latencies of both, and their ratio.
/// The script utils/bench/hop starts the required processes.
///
//===----------------------------------------------------------------------===//

#include "harelink/Adapters/httpclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <thread>

DEFINE_string(direct, "", "URL of the endpoint.");
DEFINE_string(daemon, "", "URL of the pipeline at the daemon.");
DEFINE_int32(threads, 3, "Number of calling threads.");
DEFINE_int32(in_flight, 8, "Calls in flight per thread.");
DEFINE_int32(calls, 6000, "Calls per thread and round.");
DEFINE_int32(rounds, 3, "Number of rounds, each direct and through the daemon.");
DEFINE_bool(hold, false, "Only send the calls in flight and wait for their completion.");

namespace {

using namespace harelink;

struct Result
{
    double perSecond = 0;
    std::vector<double> millis;
    int failed = 0;
};

/// The calls of one thread.
class Caller
{
public:
    Caller(const std::string &url, int calls)
        : m_remaining(calls)
    {
        m_call.method = "POST";
        m_call.url = url;
        m_call.headers = {"Content-Type: application/json", "Harelink-Account: bench",
                          "Harelink-Deadline-Ms: 30000"};
        m_call.body = R"({"nonce": "bench"})";
        m_call.timeout = std::chrono::seconds(40);
        m_call.resendable = true; // Measures requests on kept connections.
    }
    void run()
    {
        for (int i = 0; i < FLAGS_in_flight && m_remaining > 0; ++i) {
            sendNext();
        }
        while (m_open > 0) {
            m_client.poll(std::chrono::milliseconds(100));
        }
    }
    [[nodiscard]] const std::vector<double> &millis() const { return m_millis; }
    [[nodiscard]] int failed() const { return m_failed; }

private:
    void sendNext()
    {
        --m_remaining;
        ++m_open;
        const TimePoint sentAt = m_clock.now();
        m_client.send(m_call, [this, sentAt](const HttpResult &result) {
            --m_open;
            m_failed += result.status == 200 ? 0 : 1;
            m_millis.push_back(toMilliseconds(m_clock.now() - sentAt));
            if (m_remaining > 0) {
                sendNext();
            }
        });
    }

    SystemClock m_clock;
    HttpClient m_client;
    HttpCall m_call;
    int m_remaining;
    int m_open = 0;
    int m_failed = 0;
    std::vector<double> m_millis;
};

Result measure(const std::string &url, int calls)
{
    const SystemClock clock;
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::thread> threads;
    const TimePoint start = clock.now();
    for (int i = 0; i < FLAGS_threads; ++i) {
        callers.push_back(std::make_unique<Caller>(url, calls));
        threads.emplace_back([caller = callers.back().get()] { caller->run(); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double elapsed = std::chrono::duration<double>(clock.now() - start).count();
    Result result;
    for (const auto &caller : callers) {
        result.millis.insert(result.millis.end(), caller->millis().begin(), caller->millis().end());
        result.failed += caller->failed();
    }
    result.perSecond = static_cast<double>(result.millis.size()) / elapsed;
    std::sort(result.millis.begin(), result.millis.end());
    return result;
}

double quantile(const Result &result, double share)
{
    return result
        .millis[static_cast<std::size_t>(share * static_cast<double>(result.millis.size() - 1))];
}

void print(const char *name, const Result &result)
{
    fmt::print("{:<8} {:>8.0f}/s  p50 {:>7.3f} ms  p99 {:>7.3f} ms  failed {}\n", name,
               result.perSecond, quantile(result, 0.5), quantile(result, 0.99), result.failed);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_hold) {
        print("held", measure(FLAGS_daemon, FLAGS_in_flight));
        return 0;
    }
    for (int round = 0; round < FLAGS_rounds; ++round) {
        const Result direct = measure(FLAGS_direct, FLAGS_calls);
        const Result daemon = measure(FLAGS_daemon, FLAGS_calls);
        print("direct", direct);
        print("daemon", daemon);
        fmt::print("ratio    {:.3f}, added p50 {:.3f} ms, p99 {:.3f} ms\n",
                   daemon.perSecond / direct.perSecond,
                   quantile(daemon, 0.5) - quantile(direct, 0.5),
                   quantile(daemon, 0.99) - quantile(direct, 0.99));
    }
    return 0;
}
