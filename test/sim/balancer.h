//===- balancer.h - A balancer in front of the simulated hosts --*- C++ -*-===//
///
/// \file
/// Chooses the hosts of new connections. It may ask all hosts each second whether they are ready,
/// and then takes out those that were not ready twice in a row, unless fewer than half would be
/// left. At times it sends most connections to a few hosts.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_BALANCER_H
#define HARELINK_TEST_SIM_BALANCER_H

#include "checks.h"

#include "harelink/Support/random.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace harelink::sim {

/// The hosts to which the balancer sends most new connections.
struct Crowd
{
    std::vector<std::string> order; ///< The first ones that it has not taken out get the crowd.
    std::size_t hosts = 0;          ///< Number of hosts that get it; 0 if there is no crowd.
    std::string dataCentre;         ///< Whose callers are concerned; empty for all.
};

/// The balancer of one simulation.
class Balancer
{
public:
    /// Share of the concerned connections that go to the crowded hosts.
    static constexpr double crowdedShare = 0.9;

    /// What the balancer sees of the simulation.
    struct World
    {
        /// Returns the names of the running hosts, by name.
        std::function<std::vector<std::string>()> hosts;
        std::function<bool(const std::string &host)> isReady;
    };
    struct Choice
    {
        std::string host;       ///< Empty if no host runs.
        bool isCrowded = false; ///< One of those that get the crowd.
    };

    Balancer(EventQueue &queue, Random &random, World world)
        : m_queue(queue)
        , m_random(random)
        , m_world(std::move(world))
    {
    }

    /// Begins to ask hosts whether they are ready; until then all are taken for ready.
    void askReadiness();
    /// Sends most new connections to the hosts of \p crowd from now on.
    void setCrowd(Crowd crowd) { m_crowd = std::move(crowd); }
    /// Returns the host of a new connection. A caller that \p tried a host before is sent to any
    /// other one.
    [[nodiscard]] Choice choose(const std::string &dataCentre, const std::string &tried);

private:
    [[nodiscard]] std::vector<std::string> hostsTaken() const;

    EventQueue &m_queue;
    Random &m_random;
    World m_world;
    Crowd m_crowd;
    std::map<std::string, int> m_misses; ///< In a row, by host.
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_BALANCER_H
