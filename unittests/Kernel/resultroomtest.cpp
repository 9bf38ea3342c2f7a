//===- resultroomtest.cpp - Tests of the room of results ------------------===//

#include "harelink/Kernel/resultroom.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace harelink;
using std::chrono::milliseconds;

TEST_GROUP(ResultRoom)
{
    const TimePoint begin = TimePoint(std::chrono::seconds(100));
    KeptResult result(const std::string &endpoint, const std::string &host) const
    {
        return {endpoint, 1000, begin + milliseconds(4000), host};
    }
    ResultRoom room;
};

TEST(ResultRoom, AResultTakesRoomUntilItIsFreedOrItsLifeEnds)
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

TEST(ResultRoom, AResultThatIsToldTwiceTakesRoomOnce)
{
    room.keep("a", result("e1", "h1"));
    room.keep("a", result("e1", "h1"));
    LONGS_EQUAL(1000, room.bytesAt("e1"));
    room.drop("a");
    LONGS_EQUAL(0, room.bytesAt("e1"));
}

TEST(ResultRoom, WhatOneDaemonOrderedIsDroppedAlone)
{
    room.keep("a", result("e1", "h1"));
    room.keep("b", result("e1", "h2"));
    room.keep("c", result("e2", "h1"));
    CHECK((room.dropOf("h1") == std::vector<std::string>{"a", "c"}));
    LONGS_EQUAL(1000, room.bytesAt("e1"));
    LONGS_EQUAL(0, room.bytesAt("e2"));
}

TEST(ResultRoom, AnEndpointWithoutRoomIsFullForAWhile)
{
    room.noteFull("e1", begin + milliseconds(150));
    CHECK(room.isFull("e1", begin + milliseconds(149)));
    CHECK_FALSE(room.isFull("e1", begin + milliseconds(150)));
    CHECK_FALSE(room.isFull("e2", begin));
}
