//===- peerlinktest.cpp - Tests of messages between daemons ---------------===//

#include "harelink/Adapters/peerlink.h"

#include "harelink.pb.h"

#include "tcprelay.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <limits>
#include <thread>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

/// Maximum number of attempts, mostly 10 ms apart, for an expected event. The result doesn't
/// depend on how many are needed.
constexpr int maxAttempts = 2000;

/// A receiver and a sender, each with CURVE keys or without.
struct LinkPair
{
    LinkPair(const std::optional<PeerKeys> &receiverKeys, const std::optional<PeerKeys> &senderKeys)
    {
        if (receiverKeys) {
            receiver.enableCurve(*receiverKeys);
        }
        if (senderKeys) {
            sender.enableCurve(*senderKeys);
        }
        CHECK(receiver.listen("127.0.0.1:0").ok());
    }
    void send()
    {
        Heartbeat heartbeat;
        heartbeat.usage.push_back({"drivers", "engines", milliseconds(5), 3});
        const std::string address = fmt::format("127.0.0.1:{}", receiver.port());
        sender.send({"h2", address, {"h1", 7, heartbeat}}, now);
    }
    /// Sends until something arrives.
    std::optional<PeerMessage> sendUntilReceived()
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            send();
            if (std::optional<PeerMessage> message = receiver.receive()) {
                return message;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return std::nullopt;
    }

    PeerLink receiver;
    PeerLink sender;
    TimePoint now;
};

/// A push of the declarations of many endpoints.
ConfigPush pushOfEndpoints()
{
    constexpr int endpoints = 300;
    std::vector<PlatformObject> objects;
    objects.reserve(endpoints);
    for (int i = 0; i < endpoints; ++i) {
        objects.push_back({"servers", fmt::format("i-{:08x}", i), 7, i % 100 == 0,
                           fmt::format(R"({{"service":"engines","addr":"10.0.0.{}:80",)"
                                       R"("zone":"dc1","slots":8,"state":"ready"}})",
                                       i)});
    }
    return ConfigPush(std::move(objects));
}

std::size_t valueBytes(const ConfigPush &push)
{
    std::size_t bytes = 0;
    for (const PlatformObject &object : *push.objects) {
        bytes += object.value.size();
    }
    return bytes;
}

} // namespace

TEST_GROUP(PeerLink){};

TEST(PeerLink, CompressesALargePush)
{
    const ConfigPush push = pushOfEndpoints();
    const std::string bytes = encodePeerMessage({"h1", 7, push});
    CHECK(bytes.size() < valueBytes(push) / 3);
    const std::optional<PeerMessage> message = decodePeerMessage(bytes);
    CHECK(message.has_value());
    const auto &objects = *std::get<ConfigPush>(message->content).objects;
    LONGS_EQUAL(push.objects->size(), objects.size());
    STRCMP_EQUAL(push.objects->back().value.c_str(), objects.back().value.c_str());
    CHECK(objects.front().deleted);
    CHECK(!objects.back().deleted);
}

TEST(PeerLink, RejectsAPushThatCannotBeDecompressed)
{
    std::string bytes = encodePeerMessage({"h1", 7, pushOfEndpoints()});
    bytes[bytes.size() / 2] = static_cast<char>(~bytes[bytes.size() / 2]);
    CHECK(!decodePeerMessage(bytes).has_value());
}

/// Daemons of an older version cannot decompress replies to their digests.
TEST(PeerLink, SendsAReplyToAnOlderVersionUncompressed)
{
    ConfigPush push = pushOfEndpoints();
    push.isPackable = false;
    CHECK(encodePeerMessage({"h1", 7, push}).size() > valueBytes(push));
}

/// The batcher shares its calls among accounts; daemons of an older version do not name them.
TEST(PeerLink, TransmitsTheAccountOfAPieceOrder)
{
    PieceOrder order;
    order.account = "drivers";
    order.priority = 2;
    const std::string bytes =
        encodePeerMessage({"h1", 7, PieceOrders{"pieces", {order, PieceOrder()}}});
    const std::optional<PeerMessage> message = decodePeerMessage(bytes);
    CHECK(message.has_value());
    const std::vector<PieceOrder> &orders = std::get<PieceOrders>(message->content).orders;
    LONGS_EQUAL(2, orders.size());
    STRCMP_EQUAL("drivers", orders[0].account.c_str());
    LONGS_EQUAL(2, orders[0].priority);
    STRCMP_EQUAL("", orders[1].account.c_str());
}

PieceOrders readOrders(const std::string &bytes)
{
    const std::optional<PeerMessage> message = decodePeerMessage(bytes);
    CHECK(message.has_value());
    return std::get<PieceOrders>(message->content);
}

/// A thousand pieces that read a thousand results each would exceed the largest message.
TEST(PeerLink, TransmitsALargeSourceOfPieceOrdersOnce)
{
    const SharedPieceSource source(
        {"r-1", "", std::vector<std::string>(1000, "10.1.64.9:8080/5c1e07a2e440")});
    PieceOrders orders{"pieces", std::vector<PieceOrder>(1000)};
    for (PieceOrder &order : orders.orders) {
        order.source = source;
        order.account = "drivers";
    }
    const std::string bytes = encodePeerMessage({"h1", 7, orders});
    CHECK(bytes.size() < 200'000);
    const PieceOrders read = readOrders(bytes);
    STRCMP_EQUAL("pieces", read.pool.c_str());
    LONGS_EQUAL(1000, read.orders.size());
    for (const PieceOrder &order : read.orders) {
        CHECK(*order.source == *source);
        CHECK(order.source.isSame(read.orders[0].source));
        STRCMP_EQUAL("drivers", order.account.c_str());
    }
}

/// Daemons of an older version read the fields of each order.
TEST(PeerLink, TransmitsASmallSourceWithEachPieceOrder)
{
    const SharedPieceSource source({"r-1", "key", {}});
    PieceOrders orders{"pieces", std::vector<PieceOrder>(3)};
    orders.orders[0].source = source;
    orders.orders[1].source = source;
    orders.orders[2].source = SharedPieceSource({"r-2", "", {"10.0.0.1:80/a"}});
    wire::PeerMessage message;
    const std::string bytes = encodePeerMessage({"h1", 7, orders});
    CHECK(message.ParseFromString(bytes));
    LONGS_EQUAL(3, message.piece_orders().orders_size());
    STRCMP_EQUAL("r-1", message.piece_orders().orders(1).caller_id().c_str());
    const PieceOrders read = readOrders(bytes);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(*read.orders[i].source == *orders.orders[i].source);
    }
    CHECK(read.orders[0].source.isSame(read.orders[1].source));
}

TEST(PeerLink, DeliversMessagesWithTheSameKeys)
{
    const PeerKeys keys = makePeerKeys();
    LinkPair pair(keys, keys);
    const std::optional<PeerMessage> message = pair.sendUntilReceived();
    CHECK(message.has_value());
    const auto &heartbeat = std::get<Heartbeat>(message->content);
    STRCMP_EQUAL("h1", message->host.c_str());
    CHECK_EQUAL(3, heartbeat.usage.at(0).demand);
    CHECK_EQUAL(0u, pair.receiver.refusedConnections());
}

TEST(PeerLink, RefusesAndCountsPeersWithUnknownKeys)
{
    const PeerKeys keys = makePeerKeys();
    PeerKeys unknownKeys = makePeerKeys();
    // The intruder has the fleet's public key, which is not secret, but uses another key pair.
    LinkPair pair(keys, keys);
    PeerLink intruder;
    const std::string address = fmt::format("127.0.0.1:{}", pair.receiver.port());
    intruder.enableCurve(unknownKeys);
    intruder.trustServer(keys.publicKey);
    for (int attempt = 0; attempt < maxAttempts && pair.receiver.refusedConnections() == 0;
         ++attempt) {
        intruder.send({"h2", address, {"intruder", 8, Heartbeat{}}}, {});
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(pair.receiver.refusedConnections() > 0);
    CHECK(!pair.receiver.receive().has_value());
    // Control: messages with the fleet's keys still arrive.
    CHECK(pair.sendUntilReceived()->host == "h1");
}

TEST(PeerLink, AcceptsKeysFromTheSettings)
{
    PeerKeys keys = makePeerKeys();
    const PeerKeys other = makePeerKeys();
    keys.accepted = {other.publicKey};
    LinkPair pair(keys, other);
    pair.sender.trustServer(keys.publicKey);
    CHECK(pair.sendUntilReceived().has_value());
}

TEST(PeerLink, DeliversMessagesWithoutKeys)
{
    LinkPair pair(std::nullopt, std::nullopt);
    CHECK(pair.sendUntilReceived().has_value());
}

TEST(PeerLink, FirstMessageIsQueuedUntilConnected)
{
    LinkPair pair({}, {});
    pair.send();
    std::optional<PeerMessage> message;
    for (int attempt = 0; attempt < maxAttempts && !message; ++attempt) {
        // Only flush() can deliver the message: it is not sent again.
        pair.sender.flush(pair.sender.nextFlush());
        message = pair.receiver.receive();
        std::this_thread::sleep_for(milliseconds(message ? 0 : 1));
    }
    CHECK(message.has_value());
    LONGS_EQUAL(0, pair.sender.counters().dropped);
    LONGS_EQUAL(1, pair.sender.counters().sent);
}

// Messages to a peer were lost for good once the connection to it had gone silent.
TEST(PeerLink, ReplacesAConnectionThatHasGoneSilent)
{
    PeerLink receiver;
    CHECK(receiver.listen("127.0.0.1:0").ok());
    TcpRelay relay(receiver.port());
    PeerLink sender;
    const PeerSend send{"h2", fmt::format("127.0.0.1:{}", relay.port()), {"h1", 7, Heartbeat{}}};
    for (int connection = 0; connection < 2; ++connection) {
        std::optional<PeerMessage> message;
        for (int attempt = 0; attempt < maxAttempts && !message; ++attempt) {
            sender.send(send, {});
            std::this_thread::sleep_for(milliseconds(10));
            message = receiver.receive();
        }
        CHECK(message.has_value());
        relay.silence();
        while (receiver.receive()) {
        }
    }
}

TEST(PeerLink, DropsMessagesToUnreachablePeers)
{
    PeerLink sender;
    const TimePoint start;
    const PeerSend send{"h2", "127.0.0.1:1", {"h1", 7, Heartbeat{}}};
    sender.send(send, start);
    CHECK(sender.nextFlush() < TimePoint::max());
    sender.flush(start + milliseconds(1000));
    LONGS_EQUAL(1, sender.counters().dropped);
    CHECK(sender.nextFlush() == TimePoint::max());
    // The time for connecting is over: later messages are dropped at once.
    sender.send(send, start + milliseconds(1000));
    LONGS_EQUAL(2, sender.counters().dropped);
}

/// Addresses come from a list with entries of other writers. Invalid ones must not prevent
/// messages to valid ones.
TEST(PeerLink, IgnoresInvalidAddresses)
{
    PeerLink receiver;
    CHECK(receiver.listen("127.0.0.1:0").ok());
    PeerLink sender;
    TimePoint now{};
    for (const char *address : {"x", "", "1.2.3.4", "1.2.3.4:port", "localhost:80", "127.0.0.1:0",
                                "127.0.0.1:1;127.0.0.1:2"}) {
        PeerSend send;
        send.address = address;
        send.message = {"h1", 1, Heartbeat{}};
        sender.send(send, now);
    }
    LONGS_EQUAL(7, sender.counters().dropped);
    PeerSend send;
    send.address = fmt::format("127.0.0.1:{}", receiver.port());
    send.message = {"h1", 1, Heartbeat{}};
    sender.send(send, now);
    std::optional<PeerMessage> message;
    for (int attempt = 0; attempt < maxAttempts && !message; ++attempt) {
        std::this_thread::sleep_for(milliseconds(10));
        // Stays below the time after which queued messages are dropped.
        now += attempt < 9 ? milliseconds(3) : milliseconds(0);
        sender.flush(now);
        message = receiver.receive();
    }
    CHECK(message.has_value());
}

TEST(PeerLink, InvalidAddressesAreNotRememberedWithoutBound)
{
    PeerLink sender;
    for (std::uint64_t i = 0; i < 3 * maxReportedAddresses; ++i) {
        sender.send({"h2", fmt::format("host-{}:80", i), {"h1", 1, Heartbeat{}}}, {});
    }
    CHECK_EQUAL(3 * maxReportedAddresses, sender.counters().dropped);
    CHECK_EQUAL(maxReportedAddresses, sender.counters().unusableAddresses);
}

TEST(PeerLink, NumbersOfPeersAreBounded)
{
    constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
    wire::PeerMessage message;
    message.set_host("h2");
    wire::Heartbeat &sent = *message.mutable_heartbeat();
    sent.set_capacity(std::numeric_limits<float>::infinity());
    sent.add_usage()->set_micros(largest);
    wire::EndpointLimit &limit = *sent.add_limits();
    limit.set_per_second(1);
    limit.set_stated_micros_ago(largest);
    sent.add_limits()->set_per_second(std::numeric_limits<double>::infinity());
    wire::PieceBacklog &backlog = *sent.add_backlogs();
    backlog.set_free_in_micros(-largest);
    backlog.set_slowness(std::numeric_limits<float>::quiet_NaN());
    backlog.set_correction(1e30F);
    const std::optional<PeerMessage> decoded = decodePeerMessage(message.SerializeAsString());
    const auto &heartbeat = std::get<Heartbeat>(decoded->content);
    constexpr std::chrono::hours year{24 * 365};
    DOUBLES_EQUAL(1, heartbeat.capacity, 0);
    CHECK(heartbeat.usage[0].time == year);
    LONGS_EQUAL(1, heartbeat.limits.size());
    CHECK(heartbeat.limits[0].age == year);
    CHECK(heartbeat.backlogs[0].freeIn == -year);
    DOUBLES_EQUAL(0, heartbeat.backlogs[0].slowness, 0);
    CHECK(heartbeat.backlogs[0].correction <= 10'000);
}

TEST(PeerLink, CrashReportsSurviveEncoding)
{
    CrashReports reports;
    reports.reports.push_back({hash128("a"), "engines", "e1", std::chrono::milliseconds(120),
                               std::chrono::milliseconds(3)});
    const auto read = decodePeerMessage(encodePeerMessage({"h1", 7, reports}));
    CHECK_TRUE(read.has_value());
    const CrashReport &report = std::get<CrashReports>(read->content).reports.at(0);
    CHECK(report.digest == hash128("a"));
    STRCMP_EQUAL("e1", report.endpoint.c_str());
    STRCMP_EQUAL("engines", report.pool.c_str());
    CHECK(report.sentAgo == std::chrono::milliseconds(120));
    CHECK(report.brokeAgo == std::chrono::milliseconds(3));
    const auto cleared =
        decodePeerMessage(encodePeerMessage({"h1", 7, CrashesCleared{{hash128("b")}}}));
    CHECK(std::get<CrashesCleared>(cleared->content).digests.at(0) == hash128("b"));
}

TEST(PeerLink, PassesOnThePacesAndCallsOfEndpoints)
{
    using std::chrono::microseconds;
    Heartbeat heartbeat;
    heartbeat.prompts = {{"engine-1", 5, 3}};
    heartbeat.paces = {{"engine-1", 2, microseconds(7), microseconds::max()},
                       {"engine-2", 3, microseconds::min(), microseconds()}};
    PeerSummary summary;
    summary.prompts = heartbeat.prompts;
    summary.paces = heartbeat.paces;
    const auto check = [&](const auto &content) {
        const auto message = decodePeerMessage(encodePeerMessage({"h1", 7, content}));
        const auto &read = std::get<std::decay_t<decltype(content)>>(message->content);
        LONGS_EQUAL(3, read.prompts[0].calls);
        LONGS_EQUAL(2, read.paces.size());
        STRCMP_EQUAL("engine-1", read.paces[0].endpoint.c_str());
        LONGS_EQUAL(2, read.paces[0].loadClass);
        CHECK(read.paces[0].expected == microseconds(7));
        CHECK(read.paces[0].measured == microseconds::max());
        CHECK(read.paces[1].expected == microseconds::min());
    };
    check(heartbeat);
    check(summary);
}

TEST(PeerLink, LoansOfRetriesSurviveEncoding)
{
    const std::chrono::microseconds stamp(123'456'789'012);
    const auto request =
        decodePeerMessage(encodePeerMessage({"h1", 7, BudgetLoanRequest{"engines", 8, stamp}}));
    CHECK(request.has_value());
    const auto &asked = std::get<BudgetLoanRequest>(request->content);
    STRCMP_EQUAL("engines", asked.pool.c_str());
    LONGS_EQUAL(8, asked.retries);
    CHECK(asked.stamp == stamp);
    // Shares of large fleets are fractions of a retry.
    for (const double retries : {0.05, 0.488, 1.0, 7.999}) {
        const auto loan =
            decodePeerMessage(encodePeerMessage({"h1", 7, BudgetLoan{"engines", retries, stamp}}));
        CHECK(loan.has_value());
        const auto &lent = std::get<BudgetLoan>(loan->content);
        DOUBLES_EQUAL(retries, lent.retries, 1e-9);
        STRCMP_EQUAL("engines", lent.pool.c_str());
        CHECK(lent.stamp == stamp);
    }
}

TEST(PeerLink, OriginsOfStreamsSurviveEncoding)
{
    const StreamRecord record{hash128("stream"),
                              {"engines", "v1"},
                              std::chrono::seconds(7),
                              "e@1",
                              std::chrono::seconds(3)};
    const auto records = decodePeerMessage(encodePeerMessage({"h1", 7, StreamRecords{{record}}}));
    const StreamRecord &read = std::get<StreamRecords>(records->content).records.at(0);
    CHECK(read.stream == record.stream);
    CHECK(read.origin == record.origin);
    CHECK(read.ttl == record.ttl);
    STRCMP_EQUAL("e@1", read.endpoint.c_str());
    CHECK(read.age == record.age);
    const auto query = decodePeerMessage(encodePeerMessage({"h1", 7, StreamQuery{record.stream}}));
    CHECK(std::get<StreamQuery>(query->content).stream == record.stream);
    const auto known =
        decodePeerMessage(encodePeerMessage({"h1", 7, StreamReply{record.stream, record}}));
    CHECK(std::get<StreamReply>(known->content).record->origin == record.origin);
    const auto unknown =
        decodePeerMessage(encodePeerMessage({"h1", 7, StreamReply{record.stream, std::nullopt}}));
    CHECK(std::get<StreamReply>(unknown->content).stream == record.stream);
    CHECK_FALSE(std::get<StreamReply>(unknown->content).record.has_value());
}

// Peers of older versions pass on any status of an endpoint, and callers got it.
TEST(PeerLink, RelayedAnswersWithoutAValidStatusAreNone)
{
    for (const int status : {-200, 42, 101, 600, 999, 65'736}) {
        RelayPart part;
        part.isLast = true;
        part.wasSent = true;
        part.status = status;
        part.headStatus = status;
        const auto read = decodePeerMessage(encodePeerMessage({"h1", 7, part}));
        CHECK(read.has_value());
        const auto &received = std::get<RelayPart>(read->content);
        CHECK_EQUAL(0, received.status);
        CHECK_EQUAL(0, received.headStatus);
        CHECK_TRUE(received.wasSent);
        CHECK(!received.error.empty());
    }
}

TEST(PeerLink, CallsMadeForPeersKeepTheirFields)
{
    RelayCall call;
    call.call = {{7, 3}, 1, 2};
    call.pool = "engines";
    call.method = "POST";
    call.url = "http://127.0.0.1:1";
    call.target = "/a?b=c";
    call.headers = {"A: b", "C;"};
    call.body = std::string("x\0y", 3);
    call.timeout = milliseconds(700);
    call.connectTimeout = milliseconds(200);
    call.omitsDefaultHeaders = true;
    call.windowBytes = 1000;
    const auto readCall = decodePeerMessage(encodePeerMessage({"h1", 7, call}));
    CHECK(readCall.has_value());
    const auto &received = std::get<RelayCall>(readCall->content);
    CHECK(received.call == call.call && received.headers == call.headers);
    CHECK(received.pool == call.pool && received.method == call.method);
    CHECK(received.url == call.url && received.target == call.target);
    CHECK(received.body == call.body && received.omitsDefaultHeaders);
    CHECK(received.timeout == call.timeout && received.connectTimeout == call.connectTimeout);
    CHECK_EQUAL(call.windowBytes, received.windowBytes);

    RelayPart part;
    part.call = call.call;
    part.number = 4;
    part.isLast = true;
    part.status = 503;
    part.headStatus = 503;
    part.wasSent = false;
    part.isBroken = true;
    part.wasRefused = true;
    part.error = "closed";
    part.fields = {{"A", "b"}, {"A", "c"}};
    part.body = "rest";
    part.longestPause = milliseconds(1200);
    const auto readPart = decodePeerMessage(encodePeerMessage({"h1", 7, part}));
    CHECK(readPart.has_value());
    const auto &result = std::get<RelayPart>(readPart->content);
    CHECK(result.call == part.call && result.fields == part.fields);
    CHECK(result.number == 4 && result.isLast && !result.wasSent);
    CHECK(result.status == 503 && result.headStatus == 503);
    CHECK(result.isBroken && result.wasRefused);
    CHECK(result.error == part.error && result.body == part.body);
    CHECK(result.longestPause == part.longestPause);

    const auto readAck =
        decodePeerMessage(encodePeerMessage({"h1", 7, RelayAck{call.call, 70'000}}));
    CHECK(readAck.has_value());
    CHECK(std::get<RelayAck>(readAck->content).call == call.call);
    CHECK_EQUAL(70'000u, std::get<RelayAck>(readAck->content).bytes);

    Heartbeat heartbeat;
    heartbeat.lostPools = {"engines", "stages/dc1"};
    heartbeat.servingHosts = 1;
    heartbeat.crowdedHosts = 1;
    heartbeat.readsPerSecond = 240;
    const auto readHeartbeat = decodePeerMessage(encodePeerMessage({"h1", 7, heartbeat}));
    CHECK(std::get<Heartbeat>(readHeartbeat->content).lostPools == heartbeat.lostPools);
    LONGS_EQUAL(1, std::get<Heartbeat>(readHeartbeat->content).servingHosts);
    LONGS_EQUAL(1, std::get<Heartbeat>(readHeartbeat->content).crowdedHosts);
    LONGS_EQUAL(240, std::get<Heartbeat>(readHeartbeat->content).readsPerSecond);
    PeerSummary summary;
    summary.servingHosts = 5;
    summary.crowdedHosts = 3;
    summary.readsPerSecond = 900;
    summary.heartbeatMultiplier = 4;
    const auto readSummary = decodePeerMessage(encodePeerMessage({"h1", 7, summary}));
    LONGS_EQUAL(5, std::get<PeerSummary>(readSummary->content).servingHosts);
    LONGS_EQUAL(3, std::get<PeerSummary>(readSummary->content).crowdedHosts);
    LONGS_EQUAL(900, std::get<PeerSummary>(readSummary->content).readsPerSecond);
    LONGS_EQUAL(4, std::get<PeerSummary>(readSummary->content).heartbeatMultiplier);
    const auto readCancel = decodePeerMessage(encodePeerMessage({"h1", 7, RelayCancel{call.call}}));
    CHECK(std::get<RelayCancel>(readCancel->content).call == call.call);
}
