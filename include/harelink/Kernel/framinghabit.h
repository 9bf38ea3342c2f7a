//===- harelink/Kernel/framinghabit.h - Usual framing of answers -*- C++ -*-===//
///
/// \file
/// Learns whether the answers of a pool usually have a marked end. Where they do, an answer without
/// one was most likely broken off.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_FRAMINGHABIT_H
#define HARELINK_KERNEL_FRAMINGHABIT_H

#include "harelink/Kernel/proxied.h"
#include "harelink/Support/clock.h"

namespace harelink {

/// How often the recent answers of a pool had a length or came in chunks.
class FramingHabit
{
public:
    /// Answers from which on there is a habit.
    static constexpr int minAnswers = 8;
    /// What was learned is forgotten if no answer comes for this time.
    static constexpr std::chrono::minutes maxAge{10};

    void record(AnswerFraming framing, TimePoint now)
    {
        if (now - m_recordedAt > maxAge) {
            m_answers = 0;
            m_markedShare = unknownShare;
        }
        m_recordedAt = now;
        m_answers += m_answers < minAnswers ? 1 : 0;
        const double sample = framing == AnswerFraming::Connection ? 0 : 1;
        m_markedShare += (sample - m_markedShare) * sampleWeight;
    }
    /// Returns whether most recent answers had a marked end.
    [[nodiscard]] bool isUsuallyMarked(TimePoint now) const
    {
        return isKnown(now) && m_markedShare > unknownShare;
    }
    /// Returns whether most recent answers had none.
    [[nodiscard]] bool isUsuallyOpen(TimePoint now) const
    {
        return isKnown(now) && m_markedShare < unknownShare;
    }

private:
    static constexpr double unknownShare = 0.5;
    static constexpr double sampleWeight = 1.0 / 16;

    [[nodiscard]] bool isKnown(TimePoint now) const
    {
        return m_answers >= minAnswers && now - m_recordedAt <= maxAge;
    }

    int m_answers = 0; ///< Up to minAnswers.
    double m_markedShare = unknownShare;
    TimePoint m_recordedAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_FRAMINGHABIT_H
