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
        return {endpoint, 1000, begin + milliseconds(4000), host};
    }
    ResultBufferUsage room;
};

TEST(ResultBufferUsage, AResultTakesRoomUntilItIsFreedOrItsLifeEnds)
{
    room.keep("a", result("e1", "h1"));
    room.keep("b", result("e1", "h1"));
    room.keep("c", result("e2", "h1"));
    LONGS_EQUAL(2000, room.bytesAt("e1"));
    room.drop("a");
    room.drop("a");
    room.drop("unknown");
    LONGS_EQUAL(1000, room.bytesAt("e1"));
    room.expire(begin + milliseconds(3999));
    LONGS_EQUAL(1000, room.bytesAt("e2"));
    room.expire(begin + milliseconds(4000));
    LONGS_EQUAL(0, room.bytesAt("e1"));
    LONGS_EQUAL(0, room.bytesAt("e2"));
}

TEST(ResultBufferUsage, AResultThatIsToldTwiceTakesRoomOnce)
{
    room.keep("a", result("e1", "h1"));
    room.keep("a", result("e1", "h1"));
    LONGS_EQUAL(1000, room.bytesAt("e1"));
    room.drop("a");
    LONGS_EQUAL(0, room.bytesAt("e1"));
}

TEST(ResultBufferUsage, WhatOneDaemonOrderedIsDroppedAlone)
{
    room.keep("a", result("e1", "h1"));
    room.keep("b", result("e1", "h2"));
    room.keep("c", result("e2", "h1"));
    CHECK((room.dropOf("h1") == std::vector<std::string>{"a", "c"}));
    LONGS_EQUAL(1000, room.bytesAt("e1"));
    LONGS_EQUAL(0, room.bytesAt("e2"));
}

TEST(ResultBufferUsage, AnEndpointWithoutRoomIsFullForAWhile)
{
    room.recordBufferFull("e1", begin + milliseconds(150));
    CHECK(room.isFull("e1", begin + milliseconds(149)));
    CHECK_FALSE(room.isFull("e1", begin + milliseconds(150)));
    CHECK_FALSE(room.isFull("e2", begin));
}
