//===- harelink/Kernel/loadaggregator.h - Sums of reported load -*- C++ -*-===//
///
/// \file
/// Sums the load in the heartbeats of a data centre and in the summaries of the other data
/// centres. All receivers of a round get the same sum, less their own part, so that a round
/// costs one pass over the reports and not one for each receiver.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_LOADAGGREGATOR_H
#define HARELINK_KERNEL_LOADAGGREGATOR_H

#include "harelink/Kernel/peers.h"
#include "harelink/Support/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The load that a relay has received and passes on.
class LoadAggregator
{
public:
    /// \param clock must outlive the aggregator.
    explicit LoadAggregator(const Clock &clock)
        : m_clock(clock)
    {
    }

    /// Records the load of a daemon of this data centre.
    void record(const std::string &host, const Heartbeat &heartbeat);
    /// Records the load of another data centre.
    void record(const std::string &dataCentre, const PeerSummary &summary);
    /// Records the load of this daemon.
    void recordOwn(const Heartbeat &own);
    /// Removes load that was reported more than \p ttl ago.
    void removeExpired(Duration ttl);

    /// Sums the recorded load for the summaries of one round.
    void beginRound();
    /// Adds the sum to \p summary, without the part of \p host, which receives it.
    ///
    /// \param isLocal whether the receiver belongs to this data centre, and so gets the load of
    ///     the other ones too.
    void addTo(PeerSummary &summary, const std::string &host, bool isLocal, bool hasUsage) const;
    /// Restarts the measurement of used time and of paces, after they were sent to all receivers.
    void resetUsedTime();

private:
    using AccountPool = std::pair<std::string, std::string>;
    struct AccountUsage
    {
        Duration time{}; ///< Since the last summary with usage.
        int demand = 0;
    };
    struct Prompts
    {
        std::int64_t tokens = 0;
        int calls = 0;
    };
    /// The load that one source reported last, or a sum of several.
    struct Load
    {
        TimePoint at;
        std::map<std::string, Prompts> prompts;
        PaceIncrements paces;     ///< Since the last summary with usage.
        std::string lastPace;     ///< The last endpoint of the previous batch from this source.
        std::string nextLastPace; ///< The same of this round's batch.
        std::map<AccountPool, AccountUsage> usage;
        std::vector<PieceBacklog> backlogs;
        std::uint32_t servingHosts = 0;
        std::uint32_t crowdedHosts = 0;
        std::uint32_t readsPerSecond = 0;
    };
    using LoadBySource = std::map<std::string, Load>;

    static void update(Load &load, const std::vector<PromptBacklog> &prompts,
                       const std::vector<PieceBacklog> &backlogs, TimePoint now);
    static void update(Load &load, const std::vector<UsageReport> &usage);
    static void update(Load &load, const std::vector<EndpointPaceReport> &paces);
    static void add(const Load &load, Load &total);
    static void addPrompts(const Load &total, const Load &excluded, PeerSummary &summary);
    static void addUsage(const Load &total, const Load &excluded, PeerSummary &summary);
    void addBacklogs(const Load &load, PeerSummary &summary) const;
    void chooseBatch();
    void resetPaces();
    template <typename Change>
    void changeSources(const Change &change);

    const Clock &m_clock;
    LoadBySource m_local;  ///< By host of this data centre.
    LoadBySource m_remote; ///< By other data centre.
    Load m_own;
    Load m_localTotal;                    ///< Of this data centre; without backlogs.
    Load m_globalTotal;                   ///< Of all data centres; without backlogs.
    std::vector<std::string> m_batchers;  ///< Hosts of this data centre that reported backlogs.
    std::vector<std::string> m_paceBatch; ///< Endpoints whose paces this round's summaries report.
    std::size_t m_paceRound = 0;          ///< The source that begins changes with it.
    TimePoint m_pacesResetAt;
};

} // namespace harelink

#endif // HARELINK_KERNEL_LOADAGGREGATOR_H
