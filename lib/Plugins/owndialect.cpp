//===- owndialect.cpp - harelink's own dialect ----------------------------===//
///
/// \file
/// The dialect "harelink": the object API and the callers' API that harelink itself
/// defines and its stand-ins implement.
///
//===----------------------------------------------------------------------===//

#include "harelink/Adapters/dialect.h"
#include "harelink/Adapters/platformclient.h"
#include "harelink/Adapters/stageprotocol.h"
#include "harelink/Kernel/registry.h"

namespace harelink {
namespace {

class OwnPlatformDialect final : public PlatformDialect
{
public:
    [[nodiscard]] HttpCall encode(const PlatformCall &call, const std::string &address,
                                  Duration timeout) const override
    {
        return encodePlatformCall(call, address, timeout);
    }
    [[nodiscard]] PlatformResult decode(const PlatformCall &call,
                                        const HttpResult &result) const override
    {
        return decodePlatformResult(call.id, result);
    }
    [[nodiscard]] const ObjectReader &objects() const override { return defaultObjectReader(); }
};

class OwnDialect final : public Dialect
{
public:
    [[nodiscard]] const PlatformDialect &platform() const override { return m_platform; }
    [[nodiscard]] EndpointNotice noticeIn(const HttpResult &result) const override
    {
        return readOwnNotice(result);
    }

private:
    OwnPlatformDialect m_platform;
};

const Registration<Dialect, OwnDialect> ownDialect(ownDialectName);

} // namespace
} // namespace harelink
