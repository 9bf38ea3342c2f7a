//===- resultbufferusagetest.cpp - Tests of the result buffer usage -------===//

#include "harelink/Kernel/resultbufferusage.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(ResultBufferUsage)
{
    const TimePoint begin = TimePoint(std::chrono::seconds(100));
    BufferedResult result(const std::string &endpoint, const std::string &host) const
    {
        return {endpoint, 1000, begin, begin + milliseconds(4000), host};
    }
    ResultBufferUsage usage;
};

TEST(ResultBufferUsage, CountsAResultUntilItIsFreedOrExpires)
{
    usage.add("a", result("e1", "h1"));
    usage.add("b", result("e1", "h1"));
    usage.add("c", result("e2", "h1"));
    LONGS_EQUAL(2000, usage.bytesAt("e1"));
    usage.remove("a");
    usage.remove("a");
    usage.remove("unknown");
    LONGS_EQUAL(1000, usage.bytesAt("e1"));
    usage.expire(begin + milliseconds(3999));
    LONGS_EQUAL(1000, usage.bytesAt("e2"));
    usage.expire(begin + milliseconds(4000));
    LONGS_EQUAL(0, usage.bytesAt("e1"));
    LONGS_EQUAL(0, usage.bytesAt("e2"));
}

TEST(ResultBufferUsage, CountsAResultThatIsReportedTwiceOnce)
{
    usage.add("a", result("e1", "h1"));
    usage.add("a", result("e1", "h1"));
    LONGS_EQUAL(1000, usage.bytesAt("e1"));
    usage.remove("a");
    LONGS_EQUAL(0, usage.bytesAt("e1"));
}

TEST(ResultBufferUsage, RemovesOnlyTheResultsOfOneDaemon)
{
    usage.add("a", result("e1", "h1"));
    usage.add("b", result("e1", "h2"));
    usage.add("c", result("e2", "h1"));
    CHECK((usage.removeOrderedBy("h1") == std::vector<std::string>{"a", "c"}));
    LONGS_EQUAL(1000, usage.bytesAt("e1"));
    LONGS_EQUAL(0, usage.bytesAt("e2"));
}

TEST(ResultBufferUsage, TreatsAnEndpointAsFullForALimitedTime)
{
    usage.recordBufferFull("e1", begin + milliseconds(150));
    CHECK(usage.isFull("e1", begin + milliseconds(149)));
    CHECK_FALSE(usage.isFull("e1", begin + milliseconds(150)));
    CHECK_FALSE(usage.isFull("e2", begin));
}
