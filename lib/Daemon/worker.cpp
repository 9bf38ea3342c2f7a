//===- worker.cpp - A worker thread ---------------------------------------===//

#include "harelink/Daemon/worker.h"

#include "harelink/Kernel/registry.h"
#include "harelink/Support/error.h"
#include "harelink/Support/log.h"

#include <cassert>

namespace harelink {
namespace {

constexpr Logger logger("worker");

} // namespace

Worker::Worker(const Settings &settings, const Clock &clock, const SnapshotCell &snapshot,
               std::uint64_t seed, ClaimSink claims)
    : m_settings(settings)
    , m_clock(clock)
    , m_snapshot(snapshot)
    , m_claims(std::move(claims))
    , m_machine(clock, Registry<RoutingPolicy>::instance().make(settings.routingPolicy), seed,
                {settings.mostRequests, settings.workers})
{
    for (const std::string &name : Registry<StageProtocol>::instance().names()) {
        m_protocols[name] = Registry<StageProtocol>::instance().make(name);
    }
}

Worker::~Worker()
{
    stop();
}

void Worker::start()
{
    m_thread = std::thread([this] {
        const RcuThread registered;
        m_loop.run(m_clock, [this] { return turn(); });
    });
}

void Worker::stop()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
}

template <typename Event>
void Worker::feed(Event event)
{
    {
        const SnapshotCell::Reader snapshot(m_snapshot);
        m_machine.handle(std::move(event), *snapshot);
    }
    // Only now: carrying out may block or start calls, which a reader must not.
    carryOut();
}

std::optional<TimePoint> Worker::turn()
{
    {
        const SnapshotCell::Reader snapshot(m_snapshot);
        m_machine.tick(*snapshot);
    }
    carryOut();
    return m_machine.nextTick();
}

void Worker::submit(CallerRequest request, const Responder &responder)
{
    m_loop.post([this, request = std::move(request), responder]() mutable {
        accept(std::move(request), responder);
    });
}

void Worker::accept(CallerRequest request, const Responder &responder)
{
    if (m_settings.callerTrust == CallerTrust::BearerToken) {
        std::string expected;
        bool ready = false;
        {
            const SnapshotCell::Reader snapshot(m_snapshot);
            ready = (*snapshot).ready;
            if (const AccountEntry *account = (*snapshot).account(request.arrival.account)) {
                expected = account->spec.tokenSha256;
            }
        }
        if (ready && !tokenMatches(request.token, expected)) {
            refuseToken(request, responder);
            return;
        }
    }
    const Caller caller{responder, request.arrival.streams, false};
    const bool added = m_callers.emplace(request.arrival.id.sequence, caller).second;
    assert(added && "a request is submitted once");
    (void)added;
    feed(std::move(request.arrival));
}

void Worker::refuseToken(const CallerRequest &request, const Responder &responder)
{
    HttpReply reply = makeProblem(401, "unauthorized",
                                  makeError(absl::StatusCode::kUnauthenticated, "admission", "",
                                            "the account's bearer token is missing or wrong"));
    reply.headers.emplace_back("WWW-Authenticate", "Bearer");
    reply.headers.emplace_back("Harelink-Request-Id", toText(request.arrival.id));
    reply.headers.emplace_back("Harelink-Outcome", toText(Outcome::NotRun));
    responder(std::move(reply));
}

void Worker::decide(ClaimDecision decision)
{
    m_loop.post([this, decision = std::move(decision)] { feed(decision); });
}

void Worker::drain()
{
    m_loop.post([this] { m_machine.drain(); });
}

void Worker::abandonAll()
{
    m_loop.post([this] {
        {
            const SnapshotCell::Reader snapshot(m_snapshot);
            m_machine.abandonAll(*snapshot);
        }
        carryOut();
    });
}

void Worker::report(std::function<void(WorkerReport)> take)
{
    m_loop.post([this, take = std::move(take)] {
        take({m_metrics, m_machine.counters(), m_machine.inProgress(), m_machine.queued()});
    });
}

void Worker::carryOut()
{
    for (RequestAction &action : m_machine.takeActions()) {
        std::visit([this](auto &&what) { perform(std::forward<decltype(what)>(what)); },
                   std::move(action));
    }
}

const StageProtocol &Worker::protocol(const std::string &name)
{
    const auto found = m_protocols.find(name);
    assert(found != m_protocols.end() && "a pool's protocol was checked when it was declared");
    return *found->second;
}

void Worker::perform(SendStage action)
{
    const CallId call = action.call;
    const StageProtocol &translator = protocol(action.protocol);
    const HttpCall http = encodeStage(translator, action);
    logger.debug("Sending {} to {}.", toText(call), action.endpoint);
    if (action.streams && translator.streams()) {
        stream(call, http, std::make_shared<StageStream>(translator, action));
        return;
    }
    m_calls[call] = m_loop.http().send(
        http, [this, &translator, stage = std::move(action)](const HttpResult &result) {
            m_calls.erase(stage.call);
            feedAny(decodeStage(translator, stage, result));
        });
}

void Worker::stream(const CallId &call, const HttpCall &http,
                    const std::shared_ptr<StageStream> &stream)
{
    const auto done = [this, call, stream](const HttpResult &result) {
        m_calls.erase(call);
        feedAny(stream->finish(result));
    };
    const auto part = [this, stream](const HttpResult &head, const std::string &body) {
        for (StagePiece &piece : stream->take(head, body)) {
            feed(std::move(piece));
        }
    };
    m_calls[call] = m_loop.http().send(http, done, part);
}

void Worker::feedAny(std::variant<StageAnswered, StageFailed> event)
{
    std::visit([this](auto &&what) { feed(std::forward<decltype(what)>(what)); }, std::move(event));
}

void Worker::perform(const CancelStage &action)
{
    const auto found = m_calls.find(action.call);
    if (found != m_calls.end()) {
        m_loop.http().cancel(found->second);
        m_calls.erase(found);
    }
}

void Worker::perform(const AnswerCaller &action)
{
    const auto found = m_callers.find(action.id.sequence);
    assert(found != m_callers.end() && "a caller is answered exactly once");
    m_metrics.observe(action);
    const Caller &caller = found->second;
    if (caller.streamBegan) {
        caller.responder(makeStreamEnd(action));
    } else if (caller.wantsStream && action.outcome == Outcome::Completed) {
        caller.responder(makeStreamOfWhole(action));
    } else {
        caller.responder(makeCallerReply(action));
    }
    m_callers.erase(found);
}

void Worker::perform(const StreamPiece &action)
{
    const auto found = m_callers.find(action.id.sequence);
    assert(found != m_callers.end() && "nothing is streamed after the answer's end");
    Caller &caller = found->second;
    HttpReply part = caller.streamBegan ? makeStreamPart(action) : makeStreamBegin(action);
    caller.streamBegan = true;
    part.onBroken = [this, id = action.id] { m_loop.post([this, id] { feed(CallerGone{id}); }); };
    caller.responder(std::move(part));
}

void Worker::perform(ClaimRequest action)
{
    m_claims.request(std::move(action));
}

void Worker::perform(ClaimFinish action)
{
    m_claims.finish(std::move(action));
}

} // namespace harelink
