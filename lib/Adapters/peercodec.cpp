//===- peercodec.cpp - Peer messages as protobuf --------------------------===//

#include "harelink/Adapters/httpstatus.h"
#include "harelink/Adapters/peerlink.h"

#include "harelink.pb.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <zlib.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace harelink {
namespace {

using std::chrono::microseconds;

/// From this size on, the objects of a push are compressed: the declarations of endpoints are
/// alike, and shrink to about a sixth.
constexpr std::size_t minPackedBytes = 8192;
/// Size limit of decompressed objects, in bytes; a complete configuration fits.
constexpr int maxUnpackedBytes = 64'000'000;
/// Sources of pieces that would take more in all orders of a message are sent once. A daemon of an
/// older version does not read such orders.
constexpr std::size_t maxRepeatedSourceBytes = 65'536;
/// Results expire much sooner.
constexpr std::chrono::minutes maxHoldTime{1};
/// Times of peers are added to points in time.
constexpr std::chrono::hours maxTime{24 * 365};
/// Ratios of peers are stored as whole percentages.
constexpr float maxRatio = 10'000;

std::string compress(const wire::ConfigPush &push)
{
    std::string packed;
    google::protobuf::io::StringOutputStream output(&packed);
    google::protobuf::io::GzipOutputStream gzip(&output);
    push.SerializeToZeroCopyStream(&gzip);
    gzip.Close();
    return packed;
}

bool decompress(const std::string &packed, wire::ConfigPush &push)
{
    google::protobuf::io::ArrayInputStream input(packed.data(), static_cast<int>(packed.size()));
    google::protobuf::io::GzipInputStream gzip(&input);
    google::protobuf::io::CodedInputStream coded(&gzip);
    coded.SetTotalBytesLimit(maxUnpackedBytes);
    // The stream ends as if it were complete if its checksum is wrong.
    return push.ParseFromCodedStream(&coded) && gzip.ZlibErrorCode() == Z_STREAM_END;
}

/// Writes \p version to \p to, the wire form of an object or of an entry of a digest.
template <typename Wire>
void writeVersion(const Version &version, Wire &to)
{
    to.set_version(version.revision);
    to.set_era(version.era);
    to.set_retained_era(version.retainedEra);
    to.set_retained_version(version.retainedRevision);
}

template <typename Wire>
Version readVersion(const Wire &from)
{
    const Version version(from.era(), from.version());
    return version.retaining(Version(from.retained_era(), from.retained_version()));
}

/// A daemon of an older version ignores compressed objects. It finds out by the next digest that
/// it lacks them, and requests them in a way that is answered without compression.
void write(const ConfigPush &from, wire::ConfigPush &to)
{
    for (const PlatformObject &object : *from.objects) {
        wire::ObjectNews &news = *to.add_objects();
        news.set_kind(object.kind);
        news.set_name(object.name);
        writeVersion(object.version, news);
        news.set_deleted(object.deleted);
        news.set_value(object.value);
    }
    if (from.isPackable && to.ByteSizeLong() >= minPackedBytes) {
        std::string packed = compress(to);
        to.clear_objects();
        to.set_packed_objects(std::move(packed));
    }
}

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<microseconds>(time).count();
}

Duration fromMicros(std::int64_t micros)
{
    return std::clamp<microseconds>(microseconds(micros), -maxTime, maxTime);
}

/// Returns \p ratio as a number from 0 to maxRatio; 0 if it isn't one.
double readRatio(float ratio)
{
    return std::isfinite(ratio) ? static_cast<double>(std::clamp(ratio, 0.0F, maxRatio)) : 0;
}

void write(const RequestId &from, wire::RequestId &to)
{
    to.set_incarnation(from.incarnation);
    to.set_sequence(from.sequence);
}

void write(const Hash128 &from, wire::Hash &to)
{
    to.set_high(from.high);
    to.set_low(from.low);
}

RequestId read(const wire::RequestId &from)
{
    return {from.incarnation(), from.sequence()};
}

Hash128 read(const wire::Hash &from)
{
    return {from.high(), from.low()};
}

void write(const PieceId &from, wire::PieceId &to)
{
    write(from.request, *to.mutable_request());
    to.set_stage(from.stage);
    to.set_piece(from.piece);
}

PieceId read(const wire::PieceId &from)
{
    return {read(from.request()), from.stage(), from.piece()};
}

/// Writes \p order without its source.
void write(const PieceOrder &order, wire::PieceOrder &to)
{
    write(order.id, *to.mutable_id());
    write(order.digest, *to.mutable_digest());
    to.set_priority(order.priority);
    to.set_wanted_in_micros(toMicros(order.untilObjective));
    to.set_due_in_micros(toMicros(order.untilDeadline));
    to.set_result_bytes(order.resultBytes);
    to.set_data_centre(order.dataCentre);
    to.set_avoid(order.avoid);
    to.set_input_bytes(order.inputBytes);
    to.set_inputs_at(order.inputsDataCentre);
    for (const UpcomingPieces &upcoming : order.upcoming) {
        wire::UpcomingPieces &later = *to.add_upcoming();
        later.set_pool(upcoming.pool);
        later.set_pieces(upcoming.pieces);
        later.set_result_bytes(upcoming.resultBytes);
    }
    to.set_account(order.account);
}

/// Writes \p source, on its own or to the fields of an order that say the same.
template <typename Message>
void writeSource(const PieceSource &source, Message &to)
{
    to.set_caller_id(source.callerId);
    to.set_key(source.key);
    to.mutable_inputs()->Add(source.inputs.begin(), source.inputs.end());
}

/// Returns whether the source of \p orders is sent once instead of with each of them.
bool isSourceSentOnce(const PieceOrders &orders)
{
    if (orders.orders.size() < 2) {
        return false;
    }
    const SharedPieceSource &source = orders.orders.front().source;
    return source.bytes() * orders.orders.size() > maxRepeatedSourceBytes
           && std::all_of(
               orders.orders.begin(), orders.orders.end(),
               [&source](const PieceOrder &order) { return order.source.isSame(source); });
}

void write(const PieceBacklog &from, wire::PieceBacklog &to)
{
    to.set_pool(from.pool);
    to.set_free_in_micros(toMicros(from.freeIn));
    to.set_endpoints(from.endpoints);
    for (const std::uint32_t waiting : from.waiting) {
        to.add_waiting(waiting);
    }
    to.set_slowness(static_cast<float>(from.slowness));
    to.set_correction(static_cast<float>(from.correction));
    to.set_path_lost(from.isPathLost);
    to.set_buffered_bytes(from.bufferedBytes);
    to.set_hold_micros(toMicros(from.holdTime));
    for (const std::uint64_t bytes : from.waitingBytes) {
        to.add_waiting_bytes(bytes);
    }
    for (const UpcomingBacklog &upcoming : from.upcoming) {
        wire::UpcomingBacklog &item = *to.add_upcoming();
        item.set_pool(upcoming.pool);
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            item.add_pieces(upcoming.pieces[i]);
            item.add_result_bytes(upcoming.resultBytes[i]);
        }
    }
}

void write(const StreamRecord &from, wire::StreamRecord &to)
{
    write(from.stream, *to.mutable_stream());
    to.set_pool(from.origin.pool);
    to.set_software_version(from.origin.softwareVersion.value_or(std::string()));
    to.set_ttl_micros(toMicros(from.ttl));
    to.set_endpoint(from.endpoint);
    to.set_age_micros(toMicros(from.age));
}

StreamRecord read(const wire::StreamRecord &from)
{
    return {read(from.stream()),
            {from.pool(), from.software_version()},
            fromMicros(from.ttl_micros()),
            from.endpoint(),
            fromMicros(from.age_micros())};
}

void write(const CallId &from, wire::CallId &to)
{
    write(from.request, *to.mutable_request());
    to.set_stage(from.stage);
    to.set_attempt(from.attempt);
}

CallId read(const wire::CallId &from)
{
    return {read(from.request()), from.stage(), from.attempt()};
}

/// Copies as many values as \p to has space for, each limited to \p max.
template <typename Values, typename Array>
void copyPrefix(const Values &from, typename Array::value_type max, Array &to)
{
    const std::size_t count = std::min(to.size(), static_cast<std::size_t>(from.size()));
    std::transform(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(count), to.begin(),
                   [max](auto value) { return std::min<typename Array::value_type>(value, max); });
}

PieceBacklog read(const wire::PieceBacklog &from)
{
    PieceBacklog to;
    to.pool = from.pool();
    to.freeIn = fromMicros(from.free_in_micros());
    to.endpoints = from.endpoints();
    to.slowness = readRatio(from.slowness());
    to.isPathLost = from.path_lost();
    to.correction = readRatio(from.correction()) > 0 ? readRatio(from.correction()) : 1.0;
    copyPrefix(from.waiting(), maxReportedPieces, to.waiting);
    copyPrefix(from.waiting_bytes(), maxReportedBytes, to.waitingBytes);
    to.bufferedBytes = std::min(from.buffered_bytes(), maxReportedBytes);
    to.holdTime =
        std::clamp<microseconds>(microseconds(from.hold_micros()), microseconds(0), maxHoldTime);
    for (const wire::UpcomingBacklog &upcoming : from.upcoming()) {
        if (to.upcoming.size() == maxUpcomingPools) {
            break;
        }
        UpcomingBacklog &item = to.upcoming.emplace_back();
        item.pool = upcoming.pool();
        copyPrefix(upcoming.pieces(), maxReportedPieces, item.pieces);
        copyPrefix(upcoming.result_bytes(), maxReportedBytes, item.resultBytes);
    }
    return to;
}

/// Writes the lists that heartbeats and summaries share.
template <typename Content, typename Wire>
void writeSharedLists(const Content &from, Wire &to)
{
    to.set_leaving_known(from.leavingKnown);
    for (const UsageReport &report : from.usage) {
        wire::Usage &usage = *to.add_usage();
        usage.set_account(report.account);
        usage.set_pool(report.pool);
        usage.set_micros(toMicros(report.time));
        usage.set_demand(report.demand);
    }
    for (const std::string &endpoint : from.leavingEndpoints) {
        to.add_leaving_endpoints(endpoint);
    }
    for (const PieceBacklog &backlog : from.backlogs) {
        write(backlog, *to.add_backlogs());
    }
    for (const PromptBacklog &prompt : from.prompts) {
        wire::PromptBacklog &item = *to.add_prompts();
        item.set_endpoint(prompt.endpoint);
        item.set_tokens(prompt.tokens);
        item.set_calls(prompt.calls);
    }
    for (const EndpointPaceReport &pace : from.paces) {
        wire::EndpointPace &item = *to.add_paces();
        item.set_endpoint(pace.endpoint);
        item.set_load_class(pace.loadClass);
        item.set_expected_micros(pace.expected.count());
        item.set_measured_micros(pace.measured.count());
    }
    for (const EndpointLimitReport &limit : from.limits) {
        wire::EndpointLimit &item = *to.add_limits();
        item.set_endpoint(limit.endpoint);
        item.set_per_second(limit.perSecond.value_or(0));
        item.set_lifted(!limit.perSecond);
        item.set_stated_micros_ago(toMicros(limit.age));
    }
}

template <typename Content, typename Wire>
void readSharedLists(const Wire &from, Content &to)
{
    to.leavingKnown = from.leaving_known();
    for (const wire::Usage &usage : from.usage()) {
        to.usage.push_back(
            {usage.account(), usage.pool(), fromMicros(usage.micros()), usage.demand()});
    }
    to.leavingEndpoints.assign(from.leaving_endpoints().begin(), from.leaving_endpoints().end());
    for (const wire::PieceBacklog &backlog : from.backlogs()) {
        to.backlogs.push_back(read(backlog));
    }
    for (const wire::PromptBacklog &prompt : from.prompts()) {
        to.prompts.push_back({prompt.endpoint(), prompt.tokens(), prompt.calls()});
    }
    for (const wire::EndpointPace &pace : from.paces()) {
        to.paces.push_back({pace.endpoint(), pace.load_class(),
                            microseconds(pace.expected_micros()),
                            microseconds(pace.measured_micros())});
    }
    for (const wire::EndpointLimit &limit : from.limits()) {
        const bool isValid = std::isfinite(limit.per_second()) && limit.per_second() >= 0
                             && limit.stated_micros_ago() >= 0;
        if (isValid) {
            to.limits.push_back(
                {limit.endpoint(),
                 limit.lifted() ? std::nullopt : std::optional<double>(limit.per_second()),
                 fromMicros(limit.stated_micros_ago())});
        }
    }
}

/// Returns the capacity of a daemon; 1 if absent, as in messages of older versions.
double capacityOf(float reported)
{
    return std::isfinite(reported) && reported > 0 ? static_cast<double>(reported) : 1.0;
}

/// Writes each kind of content to its protobuf field.
class Writer
{
public:
    explicit Writer(wire::PeerMessage &message)
        : m_message(message)
    {
    }

    void operator()(const Heartbeat &from) const
    {
        wire::Heartbeat &to = *m_message.mutable_heartbeat();
        to.set_data_centre(from.dataCentre);
        to.set_address(from.address);
        to.set_leaving(from.leaving);
        to.set_capacity(static_cast<float>(from.capacity));
        to.set_wants_summary(from.requestsSummary);
        to.set_config_summary(from.configSummary);
        to.set_store_era(from.storeEra);
        to.set_lowest_revision(from.lowestRevision);
        to.set_watches(from.watches);
        to.set_hosts_known(from.knownHostsHash);
        to.set_accepts_host_changes(from.acceptsHostChanges);
        to.mutable_lost_pools()->Add(from.lostPools.begin(), from.lostPools.end());
        to.set_serving_hosts(from.servingHosts);
        to.set_crowded_hosts(from.crowdedHosts);
        to.set_reads_per_second(from.readsPerSecond);
        writeSharedLists(from, to);
    }
    void operator()(const PeerSummary &from) const
    {
        wire::PeerSummary &to = *m_message.mutable_peer_summary();
        to.set_is_whole(from.hasUsage);
        to.set_config_summary(from.configSummary);
        to.set_store_era(from.storeEra);
        to.set_lowest_revision(from.lowestRevision);
        to.set_watched(from.hasWatcher);
        to.set_serving_hosts(from.servingHosts);
        to.set_crowded_hosts(from.crowdedHosts);
        to.set_reads_per_second(from.readsPerSecond);
        to.set_heartbeat_multiplier(from.heartbeatMultiplier);
        to.set_hosts_hash(from.hostsHash);
        to.set_has_hosts(from.hasHosts);
        to.set_changes_hosts_from(from.changesHostsFrom);
        to.mutable_removed_hosts()->Add(from.removedHosts.begin(), from.removedHosts.end());
        writeSharedLists(from, to);
        for (const HostReport &host : from.hosts) {
            wire::HostReport &item = *to.add_hosts();
            item.set_host(host.host);
            item.set_data_centre(host.dataCentre);
            item.set_address(host.address);
            item.set_incarnation(host.incarnation);
            item.set_leaving(host.leaving);
            item.set_capacity(static_cast<float>(host.capacity));
        }
    }
    void operator()(const PieceOrders &from) const
    {
        wire::PieceOrders &to = *m_message.mutable_piece_orders();
        to.set_pool(from.pool);
        if (isSourceSentOnce(from)) {
            writeSource(*from.orders.front().source, *to.mutable_source());
            for (const PieceOrder &order : from.orders) {
                write(order, *to.add_sourced_orders());
            }
            return;
        }
        for (const PieceOrder &order : from.orders) {
            wire::PieceOrder &item = *to.add_orders();
            write(order, item);
            writeSource(*order.source, item);
        }
    }
    void operator()(const PieceOutcomes &from) const
    {
        wire::PieceOutcomes &to = *m_message.mutable_piece_outcomes();
        write(from.backlog, *to.mutable_backlog());
        for (const PieceOutcome &outcome : from.outcomes) {
            wire::PieceOutcome &item = *to.add_outcomes();
            item.set_endpoint(outcome.endpoint);
            write(outcome.id, *item.mutable_id());
            item.set_handle(outcome.handle);
            item.set_fault(static_cast<std::uint32_t>(outcome.fault));
        }
    }
    void operator()(const PieceFrees &from) const
    {
        wire::PieceFrees &to = *m_message.mutable_piece_frees();
        to.set_pool(from.pool);
        for (const std::string &handle : from.handles) {
            to.add_handles(handle);
        }
    }
    void operator()(const CrashReports &from) const
    {
        wire::CrashReports &to = *m_message.mutable_crash_reports();
        for (const CrashReport &report : from.reports) {
            wire::CrashReport &item = *to.add_reports();
            write(report.digest, *item.mutable_digest());
            item.set_pool(report.pool);
            item.set_endpoint(report.endpoint);
            item.set_sent_micros_ago(toMicros(report.sentAgo));
            item.set_broke_micros_ago(toMicros(report.brokeAgo));
            item.set_is_prompt_part(report.isPromptPart);
        }
    }
    void operator()(const CrashesCleared &from) const
    {
        wire::CrashesCleared &to = *m_message.mutable_crashes_cleared();
        for (const Hash128 &digest : from.digests) {
            write(digest, *to.add_digests());
        }
    }
    void operator()(const StreamRecords &from) const
    {
        wire::StreamRecords &to = *m_message.mutable_stream_records();
        for (const StreamRecord &record : from.records) {
            write(record, *to.add_records());
        }
    }
    void operator()(const StreamQuery &from) const
    {
        write(from.stream, *m_message.mutable_stream_query()->mutable_stream());
    }
    void operator()(const StreamReply &from) const
    {
        wire::StreamReply &to = *m_message.mutable_stream_reply();
        write(from.stream, *to.mutable_stream());
        if (from.record) {
            write(*from.record, *to.mutable_record());
        }
    }
    void operator()(const BudgetLoanRequest &from) const
    {
        wire::BudgetLoanRequest &to = *m_message.mutable_budget_loan_request();
        to.set_pool(from.pool);
        to.set_retries(from.retries);
        to.set_stamp_micros(from.stamp.count());
    }
    void operator()(const BudgetLoan &from) const
    {
        wire::BudgetLoan &to = *m_message.mutable_budget_loan();
        const auto thousandths = static_cast<std::uint32_t>(std::llround(from.retries * 1000));
        to.set_pool(from.pool);
        to.set_retries(thousandths / 1000);
        to.set_retry_thousandths(thousandths % 1000);
        to.set_stamp_micros(from.stamp.count());
    }
    void operator()(const RelayCall &from) const
    {
        wire::RelayCall &to = *m_message.mutable_relay_call();
        write(from.call, *to.mutable_call());
        to.set_pool(from.pool);
        to.set_method(from.method);
        to.set_url(from.url);
        to.set_target(from.target);
        to.mutable_headers()->Add(from.headers.begin(), from.headers.end());
        to.set_body(from.body);
        to.set_timeout_micros(toMicros(from.timeout));
        to.set_connect_timeout_micros(toMicros(from.connectTimeout));
        to.set_omits_default_headers(from.omitsDefaultHeaders);
        to.set_window_bytes(static_cast<std::uint32_t>(from.windowBytes));
    }
    void operator()(const RelayPart &from) const
    {
        wire::RelayPart &to = *m_message.mutable_relay_part();
        write(from.call, *to.mutable_call());
        to.set_number(from.number);
        to.set_is_last(from.isLast);
        to.set_status(from.status);
        to.set_head_status(from.headStatus);
        to.set_was_sent(from.wasSent);
        to.set_is_broken(from.isBroken);
        to.set_was_refused(from.wasRefused);
        to.set_error(from.error);
        for (const auto &[name, value] : from.fields) {
            wire::HeaderField &field = *to.add_fields();
            field.set_name(name);
            field.set_value(value);
        }
        to.set_body(from.body);
        to.set_longest_pause_micros(toMicros(from.longestPause));
    }
    void operator()(const RelayAck &from) const
    {
        wire::RelayAck &to = *m_message.mutable_relay_ack();
        write(from.call, *to.mutable_call());
        to.set_bytes(from.bytes);
    }
    void operator()(const RelayCancel &from) const
    {
        write(from.call, *m_message.mutable_relay_cancel()->mutable_call());
    }
    void operator()(const PieceWithdrawal &from) const
    {
        wire::PieceWithdrawal &to = *m_message.mutable_piece_withdrawal();
        for (const RequestId &request : from.requests) {
            write(request, *to.add_requests());
        }
    }
    void operator()(const ClaimRequest &from) const
    {
        wire::ClaimRequest &to = *m_message.mutable_claim_request();
        write(from.claimant, *to.mutable_claimant());
        write(from.key, *to.mutable_key());
        write(from.digest, *to.mutable_digest());
        to.set_patience_micros(toMicros(from.timeout));
    }
    void operator()(const ClaimDecision &from) const
    {
        wire::ClaimDecision &to = *m_message.mutable_claim_decision();
        write(from.claimant, *to.mutable_claimant());
        write(from.key, *to.mutable_key());
        to.set_verdict(static_cast<std::uint32_t>(from.verdict));
        to.set_answer(from.answer);
    }
    void operator()(const ClaimFinish &from) const
    {
        wire::ClaimFinish &to = *m_message.mutable_claim_finish();
        write(from.claimant, *to.mutable_claimant());
        write(from.key, *to.mutable_key());
        to.set_end(static_cast<std::uint32_t>(from.outcome));
        to.set_answer(from.answer);
    }
    void operator()(const ClaimFinished &from) const
    {
        write(from.claimant, *m_message.mutable_claim_finished()->mutable_claimant());
    }
    void operator()(const ConfigPush &from) const { write(from, *m_message.mutable_config_push()); }
    void operator()(const ConfigDigest &from) const
    {
        wire::ConfigDigest &to = *m_message.mutable_config_digest();
        to.set_summary(from.summary);
        to.set_store_era(from.storeEra);
        to.set_lowest_revision(from.lowestRevision);
        to.set_watches(from.watches);
        to.set_detailed(from.detailed);
        to.set_reply(from.reply);
        to.mutable_bucket_hashes()->Add(from.bucketHashes.begin(), from.bucketHashes.end());
        to.mutable_buckets()->Add(from.buckets.begin(), from.buckets.end());
        to.set_ends_page(from.endsPage);
        to.set_more(from.more);
        to.set_complete(from.complete);
        for (const ConfigDigest::Entry &entry : from.entries) {
            wire::ConfigDigest::Entry &item = *to.add_entries();
            item.set_kind(entry.kind);
            item.set_name(entry.name);
            writeVersion(entry.version, item);
        }
    }

private:
    wire::PeerMessage &m_message;
};

Heartbeat read(const wire::Heartbeat &from)
{
    Heartbeat to;
    to.dataCentre = from.data_centre();
    to.address = from.address();
    to.leaving = from.leaving();
    to.capacity = capacityOf(from.capacity());
    to.requestsSummary = from.wants_summary();
    to.configSummary = from.config_summary();
    to.storeEra = from.store_era();
    to.lowestRevision = from.lowest_revision();
    to.watches = from.watches();
    to.knownHostsHash = from.hosts_known();
    to.acceptsHostChanges = from.accepts_host_changes();
    to.lostPools.assign(from.lost_pools().begin(), from.lost_pools().end());
    to.servingHosts = from.serving_hosts();
    to.crowdedHosts = from.crowded_hosts();
    to.readsPerSecond = from.reads_per_second();
    readSharedLists(from, to);
    return to;
}

PeerSummary read(const wire::PeerSummary &from)
{
    PeerSummary to;
    to.hasUsage = from.is_whole();
    to.configSummary = from.config_summary();
    to.storeEra = from.store_era();
    to.lowestRevision = from.lowest_revision();
    to.hasWatcher = from.watched();
    to.servingHosts = from.serving_hosts();
    to.crowdedHosts = from.crowded_hosts();
    to.readsPerSecond = from.reads_per_second();
    to.heartbeatMultiplier = from.heartbeat_multiplier();
    to.hostsHash = from.hosts_hash();
    to.hasHosts = from.has_hosts();
    to.changesHostsFrom = from.changes_hosts_from();
    to.removedHosts.assign(from.removed_hosts().begin(), from.removed_hosts().end());
    readSharedLists(from, to);
    for (const wire::HostReport &item : from.hosts()) {
        to.hosts.push_back({item.host(), item.data_centre(), item.address(), item.incarnation(),
                            item.leaving(), capacityOf(item.capacity())});
    }
    return to;
}

/// Reads the source of orders, or the fields of an order that say the same.
template <typename Message>
PieceSource readSource(const Message &from)
{
    return {from.caller_id(), from.key(), {from.inputs().begin(), from.inputs().end()}};
}

/// Reads an order without its source.
PieceOrder read(const wire::PieceOrder &item)
{
    PieceOrder order;
    order.id = read(item.id());
    order.digest = read(item.digest());
    order.priority = item.priority();
    order.untilObjective = fromMicros(item.wanted_in_micros());
    order.untilDeadline = fromMicros(item.due_in_micros());
    order.resultBytes = std::min(item.result_bytes(), maxReportedBytes);
    order.dataCentre = item.data_centre();
    order.avoid = item.avoid();
    order.inputBytes = item.input_bytes();
    order.inputsDataCentre = item.inputs_at();
    for (const wire::UpcomingPieces &upcoming : item.upcoming()) {
        if (order.upcoming.size() == maxUpcomingPools) {
            break;
        }
        order.upcoming.push_back({upcoming.pool(), std::min(upcoming.pieces(), maxReportedPieces),
                                  std::min(upcoming.result_bytes(), maxReportedBytes)});
    }
    order.account = item.account();
    return order;
}

PieceOrders read(const wire::PieceOrders &from)
{
    PieceOrders to;
    to.pool = from.pool();
    SharedPieceSource source;
    for (const wire::PieceOrder &item : from.orders()) {
        PieceSource own = readSource(item);
        if (own != *source) {
            source = SharedPieceSource(std::move(own));
        }
        to.orders.push_back(read(item));
        to.orders.back().source = source;
    }
    if (from.sourced_orders().empty()) {
        return to;
    }
    source = SharedPieceSource(readSource(from.source()));
    for (const wire::PieceOrder &item : from.sourced_orders()) {
        to.orders.push_back(read(item));
        to.orders.back().source = source;
    }
    return to;
}

/// Returns std::nullopt if the fault of an outcome is unknown.
std::optional<PieceOutcomes> read(const wire::PieceOutcomes &from)
{
    PieceOutcomes to;
    to.backlog = read(from.backlog());
    for (const wire::PieceOutcome &item : from.outcomes()) {
        if (item.fault() >= pieceFaultCount) {
            return std::nullopt;
        }
        to.outcomes.push_back({read(item.id()), item.endpoint(), item.handle(),
                               static_cast<PieceFault>(item.fault())});
    }
    return to;
}

CrashReports read(const wire::CrashReports &from)
{
    CrashReports to;
    for (const wire::CrashReport &report : from.reports()) {
        to.reports.push_back({read(report.digest()), report.pool(), report.endpoint(),
                              fromMicros(report.sent_micros_ago()),
                              fromMicros(report.broke_micros_ago()), report.is_prompt_part()});
    }
    return to;
}

CrashesCleared read(const wire::CrashesCleared &from)
{
    CrashesCleared to;
    for (const wire::Hash &digest : from.digests()) {
        to.digests.push_back(read(digest));
    }
    return to;
}

StreamRecords read(const wire::StreamRecords &from)
{
    StreamRecords to;
    for (const wire::StreamRecord &record : from.records()) {
        to.records.push_back(read(record));
    }
    return to;
}

StreamReply read(const wire::StreamReply &from)
{
    StreamReply to;
    to.stream = read(from.stream());
    if (from.has_record()) {
        to.record = read(from.record());
    }
    return to;
}

PieceWithdrawal read(const wire::PieceWithdrawal &from)
{
    PieceWithdrawal to;
    for (const wire::RequestId &request : from.requests()) {
        to.requests.push_back(read(request));
    }
    return to;
}

/// Returns the objects of a push, of which either list is empty; std::nullopt if it is invalid.
std::optional<ConfigPush> read(const wire::ConfigPush &from)
{
    wire::ConfigPush unpacked;
    const bool isPacked = !from.packed_objects().empty();
    if (isPacked && !decompress(from.packed_objects(), unpacked)) {
        return std::nullopt;
    }
    std::vector<PlatformObject> objects;
    for (const wire::ObjectNews &news : (isPacked ? unpacked : from).objects()) {
        objects.push_back(
            {news.kind(), news.name(), readVersion(news), news.deleted(), news.value()});
    }
    return ConfigPush(std::move(objects));
}

ConfigDigest read(const wire::ConfigDigest &from)
{
    ConfigDigest to;
    to.summary = from.summary();
    to.storeEra = from.store_era();
    to.lowestRevision = from.lowest_revision();
    to.watches = from.watches();
    to.detailed = from.detailed();
    to.reply = from.reply();
    to.bucketHashes.assign(from.bucket_hashes().begin(), from.bucket_hashes().end());
    to.buckets.assign(from.buckets().begin(), from.buckets().end());
    to.endsPage = from.ends_page();
    to.more = from.more();
    to.complete = from.complete();
    for (const wire::ConfigDigest::Entry &item : from.entries()) {
        to.entries.push_back({item.kind(), item.name(), readVersion(item)});
    }
    return to;
}

RelayCall read(const wire::RelayCall &from)
{
    RelayCall to;
    to.call = read(from.call());
    to.pool = from.pool();
    to.method = from.method();
    to.url = from.url();
    to.target = from.target();
    to.headers.assign(from.headers().begin(), from.headers().end());
    to.body = from.body();
    to.timeout = fromMicros(from.timeout_micros());
    to.connectTimeout = fromMicros(from.connect_timeout_micros());
    to.omitsDefaultHeaders = from.omits_default_headers();
    to.windowBytes = from.window_bytes();
    return to;
}

/// Returns \p status if it is that of a final answer; 0, which stands for none, if not. Peers of
/// older versions pass on any status of an endpoint.
int readStatus(int status)
{
    return isFinalStatus(status) ? status : 0;
}

RelayPart read(const wire::RelayPart &from)
{
    RelayPart to;
    to.call = read(from.call());
    to.number = from.number();
    to.isLast = from.is_last();
    to.status = readStatus(from.status());
    to.headStatus = readStatus(from.head_status());
    to.wasSent = from.was_sent();
    to.isBroken = from.is_broken();
    to.wasRefused = from.was_refused();
    to.error = from.error();
    if (to.status != from.status()) {
        to.error = "the answer has no valid status";
    }
    for (const wire::HeaderField &field : from.fields()) {
        to.fields.emplace_back(field.name(), field.value());
    }
    to.body = from.body();
    to.longestPause = fromMicros(from.longest_pause_micros());
    return to;
}

BudgetLoan read(const wire::BudgetLoan &from)
{
    return {from.pool(), from.retries() + from.retry_thousandths() / 1000.0,
            microseconds(from.stamp_micros())};
}

/// Reads the content; returns false if its kind is unknown or a value is invalid.
bool readContent(const wire::PeerMessage &from, PeerMessage &to)
{
    switch (from.content_case()) {
    case wire::PeerMessage::kHeartbeat:
        to.content = read(from.heartbeat());
        return true;
    case wire::PeerMessage::kClaimRequest: {
        const wire::ClaimRequest &claim = from.claim_request();
        to.content = ClaimRequest{read(claim.claimant()), read(claim.key()), read(claim.digest()),
                                  fromMicros(claim.patience_micros())};
        return true;
    }
    case wire::PeerMessage::kClaimDecision: {
        const wire::ClaimDecision &decision = from.claim_decision();
        if (decision.verdict() > static_cast<std::uint32_t>(ClaimVerdict::Unavailable)) {
            return false;
        }
        to.content =
            ClaimDecision{read(decision.claimant()), read(decision.key()),
                          static_cast<ClaimVerdict>(decision.verdict()), decision.answer()};
        return true;
    }
    case wire::PeerMessage::kClaimFinish: {
        const wire::ClaimFinish &finish = from.claim_finish();
        if (finish.end() > static_cast<std::uint32_t>(ClaimOutcome::Abandoned)) {
            return false;
        }
        to.content = ClaimFinish{read(finish.claimant()), read(finish.key()),
                                 static_cast<ClaimOutcome>(finish.end()), finish.answer()};
        return true;
    }
    case wire::PeerMessage::kClaimFinished:
        to.content = ClaimFinished{read(from.claim_finished().claimant())};
        return true;
    case wire::PeerMessage::kConfigPush: {
        std::optional<ConfigPush> push = read(from.config_push());
        if (!push) {
            return false;
        }
        to.content = *std::move(push);
        return true;
    }
    case wire::PeerMessage::kConfigDigest:
        to.content = read(from.config_digest());
        return true;
    case wire::PeerMessage::kPieceOrders:
        to.content = read(from.piece_orders());
        return true;
    case wire::PeerMessage::kPieceOutcomes: {
        std::optional<PieceOutcomes> outcomes = read(from.piece_outcomes());
        if (!outcomes) {
            return false;
        }
        to.content = *std::move(outcomes);
        return true;
    }
    case wire::PeerMessage::kPieceFrees: {
        const wire::PieceFrees &frees = from.piece_frees();
        to.content = PieceFrees{frees.pool(), {frees.handles().begin(), frees.handles().end()}};
        return true;
    }
    case wire::PeerMessage::kPieceWithdrawal:
        to.content = read(from.piece_withdrawal());
        return true;
    case wire::PeerMessage::kPeerSummary:
        to.content = read(from.peer_summary());
        return true;
    case wire::PeerMessage::kCrashReports:
        to.content = read(from.crash_reports());
        return true;
    case wire::PeerMessage::kCrashesCleared:
        to.content = read(from.crashes_cleared());
        return true;
    case wire::PeerMessage::kRelayCall:
        to.content = read(from.relay_call());
        return true;
    case wire::PeerMessage::kRelayPart:
        to.content = read(from.relay_part());
        return true;
    case wire::PeerMessage::kRelayAck:
        to.content = RelayAck{read(from.relay_ack().call()), from.relay_ack().bytes()};
        return true;
    case wire::PeerMessage::kRelayCancel:
        to.content = RelayCancel{read(from.relay_cancel().call())};
        return true;
    case wire::PeerMessage::kStreamRecords:
        to.content = read(from.stream_records());
        return true;
    case wire::PeerMessage::kStreamQuery:
        to.content = StreamQuery{read(from.stream_query().stream())};
        return true;
    case wire::PeerMessage::kStreamReply:
        to.content = read(from.stream_reply());
        return true;
    case wire::PeerMessage::kBudgetLoanRequest: {
        const wire::BudgetLoanRequest &request = from.budget_loan_request();
        to.content = BudgetLoanRequest{request.pool(), request.retries(),
                                       microseconds(request.stamp_micros())};
        return true;
    }
    case wire::PeerMessage::kBudgetLoan:
        to.content = read(from.budget_loan());
        return true;
    case wire::PeerMessage::CONTENT_NOT_SET:
        return false;
    }
    return false;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    wire::PeerMessage wire;
    wire.set_host(message.host);
    wire.set_incarnation(message.incarnation);
    std::visit(Writer(wire), message.content);
    return wire.SerializeAsString();
}

std::optional<PeerMessage> decodePeerMessage(const std::string &bytes)
{
    wire::PeerMessage wire;
    PeerMessage message;
    if (!wire.ParseFromString(bytes) || !readContent(wire, message)) {
        return std::nullopt;
    }
    message.host = wire.host();
    message.incarnation = wire.incarnation();
    return message;
}

} // namespace harelink
