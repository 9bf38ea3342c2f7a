//===- objectwritertest.cpp - Tests of the objects that operators write ---===//

#include "harelink/Config/objectwriter.h"
#include "harelink/Config/objectreader.h"
#include "harelink/Config/resources.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

json account(int weight)
{
    return {{"kind", "ClientAccount"}, {"name", "lab"}, {"spec", {{"weight", weight}}}};
}

json drain()
{
    return {{"kind", "DataCentreDrain"}, {"name", "dc1"}, {"spec", {{"dataCentre", "dc1"}}}};
}

std::string accountWithCount(const std::string &count)
{
    return R"({"kind": "ClientAccount", "name": "lab", "generation": )" + count
           + R"(, "spec": {"weight": 2}})";
}

/// Returns the count that an object gets that replaces \p stored at \p now.
std::uint64_t nextCount(const std::string &stored, WallTime now)
{
    return withNextGeneration(account(2), stored, now).at(generationField).get<std::uint64_t>();
}

constexpr WallTime start(milliseconds(1'000'000));

} // namespace

TEST_GROUP(ConfigObjectWriter){};

// Guards against a write that daemons take for an older copy, as its count does not rise.
TEST(ConfigObjectWriter, CountIsAboveTheClockAndTheCountThatWasRead)
{
    CHECK_EQUAL(1'000'000'001u, nextCount("", start));
    CHECK_EQUAL(1'000'000'001u, nextCount(account(1).dump(), start));
    CHECK_EQUAL(1'000'000'001u, nextCount(accountWithCount("7"), start));
    CHECK_EQUAL(1'000'000'002u, nextCount(accountWithCount("1000000001"), start));
}

TEST(ConfigObjectWriter, CountRisesIfTheClockRunsBackwards)
{
    const std::string first = withNextGeneration(account(1), "", start).dump();
    CHECK_EQUAL(1'000'000'002u, nextCount(first, start - milliseconds(500'000)));
    CHECK_EQUAL(1'000'000'002u, nextCount(first, WallTime(milliseconds(-1))));
}

TEST(ConfigObjectWriter, CountDoesNotExceedWhatReadersAccept)
{
    const std::string highest = accountWithCount(std::to_string(maxGeneration));
    CHECK_EQUAL(maxGeneration, nextCount(highest, start));
    CHECK_FALSE(generationFault(highest).has_value());
}

TEST(ConfigObjectWriter, ReaderOfTheOwnFormatReadsTheCount)
{
    const ObjectReader &reader = defaultObjectReader();
    const std::string value = withNextGeneration(account(2), "", start).dump();
    CHECK_EQUAL(1'000'000'001u, reader.generation("ClientAccount", value).value());
    CHECK_FALSE(reader.generationFault("ClientAccount", value).has_value());
    CHECK(reader.read("ClientAccount", "lab", value).ok());
}

TEST(ConfigObjectWriter, ObjectsWithoutACountAreReadAsBefore)
{
    const ObjectReader &reader = defaultObjectReader();
    const std::string value = account(2).dump();
    CHECK_FALSE(reader.generation("ClientAccount", value).has_value());
    CHECK_FALSE(reader.generationFault("ClientAccount", value).has_value());
    CHECK(reader.read("ClientAccount", "lab", value).ok());
    CHECK_FALSE(reader.generation("ClientAccount", "no JSON, generation").has_value());
    CHECK_FALSE(reader.generationFault("ClientAccount", "no JSON, generation").has_value());
}

// Guards against an object that is refused, or ordered by a wrong number, for an invalid count.
TEST(ConfigObjectWriter, AnInvalidCountIsReportedAndIgnored)
{
    const ObjectReader &reader = defaultObjectReader();
    for (const char *count : {"-1", "\"7\"", "1.5", "null", "[]", "{}", "true", "9007199254740993",
                              "18446744073709551616", "1e300"}) {
        const std::string value = accountWithCount(count);
        CHECK_FALSE(reader.generation("ClientAccount", value).has_value());
        const std::string fault = reader.generationFault("ClientAccount", value).value();
        STRCMP_CONTAINS("generation: ", fault.c_str());
        CHECK(reader.read("ClientAccount", "lab", value).ok());
    }
    STRCMP_CONTAINS("generation: -1 is not",
                    generationFault(accountWithCount("-1")).value().c_str());
    const std::string lengthy = accountWithCount('"' + std::string(10'000, 'x') + '"');
    CHECK(generationFault(lengthy).value().size() < 200);
}

TEST(ConfigObjectWriter, AFileMayStateTheCountOfTheObjectThatWasRead)
{
    const auto resources = readResources(accountWithCount("7"), "test.jsonc");
    CHECK(resources.ok());
    CHECK(resources->front().document == account(2));
    CHECK(withoutGeneration(accountWithCount("7")) == account(2));
}

// Guards against daemons that take the end of a drain for a drain that the store has lost.
TEST(ConfigObjectWriter, AnEndedDrainIsAnObjectThatDeclaresNothing)
{
    const ObjectReader &reader = defaultObjectReader();
    CHECK_EQUAL(1u, reader.read("DataCentreDrain", "dc1", drain().dump())->size());
    CHECK_FALSE(drainEnd(drain()).has_value());
    const json ended = withDrainEnd(drain(), start);
    CHECK(drainEnd(ended) == start);
    const auto read = reader.read("DataCentreDrain", "dc1", ended.dump());
    CHECK(read.ok());
    CHECK(read->empty());
}

TEST(ConfigObjectWriter, AnInvalidEndOfADrainIsRefused)
{
    for (const json &end : {json(-1), json("now"), json(1e300), json()}) {
        json ended = drain();
        ended["spec"]["endedMs"] = end;
        CHECK_FALSE(defaultObjectReader().read("DataCentreDrain", "dc1", ended.dump()).ok());
    }
    CHECK_FALSE(drainEnd(json::array()).has_value());
    CHECK_FALSE(drainEnd({{"kind", 7}, {"spec", 1}}).has_value());
}
