//===- kernelfixture.h - Small configurations for kernel tests --*- C++ -*-===//

#ifndef HARELINK_UNITTESTS_KERNEL_KERNELFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_KERNELFIXTURE_H

#include "harelink/Kernel/registry.h"
#include "harelink/Kernel/requestmachine.h"
#include "harelink/Kernel/snapshot.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace harelink::testing {

inline Resource makeResource(ResourceSpec spec)
{
    Resource resource;
    resource.spec = std::move(spec);
    return resource;
}

/// Returns two accounts, a pipeline of two stages, a pipeline that is not repeatable,
/// and pools of \p endpoints endpoints with \p slots slots each.
inline std::vector<Resource> smallConfiguration(int endpoints, int slots)
{
    using std::chrono::milliseconds;
    std::vector<Resource> resources;
    resources.push_back(makeResource(ClientAccountSpec{"drivers", 3, ""}));
    resources.push_back(makeResource(ClientAccountSpec{"lab", 1, ""}));
    resources.push_back(makeResource(PipelineSpec{"answer",
                                                  {{"encode", "encoders"}, {"generate", "engines"}},
                                                  true,
                                                  milliseconds(1000),
                                                  65536}));
    resources.push_back(makeResource(
        PipelineSpec{"record", {{"record", "records"}}, false, milliseconds(1000), 65536}));
    for (const char *pool : {"encoders", "engines", "records"}) {
        resources.push_back(makeResource(PoolSpec{pool, "plain-service", 2}));
        for (int i = 0; i < endpoints; ++i) {
            EndpointSpec endpoint;
            endpoint.name = fmt::format("{}-{}", pool, i);
            endpoint.pool = pool;
            endpoint.address = "127.0.0.1:1";
            endpoint.dataCentre = "dc1";
            endpoint.slots = slots;
            resources.push_back(makeResource(endpoint));
        }
    }
    return resources;
}

/// Returns the actions of type \p Action in \p actions.
template <typename Action>
std::vector<Action> only(const std::vector<RequestAction> &actions)
{
    std::vector<Action> found;
    for (const RequestAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

/// A request machine with a manual clock and a small configuration.
template <GuardPolicy G>
struct MachineFixture
{
    explicit MachineFixture(int endpoints = 2, int slots = 4)
        : snapshot(buildSnapshot(smallConfiguration(endpoints, slots), 1, "dc1", nullptr))
        , machine(clock, Registry<RoutingPolicy>::instance().make("power-of-two"), 1, {})
    {
    }

    RequestId arrive(const std::string &pipeline, const std::string &account = "drivers",
                     const std::string &key = "")
    {
        RequestArrived event;
        event.id = {9, ++lastSequence};
        event.account = account;
        event.pipeline = pipeline;
        event.body = "{}";
        event.idempotencyKey = key;
        const RequestId id = event.id;
        machine.handle(std::move(event), *snapshot);
        collect();
        return id;
    }
    void answer(const CallId &call, const std::string &body = "{}",
                AnswerKind kind = AnswerKind::Body)
    {
        StageAnswered event;
        event.call = call;
        event.echoed = call;
        event.kind = kind;
        event.body = body;
        machine.handle(std::move(event), *snapshot);
        collect();
    }
    void failCall(const CallId &call, SendEvidence evidence)
    {
        StageFailed event;
        event.call = call;
        event.evidence = evidence;
        event.status = absl::UnavailableError("test");
        machine.handle(event, *snapshot);
        collect();
    }
    void decide(const RequestId &id, ClaimVerdict verdict, const std::string &stored = "")
    {
        machine.handle(ClaimDecision{id, {}, verdict, stored}, *snapshot);
        collect();
    }
    /// Advances the clock in steps of at most 500 ms with a tick after each, like the daemon.
    void advance(Duration step)
    {
        constexpr std::chrono::milliseconds maxIncrement{500};
        while (step > Duration::zero()) {
            const Duration increment = std::min<Duration>(step, maxIncrement);
            clock.advance(increment);
            step -= increment;
            machine.tick(*snapshot);
            collect();
        }
    }
    void collect()
    {
        const std::vector<RequestAction> actions = machine.drainActions();
        const auto append = [](auto &to, auto from) {
            to.insert(to.end(), from.begin(), from.end());
        };
        append(sends, only<SendStage>(actions));
        append(cancels, only<CancelStage>(actions));
        append(chunks, only<StreamChunk>(actions));
        append(answers, only<AnswerCaller>(actions));
        append(claims, only<ClaimRequest>(actions));
        append(finishes, only<ClaimFinish>(actions));
    }

    ManualClock clock;
    std::unique_ptr<const Snapshot> snapshot;
    BasicRequestMachine<G> machine;
    std::uint64_t lastSequence = 0;
    std::vector<SendStage> sends;
    std::vector<CancelStage> cancels;
    std::vector<StreamChunk> chunks;
    std::vector<AnswerCaller> answers;
    std::vector<ClaimRequest> claims;
    std::vector<ClaimFinish> finishes;
};

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_KERNELFIXTURE_H
