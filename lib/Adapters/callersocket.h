//===- callersocket.h - Sockets of a server's connections -------*- C++ -*-===//
///
/// \file
/// The sockets of an HTTP server, with what the system has not delivered to their peers.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_LIB_ADAPTERS_CALLERSOCKET_H
#define HARELINK_LIB_ADAPTERS_CALLERSOCKET_H

#include "harelink/Adapters/requestintake.h"
#include "harelink/Adapters/stalltimer.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include <asio.hpp>

namespace harelink {

/// Bytes that were written to sockets and that their peers have not acknowledged.
struct UnacknowledgedBytes
{
    std::size_t sockets = 0; ///< Sockets with such bytes.
    std::size_t bytes = 0;   ///< Sum over all sockets.
};

/// Bounds of the requests of a server.
struct RequestLimits
{
    std::size_t headBytes = 0; ///< Of a head, and of the trailers of a body in chunks.
    std::size_t bodyBytes = 0;
    std::size_t bodyCopies = 1;      ///< Of a body, while the request is handled.
    RequestIntake *intake = nullptr; ///< Must outlive the server; null for none.
};

/// Lets other threads post tasks to a server until it stops.
class TaskGate
{
public:
    template <typename Executor, typename Task>
    void post(const Executor &executor, Task &&task)
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        if (!m_isClosed) {
            asio::post(executor, std::forward<Task>(task));
        }
    }
    void close()
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_isClosed = true;
    }

private:
    std::mutex m_mutex;
    bool m_isClosed = false;
};

/// The open connections of a server. Thread-safe. Exists once for each io_context.
class OpenSockets : public asio::execution_context::service
{
public:
    using key_type = OpenSockets; // NOLINT(readability-identifier-naming): Required by Asio.
    static asio::execution_context::id id;

    explicit OpenSockets(asio::execution_context &context);

    /// Limits the time for which a write may make no progress.
    void setWriteLimit(Duration limit) { m_writeLimit = limit; }
    /// Must be called before the server starts.
    void setRequestLimits(const RequestLimits &limits) { m_requestLimits = limits; }
    [[nodiscard]] const RequestLimits &requestLimits() const { return m_requestLimits; }
    [[nodiscard]] const std::shared_ptr<TaskGate> &gate() const { return m_gate; }
    void add(int descriptor);
    /// Must be called before \p descriptor is closed.
    void remove(int descriptor);
    void beginWrite(int descriptor);
    /// Ends a write of which the system took a part at least, or that failed.
    void endWrite(int descriptor);
    /// Ends the connections with a write that makes no progress. Must be called each
    /// writeCheckInterval; time in which this process was suspended is left out.
    void endStalledWrites();

    static constexpr std::chrono::milliseconds writeCheckInterval{500};

    [[nodiscard]] UnacknowledgedBytes unacknowledged() const;

private:
    /// The writes to a socket, one at a time.
    struct Writes
    {
        StallTimer timer;
        bool isWriting = false;
        std::size_t unacknowledged = 0; ///< At the last check.
    };

    void shutdown() override {}

    const SystemClock m_clock;
    Duration m_writeLimit = std::chrono::seconds(5);
    RequestLimits m_requestLimits;
    const std::shared_ptr<TaskGate> m_gate = std::make_shared<TaskGate>();
    mutable std::mutex m_mutex; ///< Guards the members below; held during queries of the system.
    std::map<int, Writes> m_sockets; ///< By descriptor.
    TimePoint m_checkedAt;
    SuspensionMeter m_suspensions{writeCheckInterval};
};

/// Keeps a descriptor among the open ones.
class OpenSocketEntry
{
public:
    OpenSocketEntry() = default;
    OpenSocketEntry(OpenSockets &sockets, int descriptor);
    OpenSocketEntry(OpenSocketEntry &&other) noexcept;
    OpenSocketEntry &operator=(OpenSocketEntry &&other) noexcept;
    OpenSocketEntry(const OpenSocketEntry &) = delete;
    OpenSocketEntry &operator=(const OpenSocketEntry &) = delete;
    ~OpenSocketEntry();

    void beginWrite() const;
    void endWrite() const;

private:
    OpenSockets *m_sockets = nullptr;
    int m_descriptor = -1;
};

/// What has arrived of the request that a connection reads.
class UnfinishedRequest
{
public:
    virtual ~UnfinishedRequest() = default;
    /// Returns an upper bound for the memory that it takes when another \p bytes were read;
    /// std::nullopt if its head exceeds the limit.
    [[nodiscard]] virtual std::optional<std::size_t> memoryAfter(std::size_t bytes) const = 0;
    /// Returns whether its head is complete.
    [[nodiscard]] virtual bool hasHead() const = 0;
    /// Frees what the parser keeps without need, and keeps its buffers from growing by copies.
    virtual void prepareRead() = 0;
    /// Drops the body, so that RESTinio takes the request for complete. It must be refused, and
    /// nothing more may be read from its connection.
    virtual void cutOffBody() = 0;
};

/// A socket of a RESTinio server that is counted among the open ones while it is connected.
///
/// A read begins only when the memory for the request is reserved.
///
/// Closing ends the own direction and discards what still arrives until the peer has received
/// everything: the system resets a connection that is closed with unread bytes, and the peer then
/// loses the end of the last reply.
class CallerSocket : public asio::ip::tcp::socket
{
public:
    explicit CallerSocket(asio::io_context &context);

    /// Must be called once the socket is connected.
    ///
    /// \param notify calls handle() on the strand of the connection, unless that has ended.
    void handleConnected(std::unique_ptr<UnfinishedRequest> request,
                         RequestIntake::Callback notify);
    [[nodiscard]] const OpenSockets &sockets() const { return *m_sockets; }
    /// Handles a decision on the memory of the request.
    void handle(IntakeEvent event);
    /// Returns the id of this connection in the budget; 0 if there is none.
    [[nodiscard]] IntakeId intakeId() const { return m_intake ? m_intake->id : 0; }
    /// Returns whether the request was cut off because its memory was refused.
    [[nodiscard]] bool isCutOff() const { return m_reading == Reading::Never; }
    /// Sets whether the connection is reset when it is closed, also by the end of this process.
    void setResetOnClose(bool resets);
    /// Hide the functions of the base class for RESTinio, which calls one after the other.
    void shutdown(shutdown_type, std::error_code &) {}
    void close();
    /// Reads when the memory for it is reserved.
    template <typename Buffers, typename Handler>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_read_some(const Buffers &buffers, Handler &&handler)
    {
        switch (reserveMemory(buffers.size())) {
        case Reading::Now:
            readNow(buffers, std::forward<Handler>(handler));
            return;
        case Reading::Later:
        case Reading::Never:
            holdBack(buffers, std::forward<Handler>(handler));
            return;
        case Reading::CutOff:
            // RESTinio gets no bytes, and finds the request complete.
            m_reading = Reading::Never;
            complete(std::error_code(), std::forward<Handler>(handler));
            return;
        case Reading::Failed:
            complete(asio::error::connection_reset, std::forward<Handler>(handler));
            return;
        }
    }
    /// Measures the writes of RESTinio.
    template <typename Buffers, typename Handler>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_write_some(const Buffers &buffers, Handler &&handler)
    {
        m_entry.beginWrite();
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_write_some(
            buffers, asio::bind_executor(
                         executor, [this, handler = std::forward<Handler>(handler)](
                                       const std::error_code &error, std::size_t written) mutable {
                             m_entry.endWrite();
                             std::move(handler)(error, written);
                         }));
    }

private:
    enum class Reading {
        Now,
        Later,  ///< When the reservation no longer waits.
        CutOff, ///< Never, and the request ends here.
        Never,
        Failed, ///< The connection is to be closed.
    };
    /// The place of this connection in the budget.
    struct IntakeEntry
    {
        IntakeEntry(RequestIntake &budget, RequestIntake::Callback callback)
            : intake(budget)
            , id(budget.open(std::move(callback)))
        {
        }
        ~IntakeEntry() { intake.close(id); }
        IntakeEntry(const IntakeEntry &) = delete;
        IntakeEntry &operator=(const IntakeEntry &) = delete;

        RequestIntake &intake;
        IntakeId id;
    };

    [[nodiscard]] Reading reserveMemory(std::size_t bytes);
    [[nodiscard]] Reading refuse();

    /// Calls \p handler without bytes.
    template <typename Handler>
    void complete(std::error_code error, Handler &&handler)
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::post(executor, [error, handler = std::forward<Handler>(handler)]() mutable {
            std::move(handler)(error, 0);
        });
    }
    template <typename Buffers, typename Handler>
    void readNow(const Buffers &buffers, Handler &&handler)
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_read_some(
            buffers, asio::bind_executor(
                         executor, [this, handler = std::forward<Handler>(handler)](
                                       const std::error_code &error, std::size_t read) mutable {
                             if (m_intake) {
                                 m_intake->intake.recordReceived(m_intake->id, read);
                             }
                             std::move(handler)(error, read);
                         }));
    }
    /// Reads when handle() ends the wait. The timer keeps the handler, so that it is destroyed with
    /// the other operations of the server.
    template <typename Buffers, typename Handler>
    void holdBack(const Buffers &buffers, Handler &&handler)
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        m_waitEnd->expires_at(std::chrono::steady_clock::time_point::max());
        m_waitEnd->async_wait(
            asio::bind_executor(executor, [this, buffers, handler = std::forward<Handler>(handler)](
                                              const std::error_code &) mutable {
                if (is_open() && m_reading != Reading::Never) {
                    async_read_some(buffers, std::move(handler));
                } else {
                    std::move(handler)(std::error_code(asio::error::operation_aborted), 0);
                }
            }));
    }

    OpenSockets *m_sockets;
    bool m_resetsOnClose = false;
    /// Decided before, for a reservation that has waited.
    Reading m_reading = Reading::Now;
    std::unique_ptr<UnfinishedRequest> m_request;
    std::unique_ptr<asio::steady_timer> m_waitEnd; ///< Cancelled when a wait ends.
    std::unique_ptr<IntakeEntry> m_intake;         ///< Null for none.
    OpenSocketEntry m_entry; // Destroyed before the base class closes the descriptor.
};

} // namespace harelink

#endif // HARELINK_LIB_ADAPTERS_CALLERSOCKET_H
