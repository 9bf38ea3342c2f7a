//===- harelink/Kernel/platform.h - Calls to the object API -----*- C++ -*-===//
///
/// \file
/// Calls of the kernel to the platform's object API and their results. Revisions
/// are store-wide: each write gets the next one, so an object that is deleted
/// and created again has a higher revision than before. The store may return from
/// an older copy; its revisions then go back, and its era rises.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PLATFORM_H
#define HARELINK_KERNEL_PLATFORM_H

#include "harelink/Support/clock.h"

#include <fmt/format.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// A version of an object or of the store. Versions are ordered by era first.
struct Version
{
    constexpr Version() = default;
    /// A revision of a store that states no era; 0 means that the object does not exist.
    constexpr Version(std::uint64_t revisionInEra) // NOLINT(google-explicit-constructor)
        : revision(revisionInEra)
    {
    }
    constexpr Version(std::uint64_t eraOfStore, std::uint64_t revisionInEra)
        : era(eraOfStore)
        , revision(revisionInEra)
    {
    }

    std::uint64_t era = 0;      ///< Rises each time that the store returns from an older copy.
    std::uint64_t revision = 0; ///< In that era; 0 if the object does not exist.
    /// If not 0, the value is not the one that the store holds at this revision, but one that was
    /// written earlier, in this era and at this revision.
    std::uint64_t retainedEra = 0;
    std::uint64_t retainedRevision = 0;

    /// Returns whether the value is another one than the store holds.
    [[nodiscard]] constexpr bool isRetained() const { return retainedRevision != 0; }
    /// Returns the version at which the value was written.
    [[nodiscard]] constexpr Version origin() const
    {
        return isRetained() ? Version(retainedEra, retainedRevision) : Version(era, revision);
    }
    /// Returns this revision of the store with a value that was written at \p written.
    [[nodiscard]] constexpr Version retaining(const Version &written) const
    {
        Version version(era, revision);
        version.retainedEra = written.era;
        version.retainedRevision = written.revision;
        return version;
    }
    auto operator<=>(const Version &) const = default;
};

/// An object, or the record of its deletion.
struct PlatformObject
{
    std::string kind;
    std::string name;
    Version version; ///< Of the last change or of the deletion.
    bool deleted = false;
    std::string value;
};

/// The operation of a call.
enum class PlatformOperation {
    Get,
    Put,
    Delete,
    List,
    Watch,
    Hosts, ///< Get the host list, as objects with JSON values.
};

/// Action: call the platform.
struct PlatformCall
{
    std::uint64_t id = 0; ///< Copied to the result.
    PlatformOperation operation = PlatformOperation::Get;
    std::string kind;           ///< List and Watch: a comma-separated list of kinds.
    std::string name;           ///< List, Hosts: only objects whose name sorts after it.
    Version ifVersion;          ///< Put and Delete: required current version; 0 creates.
    bool unconditional = false; ///< Put: replace any version. For tests only.
    std::string value;
    Version since;   ///< Watch: return changes after this version.
    Duration wait{}; ///< Watch: maximum time that the platform waits for a change.
};

/// Outcome of a call.
enum class PlatformOutcome {
    Ok,
    Conflict, ///< The version differed; nothing was written.
    NotFound,
    Gone,       ///< Watch: the requested changes are no longer retained; list again.
    Refused,    ///< Definitely not executed: no connection, or rejected by the platform.
    Unanswered, ///< No response: it may have been executed or may still be.
};

/// Returns the name of \p operation, such as "watch".
[[nodiscard]] std::string_view toText(PlatformOperation operation);
/// Returns the name of \p outcome, such as "conflict".
[[nodiscard]] std::string_view toText(PlatformOutcome outcome);

/// Event: a call completed.
struct PlatformResult
{
    std::uint64_t id = 0;
    PlatformOutcome outcome = PlatformOutcome::Unanswered;
    Version version;                     ///< Put, Get: of the object. List, Watch: of the store.
    std::string value;                   ///< Get.
    std::vector<PlatformObject> objects; ///< List, Watch.
    std::size_t unreadable = 0; ///< List, Watch: objects without a readable name and version.
    bool more = false;          ///< List: list again for the objects after the last name.
    /// The era of the store, which rises each time that it returns from an older copy;
    /// std::nullopt if the answer does not state it.
    std::optional<std::uint64_t> era;
};

} // namespace harelink

/// Formats a version as REVISION, or as ERA/REVISION if the store states an era; a retained
/// version is followed by the one at which its value was written, in parentheses.
template <>
struct fmt::formatter<harelink::Version> : fmt::formatter<std::string_view>
{
    template <typename Context>
    auto format(const harelink::Version &version, Context &context) const
    {
        return fmt::formatter<std::string_view>::format(toText(version), context);
    }

private:
    static std::string toText(const harelink::Version &version)
    {
        std::string text = version.era == 0 ? fmt::format("{}", version.revision)
                                            : fmt::format("{}/{}", version.era, version.revision);
        if (version.isRetained()) {
            text += fmt::format("({}/{})", version.retainedEra, version.retainedRevision);
        }
        return text;
    }
};

#endif // HARELINK_KERNEL_PLATFORM_H
