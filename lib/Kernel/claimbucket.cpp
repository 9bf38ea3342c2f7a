//===- claimbucket.cpp - Records of claims --------------------------------===//

#include "harelink/Kernel/claimbucket.h"

#include "harelink.pb.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

namespace harelink {

std::size_t bucketOf(const Hash128 &key)
{
    return key.low % claimBucketCount;
}

std::string bucketName(std::size_t bucket)
{
    return fmt::format("bucket-{}", bucket);
}

std::string encodeRecords(const ClaimRecords &records)
{
    wire::ClaimBucket bucket;
    for (const auto &[key, record] : records) {
        wire::ClaimRecord &to = *bucket.add_records();
        to.mutable_key()->set_high(key.high);
        to.mutable_key()->set_low(key.low);
        to.mutable_digest()->set_high(record.digest.high);
        to.mutable_digest()->set_low(record.digest.low);
        to.mutable_claimant()->set_incarnation(record.claimant.incarnation);
        to.mutable_claimant()->set_sequence(record.claimant.sequence);
        to.set_state(static_cast<wire::ClaimRecord::State>(record.state));
        to.set_changed_at_ms(record.changedAt.time_since_epoch().count());
        to.set_answer(record.answer);
        to.set_answer_dropped(record.answerDropped);
        for (const RequestId &claimant : record.releasedClaimants) {
            wire::RequestId &id = *to.add_given_up();
            id.set_incarnation(claimant.incarnation);
            id.set_sequence(claimant.sequence);
        }
    }
    return absl::Base64Escape(bucket.SerializeAsString());
}

std::optional<ClaimRecords> decodeRecords(const std::string &value)
{
    std::string bytes;
    wire::ClaimBucket bucket;
    if (!absl::Base64Unescape(value, &bytes) || !bucket.ParseFromString(bytes)) {
        return std::nullopt;
    }
    ClaimRecords records;
    for (const wire::ClaimRecord &from : bucket.records()) {
        ClaimRecord &record = records[{from.key().high(), from.key().low()}];
        record.claimant = {from.claimant().incarnation(), from.claimant().sequence()};
        record.digest = {from.digest().high(), from.digest().low()};
        record.state = static_cast<ClaimRecord::State>(from.state());
        record.changedAt = WallTime(std::chrono::milliseconds(from.changed_at_ms()));
        record.answer = from.answer();
        record.answerDropped = from.answer_dropped();
        for (const wire::RequestId &id : from.given_up()) {
            record.releasedClaimants.push_back({id.incarnation(), id.sequence()});
        }
    }
    return records;
}

} // namespace harelink
