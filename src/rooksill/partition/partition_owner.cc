#include "rooksill/partition/partition_owner.h"

#include <algorithm>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/partition/machine_status.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/store/machine_directory.h"

namespace rooksill::partition {

using changes::TaskChange;

PartitionOwner::PartitionOwner(runtime::Context& context, store::Replica& replica,
                               store::Client& client, store::Committer& committer,
                               const membership::Cancellations& cancellations)
    : context_(context),
      replica_(replica),
      client_(client),
      owned_partitions_(replica),
      workers_(context, replica),
      failure_detector_(context, replica, workers_,
                        [this](agent::Worker& worker, const wire::WorkerHeartbeat& heartbeat,
                               agent::HeartbeatVersion sent_after) {
                          heartbeat_receiver_.accept_response(worker, heartbeat, sent_after);
                        }),
      changes_(context, replica, client, committer, owned_partitions_, *this),
      job_backoff_(context),
      renewal_permit_(context, cancellations),
      start_permit_(context, replica, renewal_permit_),
      heartbeat_receiver_(context, replica, workers_, failure_detector_,
                          [this] { request_placement(); }),
      reconciler_(
          {context, replica, owned_partitions_, changes_, workers_, evicted_tasks_, job_backoff_},
          [this](const std::string& team, agent::Worker& worker) {
            return exceeds_quota(team, worker);
          }),
      command_log_(context, replica),
      heartbeat_responder_({context, owned_partitions_, workers_, reconciler_, renewal_permit_,
                            start_permit_, command_log_},
                           [this](double received_at) { return expects_placement(received_at); }),
      heartbeat_endpoint_({context, replica, owned_partitions_, workers_, heartbeat_receiver_,
                           heartbeat_responder_, renewal_permit_}),
      command_sender_({context, replica, workers_, heartbeat_receiver_, reconciler_, start_permit_,
                       command_log_}),
      routed_shards_(context, replica, owned_partitions_),
      quota_transfers_(context, replica, committer),
      quota_usage_(context.settings, replica, quota_transfers_),
      capacities_(replica, evicted_tasks_, quota_usage_) {}

// ---- leases --------------------------------------------------------------------------------

void PartitionOwner::acquire_partition(int partition) {
  const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(partition)];
  owned_partitions_.acquire(partition);
  context_.info(
      "partition",
      "acquired partition {}, fencing token {}, lease revision {}, replica at revision {}",
      partition, model::number(lease.fencing_token), model::number(lease.revision),
      model::number(replica_.synced_revision));
  remove_workers(partition);
  for (const auto& page : replica_.directory().pages()[static_cast<size_t>(partition)])
    for (const auto& [name, machine] : page.machines)
      replica_.changes.changed_machines.insert(name);
}

void PartitionOwner::remove_workers(int partition) {
  workers_.remove_partition(partition,
                            [this](agent::Worker& worker) { capacities_.remove_usage(worker); });
}

void PartitionOwner::update_ownership() {
  const auto& label = context_.settings.platform.label;
  for (int partition = 0; partition < static_cast<int>(replica_.leases.size()); ++partition) {
    const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(partition)];
    const bool holds_lease = lease.owner == label && lease.incarnation == context_.incarnation;
    // Everything that the previous owner wrote has a lower revision than the lease. The replica
    // must contain it before the tasks of a worker are reconciled with the store.
    if (holds_lease && !owns(partition) && replica_.synced_revision >= lease.revision) {
      acquire_partition(partition);
    } else if (owned_partitions_.has_acquired(partition) && !owns(partition)) {
      context_.info("partition", "released partition {}, now owned by {}", partition, lease.owner);
      owned_partitions_.release(partition);
      remove_workers(partition);
    }
  }
}

std::vector<wire::LeaseRenewalRequest> PartitionOwner::lease_renewal_requests() const {
  model::FencingToken newest_lease = model::kNoFencingToken;
  for (const model::PartitionLease& lease : replica_.leases)
    newest_lease = std::max(newest_lease, lease.fencing_token);
  const model::FencingToken highest_issued = model::worker_tokens(newest_lease).last;
  std::set<int> partitions;
  for (const auto& [name, worker] : workers_)
    if (owns(worker.partition) && worker.tokens.needs_new_lease(highest_issued))
      partitions.insert(worker.partition);
  std::vector<wire::LeaseRenewalRequest> requests;
  requests.reserve(partitions.size());
  for (const int partition : partitions)
    requests.push_back({partition, replica_.leases[static_cast<size_t>(partition)].fencing_token});
  return requests;
}

// A batch of store changes affects only the machines in `changed_machines`.
void PartitionOwner::apply_store_changes() {
  for (const auto& name : replica_.changes.changed_machines) update_worker(name);
}

// The fencing tokens of a worker are those of its partition's lease, so a worker whose machine
// belongs to another partition now is replaced.
void PartitionOwner::update_worker(const std::string& machine_name) {
  const model::Machine* machine = replica_.machine(machine_name);
  agent::Worker* worker = workers_.find(machine_name);
  if (machine == nullptr && worker == nullptr) return workers_.remove_address(machine_name);
  if (machine != nullptr && worker != nullptr && machine->partition == worker->partition)
    return workers_.mark_changed(*worker);
  if (worker != nullptr) {
    capacities_.remove_usage(*worker);
    workers_.remove(machine_name);
  }
  if (machine != nullptr && owns(machine->partition))
    workers_.add(machine_name, machine->partition);
}

void PartitionOwner::check_timeouts() {
  renewal_permit_.log_change();
  failure_detector_.check();
  workers_.forget_released_machines();
  evicted_tasks_.remove_if([&](const model::TaskRef& ref, uint64_t attempt) {
    const model::TaskState* task = replica_.task(ref);
    return task == nullptr || task->machine.empty() || task->attempt != attempt;
  });
  if (!routed_shards_.empty()) placement_requested_ = true;
}

// ---- task state changes ----------------------------------------------------------------------

void PartitionOwner::on_change_added(const model::TaskRef& task, const TaskChange& change) {
  agent::Worker* worker = workers_.find(change.machine.name);
  if (worker == nullptr) return;
  worker->is_capacity_stale = worker->has_status_change = true;
  if (change.kind == TaskChange::Kind::kPlaced) worker->pending_placements.insert(task);
}

void PartitionOwner::on_change_removed(const model::TaskRef& task, const TaskChange& change) {
  agent::Worker* worker = workers_.find(change.machine.name);
  if (worker == nullptr) return;
  worker->pending_placements.erase(task);
  workers_.mark_changed(*worker);
  placement_requested_ = true;
}

bool PartitionOwner::is_terminating(const std::string& machine) const {
  const agent::Worker* worker = workers_.find(machine);
  return worker != nullptr && worker->terminates_at.has_value();
}

// ---- routing and quotas ---------------------------------------------------------------------

void PartitionOwner::apply_routing_update(const wire::RoutingUpdate& update) {
  if (!routed_shards_.is_current(update)) return;
  routed_shards_.apply(update);
  if (update.is_full) workers_.clear_draining();
  workers_.drain(update.machines_to_drain);
  requested_transfers_.insert(requested_transfers_.end(), update.transfers.begin(),
                              update.transfers.end());
  for (const wire::TaskMove& move : update.moves) evict(move);
  placement_requested_ = true;
}

// Stops a task that is to run elsewhere, unless that attempt has left its machine in the meantime.
void PartitionOwner::evict(const wire::TaskMove& move) {
  const model::TaskRef task{move.job, move.index};
  const model::TaskState* state = replica_.task(task);
  if (state == nullptr || state->attempt != move.attempt) return;
  agent::Worker* worker = workers_.find(state->machine);
  if (worker == nullptr) return;
  evicted_tasks_.mark_evicted(task, move.attempt);
  workers_.mark_changed(*worker);
}

void PartitionOwner::transfer_quotas() {
  quota_usage_.invalidate_shares();
  quota_transfers_.retry_transfers([this](int partition, model::Revision lease) {
    return owned_partitions_.owns_under_lease(partition, lease);
  });
  for (const auto& request : std::exchange(requested_transfers_, {})) {
    if (!owns(request.from)) continue;
    for (auto& [name, worker] : workers_) capacities_.capacity(worker);
    const model::QuotaShare share =
        quota::quota_share(context_.settings, replica_, request.team, request.from);
    quota_transfers_.start(request, quota_usage_.unused(share, request.team, request.from));
  }
}

std::vector<wire::QuotaUse> PartitionOwner::quota_usage() const {
  return quota_usage_.owned_usage([this](int partition) { return owns(partition); });
}

void PartitionOwner::route_without_leader() {
  if (routed_shards_.route_without_leader() && !routed_shards_.empty()) placement_requested_ = true;
}

std::string PartitionOwner::machine_summary() {
  MachineSummary machines;
  for (auto& [name, worker] : workers_) {
    const placement::MachineCapacity& capacity = capacities_.capacity(worker);
    machines.add(worker, capacity, is_schedulable(worker), replica_.placed_on(name).size());
  }
  return fmt::format("{}; shards routed here: {}", machines.to_string(), routed_shards_.size());
}

wire::MachineStatus PartitionOwner::status_of(agent::Worker& worker) {
  const placement::MachineCapacity& capacity = capacities_.capacity(worker);
  const MachineAvailability availability{workers_.is_draining(worker.name), is_schedulable(worker)};
  return machine_status(worker, capacity, availability, replica_);
}

std::vector<wire::MachineStatus> PartitionOwner::collect_status_updates(bool all) {
  std::vector<wire::MachineStatus> statuses;
  for (const auto& [worker, is_periodic] : workers_.collect_due_statuses(all)) {
    wire::MachineStatus status = status_of(*worker);
    if (!is_periodic && status == worker->published_status) continue;
    worker->published_status = status;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace rooksill::partition
