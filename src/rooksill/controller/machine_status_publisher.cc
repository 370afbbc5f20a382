#include "rooksill/controller/machine_status_publisher.h"

#include <cstddef>
#include <utility>

namespace rooksill::controller {

namespace {
constexpr size_t kStatusesPerMessage = 200;
}  // namespace

void MachineStatusPublisher::publish() {
  const model::Leadership& leader = replica_.leader;
  if (leader.label.empty()) return;
  const bool is_new_leader = leader.revision != published_to_.revision;
  std::vector<wire::MachineStatus> statuses = owner_.collect_status_updates(is_new_leader);
  published_to_ = leader;
  if (leader.label == context_.settings.platform.label)
    table_.record(leader.label, std::move(statuses));
  else
    send(leader.label, std::move(statuses));
}

void MachineStatusPublisher::handle_connection_loss(const std::string& label) {
  if (label == published_to_.label) published_to_ = {};
}

void MachineStatusPublisher::send(const std::string& leader,
                                  std::vector<wire::MachineStatus> statuses) {
  wire::MachineStatusUpdate message;
  for (wire::MachineStatus& status : statuses) {
    message.machines.push_back(std::move(status));
    if (message.machines.size() < kStatusesPerMessage) continue;
    peers_.send(leader, wire::PeerMessageKind::kMachineStatus, wire::pack(message));
    message.machines.clear();
  }
  if (!message.machines.empty())
    peers_.send(leader, wire::PeerMessageKind::kMachineStatus, wire::pack(message));
}

}  // namespace rooksill::controller
