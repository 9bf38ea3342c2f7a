//===- harelink/Config/configcheck.h - Configuration check ------*- C++ -*-===//
///
/// \file
/// Checks a complete configuration before it is sent to the platform: errors,
/// entries that can never match, limits that contradict each other, and
/// differences from the version in force. No I/O.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_CONFIGCHECK_H
#define HARELINK_CONFIG_CONFIGCHECK_H

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// Size limit of a checked file, in bytes.
inline constexpr std::size_t maxCheckedFileBytes = 16'777'216;
/// Maximum number of remarks that formatRemarks() lists.
inline constexpr std::size_t maxListedRemarks = 10'000;

/// The kind of a remark, in the order of the output.
enum class RemarkKind { Error, Warning, Added, Removed, Changed };

/// One finding.
struct Remark
{
    RemarkKind kind = RemarkKind::Error;
    std::string text; ///< Without the prefix that states the kind.
    auto operator<=>(const Remark &) const = default;
};

/// A file with resources.
struct ConfigFile
{
    std::string name;
    std::optional<std::string> text; ///< std::nullopt if the file cannot be read.
};

/// An object as the platform stores it.
struct StoredObject
{
    std::string kind;
    std::string name;
    std::string value;
};

/// What to check, and at most one version in force to compare it with.
struct ConfigCheckInput
{
    std::vector<ConfigFile> files; ///< Together, the complete configuration.
    std::optional<ConfigFile> against;
    std::optional<std::vector<StoredObject>> stored;
};

/// Returns all remarks on \p input, sorted and without duplicates. If a file is invalid, the
/// result has only errors and the warnings about JSON fields that are specified twice.
[[nodiscard]] std::vector<Remark> checkConfig(const ConfigCheckInput &input);

/// Returns whether \p remarks contains an error.
[[nodiscard]] bool hasErrors(const std::vector<Remark> &remarks);

/// Returns one line per remark, at most maxListedRemarks, and a line that states how many more
/// there are.
[[nodiscard]] std::string formatRemarks(const std::vector<Remark> &remarks);

} // namespace harelink

#endif // HARELINK_CONFIG_CONFIGCHECK_H
