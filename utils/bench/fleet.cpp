//===- fleet.cpp - What many daemons tell each other and the store --------===//
///
/// \file
/// Starts a number of controls on a virtual clock, plays a start, a settled time and a
/// change, and prints for each what they sent, heard and asked of the store, and how much
/// processor time all of them took.
///
/// 300 daemons and 285 endpoints, a settled second: 5,900 messages and 3,550 KB where watchers
/// told digests to all and whole summaries held the list of hosts; 2,150 and 306 KB since.
/// Five settled seconds took 10.18 s of processor time while lists of hosts were made at each
/// turn, and 1.74 s since they are kept.
///
//===----------------------------------------------------------------------===//

#include "../../unittests/Kernel/fleetfixture.h"

#include <gflags/gflags.h>

#include <chrono>
#include <ctime>

DEFINE_int32(hosts, 300, "Daemons.");
DEFINE_int32(data_centres, 5, "Over which they are spread.");
DEFINE_int32(able, 3, "Hosts of each data centre with four times the others' capacity.");
DEFINE_int32(endpoints, 285, "Endpoints that are declared.");

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

void play(ControlFleet &fleet, const char *what, milliseconds time)
{
    (void)fleet.drainTraffic();
    const std::clock_t begin = std::clock();
    fleet.run(time);
    const double taken = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    fmt::print("{}, {} ms: {:.2f} s of processor time; up to date: {}; fewest peers known: {}\n",
               what, time.count(), taken, fleet.upToDateHosts(), fleet.minLivePeers());
    print(fleet.drainTraffic());
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
        play(fleet, "start", milliseconds(500));
    }
    play(fleet, "settled", milliseconds(5000));
    fleet.declare("ClientAccount", "drivers", R"({"weight": 2})");
    play(fleet, "a change", milliseconds(1000));
    return 0;
}
