//===- harelink/Adapters/dialect.h - A platform's way to speak --*- C++ -*-===//
///
/// \file
/// What a platform says in its own names and forms: its object store, the requests
/// that callers send through it, and its endpoints. A dialect is a plug-in that the
/// settings choose by name. It translates; it holds no state and decides nothing.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_DIALECT_H
#define HARELINK_ADAPTERS_DIALECT_H

#include "harelink/Adapters/httpclient.h"
#include "harelink/Adapters/httpserver.h"
#include "harelink/Config/objectreader.h"
#include "harelink/Kernel/piecebatcher.h"
#include "harelink/Kernel/platform.h"
#include "harelink/Kernel/requestmachine.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace harelink {

/// The name of the product's own dialect.
inline constexpr const char *ownDialectName = "harelink";

/// How the object store is spoken to.
class PlatformDialect
{
public:
    virtual ~PlatformDialect() = default;
    /// The HTTP call that carries \p call.
    ///
    /// \param address IP number and port of the platform.
    /// \param timeout after which a call counts as silent; a watch gets its wait besides.
    [[nodiscard]] virtual HttpCall encode(const PlatformCall &call, const std::string &address,
                                          Duration timeout) const = 0;
    /// What \p result says of \p call.
    [[nodiscard]] virtual PlatformResult decode(const PlatformCall &call,
                                                const HttpResult &result) const = 0;
    /// Reads the declared resources.
    [[nodiscard]] virtual const ObjectReader &objects() const = 0;
    /// The kind of object in which daemons declare themselves; empty where the platform
    /// knows its hosts by itself.
    [[nodiscard]] virtual std::string hostKind() const { return {}; }
};

/// How callers' requests are read and passed on unchanged.
class ProxiedDialect
{
public:
    virtual ~ProxiedDialect() = default;
    /// Reads a request; an error names the fault.
    [[nodiscard]] virtual absl::StatusOr<RequestArrived> read(HttpRequest request) const = 0;
    /// The reply that carries \p answer.
    [[nodiscard]] virtual HttpReply makeReply(const AnswerCaller &answer) const = 0;
    /// The reply to a request that could not be read.
    [[nodiscard]] virtual HttpReply makeBadRequest(const HttpRequest &request,
                                                   const absl::Status &error) const = 0;
    /// The beginning of a stream.
    [[nodiscard]] virtual HttpReply makeHead(const ProxiedAnswer &head) const = 0;
    /// The HTTP call that carries a request to its endpoint.
    [[nodiscard]] virtual HttpCall encode(const SendStage &stage) const = 0;
    /// What \p result says of \p stage.
    [[nodiscard]] virtual std::variant<StageAnswered, StageFailed>
    decode(const SendStage &stage, const HttpResult &result) const = 0;
    /// Whether the answer that begins with \p head is a stream of events.
    [[nodiscard]] virtual bool isStream(const HttpResult &head) const = 0;
    /// One whole event of the stream that began with \p head.
    [[nodiscard]] virtual StageEvent decodeEvent(const SendStage &stage, const HttpResult &head,
                                                 std::string_view event) const = 0;
};

/// How endpoints of pieces are spoken to.
class PieceDialect
{
public:
    virtual ~PieceDialect() = default;
    [[nodiscard]] virtual HttpCall encode(const PieceCall &call) const = 0;
    [[nodiscard]] virtual PieceCallEnded decode(const PieceCall &call,
                                                const HttpResult &result) const = 0;
    /// The calls that free results, one for each endpoint that keeps some.
    [[nodiscard]] virtual std::vector<HttpCall>
    encodeFree(const std::vector<std::string> &handles) const = 0;
};

/// A platform's way to speak.
class Dialect
{
public:
    virtual ~Dialect() = default;
    [[nodiscard]] virtual const PlatformDialect &platform() const = 0;
    /// Null where callers speak the product's own interface.
    [[nodiscard]] virtual const ProxiedDialect *proxied() const { return nullptr; }
    /// What an answer says of its endpoint, as of status checks.
    [[nodiscard]] virtual EndpointNotice noticeIn(const HttpResult &result) const = 0;
    /// Null where no endpoint works in pieces.
    [[nodiscard]] virtual const PieceDialect *pieces() const { return nullptr; }
};

/// Reads the answer to a proxied request as it comes in.
class ProxiedStream
{
public:
    /// \param dialect outlives the stream.
    ProxiedStream(const ProxiedDialect &dialect, const SendStage &stage);
    /// Takes in a part of the body; gives the events that it made whole, in order.
    std::vector<StageEvent> handleBody(const HttpResult &head, const std::string &bytes);
    /// What the end of the call says.
    [[nodiscard]] std::variant<StageAnswered, StageFailed> finish(HttpResult result) const;

private:
    const ProxiedDialect &m_dialect;
    SendStage m_stage;
    std::string m_rest; ///< Bytes of an event that is not whole yet, or of a plain answer.
    bool m_streams = false;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_DIALECT_H
