#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/controller_messages.h"
#include "rooksill/wire/store_codec.h"
#include "runner/kinds.h"
#include "standins/first_version.h"

namespace runner {

namespace {

std::string from_hex(const std::string& hex) {
  std::string out;
  for (size_t i = 0; i + 1 < hex.size(); i += 2)
    out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return out;
}

// Reads a payload as its type and writes it again.
template <typename Message>
std::string written_again(const std::string& bytes) {
  const auto message = rooksill::wire::unpack<Message>(bytes);
  return message ? rooksill::wire::pack(*message) : "";
}

std::string message_again(const std::string& bytes) {
  auto unpacked = rooksill::wire::unpack<rooksill::wire::Envelope>(bytes);
  if (!unpacked) return "";
  rooksill::wire::Envelope& envelope = *unpacked;
  switch (static_cast<rooksill::wire::PeerMessageKind>(envelope.kind)) {
    case rooksill::wire::PeerMessageKind::kHeartbeat:
      envelope.payload = written_again<rooksill::wire::ControllerHeartbeat>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kStoreUpdates:
      envelope.payload = written_again<rooksill::wire::StoreUpdates>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kRouting:
      envelope.payload = written_again<rooksill::wire::RoutingUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kUnassignedMachine:
      envelope.payload = written_again<rooksill::wire::UnassignedMachine>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kMachineStatus:
      envelope.payload = written_again<rooksill::wire::MachineStatusUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerMessageKind::kCancelledJobs:
      envelope.payload = written_again<rooksill::wire::CancelledJobs>(envelope.payload);
      break;
  }
  return rooksill::wire::pack(envelope);
}

// What was decoded, encoded again; null if it was not taken.
template <typename Record>
nlohmann::json encoded_again(const rooksill::wire::Decoded<Record>& record,
                             nlohmann::json (*encode)(const Record&)) {
  return record ? encode(*record) : nlohmann::json();
}

nlohmann::json value_again(const std::string& key, const nlohmann::json& value) {
  namespace wire = rooksill::wire;
  const auto parsed = wire::parse_store_key(key);
  if (!parsed) return nullptr;
  switch (parsed->kind) {
    case wire::KeyKind::kJob:
      return encoded_again(wire::decode_job(value), wire::encode_job);
    case wire::KeyKind::kShard:
      return encoded_again(wire::decode_shard(value, value.at("p").size()), wire::encode_shard);
    case wire::KeyKind::kLease:
      return encoded_again(wire::decode_lease(value), wire::encode_lease);
    case wire::KeyKind::kMachines:
      return encoded_again(wire::decode_machines(value), wire::encode_machines);
    case wire::KeyKind::kLiveness:
      return encoded_again(wire::decode_liveness(value), wire::encode_liveness);
    case wire::KeyKind::kVersion:
      return encoded_again(wire::decode_version(value), wire::encode_version);
    case wire::KeyKind::kQuota:
      return encoded_again(wire::decode_quota_division(value, value.at("c").size()),
                           wire::encode_quota_division);
    case wire::KeyKind::kMachineType:
      return encoded_again(wire::decode_type(value), wire::encode_type);
    case wire::KeyKind::kLeader:
      return encoded_again(wire::decode_leadership(value), wire::encode_leadership);
    case wire::KeyKind::kTerm:
      return wire::encode_term(*wire::decode_term(value));
    case wire::KeyKind::kUpgrade:
      return encoded_again(wire::decode_upgrade(value), wire::encode_upgrade);
  }
  return nullptr;
}

}  // namespace

// What the version before wrote and sent is read, and written back the same; and the description of
// that version in the stand-ins knows all of it.
void run_recorded(const std::vector<Line>& lines) {
  for (const auto& l : lines) {
    if (l.word(0) == "kind") continue;
    if (l.word(0) == "message") {
      const std::string bytes = from_hex(l.word(2));
      if (message_again(bytes) != bytes) fail(l, "does not come back");
      if (auto unknown = standins::unknown_to_first_version(bytes); !unknown.empty())
        fail(l, unknown);
      continue;
    }
    const std::string& key = l.words[1];
    const auto value = nlohmann::json::parse(l.word(2));
    if (value_again(key, value) != value) fail(l, "does not come back");
    if (auto unknown = standins::unknown_to_first_version(key, value); !unknown.empty())
      fail(l, unknown);
  }
}

}  // namespace runner
