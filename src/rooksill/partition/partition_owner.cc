#include "rooksill/partition/partition_owner.h"

#include <algorithm>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/partition/machine_status.h"
#include "rooksill/placement/machine_capacity.h"
#include "rooksill/quota/quota_shares.h"

namespace rooksill::partition {

using changes::TaskChange;

PartitionOwner::PartitionOwner(runtime::Context& ctx, store::Replica& replica,
                               store::Client& client, store::Committer& committer,
                               const membership::Cancellations& cancellations)
    : ctx_(ctx),
      replica_(replica),
      client_(client),
      owned_(replica),
      workers_(ctx, replica),
      failure_detector_(ctx, replica, workers_,
                        [this](agent::Worker& worker, const wire::WorkerHeartbeat& heartbeat) {
                          heartbeat_receiver_.accept(worker, heartbeat);
                        }),
      changes_(ctx, replica, client, committer, owned_, *this),
      job_backoff_(ctx),
      renewal_permit_(ctx, cancellations),
      heartbeat_receiver_(ctx, replica, workers_, failure_detector_,
                          [this] { request_placement(); }),
      reconciler_({ctx, replica, owned_, changes_, workers_, evicted_, job_backoff_},
                  [this](const std::string& team, agent::Worker& worker) {
                    return exceeds_quota(team, worker);
                  }),
      heartbeat_endpoint_(
          {ctx, replica, owned_, workers_, heartbeat_receiver_, reconciler_, renewal_permit_}),
      command_sender_({ctx, replica, workers_, heartbeat_receiver_, reconciler_, renewal_permit_}),
      routed_(ctx, replica, owned_),
      transfers_(ctx, replica, committer),
      quota_usage_(ctx.settings, replica, transfers_),
      capacities_(replica, evicted_, quota_usage_) {}

// ---- leases --------------------------------------------------------------------------------

void PartitionOwner::activate(int partition) {
  const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(partition)];
  owned_.acquire(partition);
  ctx_.info("partition", "partition {} taken, token {}", partition,
            model::number(lease.fencing_token));
  drop_workers(partition);
  for (const auto& page : replica_.pages[static_cast<size_t>(partition)])
    replica_.changes.touched_machines.insert(page.names.begin(), page.names.end());
}

void PartitionOwner::drop_workers(int partition) {
  workers_.remove_partition(partition,
                            [this](agent::Worker& worker) { capacities_.forget(worker); });
}

void PartitionOwner::tick() {
  const auto& label = ctx_.settings.platform.label;
  for (int b = 0; b < static_cast<int>(replica_.leases.size()); ++b) {
    const model::PartitionLease& lease = replica_.leases[static_cast<size_t>(b)];
    const bool mine = lease.owner == label && lease.incarnation == ctx_.incarnation;
    // Whatever the former owner wrote has a lower revision than the lease; it must be known
    // here before a worker's tasks are judged.
    if (mine && !owns(b) && replica_.synced_revision >= lease.revision) {
      activate(b);
    } else if (owned_.acquired(b) && !owns(b)) {
      ctx_.info("partition", "partition {} given up, now with {}", b, lease.owner);
      owned_.release(b);
      drop_workers(b);
    }
  }
}

// What a batch changed in the store concerns the machines that it names, and no others.
void PartitionOwner::apply_store_changes() {
  for (const auto& name : replica_.changes.touched_machines) {
    const model::Machine* machine = replica_.machine(name);
    if (agent::Worker* worker = workers_.find(name)) {
      if (machine != nullptr) {
        workers_.mark_changed(*worker);
      } else {
        capacities_.forget(*worker);
        workers_.remove(name);
      }
    } else if (machine == nullptr) {
      workers_.forget_address(name);
    } else if (owns(machine->partition)) {
      workers_.add(name, machine->partition);
    }
  }
}

void PartitionOwner::check_timeouts() {
  failure_detector_.check();
  evicted_.forget_if([&](const model::TaskRef& ref, uint64_t attempt) {
    const model::TaskState* task = replica_.task(ref);
    return task == nullptr || task->machine.empty() || task->attempt != attempt;
  });
  if (!routed_.empty()) placement_requested_ = true;
}

// ---- changes of state ----------------------------------------------------------------------

void PartitionOwner::on_change_added(const model::TaskRef& task, const TaskChange& change) {
  agent::Worker* worker = workers_.find(change.machine.name);
  if (worker == nullptr) return;
  worker->capacity_stale = worker->status_changed = true;
  if (change.kind == TaskChange::Kind::kPlaced) worker->pending_placements.insert(task);
}

void PartitionOwner::on_change_removed(const model::TaskRef& task, const TaskChange& change) {
  agent::Worker* worker = workers_.find(change.machine.name);
  if (worker == nullptr) return;
  worker->pending_placements.erase(task);
  workers_.mark_changed(*worker);
  placement_requested_ = true;
}

bool PartitionOwner::terminating(const std::string& machine) const {
  const agent::Worker* worker = workers_.find(machine);
  return worker != nullptr && worker->terminates_at.has_value();
}

// ---- routing and quotas ---------------------------------------------------------------------

void PartitionOwner::routes(const wire::RoutingUpdate& update) {
  if (!routed_.current(update)) return;
  routed_.apply(update);
  if (update.is_full) workers_.clear_draining();
  workers_.drain(update.machines_to_drain);
  asked_transfers_.insert(asked_transfers_.end(), update.transfers.begin(), update.transfers.end());
  for (const wire::TaskMove& move : update.moves) evict(move);
  placement_requested_ = true;
}

// Stops a task that is to run elsewhere, unless it left its machine in the meantime.
void PartitionOwner::evict(const wire::TaskMove& move) {
  const model::TaskRef task{move.job, move.index};
  const model::TaskState* state = replica_.task(task);
  if (state == nullptr || state->attempt != move.attempt) return;
  agent::Worker* worker = workers_.find(state->machine);
  if (worker == nullptr) return;
  evicted_.evict(task, move.attempt);
  workers_.mark_changed(*worker);
}

// Called once all machines of the partitions held are known here: what a share's owner uses has to
// be complete before a part of the share is passed on.
void PartitionOwner::transfer_quotas() {
  quota_usage_.refresh_shares();
  transfers_.tick(
      [this](int partition, model::Revision lease) { return owned_.owns_under(partition, lease); });
  for (const auto& t : std::exchange(asked_transfers_, {})) {
    if (!owns(t.from)) continue;
    for (auto& [name, w] : workers_) capacities_.capacity(w);
    const model::QuotaShare share = quota::quota_share(ctx_.settings, replica_, t.team, t.from);
    transfers_.start(t, quota_usage_.unused(share, t.team, t.from));
  }
}

std::vector<wire::QuotaUse> PartitionOwner::quota_use() const {
  return quota_usage_.report([this](int partition) { return owns(partition); });
}

void PartitionOwner::route_without_leader() {
  if (routed_.route_without_leader() && !routed_.empty()) placement_requested_ = true;
}

std::string PartitionOwner::summary() {
  MachineSummary machines;
  for (auto& [name, worker] : workers_) {
    const placement::MachineCapacity& capacity = capacities_.capacity(worker);
    machines.add(worker, capacity, open(worker), replica_.placed_on(name).size());
  }
  return fmt::format("{}; shards routed here: {}", machines.text(), routed_.size());
}

wire::MachineStatus PartitionOwner::status_of(agent::Worker& worker) {
  const placement::MachineCapacity& capacity = capacities_.capacity(worker);
  const MachineAvailability availability{workers_.draining(worker.name), open(worker)};
  return machine_status(worker, capacity, availability, replica_);
}

std::vector<wire::MachineStatus> PartitionOwner::take_statuses(bool all) {
  std::vector<wire::MachineStatus> out;
  for (const auto& [worker, turn] : workers_.take_status_due(all)) {
    wire::MachineStatus status = status_of(*worker);
    if (!turn && status == worker->published_status) continue;
    worker->published_status = status;
    out.push_back(std::move(status));
  }
  return out;
}

}  // namespace rooksill::partition
