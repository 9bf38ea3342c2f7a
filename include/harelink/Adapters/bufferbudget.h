//===- harelink/Adapters/bufferbudget.h - Bounds of buffers -----*- C++ -*-===//
///
/// \file
/// Bounds on the memory that slow callers and faulty endpoints can make a process hold.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_BUFFERBUDGET_H
#define HARELINK_ADAPTERS_BUFFERBUDGET_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace harelink {

/// A part of an endpoint's answer that has a bound.
enum class AnswerPart {
    Head,
    Body, ///< Of an answer that is not a stream.
    Event,
};
/// The number of enumerators of AnswerPart.
inline constexpr std::size_t answerPartCount = static_cast<std::size_t>(AnswerPart::Event) + 1;

/// Returns the name used in metrics and logs, such as "head".
[[nodiscard]] std::string_view toText(AnswerPart part);

/// Bounds on the answer to one call. An endpoint may send any bytes without end.
struct AnswerBounds
{
    /// Of all header sections, including interim ones (1xx) and trailers.
    std::size_t headBytes = 65'536;
    std::size_t headFields = 256;
    std::size_t bodyBytes = 8'388'608;  ///< Of an answer that is not a stream.
    std::size_t eventBytes = 1'048'576; ///< Of one event of a stream.
};

/// Returns the error message for an answer whose \p part exceeded \p bounds.
[[nodiscard]] std::string boundError(AnswerPart part, const AnswerBounds &bounds);

/// What each answer may hold although the budget of the process is used up, so that small answers
/// and callers who read are served on. One read of libcurl.
inline constexpr std::size_t guaranteedBytes = 16'384;

/// Counts what a process holds for its callers and endpoints. Thread-safe.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    void add(std::size_t bytes) { m_used.fetch_add(bytes, std::memory_order_relaxed); }
    void remove(std::size_t bytes) { m_used.fetch_sub(bytes, std::memory_order_relaxed); }
    [[nodiscard]] std::size_t used() const { return m_used.load(std::memory_order_relaxed); }
    [[nodiscard]] std::size_t limit() const { return m_limit; }
    /// Returns whether an answer that holds \p held bytes may hold more of them.
    [[nodiscard]] bool allowsMore(std::size_t held) const
    {
        return held <= guaranteedBytes || used() < m_limit;
    }
    /// Returns the same for an answer that can be paused. A quarter of the budget is left to those
    /// that cannot: a call that is ended for lack of space is held against its endpoint, which slow
    /// callers of other answers must not bring about.
    [[nodiscard]] bool allowsMoreOfStream(std::size_t held) const
    {
        return held <= guaranteedBytes || used() < m_limit - m_limit / 4;
    }

    void recordPause();
    void recordResume();
    void recordExceeded(AnswerPart part);
    void recordSlowCaller();
    /// Appends the metrics as Prometheus text.
    void render(std::string &out) const;

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
    std::atomic<std::int64_t> m_paused{0};
    std::atomic<std::uint64_t> m_pauses{0};
    std::atomic<std::uint64_t> m_slowCallers{0};
    std::array<std::atomic<std::uint64_t>, answerPartCount> m_exceeded{};
};

/// Counts the size of one buffer in a budget until it is destroyed.
class BufferedBytes
{
public:
    /// \param budget must outlive this object; null for none.
    explicit BufferedBytes(BufferBudget *budget)
        : m_budget(budget)
    {
    }
    ~BufferedBytes() { set(0); }
    BufferedBytes(const BufferedBytes &) = delete;
    BufferedBytes &operator=(const BufferedBytes &) = delete;

    /// Sets the size of the buffer.
    void set(std::size_t bytes);
    /// Returns whether the buffer may grow.
    [[nodiscard]] bool mayGrow() const
    {
        return m_budget == nullptr || m_budget->allowsMore(m_bytes);
    }

private:
    BufferBudget *m_budget;
    std::size_t m_bytes = 0;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_BUFFERBUDGET_H
