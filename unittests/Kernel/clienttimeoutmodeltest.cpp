//===- clienttimeoutmodeltest.cpp - Tests of client timeouts --------------===//

#include "harelink/Kernel/clienttimeoutmodel.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

ClientTimeoutModel modelWithTimeout(milliseconds typicalTimeout)
{
    ClientTimeoutModel model;
    for (int i = 0; i < 40; ++i) {
        (void)model.record(typicalTimeout - milliseconds(i % 9));
    }
    return model;
}

} // namespace

TEST_GROUP(ClientTimeoutModel){};

TEST(ClientTimeoutModel, RetriesHaveShorterTimeoutsThanFirstAttempts)
{
    ClientTimeoutModel model = modelWithTimeout(milliseconds(6000));
    CHECK(model.record(milliseconds(5995)) == Duration::zero());
    const Duration timeSpent = model.record(milliseconds(4800));
    CHECK(timeSpent >= milliseconds(1150));
    CHECK(timeSpent <= milliseconds(1250));
}

TEST(ClientTimeoutModel, FewRequestsGiveNoEstimate)
{
    ClientTimeoutModel model;
    (void)model.record(milliseconds(6000));
    CHECK(model.record(milliseconds(2000)) == Duration::zero());
}

TEST(ClientTimeoutModel, FewLongerTimeoutsDoNotAffectOtherCallers)
{
    ClientTimeoutModel model;
    for (int i = 0; i < 60; ++i) {
        const bool hasLongTimeout = i % 10 == 0;
        const Duration timeSpent = model.record(milliseconds(hasLongTimeout ? 20'000 : 6000));
        CHECK(timeSpent == Duration::zero());
    }
}

TEST(ClientTimeoutModel, VaryingTimeoutsAreNotTakenForRetries)
{
    ClientTimeoutModel model;
    for (int i = 0; i < 200; ++i) {
        CHECK(model.record(milliseconds(1000 + 137 * (i % 31))) == Duration::zero());
    }
}

TEST(ClientTimeoutModel, DetectsRetriesOfHalfTheRequestsAndAdaptsToANewTimeout)
{
    ClientTimeoutModel model = modelWithTimeout(milliseconds(6000));
    for (int i = 0; i < 64; ++i) {
        const bool isRetry = i % 2 == 1;
        const Duration timeSpent =
            model.record(milliseconds(isRetry ? 4000 + 40 * (i % 11) : 6000));
        CHECK(isRetry == (timeSpent > Duration::zero()));
    }
    for (int i = 0; i < 40; ++i) {
        (void)model.record(milliseconds(3000));
    }
    CHECK(model.record(milliseconds(3000)) == Duration::zero());
}
