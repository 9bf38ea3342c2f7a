//===- callcommand.cpp - The call command ---------------------------------===//

#include "commands.h"
#include "platform.h"

#include "harelink/Adapters/eventstream.h"
#include "harelink/Adapters/httpclient.h"
#include "harelink/Support/error.h"

#include <cstdio>
#include <optional>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(daemon, "127.0.0.1:7000", "call: the daemon's address for callers.");
DEFINE_string(account, "", "call: the client account.");
DEFINE_string(token, "", "call: the account's bearer token.");
DEFINE_string(key, "", "call: the idempotency key.");
DEFINE_string(body, "{}", "call: the request body, JSON.");
DEFINE_int32(deadline_ms, 4000, "call: the deadline in milliseconds.");
DEFINE_bool(stream, false, "call: stream the answer.");

namespace harelink::cli {
namespace {

/// Time after the deadline for which the command still waits for an answer.
constexpr std::chrono::seconds answerGracePeriod{2};

/// Prints a streamed answer.
class StreamPrinter
{
public:
    /// Handles the next part of the body.
    void handleBody(const std::string &body)
    {
        m_reader.feed(body);
        while (const std::optional<std::string> data = m_reader.next()) {
            const nlohmann::json event = nlohmann::json::parse(*data, nullptr, false);
            if (event.is_object() && event.contains("outcome")) {
                m_closingEvent = event;
            } else if (event.is_object() && event.contains("text")) {
                fmt::print("{}", event["text"].get<std::string>());
                std::fflush(stdout);
            } else {
                fmt::print("{}", *data);
            }
        }
    }
    /// Prints the outcome and returns the exit code. An answer without a closing event is
    /// incomplete.
    int finish() const
    {
        fmt::print("\n");
        if (m_closingEvent.is_null()) {
            fmt::print(stderr, "harelink: the answer broke off and is incomplete\n");
            return ExitFailed;
        }
        fmt::print(stderr, "outcome {}, request {}, {} tokens, stages {}\n",
                   m_closingEvent.value("outcome", ""), m_closingEvent.value("requestId", ""),
                   m_closingEvent.value("tokens", 0), m_closingEvent.value("stages", ""));
        return m_closingEvent.value("outcome", "") == "completed" ? ExitDone : ExitFailed;
    }

private:
    EventReader m_reader;
    nlohmann::json m_closingEvent;
};

int reportReply(const HttpResult &result)
{
    if (result.status == 0) {
        return report(
            makeError(absl::StatusCode::kUnavailable, "calling", FLAGS_daemon, result.error));
    }
    fmt::print("{}\n", result.body);
    fmt::print(stderr, "outcome {}, status {}, request {}, stages {}\n",
               result.header("harelink-outcome"), result.status,
               result.header("harelink-request-id"), result.header("harelink-stages"));
    return result.header("harelink-outcome") == "completed" ? ExitDone : ExitFailed;
}

bool isEventStream(const HttpResult &result)
{
    return result.header("content-type") == eventStreamType;
}

int callAndPrintStream(const HttpCall &call)
{
    HttpClient client;
    StreamPrinter printer;
    HttpResult result;
    std::string plainBody; // The body of a reply that is not an event stream.
    bool done = false;
    client.send(
        call,
        [&](HttpResult finished) {
            result = std::move(finished);
            done = true;
        },
        [&](const HttpResult &head, const std::string &body) {
            if (isEventStream(head)) {
                printer.handleBody(body);
            } else {
                plainBody += body;
            }
        });
    while (!done) {
        client.poll(std::chrono::seconds(1));
    }
    if (isEventStream(result)) {
        return printer.finish();
    }
    result.body = std::move(plainBody);
    return reportReply(result);
}

} // namespace

int callCommand(const Words &words)
{
    if (words.size() != 1 || FLAGS_account.empty()) {
        fmt::print(stderr, "harelink: usage: harelink call PIPELINE --account NAME "
                           "[--body JSON] [--key KEY] [--token TOKEN] [--stream]\n");
        return ExitUsage;
    }
    HttpCall call;
    call.method = "POST";
    call.url = fmt::format("http://{}/v1/pipelines/{}/requests", FLAGS_daemon, words[0]);
    call.body = FLAGS_body;
    call.timeout = std::chrono::milliseconds(FLAGS_deadline_ms) + answerGracePeriod;
    call.resendable = false;
    call.headers = {"Content-Type: application/json", "Harelink-Account: " + FLAGS_account,
                    fmt::format("Harelink-Deadline-Ms: {}", FLAGS_deadline_ms)};
    if (!FLAGS_token.empty()) {
        call.headers.push_back("Authorization: Bearer " + FLAGS_token);
    }
    if (!FLAGS_key.empty()) {
        call.headers.push_back("Idempotency-Key: " + FLAGS_key);
    }
    if (FLAGS_stream) {
        call.headers.emplace_back("Accept: text/event-stream");
        return callAndPrintStream(call);
    }
    return reportReply(callAndWait(call));
}

} // namespace harelink::cli
