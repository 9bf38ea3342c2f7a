//===- patiencemodeltest.cpp - Tests of the time callers spent ------------===//

#include "harelink/Kernel/patiencemodel.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

PatienceModel modelOf(milliseconds usual)
{
    PatienceModel model;
    for (int i = 0; i < 40; ++i) {
        (void)model.note(usual - milliseconds(i % 9));
    }
    return model;
}

} // namespace

TEST_GROUP(PatienceModel){};

TEST(PatienceModel, WhoComesBackAllowsLessThanFirstTries)
{
    PatienceModel model = modelOf(milliseconds(6000));
    CHECK(model.note(milliseconds(5995)) == Duration::zero());
    const Duration spent = model.note(milliseconds(4800));
    CHECK(spent >= milliseconds(1150));
    CHECK(spent <= milliseconds(1250));
}

TEST(PatienceModel, NothingIsConcludedFromFewRequests)
{
    PatienceModel model;
    (void)model.note(milliseconds(6000));
    CHECK(model.note(milliseconds(2000)) == Duration::zero());
}

TEST(PatienceModel, AFewMorePatientCallersDoNotMakeTheOthersLate)
{
    PatienceModel model;
    for (int i = 0; i < 60; ++i) {
        const bool isPatient = i % 10 == 0;
        const Duration spent = model.note(milliseconds(isPatient ? 20'000 : 6000));
        CHECK(spent == Duration::zero());
    }
}

TEST(PatienceModel, WhereCallersDifferNobodyIsTakenForOneThatComesBack)
{
    PatienceModel model;
    for (int i = 0; i < 200; ++i) {
        CHECK(model.note(milliseconds(1000 + 137 * (i % 31))) == Duration::zero());
    }
}

TEST(PatienceModel, HalfOfAllMayComeBackAndAChangeIsFollowed)
{
    PatienceModel model = modelOf(milliseconds(6000));
    for (int i = 0; i < 64; ++i) {
        const bool comesBack = i % 2 == 1;
        const Duration spent = model.note(milliseconds(comesBack ? 4000 + 40 * (i % 11) : 6000));
        CHECK(comesBack == (spent > Duration::zero()));
    }
    for (int i = 0; i < 40; ++i) {
        (void)model.note(milliseconds(3000));
    }
    CHECK(model.note(milliseconds(3000)) == Duration::zero());
}
