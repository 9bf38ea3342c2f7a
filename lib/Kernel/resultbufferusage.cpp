//===- resultbufferusage.cpp - Result buffer usage ------------------------===//

#include "harelink/Kernel/resultbufferusage.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace harelink {

ResultBufferUsage::Results::iterator ResultBufferUsage::erase(Results::iterator result)
{
    const auto bytes = m_bytes.find(result->second.endpoint);
    bytes->second -= result->second.bytes;
    if (bytes->second == 0) {
        m_bytes.erase(bytes);
    }
    return m_results.erase(result);
}

void ResultBufferUsage::add(const std::string &handle, BufferedResult result)
{
    (void)remove(handle);
    m_bytes[result.endpoint] += result.bytes;
    m_earliestExpiry = std::min(m_earliestExpiry, result.expiresAt);
    m_results.emplace(handle, std::move(result));
}

std::optional<BufferedResult> ResultBufferUsage::remove(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end()) {
        return std::nullopt;
    }
    BufferedResult result = found->second;
    erase(found);
    return result;
}

std::vector<std::string> ResultBufferUsage::removeOrderedBy(const std::string &host)
{
    std::vector<std::string> handles;
    for (auto result = m_results.begin(); result != m_results.end();) {
        if (result->second.host != host) {
            ++result;
            continue;
        }
        handles.push_back(result->first);
        result = erase(result);
    }
    return handles;
}

void ResultBufferUsage::removeEndpoint(const std::string &endpoint)
{
    std::erase_if(m_results,
                  [&endpoint](const auto &entry) { return entry.second.endpoint == endpoint; });
    m_bytes.erase(endpoint);
    m_fullUntil.erase(endpoint);
}

void ResultBufferUsage::expire(TimePoint now)
{
    if (now >= m_earliestExpiry) {
        m_earliestExpiry = TimePoint::max();
        for (auto result = m_results.begin(); result != m_results.end();) {
            const TimePoint expiry = result->second.expiresAt;
            if (expiry > now) {
                m_earliestExpiry = std::min(m_earliestExpiry, expiry);
            }
            result = expiry <= now ? erase(result) : std::next(result);
        }
    }
    std::erase_if(m_fullUntil, [now](const auto &entry) { return entry.second <= now; });
}

bool ResultBufferUsage::isFull(const std::string &endpoint, TimePoint now) const
{
    const auto until = m_fullUntil.find(endpoint);
    return until != m_fullUntil.end() && now < until->second;
}

std::uint64_t ResultBufferUsage::bytesAt(const std::string &endpoint) const
{
    const auto bytes = m_bytes.find(endpoint);
    return bytes == m_bytes.end() ? 0 : bytes->second;
}

} // namespace harelink
