//===- foreignentriestest.cpp - Entries of other writers ------------------===//
///
/// \file
/// Entries of the object store may come from other writers. An invalid entry must be ignored
/// and must not affect the other entries.
///
//===----------------------------------------------------------------------===//

#include "manifest.h"
#include "store.h"

#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/membership.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

using namespace harelink;

namespace {

constexpr const char *validEntry =
    R"({"service":"m1","addr":"10.0.0.1:80","zone":"z","slots":64,"state":"ready","seq":4})";

/// Values of wrong types or out of range; some are valid for individual fields.
const std::vector<std::string> invalidValues = {
    "null", "true",        "-1", "0",    "1e300", "1.5",  "18446744073709551615",
    "\"\"", "\"\\u0000\"", "[]", "[[]]", "{}",    "\"x\""};

/// Returns a listing answer of the store with \p items, each a JSON object.
HttpResult listing(const std::string &items)
{
    HttpResult result;
    result.status = 200;
    result.headStatus = 200;
    result.sent = true;
    result.body = fmt::format(R"({{"items":[{}],"truncated":false,"store-revision":9}})", items);
    return result;
}

std::string item(const std::string &name, const std::string &spec)
{
    return fmt::format(R"({{"meta":{{"name":"{}","rev":5}},"spec":{},"status":null}})", name, spec);
}

std::string event(const std::string &object)
{
    return fmt::format(R"({{"removed":false,"object":{}}})", object);
}

/// Returns the answer of a watch with \p events, each a JSON object.
HttpResult watched(const std::string &events)
{
    HttpResult result = listing("");
    result.body = fmt::format(R"({{"events":[{}],"store-revision":12}})", events);
    return result;
}

std::string repeated(std::string_view text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

constexpr std::size_t deepNesting = 100'000;

const std::string nestedArrays = repeated("[", deepNesting) + repeated("]", deepNesting);
const std::string nestedObjects =
    repeated(R"({"a":)", deepNesting) + "1" + repeated("}", deepNesting);

/// Values that JSON's grammar allows but no decoder can represent, and values that it forbids.
const std::vector<std::string> unreadableValues = {nestedArrays,
                                                   nestedObjects,
                                                   "1" + repeated("0", 400),
                                                   "-1" + repeated("0", 400),
                                                   "1e400",
                                                   "-1e400",
                                                   R"("\udcff\udcfe")",
                                                   R"("\ud800")",
                                                   "\"\xff\xc3(\xed\xa0\x80\"",
                                                   "\"\x01\"",
                                                   "NaN",
                                                   "{\"a\":}",
                                                   "[}"};

PlatformCall listCall(const std::string &kind)
{
    PlatformCall call;
    call.operation = PlatformOperation::List;
    call.kind = kind;
    return call;
}

} // namespace

TEST_GROUP(ForeignEntries)
{
    fleet::ManifestReader reader;
    fleet::StoreDialect store;

    [[nodiscard]] bool isEndpoint(const std::string &entry) const
    {
        return reader.read("servers", "i-1", entry).ok();
    }
};

TEST(ForeignEntries, EntryWithMissingFieldIsRejected)
{
    CHECK(isEndpoint(validEntry));
    for (const char *field : {"service", "addr", "zone", "slots", "state"}) {
        auto entry = nlohmann::json::parse(validEntry);
        entry.erase(field);
        CHECK_FALSE_TEXT(isEndpoint(entry.dump()), field);
    }
}

TEST(ForeignEntries, EntryWithAnAddressThatCannotBeConnectedToIsRejected)
{
    for (const char *address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1",
          "10.0.0.1:", "10.0.0.1:http", "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1", ":80", "80",
          "host.example:80", "[::1]:80", "::1:80", "10.0.0.1.2:80", "10.0.0.256:80",
          "10.0.0.1\\u0000:80", "10.0.0.1:80\\r\\nX-Tenant: t1", "10.0.0.1:80/path"}) {
        std::string entry = validEntry;
        constexpr std::string_view valid = "10.0.0.1:80";
        entry.replace(entry.find(valid), valid.size(), address);
        CHECK_FALSE_TEXT(isEndpoint(entry), address);
    }
}

TEST(ForeignEntries, EntryWithAnIdThatIsNoHeaderValueIsRejected)
{
    CHECK(reader.read("servers", "i-1", validEntry).ok());
    for (const std::string &id :
         {std::string(), std::string("i-1\r\nX-Tenant: t1"), std::string("i\0", 2),
          std::string("i\x7f"), repeated("i", 257)}) {
        CHECK_FALSE_TEXT(reader.read("servers", id, validEntry).ok(), id.c_str());
    }
}

TEST(ForeignEntries, LongTextsOfAnEntryAreNotUsed)
{
    const std::string longText = repeated("x", 1'000'000);
    for (const char *field : {"service", "zone", "state"}) {
        auto entry = nlohmann::json::parse(validEntry);
        entry[field] = longText;
        const auto read = reader.read("servers", "i-1", entry.dump());
        CHECK_FALSE_TEXT(read.ok(), field);
        CHECK_TEXT(read.status().message().size() < 1000, field);
    }
    auto entry = nlohmann::json::parse(validEntry);
    entry["version"] = longText;
    const auto read = reader.read("servers", "i-1", entry.dump());
    CHECK(read.ok());
    CHECK_FALSE(std::get<EndpointSpec>(read->front().spec).softwareVersion.has_value());
}

TEST(ForeignEntries, EntryWithInvalidValueIsRejected)
{
    for (const char *field : {"service", "addr", "zone", "slots", "state", "born"}) {
        for (const std::string &value : invalidValues) {
            const bool isValid = (std::string(field) == "zone" || std::string(field) == "service")
                                 && (value == "\"x\"" || value == "\"\\u0000\"");
            if (isValid || (std::string(field) == "born" && value == "0")) {
                continue;
            }
            auto entry = nlohmann::json::parse(validEntry);
            entry[field] = nlohmann::json::parse(value);
            const std::string text = fmt::format("{} {}", field, value);
            CHECK_FALSE_TEXT(isEndpoint(entry.dump()), text.c_str());
        }
    }
}

TEST(ForeignEntries, EntryThatIsNotAnObjectIsRejected)
{
    for (const std::string &value : invalidValues) {
        CHECK_FALSE_TEXT(isEndpoint(value), value.c_str());
    }
    CHECK_FALSE(isEndpoint("{\"service\":"));
    CHECK_FALSE(isEndpoint(std::string("\xff\xfe\0", 3)));
}

TEST(ForeignEntries, ListingSurvivesAnInvalidItem)
{
    const std::vector<std::string> invalid = {
        "null",
        "7",
        "[]",
        "{}",
        R"({"meta":{}})",
        R"({"meta":7,"spec":{}})",
        R"({"meta":{"name":7,"rev":5},"spec":{}})",
        R"({"meta":{"name":"x"},"spec":{}})",
        R"({"meta":{"name":"x","rev":"5"},"spec":{}})",
        R"({"meta":{"name":"x","rev":-5},"spec":{}})",
        item("x", "\"\xff\xc3(\xed\xa0\x80\""),
        item("x", "\"no object\""),
    };
    for (const std::string &invalidItem : invalid) {
        const PlatformResult result =
            store.decode(listCall("servers"), listing(item("i-1", validEntry) + "," + invalidItem
                                                      + "," + item("i-2", validEntry)));
        CHECK_TEXT(result.outcome == PlatformOutcome::Ok, invalidItem.c_str());
        CHECK_TEXT(result.objects.size() >= 2, invalidItem.c_str());
        STRCMP_EQUAL("i-1", result.objects.front().name.c_str());
        STRCMP_EQUAL("i-2", result.objects.back().name.c_str());
        LONGS_EQUAL(3, result.objects.size() + result.unreadable);
    }
}

TEST(ForeignEntries, AnUnreadableEntryHidesNoOther)
{
    for (const char *kind : {"servers", "config", "evacuations", "harelink-quarantine"}) {
        PlatformCall watch = listCall(kind);
        watch.operation = PlatformOperation::Watch;
        for (const std::string &value : unreadableValues) {
            for (const std::string &spec : {value, fmt::format(R"({{"service":{}}})", value)}) {
                const std::string text = fmt::format("{} {}", kind, spec.substr(0, 60));
                const PlatformResult listed = store.decode(
                    listCall(kind), listing(item("i-1", validEntry) + "," + item("x", spec) + ","
                                            + item("i-2", validEntry)));
                const PlatformResult updated = store.decode(
                    watch, watched(event(item("i-1", validEntry)) + "," + event(item("x", spec))
                                   + "," + event(item("i-2", validEntry))));
                LONGS_EQUAL_TEXT(9, listed.version.revision, text.c_str());
                LONGS_EQUAL_TEXT(12, updated.version.revision, text.c_str());
                for (const PlatformResult &result : {listed, updated}) {
                    CHECK_TEXT(result.outcome == PlatformOutcome::Ok, text.c_str());
                    LONGS_EQUAL_TEXT(3, result.objects.size(), text.c_str());
                    STRCMP_EQUAL("i-1", result.objects[0].name.c_str());
                    // Whatever had this name before has been overwritten.
                    STRCMP_EQUAL("x", result.objects[1].name.c_str());
                    LONGS_EQUAL(5, result.objects[1].version.revision);
                    CHECK_FALSE_TEXT(isEndpoint(result.objects[1].value), text.c_str());
                    STRCMP_EQUAL("i-2", result.objects[2].name.c_str());
                    CHECK_TEXT(isEndpoint(result.objects[2].value), text.c_str());
                }
            }
        }
    }
}

TEST(ForeignEntries, UnreadableDataBesideNameAndVersionIsIgnored)
{
    for (const std::string &value : unreadableValues) {
        const std::string meta = fmt::format(
            R"({{"meta":{{"name":"x","rev":5,"finalizers":{}}},"spec":{},"status":null}})", value,
            validEntry);
        const std::string status = fmt::format(
            R"({{"status":{},"spec":{},"meta":{{"name":"x","rev":5}}}})", value, validEntry);
        for (const std::string &object : {meta, status}) {
            const PlatformResult result = store.decode(listCall("servers"), listing(object));
            const std::string text = object.substr(0, 100);
            CHECK_TEXT(result.outcome == PlatformOutcome::Ok, text.c_str());
            LONGS_EQUAL_TEXT(1, result.objects.size(), text.c_str());
            CHECK_TEXT(isEndpoint(result.objects[0].value), text.c_str());
        }
    }
}

TEST(ForeignEntries, EntryWithAnUnreadableNameOrVersionIsCounted)
{
    for (const std::string &value : unreadableValues) {
        for (const std::string &object :
             {fmt::format(R"({{"meta":{{"name":{},"rev":5}},"spec":{{}}}})", value),
              fmt::format(R"({{"meta":{{"name":"x","rev":{}}},"spec":{{}}}})", value),
              fmt::format(R"({{"meta":{},"spec":{{}}}})", value), value}) {
            const PlatformResult result =
                store.decode(listCall("servers"), listing(object + "," + item("i-2", validEntry)));
            const std::string text = object.substr(0, 100);
            CHECK_TEXT(result.outcome == PlatformOutcome::Ok, text.c_str());
            LONGS_EQUAL_TEXT(1, result.objects.size(), text.c_str());
            LONGS_EQUAL_TEXT(1, result.unreadable, text.c_str());
        }
    }
}

TEST(ForeignEntries, ThousandsOfUnreadableEntriesHideNoOther)
{
    constexpr std::size_t oddEntries = 5000;
    std::string items = item("large", "\"" + repeated("x", 1'000'000) + "\"");
    for (std::size_t i = 0; i < oddEntries; ++i) {
        items += "," + item(fmt::format("odd-{}", i), R"({"service":"\udcff","slots":1e999})");
    }
    const PlatformResult result =
        store.decode(listCall("servers"), listing(items + "," + item("i-2", validEntry)));
    LONGS_EQUAL(oddEntries + 2, result.objects.size());
    CHECK(isEndpoint(result.objects.back().value));
    ConfigTable table(reader);
    for (const PlatformObject &object : result.objects) {
        (void)table.apply(object);
    }
    LONGS_EQUAL(1, table.resources().size());
    LONGS_EQUAL(oddEntries + 1, table.unreadableObjects());
}

TEST(ForeignEntries, RepeatedMembersAreReadOnce)
{
    const PlatformResult result =
        store.decode(listCall("servers"),
                     listing(R"({"meta":{"name":"a","name":"x","rev":4,"rev":5},"spec":7,"spec":)"
                             + std::string(validEntry) + "}"));
    LONGS_EQUAL(1, result.objects.size());
    STRCMP_EQUAL("x", result.objects[0].name.c_str());
    LONGS_EQUAL(5, result.objects[0].version.revision);
    CHECK(isEndpoint(result.objects[0].value));
}

TEST(ForeignEntries, EndpointOverwrittenByAnUnreadableEntryIsNotUsed)
{
    ConfigTable table(reader);
    CHECK(table.apply({"servers", "x", 4, false, validEntry}));
    const PlatformResult result =
        store.decode(listCall("servers"), listing(item("x", nestedArrays)));
    LONGS_EQUAL(1, result.objects.size());
    CHECK(table.apply(result.objects.front()));
    LONGS_EQUAL(0, table.resources().size());
    LONGS_EQUAL(1, table.drainFaults().size());
}

TEST(ForeignEntries, NestedValuesOfAnyKindAreRejected)
{
    const std::string generation = fmt::format(R"({{"generation":{}}})", nestedArrays);
    for (const char *kind : {"servers", "config", "harelink-quarantine"}) {
        for (const std::string &value : {nestedArrays, nestedObjects, generation}) {
            CHECK_FALSE_TEXT(reader.read(kind, "x", value).ok(), kind);
            CHECK_FALSE(reader.generation(kind, value).has_value());
            (void)reader.generationFault(kind, value);
        }
    }
}

TEST(ForeignEntries, NestedHostDeclarationIsIgnored)
{
    const ManualClock clock;
    Membership membership(clock, "h1", "10.0.0.1:7000", "dc1", 1);
    PlatformCall hosts;
    hosts.operation = PlatformOperation::Hosts;
    const std::string valid = R"({"peers":"10.0.0.3:7000","dataCentre":"dc1"})";
    std::string items = item("h3", valid);
    for (std::size_t i = 0; i < unreadableValues.size(); ++i) {
        items += "," + item(fmt::format("odd-{}", i), unreadableValues[i]);
    }
    for (const char *address :
         {R"("10.0.0.9:0")", R"("10.0.0.9:65536")", R"("host.example:80")", R"("x")", "7", "{}"}) {
        items += ","
                 + item(fmt::format("odd-{}", hash64(address, 0)),
                        fmt::format(R"({{"peers":{},"dataCentre":"dc1"}})", address));
    }
    const PlatformResult result = store.decode(hosts, listing(items + "," + item("h4", valid)));
    CHECK(result.outcome == PlatformOutcome::Ok);
    membership.handleHostList(result.objects);
    LONGS_EQUAL(2, membership.peers().size());
    CHECK(membership.peers().contains("h4"));
}

TEST(ForeignEntries, WatchSurvivesAnInvalidEvent)
{
    for (const std::string &invalidItem :
         {std::string("null"), std::string("{}"), std::string(R"({"removed":"yes","object":{}})"),
          std::string(R"({"removed":false,"object":null})")}) {
        HttpResult http = listing("");
        http.body =
            fmt::format(R"({{"events":[{},{{"removed":false,"object":{}}}],"store-revision":12}})",
                        invalidItem, item("i-2", validEntry));
        PlatformCall call = listCall("servers");
        call.operation = PlatformOperation::Watch;
        const PlatformResult result = store.decode(call, http);
        CHECK_TEXT(result.outcome == PlatformOutcome::Ok, invalidItem.c_str());
        LONGS_EQUAL(12, result.version.revision);
        LONGS_EQUAL(1, result.objects.size());
        LONGS_EQUAL(1, result.unreadable);
    }
}

/// An entry that is overwritten with an invalid one is not used until it is valid again; for the
/// operator's manifest, the last valid version stays in use.
TEST(ForeignEntries, OverwrittenEndpointIsNotUsed)
{
    ConfigTable table(reader);
    PlatformObject object{"servers", "i-1", 5, false, validEntry};
    CHECK(table.apply(object));
    LONGS_EQUAL(1, table.resources().size());
    object.version = 6;
    object.value = "\"something else\"";
    CHECK(table.apply(object));
    LONGS_EQUAL(0, table.resources().size());
    LONGS_EQUAL(1, table.drainFaults().size());
    // The same fault is not reported again.
    object.version = 7;
    (void)table.apply(object);
    LONGS_EQUAL(0, table.drainFaults().size());
    LONGS_EQUAL(2, table.unreadableObjects());
    object.version = 8;
    object.value = validEntry;
    CHECK(table.apply(object));
    LONGS_EQUAL(1, table.resources().size());
}

TEST(ForeignEntries, HostListSurvivesAnInvalidEntry)
{
    const ManualClock clock;
    for (const char *field : {"peers", "dataCentre", "capacity", "state"}) {
        for (const std::string &value : invalidValues) {
            Membership membership(clock, "h1", "10.0.0.1:7000", "dc1", 1);
            nlohmann::json host = {
                {"peers", "10.0.0.3:7000"}, {"dataCentre", "dc1"}, {"capacity", 0.5}};
            const std::string valid = host.dump();
            host[field] = nlohmann::json::parse(value);
            membership.handleHostList({{"hosts", "h2", 1, false, host.dump()},
                                       {"hosts", "h3", 1, false, valid},
                                       {"hosts", "h4", 1, false, value}});
            const std::string text = fmt::format("{} {}", field, value);
            CHECK_TEXT(membership.peers().contains("h3"), text.c_str());
            CHECK_FALSE_TEXT(membership.peers().contains("h4"), text.c_str());
            const bool isText = value.front() == '"' && value != "\"\"";
            const bool mayStay = std::string(field) != "peers" || isText;
            CHECK_TEXT(mayStay || !membership.peers().contains("h2"), text.c_str());
        }
    }
}

TEST(ForeignEntries, InvalidQuarantineIsIgnored)
{
    QuarantineSpec spec;
    spec.digest = hash128("guilty");
    spec.pool = "m1";
    spec.endpoints = {"i-1", "i-2", "i-3"};
    spec.since = WallTime(std::chrono::milliseconds(5));
    spec.until = WallTime(std::chrono::milliseconds(5000));
    const std::string name = toHex(spec.digest);
    const nlohmann::json valid = quarantineDocument(spec);
    const std::string &kind = reader.quarantineKind();
    const auto read = reader.read(kind, name, valid.dump());
    CHECK_TRUE(read.ok());
    CHECK(std::get<QuarantineSpec>(read->front().spec).until == spec.until);
    for (const char *field : {"pool", "endpoints", "sinceMs", "untilMs"}) {
        for (const std::string &value : invalidValues) {
            nlohmann::json invalid = valid;
            invalid["spec"][field] = nlohmann::json::parse(value);
            const auto result = reader.read(kind, name, invalid.dump());
            const bool isText = value.front() == '"' && value.size() > 2;
            const bool isAcceptable = value == "0" || (isText && std::string(field) == "pool")
                                      || (value == "[]" && std::string(field) == "endpoints");
            CHECK_TEXT(isAcceptable || !result.ok(), fmt::format("{} {}", field, value).c_str());
        }
    }
    for (const std::string &value : invalidValues) {
        CHECK_FALSE(reader.read(kind, name, value).ok());
    }
    CHECK_FALSE(reader.read(kind, "another name", valid.dump()).ok());
}
