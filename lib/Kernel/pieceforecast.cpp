//===- pieceforecast.cpp - Completion forecasts ---------------------------===//

#include "harelink/Kernel/pieceforecast.h"

#include "harelink/Kernel/routing.h"
#include "harelink/Support/hash.h"

#include <algorithm>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr double percent = 100;
/// See hasSpareBatchSlots(). The optimum is flat: the worth at three sites was 0.572, 0.380 and
/// 0.479 with 0.5, 0.562, 0.370 and 0.461 with 1, and 0.563, 0.373 and 0.481 with 0.25.
constexpr double spareFraction = 0.5;
/// Another data centre is chosen only if it is predicted to be sooner by more than this: about
/// the duration of a call, which is the error of forecasts of that age.
constexpr std::chrono::milliseconds minTransferGain{150};

/// A batcher reports its load at least this often while it has orders, so that an older report says
/// nothing of the pool.
constexpr std::chrono::milliseconds maxReportAge{2500};

/// What is known of the load of a pool.
struct KnownLoad
{
    int waiting = 0; ///< Pieces that precede a new one.
    double slowness = 1;
    double correction = 1;
};

KnownLoad knownLoad(const PieceLoad &load, int priority, TimePoint now)
{
    KnownLoad known;
    const std::int64_t reportedAt = load.reportedAt.load(std::memory_order_relaxed);
    if (reportedAt != 0 && now - fromSteadyNanos(reportedAt) > maxReportAge) {
        return known;
    }
    for (std::size_t i = 0; i <= priorityClass(priority); ++i) {
        known.waiting += std::max(0, load.waiting[i].load(std::memory_order_relaxed));
    }
    known.slowness = load.slownessPercent.load(std::memory_order_relaxed) / percent;
    known.correction = load.correctionPercent.load(std::memory_order_relaxed) / percent;
    return known;
}

} // namespace

std::uint64_t PieceGroup::selectionHashOf(const RequestId &request, std::uint32_t stage)
{
    return hash64(fmt::format("{}/{}/{}", request.incarnation, request.sequence, stage));
}

const PoolEntry &choosePartition(const Snapshot &snapshot, const PoolEntry &pool,
                                 const PieceGroup &group, TimePoint now)
{
    const auto isUsablePartition = [now](const PoolEntry &partition) {
        return std::any_of(partition.endpoints.begin(), partition.endpoints.end(),
                           [now](const EndpointEntry &entry) { return isUsable(entry, now); });
    };
    const PoolEntry *avoided = nullptr; // Used only if no other part is usable.
    std::vector<const PoolEntry *> partitions;
    for (const std::string &name : pool.partitions) {
        const PoolEntry *partition = snapshot.poolOrPartition(name);
        if (!isUsablePartition(*partition)) {
            continue;
        }
        if (name == group.avoid) {
            avoided = partition;
        } else {
            partitions.push_back(partition);
        }
    }
    if (partitions.empty()) {
        return avoided == nullptr ? pool : *avoided;
    }
    const auto nearest = std::min_element(partitions.begin(), partitions.end(),
                                          [&group](const PoolEntry *a, const PoolEntry *b) {
                                              return transferCost(group.transfers, a->dataCentre)
                                                     < transferCost(group.transfers, b->dataCentre);
                                          });
    const PoolEntry *nearestPartition = *nearest;
    partitions.erase(nearest);
    if (partitions.empty()) {
        return *nearestPartition;
    }
    const PoolEntry *sampledPartition = partitions[group.selectionHash % partitions.size()];
    const auto predicted = [&](const PoolEntry &partition) {
        return predictCompletion(partition, group.count, group.priority, now)
               + transferCost(group.transfers, partition.dataCentre);
    };
    return predicted(*sampledPartition) + minTransferGain < predicted(*nearestPartition)
               ? *sampledPartition
               : *nearestPartition;
}

Duration predictCompletion(const PoolEntry &pool, std::uint32_t pieces, int priority, TimePoint now)
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    if (pool.pieceLoad == nullptr) {
        return work.callTime + work.pieceTime * pieces;
    }
    const PieceLoad &load = *pool.pieceLoad;
    const KnownLoad known = knownLoad(load, priority, now);
    const std::uint32_t total = static_cast<std::uint32_t>(known.waiting) + pieces;
    const std::uint32_t callsBefore = (total - 1) / work.batch;
    const Duration fullCall = work.callTime + work.pieceTime * work.batch;
    // The calls of several endpoints are assumed to end evenly spaced.
    const int reported = load.endpoints.load(std::memory_order_relaxed);
    const int endpoints =
        reported > 0 ? reported : std::max(1, static_cast<int>(pool.endpoints.size()));
    const Duration before = fullCall * callsBefore / endpoints;
    const Duration ownCall = work.callTime + work.pieceTime * std::min(total, work.batch);
    const std::int64_t freeIn = load.freeAt.load(std::memory_order_relaxed) - steadyNanos(now);
    const Duration wait = std::chrono::nanoseconds(std::max<std::int64_t>(0, freeIn));
    return std::chrono::duration_cast<Duration>((wait + (before + ownCall) * known.slowness)
                                                * known.correction);
}

bool hasSpareBatchSlots(const PoolEntry &pool)
{
    if (pool.pieceLoad == nullptr || !pool.spec.pieces) {
        return true;
    }
    int waiting = 0;
    for (const std::atomic<int> &classCount : pool.pieceLoad->waiting) {
        waiting += std::max(0, classCount.load(std::memory_order_relaxed));
    }
    const int reported = pool.pieceLoad->endpoints.load(std::memory_order_relaxed);
    const int endpoints = reported > 0 ? reported : static_cast<int>(pool.endpoints.size());
    const double places = static_cast<double>(pool.spec.pieces->batch) * endpoints;
    return waiting < places * spareFraction;
}

void recordBacklog(const PoolEntry &pool, const PieceBacklog &backlog, TimePoint now)
{
    if (pool.pieceLoad == nullptr) {
        return;
    }
    PieceLoad &load = *pool.pieceLoad;
    load.reportedAt.store(steadyNanos(now), std::memory_order_relaxed);
    load.freeAt.store(steadyNanos(now + backlog.freeIn), std::memory_order_relaxed);
    load.endpoints.store(static_cast<int>(backlog.endpoints), std::memory_order_relaxed);
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        load.waiting[i].store(static_cast<int>(backlog.waiting[i]), std::memory_order_relaxed);
    }
    load.slownessPercent.store(static_cast<int>(backlog.slowness * percent),
                               std::memory_order_relaxed);
    load.correctionPercent.store(static_cast<int>(backlog.correction * percent),
                                 std::memory_order_relaxed);
}

void recordOrdered(const PoolEntry &pool, std::uint32_t pieces, int priority)
{
    if (pool.pieceLoad != nullptr) {
        pool.pieceLoad->waiting[priorityClass(priority)].fetch_add(static_cast<int>(pieces),
                                                                   std::memory_order_relaxed);
    }
}

} // namespace harelink
