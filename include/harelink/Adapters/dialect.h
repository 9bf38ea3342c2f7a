//===- harelink/Adapters/dialect.h - Platform protocol plug-ins --*- C++ -*-===//
///
/// \file
/// Translation between the kernel's types and the HTTP messages of one platform: its
/// object store, the requests that callers send through it, and its endpoints. A dialect
/// is a plug-in that is selected by name in the settings. It is stateless and makes no
/// decisions.
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

/// The name of the dialect that harelink itself defines.
inline constexpr const char *ownDialectName = "harelink";

/// Encodes and decodes the calls to the object store.
class PlatformDialect
{
public:
    virtual ~PlatformDialect() = default;
    /// Returns the HTTP call for \p call.
    ///
    /// \param address IP address and port of the platform.
    /// \param timeout after which a call counts as unanswered; the wait of a watch is added.
    [[nodiscard]] virtual HttpCall encode(const PlatformCall &call, const std::string &address,
                                          Duration timeout) const = 0;
    /// Translates \p result, the HTTP result of \p call.
    [[nodiscard]] virtual PlatformResult decode(const PlatformCall &call,
                                                const HttpResult &result) const = 0;
    /// Returns the reader of declared resources.
    [[nodiscard]] virtual const ObjectReader &objects() const = 0;
    /// Returns the kind of object in which daemons register their hosts; empty if the
    /// platform lists its hosts by other means.
    [[nodiscard]] virtual std::string hostKind() const { return {}; }
};

/// Reads callers' requests and forwards them unchanged.
class ProxiedDialect
{
public:
    virtual ~ProxiedDialect() = default;
    /// Parses a request. Returns an error that names the fault if it is invalid.
    [[nodiscard]] virtual absl::StatusOr<RequestArrived> read(HttpRequest request) const = 0;
    /// Returns the caller's ID of \p request; empty if it has none.
    [[nodiscard]] virtual std::string callerIdOf(const HttpRequest &request) const = 0;
    /// Returns the reply for \p answer.
    [[nodiscard]] virtual HttpReply makeReply(const AnswerCaller &answer) const = 0;
    /// Returns the reply to a request that could not be parsed.
    [[nodiscard]] virtual HttpReply makeBadRequest(const HttpRequest &request,
                                                   const absl::Status &error) const = 0;
    /// Returns the status and headers with which a streamed reply begins.
    [[nodiscard]] virtual HttpReply makeHead(const ProxiedAnswer &head) const = 0;
    /// Returns the HTTP call that forwards a request to its endpoint.
    [[nodiscard]] virtual HttpCall encode(const SendStage &stage) const = 0;
    /// Translates \p result, the HTTP result of \p stage.
    [[nodiscard]] virtual std::variant<StageAnswered, StageFailed>
    decode(const SendStage &stage, const HttpResult &result) const = 0;
    /// Returns whether the answer with the headers in \p head is a stream of events.
    [[nodiscard]] virtual bool isStream(const HttpResult &head) const = 0;
    /// Decodes one complete event of the stream with the headers in \p head.
    [[nodiscard]] virtual StageEvent decodeEvent(const SendStage &stage, const HttpResult &head,
                                                 std::string_view event) const = 0;
};

/// Encodes and decodes the calls to endpoints that compute pieces.
class PieceDialect
{
public:
    virtual ~PieceDialect() = default;
    [[nodiscard]] virtual HttpCall encode(const PieceCall &call) const = 0;
    [[nodiscard]] virtual PieceCallEnded decode(const PieceCall &call,
                                                const HttpResult &result) const = 0;
    /// Returns the calls that free results, one for each endpoint that stores any of them.
    [[nodiscard]] virtual std::vector<HttpCall>
    encodeFree(const std::vector<std::string> &handles) const = 0;
};

/// The protocols of one platform.
class Dialect
{
public:
    virtual ~Dialect() = default;
    [[nodiscard]] virtual const PlatformDialect &platform() const = 0;
    /// Returns the dialect of proxied requests; null if callers use harelink's own API.
    [[nodiscard]] virtual const ProxiedDialect *proxied() const { return nullptr; }
    /// Returns what an answer, including that to a status check, reports of its endpoint.
    [[nodiscard]] virtual EndpointNotice noticeIn(const HttpResult &result) const = 0;
    /// Returns the dialect of piece calls; null if no endpoint computes pieces.
    [[nodiscard]] virtual const PieceDialect *pieces() const { return nullptr; }
};

/// Decodes the answer to a proxied request incrementally.
class ProxiedStream
{
public:
    /// \param dialect must outlive the stream.
    /// \param budget must outlive the stream; null for none.
    ProxiedStream(const ProxiedDialect &dialect, const SendStage &stage,
                  const AnswerBounds &bounds = {}, BufferBudget *budget = nullptr);
    /// Handles a part of the body. Returns the events that it completed, in order.
    std::vector<StageEvent> handleBody(const HttpResult &head, const std::string &bytes);
    /// Adds a part of the body, whose events next() returns.
    void feed(const HttpResult &head, const std::string &bytes);
    /// Returns the next complete event; std::nullopt if more bytes are needed. One at a time: each
    /// has a copy of the head, which is much longer than the shortest events.
    std::optional<StageEvent> next(const HttpResult &head);
    /// Returns the part of the answer that exceeded its bound, if one did. The stream then holds
    /// no bytes and the call must be ended.
    [[nodiscard]] std::optional<AnswerPart> exceeded() const { return m_exceeded; }
    /// Returns the outcome of the call from its final \p result.
    [[nodiscard]] std::variant<StageAnswered, StageFailed> finish(HttpResult result) const;

private:
    const ProxiedDialect &m_dialect;
    SendStage m_stage;
    AnswerBounds m_bounds;
    BufferedBytes m_buffered;
    /// Bytes of events not returned and of an incomplete one, or of an answer without events.
    std::string m_buffer;
    std::size_t m_begin = 0; ///< Offset of the first event that was not returned.
    std::optional<AnswerPart> m_exceeded;
    bool m_isStream = false;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_DIALECT_H
