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

// Reads a payload as its type and writes it again.
template <typename Message>
std::string repack(const std::string& bytes) {
  const auto message = rooksill::wire::unpack<Message>(bytes);
  return message ? rooksill::wire::pack(*message) : "";
}

std::string repack_envelope(const std::string& bytes) {
  auto unpacked = rooksill::wire::unpack<rooksill::wire::Envelope>(bytes);
  if (!unpacked) return "";
  rooksill::wire::Envelope& envelope = *unpacked;
  switch (static_cast<rooksill::wire::PeerKind>(envelope.kind)) {
    case rooksill::wire::PeerKind::kHeartbeat:
      envelope.payload = repack<rooksill::wire::ControllerHeartbeat>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kUpdates:
      envelope.payload = repack<rooksill::wire::Updates>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kRouting:
      envelope.payload = repack<rooksill::wire::RoutingUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kUnassignedMachine:
      envelope.payload = repack<rooksill::wire::UnassignedMachine>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kMachineStatus:
      envelope.payload = repack<rooksill::wire::MachineStatusUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kCancelled:
      envelope.payload = repack<rooksill::wire::Cancelled>(envelope.payload);
      break;
  }
  return rooksill::wire::pack(envelope);
}

// What was decoded, encoded again; null if it was not taken.
template <typename Record>
nlohmann::json reencode(const rooksill::wire::Decoded<Record>& record,
                             nlohmann::json (*encode)(const Record&)) {
  return record ? encode(*record) : nlohmann::json();
}

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

// What the version before wrote and sent is read, and written back the same; and the description of
// that version in the stand-ins knows all of it.
void run_recorded(const std::vector<Line>& lines) {
  for (const auto& line : lines) {
    if (line.word(0) == "kind") continue;
    if (line.word(0) == "message") {
      const std::string bytes = decode_hex(line.word(2));
      if (repack_envelope(bytes) != bytes) fail(line, "does not come back");
      if (auto unknown = standins::unknown_to_first_version(bytes); !unknown.empty())
        fail(line, unknown);
      continue;
    }
    const std::string& key = line.words[1];
    const auto value = nlohmann::json::parse(line.word(2));
    if (reencode_value(key, value) != value) fail(line, "does not come back");
    if (auto unknown = standins::unknown_to_first_version(key, value); !unknown.empty())
      fail(line, unknown);
  }
}

}  // namespace runner
