//===- quarantinepublisher.cpp - Quarantines ------------------------------===//

#include "harelink/Kernel/quarantinepublisher.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// Delay between attempts to declare a decision while the platform is slow or unreachable.
constexpr milliseconds initialBackOff{200};
constexpr milliseconds maxBackOff{2000};
/// A written decision must become visible in a listing or watch within this time; otherwise it
/// is written again.
constexpr milliseconds visibilityTimeout{5000};
/// Maximum number of declared quarantines, about 400 bytes each; the oldest are removed first.
/// Each one requires three endpoint crashes, so an installation has only a few.
constexpr std::size_t maxDeclared = 1000;
/// Maximum number of obsolete quarantines removed with each new one. More than one, so that a
/// backlog shrinks.
constexpr std::size_t maxRemovedPerDecision = 4;

const QuarantineSpec *specOf(const ConfigEntry &entry)
{
    return entry.deleted || entry.resources.empty()
               ? nullptr
               : std::get_if<QuarantineSpec>(&entry.resources.front().spec);
}

} // namespace

QuarantinePublisher::QuarantinePublisher(const Clock &clock, std::string kind,
                                         milliseconds duration)
    : m_clock(clock)
    , m_kind(std::move(kind))
    , m_duration(duration)
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
    decision.spec.until = decision.spec.since + m_duration;
    decision.nextAttempt = m_clock.now();
    decision.backOff = initialBackOff;
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
    // After a conflict, another daemon has declared the same quarantine.
    const bool isWritten =
        result.outcome == PlatformOutcome::Ok || result.outcome == PlatformOutcome::Conflict;
    decision.nextAttempt =
        m_clock.now() + (isWritten ? Duration(visibilityTimeout) : decision.backOff);
    decision.backOff = std::min<Duration>(decision.backOff * 2, maxBackOff);
    return true;
}

bool QuarantinePublisher::isExpired(const ConfigEntry &entry) const
{
    const QuarantineSpec *spec = specOf(entry);
    return spec != nullptr && spec->until <= m_clock.wallNow();
}

void QuarantinePublisher::publishAgain(const ConfigEntry &declared, Duration delay)
{
    const QuarantineSpec *spec = specOf(declared);
    if (spec == nullptr || isExpired(declared)) {
        return;
    }
    Decision decision;
    decision.spec = *spec;
    decision.nextAttempt = m_clock.now() + delay;
    decision.backOff = initialBackOff;
    m_decisions.try_emplace(spec->digest, std::move(decision));
}

void QuarantinePublisher::tick(const ConfigEntries &declared, std::uint64_t storeEra,
                               std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    m_storeEra = storeEra;
    std::erase_if(m_decisions, [&](const auto &entry) {
        const auto found = declared.find({m_kind, toHex(entry.first)});
        const QuarantineSpec *spec = found == declared.end() ? nullptr : specOf(found->second);
        return spec != nullptr && spec->until > m_clock.wallNow()
               && found->second.seenVersion.era >= m_storeEra;
    });
    for (auto &[digest, decision] : m_decisions) {
        if (decision.callId == 0 && decision.nextAttempt <= m_clock.now()) {
            declare(decision, declared, calls, nextCallId);
        }
    }
}

void QuarantinePublisher::declare(Decision &decision, const ConfigEntries &declared,
                                  std::vector<PlatformCall> &calls, std::uint64_t &nextCallId)
{
    removeObsolete(declared, calls, nextCallId);
    PlatformCall call;
    call.id = nextCallId++;
    call.operation = PlatformOperation::Put;
    call.kind = m_kind;
    call.name = toHex(decision.spec.digest);
    call.value = quarantineDocument(decision.spec).dump();
    const auto previous = declared.find({m_kind, call.name});
    // Replaces an expired quarantine that was not removed yet.
    const bool isStored = previous != declared.end() && !previous->second.deleted
                          && previous->second.seenVersion.era >= m_storeEra;
    call.ifVersion = isStored ? previous->second.seenVersion : Version();
    decision.callId = call.id;
    calls.push_back(std::move(call));
}

/// Removes some of the quarantines that have expired or exceed the limit. The results are
/// ignored: a failed removal is retried with the next decision.
void QuarantinePublisher::removeObsolete(const ConfigEntries &declared,
                                         std::vector<PlatformCall> &calls,
                                         std::uint64_t &nextCallId) const
{
    std::vector<std::pair<WallTime, const ConfigEntries::value_type *>> existing;
    for (auto it = declared.lower_bound({m_kind, {}});
         it != declared.end() && it->first.first == m_kind; ++it) {
        if (const QuarantineSpec *spec = specOf(it->second)) {
            existing.emplace_back(spec->since, &*it);
        }
    }
    std::sort(existing.begin(), existing.end());
    const std::size_t excess =
        existing.size() < maxDeclared ? 0 : existing.size() + 1 - maxDeclared;
    std::size_t removed = 0;
    for (std::size_t i = 0; i < existing.size() && removed < maxRemovedPerDecision; ++i) {
        const auto &[key, entry] = *existing[i].second;
        const bool isNeeded = m_decisions.contains(specOf(entry)->digest);
        const bool mayBeLost = entry.seenVersion.era < m_storeEra;
        if (isNeeded || mayBeLost || (i >= excess && !isExpired(entry))) {
            continue;
        }
        PlatformCall call;
        call.id = nextCallId++;
        call.operation = PlatformOperation::Delete;
        call.kind = m_kind;
        call.name = key.second;
        call.ifVersion = entry.seenVersion;
        calls.push_back(std::move(call));
        ++removed;
    }
}

TimePoint QuarantinePublisher::nextTick() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[digest, decision] : m_decisions) {
        next = decision.callId == 0 ? std::min(next, decision.nextAttempt) : next;
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
