//===- mutatedinputstest.cpp - Decoders with mutated inputs ---------------===//
///
/// \file
/// Decoders of what the store, callers, endpoints and peers send get inputs that were mutated at
/// random, with fixed seeds. None may throw, and what they accept must be usable. The environment
/// variable HARELINK_MUTATED_INPUTS replaces the number of inputs of each test.
///
//===----------------------------------------------------------------------===//

#include "headers.h"
#include "manifest.h"
#include "pieces.h"
#include "requests.h"
#include "store.h"

#include "harelink/Adapters/peerlink.h"
#include "harelink/Adapters/platformclient.h"
#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/controlmachine.h"
#include "harelink/Support/random.h"
#include "harelink/Support/text.h"

#include "Kernel/controlfixture.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t defaultInputs = 4000;
constexpr std::size_t maxInputBytes = 200'000;
constexpr std::size_t maxRepetitions = 2000;
constexpr std::size_t iterationsPerTick = 20;

std::size_t inputCount()
{
    const char *stated = std::getenv("HARELINK_MUTATED_INPUTS");
    return stated == nullptr ? defaultInputs : std::strtoul(stated, nullptr, 10);
}

/// Texts that decoders have special cases for.
const std::array<std::string_view, 33> fragments = {"[",
                                                    "]",
                                                    "{",
                                                    "}",
                                                    ",",
                                                    ":",
                                                    "\"",
                                                    "\\",
                                                    "\\udcff",
                                                    "\\ud83d\\ude00",
                                                    "null",
                                                    "true",
                                                    "-1",
                                                    "0",
                                                    "1e400",
                                                    "-1e300",
                                                    "0.5",
                                                    "18446744073709551616",
                                                    "9223372036854775807",
                                                    "-9223372036854775808",
                                                    "\xff",
                                                    "\xc3\xa9",
                                                    "\xed\xa0\x80",
                                                    "\r\n",
                                                    "\x7f",
                                                    "NaN",
                                                    "\"name\":",
                                                    "\"rev\":",
                                                    "\"spec\":",
                                                    "\"meta\":",
                                                    "127.0.0.1:65536",
                                                    "{\"a\":",
                                                    "[["};

class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string mutate(std::string text)
    {
        for (std::uint64_t i = m_random.below(4) + 1; i > 0; --i) {
            mutateOnce(text);
        }
        text.resize(std::min(text.size(), maxInputBytes));
        return text;
    }

    /// Replaces up to three bytes: of a message with lengths in it, little else can be read.
    std::string replaceBytes(std::string bytes)
    {
        for (std::uint64_t i = m_random.below(3) + 1; i > 0; --i) {
            bytes[m_random.below(bytes.size())] = static_cast<char>(m_random.below(256));
        }
        return bytes;
    }

    const std::string &pick(const std::vector<std::string> &texts)
    {
        return texts[m_random.below(texts.size())];
    }

    Random &random() { return m_random; }

private:
    void mutateOnce(std::string &text)
    {
        const std::size_t at = m_random.below(text.size() + 1);
        const std::size_t length = m_random.below(std::min<std::size_t>(text.size() - at, 32) + 1);
        switch (m_random.below(7)) {
        case 0:
            text.insert(at, fragments[m_random.below(fragments.size())]);
            break;
        case 1:
            text.replace(at, length, fragments[m_random.below(fragments.size())]);
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            if (at < text.size()) {
                text[at] = static_cast<char>(m_random.below(256));
            }
            break;
        case 4:
            text.insert(at, text.substr(m_random.below(text.size() + 1), length));
            break;
        case 5:
            text.resize(at);
            break;
        default:
            repeat(text, at, length);
            break;
        }
    }

    void repeat(std::string &text, std::size_t at, std::size_t length)
    {
        std::string repeated;
        const std::string part = m_random.chance(0.5)
                                     ? text.substr(at, length)
                                     : std::string(fragments[m_random.below(fragments.size())]);
        for (std::uint64_t i = m_random.below(maxRepetitions); i > 0; --i) {
            repeated += part;
        }
        text.insert(at, repeated);
    }

    Random m_random;
};

const std::string entry =
    R"({"service":"m1","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":64,"state":"ready",)"
    R"("cold-left-ms":12.5,"born":1700000000000,"seq":4})";
const std::string manifest =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example","path-prefix":"/x/","kind":"stream",)"
    R"("timeout-ms":8000,"slo-ms":1000,"priority":1,"attempts":2,"can-resume":true,)"
    R"("itl-target-ms":200,"allowed-regions":["eu"],"split":[{"service":"m1","weight":90},)"
    R"({"service":"p1","weight":10}],"stages":[{"service":"p1","since-rev":[],"bytes":3000000},)"
    R"({"service":"p1","since-rev":[0],"bytes":10}]}],"services":[{"name":"m1","engine":)"
    R"({"kv-capacity":614608},"cold-s":3.0,"cold-per-s":9.1,"health-path":"/ok"},{"name":"p1",)"
    R"("pieces":{"slots":1,"queue":2,"batch":8,"call-ms":150.0,"item-ms":2.1,"headroom-mb":39.0,)"
    R"("handle-s":4.0}}],"limits":{"max-body-bytes":4194304},"tenants":[{"name":"t1","api-keys":)"
    R"(["k1"],"priority":1}]})";
const std::string host =
    R"({"host":"h2","dataCentre":"dc1","peers":"10.0.0.2:7000","incarnation":5,"capacity":0.5,)"
    R"("state":"serving"})";
const std::string quarantine =
    R"({"kind":"Quarantine","name":"0123456789abcdef0123456789abcdef","generation":3,"spec":)"
    R"({"pool":"m1","endpoints":["i-1","i-2","i-3"],"sinceMs":5,"untilMs":5000}})";

std::string objectWith(const std::string &spec)
{
    return fmt::format(R"({{"meta":{{"name":"x","rev":5,"create-revision":2,"finalizers":[],)"
                       R"("deleting":false}},"spec":{},"status":null}})",
                       spec);
}

HttpResult answer(int status, std::string body)
{
    HttpResult result;
    result.status = status;
    result.headStatus = status;
    result.sent = true;
    result.body = std::move(body);
    return result;
}

const std::vector<std::string> kinds = {"servers", "config", "evacuations", "harelink-quarantine"};

/// Declares \p object to all that read it.
void use(const PlatformObject &object, const ObjectReader &reader, ConfigTable &table)
{
    CHECK(isUnicode(object.name));
    CHECK(isUnicode(object.value));
    (void)reader.generationFault(object.kind, object.value);
    (void)table.apply(object);
    for (const ConfigFault &fault : table.drainFaults()) {
        CHECK(isUnicode(fault.fault));
    }
}

} // namespace

TEST_GROUP(MutatedInputs)
{
    fleet::StoreDialect store;
    fleet::ManifestReader reader;
    fleet::StageDialect stages;
    fleet::RequestDialect requests;
};

TEST(MutatedInputs, AnswersOfTheStore)
{
    Mutator mutator(1);
    const ManualClock clock;
    const std::vector<std::string> specs = {entry, manifest, host, quarantine};
    for (std::size_t i = 0; i < inputCount(); ++i) {
        PlatformCall call;
        constexpr std::array operations = {PlatformOperation::List, PlatformOperation::Watch,
                                           PlatformOperation::Hosts, PlatformOperation::Get};
        call.operation = operations[i % operations.size()];
        call.kind = mutator.pick(kinds);
        const std::string object = objectWith(mutator.pick(specs));
        std::string body = object;
        if (call.operation == PlatformOperation::Watch) {
            body = fmt::format(R"({{"events":[{{"object":{0},"removed":false}},)"
                               R"({{"object":{0},"removed":true}}],"store-revision":12}})",
                               object);
        } else if (call.operation != PlatformOperation::Get) {
            body = fmt::format(R"({{"items":[{0},{0}],"truncated":false,"store-revision":9}})",
                               object);
        }
        const PlatformResult result = store.decode(call, answer(200, mutator.mutate(body)));
        ConfigTable table(reader);
        Membership membership(clock, "h1", "10.0.0.1:7000", "dc1", 1);
        for (const PlatformObject &decoded : result.objects) {
            use(decoded, reader, table);
        }
        membership.handleHostList(result.objects);
        (void)decodePlatformResult(1, answer(200, mutator.mutate(body)));
    }
}

/// A mutated value between two others must not affect them.
TEST(MutatedInputs, EntriesBetweenOthers)
{
    Mutator mutator(2);
    PlatformCall call;
    call.operation = PlatformOperation::List;
    call.kind = "servers";
    constexpr std::size_t divisor = 4;
    for (std::size_t i = 0; i < inputCount() / divisor; ++i) {
        std::string value = mutator.mutate(entry);
        // Brackets and quotes decide where a value ends, so these must match.
        std::erase_if(value, [](char c) {
            return std::string_view("[]{}\"\\,:").find(c) != std::string_view::npos;
        });
        value = mutator.random().chance(0.5) ? fmt::format(R"({{"a":[{}]}})", value)
                                             : fmt::format("\"{}\"", value);
        const PlatformResult result = store.decode(
            call, answer(200, fmt::format(R"({{"items":[{0},{1},{0}],"store-revision":9}})",
                                          objectWith(entry), objectWith(value))));
        CHECK(result.outcome == PlatformOutcome::Ok);
        LONGS_EQUAL(3, result.objects.size());
        CHECK(reader.read("servers", "x", result.objects.front().value).ok());
        CHECK_FALSE(reader.read("servers", "x", result.objects[1].value).ok());
        CHECK(reader.read("servers", "x", result.objects.back().value).ok());
    }
}

TEST(MutatedInputs, Declarations)
{
    Mutator mutator(3);
    for (std::size_t i = 0; i < inputCount(); ++i) {
        ConfigTable table(reader);
        const std::string &kind = mutator.pick(kinds);
        const std::string value = mutator.mutate(mutator.pick({entry, manifest, quarantine}));
        const std::string name = mutator.mutate("0123456789abcdef0123456789abcdef");
        (void)reader.generation(kind, value);
        (void)reader.generationFault(kind, value);
        (void)reader.read(kind, name, value);
        (void)defaultObjectReader().read("Quarantine", name, value);
        (void)table.apply({kind, name, 5, false, value});
        (void)table.drainFaults();
    }
}

TEST(MutatedInputs, RequestsOfCallers)
{
    Mutator mutator(4);
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"Host", "A.Example:80"},
        {"X-Request-Id", "9c41d07be2a35f68"},
        {"X-Deadline-Ms", "800"},
        {"Authorization", "Token k1"},
        {"X-Model", "m"},
        {"X-Token-Count", "1460,80"},
        {"X-Pieces", "1,0,16"},
        {"X-Prompt-Prefix", "5c:800,91:410,e4:250"},
        {"X-Piece-Key", "pk"},
        {"Last-Event-Id", "7"},
        {"Connection", "keep-alive, x-a"}};
    for (std::size_t i = 0; i < inputCount(); ++i) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/x/1";
        request.path = "/x/1";
        for (const auto &[name, value] : fields) {
            const std::string sent = mutator.random().chance(0.2) ? mutator.mutate(value) : value;
            request.fields.emplace_back(name, sent);
            request.headers[lowerCase(name)] = sent;
        }
        const absl::StatusOr<RequestArrived> arrival = requests.read(request);
        if (!arrival.ok()) {
            (void)requests.makeBadRequest(request, arrival.status());
            continue;
        }
        SendStage stage;
        stage.call = {{1, 2}, 0, 1};
        stage.endpointIdentity = "i-7";
        stage.address = "10.0.0.1:80";
        stage.timeout = milliseconds(750);
        stage.proxied = arrival->proxied;
        (void)requests.encode(stage);
        PieceCall call;
        call.address = stage.address;
        PieceOrder order;
        order.source =
            SharedPieceSource({arrival->proxied->callerId, arrival->proxied->pieceKey, {}});
        call.orders = {order};
        const nlohmann::json sent = nlohmann::json::parse(stages.encode(call).body);
        // What can't be stated exactly must not have been accepted.
        CHECK(arrival->proxied->pieceCounts.empty()
              || sent["items"][0]["id"] == order.source->callerId);
    }
}

TEST(MutatedInputs, AnswersOfEndpoints)
{
    Mutator mutator(5);
    PieceCall call;
    call.endpoint = "i-9";
    call.address = "10.0.0.9:80";
    call.orders.resize(2);
    const std::string body =
        R"({"items":[{"handle":"10.0.0.9:80/x"},{"reason":"gone"}],"later":[1.5]})";
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"server-limit", "1.5"}, {"server-leaving", "1"}, {"x-engine-load", "24,3,24,110"},
        {"retry-after", "3"},    {"x-cold-ms", "200"},    {"x-not-run", ""}};
    for (std::size_t i = 0; i < inputCount(); ++i) {
        HttpResult result = answer(i % 3 == 0 ? 503 : 200, mutator.mutate(body));
        for (const auto &[name, value] : fields) {
            result.headers[name] = mutator.random().chance(0.5) ? mutator.mutate(value) : value;
        }
        const EndpointNotice notice = fleet::noticeOf(result);
        CHECK(!notice.requestsPerSecond || *notice.requestsPerSecond >= 0);
        CHECK(notice.pause >= Duration::zero());
        const PieceCallEnded ended = stages.decode(call, result);
        for (const PieceResult &piece : ended.results) {
            (void)stages.encodeFree({piece.handle});
        }
    }
}

TEST(MutatedInputs, MessagesOfPeers)
{
    Mutator mutator(6);
    Heartbeat heartbeat;
    heartbeat.dataCentre = "dc1";
    heartbeat.address = "10.0.0.2:7000";
    heartbeat.leavingKnown = true;
    heartbeat.usage.push_back({"t1", "m1", milliseconds(5), 3});
    heartbeat.leavingEndpoints = {"i-1"};
    heartbeat.backlogs.emplace_back().pool = "p1";
    heartbeat.prompts.push_back({"i-2", 500, 3});
    heartbeat.paces.push_back({"i-2", 1, milliseconds(5), milliseconds(6)});
    heartbeat.limits.push_back({"i-2", 5.5, milliseconds(9)});
    PeerSummary summary;
    summary.hosts.push_back({"h3", "dc1", "10.0.0.3:7000", 4, false, 0.5});
    summary.leavingEndpoints = {"i-1"};
    PieceOrders orders;
    orders.pool = "p1";
    orders.orders.emplace_back().source = SharedPieceSource({"r-1", "", {}});
    PieceOrders sourced;
    sourced.pool = "p1";
    sourced.orders.resize(2);
    sourced.orders[0].source = SharedPieceSource({"r-2", "", {std::string(40'000, 'h'), "i"}});
    sourced.orders[1].source = sourced.orders[0].source;
    PieceOutcomes outcomes;
    outcomes.outcomes.push_back({{{1, 2}, 0, 3}, "i-4", "10.0.0.1:80/x", PieceFault::Failed});
    const ConfigPush push({{"servers", "i-1", 5, false, entry}});
    ConfigDigest digest;
    digest.bucketHashes = {1, 2, 3};
    digest.buckets = {0, 1};
    digest.entries.push_back({"servers", "i-1", 5});
    CrashReports crashes;
    crashes.reports.push_back({hash128("a"), "m1", "i-1", milliseconds(5), milliseconds(4), false});
    StreamRecords streams;
    streams.records.push_back({hash128("a"), {"m1", "v1"}, milliseconds(5000)});
    std::vector<std::string> messages;
    for (const decltype(PeerMessage::content) &content :
         {decltype(PeerMessage::content)(heartbeat), decltype(PeerMessage::content)(summary),
          decltype(PeerMessage::content)(orders), decltype(PeerMessage::content)(sourced),
          decltype(PeerMessage::content)(outcomes), decltype(PeerMessage::content)(push),
          decltype(PeerMessage::content)(digest), decltype(PeerMessage::content)(crashes),
          decltype(PeerMessage::content)(streams),
          decltype(PeerMessage::content)(BudgetLoan{"m1", 2.5, milliseconds(7)}),
          decltype(PeerMessage::content)(BudgetLoanRequest{"m1", 3, milliseconds(7)})}) {
        messages.push_back(encodePeerMessage({"h2", 7, content}));
    }
    ManualClock clock;
    ControlMachine machine(clock, testing::controlOptions(reader));
    std::size_t decodedMessages = 0;
    for (std::size_t i = 0; i < inputCount(); ++i) {
        const std::string &sent = mutator.pick(messages);
        const std::optional<PeerMessage> message = decodePeerMessage(
            mutator.random().chance(0.5) ? mutator.mutate(sent) : mutator.replaceBytes(sent));
        if (message) {
            ++decodedMessages;
            CHECK(decodePeerMessage(encodePeerMessage(*message)).has_value());
            machine.handle(*message);
        }
        clock.advance(milliseconds(1));
        if (i % iterationsPerTick == 0) {
            machine.tick();
            (void)machine.drainOutput();
        }
    }
    CHECK(decodedMessages > inputCount() / 20);
}
