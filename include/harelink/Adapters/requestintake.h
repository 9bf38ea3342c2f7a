//===- harelink/Adapters/requestintake.h - Memory of requests ---*- C++ -*-===//
///
/// \file
/// The budget for the memory of callers' requests, shared by the threads of a process.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_REQUESTINTAKE_H
#define HARELINK_ADAPTERS_REQUESTINTAKE_H

#include "harelink/Kernel/intakebudget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace harelink {

class RequestIntake;

/// Keeps a reservation of memory until it is destroyed.
class IntakeTicket
{
public:
    /// \param intake must outlive this object.
    IntakeTicket(RequestIntake &intake, std::size_t bytes)
        : m_intake(intake)
        , m_bytes(bytes)
    {
    }
    ~IntakeTicket();
    IntakeTicket(const IntakeTicket &) = delete;
    IntakeTicket &operator=(const IntakeTicket &) = delete;

private:
    RequestIntake &m_intake;
    std::size_t m_bytes;
};

/// What is decided about a connection after a call for another one returned.
enum class IntakeEvent {
    Granted,
    Refused,
    Dropped,
};

/// An IntakeBudget for several threads. The callbacks of connections are called on any of them,
/// without a lock held.
class RequestIntake
{
public:
    using Callback = std::function<void(IntakeEvent)>;

    /// \param limit in bytes.
    explicit RequestIntake(std::size_t limit)
        : m_budget(limit)
    {
    }

    /// See IntakeBudget for the functions of the same name.
    IntakeId open(Callback callback);
    void close(IntakeId id);
    IntakeDecision reserve(IntakeId id, std::size_t bytes);
    void recordReceived(IntakeId id, std::size_t bytes);
    /// Returns the reservation of the complete request; null if it doesn't fit.
    [[nodiscard]] std::shared_ptr<const IntakeTicket> complete(IntakeId id, std::size_t bytes);
    void abandon(IntakeId id);
    void recordAnswered(IntakeId id);
    /// Returns a reservation of \p bytes; null if they don't fit.
    [[nodiscard]] std::shared_ptr<const IntakeTicket> take(std::size_t bytes);
    void dropIdleConnections(std::size_t count);
    void tick(TimePoint now);

    /// Appends the metrics as Prometheus text.
    void render(std::string &out) const;

private:
    friend class IntakeTicket;

    void release(std::size_t bytes);
    /// Calls \p change with the budget, then the callbacks of the connections that it affected.
    template <typename Change>
    auto apply(const Change &change);

    mutable std::mutex m_mutex; ///< Guards the members below.
    IntakeBudget m_budget;
    std::unordered_map<IntakeId, Callback> m_callbacks;
    IntakeCounters m_logged;
    TimePoint m_loggedAt;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_REQUESTINTAKE_H
