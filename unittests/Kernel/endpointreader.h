//===- endpointreader.h - Reader of endpoints for tests ---------*- C++ -*-===//
///
/// \file
/// A reader of objects that need no more than a name.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_UNITTESTS_KERNEL_ENDPOINTREADER_H
#define HARELINK_UNITTESTS_KERNEL_ENDPOINTREADER_H

#include "harelink/Config/objectreader.h"

#include <string>
#include <vector>

namespace harelink::testing {

/// A reader for which each object is an endpoint, which leaves if its value begins with "leaving".
class EndpointReader final : public ObjectReader
{
public:
    /// \param expires whether objects may lapse while the platform is unavailable.
    explicit EndpointReader(bool expires = false)
        : m_expires(expires)
    {
    }
    [[nodiscard]] const std::vector<std::vector<std::string>> &kindGroups() const override
    {
        static const std::vector<std::vector<std::string>> groups = {{"servers"}};
        return groups;
    }
    [[nodiscard]] const std::string &endpointKind() const override { return kindGroups()[0][0]; }
    [[nodiscard]] const std::string &drainKind() const override
    {
        return defaultObjectReader().drainKind();
    }
    [[nodiscard]] const std::string &quarantineKind() const override
    {
        return defaultObjectReader().quarantineKind();
    }
    [[nodiscard]] bool endpointObjectsExpire() const override { return m_expires; }
    [[nodiscard]] absl::StatusOr<std::vector<Resource>>
    read(const std::string &, const std::string &name, const std::string &value) const override
    {
        EndpointSpec endpoint;
        endpoint.name = name;
        endpoint.leaving = value.starts_with("leaving");
        Resource resource;
        resource.spec = endpoint;
        return std::vector<Resource>{resource};
    }

private:
    bool m_expires;
};

} // namespace harelink::testing

#endif // HARELINK_UNITTESTS_KERNEL_ENDPOINTREADER_H
