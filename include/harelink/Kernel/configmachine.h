//===- harelink/Kernel/configmachine.h - Declared configuration -*- C++ -*-===//
///
/// \file
/// Follows the objects declared in the platform and keeps the last valid version of
/// each in force.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGMACHINE_H
#define HARELINK_KERNEL_CONFIGMACHINE_H

#include "harelink/Config/objectreader.h"
#include "harelink/Config/resources.h"
#include "harelink/Kernel/guards.h"
#include "harelink/Kernel/objecthistory.h"
#include "harelink/Kernel/outagedetector.h"
#include "harelink/Kernel/pagedlisting.h"
#include "harelink/Kernel/platform.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// An object that cannot be read or must not be used.
struct ConfigFault
{
    std::string kind;
    std::string name;
    Version version;
    std::string fault;
    bool inForceBefore = false; ///< An earlier version of the object stays in force.
    bool isUsed = false;        ///< The object is used without the invalid field.
};

/// The state of one declared object at a daemon.
struct ConfigEntry
{
    Version seenVersion;        ///< The highest version received.
    std::uint64_t firstEra = 0; ///< Of the first version received.
    bool deleted = false;
    std::string value;                            ///< Of seenVersion.
    Version inForce;                              ///< The version that is applied; 0 for none.
    std::vector<Resource> resources;              ///< The resources in force, but for an endpoint.
    std::shared_ptr<const EndpointSpec> endpoint; ///< The endpoint in force.
    std::string fault; ///< Why seenVersion is not in force; empty if it is.
    /// Of value, as its writer counts; std::nullopt if the writer states none.
    std::optional<std::uint64_t> generation;
    ObjectHistory history;    ///< Of the values received.
    WallTime latestStartedAt; ///< Of an endpoint: start of the latest incarnation seen.

    /// Returns the version in force, or the later one at which the store still holds it.
    [[nodiscard]] Version confirmedVersion() const
    {
        return fault.empty() && !deleted && !seenVersion.isRetained() ? seenVersion : inForce;
    }
    /// Returns whether a version of the object is in force that is no deletion.
    [[nodiscard]] bool isActive() const { return endpoint != nullptr || !resources.empty(); }
};

/// An endpoint instance that was replaced by the next one under its identity.
struct ReplacedEndpoint
{
    std::string name;
    bool keepsVersion = false; ///< The software version of both is known and the same.
};

/// An object for which the store holds an older value than the one that stays in force.
struct RetainedObject
{
    std::string kind;
    std::string name;
    Version stored;
    Version retained;
};

/// A deletion that is held back, since its object may have expired in an outage of the store.
struct HeldDeletion
{
    std::string kind;
    std::string name;
    Version version;
    Duration outage{}; ///< Length of the outage.
    Duration delay{};
};

/// The declared objects as one daemon knows them. Versions only increase. When the store has
/// returned from an older copy, an object keeps a newer value than the copy's until its writer has
/// written it again.
template <GuardPolicy G>
class BasicConfigTable
{
public:
    using Key = std::pair<std::string, std::string>; ///< Kind and name.

    /// \param reader parses the objects; must outlive the table.
    explicit BasicConfigTable(const ObjectReader &reader = defaultObjectReader())
        : m_reader(reader)
    {
    }
    /// Applies an update. Returns true if the configuration in force changed.
    bool apply(PlatformObject update);
    /// Applies a complete listing of \p kinds as of \p revision; objects that are missing from it
    /// are deleted. Returns true if the configuration in force changed.
    bool applyListing(const std::vector<PlatformObject> &objects, Version revision,
                      const std::vector<std::string> &kinds = resourceKinds());
    /// Returns deletions of the objects that are missing from a complete listing of \p kinds as of
    /// \p revision.
    [[nodiscard]] std::vector<PlatformObject>
    impliedDeletions(const std::vector<PlatformObject> &objects, Version revision,
                     const std::vector<std::string> &kinds) const;
    /// Returns the entry of the endpoint \p name, or null if it was never declared.
    [[nodiscard]] const ConfigEntry *endpoint(const std::string &name) const;
    /// Returns whether the endpoint \p name has restarted under another name since.
    [[nodiscard]] bool hasEnded(const std::string &name) const;
    /// Returns and clears the endpoints that have restarted under another name.
    [[nodiscard]] std::vector<ReplacedEndpoint> drainEndedEndpoints()
    {
        return std::exchange(m_endedEndpoints, {});
    }
    /// Sets the era of the store, and the lowest revision that it is known to have had in that era.
    /// Objects with a higher revision were written in it and are no copies. Returns true if objects
    /// must be listed again, since some were taken for copies wrongly.
    bool setEra(std::uint64_t era, std::uint64_t lowestRevision);
    /// Returns whether \p update holds a value that was replaced before the store returned from an
    /// older copy.
    [[nodiscard]] bool isOlderCopy(const PlatformObject &update) const;
    /// Returns and clears the objects that were retained.
    [[nodiscard]] std::vector<RetainedObject> drainRetained()
    {
        return std::exchange(m_retained, {});
    }
    /// Returns and clears the faults found. A fault that stays the same is reported once.
    [[nodiscard]] std::vector<ConfigFault> drainFaults() { return std::exchange(m_faults, {}); }
    /// Returns the number of objects that could not be read.
    [[nodiscard]] std::uint64_t unreadableObjects() const { return m_unreadable; }
    [[nodiscard]] const ObjectReader &reader() const { return m_reader; }
    /// Returns the resources in force.
    [[nodiscard]] ActiveResources resources() const;
    /// Returns the highest version in force.
    [[nodiscard]] Version revision() const;
    [[nodiscard]] const std::map<Key, ConfigEntry> &entries() const { return m_entries; }
    /// Returns the objects that were updated since the last call, to be forwarded to peers.
    [[nodiscard]] std::vector<PlatformObject> drainUpdates();
    /// Forgets which objects were updated.
    void discardUpdates() { m_updates.clear(); }
    /// Returns whether an object other than an endpoint has changed since the last call.
    [[nodiscard]] bool drainDeclarationsChanged()
    {
        return std::exchange(m_declarationsChanged, false);
    }
    /// Returns and clears the endpoints that have declared that they are leaving.
    [[nodiscard]] std::vector<std::string> drainLeavingEndpoints()
    {
        return std::exchange(m_leavingEndpoints, {});
    }
    /// Returns a hash over the versions seen, equal for equal versions. It is maintained with each
    /// update instead of computed from all entries, since a relay reads it at each heartbeat that
    /// it receives.
    [[nodiscard]] std::uint64_t summary() const { return m_summary; }
    /// Buckets into which the objects are divided by a hash of their kind and name.
    static constexpr std::size_t bucketCount = 1024;
    using Entry = typename std::map<Key, ConfigEntry>::value_type;
    /// Returns a hash over the versions seen of each bucket; 0 for an empty one.
    [[nodiscard]] const std::vector<std::uint64_t> &bucketHashes() const { return m_bucketHashes; }
    /// Returns the entries of a bucket, in the order in which they were first seen.
    [[nodiscard]] const std::vector<const Entry *> &bucket(std::size_t index) const
    {
        return m_buckets.at(index);
    }
    /// Returns the bucket of an object.
    [[nodiscard]] static std::size_t bucketOf(const Key &key);
    /// Returns whether a peer that has seen \p peerVersions has seen a newer version of an object.
    [[nodiscard]] bool isBehind(const std::map<Key, Version> &peerVersions) const;
    /// Returns the number of updates dropped because a newer version had been seen.
    [[nodiscard]] std::uint64_t droppedUpdates() const { return m_droppedUpdates; }

private:
    [[nodiscard]] static std::uint64_t hashOf(const Key &key, const Version &seen);
    void addToHashes(const Key &key, std::uint64_t difference);
    using Generation = std::optional<std::uint64_t>;
    [[nodiscard]] Generation generationOf(const PlatformObject &update) const;
    [[nodiscard]] bool isOlderCopy(const PlatformObject &update, const Generation &generation,
                                   const ConfigEntry &entry) const;
    [[nodiscard]] bool mayBeCopy(const Version &version) const;
    [[nodiscard]] bool isRetainedWrongly(const Version &version, const ConfigEntry &entry) const;
    [[nodiscard]] static bool isNewerThanCopy(const PlatformObject &update,
                                              const Generation &generation,
                                              const ConfigEntry &entry);
    [[nodiscard]] static bool isUnchangedCopy(const PlatformObject &update,
                                              const ConfigEntry &entry);
    void setSeenVersion(const Key &key, ConfigEntry &entry, const Version &version);
    void retain(const PlatformObject &update, ConfigEntry &entry);
    bool applyDeletion(ConfigEntry &entry);
    bool applyFault(const PlatformObject &update, ConfigEntry &entry, std::string fault,
                    const std::string &faultBefore);
    bool recordIncarnation(const PlatformObject &update, ConfigEntry &entry,
                           const EndpointSpec &spec);

    const ObjectReader &m_reader;
    std::map<Key, ConfigEntry> m_entries;
    /// By endpoint name, for all incarnations seen. The entries are never erased.
    absl::flat_hash_map<std::string, const ConfigEntry *> m_entriesByEndpoint;
    std::set<Key> m_updates; ///< Objects updated since drainUpdates().
    std::vector<ReplacedEndpoint> m_endedEndpoints;
    std::vector<std::string> m_leavingEndpoints; ///< That have declared it themselves.
    bool m_declarationsChanged = false;          ///< Objects that are no endpoints.
    std::vector<ConfigFault> m_faults;
    std::vector<RetainedObject> m_retained;
    std::uint64_t m_era = 0;
    std::uint64_t m_lowestRevision = UINT64_MAX; ///< That the store is known to have had in m_era.
    std::uint64_t m_summary = 0; ///< Sum of the entries' hashes, so independent of their order.
    std::vector<std::uint64_t> m_bucketHashes = std::vector<std::uint64_t>(bucketCount);
    std::vector<std::vector<const Entry *>> m_buckets =
        std::vector<std::vector<const Entry *>>(bucketCount);
    std::uint64_t m_droppedUpdates = 0;
    std::uint64_t m_unreadable = 0;
};

/// The configuration table of the product.
using ConfigTable = BasicConfigTable<AllGuards>;

/// Keeps a configuration table up to date with the platform by listing and watching.
template <GuardPolicy G>
class BasicConfigWatcher
{
public:
    /// \param clock must outlive the watcher.
    /// \param kinds the kinds of objects that the watcher follows.
    BasicConfigWatcher(const Clock &clock, BasicConfigTable<G> &table,
                       std::vector<std::string> kinds = resourceKinds());
    /// Adds the next call to \p calls if it is due.
    void tick(std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    /// Handles the result of a call. Returns true if the configuration in force changed.
    bool handle(const PlatformResult &result);
    /// Lets the platform soon report all updates up to \p time, by a call that does not wait for
    /// later ones. The answer of a watch that waits is not awaited.
    void poll(TimePoint time);
    /// Returns the time up to which the platform has reported all updates.
    [[nodiscard]] TimePoint answeredUntil() const { return m_answeredCallMadeAt; }
    /// Returns whether this watcher made the call \p callId.
    [[nodiscard]] bool owns(std::uint64_t callId) const { return m_callId == callId; }
    /// Returns whether the platform answered the last call of this watcher.
    [[nodiscard]] bool connected() const { return m_connected; }
    /// Returns whether the platform answered the last call, and reported all updates up to
    /// \p time.
    [[nodiscard]] bool answeredSince(TimePoint time) const
    {
        return m_connected && m_answeredCallMadeAt >= time;
    }
    /// Returns whether this watcher follows objects of \p kind.
    [[nodiscard]] bool follows(const std::string &kind) const
    {
        return std::find(m_kinds.begin(), m_kinds.end(), kind) != m_kinds.end();
    }
    /// Returns whether this watcher follows objects of \p kind and no others.
    [[nodiscard]] bool followsOnly(const std::string &kind) const
    {
        return m_kinds.size() == 1 && m_kinds.front() == kind;
    }
    /// Returns whether the last call to the platform, of this watcher or not, failed.
    [[nodiscard]] bool isPlatformUnavailable() const { return m_isPlatformUnavailable; }
    /// Returns whether a complete listing has been received.
    [[nodiscard]] bool synced() const { return m_synced; }
    [[nodiscard]] TimePoint nextTick() const;
    /// Records the outcome of a call to the platform, of this watcher or not.
    ///
    /// \param dueAt when the platform would have answered a call of a watcher at the latest;
    ///     std::nullopt for other calls. Only watchers call again at once, which tells whether the
    ///     platform fails.
    void recordPlatformAnswer(PlatformOutcome outcome, std::optional<TimePoint> dueAt);
    /// Returns when the platform would answer the call in progress at the latest.
    [[nodiscard]] TimePoint answerDueAt() const { return m_callMadeAt + m_callWait; }
    /// Applies the updates whose grace period is over. Returns true if the configuration in force
    /// changed.
    bool applyDelayedUpdates();
    /// Lists the objects anew, since the store has returned from an older copy. Does not wait for
    /// the call in progress.
    void restart();
    /// Returns and clears the names of the objects that the store has lost.
    [[nodiscard]] std::vector<std::string> drainLostObjects()
    {
        return std::exchange(m_lostObjects, {});
    }
    /// Returns and clears the deletions that were held back since the last call.
    [[nodiscard]] std::vector<HeldDeletion> drainHeldDeletions()
    {
        return std::exchange(m_heldDeletions, {});
    }

private:
    [[nodiscard]] bool awaitsAnswer() const;
    void backOff();
    void callAfterOutage(TimePoint silentSince);
    [[nodiscard]] Duration watchWait() const;
    [[nodiscard]] Duration updatePause() const;
    [[nodiscard]] bool addPage(const PlatformResult &page);
    bool handleListing();
    bool handleUpdate(const PlatformObject &update);
    [[nodiscard]] bool mayHaveLapsed(const PlatformObject &update) const;
    void delayDeletion(const PlatformObject &deletion, TimePoint dueAt);
    [[nodiscard]] bool isLost(const PlatformObject &deletion) const;
    void delayCopy(const PlatformObject &copy);
    void delayLost(const PlatformObject &deletion);
    bool applyDelayedDeletions();

    const Clock &m_clock;
    BasicConfigTable<G> &m_table;
    std::vector<std::string> m_kinds;
    PagedListing m_pages; ///< Of the listing in progress.
    /// An update that is applied when its object has not been written again until then.
    struct DelayedUpdate
    {
        PlatformObject update;
        TimePoint dueAt;
    };
    /// Deletions, by name, of endpoints that may only have lapsed in an outage. What happens later
    /// does not delay them further: an endpoint that has left would get work without an end.
    std::map<std::string, DelayedUpdate> m_delayedDeletions;
    std::vector<HeldDeletion> m_heldDeletions; ///< For drainHeldDeletions().
    /// Copies that are older than the values in force, and deletions of objects that the store has
    /// lost.
    std::map<std::pair<std::string, std::string>, DelayedUpdate> m_delayedUpdates;
    std::vector<std::string> m_lostObjects;
    bool m_isPlatformUnavailable = false; ///< The last call to it failed.
    /// When the first of the last calls got no answer; max() if the last one got any.
    TimePoint m_silentSince = TimePoint::max();
    OutageDetector m_outages;
    TimePoint m_returnedAt = TimePoint::min(); ///< When the last outage or era of the store ended.
    Version m_since;
    bool m_mustList = true;
    bool m_isWatchGone = false; ///< The last watch got no answer but Gone.
    /// The store keeps its history for less time than a listing takes, so that a watch from the
    /// first page is too late after the last one.
    bool m_pollsBetweenPages = false;
    bool m_mustPollUpdates = false; ///< Before the next page.
    bool m_synced = false;
    bool m_connected = false;
    std::uint64_t m_callId = 0;
    TimePoint m_callMadeAt;
    Duration m_callWait{}; ///< For which the platform may hold that call.
    /// All updates up to this time have been reported.
    TimePoint m_answeredCallMadeAt = TimePoint::min();
    bool m_listing = false;
    bool m_isWaiting = false; ///< The call in progress waits for updates.
    bool m_mustPoll = false;  ///< The next call does not.
    TimePoint m_polledAt = TimePoint::min();
    TimePoint m_nextCall;
    Duration m_backOff;
};

/// The configuration watcher of the product.
using ConfigWatcher = BasicConfigWatcher<AllGuards>;

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGMACHINE_H
