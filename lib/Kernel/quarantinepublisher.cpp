//===- quarantinepublisher.cpp - Who is not run --------------------------------===//

#include "harelink/Kernel/quarantinepublisher.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Between two tries to declare a decision: the platform may be away or slow.
constexpr milliseconds firstBackOff{200};
constexpr milliseconds longestBackOff{2000};
/// A decision that was written is seen in the listing or watch soon after; else it is
/// written again.
constexpr milliseconds sightTime{5000};
/// Declared at once at the most, some 400 bytes each; the oldest go first. Each of them cost
/// three endpoints, so an installation has a handful.
constexpr std::size_t mostDeclared = 1000;
/// Old ones that go with each new one, so that what was left over shrinks.
constexpr std::size_t mostRemoved = 4;

const QuarantineSpec *specOf(const ConfigEntry &entry)
{
    return entry.deleted || entry.resources.empty()
               ? nullptr
               : std::get_if<QuarantineSpec>(&entry.resources.front().spec);
}

} // namespace

QuarantinePublisher::QuarantinePublisher(const Clock &clock, std::string kind, milliseconds length)
    : m_clock(clock)
    , m_kind(std::move(kind))
    , m_length(length)
{
}

void QuarantinePublisher::add(const Hash128 &digest, const std::string &pool,
                              std::vector<std::string> endpoints)
{
    Decision decision;
    decision.spec.digest = digest;
    decision.spec.pool = pool;
    decision.spec.endpoints = std::move(endpoints);
    decision.spec.since = m_clock.wallNow();
    decision.spec.until = decision.spec.since + m_length;
    decision.dueAt = m_clock.now();
    decision.backOff = firstBackOff;
    m_decisions.try_emplace(digest, std::move(decision));
}

bool QuarantinePublisher::handle(const PlatformResult &result)
{
    const auto found =
        std::find_if(m_decisions.begin(), m_decisions.end(),
                     [&result](const auto &entry) { return entry.second.callId == result.id; });
    if (found == m_decisions.end()) {
        return false;
    }
    Decision &decision = found->second;
    decision.callId = 0;
    // In a conflict another daemon has declared the same a moment ago.
    const bool isWritten =
        result.outcome == PlatformOutcome::Ok || result.outcome == PlatformOutcome::Conflict;
    decision.dueAt = m_clock.now() + (isWritten ? Duration(sightTime) : decision.backOff);
    decision.backOff = std::min<Duration>(decision.backOff * 2, longestBackOff);
    return true;
}

bool QuarantinePublisher::isExpired(const ConfigEntry &entry) const
{
    const QuarantineSpec *spec = specOf(entry);
    return spec != nullptr && spec->until <= m_clock.wallNow();
}

void QuarantinePublisher::tick(const ConfigEntries &declared, std::vector<PlatformCall> &calls,
                               std::uint64_t &nextCallId)
{
    std::erase_if(m_decisions, [&](const auto &entry) {
        const auto found = declared.find({m_kind, toHex(entry.first)});
        const QuarantineSpec *spec = found == declared.end() ? nullptr : specOf(found->second);
        return spec != nullptr && spec->until > m_clock.wallNow();
    });
    for (auto &[digest, decision] : m_decisions) {
        if (decision.callId == 0 && decision.dueAt <= m_clock.now()) {
            declare(decision, declared, calls, nextCallId);
        }
    }
}

void QuarantinePublisher::declare(Decision &decision, const ConfigEntries &declared,
                                  std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    remove(declared, calls, nextCallId);
    PlatformCall call;
    call.id = nextCallId++;
    call.operation = PlatformOperation::Put;
    call.kind = m_kind;
    call.name = toHex(decision.spec.digest);
    call.value = quarantineDocument(decision.spec).dump();
    const auto before = declared.find({m_kind, call.name});
    // One that has run out and was not removed yet is replaced.
    call.ifVersion = before == declared.end() || before->second.deleted ? 0 : before->second.seen;
    decision.callId = call.id;
    calls.push_back(std::move(call));
}

/// Removes some of those that have run out or are too many. The answers are of no interest:
/// what stays is tried again with the next decision.
void QuarantinePublisher::remove(const ConfigEntries &declared, std::vector<PlatformCall> &calls,
                                 std::uint64_t &nextCallId) const
{
    std::vector<std::pair<WallTime, const ConfigEntries::value_type *>> standing;
    for (auto at = declared.lower_bound({m_kind, {}});
         at != declared.end() && at->first.first == m_kind; ++at) {
        if (const QuarantineSpec *spec = specOf(at->second)) {
            standing.emplace_back(spec->since, &*at);
        }
    }
    std::sort(standing.begin(), standing.end());
    const std::size_t tooMany =
        standing.size() < mostDeclared ? 0 : standing.size() + 1 - mostDeclared;
    std::size_t removed = 0;
    for (std::size_t i = 0; i < standing.size() && removed < mostRemoved; ++i) {
        const auto &[key, entry] = *standing[i].second;
        const bool isNeeded = m_decisions.contains(specOf(entry)->digest);
        if (isNeeded || (i >= tooMany && !isExpired(entry))) {
            continue;
        }
        PlatformCall call;
        call.id = nextCallId++;
        call.operation = PlatformOperation::Delete;
        call.kind = m_kind;
        call.name = key.second;
        call.ifVersion = entry.seen;
        calls.push_back(std::move(call));
        ++removed;
    }
}

TimePoint QuarantinePublisher::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[digest, decision] : m_decisions) {
        next = decision.callId == 0 ? std::min(next, decision.dueAt) : next;
    }
    return next;
}

std::vector<Resource> QuarantinePublisher::unpublished() const
{
    std::vector<Resource> resources;
    for (const auto &[digest, decision] : m_decisions) {
        resources.push_back({"Quarantine", toHex(digest), decision.spec, {}, std::nullopt});
    }
    return resources;
}

} // namespace harelink
