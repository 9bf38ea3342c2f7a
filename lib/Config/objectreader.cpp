//===- objectreader.cpp - Stored object parsing ---------------------------===//

#include "harelink/Config/objectreader.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Config/objectwriter.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>

namespace harelink {
namespace {

class DefaultObjectReader final : public ObjectReader
{
public:
    [[nodiscard]] const std::vector<std::vector<std::string>> &kindGroups() const override
    {
        static const std::vector<std::vector<std::string>> groups = {resourceKinds()};
        return groups;
    }
    [[nodiscard]] const std::string &endpointKind() const override
    {
        static const std::string kind = "Endpoint";
        return kind;
    }
    [[nodiscard]] bool endpointObjectsExpire() const override { return false; }
    [[nodiscard]] const std::string &quarantineKind() const override
    {
        static const std::string kind = "Quarantine";
        return kind;
    }
    [[nodiscard]] const std::string &drainKind() const override
    {
        static const std::string kind = "DataCentreDrain";
        return kind;
    }
    [[nodiscard]] std::optional<std::uint64_t> generation(const std::string &kind,
                                                          const std::string &value) const override
    {
        (void)kind;
        return statedGeneration(value);
    }
    [[nodiscard]] std::optional<std::string>
    generationFault(const std::string &kind, const std::string &value) const override
    {
        (void)kind;
        return harelink::generationFault(value);
    }
    [[nodiscard]] absl::StatusOr<std::vector<Resource>>
    read(const std::string &kind, const std::string &name, const std::string &value) const override
    {
        const std::string origin = fmt::format("{}/{}", kind, name);
        const absl::StatusOr<nlohmann::json> document = parseJson(value, origin);
        if (!document.ok()) {
            return document.status();
        }
        absl::StatusOr<Resource> resource = readResource(*document, origin);
        if (!resource.ok()) {
            return resource.status();
        }
        if (resource->kind != kind || resource->name != name) {
            return makeError(absl::StatusCode::kInvalidArgument, "checking", origin,
                             "kind and name of the declaration must match those of the object");
        }
        if (drainEnd(*document)) {
            return std::vector<Resource>();
        }
        return std::vector<Resource>{*std::move(resource)};
    }
};

} // namespace

const ObjectReader &defaultObjectReader()
{
    static const DefaultObjectReader reader;
    return reader;
}

} // namespace harelink
