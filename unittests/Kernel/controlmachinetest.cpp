//===- controlmachinetest.cpp - Tests of a daemon's control ---------------===//

#include "harelink/Kernel/controlmachine.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

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
        : machine(clock, options())
    {
        Heartbeat heartbeat;
        heartbeat.dataCentre = "dc1";
        heartbeat.address = "h2:1";
        heartbeat.leavingKnown = true;
        machine.handle(PeerMessage{"h2", 2, heartbeat});
    }
    ControlOptions options()
    {
        ControlOptions options;
        options.host = "h1";
        options.peerAddress = "h1:1";
        options.dataCentre = "dc1";
        options.incarnation = 1;
        options.keepsClaims = false;
        options.objects = &reader;
        return options;
    }
    /// Whether a peer's news puts a configuration in force.
    bool push(const std::string &kind, const std::string &name)
    {
        ConfigPush push;
        push.objects.push_back({kind, name, ++version, false, "{}"});
        machine.handle(PeerMessage{"h2", 2, push});
        return machine.takeOutput().configChanged;
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
