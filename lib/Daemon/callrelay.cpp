//===- callrelay.cpp - Calls made by peers --------------------------------===//

#include "harelink/Daemon/callrelay.h"

#include "harelink/Support/log.h"

#include <algorithm>
#include <variant>

namespace harelink {
namespace {

constexpr Logger logger("relay");

/// Maximum number of calls that are made for peers at once, which bounds the memory that they take.
constexpr std::size_t maxServed = 256;
/// Bytes of an answer's body that may be on their way to the daemon that asked for it, or wait
/// there for its caller.
constexpr std::size_t windowBytes = 262'144;
/// A call that arrives again within this period is a repeated message.
constexpr std::chrono::seconds arrivalRetention{30};

RelayCall toMessage(const RelayRequest &request)
{
    RelayCall message;
    message.call = request.call;
    message.pool = request.pool;
    message.method = request.http.method;
    message.url = request.http.url;
    message.target = request.http.target;
    message.headers = request.http.headers;
    message.body = request.http.sentBody();
    message.timeout = request.http.timeout;
    message.connectTimeout = request.http.connectTimeout;
    message.omitsDefaultHeaders = request.http.omitDefaultHeaders;
    message.windowBytes = windowBytes;
    return message;
}

HttpCall toHttp(const RelayCall &message)
{
    HttpCall http;
    http.method = message.method;
    http.url = message.url;
    http.target = message.target;
    http.headers = message.headers;
    http.sharedBody = std::make_shared<const std::string>(message.body);
    http.timeout = message.timeout;
    http.connectTimeout = message.connectTimeout;
    http.omitDefaultHeaders = message.omitsDefaultHeaders;
    // The requesting daemon decides on retries.
    http.resendable = false;
    return http;
}

} // namespace

CallRelay::CallRelay(const Clock &clock, HttpClient &http, Sink sink, BufferBudget *budget,
                     RequestIntake *intake)
    : m_clock(clock)
    , m_http(http)
    , m_sink(std::move(sink))
    , m_budget(budget)
    , m_intake(intake)
{
}

/// Reserves the memory of a copy of \p call. Returns whether it fits.
bool CallRelay::reserve(const RelayCall &call, std::shared_ptr<const IntakeTicket> &memory)
{
    if (m_intake == nullptr) {
        return true;
    }
    std::size_t bytes = call.body.size() + call.url.size() + call.target.size();
    for (const std::string &field : call.headers) {
        bytes += field.size() + sizeof(std::string);
    }
    memory = m_intake->take(bytes);
    return memory != nullptr;
}

void CallRelay::request(const std::string &host, const RelayRequest &request)
{
    logger.record(LogLevel::Info, "call-relayed")
        .field("request", request.callerId.empty() ? toText(request.call) : request.callerId)
        .field("pool", request.pool)
        .field("endpoint", request.endpoint)
        .field("peer", host);
    Requested &requested = m_requested[request.call];
    requested = {host, 0, nullptr};
    if (host.empty()) {
        ++m_counters.unplaced;
        fail(request.call, "no peer reaches the pool", false);
        return;
    }
    RelayCall message = toMessage(request);
    if (!reserve(message, requested.memory)) {
        ++m_counters.unplaced;
        fail(request.call, "no memory is left for a call through a peer", false);
        return;
    }
    ++m_counters.requested;
    m_sink.send(host, std::move(message));
}

void CallRelay::cancel(const CallId &call)
{
    const auto found = m_requested.find(call);
    if (found != m_requested.end()) {
        m_sink.send(found->second.host, RelayCancel{call});
        m_requested.erase(found);
    }
}

void CallRelay::acknowledge(const CallId &call, std::uint64_t bytes)
{
    const auto found = m_requested.find(call);
    if (found != m_requested.end()) {
        m_sink.send(found->second.host, RelayAck{call, bytes});
    }
}

void CallRelay::handle(const PeerMessage &message)
{
    if (const auto *call = std::get_if<RelayCall>(&message.content)) {
        handle(message.host, *call);
    } else if (const auto *part = std::get_if<RelayPart>(&message.content)) {
        handle(message.host, *part);
    } else if (const auto *ack = std::get_if<RelayAck>(&message.content)) {
        handle(message.host, *ack);
    } else if (const auto *cancelled = std::get_if<RelayCancel>(&message.content)) {
        handle(message.host, *cancelled);
    }
}

void CallRelay::dropLostPeers(const std::function<bool(const std::string &)> &isLive)
{
    std::vector<CallId> lost;
    for (const auto &[call, requested] : m_requested) {
        if (!isLive(requested.host)) {
            lost.push_back(call);
        }
    }
    for (const CallId &call : lost) {
        ++m_counters.lost;
        fail(call, "the peer that makes the call was lost", true);
    }
    std::erase_if(m_served, [&](const auto &entry) {
        const bool isLost = !isLive(entry.first.first);
        if (isLost) {
            m_http.cancel(entry.second.transfer);
        }
        return isLost;
    });
}

/// Ends a call of a worker without a result of the peer.
void CallRelay::fail(const CallId &call, std::string error, bool wasSent)
{
    m_requested.erase(call);
    RelayedPart failed;
    failed.part.call = call;
    failed.part.isLast = true;
    failed.part.wasSent = wasSent;
    failed.part.error = std::move(error);
    failed.isRelayLost = wasSent;
    m_sink.deliver(std::move(failed));
}

void CallRelay::handle(const std::string &host, const RelayPart &part)
{
    const auto found = m_requested.find(part.call);
    if (found == m_requested.end() || found->second.host != host) {
        return;
    }
    Requested &requested = found->second;
    if (part.number < requested.nextPart) {
        return; // A repeated message.
    }
    if (part.number > requested.nextPart) {
        ++m_counters.lost;
        m_sink.send(host, RelayCancel{part.call});
        fail(part.call, "a part of the answer was lost between daemons", true);
        return;
    }
    ++requested.nextPart;
    if (part.isLast) {
        m_requested.erase(found);
    }
    m_sink.deliver({part, false});
}

void CallRelay::handle(const std::string &host, const RelayAck &ack)
{
    const auto found = m_served.find({host, ack.call});
    if (found == m_served.end()) {
        return;
    }
    Served &served = found->second;
    if (ack.bytes > served.sentBytes) {
        logger.record(LogLevel::Warning, "acknowledgement-invalid")
            .field("call", toText(ack.call))
            .field("peer", host)
            .field("bytes", ack.bytes)
            .field("sent", served.sentBytes);
        return;
    }
    served.takenBytes = std::max(served.takenBytes, ack.bytes);
    const std::uint64_t left = served.sentBytes - served.takenBytes;
    served.unacknowledged.set(left);
    if (served.resumeAt && left <= *served.resumeAt) {
        served.resumeAt.reset();
        m_http.resume(served.transfer);
    }
}

void CallRelay::handle(const std::string &host, const RelayCancel &cancelled)
{
    const auto found = m_served.find({host, cancelled.call});
    if (found != m_served.end()) {
        m_http.cancel(found->second.transfer);
        m_served.erase(found);
    }
}

/// Returns whether the call arrives for the first time.
bool CallRelay::recordArrival(const ServedId &id)
{
    const TimePoint now = m_clock.now();
    while (!m_arrivedOrder.empty() && now - m_arrivedOrder.front().first > arrivalRetention) {
        m_arrived.erase(m_arrivedOrder.front().second);
        m_arrivedOrder.pop_front();
    }
    const bool isNew = m_arrived.insert(id).second;
    if (isNew) {
        m_arrivedOrder.emplace_back(now, id);
    }
    return isNew;
}

void CallRelay::handle(const std::string &host, const RelayCall &call)
{
    const ServedId id(host, call.call);
    if (!recordArrival(id)) {
        return;
    }
    std::shared_ptr<const IntakeTicket> memory;
    if (!m_sink.reaches(call.pool) || m_served.size() >= maxServed || !reserve(call, memory)) {
        ++m_counters.refused;
        RelayPart refusal;
        refusal.call = call.call;
        refusal.isLast = true;
        refusal.wasSent = false;
        refusal.error = "the peer does not make the call";
        m_sink.send(host, std::move(refusal));
        return;
    }
    ++m_counters.served;
    serve(id, call, std::move(memory));
}

void CallRelay::serve(const ServedId &id, const RelayCall &call,
                      std::shared_ptr<const IntakeTicket> memory)
{
    const auto onPart = [this, id](const HttpResult &head, const std::string &body) {
        sendPart(id, head, body);
    };
    const auto onDone = [this, id](const HttpResult &result) {
        RelayPart part;
        part.call = id.second;
        part.number = m_served.at(id).nextPart;
        part.isLast = true;
        part.status = result.status;
        part.headStatus = result.headStatus;
        part.wasSent = result.sent;
        part.isBroken = result.isBroken;
        part.wasRefused = result.connection == HttpConnection::Refused;
        part.error = result.error;
        part.fields = result.fields;
        part.longestPause = result.longestPause;
        m_served.erase(id);
        m_sink.send(id.first, std::move(part));
    };
    Served &served = m_served.try_emplace(id, m_budget).first->second;
    served.windowBytes = call.windowBytes;
    served.memory = std::move(memory);
    served.transfer = m_http.send(toHttp(call), onDone, onPart);
}

/// Sends a part of the answer to the peer. Pauses reading if the peer has not taken enough of the
/// parts before: an endpoint may send without end, and the peer's caller may read nothing.
void CallRelay::sendPart(const ServedId &id, const HttpResult &head, const std::string &body)
{
    Served &served = m_served.at(id);
    RelayPart part;
    part.call = id.second;
    part.headStatus = head.headStatus;
    if (served.nextPart == 0) {
        part.fields = head.fields;
    }
    part.number = served.nextPart++;
    part.body = body;
    served.sentBytes += body.size();
    m_sink.send(id.first, std::move(part));
    if (served.windowBytes == 0) {
        return; // A peer of an older version acknowledges nothing.
    }
    const std::uint64_t left = served.sentBytes - served.takenBytes;
    served.unacknowledged.set(left);
    const bool isWithin =
        left < served.windowBytes && (m_budget == nullptr || m_budget->allowsMoreOfStream(left));
    if (!isWithin && !served.resumeAt) {
        // Peers may keep back the acknowledgement of the last few bytes.
        served.resumeAt = std::max<std::uint64_t>(left / 2, guaranteedBytes);
        ++m_counters.pauses;
        m_http.pause(served.transfer);
    }
}

} // namespace harelink
