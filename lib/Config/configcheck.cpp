//===- configcheck.cpp - Configuration check ------------------------------===//

#include "harelink/Config/configcheck.h"

#include "harelink/Config/jsonreader.h"
#include "harelink/Config/objectreader.h"
#include "harelink/Config/resources.h"
#include "harelink/Config/stageorder.h"
#include "harelink/Support/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace harelink {
namespace {

using nlohmann::json;
using std::chrono::microseconds;

/// Valid resources have fewer than 10 levels. Deeper values are rejected before they are parsed,
/// as the JSON library formats values recursively and could exhaust the stack.
constexpr std::size_t maxJsonDepth = 64;
/// Maximum length of a field name in a remark. Field names are arbitrary here, and each name is
/// repeated in the paths of all fields below it.
constexpr std::size_t maxShownNameLength = 80;

constexpr std::string_view quarantineKind = "Quarantine";

/// Fields whose values are never printed.
bool isSecret(std::string_view field)
{
    return field == "apiKeys" || field == "tokenSha256";
}

std::string objectName(std::string_view kind, std::string_view name)
{
    return fmt::format("{}/{}", kind, name);
}

/// Returns the position of element \p index within \p file; the file itself if it consists of one
/// object.
std::string positionIn(const std::string &file, std::optional<std::size_t> index)
{
    return index ? fmt::format("{}[{}]", file, *index) : file;
}

/// Replaces control characters, so that a remark is always one line.
std::string escapeControlCharacters(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || byte == 0x7f) {
            escaped += fmt::format("\\u{:04x}", static_cast<unsigned>(byte));
        } else {
            escaped += c;
        }
    }
    return escaped;
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    return lines;
}

/// Adds an error for each line of the message of \p status.
void addErrors(const std::string &position, const absl::Status &status,
               std::vector<Remark> &remarks)
{
    for (const std::string &line : splitLines(errorMessage(status))) {
        remarks.push_back({RemarkKind::Error, fmt::format("{}: {}", position, line)});
    }
}

/// Receives the events of the JSON parser. Measures the depth of the values and finds fields that
/// an object specifies more than once; the parser keeps only the last value of these.
class JsonScanner final : public nlohmann::json_sax<json>
{
public:
    JsonScanner(const std::string &file, std::vector<Remark> &remarks)
        : m_file(file)
        , m_remarks(remarks)
    {
    }

    [[nodiscard]] bool isTooDeep() const { return m_isTooDeep; }

    bool null() override { return addValue(); }
    bool boolean(bool /*value*/) override { return addValue(); }
    bool number_integer(number_integer_t /*value*/) override { return addValue(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return addValue(); }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return addValue();
    }
    bool string(string_t & /*value*/) override { return addValue(); }
    bool binary(binary_t & /*value*/) override { return addValue(); }
    bool start_object(std::size_t /*elements*/) override { return open(false); }
    bool start_array(std::size_t /*elements*/) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t &name) override
    {
        Container &object = m_containers.back();
        object.key = name.substr(0, maxShownNameLength);
        // Reported once, however often the field is specified.
        if (++object.counts[name] == 2) {
            m_remarks.push_back(
                {RemarkKind::Warning,
                 fmt::format("{}: is specified more than once; only the last value is used",
                             path())});
        }
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        return false;
    }

private:
    struct Container
    {
        bool isArray = false;
        std::size_t elements = 0; ///< Of an array, so far.
        std::string key;          ///< The current field of an object.
        std::map<std::string, std::size_t> counts;
    };

    bool addValue()
    {
        if (!m_containers.empty() && m_containers.back().isArray) {
            ++m_containers.back().elements;
        }
        return true;
    }
    bool open(bool isArray)
    {
        addValue();
        m_isTooDeep = m_containers.size() == maxJsonDepth;
        m_containers.push_back({isArray, 0, {}, {}});
        return !m_isTooDeep;
    }
    bool close()
    {
        m_containers.pop_back();
        return true;
    }
    /// Returns the position of the current field.
    [[nodiscard]] std::string path() const
    {
        std::string path;
        std::optional<std::size_t> index;
        for (const Container &container : m_containers) {
            if (!container.isArray) {
                path += (path.empty() ? "" : ".") + container.key;
            } else if (&container == &m_containers.front()) {
                index = container.elements - 1;
            } else {
                path += fmt::format("[{}]", container.elements - 1);
            }
        }
        return fmt::format("{}: {}", positionIn(m_file, index), path);
    }

    const std::string &m_file;
    std::vector<Remark> &m_remarks;
    std::vector<Container> m_containers;
    bool m_isTooDeep = false;
};

/// The resources of files.
struct DeclaredConfig
{
    std::vector<Resource> resources;
    std::vector<std::string> positions; ///< Of the declarations, in the same order.
};

/// The version in force.
struct InForce
{
    std::map<std::string, json> specs; ///< By kind and name.
    std::set<std::string> invalid;     ///< Kinds and names of invalid objects.
    bool isStored = false;             ///< Read from the platform, not from a file.
};

/// Returns whether \p text can be parsed without exhausting the stack.
bool isFlatEnough(const std::string &name, const std::string &text, std::vector<Remark> &remarks)
{
    JsonScanner scanner(name, remarks);
    json::sax_parse(text, &scanner, json::input_format_t::json, true, true);
    return !scanner.isTooDeep();
}

/// Reads \p file in the same way as readResources(), but keeps the position of each resource.
void readFile(const ConfigFile &file, DeclaredConfig &config, std::vector<Remark> &remarks)
{
    if (!file.text) {
        remarks.push_back({RemarkKind::Error, fmt::format("{}: cannot be read", file.name)});
        return;
    }
    if (file.text->size() > maxCheckedFileBytes) {
        remarks.push_back({RemarkKind::Error, fmt::format("{}: is larger than {} bytes", file.name,
                                                          maxCheckedFileBytes)});
        return;
    }
    if (!isFlatEnough(file.name, *file.text, remarks)) {
        remarks.push_back({RemarkKind::Error, fmt::format("{}: has more than {} levels of values",
                                                          file.name, maxJsonDepth)});
        return;
    }
    const absl::StatusOr<json> parsed = parseJson(*file.text, file.name);
    if (!parsed.ok()) {
        addErrors(file.name, parsed.status(), remarks);
        return;
    }
    const std::size_t count = parsed->is_array() ? parsed->size() : 1;
    for (std::size_t i = 0; i < count; ++i) {
        const json &document = parsed->is_array() ? (*parsed)[i] : *parsed;
        std::string position =
            positionIn(file.name, parsed->is_array() ? std::optional(i) : std::nullopt);
        absl::StatusOr<Resource> resource = readResource(document, position);
        if (!resource.ok()) {
            addErrors(position, resource.status(), remarks);
            continue;
        }
        config.resources.push_back(*std::move(resource));
        config.positions.push_back(std::move(position));
    }
}

InForce readStored(const std::vector<StoredObject> &objects, std::vector<Remark> &remarks)
{
    InForce inForce;
    inForce.isStored = true;
    std::vector<Remark> ignored;
    for (const StoredObject &object : objects) {
        const std::string name = objectName(object.kind, object.name);
        absl::StatusOr<std::vector<Resource>> read =
            makeError(absl::StatusCode::kInvalidArgument, "reading", name, "has too many levels");
        if (isFlatEnough(name, object.value, ignored)) {
            read = defaultObjectReader().read(object.kind, object.name, object.value);
        }
        if (!read.ok()) {
            // An invalid object in force is not an error of the checked files, which may mend it.
            inForce.invalid.insert(name);
            std::string message = errorMessage(read.status());
            std::replace(message.begin(), message.end(), '\n', ';');
            remarks.push_back(
                {RemarkKind::Warning,
                 fmt::format("{}: the object in force is invalid: {}", name, message)});
            continue;
        }
        for (Resource &resource : *read) {
            inForce.specs[name] = std::move(resource.document["spec"]);
        }
    }
    return inForce;
}

InForce inForceOf(const DeclaredConfig &config)
{
    InForce inForce;
    for (const Resource &resource : config.resources) {
        inForce.specs[objectName(resource.kind, resource.name)] = resource.document.at("spec");
    }
    return inForce;
}

/// Finds entries that can never match and limits that contradict each other.
class ConfigChecker
{
public:
    ConfigChecker(const DeclaredConfig &config, std::vector<Remark> &remarks)
        : m_config(config)
        , m_remarks(remarks)
    {
        for (const Resource &resource : config.resources) {
            const ResourceSpec &spec = resource.spec;
            if (const auto *pool = std::get_if<PoolSpec>(&spec)) {
                m_pools[pool->name] = pool;
            } else if (const auto *endpoint = std::get_if<EndpointSpec>(&spec)) {
                m_endpointCounts[endpoint->pool] += endpoint->leaving ? 0 : 1;
            } else if (const auto *pipeline = std::get_if<PipelineSpec>(&spec)) {
                addPipeline(*pipeline);
            }
        }
    }

    void check()
    {
        for (m_current = 0; m_current < m_config.resources.size(); ++m_current) {
            checkDeclaredOnce();
            std::visit(*this, m_config.resources[m_current].spec);
        }
    }

    void operator()(const PipelineSpec &pipeline)
    {
        if (pipeline.route) {
            checkSplit(*pipeline.route);
            checkHidden(*pipeline.route);
            checkTimes(pipeline, *pipeline.route);
            checkResultBuffers(*pipeline.route);
            checkAttempts(*pipeline.route);
        }
    }
    void operator()(const ClientAccountSpec &account)
    {
        if (!isAdmitted(account)) {
            warn("no route admits this account");
        }
        std::set<std::string> keys;
        for (const std::string &key : account.apiKeys) {
            if (!keys.insert(key).second) {
                warn("lists the same API key more than once");
            }
        }
        for (const std::string &key : keys) {
            checkUnique(m_accountsByApiKey, key, "API key");
        }
        if (!account.tokenSha256.empty()) {
            checkUnique(m_accountsByToken, account.tokenSha256, "token");
        }
    }
    void operator()(const PoolSpec &pool)
    {
        if (!m_usedPools.contains(pool.name)) {
            warn("no route, stage or split uses this pool");
        }
    }
    void operator()(const EndpointSpec &endpoint) { checkPoolExists(endpoint.pool); }
    void operator()(const ModelVersionSpec &version) { checkPoolExists(version.pool); }
    void operator()(const QuarantineSpec & /*spec*/) {}
    void operator()(const DataCentreDrainSpec & /*spec*/) {}
    void operator()(const DataCentreSpec & /*spec*/) {}

private:
    void warn(std::string_view message)
    {
        m_remarks.push_back(
            {RemarkKind::Warning,
             fmt::format("{}: {}: {}", m_config.positions[m_current], currentName(), message)});
    }
    [[nodiscard]] std::string currentName() const
    {
        const Resource &resource = m_config.resources[m_current];
        return objectName(resource.kind, resource.name);
    }

    void addPipeline(const PipelineSpec &pipeline)
    {
        for (const StageSpec &stage : pipeline.stages) {
            m_usedPools.insert(stage.pool);
        }
        if (!pipeline.route) {
            m_hasPipelineWithoutRoute = true;
            return;
        }
        m_routes.push_back(&*pipeline.route);
        for (const WeightedPool &share : pipeline.route->split) {
            m_usedPools.insert(share.pool);
        }
        for (const PieceStageSpec &stage : pipeline.route->pieceStages) {
            m_usedPools.insert(stage.pool);
        }
    }

    void checkDeclaredOnce()
    {
        const auto [first, isNew] =
            m_positions.emplace(currentName(), m_config.positions[m_current]);
        if (!isNew) {
            warn(fmt::format("is also declared at {}; only the last declaration is used",
                             first->second));
        }
    }

    void checkPoolExists(const std::string &pool)
    {
        if (!m_pools.contains(pool)) {
            warn(fmt::format("pool {} does not exist", pool));
        }
    }

    /// Warns if an account checked before has the same \p secret, which is not printed.
    void checkUnique(std::map<std::string, std::string> &accounts, const std::string &secret,
                     std::string_view what)
    {
        const auto [first, isNew] = accounts.emplace(secret, currentName());
        if (!isNew && first->second != currentName()) {
            warn(fmt::format("has the same {} as {}", what, first->second));
        }
    }

    /// Returns whether requests can belong to \p account. Requests on routes get their account from
    /// an API key, and public routes ignore it; see resolveRoute() in requestproxiedimpl.h.
    [[nodiscard]] bool isAdmitted(const ClientAccountSpec &account) const
    {
        if (m_hasPipelineWithoutRoute) {
            return true;
        }
        const auto admits = [&account](const RouteSpec *route) {
            const std::vector<std::string> &regions = route->allowedRegions;
            return !route->isPublic
                   && (regions.empty() || account.allowedRegions.empty()
                       || std::find_first_of(regions.begin(), regions.end(),
                                             account.allowedRegions.begin(),
                                             account.allowedRegions.end())
                              != regions.end());
        };
        return !account.apiKeys.empty() && std::any_of(m_routes.begin(), m_routes.end(), admits);
    }

    void checkSplit(const RouteSpec &route)
    {
        for (const WeightedPool &share : route.split) {
            if (share.weight <= 0) {
                warn(fmt::format("the share of pool {} in the split has weight 0", share.pool));
            }
        }
    }

    /// Warns if another route has the same host and path prefix. Longer prefixes are matched first
    /// (Snapshot::route()), so a route with a shorter prefix hides none.
    void checkHidden(const RouteSpec &route)
    {
        const auto [first, isNew] =
            m_prefixes.emplace(std::pair(route.host, route.pathPrefix), currentName());
        if (!isNew && first->second != currentName()) {
            warn(fmt::format("has the same host and path prefix as {}; only one of them gets "
                             "requests",
                             first->second));
        }
    }

    void checkTimes(const PipelineSpec &pipeline, const RouteSpec &route)
    {
        if (route.objective > pipeline.deadline) {
            warn(fmt::format("the objective of {} ms is longer than the deadline of {} ms",
                             route.objective.count(), pipeline.deadline.count()));
        }
        const microseconds shortest = shortestTime(route);
        if (shortest > route.objective) {
            warn(fmt::format("the piece stages take at least {:g} ms, longer than the objective of "
                             "{} ms",
                             std::chrono::duration<double, std::milli>(shortest).count(),
                             route.objective.count()));
        }
    }

    /// Returns the sum of the call times along the longest path through the piece stages of
    /// \p route, for a request that has pieces in all of them.
    [[nodiscard]] microseconds shortestTime(const RouteSpec &route) const
    {
        std::vector<microseconds> ends(route.pieceStages.size());
        microseconds latest{0};
        for (const std::uint32_t index : dependencyOrder(route.pieceStages)) {
            const PieceStageSpec &stage = route.pieceStages[index];
            microseconds &end = ends[index];
            for (const std::uint32_t dependency : stage.after) {
                end = std::max(end, ends[dependency]);
            }
            if (const PieceWorkSpec *work = pieceWork(stage.pool)) {
                end += work->callTime;
            }
            latest = std::max(latest, end);
        }
        return latest;
    }

    [[nodiscard]] const PieceWorkSpec *pieceWork(const std::string &pool) const
    {
        const auto found = m_pools.find(pool);
        return found != m_pools.end() && found->second->pieces ? &*found->second->pieces : nullptr;
    }

    void checkResultBuffers(const RouteSpec &route)
    {
        for (std::size_t i = 0; i < route.pieceStages.size(); ++i) {
            const PieceStageSpec &stage = route.pieceStages[i];
            const PieceWorkSpec *work = pieceWork(stage.pool);
            // 0 means that the size of the buffer is unknown.
            if (work == nullptr || work->resultBufferBytes == 0) {
                continue;
            }
            const std::uint64_t bytes = work->batch * stage.resultBytes;
            if (bytes > work->resultBufferBytes) {
                warn(fmt::format("piece stage {}: the results of a batch of {} pieces have {} "
                                 "bytes, more than the result buffer of an endpoint of pool {}, "
                                 "which has {} bytes",
                                 i, work->batch, bytes, stage.pool, work->resultBufferBytes));
            }
        }
    }

    /// Checked only for pools with declared endpoints: other endpoints may be declared elsewhere.
    void checkAttempts(const RouteSpec &route)
    {
        for (const WeightedPool &share : route.split) {
            const auto found = m_endpointCounts.find(share.pool);
            if (share.weight > 0 && found != m_endpointCounts.end()
                && route.maxEndpoints > found->second) {
                warn(fmt::format("a request may be sent to {} endpoints, but pool {} has {}",
                                 route.maxEndpoints, share.pool, found->second));
            }
        }
    }

    const DeclaredConfig &m_config;
    std::vector<Remark> &m_remarks;
    std::size_t m_current = 0; ///< Index of the resource that is checked.
    std::map<std::string, const PoolSpec *> m_pools;
    std::map<std::string, std::uint32_t> m_endpointCounts; ///< By pool; without leaving ones.
    std::set<std::string> m_usedPools;
    std::vector<const RouteSpec *> m_routes;
    bool m_hasPipelineWithoutRoute = false;
    std::map<std::string, std::string> m_positions; ///< Of first declarations, by kind and name.
    std::map<std::string, std::string> m_accountsByApiKey;
    std::map<std::string, std::string> m_accountsByToken;
    /// By host and path prefix.
    std::map<std::pair<std::string, std::string>, std::string> m_prefixes;
};

/// Adds an error with the position of the pipeline for each invalid reference.
void checkPipelineReferences(const DeclaredConfig &config, std::vector<Remark> &remarks)
{
    const absl::Status status = checkReferences(config.resources);
    if (status.ok()) {
        return;
    }
    std::map<std::string, std::string> positions;
    for (std::size_t i = 0; i < config.resources.size(); ++i) {
        if (config.resources[i].kind == "Pipeline") {
            positions[config.resources[i].name] = config.positions[i];
        }
    }
    for (const std::string &line : splitLines(errorMessage(status))) {
        constexpr std::string_view prefix = "pipeline ";
        const std::size_t end = line.find(':');
        const auto position = line.starts_with(prefix) && end != std::string::npos
                                  ? positions.find(line.substr(prefix.size(), end - prefix.size()))
                                  : positions.end();
        remarks.push_back({RemarkKind::Error, position == positions.end()
                                                  ? line
                                                  : fmt::format("{}: {}", position->second, line)});
    }
}

/// Reports the differences between two specifications.
class SpecComparison
{
public:
    SpecComparison(std::string name, std::vector<Remark> &remarks)
        : m_name(std::move(name))
        , m_remarks(remarks)
    {
    }

    /// Compares the values of the field at \p path; a null pointer stands for an absent one.
    void compare(const std::string &path, const json *before, const json *after)
    {
        if (before != nullptr && after != nullptr && *before == *after) {
            return;
        }
        if (canCompareParts(before, after, json::value_t::object)) {
            compareFields(path, before, after);
        } else if (canCompareParts(before, after, json::value_t::array)) {
            compareElements(path, before, after);
        } else {
            add(fmt::format("{}: {} -> {}", path, format(before), format(after)));
        }
    }

private:
    /// Returns whether the values are of \p type, or one is and the other is absent. An absent
    /// value and an empty one have no parts in which they differ.
    static bool canCompareParts(const json *before, const json *after, json::value_t type)
    {
        const auto isAbsentOrOfType = [type](const json *value) {
            return value == nullptr || value->type() == type;
        };
        const auto hasParts = [](const json *value) { return value != nullptr && !value->empty(); };
        return isAbsentOrOfType(before) && isAbsentOrOfType(after)
               && (hasParts(before) || hasParts(after));
    }

    void compareFields(const std::string &path, const json *before, const json *after)
    {
        std::set<std::string> fields;
        for (const json *value : {before, after}) {
            if (value != nullptr) {
                for (const auto &field : value->items()) {
                    fields.insert(field.key());
                }
            }
        }
        const auto valueOf = [](const json *object, const std::string &field) -> const json * {
            if (object == nullptr) {
                return nullptr;
            }
            const auto found = object->find(field);
            return found == object->end() ? nullptr : &*found;
        };
        for (const std::string &field : fields) {
            const json *left = valueOf(before, field);
            const json *right = valueOf(after, field);
            const std::string fieldPath = fmt::format("{}.{}", path, field);
            if (!isSecret(field)) {
                compare(fieldPath, left, right);
            } else if (left == nullptr || right == nullptr || *left != *right) {
                add(fieldPath + ": changed, values are not shown");
            }
        }
    }

    void compareElements(const std::string &path, const json *before, const json *after)
    {
        const auto sizeOf = [](const json *array) { return array == nullptr ? 0 : array->size(); };
        const auto valueAt = [&sizeOf](const json *array, std::size_t index) {
            return index < sizeOf(array) ? &(*array)[index] : nullptr;
        };
        for (std::size_t i = 0; i < std::max(sizeOf(before), sizeOf(after)); ++i) {
            compare(fmt::format("{}[{}]", path, i), valueAt(before, i), valueAt(after, i));
        }
    }

    static std::string format(const json *value)
    {
        return value == nullptr ? "absent" : value->dump();
    }

    void add(const std::string &difference)
    {
        m_remarks.push_back({RemarkKind::Changed, fmt::format("{}: {}", m_name, difference)});
    }

    std::string m_name;
    std::vector<Remark> &m_remarks;
};

/// Adds the differences between \p config and the version in force.
void compareWithInForce(const DeclaredConfig &config, const InForce &inForce,
                        std::vector<Remark> &remarks)
{
    // Of several declarations of an object, the last one is used.
    std::map<std::string, const Resource *> declared;
    for (const Resource &resource : config.resources) {
        declared[objectName(resource.kind, resource.name)] = &resource;
    }
    for (const auto &[name, resource] : declared) {
        const auto before = inForce.specs.find(name);
        if (before != inForce.specs.end()) {
            SpecComparison(name, remarks)
                .compare("spec", &before->second, &resource->document.at("spec"));
        } else if (inForce.invalid.contains(name)) {
            remarks.push_back(
                {RemarkKind::Changed,
                 fmt::format("{}: the object in force is invalid, values are not shown", name)});
        } else {
            remarks.push_back({RemarkKind::Added, name});
        }
    }
    std::set<std::string> names = inForce.invalid;
    for (const auto &[name, spec] : inForce.specs) {
        names.insert(name);
    }
    for (const std::string &name : names) {
        // Daemons write quarantines themselves, so they are not part of the operator's files.
        const bool isWrittenByDaemons =
            inForce.isStored && name.starts_with(objectName(quarantineKind, ""));
        if (!declared.contains(name) && !isWrittenByDaemons) {
            remarks.push_back({RemarkKind::Removed, name});
        }
    }
}

std::string_view prefixOf(RemarkKind kind)
{
    switch (kind) {
    case RemarkKind::Error:
        return "error";
    case RemarkKind::Warning:
        return "warning";
    case RemarkKind::Added:
        return "added";
    case RemarkKind::Removed:
        return "removed";
    case RemarkKind::Changed:
        return "changed";
    }
    return {};
}

void checkFiles(const ConfigCheckInput &input, std::vector<Remark> &remarks)
{
    DeclaredConfig config;
    for (const ConfigFile &file : input.files) {
        readFile(file, config, remarks);
    }
    if (hasErrors(remarks)) {
        // The resources that could not be read would be missing everywhere.
        return;
    }
    checkPipelineReferences(config, remarks);
    ConfigChecker(config, remarks).check();
    if (input.stored) {
        compareWithInForce(config, readStored(*input.stored, remarks), remarks);
    } else if (input.against) {
        DeclaredConfig against;
        std::vector<Remark> found;
        readFile(*input.against, against, found);
        const bool isReadable = !hasErrors(found);
        std::move(found.begin(), found.end(), std::back_inserter(remarks));
        if (isReadable) {
            compareWithInForce(config, inForceOf(against), remarks);
        }
    }
}

} // namespace

std::vector<Remark> checkConfig(const ConfigCheckInput &input)
{
    std::vector<Remark> remarks;
    checkFiles(input, remarks);
    std::sort(remarks.begin(), remarks.end());
    remarks.erase(std::unique(remarks.begin(), remarks.end()), remarks.end());
    return remarks;
}

bool hasErrors(const std::vector<Remark> &remarks)
{
    return std::any_of(remarks.begin(), remarks.end(),
                       [](const Remark &remark) { return remark.kind == RemarkKind::Error; });
}

std::string formatRemarks(const std::vector<Remark> &remarks)
{
    const std::size_t listed = std::min(remarks.size(), maxListedRemarks);
    std::string lines;
    for (std::size_t i = 0; i < listed; ++i) {
        lines += fmt::format("{}: {}\n", prefixOf(remarks[i].kind),
                             escapeControlCharacters(remarks[i].text));
    }
    if (listed < remarks.size()) {
        lines += fmt::format("{} more remarks\n", remarks.size() - listed);
    }
    return lines;
}

} // namespace harelink
