//===- claimbucket.cpp - Claim bucket records -----------------------------===//

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
        wire::ClaimRecord &target = *bucket.add_records();
        target.mutable_key()->set_high(key.high);
        target.mutable_key()->set_low(key.low);
        target.mutable_digest()->set_high(record.digest.high);
        target.mutable_digest()->set_low(record.digest.low);
        target.mutable_claimant()->set_incarnation(record.claimant.incarnation);
        target.mutable_claimant()->set_sequence(record.claimant.sequence);
        target.set_state(static_cast<wire::ClaimRecord::State>(record.state));
        target.set_changed_at_ms(record.changedAt.time_since_epoch().count());
        target.set_answer(record.answer);
        target.set_answer_dropped(record.answerDropped);
        for (const RequestId &claimant : record.releasedClaimants) {
            wire::RequestId &id = *target.add_given_up();
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
    for (const wire::ClaimRecord &source : bucket.records()) {
        ClaimRecord &record = records[{source.key().high(), source.key().low()}];
        record.claimant = {source.claimant().incarnation(), source.claimant().sequence()};
        record.digest = {source.digest().high(), source.digest().low()};
        record.state = static_cast<ClaimRecord::State>(source.state());
        record.changedAt = WallTime(std::chrono::milliseconds(source.changed_at_ms()));
        record.answer = source.answer();
        record.answerDropped = source.answer_dropped();
        for (const wire::RequestId &id : source.given_up()) {
            record.releasedClaimants.push_back({id.incarnation(), id.sequence()});
        }
    }
    return records;
}

} // namespace harelink
