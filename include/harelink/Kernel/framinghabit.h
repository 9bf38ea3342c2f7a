//===- harelink/Kernel/framinghabit.h - Usual framing of answers -*- C++ -*-===//
///
/// \file
/// Learns whether an endpoint marks the end of its answers by a length or chunks. An answer without
/// a marked end of one that does was most likely broken off.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_FRAMINGHABIT_H
#define HARELINK_KERNEL_FRAMINGHABIT_H

#include <algorithm>

namespace harelink {

/// How an endpoint has ended its answers to the requests of one route.
class FramingHabit
{
public:
    /// Marked answers that make a habit, and unmarked ones in a row that end it.
    static constexpr int minAnswers = 8;

    void record(bool isMarked)
    {
        if (isMarked) {
            m_marked = std::min(m_marked + 1, minAnswers);
            m_unmarkedInRow = 0;
            return;
        }
        m_unmarkedInRow = std::min(m_unmarkedInRow + 1, minAnswers);
        if (m_unmarkedInRow == minAnswers) {
            m_marked = 0;
        }
    }
    /// Returns whether the endpoint marks the end of its answers.
    [[nodiscard]] bool isMarking() const { return m_marked == minAnswers; }
    /// Returns whether it has marked none so far, or no more, in several answers: another run there
    /// would confirm nothing.
    [[nodiscard]] bool isOpen() const { return m_marked == 0 && m_unmarkedInRow > 1; }

private:
    int m_marked = 0;
    int m_unmarkedInRow = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FRAMINGHABIT_H
