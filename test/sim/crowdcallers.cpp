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
    m_balancer.setCrowd(m_crowd.value_or(Crowd()));
    if (m_crowd) {
        m_periods.push_back({*m_crowd, m_queue.now()});
        m_trace.add(fmt::format("most connections of {} go to {} hosts from {} on",
                                m_crowd->dataCentre.empty() ? "all" : m_crowd->dataCentre,
                                m_crowd->hosts, m_crowd->order.front()));
    } else {
        m_trace.add("connections are spread evenly");
    }
}

void CrowdCallers::begin(const std::string &dataCentre)
{
    Request request;
    request.sentAt = m_queue.now();
    std::string tried;
    for (int i = 0; i < maxAttempts; ++i) {
        const Balancer::Choice choice = m_balancer.choose(dataCentre, tried);
        const std::optional<RequestId> id =
            choice.host.empty() ? std::nullopt : m_world.submit(choice.host);
        if (id) {
            request.isRead = true;
            request.isReadByCrowded = choice.isCrowded;
            m_inProgress[*id] = m_requests.size();
            break;
        }
        ++m_turnedAway;
        tried = choice.host;
    }
    m_requests.push_back(request);
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
    const auto isRead = [](const Request &request) { return request.isRead; };
    const auto isReadByCrowded = [](const Request &request) { return request.isReadByCrowded; };
    const auto isAny = [](const Request &) { return true; };
    const Share before = shareOf(period.begin - adjustTime, period.begin, isRead);
    const Share crowded = shareOf(from, period.end, isReadByCrowded);
    const Share all = shareOf(from, period.end, isAny);
    const double ratio = std::min(crowded.value(), all.value()) / std::max(before.value(), 0.001);
    m_worstServedRatio = std::min(m_worstServedRatio, ratio);
    if (ratio < minServedRatio) {
        m_checks.violation(fmt::format(
            "{} hosts from {} on got most connections: {} of {} requests that they read were "
            "served, and {} of {} of all; before, {} of {}",
            period.crowd.hosts, period.crowd.order.front(), crowded.served, crowded.requests,
            all.served, all.requests, before.served, before.requests));
    }
}

void CrowdCallers::finish()
{
    for (const Period &period : m_periods) {
        check(period);
    }
}

} // namespace harelink::sim
