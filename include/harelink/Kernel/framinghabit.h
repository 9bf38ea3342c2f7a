//===- harelink/Kernel/framinghabit.h - Usual framing of answers -*- C++ -*-===//
///
/// \file
/// Learns whether an endpoint marks the end of its answers by a length or chunks. An answer without
/// a marked end of one that does was most likely broken off. What another run of the same request
/// shows of an answer without a marked end is stronger evidence.
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
    /// Unmarked answers for which it counts that another run showed one to be whole.
    static constexpr int trustedAnswers = 32;

    void record(bool isMarked)
    {
        if (isMarked) {
            m_marked = std::min(m_marked + 1, minAnswers);
            m_unmarkedInRow = 0;
            m_brokeOff = false;
            return;
        }
        m_trustedAnswers = std::max(m_trustedAnswers - 1, 0);
        m_unmarkedInRow = std::min(m_unmarkedInRow + 1, minAnswers);
        if (m_unmarkedInRow == minAnswers) {
            m_marked = 0;
        }
    }
    /// Records that another run showed an unmarked answer to be whole, or a part.
    void recordComparison(bool isWhole)
    {
        m_trustedAnswers = isWhole ? trustedAnswers : 0;
        m_brokeOff = !isWhole;
    }
    /// Returns whether an answer was recorded.
    [[nodiscard]] bool isKnown() const { return m_marked > 0 || m_unmarkedInRow > 0; }
    /// Returns whether the end of its last answer was marked.
    [[nodiscard]] bool markedLast() const { return m_marked > 0 && m_unmarkedInRow == 0; }
    /// Returns whether the endpoint marks the end of its answers.
    [[nodiscard]] bool isMarking() const { return m_marked == minAnswers; }
    /// Returns whether it has marked none so far, or no more, in several answers: another run there
    /// would confirm nothing.
    [[nodiscard]] bool isOpen() const { return m_marked == 0 && m_unmarkedInRow > 1; }
    /// Returns whether another run showed recently that its unmarked answers are whole.
    [[nodiscard]] bool isTrusted() const { return m_trustedAnswers > 0; }
    /// Returns whether another run showed an unmarked answer to be a part, and none of those that
    /// followed to be whole.
    [[nodiscard]] bool brokeOff() const { return m_brokeOff; }

private:
    int m_marked = 0;
    int m_unmarkedInRow = 0;
    int m_trustedAnswers = 0;
    bool m_brokeOff = false;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FRAMINGHABIT_H
