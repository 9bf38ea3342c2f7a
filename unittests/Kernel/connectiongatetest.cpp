//===- connectiongatetest.cpp - Tests of the connection gate --------------===//

#include "harelink/Kernel/connectiongate.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace harelink;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double linkBytes = 1'250'000;
constexpr double bytesPerRequest = 10'000;
/// Requests per second at which the link is in use to the part that requests may use.
constexpr double bearable = 0.75 * linkBytes / bytesPerRequest;

} // namespace

TEST_GROUP(ConnectionGate)
{
    ConnectionGate gate{linkBytes};
    TimePoint now = TimePoint(seconds(100));
    PeerRoom room{85, 85, 0, 20};
    double ownBytesPerSecond = 0; ///< Of other work.
    int read = 0;
    int offered = 0;

    /// Offers connections for \p time, evenly; what is read passes the link in the same interval.
    void offer(double perSecond, Duration time)
    {
        read = 0;
        offered = 0;
        const TimePoint end = now + time;
        HostLoadAverage average;
        double due = 0;
        while (now < end) {
            int readNow = 0;
            for (int i = 0; i < 10; ++i) {
                now += milliseconds(10);
                for (due += perSecond / 100; due >= 1; due -= 1) {
                    ++offered;
                    readNow += gate.admit(now) ? 1 : 0;
                }
            }
            read += readNow;
            HostLoadSample sample;
            sample.period = milliseconds(100);
            sample.receivedPerSecond = ownBytesPerSecond + readNow * bytesPerRequest * 10;
            average.add(sample);
            gate.update(average.value(), room, now);
        }
    }
    [[nodiscard]] double readPerSecond(Duration time) const
    {
        return read / std::chrono::duration<double>(time).count();
    }
};

TEST(ConnectionGate, ReadsNoMoreThanTheLinkBears)
{
    offer(20, seconds(4));
    LONGS_EQUAL(offered, read);
    offer(240, seconds(4));
    CHECK(gate.isCrowded());
    offer(240, seconds(6));
    CHECK(readPerSecond(seconds(6)) <= bearable * 1.1);
    CHECK(readPerSecond(seconds(6)) >= bearable * 0.5);
    // The limit ends with the excess.
    offer(20, seconds(20));
    CHECK_FALSE(gate.isCrowded());
    offer(20, seconds(4));
    LONGS_EQUAL(offered, read);
}

TEST(ConnectionGate, DelaysOfEventLoopsLimitReadsToo)
{
    ConnectionGate withoutLink{std::nullopt};
    HostLoadSample sample;
    sample.period = milliseconds(100);
    sample.delays[static_cast<std::size_t>(HostLoop::Control)] = milliseconds(40);
    int turnedAway = 0;
    for (int i = 0; i < 40; ++i) {
        for (int j = 0; j < 10; ++j) {
            now += milliseconds(10);
            turnedAway += withoutLink.admit(now) ? 0 : 1;
        }
        withoutLink.update(sample, room, now);
    }
    CHECK(turnedAway > 200);
    CHECK(withoutLink.pressure() > 1);
}

TEST(ConnectionGate, AHostThatKnowsNoPeersTurnsNothingAway)
{
    room = {};
    offer(240, seconds(10));
    LONGS_EQUAL(offered, read);
    CHECK(gate.isReady());
}

TEST(ConnectionGate, AnEvenOverloadTurnsNothingAway)
{
    room = {85, 85, 0, 240.0 * 85};
    offer(240, seconds(10));
    LONGS_EQUAL(offered, read);
    CHECK(gate.isReady());
}

TEST(ConnectionGate, TurnsAwayNoMoreThanThePartOfThePeersThatHaveRoom)
{
    room = {10, 10, 8, 100};
    offer(400, seconds(10));
    CHECK(read >= offered * 0.79);
    CHECK(read < offered);
    room.crowded = 10;
    offer(400, milliseconds(100));
    offer(400, seconds(10));
    LONGS_EQUAL(offered, read);
}

TEST(ConnectionGate, PeersThatStateNoLoadAreNotTakenForFree)
{
    // Reports were lost, or the peers start, or are of an older version.
    room = {85, 0, 0, 0};
    offer(240, seconds(10));
    LONGS_EQUAL(offered, read);
    CHECK(gate.isReady());
    // Half of them state it.
    room = {10, 5, 0, 100};
    offer(400, seconds(10));
    CHECK(read >= offered * 0.49);
    CHECK(read < offered);
    CHECK(gate.isReady());
}

TEST(ConnectionGate, ReportsThatCountTwiceDoNotChangeTheLimit)
{
    ConnectionGate twice{linkBytes};
    offer(240, seconds(10));
    const double limit = gate.limit().value();
    const bool isReady = gate.isReady();
    room = {85, 170, 0, 40};
    gate = twice;
    offer(240, seconds(10));
    DOUBLES_EQUAL(limit, gate.limit().value(), 0.001);
    CHECK(isReady == gate.isReady());
}

TEST(ConnectionGate, OtherWorkOfTheHostDoesNotStopItsReads)
{
    ownBytesPerSecond = linkBytes;
    room = {85, 85, 0, 85.0 * 15};
    offer(15, seconds(10));
    LONGS_EQUAL(offered, read);
}

TEST(ConnectionGate, AcceptsAConnectionEverySecond)
{
    ownBytesPerSecond = linkBytes;
    offer(100, seconds(10));
    TimePoint last = now;
    Duration longest{};
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        gate.recordRequest(now); // Open connections use up the limit.
        longest = std::max<Duration>(longest, now - last);
        if (gate.admit(now)) {
            last = now;
        }
    }
    CHECK(longest <= milliseconds(1010));
}

TEST(ConnectionGate, IsNotReadyForAWhileAfterAnExcess)
{
    offer(240, seconds(3));
    CHECK_FALSE(gate.isReady());
    CHECK(gate.isCrowded());
    offer(5, seconds(5));
    CHECK(gate.isReady());
    // The balancer sends them here again: the host is not ready for longer.
    offer(240, seconds(3));
    CHECK_FALSE(gate.isReady());
    offer(5, seconds(5));
    CHECK_FALSE(gate.isReady());
    offer(5, seconds(3));
    CHECK(gate.isReady());
}

TEST(ConnectionGate, IsReadyWhileManyPeersAreOverloaded)
{
    room.crowded = 30;
    offer(240, seconds(5));
    CHECK(gate.isReady());
    room.crowded = 0;
    offer(240, seconds(2));
    CHECK_FALSE(gate.isReady());
    room.crowded = 30;
    offer(240, milliseconds(100));
    CHECK(gate.isReady());
}

TEST(ConnectionGate, ClosesConnectionsOnlyWhileTheLimitIsReached)
{
    CHECK_FALSE(gate.closesConnections(now));
    offer(240, seconds(5));
    for (int i = 0; i < 20; ++i) {
        gate.recordRequest(now);
    }
    CHECK(gate.closesConnections(now));
    room = {};
    offer(240, milliseconds(100));
    for (int i = 0; i < 20; ++i) {
        gate.recordRequest(now);
    }
    CHECK_FALSE(gate.closesConnections(now));
}

TEST_GROUP(HostLoadMeter){};

TEST(HostLoadMeter, SamplesWhatWasRecordedSinceTheLastSample)
{
    HostLoadMeter meter;
    const TimePoint begin = TimePoint(seconds(5));
    meter.recordReceived(700);
    CHECK_FALSE(meter.sample(begin).has_value());
    meter.recordReceived(500);
    meter.recordSent(200);
    meter.recordConnection();
    meter.recordRequest();
    meter.recordRequest();
    meter.recordDelay(HostLoop::Worker, milliseconds(10));
    meter.recordDelay(HostLoop::Worker, milliseconds(30));
    meter.recordDelay(HostLoop::Listener, milliseconds(-3));
    const HostLoadSample sample = meter.sample(begin + milliseconds(500)).value();
    DOUBLES_EQUAL(1000, sample.receivedPerSecond, 0.1);
    DOUBLES_EQUAL(400, sample.sentPerSecond, 0.1);
    DOUBLES_EQUAL(0.5, sample.linkUse(2000), 0.001);
    LONGS_EQUAL(1, sample.connections);
    LONGS_EQUAL(2, sample.requests);
    CHECK(sample.maxDelay() == milliseconds(20));
    CHECK(sample.delays[static_cast<std::size_t>(HostLoop::Listener)] == Duration::zero());
    CHECK(meter.sample(begin + milliseconds(600))->maxDelay() == Duration::zero());
    CHECK_FALSE(meter.sample(begin + milliseconds(600)).has_value());
}
