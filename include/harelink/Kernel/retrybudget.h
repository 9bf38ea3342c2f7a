//===- harelink/Kernel/retrybudget.h - Repeated sends -----------*- C++ -*-===//
///
/// \file
/// Bounds how often requests to one pool are sent more than once. The bound is on
/// all daemons together; each takes a part that needs no talk: a share of its own
/// requests, and an equal part of the constant allowance.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_RETRYBUDGET_H
#define HARELINK_KERNEL_RETRYBUDGET_H

#include "harelink/Support/clock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace harelink {

/// What all daemons together may repeat within any window of the given length.
struct RetryBudgetOptions
{
    double ratio = 0.1;     ///< Repeats for each request of the window.
    double allowance = 200; ///< Repeats besides, of all daemons together.
    std::chrono::milliseconds window{10'000};
};

/// The budget of one daemon for one pool.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    /// A caller's request for the pool came in.
    void recordRequest(TimePoint now);
    /// A call beyond the first of its request was sent.
    void recordRetry(TimePoint now);
    /// Whether one more may be sent.
    ///
    /// \param daemons among which the allowance is divided; at least 1.
    [[nodiscard]] bool allows(TimePoint now, int daemons);

private:
    /// The window slides in steps of a part of it; it is kept longer than it has to be
    /// by one step, so that no true window holds more than was counted.
    static constexpr std::size_t slotCount = 21;
    struct Slot
    {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Slot &slotAt(TimePoint now);

    RetryBudgetOptions m_options;
    std::int64_t m_current = 0; ///< The number of the newest slot.
    std::array<Slot, slotCount> m_slots{};
};

} // namespace harelink

#endif // HARELINK_KERNEL_RETRYBUDGET_H
