//===- configwatchertest.cpp - Tests of following the platform ------------===//

#include "harelink/Kernel/configmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

/// Each object is one endpoint, which may lapse while the platform is away.
class LapsingReader final : public ObjectReader
{
public:
    [[nodiscard]] const std::vector<std::vector<std::string>> &kindGroups() const override
    {
        static const std::vector<std::vector<std::string>> groups = {{"servers"}};
        return groups;
    }
    [[nodiscard]] const std::string &endpointKind() const override { return kindGroups()[0][0]; }
    [[nodiscard]] const std::string &drainKind() const override
    {
        return ownObjectReader().drainKind();
    }
    [[nodiscard]] const std::string &quarantineKind() const override
    {
        return ownObjectReader().quarantineKind();
    }
    [[nodiscard]] bool endpointsLapse() const override { return true; }
    [[nodiscard]] absl::StatusOr<std::vector<Resource>>
    read(const std::string &, const std::string &name, const std::string &) const override
    {
        EndpointSpec endpoint;
        endpoint.name = name;
        Resource resource;
        resource.spec = endpoint;
        return std::vector<Resource>{resource};
    }
};

struct Bench
{
    /// Answers the call that is due.
    bool answer(PlatformOutcome outcome, std::vector<PlatformObject> objects = {},
                Version version = 0, bool more = false)
    {
        clock.advance(milliseconds(2100)); // Longer than any back-off.
        std::vector<PlatformCall> calls;
        watcher.tick(calls, nextId);
        CHECK(!calls.empty());
        last = calls.empty() ? PlatformCall{} : calls[0];
        PlatformResult result;
        result.id = last.id;
        result.outcome = outcome;
        result.objects = std::move(objects);
        result.version = version;
        result.more = more;
        return watcher.handle(result);
    }
    [[nodiscard]] std::size_t endpoints() const { return table.resources().size(); }

    static PlatformObject object(const std::string &name, Version version, bool deleted = false)
    {
        return {"servers", name, version, deleted, "{}"};
    }

    ManualClock clock;
    LapsingReader reader;
    ConfigTable table{reader};
    ConfigWatcher watcher{clock, table, {"servers"}};
    std::uint64_t nextId = 1;
    PlatformCall last;
};

} // namespace

TEST_GROUP(ConfigWatcher){};

TEST(ConfigWatcher, ARemovalIsInForceAtOnceWhileThePlatformIsWell)
{
    Bench bench;
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 5), Bench::object("i-2", 6)}, 7);
    LONGS_EQUAL(2, bench.endpoints());
    CHECK(bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 8, true)}, 8));
    LONGS_EQUAL(1, bench.endpoints());
}

TEST(ConfigWatcher, AnEndpointThatLapsedInAnOutageIsWaitedFor)
{
    Bench bench;
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 5), Bench::object("i-2", 6)}, 7);
    bench.answer(PlatformOutcome::Unanswered);
    bench.answer(PlatformOutcome::Ok,
                 {Bench::object("i-1", 9, true), Bench::object("i-2", 10, true)}, 10);
    LONGS_EQUAL(2, bench.endpoints());
    // One declares itself anew; the other is taken to be gone.
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-2", 11)}, 11);
    bench.clock.advance(milliseconds(300));
    CHECK(bench.watcher.applyDelayedDeletions());
    LONGS_EQUAL(1, bench.endpoints());
    CHECK(bench.table.endpoint("i-2")->resources.size() == 1);
}

TEST(ConfigWatcher, ACallThatHungThroughTheOutageRemovesNobodyAtOnce)
{
    // The call after the failure is only answered long after, when the platform is back.
    Bench bench;
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 5)}, 7);
    bench.answer(PlatformOutcome::Refused);
    bench.clock.advance(milliseconds(4000));
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 9, true)}, 9);
    LONGS_EQUAL(1, bench.endpoints());
    bench.clock.advance(milliseconds(2200));
    CHECK_FALSE(bench.watcher.applyDelayedDeletions());
    bench.clock.advance(milliseconds(200));
    CHECK(bench.watcher.applyDelayedDeletions());
    LONGS_EQUAL(0, bench.endpoints());
}

TEST(ConfigWatcher, AFailureOfAnotherCallCountsToo)
{
    Bench bench;
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 5)}, 7);
    bench.watcher.recordPlatformAnswer(false);
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 9, true)}, 9);
    LONGS_EQUAL(1, bench.endpoints());
}

TEST(ConfigWatcher, AListingInPagesIsTakenWhole)
{
    Bench bench;
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 5)}, 7, true);
    LONGS_EQUAL(0, bench.endpoints());
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-2", 6)}, 7);
    STRCMP_EQUAL("i-1", bench.last.name.c_str());
    LONGS_EQUAL(2, bench.endpoints());
}

TEST(ConfigWatcher, ForgottenHistoryIsListedAgain)
{
    Bench bench;
    bench.answer(PlatformOutcome::Ok, {Bench::object("i-1", 5)}, 7);
    bench.answer(PlatformOutcome::Gone);
    bench.answer(PlatformOutcome::Ok, {}, 9);
    CHECK(bench.last.operation == PlatformOperation::List);
    LONGS_EQUAL(0, bench.endpoints());
}
