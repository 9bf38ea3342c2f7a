//===- harelink/Kernel/configmachine.h - Configuration ----------*- C++ -*-===//
///
/// \file
/// Follows the declared resources and keeps the last good of each in force.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGMACHINE_H
#define HARELINK_KERNEL_CONFIGMACHINE_H

#include "harelink/Config/objectreader.h"
#include "harelink/Config/resources.h"
#include "harelink/Kernel/guards.h"
#include "harelink/Kernel/platform.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// An object that cannot be read, or is not to be used.
struct ConfigFault
{
    std::string kind;
    std::string name;
    Version version = 0;
    std::string fault;
    bool inForceBefore = false; ///< An earlier version of it stays in force.
};

/// What a daemon holds of one declared object.
struct ConfigEntry
{
    Version seen = 0; ///< The highest version of which there was news.
    bool deleted = false;
    std::string value;               ///< Of the version seen.
    Version inForce = 0;             ///< The version that is applied; 0 for none.
    std::vector<Resource> resources; ///< As applied: the last good ones.
    std::string fault;               ///< Why the version seen is not in force; empty where it is.
    WallTime latestStartedAt;        ///< Of an endpoint: the beginning of its newest life seen.
};

/// The declared objects of one daemon. Versions only rise.
template <GuardPolicy G>
class BasicConfigTable
{
public:
    using Key = std::pair<std::string, std::string>; // Kind and name.

    /// \param reader reads the objects; outlives the table.
    explicit BasicConfigTable(const ObjectReader &reader = ownObjectReader())
        : m_reader(reader)
    {
    }
    /// Takes in news; true where what is in force changed.
    bool apply(const PlatformObject &news);
    /// Takes in a whole listing of \p kinds as of \p revision: what it lacks was deleted.
    bool applyListing(const std::vector<PlatformObject> &objects, Version revision,
                      const std::vector<std::string> &kinds = resourceKinds());
    /// The deletions that a listing of \p kinds as of \p revision brings by what it lacks.
    [[nodiscard]] std::vector<PlatformObject>
    impliedDeletions(const std::vector<PlatformObject> &objects, Version revision,
                     const std::vector<std::string> &kinds) const;
    /// What is held of the endpoint called \p name; null where it was never declared.
    [[nodiscard]] const ConfigEntry *endpoint(const std::string &name) const;
    /// Whether the endpoint called \p name has started again under another name since.
    [[nodiscard]] bool hasEnded(const std::string &name) const;
    /// The endpoints that have ended so since the last call.
    [[nodiscard]] std::vector<std::string> drainEndedEndpoints()
    {
        return std::exchange(m_ended, {});
    }
    /// The faults found since the last call; one that stays the same is told once.
    [[nodiscard]] std::vector<ConfigFault> drainFaults() { return std::exchange(m_faults, {}); }
    /// How many objects could not be read.
    [[nodiscard]] std::uint64_t unreadableObjects() const { return m_unreadable; }
    [[nodiscard]] const ObjectReader &reader() const { return m_reader; }
    /// The resources in force.
    [[nodiscard]] std::vector<Resource> resources() const;
    /// The highest version in force.
    [[nodiscard]] Version revision() const;
    [[nodiscard]] const std::map<Key, ConfigEntry> &entries() const { return m_entries; }
    /// The news that were taken in since the last call, for passing on.
    [[nodiscard]] std::vector<PlatformObject> drainUpdates() { return std::exchange(m_news, {}); }
    /// A hash over the versions seen, the same for the same versions. It is asked for at each
    /// heartbeat that a relay hears, so it is kept and not made from all entries.
    [[nodiscard]] std::uint64_t summary() const { return m_summary; }
    /// How often older news came in and was dropped.
    [[nodiscard]] std::uint64_t droppedUpdates() const { return m_droppedUpdates; }

private:
    [[nodiscard]] static std::uint64_t hashOf(const Key &key, Version seen);
    bool applyDeletion(ConfigEntry &entry);
    bool applyFault(const PlatformObject &news, ConfigEntry &entry, std::string fault,
                    const std::string &faultBefore);
    bool takeLife(const PlatformObject &news, ConfigEntry &entry,
                  const std::vector<Resource> &read);

    const ObjectReader &m_reader;
    std::map<Key, ConfigEntry> m_entries;
    std::map<std::string, std::string> m_objectsByEndpoint; ///< Names of its lives, all seen.
    std::vector<PlatformObject> m_news;
    std::vector<std::string> m_ended;
    std::vector<ConfigFault> m_faults;
    std::uint64_t m_summary = 0; ///< The sum over entries, so their order does not matter.
    std::uint64_t m_droppedUpdates = 0;
    std::uint64_t m_unreadable = 0;
};

/// The table of the product.
using ConfigTable = BasicConfigTable<AllGuards>;

/// Keeps a table up to date by listing and watching.
template <GuardPolicy G>
class BasicConfigWatcher
{
public:
    /// \param clock outlives the watcher.
    /// \param kinds what it follows.
    BasicConfigWatcher(const Clock &clock, BasicConfigTable<G> &table,
                       std::vector<std::string> kinds = resourceKinds());
    /// Makes the next call where it is due.
    void tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    /// Takes in a result; true where what is in force changed.
    bool handle(const PlatformResult &result);
    /// Whether \p callId is of this watcher.
    [[nodiscard]] bool owns(std::uint64_t callId) const { return m_callId == callId; }
    /// Whether the platform answered the last call.
    [[nodiscard]] bool connected() const { return m_connected; }
    /// Whether the platform answered the last call, and one that was made at \p time or later.
    [[nodiscard]] bool answeredSince(TimePoint time) const
    {
        return m_connected && m_heardAt >= time;
    }
    /// Whether it follows objects of \p kind.
    [[nodiscard]] bool follows(const std::string &kind) const
    {
        return std::find(m_kinds.begin(), m_kinds.end(), kind) != m_kinds.end();
    }
    /// Whether it follows objects of \p kind and no others.
    [[nodiscard]] bool followsOnly(const std::string &kind) const
    {
        return m_kinds.size() == 1 && m_kinds.front() == kind;
    }
    /// Whether the last call to the platform, of this watcher or not, failed.
    [[nodiscard]] bool isPlatformUnreachable() const { return m_away; }
    /// Whether a whole listing has been seen.
    [[nodiscard]] bool synced() const { return m_synced; }
    [[nodiscard]] TimePoint nextTick() const;
    /// Takes in whether the platform answered any call, of this watcher or not.
    void recordPlatformAnswer(bool answered);
    /// Applies the deletions that were held back long enough; true where what is in
    /// force changed.
    bool applyDelayedDeletions();

private:
    void backOff();
    [[nodiscard]] Duration watchWait() const;
    bool takeListing(const PlatformResult &result);
    bool take(const PlatformObject &news);
    [[nodiscard]] bool holdsBack(const PlatformObject &news) const;

    const Clock &m_clock;
    BasicConfigTable<G> &m_table;
    std::vector<std::string> m_kinds;
    std::vector<PlatformObject> m_listed; ///< Of a listing that comes in several answers.
    std::string m_continueAfter;          ///< Its last name so far.
    /// Deletions of endpoints that may only have lapsed while the platform was away.
    std::map<std::string, PlatformObject> m_held;
    bool m_away = false;    ///< The last call to the platform failed.
    TimePoint m_regainedAt; ///< When it answered again after that.
    Version m_since = 0;
    bool m_listNext = true;
    bool m_synced = false;
    bool m_connected = false;
    std::uint64_t m_callId = 0;
    TimePoint m_askedAt;
    TimePoint m_heardAt = TimePoint::min(); ///< When the last call that was answered was made.
    bool m_listing = false;
    TimePoint m_notBefore;
    Duration m_backOff;
};

/// The watcher of the product.
using ConfigWatcher = BasicConfigWatcher<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGMACHINE_H
