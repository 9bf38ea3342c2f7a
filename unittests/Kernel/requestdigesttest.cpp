//===- requestdigesttest.cpp - Tests of request digests -------------------===//

#include "proxiedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;

namespace {

RequestArrived proxiedArrival(const std::string &callerId, const std::string &target,
                              const std::string &body)
{
    auto proxied = std::make_shared<ProxiedRequest>();
    proxied->callerId = callerId;
    proxied->method = "POST";
    proxied->host = "api.example";
    proxied->target = target;
    proxied->body = body;
    RequestArrived arrival;
    arrival.proxied = std::move(proxied);
    return arrival;
}

RequestArrived apiArrival(std::uint64_t sequence, const std::string &body)
{
    RequestArrived arrival;
    arrival.id = {9, sequence};
    arrival.pipeline = "answer";
    arrival.body = body;
    return arrival;
}

} // namespace

TEST_GROUP(RequestDigest){};

TEST(RequestDigest, ResentRequestHasTheSameDigest)
{
    CHECK(digestOf(proxiedArrival("a", "/say/1", "x"), "drivers")
          == digestOf(proxiedArrival("b", "/say/1", "x"), "drivers"));
    CHECK(digestOf(apiArrival(1, "x"), "drivers") == digestOf(apiArrival(2, "x"), "drivers"));
}

TEST(RequestDigest, TargetBodyAndAccountAffectTheDigest)
{
    const Hash128 digest = digestOf(proxiedArrival("a", "/say/1", "x"), "drivers");
    CHECK(digest != digestOf(proxiedArrival("a", "/say/2", "x"), "drivers"));
    CHECK(digest != digestOf(proxiedArrival("a", "/say/1", "y"), "drivers"));
    CHECK(digest != digestOf(proxiedArrival("a", "/say/1", "x"), "lab"));
    CHECK(digestOf(apiArrival(1, "x"), "drivers") != digestOf(apiArrival(1, "x"), "lab"));
    CHECK(digestOf(apiArrival(1, "x"), "drivers") != digestOf(apiArrival(1, "y"), "drivers"));
}

TEST(RequestDigest, BrokenCallIsReportedWithTheDigestOfItsRequest)
{
    ProxiedFixture fixture;
    fixture.arrive("/record/1");
    fixture.fail(fixture.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    LONGS_EQUAL(1, fixture.broken.size());
    STRCMP_EQUAL(fixture.sends.at(0).endpoint.c_str(),
                 fixture.broken.at(0).broken.endpoint.c_str());
    CHECK(fixture.broken.at(0).broken.digest == fixture.answers.at(0).digest);
    LONGS_EQUAL(1, fixture.machine.counters().brokenCalls);
}

TEST(RequestDigest, ErrorAnswerIsNotReportedAsBrokenCall)
{
    ProxiedFixture fixture;
    fixture.arrive("/record/1");
    fixture.fail(fixture.sends.at(0), SendEvidence::Sent,
                 ProxiedAnswer{500, {}, "", AnswerFraming::Length});
    LONGS_EQUAL(0, fixture.broken.size());
}
