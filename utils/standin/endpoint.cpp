//===- endpoint.cpp - Stand-in for an endpoint ----------------------------===//
///
/// \file
/// A model engine, a stage pool or a plain service, selected by --kind. It runs
/// --slots calls at a time, queues as many more and refuses the rest with 429
/// before running them. Its answers echo the caller's "nonce", so that a
/// misdirected answer is detected. Fault injection:
///
///   POST /control  {"slowFactor": F, "failing": bool, "hanging": bool,
///                   "refusing": bool, "breakAfterTokens": N, "rateLimit": "R",
///                   "retryAfter": "S", "leaving": bool, "coldMs": N, "brittle": "R",
///                   "loadPercent": P}
///     (rateLimit, retryAfter and brittle are sent verbatim; empty for none; with a loadPercent
///     other than 0, all answers contain a load report)
///   GET  /status    reports in headers how long it stays cold, and its load
///   GET  /counters  runs, runs per idempotency key, prefix hits, broken and resumed streams
///
/// While it is brittle, it queues no calls, and exits if it rejects more than R in a second.
///
/// A model engine streams its answer on request: token N of an answer is " wN-NONCE".
/// If the prompt ends in such tokens, the stream continues after the last of them, as a
/// model continues any text.
///
//===----------------------------------------------------------------------===//

#include "serve.h"

#include "harelink/Adapters/httpserver.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Support/hash.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <list>
#include <mutex>

DEFINE_string(address, "127.0.0.1:0", "Address to listen on.");
DEFINE_string(kind, "stage-pool", "model-engine, stage-pool or plain-service.");
DEFINE_int32(slots, 8, "Maximum number of running calls.");
DEFINE_double(base_ms, 5, "Base time of a call in milliseconds.");
DEFINE_double(token_ms, 0.1, "Time per token of a model engine in milliseconds.");
DEFINE_string(crash_on, "", "Exit at once on starting to run a body that contains this text.");
DEFINE_int32(prefixes, 32, "Capacity of a model engine's prompt prefix cache.");

namespace {

using namespace harelink;

constexpr std::size_t prefixBytes = 256;
/// Fraction of the base time that a cached prefix saves.
constexpr double prefixSaving = 0.6;

struct Switches
{
    double slowFactor = 1;
    bool failing = false;
    bool hanging = false;
    bool refusing = false;
    int breakAfterTokens = 0; ///< Breaks each stream after this number of tokens; 0 for never.
    std::string rateLimit;    ///< Announced in all answers; empty for none.
    std::string retryAfter;   ///< Sent in refusals; empty for none.
    bool leaving = false;     ///< Announced in all answers.
    std::string brittle;      ///< Bearable rejections per second, announced in all answers.
    int loadPercent = 0;      ///< Percentage of the load report in all answers; 0 for no report.
    std::chrono::steady_clock::time_point coldUntil; ///< Reported by /status.
};

/// LRU cache of prompt prefixes.
class PrefixCache
{
public:
    /// Adds \p prefix as the most recent one; returns whether it was cached.
    bool touch(std::uint64_t prefix)
    {
        const auto found = std::find(m_recent.begin(), m_recent.end(), prefix);
        const bool hit = found != m_recent.end();
        if (hit) {
            m_recent.erase(found);
        }
        m_recent.push_front(prefix);
        if (m_recent.size() > static_cast<std::size_t>(FLAGS_prefixes)) {
            m_recent.pop_back();
        }
        return hit;
    }

private:
    std::list<std::uint64_t> m_recent;
};

/// Exit status after a request that matches --crash_on, and after too many rejections.
constexpr int crashStatus = 70;

struct Job
{
    HttpRequest request;
    Responder responder;
};

/// A streamed answer.
struct Stream
{
    Responder responder;
    HttpReply head;
    std::string nonce;
    int next = 0; ///< Index of the next token to send.
    int end = 0;  ///< Index of the token before which the stream ends.
    bool whole = true;
};

/// Returns the text between the last \p mark in \p text and the next quote.
std::string quotedTextAfter(const std::string &text, std::string_view mark)
{
    const std::size_t markOffset = text.rfind(mark);
    if (markOffset == std::string::npos) {
        return {};
    }
    const std::size_t begin = markOffset + mark.size();
    return text.substr(begin, text.find('"', begin) - begin);
}

/// Returns the number of tokens of the answer that \p prompt already contains.
int countTokens(const std::string &prompt, const std::string &nonce)
{
    int count = 0;
    while (prompt.find(fmt::format(" w{}-{}", count, nonce)) != std::string::npos) {
        ++count;
    }
    return count;
}

class Endpoint
{
public:
    void attach(HttpServer *server) { m_server = server; }

    void handle(HttpRequest request, const Responder &responder)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (request.path == "/control") {
            responder(control(request));
            return;
        }
        if (request.path == "/counters") {
            responder(counters());
            return;
        }
        if (request.path == "/status") {
            responder(status(request));
            return;
        }
        if (m_switches.hanging) {
            m_hangingCalls.push_back(responder);
            return;
        }
        if (m_switches.failing) {
            responder(reply(request, 500, {{"error", "failing"}}));
            return;
        }
        const auto most = static_cast<std::size_t>(FLAGS_slots);
        const bool hasRoom =
            m_switches.brittle.empty() ? m_queue.size() < most : m_active < FLAGS_slots;
        if (m_switches.refusing || !hasRoom) {
            ++m_refused;
            recordRejection();
            responder(reply(request, 429, {{"error", "full"}}));
            return;
        }
        m_queue.push_back({std::move(request), responder});
        startNext();
    }

private:
    HttpReply control(const HttpRequest &request)
    {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return reply(request, 400, {{"error", "not a json object"}});
        }
        m_switches.slowFactor = body.value("slowFactor", m_switches.slowFactor);
        m_switches.failing = body.value("failing", m_switches.failing);
        m_switches.hanging = body.value("hanging", m_switches.hanging);
        m_switches.refusing = body.value("refusing", m_switches.refusing);
        m_switches.breakAfterTokens = body.value("breakAfterTokens", m_switches.breakAfterTokens);
        m_switches.rateLimit = body.value("rateLimit", m_switches.rateLimit);
        m_switches.retryAfter = body.value("retryAfter", m_switches.retryAfter);
        m_switches.leaving = body.value("leaving", m_switches.leaving);
        m_switches.brittle = body.value("brittle", m_switches.brittle);
        m_switches.loadPercent = body.value("loadPercent", m_switches.loadPercent);
        if (body.contains("coldMs")) {
            m_switches.coldUntil = std::chrono::steady_clock::now()
                                   + std::chrono::milliseconds(body.value("coldMs", 0));
        }
        return reply(request, 200, {{"ok", true}});
    }

    HttpReply status(const HttpRequest &request) const
    {
        using std::chrono::milliseconds;
        const auto left = std::chrono::duration_cast<milliseconds>(
            m_switches.coldUntil - std::chrono::steady_clock::now());
        HttpReply answer = reply(request, 200, {{"ok", true}});
        if (left > milliseconds(0)) {
            answer.headers.emplace_back(coldHeader, fmt::format("{}", left.count()));
        }
        return answer;
    }

    HttpReply counters() const
    {
        std::uint64_t most = 0;
        for (const auto &[key, runs] : m_runsByKey) {
            most = std::max(most, runs);
        }
        nlohmann::json body = {{"runs", m_runs},
                               {"refused", m_refused},
                               {"prefixHits", m_prefixHits},
                               {"keys", m_runsByKey.size()},
                               {"brokenStreams", m_brokenStreams},
                               {"resumedStreams", m_resumedStreams},
                               {"mostRunsOfAKey", most}};
        HttpReply answer;
        answer.body = body.dump();
        return answer;
    }

    HttpReply reply(const HttpRequest &request, int status, const nlohmann::json &body) const
    {
        HttpReply answer;
        answer.status = status;
        answer.headers.emplace_back("X-Request-Id", request.header("x-request-id"));
        answer.headers.emplace_back("X-Active-Requests", fmt::format("{}", m_active));
        if (m_switches.loadPercent != 0) {
            answer.headers.emplace_back(loadHeader,
                                        fmt::format("{},{},{},{}", m_active, m_queue.size(),
                                                    FLAGS_slots, m_switches.loadPercent));
        }
        if (!m_switches.rateLimit.empty()) {
            answer.headers.emplace_back(rateLimitHeader, m_switches.rateLimit);
        }
        if (status == 429 && !m_switches.retryAfter.empty()) {
            answer.headers.emplace_back("Retry-After", m_switches.retryAfter);
        }
        if (m_switches.leaving) {
            answer.headers.emplace_back(leavingHeader, "1");
        }
        if (!m_switches.brittle.empty()) {
            answer.headers.emplace_back(brittleHeader, m_switches.brittle);
        }
        answer.body = body.dump();
        return answer;
    }

    /// Exits if a brittle endpoint has rejected more calls within a second than it bears.
    void recordRejection()
    {
        const auto now = std::chrono::steady_clock::now();
        m_rejections.push_back(now);
        while (now - m_rejections.front() > std::chrono::seconds(1)) {
            m_rejections.pop_front();
        }
        const double bearable = std::strtod(m_switches.brittle.c_str(), nullptr);
        if (!m_switches.brittle.empty() && static_cast<double>(m_rejections.size()) > bearable) {
            std::_Exit(crashStatus);
        }
    }

    void startNext()
    {
        while (m_active < FLAGS_slots && !m_queue.empty()) {
            Job job = std::move(m_queue.front());
            m_queue.pop_front();
            ++m_active;
            ++m_runs;
            if (!FLAGS_crash_on.empty()
                && job.request.body.find(FLAGS_crash_on) != std::string::npos) {
                std::_Exit(crashStatus);
            }
            const std::string key = job.request.header("idempotency-key");
            if (!key.empty()) {
                ++m_runsByKey[key];
            }
            const double millis = callMillis(job.request) * m_switches.slowFactor;
            const auto delay = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(millis));
            m_server->runAfter(delay,
                               [this, job = std::move(job), millis] { finish(job, millis); });
        }
    }

    double callMillis(const HttpRequest &request)
    {
        if (FLAGS_kind != "model-engine") {
            return FLAGS_base_ms;
        }
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        const std::string prompt = body.value("prompt", "");
        const bool hit = m_prefixes.touch(hash64(prompt.substr(0, prefixBytes)));
        m_prefixHits += hit ? 1 : 0;
        // The tokens of a stream are delayed one by one in streamNext().
        const int tokens = body.value("stream", false) ? 0 : body.value("max_tokens", 0);
        return FLAGS_base_ms * (hit ? 1 - prefixSaving : 1) + FLAGS_token_ms * tokens;
    }

    void finish(const Job &job, double millis)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        const nlohmann::json body = nlohmann::json::parse(job.request.body, nullptr, false);
        if (FLAGS_kind == "model-engine" && body.value("stream", false)) {
            beginStream(job, body);
            return;
        }
        --m_active;
        HttpReply answer = reply(job.request, 200, answerTo(job.request));
        answer.headers.emplace_back("Server-Timing", fmt::format("run;dur={:.3f}", millis));
        job.responder(std::move(answer));
        startNext();
    }

    void beginStream(const Job &job, const nlohmann::json &body)
    {
        const std::string prompt = body.value("prompt", "");
        auto stream = std::make_shared<Stream>();
        stream->responder = job.responder;
        stream->head = reply(job.request, 200, {});
        stream->head.contentType = "text/event-stream";
        stream->nonce = quotedTextAfter(prompt, "\"nonce\":\"");
        stream->next = countTokens(prompt, stream->nonce);
        m_resumedStreams += stream->next > 0 ? 1 : 0;
        stream->end = stream->next + body.value("max_tokens", 0);
        if (m_switches.breakAfterTokens > 0) {
            const int breakAt = stream->next + m_switches.breakAfterTokens;
            stream->whole = stream->end <= breakAt;
            stream->end = std::min(stream->end, breakAt);
        }
        streamNext(stream);
    }

    void streamNext(const std::shared_ptr<Stream> &stream)
    {
        HttpReply part = stream->head;
        part.more = stream->next < stream->end;
        part.body = stream->whole ? "data: [DONE]\n\n" : "";
        if (part.more) {
            const std::string text = fmt::format(" w{}-{}", stream->next, stream->nonce);
            const nlohmann::json choice = {{"text", text}, {"finish_reason", nullptr}};
            const nlohmann::json event = {{"choices", nlohmann::json::array({choice})}};
            part.body = "data: " + event.dump() + "\n\n";
        } else {
            --m_active;
            m_brokenStreams += stream->whole ? 0 : 1;
        }
        stream->responder(part);
        ++stream->next;
        if (!part.more) {
            startNext();
            return;
        }
        const auto pause = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(FLAGS_token_ms * m_switches.slowFactor));
        m_server->runAfter(pause, [this, stream] {
            const std::lock_guard<std::mutex> guard(m_mutex);
            streamNext(stream);
        });
    }

    nlohmann::json answerTo(const HttpRequest &request) const
    {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (FLAGS_kind == "model-engine") {
            const nlohmann::json choice = {{"text", "answer to " + body.value("prompt", "")},
                                           {"finish_reason", "stop"}};
            return {{"choices", nlohmann::json::array({choice})}};
        }
        if (FLAGS_kind == "plain-service") {
            return {{"nonce", body.value("nonce", "")}, {"key", request.header("idempotency-key")}};
        }
        const nlohmann::json from = body.value("request", nlohmann::json::object());
        return {{"output", {{"nonce", from.value("nonce", "")}, {"stage", request.path}}}};
    }

    std::mutex m_mutex;
    HttpServer *m_server = nullptr;
    Switches m_switches;
    PrefixCache m_prefixes;
    std::deque<Job> m_queue;
    std::vector<Responder> m_hangingCalls;
    int m_active = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_prefixHits = 0;
    std::uint64_t m_brokenStreams = 0;
    std::uint64_t m_resumedStreams = 0;
    std::deque<std::chrono::steady_clock::time_point> m_rejections; ///< Of the last second.
    std::map<std::string, std::uint64_t> m_runsByKey;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Endpoint endpoint;
    HttpServerOptions options;
    options.address = FLAGS_address;
    return harelink::standin::serve(
        options,
        [&](HttpRequest request, const Responder &to) { endpoint.handle(std::move(request), to); },
        [&](HttpServer *server) { endpoint.attach(server); });
}
