//===- pieceforecast.cpp - When pieces are made ---------------------------===//

#include "harelink/Kernel/pieceforecast.h"

#include "harelink/Kernel/routing.h"

#include <algorithm>

namespace harelink {
namespace {

using std::chrono::milliseconds;

/// What a megabyte of results that crosses data centres counts as, in time: users pay for
/// it, and a share of a request's worth weighs about as much as its share of its time.
constexpr std::chrono::microseconds crossingPerMegabyte{20'000};
/// What any crossing counts as.
constexpr milliseconds crossing{5};
/// Daemons with the same view must not all choose the same endpoint.
constexpr milliseconds spread{15};
constexpr double bytesPerMegabyte = 1e6;
constexpr double percent = 100;

std::int64_t nanos(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

Duration crossingCost(const PieceWish &wish, const EndpointEntry &endpoint)
{
    if (wish.dataCentre.empty() || wish.dataCentre == endpoint.spec.dataCentre) {
        return {};
    }
    const double megabytes = static_cast<double>(wish.resultBytes) * wish.pieces / bytesPerMegabyte;
    return crossing + std::chrono::duration_cast<Duration>(crossingPerMegabyte * megabytes);
}

} // namespace

Duration predictPieces(const PoolEntry &pool, const EndpointEntry &endpoint, std::uint32_t pieces,
                       int priority, TimePoint now)
{
    const PieceWorkSpec work = pool.spec.pieces.value_or(PieceWorkSpec{});
    const EndpointLoad &load = *endpoint.load;
    const std::int64_t busy = load.busyUntil.load(std::memory_order_relaxed) - nanos(now);
    int waiting = 0;
    for (std::size_t i = 0; i <= urgencyClass(priority); ++i) {
        waiting += std::max(0, load.piecesWaiting[i].load(std::memory_order_relaxed));
    }
    const std::uint32_t all = static_cast<std::uint32_t>(waiting) + pieces;
    const std::uint32_t calls = (all + work.batch - 1) / work.batch;
    const Duration making = work.callTime * calls + work.pieceTime * all;
    const double slowness = load.slownessPercent.load(std::memory_order_relaxed) / percent;
    return std::chrono::nanoseconds(std::max<std::int64_t>(0, busy))
           + std::chrono::duration_cast<Duration>(making * slowness);
}

void noteBacklog(const EndpointEntry &endpoint, const PieceBacklog &backlog, TimePoint now)
{
    EndpointLoad &load = *endpoint.load;
    load.busyUntil.store(nanos(now + backlog.busy), std::memory_order_relaxed);
    for (std::size_t i = 0; i < urgencyClassCount; ++i) {
        load.piecesWaiting[i].store(static_cast<int>(backlog.waiting[i]),
                                    std::memory_order_relaxed);
    }
    load.slownessPercent.store(static_cast<int>(backlog.slowness * percent),
                               std::memory_order_relaxed);
}

void noteOrdered(const EndpointEntry &endpoint, std::uint32_t pieces, int priority)
{
    endpoint.load->piecesWaiting[urgencyClass(priority)].fetch_add(static_cast<int>(pieces),
                                                                   std::memory_order_relaxed);
}

PieceForecast choosePieceEndpoint(const PoolEntry &pool, const PieceWish &wish, TimePoint now,
                                  Random *random)
{
    PieceForecast best;
    Duration bestCost{};
    for (const EndpointEntry &endpoint : pool.endpoints) {
        if (!isUsable(endpoint, now) || wish.avoid.contains(endpoint.spec.name)) {
            continue;
        }
        const Duration time = predictPieces(pool, endpoint, wish.pieces, wish.priority, now);
        Duration cost = time + crossingCost(wish, endpoint);
        if (random != nullptr) {
            cost += std::chrono::duration_cast<Duration>(spread * random->unit());
        }
        if (best.endpoint == nullptr || cost < bestCost) {
            best = {&endpoint, time};
            bestCost = cost;
        }
    }
    return best;
}

} // namespace harelink
