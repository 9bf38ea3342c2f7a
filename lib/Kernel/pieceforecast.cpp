//===- pieceforecast.cpp - When pieces are made ---------------------------===//

#include "harelink/Kernel/pieceforecast.h"

#include "harelink/Kernel/routing.h"
#include "harelink/Support/hash.h"

#include <algorithm>

#include <fmt/format.h>

namespace harelink {
namespace {

constexpr double percent = 100;
/// What a megabyte of results that crosses data centres counts as, in time: users pay for
/// it, and a share of a request's worth weighs about as much as its share of its time.
constexpr std::chrono::microseconds crossingPerMegabyte{20'000};
constexpr double bytesPerMegabyte = 1e6;
/// Another data centre has to promise to be sooner by this: about the length of a call, by
/// which forecasts of that age are off.
constexpr std::chrono::milliseconds crossingReserve{150};

std::int64_t nanos(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

} // namespace

Duration crossingCost(std::uint64_t bytes)
{
    return std::chrono::duration_cast<Duration>(crossingPerMegabyte
                                                * (static_cast<double>(bytes) / bytesPerMegabyte));
}

std::uint64_t PieceGroup::drawOf(const RequestId &request, std::uint32_t stage)
{
    return hash64(fmt::format("{}/{}/{}", request.incarnation, request.sequence, stage));
}

const PoolEntry &choosePart(const Snapshot &snapshot, const PoolEntry &pool,
                            const PieceGroup &group, TimePoint now)
{
    const auto isUsablePart = [&](const PoolEntry &part) {
        return std::any_of(part.endpoints.begin(), part.endpoints.end(),
                           [now](const EndpointEntry &entry) { return isUsable(entry, now); });
    };
    const PoolEntry *own = nullptr;
    const PoolEntry *avoided = nullptr; // Failed them; the last resort.
    std::vector<const PoolEntry *> others;
    for (const std::string &name : pool.parts) {
        const PoolEntry *part = snapshot.poolOrPart(name);
        if (!isUsablePart(*part)) {
            continue;
        }
        if (name == group.avoid) {
            avoided = part;
        } else if (part->dataCentre == group.dataCentre) {
            own = part;
        } else {
            others.push_back(part);
        }
    }
    const PoolEntry *other = others.empty() ? nullptr : others[group.draw % others.size()];
    if (own == nullptr || other == nullptr) {
        const PoolEntry *only = own == nullptr ? other : own;
        only = only == nullptr ? avoided : only;
        return only == nullptr ? pool : *only;
    }
    const Duration here = predictPieces(*own, group.count, group.priority, now);
    const Duration there = predictPieces(*other, group.count, group.priority, now)
                           + crossingCost(group.resultBytes) + crossingReserve;
    return there < here ? *other : *own;
}

Duration predictPieces(const PoolEntry &pool, std::uint32_t pieces, int priority, TimePoint now)
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    if (pool.pieceLoad == nullptr) {
        return work.callTime + work.pieceTime * pieces;
    }
    const PieceLoad &load = *pool.pieceLoad;
    int waiting = 0;
    for (std::size_t i = 0; i <= urgencyClass(priority); ++i) {
        waiting += std::max(0, load.waiting[i].load(std::memory_order_relaxed));
    }
    const std::uint32_t all = static_cast<std::uint32_t>(waiting) + pieces;
    const std::uint32_t callsBefore = (all - 1) / work.batch;
    const Duration fullCall = work.callTime + work.pieceTime * work.batch;
    // Calls of several endpoints end one after the other.
    const int told = load.endpoints.load(std::memory_order_relaxed);
    const int endpoints = told > 0 ? told : std::max(1, static_cast<int>(pool.endpoints.size()));
    const Duration before = fullCall * callsBefore / endpoints;
    const Duration own = work.callTime + work.pieceTime * std::min(all, work.batch);
    const double slowness = load.slownessPercent.load(std::memory_order_relaxed) / percent;
    const std::int64_t freeIn = load.freeAt.load(std::memory_order_relaxed) - nanos(now);
    const double correction = load.correctionPercent.load(std::memory_order_relaxed) / percent;
    const Duration wait = std::chrono::nanoseconds(std::max<std::int64_t>(0, freeIn));
    return std::chrono::duration_cast<Duration>((wait + (before + own) * slowness) * correction);
}

void noteBacklog(const PoolEntry &pool, const PieceBacklog &backlog, TimePoint now)
{
    if (pool.pieceLoad == nullptr) {
        return;
    }
    PieceLoad &load = *pool.pieceLoad;
    load.freeAt.store(nanos(now + backlog.freeIn), std::memory_order_relaxed);
    load.endpoints.store(static_cast<int>(backlog.endpoints), std::memory_order_relaxed);
    for (std::size_t i = 0; i < urgencyClassCount; ++i) {
        load.waiting[i].store(static_cast<int>(backlog.waiting[i]), std::memory_order_relaxed);
    }
    load.slownessPercent.store(static_cast<int>(backlog.slowness * percent),
                               std::memory_order_relaxed);
    load.correctionPercent.store(static_cast<int>(backlog.correction * percent),
                                 std::memory_order_relaxed);
}

void noteOrdered(const PoolEntry &pool, std::uint32_t pieces, int priority)
{
    if (pool.pieceLoad != nullptr) {
        pool.pieceLoad->waiting[urgencyClass(priority)].fetch_add(static_cast<int>(pieces),
                                                                  std::memory_order_relaxed);
    }
}

} // namespace harelink
