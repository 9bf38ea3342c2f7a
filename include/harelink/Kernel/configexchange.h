//===- harelink/Kernel/configexchange.h - Paged comparison ------*- C++ -*-===//
///
/// \file
/// Compares the configuration of this daemon with that of one peer, and transfers what
/// either lacks.
///
/// The objects are divided into buckets by a hash of their names. The daemon sends a hash
/// over each bucket; the peer replies with the versions in those that differ, or with their
/// objects if the daemon fetches a whole configuration. Replies are pages of limited size,
/// requested one after the other.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_CONFIGEXCHANGE_H
#define HARELINK_KERNEL_CONFIGEXCHANGE_H

#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/membership.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The comparisons that one daemon requests, one at a time, and its replies to peers.
template <GuardPolicy G>
class BasicConfigExchange
{
public:
    /// All references must outlive the exchange.
    BasicConfigExchange(const Clock &clock, const Membership &membership,
                        BasicConfigTable<G> &table);

    /// Requests the first page from \p host, unless a request is pending. Returns whether it did.
    ///
    /// \param isFetch whether this daemon has no complete configuration and gets it from \p host.
    bool start(const std::string &host, bool isFetch);
    /// Returns whether a request is pending.
    [[nodiscard]] bool isPending() const { return m_pending.has_value(); }
    /// Handles a digest of \p host that concerns buckets.
    ///
    /// \param isComplete whether this daemon has a complete configuration that it may pass on.
    void handle(const std::string &host, const ConfigDigest &digest, bool isComplete);
    /// Returns whether a fetch has transferred a complete configuration.
    [[nodiscard]] bool hasCompleted() const { return m_hasCompleted; }
    /// Gives up a request without a reply.
    void tick();
    [[nodiscard]] TimePoint nextTick() const;
    [[nodiscard]] std::vector<PeerSend> drainSends() { return std::exchange(m_sends, {}); }

private:
    using Key = typename BasicConfigTable<G>::Key;
    struct Pending
    {
        std::string host;
        bool isFetch = false;
        bool hasReplied = false;
        TimePoint requestedAt;
    };

    void requestPage();
    void sendPage(const std::string &host, const ConfigDigest &request, bool isComplete);
    [[nodiscard]] TimePoint givesUpAt() const;
    void handlePageEnd(const ConfigDigest &digest);
    void handleVersions(const std::string &host, const ConfigDigest &digest);
    void appendVersions(std::uint32_t bucket, ConfigDigest &digest) const;
    void send(const std::string &host, decltype(PeerMessage::content) content);

    const Clock &m_clock;
    const Membership &m_membership;
    BasicConfigTable<G> &m_table;
    std::optional<Pending> m_pending;
    bool m_hasCompleted = false;
    std::vector<PeerSend> m_sends;
};

} // namespace harelink

#endif // HARELINK_KERNEL_CONFIGEXCHANGE_H
