//===- controlfixture.h - A daemon's control for kernel tests ---*- C++ -*-===//

#ifndef HARELINK_UNITTESTS_KERNEL_CONTROLFIXTURE_H
#define HARELINK_UNITTESTS_KERNEL_CONTROLFIXTURE_H

#include "harelink/Kernel/controlmachine.h"

#include <string>

namespace harelink::testing {

/// Host "h1" of "dc1", which keeps no claims.
inline ControlOptions controlOptions(const ObjectReader &objects = ownObjectReader())
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

/// The heartbeat of "h" and \p number in "dc1", which knows the endpoints that leave.
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
