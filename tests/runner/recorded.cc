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
  Message message;
  return rooksill::wire::unpack(bytes, message) ? rooksill::wire::pack(message) : "";
}

std::string message_again(const std::string& bytes) {
  rooksill::wire::Envelope envelope;
  if (!rooksill::wire::unpack(bytes, envelope)) return "";
  switch (static_cast<rooksill::wire::PeerKind>(envelope.kind)) {
    case rooksill::wire::PeerKind::kHeartbeat:
      envelope.payload = written_again<rooksill::wire::ControllerHeartbeat>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kUpdates:
      envelope.payload = written_again<rooksill::wire::Updates>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kRouting:
      envelope.payload = written_again<rooksill::wire::RoutingUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kUnassignedMachine:
      envelope.payload = written_again<rooksill::wire::UnassignedMachine>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kMachineStatus:
      envelope.payload = written_again<rooksill::wire::MachineStatusUpdate>(envelope.payload);
      break;
    case rooksill::wire::PeerKind::kCancelled:
      envelope.payload = written_again<rooksill::wire::Cancelled>(envelope.payload);
      break;
  }
  return rooksill::wire::pack(envelope);
}

nlohmann::json value_again(const std::string& key, const nlohmann::json& value) {
  const std::string kind = key.substr(0, 5);
  if (kind == "rk/j/") {
    rooksill::model::Job job;
    return rooksill::wire::decode_job(value, job) ? rooksill::wire::encode_job(job)
                                                  : nlohmann::json();
  }
  if (kind == "rk/t/") {
    std::vector<rooksill::model::TaskState> tasks;
    return rooksill::wire::decode_shard(value, value.at("p").size(), tasks)
               ? rooksill::wire::encode_shard(tasks)
               : nlohmann::json();
  }
  if (kind == "rk/l/") {
    rooksill::model::PartitionLease lease;
    return rooksill::wire::decode_lease(value, lease) ? rooksill::wire::encode_lease(lease)
                                                      : nlohmann::json();
  }
  if (kind == "rk/m/") {
    std::map<std::string, rooksill::model::Machine> machines;
    return rooksill::wire::decode_machines(value, machines)
               ? rooksill::wire::encode_machines(machines)
               : nlohmann::json();
  }
  if (kind == "rk/n/") {
    rooksill::model::LivenessRecord sign;
    return rooksill::wire::decode_liveness(value, sign) ? rooksill::wire::encode_liveness(sign)
                                                        : nlohmann::json();
  }
  if (kind == "rk/q/") {
    std::vector<rooksill::model::QuotaShare> shares;
    return rooksill::wire::decode_quota_division(value, value.at("c").size(), shares)
               ? rooksill::wire::encode_quota_division(shares)
               : nlohmann::json();
  }
  if (kind == "rk/c/") {
    rooksill::model::MachineType type;
    return rooksill::wire::decode_type(value, type) ? rooksill::wire::encode_type(type)
                                                    : nlohmann::json();
  }
  return value;  // the leader's keys have no codec of their own
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
