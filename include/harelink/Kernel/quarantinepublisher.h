//===- harelink/Kernel/quarantinepublisher.h - Quarantines ------*- C++ -*-===//
///
/// \file
/// Publishes quarantines of requests as declared objects in the platform. They must outlive
/// the daemons, since the quarantined requests may take down all of them at once, and they are
/// distributed like all declared objects.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_QUARANTINEPUBLISHER_H
#define HARELINK_KERNEL_QUARANTINEPUBLISHER_H

#include "harelink/Config/resources.h"
#include "harelink/Kernel/configmachine.h"
#include "harelink/Kernel/platform.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace harelink {

/// The declared objects, as stored in a ConfigTable.
using ConfigEntries = std::map<std::pair<std::string, std::string>, ConfigEntry>;

/// Publishes the decisions of one daemon until they are visible in the platform.
class QuarantinePublisher
{
public:
    /// \param clock must outlive the publisher.
    /// \param kind of the declared objects.
    /// \param length of a quarantine.
    QuarantinePublisher(const Clock &clock, std::string kind, std::chrono::milliseconds duration);

    /// Quarantines requests with \p digest from now on.
    void add(const Hash128 &digest, const std::string &pool, std::vector<std::string> endpoints);
    /// Handles the result of a call; returns false if this publisher did not make it.
    bool handle(const PlatformResult &result);
    /// Declares the quarantine \p declared again after \p delay, since the platform has lost it.
    void publishAgain(const ConfigEntry &declared, Duration delay);
    /// Drops the decisions that are in \p declared by now and appends the calls that are due
    /// to \p calls.
    ///
    /// \param storeEra the era of the store; it may have lost what was declared in an earlier one.
    void tick(const ConfigEntries &declared, std::uint64_t storeEra,
              std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    [[nodiscard]] TimePoint nextTick() const;
    /// Returns the decisions that are not declared yet. They are already in force on this host.
    [[nodiscard]] std::vector<Resource> unpublished() const;

private:
    /// A quarantine to be declared.
    struct Decision
    {
        QuarantineSpec spec;
        std::uint64_t callId = 0; ///< Of the call in progress; 0 if none.
        TimePoint nextAttempt;
        Duration backOff{};
    };

    void declare(Decision &decision, const ConfigEntries &declared,
                 std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    void removeObsolete(const ConfigEntries &declared, std::vector<PlatformCall> &calls,
                        std::uint64_t &nextCallId) const;
    [[nodiscard]] bool isExpired(const ConfigEntry &entry) const;

    const Clock &m_clock;
    std::string m_kind;
    std::chrono::milliseconds m_duration;
    std::map<Hash128, Decision> m_decisions;
    std::uint64_t m_storeEra = 0;
};

} // namespace harelink

#endif // HARELINK_KERNEL_QUARANTINEPUBLISHER_H
