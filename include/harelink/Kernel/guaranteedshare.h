//===- harelink/Kernel/guaranteedshare.h - Guaranteed shares ----*- C++ -*-===//
///
/// \file
/// Keeps the guaranteed minimum of a group (a priority class or an account) of the work that a
/// queue dispatches. Used where more urgent work goes first, so that the other groups with
/// waiting work are not starved.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_GUARANTEEDSHARE_H
#define HARELINK_KERNEL_GUARANTEEDSHARE_H

#include <algorithm>
#include <cstdint>

namespace harelink {

/// Whether a queue guarantees minimums. Always so in production; a control of a test lacks them.
struct PriorityOptions
{
    bool guaranteesMinimum = true;
};

/// The guaranteed minimum because of which work is dispatched before more urgent work.
enum class Guarantee { None, OfClass, OfAccount };

/// What one group is owed of its guaranteed share.
class GuaranteedShare
{
public:
    /// One unit of work, such as one request or one piece. An integer, so that ten tenths are
    /// exactly one unit.
    static constexpr std::int64_t unit = 1'000'000;
    /// The guaranteed share of a priority class with waiting work: a tenth.
    static constexpr std::int64_t classShare = unit / 10;

    /// Records that the queue dispatched \p amount units of any group while this one was waiting.
    ///
    /// \param share of this group, in \c unit parts.
    void accrue(std::int64_t share, std::int64_t amount)
    {
        m_owed = std::min(m_owed + share * amount, maxOwed);
    }
    /// Records that the queue dispatched \p amount units of any group while this one was not
    /// waiting: nothing is owed to it, but more than its share is made up for.
    void accrueWithoutWork(std::int64_t share, std::int64_t amount)
    {
        m_owed = std::min<std::int64_t>(m_owed + share * amount, 0);
    }
    /// Records that this group has no work left: nothing is owed to it, but more than its share is
    /// made up for.
    void cancel() { m_owed = std::min<std::int64_t>(m_owed, 0); }
    /// Records that the queue dispatched \p amount units of this group.
    ///
    /// \param isByGuarantee Whether because of what it is owed. Work that is dispatched in its own
    ///     order reduces what is owed to zero at most.
    void settle(std::int64_t amount, bool isByGuarantee)
    {
        const std::int64_t owedAfter = m_owed - amount * unit;
        m_owed = isByGuarantee ? owedAfter : std::max(owedAfter, std::min<std::int64_t>(m_owed, 0));
    }
    /// Returns whether the next dispatch is due to this group.
    [[nodiscard]] bool isOwed() const { return m_owed >= unit; }
    /// Returns what is owed, in \c unit parts; negative after more than the guaranteed share.
    [[nodiscard]] std::int64_t owed() const { return m_owed; }

private:
    /// A group whose work could not be dispatched for a while, for example for lack of buffer
    /// space, does not displace all other work afterwards.
    static constexpr std::int64_t maxOwed = 20 * unit;

    std::int64_t m_owed = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_GUARANTEEDSHARE_H
