//===- callcommand.cpp - Sends one request --------------------------------===//

#include "commands.h"
#include "platform.h"

#include "harelink/Adapters/httpclient.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(daemon, "127.0.0.1:7000", "call: a daemon's address for callers.");
DEFINE_string(account, "", "call: the client account.");
DEFINE_string(token, "", "call: the account's bearer token.");
DEFINE_string(key, "", "call: the idempotency key.");
DEFINE_string(body, "{}", "call: the request's body, JSON.");
DEFINE_int32(deadline_ms, 4000, "call: the deadline.");

namespace harelink::cli {
namespace {

/// How long after the deadline an answer is still waited for.
constexpr std::chrono::seconds patience{2};

} // namespace

int callCommand(const Words &words)
{
    if (words.size() != 1 || FLAGS_account.empty()) {
        fmt::print(stderr, "harelink: usage: harelink call PIPELINE --account NAME "
                           "[--body JSON] [--key KEY] [--token TOKEN]\n");
        return ExitUsage;
    }
    HttpCall call;
    call.method = "POST";
    call.url = fmt::format("http://{}/v1/pipelines/{}/requests", FLAGS_daemon, words[0]);
    call.body = FLAGS_body;
    call.timeout = std::chrono::milliseconds(FLAGS_deadline_ms) + patience;
    call.resendable = false;
    call.headers = {"Content-Type: application/json", "Harelink-Account: " + FLAGS_account,
                    fmt::format("Harelink-Deadline-Ms: {}", FLAGS_deadline_ms)};
    if (!FLAGS_token.empty()) {
        call.headers.push_back("Authorization: Bearer " + FLAGS_token);
    }
    if (!FLAGS_key.empty()) {
        call.headers.push_back("Idempotency-Key: " + FLAGS_key);
    }
    const HttpResult result = callAndWait(call);
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

} // namespace harelink::cli
