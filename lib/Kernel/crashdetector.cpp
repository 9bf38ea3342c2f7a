//===- crashdetector.cpp - Crash detection --------------------------------===//

#include "harelink/Kernel/crashdetector.h"

#include <algorithm>

namespace harelink {
namespace {

/// Number of hosts that count the crashes of one request. With two, the count survives if one
/// of them is lost or unreachable.
constexpr std::size_t maxCountingHosts = 2;
/// Number of crashes after which a request is quarantined. One or two also occur by chance to
/// requests that run beside a crashing one while an endpoint crashes every second. The users'
/// requirement counts sends from the third crash on.
constexpr std::size_t requestThreshold = 3;
/// The same for a part of prompts. Higher, as a part stands in many requests; the users'
/// requirement counts sends from the fifth crash on.
constexpr std::size_t partThreshold = 4;

} // namespace

CrashDetector::CrashDetector(const Clock &clock, const Membership &membership,
                             const std::string &quarantineKind,
                             std::chrono::milliseconds quarantineDuration)
    : m_clock(clock)
    , m_membership(membership)
    , m_confirmer(clock)
    , m_counter(clock)
    , m_publisher(clock, quarantineKind, quarantineDuration)
{
}

void CrashDetector::handle(BrokenCall call)
{
    m_confirmer.add(std::move(call));
    reportConfirmed();
}

void CrashDetector::handle(const EndpointProbeResult &event)
{
    m_confirmer.handle(event);
    reportConfirmed();
}

void CrashDetector::reportConfirmed()
{
    const TimePoint now = m_clock.now();
    std::map<std::string, CrashReports> byHost;
    for (const BrokenCall &call : m_confirmer.drainConfirmed()) {
        const CrashReport report{call.digest, call.pool, call.endpoint, now - call.sentAt,
                                 now - call.brokeAt};
        countCrash(report, call.sentAt, call.brokeAt);
        std::vector<std::string> hosts = countingHostsOf(call.digest);
        // The host that owns the request observes its successful completion.
        if (!call.requestHost.empty()) {
            hosts.push_back(call.requestHost);
        }
        std::sort(hosts.begin(), hosts.end());
        hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
        for (const std::string &host : hosts) {
            byHost[host].reports.push_back(report);
        }
        for (const Hash128 &part : call.promptParts) {
            CrashReport partReport = report;
            partReport.digest = part;
            partReport.isPromptPart = true;
            countCrash(partReport, call.sentAt, call.brokeAt);
            // Any host may have completed a request with this part.
            for (const std::string &host : m_membership.candidates()) {
                byHost[host].reports.push_back(partReport);
            }
        }
    }
    for (auto &[host, reports] : byHost) {
        send(host, std::move(reports));
    }
}

void CrashDetector::handle(const CrashReports &message)
{
    const TimePoint now = m_clock.now();
    for (const CrashReport &report : message.reports) {
        countCrash(report, now - report.sentAgo, now - report.brokeAgo);
    }
}

void CrashDetector::countCrash(const CrashReport &report, TimePoint sentAt, TimePoint brokeAt)
{
    m_suspects.push_back({report.digest, report.isPromptPart});
    // A part is cleared only at the hosts that count for it.
    if (report.isPromptPart && !isCountingHostOf(report.digest)) {
        return;
    }
    std::vector<std::string> crashed =
        m_counter.recordCrash(report.digest, report.endpoint, sentAt, brokeAt,
                              report.isPromptPart ? partThreshold : requestThreshold);
    if (crashed.empty()) {
        return;
    }
    m_counter.clear(report.digest);
    m_publisher.add(report.digest, report.pool, crashed);
    m_decisions.push_back({report.digest, report.pool, std::move(crashed), report.isPromptPart});
}

void CrashDetector::handle(const RequestCleared &event)
{
    m_counter.clear(event.digest);
    for (const std::string &host : countingHostsOf(event.digest)) {
        send(host, CrashesCleared{{event.digest}});
    }
}

void CrashDetector::handle(const CrashesCleared &message)
{
    for (const Hash128 &digest : message.digests) {
        m_counter.clear(digest);
    }
}

void CrashDetector::tick(const ConfigEntries &declared, std::uint64_t storeEra,
                         std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    m_confirmer.tick();
    m_publisher.tick(declared, storeEra, calls, nextCallId);
}

TimePoint CrashDetector::nextTick() const
{
    return std::min(m_confirmer.nextTick(), m_publisher.nextTick());
}

std::vector<std::string> CrashDetector::countingHostsOf(const Hash128 &digest) const
{
    std::vector<std::string> hosts =
        m_membership.ranked(m_membership.candidates(), "crashes/" + toHex(digest));
    hosts.resize(std::min(hosts.size(), maxCountingHosts));
    return hosts;
}

bool CrashDetector::isCountingHostOf(const Hash128 &digest) const
{
    const std::vector<std::string> hosts = countingHostsOf(digest);
    return std::find(hosts.begin(), hosts.end(), m_membership.host()) != hosts.end();
}

void CrashDetector::send(const std::string &host, decltype(PeerMessage::content) content)
{
    if (host == m_membership.host()) {
        return;
    }
    if (std::optional<PeerSend> message = m_membership.messageTo(host, std::move(content))) {
        m_sends.push_back(*std::move(message));
    }
}

} // namespace harelink
