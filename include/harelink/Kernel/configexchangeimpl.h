//===- harelink/Kernel/configexchangeimpl.h - Definitions -------*- C++ -*-===//
///
/// \file
/// Definitions of BasicConfigExchange. Included only where it is instantiated.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGEXCHANGEIMPL_H
#define HARELINK_KERNEL_CONFIGEXCHANGEIMPL_H

#include "harelink/Kernel/configexchange.h"

#include <algorithm>
#include <map>

namespace harelink {

namespace configexchange {

/// Size limits of a page. Its objects take a tenth of a second on a link of 20 Mbit/s.
inline constexpr std::size_t maxPageBytes = 262'144;
inline constexpr std::size_t maxPageVersions = 2000;
/// A host that does not send its first page for this period is given up. A link keeps a message for
/// 300 ms until its connection is established, and then drops it.
inline constexpr std::chrono::milliseconds firstPageTimeout{400};
/// The same for the following pages, which may queue on a slow link.
inline constexpr std::chrono::milliseconds pageTimeout{1500};

} // namespace configexchange

template <GuardPolicy G>
BasicConfigExchange<G>::BasicConfigExchange(const Clock &clock, const Membership &membership,
                                            BasicConfigTable<G> &table)
    : m_clock(clock)
    , m_membership(membership)
    , m_table(table)
{
}

template <GuardPolicy G>
bool BasicConfigExchange<G>::start(const std::string &host, bool isFetch)
{
    if (m_pending) {
        return false;
    }
    m_pending = Pending{host, isFetch, false, m_clock.now()};
    requestPage();
    return true;
}

template <GuardPolicy G>
void BasicConfigExchange<G>::requestPage()
{
    m_pending->requestedAt = m_clock.now();
    ConfigDigest digest;
    digest.summary = m_table.summary();
    digest.bucketHashes = m_table.bucketHashes();
    digest.complete = !m_pending->isFetch;
    send(m_pending->host, std::move(digest));
}

template <GuardPolicy G>
void BasicConfigExchange<G>::handle(const std::string &host, const ConfigDigest &digest,
                                    bool isComplete)
{
    if (digest.bucketHashes.size() == BasicConfigTable<G>::bucketCount) {
        sendPage(host, digest, isComplete);
    } else if (digest.endsPage && m_pending && m_pending->host == host) {
        handlePageEnd(digest);
    } else if (digest.detailed && !digest.buckets.empty()) {
        handleVersions(host, digest);
    }
}

/// Replies to the bucket hashes of \p host. A daemon without a complete configuration sends no
/// objects: the receiver could not tell whether it has all. To a host that fetches, the objects of
/// all buckets that differ are sent, so that it has all of them when the last page ends: pushes may
/// have filled some buckets in part.
template <GuardPolicy G>
void BasicConfigExchange<G>::sendPage(const std::string &host, const ConfigDigest &request,
                                      bool isComplete)
{
    const std::vector<std::uint64_t> &peerHashes = request.bucketHashes;
    std::vector<PlatformObject> objects;
    ConfigDigest versions;
    versions.detailed = true;
    ConfigDigest end;
    end.summary = m_table.summary();
    end.endsPage = true;
    end.complete = isComplete;
    std::size_t bytes = 0;
    for (std::uint32_t i = 0; isComplete && i < peerHashes.size(); ++i) {
        if (peerHashes[i] == m_table.bucketHashes()[i]) {
            continue;
        }
        end.more = bytes >= configexchange::maxPageBytes
                   || versions.entries.size() >= configexchange::maxPageVersions;
        if (end.more) {
            break;
        }
        if (request.complete && peerHashes[i] != 0) {
            appendVersions(i, versions);
            continue;
        }
        for (const auto *entry : m_table.bucket(i)) {
            const auto &[key, state] = *entry;
            objects.push_back(
                {key.first, key.second, state.seenVersion, state.deleted, state.value});
            bytes += key.second.size() + state.value.size();
        }
    }
    if (!objects.empty()) {
        send(host, ConfigPush(std::move(objects)));
    }
    if (!versions.buckets.empty()) {
        send(host, std::move(versions));
    }
    send(host, std::move(end));
}

template <GuardPolicy G>
void BasicConfigExchange<G>::handlePageEnd(const ConfigDigest &digest)
{
    if (digest.complete && digest.more) {
        m_pending->hasReplied = true;
        requestPage();
        return;
    }
    m_hasCompleted = m_hasCompleted || (m_pending->isFetch && digest.complete);
    m_pending.reset();
}

template <GuardPolicy G>
void BasicConfigExchange<G>::appendVersions(std::uint32_t bucket, ConfigDigest &digest) const
{
    digest.buckets.push_back(bucket);
    for (const auto *entry : m_table.bucket(bucket)) {
        digest.entries.push_back(
            {entry->first.first, entry->first.second, entry->second.seenVersion});
    }
}

/// Sends the objects of the digest's buckets that \p host lacks, and requests those that this
/// daemon lacks by a reply with its own versions.
template <GuardPolicy G>
void BasicConfigExchange<G>::handleVersions(const std::string &host, const ConfigDigest &digest)
{
    std::map<Key, Version> peerVersions;
    for (const ConfigDigest::Entry &entry : digest.entries) {
        peerVersions[{entry.kind, entry.name}] = entry.version;
    }
    std::vector<PlatformObject> newer;
    ConfigDigest reply;
    reply.detailed = true;
    reply.reply = true;
    for (const std::uint32_t bucket : digest.buckets) {
        if (bucket >= BasicConfigTable<G>::bucketCount) {
            continue;
        }
        appendVersions(bucket, reply);
        for (const auto *entry : m_table.bucket(bucket)) {
            const auto &[key, state] = *entry;
            const auto found = peerVersions.find(key);
            if (found == peerVersions.end() || found->second < state.seenVersion) {
                newer.push_back(
                    {key.first, key.second, state.seenVersion, state.deleted, state.value});
            }
        }
    }
    if (!newer.empty()) {
        send(host, ConfigPush(std::move(newer)));
    }
    if (m_table.isBehind(peerVersions) && !digest.reply) {
        send(host, std::move(reply));
    }
}

template <GuardPolicy G>
void BasicConfigExchange<G>::send(const std::string &host, decltype(PeerMessage::content) content)
{
    if (std::optional<PeerSend> message = m_membership.messageTo(host, std::move(content))) {
        m_sends.push_back(*std::move(message));
    }
}

template <GuardPolicy G>
void BasicConfigExchange<G>::tick()
{
    if (m_pending && m_clock.now() >= givesUpAt()) {
        m_pending.reset();
    }
}

template <GuardPolicy G>
TimePoint BasicConfigExchange<G>::givesUpAt() const
{
    return m_pending->requestedAt
           + (m_pending->hasReplied ? configexchange::pageTimeout
                                    : configexchange::firstPageTimeout);
}

template <GuardPolicy G>
TimePoint BasicConfigExchange<G>::nextTick() const
{
    return m_pending ? givesUpAt() : TimePoint::max();
}

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGEXCHANGEIMPL_H
