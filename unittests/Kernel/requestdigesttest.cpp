//===- requestdigesttest.cpp - Tests of request digests -------------------===//

#include "carriedfixture.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using namespace harelink::testing;

namespace {

RequestArrived carriedArrival(const std::string &callerId, const std::string &target,
                              const std::string &body)
{
    auto carried = std::make_shared<CarriedRequest>();
    carried->callerId = callerId;
    carried->method = "POST";
    carried->host = "api.example";
    carried->target = target;
    carried->body = body;
    RequestArrived arrival;
    arrival.carried = std::move(carried);
    return arrival;
}

RequestArrived ownArrival(std::uint64_t sequence, const std::string &body)
{
    RequestArrived arrival;
    arrival.id = {9, sequence};
    arrival.pipeline = "answer";
    arrival.body = body;
    return arrival;
}

} // namespace

TEST_GROUP(RequestDigest){};

TEST(RequestDigest, ARequestThatComesAgainHasTheSame)
{
    CHECK(digestOf(carriedArrival("a", "/say/1", "x"), "drivers")
          == digestOf(carriedArrival("b", "/say/1", "x"), "drivers"));
    CHECK(digestOf(ownArrival(1, "x"), "drivers") == digestOf(ownArrival(2, "x"), "drivers"));
}

TEST(RequestDigest, AnotherTargetBodyOrAccountIsAnotherRequest)
{
    const Hash128 digest = digestOf(carriedArrival("a", "/say/1", "x"), "drivers");
    CHECK(digest != digestOf(carriedArrival("a", "/say/2", "x"), "drivers"));
    CHECK(digest != digestOf(carriedArrival("a", "/say/1", "y"), "drivers"));
    CHECK(digest != digestOf(carriedArrival("a", "/say/1", "x"), "lab"));
    CHECK(digestOf(ownArrival(1, "x"), "drivers") != digestOf(ownArrival(1, "x"), "lab"));
    CHECK(digestOf(ownArrival(1, "x"), "drivers") != digestOf(ownArrival(1, "y"), "drivers"));
}

TEST(RequestDigest, ACallThatBrokeIsToldWithItsRequest)
{
    CarriedBench bench;
    bench.arrive("/record/1");
    bench.fail(bench.sends.at(0), SendEvidence::Sent, std::nullopt, true);
    LONGS_EQUAL(1, bench.broken.size());
    STRCMP_EQUAL(bench.sends.at(0).endpoint.c_str(), bench.broken.at(0).broken.endpoint.c_str());
    CHECK(bench.broken.at(0).broken.digest == bench.answers.at(0).digest);
    LONGS_EQUAL(1, bench.machine.counters().brokenCalls);
}

TEST(RequestDigest, AFailureThatTheEndpointAnsweredIsNoBrokenCall)
{
    CarriedBench bench;
    bench.arrive("/record/1");
    bench.fail(bench.sends.at(0), SendEvidence::Sent, CarriedAnswer{500, {}, ""});
    LONGS_EQUAL(0, bench.broken.size());
}
