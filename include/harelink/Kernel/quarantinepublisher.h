//===- harelink/Kernel/quarantinepublisher.h - Who is not run --------*- C++ -*-===//
///
/// \file
/// Declares in the platform which requests are not run any more. What is declared outlives
/// every daemon: all of them may end at once under the very requests that it tells of. It
/// spreads as all declared objects do.
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

/// The declared objects as a ConfigTable holds them.
using ConfigEntries = std::map<std::pair<std::string, std::string>, ConfigEntry>;

/// The decisions of one daemon that are not seen in the platform yet.
class QuarantinePublisher
{
public:
    /// \param clock outlives the book.
    /// \param kind of the objects.
    /// \param length of a quarantine.
    QuarantinePublisher(const Clock &clock, std::string kind, std::chrono::milliseconds length);

    /// Requests with \p digest are not to be run from now on.
    void add(const Hash128 &digest, const std::string &pool, std::vector<std::string> endpoints);
    /// Takes in the result of a call; false where it is none of the book's.
    bool handle(const PlatformResult &result);
    /// Forgets what stands in \p declared by now, and makes the calls that are due.
    void tick(const ConfigEntries &declared, std::vector<PlatformCall> &calls,
              std::uint64_t &nextCallId);
    [[nodiscard]] TimePoint nextTick() const;
    /// What is decided and not declared yet: in force here nevertheless.
    [[nodiscard]] std::vector<Resource> unpublished() const;

private:
    /// One decision.
    struct Decision
    {
        QuarantineSpec spec;
        std::uint64_t callId = 0; ///< Of the call under way; 0 for none.
        TimePoint dueAt;
        Duration backOff{};
    };

    void declare(Decision &decision, const ConfigEntries &declared,
                 std::vector<PlatformCall> &calls, std::uint64_t &nextCallId);
    void remove(const ConfigEntries &declared, std::vector<PlatformCall> &calls,
                std::uint64_t &nextCallId) const;
    [[nodiscard]] bool isExpired(const ConfigEntry &entry) const;

    const Clock &m_clock;
    std::string m_kind;
    std::chrono::milliseconds m_length;
    std::map<Hash128, Decision> m_decisions;
};

} // namespace harelink

#endif // HARELINK_KERNEL_QUARANTINEPUBLISHER_H
