//===- load.cpp - Load generator that checks every answer -----------------===//
///
/// \file
/// Sends a fixed number of requests to several daemons, spread as by a load balancer.
/// Checks whether each answer is complete, in time, and belongs to its request. Prints
/// one JSON line of counts.
///
/// A request without any answer is retried at another daemon, with the same
/// idempotency key if it has one, as callers do.
///
//===----------------------------------------------------------------------===//

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/httpclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

DEFINE_string(daemons, "", "Comma-separated addresses of the daemons for callers.");
DEFINE_string(accounts, "", "Comma-separated client accounts.");
DEFINE_string(tokens, "",
              "Comma-separated bearer tokens of the accounts, in the same order; may be empty.");
DEFINE_string(pipelines, "", "Comma-separated repeatable pipelines.");
DEFINE_string(once, "", "Comma-separated pipelines that may not be repeated.");
DEFINE_int32(count, 100, "Number of requests to send.");
DEFINE_int32(per_second, 100, "Requests per second.");
DEFINE_int32(deadline_ms, 4000, "Deadline of each request in milliseconds.");
DEFINE_bool(stream, false, "Request streamed answers from repeatable pipelines.");
DEFINE_string(run, "run", "Name of this run, a prefix of its keys and nonces.");

namespace {

using namespace harelink;

constexpr int maxAttempts = 3;
constexpr int tokenCount = 32;
/// Time after the deadline for which an answer is still accepted.
constexpr std::chrono::milliseconds lateAnswerPeriod{2000};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

struct Tally
{
    int sent = 0;
    int completed = 0;
    int attained = 0;
    int notRun = 0;
    int incomplete = 0;
    int unknown = 0;
    int unanswered = 0; ///< The connection broke without an answer.
    int mixedUp = 0;
    int refusedByRule = 0; ///< 4xx other than 409 and 429.
    int streams = 0;       ///< Streamed answers.
    int wrongTokens = 0;   ///< Streams with a duplicate, missing or foreign token.
    int endless = 0;       ///< Streams without a closing event.
};

/// Cost of one account's requests at one stage.
struct StageTotal
{
    double cost = 0;
    double millis = 0;
    int runs = 0;
};

class Load
{
public:
    void run()
    {
        const SystemClock clock;
        const TimePoint start = clock.now();
        const Duration gap = std::chrono::nanoseconds(1'000'000'000 / FLAGS_per_second);
        int next = 0;
        while (next < FLAGS_count || m_open > 0) {
            while (next < FLAGS_count && start + gap * next <= clock.now()) {
                send(next++, 1);
            }
            m_client.poll(next < FLAGS_count ? std::chrono::milliseconds(1)
                                             : std::chrono::milliseconds(50));
        }
    }

    void print() const
    {
        nlohmann::json out = {{"sent", m_tally.sent},
                              {"completed", m_tally.completed},
                              {"attained", m_tally.attained},
                              {"notRun", m_tally.notRun},
                              {"incomplete", m_tally.incomplete},
                              {"unknown", m_tally.unknown},
                              {"unanswered", m_tally.unanswered},
                              {"mixedUp", m_tally.mixedUp},
                              {"refusedByRule", m_tally.refusedByRule},
                              {"streams", m_tally.streams},
                              {"wrongTokens", m_tally.wrongTokens},
                              {"endless", m_tally.endless}};
        for (const auto &[where, total] : m_stages) {
            out["stages"][where.first][where.second] = {
                {"cost", total.cost}, {"runs", total.runs}, {"ms", total.millis}};
        }
        fmt::print("{}\n", out.dump());
    }

private:
    void send(int number, int attempt)
    {
        if (attempt == 1) {
            ++m_tally.sent;
        }
        ++m_open;
        const std::size_t account = static_cast<std::size_t>(number) % m_accounts.size();
        const std::size_t all = m_pipelines.size() + m_once.size();
        const std::size_t kind = static_cast<std::size_t>(number / 3) % all;
        const bool once = kind >= m_pipelines.size();
        const std::string &pipeline = once ? m_once[kind - m_pipelines.size()] : m_pipelines[kind];
        const std::string nonce = fmt::format("{}-{}", FLAGS_run, number);
        const auto daemon = static_cast<std::size_t>(number + attempt - 1) % m_daemons.size();

        HttpCall call;
        call.method = "POST";
        call.url = fmt::format("http://{}/v1/pipelines/{}/requests", m_daemons[daemon], pipeline);
        call.headers = {"Content-Type: application/json",
                        "Harelink-Account: " + m_accounts[account],
                        fmt::format("Harelink-Deadline-Ms: {}", FLAGS_deadline_ms)};
        if (account < m_tokens.size()) {
            call.headers.push_back("Authorization: Bearer " + m_tokens[account]);
        }
        if (once) {
            call.headers.push_back("Idempotency-Key: " + nonce);
        }
        if (FLAGS_stream && !once) {
            call.headers.emplace_back("Accept: text/event-stream");
        }
        call.body = nlohmann::json{{"nonce", nonce}, {"maxTokens", tokenCount}}.dump();
        call.timeout = std::chrono::milliseconds(FLAGS_deadline_ms) + lateAnswerPeriod;
        call.resendable = false;
        const TimePoint sentAt = m_clock.now();
        m_client.send(call, [=, this](const HttpResult &result) {
            --m_open;
            // Retrying is safe: the pipeline is repeatable or the request has a key.
            if (result.status == 0 && attempt < maxAttempts) {
                send(number, attempt + 1);
                return;
            }
            checkResult(result, nonce, m_accounts[account], m_clock.now() - sentAt);
        });
    }

    void checkResult(const HttpResult &result, const std::string &nonce, const std::string &account,
                     Duration elapsed)
    {
        if (result.status != 0 && result.header("content-type") == eventStreamType) {
            checkStream(result, nonce, elapsed);
            return;
        }
        const std::string outcome = result.header("harelink-outcome");
        if (result.status == 0 || outcome.empty()) {
            ++m_tally.unanswered;
            return;
        }
        if (outcome == "completed") {
            checkAnswer(result, nonce, elapsed);
            addStages(result.header("harelink-stages"), account);
        } else if (outcome == "not-run") {
            const bool byRule = result.status < 500 && result.status != 429;
            ++(byRule ? m_tally.refusedByRule : m_tally.notRun);
        } else if (outcome == "incomplete") {
            ++m_tally.incomplete;
        } else {
            ++m_tally.unknown;
        }
    }

    /// Checks that each token arrives once, in order and for this request, and that the
    /// last event reports the outcome.
    void checkStream(const HttpResult &result, const std::string &nonce, Duration elapsed)
    {
        ++m_tally.streams;
        EventReader reader;
        reader.feed(result.body);
        std::string outcome;
        int tokens = 0;
        bool isCorrect = true;
        while (const std::optional<std::string> data = reader.next()) {
            const nlohmann::json event = nlohmann::json::parse(*data, nullptr, false);
            if (event.contains("outcome")) {
                outcome = event["outcome"].get<std::string>();
                continue;
            }
            const std::string expected = fmt::format(" w{}-{}", tokens, nonce);
            isCorrect = isCorrect && event.value("token", -1) == tokens
                        && event.value("text", "") == expected;
            ++tokens;
        }
        m_tally.endless += outcome.empty() ? 1 : 0;
        m_tally.wrongTokens += isCorrect ? 0 : 1;
        if (outcome == "completed") {
            ++m_tally.completed;
            m_tally.wrongTokens += tokens == tokenCount ? 0 : 1;
            const bool inTime = elapsed <= std::chrono::milliseconds(FLAGS_deadline_ms);
            m_tally.attained += isCorrect && inTime ? 1 : 0;
            return;
        }
        ++(outcome == "incomplete" ? m_tally.incomplete : m_tally.unknown);
    }

    void checkAnswer(const HttpResult &result, const std::string &nonce, Duration elapsed)
    {
        ++m_tally.completed;
        // The nonce is enclosed in quotes, which are escaped within a completion's text.
        const bool own = result.body.find('"' + nonce + '"') != std::string::npos
                         || result.body.find('"' + nonce + '\\') != std::string::npos;
        m_tally.mixedUp += own ? 0 : 1;
        const bool inTime = elapsed <= std::chrono::milliseconds(FLAGS_deadline_ms);
        m_tally.attained += own && inTime ? 1 : 0;
    }

    /// Parses "encode;dur=1.5;cost=0.1;sends=1, rerank;...".
    void addStages(const std::string &header, const std::string &account)
    {
        std::stringstream stages(header);
        std::string stage;
        while (std::getline(stages, stage, ',')) {
            std::stringstream fields(stage);
            std::string name;
            std::getline(fields >> std::ws, name, ';');
            StageTotal &total = m_stages[{account, name}];
            ++total.runs;
            std::string field;
            while (std::getline(fields, field, ';')) {
                if (field.rfind("dur=", 0) == 0) {
                    total.millis += std::stod(field.substr(4));
                } else if (field.rfind("cost=", 0) == 0) {
                    total.cost += std::stod(field.substr(5));
                }
            }
        }
    }

    SystemClock m_clock;
    HttpClient m_client;
    std::vector<std::string> m_daemons = split(FLAGS_daemons);
    std::vector<std::string> m_accounts = split(FLAGS_accounts);
    std::vector<std::string> m_tokens = split(FLAGS_tokens);
    std::vector<std::string> m_pipelines = split(FLAGS_pipelines);
    std::vector<std::string> m_once = split(FLAGS_once);
    int m_open = 0;
    Tally m_tally;
    std::map<std::pair<std::string, std::string>, StageTotal> m_stages;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_daemons.empty() || FLAGS_accounts.empty()
        || (FLAGS_pipelines.empty() && FLAGS_once.empty())) {
        fmt::print(stderr, "load: --daemons, --accounts and a pipeline are needed\n");
        return 2;
    }
    Load load;
    load.run();
    load.print();
    return 0;
}
