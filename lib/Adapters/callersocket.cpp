//===- callersocket.cpp - Sockets of a server's connections ---------------===//

#include "callersocket.h"

#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

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

} // namespace

asio::execution_context::id OpenSockets::id;

OpenSockets::OpenSockets(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void OpenSockets::add(int descriptor)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_descriptors.insert(descriptor);
}

void OpenSockets::remove(int descriptor)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_descriptors.erase(descriptor);
}

UnacknowledgedBytes OpenSockets::unacknowledged() const
{
    UnacknowledgedBytes all;
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (const int descriptor : m_descriptors) {
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

CallerSocket::CallerSocket(asio::io_context &context)
    : asio::ip::tcp::socket(context)
    , m_sockets(&asio::use_service<OpenSockets>(static_cast<asio::execution_context &>(context)))
{
}

void CallerSocket::handleConnected()
{
    m_entry = OpenSocketEntry(*m_sockets, native_handle());
}

void CallerSocket::close()
{
    m_entry = OpenSocketEntry();
    asio::ip::tcp::socket::close();
}

} // namespace harelink
