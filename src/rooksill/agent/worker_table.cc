#include "rooksill/agent/worker_table.h"

#include <utility>

#include "rooksill/model/coordination.h"

namespace rooksill::agent {

namespace {
// Calls of collect_address_updates() within which every status and every address is published
// again.
constexpr size_t kRepublishTurns = 16;
}  // namespace

Worker* WorkerTable::find(const std::string& name) {
  auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : &it->second;
}

const Worker* WorkerTable::find(const std::string& name) const {
  auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : &it->second;
}

void WorkerTable::add(const std::string& name, int partition) {
  const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(partition)];
  Worker worker;
  worker.name = name;
  worker.partition = partition;
  const auto last_used = last_used_tokens_.find(name);
  worker.tokens = WorkerTokens(
      model::worker_tokens(lease.fencing_token),
      last_used == last_used_tokens_.end() ? model::kNoFencingToken : last_used->second);
  worker.contact.last_contact_at = worker.contact.last_periodic_heartbeat_at = context_.now.steady;
  auto address = addresses_.find(name);
  if (address != addresses_.end()) worker.address = address->second;
  mark_changed(workers_.emplace(name, std::move(worker)).first->second);
}

void WorkerTable::remove(const std::string& name) {
  const auto it = workers_.find(name);
  if (it == workers_.end()) return;
  last_used_tokens_[name] = it->second.tokens.current();
  workers_.erase(it);
}

void WorkerTable::forget_released_machines() {
  if (!replica_.has_consistent_lists()) return;
  std::erase_if(last_used_tokens_, [this](const auto& entry) {
    if (!replica_.is_machine_unlisted(entry.first)) return false;
    addresses_.erase(entry.first);
    return true;
  });
}

void WorkerTable::remove_partition(int partition, const Visitor& before_removal) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    if (it->second.partition == partition) {
      before_removal(it->second);
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
}

void WorkerTable::mark_changed(Worker& worker) {
  worker.is_capacity_stale = worker.has_status_change = true;
  worker.was_sent_all_commands = false;
  if (!worker.is_queued_as_changed) defer(worker);
}

void WorkerTable::defer(Worker& worker) {
  worker.is_queued_as_changed = true;
  changed_names_.push_back(worker.name);
}

std::vector<std::string> WorkerTable::extract_changed_names() {
  return std::exchange(changed_names_, {});
}

Worker* WorkerTable::claim_changed(const std::string& name) {
  Worker* worker = find(name);
  if (worker == nullptr || !std::exchange(worker->is_queued_as_changed, false)) return nullptr;
  return worker;
}

void WorkerTable::drain(const std::vector<std::string>& machines) {
  for (const auto& machine : machines) mark_status_changed(machine);
  draining_.insert(machines.begin(), machines.end());
}

void WorkerTable::clear_draining() {
  for (const auto& machine : draining_) mark_status_changed(machine);
  draining_.clear();
}

void WorkerTable::mark_status_changed(const std::string& machine) {
  if (Worker* worker = find(machine)) worker->has_status_change = true;
}

void WorkerTable::record_address(const std::string& machine, const std::string& address) {
  if (address.empty()) return;
  std::string& stored = addresses_[machine];
  if (stored == address) return;
  stored = address;
  Worker* worker = find(machine);
  if (worker == nullptr) return;
  worker->address = address;
  if (new_addresses_.size() <= workers_.size()) new_addresses_.push_back({machine, address});
}

std::vector<wire::MachineAddress> WorkerTable::collect_address_updates() {
  std::vector<wire::MachineAddress> updates = std::exchange(new_addresses_, {});
  size_t position = ++republish_turn_;
  for (const auto& [name, worker] : workers_)
    if (++position % kRepublishTurns == 0 && !worker.address.empty())
      updates.push_back({name, worker.address});
  return updates;
}

std::vector<WorkerTable::DueStatus> WorkerTable::collect_due_statuses(bool include_all) {
  std::vector<DueStatus> due;
  size_t position = republish_turn_;
  for (auto& [name, worker] : workers_) {
    const bool must_republish = ++position % kRepublishTurns == 0 || include_all;
    const bool has_changed = std::exchange(worker.has_status_change, false);
    if (must_republish || has_changed) due.push_back({&worker, must_republish});
  }
  return due;
}

}  // namespace rooksill::agent
