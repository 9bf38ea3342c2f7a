//===- objectcommands.cpp - Commands for declared resources ---------------===//

#include "commands.h"
#include "platform.h"
#include "waiting.h"

#include "harelink/Config/objectreader.h"
#include "harelink/Config/objectwriter.h"
#include "harelink/Config/resources.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <sstream>

DEFINE_string(f, "", "apply: the file with the resources.");
DEFINE_bool(wait, false, "apply, drain: wait for completion.");
DEFINE_string(output, "table", "Output format: table or json.");
DEFINE_int32(changes, 0, "watch: exit after this number of changes; 0 for no limit.");

namespace harelink::cli {
namespace {

constexpr std::chrono::seconds watchWait{10};

int printUsage(const std::string &text)
{
    fmt::print(stderr, "harelink: usage: harelink {}\n", text);
    return ExitUsage;
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(absl::StatusCode::kInvalidArgument, "opening", path, "cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isKind(const std::string &kind)
{
    const auto &kinds = resourceKinds();
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

int reportUnknownKind(const std::string &kind)
{
    return report(makeError(
        absl::StatusCode::kInvalidArgument, "reading the command", "",
        fmt::format("unknown kind '{}'; known kinds: {}", kind, fmt::join(resourceKinds(), ", "))));
}

PlatformCall objectCall(PlatformOperation operation, const std::string &kind,
                        const std::string &name)
{
    PlatformCall call;
    call.operation = operation;
    call.kind = kind;
    call.name = name;
    return call;
}

/// Prints the JSON patch from \p before to \p after, one operation per line.
void printDifference(const nlohmann::json &before, const nlohmann::json &after)
{
    for (const nlohmann::json &change : nlohmann::json::diff(before, after)) {
        fmt::print(stderr, "  {} {} {}\n", change.value("op", ""), change.value("path", ""),
                   change.contains("value") ? change["value"].dump() : "");
    }
}

int reportConflict(const Resource &resource, Version current, const std::string &stored)
{
    const std::string objectName = fmt::format("{}/{}", resource.kind, resource.name);
    const int code = report(makeError(
        absl::StatusCode::kAborted, "writing", objectName,
        fmt::format(
            "it was changed concurrently: it is at version {} now; nothing was overwritten. "
            "check 'harelink get {} {}' and apply again",
            current.revision, resource.kind, resource.name)));
    const nlohmann::json now = withoutGeneration(stored);
    if (now.is_object()) {
        fmt::print(stderr, "changes that applying the file would make to version {}:\n",
                   current.revision);
        printDifference(now, resource.document);
    }
    return code;
}

/// Returns whether an object must be written although \p found has the wanted content. Objects that
/// were written before counts were introduced get one. If the store has returned from an older
/// copy, daemons may hold a later write than the store.
bool needsNewCount(const PlatformResult &found)
{
    return found.era.value_or(0) > 1 || !statedGeneration(found.value);
}

/// Writes one resource, and records in \p wanted the version to wait for. Returns the
/// exit code.
int applyOne(const Resource &resource, WantedVersions &wanted)
{
    const std::string objectName = fmt::format("{}/{}", resource.kind, resource.name);
    const PlatformResult found =
        callPlatform(objectCall(PlatformOperation::Get, resource.kind, resource.name));
    const bool exists = found.outcome == PlatformOutcome::Ok;
    if (!exists && found.outcome != PlatformOutcome::NotFound) {
        return reportUnreachable(found);
    }
    const Version current = exists ? found.version : Version();
    if (resource.baseVersion && *resource.baseVersion != current.revision) {
        return reportConflict(resource, current, found.value);
    }
    const bool isUnchanged = exists && withoutGeneration(found.value) == resource.document;
    if (isUnchanged && !needsNewCount(found)) {
        fmt::print("{}/{} unchanged, version {}\n", resource.kind, resource.name, current.revision);
        wanted[objectName] = current;
        return ExitDone;
    }
    PlatformCall put = objectCall(PlatformOperation::Put, resource.kind, resource.name);
    put.ifVersion = current;
    put.value = withNextGeneration(resource.document, found.value, SystemClock().wallNow()).dump();
    if (put.value.size() > maxObjectBytes) {
        return report(makeError(
            absl::StatusCode::kInvalidArgument, "writing", objectName,
            fmt::format("is larger than {} bytes with its {}", maxObjectBytes, generationField)));
    }
    const PlatformResult written = callPlatform(put);
    if (written.outcome == PlatformOutcome::Conflict) {
        const PlatformResult now =
            callPlatform(objectCall(PlatformOperation::Get, resource.kind, resource.name));
        return reportConflict(resource, now.version, now.value);
    }
    if (written.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(written);
    }
    const char *newState = exists ? "changed" : "created";
    fmt::print("{}/{} {}, version {}\n", resource.kind, resource.name,
               isUnchanged ? "written again" : newState, written.version.revision);
    wanted[objectName] = written.version;
    return ExitDone;
}

int reportConcurrentChange(const std::string &objectName, Version current)
{
    return report(makeError(absl::StatusCode::kAborted, "deleting", objectName,
                            fmt::format("it was changed concurrently: it is at version {} now; "
                                        "nothing was deleted",
                                        current)));
}

/// Writes the end of the drain \p found. Returns the exit code.
int endDrain(const std::string &objectName, const PlatformCall &get, const PlatformResult &found)
{
    const WallTime now = SystemClock().wallNow();
    PlatformCall put = objectCall(PlatformOperation::Put, get.kind, get.name);
    put.ifVersion = found.version;
    put.value =
        withNextGeneration(withDrainEnd(withoutGeneration(found.value), now), found.value, now)
            .dump();
    const PlatformResult written = callPlatform(put);
    if (written.outcome == PlatformOutcome::Conflict) {
        return reportConcurrentChange(objectName, callPlatform(get).version);
    }
    if (written.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(written);
    }
    fmt::print("{} ended, version {}; delete it again after {} s to remove the object\n",
               objectName, written.version, endedDrainPeriod.count());
    return ExitDone;
}

void printTable(const std::vector<PlatformObject> &objects)
{
    fmt::print("{:<16}{:<32}{:>10}\n", "KIND", "NAME", "VERSION");
    for (const PlatformObject &object : objects) {
        fmt::print("{:<16}{:<32}{:>10}\n", object.kind, object.name, object.version.revision);
    }
}

nlohmann::json withVersion(const std::string &value, Version version)
{
    nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
    if (document.is_object()) {
        document["version"] = version.revision;
    }
    return document;
}

int listKind(const std::string &kinds)
{
    const PlatformResult result = callPlatform(objectCall(PlatformOperation::List, kinds, ""));
    if (result.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(result);
    }
    if (FLAGS_output == "json") {
        nlohmann::json all = nlohmann::json::array();
        for (const PlatformObject &object : result.objects) {
            all.push_back(withVersion(object.value, object.version));
        }
        fmt::print("{}\n", all.dump(2));
        return ExitDone;
    }
    printTable(result.objects);
    return ExitDone;
}

int getOne(const std::string &kind, const std::string &name)
{
    const PlatformResult result = callPlatform(objectCall(PlatformOperation::Get, kind, name));
    if (result.outcome == PlatformOutcome::NotFound) {
        return report(makeError(absl::StatusCode::kNotFound, "reading",
                                fmt::format("{}/{}", kind, name), "the object does not exist"));
    }
    if (result.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(result);
    }
    fmt::print("{}\n", withVersion(result.value, result.version).dump(2));
    return ExitDone;
}

} // namespace

int applyCommand(const Words &words)
{
    if (FLAGS_f.empty() || !words.empty()) {
        return printUsage("apply -f FILE [--wait]");
    }
    const absl::StatusOr<std::string> text = readFile(FLAGS_f);
    if (!text.ok()) {
        return report(text.status());
    }
    // Validate all resources before writing any of them.
    absl::StatusOr<std::vector<Resource>> resources = readResources(*text, FLAGS_f);
    if (!resources.ok()) {
        return report(resources.status());
    }
    WantedVersions wanted;
    for (const Resource &resource : *resources) {
        const int code = applyOne(resource, wanted);
        if (code != ExitDone) {
            return code;
        }
    }
    return FLAGS_wait ? waitUntilInForce(wanted) : ExitDone;
}

int getCommand(const Words &words)
{
    if (words.empty()) {
        return listKind(fmt::format("{}", fmt::join(resourceKinds(), ",")));
    }
    if (!isKind(words[0])) {
        return reportUnknownKind(words[0]);
    }
    if (words.size() == 1) {
        return listKind(words[0]);
    }
    return words.size() == 2 ? getOne(words[0], words[1]) : printUsage("get [KIND [NAME]]");
}

int describeCommand(const Words &words)
{
    if (words.size() != 2) {
        return printUsage("describe KIND NAME");
    }
    if (!isKind(words[0])) {
        return reportUnknownKind(words[0]);
    }
    return getOne(words[0], words[1]);
}

int deleteCommand(const Words &words)
{
    if (words.size() != 2) {
        return printUsage("delete KIND NAME");
    }
    if (!isKind(words[0])) {
        return reportUnknownKind(words[0]);
    }
    const std::string objectName = fmt::format("{}/{}", words[0], words[1]);
    const PlatformCall get = objectCall(PlatformOperation::Get, words[0], words[1]);
    const PlatformResult found = callPlatform(get);
    if (found.outcome == PlatformOutcome::NotFound) {
        return report(makeError(absl::StatusCode::kNotFound, "deleting", objectName,
                                "the object does not exist"));
    }
    if (found.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(found);
    }
    // A drain that cannot be read is removed at once.
    if (words[0] == defaultObjectReader().drainKind()
        && defaultObjectReader().read(words[0], words[1], found.value).ok()) {
        const std::optional<WallTime> end = drainEnd(withoutGeneration(found.value));
        if (!end) {
            return endDrain(objectName, get, found);
        }
        if (SystemClock().wallNow() - *end < endedDrainPeriod) {
            fmt::print("{} has ended already, version {}; delete it again later to remove the "
                       "object\n",
                       objectName, found.version);
            return ExitDone;
        }
    }
    PlatformCall call = objectCall(PlatformOperation::Delete, words[0], words[1]);
    call.ifVersion = found.version;
    const PlatformResult deleted = callPlatform(call);
    if (deleted.outcome == PlatformOutcome::Conflict) {
        return reportConcurrentChange(objectName, deleted.version);
    }
    if (deleted.outcome != PlatformOutcome::Ok) {
        return reportUnreachable(deleted);
    }
    fmt::print("{} deleted, version {}\n", objectName, deleted.version);
    return ExitDone;
}

int watchCommand(const Words &words)
{
    if (words.size() > 1) {
        return printUsage("watch [KIND]");
    }
    if (words.size() == 1 && !isKind(words[0])) {
        return reportUnknownKind(words[0]);
    }
    const std::string kinds =
        words.empty() ? fmt::format("{}", fmt::join(resourceKinds(), ",")) : words[0];
    PlatformResult result = callPlatform(objectCall(PlatformOperation::List, kinds, ""));
    int seen = 0;
    while (result.outcome == PlatformOutcome::Ok) {
        PlatformCall watch = objectCall(PlatformOperation::Watch, kinds, "");
        watch.since = result.version;
        watch.wait = watchWait;
        result = callPlatform(watch);
        for (const PlatformObject &object : result.objects) {
            fmt::print("{} {}/{} version {}\n", object.deleted ? "deleted" : "changed", object.kind,
                       object.name, object.version);
            std::fflush(stdout);
            if (++seen == FLAGS_changes) {
                return ExitDone;
            }
        }
    }
    return reportUnreachable(result);
}

} // namespace harelink::cli
