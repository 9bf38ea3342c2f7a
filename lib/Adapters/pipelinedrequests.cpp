//===- pipelinedrequests.cpp - Requests of one connection -----------------===//

#include "pipelinedrequests.h"

#include <utility>

namespace harelink {

void PipelinedRequests::open(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_connections.try_emplace(connection);
}

void PipelinedRequests::close(std::uint64_t connection)
{
    // Destroyed after the mutex is released, as the requests keep their connection.
    Connection closed;
    const std::lock_guard<std::mutex> guard(m_mutex);
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        closed = std::move(found->second);
        m_connections.erase(found);
    }
}

bool PipelinedRequests::isOpen(std::uint64_t connection) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_connections.contains(connection);
}

void PipelinedRequests::add(std::uint64_t connection, Start start)
{
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        const auto found = m_connections.find(connection);
        if (found == m_connections.end()) {
            return;
        }
        if (std::exchange(found->second.isBusy, true)) {
            found->second.heldBack.push_back(std::move(start));
            return;
        }
    }
    start();
}

void PipelinedRequests::recordAnswered(std::uint64_t connection)
{
    Start next;
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        const auto found = m_connections.find(connection);
        if (found == m_connections.end()) {
            return;
        }
        Connection &requests = found->second;
        requests.isBusy = !requests.heldBack.empty();
        if (!requests.isBusy) {
            return;
        }
        next = std::move(requests.heldBack.front());
        requests.heldBack.pop_front();
    }
    next();
}

void PipelinedRequests::clear()
{
    std::map<std::uint64_t, Connection> closed;
    const std::lock_guard<std::mutex> guard(m_mutex);
    closed.swap(m_connections);
}

} // namespace harelink
