//===- settingstest.cpp - Daemon settings tests ---------------------------===//

#include "harelink/Config/settings.h"
#include "harelink/Support/error.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;

namespace {

constexpr const char *validSettings = R"({
    "host": "h1", "dataCentre": "porto", // A comment.
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": "127.0.0.1:4", "callerTrust": "balancer", "peerTrust": "network"})";

absl::StatusOr<Settings> read(const std::string &text)
{
    return readSettings(text, "h1.jsonc", {"power-of-two", "round-robin"});
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsValidFile)
{
    const auto settings = read(validSettings);
    CHECK(settings.ok());
    STRCMP_EQUAL("porto", settings->dataCentre.c_str());
    STRCMP_EQUAL("power-of-two", settings->routingPolicy.c_str());
    CHECK(settings->callerTrust == CallerTrust::Balancer);
}

TEST(Settings, RequiresCallerTrust)
{
    std::string text = validSettings;
    text.erase(text.find(", \"callerTrust\": \"balancer\""), 27);
    STRCMP_CONTAINS("callerTrust: is missing", errorMessage(read(text).status()).c_str());
}

TEST(Settings, ReportsAllErrors)
{
    const std::string error = errorMessage(
        read(R"({"host": "H 1", "listen": {"callers": "here"}, "routing": "best", "colour": 1})")
            .status());
    for (const char *expected :
         {"host: must be a name", "dataCentre: is missing",
          "listen.callers: must be an IPv4 address", "listen.operators: is missing",
          "platform: is missing",
          "routing: 'best' is unknown; valid values are: power-of-two, round-robin",
          "colour: is an unknown field"}) {
        STRCMP_CONTAINS(expected, error.c_str());
    }
}

TEST(Settings, RequiresPeerTrust)
{
    std::string text = validSettings;
    text.erase(text.find(", \"peerTrust\": \"network\""), 24);
    STRCMP_CONTAINS("peerTrust: is missing", errorMessage(read(text).status()).c_str());
}

TEST(Settings, CurveRequiresKeysAndErrorsContainNone)
{
    std::string text = validSettings;
    const std::string trust = "\"peerTrust\": \"network\"";
    text.replace(text.find(trust), trust.size(),
                 R"("peerTrust": "curve", "peerKeys": {"public": "short", "secret": "hidden"})");
    const std::string message = errorMessage(read(text).status());
    STRCMP_CONTAINS("peerKeys.public: must be a key", message.c_str());
    STRCMP_CONTAINS("peerKeys.secret: must be a key", message.c_str());
    CHECK(message.find("hidden") == std::string::npos);
}

TEST(Settings, BalancerGraceIsAtMostHalfOfDrainLimit)
{
    const auto with = [](const std::string &limits) {
        std::string text = validSettings;
        text.insert(text.rfind('}'), ", \"limits\": {" + limits + "}");
        return read(text);
    };
    CHECK(with("\"balancerGraceMs\": 2900, \"drainLimitMs\": 7300").ok());
    CHECK_FALSE(with("\"balancerGraceMs\": 5500, \"drainLimitMs\": 7300").ok());
}

TEST(Settings, BuffersTakeAnEighthOfTheMemoryUnlessStated)
{
    const auto with = [](const std::string &limits) {
        std::string text = validSettings;
        text.insert(text.rfind('}'), ", \"limits\": {" + limits + "}");
        return read(text);
    };
    CHECK_EQUAL(33'554'432u, with("")->bufferedBytes);
    CHECK_EQUAL(15'728'640u, with("\"memoryBytes\": 125829120")->bufferedBytes);
    CHECK_EQUAL(2'000'000u,
                with("\"memoryBytes\": 125829120, \"bufferedBytes\": 2000000")->bufferedBytes);
    CHECK_EQUAL(67'108'864u, with("")->requestBytes);
    CHECK_EQUAL(86'666'666u, with("\"memoryBytes\": 260000000")->requestBytes);
    // The largest body has room on the smallest host.
    CHECK_EQUAL(16'777'216u, with("\"memoryBytes\": 20000000")->requestBytes);
    CHECK_EQUAL(20'000'000u,
                with("\"memoryBytes\": 260000000, \"requestBytes\": 20000000")->requestBytes);
    CHECK_FALSE(with("\"requestBytes\": 1000").ok());
    CHECK_EQUAL(65'536u, with("")->requestHeadBytes);
    CHECK_FALSE(with("\"requestHeadBytes\": 1000").ok());
    CHECK_FALSE(with("")->descriptors.has_value());
    CHECK_EQUAL(4100u, *with("\"descriptors\": 4100")->descriptors);
    CHECK_FALSE(with("\"descriptors\": 10").ok());
    CHECK_FALSE(with("\"bufferedBytes\": 1000").ok());
    CHECK_EQUAL(8'388'608u, with("")->responseBodyBytes);
    CHECK_FALSE(with("\"responseBodyBytes\": 1000").ok());
}

TEST(Settings, CapacityIsPositiveNumberOfCores)
{
    const std::string text = R"({"host": "h1", "dataCentre": "dc1", "capacity": CAPACITY,
        "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
        "platform": "127.0.0.1:4", "callerTrust": "balancer", "peerTrust": "network"})";
    const auto with = [&text](const std::string &capacity) {
        std::string filled = text;
        filled.replace(filled.find("CAPACITY"), 8, capacity);
        return readSettings(filled, "h1.jsonc", {"power-of-two"});
    };
    DOUBLES_EQUAL(0.12, with("0.12")->capacity, 1e-9);
    CHECK(!with("0").ok());
    CHECK(!with("\"much\"").ok());
}
