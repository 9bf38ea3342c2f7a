//===- controlmachinetest.cpp - Tests of a daemon's control ---------------===//

#include "controlfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;

namespace {

/// Routes and endpoints are followed apart.
class TwoGroupsReader final : public ObjectReader
{
public:
    [[nodiscard]] const std::vector<std::vector<std::string>> &kindGroups() const override
    {
        static const std::vector<std::vector<std::string>> groups = {{"routes"}, {"endpoints"}};
        return groups;
    }
    [[nodiscard]] const std::string &endpointKind() const override { return kindGroups()[1][0]; }
    [[nodiscard]] const std::string &quarantineKind() const override
    {
        return ownObjectReader().quarantineKind();
    }
    [[nodiscard]] const std::string &drainKind() const override
    {
        return ownObjectReader().drainKind();
    }
    [[nodiscard]] bool endpointsLapse() const override { return false; }
    [[nodiscard]] absl::StatusOr<std::vector<Resource>>
    read(const std::string &, const std::string &, const std::string &) const override
    {
        return std::vector<Resource>{};
    }
};

struct Bench
{
    Bench()
        : machine(clock, controlOptions(reader))
    {
        machine.handle(heartbeatOf(2));
    }
    /// Whether a peer's news puts a configuration in force.
    bool push(const std::string &kind, const std::string &name)
    {
        ConfigPush push;
        push.objects.push_back({kind, name, ++version, false, "{}"});
        machine.handle(PeerMessage{"h2", 2, push});
        return machine.drainOutput().configChanged;
    }

    ManualClock clock;
    TwoGroupsReader reader;
    ControlMachine machine;
    Version version = 0;
};

} // namespace

TEST_GROUP(ControlMachine){};

TEST(ControlMachine, EndpointsAloneAreNoConfiguration)
{
    Bench bench;
    CHECK(!bench.push("endpoints", "e1"));
    CHECK(!bench.push("endpoints", "e2"));
    CHECK(bench.push("routes", "main"));
    CHECK(bench.push("endpoints", "e3"));
}

/// Two of a data centre's hosts push what they hear of to all others of it. A listing at their
/// start is no news: of a fleet that starts each host has read it for itself.
TEST(ControlMachine, WhatAStartReadsIsNotPushed)
{
    Bench bench;
    bench.machine.tick();
    std::vector<PlatformCall> listings;
    for (const PlatformCall &call : bench.machine.drainOutput().calls) {
        if (call.operation == PlatformOperation::List) {
            listings.push_back(call);
        }
    }
    LONGS_EQUAL(2, listings.size());
    const auto answer = [&bench](const PlatformCall &call, const std::string &name) {
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Ok;
        result.version = ++bench.version;
        result.objects.push_back({call.kind, name, bench.version, false, "{}"});
        bench.machine.handle(result);
        std::size_t pushes = 0;
        for (const PeerSend &send : bench.machine.drainOutput().sends) {
            pushes += std::holds_alternative<ConfigPush>(send.message.content) ? 1 : 0;
        }
        return pushes;
    };
    for (const PlatformCall &call : listings) {
        LONGS_EQUAL(0, answer(call, "first"));
    }
    // What its watches bring is.
    bench.clock.advance(std::chrono::seconds(1));
    bench.machine.tick();
    for (const PlatformCall &call : bench.machine.drainOutput().calls) {
        if (call.operation == PlatformOperation::Watch) {
            LONGS_EQUAL(1, answer(call, "second"));
        }
    }
}
