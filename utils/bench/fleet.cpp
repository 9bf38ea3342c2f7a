//===- fleet.cpp - Benchmark of the control traffic of a fleet ------------===//
///
/// \file
/// Runs a number of control machines on a virtual clock through startup, a steady period
/// and a configuration change. Prints for each phase the messages sent and received, the
/// calls to the store, and the total processor time.
///
/// With 300 daemons and 285 endpoints, a steady second takes 2,150 messages and 306 KB; it
/// took 5,900 messages and 3,550 KB when watchers sent digests to all peers and full
/// summaries contained the host list. Five steady seconds take 1.74 s of processor time; they
/// took 10.18 s when the host lists were rebuilt on each tick instead of cached.
///
//===----------------------------------------------------------------------===//

#include "../../unittests/Kernel/fleetfixture.h"

#include <gflags/gflags.h>

#include <chrono>
#include <ctime>

DEFINE_int32(hosts, 300, "Daemons.");
DEFINE_int32(data_centres, 5, "Number of data centres over which the daemons are spread.");
DEFINE_int32(able, 3,
             "Number of hosts per data centre with four times the capacity of the others.");
DEFINE_int32(streams, 330,
             "Streams that begin in one second. Afterwards hosts are killed, and the streams are "
             "looked up at one that has just started.");
DEFINE_int32(kill_every, 2, "Every host of this rank is killed; 0 for the first host only.");
DEFINE_int32(endpoints, 285, "Number of declared endpoints.");

namespace {

using namespace harelink;
using harelink::testing::ControlFleet;
using harelink::testing::FleetTraffic;
using std::chrono::milliseconds;

constexpr std::size_t bytesPerKilobyte = 1000;

void print(const FleetTraffic &traffic)
{
    fmt::print("  sent: {} messages, {} KB; the most by one host: {} messages, {} KB, to {} "
               "others; the most heard by one: {} KB\n",
               FleetTraffic::total(traffic.messages),
               FleetTraffic::total(traffic.bytes) / bytesPerKilobyte,
               FleetTraffic::maxOf(traffic.messages),
               FleetTraffic::maxOf(traffic.bytes) / bytesPerKilobyte, traffic.maxTargets(),
               FleetTraffic::maxOf(traffic.receivedBytes) / bytesPerKilobyte);
    for (const auto &[kind, count] : traffic.kinds) {
        fmt::print("    {}: {} messages, {} KB\n", kind, count,
                   traffic.kindBytes.at(kind) / bytesPerKilobyte);
    }
    for (const auto &[call, count] : traffic.storeCalls) {
        fmt::print("    store, {}: {} calls by {} hosts\n", call, count,
                   traffic.readers.at(call).size());
    }
}

void runPhase(ControlFleet &fleet, const char *what, milliseconds time)
{
    (void)fleet.drainTraffic();
    const std::clock_t begin = std::clock();
    fleet.run(time);
    const double processorSeconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    fmt::print("{}, {} ms: {:.2f} s of processor time; up to date: {}; fewest peers known: {}\n",
               what, time.count(), processorSeconds, fleet.upToDateHosts(), fleet.minLivePeers());
    print(fleet.drainTraffic());
}

Hash128 streamNumber(int number)
{
    return hash128(fmt::format("stream-{}", number));
}

void beginStreams(ControlFleet &fleet)
{
    const std::vector<std::string> hosts = fleet.hosts();
    for (int i = 0; i < FLAGS_streams; ++i) {
        fleet.beginStream(hosts[static_cast<std::size_t>(i) % hosts.size()],
                          {streamNumber(i), {"engines", "v1"}, std::chrono::seconds(20)});
    }
}

void locateStreams(ControlFleet &fleet)
{
    const std::vector<std::string> hosts = fleet.hosts();
    const std::size_t step =
        FLAGS_kill_every > 0 ? static_cast<std::size_t>(FLAGS_kill_every) : hosts.size();
    for (std::size_t i = 0; i < hosts.size(); i += step) {
        fleet.kill(hosts[i]);
    }
    fleet.start(hosts.front());
    (void)fleet.drainTraffic();
    for (int i = 0; i < FLAGS_streams; ++i) {
        fleet.locate(hosts.front(), streamNumber(i));
    }
    runPhase(fleet, "streams are looked up", milliseconds(1000));
    int known = 0;
    for (const harelink::StreamLookup &lookup : fleet.drainLookups()) {
        known += lookup.located.origin ? 1 : 0;
    }
    fmt::print("  located: {} of {}\n", known, FLAGS_streams);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ControlFleet fleet({.hosts = FLAGS_hosts,
                        .dataCentres = FLAGS_data_centres,
                        .highCapacityHosts = FLAGS_able,
                        .endpoints = FLAGS_endpoints});
    fleet.startAll();
    for (int i = 0; i < 8; ++i) {
        runPhase(fleet, "start", milliseconds(500));
    }
    runPhase(fleet, "settled", milliseconds(5000));
    fleet.declare("ClientAccount", "drivers", R"({"weight": 2})");
    runPhase(fleet, "a change", milliseconds(1000));
    beginStreams(fleet);
    runPhase(fleet, "streams begin", milliseconds(1000));
    locateStreams(fleet);
    return 0;
}
