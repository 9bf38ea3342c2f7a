//===- balancer.cpp - A balancer in front of the simulated hosts ----------===//

#include "balancer.h"

#include <algorithm>

namespace harelink::sim {
namespace {

constexpr std::chrono::seconds pollInterval{1};
/// A host is taken out after this many answers that it is not ready.
constexpr int maxMisses = 2;

bool contains(const std::vector<std::string> &hosts, const std::string &host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

void Balancer::askReadiness()
{
    for (const std::string &host : m_world.hosts()) {
        int &misses = m_misses[host];
        misses = m_world.isReady(host) ? 0 : misses + 1;
    }
    m_queue.after(pollInterval, [this] { askReadiness(); });
}

/// Returns the running hosts that are not taken out, or all if they are fewer than half.
std::vector<std::string> Balancer::hostsTaken() const
{
    const std::vector<std::string> running = m_world.hosts();
    std::vector<std::string> taken = running;
    std::erase_if(taken, [this](const std::string &host) {
        const auto misses = m_misses.find(host);
        return misses != m_misses.end() && misses->second >= maxMisses;
    });
    return taken.size() * 2 < running.size() ? running : taken;
}

Balancer::Choice Balancer::choose(const std::string &dataCentre, const std::string &tried)
{
    const std::vector<std::string> taken = hostsTaken();
    std::vector<std::string> crowded;
    for (const std::string &host : m_crowd.order) {
        if (crowded.size() < m_crowd.hosts && contains(taken, host)) {
            crowded.push_back(host);
        }
    }
    const bool isConcerned = m_crowd.dataCentre.empty() || m_crowd.dataCentre == dataCentre;
    const bool goesToCrowded =
        tried.empty() && isConcerned && !crowded.empty() && m_random.chance(crowdedShare);
    std::vector<std::string> candidates = goesToCrowded ? crowded : taken;
    std::erase(candidates, tried);
    if (candidates.empty()) {
        return {};
    }
    std::string host = candidates[m_random.below(candidates.size())];
    const bool isCrowded = contains(crowded, host);
    return {std::move(host), isCrowded};
}

} // namespace harelink::sim
