//===- harelink/Kernel/streamorigins.h - Origins of streams -----*- C++ -*-===//
///
/// \file
/// Remembers where streams began, at the host that served them and at a few others, so that a
/// caller can take a stream up again at any host.
///
/// The host of a stream reports its origin to hosts of its own data centre and of others that
/// rendezvous hashing selects by the stream. A host that is asked to continue an unknown stream
/// queries those hosts. A record may be lost with the hosts that hold it, or dropped for want of
/// space; the origin is then unknown, and the stream is not continued.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_STREAMORIGINS_H
#define HARELINK_KERNEL_STREAMORIGINS_H

#include "harelink/Kernel/membership.h"
#include "harelink/Kernel/streams.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// Origins by stream, bounded in time and number. The oldest are dropped first.
class StreamTable
{
public:
    /// \param clock must outlive the table.
    StreamTable(const Clock &clock, std::size_t capacity)
        : m_clock(clock)
        , m_capacity(capacity)
    {
    }

    /// Adds a record. If the stream is known with another origin, its origin is unknown from now
    /// on, as two streams were given the same key.
    void add(const StreamRecord &record);
    /// From now on, the origin of a stream is unknown if the successor of the endpoint may have
    /// begun it.
    void add(const EndpointEnded &ended);
    /// Returns the record of \p stream with its remaining lifetime, or std::nullopt.
    [[nodiscard]] std::optional<StreamRecord> find(const Hash128 &stream) const;
    /// Returns all records that find() returns.
    [[nodiscard]] std::vector<StreamRecord> records() const;
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        StreamOrigin origin;
        TimePoint expiresAt;
        std::string endpoint; ///< That began the stream; empty if unknown.
        TimePoint sentAt;     ///< When the call was sent to it.
        bool isAmbiguous = false;
    };
    /// An endpoint whose successor has another software version.
    struct Ended
    {
        TimePoint ranUntil; ///< See EndpointEnded.
        TimePoint expiresAt;
    };

    void dropOldest();
    [[nodiscard]] bool mayBeOfSuccessor(const Entry &entry) const;

    const Clock &m_clock;
    std::size_t m_capacity;
    absl::flat_hash_map<Hash128, Entry> m_entries;
    std::deque<Hash128> m_order;                     ///< Oldest first.
    absl::flat_hash_map<std::string, Ended> m_ended; ///< By endpoint.
};

/// The result of a lookup, for logs.
struct StreamLookup
{
    StreamLocated located;
    std::string callerId;
    Hash128 stream;
    std::string host; ///< That knew the origin; empty for this host, or if none did.
    std::size_t askedHosts = 0;
    Duration elapsed{};
};

/// The origins that one daemon knows, and its lookups at others.
class StreamOrigins
{
public:
    /// A lookup without an answer ends after this time.
    static constexpr std::chrono::milliseconds lookupTimeout{400};
    /// The same for a daemon that has just started and may not know its peers yet.
    static constexpr std::chrono::milliseconds startLookupTimeout{1000};

    /// Both references must outlive the object.
    StreamOrigins(const Clock &clock, const Membership &membership);

    /// Event handlers.
    void handle(const StreamBegan &event);
    void handle(const EndpointEnded &event) { m_table.add(event); }
    void handle(const LocateStream &event);
    void handle(const StreamRecords &message);
    void handle(const std::string &host, const StreamQuery &message);
    void handle(const std::string &host, const StreamReply &message);
    /// Returns whether lookups wait until it is known that no endpoint had started again unnoticed.
    [[nodiscard]] bool awaitsConfirmation() const;
    /// Returns the time up to which all changes of endpoints must be known for that; requires
    /// awaitsConfirmation().
    [[nodiscard]] TimePoint confirmationNeeded() const;
    /// Ends lookups that began at \p until or earlier and wait for the changes of endpoints, which
    /// are known up to then.
    void confirm(TimePoint until);
    /// Sends the records that this host holds to others before a planned stop.
    void handOver();
    /// Queries hosts that have become known since, and ends lookups that are due.
    void tick();
    [[nodiscard]] TimePoint nextTick() const;

    /// Return the actions since the last call.
    [[nodiscard]] std::vector<PeerSend> drainSends() { return std::exchange(m_sends, {}); }
    [[nodiscard]] std::vector<StreamLookup> drainLookups() { return std::exchange(m_ended, {}); }
    /// Number of streams whose origin is known.
    [[nodiscard]] std::size_t size() const { return m_table.size(); }

private:
    /// A lookup in progress.
    struct Pending
    {
        std::vector<LocateStream> requests;
        std::set<std::string> asked;
        std::set<std::string> silent; ///< Of these, those that have not replied.
        TimePoint startedAt;
        TimePoint queriedAt; ///< When the silent hosts were last queried.
        /// The origin is known, if its endpoint has not started again unnoticed.
        bool awaitsConfirmation = false;
        std::string source; ///< The host that knew the origin; empty for this one.
    };

    [[nodiscard]] bool isStarting() const;
    void refreshHolders();
    void keepSilentHolders(std::map<std::string, std::vector<std::string>> previous);
    [[nodiscard]] std::vector<std::string> dataCentresFor(const Hash128 &stream,
                                                          std::size_t count) const;
    [[nodiscard]] std::vector<std::string> receiversOf(const Hash128 &stream) const;
    void query(const Hash128 &stream, Pending &pending);
    [[nodiscard]] bool hasEnded(const Pending &pending) const;
    [[nodiscard]] bool handleKnown(const Hash128 &stream, Pending &pending,
                                   const std::string &host);
    void end(const Hash128 &stream, const Pending &pending,
             const std::optional<StreamOrigin> &origin, const std::string &host);
    void send(const std::string &host, decltype(PeerMessage::content) content);

    const Clock &m_clock;
    const Membership &m_membership;
    TimePoint m_startedAt;
    StreamTable m_table;
    /// By data centre: the hosts that may hold records, in order of preference.
    std::map<std::string, std::vector<std::string>> m_holders;
    /// Data centres without a live host, whose former holders are kept until the next refresh.
    std::set<std::string> m_silentDataCentres;
    TimePoint m_nextRefresh = TimePoint::min();
    std::map<Hash128, Pending> m_pending;
    std::vector<PeerSend> m_sends;
    std::vector<StreamLookup> m_ended;
};

} // namespace harelink

#endif // HARELINK_KERNEL_STREAMORIGINS_H
