//===- harelink/Kernel/snapshot.h - Configuration in force ------*- C++ -*-===//
///
/// \file
/// The immutable view of the declared resources that workers read under RCU.
/// Load counters live on from one snapshot to the next.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_SNAPSHOT_H
#define HARELINK_KERNEL_SNAPSHOT_H

#include "harelink/Config/resources.h"
#include "harelink/Kernel/load.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// An endpoint and its counters.
struct EndpointEntry
{
    EndpointSpec spec;
    /// Shared with the snapshots before and after this one.
    std::shared_ptr<EndpointLoad> load;
    bool isDrained = false; ///< Its data centre gets nothing new.
    std::string region;     ///< Empty where it is not known.
};

/// The regions in which a request may be served.
struct RegionLimit
{
    /// Those that its route and its account name; empty for all.
    const std::vector<std::string> &routeRegions;
    const std::vector<std::string> &accountRegions;

    /// Whether \p region is among them. One that is not known is only where none is named.
    [[nodiscard]] bool allows(const std::string &region) const;
};

/// Whether \p entry may get new work under \p limit as far as operators and endpoints say, now
/// or later.
[[nodiscard]] bool mayServe(const EndpointEntry &entry, const RegionLimit &limit);

/// A client account and its counters.
struct AccountEntry
{
    ClientAccountSpec spec;
    /// By pool, as far as this daemon and its peers have told.
    absl::flat_hash_map<std::string, std::shared_ptr<AccountLoad>> loads;
};

/// A pool with its endpoints, those of the own data centre first.
struct PoolEntry
{
    PoolSpec spec;
    std::vector<EndpointEntry> endpoints;
    std::size_t localCount = 0; ///< How many at the front are of the own data centre.
    int totalSlots = 0;         ///< Of those whose data centre is not drained.
    /// Shared with the snapshots before and after this one; null where the pool does not
    /// work in pieces.
    std::shared_ptr<PieceLoad> pieceLoad;
    /// Of a large pool that works in pieces: the names of its parts, one for each data
    /// centre, each with a batcher and a load of its own. Empty where it is not divided.
    std::vector<std::string> partitions;
    std::string dataCentre; ///< Of such a part, where all its endpoints stand; else empty.
    /// Points on a ring, each an endpoint's index; empty where prompts are not kept. Prompts
    /// of endpoints in a drained data centre have other homes, all at once.
    std::vector<std::pair<std::uint64_t, std::size_t>> promptRing;

    /// The endpoint where prompts that begin with what \p prefix is the hash of are
    /// kept: the same at every daemon, and for most prefixes still the same when
    /// an endpoint is added. Null where prompts are not kept.
    [[nodiscard]] const EndpointEntry *preferredEndpoint(std::uint64_t prefix) const;
    /// The endpoint called \p name, or null.
    [[nodiscard]] const EndpointEntry *find(const std::string &name) const;
    /// Whether any endpoint that \p limit allows may get new work as far as operators and endpoints
    /// say: what waits for a pool where none may, waits in vain.
    [[nodiscard]] bool hasServingEndpoint(const RegionLimit &limit) const;
};

/// The configuration in force.
struct Snapshot
{
    bool ready = false; ///< False until a configuration has been seen.
    /// Shared with the snapshots before and after this one.
    std::shared_ptr<DaemonLoad> daemon = std::make_shared<DaemonLoad>();
    std::uint64_t revision = 0; ///< Highest version of any object in it.
    absl::flat_hash_map<std::string, PipelineSpec> pipelines;
    absl::flat_hash_map<std::string, AccountEntry> accounts;
    absl::flat_hash_map<std::string, PoolEntry> pools;
    absl::flat_hash_map<std::string, PoolEntry> poolPartitions; ///< See PoolEntry::partitions.
    std::string dataCentre;                                     ///< Of this daemon.
    /// Whose endpoints get nothing new; sorted.
    std::set<std::string> drainedDataCentres;
    std::vector<ModelVersionSpec> modelVersions;
    /// By host, the path prefixes with their pipelines, longest first.
    absl::flat_hash_map<std::string, std::vector<std::pair<std::string, std::string>>> routes;
    absl::flat_hash_map<std::string, std::string> accountsByKey; ///< By API key.
    absl::flat_hash_map<std::string, std::string> poolsByEndpoint;
    /// By digest, until when such requests are not run.
    absl::flat_hash_map<Hash128, WallTime> quarantinedUntil;

    /// The pipeline of the longest path prefix of \p host that begins \p path, or null.
    [[nodiscard]] const PipelineSpec *route(const std::string &host, const std::string &path) const;
    /// The pool of the endpoint called \p name, or null.
    [[nodiscard]] const PoolEntry *poolOfEndpoint(const std::string &name) const;
    /// The endpoint called \p name of any pool, or null.
    [[nodiscard]] const EndpointEntry *endpoint(const std::string &name) const;
    [[nodiscard]] const PipelineSpec *pipeline(const std::string &name) const;
    /// How long from \p now on requests with \p digest are not run; zero where they are.
    [[nodiscard]] std::chrono::milliseconds quarantineLeft(const Hash128 &digest,
                                                           WallTime now) const;
    [[nodiscard]] const AccountEntry *account(const std::string &name) const;
    [[nodiscard]] const PoolEntry *pool(const std::string &name) const;
    /// The pool or the part of a pool called \p name, or null.
    [[nodiscard]] const PoolEntry *poolOrPartition(const std::string &name) const;
};

/// Marks the endpoint called \p name as leaving, where it is declared.
void markLeaving(const Snapshot &snapshot, const std::string &name);

/// Builds the snapshot of \p resources for a daemon in \p dataCentre.
///
/// \param previous whose counters are carried over; may be null.
[[nodiscard]] std::unique_ptr<const Snapshot> buildSnapshot(const std::vector<Resource> &resources,
                                                            std::uint64_t revision,
                                                            const std::string &dataCentre,
                                                            const Snapshot *previous);

} // namespace harelink

#endif // HARELINK_KERNEL_SNAPSHOT_H
