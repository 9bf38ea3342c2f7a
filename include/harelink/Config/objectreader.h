//===- harelink/Config/objectreader.h - Stored declarations -----*- C++ -*-===//
///
/// \file
/// Reads the objects in which a platform stores what operators declare. A platform
/// that stores them in a form of its own brings a reader; the default reads one
/// resource an object, as `harelink apply` writes them.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_CONFIG_OBJECTREADER_H
#define HARELINK_CONFIG_OBJECTREADER_H

#include "harelink/Config/resources.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace harelink {

/// Reads stored objects as resources.
class ObjectReader
{
public:
    virtual ~ObjectReader() = default;
    /// The kinds to follow; the kinds of one group are listed and watched together.
    [[nodiscard]] virtual const std::vector<std::vector<std::string>> &kindGroups() const = 0;
    /// The kind of which each object is one endpoint, named as the object is.
    [[nodiscard]] virtual const std::string &endpointKind() const = 0;
    /// Whether objects of that kind may vanish while the platform is out of reach and
    /// come back after it, though their endpoints live.
    [[nodiscard]] virtual bool endpointObjectsExpire() const = 0;
    /// The kind in which daemons declare a QuarantineSpec, as quarantineDocument() gives it.
    [[nodiscard]] virtual const std::string &quarantineKind() const = 0;
    /// The kind in which operators declare a DataCentreDrainSpec.
    [[nodiscard]] virtual const std::string &drainKind() const = 0;
    /// What an object declares; an error names the fault.
    [[nodiscard]] virtual absl::StatusOr<std::vector<Resource>>
    read(const std::string &kind, const std::string &name, const std::string &value) const = 0;
};

/// The reader of the product's own form.
[[nodiscard]] const ObjectReader &defaultObjectReader();

} // namespace harelink

#endif // HARELINK_CONFIG_OBJECTREADER_H
