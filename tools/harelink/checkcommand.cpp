//===- checkcommand.cpp - The check command -------------------------------===//

#include "commands.h"
#include "platform.h"

#include "harelink/Adapters/platformclient.h"
#include "harelink/Config/configcheck.h"
#include "harelink/Config/jsonreader.h"
#include "harelink/Config/resources.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>

#include <fstream>
#include <utility>

DEFINE_string(against, "", "check: the file to compare with.");
DEFINE_string(server, "", "check: IP address and port of the object API to compare with.");

namespace harelink::cli {
namespace {

constexpr std::chrono::seconds storeTimeout{2};
/// The same limit as the daemons use.
constexpr std::size_t maxStoreBodyBytes = 67'108'864;

int printUsage()
{
    fmt::print(stderr, "harelink: usage: harelink check FILE... [--against FILE | --server "
                       "ADDRESS]\n");
    return ExitUsage;
}

/// Returns whether the command line has the flag \p name, even with an empty value.
bool isGiven(const char *name)
{
    return !gflags::GetCommandLineFlagInfoOrDie(name).is_default;
}

bool isAddress(const std::string &text)
{
    Faults faults;
    const nlohmann::json options = {{"server", text}};
    JsonReader(options, "", faults).endpointAddress("server");
    return faults.empty();
}

/// Reads at most one byte more than checkConfig() accepts, as the path may name a device.
ConfigFile readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(maxCheckedFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    // At the end of the file, only eof and fail are set.
    if (!file.is_open() || file.bad()) {
        return {path, std::nullopt};
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return {path, std::move(text)};
}

/// Returns all objects of the platform at --server; std::nullopt if it does not respond in time.
std::optional<std::vector<StoredObject>> listStoredObjects()
{
    PlatformCall list;
    list.operation = PlatformOperation::List;
    list.kind = fmt::format("{}", fmt::join(resourceKinds(), ","));
    HttpCall call = encodePlatformCall(list, FLAGS_server, storeTimeout);
    call.maxBodyBytes = maxStoreBodyBytes;
    PlatformResult result = decodePlatformResult(list.id, callAndWait(call));
    if (result.outcome != PlatformOutcome::Ok) {
        return std::nullopt;
    }
    std::vector<StoredObject> objects;
    for (PlatformObject &object : result.objects) {
        if (!object.deleted) {
            objects.push_back(
                {std::move(object.kind), std::move(object.name), std::move(object.value)});
        }
    }
    return objects;
}

int print(const std::vector<Remark> &remarks)
{
    fmt::print("{}", formatRemarks(remarks));
    return hasErrors(remarks) ? ExitFailed : ExitDone;
}

} // namespace

int checkCommand(const Words &words)
{
    const bool hasServer = isGiven("server");
    const bool hasAgainst = isGiven("against");
    if (words.empty() || (hasServer && (hasAgainst || !isAddress(FLAGS_server)))) {
        return printUsage();
    }
    ConfigCheckInput input;
    if (hasServer) {
        input.stored = listStoredObjects();
        if (!input.stored) {
            return print({{RemarkKind::Error,
                           fmt::format("{}: the platform did not respond correctly within {} s",
                                       FLAGS_server, storeTimeout.count())}});
        }
    }
    for (const std::string &path : words) {
        input.files.push_back(readFile(path));
    }
    if (hasAgainst) {
        input.against = readFile(FLAGS_against);
    }
    return print(checkConfig(input));
}

} // namespace harelink::cli
