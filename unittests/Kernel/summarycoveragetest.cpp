//===- summarycoveragetest.cpp - Tests of the coverage of summaries -------===//

#include "harelink/Kernel/summarycoverage.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(SummaryCoverage)
{
    ManualClock clock;
    SummaryCoverage coverage{clock};
};

TEST(SummaryCoverage, ASummaryOfFewHostsIsPartialWhileACompleteOneIsRecent)
{
    CHECK(coverage.record("a", 17));
    CHECK_FALSE(coverage.record("a", 1));
    clock.advance(SummaryCoverage::comparedPeriod - milliseconds(1));
    CHECK_FALSE(coverage.record("a", 7)); // Partial ones do not count as the last complete one.
    clock.advance(milliseconds(1));
    CHECK(coverage.record("a", 1));
}

TEST(SummaryCoverage, HostsThatEndOneAfterTheOtherLeaveSummariesComplete)
{
    for (std::uint32_t hosts = 20; hosts > 0; --hosts) {
        CHECK(coverage.record("a", hosts));
        clock.advance(milliseconds(250));
    }
}

TEST(SummaryCoverage, DataCentresAreComparedWithThemselves)
{
    CHECK(coverage.record("a", 17));
    CHECK(coverage.record("b", 1));
}
