//===- harelink/Kernel/piecebatcher.h - Batching of pieces ------*- C++ -*-===//
///
/// \file
/// Forms the calls to the endpoints of the pools whose batcher this daemon is. Pieces
/// wait in one queue per pool. A call is formed when an endpoint is free or about to
/// become free: pieces that arrive until then join the call, and the endpoint does not
/// idle. Used on the control thread only.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PIECEBATCHER_H
#define HARELINK_KERNEL_PIECEBATCHER_H

#include "harelink/Kernel/endpointnotice.h"
#include "harelink/Kernel/fadingratio.h"
#include "harelink/Kernel/pieceorder.h"
#include "harelink/Kernel/piecepacing.h"
#include "harelink/Kernel/pieces.h"
#include "harelink/Kernel/resultbufferusage.h"
#include "harelink/Kernel/smoothedduration.h"
#include "harelink/Kernel/snapshot.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Figures of how a call was formed, for the log.
struct PieceCallStats
{
    std::string pool;
    std::size_t waiting = 0;            ///< Pieces left for later calls.
    std::size_t lackingBufferSpace = 0; ///< Of these, left out for lack of buffer space.
    std::uint64_t allocatedBytes = 0;   ///< Allocated at the endpoint, including this call.
    std::uint64_t bufferBytes = 0;      ///< Total buffer space; 0 if unlimited.
    Duration longestWait{};             ///< Longest time in the queue of a piece of the call.
    std::size_t byMinimum = 0;          ///< Pieces in the call because of a guaranteed minimum.
};

/// Action: sends a call to an endpoint.
struct PieceCall
{
    std::uint64_t id = 0; ///< Returned in PieceCallEnded.
    std::string endpoint;
    std::string endpointIdentity; ///< The identity that the endpoint must report.
    std::string address;
    std::vector<PieceOrder> orders; ///< Of one or more requests.
    Duration timeout{};
    PieceCallStats stats;
};

/// The result of one piece of a call, as the endpoint reported it.
struct PieceResult
{
    std::string handle;
    PieceFault fault = PieceFault::None;
};

/// Event: a call ended.
struct PieceCallEnded
{
    std::uint64_t id = 0;
    bool answered = false;                      ///< Whether results were received.
    std::vector<PieceResult> results;           ///< In the order of the call, if answered.
    SendEvidence evidence = SendEvidence::Sent; ///< Valid if not answered.
    bool isEndpointReplaced = false;            ///< Another endpoint answered at the address.
    absl::Status status;
    std::optional<EndpointNotice> notice; ///< std::nullopt if the endpoint did not reply.
};

/// Outcomes to send to the daemon `host`, which is empty for this daemon.
struct OutgoingPieceOutcomes
{
    std::string host;
    PieceOutcomes outcomes;
};

/// Returns \p time multiplied by \p factor.
[[nodiscard]] inline Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

/// Batches the pieces of the pools that this daemon is responsible for.
class PieceBatcher
{
public:
    /// \param clock must outlive the batcher.
    explicit PieceBatcher(const Clock &clock);

    /// Queues orders of the daemon \p host, which is empty for this daemon.
    void handle(const std::string &host, const PieceOrders &orders, const Snapshot &snapshot);
    /// Removes the queued pieces of requests that \p host cancelled.
    void withdraw(const std::string &host, const PieceWithdrawal &withdrawal);
    /// Frees results that are no longer needed.
    void handle(const PieceFrees &frees, const Snapshot &snapshot);
    void handle(const PieceCallEnded &event, const Snapshot &snapshot);
    /// Handles the end of \p endpoint, which may have restarted under another identity: its
    /// calls fail, and its results are lost.
    void endpointEnded(const std::string &endpoint, const Snapshot &snapshot);
    /// Handles the loss of the daemon \p host: drops its orders and frees its results. A daemon
    /// that returns sends its orders again.
    ///
    /// Without this, results of lost daemons occupy buffer space until they expire at their
    /// endpoints: after the loss of three of six daemons, 93% of the buffer space of a stage
    /// stayed occupied for 4 s.
    void removeHost(const std::string &host, const Snapshot &snapshot);
    /// Records that this host is overloaded now, so that its delays are not taken for those of
    /// pools.
    void recordOverload() { m_overloadedAt = m_clock.now(); }
    /// Forms all calls that are due.
    void tick(const Snapshot &snapshot);
    /// Returns when tick() is due next.
    [[nodiscard]] TimePoint nextTick() const;

    /// These return what has accumulated since they were last called.
    [[nodiscard]] std::vector<PieceCall> drainCalls() { return std::exchange(m_calls, {}); }
    [[nodiscard]] std::vector<OutgoingPieceOutcomes> drainOutcomes(const Snapshot &snapshot);
    /// Returns the handles of results to free now; empty until the next batch of frees is due.
    [[nodiscard]] std::vector<std::string> drainFreedResults();
    /// Returns endpoints at whose address another endpoint answered.
    [[nodiscard]] std::vector<std::string> drainReplacedEndpoints()
    {
        return std::exchange(m_replacedEndpoints, {});
    }
    /// Returns the backlog of each pool that has calls or orders here, or had them recently.
    [[nodiscard]] std::vector<PieceBacklog> backlogs(const Snapshot &snapshot) const;
    /// Returns whether no call is in flight and no order waits.
    [[nodiscard]] bool idle() const;
    /// Total calls sent, and pieces in them.
    [[nodiscard]] std::uint64_t callCount() const { return m_callCount; }
    [[nodiscard]] std::uint64_t pieceCount() const { return m_pieceCount; }
    /// Total pieces sent before more urgent ones because of a guaranteed minimum.
    [[nodiscard]] std::uint64_t piecesByMinimum() const { return m_piecesByMinimum; }
    /// Returns the number of pieces that are not part of a call yet, by priority class.
    [[nodiscard]] std::array<std::size_t, priorityClassCount> waitingByClass() const;

private:
    /// An order that waits for a call, or is part of one.
    struct QueuedPiece
    {
        std::string host;
        PieceOrder order;
        TimePoint objective;
        TimePoint deadline;
        std::uint32_t refusals = 0;
        TimePoint receivedAt;
        Duration predicted{};                  ///< Predicted time from receipt to completion.
        Guarantee guarantee = Guarantee::None; ///< As of the last sortByUrgency().
    };
    /// A call in flight.
    struct ActiveCall
    {
        std::uint64_t id = 0;
        std::vector<QueuedPiece> items;
        TimePoint sentAt;
        TimePoint expectedEnd;
        Duration declared{}; ///< Call time according to the pool's configuration.
    };
    /// The state of one endpoint.
    struct EndpointState
    {
        std::vector<ActiveCall> activeCalls;
        double slowness = 1;
        double reportedPace = 1; ///< Average while the slowness was measured.
        TimePoint blockedUntil;
        std::uint32_t unreachable = 0; ///< Consecutive failed connection attempts.
        std::uint32_t refusals = 0;    ///< Consecutive refused calls.
    };
    /// The state of one pool, or of one partition of a divided pool.
    struct PoolQueue
    {
        std::vector<QueuedPiece> waiting;
        PieceSequence sequence;                              ///< Order of the waiting pieces.
        std::map<std::string, EndpointState> endpointStates; ///< By name.
        ResultBufferUsage bufferUsage;                       ///< Of its endpoints.
        SmoothedDuration holdTime; ///< Of results, from their call to their release.
        Utilization utilization;   ///< Part of the endpoints with calls in flight.
        TimePoint nextScan = TimePoint::max();
        TimePoint noScanBefore; ///< See isScanThrottled().
        TimePoint lastCallAt;   ///< When the last call was sent.
        TimePoint lastActive;   ///< Time of the last order or end of a call.
        FadingRatio correction; ///< See PieceBacklog.
    };
    /// An endpoint that accepts calls, evaluated once per scan of the queue.
    struct Candidate
    {
        const EndpointEntry *endpoint = nullptr;
        TimePoint nextCallAt;             ///< When it accepts its next call.
        TimePoint endsAt;                 ///< When a minimal call sent then would end.
        std::uint64_t allocatedBytes = 0; ///< Used by results, or reserved for calls in flight.
        bool isSkipped = false;           ///< It is available, but no waiting piece may go there.
        /// Reserved in its next call by pieces that wait for it, during one selectBatch().
        std::size_t reservedSlots = 0;
        std::uint64_t reservedBytes = 0;
    };
    using Candidates = std::vector<Candidate>;
    /// The waiting pieces selected for one call.
    struct BatchSelection
    {
        std::vector<std::size_t> indices;   ///< Into PoolQueue::waiting, ascending.
        std::size_t lackingBufferSpace = 0; ///< Pieces left out for lack of buffer space.
        std::uint64_t allocatedBytes = 0;   ///< At the endpoint, including these pieces.
        std::size_t sourceBytes = 0;        ///< Of what these pieces are computed from.
    };

    void formCalls(const std::string &poolName, PoolQueue &queue, const Snapshot &snapshot);
    void forgetIfIdle(PoolQueue &queue) const;
    void dropLate(PoolQueue &queue, const std::string &poolName, const PoolEntry &pool);
    void updateCorrection(PoolQueue &queue, const QueuedPiece &item) const;
    static void sortByUrgency(PoolQueue &queue, TimePoint now, const PieceWorkSpec &work);
    static WaitingPiece waitingPiece(const QueuedPiece &item);
    std::size_t recordSent(PieceSequence &sequence, const std::vector<QueuedPiece> &items);
    [[nodiscard]] Candidates candidatesFor(const PoolQueue &queue, const PoolEntry &pool) const;
    [[nodiscard]] static double slownessOf(const PoolQueue &queue, const EndpointEntry &endpoint,
                                           TimePoint now);
    [[nodiscard]] Candidate candidateFor(const EndpointEntry &endpoint, const PoolQueue &queue,
                                         const PieceWorkSpec &work) const;
    [[nodiscard]] TimePoint nextCallStart(const PoolQueue &queue, const Candidates &candidates,
                                          const PieceWorkSpec &work) const;
    [[nodiscard]] bool isScanThrottled(const PoolQueue &queue, const PieceWorkSpec &work) const;
    bool formCall(const Candidate &candidate, Candidates &candidates, PoolQueue &queue,
                  const PoolEntry &pool);
    [[nodiscard]] BatchSelection selectBatch(const Candidate &candidate, Candidates &candidates,
                                             const PoolQueue &queue, const PoolEntry &pool) const;
    [[nodiscard]] static std::size_t endOfGroup(const std::vector<QueuedPiece> &waiting,
                                                std::size_t begin);
    [[nodiscard]] std::uint64_t allocatedBytes(const PoolQueue &queue, const std::string &endpoint,
                                               const PieceWorkSpec &work) const;
    [[nodiscard]] bool defersToCloser(const QueuedPiece &item, std::size_t count,
                                      const Candidate &here, Candidates &candidates,
                                      const PieceWorkSpec &work) const;
    void send(const EndpointEntry &endpoint, EndpointState &state, std::vector<QueuedPiece> items,
              const PieceWorkSpec &work);
    [[nodiscard]] Candidate *bestAvailable(Candidates &candidates) const;
    [[nodiscard]] static TimePoint nextCallAt(const PoolQueue &queue, const EndpointEntry &endpoint,
                                              TimePoint now);
    void addOutcome(const std::string &pool, const QueuedPiece &item, const std::string &endpoint,
                    const std::string &handle, PieceFault fault);
    void finishCall(const std::string &pool, PoolQueue &queue, const std::string &endpoint,
                    ActiveCall activeCall, const PieceCallEnded &event, const Snapshot &snapshot);
    void recordCallEnd(const std::string &endpoint, PoolQueue &queue, const ActiveCall &activeCall,
                       const PieceCallEnded &event, const PoolEntry &pool);
    void addResults(PoolQueue &queue, const std::string &endpoint, const ActiveCall &activeCall,
                    const PieceCallEnded &event, TimePoint now, Duration lifetime);
    void updateIncarnation(const std::string &host, Incarnation incarnation);
    void dropOrdersOf(const std::string &host);
    void queueFrees(const std::vector<std::string> &handles);
    [[nodiscard]] bool isFromCurrentIncarnation(const QueuedPiece &item) const;
    [[nodiscard]] static bool isBusy(const PoolQueue &queue);
    void reportBuffers(const PoolQueue &queue, const PoolEntry &pool, PieceBacklog &backlog) const;
    static void reportWaiting(const PoolQueue &queue, const Snapshot &snapshot,
                              PieceBacklog &backlog);
    static void addUpcoming(const PieceOrder &order, const Snapshot &snapshot,
                            PieceBacklog &backlog);
    static void recordUtilization(PoolQueue &queue, std::size_t endpoints, TimePoint now);
    [[nodiscard]] PieceBacklog backlogOf(const std::string &pool, const PoolQueue &queue,
                                         const Snapshot &snapshot) const;

    const Clock &m_clock;
    TimePoint m_overloadedAt = TimePoint::min(); ///< When this host was last overloaded.
    std::map<std::string, PoolQueue> m_queues;   ///< By pool, or by partition if it is divided.
    std::uint64_t m_nextCallId = 1;
    std::vector<PieceCall> m_calls;
    /// By host and pool.
    std::map<std::pair<std::string, std::string>, std::vector<PieceOutcome>> m_outcomes;
    std::map<std::string, Incarnation> m_incarnations; ///< Of the last orders, by daemon.
    std::vector<std::string> m_replacedEndpoints;
    std::vector<std::string> m_pendingFrees;
    TimePoint m_flushFreesAt = TimePoint::max();
    std::uint64_t m_callCount = 0;
    std::uint64_t m_pieceCount = 0;
    std::uint64_t m_piecesByMinimum = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_PIECEBATCHER_H
