//===- harelink/Kernel/intakebudget.h - Memory of requests ------*- C++ -*-===//
///
/// \file
/// Limits the memory that callers' requests take, from their first byte until they are answered.
///
/// A request reserves memory before it is read further. The whole of a large body is reserved
/// before any of it is read, so that requests which are only partly read never hold up each other.
/// If a reservation doesn't fit, unfinished requests that have stalled are dropped for it.
/// Otherwise a large request waits for a bounded time, and a small one is refused. Heads grow as
/// they are read, so requests that wait may hold a small part of the budget only; others that hold
/// much are refused. A part of the budget is kept for small requests.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_INTAKEBUDGET_H
#define HARELINK_KERNEL_INTAKEBUDGET_H

#include "harelink/Support/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace harelink {

/// Identifies a connection of a caller within the process.
using IntakeId = std::uint64_t;

/// The answer to a reservation.
enum class IntakeDecision {
    Granted,
    Waiting, ///< Decided later, by IntakeChanges.
    Refused,
};

/// What was decided about other connections than the one that a call was made for.
struct IntakeChanges
{
    std::vector<IntakeId> granted; ///< Their reservations no longer wait.
    std::vector<IntakeId> refused; ///< Their reservations have waited for too long.
    std::vector<IntakeId> dropped; ///< To be closed.
};

/// Counters of an IntakeBudget.
struct IntakeCounters
{
    std::uint64_t waited = 0;
    std::uint64_t refused = 0;
    std::uint64_t droppedStalled = 0;
    std::uint64_t droppedForConnections = 0;
    bool operator==(const IntakeCounters &) const = default;
};

/// Memory that callers' requests hold.
class IntakeBudget
{
public:
    /// Requests that take more are large.
    static constexpr std::size_t smallBytes = 65'536;
    /// A transfer of fewer bytes within the stall limit counts as stalled.
    static constexpr std::size_t minProgressBytes = 4'096;
    /// An unfinished request without progress for this time may be dropped.
    static constexpr std::chrono::milliseconds stallLimit{1000};
    /// A large request waits for at most this time; idempotent requests that are not read after a
    /// second are given up by their callers.
    static constexpr std::chrono::milliseconds maxWait{500};
    /// Interval at which tick() is to be called.
    static constexpr std::chrono::milliseconds tickInterval{100};

    /// \param limit in bytes.
    explicit IntakeBudget(std::size_t limit);

    /// Adds an open connection. Returns its id.
    IntakeId open();
    /// Removes a connection, with what its unfinished request holds.
    void close(IntakeId id);

    /// Reserves \p bytes in total for the unfinished request of \p id.
    IntakeDecision reserve(IntakeId id, std::size_t bytes);
    /// Records that \p bytes of the unfinished request of \p id arrived.
    void recordReceived(IntakeId id, std::size_t bytes);
    /// Turns the reservation of \p id into one of \p bytes for the complete request, which is kept
    /// until release(). Returns whether it fits.
    [[nodiscard]] bool complete(IntakeId id, std::size_t bytes);
    /// Gives up the reservation of \p id for its unfinished request.
    void abandon(IntakeId id);
    /// Records that a request of \p id, counted by complete() or abandon(), is answered.
    void recordAnswered(IntakeId id);

    /// Reserves \p bytes that no connection of a caller holds. Returns whether they fit.
    [[nodiscard]] bool take(std::size_t bytes);
    /// Releases the reservation of \p bytes that complete() or take() made.
    void release(std::size_t bytes);

    /// Makes room for \p count other connections: drops those that have been without a request or
    /// without progress for the longest time, unfinished requests that have stalled first.
    void dropIdleConnections(std::size_t count);
    /// Advances the time. Time beyond two intervals is left out, as the process was suspended.
    void tick(TimePoint now);

    /// Returns the decisions since the last call.
    [[nodiscard]] IntakeChanges takeChanges();

    [[nodiscard]] std::size_t used() const { return m_used; }
    [[nodiscard]] std::size_t limit() const { return m_limit; }
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] const IntakeCounters &counters() const { return m_counters; }

private:
    struct Connection
    {
        std::size_t held = 0;     ///< Reserved for its unfinished request.
        std::size_t wanted = 0;   ///< Reserved when it no longer waits; 0 if it doesn't wait.
        std::size_t received = 0; ///< Since progressAt.
        std::size_t inProgress = 0;
        Duration progressAt{}; ///< Of m_time.
        Duration waitsSince{}; ///< Of m_time.
        bool isDropped = false;
    };

    [[nodiscard]] static bool isLarge(std::size_t bytes) { return bytes > smallBytes; }
    [[nodiscard]] std::size_t maxLarge() const { return m_limit - m_limit / 4; }
    [[nodiscard]] bool fits(std::size_t held, std::size_t bytes) const;
    [[nodiscard]] bool isStalled(const Connection &connection) const;
    [[nodiscard]] std::size_t heldByWaiting() const;
    void setHeld(Connection &connection, std::size_t bytes);
    void add(std::size_t bytes);
    void remove(std::size_t bytes);
    void drop(IntakeId id, Connection &connection);
    void dropStalled(std::size_t held, std::size_t bytes);
    void grantWaiting();

    std::size_t m_limit;
    std::size_t m_maxWaiting;
    std::size_t m_used = 0;
    std::size_t m_large = 0; ///< The part of m_used that large requests hold.
    std::map<IntakeId, Connection> m_connections;
    std::deque<IntakeId> m_waiting; ///< In the order of their arrival.
    IntakeId m_nextId = 1;
    TimePoint m_tickedAt;
    Duration m_time{}; ///< For which the process was not suspended.
    /// When dropping all stalled requests wasn't enough for a large or a small one; of m_time.
    std::optional<Duration> m_largeFailedAt;
    std::optional<Duration> m_smallFailedAt;
    IntakeChanges m_changes;
    IntakeCounters m_counters;
};

} // namespace harelink

#endif // HARELINK_KERNEL_INTAKEBUDGET_H
