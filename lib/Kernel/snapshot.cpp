//===- snapshot.cpp - Active configuration --------------------------------===//

#include "harelink/Kernel/snapshot.h"

#include "harelink/Support/hash.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace harelink {
namespace {

/// Minimum number of endpoints for which a pool that works in pieces is partitioned by data
/// centre. One batcher for a larger pool would overload the CPU of a small host; with fewer
/// endpoints, the partitions would be too uneven. docs/DESIGN.md has the measurements.
constexpr std::size_t minPartitionedEndpoints = 9;

template <typename Map>
const typename Map::mapped_type *findIn(const Map &map, const std::string &name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

/// Builds a snapshot from resources.
class Builder
{
public:
    Builder(Snapshot &snapshot, const Snapshot *previous)
        : m_snapshot(snapshot)
        , m_previous(previous)
    {
    }

    void operator()(const PipelineSpec &spec)
    {
        m_snapshot.pipelines[spec.name] = spec;
        if (spec.route) {
            m_snapshot.routes[spec.route->host].emplace_back(spec.route->pathPrefix, spec.name);
        }
    }
    void operator()(const ClientAccountSpec &spec)
    {
        m_snapshot.accounts[spec.name].spec = spec;
        for (const std::string &key : spec.apiKeys) {
            m_snapshot.accountsByKey[key] = spec.name;
        }
    }
    void operator()(const ModelVersionSpec &spec) { m_snapshot.modelVersions.push_back(spec); }

    void operator()(const PoolSpec &spec) { m_snapshot.pools[spec.name].spec = spec; }

    void operator()(const EndpointSpec &spec)
    {
        m_endpoints.push_back(std::make_shared<const EndpointSpec>(spec));
    }
    void addEndpoints(const std::vector<std::shared_ptr<const EndpointSpec>> &endpoints)
    {
        m_endpoints.insert(m_endpoints.end(), endpoints.begin(), endpoints.end());
    }

    void operator()(const QuarantineSpec &spec)
    {
        m_snapshot.quarantinedUntil[spec.digest] = spec.until;
    }

    void operator()(const DataCentreSpec &spec) { m_regions[spec.name] = spec.region; }

    void operator()(const DataCentreDrainSpec &spec)
    {
        m_snapshot.drainedDataCentres.insert(spec.dataCentre);
    }

    void finish(const std::string &dataCentre)
    {
        m_snapshot.dataCentre = dataCentre;
        distributeEndpoints(dataCentre);
        for (auto &[host, prefixes] : m_snapshot.routes) {
            std::sort(prefixes.begin(), prefixes.end(),
                      [](const auto &a, const auto &b) { return a.first.size() > b.first.size(); });
        }
        for (auto &[name, account] : m_snapshot.accounts) {
            attachAccountLoads(name, account);
        }
    }

private:
    /// Adds the endpoints to their pools, those of \p dataCentre first.
    void distributeEndpoints(const std::string &dataCentre)
    {
        const auto isLocal = [&dataCentre](const auto &spec) {
            return spec->dataCentre == dataCentre;
        };
        const auto byName = [](const auto &a, const auto &b) { return a->name < b->name; };
        // They come in the order of their objects, which usually is that of their names.
        if (!std::is_sorted(m_endpoints.begin(), m_endpoints.end(), byName)) {
            std::sort(m_endpoints.begin(), m_endpoints.end(), byName);
        }
        std::stable_partition(m_endpoints.begin(), m_endpoints.end(), isLocal);
        m_snapshot.endpointSpecs.reserve(m_endpoints.size());
        for (const std::shared_ptr<const EndpointSpec> &spec : m_endpoints) {
            const auto pool = m_snapshot.pools.find(spec->pool);
            if (pool == m_snapshot.pools.end()) {
                continue;
            }
            const bool isDrained = m_snapshot.drainedDataCentres.contains(spec->dataCentre);
            const auto region = m_regions.find(spec->dataCentre);
            pool->second.endpoints.push_back(
                {spec, loadOf(spec), hash64(spec->stableName()), isDrained,
                 region == m_regions.end() ? std::string() : region->second});
            pool->second.localCount += isLocal(spec) ? 1 : 0;
            pool->second.totalSlots += isDrained ? 0 : spec->slots;
            m_snapshot.endpointSpecs[spec->name] = spec.get();
            if (spec->leaving) {
                pool->second.endpoints.back().load->leaving.store(true, std::memory_order_relaxed);
            }
        }
        for (auto &[name, pool] : m_snapshot.pools) {
            attachPath(name, pool);
            attachLoadReports(name, pool);
            if (pool.spec.pieces) {
                attachPieceLoad(name, pool);
                createPartitions(name, pool);
            }
        }
    }

    void attachPath(const std::string &name, PoolEntry &pool) const
    {
        const PoolEntry *before =
            m_previous == nullptr ? nullptr : m_previous->poolOrPartition(name);
        pool.path = before != nullptr ? before->path : std::make_shared<PoolPath>();
    }

    void attachLoadReports(const std::string &name, PoolEntry &pool) const
    {
        const PoolEntry *before = m_previous == nullptr ? nullptr : m_previous->pool(name);
        pool.loadReports =
            before != nullptr ? before->loadReports : std::make_shared<PoolLoadReports>();
    }

    void attachPieceLoad(const std::string &name, PoolEntry &pool) const
    {
        const PoolEntry *before =
            m_previous == nullptr ? nullptr : m_previous->poolOrPartition(name);
        const bool isReused = before != nullptr && before->pieceLoad != nullptr;
        pool.pieceLoad = isReused ? before->pieceLoad : std::make_shared<PieceLoad>();
    }

    /// Creates the partitions of a large pool.
    void createPartitions(const std::string &name, PoolEntry &pool)
    {
        if (pool.endpoints.size() < minPartitionedEndpoints) {
            return;
        }
        std::map<std::string, PoolEntry> partitions;
        for (const EndpointEntry &endpoint : pool.endpoints) {
            PoolEntry &partition = partitions[endpoint.spec->dataCentre];
            partition.endpoints.push_back(endpoint);
            partition.totalSlots += endpoint.isDrained ? 0 : endpoint.spec->slots;
        }
        if (partitions.size() < 2) {
            return;
        }
        for (auto &[dataCentre, partition] : partitions) {
            const std::string partitionName = fmt::format("{}/{}", name, dataCentre);
            partition.spec = pool.spec;
            partition.loadReports = pool.loadReports;
            partition.dataCentre = dataCentre;
            partition.localCount =
                dataCentre == m_snapshot.dataCentre ? partition.endpoints.size() : 0;
            attachPath(partitionName, partition);
            attachPieceLoad(partitionName, partition);
            pool.partitions.push_back(partitionName);
            m_snapshot.poolPartitions[partitionName] = std::move(partition);
        }
    }

    /// Returns the previous entry of the endpoint \p spec, or null. Endpoints are added in the
    /// order of the previous snapshot, so the one after the last found is the likeliest.
    const EndpointEntry *findPrevious(const std::shared_ptr<const EndpointSpec> &spec)
    {
        const PoolEntry *pool = m_previous == nullptr ? nullptr : m_previous->pool(spec->pool);
        if (pool == nullptr) {
            return nullptr;
        }
        std::size_t &next = m_nextPrevious[spec->pool];
        const bool isNext = next < pool->endpoints.size() && pool->endpoints[next].spec == spec;
        const EndpointEntry *found = isNext ? &pool->endpoints[next] : pool->find(spec->name);
        if (found != nullptr) {
            next = static_cast<std::size_t>(found - pool->endpoints.data()) + 1;
        }
        return found;
    }

    std::shared_ptr<EndpointLoad> loadOf(const std::shared_ptr<const EndpointSpec> &spec)
    {
        const EndpointEntry *before = findPrevious(spec);
        // A different address means a different endpoint, to which the recorded load does not
        // apply.
        if (before != nullptr && before->spec->address == spec->address
            && before->spec->slots == spec->slots) {
            return before->load;
        }
        auto load = std::make_shared<EndpointLoad>();
        load->concurrencyLimit.store(spec->slots);
        return load;
    }

    void attachAccountLoads(const std::string &name, AccountEntry &account) const
    {
        const AccountEntry *before = m_previous == nullptr ? nullptr : m_previous->account(name);
        for (const auto &[pool, entry] : m_snapshot.pools) {
            std::shared_ptr<AccountLoad> &load = account.loads[pool];
            const auto *kept = before == nullptr ? nullptr : findIn(before->loads, pool);
            load = kept == nullptr ? std::make_shared<AccountLoad>() : *kept;
        }
    }

    Snapshot &m_snapshot;
    const Snapshot *m_previous;
    std::vector<std::shared_ptr<const EndpointSpec>> m_endpoints;
    std::map<std::string, std::string> m_regions;      ///< By data centre.
    std::map<std::string, std::size_t> m_nextPrevious; ///< By pool; see findPrevious().
};

} // namespace

const EndpointEntry *PoolEntry::find(const std::string &name) const
{
    // The endpoints are sorted in two runs: those of the own data centre, then the others.
    const auto byName = [](const EndpointEntry &entry, const std::string &wanted) {
        return entry.spec->name < wanted;
    };
    const auto middle = endpoints.begin() + static_cast<std::ptrdiff_t>(localCount);
    const auto local = std::lower_bound(endpoints.begin(), middle, name, byName);
    if (local != middle && local->spec->name == name) {
        return &*local;
    }
    const auto remote = std::lower_bound(middle, endpoints.end(), name, byName);
    return remote != endpoints.end() && remote->spec->name == name ? &*remote : nullptr;
}

bool EndpointFilter::allows(const EndpointEntry &entry) const
{
    const auto isNamed = [&entry](const std::vector<std::string> &names) {
        return names.empty() || std::find(names.begin(), names.end(), entry.region) != names.end();
    };
    const bool continuesOrigin =
        origin == nullptr
        || (origin->softwareVersion && origin->softwareVersion == entry.spec->softwareVersion);
    return continuesOrigin && isNamed(routeRegions) && isNamed(accountRegions);
}

bool PoolEntry::hasServingEndpoint(const EndpointFilter &filter) const
{
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&filter](const EndpointEntry &entry) { return mayServe(entry, filter); });
}

bool mayServe(const EndpointEntry &entry, const EndpointFilter &filter)
{
    return filter.allows(entry) && !entry.isDrained
           && !entry.load->leaving.load(std::memory_order_relaxed);
}

const EndpointEntry *PoolEntry::preferredEndpoint(std::uint64_t prefix) const
{
    if (!spec.hasPromptCache) {
        return nullptr;
    }
    const EndpointEntry *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const EndpointEntry &entry : endpoints) {
        const std::uint64_t score = hash64(entry.placementHash, prefix);
        if (!entry.isDrained && (best == nullptr || score > bestScore)) {
            best = &entry;
            bestScore = score;
        }
    }
    return best;
}

const PipelineSpec *Snapshot::pipeline(const std::string &name) const
{
    return findIn(pipelines, name);
}

std::chrono::milliseconds Snapshot::quarantineLeft(const Hash128 &digest, WallTime now) const
{
    const auto found = quarantinedUntil.find(digest);
    return found == quarantinedUntil.end()
               ? std::chrono::milliseconds::zero()
               : std::max(std::chrono::milliseconds::zero(), found->second - now);
}

const AccountEntry *Snapshot::account(const std::string &name) const
{
    return findIn(accounts, name);
}

const PoolEntry *Snapshot::pool(const std::string &name) const
{
    return findIn(pools, name);
}

const PoolEntry *Snapshot::poolOrPartition(const std::string &name) const
{
    const PoolEntry *partition = findIn(poolPartitions, name);
    return partition != nullptr ? partition : pool(name);
}

const PipelineSpec *Snapshot::route(const std::string &host, const std::string &path) const
{
    const auto *prefixes = findIn(routes, host);
    if (prefixes == nullptr) {
        return nullptr;
    }
    for (const auto &[prefix, name] : *prefixes) {
        if (path.starts_with(prefix)) {
            return pipeline(name);
        }
    }
    return nullptr;
}

const PoolEntry *Snapshot::poolOfEndpoint(const std::string &name) const
{
    const auto found = endpointSpecs.find(name);
    return found == endpointSpecs.end() ? nullptr : pool(found->second->pool);
}

const EndpointEntry *Snapshot::endpoint(const std::string &name) const
{
    const PoolEntry *pool = poolOfEndpoint(name);
    return pool == nullptr ? nullptr : pool->find(name);
}

void markLeaving(const Snapshot &snapshot, const std::string &name)
{
    for (const auto &[poolName, pool] : snapshot.pools) {
        if (const EndpointEntry *endpoint = pool.find(name)) {
            endpoint->load->leaving.store(true, std::memory_order_relaxed);
        }
    }
}

std::unique_ptr<const Snapshot> buildSnapshot(const std::vector<Resource> &resources,
                                              std::uint64_t revision, const std::string &dataCentre,
                                              const Snapshot *previous)
{
    return buildSnapshot(ActiveResources{resources, {}}, revision, dataCentre, previous);
}

std::unique_ptr<const Snapshot> buildSnapshot(const ActiveResources &active, std::uint64_t revision,
                                              const std::string &dataCentre,
                                              const Snapshot *previous)
{
    auto snapshot = std::make_unique<Snapshot>();
    snapshot->ready = true;
    snapshot->revision = revision;
    if (previous != nullptr) {
        snapshot->daemon = previous->daemon;
    }
    Builder builder(*snapshot, previous);
    for (const Resource &resource : active.resources) {
        std::visit(builder, resource.spec);
    }
    builder.addEndpoints(active.endpoints);
    builder.finish(dataCentre);
    return snapshot;
}

} // namespace harelink
