#include "rooksill/agent/worker_table.h"

#include <utility>

#include "rooksill/model/coordination.h"

namespace rooksill::agent {

namespace {
// Turns in which every status and every address is published again.
constexpr size_t kTurns = 16;
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
  worker.tokens.current = model::first_worker_token(lease.fencing_token);
  // Any former owner's command may still be under way.
  worker.tokens.unacknowledged = model::previous(worker.tokens.current);
  worker.contact.last_heard = worker.contact.last_report = context_.now.steady;
  auto address = addresses_.find(name);
  if (address != addresses_.end()) worker.address = address->second;
  mark_changed(workers_.emplace(name, std::move(worker)).first->second);
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
  worker.capacity_stale = worker.status_changed = true;
  worker.answered_in_full = false;
  if (!worker.changed) defer(worker);
}

void WorkerTable::defer(Worker& worker) {
  worker.changed = true;
  changed_.push_back(worker.name);
}

std::vector<std::string> WorkerTable::take_changed() { return std::exchange(changed_, {}); }

Worker* WorkerTable::claim_changed(const std::string& name) {
  Worker* worker = find(name);
  if (worker == nullptr || !std::exchange(worker->changed, false)) return nullptr;
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
  if (Worker* worker = find(machine)) worker->status_changed = true;
}

void WorkerTable::record_address(const std::string& machine, const std::string& address) {
  if (address.empty()) return;
  std::string& known = addresses_[machine];
  if (known == address) return;
  known = address;
  Worker* worker = find(machine);
  if (worker == nullptr) return;
  worker->address = address;
  if (new_addresses_.size() <= workers_.size()) new_addresses_.push_back({machine, address});
}

std::vector<wire::MachineAddress> WorkerTable::take_addresses() {
  std::vector<wire::MachineAddress> out = std::exchange(new_addresses_, {});
  size_t position = ++turn_;
  for (const auto& [name, worker] : workers_)
    if (++position % kTurns == 0 && !worker.address.empty()) out.push_back({name, worker.address});
  return out;
}

std::vector<WorkerTable::StatusDue> WorkerTable::take_status_due(bool all) {
  std::vector<StatusDue> out;
  size_t position = turn_;
  for (auto& [name, worker] : workers_) {
    const bool turn = ++position % kTurns == 0 || all;
    const bool changed = std::exchange(worker.status_changed, false);
    if (turn || changed) out.push_back({&worker, turn});
  }
  return out;
}

}  // namespace rooksill::agent
