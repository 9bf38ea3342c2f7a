//===- harelink/Kernel/requeststreamsimpl.h - Stream origins ----*- C++ -*-===//
///
/// \file
/// Binds streams to the endpoints that may continue them, and finds the origin of a stream that
/// its caller takes up again.
/// Included only by requestmachineimpl.h.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REQUESTSTREAMSIMPL_H
#define HARELINK_KERNEL_REQUESTSTREAMSIMPL_H

#include "harelink/Kernel/requestmachinestate.h"

#include "harelink/Support/error.h"

#include <algorithm>
#include <utility>

namespace harelink {

template <GuardPolicy G>
Hash128 BasicRequestMachine<G>::streamKeyOf(const Request &request, const std::string &callerId)
{
    const RouteSpec &route = *request.pipeline.route;
    return streamKey(request.account, route.host, route.pathPrefix, callerId);
}

/// Binds a stream that has got its first event to the endpoints that may continue it.
template <GuardPolicy G>
void BasicRequestMachine<G>::bindStream(Request &request)
{
    if (request.origin) {
        return;
    }
    request.origin = StreamOrigin{request.stageSpec().pool, request.softwareVersion};
    if (request.proxied && request.pipeline.route->resumable && request.softwareVersion) {
        const Duration ttl = request.callerDeadline - m_clock.now() + requestmachine::takeUpMargin;
        m_actions.emplace_back(StreamBegan{
            streamKeyOf(request, request.proxied->callerId), *request.origin, ttl,
            request.endpointMayStartAgain ? request.endpoint : std::string(), request.sentAt});
    }
}

template <GuardPolicy G>
bool BasicRequestMachine<G>::takesUpStream(const Request &request)
{
    if (!request.proxied || !request.pipeline.route->streams) {
        return false;
    }
    const ProxiedRequest &proxied = *request.proxied;
    return proxied.lastEventSeen || proxied.isLastEventUnreadable
           || !proxied.resumedAttempt.empty();
}

template <GuardPolicy G>
void BasicRequestMachine<G>::locateStream(Request &request, const Snapshot &snapshot)
{
    const ProxiedRequest &proxied = *request.proxied;
    if (proxied.resumedAttempt.empty()) {
        failUnknownStream(request, "the caller does not name the attempt that began the stream",
                          snapshot);
        return;
    }
    if (proxied.isLastEventUnreadable) {
        failUnknownStream(request, "the id of the last event cannot be read", snapshot);
        return;
    }
    request.phase = Request::Phase::Locating;
    schedule(request, request.deadline - requestmachine::answerMargin);
    m_actions.emplace_back(
        LocateStream{request.id, proxied.callerId, streamKeyOf(request, proxied.resumedAttempt)});
}

template <GuardPolicy G>
void BasicRequestMachine<G>::handle(const StreamLocated &event, const Snapshot &snapshot)
{
    Request *request = find(event.request);
    if (request == nullptr || request->phase != Request::Phase::Locating) {
        return;
    }
    if (!event.origin) {
        failUnknownStream(*request, "no host that was asked knows where the stream began",
                          snapshot);
        return;
    }
    request->origin = event.origin;
    request->pipeline.stages = {{"serve", event.origin->pool}};
    const std::vector<WeightedPool> &split = request->pipeline.route->split;
    const bool isRouted = std::any_of(split.begin(), split.end(), [&](const WeightedPool &share) {
        return share.pool == event.origin->pool;
    });
    if (!isRouted || !hasServingEndpoint(*request, snapshot)) {
        failWithoutEndpoint(*request, snapshot);
        return;
    }
    startRequest(*request, snapshot);
}

/// Refuses a stream that this host cannot continue safely; another host may know it.
template <GuardPolicy G>
void BasicRequestMachine<G>::failUnknownStream(Request &request, std::string_view message,
                                               const Snapshot &snapshot)
{
    fail(request, Reason::StreamUnknown,
         makeError(absl::StatusCode::kUnavailable, "stream lookup", "", message), snapshot);
}

} // namespace harelink

#endif // HARELINK_KERNEL_REQUESTSTREAMSIMPL_H
