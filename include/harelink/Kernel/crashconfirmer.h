//===- harelink/Kernel/crashconfirmer.h - Endpoint crash checks -*- C++ -*-===//
///
/// \file
/// Distinguishes calls during which an endpoint crashed from calls that lost only their
/// connection, such as by a lost response, a reset, or an endpoint that accepts no further
/// connections. Only a crash is evidence against the request.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CRASHCONFIRMER_H
#define HARELINK_KERNEL_CRASHCONFIRMER_H

#include "harelink/Kernel/crashes.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Probes the address of an endpoint, once for all calls that break at the same time, and again
/// if the connection is accepted: a process that exits may close its listening socket last.
class CrashConfirmer
{
public:
    /// \param clock must outlive the confirmer.
    explicit CrashConfirmer(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Adds a broken call and probes its endpoint unless a probe is in progress.
    void add(BrokenCall call);
    /// Handles the result of a probe.
    void handle(const EndpointProbeResult &event);
    /// Repeats the probes that are due.
    void tick();
    [[nodiscard]] TimePoint nextTick() const;
    /// Returns the probes to send.
    [[nodiscard]] std::vector<EndpointProbe> drainProbes() { return std::exchange(m_probes, {}); }
    /// Returns the calls during which an endpoint crashed.
    [[nodiscard]] std::vector<BrokenCall> drainConfirmed()
    {
        return std::exchange(m_confirmed, {});
    }

private:
    /// Calls to one endpoint that broke recently.
    struct Pending
    {
        std::vector<BrokenCall> probed;        ///< Broke before the probe in progress started.
        std::vector<BrokenCall> waiting;       ///< Broke later; its result does not apply to them.
        std::size_t repeats = 0;               ///< Of the probe, so far.
        TimePoint repeatAt = TimePoint::max(); ///< Time of the next probe.
    };

    void startProbe(const std::string &endpoint, Pending &pending);

    const Clock &m_clock;
    std::map<std::string, Pending> m_pending; ///< By endpoint.
    std::vector<EndpointProbe> m_probes;
    std::vector<BrokenCall> m_confirmed;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHCONFIRMER_H
