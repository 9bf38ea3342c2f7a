//===- callersocket.cpp - Sockets of a server's connections ---------------===//

#include "callersocket.h"

#include "harelink/Support/clock.h"

#include <array>
#include <memory>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace harelink {
namespace {

/// Returns the bytes of \p descriptor that were not acknowledged; 0 if the system doesn't report
/// them.
std::size_t unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes)
                                                                   : 0;
}

/// Interval at which a socket that is being closed is checked.
constexpr std::chrono::milliseconds closeCheckInterval{250};
/// A socket is closed at once when its peer has neither acknowledged anything nor ended its
/// direction for this time.
constexpr std::chrono::seconds closeLimit{5};
/// The same when the peer has acknowledged everything, and sends nothing.
constexpr std::chrono::seconds acknowledgedCloseLimit{1};
/// For how long a peer may go on sending what is discarded. One that has sent only a part of its
/// request reads the reply when it has sent all of it.
constexpr std::chrono::seconds discardLimit{5};

/// Closes a socket in the way that CallerSocket describes. Keeps itself until it is done.
class OrderlyClose : public std::enable_shared_from_this<OrderlyClose>
{
public:
    OrderlyClose(asio::ip::tcp::socket socket, OpenSocketEntry entry)
        : m_socket(std::move(socket))
        , m_entry(std::move(entry))
        , m_strand(asio::make_strand(m_socket.get_executor()))
        , m_timer(m_socket.get_executor())
        , m_unacknowledged(unacknowledgedBytes(m_socket.native_handle()))
    {
    }

    void start()
    {
        std::error_code error;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        if (error) {
            return; // The peer has ended the connection.
        }
        asio::dispatch(m_strand, [self = shared_from_this()] {
            self->discard();
            self->check();
        });
    }

private:
    void discard()
    {
        m_socket.async_read_some(
            asio::buffer(m_discarded),
            asio::bind_executor(
                m_strand, [self = shared_from_this()](const std::error_code &error, std::size_t) {
                    if (!error) {
                        self->m_hasReceived = true;
                        self->discard();
                    } else {
                        self->handleEnd(error);
                    }
                }));
    }

    void check()
    {
        m_timer.expires_after(closeCheckInterval);
        m_timer.async_wait(asio::bind_executor(
            m_strand, [self = shared_from_this()](const std::error_code &error) {
                if (!error) {
                    self->handleTimer();
                }
            }));
    }

    /// Handles the end of the peer's direction, or of the connection.
    void handleEnd(const std::error_code &error)
    {
        m_hasPeerEnded = true;
        if (error != asio::error::eof || unacknowledgedBytes(m_socket.native_handle()) == 0) {
            close();
        }
    }

    void handleTimer()
    {
        const std::size_t left = unacknowledgedBytes(m_socket.native_handle());
        m_time += closeCheckInterval;
        const bool isSending = std::exchange(m_hasReceived, false) && m_time < discardLimit;
        const bool isActive = left != m_unacknowledged || (left == 0 && isSending);
        m_idleTime = isActive ? std::chrono::milliseconds(0) : m_idleTime + closeCheckInterval;
        m_unacknowledged = left;
        const bool isOver = left == 0 ? m_hasPeerEnded || m_idleTime >= acknowledgedCloseLimit
                                      : m_idleTime >= closeLimit;
        if (isOver) {
            close();
        } else {
            check();
        }
    }

    void close()
    {
        std::error_code ignored;
        m_timer.cancel(ignored);
        m_entry = OpenSocketEntry();
        m_socket.close(ignored);
    }

    asio::ip::tcp::socket m_socket;
    OpenSocketEntry m_entry; // Destroyed before the socket.
    asio::strand<asio::ip::tcp::socket::executor_type> m_strand;
    asio::basic_waitable_timer<std::chrono::steady_clock> m_timer;
    std::size_t m_unacknowledged;            ///< At the last check.
    std::chrono::milliseconds m_time{0};     ///< Since the start.
    std::chrono::milliseconds m_idleTime{0}; ///< Since m_unacknowledged changed, or data arrived.
    bool m_hasReceived = false;              ///< Since the last check.
    bool m_hasPeerEnded = false;
    std::array<char, 4096> m_discarded{};
};

} // namespace

asio::execution_context::id OpenSockets::id;

OpenSockets::OpenSockets(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void OpenSockets::add(int descriptor)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_sockets.insert_or_assign(descriptor, Writes{StallTimer(m_writeLimit)});
}

void OpenSockets::remove(int descriptor)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_sockets.erase(descriptor);
}

void OpenSockets::beginWrite(int descriptor)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const auto found = m_sockets.find(descriptor);
    if (found != m_sockets.end()) {
        found->second.isWriting = true;
        found->second.timer.start(m_clock.now());
    }
}

void OpenSockets::endWrite(int descriptor)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const auto found = m_sockets.find(descriptor);
    if (found != m_sockets.end()) {
        found->second.isWriting = false;
        found->second.timer.recordProgress(m_clock.now());
    }
}

void OpenSockets::endStalledWrites()
{
    const TimePoint now = m_clock.now();
    const std::lock_guard<std::mutex> guard(m_mutex);
    const Duration suspended =
        m_checkedAt == TimePoint{}
            ? Duration::zero()
            : m_suspensions.recordDelay(now - m_checkedAt - Duration(writeCheckInterval));
    m_checkedAt = now;
    for (auto &[descriptor, writes] : m_sockets) {
        if (!writes.isWriting) {
            continue;
        }
        writes.timer.excludeTime(suspended, now);
        const std::size_t left = unacknowledgedBytes(descriptor);
        if (left < writes.unacknowledged) {
            writes.timer.recordProgress(now);
        }
        writes.unacknowledged = left;
        if (writes.timer.isStalled(now)) {
            // The write fails, and RESTinio closes the connection. What waits precedes the FIN, so
            // a connection that is to be reset is reset before its peer receives one.
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

UnacknowledgedBytes OpenSockets::unacknowledged() const
{
    UnacknowledgedBytes all;
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const auto &[descriptor, writes] : m_sockets) {
        const std::size_t bytes = unacknowledgedBytes(descriptor);
        all.sockets += bytes > 0 ? 1 : 0;
        all.bytes += bytes;
    }
    return all;
}

OpenSocketEntry::OpenSocketEntry(OpenSockets &sockets, int descriptor)
    : m_sockets(&sockets)
    , m_descriptor(descriptor)
{
    m_sockets->add(descriptor);
}

OpenSocketEntry::OpenSocketEntry(OpenSocketEntry &&other) noexcept
    : m_sockets(std::exchange(other.m_sockets, nullptr))
    , m_descriptor(other.m_descriptor)
{
}

OpenSocketEntry &OpenSocketEntry::operator=(OpenSocketEntry &&other) noexcept
{
    // The previous entry ends with the temporary.
    OpenSocketEntry taken(std::move(other));
    std::swap(m_sockets, taken.m_sockets);
    std::swap(m_descriptor, taken.m_descriptor);
    return *this;
}

OpenSocketEntry::~OpenSocketEntry()
{
    if (m_sockets != nullptr) {
        m_sockets->remove(m_descriptor);
    }
}

void OpenSocketEntry::beginWrite() const
{
    if (m_sockets != nullptr) {
        m_sockets->beginWrite(m_descriptor);
    }
}

void OpenSocketEntry::endWrite() const
{
    if (m_sockets != nullptr) {
        m_sockets->endWrite(m_descriptor);
    }
}

CallerSocket::CallerSocket(asio::io_context &context)
    : asio::ip::tcp::socket(context)
    , m_sockets(&asio::use_service<OpenSockets>(static_cast<asio::execution_context &>(context)))
{
}

void CallerSocket::handleConnected(std::unique_ptr<UnfinishedRequest> request,
                                   RequestIntake::Callback notify)
{
    RequestIntake *intake = m_sockets->requestLimits().intake;
    m_entry = OpenSocketEntry(*m_sockets, native_handle());
    m_request = std::move(request);
    m_waitEnd = std::make_unique<asio::steady_timer>(get_executor());
    if (intake != nullptr) {
        m_intake = std::make_unique<IntakeEntry>(*intake, std::move(notify));
    }
}

/// Reserves the memory that the request takes when another \p bytes were read.
CallerSocket::Reading CallerSocket::reserveMemory(std::size_t bytes)
{
    if (m_reading != Reading::Now) {
        return m_reading;
    }
    m_request->prepareRead();
    const std::optional<std::size_t> memory = m_request->memoryAfter(bytes);
    if (!memory) {
        return Reading::Failed;
    }
    if (!m_intake) {
        return Reading::Now;
    }
    switch (m_intake->intake.reserve(m_intake->id, *memory)) {
    case IntakeDecision::Granted:
        return Reading::Now;
    case IntakeDecision::Waiting:
        return Reading::Later;
    case IntakeDecision::Refused:
        break;
    }
    return refuse();
}

/// Ends the unfinished request, with a reply if its head is known.
CallerSocket::Reading CallerSocket::refuse()
{
    if (!m_request->hasHead()) {
        return Reading::Failed;
    }
    m_request->cutOffBody();
    return Reading::CutOff;
}

void CallerSocket::handle(IntakeEvent event)
{
    std::error_code ignored;
    if (!is_open() || m_reading == Reading::Never) {
        return;
    }
    switch (event) {
    case IntakeEvent::Granted:
        break;
    case IntakeEvent::Refused:
        m_reading = refuse();
        break;
    case IntakeEvent::Dropped:
        m_reading = Reading::Failed;
        // A read in progress ends, and RESTinio closes the connection.
        ::shutdown(native_handle(), SHUT_RD);
        break;
    }
    m_waitEnd->cancel(ignored);
}

void CallerSocket::setResetOnClose(bool resets)
{
    m_resetsOnClose = resets;
    // Asio's destructor would revoke the option if it had been set by set_option().
    const ::linger option{resets ? 1 : 0, 0};
    (void)::setsockopt(native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void CallerSocket::close()
{
    if (!is_open()) {
        return;
    }
    std::error_code ignored;
    if (m_waitEnd) {
        m_waitEnd->cancel(ignored);
    }
    m_intake.reset();
    if (m_resetsOnClose) {
        m_entry = OpenSocketEntry();
        asio::ip::tcp::socket::close(ignored);
        return;
    }
    cancel(ignored);
    std::make_shared<OrderlyClose>(asio::ip::tcp::socket(std::move(*this)), std::move(m_entry))
        ->start();
}

} // namespace harelink
