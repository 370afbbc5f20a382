#include "rooksill/core/codec.h"
#include "rooksill/net/peer_codec.h"
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
  return rooksill::net::unpack(bytes, message) ? rooksill::net::pack(message) : "";
}

std::string message_again(const std::string& bytes) {
  namespace net = rooksill::net;
  net::Envelope envelope;
  if (!net::unpack(bytes, envelope)) return "";
  switch (static_cast<net::PeerKind>(envelope.kind)) {
    case net::PeerKind::kBeat:
      envelope.payload = written_again<net::Beat>(envelope.payload);
      break;
    case net::PeerKind::kUpdates:
      envelope.payload = written_again<net::Updates>(envelope.payload);
      break;
    case net::PeerKind::kRoutes:
      envelope.payload = written_again<net::Routes>(envelope.payload);
      break;
    case net::PeerKind::kSighting:
      envelope.payload = written_again<net::Sighting>(envelope.payload);
      break;
    case net::PeerKind::kViews:
      envelope.payload = written_again<net::Views>(envelope.payload);
      break;
    case net::PeerKind::kCancelled:
      envelope.payload = written_again<net::Cancelled>(envelope.payload);
      break;
  }
  return net::pack(envelope);
}

nlohmann::json value_again(const std::string& key, const nlohmann::json& value) {
  namespace core = rooksill::core;
  const std::string kind = key.substr(0, 5);
  if (kind == "rk/j/") {
    core::Job job;
    return core::decode_job(value, job) ? core::encode_job(job) : nlohmann::json();
  }
  if (kind == "rk/t/") {
    std::vector<core::TaskState> tasks;
    return core::decode_chunk(value, value.at("p").size(), tasks) ? core::encode_chunk(tasks)
                                                                  : nlohmann::json();
  }
  if (kind == "rk/l/") {
    core::BlockLease lease;
    return core::decode_lease(value, lease) ? core::encode_lease(lease) : nlohmann::json();
  }
  if (kind == "rk/m/") {
    std::map<std::string, core::Machine> machines;
    return core::decode_machines(value, machines) ? core::encode_machines(machines)
                                                  : nlohmann::json();
  }
  if (kind == "rk/n/") {
    core::LifeSign sign;
    return core::decode_life_sign(value, sign) ? core::encode_life_sign(sign) : nlohmann::json();
  }
  if (kind == "rk/q/") {
    std::vector<core::LimitShare> shares;
    return core::decode_division(value, value.at("c").size(), shares)
               ? core::encode_division(shares)
               : nlohmann::json();
  }
  if (kind == "rk/c/") {
    core::MachineType type;
    return core::decode_type(value, type) ? core::encode_type(type) : nlohmann::json();
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
