//===- harelink/Kernel/crashconfirmer.h - Did an endpoint end? --*- C++ -*-===//
///
/// \file
/// Tells the calls under which an endpoint ended from those of which only the connection
/// broke: a lost answer, a reset connection, an endpoint that takes no more connections.
/// Only the first say something against the request.
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

/// Asks at an endpoint's address, once for all calls that break together.
class CrashConfirmer
{
public:
    /// Takes in a broken call.
    void add(BrokenCall call);
    /// Takes in what a probe met.
    void handle(const EndpointProbeResult &event);
    /// The probes to make.
    [[nodiscard]] std::vector<EndpointProbe> drainProbes() { return std::exchange(m_probes, {}); }
    /// The calls under which an endpoint has ended.
    [[nodiscard]] std::vector<BrokenCall> drainConfirmed()
    {
        return std::exchange(m_confirmed, {});
    }

private:
    /// The calls to one endpoint that broke lately.
    struct Pending
    {
        std::vector<BrokenCall> probed;  ///< Before the probe under way began.
        std::vector<BrokenCall> waiting; ///< Since: that probe says nothing of them.
    };

    void probe(const std::string &endpoint, Pending &pending);

    std::map<std::string, Pending> m_pending; ///< By endpoint.
    std::vector<EndpointProbe> m_probes;
    std::vector<BrokenCall> m_confirmed;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CRASHCONFIRMER_H
