//===- crowdcallers.h - Callers that a balancer sends to few hosts -*- C++ -*-===//
///
/// \file
/// Callers whose balancer sends most new connections to one host at times. Checks that requests
/// which that host reads are served at the first attempt about as often as before, and that those
/// whose connections it turned away are served elsewhere.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_TEST_SIM_CROWDCALLERS_H
#define HARELINK_TEST_SIM_CROWDCALLERS_H

#include "checks.h"

#include "harelink/Kernel/requestmachine.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace harelink::sim {

/// Where the balancer sends new connections.
struct Crowd
{
    std::string host;
    std::string dataCentre; ///< Whose callers are concerned; empty for all.
};

/// The callers of a simulation.
class CrowdCallers
{
public:
    /// Share of the concerned connections that go to the crowded host.
    static constexpr double crowdedShare = 0.9;
    /// Time after the begin of a crowd from which on requests count.
    static constexpr std::chrono::seconds adjustTime{4};
    /// Requests that the crowded host reads are served at the first attempt at least this often,
    /// relative to those of all hosts in the adjustTime before; and so are those of all callers.
    static constexpr double minServedRatio = 0.75;

    /// What the callers need of the simulation.
    struct World
    {
        /// Returns the names of the running hosts, by name.
        std::function<std::vector<std::string>()> hosts;
        /// Opens a connection to the host and sends a request; std::nullopt if the connection was
        /// turned away.
        std::function<std::optional<RequestId>(const std::string &host)> submit;
    };

    CrowdCallers(EventQueue &queue, Checks &checks, Trace &trace, Random &random, World world)
        : m_queue(queue)
        , m_checks(checks)
        , m_trace(trace)
        , m_random(random)
        , m_world(std::move(world))
    {
    }

    /// Makes the balancer send most new connections to \p crowd.host, or evenly to all hosts.
    void setCrowd(std::optional<Crowd> crowd);
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
        std::string reader; ///< The host that read it; empty if all turned it away.
        bool isServed = false;
    };
    /// A period in which the balancer preferred one host.
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

    std::string chooseHost(const std::string &dataCentre);
    template <typename Predicate>
    [[nodiscard]] Share shareOf(TimePoint begin, TimePoint end, const Predicate &counts) const;
    void check(const Period &period);

    EventQueue &m_queue;
    Checks &m_checks;
    Trace &m_trace;
    Random &m_random;
    World m_world;
    std::optional<Crowd> m_crowd;
    std::vector<Period> m_periods;
    std::deque<Request> m_requests; ///< By the time at which they were sent.
    std::map<RequestId, std::size_t> m_inProgress;
    double m_worstServedRatio = 1;
    int m_turnedAway = 0;
};

} // namespace harelink::sim

#endif // HARELINK_TEST_SIM_CROWDCALLERS_H
