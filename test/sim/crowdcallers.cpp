//===- crowdcallers.cpp - Callers that a balancer sends to few hosts ------===//

#include "crowdcallers.h"

#include <fmt/format.h>

#include <algorithm>

namespace harelink::sim {

void CrowdCallers::setCrowd(std::optional<Crowd> crowd)
{
    if (m_crowd) {
        m_periods.back().end = m_queue.now();
    }
    m_crowd = std::move(crowd);
    if (m_crowd) {
        m_periods.push_back({*m_crowd, m_queue.now()});
        m_trace.add(fmt::format("most connections of {} go to {}",
                                m_crowd->dataCentre.empty() ? "all" : m_crowd->dataCentre,
                                m_crowd->host));
    } else {
        m_trace.add("connections are spread evenly");
    }
}

std::string CrowdCallers::chooseHost(const std::string &dataCentre)
{
    const std::vector<std::string> hosts = m_world.hosts();
    const bool isConcerned =
        m_crowd && (m_crowd->dataCentre.empty() || m_crowd->dataCentre == dataCentre);
    const bool isRunning =
        m_crowd && std::find(hosts.begin(), hosts.end(), m_crowd->host) != hosts.end();
    if (isConcerned && isRunning && m_random.chance(crowdedShare)) {
        return m_crowd->host;
    }
    return hosts.empty() ? std::string() : hosts[m_random.below(hosts.size())];
}

void CrowdCallers::begin(const std::string &dataCentre)
{
    Request request;
    request.sentAt = m_queue.now();
    const std::string first = chooseHost(dataCentre);
    std::optional<RequestId> id = first.empty() ? std::nullopt : m_world.submit(first);
    request.reader = first;
    if (!id) {
        // The balancer sends a caller that returns to another host.
        ++m_turnedAway;
        std::vector<std::string> others = m_world.hosts();
        std::erase(others, first);
        request.reader = others.empty() ? std::string() : others[m_random.below(others.size())];
        id = others.empty() ? std::nullopt : m_world.submit(request.reader);
        m_turnedAway += id ? 0 : 1;
    }
    if (id) {
        m_inProgress[*id] = m_requests.size();
    } else {
        request.reader.clear();
    }
    m_requests.push_back(std::move(request));
}

void CrowdCallers::handle(const AnswerCaller &answer)
{
    const auto found = m_inProgress.find(answer.id);
    if (found == m_inProgress.end()) {
        return;
    }
    m_requests[found->second].isServed = answer.outcome == Outcome::Completed;
    m_inProgress.erase(found);
}

template <typename Predicate>
CrowdCallers::Share CrowdCallers::shareOf(TimePoint begin, TimePoint end,
                                          const Predicate &counts) const
{
    Share share;
    for (const Request &request : m_requests) {
        if (request.sentAt >= begin && request.sentAt < end && counts(request)) {
            ++share.requests;
            share.served += request.isServed ? 1 : 0;
        }
    }
    return share;
}

void CrowdCallers::check(const Period &period)
{
    const TimePoint from = period.begin + adjustTime;
    if (from >= period.end) {
        return;
    }
    const auto isRead = [](const Request &request) { return !request.reader.empty(); };
    const auto isReadByCrowded = [&period](const Request &request) {
        return request.reader == period.crowd.host;
    };
    const auto isAny = [](const Request &) { return true; };
    const Share before = shareOf(period.begin - adjustTime, period.begin, isRead);
    const Share crowded = shareOf(from, period.end, isReadByCrowded);
    const Share all = shareOf(from, period.end, isAny);
    const double ratio = std::min(crowded.value(), all.value()) / std::max(before.value(), 0.001);
    m_worstServedRatio = std::min(m_worstServedRatio, ratio);
    if (ratio < minServedRatio) {
        m_checks.violation(fmt::format(
            "{} got most connections: {} of {} requests that it read were served, and {} of {} of "
            "all; before, {} of {}",
            period.crowd.host, crowded.served, crowded.requests, all.served, all.requests,
            before.served, before.requests));
    }
}

void CrowdCallers::finish()
{
    for (const Period &period : m_periods) {
        check(period);
    }
}

} // namespace harelink::sim
