//===- harelink/Config/objectreader.h - Stored object parsing ---*- C++ -*-===//
///
/// \file
/// Interface for parsing the objects that a platform stores into resources. A
/// platform with its own object format provides an implementation; the default
/// reads one resource per object, in the format that `harelink apply` writes.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_OBJECTREADER_H
#define HARELINK_CONFIG_OBJECTREADER_H

#include "harelink/Config/resources.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace harelink {

/// Converts stored objects to resources.
class ObjectReader
{
public:
    virtual ~ObjectReader() = default;
    /// Returns the kinds to watch; the kinds of one group are listed and watched together.
    [[nodiscard]] virtual const std::vector<std::vector<std::string>> &kindGroups() const = 0;
    /// Returns the kind whose objects each declare one endpoint of the same name.
    [[nodiscard]] virtual const std::string &endpointKind() const = 0;
    /// Returns whether endpoint objects may be deleted while the platform is unreachable and
    /// be recreated afterwards although their endpoints kept running.
    [[nodiscard]] virtual bool endpointObjectsExpire() const = 0;
    /// Returns the kind in which daemons store a QuarantineSpec, as formatted by
    /// quarantineDocument().
    [[nodiscard]] virtual const std::string &quarantineKind() const = 0;
    /// Returns the kind in which operators declare a DataCentreDrainSpec.
    [[nodiscard]] virtual const std::string &drainKind() const = 0;
    /// Returns the number that the writer of an object of \p kind counts up with each change of
    /// its content, or std::nullopt if there is none.
    [[nodiscard]] virtual std::optional<std::uint64_t> generation(const std::string &kind,
                                                                  const std::string &value) const
    {
        (void)kind;
        (void)value;
        return std::nullopt;
    }
    /// Returns what is wrong with the number that generation() reads, or std::nullopt if it is
    /// valid or if there is none.
    [[nodiscard]] virtual std::optional<std::string> generationFault(const std::string &kind,
                                                                     const std::string &value) const
    {
        (void)kind;
        (void)value;
        return std::nullopt;
    }
    /// Returns the resources that an object declares, or an error that lists what is invalid.
    [[nodiscard]] virtual absl::StatusOr<std::vector<Resource>>
    read(const std::string &kind, const std::string &name, const std::string &value) const = 0;
};

/// Returns the reader of harelink's own object format.
[[nodiscard]] const ObjectReader &defaultObjectReader();

} // namespace harelink

#endif // HARELINK_CONFIG_OBJECTREADER_H
