//===- harelink/Kernel/snapshot.h - Active configuration --------*- C++ -*-===//
///
/// \file
/// The immutable view of the declared resources that workers read under RCU.
/// Load counters are shared by consecutive snapshots.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_SNAPSHOT_H
#define HARELINK_KERNEL_SNAPSHOT_H

#include "harelink/Config/resources.h"
#include "harelink/Kernel/load.h"
#include "harelink/Kernel/poolpath.h"
#include "harelink/Kernel/streams.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace harelink {

/// An endpoint and its load counters.
struct EndpointEntry
{
    std::shared_ptr<const EndpointSpec> spec; ///< Never null.
    /// Shared with the previous and the next snapshot.
    std::shared_ptr<EndpointLoad> load;
    std::uint64_t placementHash = 0; ///< Of the name that survives a restart.
    bool isDrained = false;          ///< Its data centre gets no new work.
    std::string region;              ///< Empty if unknown.
};

/// The endpoints that may serve a request.
struct EndpointFilter
{
    /// Regions that are allowed by its route and by its account; empty for all. An endpoint whose
    /// region is unknown is allowed only if no list names any region.
    const std::vector<std::string> &routeRegions;
    const std::vector<std::string> &accountRegions;
    /// Origin of the stream that the request continues; null if it continues none.
    const StreamOrigin *origin = nullptr;

    /// Returns whether \p entry is allowed.
    [[nodiscard]] bool allows(const EndpointEntry &entry) const;
};

/// Returns whether \p entry may get new work under \p filter, now or later: it is neither leaving
/// nor in a drained data centre.
[[nodiscard]] bool mayServe(const EndpointEntry &entry, const EndpointFilter &filter);

/// A client account and its load counters.
struct AccountEntry
{
    ClientAccountSpec spec;
    /// By pool; the load of this daemon and the load reported by its peers.
    absl::flat_hash_map<std::string, std::shared_ptr<AccountLoad>> loads;
};

/// A pool with its endpoints, those of the own data centre first.
struct PoolEntry
{
    PoolSpec spec;
    std::vector<EndpointEntry> endpoints;
    std::size_t localCount = 0; ///< Leading endpoints that are in the own data centre.
    int totalSlots = 0;         ///< Of endpoints whose data centre is not drained.
    /// Shared with the previous and the next snapshot; null if the pool does not work in
    /// pieces.
    std::shared_ptr<PieceLoad> pieceLoad;
    /// Shared with the previous and the next snapshot; null in a pool that no snapshot holds.
    std::shared_ptr<PoolPath> path;
    /// Shared with the previous and the next snapshot, and with the partitions; null in a pool that
    /// no snapshot holds.
    std::shared_ptr<PoolLoadReports> loadReports;
    /// Names of the partitions of a large pool that works in pieces: one per data centre, each
    /// with its own batcher and load. Empty if the pool is not partitioned.
    std::vector<std::string> partitions;
    std::string dataCentre; ///< Of a partition: that of all its endpoints; else empty.

    /// Returns the endpoint that caches prompts whose prefix has the hash \p prefix, or null if
    /// the pool does not cache prompts or all its endpoints are drained. Selected by rendezvous
    /// hashing: all daemons select the same one, and adding or draining an endpoint moves only its
    /// own prefixes. Linear in the number of endpoints.
    [[nodiscard]] const EndpointEntry *preferredEndpoint(std::uint64_t prefix) const;
    /// Returns the endpoint named \p name, or null.
    [[nodiscard]] const EndpointEntry *find(const std::string &name) const;
    /// Returns whether this daemon has no path to the endpoints, but peers may.
    [[nodiscard]] bool isPathLost() const { return path != nullptr && path->isLost(); }
    /// Returns whether any endpoint may get new work under \p filter; see mayServe(). If not,
    /// requests that wait for the pool can never be sent.
    [[nodiscard]] bool hasServingEndpoint(const EndpointFilter &filter) const;
};

/// The active configuration.
struct Snapshot
{
    bool ready = false; ///< False until a configuration was received.
    /// Shared with the previous and the next snapshot.
    std::shared_ptr<DaemonLoad> daemon = std::make_shared<DaemonLoad>();
    std::uint64_t revision = 0; ///< Highest version of any object in the snapshot.
    absl::flat_hash_map<std::string, PipelineSpec> pipelines;
    absl::flat_hash_map<std::string, AccountEntry> accounts;
    absl::flat_hash_map<std::string, PoolEntry> pools;
    absl::flat_hash_map<std::string, PoolEntry> poolPartitions; ///< See PoolEntry::partitions.
    std::string dataCentre;                                     ///< Of this daemon.
    /// Data centres whose endpoints get no new work.
    std::set<std::string> drainedDataCentres;
    std::vector<ModelVersionSpec> modelVersions;
    /// By host: path prefixes and the names of their pipelines, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::pair<std::string, std::string>>> routes;
    absl::flat_hash_map<std::string, std::string> accountsByKey; ///< By API key.
    /// By name; they belong to the entries of the pools.
    absl::flat_hash_map<std::string_view, const EndpointSpec *> endpointSpecs;
    /// By request digest: end of the quarantine.
    absl::flat_hash_map<Hash128, WallTime> quarantinedUntil;

    /// Returns the pipeline of the longest prefix of \p path that is declared for \p host, or
    /// null.
    [[nodiscard]] const PipelineSpec *route(const std::string &host, const std::string &path) const;
    /// Returns the pool of the endpoint named \p name, or null.
    [[nodiscard]] const PoolEntry *poolOfEndpoint(const std::string &name) const;
    /// Returns the endpoint named \p name of any pool, or null.
    [[nodiscard]] const EndpointEntry *endpoint(const std::string &name) const;
    [[nodiscard]] const PipelineSpec *pipeline(const std::string &name) const;
    /// Returns the time left of the quarantine of requests with \p digest; zero if there is none.
    [[nodiscard]] std::chrono::milliseconds quarantineLeft(const Hash128 &digest,
                                                           WallTime now) const;
    [[nodiscard]] const AccountEntry *account(const std::string &name) const;
    [[nodiscard]] const PoolEntry *pool(const std::string &name) const;
    /// Returns the pool or pool partition named \p name, or null.
    [[nodiscard]] const PoolEntry *poolOrPartition(const std::string &name) const;
};

/// Marks the endpoint named \p name as leaving; does nothing if it is not declared.
void markLeaving(const Snapshot &snapshot, const std::string &name);

/// Builds the snapshot of \p active for a daemon in \p dataCentre.
///
/// \param previous Source of the load counters to share; may be null.
[[nodiscard]] std::unique_ptr<const Snapshot> buildSnapshot(const ActiveResources &active,
                                                            std::uint64_t revision,
                                                            const std::string &dataCentre,
                                                            const Snapshot *previous);
/// \overload
[[nodiscard]] std::unique_ptr<const Snapshot> buildSnapshot(const std::vector<Resource> &resources,
                                                            std::uint64_t revision,
                                                            const std::string &dataCentre,
                                                            const Snapshot *previous);

} // namespace harelink

#endif // HARELINK_KERNEL_SNAPSHOT_H
