//===- harelink/Kernel/piecebatcher.h - Calls of many pieces ----*- C++ -*-===//
///
/// \file
/// Forms the calls to the endpoints of the pools whose batcher this daemon is. Pieces
/// wait in one queue a pool; a call is formed when an endpoint is free, or about to be:
/// what comes until then rides along, and the endpoint never waits. Belongs to the
/// control thread.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEBATCHER_H
#define HARELINK_KERNEL_PIECEBATCHER_H

#include "harelink/Kernel/endpointnotice.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/resultbufferusage.h"
#include "harelink/Kernel/snapshot.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// What a call was formed from, for the log.
struct PieceCallStats
{
    std::string pool;
    std::size_t waiting = 0;            ///< Pieces that were left for later calls.
    std::size_t lackingBufferSpace = 0; ///< Of these, passed over for want of room there.
    std::uint64_t allocatedBytes = 0;   ///< Room taken at the endpoint, with this call.
    std::uint64_t roomBytes = 0;        ///< All its room; 0 where it has no limit.
    Duration longestWait{};             ///< Of a piece in the call, from its order on.
};

/// Action: call an endpoint.
struct PieceCall
{
    std::uint64_t id = 0; ///< Comes back in the event.
    std::string endpoint;
    std::string endpointIdentity; ///< What the endpoint at the address must call itself.
    std::string address;
    std::vector<PieceOrder> orders; ///< Of any requests.
    Duration timeout{};
    PieceCallStats stats;
};

/// What an endpoint says of one piece of a call.
struct PieceResult
{
    std::string handle;
    PieceFault fault = PieceFault::None;
};

/// Event: a call ended.
struct PieceCallEnded
{
    std::uint64_t id = 0;
    bool answered = false;            ///< The results are there, in the order of the call.
    std::vector<PieceResult> results; ///< Where it was answered.
    SendEvidence evidence = SendEvidence::Sent; ///< Where it was not.
    bool isEndpointReplaced = false;            ///< Another endpoint has taken over the address.
    absl::Status status;
    std::optional<EndpointNotice> notice; ///< Absent where nothing came from the endpoint.
};

/// Outcomes for the daemon \p host; empty for this one.
struct OutgoingPieceOutcomes
{
    std::string host;
    PieceOutcomes outcomes;
};

/// \p time times \p factor.
[[nodiscard]] inline Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

/// The batcher.
class PieceBatcher
{
public:
    /// \param clock outlives the batcher.
    explicit PieceBatcher(const Clock &clock);

    /// Takes in orders of the daemon \p host; empty for this one.
    void handle(const std::string &host, const PieceOrders &orders, const Snapshot &snapshot);
    /// Takes in that \p host wants nothing more for some requests.
    void withdraw(const std::string &host, const PieceWithdrawal &withdrawal);
    /// Takes in that results are no longer needed.
    void handle(const PieceFrees &frees, const Snapshot &snapshot);
    void handle(const PieceCallEnded &event, const Snapshot &snapshot);
    /// Takes in that the life of \p endpoint is over, though it may go on under another name:
    /// its calls fail, and its results are gone.
    void endpointEnded(const std::string &endpoint, const Snapshot &snapshot);
    /// Takes in that the daemon \p host is gone: what it ordered is wanted by nobody, and the
    /// room that its results take is given back. One that comes back orders anew.
    ///
    /// It answers the loss of many daemons at once: results that nobody frees take room for
    /// the seconds that endpoints keep them; after half of six daemons were lost, 0.93 of
    /// the room of a stage was taken for four seconds.
    void removeHost(const std::string &host, const Snapshot &snapshot);
    /// Forms the calls that are due.
    void tick(const Snapshot &snapshot);
    [[nodiscard]] TimePoint nextTick() const;

    /// What came up since the last call.
    [[nodiscard]] std::vector<PieceCall> drainCalls() { return std::exchange(m_calls, {}); }
    [[nodiscard]] std::vector<OutgoingPieceOutcomes> drainOutcomes(const Snapshot &snapshot);
    /// Results that are to be freed now.
    [[nodiscard]] std::vector<std::string> drainFreedResults();
    /// Endpoints whose address another one answered at.
    [[nodiscard]] std::vector<std::string> drainReplacedEndpoints()
    {
        return std::exchange(m_replaced, {});
    }
    /// How busy each pool is that this daemon has calls or orders of.
    [[nodiscard]] std::vector<PieceBacklog> backlogs(const Snapshot &snapshot) const;
    /// Whether no call is in flight and no order waits.
    [[nodiscard]] bool idle() const;
    /// Calls made and the pieces in them.
    [[nodiscard]] std::uint64_t callCount() const { return m_callCount; }
    [[nodiscard]] std::uint64_t pieceCount() const { return m_pieceCount; }

private:
    struct Item
    {
        std::string host;
        PieceOrder order;
        TimePoint wanted;
        TimePoint due;
        std::uint32_t refusals = 0;
        TimePoint takenAt;
        Duration predicted{}; ///< From then until it would be made.
    };
    struct Flight
    {
        std::uint64_t id = 0;
        std::vector<Item> items;
        TimePoint sentAt;
        TimePoint expectedEnd;
        Duration declared{}; ///< The time that the pool's declaration gives for it.
    };
    /// What is kept of one endpoint.
    struct Maker
    {
        std::vector<Flight> flights;
        double slowness = 1;
        TimePoint blockedUntil;
        std::uint32_t unreachable = 0; ///< Connections in a row that were not made.
        std::uint32_t refusals = 0;    ///< Calls in a row that it did not take.
    };
    /// What is kept of one pool.
    struct Line
    {
        std::vector<Item> waiting;
        std::map<std::string, Maker> makers; ///< By endpoint.
        ResultBufferUsage room;              ///< At its endpoints.
        TimePoint nextLook = TimePoint::max();
        TimePoint looksAgainAt; ///< Not before, where many pieces wait.
        TimePoint lastBusy;     ///< When an order came or a call ended last.
        double correction = 1;  ///< See PieceBacklog.
    };
    /// An endpoint of a pool that takes calls, as one look at the pool's line sees it.
    struct Site
    {
        const EndpointEntry *endpoint = nullptr;
        TimePoint freeAt;                 ///< When it can take its next call.
        TimePoint endAt;                  ///< When a call with one piece would end there.
        std::uint64_t allocatedBytes = 0; ///< Room that is taken, or promised to calls in flight.
        bool isPassed = false;            ///< It is free, but with nothing to do.
        /// Left to its next call by pieces that wait for it, in the choice under way.
        std::size_t promisedPlaces = 0;
        std::uint64_t promisedBytes = 0;
    };
    using Sites = std::vector<Site>;
    /// A choice of waiting pieces for one call.
    struct Choice
    {
        std::vector<std::size_t> places;    ///< In the line's queue, rising.
        std::size_t lackingBufferSpace = 0; ///< Pieces left out for want of room.
        std::uint64_t allocatedBytes = 0;   ///< Room taken at the endpoint, with these.
    };

    void pump(const std::string &poolName, Line &line, const Snapshot &snapshot);
    void dropLate(Line &line, const std::string &poolName, const PoolEntry &pool);
    void learnWait(Line &line, const Item &item) const;
    static void sortByUrgency(Line &line, TimePoint now, const PieceWorkSpec &work);
    [[nodiscard]] Sites sitesOf(const Line &line, const PoolEntry &pool) const;
    [[nodiscard]] Site siteOf(const EndpointEntry &endpoint, const Line &line,
                              const PieceWorkSpec &work) const;
    [[nodiscard]] bool looksTooOften(const Line &line, const PieceWorkSpec &work) const;
    bool form(const Site &site, Sites &sites, Line &line, const PoolEntry &pool);
    [[nodiscard]] Choice choose(const Site &site, Sites &sites, const Line &line,
                                const PoolEntry &pool) const;
    [[nodiscard]] static std::size_t endOfGroup(const std::vector<Item> &waiting,
                                                std::size_t begin);
    [[nodiscard]] std::uint64_t allocatedBytes(const Line &line, const std::string &endpoint,
                                               const PieceWorkSpec &work) const;
    [[nodiscard]] bool waitsForNearer(const Item &item, std::size_t count, const Site &here,
                                      Sites &sites, const PieceWorkSpec &work) const;
    void send(const EndpointEntry &endpoint, Maker &maker, std::vector<Item> items,
              const PieceWorkSpec &work);
    [[nodiscard]] Site *nextFree(Sites &sites) const;
    [[nodiscard]] static TimePoint freeAt(const Line &line, const EndpointEntry &endpoint,
                                          TimePoint now);
    void settle(const std::string &pool, const Item &item, const std::string &endpoint,
                const std::string &handle, PieceFault fault);
    void end(const std::string &pool, Line &line, const std::string &endpoint, Flight flight,
             const PieceCallEnded &event, const Snapshot &snapshot);
    void learn(const std::string &endpoint, Line &line, const Flight &flight,
               const PieceCallEnded &event, const PoolEntry &pool);
    void keep(Line &line, const std::string &endpoint, const Flight &flight,
              const PieceCallEnded &event, TimePoint now, Duration life);
    void noteIncarnation(const std::string &host, Incarnation incarnation);
    void drop(const std::string &host);
    void freeSoon(const std::vector<std::string> &handles);
    [[nodiscard]] bool isWanted(const Item &item) const;
    [[nodiscard]] static bool isBusy(const Line &line);
    [[nodiscard]] PieceBacklog backlogOf(const std::string &pool, const Line &line,
                                         const Snapshot &snapshot) const;

    const Clock &m_clock;
    std::map<std::string, Line> m_lines; ///< By pool, or by its part where it is divided.
    std::uint64_t m_nextCallId = 1;
    std::vector<PieceCall> m_calls;
    /// By host and pool.
    std::map<std::pair<std::string, std::string>, std::vector<PieceOutcome>> m_outcomes;
    std::map<std::string, Incarnation> m_incarnations; ///< By daemon, of its last orders.
    std::vector<std::string> m_replaced;
    std::vector<std::string> m_freed;
    TimePoint m_freeAt = TimePoint::max();
    std::uint64_t m_callCount = 0;
    std::uint64_t m_pieceCount = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEBATCHER_H
