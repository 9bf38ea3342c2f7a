//===- noticereadertest.cpp - Tests of what endpoints say of themselves ---===//

#include "harelink/Adapters/noticereader.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Kernel/registry.h"

#include <CppUTest/TestHarness.h>

using namespace harelink;
using std::chrono::milliseconds;

namespace {

const NoticeFields names = {"rate", "leaving", "cold"};

EndpointNotice read(int status, std::map<std::string, std::string> headers)
{
    HttpResult result;
    result.status = status;
    result.headStatus = status;
    result.headers = std::move(headers);
    return readNotice(result, names);
}

} // namespace

TEST_GROUP(NoticeReader){};

TEST(NoticeReader, AnAnswerWithoutFieldsStatesNothing)
{
    const EndpointNotice notice = read(200, {});
    CHECK(!notice.requestsPerSecond);
    CHECK(!notice.isLimitUnreadable);
    CHECK(!notice.isLeaving);
    CHECK(notice.pause == Duration::zero());
    CHECK(notice.unreadable.empty());
}

TEST(NoticeReader, DecimalNumbersAreRead)
{
    DOUBLES_EQUAL(1.5, *read(200, {{"rate", "1.5"}}).requestsPerSecond, 1e-9);
    DOUBLES_EQUAL(0, *read(200, {{"rate", "0"}}).requestsPerSecond, 1e-9);
    CHECK(read(503, {{"retry-after", "2.5"}}).pause == milliseconds(2500));
    CHECK(read(429, {{"retry-after", "3"}}).pause == milliseconds(3000));
    CHECK(read(503, {{"leaving", "1"}}).isLeaving);
    CHECK(!read(503, {{"leaving", "0"}}).isLeaving);
}

TEST(NoticeReader, AStatusCheckTellsForHowLongTheEndpointIsCold)
{
    CHECK(read(200, {{"cold", "2500"}}).coldFor == milliseconds(2500));
    CHECK(read(503, {{"cold", "0"}}).coldFor == Duration::zero());
    CHECK(read(200, {}).coldFor == Duration::zero());
    const EndpointNotice notice = read(200, {{"cold", "soon"}});
    CHECK(notice.coldFor == Duration::zero());
    STRCMP_EQUAL("cold: soon", notice.unreadable.c_str());
    HttpResult result;
    result.status = 200;
    result.headers = {{"harelink-cold-ms", "700"}};
    CHECK(readNotice(result, ownNoticeFields()).coldFor == milliseconds(700));
}

TEST(NoticeReader, APauseIsOnlyReadFromARefusal)
{
    CHECK(read(200, {{"retry-after", "3"}}).pause == Duration::zero());
    CHECK(read(500, {{"retry-after", "3"}}).pause == Duration::zero());
}

TEST(NoticeReader, NonsenseIsNamedAndTheOtherFieldsHold)
{
    for (const char *value :
         {"", " ", "x", "-1", "nan", "inf", "1e400", "99999999999", "1,2", "0x10", "1 "}) {
        const EndpointNotice notice =
            read(503, {{"rate", value}, {"retry-after", "2"}, {"leaving", "1"}});
        const bool isEmpty = std::string(value).empty();
        CHECK(!notice.requestsPerSecond);
        CHECK(notice.isLimitUnreadable == !isEmpty);
        CHECK(notice.unreadable.empty() == isEmpty);
        CHECK(notice.pause == milliseconds(2000));
        CHECK(notice.isLeaving);
    }
    const EndpointNotice notice =
        read(503, {{"rate", "2"}, {"retry-after", "Wed, 21 Oct"}, {"leaving", "soon"}});
    DOUBLES_EQUAL(2, *notice.requestsPerSecond, 1e-9);
    CHECK(notice.pause == Duration::zero());
    CHECK(!notice.isLeaving);
    CHECK(!notice.unreadable.empty());
}

TEST(NoticeReader, EndpointsOfTheProductsOwnProtocolsAreHeardToo)
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
