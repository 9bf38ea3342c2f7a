//===- harelink/Kernel/platform.h - Calls to the object API -----*- C++ -*-===//
///
/// \file
/// The calls that the kernel makes to the platform's object API, and what may
/// come back. Versions are of the whole store: each write gets the next one, so
/// an object that was deleted and made again has a higher version than before.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_PLATFORM_H
#define HARELINK_KERNEL_PLATFORM_H

#include "harelink/Support/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harelink {

/// A version of an object; 0 stands for "does not exist".
using Version = std::uint64_t;

/// An object, or the news that it was deleted.
struct PlatformObject
{
    std::string kind;
    std::string name;
    Version version = 0; ///< Of its last change or of its deletion.
    bool deleted = false;
    std::string value;
};

/// What a call asks for.
enum class PlatformOperation {
    Get,
    Put,
    Delete,
    List,
    Watch,
    Hosts, ///< The host list, as objects with JSON values.
};

/// Action: call the platform.
struct PlatformCall
{
    std::uint64_t id = 0; ///< Comes back in the result.
    PlatformOperation operation = PlatformOperation::Get;
    std::string kind;           ///< For List and Watch several, with commas between.
    std::string name;           ///< List: only what comes after it.
    Version ifVersion = 0;      ///< Put and Delete: only over this version; 0 creates.
    bool unconditional = false; ///< Put: over whatever is there. Tests only.
    std::string value;
    Version since = 0; ///< Watch: news after this version.
    Duration wait{};   ///< Watch: how long the platform may wait for news.
};

/// How a call ended.
enum class PlatformOutcome {
    Ok,
    Conflict, ///< The version was another one; nothing was written.
    NotFound,
    Gone,       ///< Watch: the news asked for is no longer kept; list again.
    Refused,    ///< Surely not carried out: no connection, or the platform said so.
    Unanswered, ///< No answer: it may have been carried out, or may still be.
};

/// A short name, as in "watch".
[[nodiscard]] std::string_view toText(PlatformOperation operation);
/// A short name, as in "silent".
[[nodiscard]] std::string_view toText(PlatformOutcome outcome);

/// Event: a call ended.
struct PlatformResult
{
    std::uint64_t id = 0;
    PlatformOutcome outcome = PlatformOutcome::Unanswered;
    Version version =
        0;             ///< Put: of what was written. Get: of the object. List, Watch: of the store.
    std::string value; ///< Get.
    std::vector<PlatformObject> objects; ///< List, Watch.
    std::size_t unreadable = 0; ///< List, Watch: objects that cannot be told by name and version.
    bool more = false;          ///< List: ask again for what comes after the last name.
};

} // namespace harelink

#endif // HARELINK_KERNEL_PLATFORM_H
