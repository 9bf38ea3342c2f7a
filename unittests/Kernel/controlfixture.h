//===- controlfixture.h - Control machine options for tests -----*- C++ -*-===//

#ifndef HARELINK_UNITTESTS_KERNEL_CONTROLFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_CONTROLFIXTURE_H

#include "harelink/Kernel/controlmachine.h"

#include <string>

namespace harelink::testing {

/// Returns options for host "h1" in "dc1", which keeps no claims.
inline ControlOptions controlOptions(const ObjectReader &objects = defaultObjectReader())
{
    ControlOptions options;
    options.host = "h1";
    options.peerAddress = "h1:1";
    options.dataCentre = "dc1";
    options.incarnation = 1;
    options.keepsClaims = false;
    options.objects = &objects;
    return options;
}

/// Returns a heartbeat of the host "h" plus \p number in "dc1", which has a list of the endpoints
/// that are leaving.
inline PeerMessage heartbeatOf(Incarnation number)
{
    const std::string host = "h" + std::to_string(number);
    Heartbeat heartbeat;
    heartbeat.dataCentre = "dc1";
    heartbeat.address = host + ":1";
    heartbeat.leavingKnown = true;
    return PeerMessage{host, number, heartbeat};
}

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_CONTROLFIXTURE_H
