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

/// Probes the address of an endpoint, once for all calls that break at the same time.
class CrashConfirmer
{
public:
    /// Adds a broken call and probes its endpoint unless a probe is in progress.
    void add(BrokenCall call);
    /// Handles the result of a probe.
    void handle(const EndpointProbeResult &event);
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
        std::vector<BrokenCall> probed;  ///< Broke before the probe in progress started.
        std::vector<BrokenCall> waiting; ///< Broke later; its result does not apply to them.
    };

    void startProbe(const std::string &endpoint, Pending &pending);

    std::map<std::string, Pending> m_pending; ///< By endpoint.
    std::vector<EndpointProbe> m_probes;
    std::vector<BrokenCall> m_confirmed;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHCONFIRMER_H
