//===- pagedlistingtest.cpp - Tests of listings in several pages ----------===//
///
/// \file
/// The store changes while its objects are listed in pages. The tests play the store
/// that a watcher calls, and change it between two pages.
///
//===----------------------------------------------------------------------===//

#include "endpointreader.h"

#include "harelink/Kernel/configmachineimpl.h"
#include "harelink/Support/random.h"

#include "platformstore.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>

using namespace harelink;
using namespace harelink::testing;
using std::chrono::milliseconds;

namespace {

struct WithoutFirstPage : AllGuards
{
    static constexpr bool watchesFromFirstPage = false;
};

/// A watcher and the store that it lists and watches.
template <GuardPolicy G = AllGuards>
struct WatchedStore
{
    static constexpr std::size_t pageSize = 2;

    explicit WatchedStore(std::size_t historySize = 10'000)
        : store(historySize)
    {
    }

    void put(const std::string &name, const std::string &value = "ready")
    {
        const auto current = store.get("servers", name);
        store.put("servers", name, current ? current->version.revision : 0, value);
    }
    void remove(const std::string &name)
    {
        if (const auto current = store.get("servers", name)) {
            store.remove("servers", name, current->version.revision);
        }
    }
    /// Makes the next call as soon as the watcher wants to and answers it, with \p failure if there
    /// is one. Then calls afterPage if more pages follow.
    void answer(std::optional<PlatformOutcome> failure = std::nullopt)
    {
        std::vector<PlatformCall> calls;
        while (calls.empty()) {
            const Duration wait = watcher.nextTick() - clock.now();
            clock.advance(std::max<Duration>(wait, milliseconds(1)));
            watcher.applyDelayedUpdates();
            watcher.tick(calls, nextId);
        }
        last = calls.front();
        const PlatformResult result = failure ? failed(last, *failure) : execute(last);
        isWaiting = last.operation == PlatformOperation::Watch && last.wait > Duration::zero()
                    && result.outcome == PlatformOutcome::Ok && result.objects.empty();
        watcher.handle(result);
        if (result.more && afterPage) {
            afterPage();
        }
    }
    /// Answers calls until a watch would wait for updates.
    void answerAll()
    {
        do {
            answer();
        } while (!isWaiting);
    }
    /// Returns whether the table has what the store holds, and nothing else.
    [[nodiscard]] bool isCurrent() const
    {
        std::size_t inForce = 0;
        for (const auto &[key, entry] : table.entries()) {
            inForce += entry.isActive() ? 1 : 0;
        }
        const std::vector<PlatformObject> objects = store.list({"servers"});
        return objects.size() == inForce
               && std::all_of(objects.begin(), objects.end(), [this](const auto &object) {
                      const ConfigEntry *entry = table.endpoint(object.name);
                      return entry != nullptr && entry->isActive() && entry->value == object.value;
                  });
    }
    [[nodiscard]] bool isUsed(const std::string &name) const
    {
        const ConfigEntry *entry = table.endpoint(name);
        return entry != nullptr && entry->isActive() && !entry->endpoint->leaving;
    }

    EndpointReader reader;
    standin::PlatformStore store;
    ManualClock clock;
    BasicConfigTable<G> table{reader};
    BasicConfigWatcher<G> watcher{clock, table, {"servers"}};
    std::function<void()> afterPage;
    std::uint64_t nextId = 1;
    PlatformCall last;
    int listings = 0;
    int watches = 0;
    bool statesEra = false;
    bool isWaiting = false; ///< The last call was a watch that may wait, and there were no updates.

private:
    PlatformResult failed(const PlatformCall &call, PlatformOutcome outcome) const
    {
        PlatformResult result;
        result.id = call.id;
        result.outcome = outcome;
        return result;
    }
    PlatformResult execute(const PlatformCall &call)
    {
        PlatformResult result = failed(call, PlatformOutcome::Ok);
        const std::uint64_t era = statesEra ? store.era() : 0;
        result.version = Version(era, store.version());
        if (call.operation == PlatformOperation::List) {
            ++listings;
            standin::ListingPage page = store.listPage({"servers"}, call.name, pageSize);
            result.objects = std::move(page.objects);
            result.more = page.more;
        } else {
            ++watches;
            const auto changes = store.changes({"servers"}, call.since.revision);
            result.outcome = changes ? PlatformOutcome::Ok : PlatformOutcome::Gone;
            result.objects = changes.value_or(std::vector<PlatformObject>());
        }
        for (PlatformObject &object : result.objects) {
            object.version.era = era;
        }
        return result;
    }
};

/// Changes the store at random while it is listed and watched with failures, then lets all calls
/// succeed. Returns whether the table is what the store holds.
template <GuardPolicy G>
bool endsCurrent(std::uint64_t seed)
{
    Random random(seed);
    WatchedStore<G> watched(random.chance(0.5) ? 4 : 10'000);
    const auto name = [&random] { return fmt::format("i-{}", random.below(9)); };
    const auto change = [&] {
        if (random.chance(0.3)) {
            watched.remove(name());
        } else {
            watched.put(name(), fmt::format("{} {}", random.chance(0.5) ? "ready" : "leaving",
                                            random.below(1000)));
        }
    };
    const auto receiveFromPeer = [&] {
        if (const auto object = watched.store.get("servers", name())) {
            watched.table.apply(*object);
        }
    };
    for (int i = 0; i < 9; ++i) {
        change();
    }
    for (int i = 0; i < 60; ++i) {
        if (random.chance(0.5)) {
            change();
        }
        if (random.chance(0.2)) {
            receiveFromPeer();
        }
        std::optional<PlatformOutcome> failure;
        if (random.chance(0.2)) {
            failure = random.chance(0.5) ? PlatformOutcome::Refused : PlatformOutcome::Unanswered;
        }
        watched.answer(failure);
    }
    watched.answerAll();
    return watched.isCurrent();
}

template <GuardPolicy G>
int countOutdated(std::uint64_t seeds)
{
    int outdated = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        outdated += endsCurrent<G>(seed) ? 0 : 1;
    }
    return outdated;
}

} // namespace

TEST_GROUP(PagedListing){};

// An endpoint that began to leave after its page was read got requests until it ended.
TEST(PagedListing, UsesNoEndpointThatLeavesAfterItsPageWasRead)
{
    WatchedStore watched;
    for (const char *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
        watched.put(name);
    }
    watched.answer();
    watched.put("i-1", "leaving");
    watched.answerAll();
    LONGS_EQUAL(3, watched.listings);
    CHECK_FALSE(watched.isUsed("i-1"));
    CHECK(watched.isCurrent());
}

TEST(PagedListing, UsesNoEndpointThatIsRemovedAfterItsPageWasRead)
{
    WatchedStore watched;
    for (const char *name : {"i-1", "i-2", "i-3"}) {
        watched.put(name);
    }
    watched.answer();
    watched.remove("i-1");
    watched.answerAll();
    CHECK_FALSE(watched.isUsed("i-1"));
    CHECK(watched.isCurrent());
}

TEST(PagedListing, UsesAnEndpointThatIsDeclaredAfterItsPageWasRead)
{
    WatchedStore watched;
    for (const char *name : {"i-1", "i-3", "i-4"}) {
        watched.put(name);
    }
    watched.answer();
    watched.put("i-2");
    watched.answerAll();
    CHECK(watched.isUsed("i-2"));
    CHECK(watched.isCurrent());
}

// The listing implied the deletion of an endpoint that a peer had reported, at a later revision.
TEST(PagedListing, KeepsAnEndpointThatAPeerReportsBetweenPages)
{
    WatchedStore watched;
    for (const char *name : {"i-1", "i-3", "i-4"}) {
        watched.put(name);
    }
    watched.answer();
    watched.put("i-2");
    watched.table.apply(*watched.store.get("servers", "i-2"));
    watched.put("i-5");
    watched.answer();
    CHECK(watched.watcher.synced());
    CHECK(watched.isUsed("i-2"));
    watched.answerAll();
    CHECK(watched.isCurrent());
}

// A listing must not restore what a newer update took away.
TEST(PagedListing, RestoresNoEndpointThatAPeerReportsRemovedBetweenPages)
{
    WatchedStore watched;
    for (const char *name : {"i-1", "i-2", "i-3"}) {
        watched.put(name);
    }
    watched.answer();
    watched.remove("i-1");
    watched.table.apply({"servers", "i-1", watched.store.version(), true, ""});
    watched.answer();
    CHECK(watched.watcher.synced());
    CHECK_FALSE(watched.isUsed("i-1"));
}

TEST(PagedListing, MissesNoChangeInAListingAfterTheHistoryWasLost)
{
    WatchedStore watched(3);
    for (const char *name : {"i-1", "i-2", "i-3", "i-4"}) {
        watched.put(name);
    }
    watched.answerAll();
    for (int i = 0; i < 5; ++i) {
        watched.put("i-4", fmt::format("ready {}", i));
    }
    watched.answer();
    CHECK(watched.last.operation == PlatformOperation::Watch);
    watched.answer();
    CHECK(watched.last.operation == PlatformOperation::List);
    watched.put("i-1", "leaving");
    watched.remove("i-2");
    watched.put("i-0");
    watched.answerAll();
    CHECK(watched.isCurrent());
}

TEST(PagedListing, MissesNoChangeInAListingThatFailuresInterrupt)
{
    for (const PlatformOutcome failure : {PlatformOutcome::Refused, PlatformOutcome::Unanswered}) {
        WatchedStore watched;
        for (const char *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
            watched.put(name);
        }
        watched.answer();
        for (int i = 0; i < 20; ++i) {
            watched.answer(failure);
        }
        watched.put("i-1", "leaving");
        watched.answerAll();
        LONGS_EQUAL(3, watched.listings);
        CHECK(watched.isCurrent());
    }
}

// The pages before and after the return are of two histories, whose revisions are the same numbers.
TEST(PagedListing, JoinsNoPagesOfTwoErasOfTheStore)
{
    for (const bool statesEra : {false, true}) {
        WatchedStore watched;
        watched.statesEra = statesEra;
        for (const char *name : {"i-1", "i-2", "i-3", "i-4"}) {
            watched.put(name);
        }
        const standin::PlatformStore copy = watched.store;
        watched.put("i-0");
        watched.put("i-5");
        watched.answer();
        watched.store.restore(copy);
        if (statesEra) {
            watched.put("i-3", "leaving");
            watched.put("i-4", "leaving");
        }
        watched.answer();
        watched.answer();
        STRCMP_EQUAL("", watched.last.name.c_str());
        watched.answerAll();
        CHECK(watched.isCurrent());
    }
}

// The first watch after each listing came too late for its first page, and so all were listed
// again without an end.
TEST(PagedListing, EndsListingsThatTakeLongerThanTheHistory)
{
    WatchedStore watched(4);
    for (int i = 0; i < 20; ++i) {
        watched.put(fmt::format("i-{:02}", i));
    }
    // Fewer changes in two calls than the history holds, and more in ten.
    watched.afterPage = [&watched] { watched.put("i-00", fmt::format("{}", watched.listings)); };
    for (int i = 0; i < 100 && !watched.isWaiting; ++i) {
        watched.answer();
    }
    LONGS_EQUAL(30, watched.listings);
    CHECK(watched.isCurrent());
    // Where the history suffices again, a listing needs no polls.
    const int watches = watched.watches;
    watched.watcher.restart();
    for (int i = 0; i < 10; ++i) {
        watched.answer();
    }
    LONGS_EQUAL(40, watched.listings);
    LONGS_EQUAL(watches, watched.watches);
}

TEST(PagedListing, AStoreWithoutHistoryIsNotFloodedWithCalls)
{
    WatchedStore watched(1);
    for (const char *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
        watched.put(name);
    }
    const TimePoint end = watched.clock.now() + std::chrono::seconds(30);
    while (watched.clock.now() < end) {
        watched.put("i-1", fmt::format("ready {}", watched.nextId));
        watched.put("i-5", fmt::format("leaving {}", watched.nextId));
        watched.answer();
    }
    // Three pages, a poll and a watch, about once a second.
    constexpr std::uint64_t maxCalls = 175;
    CHECK(watched.nextId <= maxCalls);
    CHECK_FALSE(watched.isUsed("i-5"));
    watched.answerAll();
    CHECK(watched.isCurrent());
}

TEST(PagedListing, MissesNoRandomChange)
{
    LONGS_EQUAL(0, countOutdated<AllGuards>(400));
}

TEST(PagedListing, ControlWithoutUpdatesSinceTheFirstPage)
{
    CHECK(countOutdated<WithoutFirstPage>(400) > 0);
}
