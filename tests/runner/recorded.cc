// Scenarios of kind `recorded`: store values and peer messages that the first version wrote.
#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/store_codec.h"
#include "runner/kinds.h"
#include "standins/first_version.h"

namespace runner {

namespace {

std::string decode_hex(const std::string& hex) {
  std::string out;
  for (size_t i = 0; i + 1 < hex.size(); i += 2)
    out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return out;
}

// Decodes and encodes a payload. Returns an empty string if it cannot be decoded.
template <typename Message>
std::string repack(const std::string& bytes) {
  const auto message = rooksill::wire::unpack<Message>(bytes);
  return message ? rooksill::wire::pack(*message) : "";
}

// Does the same for a message between controllers and the payload inside it.
std::string repack_envelope(const std::string& bytes) {
  auto unpacked = rooksill::wire::unpack<rooksill::wire::Envelope>(bytes);
  if (!unpacked) return "";
  rooksill::wire::Envelope& envelope = *unpacked;
  switch (static_cast<rooksill::wire::PeerMessageKind>(envelope.kind)) {
    case rooksill::wire::PeerMessageKind::kHeartbeat:
      envelope.payload = repack<rooksill::wire::ControllerHeartbeat>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kStoreUpdates:
      envelope.payload = repack<rooksill::wire::StoreUpdates>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kRouting:
      envelope.payload = repack<rooksill::wire::RoutingUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kUnassignedMachine:
      envelope.payload = repack<rooksill::wire::UnassignedMachine>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kMachineStatus:
      envelope.payload = repack<rooksill::wire::MachineStatusUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kCancelledJobs:
      envelope.payload = repack<rooksill::wire::CancelledJobs>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kLeaseRenewal:
      envelope.payload = repack<rooksill::wire::LeaseRenewalRequest>(envelope.payload);
      break;
  }
  return rooksill::wire::pack(envelope);
}

// Encodes the decoded record; returns null if decoding failed.
template <typename Record>
nlohmann::json reencode(const rooksill::wire::Decoded<Record>& record,
                        nlohmann::json (*encode)(const Record&)) {
  return record ? encode(*record) : nlohmann::json();
}

// Decodes and encodes a store value by the kind of its key. Returns null if the key is unknown or
// the value cannot be decoded.
nlohmann::json reencode_value(const std::string& key, const nlohmann::json& value) {
  namespace wire = rooksill::wire;
  const auto parsed = wire::parse_store_key(key);
  if (!parsed) return nullptr;
  switch (parsed->kind) {
    case wire::KeyKind::kJob:
      return reencode(wire::decode_job(value), wire::encode_job);
    case wire::KeyKind::kShard:
      return reencode(wire::decode_shard(value, value.at("p").size()), wire::encode_shard);
    case wire::KeyKind::kLease:
      return reencode(wire::decode_lease(value), wire::encode_lease);
    case wire::KeyKind::kMachines:
      return reencode(wire::decode_machines(value), wire::encode_machines);
    case wire::KeyKind::kLiveness:
      return reencode(wire::decode_liveness(value), wire::encode_liveness);
    case wire::KeyKind::kVersion:
      return reencode(wire::decode_version(value), wire::encode_version);
    case wire::KeyKind::kQuota:
      return reencode(wire::decode_quota_division(value, value.at("c").size()),
                      wire::encode_quota_division);
    case wire::KeyKind::kMachineType:
      return reencode(wire::decode_type(value), wire::encode_type);
    case wire::KeyKind::kLeader:
      return reencode(wire::decode_leadership(value), wire::encode_leadership);
    case wire::KeyKind::kTerm:
      return wire::encode_term(*wire::decode_term(value));
    case wire::KeyKind::kUpgrade:
      return reencode(wire::decode_upgrade(value), wire::encode_upgrade);
  }
  return nullptr;
}

}  // namespace

// Guards compatibility during an upgrade: the present version has to decode what the first version
// wrote and sent, and encode it to the same bytes or JSON. Also checks that the description of the
// first version in standins/first_version.h covers all of it.
void run_recorded(const std::vector<Line>& lines) {
  for (const auto& line : lines) {
    if (line.word(0) == "kind") continue;
    if (line.word(0) == "message") {
      const std::string bytes = decode_hex(line.word(2));
      if (repack_envelope(bytes) != bytes) fail(line, "the message changes when it is re-encoded");
      if (auto unknown = standins::unknown_to_first_version(bytes); !unknown.empty())
        fail(line, unknown);
      continue;
    }
    const std::string& key = line.words[1];
    const auto value = nlohmann::json::parse(line.word(2));
    if (reencode_value(key, value) != value) fail(line, "the value changes when it is re-encoded");
    if (auto unknown = standins::unknown_to_first_version(key, value); !unknown.empty())
      fail(line, unknown);
  }
}

}  // namespace runner
