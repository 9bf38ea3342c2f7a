//===- descriptorstest.cpp - Tests of the limit of descriptors ------------===//

#include "harelink/Adapters/descriptors.h"

#include "harelink/Adapters/httpclient.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

using namespace harelink;

namespace {

/// Opens descriptors up to a number, so that those below it are in use.
class OpenDescriptors
{
public:
    explicit OpenDescriptors(int upTo)
    {
        int next = 0;
        while ((next = ::open("/dev/null", O_RDONLY)) >= 0) {
            m_open.push_back(next);
            if (next >= upTo - 1) {
                break;
            }
        }
    }
    ~OpenDescriptors()
    {
        for (const int descriptor : m_open) {
            ::close(descriptor);
        }
    }
    OpenDescriptors(const OpenDescriptors &) = delete;
    OpenDescriptors &operator=(const OpenDescriptors &) = delete;

private:
    std::vector<int> m_open;
};

} // namespace

TEST_GROUP(DescriptorLimit){};

TEST(DescriptorLimit, CallersLeaveAQuarterOfTheDescriptors)
{
    const DescriptorLimit limit(256);
    CHECK(limit.forCallers() == DescriptorLimit::Room::Free);
    {
        const OpenDescriptors open(192);
        CHECK(limit.forCallers() == DescriptorLimit::Room::Scarce);
    }
    {
        const OpenDescriptors open(224);
        CHECK(limit.forCallers() == DescriptorLimit::Room::Exhausted);
    }
    CHECK(limit.forCallers() == DescriptorLimit::Room::Free);
}

TEST(DescriptorLimit, TheExcessLeavesHalfOfTheScarceDescriptorsFree)
{
    const DescriptorLimit limit(256);
    const auto excessAt = [&limit](int open) {
        const OpenDescriptors descriptors(open);
        return limit.excess();
    };
    LONGS_EQUAL(0, excessAt(192));
    LONGS_EQUAL(0, excessAt(208));
    LONGS_EQUAL(1, excessAt(209));
    LONGS_EQUAL(16, excessAt(224));
}

TEST(DescriptorLimit, CallsLeaveDescriptorsToTheListeners)
{
    const DescriptorLimit limit(256);
    CHECK(limit.allowsCall(239));
    CHECK_FALSE(limit.allowsCall(240));
}

TEST(DescriptorLimit, ACallThatWouldUseUpTheDescriptorsFailsUnsent)
{
    const DescriptorLimit limit(256);
    HttpClientOptions options;
    options.descriptors = &limit;
    HttpClient client(options);
    const OpenDescriptors open(245);
    HttpCall call;
    call.url = "http://127.0.0.1:9";
    call.timeout = std::chrono::seconds(5);
    HttpResult result;
    bool isDone = false;
    client.send(call, [&](HttpResult finished) {
        result = std::move(finished);
        isDone = true;
    });
    for (int i = 0; i < 500 && !isDone; ++i) {
        client.poll(std::chrono::milliseconds(10));
    }
    CHECK(isDone);
    LONGS_EQUAL(0, result.status);
    CHECK_FALSE(result.sent);
    CHECK(result.connection == HttpConnection::Unknown);
}
