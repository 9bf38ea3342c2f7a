//===- proxiedfixture.h - Proxied requests for kernel tests -----*- C++ -*-===//

#ifndef HARELINK_UNITTESTS_KERNEL_PROXIEDFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_PROXIEDFIXTURE_H

#include "piecefixture.h"

namespace harelink::testing {

inline PipelineSpec route(const std::string &name, const std::string &prefix, bool repeatable)
{
    PipelineSpec pipeline;
    pipeline.name = name;
    pipeline.repeatable = repeatable;
    pipeline.deadline = std::chrono::milliseconds(4000);
    RouteSpec route;
    route.host = "api.example";
    route.pathPrefix = prefix;
    route.split = {{"engines", 1}};
    route.maxEndpoints = 2;
    route.objective = std::chrono::milliseconds(1000);
    pipeline.route = route;
    return pipeline;
}

/// Returns routes of host "api.example": /record/ is not repeatable; /read/ is repeatable;
/// /read/deep/ is public; /brief/ needs a stage of pieces and then pieces computed from them;
/// /talk/ is a resumable stream, /say/ is not resumable; /talk/pieces/ is a resumable stream
/// that needs pieces.
inline std::vector<Resource> proxiedConfiguration(int engines = 3)
{
    std::vector<Resource> resources = pieceConfiguration(2, 4);
    ClientAccountSpec account{"drivers", 1, ""};
    account.apiKeys = {"key-1", "key-2"};
    resources.push_back(makeResource(account));
    PoolSpec pool{"engines", "carried", 1};
    pool.engine = ModelEngineSpec{100'000};
    pool.hasPromptCache = true;
    resources.push_back(makeResource(pool));
    for (int i = 0; i < engines; ++i) {
        EndpointSpec endpoint;
        endpoint.name = fmt::format("engine-{}", i);
        endpoint.pool = "engines";
        endpoint.address = "127.0.0.1:1";
        endpoint.dataCentre = i % 2 == 0 ? "dc1" : "dc2";
        endpoint.slots = 8;
        endpoint.refusesBeforeRunning = true;
        resources.push_back(makeResource(endpoint));
    }
    resources.push_back(makeResource(route("record", "/record/", false)));
    resources.push_back(makeResource(route("read", "/read/", true)));
    PipelineSpec deep = route("deep", "/read/deep/", true);
    deep.route->isPublic = true;
    resources.push_back(makeResource(deep));
    PipelineSpec brief = route("brief", "/brief/", false);
    brief.route->pieceStages = {{"pieces", {}, 1000}, {"pieces", {0}, 10}};
    resources.push_back(makeResource(brief));
    for (const bool resumable : {true, false}) {
        PipelineSpec stream =
            route(resumable ? "talk" : "say", resumable ? "/talk/" : "/say/", resumable);
        stream.route->streams = true;
        stream.route->resumable = resumable;
        resources.push_back(makeResource(stream));
    }
    PipelineSpec prepared = route("talk-pieces", "/talk/pieces/", true);
    prepared.route->streams = true;
    prepared.route->resumable = true;
    prepared.route->pieceStages = {{"pieces", {}, 1000}};
    resources.push_back(makeResource(prepared));
    return resources;
}

/// A request machine with a configuration for proxied requests.
struct ProxiedFixture
{
    explicit ProxiedFixture(int engines = 3, int daemonCount = 9, std::uint64_t seed = 1)
        : daemons(daemonCount)
        , snapshot(buildSnapshot(proxiedConfiguration(engines), 1, "dc1", nullptr))
        , machine(clock, Registry<RoutingPolicy>::instance().make("prompt-home"), seed, limits())
    {
    }
    RequestLimits limits()
    {
        RequestLimits limits;
        limits.daemons = &daemons;
        limits.isCrowded = &isCrowded;
        return limits;
    }

    RequestId arrive(const std::string &path, const std::string &key = "key-1",
                     std::vector<std::uint32_t> pieces = {}, std::uint64_t tokens = 0,
                     std::optional<Duration> timeAllowed = std::nullopt)
    {
        std::shared_ptr<ProxiedRequest> proxied = makeRequest(path, key);
        proxied->pieceCounts = std::move(pieces);
        proxied->pieceKey = "piece-key";
        proxied->promptTokens = tokens;
        if (tokens > 0) {
            proxied->prompt = {{"shared", tokens / 2}, {"own", tokens - tokens / 2}};
        }
        return handleArrival(std::move(proxied), timeAllowed);
    }
    /// Takes up a stream behind \p lastEvent that began with the attempt \p firstAttempt.
    RequestId takeUp(const std::string &path, std::uint64_t lastEvent,
                     const std::string &firstAttempt,
                     std::optional<Duration> timeAllowed = std::nullopt)
    {
        std::shared_ptr<ProxiedRequest> proxied = makeRequest(path, "key-1");
        proxied->lastEventSeen = lastEvent;
        proxied->resumedAttempt = firstAttempt;
        return handleArrival(std::move(proxied), timeAllowed);
    }
    /// Takes up a stream behind an event whose ID cannot be read.
    RequestId takeUpBehindUnreadable(const std::string &path, const std::string &firstAttempt)
    {
        std::shared_ptr<ProxiedRequest> proxied = makeRequest(path, "key-1");
        proxied->isLastEventUnreadable = true;
        proxied->resumedAttempt = firstAttempt;
        return handleArrival(std::move(proxied), std::nullopt);
    }
    std::shared_ptr<ProxiedRequest> makeRequest(const std::string &path, const std::string &key)
    {
        auto proxied = std::make_shared<ProxiedRequest>();
        proxied->callerId = fmt::format("caller-{}", ++lastSequence);
        proxied->method = "POST";
        proxied->target = path;
        proxied->host = "api.example";
        proxied->path = path;
        proxied->apiKey = key;
        return proxied;
    }
    RequestId handleArrival(std::shared_ptr<const ProxiedRequest> proxied,
                            std::optional<Duration> timeAllowed)
    {
        RequestArrived event;
        event.id = {9, lastSequence};
        event.proxied = std::move(proxied);
        event.timeAllowed = timeAllowed;
        const RequestId id = event.id;
        machine.handle(std::move(event), *snapshot);
        collect();
        return id;
    }
    void locate(const RequestId &id, const std::optional<StreamOrigin> &origin)
    {
        machine.handle(StreamLocated{id, origin}, *snapshot);
        collect();
    }
    /// Ends the stream or the body of a success, or sends an error.
    void answer(const SendStage &stage, int status = 200,
                std::optional<EndpointNotice> notice = std::nullopt)
    {
        const AnswerKind success = stage.streams ? AnswerKind::Stream : AnswerKind::Body;
        answer(stage, status < 300 ? success : AnswerKind::Error, status, std::move(notice));
    }
    void answer(const SendStage &stage, AnswerKind kind, int status,
                std::optional<EndpointNotice> notice = std::nullopt)
    {
        StageAnswered event;
        event.call = stage.call;
        event.echoed = stage.call;
        event.kind = kind;
        event.proxied = ProxiedAnswer{status, {}, "body", AnswerFraming::Length};
        event.notice = std::move(notice);
        machine.handle(std::move(event), *snapshot);
        collect();
    }
    /// Answers without length or chunks.
    void answerUnframed(const SendStage &stage, std::string body, int status = 200,
                        AnswerKind kind = AnswerKind::Body)
    {
        StageAnswered event;
        event.call = stage.call;
        event.echoed = stage.call;
        event.kind = kind;
        event.proxied = ProxiedAnswer{status, {}, std::move(body), AnswerFraming::Connection};
        machine.handle(std::move(event), *snapshot);
        collect();
    }
    /// Ends a stream without length or chunks.
    void endUnframed(const SendStage &stage) { answerUnframed(stage, {}, 200, AnswerKind::Stream); }
    void fail(const SendStage &stage, SendEvidence evidence,
              std::optional<ProxiedAnswer> own = std::nullopt, bool isBroken = false,
              std::optional<EndpointNotice> notice = std::nullopt)
    {
        StageFailed event;
        event.call = stage.call;
        event.evidence = evidence;
        event.status = absl::UnavailableError("test");
        event.proxied = std::move(own);
        event.isBroken = isBroken;
        event.notice = std::move(notice);
        machine.handle(event, *snapshot);
        collect();
    }
    void event(const SendStage &stage, std::uint64_t id,
               std::optional<EndpointNotice> notice = std::nullopt,
               AnswerFraming framing = AnswerFraming::Chunks)
    {
        StageEvent event;
        event.call = stage.call;
        event.echoed = stage.call;
        event.head.status = 200;
        event.head.framing = framing;
        event.eventId = id;
        event.bytes = fmt::format("id: {}\n\n", id);
        event.notice = std::move(notice);
        handleEvent(stage, std::move(event));
    }
    void eventWithoutId(const SendStage &stage, bool isComment = false)
    {
        StageEvent event;
        event.isComment = isComment;
        event.bytes = isComment ? ":\n\n" : "data: x\n\n";
        handleEvent(stage, std::move(event));
    }
    void handleEvent(const SendStage &stage, StageEvent event)
    {
        event.call = stage.call;
        event.echoed = stage.call;
        event.head.status = 200;
        machine.handle(event, *snapshot);
        collect();
    }
    void pieceEnded(const PieceId &id, const std::string &handle,
                    PieceFault fault = PieceFault::None)
    {
        machine.handle(PieceEnded{{id, "maker-0", handle, fault}}, *snapshot);
        collect();
    }
    void advance(Duration step)
    {
        clock.advance(step);
        machine.tick(*snapshot);
        collect();
    }
    void collect()
    {
        const std::vector<RequestAction> actions = machine.drainActions();
        const auto append = [](auto &to, auto from) {
            to.insert(to.end(), from.begin(), from.end());
        };
        append(sends, only<SendStage>(actions));
        append(cancels, only<CancelStage>(actions));
        append(events, only<StreamEvents>(actions));
        append(answers, only<AnswerCaller>(actions));
        append(orders, only<OrderPieces>(actions));
        append(withdrawals, only<WithdrawPieces>(actions));
        append(frees, only<FreeResults>(actions));
        append(replaced, only<EndpointReplaced>(actions));
        append(broken, only<BrokenCallReport>(actions));
        append(cleared, only<RequestCleared>(actions));
        append(coldChecks, only<CheckColdState>(actions));
        append(loadProbes, only<ProbeLoad>(actions));
        append(began, only<StreamBegan>(actions));
        append(lookups, only<LocateStream>(actions));
        append(paces, only<EndpointPaceReport>(actions));
    }

    ManualClock clock;
    std::atomic<int> daemons; ///< The number of live daemons.
    std::atomic<bool> isCrowded{false};
    std::unique_ptr<const Snapshot> snapshot;
    RequestMachine machine;
    std::uint64_t lastSequence = 0;
    std::vector<SendStage> sends;
    std::vector<CancelStage> cancels;
    std::vector<StreamEvents> events;
    std::vector<AnswerCaller> answers;
    std::vector<OrderPieces> orders;
    std::vector<WithdrawPieces> withdrawals;
    std::vector<FreeResults> frees;
    std::vector<EndpointReplaced> replaced;
    std::vector<BrokenCallReport> broken;
    std::vector<RequestCleared> cleared;
    std::vector<CheckColdState> coldChecks;
    std::vector<ProbeLoad> loadProbes;
    std::vector<StreamBegan> began;
    std::vector<LocateStream> lookups;
    std::vector<EndpointPaceReport> paces;
};

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_PROXIEDFIXTURE_H
