//===- platform.cpp - Stand-in for the platform ---------------------------===//
///
/// \file
/// The object API (see harelink/Adapters/platformclient.h) with fault injection:
///
///   POST /control  {"outage": bool, "slowMs": N, "loseAnswers": P,
///                   "applyLateMs": N, "callsPerSecond": N, "staleHostsMs": N,
///                   "copyStore": bool, "restoreStore": bool}
///   GET  /counters
///   GET  /v1/hosts; PUT /v1/hosts/NAME {"dataCentre", "peers", "state"}
///
/// "loseAnswers" executes a call, but answers only after any client's timeout;
/// "applyLateMs" executes a write after this delay, and its answer is lost likewise.
/// "restoreStore" makes the store return from the state of the last "copyStore".
///
//===----------------------------------------------------------------------===//

#include "platformstore.h"
#include "serve.h"

#include "harelink/Adapters/httpserver.h"
#include "harelink/Config/resources.h"
#include "harelink/Support/random.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <deque>
#include <mutex>

DEFINE_string(address, "127.0.0.1:0", "Address to listen on.");

namespace {

using namespace harelink;
using namespace harelink::standin;
using std::chrono::milliseconds;

/// Delay of a lost answer; exceeds the timeout of all clients.
constexpr milliseconds lostAnswerDelay{20'000};
constexpr milliseconds watchPoll{5};

struct Switches
{
    bool outage = false;
    milliseconds slow{0};
    double loseAnswers = 0;
    milliseconds applyLate{0};
    int callsPerSecond = 2000;
    milliseconds staleHosts{0};
};

struct Counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t watches = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
};

nlohmann::json toJson(const PlatformObject &object)
{
    return {{"kind", object.kind},
            {"name", object.name},
            {"version", object.version.revision},
            {"deleted", object.deleted},
            {"value", object.value}};
}

/// Adds the era of the store to \p reply.
HttpReply withEra(HttpReply reply, std::uint64_t era)
{
    reply.headers.emplace_back("Store-Era", std::to_string(era));
    return reply;
}

HttpReply jsonReply(int status, const nlohmann::json &body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = body.dump();
    return reply;
}

HttpReply errorReply(int status, const std::string &message)
{
    return jsonReply(status, {{"error", message}});
}

std::uint64_t readVersion(const HttpRequest &request, const std::string &parameter)
{
    const std::string text = request.parameter(parameter);
    return text.empty() ? 0 : std::stoull(text);
}

class Platform
{
public:
    void attach(HttpServer *server) { m_server = server; }

    void handle(const HttpRequest &request, const Responder &onReply)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        const Responder responder = [this, onReply](HttpReply reply) {
            onReply(withEra(std::move(reply), m_era.load()));
        };
        const std::vector<std::string> parts = request.pathParts();
        if (request.path == "/control") {
            responder(control(request));
            return;
        }
        if (request.path == "/counters") {
            responder(counters());
            return;
        }
        if (m_switches.outage || !withinRateLimit()) {
            ++m_counters.refused;
            responder(errorReply(503, "out of service"));
            return;
        }
        if (parts.size() >= 2 && parts[0] == "v1" && parts[1] == "hosts") {
            responder(hosts(request, parts));
            return;
        }
        if (request.path == "/v1/watch") {
            ++m_counters.watches;
            watch(request, responder);
            return;
        }
        if (parts.size() < 2 || parts[0] != "v1" || parts[1] != "objects") {
            responder(errorReply(404, "no such path"));
            return;
        }
        serve(request, parts, responder);
    }

private:
    /// Counts a call; returns whether the calls of the last second are within the limit.
    bool withinRateLimit()
    {
        const auto now = std::chrono::steady_clock::now();
        while (!m_recentCalls.empty() && now - m_recentCalls.front() > std::chrono::seconds(1)) {
            m_recentCalls.pop_front();
        }
        m_recentCalls.push_back(now);
        return static_cast<int>(m_recentCalls.size()) <= m_switches.callsPerSecond;
    }

    HttpReply control(const HttpRequest &request)
    {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return errorReply(400, "not a json object");
        }
        m_switches.outage = body.value("outage", m_switches.outage);
        m_switches.slow = milliseconds(body.value("slowMs", m_switches.slow.count()));
        m_switches.loseAnswers = body.value("loseAnswers", m_switches.loseAnswers);
        m_switches.applyLate =
            milliseconds(body.value("applyLateMs", m_switches.applyLate.count()));
        m_switches.callsPerSecond = body.value("callsPerSecond", m_switches.callsPerSecond);
        m_switches.staleHosts =
            milliseconds(body.value("staleHostsMs", m_switches.staleHosts.count()));
        if (body.value("copyStore", false)) {
            m_copy = m_store;
        }
        if (body.value("restoreStore", false)) {
            m_store.restore(m_copy);
            m_era.store(m_store.era());
        }
        return jsonReply(200, {{"ok", true}});
    }

    HttpReply counters() const
    {
        return jsonReply(200, {{"reads", m_counters.reads},
                               {"writes", m_counters.writes},
                               {"conflicts", m_counters.conflicts},
                               {"watches", m_counters.watches},
                               {"refused", m_counters.refused},
                               {"lost", m_counters.lost},
                               {"version", m_store.version()}});
    }

    HttpReply hosts(const HttpRequest &request, const std::vector<std::string> &parts)
    {
        if (request.method == "PUT" && parts.size() == 3) {
            nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
            if (!body.is_object()) {
                return errorReply(400, "not a json object");
            }
            body["host"] = parts[2];
            m_hosts[parts[2]] = body;
            // The visible list lags behind by staleHosts.
            m_server->runAfter(m_switches.staleHosts, [this, name = parts[2], body] {
                const std::lock_guard<std::mutex> guard(m_mutex);
                m_visibleHosts[name] = body;
            });
            return jsonReply(200, {{"ok", true}});
        }
        nlohmann::json list = nlohmann::json::array();
        for (const auto &[name, host] : m_visibleHosts) {
            list.push_back(host);
        }
        return jsonReply(200, {{"hosts", list}});
    }

    void watch(const HttpRequest &request, const Responder &responder)
    {
        const std::string wait = request.parameter("waitMs");
        const auto limit =
            std::chrono::steady_clock::now() + milliseconds(wait.empty() ? 0 : std::stoll(wait));
        pollWatch(splitKinds(request.parameter("kind")), readVersion(request, "since"), limit,
                  responder);
    }

    void pollWatch(std::set<std::string> kinds, std::uint64_t since, TimePoint limit,
                   const Responder &responder)
    {
        if (m_switches.outage) {
            responder(errorReply(503, "out of service"));
            return;
        }
        const auto changes = m_store.changes(kinds, since);
        if (!changes) {
            responder(errorReply(410, "no longer kept"));
            return;
        }
        if (!changes->empty() || std::chrono::steady_clock::now() >= limit) {
            responder(listing(*changes));
            return;
        }
        m_server->runAfter(watchPoll, [this, kinds = std::move(kinds), since, limit, responder] {
            const std::lock_guard<std::mutex> guard(m_mutex);
            pollWatch(kinds, since, limit, responder);
        });
    }

    HttpReply listing(const std::vector<PlatformObject> &objects) const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const PlatformObject &object : objects) {
            list.push_back(toJson(object));
        }
        return jsonReply(200, {{"version", m_store.version()}, {"objects", list}});
    }

    /// Executes a call now or late, and answers at once, after a delay, or after all clients
    /// have given up.
    void serve(const HttpRequest &request, const std::vector<std::string> &parts,
               const Responder &responder)
    {
        const bool writes = request.method != "GET";
        if (writes && m_switches.applyLate.count() > 0) {
            ++m_counters.lost;
            m_server->runAfter(m_switches.applyLate, [this, request, parts] {
                const std::lock_guard<std::mutex> guard(m_mutex);
                execute(request, parts);
            });
            m_server->runAfter(lostAnswerDelay,
                               [responder] { responder(errorReply(503, "too late")); });
            return;
        }
        HttpReply reply = execute(request, parts);
        milliseconds delay = m_switches.slow;
        if (m_random.chance(m_switches.loseAnswers)) {
            ++m_counters.lost;
            delay = lostAnswerDelay;
        }
        if (delay.count() == 0) {
            responder(std::move(reply));
            return;
        }
        m_server->runAfter(delay, [responder, reply = std::move(reply)]() mutable {
            responder(std::move(reply));
        });
    }

    HttpReply execute(const HttpRequest &request, const std::vector<std::string> &parts)
    {
        if (parts.size() == 2 && request.method == "GET") {
            ++m_counters.reads;
            return listing(m_store.list(splitKinds(request.parameter("kind"))));
        }
        if (parts.size() != 4) {
            return errorReply(404, "no such path");
        }
        if (request.method == "GET") {
            ++m_counters.reads;
            const auto object = m_store.get(parts[2], parts[3]);
            return object ? jsonReply(200, toJson(*object)) : errorReply(404, "no such object");
        }
        ++m_counters.writes;
        return request.method == "PUT" ? put(request, parts) : remove(request, parts);
    }

    HttpReply put(const HttpRequest &request, const std::vector<std::string> &parts)
    {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("value") || !body["value"].is_string()) {
            return errorReply(400, "a text called value is missing");
        }
        std::string value = body["value"].get<std::string>();
        if (value.size() > maxObjectBytes) {
            return errorReply(413, "the value is too large");
        }
        return writeReply(parts, m_store.put(parts[2], parts[3], readVersion(request, "ifVersion"),
                                             std::move(value)));
    }

    HttpReply remove(const HttpRequest &request, const std::vector<std::string> &parts)
    {
        return writeReply(parts,
                          m_store.remove(parts[2], parts[3], readVersion(request, "ifVersion")));
    }

    HttpReply writeReply(const std::vector<std::string> &parts,
                         std::optional<std::uint64_t> version)
    {
        if (version) {
            return jsonReply(200, {{"version", *version}});
        }
        ++m_counters.conflicts;
        const auto current = m_store.get(parts[2], parts[3]);
        return jsonReply(409, {{"error", "another version is there"},
                               {"version", current ? current->version.revision : 0}});
    }

    std::mutex m_mutex;
    HttpServer *m_server = nullptr;
    PlatformStore m_store;
    PlatformStore m_copy;                            ///< From which the store can return.
    std::atomic<std::uint64_t> m_era{m_store.era()}; ///< Of m_store, for answers after a delay.
    Switches m_switches;
    Counters m_counters;
    Random m_random{1};
    std::deque<TimePoint> m_recentCalls;
    std::map<std::string, nlohmann::json> m_hosts;
    std::map<std::string, nlohmann::json> m_visibleHosts;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Platform platform;
    HttpServerOptions options;
    options.address = FLAGS_address;
    options.threads = 2;
    options.maxBodyBytes = 3'000'000;
    return serve(
        options,
        [&](const HttpRequest &request, const Responder &to) { platform.handle(request, to); },
        [&](HttpServer *server) { platform.attach(server); });
}
