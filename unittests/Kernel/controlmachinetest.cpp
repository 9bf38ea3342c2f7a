//===- controlmachinetest.cpp - Tests of the control machine --------------===//

#include "controlfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;

namespace {

/// A reader whose routes and endpoints are followed by separate watchers.
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
        return defaultObjectReader().quarantineKind();
    }
    [[nodiscard]] const std::string &drainKind() const override
    {
        return defaultObjectReader().drainKind();
    }
    [[nodiscard]] bool endpointObjectsExpire() const override { return false; }
    [[nodiscard]] absl::StatusOr<std::vector<Resource>>
    read(const std::string &, const std::string &, const std::string &value) const override
    {
        if (value == "invalid") {
            return absl::InvalidArgumentError("the value is invalid");
        }
        return std::vector<Resource>{};
    }
};

struct Fixture
{
    Fixture()
        : machine(clock, controlOptions(reader))
    {
        machine.handle(heartbeatOf(2));
    }
    /// Handles an update from a peer. Returns whether it puts a configuration in force.
    bool push(const std::string &kind, const std::string &name, const std::string &value = "{}")
    {
        const ConfigPush push({{kind, name, ++version, false, value}});
        machine.handle(PeerMessage{"h2", 2, push});
        return machine.drainOutput().configChanged;
    }

    ManualClock clock;
    TwoGroupsReader reader;
    ControlMachine machine;
    std::uint64_t version = 0;
};

} // namespace

TEST_GROUP(ControlMachine){};

TEST(ControlMachine, PublishesNoConfigurationWithEndpointsOnly)
{
    Fixture fixture;
    CHECK(!fixture.push("endpoints", "e1"));
    CHECK(!fixture.push("endpoints", "e2"));
    CHECK(fixture.push("routes", "main"));
    CHECK(fixture.push("endpoints", "e3"));
}

// A daemon that is ready responds with 404 to requests for routes that it does not know.
TEST(ControlMachine, PublishesNoConfigurationWhoseRoutesAreAllInvalid)
{
    Fixture fixture;
    CHECK(!fixture.push("endpoints", "e1"));
    CHECK(!fixture.push("routes", "main", "invalid"));
    CHECK(!fixture.push("endpoints", "e2", "invalid"));
    CHECK(fixture.push("routes", "main"));
    CHECK(!fixture.push("routes", "main", "invalid"));
    CHECK(fixture.push("endpoints", "e3"));
}

/// A peer that sends its configuration in pages may lose one of them.
TEST(ControlMachine, PublishesNoFetchedConfigurationWithEndpointsOnly)
{
    Fixture fixture;
    for (Incarnation peer = 3; peer < 30; ++peer) {
        fixture.machine.handle(heartbeatOf(peer));
    }
    std::string source;
    for (int i = 0; i < 20 && source.empty(); ++i) {
        fixture.clock.advance(std::chrono::milliseconds(100));
        fixture.machine.tick();
        for (const PeerSend &send : fixture.machine.drainOutput().sends) {
            const auto *digest = std::get_if<ConfigDigest>(&send.message.content);
            source = digest != nullptr && !digest->bucketHashes.empty() ? send.host : source;
        }
    }
    CHECK(!source.empty());
    CHECK(!fixture.push("endpoints", "e1"));
    ConfigDigest end;
    end.endsPage = true;
    end.complete = true;
    fixture.machine.handle(PeerMessage{source, 3, end});
    CHECK(!fixture.machine.drainOutput().configChanged);
    CHECK(fixture.push("routes", "main"));
}

/// Two hosts of a data centre push updates to all others. They must not push the first listing,
/// since each host of a fleet that starts has read it itself.
TEST(ControlMachine, DoesNotPushTheFirstListing)
{
    Fixture fixture;
    fixture.machine.tick();
    std::vector<PlatformCall> listings;
    for (const PlatformCall &call : fixture.machine.drainOutput().calls) {
        if (call.operation == PlatformOperation::List) {
            listings.push_back(call);
        }
    }
    LONGS_EQUAL(2, listings.size());
    const auto answer = [&fixture](const PlatformCall &call, const std::string &name) {
        PlatformResult result;
        result.id = call.id;
        result.outcome = PlatformOutcome::Ok;
        result.version = ++fixture.version;
        result.objects.push_back({call.kind, name, fixture.version, false, "{}"});
        fixture.machine.handle(result);
        std::size_t pushes = 0;
        for (const PeerSend &send : fixture.machine.drainOutput().sends) {
            pushes += std::holds_alternative<ConfigPush>(send.message.content) ? 1 : 0;
        }
        return pushes;
    };
    for (const PlatformCall &call : listings) {
        LONGS_EQUAL(0, answer(call, "first"));
    }
    // Updates from watches are pushed.
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.machine.tick();
    for (const PlatformCall &call : fixture.machine.drainOutput().calls) {
        if (call.operation == PlatformOperation::Watch) {
            LONGS_EQUAL(1, answer(call, "second"));
        }
    }
}

TEST(ControlMachine, LoansOfRetriesReachTheWorkerThatWantedThem)
{
    Fixture fixture;
    fixture.machine.handle(RetriesWanted{"engines", 1});
    const ControlOutput output = fixture.machine.drainOutput();
    LONGS_EQUAL(1, output.sends.size());
    STRCMP_EQUAL("h2", output.sends[0].host.c_str());
    const auto &request = std::get<BudgetLoanRequest>(output.sends[0].message.content);
    fixture.machine.handle(PeerMessage{"h2", 2, BudgetLoan{"engines", 2, request.stamp}});
    const std::vector<RetriesBorrowed> borrowed = fixture.machine.drainOutput().borrowed;
    LONGS_EQUAL(1, borrowed.size());
    LONGS_EQUAL(1, borrowed[0].worker);
    DOUBLES_EQUAL(2, borrowed[0].retries, 1e-9);
}

TEST(ControlMachine, RequestsForLoansReachAWorkerAndItsLoanThePeer)
{
    Fixture fixture;
    const BudgetLoanRequest request{"engines", 8, std::chrono::microseconds(5)};
    fixture.machine.handle(PeerMessage{"h2", 2, request});
    const std::vector<LendRetries> requests = fixture.machine.drainOutput().lendRequests;
    LONGS_EQUAL(1, requests.size());
    STRCMP_EQUAL("h2", requests[0].host.c_str());
    fixture.machine.handle(RetriesLent{"h2", {"engines", 1.5, request.stamp}});
    const ControlOutput output = fixture.machine.drainOutput();
    LONGS_EQUAL(1, output.sends.size());
    STRCMP_EQUAL("h2", output.sends[0].host.c_str());
    CHECK(std::get<BudgetLoan>(output.sends[0].message.content).stamp == request.stamp);
}
