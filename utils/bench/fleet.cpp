#include "../../unittests/Kernel/fleetfixture.h"
#include <chrono>
using namespace harelink;
using namespace harelink::testing;
static void show(const char *t, const FleetTraffic &x, double s)
{
    fmt::print("== {}: msgs {} (most a host {}), KB {} (most sent {} heard {}), most targets {}\n",
               t, FleetTraffic::total(x.messages), FleetTraffic::most(x.messages),
               FleetTraffic::total(x.bytes) / 1000, FleetTraffic::most(x.bytes) / 1000,
               FleetTraffic::most(x.heardBytes) / 1000, x.mostTargets());
    for (auto &[k, c] : x.kinds)
        fmt::print("   {}: {} msgs, {} KB\n", k, c, x.kindBytes.at(k) / 1000);
    for (auto &[k, c] : x.storeCalls)
        fmt::print("   store {}: {} calls by {} hosts\n", k, c, x.readers.at(k).size());
}
int main(int c, char **v)
{
    ControlFleet::Layout l;
    l.hosts = atoi(v[1]);
    l.endpoints = atoi(v[2]);
    ControlFleet f(l);
    f.startAll();
    auto t0 = std::chrono::steady_clock::now();
    auto lap = [&](const char *n) {
        double d = std::chrono::duration<double>(std::chrono::steady_clock::now() - t0).count();
        fmt::print("[{} cpu {:.2f} s]\n", n, d);
        t0 = std::chrono::steady_clock::now();
    };
    f.run(std::chrono::milliseconds(1000));
    lap("1s");
    show("first second", f.takeTraffic(), 1);
    fmt::print("up to date {}, fewest peers {}\n", f.upToDate(), f.fewestPeers());
    f.run(std::chrono::milliseconds(3000));
    lap("3s");
    show("next 3 s", f.takeTraffic(), 3);
    fmt::print("up to date {}, fewest peers {}\n", f.upToDate(), f.fewestPeers());
    f.run(std::chrono::milliseconds(5000));
    lap("5s");
    show("next 5 s", f.takeTraffic(), 5);
    fmt::print("up to date {}, fewest peers {}\n", f.upToDate(), f.fewestPeers());
    f.run(std::chrono::milliseconds(2000));
    lap("2s");
    show("settled 2 s", f.takeTraffic(), 5);
    fmt::print("up to date {}, fewest peers {}\n", f.upToDate(), f.fewestPeers());
    f.declare("ClientAccount", "drivers", "{\"weight\": 2}");
    f.run(std::chrono::milliseconds(500));
    fmt::print("change: up to date after 0.5 s {}\n", f.upToDate());
    f.run(std::chrono::milliseconds(500));
    fmt::print("change: up to date after 1 s {}\n", f.upToDate());
    show("change 1 s", f.takeTraffic(), 1);
}
