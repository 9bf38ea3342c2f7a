//===- pieceforecast.cpp - Completion forecasts ---------------------------===//

#include "harelink/Kernel/pieceforecast.h"

#include "harelink/Kernel/routing.h"
#include "harelink/Support/hash.h"

#include <algorithm>
#include <cmath>

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

/// The part of the buffers that can be used: an endpoint with little space left is not called, or
/// for a few pieces only.
constexpr double usableBufferFraction = 0.8;
/// Keeps sums of forecasts within the range of durations.
constexpr std::chrono::hours maxForecast{1};

/// A batcher reports its load at least this often while it has orders, so that an older report says
/// nothing of the pool.
constexpr std::chrono::milliseconds maxReportAge{2500};

/// What is known of the load of a pool.
struct KnownLoad
{
    double waiting = 0; ///< Pieces that precede a new one.
    double waitingBytes = 0;
    double bufferedBytes = 0;
    Duration holdTime{};
    double slowness = 1;
    double correction = 1;
};

bool isFresh(std::int64_t reportedAt, TimePoint now)
{
    return now - fromSteadyNanos(reportedAt) <= maxReportAge;
}

KnownLoad knownLoad(const PieceLoad &load, int priority, TimePoint now)
{
    KnownLoad known;
    const std::int64_t reportedAt = load.reportedAt.load(std::memory_order_relaxed);
    if (reportedAt != 0 && !isFresh(reportedAt, now)) {
        return known;
    }
    for (std::size_t i = 0; i <= priorityClass(priority); ++i) {
        known.waiting += std::max(0, load.waiting[i].load(std::memory_order_relaxed));
        known.waitingBytes +=
            static_cast<double>(load.waitingBytes[i].load(std::memory_order_relaxed));
    }
    known.bufferedBytes = static_cast<double>(load.bufferedBytes.load(std::memory_order_relaxed));
    known.holdTime = std::chrono::nanoseconds(load.holdNanos.load(std::memory_order_relaxed));
    known.slowness = load.slownessPercent.load(std::memory_order_relaxed) / percent;
    known.correction = load.correctionPercent.load(std::memory_order_relaxed) / percent;
    return known;
}

/// Returns the number of endpoints of \p pool that accept calls, as far as known; at least 1.
int endpointCount(const PoolEntry &pool)
{
    const int reported =
        pool.pieceLoad == nullptr ? 0 : pool.pieceLoad->endpoints.load(std::memory_order_relaxed);
    return reported > 0 ? reported : std::max(1, static_cast<int>(pool.endpoints.size()));
}

/// Returns the slot of \p load for the upcoming pieces of the pool \p source, or one that is unused
/// or whose source does not report any more; null if there is none.
UpcomingLoad *upcomingSlot(PieceLoad &load, std::uint64_t source, TimePoint now)
{
    UpcomingLoad *unused = nullptr;
    for (UpcomingLoad &slot : load.upcoming) {
        const std::uint64_t known = slot.source.load(std::memory_order_relaxed);
        if (known == source) {
            return &slot;
        }
        const bool isUnused =
            known == 0 || !isFresh(slot.reportedAt.load(std::memory_order_relaxed), now);
        unused = unused == nullptr && isUnused ? &slot : unused;
    }
    return unused;
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
    PieceDemand demand;
    demand.pieces = pieces;
    demand.priority = priority;
    return predictCompletion(pool, demand, now);
}

Duration predictCompletion(const PoolEntry &pool, const PieceDemand &demand, TimePoint now)
{
    using Seconds = std::chrono::duration<double>;
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    if (pool.pieceLoad == nullptr) {
        return work.callTime + work.pieceTime * demand.pieces;
    }
    const KnownLoad known = knownLoad(*pool.pieceLoad, demand.priority, now);
    const int endpoints = endpointCount(pool);
    const Seconds fullCall = (work.callTime + work.pieceTime * work.batch) * known.slowness;
    const Seconds untilOrdered = demand.startsIn;
    const std::int64_t freeIn =
        pool.pieceLoad->freeAt.load(std::memory_order_relaxed) - steadyNanos(now);
    const Seconds untilFree = std::chrono::nanoseconds(std::max<std::int64_t>(0, freeIn));
    // What full calls have worked off by then no longer precedes the pieces. Where nobody reports
    // what will be ordered until then, the queue is assumed to keep its length.
    const Seconds working = demand.upcoming.isKnown
                                ? std::max(Seconds::zero(), untilOrdered - untilFree)
                                : Seconds::zero();
    const double ahead = std::max(0.0, known.waiting + demand.upcoming.pieces
                                           - working / fullCall * endpoints * work.batch);
    // The calls of several endpoints are assumed to end evenly spaced.
    const double callsBefore = std::floor((ahead + demand.pieces - 1) / work.batch);
    Seconds start =
        std::max(Seconds::zero(), untilFree - untilOrdered) + fullCall * (callsBefore / endpoints);

    const double pieces = std::min<double>(ahead + demand.pieces, work.batch);
    const Seconds ownCall = (work.callTime + Seconds(work.pieceTime) * pieces) * known.slowness;
    Seconds total = (start * demand.waitFactor + ownCall) * known.correction;
    const double capacity =
        static_cast<double>(work.resultBufferBytes) * endpoints * usableBufferFraction;
    if (demand.upcoming.isKnown && capacity > 0) {
        // Pieces wait for an endpoint and for buffer space at the same time. The correction is not
        // applied, as it has learned the waits for buffer space.
        const double lacking = known.bufferedBytes + known.waitingBytes
                               + demand.upcoming.resultBytes
                               + static_cast<double>(demand.resultBytes) - capacity;
        start = std::max(start, Seconds(known.holdTime) * (lacking / capacity) - untilOrdered);
        total = start * demand.waitFactor + ownCall;
    }
    return std::chrono::duration_cast<Duration>(std::min<Seconds>(total, maxForecast));
}

UpcomingDemand upcomingDemand(const PoolEntry &pool, const PoolEntry &partition, int priority,
                              TimePoint now)
{
    UpcomingDemand demand;
    if (pool.pieceLoad == nullptr || pool.endpoints.empty()) {
        return demand;
    }
    for (const UpcomingLoad &slot : pool.pieceLoad->upcoming) {
        if (slot.source.load(std::memory_order_relaxed) == 0
            || !isFresh(slot.reportedAt.load(std::memory_order_relaxed), now)) {
            continue;
        }
        demand.isKnown = true;
        for (std::size_t i = 0; i <= priorityClass(priority); ++i) {
            demand.pieces += slot.pieces[i].load(std::memory_order_relaxed);
            demand.resultBytes +=
                static_cast<double>(slot.resultBytes[i].load(std::memory_order_relaxed));
        }
    }
    const double part = static_cast<double>(partition.endpoints.size())
                        / static_cast<double>(pool.endpoints.size());
    demand.pieces *= part;
    demand.resultBytes *= part;
    return demand;
}

void recordUpcoming(const Snapshot &snapshot, const PieceBacklog &backlog, TimePoint now)
{
    const std::uint64_t source = hash64(backlog.pool);
    for (const auto &[name, pool] : snapshot.pools) {
        if (pool.pieceLoad == nullptr || !pool.spec.pieces) {
            continue;
        }
        const auto found = std::find_if(
            backlog.upcoming.begin(), backlog.upcoming.end(),
            [&target = name](const UpcomingBacklog &upcoming) { return upcoming.pool == target; });
        UpcomingLoad *slot = upcomingSlot(*pool.pieceLoad, source, now);
        const bool isKnown =
            slot != nullptr && slot->source.load(std::memory_order_relaxed) == source;
        if (slot == nullptr || (found == backlog.upcoming.end() && !isKnown)) {
            continue;
        }
        const UpcomingBacklog upcoming =
            found == backlog.upcoming.end() ? UpcomingBacklog{} : *found;
        slot->source.store(source, std::memory_order_relaxed);
        slot->reportedAt.store(steadyNanos(now), std::memory_order_relaxed);
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            slot->pieces[i].store(static_cast<int>(upcoming.pieces[i]), std::memory_order_relaxed);
            slot->resultBytes[i].store(static_cast<std::int64_t>(upcoming.resultBytes[i]),
                                       std::memory_order_relaxed);
        }
    }
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
    const double places = static_cast<double>(pool.spec.pieces->batch) * endpointCount(pool);
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
        load.waitingBytes[i].store(static_cast<std::int64_t>(backlog.waitingBytes[i]),
                                   std::memory_order_relaxed);
    }
    load.bufferedBytes.store(static_cast<std::int64_t>(backlog.bufferedBytes),
                             std::memory_order_relaxed);
    load.holdNanos.store(
        std::chrono::duration_cast<std::chrono::nanoseconds>(backlog.holdTime).count(),
        std::memory_order_relaxed);
    load.slownessPercent.store(static_cast<int>(backlog.slowness * percent),
                               std::memory_order_relaxed);
    load.correctionPercent.store(static_cast<int>(backlog.correction * percent),
                                 std::memory_order_relaxed);
}

void recordOrdered(const PoolEntry &pool, std::uint32_t pieces, int priority,
                   std::uint64_t resultBytes)
{
    if (pool.pieceLoad == nullptr) {
        return;
    }
    const std::size_t orderClass = priorityClass(priority);
    pool.pieceLoad->waiting[orderClass].fetch_add(static_cast<int>(pieces),
                                                  std::memory_order_relaxed);
    pool.pieceLoad->waitingBytes[orderClass].fetch_add(static_cast<std::int64_t>(resultBytes),
                                                       std::memory_order_relaxed);
}

} // namespace harelink
