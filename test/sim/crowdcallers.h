//===- crowdcallers.h - Callers that a balancer sends to few hosts -*- C++ -*-===//
///
/// \file
/// Callers whose balancer sends most new connections to a few hosts at times. Checks that requests
/// which these hosts read are served at the first attempt about as often as before, and that those
/// whose connections they turned away are served elsewhere.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_CROWDCALLERS_H
#define HARELINK_TEST_SIM_CROWDCALLERS_H

#include "balancer.h"
#include "checks.h"

#include "harelink/Kernel/requestmachine.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink::sim {

/// The callers of a simulation.
class CrowdCallers
{
public:
    /// Time after the begin of a crowd from which on requests count.
    static constexpr std::chrono::seconds adjustTime{4};
    /// Requests that the crowded hosts read are served at the first attempt at least this often,
    /// relative to those of all hosts in the adjustTime before; and so are those of all callers.
    static constexpr double minServedRatio = 0.75;
    /// Connections that a caller opens for a request, at different hosts, until one reads it.
    static constexpr int maxAttempts = 2;

    /// What the callers need of the simulation.
    struct World
    {
        Balancer::World balancer;
        /// Opens a connection to the host and sends a request; std::nullopt if the connection was
        /// turned away.
        std::function<std::optional<RequestId>(const std::string &host)> submit;
    };

    CrowdCallers(EventQueue &queue, Checks &checks, Trace &trace, Random &random, World world)
        : m_queue(queue)
        , m_checks(checks)
        , m_trace(trace)
        , m_world(std::move(world))
        , m_balancer(queue, random, m_world.balancer)
    {
    }

    /// Makes the balancer send most new connections to \p crowd, or evenly to all hosts.
    void setCrowd(std::optional<Crowd> crowd);
    /// Makes the balancer ask hosts whether they are ready.
    void askReadiness() { m_balancer.askReadiness(); }
    /// Sends the request of a new caller.
    void begin(const std::string &dataCentre);
    void handle(const AnswerCaller &answer);
    /// Checks all crowds of the run.
    void finish();

    /// Returns the smallest ratio that was found, over the crowds of the run.
    [[nodiscard]] double worstServedRatio() const { return m_worstServedRatio; }
    [[nodiscard]] int turnedAway() const { return m_turnedAway; }

private:
    /// A request of a caller.
    struct Request
    {
        TimePoint sentAt;
        bool isRead = false;          ///< By any host.
        bool isReadByCrowded = false; ///< By one that the balancer preferred then.
        bool isServed = false;
    };
    /// A period in which the balancer preferred some hosts.
    struct Period
    {
        Crowd crowd;
        TimePoint begin;
        TimePoint end = TimePoint::max();
    };
    struct Share
    {
        int requests = 0;
        int served = 0;
        [[nodiscard]] double value() const
        {
            return requests == 0 ? 0 : static_cast<double>(served) / requests;
        }
    };

    template <typename Predicate>
    [[nodiscard]] Share shareOf(TimePoint begin, TimePoint end, const Predicate &counts) const;
    void check(const Period &period);

    EventQueue &m_queue;
    Checks &m_checks;
    Trace &m_trace;
    World m_world;
    Balancer m_balancer;
    std::optional<Crowd> m_crowd;
    std::vector<Period> m_periods;
    std::deque<Request> m_requests; ///< By the time at which they were sent.
    std::map<RequestId, std::size_t> m_inProgress;
    double m_worstServedRatio = 1;
    int m_turnedAway = 0;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_CROWDCALLERS_H
