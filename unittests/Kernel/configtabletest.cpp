//===- configtabletest.cpp - Tests of the configuration table -------------===//

#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/configmachineimpl.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

PlatformObject account(Version version, double weight)
{
    PlatformObject object;
    object.kind = "ClientAccount";
    object.name = "drivers";
    object.version = version;
    object.value = R"({"kind": "ClientAccount", "name": "drivers", "spec": {"weight": )"
                   + std::to_string(weight) + "}}";
    return object;
}

template <typename Table>
double weightIn(const Table &table)
{
    const std::vector<Resource> resources = table.resources().resources;
    return resources.empty() ? 0 : std::get<ClientAccountSpec>(resources[0].spec).weight;
}

/// Also applies stale updates, which the product must not do.
struct NoHighWater : AllGuards
{
    static constexpr bool dropsStaleUpdates = false;
};

} // namespace

TEST_GROUP(ConfigTable){};

TEST(ConfigTable, StaleUpdateChangesNothing)
{
    ConfigTable table;
    CHECK(table.apply(account(5, 2)));
    CHECK_FALSE(table.apply(account(4, 9)));
    DOUBLES_EQUAL(2, weightIn(table), 0);
    CHECK_EQUAL(1u, table.droppedUpdates());
}

TEST(ConfigTable, ControlWithoutHighWaterRevertsToStaleUpdate)
{
    BasicConfigTable<NoHighWater> table;
    table.apply(account(5, 2));
    table.apply(account(4, 9));
    DOUBLES_EQUAL(9, weightIn(table), 0);
}

TEST(ConfigTable, StaleUpdateDoesNotRestoreADeletedObject)
{
    ConfigTable table;
    table.apply(account(5, 2));
    PlatformObject deletion = account(6, 0);
    deletion.deleted = true;
    CHECK(table.apply(deletion));
    CHECK_FALSE(table.apply(account(5, 2)));
    LONGS_EQUAL(0, table.resources().size());
}

TEST(ConfigTable, ListingDeletesMissingObjects)
{
    ConfigTable table;
    table.apply(account(5, 2));
    CHECK(table.applyListing({}, 8));
    LONGS_EQUAL(0, table.resources().size());
    // A listing that is older than the object does not affect it.
    CHECK(table.apply(account(12, 3)));
    CHECK_FALSE(table.applyListing({}, 9));
    DOUBLES_EQUAL(3, weightIn(table), 0);
}

TEST(ConfigTable, LastValidVersionStaysInForce)
{
    ConfigTable table;
    table.apply(account(5, 2));
    CHECK_FALSE(table.apply(account(6, -1)));
    DOUBLES_EQUAL(2, weightIn(table), 0);
    const ConfigEntry &entry = table.entries().begin()->second;
    CHECK_EQUAL(6u, entry.seenVersion.revision);
    CHECK_EQUAL(5u, entry.inForce.revision);
    STRCMP_CONTAINS("spec.weight", entry.fault.c_str());
    CHECK(table.apply(account(7, 4)));
    CHECK(table.entries().begin()->second.fault.empty());
}

/// The hash is maintained with each update; it must depend neither on earlier versions nor on
/// stale updates.
TEST(ConfigTable, EqualVersionsHaveEqualHashesRegardlessOfHistory)
{
    PlatformObject other = account(6, 1);
    other.name = "clerks";
    ConfigTable table;
    CHECK_EQUAL(0u, table.summary());
    table.apply(account(3, 1));
    table.apply(other);
    table.apply(account(5, 2));
    table.apply(account(4, 9));
    ConfigTable direct;
    direct.apply(other);
    direct.apply(account(5, 2));
    CHECK(table.summary() == direct.summary());
    direct.apply(account(7, 2));
    CHECK(table.summary() != direct.summary());
}
