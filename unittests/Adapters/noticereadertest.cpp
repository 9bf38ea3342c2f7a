//===- noticereadertest.cpp - Tests of endpoint notices -------------------===//

#include "harelink/Adapters/noticereader.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Kernel/registry.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

const NoticeFields names = {"rate", "leaving", "brittle", "cold", "load"};

EndpointNotice readFields(int status, std::map<std::string, std::string> headers)
{
    HttpResult result;
    result.status = status;
    result.headStatus = status;
    result.headers = std::move(headers);
    return readNotice(result, names);
}

} // namespace

TEST_GROUP(NoticeReader){};

TEST(NoticeReader, AnswerWithoutFieldsReportsNothing)
{
    const EndpointNotice notice = readFields(200, {});
    CHECK(!notice.requestsPerSecond);
    CHECK(!notice.isLimitUnreadable);
    CHECK(!notice.isLeaving);
    CHECK(notice.pause == Duration::zero());
    CHECK(notice.unreadable.empty());
}

TEST(NoticeReader, ParsesDecimalNumbers)
{
    DOUBLES_EQUAL(1.5, *readFields(200, {{"rate", "1.5"}}).requestsPerSecond, 1e-9);
    DOUBLES_EQUAL(0, *readFields(200, {{"rate", "0"}}).requestsPerSecond, 1e-9);
    CHECK(readFields(503, {{"retry-after", "2.5"}}).pause == milliseconds(2500));
    CHECK(readFields(429, {{"retry-after", "3"}}).pause == milliseconds(3000));
    CHECK(readFields(503, {{"leaving", "1"}}).isLeaving);
    CHECK(!readFields(503, {{"leaving", "0"}}).isLeaving);
}

TEST(NoticeReader, StatusCheckReportsRemainingColdTime)
{
    CHECK(readFields(200, {{"cold", "2500"}}).coldFor == milliseconds(2500));
    CHECK(readFields(503, {{"cold", "0"}}).coldFor == Duration::zero());
    CHECK(readFields(200, {}).coldFor == Duration::zero());
    const EndpointNotice notice = readFields(200, {{"cold", "soon"}});
    CHECK(notice.coldFor == Duration::zero());
    STRCMP_EQUAL("cold: soon", notice.unreadable.c_str());
    HttpResult result;
    result.status = 200;
    result.headers = {{"harelink-cold-ms", "700"}};
    CHECK(readOwnNotice(result).coldFor == milliseconds(700));
}

TEST(NoticeReader, PauseIsAcceptedOnlyFromARefusal)
{
    CHECK(readFields(200, {{"retry-after", "3"}}).pause == Duration::zero());
    CHECK(readFields(500, {{"retry-after", "3"}}).pause == Duration::zero());
}

TEST(NoticeReader, InvalidFieldIsReportedAndOthersApply)
{
    for (const char *value :
         {"", " ", "x", "-1", "nan", "inf", "1e400", "99999999999", "1,2", "0x10", "1 "}) {
        const EndpointNotice notice =
            readFields(503, {{"rate", value}, {"retry-after", "2"}, {"leaving", "1"}});
        const bool isEmpty = std::string(value).empty();
        CHECK(!notice.requestsPerSecond);
        CHECK(notice.isLimitUnreadable == !isEmpty);
        CHECK(notice.unreadable.empty() == isEmpty);
        CHECK(notice.pause == milliseconds(2000));
        CHECK(notice.isLeaving);
    }
    const EndpointNotice notice =
        readFields(503, {{"rate", "2"}, {"retry-after", "Wed, 21 Oct"}, {"leaving", "soon"}});
    DOUBLES_EQUAL(2, *notice.requestsPerSecond, 1e-9);
    CHECK(notice.pause == Duration::zero());
    CHECK(!notice.isLeaving);
    CHECK(!notice.unreadable.empty());
}

TEST(NoticeReader, StageProtocolsReadNotices)
{
    const std::unique_ptr<StageProtocol> protocol =
        Registry<StageProtocol>::instance().make("plain-service");
    SendStage stage;
    stage.refusesBeforeRunning = true;
    HttpResult result;
    result.sent = true;
    result.headers = {{rateLimitHeader, "2"}, {leavingHeader, "1"}, {"retry-after", "1"}};
    result.status = result.headStatus = 200;
    const auto answered = std::get<StageAnswered>(decodeStage(*protocol, stage, result));
    DOUBLES_EQUAL(2, *answered.notice->requestsPerSecond, 1e-9);
    CHECK(answered.notice->isLeaving);
    result.status = result.headStatus = 429;
    const auto refused = std::get<StageFailed>(decodeStage(*protocol, stage, result));
    CHECK(refused.notice->pause == milliseconds(1000));
}

TEST(NoticeReader, ParsesAllFiguresOfALoadReport)
{
    const auto load = [](const std::string &text) {
        return readFields(200, {{"load", text}}).load;
    };
    CHECK(load("5,2,24,170") == EndpointLoadReport({5, 2, 24, 170}));
    CHECK(load("5, 2 ,24 , 170") == EndpointLoadReport({5, 2, 24, 170}));
    CHECK(load("5,2,24") == EndpointLoadReport({5, 2, 24, std::nullopt}));
    CHECK(load("0,0,0,1") == EndpointLoadReport({0, 0, 0, 1}));
    CHECK(load("1000000,1000000,1000000,100000")
          == EndpointLoadReport({1'000'000, 1'000'000, 1'000'000, 100'000}));
    CHECK(readFields(503, {{"load", "24,9,24"}}).load
          == EndpointLoadReport({24, 9, 24, std::nullopt}));
    const EndpointNotice without = readFields(200, {});
    CHECK(!without.load);
    CHECK(!without.isLoadUnreadable);
}

/// One invalid figure makes the others doubtful too, for example if they are in another order. The
/// other fields of the answer still apply.
TEST(NoticeReader, DropsALoadReportWithAnInvalidFigure)
{
    for (const char *text : {"x",
                             "5",
                             "5,2",
                             "5,2,24,100,1",
                             "-1,2,24",
                             "5,-2,24",
                             "5,2,-24",
                             "5,2,24,-100",
                             "5,2,24,0",
                             "5,2,24,100001",
                             "1000001,2,24",
                             "5,1000001,24",
                             "5,2,1000001",
                             "5,,24",
                             "5,2,",
                             "5,2,24,",
                             "5.5,2,24",
                             "+5,2,24",
                             "5,2,24,1e2",
                             "0x5,2,24",
                             "5 5,2,24",
                             "nan,2,24",
                             "18446744073709551621,2,24",
                             "9223372036854775807,2,24",
                             ","}) {
        const EndpointNotice notice = readFields(200, {{"load", text}, {"rate", "1.5"}});
        CHECK_TEXT(!notice.load, text);
        CHECK_TEXT(notice.isLoadUnreadable, text);
        STRCMP_EQUAL((std::string("load: ") + text).c_str(), notice.unreadable.c_str());
        DOUBLES_EQUAL(1.5, *notice.requestsPerSecond, 1e-9);
        CHECK(notice.hasContent());
    }
    const EndpointNotice endless = readFields(200, {{"load", std::string(100'000, '7')}});
    CHECK(!endless.load);
    CHECK(endless.unreadable.size() < 100);
}

TEST(NoticeReader, OwnDialectReportsRunningRequestsOrAllFigures)
{
    HttpResult result;
    result.status = 200;
    result.headers = {{"x-active-requests", "7"}};
    CHECK(readOwnNotice(result).load == EndpointLoadReport({7, 0, std::nullopt, std::nullopt}));
    result.headers["harelink-load"] = "3,1,8,250";
    CHECK(readOwnNotice(result).load == EndpointLoadReport({3, 1, 8, 250}));
    result.headers["harelink-load"] = "3,1";
    CHECK(!readOwnNotice(result).load);
    result.headers = {{"x-active-requests", "many"}};
    CHECK(!readOwnNotice(result).load);
}
